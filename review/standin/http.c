#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "review/standin/kit.h"

/* A small HTTP/1.1 server and client for the scripts. */

struct kit_server {
	uv_tcp_t tcp;
	char *address;
	kit_request_fn fn;
	void *user;
	bool is_silent;
	GPtrArray *conns;
	unsigned accepted;
};

struct kit_conn {
	uv_tcp_t tcp;
	struct kit_server *server;
	GString *in;
	unsigned number;
	int refs;
	bool is_open;
	/* The peer has closed; noticed once the server isn't silent. */
	bool is_ended;
	char buffer[65536];
};

struct kit_client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	GString *in;
	bool is_open;
	bool is_closing;
	kit_answer_fn fn;
	void *user;
	/* Of the attempt, or empty. */
	char id[40];
	char buffer[65536];
};

struct write {
	uv_write_t request;
	char *bytes;
};

/* Messages */

static struct kit_message *message_new(void)
{
	struct kit_message *message = g_new0(struct kit_message, 1);

	message->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	message->head = g_string_new(NULL);
	message->body = g_string_new(NULL);
	return message;
}

static void message_free(struct kit_message *message)
{
	g_free(message->method);
	g_free(message->path);
	g_hash_table_unref(message->fields);
	g_string_free(message->head, TRUE);
	g_string_free(message->body, TRUE);
	g_free(message);
}

const char *kit_field(const struct kit_message *message, const char *name)
{
	char *key = g_ascii_strdown(name, -1);
	const char *value = g_hash_table_lookup(message->fields, key);

	g_free(key);
	return value;
}

static void read_first_line(struct kit_message *message, const char *line)
{
	char **words = g_strsplit(line, " ", 3);

	if (g_str_has_prefix(line, "HTTP/")) {
		message->status = words[1] ? atoi(words[1]) : 0;
	} else if (words[0] && words[1]) {
		message->method = g_strdup(words[0]);
		message->path = g_strdup(words[1]);
	}
	g_strfreev(words);
}

/* The first of several fields of one name is kept. */
static void read_field(struct kit_message *message, const char *line)
{
	const char *colon = strchr(line, ':');
	char *name;

	if (!colon)
		return;
	name = g_ascii_strdown(line, colon - line);
	if (g_hash_table_contains(message->fields, name))
		g_free(name);
	else
		g_hash_table_insert(message->fields, name,
				    g_strstrip(g_strdup(colon + 1)));
}

static void read_head(struct kit_message *message, const char *text, size_t len)
{
	char *head = g_strndup(text, len);
	char **lines = g_strsplit(head, "\r\n", -1);
	unsigned i;

	g_string_assign(message->head, head);
	read_first_line(message, lines[0]);
	for (i = 1; lines[i]; i++)
		read_field(message, lines[i]);
	g_strfreev(lines);
	g_free(head);
}

/* Reads a chunked body; returns its length with trailers, 0 if it isn't
 * whole. */
static size_t read_chunks(const char *text, size_t len, GString *body)
{
	size_t at = 0;

	for (;;) {
		const char *line = memchr(text + at, '\n', len - at);
		size_t size;

		if (!line)
			return 0;
		size = strtoul(text + at, NULL, 16);
		at = (size_t)(line - text) + 1;
		if (!size)
			break;
		if (len < at + size + 2)
			return 0;
		g_string_append_len(body, text + at, (gssize)size);
		at += size + 2;
	}
	for (;;) {
		const char *line = memchr(text + at, '\n', len - at);
		size_t start = at;

		if (!line)
			return 0;
		at = (size_t)(line - text) + 1;
		if (at - start <= 2)
			return at;
	}
}

/* Takes the first whole message from the bytes, or returns NULL. */
static struct kit_message *take_message(GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	struct kit_message *message;
	const char *length;
	size_t head;
	size_t size = 0;

	if (!end)
		return NULL;
	head = (size_t)(end - in->str) + 4;
	message = message_new();
	read_head(message, in->str, head - 4);
	length = kit_field(message, "content-length");
	if (kit_field(message, "transfer-encoding")) {
		size = read_chunks(in->str + head, in->len - head,
				   message->body);
		if (!size) {
			message_free(message);
			return NULL;
		}
	} else if (length) {
		size = strtoul(length, NULL, 10);
		if (in->len < head + size) {
			message_free(message);
			return NULL;
		}
		g_string_append_len(message->body, in->str + head,
				    (gssize)size);
	}
	g_string_erase(in, 0, (gssize)(head + size));
	return message;
}

/* Writing */

static void on_written(uv_write_t *request, int status)
{
	struct write *write = request->data;

	(void)status;
	g_free(write->bytes);
	g_free(write);
}

