#ifndef EDGE_HSV_PRIVATE_H
#define EDGE_HSV_PRIVATE_H

/* Private to the callers' server. */

#include <http_parser.h>

#include "edge/hsv.h"

#define HSV_READ_BYTES 16384

enum hsv_phase {
	/* Between requests. */
	PHASE_IDLE,
	PHASE_HEADER,
	PHASE_BODY,
	/* The owner has the request. */
	PHASE_RESPONSE,
	/* The last answer is written; only the caller's end is awaited. */
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
	/* Bytes that arrived while a request was answered. */
	GString *pipelined;
	/* Has brought a whole one. */
	bool had_request;
	bool is_closing;
	bool is_chunked;
	bool keeps_alive;
	bool expects_continue;
	/* The request's body counts in the server's sum. */
	size_t counted_body_bytes;
	/* Status with which the parser's callbacks refuse a request. */
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
	struct ctr_set *counters;
	const struct hsv_ops *ops;
	void *user;
	struct hsv_conn *conns;
	unsigned n_conns;
	size_t body_bytes;
	int refs;
	char buffer[HSV_READ_BYTES];
};

/* hsv.c */
void hsv_server_unref(struct hsv_server *server);

/* hsv_conn.c */
/* A connection whose socket is not open yet. */
struct hsv_conn *hsv_conn_new(struct hsv_server *server);
/* Starts to read; closes the connection where its socket could not be opened,
 * with the error of libuv, or where there are too many. */
void hsv_conn_open(struct hsv_conn *conn, int result);
void hsv_conn_close(struct hsv_conn *conn);
void hsv_set_phase(struct hsv_conn *conn, enum hsv_phase phase);
/* Takes the bytes over. */
void hsv_send(struct hsv_conn *conn, GString *bytes);
/* Answers with an error that ends the connection. */
void hsv_refuse(struct hsv_conn *conn, int status);

/* hsv_parse.c */
/* Reads a part of a request; the owner gets it when it is whole. */
void hsv_parse(struct hsv_conn *conn, const char *bytes, size_t len);
/* Keeps bytes that came before the present request was answered. */
void hsv_buffer_pipelined(struct hsv_conn *conn, const char *bytes, size_t len);
#endif
