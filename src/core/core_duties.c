#include <string.h>

#include "core/core_private.h"

/* Each load line is one order; an edited line is a new order. */
#define LOAD_ATTEMPT 1

static void free_argument(gpointer data)
{
	g_free(data);
}

/* Sets the orders that the rules in force require as the wanted ones. */
static void set_wanted(struct wf_core *core, const struct rul_set *rules)
{
	size_t n = rul_set_n_loads(rules);
	struct dut_wanted_order *wanted =
		g_new0(struct dut_wanted_order, n + 1);
	GPtrArray *arguments = g_ptr_array_new_with_free_func(free_argument);
	size_t i;

	for (i = 0; i < n; i++) {
		struct rul_load load = rul_set_get_load(rules, i);
		char *argument;

		argument = load.version && *load.version
				   ? g_strdup_printf("%s@%s", load.model,
						     load.version)
				   : g_strdup(load.model);
		g_ptr_array_add(arguments, argument);
		wanted[i].target = load.target;
		wanted[i].order = load.wanted ? "load" : "unload";
		wanted[i].argument = argument;
		wanted[i].attempt = LOAD_ATTEMPT;
	}
	dut_set_wanted(core->ctx, core->duties, wanted, n);
	g_ptr_array_unref(arguments);
	g_free(wanted);
}

void core_apply_rules(struct wf_core *core)
{
	uint64_t revision = dst_revision(core->distribution);

	if (revision == core->applied_revision)
		return;
	core->applied_revision = revision;
	/* Target lines override the instance list. */
	core->list_changed = true;
	set_wanted(core, dst_rules(core->distribution));
}
