#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "daemon/cli_request.h"

/* Idle connections kept open, for all targets together. */
#define MAX_IDLE_CONNECTIONS 256L
/*
 * After a request to an address timed out, requests to it open new
 * connections for as long as an idle connection may be kept.
 */
#define NO_REUSE_MS 10000
#define MAX_NO_REUSE 4096

struct cli_client {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t curl_timer;
	uv_timer_t idle_timer;
	unsigned open_timers;
	struct tbl_table *requests; /* of struct cli_request * */
	GQueue *pending;      /* handles (pointers) of requests with new data */
	GHashTable *no_reuse; /* address to time of the time-out (loop, ms) */
	struct ctr_set *counters;
};

/* A libcurl socket that the loop polls. */
struct socket_watch {
	uv_poll_t poll;
	struct cli_client *client;
	curl_socket_t fd;
	struct cli_request *request; /* whose connection it is */
};

static struct cli_request *find_request(const struct cli_client *client,
					tbl_handle handle)
{
	struct cli_request **slot = tbl_get(client->requests, handle);

	return slot ? *slot : NULL;
}

void cli_request_data_received(struct cli_request *request)
{
	struct cli_client *client = request->client;

	request->last_byte_ms = uv_now(client->loop);
	if (request->queued || !request->streams)
		return;
	request->queued = true;
	g_queue_push_tail(client->pending, &request->handle);
}

/* Removes a request from the client, without dropping its handler. */
static void detach(struct cli_client *client, struct cli_request *request)
{
	tbl_remove(client->requests, request->handle);
	if (request->queued)
		g_queue_remove(client->pending, &request->handle);
	curl_multi_remove_handle(client->multi, request->easy);
}

static void free_request(struct cli_request *request)
{
	cli_request_free(request);
	g_free(request);
}

static void drop_handler(struct cli_handler *handler)
{
	if (handler->ops->drop)
		handler->ops->drop(handler);
}

static void forbid_reuse(struct cli_client *client,
			 const struct cli_request *request)
{
	gint64 *time;

	if (g_hash_table_size(client->no_reuse) >= MAX_NO_REUSE)
		g_hash_table_remove_all(client->no_reuse);
	time = g_new(gint64, 1);
	*time = (gint64)uv_now(client->loop);
	g_hash_table_replace(client->no_reuse, g_strdup(request->address),
			     time);
}

static bool is_reuse_forbidden(struct cli_client *client, const char *address)
{
	gint64 *time = g_hash_table_lookup(client->no_reuse, address);

	if (!time)
		return false;
	if ((gint64)uv_now(client->loop) - *time < NO_REUSE_MS)
		return true;
	g_hash_table_remove(client->no_reuse, address);
	return false;
}

static void finish(struct cli_client *client, struct cli_request *request,
		   struct cli_result *result)
{
	struct cli_handler *handler = request->handler;

	if (!result->ok) {
		ctr_add(client->counters, "wf_http_client_failures_total", 1);
		if (result->error == ERR_DEADLINE)
			forbid_reuse(client, request);
	}
	detach(client, request);
	free_request(request);
	if (handler->ops->done)
		handler->ops->done(handler, result);
	if (result->body)
		g_bytes_unref(result->body);
	drop_handler(handler);
}

static void fail(struct cli_client *client, struct cli_request *request,
		 enum err_code error)
{
	struct cli_result result;

	cli_request_result(request, CURLE_OPERATION_TIMEDOUT, &result);
	result.error = error;
	finish(client, request, &result);
}

/* Passes received data to the handler. False if the request has ended. */
static bool deliver_data(struct cli_client *client, struct cli_request *request)
{
	tbl_handle handle = request->handle;
	long status = 0;
	GByteArray *data;
	bool ok;

	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	if (!request->streams || status != 200 || !request->received->len)
		return true;
	data = request->received;
	request->received = g_byte_array_new();
	ok = request->handler->ops->data(request->handler,
					 (const char *)data->data, data->len);
	g_byte_array_unref(data);
	request = find_request(client, handle);
	if (!request)
		return false;
	if (ok)
		return true;
	fail(client, request, ERR_PROTOCOL);
	return false;
}

