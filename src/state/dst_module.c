#include <string.h>

#include "state/dst_private.h"

void dst_config_init(struct dst_config *config)
{
	config->watchers = 2;
	config->watch_timeout = 30 * CLK_SECOND;
	config->store_timeout = 2 * CLK_SECOND;
	config->peer_timeout = 500;
	config->poll_interval = 5 * CLK_SECOND;
	config->poll_interval_per_peer = 250;
	config->fanout = 4;
}

void dst_handle_revision(struct wf_ctx *ctx, struct dst_distribution *dst,
			 const char *peer, uint64_t revision)
{
	if (revision > MAX(dst->revision, dst->rejected))
		dst_fetch_start(ctx, dst, peer, revision);
}

static void tick(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	if (dst->fetch.active && ctx->now >= dst->fetch.deadline)
		dst_fetch_next_source(ctx, dst);
	dst_store_tick(ctx, dst);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct dst_distribution *dst = (struct dst_distribution *)module;

	switch (event->type) {
	case WF_EV_START:
		dst->next_watch = ctx->now;
		dst->next_poll = ctx->now;
		break;
	case WF_EV_TICK:
		tick(ctx, dst);
		break;
	case WF_EV_STORE_REPLY:
		dst_handle_store(ctx, dst, event->store);
		break;
	case WF_EV_PEER:
		dst_handle_peer(ctx, dst, event->peer);
		break;
	default:
		break;
	}
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	const struct dst_distribution *dst = (struct dst_distribution *)module;
	clk_ms wakeup = dst->next_poll;

	(void)ctx;
	if (!dst->watch_op)
		wakeup = clk_min(wakeup, dst->next_watch);
	if (dst->fetch.active)
		wakeup = clk_min(wakeup, dst->fetch.deadline);
	return wakeup;
}

static void drop(struct wf_module *module)
{
	struct dst_distribution *dst = (struct dst_distribution *)module;

	dst_fetch_end(dst);
	rul_set_drop(dst->rules);
	if (dst->encoded)
		g_bytes_unref(dst->encoded);
	g_hash_table_unref(dst->chunks);
	g_hash_table_unref(dst->store_ops);
	g_free(dst);
}

static const struct wf_module_ops dst_ops = {
	.name = "distribution",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

struct dst_distribution *dst_new(struct wf_ctx *ctx,
				 const struct dst_config *config)
{
	struct dst_distribution *dst = g_new0(struct dst_distribution, 1);

	(void)ctx;
	dst->module.ops = &dst_ops;
	dst->module.id = WF_MODULE_RULES;
	if (config)
		dst->config = *config;
	else
		dst_config_init(&dst->config);
	dst->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	dst->store_ops = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	dst->next_watch = CLK_NEVER;
	dst->next_poll = CLK_NEVER;
	return dst;
}

struct wf_module *dst_module(struct dst_distribution *distribution)
{
	return &distribution->module;
}

uint64_t dst_revision(const struct dst_distribution *distribution)
{
	return distribution->revision;
}

const struct rul_set *dst_rules(const struct dst_distribution *distribution)
{
	return distribution->rules;
}
