#ifndef WAGTAILFERRY_DAEMON_CLI_REQUEST_H
#define WAGTAILFERRY_DAEMON_CLI_REQUEST_H

/* Private to the HTTP client: a request as a libcurl easy handle. */

#include <curl/curl.h>

#include "daemon/cli_head.h"
#include "daemon/cli_http.h"

struct cli_request {
	struct cli_client *client;
	struct cli_handler *handler;
	tbl_handle handle;
	CURL *easy;
	struct curl_slist *headers;
	char *address;
	GBytes *body;
	GByteArray *received; /* collected, or not yet delivered */
	size_t body_limit;
	clk_ms idle_timeout;
	uint64_t last_byte_ms; /* on the loop's clock */
	struct cli_head head;
	bool streams; /* the handler has a data callback */
	bool may_resend;
	bool sent;
	bool too_large;
	bool malformed;
	bool queued; /* is in the client's queue of pending data */
};

/* Fills in the easy handle. False if libcurl refuses an option. */
bool cli_request_setup(struct cli_request *request,
		       const struct cli_spec *spec);

/* Converts libcurl's result. The caller owns result->body. */
void cli_request_result(struct cli_request *request, CURLcode code,
			struct cli_result *result);

/* Frees the request, but not its handler. */
void cli_request_free(struct cli_request *request);

/* Resets the idle time-out and queues the request for data delivery. */
void cli_request_data_received(struct cli_request *request);

#endif
