#include <openssl/ssl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <wagtailferry/schema.h>

#include "daemon/net.h"
#include "daemon/srv_internal.h"

#define LISTEN_BACKLOG 1024
/* Each connection takes a descriptor and some kilobytes. */
#define MAX_CONNECTIONS 8192
/* Holds the events of several hundred tokens. */
#define DEFAULT_UNSENT_LIMIT ((size_t)256 << 10)
#define DEFAULT_STALL_LIMIT_MS (30 * CLK_SECOND)
#define STALL_CHECKS_PER_LIMIT 4
/* Time for handshakes that have begun; a round trip in a data centre is much
 * shorter. */
#define HANDSHAKE_MS 50
#define N_SERVER_HANDLES 4 /* two listeners and two timers */

struct server_handler {
	h2o_handler_t super;
	struct srv_server *server;
};

struct srv_server *srv_from_handler(h2o_handler_t *handler)
{
	return ((struct server_handler *)handler)->server;
}

/* Release */

static void on_handle_closed(uv_handle_t *handle);

/*
 * h2o's context may be disposed of only when all connections are closed. The
 * disposal closes handles of h2o's, so the loop must run on.
 */
static void dispose_when_idle(struct srv_server *server)
{
	h2o_timeout_entry_t *shutdown_timer =
		&server->context.http2._graceful_shutdown_timeout;

	if (!server->dropped || server->open_handles ||
	    g_hash_table_size(server->sockets))
		return;
	/* Set by srv_start_drain(); h2o's disposal must not find it set. */
	if (h2o_timeout_is_linked(shutdown_timer))
		h2o_timeout_unlink(shutdown_timer);
	h2o_context_dispose(&server->context);
	h2o_config_dispose(&server->config);
	g_hash_table_destroy(server->sockets);
	g_hash_table_destroy(server->calls);
	g_hash_table_destroy(server->undelivered);
	g_array_unref(server->gone_calls);
	g_hash_table_destroy(server->tokens);
	ctr_drop(server->counters);
	SSL_CTX_free(server->tls);
	g_free(server->id_prefix);
	g_free(server->callers.address);
	g_free(server->operators.address);
	g_free(server);
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct srv_server *server = handle->data;

	server->open_handles--;
	dispose_when_idle(server);
}

static void close_timers(struct srv_server *server)
{
	uv_close((uv_handle_t *)&server->stall_timer, on_handle_closed);
	uv_close((uv_handle_t *)&server->gone_timer, on_handle_closed);
}

/* Connections */

struct connection {
	struct srv_server *server;
	h2o_socket_t *socket;
	bool is_caller;
	bool has_request; /* a complete one was received */
};

static void on_socket_close(void *data)
{
	struct connection *connection = data;
	struct srv_server *server = connection->server;

	g_hash_table_remove(server->sockets, connection->socket);
	g_free(connection);
	/* Called from within h2o: the release waits for the timers. */
	if (server->dropped && !g_hash_table_size(server->sockets))
		close_timers(server);
}

static void accept_socket(struct srv_listener *listener, uv_tcp_t *tcp)
{
	struct srv_server *server = listener->server;
	h2o_socket_t *socket =
		h2o_uv_socket_create((uv_stream_t *)tcp, (uv_close_cb)free);
	struct connection *connection = g_new0(struct connection, 1);

	connection->server = server;
	connection->socket = socket;
	connection->is_caller = listener == &server->callers;
	socket->on_close.cb = on_socket_close;
	socket->on_close.data = connection;
	g_hash_table_insert(server->sockets, socket, connection);
	uv_tcp_nodelay(tcp, 1);
	h2o_accept(&listener->accept, socket);
}

void srv_note_request(struct srv_server *server, h2o_req_t *req)
{
	struct connection *connection = g_hash_table_lookup(
		server->sockets, req->conn->callbacks->get_socket(req->conn));

	if (connection)
		connection->has_request = true;
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct srv_listener *listener =
		(struct srv_listener *)((char *)stream -
					offsetof(struct srv_listener, tcp));
	struct srv_server *server = listener->server;
	uv_tcp_t *tcp;

	if (status)
		return;
	tcp = h2o_mem_alloc(sizeof(*tcp));
	uv_tcp_init(server->loop, tcp);
	if (uv_accept(stream, (uv_stream_t *)tcp) ||
	    g_hash_table_size(server->sockets) >= MAX_CONNECTIONS) {
		ctr_add(server->counters, "wf_connections_refused_total", 1);
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
		return;
	}
	accept_socket(listener, tcp);
}

/* Listening */

static bool parse_address(const char *text, struct sockaddr_storage *address)
{
	char host[INET6_ADDRSTRLEN];
	uint16_t port;

	if (!sch_split_address(text, host, sizeof(host), &port))
		return false;
	if (!uv_ip4_addr(host, port, (struct sockaddr_in *)address))
		return true;
	return !uv_ip6_addr(host, port, (struct sockaddr_in6 *)address);
}

