#include <string.h>

#include "core/core_private.h"

/*
 * Calls are accepted for this long after readiness is withdrawn, because the
 * platform's load balancer reacts with a delay.
 */
#define DRAIN_GRACE_MS (3 * CLK_SECOND)

#define DEFAULT_DRAIN_LIMIT_MS (600 * CLK_SECOND)
#define DEFAULT_KEY_RETENTION_MS (24 * CLK_HOUR)

static const char *phase_name(enum core_phase phase)
{
	switch (phase) {
	case CORE_STARTING:
		return "starting";
	case CORE_READY:
		return "ready";
	case CORE_LEAVING:
		return "leaving";
	case CORE_DRAINING:
		return "draining";
	case CORE_DONE:
		break;
	}
	return "done";
}

static void set_phase(struct wf_core *core, enum core_phase phase)
{
	struct wf_action action = {.type = WF_ACT_READY};
	bool was_ready = core->phase == CORE_READY;

	log_change(core->ctx->log, core->ctx->now, "router",
		   phase_name(core->phase), phase_name(phase), NULL);
	core->phase = phase;
	if (was_ready == (phase == CORE_READY))
		return;
	action.ready = phase == CORE_READY;
	wf_emit(core->ctx, &action);
}

void wf_core_config_init(struct wf_core_config *config)
{
	memset(config, 0, sizeof(*config));
	config->drain_limit = DEFAULT_DRAIN_LIMIT_MS;
	config->key_retention = DEFAULT_KEY_RETENTION_MS;
}

void core_broadcast(struct wf_core *core, const struct wf_event *event)
{
	guint i;

	for (i = 0; i < core->modules->len; i++) {
		struct wf_module *module = core->modules->pdata[i];

		module->ops->handle(core->ctx, module, event);
	}
}

void core_deliver(struct wf_core *core, enum wf_module_id id,
		  const struct wf_event *event)
{
	guint i;

	for (i = 0; i < core->modules->len; i++) {
		struct wf_module *module = core->modules->pdata[i];

		if (module->id != id)
			continue;
		module->ops->handle(core->ctx, module, event);
		return;
	}
	ctr_add(core->ctx->counters, "wf_undeliverable_events_total", 1);
}

static uint64_t hook_revision(void *user)
{
	struct wf_core *core = user;

	return core->distribution ? dst_revision(core->distribution) : 0;
}

static void hook_peer_revision(struct wf_ctx *ctx, void *user, const char *peer,
			       uint64_t revision)
{
	struct wf_core *core = user;

	dst_handle_revision(ctx, core->distribution, peer, revision);
}

static unsigned hook_count_dead(void *user)
{
	struct wf_core *core = user;

	return mem_count_dead_listed(core->members);
}

static void add_module(struct wf_core *core, struct wf_module *module)
{
	g_ptr_array_add(core->modules, module);
}

static void create_modules(struct wf_core *core)
{
	struct mem_config mem_config;
	struct lim_config lim_config;
	struct clm_config clm_config;
	struct run_config run_config;
	struct dut_config dut_config;
	struct wf_ctx *ctx = core->ctx;

	mem_config_init(&mem_config);
	mem_config.hooks.rules_revision = hook_revision;
	mem_config.hooks.on_peer_revision = hook_peer_revision;
	mem_config.hooks.on_target_update = core_handle_target_life;
	mem_config.hooks.user = core;
	core->members = mem_new(ctx, core->config.peer_address, &mem_config);
	core->distribution = dst_new(ctx, NULL);
	lim_config_init(&lim_config);
	lim_config.decided = core_handle_limit_decision;
	lim_config.count_dead = hook_count_dead;
	lim_config.user = core;
	core->limits = lim_new(ctx, &lim_config);
	clm_config_init(&clm_config);
	clm_config.retention = core->config.key_retention;
	core->claims = clm_new(ctx, &clm_config);
	core->targets = tgt_new(ctx, NULL);
	run_config_init(&run_config);
	run_config.targets = core->targets;
	core->runs = run_new(ctx, &run_config);
	core->audit = aud_new(ctx, NULL);
	dut_config_init(&dut_config);
	dut_config.sink = aud_get_sink(core->audit);
	core->duties = dut_new(ctx, &dut_config);
	add_module(core, mem_module(core->members));
	add_module(core, dst_module(core->distribution));
	add_module(core, lim_module(core->limits));
	add_module(core, clm_module(core->claims));
	add_module(core, tgt_module(core->targets));
	add_module(core, run_module(core->runs));
	add_module(core, aud_module(core->audit));
	add_module(core, dut_module(core->duties));
}

