#include <inttypes.h>
#include <stdlib.h>

#include "state/clm_private.h"

/*
 * A group is ten windows whose numbers differ in the last digit only, so that
 * one list call by name prefix finds all their objects.
 */
#define GROUP_WINDOWS 10
/* Expired groups of this period are listed again at the start. */
#define BACKLOG_MS (48 * CLK_HOUR)
/* Owner look-ups per step, of 8 us each with 390 instances. */
#define GROUPS_PER_STEP 2
/* A reply counts as lost after this many timeouts. */
#define REPLY_LOST_FACTOR 2
#define MAX_EXPIRED_OBJECTS 1024

struct expired_object {
	char *name;
	uint64_t version;
};

static void free_expired_object(gpointer data)
{
	struct expired_object *expired_object = data;

	g_free(expired_object->name);
	g_free(expired_object);
}

void clm_sweep_clear(struct clm_claims *claims)
{
	g_queue_clear_full(&claims->sweep.expired, free_expired_object);
}

/* The newest group whose windows have all passed their retention. */
static uint64_t newest_expired(const struct wf_ctx *ctx,
			       const struct clm_config *config)
{
	clk_ms limit = ctx->now - config->retention - config->skew;
	clk_ms span = config->window * GROUP_WINDOWS;

	return limit < span ? 0 : (uint64_t)(limit / span) - 1;
}

/* Runs at the first tick: the time may be unset when the module is created. */
static void start_sweep(struct wf_ctx *ctx, struct clm_claims *claims)
{
	uint64_t newest = newest_expired(ctx, &claims->config);
	clk_ms span = claims->config.window * GROUP_WINDOWS;
	uint64_t backlog = (uint64_t)(BACKLOG_MS / span);

	claims->sweep.next_group = newest;
	claims->sweep.backlog_group = newest > backlog ? newest - backlog : 0;
	claims->sweep.started = true;
}

static bool owns_group(const struct wf_ctx *ctx, uint64_t group)
{
	return wf_owns(ctx, wf_hash(&group, sizeof(group), 0), NULL);
}

static void list_group(struct wf_ctx *ctx, struct clm_claims *claims,
		       uint64_t group)
{
	struct wf_action action = {.type = WF_ACT_STORE_LIST};

	claims->sweep.op = clm_op_new(ctx, claims, CLM_OP_SWEEP, 0)->op;
	claims->sweep.op_deadline =
		ctx->now + REPLY_LOST_FACTOR * claims->config.store_timeout;
	action.op = claims->sweep.op;
	action.name = g_strdup_printf("claims/%" PRIu64, group);
	action.timeout = claims->config.store_timeout;
	ctr_add(ctx->counters, "wf_claims_sweep_lists_total", 1);
	wf_emit(ctx, &action);
}

/* The next group that this instance owns and has to list; false if none. */
static bool next_group(struct wf_ctx *ctx, struct clm_claims *claims,
		       uint64_t *group)
{
	struct clm_sweep *sweep = &claims->sweep;
	uint64_t newest = newest_expired(ctx, &claims->config);
	unsigned left = GROUPS_PER_STEP;

	while (left && sweep->next_group <= newest) {
		*group = sweep->next_group++;
		if (owns_group(ctx, *group))
			return true;
		left--;
	}
	while (left && sweep->backlog_group < newest) {
		*group = sweep->backlog_group++;
		if (owns_group(ctx, *group))
			return true;
		left--;
	}
	return false;
}

static void delete_batch(struct wf_ctx *ctx, struct clm_claims *claims)
{
	unsigned left = claims->config.sweep_deletes;
	struct expired_object *expired_object;

	while (left-- &&
	       (expired_object = g_queue_pop_head(&claims->sweep.expired))) {
		struct wf_action action = {.type = WF_ACT_STORE_DELETE};

		action.op = clm_op_new(ctx, claims, CLM_OP_DELETE, 0)->op;
		action.name = g_strdup(expired_object->name);
		action.version = expired_object->version;
		action.timeout = claims->config.store_timeout;
		ctr_add(ctx->counters, "wf_claims_sweep_deletes_total", 1);
		wf_emit(ctx, &action);
		free_expired_object(expired_object);
	}
}

void clm_sweep_tick(struct wf_ctx *ctx, struct clm_claims *claims)
{
	struct clm_sweep *sweep = &claims->sweep;
	uint64_t group;

	if (ctx->now < sweep->wake)
		return;
	sweep->wake = ctx->now + claims->config.sweep_interval;
	if (ctx->draining)
		return;
	if (!sweep->started)
		start_sweep(ctx, claims);
	if (sweep->op && ctx->now >= sweep->op_deadline)
		sweep->op = 0;
	if (!g_queue_is_empty(&sweep->expired))
		delete_batch(ctx, claims);
	else if (!sweep->op && next_group(ctx, claims, &group))
		list_group(ctx, claims, group);
}

/* Names have the form "<window>-<shard>", with or without "claims/". */
static bool is_expired_name(const struct wf_ctx *ctx,
			    const struct clm_config *config, const char *name)
{
	const char *slash = strchr(name, '/');
	const char *digits = slash ? slash + 1 : name;
	char *end;
	uint64_t window = g_ascii_strtoull(digits, &end, 10);
	clk_ms limit = ctx->now - config->retention - config->skew;

	if (end == digits || *end != '-' ||
	    window > (uint64_t)(INT64_MAX / config->window) - 1)
		return false;
	return (clk_ms)(window + 1) * config->window < limit;
}

void clm_sweep_reply(struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct wf_store_reply *reply)
{
	size_t i;

	claims->sweep.op = 0;
	if (reply->result != WF_STORE_OK)
		return;
	for (i = 0; i < reply->n_entries &&
		    claims->sweep.expired.length < MAX_EXPIRED_OBJECTS;
	     i++) {
		const char *name = reply->entries[i].name;
		struct expired_object *expired_object;

		if (!is_expired_name(ctx, &claims->config, name))
			continue;
		expired_object = g_new(struct expired_object, 1);
		expired_object->name =
			strchr(name, '/') ? g_strdup(name)
					  : g_strdup_printf("claims/%s", name);
		expired_object->version = reply->entries[i].version;
		g_queue_push_tail(&claims->sweep.expired, expired_object);
	}
}
