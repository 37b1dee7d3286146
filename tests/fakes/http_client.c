#include "http_client.h"

#include <string.h>

struct fc_client {
	CURLM *multi;
	uv_loop_t *loop;
	uv_timer_t timer;
};

struct fc_request {
	struct fc_client *client;
	CURL *easy;
	struct curl_slist *headers;
	GString *answer;
	fc_data_cb on_data;
	fc_done_cb on_done;
	void *data;
};

struct watcher {
	uv_poll_t poll;
	struct fc_client *client;
	curl_socket_t fd;
};

static void request_free(struct fc_request *request)
{
	curl_multi_remove_handle(request->client->multi, request->easy);
	curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->headers);
	g_string_free(request->answer, TRUE);
	g_free(request);
}

static void finish(CURL *easy, CURLcode code)
{
	struct fc_result result = {0};
	struct fc_request *request;
	curl_off_t retry_after = 0;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&request);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_RETRY_AFTER, &retry_after);
	result.code = code;
	result.status = code == CURLE_OK ? (int)status : 0;
	result.retry_after_s = (long)retry_after;
	result.body = request->answer->str;
	result.len = request->answer->len;
	request->on_done(&result, request->data);
	request_free(request);
}

static void check_done(struct fc_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			finish(message->easy_handle, message->data.result);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	struct watcher *watcher = poll->data;
	struct fc_client *client = watcher->client;
	int flags = 0;
	int running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, watcher->fd, flags, &running);
	check_done(client);
}

static void on_timer(uv_timer_t *timer)
{
	struct fc_client *client = timer->data;
	int running;

	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	check_done(client);
}

static int set_timer(CURLM *multi, long timeout_ms, void *data)
{
	struct fc_client *client = data;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&client->timer);
	else
		uv_timer_start(&client->timer, on_timer, (uint64_t)timeout_ms,
			       0);
	return 0;
}

static void on_watcher_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static struct watcher *watcher_new(struct fc_client *client, curl_socket_t fd)
{
	struct watcher *watcher = g_new0(struct watcher, 1);

	watcher->client = client;
	watcher->fd = fd;
	uv_poll_init_socket(client->loop, &watcher->poll, fd);
	watcher->poll.data = watcher;
	return watcher;
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *data,
			void *socket_data)
{
	struct fc_client *client = data;
	struct watcher *watcher = socket_data;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watcher) {
			uv_poll_stop(&watcher->poll);
			uv_close((uv_handle_t *)&watcher->poll,
				 on_watcher_closed);
		}
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (!watcher) {
		watcher = watcher_new(client, fd);
		curl_multi_assign(client->multi, fd, watcher);
	}
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&watcher->poll, events, on_poll);
	return 0;
}

struct fc_client *fc_new(uv_loop_t *loop, long max_connections)
{
	struct fc_client *client = g_new0(struct fc_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->multi = curl_multi_init();
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	if (max_connections)
		curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
				  max_connections);
	return client;
}

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct fc_request *request = data;

	if (request->on_data)
		request->on_data(bytes, size * n, request->data);
	else
		g_string_append_len(request->answer, bytes, (gssize)(size * n));
	return size * n;
}

static void set_options(CURL *easy, const struct fc_options *options)
{
	curl_easy_setopt(easy, CURLOPT_URL, options->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, options->timeout_ms);
	if (options->connect_timeout_ms)
		curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
				 options->connect_timeout_ms);
	if (options->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)options->body_len);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, options->body);
	}
	if (options->new_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

static void set_headers(struct fc_request *request,
			const struct fc_options *options)
{
	int i;

	/* Without this libcurl waits for "100 Continue" on larger bodies. */
	request->headers = curl_slist_append(NULL, "Expect:");
	for (i = 0; options->headers && options->headers[i]; i++)
		request->headers = curl_slist_append(request->headers,
						     options->headers[i]);
	curl_easy_setopt(request->easy, CURLOPT_HTTPHEADER, request->headers);
}

struct fc_request *fc_send(struct fc_client *client,
			   const struct fc_options *options)
{
	struct fc_request *request = g_new0(struct fc_request, 1);

	request->client = client;
	request->on_data = options->on_data;
	request->on_done = options->on_done;
	request->data = options->data;
	request->answer = g_string_new(NULL);
	request->easy = curl_easy_init();
	set_options(request->easy, options);
	set_headers(request, options);
	curl_easy_setopt(request->easy, CURLOPT_PRIVATE, request);
	curl_easy_setopt(request->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(request->easy, CURLOPT_WRITEDATA, request);
	curl_multi_add_handle(client->multi, request->easy);
	return request;
}

void fc_cancel(struct fc_request *request)
{
	request_free(request);
}
