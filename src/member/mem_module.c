#include <string.h>

#include "member/mem_private.h"

/* Random delay of the first probe, for instances that start together. */
#define START_JITTER_MS 500

/* End of the range of peer message kinds that membership handles. */
#define KINDS_END 20

void mem_config_init(struct mem_config *config)
{
	memset(config, 0, sizeof(*config));
	config->probe_interval = CLK_SECOND;
	config->probe_timeout = 300;
	config->indirect_probes = 3;
	config->suspicion_timeout = 3 * CLK_SECOND;
	config->dead_retention = 10 * CLK_MINUTE;
	config->list_interval = 2 * CLK_SECOND;
	config->list_interval_per_peer = 25;
	config->fanout = 2;
}

static void entry_free(gpointer data)
{
	struct mem_entry *entry = data;

	g_free(entry->id);
	g_free(entry->data_center);
	g_free(entry->address);
	g_free(entry);
}

static void fetch_list(struct wf_ctx *ctx, struct mem_members *members)
{
	struct wf_action action = {.type = WF_ACT_FETCH_INSTANCES};
	clk_ms n = (clk_ms)g_hash_table_size(members->entries);
	clk_ms interval = members->config.list_interval +
			  n * members->config.list_interval_per_peer;

	members->next_list =
		ctx->now + interval / 2 +
		g_rand_int_range(ctx->rand, 0, (gint32)interval + 1);
	action.op = wf_new_op(ctx, WF_MODULE_MEMBER);
	action.timeout = interval;
	wf_emit(ctx, &action);
}

static void tick(struct wf_ctx *ctx, struct mem_members *members)
{
	mem_probe_tick(ctx, members);
	mem_expire_entries(ctx, members);
	if (ctx->now >= members->next_list)
		fetch_list(ctx, members);
}

static void start(struct wf_ctx *ctx, struct mem_members *members)
{
	members->next_probe =
		ctx->now + g_rand_int_range(ctx->rand, 0, START_JITTER_MS);
	fetch_list(ctx, members);
}

static void drain(struct wf_ctx *ctx, struct mem_members *members)
{
	mem_set_life(ctx, members, members->self, WF_LIFE_LEAVING);
	members->self->refutation++;
	mem_queue_update(members, ctx->self);
	mem_send_gossip(ctx, members);
}

static bool apply_targets(struct wf_ctx *ctx, struct mem_members *members,
			  const Wf__MemberMessage *message)
{
	const struct mem_hooks *hooks = &members->config.hooks;
	bool any_new = false;
	size_t i;

	for (i = 0; i < message->n_targets; i++) {
		const Wf__TargetUpdate *target = message->targets[i];
		enum wf_life life = (enum wf_life)target->life;

		if (target->life > WF_LIFE_DEAD ||
		    !mem_apply_target_update(ctx, members, target->id,
					     target->incarnation, life))
			continue;
		any_new = true;
		if (hooks->on_target_update)
			hooks->on_target_update(ctx, hooks->user, target->id,
						target->incarnation, life);
	}
	return any_new;
}

static bool apply_members(struct wf_ctx *ctx, struct mem_members *members,
			  const Wf__MemberMessage *message)
{
	bool any_new = false;
	size_t i;

	for (i = 0; i < message->n_updates; i++)
		if (mem_apply_update(ctx, members, message->updates[i]))
			any_new = true;
	return any_new;
}

static void answer(struct wf_ctx *ctx, struct mem_members *members,
		   const struct wf_peer_event *event,
		   const Wf__MemberMessage *message)
{
	switch (event->kind) {
	case MEM_KIND_PING:
		mem_send(ctx, members, event->from, MEM_KIND_ACK,
			 message->sequence, NULL);
		break;
	case MEM_KIND_ACK:
		mem_probe_handle_ack(ctx, members, message->sequence,
				     event->from);
		break;
	case MEM_KIND_PING_REQUEST:
		mem_probe_indirect(ctx, members, event->from, message->sequence,
				   message->subject);
		break;
	case MEM_KIND_INDIRECT_ACK:
		mem_probe_handle_ack(ctx, members, message->sequence,
				     message->subject);
		break;
	default:
		break;
	}
}

static void handle_peer(struct wf_ctx *ctx, struct mem_members *members,
			const struct wf_peer_event *event)
{
	const struct mem_hooks *hooks = &members->config.hooks;
	Wf__MemberMessage *message;
	bool any_new;

	message =
		wf__member_message__unpack(NULL, event->body_len, event->body);
	if (!message) {
		ctr_add(ctx->counters, "wf_peer_bad_frames_total", 1);
		return;
	}
	any_new = apply_members(ctx, members, message);
	any_new |= apply_targets(ctx, members, message);
	answer(ctx, members, event, message);
	if (any_new)
		mem_send_gossip(ctx, members);
	if (hooks->on_peer_revision)
		hooks->on_peer_revision(ctx, hooks->user, event->from,
					message->rules_revision);
	wf__member_message__free_unpacked(message, NULL);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct mem_members *members = (struct mem_members *)module;

	switch (event->type) {
	case WF_EV_START:
		start(ctx, members);
		break;
	case WF_EV_TICK:
		tick(ctx, members);
		break;
	case WF_EV_INSTANCES:
		mem_apply_list(ctx, members, event->instances.list,
			       event->instances.n);
		break;
	case WF_EV_PEER:
		if (event->peer->kind < KINDS_END)
			handle_peer(ctx, members, event->peer);
		break;
	case WF_EV_DRAIN:
		drain(ctx, members);
		break;
	default:
		break;
	}
	mem_publish_view(ctx, members);
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct mem_members *members = (struct mem_members *)module;

	(void)ctx;
	return clk_min(mem_probe_wakeup(members), members->next_list);
}

static void queued_update_free(gpointer data)
{
	mem_queued_update_free(data);
}

static void drop(struct wf_module *module)
{
	struct mem_members *members = (struct mem_members *)module;
	guint i;

	for (i = 0; i < members->probes->len; i++)
		mem_probe_clear(
			&g_array_index(members->probes, struct mem_probe, i));
	g_array_unref(members->probes);
	g_queue_clear_full(&members->updates, queued_update_free);
	g_ptr_array_unref(members->probe_order);
	g_hash_table_unref(members->entries);
	g_hash_table_unref(members->targets);
	g_free(members);
}

static const struct wf_module_ops mem_ops = {
	.name = "member",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

static void add_self(struct wf_ctx *ctx, struct mem_members *members,
		     const char *address)
{
	struct mem_entry *self = mem_add(ctx, members, ctx->self);

	self->incarnation = ctx->incarnation;
	g_free(self->data_center);
	self->data_center = g_strdup(ctx->data_center);
	g_free(self->address);
	self->address = g_strdup(address);
	members->self = self;
}

struct mem_members *mem_new(struct wf_ctx *ctx, const char *address,
			    const struct mem_config *config)
{
	struct mem_members *members = g_new0(struct mem_members, 1);

	members->module.ops = &mem_ops;
	members->module.id = WF_MODULE_MEMBER;
	members->config = *config;
	members->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 entry_free);
	members->probe_order = g_ptr_array_new();
	members->probes = g_array_new(FALSE, FALSE, sizeof(struct mem_probe));
	g_queue_init(&members->updates);
	members->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	members->next_sequence = 1;
	members->next_probe = CLK_NEVER;
	members->next_list = CLK_NEVER;
	add_self(ctx, members, address);
	mem_publish_view(ctx, members);
	return members;
}

struct wf_module *mem_module(struct mem_members *members)
{
	return &members->module;
}
