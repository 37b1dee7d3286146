#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rules_server.h"

struct rsv_server {
	struct rst_store *store;
	GMutex lock;
	GCond changed;
	int listener;
	char address[32];
	GThread *thread;
	GPtrArray *workers;
	bool closed;
	char *fault_prefix;
	enum rst_fault fault;
	unsigned n_faults;
	char *silence_prefix;
	char *broken_answer; /* sent in place of silence */
	bool silent;
	unsigned status_lag;
	bool watched;
	void (*before_manifest)(struct rst_store *store);
};

struct request {
	struct rsv_server *server;
	int socket;
	char method[8];
	char path[512];
	char *condition; /* version, "*", or NULL */
	GByteArray *body;
};

static void reply_head(int socket, int status, uint64_t etag, size_t len)
{
	char head[256];
	int n = g_snprintf(head, sizeof(head),
			   "HTTP/1.1 %d X\r\nConnection: close\r\n"
			   "Content-Length: %zu\r\n",
			   status, len);

	if (etag)
		n += g_snprintf(head + n, sizeof(head) - (size_t)n,
				"ETag: \"%" G_GUINT64_FORMAT "\"\r\n", etag);
	n += g_snprintf(head + n, sizeof(head) - (size_t)n, "\r\n");
	(void)send(socket, head, (size_t)n, MSG_NOSIGNAL);
}

