#ifndef EDGE_RSP_PARSER_H
#define EDGE_RSP_PARSER_H

/*
 * rsp: parser of HTTP/1 responses. Strict where http_parser, as Debian builds
 * it, is not: a line that violates the grammar, or a body whose end or coding
 * is in doubt, makes the response malformed.
 */

#include "edge/hdr_fields.h"

struct rsp_parser {
	enum {
		RSP_IN_STATUS_LINE,
		RSP_IN_FIELD,
		RSP_IN_BODY,
		RSP_IN_BODY_TO_CLOSE,
		RSP_IN_CHUNK_SIZE,
		RSP_IN_CHUNK,
		RSP_IN_CHUNK_END,
		RSP_IN_TRAILER,
		RSP_AT_END,
	} state;
	/* What has been received of the current line. */
	GString *line;
	/* Bytes at its start that have been checked. */
	size_t checked;
	/* Bytes of lines since the last byte of a body. */
	size_t line_bytes;
	/* Bytes left of the body or chunk. */
	uint64_t left;
	bool is_version_1_0;
	bool keeps_alive;
	/* Of the newest response. */
	int status;
	struct hdr_list headers;
};

enum rsp_item {
	/* All bytes have been read; the response is incomplete. */
	RSP_NEEDS_MORE,
	/* status and headers are complete. */
	RSP_HEAD,
	/* A piece of the body. */
	RSP_BODY,
	/* The response is complete; what follows is the next one. */
	RSP_END,
	RSP_MALFORMED,
};

/* Bytes to read; the parser advances it. */
struct rsp_input {
	const char *bytes;
	size_t len;
};

void rsp_init(struct rsp_parser *parser);
void rsp_clear(struct rsp_parser *parser);

/* Expects the head of a response next. */
void rsp_begin(struct rsp_parser *parser);

/* Returns the next item; piece is set for RSP_BODY and points into the input.
 */
enum rsp_item rsp_read(struct rsp_parser *parser, struct rsp_input *input,
		       struct rsp_input *piece);

/* After RSP_HEAD: the response has no body, as one to HEAD. */
void rsp_skip_body(struct rsp_parser *parser);

/* Whether the end of the connection completes the response. */
bool rsp_ends_with_connection(const struct rsp_parser *parser);

/* Whether the connection may be used again after the response. */
bool rsp_keeps_alive(const struct rsp_parser *parser);

#endif
