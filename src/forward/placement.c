#include <stdlib.h>
#include <string.h>

#include "forward/placement_private.h"

/*
 * Concurrent requests of usual length that each replica of the model keeps KV
 * cache for. A replica serves this many before lack of memory slows it down.
 * A larger number would leave fewer engines for further replicas.
 */
#define REQUESTS_PER_REPLICA 140
/* Lower limit of the number above, which is reduced in small fleets. */
#define MIN_REQUESTS_PER_REPLICA 4

/* Layers that a target holds, or will hold once its pending order is done. */
static struct flt_range expected_range(const struct cat_engine *engine,
				       const struct flt_target *target,
				       clk_ms now)
{
	struct flt_range range =
		now < target->ordered_until ? target->ordered : target->holds;

	range.first = MIN(range.first, engine->layers);
	range.end = MIN(range.end, engine->layers);
	return range;
}

static unsigned total_capacity(const struct plc_group *group)
{
	unsigned total = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++)
		total += plc_engine_max_layers(group, i);
	return total;
}

/* Reserves as much KV cache as possible, up to REQUESTS_PER_REPLICA requests,
 * so that the group can still hold the model once. */
static void set_reserved_tokens(struct plc_group *group)
{
	double usual = group->engine->usual_prompt_tokens +
		       group->engine->usual_answer_tokens;
	int requests = REQUESTS_PER_REPLICA;

	for (;;) {
		group->reserved_tokens = requests * usual;
		if (total_capacity(group) >= group->engine->layers ||
		    requests <= MIN_REQUESTS_PER_REPLICA)
			return;
		requests = requests * 3 / 4;
	}
}

static int compare_engines(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct flt_target *left = *(struct flt_target *const *)a;
	const struct flt_target *right = *(struct flt_target *const *)b;
	double left_pace = cat_find_accelerator(user, left->accelerator)->pace;
	double right_pace =
		cat_find_accelerator(user, right->accelerator)->pace;

	if (left_pace != right_pace)
		return left_pace < right_pace ? -1 : 1;
	return strcmp(left->id, right->id);
}

static void append_changes(const struct plc_group *group, GArray *changes)
{
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct plc_change change = {group->engines->pdata[i],
					    group->ranges[i]};

		if (group->is_changed[i])
			g_array_append_val(changes, change);
	}
}

static void plan_group(GPtrArray *engines, const struct cat_engine *engine,
		       clk_ms now, GArray *changes)
{
	struct plc_group group = {
		.engines = engines, .engine = engine, .now = now};
	guint i;

	g_ptr_array_sort_with_data(engines, compare_engines, (gpointer)engine);
	group.ranges = g_new0(struct flt_range, engines->len);
	group.is_changed = g_new0(bool, engines->len);
	group.replicas = g_new0(unsigned, engine->layers);
	group.kv_tokens = g_new0(double, engine->layers);
	for (i = 0; i < engines->len; i++) {
		group.ranges[i] =
			expected_range(engine, engines->pdata[i], now);
		plc_count_range(&group, i, 1);
	}
	set_reserved_tokens(&group);
	plc_fill_gaps(&group);
	plc_add_replicas(&group);
	plc_rebalance(&group);
	plc_trim(&group);
	append_changes(&group, changes);
	g_free(group.ranges);
	g_free(group.is_changed);
	g_free(group.replicas);
	g_free(group.kv_tokens);
}

/* Maps each data centre to its engines that can be ordered to hold layers. */
static GHashTable *group_engines(const struct flt_fleet *fleet, clk_ms now,
				 const struct cat_service *service)
{
	GHashTable *groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	const GPtrArray *targets = flt_targets(fleet);
	guint i;

	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];
		GPtrArray *group;

		if (target->state != FLT_READY || now < target->down_until ||
		    strcmp(target->service, service->name) != 0 ||
		    !cat_find_accelerator(service->engine, target->accelerator))
			continue;
		group = g_hash_table_lookup(groups, target->data_center);
		if (!group) {
			group = g_ptr_array_new();
			g_hash_table_insert(groups, target->data_center, group);
		}
		g_ptr_array_add(group, target);
	}
	return groups;
}

static bool can_hold_model(const struct cat_engine *engine,
			   const GPtrArray *engines)
{
	struct plc_group group = {.engines = (GPtrArray *)engines,
				  .engine = engine};

	group.reserved_tokens =
		MIN_REQUESTS_PER_REPLICA *
		(engine->usual_prompt_tokens + engine->usual_answer_tokens);
	return total_capacity(&group) >= engine->layers;
}

static void append_all(GPtrArray *to, const GPtrArray *from)
{
	guint i;

	for (i = 0; i < from->len; i++)
		g_ptr_array_add(to, from->pdata[i]);
}

/*
 * Plans each data centre that can hold the whole model on its own. The other
 * data centres form one group; if even the group can't hold the model, its
 * engines join the first data centre that can.
 */
GArray *plc_plan(const struct flt_fleet *fleet, clk_ms now,
		 const struct cat_service *service)
{
	GArray *changes = g_array_new(FALSE, TRUE, sizeof(struct plc_change));
	GHashTable *groups;
	GList *names;
	GList *name;
	GPtrArray *small = g_ptr_array_new();

	if (!service->engine || !service->engine->layers) {
		g_ptr_array_unref(small);
		return changes;
	}
	groups = group_engines(fleet, now, service);
	names = g_list_sort(g_hash_table_get_keys(groups),
			    (GCompareFunc)strcmp);
	for (name = names; name; name = name->next) {
		GPtrArray *group = g_hash_table_lookup(groups, name->data);

		if (!can_hold_model(service->engine, group))
			append_all(small, group);
	}
	for (name = names; name; name = name->next) {
		GPtrArray *group = g_hash_table_lookup(groups, name->data);

		if (!can_hold_model(service->engine, group))
			continue;
		if (small->len && !can_hold_model(service->engine, small)) {
			append_all(group, small);
			g_ptr_array_set_size(small, 0);
		}
		plan_group(group, service->engine, now, changes);
	}
	if (small->len)
		plan_group(small, service->engine, now, changes);
	g_ptr_array_unref(small);
	g_list_free(names);
	g_hash_table_unref(groups);
	return changes;
}
