#ifndef WF_FAKES_HTTP_CLIENT_H
#define WF_FAKES_HTTP_CLIENT_H

/* fc: HTTP client of the fakes, on libcurl's multi-socket interface and libuv.
 */

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <uv.h>

struct fc_client;
struct fc_request;

/* Result of a request. status is 0 if there is no complete response. */
struct fc_result {
	int status;
	const char *body;
	size_t len;
	CURLcode code;
	long retry_after_s; /* Retry-After of the response, or 0 */
};

typedef void (*fc_done_cb)(const struct fc_result *result, void *data);

/* Receives part of the response body as it arrives. */
typedef void (*fc_data_cb)(const char *bytes, size_t len, void *data);

struct fc_options {
	const char *method;
	const char *url;
	const void *body; /* copied */
	size_t body_len;
	const char *const *headers; /* "Name: value", NULL at the end */
	long timeout_ms;	    /* 0: none */
	long connect_timeout_ms;    /* 0: libcurl's default */
	bool new_connection;	    /* not from the connection cache */
	fc_data_cb on_data;	    /* NULL: the body is in the result */
	fc_done_cb on_done;
	void *data;
};

/* max_connections limits the connection cache; 0 is libcurl's default. */
struct fc_client *fc_new(uv_loop_t *loop, long max_connections);

/* Sends a request. on_done is called once, unless it is cancelled. */
struct fc_request *fc_send(struct fc_client *client,
			   const struct fc_options *options);

/* Cancels a request without calling on_done. */
void fc_cancel(struct fc_request *request);

#endif