static void reply_bytes(int socket, int status, uint64_t etag, const void *data,
			size_t len)
{
	const char *p = data;

	reply_head(socket, status, etag, len);
	while (len) {
		ssize_t n = send(socket, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		p += n;
		len -= (size_t)n;
	}
}

static void reply_text(int socket, int status, uint64_t etag, const char *text)
{
	reply_bytes(socket, status, etag, text, strlen(text));
}

/* Reads one request; false if the peer closes before its end. */
static bool read_request(struct request *request)
{
	char buffer[4096];
	size_t head_len = 0;
	size_t want = 0;
	char *field;

	while (!head_len || request->body->len < head_len + want) {
		ssize_t n = recv(request->socket, buffer, sizeof(buffer), 0);
		char *end;

		if (n <= 0)
			return false;
		g_byte_array_append(request->body, (guint8 *)buffer, (guint)n);
		if (head_len)
			continue;
		g_byte_array_append(request->body, (const guint8 *)"", 1);
		end = strstr((char *)request->body->data, "\r\n\r\n");
		g_byte_array_set_size(request->body, request->body->len - 1);
		if (!end)
			continue;
		head_len = (size_t)(end - (char *)request->body->data) + 4;
		end[2] = '\0';
		field = strstr((char *)request->body->data, "Content-Length:");
		want = field ? strtoul(field + 15, NULL, 10) : 0;
	}
	ck_assert_int_eq(sscanf((char *)request->body->data, "%7s %511s",
				request->method, request->path),
			 2);
	field = strstr((char *)request->body->data, "If-Match: \"");
	if (field)
		request->condition =
			g_strndup(field + 11, strcspn(field + 11, "\""));
	if (strstr((char *)request->body->data, "If-None-Match: *"))
		request->condition = g_strdup("*");
	g_byte_array_remove_range(request->body, 0, (guint)head_len);
	return true;
}

static int status_of(enum wf_store_result result)
{
	switch (result) {
	case WF_STORE_OK:
		return 200;
	case WF_STORE_CONFLICT:
		return 412;
	case WF_STORE_NOT_FOUND:
		return 404;
	case WF_STORE_REFUSED:
		return 413;
	case WF_STORE_UNAVAILABLE:
	case WF_STORE_UNKNOWN:
		break;
	}
	return 503;
}

static enum rst_fault take_fault(struct rsv_server *server, const char *name)
{
	if (server->silence_prefix &&
	    g_str_has_prefix(name, server->silence_prefix))
		server->silent = true;
	if (!server->n_faults || !g_str_has_prefix(name, server->fault_prefix))
		return RST_NONE;
	server->n_faults--;
	return server->fault;
}

static void serve_object(struct request *request, const char *name)
{
	struct rsv_server *server = request->server;
	struct wf_action action = {.type = WF_ACT_STORE_GET};
	enum rst_fault fault = RST_NONE;
	struct wf_store_reply reply;
	gsize len = 0;
	const void *data = "";

	if (*request->method == 'P') {
		action.type = WF_ACT_STORE_PUT;
		if (server->before_manifest &&
		    !strcmp(name, RUL_MANIFEST_NAME)) {
			server->before_manifest(server->store);
			server->before_manifest = NULL;
		}
		fault = take_fault(server, name);
	}
	if (*request->method == 'D')
		action.type = WF_ACT_STORE_DELETE;
	/* Every write must be conditional. */
	ck_assert(action.type == WF_ACT_STORE_GET || request->condition);
	if (request->condition && *request->condition != '*')
		action.version = g_ascii_strtoull(request->condition, NULL, 10);
	action.name = g_strdup(name);
	action.body = g_bytes_new(request->body->data, request->body->len);
	rst_execute(server->store, &action, fault, &reply);
	g_cond_broadcast(&server->changed);
	if (reply.value)
		data = g_bytes_get_data(reply.value, &len);
	if (server->silent && server->broken_answer)
		(void)send(request->socket, server->broken_answer,
			   strlen(server->broken_answer), MSG_NOSIGNAL);
	else if (reply.result != WF_STORE_UNKNOWN && !server->silent)
		reply_bytes(request->socket, status_of(reply.result),
			    reply.version, data, len);
	rst_reply_clear(&reply);
}

/* Formats the objects newer than after; returns their number. */
static unsigned list_objects(const struct request *request, const char *prefix,
			     uint64_t after, GString *out)
{
	struct wf_action action = {.type = WF_ACT_STORE_LIST};
	struct wf_store_reply reply;
	unsigned n = 0;
	size_t i;

	action.name = g_strdup(prefix);
	rst_execute(request->server->store, &action, RST_NONE, &reply);
	g_string_printf(out,
			"{\"revision\":%" G_GUINT64_FORMAT ",\"objects\":[",
			reply.version);
	for (i = 0; i < reply.n_entries; i++) {
		if (reply.entries[i].version <= after)
			continue;
		g_string_append_printf(
			out,
			"%s{\"name\":\"%s\",\"version\":%" G_GUINT64_FORMAT "}",
			n ? "," : "", reply.entries[i].name,
			reply.entries[i].version);
		n++;
	}
	g_string_append(out, "]}");
	rst_reply_clear(&reply);
	return n;
}

/* Splits "kind?prefix=p&..." into "kind/p" and the rest. */
static char *take_prefix(char *path, char **rest)
{
	char *query = strchr(path, '?');
	char *end;

	ck_assert(query && g_str_has_prefix(query, "?prefix="));
	*query = '\0';
	query += strlen("?prefix=");
	end = query + strcspn(query, "&");
	*rest = end;
	return g_strdup_printf("%s/%.*s", path, (int)(end - query), query);
}

static void serve_list(struct request *request, char *path)
{
	GString *out = g_string_new(NULL);
	char *rest;
	char *prefix = take_prefix(path, &rest);

	list_objects(request, prefix, 0, out);
	reply_text(request->socket, 200, 0, out->str);
	g_free(prefix);
	g_string_free(out, TRUE);
}

static void serve_watch(struct request *request, char *path)
{
	struct rsv_server *server = request->server;
	GString *out = g_string_new(NULL);
	char *rest;
	char *prefix = take_prefix(path, &rest);
	uint64_t after = 0;

	ck_assert_int_eq(sscanf(rest, "&after=%" G_GUINT64_FORMAT, &after), 1);
	server->watched = true;
	g_cond_broadcast(&server->changed);
	while (!server->closed && !list_objects(request, prefix, after, out))
		g_cond_wait(&server->changed, &server->lock);
	reply_text(request->socket, 200, 0, out->str);
	g_free(prefix);
	g_string_free(out, TRUE);
}

static void serve_status(struct request *request)
{
	struct rsv_server *server = request->server;
	struct rul_manifest *manifest = rst_manifest(server->store);
	uint64_t revision = manifest->revision;
	char text[64];

	if (server->status_lag) {
		server->status_lag--;
		revision--;
	}
	g_snprintf(text, sizeof(text),
		   "{\"rules_revision\":%" G_GUINT64_FORMAT "}", revision);
	reply_text(request->socket, 200, 0, text);
	rul_manifest_free(manifest);
}

static void serve(struct request *request)
{
	const char objects[] = "/v1/objects/";
	const char watch[] = "/v1/watch/";
	char *path = request->path;

	if (request->server->silent)
		return;
	if (!strcmp(path, "/status"))
		serve_status(request);
	else if (g_str_has_prefix(path, watch))
		serve_watch(request, path + strlen(watch));
	else if (!g_str_has_prefix(path, objects))
		reply_text(request->socket, 404, 0, "");
	else if (strchr(path, '?'))
		serve_list(request, path + strlen(objects));
	else
		serve_object(request, path + strlen(objects));
}

static gpointer run_worker(gpointer data)
{
	struct request *request = data;
	struct rsv_server *server = request->server;

	request->body = g_byte_array_new();
	if (read_request(request)) {
		g_mutex_lock(&server->lock);
		serve(request);
		g_mutex_unlock(&server->lock);
	}
	close(request->socket);
	g_byte_array_unref(request->body);
	g_free(request->condition);
	g_free(request);
	return NULL;
}

static gpointer run_listener(gpointer data)
{
	struct rsv_server *server = data;

	for (;;) {
		int socket = accept(server->listener, NULL, NULL);
		struct request *request;

		if (socket < 0)
			return NULL;
		request = g_new0(struct request, 1);
		request->server = server;
		request->socket = socket;
		g_ptr_array_add(server->workers,
				g_thread_new("worker", run_worker, request));
	}
}

struct rsv_server *rsv_new(struct rst_store *store)
{
	struct rsv_server *server = g_new0(struct rsv_server, 1);
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);

	server->store = store;
	server->workers = g_ptr_array_new();
	g_mutex_init(&server->lock);
	g_cond_init(&server->changed);
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(
		bind(server->listener, (struct sockaddr *)&address, len), 0);
	ck_assert_int_eq(listen(server->listener, 16), 0);
	ck_assert_int_eq(getsockname(server->listener,
				     (struct sockaddr *)&address, &len),
			 0);
	g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	server->thread = g_thread_new("listener", run_listener, server);
	return server;
}

