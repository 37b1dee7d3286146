#ifndef EDGE_HSV_PRIVATE_H
#define EDGE_HSV_PRIVATE_H

/* Internals of the HTTP server for callers. */

#include <http_parser.h>

#include "edge/hsv_server.h"

#define HSV_READ_BYTES 16384

enum hsv_phase {
	/* Between requests. */
	PHASE_IDLE,
	PHASE_HEADER,
	PHASE_BODY,
	/* The owner handles the request. */
	PHASE_RESPONSE,
	/* The last response is sent; waits for the caller to close. */
	PHASE_LINGER,
};

struct hsv_conn {
	uv_tcp_t tcp;
	struct hsv_server *server;
	http_parser parser;
	struct hdr_builder builder;
	struct hsv_request request;
	GString *url;
	size_t header_bytes;
	enum hsv_phase phase;
	clk_ms phase_since;
	/* Idle timeout that was in force when the connection became idle. */
	clk_ms idle_timeout;
	/* Bytes received before the current response was finished. */
	GString *pipelined;
	/* At least one complete request was received. */
	bool had_request;
	bool is_closing;
	bool is_chunked;
	bool keeps_alive;
	/* The head of the current response says that the connection closes. */
	bool announced_close;
	bool expects_continue;
	/* Part of the server's body_bytes that this request holds. */
	size_t counted_body_bytes;
	/* Status set by the parser callbacks to reject the request; 0 if none.
	 */
	int error_status;
	struct hsv_conn *next;
	struct hsv_conn *prev;
};

struct hsv_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	bool is_listening;
	bool closes_after_responses;
	uv_timer_t sweep;
	struct hsv_limits limits;
	/* Idle timeout before the last change, and until when callers may still
	 * rely on it. */
	clk_ms earlier_idle_timeout;
	clk_ms earlier_limit_until;
	struct ctr_set *counters;
	const struct hsv_ops *ops;
	void *user;
	struct hsv_conn *conns;
	unsigned n_conns;
	size_t body_bytes;
	int refs;
	char buffer[HSV_READ_BYTES];
};

/* hsv_server.c */
void hsv_server_unref(struct hsv_server *server);
/* Time for which a caller may rely on an idle connection. */
clk_ms hsv_promised_idle_timeout(const struct hsv_server *server);

/* hsv_conn.c */
/* Creates a connection whose socket is not open yet. */
struct hsv_conn *hsv_conn_new(struct hsv_server *server);
/* Starts reading. Closes the connection if result is a libuv error from opening
 * its socket, or if there are too many connections. */
void hsv_conn_open(struct hsv_conn *conn, int result);
void hsv_conn_close(struct hsv_conn *conn);
void hsv_set_phase(struct hsv_conn *conn, enum hsv_phase phase);
/* Takes ownership of bytes. */
void hsv_send(struct hsv_conn *conn, GString *bytes);
/* Sends an error response and closes the connection. */
void hsv_refuse(struct hsv_conn *conn, int status);

/* hsv_parse.c */
/* Parses received bytes; passes a complete request to the owner. */
void hsv_parse(struct hsv_conn *conn, const char *bytes, size_t len);
/* Buffers bytes received before the current response is finished. */
void hsv_buffer_pipelined(struct hsv_conn *conn, const char *bytes, size_t len);
#endif
