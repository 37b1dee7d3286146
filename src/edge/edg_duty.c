#include "edge/edg.h"

struct edg_duty *edg_duty_new(void)
{
	struct edg_duty *duty = g_new0(struct edg_duty, 1);

	duty->assignments =
		g_array_new(FALSE, TRUE, sizeof(struct edg_assignment));
	return duty;
}

void edg_duty_free(struct edg_duty *duty)
{
	guint i;

	if (!duty)
		return;
	for (i = 0; i < duty->assignments->len; i++)
		g_free(g_array_index(duty->assignments, struct edg_assignment,
				     i)
			       .target_id);
	g_array_unref(duty->assignments);
	g_free(duty->holder);
	g_free(duty);
}

void edg_duty_assign(struct edg_duty *duty, const char *target_id,
		     struct flt_range range)
{
	struct edg_assignment assignment = {g_strdup(target_id), range};

	g_array_append_val(duty->assignments, assignment);
}

struct edg_duty *edg_duty_copy(const struct edg_duty *duty)
{
	struct edg_duty *copy = edg_duty_new();
	guint i;

	copy->revision = duty->revision;
	copy->holder = g_strdup(duty->holder);
	copy->fence = duty->fence;
	for (i = 0; i < duty->assignments->len; i++) {
		const struct edg_assignment *assignment = &g_array_index(
			duty->assignments, struct edg_assignment, i);

		edg_duty_assign(copy, assignment->target_id, assignment->range);
	}
	return copy;
}
