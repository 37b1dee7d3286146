#include <string.h>

#include "member/mem_private.h"

/*
 * One probe in this many goes to a dead instance that is still in the instance
 * list, so that the two sides of a partition rejoin after it heals.
 */
#define DEAD_PROBE_INTERVAL 5

void mem_probe_clear(struct mem_probe *probe)
{
	g_free(probe->subject);
	g_free(probe->requester);
	memset(probe, 0, sizeof(*probe));
}

static struct mem_probe *probe_at(const struct mem_members *members, guint i)
{
	return &g_array_index(members->probes, struct mem_probe, i);
}

static void remove_probe(struct mem_members *members, guint i)
{
	mem_probe_clear(probe_at(members, i));
	g_array_remove_index_fast(members->probes, i);
}

static void send_probe(struct wf_ctx *ctx, struct mem_members *members,
		       struct mem_probe probe)
{
	probe.deadline = ctx->now + members->config.probe_interval;
	g_array_append_val(members->probes, probe);
	mem_send(ctx, members, probe.subject, MEM_KIND_PING, probe.sequence,
		 NULL);
}

static void probe_directly(struct wf_ctx *ctx, struct mem_members *members,
			   const char *subject)
{
	struct mem_probe probe = {.sequence = members->next_sequence++};

	probe.subject = g_strdup(subject);
	probe.indirect_at = ctx->now + members->config.probe_timeout;
	send_probe(ctx, members, probe);
}

void mem_probe_indirect(struct wf_ctx *ctx, struct mem_members *members,
			const char *requester, uint64_t sequence,
			const char *subject)
{
	struct mem_probe probe = {.sequence = sequence};

	if (!mem_find(members, subject))
		return;
	probe.subject = g_strdup(subject);
	probe.requester = g_strdup(requester);
	probe.indirect_at = CLK_NEVER;
	send_probe(ctx, members, probe);
}

static struct mem_entry *pick_dead(struct wf_ctx *ctx,
				   struct mem_members *members)
{
	guint n = members->probe_order->len;
	guint start = n ? (guint)g_rand_int_range(ctx->rand, 0, (gint)n) : 0;
	guint i;

	for (i = 0; i < n; i++) {
		const char *id = members->probe_order->pdata[(start + i) % n];
		struct mem_entry *entry = mem_find(members, id);

		if (entry->life == WF_LIFE_DEAD && entry->listed)
			return entry;
	}
	return NULL;
}

static void shuffle_probe_order(struct wf_ctx *ctx, struct mem_members *members)
{
	guint i;

	for (i = members->probe_order->len; i > 1; i--) {
		guint j = (guint)g_rand_int_range(ctx->rand, 0, (gint)i);
		gpointer swap = members->probe_order->pdata[i - 1];

		members->probe_order->pdata[i - 1] =
			members->probe_order->pdata[j];
		members->probe_order->pdata[j] = swap;
	}
	members->probe_cursor = 0;
}

/*
 * Round-robin over a shuffled order bounds the time until every instance is
 * probed; independent random picks would not.
 */
static struct mem_entry *next_subject(struct wf_ctx *ctx,
				      struct mem_members *members)
{
	guint tries = members->probe_order->len;

	if (!g_rand_int_range(ctx->rand, 0, DEAD_PROBE_INTERVAL)) {
		struct mem_entry *dead = pick_dead(ctx, members);

		if (dead)
			return dead;
	}
	while (tries--) {
		const char *id;
		struct mem_entry *entry;

		if (members->probe_cursor >= members->probe_order->len)
			shuffle_probe_order(ctx, members);
		id = members->probe_order->pdata[members->probe_cursor++];
		entry = mem_find(members, id);
		if (entry->life != WF_LIFE_DEAD)
			return entry;
	}
	return NULL;
}

static void request_indirect_probes(struct wf_ctx *ctx,
				    struct mem_members *members,
				    uint64_t sequence, const char *subject)
{
	unsigned i;

	for (i = 0; i < members->config.indirect_probes; i++) {
		struct mem_entry *relay = mem_pick_peer(ctx, members, subject);

		if (!relay)
			return;
		mem_send(ctx, members, relay->id, MEM_KIND_PING_REQUEST,
			 sequence, subject);
	}
}

static void probe_failed(struct wf_ctx *ctx, struct mem_members *members,
			 const struct mem_probe *probe)
{
	struct mem_entry *entry = mem_find(members, probe->subject);

	if (probe->requester || !entry)
		return;
	ctr_add(ctx->counters, "wf_member_probe_failures_total", 1);
	if (entry->life == WF_LIFE_LIVE)
		mem_set_life(ctx, members, entry, WF_LIFE_SUSPECT);
	else if (entry->life == WF_LIFE_LEAVING)
		/* It has announced that it leaves: skip the suspicion. */
		mem_set_life(ctx, members, entry, WF_LIFE_DEAD);
	else
		return;
	mem_queue_update(members, entry->id);
}

static void check_probes(struct wf_ctx *ctx, struct mem_members *members)
{
	guint i = 0;

	while (i < members->probes->len) {
		struct mem_probe *probe = probe_at(members, i);

		if (ctx->now >= probe->deadline) {
			probe_failed(ctx, members, probe);
			remove_probe(members, i);
			continue;
		}
		if (ctx->now >= probe->indirect_at) {
			probe->indirect_at = CLK_NEVER;
			request_indirect_probes(ctx, members, probe->sequence,
						probe->subject);
		}
		i++;
	}
}

/*
 * If this instance was paused while probes were open, their acknowledgements
 * may still be unread. The probes are discarded, since their expiry says
 * nothing about the probed instances.
 */
static void discard_probes_after_pause(struct wf_ctx *ctx,
				       struct mem_members *members)
{
	guint i;

	if (ctx->now - members->next_probe <= members->config.probe_interval)
		return;
	for (i = members->probes->len; i > 0; i--)
		remove_probe(members, i - 1);
	ctr_add(ctx->counters, "wf_member_pauses_total", 1);
}

void mem_probe_tick(struct wf_ctx *ctx, struct mem_members *members)
{
	struct mem_entry *subject;

	if (members->next_probe != CLK_NEVER)
		discard_probes_after_pause(ctx, members);
	check_probes(ctx, members);
	if (ctx->now < members->next_probe)
		return;
	members->next_probe = ctx->now + members->config.probe_interval;
	subject = next_subject(ctx, members);
	if (subject)
		probe_directly(ctx, members, subject->id);
}

clk_ms mem_probe_wakeup(const struct mem_members *members)
{
	clk_ms wakeup = members->next_probe;
	guint i;

	for (i = 0; i < members->probes->len; i++) {
		const struct mem_probe *probe = probe_at(members, i);

		wakeup = clk_min(wakeup, probe->deadline);
		wakeup = clk_min(wakeup, probe->indirect_at);
	}
	return wakeup;
}

void mem_probe_handle_ack(struct wf_ctx *ctx, struct mem_members *members,
			  uint64_t sequence, const char *from)
{
	guint i;

	for (i = 0; i < members->probes->len; i++) {
		struct mem_probe *probe = probe_at(members, i);

		if (probe->sequence != sequence || strcmp(probe->subject, from))
			continue;
		if (probe->requester)
			mem_send(ctx, members, probe->requester,
				 MEM_KIND_INDIRECT_ACK, sequence, from);
		remove_probe(members, i);
		return;
	}
}
