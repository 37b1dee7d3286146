#include "state/clm_private.h"

void clm_target_free(struct clm_target *target)
{
	g_free(target->id);
	g_free(target->address);
	g_free(target->serves);
	g_free(target->data_center);
	g_free(target);
}

struct clm_target *clm_target_find(const struct clm_claims *claims,
				   const char *id)
{
	guint i;

	for (i = 0; i < claims->targets->len; i++) {
		struct clm_target *target = claims->targets->pdata[i];

		if (!strcmp(target->id, id))
			return target;
	}
	return NULL;
}

static void set_text(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(value ? value : "");
}

/* A late list does not undo leaving: that is final for an incarnation. */
static void update_target(struct clm_claims *claims,
			  const struct wf_instance *instance)
{
	struct clm_target *target = clm_target_find(claims, instance->id);

	if (!target) {
		target = g_new0(struct clm_target, 1);
		target->id = g_strdup(instance->id);
		g_ptr_array_add(claims->targets, target);
	}
	if (instance->incarnation > target->incarnation) {
		target->incarnation = instance->incarnation;
		target->leaving = false;
		target->avoid_until = 0;
	}
	set_text(&target->address, instance->address);
	set_text(&target->serves, instance->serves);
	set_text(&target->data_center, instance->data_center);
	target->has_status = instance->has_status;
	target->live = instance->life == WF_LIFE_LIVE;
	target->leaving |= instance->life == WF_LIFE_LEAVING;
	target->listed = true;
}

void clm_targets_update(struct clm_claims *claims,
			const struct wf_instance *list, size_t n)
{
	guint at;
	size_t i;

	for (at = 0; at < claims->targets->len; at++) {
		struct clm_target *target = claims->targets->pdata[at];

		target->listed = false;
	}
	for (i = 0; i < n; i++)
		if (list[i].role == WF_ROLE_SERVICE)
			update_target(claims, &list[i]);
	for (at = claims->targets->len; at-- > 0;) {
		struct clm_target *target = claims->targets->pdata[at];

		if (target->listed)
			continue;
		target->live = false;
		if (!target->in_flight)
			g_ptr_array_remove_index(claims->targets, at);
	}
}

void clm_targets_report(struct clm_claims *claims,
			const struct wf_report *report)
{
	struct clm_target *target = clm_target_find(claims, report->target);

	if (target && report->leaving)
		target->leaving = true;
}

static bool is_allowed(const struct clm_target *target,
		       const struct wf_policy *policy)
{
	if (!policy->target || strcmp(target->serves, policy->target))
		return false;
	if (policy->targets &&
	    !g_strv_contains((const char *const *)policy->targets, target->id))
		return false;
	if (!policy->data_centers)
		return true;
	return g_strv_contains((const char *const *)policy->data_centers,
			       target->data_center);
}

/* Lower is better: reachable ones first, then the fewest in flight. */
static uint64_t cost(const struct wf_ctx *ctx, const struct clm_target *target,
		     const char *avoid)
{
	uint64_t penalty = target->avoid_until > ctx->now;

	penalty |= avoid && !strcmp(target->id, avoid);
	return penalty << 32 | target->in_flight;
}

struct clm_target *clm_target_choose(struct wf_ctx *ctx,
				     const struct clm_claims *claims,
				     const struct wf_policy *policy,
				     const char *avoid)
{
	struct clm_target *best = NULL;
	gint32 ties = 0;
	guint i;

	for (i = 0; i < claims->targets->len; i++) {
		struct clm_target *target = claims->targets->pdata[i];

		if (!target->live || target->leaving ||
		    !is_allowed(target, policy))
			continue;
		if (!best ||
		    cost(ctx, target, avoid) < cost(ctx, best, avoid)) {
			best = target;
			ties = 1;
		} else if (cost(ctx, target, avoid) == cost(ctx, best, avoid) &&
			   !g_rand_int_range(ctx->rand, 0, ++ties)) {
			best = target;
		}
	}
	return best;
}

void clm_target_release(const struct clm_claims *claims, const char *id)
{
	struct clm_target *target = clm_target_find(claims, id);

	if (target && target->in_flight)
		target->in_flight--;
}

struct clm_target *clm_target_with_status(const struct clm_claims *claims,
					  const struct wf_policy *policy,
					  const char *preferred, unsigned n)
{
	GPtrArray *found = g_ptr_array_new();
	struct clm_target *result = NULL;
	guint i;

	for (i = 0; i < claims->targets->len; i++) {
		struct clm_target *target = claims->targets->pdata[i];

		if (!target->has_status || !is_allowed(target, policy))
			continue;
		if (preferred && !strcmp(target->id, preferred))
			g_ptr_array_insert(found, 0, target);
		else
			g_ptr_array_add(found, target);
	}
	if (found->len)
		result = found->pdata[n % found->len];
	g_ptr_array_unref(found);
	return result;
}
