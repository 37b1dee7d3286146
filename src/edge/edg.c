#include <string.h>

#include "edge/edg_private.h"

/* Descriptors reserved for files, the store, targets and listeners. */
#define RESERVED_DESCRIPTORS 1200
/* Request bodies may take 1/4 of the memory. */
#define BODY_MEMORY_DIVISOR 4
/* Answers that are buffered may take as much. */
#define ANSWER_MEMORY_DIVISOR 4
/* A catalog expires this long before a removed key must stop working: covers
 * the latency of the store's answer and changes that a watch missed. */
#define CONFIRM_MARGIN_MS 1200
/* Instances confirm the configuration to each other, so watches may stay open
 * longer the more instances there are: together they read it about every
 * 400 ms. */
#define CONFIG_WATCH_PER_INSTANCE_MS 400
#define MIN_CONFIG_WATCH_MS 1200
#define MAX_CONFIG_WATCH_MS 2000
/* Each watch lasts a random fraction of that time, at least this one. A change
 * ends all watches at once; if they stayed synchronised, instances could not
 * confirm the configuration to each other between reads. */
#define MIN_CONFIG_WATCH_FRACTION 0.4
/* Interval of the drain timer. Draining first reports not ready to the load
 * balancer, then stops listening, then waits for open requests. */
#define DRAIN_STEP_MS 100
#define DRAIN_LISTEN_MS 2800
/* Requests still open are ended this long before the process is killed. */
#define DRAIN_MARGIN_MS 600
/* Answers may be sent until this long before it. */
#define EXIT_MARGIN_MS 250
/* Instances assumed to share the retry budget until they have been listed. */
#define ASSUMED_INSTANCES 24
/* Fraction of the budget that is used: a new instance uses its share before
 * the others know of it. */
#define BUDGET_FRACTION 0.85
/* Fraction of its budget that a new process may use at once: its predecessor
 * may have used all of it just before. */
#define INITIAL_BUDGET_FRACTION 0.25
/* Times after start-up at which peers are listed, and the later interval. */
#define FIRST_PEER_LIST_MS 1500
#define SECOND_PEER_LIST_MS 4000
#define PEER_LIST_INTERVAL_MS 15000

clk_ms edg_now(const struct edg_edge *edge)
{
	return drv_clock_now(&edge->clock);
}

struct hup_client *edg_client(struct edg_edge *edge)
{
	return edge->client;
}

struct flt_fleet *edg_fleet(struct edg_edge *edge)
{
	return edge->fleet;
}

bool edg_is_catalog_fresh(const struct edg_edge *edge)
{
#ifdef WF_GUARD_OFF_EDGE_KEY_AGE
	return edge->catalog != NULL;
#endif
	return edg_now(edge) - edge->catalog_confirmed_at <
	       edge->max_catalog_age;
}

static bool is_ready(const struct edg_edge *edge)
{
	return edge->catalog && edge->fleet_known && !edge->is_draining &&
	       edg_is_catalog_fresh(edge);
}

void edg_fleet_changed(struct edg_edge *edge)
{
	if (!edge->fleet_known)
		edg_log(edge, "fleet", "unknown", "known", "targets=%u",
			flt_targets(edge->fleet)->len);
	edge->fleet_known = true;
}

static void apply_limits(struct edg_edge *edge)
{
	const struct cat_limits *limits = cat_limits(edge->catalog);

	edge->limits.header_bytes = limits->header_bytes;
	edge->limits.body_bytes = limits->body_bytes;
	edge->limits.header_timeout = limits->header_timeout;
	edge->limits.idle_timeout = limits->idle_timeout;
	hsv_set_limits(edge->caller_server, &edge->limits);
}

