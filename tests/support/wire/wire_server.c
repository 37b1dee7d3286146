#define _GNU_SOURCE /* strcasestr() */

#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include "wire.h"

struct wire_server {
	struct wire_loop *wire;
	uv_tcp_t tcp;
	wire_handler handler;
	wire_handler part_handler;
	void *user;
	char *address;
	GHashTable *conns;
	unsigned requests;
	unsigned connections;
	bool closed;
};

struct wire_conn {
	struct wire_server *server;
	uv_tcp_t tcp;
	GString *input;
	/* Distinguishes it from a later connection at the same address. */
	uint64_t serial;
	char buffer[65536];
};

struct write {
	uv_write_t req;
	char *bytes;
};

static void release(struct wire_server *server)
{
	if (!server->closed || g_hash_table_size(server->conns))
		return;
	g_hash_table_destroy(server->conns);
	g_free(server->address);
	g_free(server);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct wire_conn *conn = handle->data;
	struct wire_server *server = conn->server;

	g_hash_table_remove(server->conns, conn);
	g_string_free(conn->input, TRUE);
	g_free(conn);
	release(server);
}

static void close_conn(struct wire_conn *conn)
{
	if (!uv_is_closing((uv_handle_t *)&conn->tcp))
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static size_t body_length(const char *head)
{
	const char *line = strcasestr(head, "\r\ncontent-length:");

	return line ? strtoul(strchr(line, ':') + 1, NULL, 10) : 0;
}

/* Removes the first complete request from the input, or returns NULL. */
static char *take_request(GString *input)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	char *request;
	size_t size;

	if (!end)
		return NULL;
	size = (size_t)(end - input->str) + 4 + body_length(input->str);
	if (input->len < size)
		return NULL;
	request = g_strndup(input->str, size);
	g_string_erase(input, 0, (gssize)size);
	return request;
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct wire_conn *conn = handle->data;

	(void)size;
	*buf = uv_buf_init(conn->buffer, sizeof(conn->buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct wire_conn *conn = stream->data;
	char *request;

	if (n < 0) {
		close_conn(conn);
		return;
	}
	g_string_append_len(conn->input, buf->base, n);
	while (!uv_is_closing((uv_handle_t *)stream) &&
	       (request = take_request(conn->input))) {
		conn->server->requests++;
		conn->server->handler(conn, request, conn->server->user);
		g_free(request);
	}
	if (conn->server->part_handler && conn->input->len &&
	    !uv_is_closing((uv_handle_t *)stream))
		conn->server->part_handler(conn, conn->input->str,
					   conn->server->user);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct wire_server *server = stream->data;
	struct wire_conn *conn = g_new0(struct wire_conn, 1);

	(void)status;
	conn->server = server;
	conn->input = g_string_new(NULL);
	conn->tcp.data = conn;
	uv_tcp_init(&server->wire->loop, &conn->tcp);
	g_hash_table_add(server->conns, conn);
	server->connections++;
	conn->serial = server->connections;
	if (uv_accept(stream, (uv_stream_t *)&conn->tcp))
		close_conn(conn);
	else
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static char *listen_on_loopback(uv_tcp_t *tcp)
{
	struct sockaddr_in address;
	int size = sizeof(address);

	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_bind(tcp, (const struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)tcp, 64, on_connection);
	uv_tcp_getsockname(tcp, (struct sockaddr *)&address, &size);
	return g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
}

struct wire_server *wire_server_new(struct wire_loop *wire,
				    wire_handler handler, void *user)
{
	struct wire_server *server = g_new0(struct wire_server, 1);

	server->wire = wire;
	server->handler = handler;
	server->user = user;
	server->conns = g_hash_table_new(NULL, NULL);
	uv_tcp_init(&wire->loop, &server->tcp);
	server->tcp.data = server;
	server->address = listen_on_loopback(&server->tcp);
	return server;
}

void wire_server_on_part(struct wire_server *server, wire_handler handler)
{
	server->part_handler = handler;
}

const char *wire_server_address(const struct wire_server *server)
{
	return server->address;
}

unsigned wire_server_requests(const struct wire_server *server)
{
	return server->requests;
}

unsigned wire_server_connections(const struct wire_server *server)
{
	return server->connections;
}

static void on_server_closed(uv_handle_t *handle)
{
	struct wire_server *server = handle->data;

	server->closed = true;
	release(server);
}

uint64_t wire_serial(const struct wire_conn *conn)
{
	return conn->serial;
}

bool wire_is_open(const struct wire_server *server,
		  const struct wire_conn *conn, uint64_t serial)
{
	return g_hash_table_contains(server->conns, conn) &&
	       conn->serial == serial &&
	       !uv_is_closing((const uv_handle_t *)&conn->tcp);
}

void wire_server_drop(struct wire_server *server)
{
	GHashTableIter iter;
	gpointer conn;

	g_hash_table_iter_init(&iter, server->conns);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		close_conn(conn);
	uv_close((uv_handle_t *)&server->tcp, on_server_closed);
}

static void on_written(uv_write_t *req, int status)
{
	struct write *write = (struct write *)req;

	(void)status;
	g_free(write->bytes);
	g_free(write);
}

void wire_send_bytes(struct wire_conn *conn, const char *bytes, size_t len)
{
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buf;

	write->bytes = g_memdup2(bytes, len);
	buf = uv_buf_init(write->bytes, (unsigned)len);
	uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
}

void wire_send(struct wire_conn *conn, const char *text)
{
	wire_send_bytes(conn, text, strlen(text));
}

void wire_answer(struct wire_conn *conn, int status, const char *extra,
		 const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
				     "%s\r\n%s",
				     status, strlen(body), extra, body);

	wire_send(conn, text);
	g_free(text);
}

static void on_shut_down(uv_shutdown_t *req, int status)
{
	(void)status;
	close_conn(req->handle->data);
	g_free(req);
}

void wire_hang_up(struct wire_conn *conn)
{
	uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);

	if (uv_shutdown(req, (uv_stream_t *)&conn->tcp, on_shut_down)) {
		g_free(req);
		close_conn(conn);
	}
}

static void on_output_ended(uv_shutdown_t *req, int status)
{
	(void)status;
	g_free(req);
}

void wire_end_output(struct wire_conn *conn)
{
	uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);

	if (uv_shutdown(req, (uv_stream_t *)&conn->tcp, on_output_ended))
		g_free(req);
}

void wire_reset(struct wire_conn *conn)
{
	struct linger at_once = {.l_onoff = 1, .l_linger = 0};
	uv_os_fd_t fd;

	uv_fileno((uv_handle_t *)&conn->tcp, &fd);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close_conn(conn);
}

/* Uses the descriptor, so that no loop iteration comes in between. */
void wire_end_and_reset(struct wire_conn *conn, const char *last_bytes)
{
	uv_os_fd_t fd;

	uv_fileno((uv_handle_t *)&conn->tcp, &fd);
	g_assert_true(send(fd, last_bytes, strlen(last_bytes), 0) ==
		      (ssize_t)strlen(last_bytes));
	shutdown(fd, SHUT_WR);
	wire_reset(conn);
}

char *wire_header(const char *request, const char *name)
{
	char *line = g_strdup_printf("\r\n%s: ", name);
	const char *found = strstr(request, line);
	const char *value = found ? found + strlen(line) : NULL;

	g_free(line);
	return value ? g_strndup(value, strcspn(value, "\r")) : NULL;
}
