#include <string.h>

#include "daemon/cli_http.h"
#include "daemon/driver.h"
#include "daemon/peer.h"
#include "daemon/plat.h"
#include "daemon/srv_server.h"

/* Time after WF_ACT_EXIT for callers to receive the rest of a response. */
#define EXIT_TIMEOUT_MS (5 * CLK_SECOND)
#define EXIT_CHECK_MS 10
/*
 * Time after WF_ACT_EXIT for newly connected callers to send a request. The
 * first packet of a connection is retransmitted after 1 s (RFC 6298).
 */
#define NEW_REQUEST_TIMEOUT_MS (1 * CLK_SECOND)
/* Service calls kept with their operation after the caller disconnected. */
#define MAX_ABANDONED_CALLS 4096

struct drv_driver {
	struct srv_sink callers;
	struct plat_sink platform;
	struct peer_sink peers;
	uv_loop_t *loop;
	struct drv_core *core;
	struct drv_clock clock;
	struct ctr_set *counters;
	struct log_logger *log;
	struct srv_server *server;
	struct cli_client *client;
	struct plat *plat;
	struct peer_links *links;
	uv_timer_t wakeup;
	uv_timer_t exit_timer;
	unsigned open_timers;
	clk_ms request_deadline; /* for new connections */
	clk_ms exit_deadline;	 /* for unsent responses */
	GHashTable *operations;	 /* call id to operation of a service call */
	/* Ids in operations whose caller disconnected, oldest first. */
	GQueue *abandoned;
	bool executing;
	bool draining;
	bool exiting;
	bool done;
	bool dropped;
};

/* Actions */

static void end_call(struct drv_driver *driver, uint64_t call_id)
{
	g_hash_table_remove(driver->operations, &call_id);
}

/*
 * A call may still be dispatched after its caller disconnected, so its
 * operation is kept until newer calls displace it.
 */
static void retain_operation(struct drv_driver *driver, uint64_t call_id)
{
	uint64_t *id;

	if (!g_hash_table_contains(driver->operations, &call_id))
		return;
	id = g_new(uint64_t, 1);
	*id = call_id;
	g_queue_push_tail(driver->abandoned, id);
	if (g_queue_get_length(driver->abandoned) <= MAX_ABANDONED_CALLS)
		return;
	id = g_queue_pop_head(driver->abandoned);
	end_call(driver, *id);
	g_free(id);
}

static void log_ready(struct drv_driver *driver, bool ready)
{
	log_change(driver->log, drv_clock_now(&driver->clock), "instance",
		   ready ? "not ready" : "ready", ready ? "ready" : "not ready",
		   NULL);
	ctr_set_gauge(driver->counters, "wf_ready", ready);
}

static void send_peer(struct drv_driver *driver, const struct wf_action *action)
{
	gsize len = 0;
	const void *body = NULL;

	if (action->body)
		body = g_bytes_get_data(action->body, &len);
	peer_send(driver->links, action->target, action->address, action->kind,
		  body, len);
}

static void run_on_platform(struct drv_driver *driver,
			    const struct wf_action *action)
{
	const char *operation = NULL;

	if (action->type == WF_ACT_SERVICE_CALL)
		operation = g_hash_table_lookup(driver->operations,
						&action->call_id);
	driver->plat->ops->run(driver->plat, action, operation);
}

/* Stops the loop when the last responses have been sent. */
static void on_exit_check(uv_timer_t *timer)
{
	struct drv_driver *driver = timer->data;
	clk_ms now = drv_clock_now(&driver->clock);

	if (!srv_stop_listening(driver->server))
		return;
	if (srv_count_undelivered(driver->server) &&
	    now < driver->exit_deadline)
		return;
	if (srv_count_new_connections(driver->server) &&
	    now < driver->request_deadline)
		return;
	driver->done = true;
	uv_timer_stop(timer);
	uv_stop(driver->loop);
}

static void begin_exit(struct drv_driver *driver)
{
	if (driver->exiting)
		return;
	driver->exiting = true;
	/* The core, at the end of its time for draining, will not reply. */
	srv_end_calls(driver->server);
	driver->exit_deadline = drv_clock_now(&driver->clock) + EXIT_TIMEOUT_MS;
	driver->request_deadline =
		drv_clock_now(&driver->clock) + NEW_REQUEST_TIMEOUT_MS;
	uv_timer_start(&driver->exit_timer, on_exit_check, 0, EXIT_CHECK_MS);
}

