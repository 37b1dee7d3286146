#include <string.h>

#include <wagtailferry/schema.h>

#include "wire.h"

struct write {
	uv_write_t req;
	char *text;
};

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct wire_client *client = handle->data;

	(void)size;
	*buf = uv_buf_init(client->buffer, sizeof(client->buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct wire_client *client = stream->data;

	if (n > 0)
		g_string_append_len(client->received, buf->base, n);
	if (n < 0) {
		client->closed = true;
		uv_read_stop(stream);
	}
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct wire_client *client = connect->data;

	client->connected = !status;
	client->closed = status != 0;
	if (!status)
		wire_client_resume(client);
}

struct wire_client *wire_client_new(struct wire_loop *wire, const char *address)
{
	struct wire_client *client = g_new0(struct wire_client, 1);
	struct sockaddr_in in;
	char host[64];
	uint16_t port;

	sch_split_address(address, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &in);
	uv_tcp_init(&wire->loop, &client->tcp);
	client->tcp.data = client;
	client->connect.data = client;
	client->received = g_string_new(NULL);
	uv_tcp_connect(&client->connect, &client->tcp,
		       (const struct sockaddr *)&in, on_connected);
	return client;
}

static void on_written(uv_write_t *req, int status)
{
	struct write *write = (struct write *)req;

	(void)status;
	g_free(write->text);
	g_free(write);
}

/* libuv queues writes until the connection is established. */
void wire_client_send_bytes(struct wire_client *client, const void *data,
			    size_t len)
{
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buf;

	write->text = g_memdup2(data, len);
	buf = uv_buf_init(write->text, (unsigned)len);
	uv_write(&write->req, (uv_stream_t *)&client->tcp, &buf, 1, on_written);
}

void wire_client_send(struct wire_client *client, const char *text)
{
	wire_client_send_bytes(client, text, strlen(text));
}

void wire_client_pause(struct wire_client *client)
{
	uv_read_stop((uv_stream_t *)&client->tcp);
}

void wire_client_resume(struct wire_client *client)
{
	uv_read_start((uv_stream_t *)&client->tcp, on_alloc, on_read);
}

static bool has_awaited(void *user)
{
	struct wire_client *client = user;

	return strstr(client->received->str, client->awaited) != NULL;
}

void wire_client_await(struct wire_loop *wire, struct wire_client *client,
		       const char *text)
{
	client->awaited = text;
	wire_run_until(wire, has_awaited, client);
}

static bool is_closed(void *user)
{
	return ((struct wire_client *)user)->closed;
}

void wire_client_await_close(struct wire_loop *wire, struct wire_client *client)
{
	wire_run_until(wire, is_closed, client);
}

static void on_closed(uv_handle_t *handle)
{
	struct wire_client *client = handle->data;

	g_string_free(client->received, TRUE);
	g_free(client);
}

void wire_client_drop(struct wire_client *client)
{
	uv_close((uv_handle_t *)&client->tcp, on_closed);
}
