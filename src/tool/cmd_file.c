#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cmd.h"

/* The base line does not count towards RUL_MAX_TEXT. */
#define BASE_LINE_MAX_BYTES 64

static GBytes *read_stream(FILE *stream, const char *path, GError **error)
{
	GByteArray *data = g_byte_array_new();
	uint8_t buffer[65536];
	size_t n;

	while ((n = fread(buffer, 1, sizeof(buffer), stream)) > 0) {
		g_byte_array_append(data, buffer, (guint)n);
		if (data->len <= RUL_MAX_TEXT + BASE_LINE_MAX_BYTES)
			continue;
		g_set_error(error, ERR_DOMAIN, ERR_TOO_LARGE,
			    "%s has more than %zu bytes", path, RUL_MAX_TEXT);
		g_byte_array_unref(data);
		return NULL;
	}
	if (!ferror(stream))
		return g_byte_array_free_to_bytes(data);
	g_set_error(error, ERR_DOMAIN, ERR_IO, "%s: %s", path,
		    g_strerror(errno));
	g_byte_array_unref(data);
	return NULL;
}

GBytes *cmd_read_file(const char *path, GError **error)
{
	GBytes *bytes;
	FILE *stream;

	if (!strcmp(path, "-"))
		return read_stream(stdin, path, error);
	stream = fopen(path, "rbe");
	if (!stream) {
		g_set_error(error, ERR_DOMAIN, ERR_NOT_FOUND, "%s: %s", path,
			    g_strerror(errno));
		return NULL;
	}
	bytes = read_stream(stream, path, error);
	fclose(stream);
	return bytes;
}

GBytes *cmd_strip_base_line(GBytes *text, uint64_t *base)
{
	const size_t prefix_len = strlen(CMD_BASE_LINE_PREFIX);
	gsize len;
	const char *data = g_bytes_get_data(text, &len);
	const char *newline = len ? memchr(data, '\n', len) : NULL;
	size_t line_len = newline ? (size_t)(newline - data) : 0;
	char digits[24] = "";
	guint64 value = 0;

	*base = RUL_BASE_LATEST;
	if (line_len <= prefix_len || line_len - prefix_len >= sizeof(digits) ||
	    memcmp(data, CMD_BASE_LINE_PREFIX, prefix_len))
		return g_bytes_ref(text);
	memcpy(digits, data + prefix_len, line_len - prefix_len);
	if (!g_ascii_string_to_unsigned(digits, 10, 0, G_MAXINT64, &value,
					NULL))
		return g_bytes_ref(text);
	*base = value;
	return g_bytes_new_from_bytes(text, line_len + 1, len - line_len - 1);
}
