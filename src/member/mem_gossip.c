#include <math.h>
#include <string.h>

#include "member/mem_private.h"

/* Bounds the size of one message to about one kilobyte. */
#define MAX_UPDATES_PER_MESSAGE 12

/* Each update is sent on this many messages times log2 of the table size. */
#define TRANSMISSIONS_PER_DOUBLING 3

/* Updates about targets are removed after this time. */
#define TARGET_RETENTION_MS CLK_HOUR

void mem_queued_update_free(struct mem_queued_update *queued)
{
	g_free(queued->id);
	g_free(queued);
}

static unsigned transmission_limit(const struct mem_members *members)
{
	guint n = g_hash_table_size(members->entries);
	unsigned doublings = 1;

	while (n > 1) {
		n /= 2;
		doublings++;
	}
	return TRANSMISSIONS_PER_DOUBLING * doublings;
}

/* Removes an older update about the same subject from the queue. */
static void drop_update(struct mem_members *members, const char *id,
			bool is_target)
{
	GList *item;

	for (item = members->updates.head; item; item = item->next) {
		struct mem_queued_update *queued = item->data;

		if (queued->is_target != is_target || strcmp(queued->id, id))
			continue;
		g_queue_delete_link(&members->updates, item);
		mem_queued_update_free(queued);
		return;
	}
}

static struct mem_queued_update *add_update(struct mem_members *members,
					    const char *id, bool is_target)
{
	struct mem_queued_update *queued = g_new0(struct mem_queued_update, 1);

	drop_update(members, id, is_target);
	queued->id = g_strdup(id);
	queued->is_target = is_target;
	queued->transmissions_left = transmission_limit(members);
	g_queue_push_head(&members->updates, queued);
	return queued;
}

void mem_queue_update(struct mem_members *members, const char *id)
{
	add_update(members, id, false);
}

bool mem_apply_target_update(struct wf_ctx *ctx, struct mem_members *members,
			     const char *id, uint64_t incarnation,
			     enum wf_life life)
{
	struct mem_target_state *known =
		g_hash_table_lookup(members->targets, id);
	struct mem_queued_update *queued;

	if (known &&
	    (incarnation < known->incarnation ||
	     (incarnation == known->incarnation && life <= known->life)))
		return false;
	if (!known) {
		known = g_new0(struct mem_target_state, 1);
		g_hash_table_insert(members->targets, g_strdup(id), known);
	}
	known->incarnation = incarnation;
	known->life = life;
	known->received = ctx->now;
	queued = add_update(members, id, true);
	queued->incarnation = incarnation;
	queued->life = life;
	return true;
}

/* The updates of one message. */
struct batch {
	Wf__MemberUpdate members[MAX_UPDATES_PER_MESSAGE + 2];
	Wf__MemberUpdate *member_list[MAX_UPDATES_PER_MESSAGE + 2];
	size_t n_members;
	Wf__TargetUpdate targets[MAX_UPDATES_PER_MESSAGE];
	Wf__TargetUpdate *target_list[MAX_UPDATES_PER_MESSAGE];
	size_t n_targets;
};

static void batch_member(const struct mem_members *members, struct batch *batch,
			 const char *id)
{
	const struct mem_entry *entry = mem_find(members, id);
	Wf__MemberUpdate *update = &batch->members[batch->n_members];

	if (!entry)
		return;
	wf__member_update__init(update);
	update->id = entry->id;
	update->data_center = entry->data_center;
	update->address = entry->address;
	update->incarnation = entry->incarnation;
	update->refutation = entry->refutation;
	update->life = entry->life;
	batch->member_list[batch->n_members++] = update;
}

static void batch_target(struct batch *batch,
			 const struct mem_queued_update *queued)
{
	Wf__TargetUpdate *update = &batch->targets[batch->n_targets];

	wf__target_update__init(update);
	update->id = queued->id;
	update->incarnation = queued->incarnation;
	update->life = queued->life;
	batch->target_list[batch->n_targets++] = update;
}

static void fill_batch(const struct mem_members *members, struct batch *batch)
{
	const GList *item = members->updates.head;
	unsigned i;

	for (i = 0; item && i < MAX_UPDATES_PER_MESSAGE; i++) {
		const struct mem_queued_update *queued = item->data;

		if (queued->is_target)
			batch_target(batch, queued);
		else
			batch_member(members, batch, queued->id);
		item = item->next;
	}
}

