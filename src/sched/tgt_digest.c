#include <math.h>
#include <string.h>

#include "schema/targets.pb-c.h"
#include "sched/chn.h"
#include "sched/tgt_digest.h"
#include "sched/tgt_load.h"

/*
 * A node may spend 22 KB/s on control traffic in all; digests get about a
 * third. With more targets and peers each target is polled less often, up to
 * the longest period.
 */
#define DIGEST_BYTES_PER_SECOND 7000.0
#define DIGEST_BYTES_PER_TARGET 56.0
#define POLL_PERIOD_MAX (8 * CLK_SECOND)
/* Chains are planned anew when a step time changes by this factor. */
#define STEP_CHANGE 1.25
/* A report is one sample of a load that varies from step to step. */
#define PEER_LOAD_SMOOTHING 0.3
#define POLL_TIMEOUT_MS 500
/*
 * The shortest gap bound: a stream that exceeds it had already stalled when a
 * health check within this time was sent, so the check serves it as well.
 */
#define HEALTH_CHECK_PERIOD_MS 200

static uint64_t target_hash(const struct tgt_target *target)
{
	return wf_hash(target->id, strlen(target->id), 0);
}

static bool is_owned(const struct wf_ctx *ctx, struct tgt_target *target)
{
	if (target->owner_revision != ctx->peers_revision ||
	    !target->owner_known) {
		target->owned =
			wf_owns(ctx, target_hash(target), ctx->data_center);
		target->owner_revision = ctx->peers_revision;
		target->owner_known = true;
	}
	return target->owned;
}

static void set_step_us(struct tgt_table *targets, struct tgt_target *target,
			double step_us)
{
	double change = step_us / target->planned_step_us;

	if (step_us <= 0)
		return;
	target->step_us = step_us;
	if (change < STEP_CHANGE && change > 1 / STEP_CHANGE)
		return;
	target->planned_step_us = step_us;
	chn_invalidate(targets, target->serves);
}

static void set_load(struct tgt_target *target, unsigned running,
		     unsigned queued, clk_ms at)
{
	target->running = running;
	target->queued = queued;
	target->peer_load += PEER_LOAD_SMOOTHING *
			     (MAX(running + queued - target->own_load, 0) -
			      target->peer_load);
	target->own_load_since_report = 0;
	target->reported_at = at;
	tgt_adapt_window(target);
}

void tgt_apply_report(struct wf_ctx *ctx, struct tgt_table *targets,
		      const struct wf_report *report)
{
	struct tgt_target *target = tgt_find(targets, report->target);

	if (!target)
		return;
	if (target->reachable != report->reachable)
		log_change(ctx->log, ctx->now, target->id,
			   report->reachable ? "unreachable" : "reachable",
			   report->reachable ? "reachable" : "unreachable",
			   NULL);
	target->reachable = report->reachable;
	target->digest_pending = true;
	target->health_pending = false;
	targets->revision++;
	if (!report->reachable)
		return;
	if (report->slots)
		target->slots = report->slots;
	set_step_us(targets, target, report->step_us);
	set_load(target, report->running, report->queued, ctx->now);
	target->kv_free_blocks = report->kv_free_blocks;
	if (report->leaving)
		tgt_mark_leaving(ctx, targets, target, false);
}

static void fill_state(const struct wf_ctx *ctx,
		       const struct tgt_target *target, Wf__TargetState *state)
{
	wf__target_state__init(state);
	state->id = target->id;
	state->incarnation = target->incarnation;
	state->reachable = target->reachable;
	state->leaving = target->leaving;
	state->running = target->running;
	state->queued = target->queued;
	state->slots = target->slots;
	state->step_us = (uint32_t)target->step_us;
	state->kv_free_blocks = target->kv_free_blocks;
	state->age_ms = (uint32_t)(ctx->now - target->reported_at);
}

