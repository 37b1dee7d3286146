#ifndef EDGE_HUP_CLIENT_H
#define EDGE_HUP_CLIENT_H

/*
 * hup: HTTP upstream client (HTTP/1.1). Sends request bytes as given and passes
 * the response on as it is received. Keeps a pool of idle connections for each
 * address. A response with the id of another request is discarded, and a
 * connection that receives unexpected bytes is not reused. On a reused
 * connection a response without an id may be a late copy of an earlier one, so
 * it is malformed. What precedes the body of the response, with interim and
 * discarded responses, is limited, because a faulty peer may send bytes without
 * end.
 */

#include <uv.h>

#include "edge/hdr_fields.h"

/* Result of an exchange. */
enum hup_result {
	/* The complete response was received. */
	HUP_COMPLETE,
	/* No byte of the request was sent; the peer may exist. */
	HUP_NOT_SENT,
	/* The connection was closed or reset before the response was
	 * complete. */
	HUP_CONN_LOST,
	/* The bytes received are not a valid HTTP response. */
	HUP_MALFORMED,
	/* The response was not complete within the timeout. */
	HUP_TIMED_OUT,
	/* The peer sent more than the limits allow. */
	HUP_TOO_LARGE,
	/* No byte was sent, as nothing listens at the address. */
	HUP_REFUSED,
};

/* Whether the peer may have received a part of the request. */
bool hup_was_sent(enum hup_result result);

struct hup_response {
	int status;
	struct hdr_list headers;
};

struct hup_client;
struct hup_exchange;

/*
 * Callbacks of an exchange. Each may cancel it, and none is called after that.
 * Otherwise end is called once, last.
 */
struct hup_ops {
	void (*head)(void *user, const struct hup_response *response);
	void (*data)(void *user, const char *bytes, size_t len);
	void (*end)(void *user, enum hup_result result);
};

struct hup_request {
	/* IP:port. */
	const char *address;
	/* Header and body as they are sent; the client takes ownership. */
	GString *bytes;
	/* The method is HEAD, so the response has no body. */
	bool is_head;
	/* Only connections idle for less than this are reused; 0 forces a new
	 * one. */
	clk_ms max_idle;
	/* Limit on the time to the complete response; 0 for none. */
	clk_ms timeout;
	/* Limit on the body; 0 for none. */
	size_t max_body_bytes;
	/* Header that carries the id in request and response; NULL if responses
	 * carry none. */
	const char *id_header;
	/* NULL for a request without an id: a response that carries one belongs
	 * to another request and is discarded. */
	const char *id;
	/* Uses no connection that carried a request without an id, and does
	 * not keep its own: a late copy of a response without an id can't be
	 * told from the response. */
	bool is_isolated;
};

struct hup_client *hup_new(uv_loop_t *loop, struct ctr_set *counters);

/* Sets the limit on the bytes that precede the body of a response. */
void hup_set_max_head_bytes(struct hup_client *client, size_t bytes);

/* Closes all connections; exchanges end with HUP_CONN_LOST. */
void hup_drop(struct hup_client *client);

/* Starts an exchange. No callback is made before this returns. */
struct hup_exchange *hup_send(struct hup_client *client,
			      const struct hup_request *request,
			      const struct hup_ops *ops, void *user);

/* Replaces the callbacks of an exchange, also from within one of them. */
void hup_set_ops(struct hup_exchange *exchange, const struct hup_ops *ops,
		 void *user);

/* Ends an exchange without a callback and closes its connection. */
void hup_cancel(struct hup_exchange *exchange);

#endif
