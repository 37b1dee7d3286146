#ifndef WAGTAILFERRY_DAEMON_CLI_SSE_H
#define WAGTAILFERRY_DAEMON_CLI_SSE_H

/* Incremental parser of server-sent events (text/event-stream). */

#include <wagtailferry/base.h>

struct cli_sse;

/*
 * Receives one event. name is "message" if the stream gives none. Returning
 * false stops the parser permanently.
 */
typedef bool (*cli_sse_callback)(void *user, const char *name, const char *data,
				 size_t len);

/* Creates a parser that limits each event, with its name, to limit bytes. */
struct cli_sse *cli_sse_new(size_t limit, cli_sse_callback callback,
			    void *user);
void cli_sse_drop(struct cli_sse *parser);

/*
 * Parses more bytes. Fails with ERR_TOO_LARGE if an event exceeds the limit
 * and with ERR_PROTOCOL on a null byte. Returns false without an error if the
 * callback stopped the parser. After that, each call returns false.
 */
bool cli_sse_feed(struct cli_sse *parser, const char *data, size_t len,
		  GError **error);

#endif
