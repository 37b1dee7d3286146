#include <string.h>

#include "member/mem_private.h"

static const char *life_name(enum wf_life life)
{
	switch (life) {
	case WF_LIFE_LIVE:
		return "live";
	case WF_LIFE_SUSPECT:
		return "suspect";
	case WF_LIFE_LEAVING:
		return "leaving";
	case WF_LIFE_DEAD:
		break;
	}
	return "dead";
}

struct mem_entry *mem_find(const struct mem_members *members, const char *id)
{
	return g_hash_table_lookup(members->entries, id);
}

/*
 * Inserts at a random position. If the instances were probed in the order in
 * which they joined, all would probe the same one at the same time and a failed
 * one only a full round later.
 */
static void add_to_probe_order(struct wf_ctx *ctx, struct mem_members *members,
			       char *id)
{
	gint n = (gint)members->probe_order->len;
	gint position = g_rand_int_range(ctx->rand, 0, n + 1);

	g_ptr_array_insert(members->probe_order, position, id);
	if ((guint)position < members->probe_cursor)
		members->probe_cursor++;
}

struct mem_entry *mem_add(struct wf_ctx *ctx, struct mem_members *members,
			  const char *id)
{
	struct mem_entry *entry = g_new0(struct mem_entry, 1);

	entry->id = g_strdup(id);
	entry->data_center = g_strdup("");
	entry->address = g_strdup("");
	entry->changed = ctx->now;
	g_hash_table_insert(members->entries, entry->id, entry);
	if (strcmp(id, ctx->self))
		add_to_probe_order(ctx, members, entry->id);
	members->view_changed = true;
	return entry;
}

static void remove_entry(struct mem_members *members, struct mem_entry *entry)
{
	g_ptr_array_remove_fast(members->probe_order, entry->id);
	g_hash_table_remove(members->entries, entry->id);
	members->view_changed = true;
}

void mem_set_life(struct wf_ctx *ctx, struct mem_members *members,
		  struct mem_entry *entry, enum wf_life life)
{
	char *subject;

	if (entry->life == life)
		return;
	subject = g_strdup_printf("instance %s", entry->id);
	log_change(ctx->log, ctx->now, subject, life_name(entry->life),
		   life_name(life), NULL);
	g_free(subject);
	entry->life = life;
	entry->changed = ctx->now;
	members->view_changed = true;
	ctr_add(ctx->counters, "wf_member_changes_total", 1);
}

static void set_text(char **field, const char *value)
{
	if (!value || !*value || !strcmp(*field, value))
		return;
	g_free(*field);
	*field = g_strdup(value);
}

static void set_location(struct mem_members *members, struct mem_entry *entry,
			 const char *data_center, const char *address)
{
	set_text(&entry->data_center, data_center);
	set_text(&entry->address, address);
	members->view_changed = true;
}

/*
 * Within one incarnation and refutation the state with the higher rank is
 * newer. LEAVING outranks SUSPECT, so that suspicion never hides that an
 * instance leaves.
 */
static unsigned life_rank(enum wf_life life)
{
	switch (life) {
	case WF_LIFE_LIVE:
		return 0;
	case WF_LIFE_SUSPECT:
		return 1;
	case WF_LIFE_LEAVING:
		return 2;
	case WF_LIFE_DEAD:
		break;
	}
	return 3;
}

static bool is_newer(const Wf__MemberUpdate *update,
		     const struct mem_entry *entry)
{
	if (update->incarnation != entry->incarnation)
		return update->incarnation > entry->incarnation;
	if (update->refutation != entry->refutation)
		return update->refutation > entry->refutation;
	return life_rank((enum wf_life)update->life) > life_rank(entry->life);
}

/* A refutation may undo SUSPECT and DEAD, but never LEAVING. */
static enum wf_life merge_life(const struct mem_entry *entry,
			       const Wf__MemberUpdate *update)
{
	enum wf_life life = (enum wf_life)update->life;

	if (update->incarnation == entry->incarnation &&
	    entry->life == WF_LIFE_LEAVING && life != WF_LIFE_DEAD)
		return WF_LIFE_LEAVING;
	return life;
}

/* Refutes a false update about this instance by a higher refutation number. */
static bool refute(struct wf_ctx *ctx, struct mem_members *members,
		   const Wf__MemberUpdate *update)
{
	struct mem_entry *self = members->self;

	if (update->incarnation != self->incarnation || !is_newer(update, self))
		return false;
	self->refutation = update->refutation + 1;
	ctr_add(ctx->counters, "wf_member_refutations_total", 1);
	mem_queue_update(members, self->id);
	return true;
}

