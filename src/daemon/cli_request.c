#include <string.h>

#include "daemon/cli_request.h"

/* Within a data centre or region, connecting takes milliseconds. */
#define CONNECT_TIMEOUT_MS 1000L
/* Connections idle for longer are not reused. */
#define MAX_IDLE_SECONDS 10L
/* Header lines of one response, with interim responses and trailer section. */
#define HEAD_LIMIT ((size_t)256 << 10)
#define DEFAULT_BODY_LIMIT ((size_t)8 << 20)
/* Received bytes not yet delivered to a streaming handler. */
#define STREAM_BUFFER_LIMIT ((size_t)1 << 20)
#define HTTP_OK 200L

/*
 * Called after connecting and before the first byte of the request is sent.
 * A second call for the same request means that libcurl resends it on another
 * connection.
 */
static int on_request(void *user, char *remote_ip, char *local_ip,
		      int remote_port, int local_port)
{
	struct cli_request *request = user;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (request->sent && !request->may_resend)
		return CURL_PREREQFUNC_ABORT;
	request->sent = true;
	return CURL_PREREQFUNC_OK;
}

static bool wants_stream(const struct cli_request *request)
{
	long status = 0;

	if (!request->streams)
		return false;
	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	return status == HTTP_OK;
}

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	struct cli_request *request = user;
	size_t len = size * n;
	size_t limit = request->body_limit;

	if (wants_stream(request))
		limit = STREAM_BUFFER_LIMIT;
	if (request->received->len + len > limit) {
		request->too_large = true;
		return 0;
	}
	g_byte_array_append(request->received, (const guint8 *)data,
			    (guint)len);
	cli_request_data_received(request);
	return len;
}

static size_t on_header(char *data, size_t size, size_t n, void *user)
{
	struct cli_request *request = user;

	if (!cli_head_read_line(&request->head, data, size * n)) {
		request->malformed = true;
		return 0;
	}
	if (request->head.bytes > HEAD_LIMIT) {
		request->too_large = true;
		return 0;
	}
	cli_request_data_received(request);
	return size * n;
}

static void add_header(struct cli_request *request, const char *line)
{
	request->headers = curl_slist_append(request->headers, line);
}

static void setup_headers(struct cli_request *request,
			  const struct cli_spec *spec)
{
	const char *const *line;

	/* Waiting for "100 Continue" would cost a round trip. */
	add_header(request, "Expect:");
	for (line = spec->headers; line && *line; line++)
		add_header(request, *line);
	curl_easy_setopt(request->easy, CURLOPT_HTTPHEADER, request->headers);
}

static void setup_body(struct cli_request *request, const struct cli_spec *spec)
{
	gsize len;
	const char *data;

	if (!spec->body)
		return;
	request->body = g_bytes_ref(spec->body);
	data = g_bytes_get_data(request->body, &len);
	curl_easy_setopt(request->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(request->easy, CURLOPT_POSTFIELDS, data ? data : "");
	curl_easy_setopt(request->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)len);
}

static void setup_connection(struct cli_request *request,
			     const struct cli_spec *spec)
{
	CURL *easy = request->easy;

	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)spec->timeout);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MAX_IDLE_SECONDS);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 (long)spec->fresh_connection);
}

static void setup_callbacks(struct cli_request *request)
{
	CURL *easy = request->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
}

bool cli_request_setup(struct cli_request *request, const struct cli_spec *spec)
{
	char *url = g_strdup_printf("http://%s%s", spec->address, spec->path);
	CURLcode code;

	request->body_limit =
		spec->body_limit ? spec->body_limit : DEFAULT_BODY_LIMIT;
	request->idle_timeout = spec->idle_timeout;
	request->may_resend = spec->may_resend;
	request->received = g_byte_array_new();
	setup_connection(request, spec);
	setup_callbacks(request);
	setup_headers(request, spec);
	setup_body(request, spec);
	if (strcmp(spec->method, "GET") != 0)
		curl_easy_setopt(request->easy, CURLOPT_CUSTOMREQUEST,
				 spec->method);
	code = curl_easy_setopt(request->easy, CURLOPT_URL, url);
	g_free(url);
	return code == CURLE_OK;
}

static enum err_code error_from_curl(const struct cli_request *request,
				     CURLcode code)
{
	if (request->too_large)
		return ERR_TOO_LARGE;
	if (request->malformed)
		return ERR_PROTOCOL;
	switch (code) {
	case CURLE_OPERATION_TIMEDOUT:
		return request->sent ? ERR_DEADLINE : ERR_TARGET_FAILED;
	case CURLE_COULDNT_CONNECT:
		return ERR_TARGET_FAILED;
	case CURLE_SEND_ERROR:
	case CURLE_RECV_ERROR:
	case CURLE_GOT_NOTHING:
	case CURLE_PARTIAL_FILE:
	case CURLE_ABORTED_BY_CALLBACK:
		return ERR_TARGET_LOST;
	/* Of a header line that libcurl refuses by itself. */
	case CURLE_BAD_FUNCTION_ARGUMENT:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_BAD_CONTENT_ENCODING:
		return ERR_PROTOCOL;
	default:
		return ERR_IO;
	}
}

/*
 * A response that ends only with the connection can't be told from a truncated
 * one, but a stream has an end of its own. libcurl also accepts a head that
 * breaks off.
 */
static bool is_complete_response(const struct cli_request *request)
{
	return cli_head_is_complete(&request->head) &&
	       (cli_head_has_end(&request->head) || wants_stream(request));
}

void cli_request_result(struct cli_request *request, CURLcode code,
			struct cli_result *result)
{
	long status = 0;

	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	memset(result, 0, sizeof(*result));
	result->sent = request->sent;
	result->status = (int)status;
	result->etag = request->head.etag;
	result->retry_after = request->head.retry_after;
	if (code != CURLE_OK) {
		result->error = error_from_curl(request, code);
		return;
	}
	if (!is_complete_response(request)) {
		result->error = ERR_TARGET_LOST;
		return;
	}
	result->ok = true;
	result->body =
		g_bytes_new(request->received->data, request->received->len);
}

void cli_request_free(struct cli_request *request)
{
	if (request->easy)
		curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->headers);
	if (request->received)
		g_byte_array_unref(request->received);
	if (request->body)
		g_bytes_unref(request->body);
	g_free(request->address);
}