static GBytes *pack(Wf__TargetState **states, size_t n)
{
	Wf__TargetDigest digest = WF__TARGET_DIGEST__INIT;
	size_t len;
	uint8_t *body;

	digest.n_targets = n;
	digest.targets = states;
	len = wf__target_digest__get_packed_size(&digest);
	body = g_malloc(len ? len : 1);
	wf__target_digest__pack(&digest, body);
	return g_bytes_new_take(body, len);
}

static void send_to(struct wf_ctx *ctx, const struct wf_peer *peer,
		    unsigned kind, GBytes *body)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(body, &len);

	if (strcmp(peer->id, ctx->self) != 0)
		wf_send_peer(ctx, peer->id, kind, data, len);
}

static void send_to_data_center(struct wf_ctx *ctx, unsigned kind, GBytes *body)
{
	guint i;

	for (i = 0; i < ctx->peers->len; i++) {
		const struct wf_peer *peer = ctx->peers->pdata[i];

		if (peer->life != WF_LIFE_DEAD &&
		    !g_strcmp0(peer->data_center, ctx->data_center))
			send_to(ctx, peer, kind, body);
	}
}

/* Sends to the target's owners in other data centres. */
static void send_to_other_owners(struct wf_ctx *ctx, uint64_t hash,
				 unsigned kind, GBytes *body)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	g_hash_table_add(seen, ctx->data_center);
	for (i = 0; i < ctx->peers->len; i++) {
		const struct wf_peer *peer = ctx->peers->pdata[i];
		const struct wf_peer *owner;

		if (!g_hash_table_add(seen, peer->data_center))
			continue;
		owner = wf_owner_of(ctx, hash, peer->data_center, 0);
		if (owner)
			send_to(ctx, owner, kind, body);
	}
	g_hash_table_unref(seen);
}

/*
 * The first instance to find out notifies the target's owner in its data
 * centre; the owner notifies its data centre and the owners in the others.
 * That is about one message per instance, even if many find out at once.
 */
void tgt_broadcast_leaving(struct wf_ctx *ctx, struct tgt_table *targets,
			   struct tgt_target *target, bool told_by_peer)
{
	Wf__TargetState state;
	Wf__TargetState *states[] = {&state};
	uint64_t hash = target_hash(target);
	const struct wf_peer *owner;
	GBytes *body;

	(void)targets;
	owner = wf_owner_of(ctx, hash, ctx->data_center, 0);
	if (!owner)
		return;
	fill_state(ctx, target, &state);
	body = pack(states, 1);
	if (!strcmp(owner->id, ctx->self)) {
		send_to_data_center(ctx, TGT_PEER_LEAVING, body);
		send_to_other_owners(ctx, hash, TGT_PEER_LEAVING, body);
	} else if (!told_by_peer) {
		send_to(ctx, owner, TGT_PEER_LEAVING, body);
	}
	g_bytes_unref(body);
}

/* A report from before a failed own health check does not override it. */
static bool predates_health_check(const struct wf_ctx *ctx,
				  const struct tgt_target *target,
				  const Wf__TargetState *state)
{
	return !target->reachable && state->reachable &&
	       ctx->now - state->age_ms < target->health_checked_at;
}

static void apply_state(struct wf_ctx *ctx, struct tgt_table *targets,
			const Wf__TargetState *state, unsigned kind)
{
	struct tgt_target *target = tgt_find(targets, state->id);

	if (!target || state->incarnation != target->incarnation)
		return;
	if (state->leaving)
		tgt_mark_leaving(ctx, targets, target, true);
	if (kind != TGT_PEER_DIGEST ||
	    predates_health_check(ctx, target, state))
		return;
	target->reachable = state->reachable;
	targets->revision++;
	if (!state->reachable)
		return;
	if (state->slots)
		target->slots = state->slots;
	set_step_us(targets, target, state->step_us);
	set_load(target, state->running, state->queued,
		 ctx->now - state->age_ms);
	target->kv_free_blocks = state->kv_free_blocks;
}