bool mem_apply_update(struct wf_ctx *ctx, struct mem_members *members,
		      const Wf__MemberUpdate *update)
{
	struct mem_entry *entry;

	if (!*update->id || update->life > WF_LIFE_DEAD)
		return false;
	if (!strcmp(update->id, ctx->self))
		return refute(ctx, members, update);
	entry = mem_find(members, update->id);
	if (!entry) {
		if (update->life == WF_LIFE_DEAD)
			return false;
		entry = mem_add(ctx, members, update->id);
	} else if (!is_newer(update, entry)) {
		return false;
	}
	mem_set_life(ctx, members, entry, merge_life(entry, update));
	entry->incarnation = update->incarnation;
	entry->refutation = update->refutation;
	set_location(members, entry, update->data_center, update->address);
	mem_queue_update(members, entry->id);
	return true;
}

static void apply_list_item(struct wf_ctx *ctx, struct mem_members *members,
			    const struct wf_instance *item)
{
	struct mem_entry *entry = mem_find(members, item->id);

	if (!entry)
		entry = mem_add(ctx, members, item->id);
	entry->listed = true;
	if (entry == members->self)
		return;
	if (item->incarnation > entry->incarnation) {
		entry->incarnation = item->incarnation;
		entry->refutation = 0;
		mem_set_life(ctx, members, entry, WF_LIFE_LIVE);
	} else if (item->incarnation &&
		   item->incarnation < entry->incarnation) {
		return;
	}
	set_location(members, entry, item->data_center, item->peer_address);
	if (item->life == WF_LIFE_LEAVING && entry->life < WF_LIFE_LEAVING) {
		mem_set_life(ctx, members, entry, WF_LIFE_LEAVING);
		mem_queue_update(members, entry->id);
	}
}

void mem_apply_list(struct wf_ctx *ctx, struct mem_members *members,
		    const struct wf_instance *list, size_t n)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&iter, members->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct mem_entry *)value)->listed = false;
	for (i = 0; i < n; i++)
		if (list[i].role == WF_ROLE_ENTRY)
			apply_list_item(ctx, members, &list[i]);
}

static bool is_expired(const struct wf_ctx *ctx,
		       const struct mem_members *members,
		       const struct mem_entry *entry)
{
	return entry->life == WF_LIFE_DEAD && !entry->listed &&
	       ctx->now - entry->changed >= members->config.dead_retention;
}

void mem_expire_entries(struct wf_ctx *ctx, struct mem_members *members)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, members->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct mem_entry *entry = value;

		if (entry->life == WF_LIFE_SUSPECT &&
		    ctx->now - entry->changed >=
			    members->config.suspicion_timeout) {
			mem_set_life(ctx, members, entry, WF_LIFE_DEAD);
			mem_queue_update(members, entry->id);
		}
		if (is_expired(ctx, members, entry))
			g_ptr_array_add(expired, entry);
	}
	for (i = 0; i < expired->len; i++)
		remove_entry(members, expired->pdata[i]);
	g_ptr_array_unref(expired);
}

void mem_publish_view(struct wf_ctx *ctx, struct mem_members *members)
{
	GArray *view;
	GHashTableIter iter;
	gpointer value;

	if (!members->view_changed)
		return;
	members->view_changed = false;
	view = g_array_new(FALSE, FALSE, sizeof(struct wf_peer));
	g_hash_table_iter_init(&iter, members->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct mem_entry *entry = value;
		struct wf_peer peer = {.id = entry->id};

		peer.data_center = entry->data_center;
		peer.address = entry->address;
		peer.incarnation = entry->incarnation;
		peer.life = entry->life;
		if (entry->life != WF_LIFE_DEAD)
			g_array_append_val(view, peer);
	}
	wf_set_peers(ctx, (const struct wf_peer *)(const void *)view->data,
		     view->len);
	ctr_set_gauge(ctx->counters, "wf_member_live", view->len);
	g_array_unref(view);
}

unsigned mem_count_dead_listed(const struct mem_members *members)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, members->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct mem_entry *entry = value;

		n += entry->life == WF_LIFE_DEAD && entry->listed;
	}
	return n;
}

enum wf_life mem_get_life(const struct mem_members *members, const char *id)
{
	const struct mem_entry *entry = mem_find(members, id);

	return entry ? entry->life : WF_LIFE_DEAD;
}

void mem_write_status(const struct mem_members *members, GString *out)
{
	GHashTableIter iter;
	gpointer value;
	const char *separator = "";

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&iter, members->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct mem_entry *entry = value;

		g_string_append_printf(out,
				       "%s{\"id\":\"%s\",\"data_center\":"
				       "\"%s\",\"state\":\"%s\","
				       "\"incarnation\":%" G_GUINT64_FORMAT "}",
				       separator, entry->id, entry->data_center,
				       life_name(entry->life),
				       entry->incarnation);
		separator = ",";
	}
	g_string_append_c(out, ']');
}
