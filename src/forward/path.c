#include "forward/path_private.h"

static void clear_stage(gpointer data)
{
	flt_target_drop(((struct pth_stage *)data)->target);
}

void pth_prepend(struct pth_path *path, struct pth_stage stage)
{
	flt_target_keep(stage.target);
	g_array_prepend_val(path->stages, stage);
}

struct pth_path *pth_new(void)
{
	struct pth_path *path = g_new0(struct pth_path, 1);

	path->stages = g_array_new(FALSE, TRUE, sizeof(struct pth_stage));
	g_array_set_clear_func(path->stages, clear_stage);
	return path;
}

struct pth_path *pth_from_head(struct flt_target *head,
			       const struct cat_engine *engine)
{
	struct pth_path *path = pth_new();
	struct pth_stage stage = {
		.target = head,
		.range = {0, MIN(head->holds.end, engine->layers)},
	};

	pth_prepend(path, stage);
	return path;
}

void pth_free(struct pth_path *path)
{
	if (!path)
		return;
	pth_release(path);
	g_array_unref(path->stages);
	g_free(path);
}

static void update_load(struct pth_path *path, int sign)
{
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		struct pth_stage *stage =
			&g_array_index(path->stages, struct pth_stage, i);
		unsigned layers = stage->range.end - stage->range.first;

		stage->target->on_path += (unsigned)sign;
		stage->target->used_token_layers +=
			sign * path->tokens * layers;
	}
	pth_head(path)->in_flight += (unsigned)sign;
}

/* The last chunk of a long prompt reaches a stage only after the stages before
 * it have prefilled it. */
static void add_read_backlog(struct pth_path *path, clk_ms now)
{
	double ends = 0;
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		struct pth_stage *stage =
			&g_array_index(path->stages, struct pth_stage, i);
		struct flt_target *target = stage->target;

		target->prefill_until =
			MAX(target->prefill_until, (double)now) +
			stage->prefill_ms;
		if (path->is_long) {
			target->prefill_until =
				MAX(target->prefill_until, ends);
			flt_add_long_prefill(target, now, stage->prefill_ms);
		}
		ends = target->prefill_until;
	}
}

void pth_reserve(struct pth_path *path, clk_ms now, double tokens)
{
	if (path->is_reserved)
		return;
	path->tokens = tokens;
	path->is_reserved = true;
	update_load(path, 1);
	add_read_backlog(path, now);
}

void pth_release(struct pth_path *path)
{
	if (!path->is_reserved)
		return;
	path->is_reserved = false;
	update_load(path, -1);
}

bool pth_contains(const struct pth_path *path, const struct flt_target *target)
{
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		if (g_array_index(path->stages, struct pth_stage, i).target ==
		    target)
			return true;
	}
	return false;
}

struct flt_target *pth_head(const struct pth_path *path)
{
	return g_array_index(path->stages, struct pth_stage, 0).target;
}