void tgt_apply_peer(struct wf_ctx *ctx, struct tgt_table *targets,
		    const struct wf_peer_event *event)
{
	Wf__TargetDigest *digest;
	size_t i;

	if (event->kind != TGT_PEER_DIGEST && event->kind != TGT_PEER_LEAVING)
		return;
	digest = wf__target_digest__unpack(NULL, event->body_len, event->body);
	if (!digest) {
		ctr_add(ctx->counters, "wf_target_frames_malformed_total", 1);
		return;
	}
	for (i = 0; i < digest->n_targets; i++)
		apply_state(ctx, targets, digest->targets[i], event->kind);
	wf__target_digest__free_unpacked(digest, NULL);
}

static unsigned count_near_peers(const struct wf_ctx *ctx)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < ctx->peers->len; i++) {
		const struct wf_peer *peer = ctx->peers->pdata[i];

		if (!g_strcmp0(peer->data_center, ctx->data_center))
			n++;
	}
	return n;
}

static clk_ms poll_period(const struct wf_ctx *ctx,
			  const struct tgt_table *targets, size_t owned)
{
	double others = MAX(count_near_peers(ctx), 1) - 1.0;
	double bytes = DIGEST_BYTES_PER_TARGET * (double)owned * others;
	clk_ms period = (clk_ms)(1000 * bytes / DIGEST_BYTES_PER_SECOND);

	return CLAMP(period, targets->config.poll_period, POLL_PERIOD_MAX);
}

static void poll_target(struct wf_ctx *ctx, const struct tgt_target *target,
			clk_ms timeout)
{
	struct wf_action action = {.type = WF_ACT_POLL_TARGET};

	action.op = wf_new_op(ctx, WF_MODULE_TARGETS);
	action.target = g_strdup(target->id);
	action.address = g_strdup(target->address);
	action.timeout = timeout;
	wf_emit(ctx, &action);
}

void tgt_check_health(struct wf_ctx *ctx, struct tgt_target *target)
{
	if (target->health_checked_at &&
	    ctx->now - target->health_checked_at < HEALTH_CHECK_PERIOD_MS)
		return;
	target->health_checked_at = ctx->now;
	target->health_pending = true;
	poll_target(ctx, target, TGT_HEALTH_TIMEOUT_MS);
	ctr_add(ctx->counters, "wf_evidence_polls_total", 1);
}

static void send_digest(struct wf_ctx *ctx, GPtrArray *pending)
{
	GArray *states;
	Wf__TargetState **list;
	GBytes *body;
	guint i;

	if (!pending->len)
		return;
	states = g_array_sized_new(FALSE, FALSE, sizeof(Wf__TargetState),
				   pending->len);
	g_array_set_size(states, pending->len);
	list = g_new(Wf__TargetState *, pending->len);
	for (i = 0; i < pending->len; i++) {
		list[i] = &g_array_index(states, Wf__TargetState, i);
		fill_state(ctx, pending->pdata[i], list[i]);
	}
	body = pack(list, pending->len);
	send_to_data_center(ctx, TGT_PEER_DIGEST, body);
	g_bytes_unref(body);
	g_free(list);
	g_array_unref(states);
}

void tgt_poll_round(struct wf_ctx *ctx, struct tgt_table *targets)
{
	GPtrArray *pending = g_ptr_array_new();
	clk_ms period = poll_period(ctx, targets, targets->n_owned);
	struct tgt_target *target;
	size_t cursor = 0;
	size_t owned = 0;

	while ((target = tbl_next(targets->table, &cursor, NULL))) {
		if (!target->listed || !is_owned(ctx, target))
			continue;
		owned++;
		if (target->digest_pending)
			g_ptr_array_add(pending, target);
		target->digest_pending = false;
		if (ctx->now < target->next_poll)
			continue;
		target->next_poll = ctx->now + period;
		poll_target(ctx, target, POLL_TIMEOUT_MS);
	}
	targets->n_owned = owned;
	send_digest(ctx, pending);
	g_ptr_array_unref(pending);
}