void edg_set_catalog(struct edg_edge *edge, struct cat_catalog *catalog,
		     int64_t revision)
{
	int64_t version = cat_version(catalog);
	int64_t current = edge->catalog ? cat_version(edge->catalog) : -1;

#ifdef WF_GUARD_OFF_EDGE_CONFIG_MONOTONIC
	current = -1;
#endif
	edge->is_catalog_rejected = false;
	if (version < current) {
		edg_log(edge, "config", "offered", "dropped",
			"version=%" G_GINT64_FORMAT
			" present=%" G_GINT64_FORMAT,
			version, current);
		return;
	}
	if (version == current && revision <= edge->catalog_revision)
		return;
	cat_drop(edge->catalog);
	edge->catalog = cat_keep(catalog);
	edge->catalog_revision = revision;
	apply_limits(edge);
	ctr_set_gauge(edge->counters, "wf_edge_config_version", version);
	edg_log(edge, "config", "present", "in force",
		"version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
		" routes=%zu",
		version, current, cat_route_count(catalog));
}

void edg_reject_catalog(struct edg_edge *edge, const char *reason)
{
	edge->is_catalog_rejected = true;
	ctr_add(edge->counters, "wf_edge_config_rejected_total", 1);
	edg_log(edge, "config", "read", "refused", "%s", reason);
}

clk_ms edg_config_watch_time(const struct edg_edge *edge)
{
	clk_ms wait =
		CONFIG_WATCH_PER_INSTANCE_MS * prs_count_instances(edge->peers);

	wait = CLAMP(wait, MIN_CONFIG_WATCH_MS, MAX_CONFIG_WATCH_MS);
	return (clk_ms)((double)wait *
			g_rand_double_range(edge->rand,
					    MIN_CONFIG_WATCH_FRACTION, 1));
}

void edg_confirm_catalog(struct edg_edge *edge, clk_ms at)
{
#ifndef WF_GUARD_OFF_EDGE_REJECTED_CONFIG
	if (edge->is_catalog_rejected)
		return;
#endif
	edge->catalog_confirmed_at = MAX(edge->catalog_confirmed_at, at);
}

static void answer_text(struct hsv_request *http, int status, GString *text)
{
	hsv_respond(http, status, "Content-Type: text/plain\r\n", text->str,
		    text->len);
}

static void write_targets(struct edg_edge *edge, GString *out)
{
	const GPtrArray *targets = flt_targets(edge->fleet);
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];

		g_string_append_printf(
			out,
			"%s service=%s address=%s data_center=%s state=%d "
			"layers=%u-%u in_flight=%u on_path=%u leaving=%d "
			"closed_ms=%" G_GINT64_FORMAT "\n",
			target->id, target->service, target->address,
			target->data_center, (int)target->state,
			target->holds.first, target->holds.end,
			target->in_flight, target->on_path,
			target->said_leaving,
			MAX(target->closed_until - edg_now(edge), 0));
	}
}

/* Serves readiness to the load balancer, metrics and targets to operators. */
static void on_operator_request(void *user, struct hsv_request *http)
{
	struct edg_edge *edge = user;
	GString *text = g_string_new(NULL);
	int status = 200;

	if (!strcmp(http->url, "/metrics")) {
		ctr_set_gauge(edge->counters, "wf_edge_open_requests",
			      g_hash_table_size(edge->requests));
		ctr_set_gauge(edge->counters, "wf_edge_moves_waiting",
			      edge->moves.waiting);
		ctr_set_gauge(edge->counters, "wf_edge_config_age_ms",
			      edg_now(edge) - edge->catalog_confirmed_at);
		ctr_set_gauge(edge->counters, "wf_edge_quarantined_parts",
			      qtn_count(edge->quarantine, edg_now(edge)));
		edg_report_waiting(edge);
		ctr_set_gauge(edge->counters, "wf_edge_longest_turn_ms",
			      edg_take_longest_turn(edge));
		ctr_write_text(edge->counters, text);
	} else if (!strcmp(http->url, "/targets")) {
		write_targets(edge, text);
	} else {
		status = is_ready(edge) ? 200 : 503;
		g_string_append(text,
				is_ready(edge) ? "ready\n" : "not ready\n");
	}
	answer_text(http, status, text);
	g_string_free(text, TRUE);
}

