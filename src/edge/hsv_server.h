#ifndef EDGE_HSV_SERVER_H
#define EDGE_HSV_SERVER_H

/*
 * hsv: HTTP server for callers (HTTP/1.1, opaque forwarding). It buffers each
 * request completely, keeps reading while the response is produced so that a
 * disconnect is detected at once, and sends responses whole or chunked.
 * Malformed requests are rejected here and never reach the owner.
 *
 * h2o, which serves the product's own interface, is not used here: it stops
 * reading from a connection while its request is handled and so detects a
 * disconnect only when it writes.
 */

#include <uv.h>

#include "edge/hdr_fields.h"

struct hsv_server;
struct hsv_conn;

/* Limits on the use of the server by callers. */
struct hsv_limits {
	size_t header_bytes;
	size_t body_bytes;
	clk_ms header_timeout;
	clk_ms idle_timeout;
	/* Maximum number of concurrent connections. */
	unsigned connections;
	/* Maximum size of all request bodies in memory together. */
	size_t all_body_bytes;
};

/* A complete request whose response is not finished. */
struct hsv_request {
	struct hsv_conn *conn;
	char *method;
	/* Path and query as received. */
	char *url;
	struct hdr_list headers;
	GString *body;
	/* For use by the owner. */
	void *user;
};

struct hsv_ops {
	/* A complete request was received. It is valid until its response is
	 * finished or the caller disconnects; the server keeps ownership. */
	void (*request)(void *user, struct hsv_request *request);
	/* The caller disconnected before the end of the response; the request
	 * is invalid afterwards. */
	void (*disconnected)(void *user, struct hsv_request *request);
};

struct hsv_server *hsv_new(uv_loop_t *loop, const struct hsv_limits *limits,
			   struct ctr_set *counters, const struct hsv_ops *ops,
			   void *user);

/* Closes all connections immediately, without calling disconnected. */
void hsv_drop(struct hsv_server *server);

/* Listens on IP:port. Sets ERR_BAD_SETTINGS or ERR_IO. */
bool hsv_listen(struct hsv_server *server, const char *address, GError **error);

/* Replaces the limits; they apply from now on. */
void hsv_set_limits(struct hsv_server *server, const struct hsv_limits *limits);

/* From now on connections are closed after their response. */
void hsv_close_after_responses(struct hsv_server *server);

/*
 * Accepts the connections in the backlog, stops listening and closes idle
 * connections. A new connection has one second to send its first request.
 */
void hsv_stop_accepting(struct hsv_server *server);

/* Whether a request is being received, a new connection may still send its
 * first one, or an answer has not been sent whole. */
bool hsv_is_reading(const struct hsv_server *server);

/*
 * Returns a JSON error body, to be freed. The arguments are not escaped and
 * must not need it.
 */
char *hsv_error_body(const char *type, const char *message);

/*
 * Sends a complete response. headers holds lines that end in CRLF, without
 * Content-Length and Connection. The request is invalid afterwards.
 */
void hsv_respond(struct hsv_request *request, int status, const char *headers,
		 const char *body, size_t len);

/* Whether the caller's close has arrived, but has not been read yet. */
bool hsv_has_caller_left(const struct hsv_request *request);

/*
 * Disconnects a caller whose close has arrived, as if it had been read: calls
 * disconnected and returns false, with the request invalid.
 */
bool hsv_check_caller(struct hsv_request *request);

/* Starts a response with chunked transfer coding. */
void hsv_begin_chunked(struct hsv_request *request, int status,
		       const char *headers);

/* Sends a chunk. Returns false, with the request invalid, if the connection was
 * closed because the caller reads too slowly. */
bool hsv_send_chunk(struct hsv_request *request, const char *bytes, size_t len);

/* Sends the last chunk. The request is invalid afterwards. */
void hsv_end_chunked(struct hsv_request *request);

/* Closes the connection without completing the response. */
void hsv_abort(struct hsv_request *request);

#endif
