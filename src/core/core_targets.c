#include <string.h>

#include "core/core_private.h"

static void instance_clear(gpointer data)
{
	struct wf_instance *item = data;

	g_free((char *)item->id);
	g_free((char *)item->address);
	g_free((char *)item->peer_address);
	g_free((char *)item->data_center);
	g_free((char *)item->serves);
	g_free((char *)item->accelerator);
}

void core_instances_free(GArray *instances)
{
	g_array_unref(instances);
}

static GArray *copy_instances(const struct wf_instance *list, size_t n)
{
	GArray *copy = g_array_sized_new(FALSE, FALSE,
					 sizeof(struct wf_instance), (guint)n);
	size_t i;

	g_array_set_clear_func(copy, instance_clear);
	for (i = 0; i < n; i++) {
		struct wf_instance item = list[i];

		item.id = g_strdup(item.id);
		item.address = g_strdup(item.address);
		item.peer_address = g_strdup(item.peer_address);
		item.data_center = g_strdup(item.data_center);
		item.serves = g_strdup(item.serves);
		item.accelerator = g_strdup(item.accelerator);
		g_array_append_val(copy, item);
	}
	return copy;
}

/*
 * A life state overrides the list only up to its own incarnation: a restarted
 * target has a newer one and counts as a new target.
 */
static void overlay_life(struct wf_core *core, struct wf_instance *item)
{
	const struct core_target_life *known;

	known = g_hash_table_lookup(core->target_lives, item->id);
	if (known && known->incarnation >= item->incarnation &&
	    known->life > item->life)
		item->life = known->life;
}

/* Target lines of the rules override the list. */
static void overlay_rules(struct wf_core *core, struct wf_instance *item)
{
	const struct rul_set *rules = dst_rules(core->distribution);
	struct rul_target target;

	if (!rules || !rul_set_find_target(rules, item->id, &target))
		return;
	if (target.states_fencing)
		item->checks_fencing = target.checks_fencing;
	if (target.states_sender)
		item->checks_sender = target.checks_sender;
}

static bool record_life(struct wf_core *core, const char *target,
			uint64_t incarnation, enum wf_life life)
{
	struct core_target_life *known;

	known = g_hash_table_lookup(core->target_lives, target);
	if (known &&
	    (incarnation < known->incarnation ||
	     (incarnation == known->incarnation && life <= known->life)))
		return false;
	if (!known) {
		known = g_new0(struct core_target_life, 1);
		g_hash_table_insert(core->target_lives, g_strdup(target),
				    known);
	}
	known->incarnation = incarnation;
	known->life = life;
	core->list_changed = true;
	return true;
}

static struct wf_instance *find_instance(struct wf_core *core, const char *id)
{
	guint i;

	for (i = 0; i < core->instances->len; i++) {
		struct wf_instance *item =
			&g_array_index(core->instances, struct wf_instance, i);

		if (!strcmp(item->id, id))
			return item;
	}
	return NULL;
}

void core_handle_target_life(struct wf_ctx *ctx, void *user, const char *target,
			     uint64_t incarnation, enum wf_life life)
{
	struct wf_core *core = user;

	if (record_life(core, target, incarnation, life))
		ctr_add(ctx->counters, "wf_target_news_total", 1);
}

void core_handle_target_leaving(struct wf_core *core, const char *target)
{
	const struct wf_instance *item = find_instance(core, target);

	if (!item ||
	    !record_life(core, target, item->incarnation, WF_LIFE_LEAVING))
		return;
	mem_announce_target(core->ctx, core->members, target, item->incarnation,
			    WF_LIFE_LEAVING);
}

/* Discards the life states of targets that are no longer listed. */
static void remove_unlisted(struct wf_core *core)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer id;
	guint i;

	for (i = 0; i < core->instances->len; i++) {
		struct wf_instance *item =
			&g_array_index(core->instances, struct wf_instance, i);

		g_hash_table_add(listed, (char *)item->id);
	}
	g_hash_table_iter_init(&iter, core->target_lives);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(listed, id))
			g_hash_table_iter_remove(&iter);
	g_hash_table_unref(listed);
}

/* Announces to peers the targets that are leaving according to the list. */
static void announce_leaving(struct wf_core *core)
{
	guint i;

	for (i = 0; i < core->instances->len; i++) {
		const struct wf_instance *item =
			&g_array_index(core->instances, struct wf_instance, i);

		if (item->role != WF_ROLE_ENTRY &&
		    item->life == WF_LIFE_LEAVING)
			mem_announce_target(core->ctx, core->members, item->id,
					    item->incarnation, WF_LIFE_LEAVING);
	}
}

void core_set_instances(struct wf_core *core, const struct wf_instance *list,
			size_t n, uint64_t revision)
{
	if (revision && revision < core->list_revision) {
		ctr_add(core->ctx->counters, "wf_stale_lists_total", 1);
		return;
	}
	core_instances_free(core->instances);
	core->instances = copy_instances(list, n);
	core->list_revision = revision;
	core->list_changed = true;
	remove_unlisted(core);
	announce_leaving(core);
}

void core_deliver_instances(struct wf_core *core)
{
	struct wf_event event = {.type = WF_EV_INSTANCES};
	guint i;

	if (!core->list_changed)
		return;
	core->list_changed = false;
	for (i = 0; i < core->instances->len; i++) {
		struct wf_instance *item =
			&g_array_index(core->instances, struct wf_instance, i);

		overlay_life(core, item);
		overlay_rules(core, item);
	}
	event.instances.list =
		(const struct wf_instance *)(const void *)core->instances->data;
	event.instances.n = core->instances->len;
	event.instances.revision = core->list_revision;
	core_broadcast(core, &event);
}
