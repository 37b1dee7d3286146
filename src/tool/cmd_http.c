#include <string.h>

#include <curl/curl.h>

#include "cmd.h"
#include "daemon/cli_head.h"

/* The largest answers are lists of chunks. */
#define BODY_MAX_BYTES (16U * 1024 * 1024)
#define HEAD_MAX_BYTES (256U * 1024)

struct cmd_http {
	CURL *curl;
	int timeout_ms;
	char transport_error[CURL_ERROR_SIZE];
};

struct transfer {
	struct cmd_response *response;
	struct cli_head head;
	bool is_malformed;
};

struct cmd_http *cmd_http_new(int timeout_ms)
{
	struct cmd_http *http = g_new0(struct cmd_http, 1);

	http->curl = curl_easy_init();
	http->timeout_ms = timeout_ms;
	return http;
}

void cmd_http_drop(struct cmd_http *http)
{
	if (!http)
		return;
	curl_easy_cleanup(http->curl);
	g_free(http);
}

static size_t append_body(char *data, size_t size, size_t n, void *user)
{
	struct cmd_response *response = ((struct transfer *)user)->response;

	if (response->body->len + size * n > BODY_MAX_BYTES)
		return 0;
	g_byte_array_append(response->body, (const guint8 *)data,
			    (guint)(size * n));
	return size * n;
}

static size_t read_header(char *data, size_t size, size_t n, void *user)
{
	struct transfer *transfer = user;

	if (transfer->head.bytes + size * n <= HEAD_MAX_BYTES &&
	    cli_head_read_line(&transfer->head, data, size * n))
		return size * n;
	transfer->is_malformed = true;
	return 0;
}

static void set_body(CURL *curl, const char *method, GBytes *body)
{
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;

	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	if (!body)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, data ? data : "");
}

/* NULL if the answer is complete. */
static const char *describe_failure(const struct cmd_http *http,
				    const struct transfer *transfer,
				    CURLcode code)
{
	if (transfer->is_malformed)
		return "the answer is not valid HTTP";
	if (code != CURLE_OK)
		return *http->transport_error ? http->transport_error
					      : curl_easy_strerror(code);
	if (!cli_head_is_complete(&transfer->head) ||
	    !cli_head_has_end(&transfer->head))
		return "the answer is incomplete";
	return NULL;
}

static void perform(struct cmd_http *http, struct transfer *transfer)
{
	struct cmd_response *response = transfer->response;
	CURLcode code = curl_easy_perform(http->curl);
	const char *failure = describe_failure(http, transfer, code);

	response->maybe_sent = code != CURLE_COULDNT_CONNECT &&
			       code != CURLE_COULDNT_RESOLVE_HOST &&
			       code != CURLE_URL_MALFORMAT;
	if (failure) {
		response->transport_error = g_strdup(failure);
		return;
	}
	response->status = transfer->head.status;
	response->etag = transfer->head.etag;
}

void cmd_http_request(struct cmd_http *http, const char *method,
		      const char *url, const char *condition, GBytes *body,
		      int extra_ms, struct cmd_response *response)
{
	struct transfer transfer = {.response = response};
	struct curl_slist *headers = NULL;
	CURL *curl = http->curl;

	memset(response, 0, sizeof(*response));
	response->body = g_byte_array_new();
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers,
				    "Content-Type: application/octet-stream");
	if (condition)
		headers = curl_slist_append(headers, condition);
	curl_easy_reset(curl);
	*http->transport_error = '\0';
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, http->transport_error);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 (long)http->timeout_ms + extra_ms);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)http->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &transfer);
	set_body(curl, method, body);
	perform(http, &transfer);
	curl_slist_free_all(headers);
}

void cmd_response_clear(struct cmd_response *response)
{
	if (response->body)
		g_byte_array_unref(response->body);
	g_free(response->transport_error);
	memset(response, 0, sizeof(*response));
}