static char *bound_address(const uv_tcp_t *tcp)
{
	struct sockaddr_storage address;
	int size = sizeof(address);
	char host[INET6_ADDRSTRLEN] = "";

	uv_tcp_getsockname(tcp, (struct sockaddr *)&address, &size);
	if (address.ss_family == AF_INET6) {
		const struct sockaddr_in6 *in6 =
			(const struct sockaddr_in6 *)&address;

		uv_ip6_name(in6, host, sizeof(host));
		return g_strdup_printf("[%s]:%d", host, ntohs(in6->sin6_port));
	}
	uv_ip4_name((const struct sockaddr_in *)&address, host, sizeof(host));
	return g_strdup_printf(
		"%s:%d", host,
		ntohs(((const struct sockaddr_in *)&address)->sin_port));
}

static bool listen_on(struct srv_listener *listener, const char *text,
		      GError **error)
{
	struct sockaddr_storage address;
	int result = UV_EINVAL;

	memset(&address, 0, sizeof(address));
	if (parse_address(text, &address))
		result = uv_tcp_bind(&listener->tcp,
				     (const struct sockaddr *)&address, 0);
	if (!result)
		result = uv_listen((uv_stream_t *)&listener->tcp,
				   LISTEN_BACKLOG, on_connection);
	if (result) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "%s: %s", text,
			    uv_strerror(result));
		return false;
	}
	listener->address = bound_address(&listener->tcp);
	return true;
}

static void setup_listener(struct srv_server *server,
			   struct srv_listener *listener, const char *name,
			   int (*on_request)(h2o_handler_t *, h2o_req_t *))
{
	h2o_hostconf_t *host = h2o_config_register_host(
		&server->config, h2o_iovec_init(name, strlen(name)), 65535);
	h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
	struct server_handler *handler =
		(struct server_handler *)h2o_create_handler(path,
							    sizeof(*handler));

	handler->super.on_req = on_request;
	handler->server = server;
	srv_add_error_filter(path);
	srv_add_error_filter(&host->fallback_path);
	listener->server = server;
	listener->hosts[0] = host;
	listener->accept.ctx = &server->context;
	listener->accept.hosts = listener->hosts;
	uv_tcp_init(server->loop, &listener->tcp);
	listener->tcp.data = server;
	listener->open = true;
}

/* TLS */

static bool load_tls(struct srv_server *server, const struct srv_config *config,
		     GError **error)
{
	if (!config->tls_certificate)
		return true;
	server->tls = SSL_CTX_new(TLS_server_method());
	SSL_CTX_set_min_proto_version(server->tls, TLS1_2_VERSION);
	SSL_CTX_set_session_cache_mode(server->tls, SSL_SESS_CACHE_OFF);
	if (SSL_CTX_use_certificate_chain_file(server->tls,
					       config->tls_certificate) != 1 ||
	    SSL_CTX_use_PrivateKey_file(server->tls, config->tls_key,
					SSL_FILETYPE_PEM) != 1) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_SETTINGS,
			    "tls: can't load certificate %s or its key %s",
			    config->tls_certificate, config->tls_key);
		return false;
	}
	h2o_ssl_register_alpn_protocols(server->tls, h2o_http2_alpn_protocols);
	server->callers.accept.ssl_ctx = server->tls;
	return true;
}

/* Server */

static void on_stall_check(uv_timer_t *timer)
{
	struct srv_server *server = timer->data;
	GList *calls = g_hash_table_get_keys(server->undelivered);
	GList *item;

	for (item = calls; item; item = item->next)
		srv_call_check_stall(item->data);
	g_list_free(calls);
}

static void on_gone_timer(uv_timer_t *timer)
{
	struct srv_server *server = timer->data;
	GArray *gone = server->gone_calls;
	guint i;

	server->gone_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < gone->len && server->sink; i++)
		server->sink->ops->caller_gone(
			server->sink, g_array_index(gone, uint64_t, i));
	g_array_unref(gone);
}

void srv_report_gone(struct srv_server *server, uint64_t call_id)
{
	if (server->dropped)
		return;
	ctr_add(server->counters, "wf_callers_gone_total", 1);
	g_array_append_val(server->gone_calls, call_id);
	uv_timer_start(&server->gone_timer, on_gone_timer, 0, 0);
}

static struct srv_server *new_server(const struct srv_config *config)
{
	struct srv_server *server = g_new0(struct srv_server, 1);

