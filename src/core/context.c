#include <stdarg.h>
#include <string.h>
#include <xxhash.h>

#include <wagtailferry/core.h>

static void peer_free(gpointer data)
{
	struct wf_peer *peer = data;

	g_free(peer->id);
	g_free(peer->data_center);
	g_free(peer->address);
	g_free(peer);
}

struct wf_ctx *wf_ctx_new(const char *self, const char *data_center,
			  uint64_t incarnation, uint64_t seed,
			  struct ctr_set *counters, struct log_logger *log)
{
	struct wf_ctx *ctx = g_new0(struct wf_ctx, 1);
	uint64_t mixed = wf_hash(self, strlen(self), seed);
	guint32 seeds[2] = {(guint32)mixed, (guint32)(mixed >> 32)};

	ctx->self = g_strdup(self);
	ctx->data_center = g_strdup(data_center);
	ctx->incarnation = incarnation;
	ctx->counters = counters ? ctr_keep(counters) : ctr_new();
	ctx->log = log ? log_keep(log) : log_new(NULL, NULL);
	ctx->rand = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	ctx->actions = g_queue_new();
	ctx->peers = g_ptr_array_new_with_free_func(peer_free);
	ctx->next_op = 1;
	return ctx;
}

static void action_free(gpointer data)
{
	wf_action_clear(data);
	g_free(data);
}

void wf_ctx_drop(struct wf_ctx *ctx)
{
	if (!ctx)
		return;
	g_queue_free_full(ctx->actions, action_free);
	g_ptr_array_unref(ctx->peers);
	g_rand_free(ctx->rand);
	ctr_drop(ctx->counters);
	log_drop(ctx->log);
	g_free(ctx->self);
	g_free(ctx->data_center);
	g_free(ctx);
}

void wf_emit(struct wf_ctx *ctx, struct wf_action *action)
{
	struct wf_action *copy = g_new(struct wf_action, 1);

	*copy = *action;
	memset(action, 0, sizeof(*action));
	g_queue_push_tail(ctx->actions, copy);
}

bool wf_next_action(struct wf_ctx *ctx, struct wf_action *out)
{
	struct wf_action *action = g_queue_pop_head(ctx->actions);

	if (!action)
		return false;
	*out = *action;
	g_free(action);
	return true;
}

static int compare_peers(gconstpointer a, gconstpointer b)
{
	const struct wf_peer *const *left = a;
	const struct wf_peer *const *right = b;

	return strcmp((*left)->id, (*right)->id);
}

void wf_set_peers(struct wf_ctx *ctx, const struct wf_peer *peers, size_t n)
{
	size_t i;

	g_ptr_array_set_size(ctx->peers, 0);
	for (i = 0; i < n; i++) {
		struct wf_peer *copy = g_new(struct wf_peer, 1);

		*copy = peers[i];
		copy->id = g_strdup(peers[i].id);
		copy->data_center = g_strdup(peers[i].data_center);
		copy->address = g_strdup(peers[i].address);
		copy->id_hash = wf_hash(copy->id, strlen(copy->id), 0);
		g_ptr_array_add(ctx->peers, copy);
	}
	g_ptr_array_sort(ctx->peers, compare_peers);
	ctx->peers_revision++;
}

const struct wf_peer *wf_find_peer(const struct wf_ctx *ctx, const char *id)
{
	guint low = 0;
	guint high = ctx->peers->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const struct wf_peer *peer = ctx->peers->pdata[middle];
		int order = strcmp(id, peer->id);

		if (!order)
			return peer;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

bool wf_can_own(const struct wf_peer *peer)
{
	return peer->life == WF_LIFE_LIVE || peer->life == WF_LIFE_SUSPECT;
}

static bool can_own(const struct wf_peer *peer, const char *data_center)
{
	return wf_can_own(peer) &&
	       (!data_center || !strcmp(peer->data_center, data_center));
}

/*
 * The finalizer of SplitMix64: each input bit flips about half of the output
 * bits. The id's hash is precomputed, since hashing the ids of all peers took
 * most of the time of a lookup.
 */
uint64_t wf_owner_weight(uint64_t id_hash, uint64_t hash)
{
	uint64_t value = id_hash ^ hash;

	value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
	return value ^ (value >> 31);
}

const struct wf_peer *wf_owner_of(const struct wf_ctx *ctx, uint64_t hash,
				  const char *data_center, unsigned rank)
{
	uint64_t limit = UINT64_MAX;
	const struct wf_peer *best = NULL;
	unsigned round;
	guint i;

	for (round = 0; round <= rank; round++) {
		uint64_t best_weight = 0;

		best = NULL;
		for (i = 0; i < ctx->peers->len; i++) {
			const struct wf_peer *peer = ctx->peers->pdata[i];
			uint64_t weight;

			if (!can_own(peer, data_center))
				continue;
			weight = wf_owner_weight(peer->id_hash, hash);
			if (weight >= limit || (best && weight <= best_weight))
				continue;
			best = peer;
			best_weight = weight;
		}
		if (!best)
			return NULL;
		limit = best_weight;
	}
	return best;
}

bool wf_owns(const struct wf_ctx *ctx, uint64_t hash, const char *data_center)
{
	const struct wf_peer *owner = wf_owner_of(ctx, hash, data_center, 0);

	return owner && !strcmp(owner->id, ctx->self);
}

uint64_t wf_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

void wf_send_peer(struct wf_ctx *ctx, const char *to, unsigned kind,
		  const uint8_t *body, size_t len)
{
	const struct wf_peer *peer = wf_find_peer(ctx, to);
	struct wf_action action = {.type = WF_ACT_PEER_SEND};

	action.target = g_strdup(to);
	action.address = peer ? g_strdup(peer->address) : NULL;
	action.kind = kind;
	action.body = g_bytes_new(body, len);
	wf_emit(ctx, &action);
}

void wf_reply_error(struct wf_ctx *ctx, uint64_t call_id, enum err_code code,
		    enum err_run run, clk_ms retry_after, const char *format,
		    ...)
{
	struct wf_action action = {.type = WF_ACT_REPLY_ERROR};
	va_list args;

	va_start(args, format);
	action.text = g_strdup_vprintf(format, args);
	va_end(args);
	action.call_id = call_id;
	action.error = code;
	action.run = run;
	action.retry_after = retry_after;
	action.http_status = err_http_status(code);
	wf_emit(ctx, &action);
}

/* The module's id is in the top byte of an operation number. */
#define OP_MODULE_SHIFT 56

uint64_t wf_new_op(struct wf_ctx *ctx, enum wf_module_id id)
{
	return (uint64_t)id << OP_MODULE_SHIFT | ctx->next_op++;
}

enum wf_module_id wf_op_module(uint64_t op)
{
	return (enum wf_module_id)(op >> OP_MODULE_SHIFT);
}