static void execute(struct drv_driver *driver, const struct wf_action *action)
{
	if (plat_runs_action(action->type)) {
		run_on_platform(driver, action);
		return;
	}
	switch (action->type) {
	case WF_ACT_REPLY_TOKEN:
		srv_reply(driver->server, action);
		break;
	case WF_ACT_REPLY_END:
	case WF_ACT_REPLY_ANSWER:
	case WF_ACT_REPLY_ERROR:
		end_call(driver, action->call_id);
		srv_reply(driver->server, action);
		break;
	case WF_ACT_PEER_SEND:
		send_peer(driver, action);
		break;
	case WF_ACT_READY:
		log_ready(driver, action->ready);
		break;
	case WF_ACT_EXIT:
		begin_exit(driver);
		break;
	default:
		ctr_add(driver->counters, "wf_unknown_actions_total", 1);
	}
}

/* An action may raise an event synchronously, which adds more actions. */
static void execute_all(struct drv_driver *driver)
{
	struct wf_action action;

	if (driver->executing)
		return;
	driver->executing = true;
	while (driver->core->ops->next_action(driver->core, &action)) {
		execute(driver, &action);
		wf_action_clear(&action);
	}
	driver->executing = false;
}

/* Events */

static void on_wakeup(uv_timer_t *timer);

static void arm_wakeup(struct drv_driver *driver)
{
	clk_ms next = driver->core->ops->next_wakeup(driver->core);
	clk_ms now = drv_clock_now(&driver->clock);

	if (next == CLK_NEVER) {
		uv_timer_stop(&driver->wakeup);
		return;
	}
	uv_update_time(driver->loop);
	uv_timer_start(&driver->wakeup, on_wakeup,
		       next > now ? (uint64_t)(next - now) : 0, 0);
}

static void deliver(struct drv_driver *driver, const struct wf_event *event)
{
	if (driver->dropped)
		return;
	driver->core->ops->handle(driver->core, drv_clock_now(&driver->clock),
				  event);
	if (driver->executing)
		return;
	execute_all(driver);
	arm_wakeup(driver);
}

static void deliver_type(struct drv_driver *driver, enum wf_event_type type)
{
	struct wf_event event = {.type = type};

	deliver(driver, &event);
}

static void on_wakeup(uv_timer_t *timer)
{
	deliver_type(timer->data, WF_EV_TICK);
}

static struct drv_driver *from_caller_sink(struct srv_sink *sink)
{
	return (struct drv_driver *)sink;
}

static struct drv_driver *from_platform_sink(struct plat_sink *sink)
{
	return (struct drv_driver *)((char *)sink -
				     offsetof(struct drv_driver, platform));
}

static struct drv_driver *from_peer_sink(struct peer_sink *sink)
{
	return (struct drv_driver *)((char *)sink -
				     offsetof(struct drv_driver, peers));
}

static void on_call(struct srv_sink *sink, struct wf_call *call)
{
	struct drv_driver *driver = from_caller_sink(sink);
	struct wf_event event = {.type = WF_EV_CALL, .call = call};

	if (call->kind == WF_CALL_SERVICE) {
		uint64_t *id = g_new(uint64_t, 1);

		*id = call->id;
		g_hash_table_replace(driver->operations, id,
				     g_strdup(call->operation ? call->operation
							      : call->name));
	}
	deliver(driver, &event);
}

static void on_caller_gone(struct srv_sink *sink, uint64_t call_id)
{
	struct drv_driver *driver = from_caller_sink(sink);
	struct wf_event event = {.type = WF_EV_CALLER_GONE, .call_id = call_id};

	retain_operation(driver, call_id);
	deliver(driver, &event);
}

static bool on_is_ready(struct srv_sink *sink)
{
	struct drv_driver *driver = from_caller_sink(sink);

	return driver->core->ops->is_ready(driver->core);
}

static void on_write_status(struct srv_sink *sink, GString *out)
{
	struct drv_driver *driver = from_caller_sink(sink);

	driver->core->ops->write_status(driver->core, out);
}

static void on_platform_event(struct plat_sink *sink,
			      const struct wf_event *event)
{
	deliver(from_platform_sink(sink), event);
}

static void on_message(struct peer_sink *sink,
		       const struct wf_peer_event *message)
{
	struct wf_event event = {.type = WF_EV_PEER, .peer = message};

	deliver(from_peer_sink(sink), &event);
}

static const struct srv_sink_ops caller_ops = {
	on_call,
	on_caller_gone,
	on_is_ready,
	on_write_status,
};

static const struct plat_sink_ops platform_ops = {on_platform_event};

static const struct peer_sink_ops peer_ops = {on_message};

/* Opening */

