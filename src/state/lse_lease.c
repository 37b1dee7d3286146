#include <string.h>

#include <wagtailferry/state.h>

#include "schema/leases.pb-c.h"

#define DEFAULT_TTL_MS (10 * CLK_SECOND)
#define DEFAULT_RENEW_MS (3 * CLK_SECOND)
#define DEFAULT_PAUSE_MARGIN_MS (2 * CLK_SECOND)
/* Order timeout of 10 s plus a pause of the sender of up to 10 s. */
#define DEFAULT_FENCE_WAIT_MS (20 * CLK_SECOND)
#define DEFAULT_STORE_TIMEOUT_MS CLK_SECOND
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_SHIFT 4
/* A reply later than this many timeouts counts as lost. */
#define REPLY_LOST_FACTOR 2
/* Instances in rendezvous order that try to acquire a lease. */
#define N_CANDIDATES 2

enum lease_op {
	LEASE_IDLE,
	LEASE_GET,
	LEASE_PUT,
};

struct lse_lease {
	struct lse_config config;
	enum wf_module_id module;
	char *name;
	uint64_t hash;
	bool held;
	uint64_t version;
	clk_ms valid_until;
	clk_ms fence_until; /* a former holder may send until then */
	clk_ms renew_at;
	bool releasing;
	/* last observed state of another holder */
	uint64_t seen_version;
	clk_ms seen_at;
	bool seen_released;
	bool seen_clean; /* no order of a former holder can arrive */
	clk_ms next_read;
	/* the operation in flight */
	enum lease_op op_type;
	uint64_t op;
	clk_ms op_deadline;
	clk_ms sent_at;
	uint64_t sent_seq;
	bool takes_over;
	bool unresolved; /* the last write may have taken effect */
	uint64_t nonce;
	clk_ms backoff_until;
	unsigned failures;
	clk_ms wakeup;
	GBytes *payload;
	uint64_t payload_seq;
	uint64_t stored_seq;
};

void lse_config_init(struct lse_config *config)
{
	config->ttl = DEFAULT_TTL_MS;
	config->renew_interval = DEFAULT_RENEW_MS;
	config->pause_margin = DEFAULT_PAUSE_MARGIN_MS;
	config->fence_wait = DEFAULT_FENCE_WAIT_MS;
	config->store_timeout = DEFAULT_STORE_TIMEOUT_MS;
}

struct lse_lease *lse_new(const struct lse_config *config, const char *duty,
			  enum wf_module_id module)
{
	struct lse_lease *lease = g_new0(struct lse_lease, 1);

	lease->config = *config;
	lease->module = module;
	lease->name = g_strdup_printf("lease/%s", duty);
	lease->hash = wf_hash(lease->name, strlen(lease->name), 0);
	lease->wakeup = 0;
	return lease;
}

void lse_free(struct lse_lease *lease)
{
	if (!lease)
		return;
	if (lease->payload)
		g_bytes_unref(lease->payload);
	g_free(lease->name);
	g_free(lease);
}

bool lse_is_held(const struct lse_lease *lease)
{
	return lease->held;
}

uint64_t lse_fence(const struct lse_lease *lease)
{
	return lease->held ? lease->version : 0;
}

GBytes *lse_payload(const struct lse_lease *lease)
{
	return lease->payload;
}

uint64_t lse_stored_seq(const struct lse_lease *lease)
{
	return lease->held ? lease->stored_seq : 0;
}

clk_ms lse_next_wakeup(const struct lse_lease *lease)
{
	return lease->wakeup;
}

bool lse_may_send(const struct wf_ctx *ctx, const struct lse_lease *lease,
		  bool checks_fencing)
{
	if (!lease->held || lease->releasing)
		return false;
#ifndef WF_GUARD_OFF_LEASE_MARGIN
	if (ctx->now + lease->config.pause_margin >= lease->valid_until)
		return false;
#endif
#ifndef WF_GUARD_OFF_LEASE_FENCE_WAIT
	if (!checks_fencing && ctx->now < lease->fence_until)
		return false;
#else
	(void)checks_fencing;
#endif
	return true;
}

