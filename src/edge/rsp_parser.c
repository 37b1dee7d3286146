#include <string.h>

#include "base/http_line.h"
#include "edge/rsp_parser.h"

#define VERSION_PREFIX "HTTP/1."
/* Limit on the lines of a head, a trailer section or between two chunks. */
#define MAX_LINE_BYTES (80 << 10)
#define SWITCHING_PROTOCOLS 101
#define FIRST_FINAL_STATUS 200
#define NO_CONTENT 204
#define NOT_MODIFIED 304
/* Digits of a chunk size that can't overflow, without leading zeros. */
#define MAX_SIZE_DIGITS 15

void rsp_init(struct rsp_parser *parser)
{
	parser->line = g_string_new(NULL);
	hdr_init(&parser->headers);
	rsp_begin(parser);
}

void rsp_clear(struct rsp_parser *parser)
{
	g_string_free(parser->line, TRUE);
	hdr_clear(&parser->headers);
}

static void begin_line(struct rsp_parser *parser)
{
	hdr_reset_text(&parser->line);
	parser->checked = 0;
}

void rsp_begin(struct rsp_parser *parser)
{
	begin_line(parser);
	hdr_reset(&parser->headers);
	parser->state = RSP_IN_STATUS_LINE;
	parser->line_bytes = 0;
}

/* Whether a line may be valid; the CR of an incomplete one may be the first
 * half of its end. */
static bool is_possible_line(struct rsp_parser *parser, bool is_complete)
{
	const char *line = parser->line->str;
	size_t len = parser->line->len;

	if (!is_complete && len && line[len - 1] == '\r')
		len--;
	if (!hln_is_text(line + parser->checked, len - parser->checked))
		return false;
	parser->checked = len;
	switch (parser->state) {
	case RSP_IN_STATUS_LINE:
		return !memcmp(line, VERSION_PREFIX,
			       MIN(len, strlen(VERSION_PREFIX)));
	case RSP_IN_CHUNK_SIZE:
		return g_ascii_isxdigit(*line) || (!len && !is_complete);
	case RSP_IN_CHUNK_END:
		return !len;
	default:
		return true;
	}
}

static bool read_status_line(struct rsp_parser *parser)
{
	const char *line = parser->line->str;

	/* An empty line before a message is harmless. */
	if (!parser->line->len)
		return true;
	parser->status = hln_parse_status(line, parser->line->len);
	/* What follows a change of protocol can't be parsed. */
	if (!parser->status || parser->status == SWITCHING_PROTOCOLS)
		return false;
	parser->is_version_1_0 = line[strlen(VERSION_PREFIX)] == '0';
	hdr_reset(&parser->headers);
	parser->state = RSP_IN_FIELD;
	return true;
}

static bool has_connection_option(const struct hdr_list *headers,
				  const char *option)
{
	guint i;

	for (i = 0; i < headers->fields->len; i++) {
		const struct hdr_field *field =
			&g_array_index(headers->fields, struct hdr_field, i);

		if (!g_ascii_strcasecmp(field->name, "Connection") &&
		    hdr_has_token(field->value, option))
			return true;
	}
	return false;
}

static bool is_connection_kept(const struct rsp_parser *parser)
{
	const struct hdr_list *headers = &parser->headers;

	if (has_connection_option(headers, "close"))
		return false;
	/* That version has no chunks: RFC 9112, section 6.1. */
	return !parser->is_version_1_0 ||
	       (has_connection_option(headers, "keep-alive") &&
		parser->state != RSP_IN_CHUNK_SIZE);
}

/* Determines how the body ends. */
static bool end_head(struct rsp_parser *parser)
{
	const struct hdr_list *headers = &parser->headers;
	const char *coding = hdr_get(headers, "Transfer-Encoding");
	const char *length = hdr_get(headers, "Content-Length");

	parser->left = 0;
	if (hdr_count(headers, "Transfer-Encoding") +
		    hdr_count(headers, "Content-Length") >
	    1)
		return false;
	/* No other coding was asked for, and nobody would decode it. */
	if (coding && g_ascii_strcasecmp(coding, "chunked") != 0)
		return false;
	if (length && !hln_parse_length(length, &parser->left))
		return false;
	if (parser->status < FIRST_FINAL_STATUS ||
	    parser->status == NO_CONTENT || parser->status == NOT_MODIFIED)
		parser->state = RSP_AT_END;
	else if (coding)
		parser->state = RSP_IN_CHUNK_SIZE;
	else if (length)
		parser->state = parser->left ? RSP_IN_BODY : RSP_AT_END;
	else
		parser->state = RSP_IN_BODY_TO_CLOSE;
	parser->keeps_alive = is_connection_kept(parser);
	return true;
}

static bool read_field(struct rsp_parser *parser)
{
	const char *line = parser->line->str;
	size_t name = hln_name_length(line, parser->line->len);

	if (!parser->line->len)
		return end_head(parser);
	if (name)
		hdr_add_line(&parser->headers, line, name);
	return name > 0;
}

