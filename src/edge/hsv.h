#ifndef EDGE_HSV_H
#define EDGE_HSV_H

/*
 * HTTP/1.1 server for opaque forwarding. Reads whole requests, goes on
 * reading while they are answered so that a caller's leaving is seen at once,
 * and writes whole answers or streams. What is no proper request is refused
 * here and reaches nobody.
 *
 * h2o, which serves the product's own interface, stops reading from a
 * connection while its request is answered and so notices a caller's leaving
 * only when it writes.
 */

#include <uv.h>

#include "edge/hdr.h"

struct hsv_server;
struct hsv_conn;

/* Bounds on callers. */
struct hsv_limits {
	size_t header_bytes;
	size_t body_bytes;
	clk_ms header_timeout;
	clk_ms idle_timeout;
	/* Connections at once. */
	unsigned connections;
	/* Bytes of request bodies in memory at once. */
	size_t all_body_bytes;
};

/* One request, from its last byte until its answer was written. */
struct hsv_request {
	struct hsv_conn *conn;
	char *method;
	/* Path and query as sent. */
	char *url;
	struct hdr_list headers;
	GString *body;
	/* The owner's state. */
	void *user;
};

struct hsv_ops {
	/* A whole request arrived. It is borrowed until it is answered or the
	 * caller is gone. */
	void (*request)(void *user, struct hsv_request *request);
	/* The caller left before the answer's end; the request is invalid
	 * afterwards. */
	void (*disconnected)(void *user, struct hsv_request *request);
};

struct hsv_server *hsv_new(uv_loop_t *loop, const struct hsv_limits *limits,
			   struct ctr_set *counters, const struct hsv_ops *ops,
			   void *user);

/* Closes all connections at once; requests end without a call. */
void hsv_drop(struct hsv_server *server);

/* Listens at IP:port. Sets ERR_IO. */
bool hsv_listen(struct hsv_server *server, const char *address, GError **error);

/* Later requests are held to these bounds. */
void hsv_set_limits(struct hsv_server *server, const struct hsv_limits *limits);

/* Every further answer ends its connection. */
void hsv_close_after_responses(struct hsv_server *server);

/*
 * Accepts those who wait for it and then no more; closes connections that have
 * no request. New ones have a second to send their first.
 */
void hsv_stop_accepting(struct hsv_server *server);

/* Whether a request is on its way that the owner does not have yet. */
bool hsv_is_reading(const struct hsv_server *server);

/* The body of an error of our own, to be freed. Both texts need no escape. */
char *hsv_error_body(const char *type, const char *message);

/*
 * Writes a whole answer. headers are complete lines, each with its end, and
 * have no length and no Connection field. The request is invalid afterwards.
 */
void hsv_respond(struct hsv_request *request, int status, const char *headers,
		 const char *body, size_t len);

/* Begins an answer of unknown length. */
void hsv_begin_chunked(struct hsv_request *request, int status,
		       const char *headers);

/* Adds to an answer that was begun. False if the caller reads too slowly and
 * its connection was closed, which makes the request invalid. */
bool hsv_send_chunk(struct hsv_request *request, const char *bytes, size_t len);

/* Ends an answer that was begun. The request is invalid afterwards. */
void hsv_end_chunked(struct hsv_request *request);

/* Closes the connection so that no answer looks complete. */
void hsv_abort(struct hsv_request *request);

#endif
