#include "server.h"
#include "server_priv.h"

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* How often calls in progress are checked for closed connections. */
#define CLIENT_CHECK_MS 20

struct fake_handler {
	h2o_handler_t super;
	struct fk_server *server;
};

uv_loop_t *fk_loop(struct fk_server *server)
{
	return &server->loop;
}

const char *fk_address(struct fk_server *server)
{
	return server->address;
}

bool fk_fault_is_set(struct fk_server *server, uint64_t id)
{
	return fk_faults_has(server->faults, id);
}

static const struct fk_route *find_route(struct fk_server *server,
					 const struct fk_call *call,
					 bool *path_known)
{
	const struct fk_route *route;

	for (route = server->routes; route->path; route++) {
		size_t len = strlen(route->path);
		bool prefix = route->path[len - 1] == '/';

		if (prefix ? strncmp(call->path, route->path, len) != 0
			   : strcmp(call->path, route->path) != 0)
			continue;
		*path_known = true;
		if (!strcmp(call->method, route->method))
			return route;
	}
	return NULL;
}

static void run_handler(void *data)
{
	struct fk_call *call = data;

	if (call->req && !call->answered)
		call->route->handle(call);
	fk_call_drop(call);
}

/* Applies the faults that take effect before the request is executed. */
static void start_call(struct fk_call *call)
{
	switch (call->fault.kind) {
	case FK_FAULT_REFUSED:
		fk_abort_call(call);
		return;
	case FK_FAULT_SILENT:
		return;
	case FK_FAULT_OUTAGE:
		call->fault.kind = FK_FAULT_NONE;
		fk_reply_error(call, 503, "unavailable", "outage");
		return;
	case FK_FAULT_SLOW:
		fk_after(&call->server->loop, (uint64_t)call->fault.ms,
			 run_handler, fk_call_keep(call));
		return;
	default:
		run_handler(fk_call_keep(call));
	}
}

static void dispatch(struct fk_call *call)
{
	struct fk_server *server = call->server;
	bool path_known = false;

	call->route = find_route(server, call, &path_known);
	if (fk_admin_handle(call))
		return;
	fk_count_call(server, call);
	if (!call->route) {
		fk_reply_error(call, path_known ? 405 : 404,
			       path_known ? "bad_method" : "not_found",
			       "no such path or method");
		return;
	}
	call->rest = call->path + strlen(call->route->path);
	fk_faults_take(server->faults, call->method, call->path, &call->fault);
	start_call(call);
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct fk_server *server = ((struct fake_handler *)self)->server;
	struct fk_call *call = fk_call_new(server, req);

	dispatch(call);
	fk_call_drop(call);
	return 0;
}

static void free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct fk_server *server = listener->data;
	h2o_socket_t *sock;
	uv_tcp_t *tcp;

	if (status != 0)
		return;
	tcp = g_new0(uv_tcp_t, 1);
	uv_tcp_init(&server->loop, tcp);
	if (uv_accept(listener, (uv_stream_t *)tcp) != 0) {
		uv_close((uv_handle_t *)tcp, free_handle);
		return;
	}
	uv_tcp_nodelay(tcp, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)tcp, free_handle);
	h2o_accept(&server->accept_ctx, sock);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	uv_stop(handle->loop);
}

static void on_sweep(uv_timer_t *timer)
{
	fk_end_closed_calls(timer->data);
}

static void init_h2o(struct fk_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct fake_handler *handler;

	h2o_config_init(&server->config);
	/* Streams and watches last longer than h2o's default of 30 s. */
	server->config.http1.req_timeout = 600 * 1000;
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (void *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(&server->context, &server->loop, &server->config);
	server->accept_ctx.ctx = &server->context;
	server->accept_ctx.hosts = server->config.hosts;
}

static void listen_on(struct fk_server *server, const char *address)
{
	struct sockaddr_storage bound;
	struct sockaddr_in sin;
	int len = sizeof(bound);
	char ip[64] = "127.0.0.1";
	int port = 0;

	if (sscanf(address, "%63[0-9.]:%d", ip, &port) != 2 ||
	    uv_ip4_addr(ip, port, &sin) != 0) {
		fprintf(stderr, "bad address '%s'\n", address);
		exit(2);
	}
	uv_tcp_init(&server->loop, &server->listener);
	server->listener.data = server;
	if (uv_tcp_bind(&server->listener, (struct sockaddr *)&sin, 0) != 0 ||
	    uv_listen((uv_stream_t *)&server->listener, 1024, on_connection)) {
		fprintf(stderr, "cannot listen on '%s'\n", address);
		exit(1);
	}
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&bound, &len);
	port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	server->address = g_strdup_printf("%s:%d", ip, port);
}

static void parse_options(int argc, const char **argv,
			  const struct poptOption *options, char **address)
{
	struct poptOption table[] = {
		{"listen", 'l', POPT_ARG_STRING, address, 0,
		 "address to listen on (127.0.0.1:0)", "IP:PORT"},
		{NULL, 0, POPT_ARG_INCLUDE_TABLE, (void *)options, 0,
		 "Options of this fake:", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext(NULL, argc, argv, table, 0);
	int rc = poptGetNextOpt(context);

	if (rc != -1 || poptPeekArg(context)) {
		fprintf(stderr, "%s: %s\n",
			rc != -1 ? poptBadOption(context, 0)
				 : poptPeekArg(context),
			rc != -1 ? poptStrerror(rc) : "unexpected argument");
		exit(2);
	}
	poptFreeContext(context);
}

const struct poptOption *fk_no_options(void)
{
	static const struct poptOption none[] = {POPT_TABLEEND};

	return none;
}

struct fk_server *fk_server_new(int argc, const char **argv,
				const struct poptOption *options,
				const struct fk_route *routes, void *user)
{
	struct fk_server *server = g_new0(struct fk_server, 1);
	char *address = NULL;

	parse_options(argc, argv, options, &address);
	signal(SIGPIPE, SIG_IGN);
	server->routes = routes;
	server->user = user;
	server->faults = fk_faults_new();
	server->counts = json_object();
	server->calls = g_ptr_array_new();
	server->held = g_ptr_array_new();
	uv_loop_init(&server->loop);
	init_h2o(server);
	listen_on(server, address ? address : "127.0.0.1:0");
	free(address);
	uv_signal_init(&server->loop, &server->sigterm);
	uv_signal_start(&server->sigterm, on_signal, SIGTERM);
	uv_signal_init(&server->loop, &server->sigint);
	uv_signal_start(&server->sigint, on_signal, SIGINT);
	uv_timer_init(&server->loop, &server->sweep);
	server->sweep.data = server;
	uv_timer_start(&server->sweep, on_sweep, CLIENT_CHECK_MS,
		       CLIENT_CHECK_MS);
	return server;
}

int fk_server_run(struct fk_server *server)
{
	/* Keeps memory still in use at exit reachable for LeakSanitizer. */
	static struct fk_server *running;

	running = server;
	printf("listening on %s\n", server->address);
	fflush(stdout);
	uv_run(&server->loop, UV_RUN_DEFAULT);
	return running ? 0 : 1;
}