static void module_drop(gpointer data)
{
	struct wf_module *module = data;

	module->ops->drop(module);
}

struct wf_core *wf_core_new(const struct wf_core_config *config)
{
	struct wf_core *core = g_new0(struct wf_core, 1);

	core->config = *config;
	core->ctx = wf_ctx_new(config->self, config->data_center,
			       config->incarnation, config->seed,
			       config->counters, config->log);
	core->modules = g_ptr_array_new_with_free_func(module_drop);
	core->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    core_call_free);
	core->instances = g_array_new(FALSE, FALSE, sizeof(struct wf_instance));
	core->target_lives =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	create_modules(core);
	return core;
}

void wf_core_drop(struct wf_core *core)
{
	if (!core)
		return;
	/* Later modules refer to earlier ones: free in reverse order. */
	while (core->modules->len)
		g_ptr_array_remove_index(core->modules, core->modules->len - 1);
	g_ptr_array_unref(core->modules);
	g_hash_table_unref(core->calls);
	core_instances_free(core->instances);
	g_hash_table_unref(core->target_lives);
	wf_ctx_drop(core->ctx);
	g_free(core);
}

static void start_drain(struct wf_core *core, const struct wf_event *event)
{
	struct wf_module *members = mem_module(core->members);

	if (core->phase >= CORE_LEAVING)
		return;
	core->grace_ends = core->ctx->now + DRAIN_GRACE_MS;
	core->drain_ends = core->ctx->now + core->config.drain_limit;
	set_phase(core, CORE_LEAVING);
	/* Peers are told now, other modules when the grace period ends. */
	members->ops->handle(core->ctx, members, event);
}

static void end_grace(struct wf_core *core)
{
	struct wf_event event = {.type = WF_EV_DRAIN};
	guint i;

	core->ctx->draining = true;
	set_phase(core, CORE_DRAINING);
	for (i = 0; i < core->modules->len; i++) {
		struct wf_module *module = core->modules->pdata[i];

		if (module->id != WF_MODULE_MEMBER)
			module->ops->handle(core->ctx, module, &event);
	}
}

static bool is_idle(const struct wf_core *core)
{
	return !g_hash_table_size(core->calls) && run_is_idle(core->runs) &&
	       clm_is_idle(core->claims) && dut_is_idle(core->duties) &&
	       aud_is_idle(core->audit);
}

static void advance_phase(struct wf_core *core)
{
	struct wf_action action = {.type = WF_ACT_EXIT};
	clk_ms now = core->ctx->now;

	if (core->phase == CORE_STARTING && dst_rules(core->distribution))
		set_phase(core, CORE_READY);
	if (core->phase == CORE_LEAVING && now >= core->grace_ends)
		end_grace(core);
	if (core->phase != CORE_DRAINING)
		return;
	if (!is_idle(core) && now < core->drain_ends)
		return;
	if (!is_idle(core))
		ctr_add(core->ctx->counters, "wf_drain_limit_total", 1);
	set_phase(core, CORE_DONE);
	wf_emit(core->ctx, &action);
}

