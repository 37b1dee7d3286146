#include <string.h>

#include "wire.h"

static struct fake_core *fake_core_of(struct drv_core *core)
{
	return (struct fake_core *)core;
}

static void handle(struct drv_core *base, clk_ms now,
		   const struct wf_event *event)
{
	struct fake_core *core = fake_core_of(base);

	core->now = now;
	core->events[event->type]++;
	if (event->type == WF_EV_CALL)
		core->last_call = event->call->id;
	if (core->script)
		core->script(core, event);
}

static bool next_action(struct drv_core *base, struct wf_action *out)
{
	struct wf_action *action =
		g_queue_pop_head(fake_core_of(base)->actions);

	if (!action)
		return false;
	*out = *action;
	g_free(action);
	return true;
}

static clk_ms next_wakeup(struct drv_core *base)
{
	return fake_core_of(base)->wakeup;
}

static bool is_ready(struct drv_core *base)
{
	return fake_core_of(base)->ready;
}

static void write_status(struct drv_core *base, GString *out)
{
	(void)base;
	g_string_append(out, "{\"fake\":true}");
}

static const struct drv_core_ops fake_ops = {
	handle, next_action, next_wakeup, is_ready, write_status,
};

struct fake_core *fake_core_new(fake_core_script script, void *user)
{
	struct fake_core *core = g_new0(struct fake_core, 1);

	core->base.ops = &fake_ops;
	core->actions = g_queue_new();
	core->script = script;
	core->user = user;
	core->wakeup = CLK_NEVER;
	return core;
}

static void free_action(gpointer data)
{
	wf_action_clear(data);
	g_free(data);
}

void fake_core_drop(struct fake_core *core)
{
	g_queue_free_full(core->actions, free_action);
	g_free(core);
}

void fake_core_emit(struct fake_core *core, struct wf_action *action)
{
	struct wf_action *copy = g_new(struct wf_action, 1);

	*copy = *action;
	memset(action, 0, sizeof(*action));
	g_queue_push_tail(core->actions, copy);
}
