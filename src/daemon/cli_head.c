#include <string.h>

#include "base/http_line.h"
#include "daemon/cli_head.h"

#define SWITCHING_PROTOCOLS 101
#define FIRST_FINAL_STATUS 200
#define NO_CONTENT 204
#define NOT_MODIFIED 304

static uint64_t parse_etag(const char *value)
{
	guint64 number = 0;
	size_t len = strlen(value);
	char *digits;

	if (len < 3 || *value != '"' || value[len - 1] != '"')
		return 0;
	digits = g_strndup(value + 1, len - 2);
	if (!g_ascii_string_to_unsigned(digits, 10, 1, UINT64_MAX, &number,
					NULL))
		number = 0;
	g_free(digits);
	return number;
}

static clk_ms parse_retry_after(const char *value)
{
	guint64 seconds;

	if (!g_ascii_string_to_unsigned(value, 10, 0, 24 * 3600, &seconds,
					NULL))
		return 0;
	return (clk_ms)seconds * CLK_SECOND;
}

/* Reads Content-Length or Transfer-Encoding. False if the end of the body is in
 * doubt, or its coding was not asked for. */
static bool read_framing(struct cli_head *head, bool is_valid)
{
	bool is_first = !head->framed;

	head->framed = true;
	return is_first && is_valid;
}

static bool read_named_field(struct cli_head *head, const char *name,
			     const char *value)
{
	uint64_t length;

	if (!g_ascii_strcasecmp(name, "Content-Length"))
		return read_framing(head, hln_parse_length(value, &length));
	if (!g_ascii_strcasecmp(name, "Transfer-Encoding"))
		return read_framing(head,
				    !g_ascii_strcasecmp(value, "chunked"));
	if (!g_ascii_strcasecmp(name, "ETag"))
		head->etag = parse_etag(value);
	else if (!g_ascii_strcasecmp(name, "Retry-After"))
		head->retry_after = parse_retry_after(value);
	return true;
}

static bool read_field(struct cli_head *head, const char *line, size_t len)
{
	size_t name_len = hln_name_length(line, len);
	char *name;
	char *value;
	bool is_valid;

	if (!name_len)
		return false;
	name = g_strndup(line, name_len);
	value = g_strstrip(g_strndup(line + name_len + 1, len - name_len - 1));
	is_valid = read_named_field(head, name, value);
	g_free(name);
	g_free(value);
	return is_valid;
}

/* The section is discarded, so a folded value in it is harmless. */
static bool is_trailer_line(const char *line, size_t len)
{
	return !len ||
	       ((*line == ' ' || *line == '\t') && hln_is_text(line, len)) ||
	       hln_name_length(line, len);
}

static bool read_status_line(struct cli_head *head, const char *line,
			     size_t len)
{
	head->status = hln_parse_status(line, len);
	head->etag = 0;
	head->retry_after = 0;
	head->framed = false;
	head->next = CLI_HEAD_FIELDS;
	/* What follows a change of protocol can't be parsed. */
	return head->status && head->status != SWITCHING_PROTOCOLS;
}

static void end_head(struct cli_head *head)
{
	head->next = head->status < FIRST_FINAL_STATUS ? CLI_HEAD_STATUS_LINE
						       : CLI_HEAD_TRAILER;
}

bool cli_head_read_line(struct cli_head *head, const char *line, size_t len)
{
	head->bytes += len;
	if (len && line[len - 1] == '\n')
		len--;
	if (len && line[len - 1] == '\r')
		len--;
	if (head->next == CLI_HEAD_STATUS_LINE)
		return read_status_line(head, line, len);
	if (head->next == CLI_HEAD_TRAILER)
		return is_trailer_line(line, len);
	if (len)
		return read_field(head, line, len);
	end_head(head);
	return true;
}

bool cli_head_is_complete(const struct cli_head *head)
{
	return head->next == CLI_HEAD_TRAILER;
}

bool cli_head_has_end(const struct cli_head *head)
{
	return head->framed || head->status == NO_CONTENT ||
	       head->status == NOT_MODIFIED;
}