static void send_bytes(uv_tcp_t *tcp, const char *bytes, size_t len)
{
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buffer;

	write->bytes = g_memdup2(bytes, len);
	write->request.data = write;
	buffer = uv_buf_init(write->bytes, (unsigned)len);
	if (uv_write(&write->request, (uv_stream_t *)tcp, &buffer, 1,
		     on_written)) {
		g_free(write->bytes);
		g_free(write);
	}
}

/* Servers */

struct kit_conn *kit_conn_keep(struct kit_conn *conn)
{
	conn->refs++;
	return conn;
}

void kit_conn_drop(struct kit_conn *conn)
{
	if (--conn->refs)
		return;
	g_string_free(conn->in, TRUE);
	g_free(conn);
}

static void on_conn_closed(uv_handle_t *handle)
{
	kit_conn_drop(handle->data);
}

static void close_conn(struct kit_conn *conn)
{
	if (!conn->is_open)
		return;
	conn->is_open = false;
	g_ptr_array_remove_fast(conn->server->conns, conn);
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

bool kit_conn_is_open(const struct kit_conn *conn)
{
	return conn->is_open && !conn->is_ended;
}

unsigned kit_conn_number(const struct kit_conn *conn)
{
	return conn->number;
}

static void serve(struct kit_conn *conn)
{
	struct kit_message *request;

	if (conn->server->is_silent)
		return;
	kit_conn_keep(conn);
	/* What came before an end that is known is dropped. */
	while (kit_conn_is_open(conn) &&
	       (request = take_message(conn->in)) != NULL) {
		conn->server->fn(conn, request, conn->server->user);
		message_free(request);
	}
	if (conn->is_ended)
		close_conn(conn);
	kit_conn_drop(conn);
}

static void on_conn_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct kit_conn *conn = handle->data;

	(void)size;
	*buffer = uv_buf_init(conn->buffer, sizeof(conn->buffer));
}

static void on_conn_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct kit_conn *conn = stream->data;

	if (n > 0) {
		g_string_append_len(conn->in, buffer->base, n);
	} else if (n < 0) {
		conn->is_ended = true;
		uv_read_stop(stream);
	}
	serve(conn);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct kit_server *server = stream->data;
	struct kit_conn *conn;

	if (status)
		return;
	conn = g_new0(struct kit_conn, 1);
	conn->server = server;
	conn->in = g_string_new(NULL);
	conn->refs = 1;
	conn->number = ++server->accepted;
	uv_tcp_init(kit_loop, &conn->tcp);
	conn->tcp.data = conn;
	if (uv_accept(stream, (uv_stream_t *)&conn->tcp)) {
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
		return;
	}
	conn->is_open = true;
	g_ptr_array_add(server->conns, conn);
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_conn_alloc, on_conn_read);
}

struct kit_server *kit_listen(const char *ip, kit_request_fn fn, void *user)
{
	struct kit_server *server = g_new0(struct kit_server, 1);
	struct sockaddr_in at;
	int len = sizeof(at);

	server->fn = fn;
	server->user = user;
	server->conns = g_ptr_array_new();
	uv_tcp_init(kit_loop, &server->tcp);
	server->tcp.data = server;
	uv_ip4_addr(ip, 0, &at);
	if (uv_tcp_bind(&server->tcp, (struct sockaddr *)&at, 0) ||
	    uv_listen((uv_stream_t *)&server->tcp, 512, on_connection) ||
	    uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&at, &len))
		kit_finish(KIT_NOT_RUN);
	server->address = g_strdup_printf("%s:%d", ip, ntohs(at.sin_port));
	return server;
}

static void on_cut(uv_shutdown_t *request, int status)
{
	struct kit_conn *conn = request->data;

	(void)status;
	close_conn(conn);
	kit_conn_drop(conn);
	g_free(request);
}

void kit_conn_cut(struct kit_conn *conn)
{
	uv_shutdown_t *request;

	if (!conn->is_open)
		return;
	request = g_new0(uv_shutdown_t, 1);
	request->data = kit_conn_keep(conn);
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_cut)) {
		close_conn(conn);
		kit_conn_drop(conn);
		g_free(request);
	}
}

void kit_stop(struct kit_server *server)
{
	while (server->conns->len)
		close_conn(server->conns->pdata[0]);
	uv_close((uv_handle_t *)&server->tcp, NULL);
}

const char *kit_address(const struct kit_server *server)
{
	return server->address;
}

static void drop_conn(gpointer conn)
{
	kit_conn_drop(conn);
}