static void on_operator_gone(void *user, struct hsv_request *http)
{
	(void)user;
	(void)http;
}

static const struct hsv_ops caller_ops = {edg_accept_request, edg_caller_gone};
static const struct hsv_ops operator_ops = {on_operator_request,
					    on_operator_gone};

void edg_apply_settings(struct edg_edge *edge, const Wf__EdgeSettings *settings)
{
	edge->max_catalog_age =
		MAX((clk_ms)settings->key_removal_ms - CONFIRM_MARGIN_MS,
		    (clk_ms)settings->key_removal_ms / 2);
	edge->drain_limit = (clk_ms)settings->drain_limit_ms;
	edge->max_answer_bytes = settings->max_answer_bytes;
	edge->max_event_bytes = settings->max_event_bytes;
	edge->max_buffered_bytes =
		(size_t)settings->memory_mb * (1 << 20) / ANSWER_MEMORY_DIVISOR;
	edge->engine_stall = (clk_ms)settings->engine_stall_ms;
	edge->retry_part = settings->retry_part;
	edge->retry_slack = (double)settings->retry_slack;
	lgb_init(&edge->log_budget, (unsigned)settings->log_lines_per_second,
		 settings->log_bytes_per_second);
	g_hash_table_remove_all(edge->budgets);
}

static void set_limits(struct edg_edge *edge, const Wf__EdgeSettings *settings)
{
	unsigned descriptors = (unsigned)settings->max_descriptors;

	edge->limits = (struct hsv_limits){
		.header_bytes = 16384,
		.body_bytes = 1 << 20,
		.header_timeout = 5 * CLK_SECOND,
		.idle_timeout = 30 * CLK_SECOND,
		.connections = descriptors > 2 * RESERVED_DESCRIPTORS
				       ? descriptors - RESERVED_DESCRIPTORS
				       : descriptors / 2,
		.all_body_bytes = (size_t)settings->memory_mb * (1 << 20) /
				  BODY_MEMORY_DIVISOR,
	};
}

static clk_ms peers_now(void *user)
{
	return edg_now(user);
}

static int64_t peers_config(void *user, clk_ms *confirmed)
{
	const struct edg_edge *edge = user;

	*confirmed = edge->catalog_confirmed_at;
	return edge->catalog ? edge->catalog_revision : -1;
}

static void peers_confirm(void *user, int64_t revision, clk_ms at)
{
	struct edg_edge *edge = user;

	if (edge->catalog && edge->catalog_revision == revision)
		edg_confirm_catalog(edge, at);
}

/* Instances take turns in the order of their hashes. */
static double instance_phase(const char *instance)
{
	uint64_t hash = wf_hash(instance, strlen(instance), 0);

	return (double)(hash >> 32) / ((double)UINT32_MAX + 1);
}

static bool open_peers(struct edg_edge *edge, GError **error)
{
	struct prs_config config = {
		.loop = edge->loop,
		.fleet = edge->fleet,
		.instance = edge->instance,
		.data_center = edge->data_center,
		.address = edge->peer_address,
		.now = peers_now,
		.config = peers_config,
		.confirm = peers_confirm,
		.quarantine = edge->quarantine,
		.turns = &edge->turns,
		.user = edge,
		.counters = edge->counters,
	};

	edge->peers = prs_new(&config, error);
	return edge->peers != NULL;
}

static void on_peer(void *user, const struct edg_peer *peer)
{
	struct edg_edge *edge = user;

	prs_add_peer(edge->peers, peer->instance, peer->data_center,
		     peer->address);
}

