#ifndef WAGTAILFERRY_DAEMON_CLI_HTTP_H
#define WAGTAILFERRY_DAEMON_CLI_HTTP_H

/*
 * cli: HTTP/1.1 client on the event loop, libcurl's multi interface driven by
 * libuv. Handlers are never called from inside libcurl, so they may start and
 * cancel requests.
 */

#include <uv.h>

#include <wagtailferry/base.h>

struct cli_client;

/* The outcome of a request. Borrowed by the handler for the call. */
struct cli_result {
	bool ok;	     /* a complete response of any status */
	bool sent;	     /* false: no byte of the request was sent */
	enum err_code error; /* if not ok */
	int status;	     /* HTTP status, 0 if none was received */
	GBytes *body;	     /* if ok and the body was collected */
	uint64_t etag;	     /* a numeric ETag, 0 if there was none */
	clk_ms retry_after;  /* a duration; 0 if not given */
};

struct cli_handler;

struct cli_handler_ops {
	/*
	 * Part of the body of a 200 response. NULL: the body is collected.
	 * Returning false ends the request as ERR_PROTOCOL.
	 */
	bool (*data)(struct cli_handler *handler, const char *data, size_t len);
	/* Reports the outcome, except of a cancelled request. May be NULL. */
	void (*done)(struct cli_handler *handler,
		     const struct cli_result *result);
	/* Releases the handler; always the last call. May be NULL. */
	void (*drop)(struct cli_handler *handler);
};

/* The first member of each object that receives a response. */
struct cli_handler {
	const struct cli_handler_ops *ops;
};

/* What to send. Copied by cli_start(); the body is kept. */
struct cli_spec {
	const char *method;
	const char *address; /* "IP:port" */
	const char *path;    /* with query, already escaped */
	/* "Name: value", ended by NULL; NULL: none */
	const char *const *headers;
	GBytes *body;	       /* NULL: none */
	clk_ms timeout;	       /* of the whole exchange; 0: none */
	clk_ms idle_timeout;   /* longest time without data; 0: none */
	size_t body_limit;     /* of a collected body; 0: default */
	bool fresh_connection; /* never reuse an idle connection */
	/*
	 * Allows libcurl to resend once on a new connection when a reused
	 * connection turns out to be closed. False for requests that must not
	 * be executed twice or whose outcome must be exact.
	 */
	bool may_resend;
};

/* Creates a client on a loop. Keeps a reference to the counters. */
struct cli_client *cli_new(uv_loop_t *loop, struct ctr_set *counters);

/*
 * Cancels all requests and closes all connections. The memory is released by
 * the loop, which must run once more.
 */
void cli_drop(struct cli_client *client);

/*
 * Starts a request. The handler is called from the loop, never from inside
 * this call.
 */
tbl_handle cli_start(struct cli_client *client, const struct cli_spec *spec,
		     struct cli_handler *handler);

/* Cancels a request and drops its handler; ignores stale handles. */
void cli_cancel(struct cli_client *client, tbl_handle handle);

/* The number of open requests. */
size_t cli_count(const struct cli_client *client);

#endif