void kit_set_silent(struct kit_server *server, bool is_silent)
{
	GPtrArray *conns;
	guint i;

	server->is_silent = is_silent;
	if (is_silent)
		return;
	conns = g_ptr_array_new_with_free_func(drop_conn);
	for (i = 0; i < server->conns->len; i++)
		g_ptr_array_add(conns, kit_conn_keep(server->conns->pdata[i]));
	for (i = 0; i < conns->len; i++)
		serve(conns->pdata[i]);
	g_ptr_array_unref(conns);
}

bool kit_is_silent(const struct kit_server *server)
{
	return server->is_silent;
}

void kit_send(struct kit_conn *conn, const char *bytes, size_t len)
{
	if (conn->is_open)
		send_bytes(&conn->tcp, bytes, len);
}

void kit_send_text(struct kit_conn *conn, const char *text)
{
	kit_send(conn, text, strlen(text));
}

void kit_answer(struct kit_conn *conn, int status, const char *fields,
		const char *body, size_t len)
{
	char *head = g_strdup_printf(
		"HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n", status,
		fields, len);

	kit_send_text(conn, head);
	if (len)
		kit_send(conn, body, len);
	g_free(head);
}

void kit_answer_json(struct kit_conn *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	kit_answer(conn, status, "Content-Type: application/json\r\n", text,
		   strlen(text));
	free(text);
	json_decref(body);
}

/* Clients */

static void on_client_closed(uv_handle_t *handle)
{
	struct kit_client *client = handle->data;

	g_string_free(client->in, TRUE);
	g_free(client);
}

void kit_client_close(struct kit_client *client)
{
	client->is_open = false;
	client->fn = NULL;
	if (client->is_closing)
		return;
	client->is_closing = true;
	uv_close((uv_handle_t *)&client->tcp, on_client_closed);
}

bool kit_client_is_open(const struct kit_client *client)
{
	return client->is_open;
}

static void finish_request(struct kit_client *client,
			   struct kit_message *answer)
{
	kit_answer_fn fn = client->fn;

	client->fn = NULL;
	if (fn && *client->id)
		kit_record("client gets %d%s for %s", answer->status,
			   answer->is_cut ? ", cut off," : "", client->id);
	if (fn)
		fn(client, answer, client->user);
	message_free(answer);
}

static void end_client(struct kit_client *client)
{
	struct kit_message *answer = message_new();
	const char *end = strstr(client->in->str, "\r\n\r\n");

	client->is_open = false;
	answer->is_cut = true;
	if (end)
		read_head(answer, client->in->str,
			  (size_t)(end - client->in->str));
	finish_request(client, answer);
}

static void on_client_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct kit_client *client = handle->data;

	(void)size;
	*buffer = uv_buf_init(client->buffer, sizeof(client->buffer));
}

static void on_client_read(uv_stream_t *stream, ssize_t n,
			   const uv_buf_t *buffer)
{
	struct kit_client *client = stream->data;
	struct kit_message *answer;

	if (n < 0) {
		uv_read_stop(stream);
		end_client(client);
		return;
	}
	g_string_append_len(client->in, buffer->base, n);
	if (!client->fn)
		return;
	answer = take_message(client->in);
	if (!answer)
		return;
	if (g_strcmp0(kit_field(answer, "connection"), "close") == 0)
		client->is_open = false;
	finish_request(client, answer);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct kit_client *client = connect->data;

	if (client->is_closing)
		return;
	if (status) {
		end_client(client);
		return;
	}
	uv_tcp_nodelay(&client->tcp, 1);
	uv_read_start((uv_stream_t *)&client->tcp, on_client_alloc,
		      on_client_read);
}

struct kit_client *kit_connect(const char *address)
{
	struct kit_client *client = g_new0(struct kit_client, 1);
	char **parts = g_strsplit(address, ":", 2);
	struct sockaddr_in at;

	uv_ip4_addr(parts[0], atoi(parts[1]), &at);
	g_strfreev(parts);
	client->in = g_string_new(NULL);
	client->is_open = true;
	uv_tcp_init(kit_loop, &client->tcp);
	client->tcp.data = client;
	client->connect.data = client;
	if (uv_tcp_connect(&client->connect, &client->tcp,
			   (struct sockaddr *)&at, on_connected))
		client->is_open = false;
	return client;
}

void kit_request(struct kit_client *client, const char *bytes, size_t len,
		 kit_answer_fn fn, void *user)
{
	static const char field[] = "X-Wagtailferry-Attempt-Id: ";
	const char *id = strstr(bytes, field);

	client->fn = fn;
	client->user = user;
	client->id[0] = '\0';
	if (id) {
		id += strlen(field);
		g_strlcpy(client->id, id,
			  MIN(strcspn(id, "\r") + 1, sizeof(client->id)));
		kit_record("client sends %s, %zu bytes", client->id, len);
	}
	send_bytes(&client->tcp, bytes, len);
}