/*
 * Moves the updates just sent to the tail of the queue and frees those that
 * have reached their transmission limit.
 */
static void count_transmissions(struct mem_members *members)
{
	unsigned n = MIN(members->updates.length, MAX_UPDATES_PER_MESSAGE);

	while (n--) {
		struct mem_queued_update *queued =
			g_queue_pop_head(&members->updates);

		if (--queued->transmissions_left)
			g_queue_push_tail(&members->updates, queued);
		else
			mem_queued_update_free(queued);
	}
}

static void pack_and_send(struct wf_ctx *ctx, const Wf__MemberMessage *message,
			  const char *to, enum mem_kind kind)
{
	size_t len = wf__member_message__get_packed_size(message);
	uint8_t *packed = g_malloc(len);

	wf__member_message__pack(message, packed);
	wf_send_peer(ctx, to, kind, packed, len);
	ctr_add(ctx->counters, "wf_member_messages_total", 1);
	ctr_add(ctx->counters, "wf_member_bytes_total", len);
	g_free(packed);
}

void mem_send(struct wf_ctx *ctx, struct mem_members *members, const char *to,
	      enum mem_kind kind, uint64_t sequence, const char *subject)
{
	const struct mem_hooks *hooks = &members->config.hooks;
	const struct mem_entry *receiver = mem_find(members, to);
	Wf__MemberMessage message = WF__MEMBER_MESSAGE__INIT;
	struct batch batch = {.n_members = 0};

	mem_publish_view(ctx, members);
	fill_batch(members, &batch);
	batch_member(members, &batch, ctx->self);
	/* Lets a receiver that is held suspect or dead refute it at once. */
	if (receiver && receiver->life != WF_LIFE_LIVE)
		batch_member(members, &batch, to);
	message.sequence = sequence;
	message.subject = (char *)(subject ? subject : "");
	message.updates = batch.member_list;
	message.n_updates = batch.n_members;
	message.targets = batch.target_list;
	message.n_targets = batch.n_targets;
	if (hooks->rules_revision)
		message.rules_revision = hooks->rules_revision(hooks->user);
	pack_and_send(ctx, &message, to, kind);
	count_transmissions(members);
	if (receiver && receiver->life == WF_LIFE_DEAD) {
		/* The published view omits dead instances: set the address. */
		struct wf_action *sent = g_queue_peek_tail(ctx->actions);

		sent->address = g_strdup(receiver->address);
	}
}

struct mem_entry *mem_pick_peer(struct wf_ctx *ctx, struct mem_members *members,
				const char *excluded)
{
	guint n = members->probe_order->len;
	guint start = n ? (guint)g_rand_int_range(ctx->rand, 0, (gint)n) : 0;
	guint i;

	for (i = 0; i < n; i++) {
		const char *id = members->probe_order->pdata[(start + i) % n];
		struct mem_entry *entry = mem_find(members, id);

		if (entry->life != WF_LIFE_DEAD &&
		    (!excluded || strcmp(id, excluded)))
			return entry;
	}
	return NULL;
}

/*
 * When each of n instances forwards an update to ln(n) plus a constant number
 * of receivers, it reaches all with high probability. Updates piggybacked on
 * probes reach the rest.
 */
static unsigned gossip_fanout(const struct mem_members *members)
{
	double n = (double)members->probe_order->len + 1.0;

	return members->config.fanout + (unsigned)ceil(log(n));
}

void mem_send_gossip(struct wf_ctx *ctx, struct mem_members *members)
{
	unsigned fanout = gossip_fanout(members);
	const char *previous = NULL;
	unsigned i;

	for (i = 0; i < fanout; i++) {
		struct mem_entry *entry = mem_pick_peer(ctx, members, previous);

		if (!entry)
			return;
		previous = entry->id;
		mem_send(ctx, members, entry->id, MEM_KIND_GOSSIP, 0, NULL);
	}
}

static void expire_targets(struct wf_ctx *ctx, struct mem_members *members)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct mem_target_state *known = value;

		if (ctx->now - known->received > TARGET_RETENTION_MS)
			g_hash_table_iter_remove(&iter);
	}
}

void mem_announce_target(struct wf_ctx *ctx, struct mem_members *members,
			 const char *target, uint64_t incarnation,
			 enum wf_life life)
{
	if (!mem_apply_target_update(ctx, members, target, incarnation, life))
		return;
	mem_send_gossip(ctx, members);
	expire_targets(ctx, members);
}
