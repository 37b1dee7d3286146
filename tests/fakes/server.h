#ifndef WF_FAKES_SERVER_H
#define WF_FAKES_SERVER_H

/*
 * fk: HTTP server layer that all fakes share: routes, responses, event streams,
 * timers and faults that tests inject at run time.
 */

#include <glib.h>
#include <h2o.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "fault.h"

struct fk_server;
struct fk_call;

/* Handles one request; the call stays valid while it is kept. */
typedef void (*fk_handler)(struct fk_call *call);

/* A path that ends in '/' is a prefix. */
struct fk_route {
	const char *method;
	const char *path;
	fk_handler handle;
};

/* A request and its response. */
struct fk_call {
	struct fk_server *server;
	void *user;	/* of the server */
	h2o_req_t *req; /* NULL once the connection is gone */
	int refs;
	char *method;
	char *path;	  /* without the query */
	const char *rest; /* path after the route's prefix */
	char *query;	  /* may be NULL */
	char *body;	  /* NUL-terminated */
	size_t body_len;
	struct fk_fault fault; /* kind FK_FAULT_NONE if there is none */
	const struct fk_route *route;
	bool answered;
	/* called once if the client disconnects before the response ends */
	void (*on_gone)(struct fk_call *call, void *data);
	void *data;
	struct fk_stream *stream;
};

struct poptOption;

/* An empty table, for fakes without options of their own. */
const struct poptOption *fk_no_options(void);

/*
 * Parses the command line with the given popt table (ended by POPT_TABLEEND),
 * listens and prints "listening on IP:PORT". Exits on a bad command line.
 */
struct fk_server *fk_server_new(int argc, const char **argv,
				const struct poptOption *options,
				const struct fk_route *routes, void *user);

/* Serves until SIGTERM or SIGINT; returns the exit code. */
int fk_server_run(struct fk_server *server);

uv_loop_t *fk_loop(struct fk_server *server);

/* "IP:port" of the listener. */
const char *fk_address(struct fk_server *server);

struct fk_call *fk_call_keep(struct fk_call *call);
void fk_call_drop(struct fk_call *call);

/* The value of a request header or NULL; free with g_free(). */
char *fk_header(struct fk_call *call, const char *name);

/* A query parameter, decoded, or NULL; free with g_free(). */
char *fk_param(struct fk_call *call, const char *name);

/* A query parameter as a number, or the fallback. */
int64_t fk_param_int(struct fk_call *call, const char *name, int64_t fallback);

/* The request body as a JSON object; answers 400 and returns NULL if bad. */
json_t *fk_json_body(struct fk_call *call);

/* Adds a header to the response. Must precede fk_reply(). */
void fk_add_header(struct fk_call *call, const char *name, const char *value);

/* Sends a response; the body is copied. type NULL: no Content-Type. */
void fk_reply(struct fk_call *call, int status, const char *type,
	      const void *body, size_t len);

/* Responds with JSON; takes over the reference. */
void fk_reply_json(struct fk_call *call, int status, json_t *json);

/* Responds with {"error":{"type","message"}}. */
void fk_reply_error(struct fk_call *call, int status, const char *type,
		    const char *message);

/* Starts a stream of server-sent events. */
void fk_stream_start(struct fk_call *call);

/*
 * Sends one event; takes over the reference. event may be NULL for no name,
 * data NULL for "[DONE]", which ends a stream in the OpenAI format.
 */
void fk_stream_event(struct fk_call *call, const char *event, json_t *data);

/* Ends the stream. No event may follow. */
void fk_stream_end(struct fk_call *call);

/* Closes the connection without a response. */
void fk_abort_call(struct fk_call *call);

/* Whether a fault that a call took is still set. */
bool fk_fault_is_set(struct fk_server *server, uint64_t id);

/* Timers */

typedef void (*fk_timer_cb)(void *data);

struct fk_timer;

/* Calls cb once after ms and frees the timer. */
struct fk_timer *fk_after(uv_loop_t *loop, uint64_t ms, fk_timer_cb cb,
			  void *data);
void fk_timer_cancel(struct fk_timer *timer);

/* Milliseconds since the Unix epoch. */
int64_t fk_now_ms(void);

/* Microseconds of the monotonic clock. */
int64_t fk_now_us(void);

#endif
