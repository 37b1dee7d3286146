#include <jansson.h>
#include <stdlib.h>

#include "sched/tgt_load.h"

static const char *state_of(const struct tgt_table *targets,
			    const struct tgt_target *target, clk_ms now)
{
	if (target->leaving)
		return "leaving";
	if (!target->listed)
		return "unlisted";
	if (!target->reachable)
		return "unreachable";
	return tgt_is_usable(targets, target, now) ? "usable" : "open";
}

static json_t *target_json(const struct wf_ctx *ctx,
			   const struct tgt_table *targets,
			   const struct tgt_target *target)
{
	return json_pack("{s:s, s:s, s:s?, s:s, s:i, s:f, s:f, s:f}", "id",
			 target->id, "state",
			 state_of(targets, target, ctx->now), "serves",
			 target->serves, "data_center", target->data_center,
			 "requests", (int)target->own_requests, "load",
			 tgt_load(ctx, targets, target), "places",
			 tgt_effective_slots(ctx, targets, target), "slowness",
			 target->inflation);
}

void tgt_write_status(const struct wf_ctx *ctx, struct tgt_table *targets,
		      GString *out)
{
	json_t *list = json_array();
	struct tgt_target *target;
	size_t cursor = 0;
	char *text;

	while ((target = tbl_next(targets->table, &cursor, NULL)))
		json_array_append_new(list, target_json(ctx, targets, target));
	text = json_dumps(list, JSON_COMPACT | JSON_REAL_PRECISION(4));
	if (text)
		g_string_append(out, text);
	free(text);
	json_decref(list);
}