static void route(struct wf_core *core, const struct wf_event *event)
{
	switch (event->type) {
	case WF_EV_CALL:
		core_handle_call(core, event->call);
		break;
	case WF_EV_CALLER_GONE:
		core_handle_caller_gone(core, event->call_id);
		break;
	case WF_EV_STREAM:
		core_deliver(core, wf_op_module(event->stream->op), event);
		break;
	case WF_EV_SERVICE_REPLY:
		core_deliver(core, wf_op_module(event->service->op), event);
		break;
	case WF_EV_STATUS_REPLY:
		core_deliver(core, wf_op_module(event->status->op), event);
		break;
	case WF_EV_STORE_REPLY:
		core_deliver(core, wf_op_module(event->store->op), event);
		break;
	case WF_EV_ORDER_REPLY:
		core_deliver(core, wf_op_module(event->order->op), event);
		break;
	case WF_EV_INSTANCES:
		core_set_instances(core, event->instances.list,
				   event->instances.n,
				   event->instances.revision);
		break;
	case WF_EV_REPORT:
		if (event->report->leaving)
			core_handle_target_leaving(core, event->report->target);
		core_deliver(core, WF_MODULE_TARGETS, event);
		break;
	case WF_EV_CACHE:
		core_deliver(core, WF_MODULE_TARGETS, event);
		break;
	case WF_EV_DRAIN:
		start_drain(core, event);
		break;
	case WF_EV_START:
	case WF_EV_TICK:
	case WF_EV_PEER:
		core_broadcast(core, event);
		break;
	}
}

void wf_core_handle(struct wf_core *core, clk_ms now,
		    const struct wf_event *event)
{
	if (now > core->ctx->now)
		core->ctx->now = now;
	if (core->phase == CORE_DONE) {
		/* The listener may stay open briefly after WF_ACT_EXIT. */
		if (event->type == WF_EV_CALL)
			core_handle_call(core, event->call);
		return;
	}
	route(core, event);
	core_apply_rules(core);
	core_deliver_instances(core);
	advance_phase(core);
}

bool wf_core_next_action(struct wf_core *core, struct wf_action *out)
{
	if (!wf_next_action(core->ctx, out))
		return false;
	core_observe_action(core, out);
	return true;
}

clk_ms wf_core_next_wakeup(struct wf_core *core)
{
	clk_ms wakeup = CLK_NEVER;
	guint i;

	if (core->phase == CORE_DONE)
		return CLK_NEVER;
	for (i = 0; i < core->modules->len; i++) {
		struct wf_module *module = core->modules->pdata[i];

		wakeup = clk_min(wakeup,
				 module->ops->next_wakeup(core->ctx, module));
	}
	if (core->phase == CORE_LEAVING)
		wakeup = clk_min(wakeup, core->grace_ends);
	if (core->phase == CORE_DRAINING)
		wakeup = clk_min(wakeup, core->drain_ends);
	return wakeup;
}

struct wf_ctx *wf_core_ctx(struct wf_core *core)
{
	return core->ctx;
}

bool wf_core_is_ready(const struct wf_core *core)
{
	return core->phase == CORE_READY;
}

uint64_t wf_core_rules_revision(const struct wf_core *core)
{
	return dst_revision(core->distribution);
}

void wf_core_write_status(struct wf_core *core, GString *out)
{
	g_string_append_printf(
		out,
		"{\"id\":\"%s\",\"data_center\":\"%s\","
		"\"incarnation\":%" G_GUINT64_FORMAT
		",\"state\":\"%s\",\"rules_revision\":%" G_GUINT64_FORMAT
		",\"calls\":%u,"
		"\"limit_scopes\":%zu,\"instances\":",
		core->ctx->self, core->ctx->data_center, core->ctx->incarnation,
		phase_name(core->phase), dst_revision(core->distribution),
		g_hash_table_size(core->calls), lim_count_scopes(core->limits));
	mem_write_status(core->members, out);
	g_string_append_printf(out,
			       ",\"queued\":%zu,\"streaming\":%zu,"
			       "\"targets\":",
			       run_n_queued(core->runs),
			       run_n_streaming(core->runs));
	tgt_write_status(core->ctx, core->targets, out);
	g_string_append_c(out, '}');
}