static void on_peer_timer(uv_timer_t *timer)
{
	struct edg_edge *edge = timer->data;
	bool is_first = !edge->peer_list_count++;

	edge->platform->ops->list_peers(edge->platform, !is_first, on_peer,
					edge);
	uv_timer_start(timer, on_peer_timer,
		       is_first ? SECOND_PEER_LIST_MS : PEER_LIST_INTERVAL_MS,
		       0);
}

void edg_start(struct edg_edge *edge)
{
	struct edg_peer self = {edge->instance, edge->data_center,
				edge->peer_address};

	edge->platform->ops->announce(edge->platform, &self);
	uv_timer_start(&edge->peer_timer, on_peer_timer, FIRST_PEER_LIST_MS, 0);
}

/* Number of instances that share the retry budget. */
static unsigned budget_instances(const struct edg_edge *edge)
{
	unsigned known = prs_count_instances(edge->peers);

	return edge->peer_list_count > 1 ? known
					 : MAX(known, ASSUMED_INSTANCES);
}

struct rty_budget *edg_retry_budget(struct edg_edge *edge, const char *service)
{
	struct rty_budget *budget = g_hash_table_lookup(edge->budgets, service);
	double burst = MAX(BUDGET_FRACTION * edge->retry_slack /
				   budget_instances(edge),
			   1);

	if (!budget) {
		budget = g_new0(struct rty_budget, 1);
		rty_init(budget, BUDGET_FRACTION * edge->retry_part, burst);
		budget->tokens = MAX(INITIAL_BUDGET_FRACTION * burst, 1);
		g_hash_table_insert(edge->budgets, g_strdup(service), budget);
	}
	budget->burst = burst;
	return budget;
}

struct edg_edge *edg_new(const struct edg_config *config, GError **error)
{
	const Wf__EdgeSettings *settings = config->settings;
	struct edg_edge *edge = g_new0(struct edg_edge, 1);

	edge->loop = config->loop;
	drv_clock_start(&edge->clock);
	edge->instance = g_strdup(settings->instance);
	edge->data_center = g_strdup(settings->data_center);
	edge->fields = config->fields;
	edge->platform = config->platform;
	edge->counters = ctr_keep(config->counters);
	edge->log = log_keep(config->log);
	edge->done = config->done;
	edge->user = config->user;
	edge->rand = settings->seed
			     ? g_rand_new_with_seed((guint32)settings->seed)
			     : g_rand_new();
	edge->fleet = flt_new();
	flt_set_phase(edge->fleet, instance_phase(edge->instance));
	edge->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	edge->requests = g_hash_table_new(NULL, NULL);
	edg_apply_settings(edge, settings);
	set_limits(edge, settings);
	edge->client = hup_new(edge->loop, edge->counters);
	hup_set_max_head_bytes(edge->client, settings->max_answer_head_bytes);
	edge->caller_server = hsv_new(edge->loop, &edge->limits, edge->counters,
				      &caller_ops, edge);
	edge->operator_server = hsv_new(edge->loop, &edge->limits,
					edge->counters, &operator_ops, edge);
	edge->peer_address = g_strdup(settings->peer_address);
	uv_timer_init(edge->loop, &edge->drain_timer);
	uv_timer_init(edge->loop, &edge->peer_timer);
	uv_timer_init(edge->loop, &edge->wait_timer);
	edge->waiting = adm_turns_new((size_t)settings->max_waiting_streams);
	edge->wait_timer.data = edge;
	edge->drain_timer.data = edge;
	edge->peer_timer.data = edge;
	edg_watch_turns(edge);
	edg_open_moves(edge);
	edge->open_handles = 8;
	edg_open_quarantine(edge);
	edg_init_histograms(edge);
	edge->orders = ord_new(edge, settings->fences_orders);
	if (hsv_listen(edge->caller_server, settings->caller_address, error) &&
	    hsv_listen(edge->operator_server, settings->ready_address, error) &&
	    open_peers(edge, error))
		return edge;
	edg_drop(edge);
	return NULL;
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct edg_edge *edge = handle->data;