static bool open_server(struct drv_driver *driver,
			const struct drv_config *config, GError **error)
{
	const Wf__Settings *settings = config->settings;
	size_t n = settings->n_organizations;
	struct srv_token *tokens = g_new0(struct srv_token, n);
	struct srv_config server = {
		.loop = driver->loop,
		.sink = &driver->callers,
		.counters = driver->counters,
		.self = settings->instance,
		.incarnation = config->incarnation,
		.caller_address = settings->caller_address,
		.operator_address = settings->operator_address,
		.tokens = tokens,
		.n_tokens = n,
		.body_limit = settings->body_limit_bytes,
	};
	size_t i;

	for (i = 0; i < n; i++) {
		tokens[i].org = settings->organizations[i]->id;
		tokens[i].sha256 = settings->organizations[i]->token_sha256;
	}
	if (settings->tls) {
		server.tls_certificate = settings->tls->certificate;
		server.tls_key = settings->tls->key;
	}
	driver->server = srv_new(&server, error);
	g_free(tokens);
	return driver->server != NULL;
}

static bool open_links(struct drv_driver *driver,
		       const struct drv_config *config, GError **error)
{
	const Wf__Settings *settings = config->settings;
	const Wf__CurveSettings *curve = settings->curve;
	struct peer_key *keys = g_new0(struct peer_key, curve->n_peers);
	struct peer_config links = {
		.loop = driver->loop,
		.sink = &driver->peers,
		.counters = driver->counters,
		.self = settings->instance,
		.incarnation = config->incarnation,
		.address = settings->peer_address,
		.secret_key = curve->secret_key,
		.public_key = curve->public_key,
		.keys = keys,
		.n_keys = curve->n_peers,
	};
	size_t i;

	for (i = 0; i < curve->n_peers; i++) {
		keys[i].id = curve->peers[i]->id;
		keys[i].public_key = curve->peers[i]->public_key;
	}
	driver->links = peer_new(&links, error);
	g_free(keys);
	return driver->links != NULL;
}

static void open_platform(struct drv_driver *driver,
			  const struct drv_config *config)
{
	const Wf__Settings *settings = config->settings;
	struct plat_config platform = {
		.sink = &driver->platform,
		.counters = driver->counters,
		.self = settings->instance,
		.incarnation = config->incarnation,
		.object_api = settings->object_api,
		.n_object_api = settings->n_object_api,
		.instance_list = settings->instance_list,
	};

	driver->client = cli_new(driver->loop, driver->counters);
	platform.client = driver->client;
	driver->plat = plat_http_new(&platform);
}

static struct drv_driver *new_driver(const struct drv_config *config)
{
	struct drv_driver *driver = g_new0(struct drv_driver, 1);

	driver->callers.ops = &caller_ops;
	driver->platform.ops = &platform_ops;
	driver->peers.ops = &peer_ops;
	driver->loop = config->loop;
	driver->core = config->core;
	driver->clock = config->clock;
	driver->counters = ctr_keep(config->counters);
	driver->log = log_keep(config->log);
	driver->operations = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	driver->abandoned = g_queue_new();
	uv_timer_init(driver->loop, &driver->wakeup);
	driver->wakeup.data = driver;
	uv_timer_init(driver->loop, &driver->exit_timer);
	driver->exit_timer.data = driver;
	driver->open_timers = 2;
	return driver;
}

struct drv_driver *drv_new(const struct drv_config *config, GError **error)
{
	struct drv_driver *driver = new_driver(config);

	open_platform(driver, config);
	if (!open_links(driver, config, error) ||
	    !open_server(driver, config, error)) {
		drv_drop(driver);
		return NULL;
	}
	deliver_type(driver, WF_EV_START);
	return driver;
}

/* Closing */

static void on_closed(uv_handle_t *handle)
{
	struct drv_driver *driver = handle->data;

	if (!--driver->open_timers)
		g_free(driver);
}

void drv_drop(struct drv_driver *driver)
{
	if (!driver)
		return;
	driver->dropped = true;
	srv_drop(driver->server);
	peer_drop(driver->links);
	cli_drop(driver->client);
	driver->plat->ops->drop(driver->plat);
	g_hash_table_destroy(driver->operations);
	g_queue_free_full(driver->abandoned, g_free);
	ctr_drop(driver->counters);
	log_drop(driver->log);
	uv_close((uv_handle_t *)&driver->wakeup, on_closed);
	uv_close((uv_handle_t *)&driver->exit_timer, on_closed);
}

void drv_drain(struct drv_driver *driver)
{
	if (driver->draining)
		return;
	driver->draining = true;
	srv_start_drain(driver->server);
	deliver_type(driver, WF_EV_DRAIN);
}

bool drv_is_done(const struct drv_driver *driver)
{
	return driver->done;
}

const char *drv_caller_address(const struct drv_driver *driver)
{
	return srv_caller_address(driver->server);
}

const char *drv_operator_address(const struct drv_driver *driver)
{
	return srv_operator_address(driver->server);
}

const char *drv_peer_address(const struct drv_driver *driver)
{
	return peer_address(driver->links);
}
