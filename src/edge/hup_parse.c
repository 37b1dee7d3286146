#include <stdlib.h>
#include <string.h>

#include "edge/hup_private.h"

/* Assumed if a response has no Keep-Alive timeout. */
#define DEFAULT_KEEP_ALIVE_MS 4000
#define FIRST_FINAL_STATUS 200

static clk_ms parse_keep_alive(const struct hdr_list *headers)
{
	const char *value = hdr_get(headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;

	if (!timeout)
		return DEFAULT_KEEP_ALIVE_MS;
	return (clk_ms)strtoul(timeout + strlen("timeout="), NULL, 10) *
	       CLK_SECOND;
}

enum match {
	MATCHES,
	/* Belongs to another request. */
	IS_STALE,
	/* May belong to another request. */
	IS_UNKNOWN,
};

static enum match match_id(const struct hup_conn *conn,
			   const struct hup_exchange *exchange)
{
	const char *id;

#ifdef WF_GUARD_OFF_EDGE_ANSWER_ID
	return MATCHES;
#endif
	if (!exchange->id_header)
		return MATCHES;
	id = hdr_get(&conn->parser.headers, exchange->id_header);
	if (!exchange->id)
		return id ? IS_STALE : MATCHES;
	if (!id) {
#ifdef WF_GUARD_OFF_EDGE_LATE_COPY
		return MATCHES;
#endif
		return conn->served ? IS_UNKNOWN : MATCHES;
	}
	return strcmp(id, exchange->id) ? IS_STALE : MATCHES;
}

static void note_skipped(const struct hup_conn *conn)
{
	if (conn->parser.status >= FIRST_FINAL_STATUS)
		ctr_add(conn->client->counters,
			"wf_upstream_stale_answers_total", 1);
}

/* Passes the head on unless the response is skipped. False if it is no answer
 * to any request. */
static bool read_head(struct hup_conn *conn)
{
	struct hup_exchange *exchange = conn->exchange;
	int status = conn->parser.status;
	struct hup_response response = {status, conn->parser.headers};
	enum match match = match_id(conn, exchange);

	conn->is_skipping = status < FIRST_FINAL_STATUS || match == IS_STALE;
	if (conn->is_skipping) {
		note_skipped(conn);
		return true;
	}
	if (match == IS_UNKNOWN) {
		ctr_add(conn->client->counters,
			"wf_upstream_unknown_answers_total", 1);
		return false;
	}
	conn->keep_alive = parse_keep_alive(&conn->parser.headers);
	if (exchange->is_head)
		rsp_skip_body(&conn->parser);
	exchange->ops->head(exchange->user, &response);
	return true;
}

/* False if the body is larger than its limit. */
static bool read_body(struct hup_conn *conn, const struct rsp_input *piece)
{
	struct hup_exchange *exchange = conn->exchange;

	if (conn->is_skipping)
		return true;
	exchange->body_bytes += piece->len;
	if (exchange->max_body_bytes &&
	    exchange->body_bytes > exchange->max_body_bytes)
		return false;
	exchange->ops->data(exchange->user, piece->bytes, piece->len);
	return true;
}

static void finish_too_large(struct hup_conn *conn)
{
	ctr_add(conn->client->counters, "wf_upstream_too_large_total", 1);
	hup_finish(conn, HUP_TOO_LARGE);
}

/* Handles an item of the response; the exchange may end with it. */
static void read_item(struct hup_conn *conn, enum rsp_item item,
		      const struct rsp_input *piece, bool is_last)
{
	switch (item) {
	case RSP_HEAD:
		if (!read_head(conn))
			hup_finish(conn, HUP_MALFORMED);
		break;
	case RSP_BODY:
		if (!read_body(conn, piece))
			finish_too_large(conn);
		break;
	case RSP_END:
		if (conn->is_skipping)
			break;
		conn->is_reusable = is_last && rsp_keeps_alive(&conn->parser);
		hup_finish(conn, HUP_COMPLETE);
		break;
	default:
		hup_finish(conn, HUP_MALFORMED);
	}
}

/* Counts received bytes that are not of the body of the response. False if
 * there are too many before its body. */
static bool count_head_bytes(struct hup_conn *conn, size_t len, size_t body)
{
	struct hup_exchange *exchange = conn->exchange;

	exchange->head_bytes += len - MIN(exchange->body_bytes - body, len);
	return exchange->body_bytes ||
	       exchange->head_bytes <= conn->client->max_head_bytes;
}

void hup_parse(struct hup_conn *conn, const char *bytes, size_t len)
{
	const struct hup_exchange *exchange = conn->exchange;
	size_t body = exchange->body_bytes;
	struct rsp_input input = {bytes, len};
	struct rsp_input piece;
	enum rsp_item item;

	while ((item = rsp_read(&conn->parser, &input, &piece)) !=
	       RSP_NEEDS_MORE) {
		read_item(conn, item, &piece, !input.len);
		if (conn->is_closing || conn->exchange != exchange)
			return;
	}
	if (!count_head_bytes(conn, len, body))
		finish_too_large(conn);
}

void hup_parse_end(struct hup_conn *conn)
{
	if (!rsp_ends_with_connection(&conn->parser) || conn->is_skipping) {
		hup_finish(conn, HUP_CONN_LOST);
		return;
	}
	ctr_add(conn->client->counters, "wf_upstream_unframed_answers_total",
		1);
	conn->is_reusable = false;
	hup_finish(conn, HUP_COMPLETE);
}