static void deliver_pending(struct cli_client *client)
{
	tbl_handle *handle;

	while ((handle = g_queue_pop_head(client->pending))) {
		struct cli_request *request = find_request(client, *handle);

		request->queued = false;
		deliver_data(client, request);
	}
}

static void finish_completed(struct cli_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		CURLcode code = message->data.result;
		struct cli_request *request;
		struct cli_result result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &request);
		if (!deliver_data(client, request))
			continue;
		cli_request_result(request, code, &result);
		finish(client, request, &result);
	}
}

static void process(struct cli_client *client)
{
	deliver_pending(client);
	finish_completed(client);
}

/*
 * Whether the bytes that libcurl reads next hold a NUL. Where there are none,
 * a read would take the report of a reset from libcurl.
 */
static bool has_unread_nul(curl_socket_t fd)
{
	char bytes[CURL_MAX_WRITE_SIZE];
	int available = 0;
	ssize_t n;

	if (ioctl(fd, FIONREAD, &available) || available <= 0)
		return false;
	n = recv(fd, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
	return n > 0 && memchr(bytes, '\0', (size_t)n);
}

static void on_socket_ready(uv_poll_t *poll, int status, int events)
{
	struct socket_watch *watch = poll->data;
	struct cli_client *client = watch->client;
	struct cli_request *request = watch->request;
	/* libcurl drops what it has read from a NUL on that starts a header
	 * line, and takes what it reads next for the rest of the head. */
	bool has_nul = (events & UV_READABLE) &&
		       !cli_head_is_complete(&request->head) &&
		       has_unread_nul(watch->fd);
	int flags = 0;
	int running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, watch->fd, flags, &running);
	if (has_nul && !cli_head_is_complete(&request->head))
		fail(client, request, ERR_PROTOCOL);
	process(client);
}

static void on_watch_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static struct socket_watch *watch_socket(struct cli_client *client,
					 curl_socket_t fd)
{
	struct socket_watch *watch = g_new0(struct socket_watch, 1);

	watch->client = client;
	watch->fd = fd;
	watch->poll.data = watch;
	if (uv_poll_init_socket(client->loop, &watch->poll, fd)) {
		g_free(watch);
		return NULL;
	}
	curl_multi_assign(client->multi, fd, watch);
	return watch;
}

static void unwatch_socket(struct cli_client *client, curl_socket_t fd,
			   struct socket_watch *watch)
{
	if (!watch)
		return;
	curl_multi_assign(client->multi, fd, NULL);
	uv_close((uv_handle_t *)&watch->poll, on_watch_closed);
}

static int on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *user,
			  void *socket_user)
{
	struct cli_client *client = user;
	struct socket_watch *watch = socket_user;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		unwatch_socket(client, fd, watch);
		return 0;
	}
	if (!watch)
		watch = watch_socket(client, fd);
	if (!watch)
		return -1;
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &watch->request);
	if (what != CURL_POLL_OUT)
		events |= UV_READABLE;
	if (what != CURL_POLL_IN)
		events |= UV_WRITABLE;
	return uv_poll_start(&watch->poll, events, on_socket_ready);
}

static void on_curl_timeout(uv_timer_t *timer)
{
	struct cli_client *client = timer->data;
	int running;

	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	process(client);
}

static int on_curl_timer(CURLM *multi, long timeout_ms, void *user)
{
	struct cli_client *client = user;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&client->curl_timer);
	else
		uv_timer_start(&client->curl_timer, on_curl_timeout,
			       (uint64_t)timeout_ms, 0);
	return 0;
}

static void arm_idle_timer(struct cli_client *client);

static bool is_silent(const struct cli_request *request, uint64_t now)
{
	return request->idle_timeout &&
	       now - request->last_byte_ms >= (uint64_t)request->idle_timeout;
}