static void mark_lost(struct wf_ctx *ctx, struct lse_lease *lease)
{
	if (lease->held)
		log_change(ctx->log, ctx->now, lease->name, "held", "lost",
			   NULL);
	lease->held = false;
	lease->releasing = false;
	lease->seen_version = 0;
	lease->next_read = ctx->now;
}

static void start_op(struct wf_ctx *ctx, struct lse_lease *lease,
		     enum lease_op op_type, struct wf_action *action)
{
	lease->op_type = op_type;
	lease->op = wf_new_op(ctx, lease->module);
	lease->op_deadline =
		ctx->now + REPLY_LOST_FACTOR * lease->config.store_timeout;
	lease->wakeup = lease->op_deadline;
	action->op = lease->op;
	action->name = g_strdup(lease->name);
	action->timeout = lease->config.store_timeout;
	wf_emit(ctx, action);
}

static void start_get(struct wf_ctx *ctx, struct lse_lease *lease)
{
	struct wf_action action = {.type = WF_ACT_STORE_GET};

	start_op(ctx, lease, LEASE_GET, &action);
}

static GBytes *encode(const struct wf_ctx *ctx, const struct lse_lease *lease)
{
	Wf__Lease message = WF__LEASE__INIT;
	uint8_t *data;
	size_t len;

	message.holder = ctx->self;
	message.incarnation = ctx->incarnation;
	message.nonce = lease->nonce;
	message.released = lease->releasing;
	message.unclean = ctx->now < lease->fence_until;
	if (lease->payload)
		message.payload.data = (uint8_t *)g_bytes_get_data(
			lease->payload, &message.payload.len);
	len = wf__lease__get_packed_size(&message);
	data = g_malloc(len + 1);
	wf__lease__pack(&message, data);
	return g_bytes_new_take(data, len);
}

static void start_put(struct wf_ctx *ctx, struct lse_lease *lease,
		      uint64_t version)
{
	struct wf_action action = {.type = WF_ACT_STORE_PUT};
	uint64_t parts[3] = {ctx->incarnation, ctx->next_op,
			     g_rand_int(ctx->rand)};

	lease->nonce = wf_hash(parts, sizeof(parts), lease->hash);
	lease->sent_at = ctx->now;
	lease->sent_seq = lease->payload_seq;
	action.version = version;
	action.body = encode(ctx, lease);
	start_op(ctx, lease, LEASE_PUT, &action);
}

/* The rank of this instance among the candidates, or N_CANDIDATES. */
static unsigned own_rank(const struct wf_ctx *ctx,
			 const struct lse_lease *lease)
{
	unsigned rank;

	for (rank = 0; rank < N_CANDIDATES; rank++) {
		const struct wf_peer *peer;

		peer = wf_owner_of(ctx, lease->hash, NULL, rank);
		if (peer && !strcmp(peer->id, ctx->self))
			return rank;
	}
	return N_CANDIDATES;
}

/*
 * The lease of another holder expires when its version has not changed for the
 * validity period on this instance's clock, so that clocks need not agree.
 */
static clk_ms expiry_time(const struct wf_ctx *ctx,
			  const struct lse_lease *lease)
{
	clk_ms wait = lease->config.ttl + lease->config.pause_margin;

	return lease->seen_at + wait +
	       own_rank(ctx, lease) * lease->config.ttl / 2;
}

static void schedule_renewal(struct wf_ctx *ctx, struct lse_lease *lease)
{
	clk_ms jitter = lease->config.renew_interval / 4;

	lease->renew_at = ctx->now + lease->config.renew_interval -
			  g_rand_int_range(ctx->rand, 0, (gint32)jitter + 1);
}

