#ifndef EDGE_HUP_H
#define EDGE_HUP_H

/*
 * HTTP/1.1 client for opaque exchanges: request bytes go out as given, the
 * answer comes back in pieces. Keeps idle connections by address. An answer
 * that bears another request's id is discarded, and a connection on which
 * bytes arrive unasked is not used again.
 */

#include <uv.h>

#include "edge/hdr.h"

/* How an exchange ended. */
enum hup_result {
	/* The whole answer has arrived. */
	HUP_COMPLETE,
	/* No byte of the request was sent. */
	HUP_NOT_SENT,
	/* The connection ended or was reset before the answer was whole. */
	HUP_CONN_LOST,
	/* What arrived is no HTTP answer. */
	HUP_MALFORMED,
	/* The answer was not whole in time. */
	HUP_TIMED_OUT,
};

struct hup_response {
	int status;
	struct hdr_list headers;
};

struct hup_client;
struct hup_exchange;

/*
 * Receives an exchange. Each function may cancel it; none is called after
 * that. end is called last, once.
 */
struct hup_ops {
	void (*head)(void *user, const struct hup_response *response);
	void (*data)(void *user, const char *bytes, size_t len);
	void (*end)(void *user, enum hup_result result);
};

struct hup_request {
	/* IP:port. */
	const char *address;
	/* Header and body as they are sent; taken over. */
	GString *bytes;
	/* The request's method is HEAD: the answer has no body. */
	bool is_head;
	/* Only connections that were idle for less than this are used again,
	 * 0 for none. */
	clk_ms max_idle;
	/* Longest time to the whole answer, 0 for no limit. */
	clk_ms timeout;
	/* Name of the header that carries the id in both directions, and the
	 * id; NULL if answers bear none. */
	const char *id_header;
	const char *id;
};

struct hup_client *hup_new(uv_loop_t *loop, struct ctr_set *counters);

/* Closes all connections; exchanges end as broken. */
void hup_drop(struct hup_client *client);

/* Begins an exchange. ops->end may not be called before this returns. */
struct hup_exchange *hup_send(struct hup_client *client,
			      const struct hup_request *request,
			      const struct hup_ops *ops, void *user);

/* Ends an exchange without a call and closes its connection. */
void hup_cancel(struct hup_exchange *exchange);

#endif