/* Reads "SIZE" with an optional extension after a semicolon. */
static bool read_chunk_size(struct rsp_parser *parser)
{
	const char *digits = parser->line->str + strspn(parser->line->str, "0");
	size_t n = strspn(digits, "0123456789abcdefABCDEF");
	const char *rest = digits + n + strspn(digits + n, " \t");

	if (n > MAX_SIZE_DIGITS || (*rest && *rest != ';'))
		return false;
	parser->left = n ? g_ascii_strtoull(digits, NULL, 16) : 0;
	parser->state = n ? RSP_IN_CHUNK : RSP_IN_TRAILER;
	return true;
}

static bool read_chunk_end(struct rsp_parser *parser)
{
	parser->state = RSP_IN_CHUNK_SIZE;
	return !parser->line->len;
}

/* The section is discarded, so a folded value in it is harmless. */
static bool read_trailer(struct rsp_parser *parser)
{
	const char *line = parser->line->str;
	size_t len = parser->line->len;

	if (!len)
		parser->state = RSP_AT_END;
	return !len || *line == ' ' || *line == '\t' ||
	       hln_name_length(line, len);
}

/* Reads a line without its end. */
static bool read_line(struct rsp_parser *parser)
{
	switch (parser->state) {
	case RSP_IN_STATUS_LINE:
		return read_status_line(parser);
	case RSP_IN_FIELD:
		return read_field(parser);
	case RSP_IN_CHUNK_SIZE:
		return read_chunk_size(parser);
	case RSP_IN_CHUNK_END:
		return read_chunk_end(parser);
	case RSP_IN_TRAILER:
		return read_trailer(parser);
	default:
		return false;
	}
}

static void advance(struct rsp_input *input, size_t len)
{
	input->bytes += len;
	input->len -= len;
}

/* Moves the rest of the current line from the input. Returns whether the line
 * is complete, then without its end. */
static bool take_line(struct rsp_parser *parser, struct rsp_input *input)
{
	GString *line = parser->line;
	const char *end = memchr(input->bytes, '\n', input->len);
	size_t len = end ? (size_t)(end - input->bytes) : input->len;

	g_string_append_len(line, input->bytes, (gssize)len);
	len += end ? 1 : 0;
	parser->line_bytes += len;
	advance(input, len);
	if (end && line->len && line->str[line->len - 1] == '\r')
		g_string_truncate(line, line->len - 1);
	return end != NULL;
}

static enum rsp_item next_line(struct rsp_parser *parser,
			       struct rsp_input *input)
{
	bool in_head = parser->state == RSP_IN_FIELD;
	bool is_complete = take_line(parser, input);

	if (parser->line_bytes > MAX_LINE_BYTES ||
	    !is_possible_line(parser, is_complete) ||
	    (is_complete && !read_line(parser)))
		return RSP_MALFORMED;
	if (is_complete)
		begin_line(parser);
	return in_head && parser->state != RSP_IN_FIELD ? RSP_HEAD
							: RSP_NEEDS_MORE;
}

static bool is_in_body(const struct rsp_parser *parser)
{
	return parser->state == RSP_IN_BODY || parser->state == RSP_IN_CHUNK ||
	       parser->state == RSP_IN_BODY_TO_CLOSE;
}

static void read_body(struct rsp_parser *parser, struct rsp_input *input,
		      struct rsp_input *piece)
{
	*piece = *input;
	parser->line_bytes = 0;
	if (parser->state != RSP_IN_BODY_TO_CLOSE) {
		piece->len = MIN(parser->left, input->len);
		parser->left -= piece->len;
		if (!parser->left)
			parser->state = parser->state == RSP_IN_CHUNK
						? RSP_IN_CHUNK_END
						: RSP_AT_END;
	}
	advance(input, piece->len);
}

enum rsp_item rsp_read(struct rsp_parser *parser, struct rsp_input *input,
		       struct rsp_input *piece)
{
	enum rsp_item item = RSP_NEEDS_MORE;

	while (item == RSP_NEEDS_MORE) {
		if (parser->state == RSP_AT_END) {
			parser->state = RSP_IN_STATUS_LINE;
			parser->line_bytes = 0;
			return RSP_END;
		}
		if (!input->len)
			break;
		if (is_in_body(parser)) {
			read_body(parser, input, piece);
			return RSP_BODY;
		}
		item = next_line(parser, input);
	}
	return item;
}

void rsp_skip_body(struct rsp_parser *parser)
{
	parser->state = RSP_AT_END;
}

bool rsp_ends_with_connection(const struct rsp_parser *parser)
{
	return parser->state == RSP_IN_BODY_TO_CLOSE;
}

bool rsp_keeps_alive(const struct rsp_parser *parser)
{
	return parser->keeps_alive;
}