static void tick_held(struct wf_ctx *ctx, struct lse_lease *lease)
{
	if (ctx->now >= lease->renew_at ||
	    lease->payload_seq > lease->stored_seq || lease->releasing) {
		lease->takes_over = false;
		start_put(ctx, lease, lease->version);
		return;
	}
	lease->wakeup = clk_min(lease->renew_at, lease->valid_until);
}

static void tick_free(struct wf_ctx *ctx, struct lse_lease *lease, bool wanted)
{
	if (!wanted || ctx->draining || own_rank(ctx, lease) == N_CANDIDATES) {
		lease->wakeup = ctx->now + lease->config.ttl / 2;
		return;
	}
	if (ctx->now >= lease->next_read)
		start_get(ctx, lease);
	else
		lease->wakeup = lease->next_read;
}

static void back_off(struct wf_ctx *ctx, struct lse_lease *lease)
{
	unsigned shift = MIN(lease->failures, BACKOFF_MAX_SHIFT);
	clk_ms span = (clk_ms)BACKOFF_MIN_MS << shift;

	lease->failures++;
	lease->backoff_until = ctx->now + span +
			       g_rand_int_range(ctx->rand, 0, BACKOFF_MIN_MS);
}

void lse_tick(struct wf_ctx *ctx, struct lse_lease *lease, bool wanted)
{
	struct wf_store_reply timed_out = {
		.op = lease->op,
		.result = WF_STORE_UNKNOWN,
	};

	if (lease->held && ctx->now >= lease->valid_until)
		mark_lost(ctx, lease);
	if (lease->op_type != LEASE_IDLE) {
		if (ctx->now < lease->op_deadline)
			return;
		lse_handle_reply(ctx, lease, &timed_out);
	}
	if (ctx->now < lease->backoff_until)
		lease->wakeup = lease->backoff_until;
	else if (lease->unresolved)
		start_get(ctx, lease);
	else if (lease->held)
		tick_held(ctx, lease);
	else
		tick_free(ctx, lease, wanted);
}

static void record_lease_write(struct wf_ctx *ctx, struct lse_lease *lease,
			       uint64_t version)
{
	bool acquired = !lease->held;

	lease->version = version;
	lease->unresolved = false;
	lease->failures = 0;
	if (lease->releasing) {
		mark_lost(ctx, lease);
		lease->next_read = ctx->now + lease->config.ttl;
		return;
	}
	lease->valid_until = lease->sent_at + lease->config.ttl;
	lease->stored_seq = lease->sent_seq;
	schedule_renewal(ctx, lease);
	if (!acquired)
		return;
	lease->held = true;
	if (lease->takes_over)
		lease->fence_until = ctx->now + lease->config.fence_wait;
	log_change(ctx->log, ctx->now, lease->name, "free", "held",
		   "fence %llu", (unsigned long long)version);
}

static void handle_put(struct wf_ctx *ctx, struct lse_lease *lease,
		       const struct wf_store_reply *reply)
{
	switch (reply->result) {
	case WF_STORE_OK:
		record_lease_write(ctx, lease, reply->version);
		break;
	case WF_STORE_UNAVAILABLE:
	case WF_STORE_REFUSED:
		back_off(ctx, lease);
		break;
	case WF_STORE_UNKNOWN:
		lease->unresolved = true;
		back_off(ctx, lease);
		break;
	default:
		mark_lost(ctx, lease);
	}
}

static void copy_payload(struct lse_lease *lease, const Wf__Lease *message)
{
	if (lease->payload)
		g_bytes_unref(lease->payload);
	lease->payload =
		g_bytes_new(message->payload.data, message->payload.len);
}

/* Another instance, or none, holds the lease at this version. */
static void observe_holder(struct wf_ctx *ctx, struct lse_lease *lease,
			   uint64_t version, const Wf__Lease *message)
{
	mark_lost(ctx, lease);
	lease->seen_released = message && message->released;
	lease->seen_clean = lease->seen_released && !message->unclean;
	if (message)
		copy_payload(lease, message);
	lease->seen_version = version;
	lease->seen_at = ctx->now;
}