static void on_idle_timeout_check(uv_timer_t *timer)
{
	struct cli_client *client = timer->data;
	uint64_t now = uv_now(client->loop);
	size_t cursor = 0;
	struct cli_request **slot;

	while ((slot = tbl_next(client->requests, &cursor, NULL)))
		if (is_silent(*slot, now))
			fail(client, *slot,
			     (*slot)->sent ? ERR_DEADLINE : ERR_TARGET_FAILED);
	arm_idle_timer(client);
}

/* Arms the timer for the earliest idle time-out of all requests. */
static void arm_idle_timer(struct cli_client *client)
{
	uint64_t now = uv_now(client->loop);
	uint64_t first = UINT64_MAX;
	size_t cursor = 0;
	struct cli_request **slot;

	while ((slot = tbl_next(client->requests, &cursor, NULL)))
		if ((*slot)->idle_timeout)
			first = MIN(first,
				    (*slot)->last_byte_ms +
					    (uint64_t)(*slot)->idle_timeout);
	if (first == UINT64_MAX)
		uv_timer_stop(&client->idle_timer);
	else
		uv_timer_start(&client->idle_timer, on_idle_timeout_check,
			       first > now ? first - now : 0, 0);
}

static void setup_multi(struct cli_client *client)
{
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
			  on_curl_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  MAX_IDLE_CONNECTIONS);
}

struct cli_client *cli_new(uv_loop_t *loop, struct ctr_set *counters)
{
	struct cli_client *client = g_new0(struct cli_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->counters = ctr_keep(counters);
	client->multi = curl_multi_init();
	client->requests = tbl_new(sizeof(struct cli_request *));
	client->pending = g_queue_new();
	client->no_reuse =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(loop, &client->curl_timer);
	uv_timer_init(loop, &client->idle_timer);
	client->curl_timer.data = client;
	client->idle_timer.data = client;
	client->open_timers = 2;
	setup_multi(client);
	return client;
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct cli_client *client = handle->data;

	if (--client->open_timers)
		return;
	g_free(client);
}

void cli_drop(struct cli_client *client)
{
	size_t cursor = 0;
	tbl_handle handle;

	if (!client)
		return;
	while (tbl_next(client->requests, &cursor, &handle))
		cli_cancel(client, handle);
	curl_multi_cleanup(client->multi);
	curl_global_cleanup();
	tbl_drop(client->requests);
	g_queue_free(client->pending);
	g_hash_table_destroy(client->no_reuse);
	ctr_drop(client->counters);
	uv_close((uv_handle_t *)&client->curl_timer, on_timer_closed);
	uv_close((uv_handle_t *)&client->idle_timer, on_timer_closed);
}

static void add_request(struct cli_client *client, struct cli_request *request)
{
	struct cli_request **slot;
	void *entry;

	request->handle = tbl_add(client->requests, &entry);
	slot = entry;
	*slot = request;
	request->last_byte_ms = uv_now(client->loop);
	curl_multi_add_handle(client->multi, request->easy);
	if (request->idle_timeout)
		arm_idle_timer(client);
}

tbl_handle cli_start(struct cli_client *client, const struct cli_spec *spec,
		     struct cli_handler *handler)
{
	struct cli_request *request = g_new0(struct cli_request, 1);
	struct cli_spec copy = *spec;

	uv_update_time(client->loop);
	copy.fresh_connection = spec->fresh_connection ||
				is_reuse_forbidden(client, spec->address);
	request->client = client;
	request->handler = handler;
	request->streams = handler->ops->data != NULL;
	request->address = g_strdup(spec->address);
	request->easy = curl_easy_init();
	/* An invalid URL fails in the multi handle, like any error. */
	cli_request_setup(request, &copy);
	add_request(client, request);
	return request->handle;
}

void cli_cancel(struct cli_client *client, tbl_handle handle)
{
	struct cli_request *request = find_request(client, handle);
	struct cli_handler *handler;

	if (!request)
		return;
	handler = request->handler;
	detach(client, request);
	free_request(request);
	drop_handler(handler);
}

size_t cli_count(const struct cli_client *client)
{
	return tbl_count(client->requests);
}
