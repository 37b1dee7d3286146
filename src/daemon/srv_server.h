#ifndef WAGTAILFERRY_DAEMON_SRV_SERVER_H
#define WAGTAILFERRY_DAEMON_SRV_SERVER_H

/*
 * srv: HTTP server (HTTP/1.1 and HTTP/2) for callers, with a separate
 * listener for operators. Turns requests into calls to the core and the core's
 * replies into HTTP responses.
 */

#include <uv.h>

#include <wagtailferry/core.h>

struct srv_sink;

struct srv_sink_ops {
	/* Handles an authenticated call; what it points to is borrowed. */
	void (*call)(struct srv_sink *sink, struct wf_call *call);
	/*
	 * An unfinished call ended without the core: the caller disconnected
	 * or cancelled it, or the server gave it up (slow reader, completion
	 * too long).
	 */
	void (*caller_gone)(struct srv_sink *sink, uint64_t call_id);
	bool (*is_ready)(struct srv_sink *sink);
	/* Appends the status as a JSON object. */
	void (*write_status)(struct srv_sink *sink, GString *out);
};

/* Base of the object that handles the calls: its first member. */
struct srv_sink {
	const struct srv_sink_ops *ops;
};

/* An organisation that may send calls, and its token's SHA-256 in hex. */
struct srv_token {
	const char *org;
	const char *sha256;
};

struct srv_config {
	uv_loop_t *loop;
	struct srv_sink *sink;	  /* borrowed */
	struct ctr_set *counters; /* kept */
	const char *self;
	uint64_t incarnation;
	const char *caller_address; /* "IP:port"; port 0: any free one */
	const char *operator_address;
	const struct srv_token *tokens;
	size_t n_tokens;
	size_t body_limit;	     /* bytes */
	size_t unsent_limit;	     /* bytes per stream; 0: default */
	clk_ms stall_limit;	     /* of a response; 0: default */
	const char *tls_certificate; /* PEM file, NULL: no TLS */
	const char *tls_key;
};

struct srv_server;

/*
 * Listens on both addresses. Fails with ERR_IO, or with ERR_BAD_SETTINGS if
 * the TLS files can't be loaded.
 */
struct srv_server *srv_new(const struct srv_config *config, GError **error);

/*
 * Tells callers to use other connections from now on ("Connection: close" in
 * HTTP/1, GOAWAY in HTTP/2). Requests are still answered, also those that
 * arrive later.
 */
void srv_start_drain(struct srv_server *server);

/*
 * Accepts the connections that wait in the listen backlog and takes no new
 * ones. To be called repeatedly until it returns true: then handshakes that had
 * begun at the first call are over, and the callers' listener is closed. The
 * system refuses later connections.
 */
bool srv_stop_listening(struct srv_server *server);

/*
 * Answers the calls without a final reply that their outcome is unknown, and
 * reports their callers as gone.
 */
void srv_end_calls(struct srv_server *server);

/* The number of callers' connections without a complete request so far. */
size_t srv_count_new_connections(const struct srv_server *server);

/*
 * Closes all connections without reporting their callers as gone. The memory
 * is freed in callbacks of the loop, which must run on.
 */
void srv_drop(struct srv_server *server);

/* The bound addresses as "IP:port". Borrowed. */
const char *srv_caller_address(const struct srv_server *server);
const char *srv_operator_address(const struct srv_server *server);

/*
 * Executes WF_ACT_REPLY_*. Replies to callers that are gone are ignored.
 */
void srv_reply(struct srv_server *server, const struct wf_action *action);

/* The number of calls without a final reply. */
size_t srv_count_calls(const struct srv_server *server);

/*
 * The number of calls whose response is not complete, those with a final reply
 * that h2o is still sending included.
 */
size_t srv_count_undelivered(const struct srv_server *server);

#endif
