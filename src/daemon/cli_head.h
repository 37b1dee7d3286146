#ifndef WAGTAILFERRY_DAEMON_CLI_HEAD_H
#define WAGTAILFERRY_DAEMON_CLI_HEAD_H

/*
 * Reads the lines that libcurl passes to a header callback: the heads of
 * interim responses, the head of the response and its trailer section. libcurl
 * accepts lines that are invalid and heads that break off.
 */

#include <wagtailferry/base.h>

struct cli_head {
	enum {
		CLI_HEAD_STATUS_LINE,
		CLI_HEAD_FIELDS,
		CLI_HEAD_TRAILER,
	} next; /* the kind of the next line */
	/* Of the newest response. */
	int status;
	uint64_t etag;	    /* 0 if there is no numeric one */
	clk_ms retry_after; /* a duration; 0 if not given */
	bool framed;	    /* it has a length or is chunked */
	size_t bytes;	    /* of all lines */
};

/* Reads a line with its line end. False if it is invalid. */
bool cli_head_read_line(struct cli_head *head, const char *line, size_t len);

/* Whether the head of the response, not of an interim one, is complete. */
bool cli_head_is_complete(const struct cli_head *head);

/* Whether the response shows its own end, so that a truncated one is noticed.
 */
bool cli_head_has_end(const struct cli_head *head);

#endif