static void acquire_if_free(struct wf_ctx *ctx, struct lse_lease *lease)
{
	clk_ms expiry = expiry_time(ctx, lease);

	if (own_rank(ctx, lease) == N_CANDIDATES || ctx->draining)
		return;
	if (!lease->seen_version || lease->seen_released ||
	    ctx->now >= expiry) {
		lease->takes_over = lease->seen_version && !lease->seen_clean;
		start_put(ctx, lease, lease->seen_version);
		return;
	}
	lease->next_read = clk_min(expiry, ctx->now + lease->config.ttl / 2);
	lease->wakeup = lease->next_read;
}

static bool is_own_write(const struct wf_ctx *ctx,
			 const struct lse_lease *lease,
			 const Wf__Lease *message)
{
	return message && message->nonce == lease->nonce &&
	       message->incarnation == ctx->incarnation &&
	       !strcmp(message->holder, ctx->self);
}

static void handle_value(struct wf_ctx *ctx, struct lse_lease *lease,
			 const struct wf_store_reply *reply)
{
	const uint8_t *data = NULL;
	Wf__Lease *message;
	gsize len = 0;

	if (reply->value)
		data = g_bytes_get_data(reply->value, &len);
	message = wf__lease__unpack(NULL, len, data);
	if (is_own_write(ctx, lease, message) && lease->unresolved)
		record_lease_write(ctx, lease, reply->version);
	else if (lease->held && reply->version == lease->version)
		lease->unresolved = false; /* write had no effect */
	else if (reply->version != lease->seen_version)
		observe_holder(ctx, lease, reply->version, message);
	lease->unresolved = false;
	if (message)
		wf__lease__free_unpacked(message, NULL);
	if (!lease->held && !lease->releasing)
		acquire_if_free(ctx, lease);
}

static void handle_get(struct wf_ctx *ctx, struct lse_lease *lease,
		       const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK) {
		lease->failures = 0;
		handle_value(ctx, lease, reply);
	} else if (reply->result == WF_STORE_NOT_FOUND) {
		lease->unresolved = false;
		mark_lost(ctx, lease);
		acquire_if_free(ctx, lease);
	} else {
		back_off(ctx, lease);
	}
}

bool lse_handle_reply(struct wf_ctx *ctx, struct lse_lease *lease,
		      const struct wf_store_reply *reply)
{
	enum lease_op op_type = lease->op_type;

	if (op_type == LEASE_IDLE || reply->op != lease->op)
		return false;
	if (lease->held && ctx->now >= lease->valid_until &&
	    op_type == LEASE_GET)
		mark_lost(ctx, lease);
	lease->op_type = LEASE_IDLE;
	lease->op = 0;
	lease->wakeup = ctx->now;
	if (op_type == LEASE_PUT)
		handle_put(ctx, lease, reply);
	else
		handle_get(ctx, lease, reply);
	return true;
}

void lse_handle_fenced(struct wf_ctx *ctx, struct lse_lease *lease)
{
	mark_lost(ctx, lease);
	lease->next_read = ctx->now + lease->config.ttl / 2;
	lease->wakeup = MIN(lease->wakeup, lease->next_read);
}

void lse_release(struct wf_ctx *ctx, struct lse_lease *lease)
{
	if (!lease->held || lease->releasing)
		return;
	lease->releasing = true;
	lease->wakeup = ctx->now;
}

uint64_t lse_set_payload(struct wf_ctx *ctx, struct lse_lease *lease,
			 GBytes *payload)
{
	if (lease->payload)
		g_bytes_unref(lease->payload);
	lease->payload = g_bytes_ref(payload);
	lease->wakeup = lease->op_type == LEASE_IDLE ? ctx->now : lease->wakeup;
	return ++lease->payload_seq;
}