	if (--edge->open_handles)
		return;

	adm_turns_drop(edge->waiting);
	edg_close_quarantine(edge);
	g_hash_table_unref(edge->budgets);
	g_hash_table_unref(edge->requests);
	flt_drop(edge->fleet);
	cat_drop(edge->catalog);
	g_rand_free(edge->rand);
	ctr_drop(edge->counters);
	log_drop(edge->log);
	g_free(edge->instance);
	g_free(edge->data_center);
	g_free(edge->peer_address);
	g_free(edge->full.service);
	g_free(edge);
}

static void cut_request(struct edg_request *request)
{
	edg_cut_answer(request, "broken_off");
}

static void stop_request(struct edg_request *request)
{
	if (request->is_answer_started)
		cut_request(request);
	else
		edg_refuse_stopping(request);
}

static void end_requests(struct edg_edge *edge,
			 void (*end)(struct edg_request *request))
{
	GList *requests = g_hash_table_get_keys(edge->requests);
	GList *item;

	for (item = requests; item; item = item->next)
		end(item->data);
	g_list_free(requests);
}

void edg_drop(struct edg_edge *edge)
{
	if (!edge)
		return;
	end_requests(edge, cut_request);
	ord_drop(edge->orders);
	hsv_drop(edge->caller_server);
	hsv_drop(edge->operator_server);
	hup_drop(edge->client);
	prs_drop(edge->peers);
	uv_close((uv_handle_t *)&edge->drain_timer, on_handle_closed);
	uv_close((uv_handle_t *)&edge->peer_timer, on_handle_closed);
	uv_close((uv_handle_t *)&edge->wait_timer, on_handle_closed);
	uv_close((uv_handle_t *)&edge->move_timer, on_handle_closed);
	uv_close((uv_handle_t *)&edge->quarantine_timer, on_handle_closed);
	uv_close((uv_handle_t *)&edge->turn_end, on_handle_closed);
	uv_close((uv_handle_t *)&edge->turn_timers, on_handle_closed);
	uv_close((uv_handle_t *)&edge->held_starter, on_handle_closed);
}

static clk_ms time_since_drain(const struct edg_edge *edge)
{
	return edg_now(edge) - edge->drain_started_at;
}

bool edg_is_closing(const struct edg_edge *edge)
{
	return edge->is_draining && time_since_drain(edge) >= DRAIN_LISTEN_MS;
}

bool edg_is_drain_over(const struct edg_edge *edge)
{
	return edg_is_closing(edge) &&
	       time_since_drain(edge) >= edge->drain_limit - DRAIN_MARGIN_MS;
}

static void finish_drain(struct edg_edge *edge)
{
	uv_timer_stop(&edge->drain_timer);
	edg_log(edge, "instance", "draining", "drained", "open_requests=%u",
		g_hash_table_size(edge->requests));
	edge->done(edge->user);
}

static void on_drain_step(uv_timer_t *timer)
{
	struct edg_edge *edge = timer->data;

	if (!edg_is_closing(edge))
		return;
	hsv_stop_accepting(edge->caller_server);
	if (edg_is_drain_over(edge))
		end_requests(edge, stop_request);
	if ((!g_hash_table_size(edge->requests) &&
	     !hsv_is_reading(edge->caller_server)) ||
	    time_since_drain(edge) >= edge->drain_limit - EXIT_MARGIN_MS)
		finish_drain(edge);
}

void edg_drain(struct edg_edge *edge)
{
	if (edge->is_draining)
		return;
	edge->is_draining = true;
	edge->drain_started_at = edg_now(edge);
	edg_log(edge, "instance", "serving", "draining", "open_requests=%u",
		g_hash_table_size(edge->requests));
	hsv_close_after_responses(edge->caller_server);
	uv_timer_start(&edge->drain_timer, on_drain_step, DRAIN_STEP_MS,
		       DRAIN_STEP_MS);
}