void rsv_drop(struct rsv_server *server)
{
	guint i;

	shutdown(server->listener, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->listener);
	g_mutex_lock(&server->lock);
	server->closed = true;
	g_cond_broadcast(&server->changed);
	g_mutex_unlock(&server->lock);
	for (i = 0; i < server->workers->len; i++)
		g_thread_join(server->workers->pdata[i]);
	g_ptr_array_unref(server->workers);
	g_mutex_clear(&server->lock);
	g_cond_clear(&server->changed);
	g_free(server->fault_prefix);
	g_free(server->silence_prefix);
	g_free(server->broken_answer);
	g_free(server);
}

const char *rsv_address(const struct rsv_server *server)
{
	return server->address;
}

void rsv_fault_puts(struct rsv_server *server, const char *prefix,
		    enum rst_fault fault, unsigned n)
{
	g_mutex_lock(&server->lock);
	g_free(server->fault_prefix);
	server->fault_prefix = g_strdup(prefix);
	server->fault = fault;
	server->n_faults = n;
	g_mutex_unlock(&server->lock);
}

void rsv_silence_after(struct rsv_server *server, const char *prefix)
{
	g_mutex_lock(&server->lock);
	server->silence_prefix = g_strdup(prefix);
	g_mutex_unlock(&server->lock);
}

void rsv_break_after(struct rsv_server *server, const char *prefix,
		     const char *answer)
{
	rsv_silence_after(server, prefix);
	g_mutex_lock(&server->lock);
	server->broken_answer = g_strdup(answer);
	g_mutex_unlock(&server->lock);
}

void rsv_lag_status(struct rsv_server *server, unsigned n)
{
	g_mutex_lock(&server->lock);
	server->status_lag = n;
	g_mutex_unlock(&server->lock);
}

void rsv_await_watch(struct rsv_server *server)
{
	g_mutex_lock(&server->lock);
	while (!server->watched)
		g_cond_wait(&server->changed, &server->lock);
	server->watched = false;
	g_mutex_unlock(&server->lock);
}

void rsv_before_manifest(struct rsv_server *server,
			 void (*run)(struct rst_store *store))
{
	g_mutex_lock(&server->lock);
	server->before_manifest = run;
	g_mutex_unlock(&server->lock);
}

void rsv_run(struct rsv_server *server, void (*run)(struct rst_store *store))
{
	g_mutex_lock(&server->lock);
	run(server->store);
	g_cond_broadcast(&server->changed);
	g_mutex_unlock(&server->lock);
}
