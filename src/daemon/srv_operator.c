#include <string.h>

#include "daemon/srv_internal.h"

#define METRICS_TYPE "text/plain; version=0.0.4"

static void send_live(struct srv_server *server, h2o_req_t *req)
{
	static const char body[] = "{\"live\":true}";

	(void)server;
	srv_send(req, 200, SRV_JSON_TYPE, body, strlen(body));
}

static void send_ready(struct srv_server *server, h2o_req_t *req)
{
	static const char body[] = "{\"ready\":true}";

	if (server->sink && server->sink->ops->is_ready(server->sink))
		srv_send(req, 200, SRV_JSON_TYPE, body, strlen(body));
	else
		srv_send_error(req, ERR_NOT_READY, ERR_RUN_NOT, 503, 0,
			       "no rules in force, or draining");
}

static void send_metrics(struct srv_server *server, h2o_req_t *req)
{
	GString *text = g_string_new(NULL);

	ctr_set_gauge(server->counters, "wf_calls_open",
		      (int64_t)srv_count_calls(server));
	ctr_set_gauge(server->counters, "wf_connections_open",
		      (int64_t)g_hash_table_size(server->sockets));
	ctr_write_text(server->counters, text);
	srv_send(req, 200, METRICS_TYPE, text->str, text->len);
	g_string_free(text, TRUE);
}

static void send_status(struct srv_server *server, h2o_req_t *req)
{
	GString *text = g_string_new(NULL);

	if (server->sink)
		server->sink->ops->write_status(server->sink, text);
	srv_send(req, 200, SRV_JSON_TYPE, text->str, text->len);
	g_string_free(text, TRUE);
}

static const struct {
	const char *path;
	void (*send)(struct srv_server *server, h2o_req_t *req);
} endpoints[] = {
	{"/livez", send_live},
	{"/readyz", send_ready},
	{"/metrics", send_metrics},
	{"/status", send_status},
};

int srv_on_operator_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct srv_server *server = srv_from_handler(handler);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		if (!h2o_memis(req->path_normalized.base,
			       req->path_normalized.len, endpoints[i].path,
			       strlen(endpoints[i].path)))
			continue;
		if (h2o_memis(req->method.base, req->method.len,
			      H2O_STRLIT("GET")))
			endpoints[i].send(server, req);
		else
			srv_send_error(req, ERR_BAD_REQUEST, ERR_RUN_NOT, 405,
				       0, "only GET is supported");
		return 0;
	}
	srv_send_error(req, ERR_NOT_FOUND, ERR_RUN_NOT, 404, 0, "no such path");
	return 0;
}
