#include <string.h>

#include <wagtailferry/core.h>

void wf_action_clear(struct wf_action *action)
{
	g_free(action->target);
	g_free(action->address);
	g_free(action->name);
	g_free(action->text);
	g_free(action->model);
	g_free(action->delivered);
	g_free(action->key);
	g_free(action->order);
	g_free(action->argument);
	if (action->body)
		g_bytes_unref(action->body);
	if (action->chain)
		g_array_unref(action->chain);
	memset(action, 0, sizeof(*action));
}

struct wf_policy wf_policy_copy(const struct wf_policy *policy)
{
	struct wf_policy copy = *policy;

	copy.target = g_strdup(policy->target);
	copy.data_centers = g_strdupv(policy->data_centers);
	copy.targets = g_strdupv(policy->targets);
	return copy;
}

void wf_policy_clear(struct wf_policy *policy)
{
	g_free(policy->target);
	g_strfreev(policy->data_centers);
	g_strfreev(policy->targets);
	memset(policy, 0, sizeof(*policy));
}

void wf_stage_clear(struct wf_stage *stage)
{
	g_free(stage->target);
	g_free(stage->address);
	g_free(stage->kv_source);
	memset(stage, 0, sizeof(*stage));
}

static void clear_stage_entry(gpointer data)
{
	wf_stage_clear(data);
}

GArray *wf_chain_new(void)
{
	GArray *chain = g_array_new(FALSE, TRUE, sizeof(struct wf_stage));

	g_array_set_clear_func(chain, clear_stage_entry);
	return chain;
}

GArray *wf_chain_copy(const GArray *chain)
{
	GArray *copy = wf_chain_new();
	guint i;

	for (i = 0; i < chain->len; i++) {
		struct wf_stage stage;

		stage = g_array_index(chain, struct wf_stage, i);
		stage.target = g_strdup(stage.target);
		stage.address = g_strdup(stage.address);
		stage.kv_source = g_strdup(stage.kv_source);
		g_array_append_val(copy, stage);
	}
	return copy;
}
