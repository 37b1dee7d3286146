#ifndef WAGTAILFERRY_DAEMON_SRV_H
#define WAGTAILFERRY_DAEMON_SRV_H

/*
 * HTTP server for callers (HTTP/1.1 and HTTP/2) and, on a listener of its
 * own, for operators. Turns requests into calls and the core's replies into
 * answers.
 */

#include <uv.h>

#include <wagtailferry/core.h>

struct srv_sink;

struct srv_sink_ops {
	/* An authenticated call; what it points to is borrowed. */
	void (*call)(struct srv_sink *sink, struct wf_call *call);
	/* The caller of an unfinished call went away or cancelled it. */
	void (*caller_gone)(struct srv_sink *sink, uint64_t call_id);
	bool (*is_ready)(struct srv_sink *sink);
	/* Appends the status as a JSON object. */
	void (*write_status)(struct srv_sink *sink, GString *out);
};

/* First member of whatever handles the calls. */
struct srv_sink {
	const struct srv_sink_ops *ops;
};

/* Who may call: an organisation and the SHA-256 of its token in hex. */
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
	const char *caller_address; /* "IP:port"; 0 lets the system choose */
	const char *operator_address;
	const struct srv_token *tokens;
	size_t n_tokens;
	size_t body_limit;	     /* bytes */
	size_t unsent_limit;	     /* bytes for one caller; 0: default */
	clk_ms stall_limit;	     /* 0: default */
	const char *tls_certificate; /* PEM file, NULL: no TLS */
	const char *tls_key;
};

struct srv_server;

/* Listens on both addresses. ERR_IO or ERR_BAD_SETTINGS (TLS files). */
struct srv_server *srv_new(const struct srv_config *config, GError **error);

/*
 * Asks callers to use other connections from now on ("Connection: close" and
 * GOAWAY). Requests, new ones included, are still answered.
 */
void srv_start_drain(struct srv_server *server);

/*
 * Accepts the callers who wait for it and then no more. Those who come later
 * are refused by the system.
 */
void srv_stop_listening(struct srv_server *server);

/* Connections of callers that have brought no whole request yet. */
size_t srv_count_new_connections(const struct srv_server *server);

/*
 * Cuts all connections; reports no caller as gone. The memory is released by
 * the loop, which must run.
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

/* The number of calls whose answer has not wholly left. */
size_t srv_count_undelivered(const struct srv_server *server);

#endif