	server->loop = config->loop;
	server->sink = config->sink;
	server->counters = ctr_keep(config->counters);
	server->id_prefix = g_strdup_printf("%s.%" G_GUINT64_FORMAT ".",
					    config->self, config->incarnation);
	server->unsent_limit = config->unsent_limit ? config->unsent_limit
						    : DEFAULT_UNSENT_LIMIT;
	server->stall_limit = config->stall_limit ? config->stall_limit
						  : DEFAULT_STALL_LIMIT_MS;
	server->tokens = srv_tokens_new(config->tokens, config->n_tokens);
	server->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	server->undelivered = g_hash_table_new(NULL, NULL);
	server->gone_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	server->sockets = g_hash_table_new(NULL, NULL);
	server->next_call = 1;
	return server;
}

static void setup_h2o(struct srv_server *server,
		      const struct srv_config *config)
{
	h2o_config_init(&server->config);
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("wagtailferry"));
	server->config.max_request_entity_size = config->body_limit;
	setup_listener(server, &server->callers, "callers",
		       srv_on_caller_request);
	setup_listener(server, &server->operators, "operators",
		       srv_on_operator_request);
	h2o_context_init(&server->context, server->loop, &server->config);
	uv_timer_init(server->loop, &server->stall_timer);
	server->stall_timer.data = server;
	uv_timer_init(server->loop, &server->gone_timer);
	server->gone_timer.data = server;
	server->open_handles = N_SERVER_HANDLES;
	uv_timer_start(&server->stall_timer, on_stall_check,
		       (uint64_t)server->stall_limit / STALL_CHECKS_PER_LIMIT,
		       (uint64_t)server->stall_limit / STALL_CHECKS_PER_LIMIT);
}

struct srv_server *srv_new(const struct srv_config *config, GError **error)
{
	struct srv_server *server = new_server(config);

	setup_h2o(server, config);
	if (load_tls(server, config, error) &&
	    listen_on(&server->callers, config->caller_address, error) &&
	    listen_on(&server->operators, config->operator_address, error))
		return server;
	srv_drop(server);
	return NULL;
}

static void close_listener(struct srv_listener *listener)
{
	if (!listener->open)
		return;
	listener->open = false;
	uv_close((uv_handle_t *)&listener->tcp, on_handle_closed);
}

void srv_start_drain(struct srv_server *server)
{
	h2o_context_request_shutdown(&server->context);
}

static void accept_waiting(struct srv_listener *listener)
{
	uv_os_sock_t socket;

	while (g_hash_table_size(listener->server->sockets) < MAX_CONNECTIONS &&
	       net_accept_pending(&listener->tcp, &socket)) {
		uv_tcp_t *tcp = h2o_mem_alloc(sizeof(*tcp));

		uv_tcp_init(listener->server->loop, tcp);
		if (!uv_tcp_open(tcp, socket)) {
			accept_socket(listener, tcp);
			continue;
		}
		ctr_add(listener->server->counters,
			"wf_connections_refused_total", 1);
		close(socket);
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
	}
}

bool srv_stop_listening(struct srv_server *server)
{
	struct srv_listener *listener = &server->callers;
	bool is_over;

	if (!listener->open)
		return true;
	if (!listener->closing_since) {
		net_ignore_new_connections(&listener->tcp);
		uv_update_time(server->loop);
		listener->closing_since = (clk_ms)uv_now(server->loop);
	}
	is_over = (clk_ms)uv_now(server->loop) - listener->closing_since >=
		  HANDSHAKE_MS;
	accept_waiting(listener);
	if (!is_over)
		return false;
	close_listener(listener);
	return true;
}

size_t srv_count_new_connections(const struct srv_server *server)
{
	GHashTableIter iter;
	gpointer value;
	size_t unread = 0;

	g_hash_table_iter_init(&iter, server->sockets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct connection *connection = value;

		unread += connection->is_caller && !connection->has_request;
	}
	return unread;
}

size_t srv_count_undelivered(const struct srv_server *server)
{
	return g_hash_table_size(server->undelivered);
}

static void cut_connection(gpointer key, gpointer value, gpointer user)
{
	(void)value;
	(void)user;
	shutdown(h2o_socket_get_fd(key), SHUT_RDWR);
}

void srv_end_calls(struct srv_server *server)
{
	GList *calls = g_hash_table_get_values(server->calls);
	GList *item;

	for (item = calls; item; item = item->next)
		srv_call_cancel(item->data, ERR_OUTCOME_UNKNOWN,
				"the instance stopped before the answer came");
	g_list_free(calls);
}

void srv_drop(struct srv_server *server)
{
	if (!server)
		return;
	server->sink = NULL;
	server->dropped = true;
	/* h2o disposes of the requests when they are answered. */
	srv_end_calls(server);
	close_listener(&server->callers);
	close_listener(&server->operators);
	g_hash_table_foreach(server->sockets, cut_connection, NULL);
	if (!g_hash_table_size(server->sockets))
		close_timers(server);
}

const char *srv_caller_address(const struct srv_server *server)
{
	return server->callers.address;
}

const char *srv_operator_address(const struct srv_server *server)
{
	return server->operators.address;
}
