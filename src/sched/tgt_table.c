#include <string.h>

#include "sched/chn.h"
#include "sched/tgt_table.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_cache.h"
#include "sched/tgt_digest.h"
#include "sched/tgt_load.h"

/* Unlisted targets are kept so that an outdated list cannot revive them. */
#define TGT_UNLISTED_RETENTION (10 * CLK_MINUTE)

void tgt_config_init(struct tgt_config *config)
{
	memset(config, 0, sizeof(*config));
	config->poll_period = 250;
	config->slow_start = 10 * CLK_SECOND;
	config->breaker_open = CLK_SECOND;
	config->link_us = 200;
	config->far_link_us = 1000;
	config->use_breaker = true;
	config->use_inflation = true;
	config->use_locality = true;
}

unsigned tgt_data_center_number(struct tgt_table *targets, const char *name)
{
	GPtrArray *names = targets->data_centers;
	guint i;

	if (!name)
		name = "";
	for (i = 0; i < names->len; i++)
		if (!strcmp(names->pdata[i], name))
			return i;
	g_ptr_array_add(names, g_strdup(name));
	return names->len - 1;
}

struct tgt_target *tgt_find(const struct tgt_table *targets, const char *id)
{
	return id ? g_hash_table_lookup(targets->by_id, id) : NULL;
}

struct tgt_target *tgt_get(const struct tgt_table *targets, tbl_handle handle)
{
	return tbl_get(targets->table, handle);
}

double tgt_stage_us(const struct tgt_target *target, unsigned first,
		    unsigned last)
{
	unsigned held = target->last_layer - target->first_layer + 1;

	return target->step_us * (last - first + 1) / held;
}

bool tgt_is_usable(const struct tgt_table *targets,
		   const struct tgt_target *target, clk_ms now)
{
	if (!target->listed || !target->reachable)
		return false;
#ifndef WF_GUARD_OFF_LEAVING_TARGET
	if (target->leaving)
		return false;
#endif
	return !targets->config.use_breaker || tgt_breaker_admits(target, now);
}

static void clear_target(struct tgt_target *target)
{
	g_free(target->id);
	g_free(target->address);
	g_free(target->data_center);
	g_free(target->serves);
}

static void remove_target(struct tgt_table *targets, struct tgt_target *target)
{
	g_hash_table_remove(targets->by_id, target->id);
	clear_target(target);
	tbl_remove(targets->table, target->handle);
}

static struct tgt_target *add_target(struct tgt_table *targets, const char *id)
{
	void *entry;
	tbl_handle handle = tbl_add(targets->table, &entry);
	struct tgt_target *target = entry;

	target->handle = handle;
	target->id = g_strdup(id);
	g_hash_table_insert(targets->by_id, target->id, target);
	return target;
}

static void copy_instance(struct tgt_table *targets, struct tgt_target *target,
			  const struct wf_instance *from)
{
	g_free(target->address);
	g_free(target->data_center);
	g_free(target->serves);
	target->address = g_strdup(from->address);
	target->data_center = g_strdup(from->data_center);
	target->serves = g_strdup(from->serves);
	target->data_center_number =
		tgt_data_center_number(targets, from->data_center);
	target->role = from->role;
	target->n_layers = from->n_layers;
	target->first_layer = from->first_layer;
	target->last_layer = from->last_layer;
	target->slots = MAX(from->slots, 1);
	target->step_us = from->step_us > 0 ? from->step_us : 1;
	target->listed_step_us = target->step_us;
	target->planned_step_us = target->step_us;
}

/* Starts an incarnation: what was learned of the previous one is invalid. */
static void start_incarnation(struct wf_ctx *ctx, struct tgt_table *targets,
			      struct tgt_target *target,
			      const struct wf_instance *from)
{
	struct tgt_target kept = *target;

	memset(target, 0, sizeof(*target));
	target->handle = kept.handle;
	target->id = kept.id;
	target->address = kept.address;
	target->data_center = kept.data_center;
	target->serves = kept.serves;
	target->own_requests = kept.own_requests;
	target->own_load = kept.own_load;
	target->own_long_load = kept.own_long_load;
	target->cache_generation = kept.cache_generation + 1;
	target->incarnation = from->incarnation;
	target->joined = targets->revision ? ctx->now : 0;
	target->reachable = true;
	target->inflation = 1;
	target->window = TGT_WINDOW_START;
	copy_instance(targets, target, from);
}

static bool has_same_properties(const struct tgt_target *target,
				const struct wf_instance *from)
{
	return target->listed && target->n_layers == from->n_layers &&
	       target->first_layer == from->first_layer &&
	       target->last_layer == from->last_layer &&
	       target->slots == MAX(from->slots, 1) &&
	       target->listed_step_us == from->step_us &&
	       !g_strcmp0(target->serves, from->serves) &&
	       !g_strcmp0(target->address, from->address) &&
	       !g_strcmp0(target->data_center, from->data_center);
}

static bool valid_range(const struct wf_instance *from)
{
	if (from->role == WF_ROLE_SERVICE)
		return true;
	return from->first_layer <= from->last_layer &&
	       from->last_layer < from->n_layers && from->serves;
}

