#ifndef EDGE_HUP_PRIVATE_H
#define EDGE_HUP_PRIVATE_H

/* Internals of the HTTP upstream client. */

#include "edge/hup_client.h"
#include "edge/rsp_parser.h"

#define HUP_READ_BYTES 16384

struct hup_conn {
	uv_tcp_t tcp;
	struct hup_client *client;
	char *address;
	struct rsp_parser parser;
	/* NULL while idle. */
	struct hup_exchange *exchange;
	bool is_connected;
	bool is_closing;
	/* The message being parsed is an interim response or belongs to
	 * another request. */
	bool is_skipping;
	bool is_reusable;
	/* Carried a request without an id. */
	bool had_unmarked;
	unsigned pending_writes;
	/* The connection can't be written to, as after a reset. */
	bool is_write_failed;
	/* Exchanges that ended on this connection. */
	unsigned served;
	clk_ms idle_since;
	/* How long the target keeps an idle connection open. */
	clk_ms keep_alive;
	struct hup_conn *next;
	struct hup_conn *prev;
};

struct hup_exchange {
	struct hup_conn *conn;
	const struct hup_ops *ops;
	void *user;
	GString *bytes;
	bool is_head;
	bool is_isolated;
	char *id_header;
	char *id;
	uv_timer_t timer;
	clk_ms timeout;
	clk_ms started_at;
	size_t max_body_bytes;
	size_t body_bytes;
	/* Bytes received before the body of the response. */
	size_t head_bytes;
	/* Its timeout was extended to read what has arrived. */
	bool is_extended;
};

struct hup_client {
	uv_loop_t *loop;
	struct ctr_set *counters;
	/* Maps an address to a GQueue of idle connections, newest first. */
	GHashTable *idle;
	struct hup_conn *conns;
	uv_timer_t sweep;
	/* One for the owner and one for each open handle. */
	int refs;
	bool is_closed;
	size_t max_head_bytes;
	char buffer[HUP_READ_BYTES];
};

/* hup_client.c */
/* Ends the connection's exchange; keeps the connection if reusable. */
void hup_finish(struct hup_conn *conn, enum hup_result result);

/* hup_parse.c */
/* Parses received bytes. */
void hup_parse(struct hup_conn *conn, const char *bytes, size_t len);
/* Ends the exchange: the peer has closed the connection, without a reset. */
void hup_parse_end(struct hup_conn *conn);

#endif
