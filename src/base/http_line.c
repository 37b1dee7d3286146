#include <string.h>

#include <glib.h>

#include "base/http_line.h"

#define VERSION_PREFIX "HTTP/1."
#define STATUS_DIGITS 3
/* RFC 9110, section 15: a status outside of this range is invalid. */
#define MIN_STATUS 100
#define MAX_STATUS 599

bool hln_is_text(const char *bytes, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if (g_ascii_iscntrl(bytes[i]) && bytes[i] != '\t')
			return false;
	return true;
}

bool hln_is_token(const char *bytes, size_t len)
{
	static const char symbols[] = "!#$%&'*+-.^_`|~";
	size_t i;

	for (i = 0; i < len; i++)
		if (!g_ascii_isalnum(bytes[i]) &&
		    !memchr(symbols, bytes[i], sizeof(symbols) - 1))
			return false;
	return len > 0;
}

int hln_parse_status(const char *line, size_t len)
{
	const size_t start = strlen(VERSION_PREFIX "1 ");
	const size_t end = start + STATUS_DIGITS;
	int status = 0;
	size_t i;

	if (len < end || memcmp(line, VERSION_PREFIX, strlen(VERSION_PREFIX)) ||
	    !g_ascii_isdigit(line[start - 2]) || line[start - 1] != ' ' ||
	    (len > end && line[end] != ' ') || !hln_is_text(line, len))
		return 0;
	for (i = start; i < end; i++) {
		if (!g_ascii_isdigit(line[i]))
			return 0;
		status = 10 * status + g_ascii_digit_value(line[i]);
	}
	return status >= MIN_STATUS && status <= MAX_STATUS ? status : 0;
}

size_t hln_name_length(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t name = colon ? (size_t)(colon - line) : 0;

	return hln_is_token(line, name) && hln_is_text(line, len) ? name : 0;
}

bool hln_parse_length(const char *value, uint64_t *length)
{
	guint64 number;

	if (!g_ascii_isdigit(*value) ||
	    !g_ascii_string_to_unsigned(value, 10, 0, G_MAXUINT64, &number,
					NULL))
		return false;
	*length = number;
	return true;
}
