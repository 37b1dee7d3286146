#ifndef WAGTAILFERRY_DAEMON_CLI_SSE_H
#define WAGTAILFERRY_DAEMON_CLI_SSE_H

/* An incremental parser of server-sent events (text/event-stream). */

#include <wagtailferry/base.h>

struct cli_sse;

/*
 * Receives one event. name is "message" if the stream gave none. Returning
 * false stops the parser for good.
 */
typedef bool (*cli_sse_callback)(void *user, const char *name, const char *data,
				 size_t len);

/* A parser that bounds each event, with its name, to limit bytes. */
struct cli_sse *cli_sse_new(size_t limit, cli_sse_callback callback,
			    void *user);
void cli_sse_drop(struct cli_sse *parser);

/*
 * Parses more bytes. Returns false for good with ERR_TOO_LARGE if an event
 * exceeds the limit and with ERR_PROTOCOL if there is a null byte; false
 * without an error if the callback asked to stop.
 */
bool cli_sse_feed(struct cli_sse *parser, const char *data, size_t len,
		  GError **error);

#endif
