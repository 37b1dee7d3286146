#include <string.h>

#include "sched/tgt_breaker.h"
#include "sched/tgt_load.h"

static bool is_allowed(const struct tgt_target *target, char **data_centers)
{
	return !data_centers ||
	       g_strv_contains((const gchar *const *)data_centers,
			       target->data_center);
}

static bool has_handle(const tbl_handle *handles, size_t n, tbl_handle handle)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (handles[i] == handle)
			return true;
	return false;
}

static bool serves(const struct tgt_target *target, const char *service)
{
	return target->role == WF_ROLE_SERVICE && target->listed &&
	       !g_strcmp0(target->serves, service);
}

static GPtrArray *find_usable(struct wf_ctx *ctx, struct tgt_table *targets,
			      const char *service, char **data_centers)
{
	GPtrArray *usable = g_ptr_array_new();
	struct tgt_target *target;
	size_t cursor = 0;

	while ((target = tbl_next(targets->table, &cursor, NULL)))
		if (serves(target, service) &&
		    tgt_is_usable(targets, target, ctx->now) &&
		    is_allowed(target, data_centers))
			g_ptr_array_add(usable, target);
	return usable;
}

/* Removes the avoided targets unless there are no others. */
static void remove_avoided(GPtrArray *usable, const tbl_handle *avoid, size_t n)
{
	guint others = 0;
	guint i;

	for (i = 0; i < usable->len; i++) {
		const struct tgt_target *target = usable->pdata[i];

		others += !has_handle(avoid, n, target->handle);
	}
	for (i = usable->len; others && i-- > 0;) {
		const struct tgt_target *target = usable->pdata[i];

		if (has_handle(avoid, n, target->handle))
			g_ptr_array_remove_index(usable, i);
	}
}

static double use_of(const struct wf_ctx *ctx, const struct tgt_table *targets,
		     const struct tgt_target *target)
{
	return tgt_load(ctx, targets, target) /
	       tgt_effective_slots(ctx, targets, target);
}

bool tgt_pick_service(struct wf_ctx *ctx, struct tgt_table *targets,
		      const char *service, char **data_centers,
		      const tbl_handle *avoid, size_t n_avoid,
		      struct tgt_pick *out)
{
	GPtrArray *usable = find_usable(ctx, targets, service, data_centers);
	const struct tgt_target *first = NULL;
	const struct tgt_target *second;

	remove_avoided(usable, avoid, n_avoid);
	if (usable->len) {
		first = usable->pdata[g_rand_int(ctx->rand) % usable->len];
		second = usable->pdata[g_rand_int(ctx->rand) % usable->len];
		if (use_of(ctx, targets, second) < use_of(ctx, targets, first))
			first = second;
		out->handle = first->handle;
		out->id = first->id;
		out->address = first->address;
	}
	g_ptr_array_unref(usable);
	return first != NULL;
}

void tgt_service_started(struct wf_ctx *ctx, struct tgt_table *targets,
			 tbl_handle handle)
{
	struct tgt_target *target = tgt_get(targets, handle);

	if (target)
		tgt_charge(ctx, targets, target, 1, false);
}

void tgt_service_ended(struct wf_ctx *ctx, struct tgt_table *targets,
		       tbl_handle handle, bool ok)
{
	struct tgt_target *target = tgt_get(targets, handle);

	if (!target)
		return;
	tgt_release(targets, target, 1, false);
	if (ok)
		tgt_record_success(ctx, targets, target);
	else
		tgt_record_failure(ctx, targets, target, TGT_FAILURE_LOST);
}