static void apply_instance(struct wf_ctx *ctx, struct tgt_table *targets,
			   const struct wf_instance *from)
{
	struct tgt_target *target = tgt_find(targets, from->id);
	bool changed = !target;

	if (!target)
		target = add_target(targets, from->id);
	else if (from->incarnation < target->incarnation)
		return;
	if (changed || from->incarnation > target->incarnation) {
		start_incarnation(ctx, targets, target, from);
		changed = true;
	} else if (!has_same_properties(target, from)) {
		copy_instance(targets, target, from);
		changed = true;
	}
	target->listed = true;
	target->unlisted_since = 0;
	if (from->life == WF_LIFE_LEAVING || from->life == WF_LIFE_DEAD)
		tgt_mark_leaving(ctx, targets, target, false);
	if (changed)
		chn_invalidate(targets, target->serves);
}

static bool has_instance(GHashTable *ids, const struct tgt_target *target)
{
	return g_hash_table_contains(ids, target->id);
}

static void unlist_missing(struct wf_ctx *ctx, struct tgt_table *targets,
			   GHashTable *ids)
{
	struct tgt_target *target;
	size_t cursor = 0;

	while ((target = tbl_next(targets->table, &cursor, NULL))) {
		if (!target->listed || has_instance(ids, target))
			continue;
		target->listed = false;
		target->unlisted_since = ctx->now;
		chn_invalidate(targets, target->serves);
	}
}

static void apply_list(struct wf_ctx *ctx, struct tgt_table *targets,
		       const struct wf_instance *list, size_t n)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i].role == WF_ROLE_ENTRY || !valid_range(&list[i]))
			continue;
		g_hash_table_add(ids, (gpointer)list[i].id);
		apply_instance(ctx, targets, &list[i]);
	}
	unlist_missing(ctx, targets, ids);
	g_hash_table_unref(ids);
	chn_refresh(targets);
	targets->revision++;
}

void tgt_mark_leaving(struct wf_ctx *ctx, struct tgt_table *targets,
		      struct tgt_target *target, bool told_by_peer)
{
	if (target->leaving)
		return;
	target->leaving = true;
	log_change(ctx->log, ctx->now, target->id, "live", "leaving", NULL);
	chn_invalidate(targets, target->serves);
	tgt_broadcast_leaving(ctx, targets, target, told_by_peer);
}

static void expire(struct wf_ctx *ctx, struct tgt_table *targets)
{
	struct tgt_target *target;
	size_t cursor = 0;

	while ((target = tbl_next(targets->table, &cursor, NULL)))
		if (!target->listed && !target->own_requests &&
		    ctx->now - target->unlisted_since >= TGT_UNLISTED_RETENTION)
			remove_target(targets, target);
}

static void tick(struct wf_ctx *ctx, struct tgt_table *targets)
{
	if (ctx->now < targets->next_round)
		return;
	targets->next_round = ctx->now + targets->config.poll_period;
	tgt_poll_round(ctx, targets);
	chn_reprice(ctx, targets);
	expire(ctx, targets);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct tgt_table *targets = (struct tgt_table *)module;

	switch (event->type) {
	case WF_EV_INSTANCES:
		if (event->instances.revision < targets->list_revision)
			break;
		targets->list_revision = event->instances.revision;
		apply_list(ctx, targets, event->instances.list,
			   event->instances.n);
		break;
	case WF_EV_CACHE:
		tgt_cache_apply(ctx, targets, event->cache);
		break;
	case WF_EV_REPORT:
		tgt_apply_report(ctx, targets, event->report);
		break;
	case WF_EV_PEER:
		tgt_apply_peer(ctx, targets, event->peer);
		break;
	case WF_EV_TICK:
		tick(ctx, targets);
		break;
	default:
		break;
	}
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct tgt_table *targets = (struct tgt_table *)module;

	(void)ctx;
	return tbl_count(targets->table) ? targets->next_round : CLK_NEVER;
}

static void drop(struct wf_module *module)
{
	struct tgt_table *targets = (struct tgt_table *)module;
	struct tgt_target *target;
	size_t cursor = 0;

	g_hash_table_unref(targets->models);
	tgt_cache_drop(targets->cache);
	while ((target = tbl_next(targets->table, &cursor, NULL)))
		clear_target(target);
	tbl_drop(targets->table);
	g_hash_table_unref(targets->by_id);
	g_ptr_array_unref(targets->data_centers);
	g_free(targets);
}

static const struct wf_module_ops tgt_ops = {
	.name = "targets",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

struct tgt_table *tgt_new(struct wf_ctx *ctx, const struct tgt_config *config)
{
	struct tgt_table *targets = g_new0(struct tgt_table, 1);

	targets->module.ops = &tgt_ops;
	targets->module.id = WF_MODULE_TARGETS;
	if (config)
		targets->config = *config;
	else
		tgt_config_init(&targets->config);
	targets->table = tbl_new(sizeof(struct tgt_target));
	targets->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	targets->data_centers = g_ptr_array_new_with_free_func(g_free);
	targets->models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						chn_model_drop);
	targets->cache = tgt_cache_new();
	tgt_data_center_number(targets, ctx->data_center);
	return targets;
}

struct wf_module *tgt_module(struct tgt_table *targets)
{
	return &targets->module;
}
