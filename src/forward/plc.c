#include <stdlib.h>
#include <string.h>

#include "forward/plc_private.h"

/*
 * Requests of usual length that every copy of the model has memory for. More
 * leaves fewer engines for copies: of the time that a request takes, a copy
 * serves this many at once before it is slowed by lack of memory.
 */
#define REQUESTS_PER_COPY 140
/* Steps down to what a small fleet can do. */
#define MIN_REQUESTS_PER_COPY 4

/* What a target holds of the model, or will hold as soon as an order is
 * carried out. */
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

/* Keeps as much memory for requests as one copy of the model leaves. */
static void set_reserved_tokens(struct plc_group *group)
{
	double usual = group->engine->usual_prompt_tokens +
		       group->engine->usual_answer_tokens;
	int requests = REQUESTS_PER_COPY;

	for (;;) {
		group->reserved_tokens = requests * usual;
		if (total_capacity(group) >= group->engine->layers ||
		    requests <= MIN_REQUESTS_PER_COPY)
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

/* Engines that can be ordered to hold layers, by data centre. */
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
		MIN_REQUESTS_PER_COPY *
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
 * Plans each data centre that can hold the model by itself. The others share
 * a copy among them; if they can't hold one together, their engines add to
 * the first data centre that can.
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
