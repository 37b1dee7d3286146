#include "state/clm_private.h"

/* Number of newest windows whose objects are handed over at a drain. */
#define HANDOVER_WINDOWS 3

static struct clm_entry *new_claim_entry(const struct wf_ctx *ctx,
					 const struct clm_run *run)
{
	struct clm_entry entry = {
		.key = run->key,
		.body = run->body_hash,
		.nonce = run->nonce,
		.instance = ctx->self,
		.incarnation = ctx->incarnation,
		.state = CLM_CLAIMED,
		.claimed_at = ctx->now,
		.target = run->target,
	};

	return clm_entry_copy(&entry);
}

/*
 * The owner of an object, NULL if it is this instance. The cache saves
 * hashing every peer, which takes 8 us with 390 instances.
 */
static const struct wf_peer *remote_owner(const struct wf_ctx *ctx,
					  struct clm_claims *claims,
					  const struct clm_run *run)
{
	uint64_t hash = clm_object_hash(run->window, run->shard);
	struct clm_owner *cached = &claims->owners[hash % CLM_OWNERS_CACHED];
	const struct wf_peer *owner;

	if (cached->hash == hash && !ctx->draining &&
	    cached->peers_revision == ctx->peers_revision)
		return cached->peer;
	owner = wf_owner_of(ctx, hash, NULL, 0);

	if (owner && !strcmp(owner->id, ctx->self))
		owner = ctx->draining ? wf_owner_of(ctx, hash, NULL, 1) : NULL;
	cached->hash = ctx->draining ? 0 : hash;
	cached->peers_revision = ctx->peers_revision;
	cached->peer = owner;
	return owner;
}

static void send_request(struct wf_ctx *ctx, const char *to, unsigned kind,
			 const struct clm_run *run,
			 const struct clm_entry *entry, clk_ms ttl)
{
	Wf__ClaimRequest message = WF__CLAIM_REQUEST__INIT;
	Wf__ClaimEntry wire;
	uint8_t *data;
	size_t len;

	clm_entry_to_message(entry, &wire);
	message.window = run->window;
	message.shard = run->shard;
	message.entry = &wire;
	message.ttl_ms = ttl;
	message.refresh = run->refresh;
	len = wf__claim_request__get_packed_size(&message);
	data = g_malloc(len);
	wf__claim_request__pack(&message, data);
	wf_send_peer(ctx, to, kind, data, len);
	g_free(data);
}

static void submit_local(struct wf_ctx *ctx, struct clm_claims *claims,
			 const struct clm_run *run, enum clm_request_kind kind,
			 const struct clm_entry *entry, clk_ms expires)
{
	struct clm_response full = {.result = CLM_RESULT_FULL};
	struct clm_object *object;
	struct clm_request *request;

	object = clm_object_get(ctx, claims, run->window, run->shard);
	if (!object) {
		if (kind == CLM_REQUEST_CLAIM)
			clm_run_handle_response(ctx, claims, &run->key,
						run->nonce, &full);
		return;
	}
	if (kind == CLM_REQUEST_COMPLETE && entry->state == CLM_NOT_RUN)
		clm_object_cancel(object, entry->nonce);
	request = g_new0(struct clm_request, 1);
	request->kind = kind;
	request->entry = clm_entry_copy(entry);
	request->expires = expires;
	request->refresh = run->refresh;
	clm_object_submit(ctx, claims, object, request);
}

void clm_send_claim(struct wf_ctx *ctx, struct clm_claims *claims,
		    struct clm_run *run)
{
	const struct wf_peer *owner = remote_owner(ctx, claims, run);
	struct clm_entry *entry = new_claim_entry(ctx, run);
	clk_ms deadline = clm_run_deadline(run);

	run->claim_sent = true;
	if (!owner || run->fallback) {
		run->owner_deadline = CLK_NEVER;
		submit_local(ctx, claims, run, CLM_REQUEST_CLAIM, entry,
			     deadline);
	} else {
		run->owner_deadline = ctx->now + claims->config.owner_timeout;
		send_request(ctx, owner->id, CLM_KIND_CLAIM, run, entry,
			     deadline - ctx->now);
	}
	clm_entry_free(entry);
}

void clm_send_completion(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run)
{
	const struct wf_peer *owner = remote_owner(ctx, claims, run);
	clk_ms limit = run->completion_deadline;

	if (!owner || run->completion_fallback)
		submit_local(ctx, claims, run, CLM_REQUEST_COMPLETE,
			     run->completion, limit);
	else
		send_request(ctx, owner->id, CLM_KIND_COMPLETE, run,
			     run->completion, limit - ctx->now);
}

void clm_send_query(struct wf_ctx *ctx, const struct clm_run *run)
{
	Wf__ClaimQuery message = WF__CLAIM_QUERY__INIT;
	uint8_t data[64];
	size_t len;

	message.key.data = (uint8_t *)run->key.bytes;
	message.key.len = CLM_HASH_SIZE;
	message.nonce = run->held->nonce;
	message.asker_nonce = run->nonce;
	len = wf__claim_query__get_packed_size(&message);
	if (len > sizeof(data))
		return;
	wf__claim_query__pack(&message, data);
	wf_send_peer(ctx, run->held->instance, CLM_KIND_QUERY, data, len);
}

static void send_response(struct wf_ctx *ctx, const char *to, unsigned kind,
			  const struct clm_hash *key, uint64_t nonce,
			  const struct clm_response *response)
{
	Wf__ClaimResponse message = WF__CLAIM_RESPONSE__INIT;
	Wf__ClaimEntry wire;
	uint8_t *data;
	size_t len;

	message.key.data = (uint8_t *)key->bytes;
	message.key.len = CLM_HASH_SIZE;
	message.nonce = nonce;
	message.result = (Wf__ClaimResult)response->result;
	message.retry_ms = response->retry_after;
	if (response->entry) {
		clm_entry_to_message(response->entry, &wire);
		message.entry = &wire;
	}
	len = wf__claim_response__get_packed_size(&message);
	data = g_malloc(len);
	wf__claim_response__pack(&message, data);
	wf_send_peer(ctx, to, kind, data, len);
	g_free(data);
}

void clm_send_response(struct wf_ctx *ctx, const struct clm_request *request,
		       const struct clm_response *response)
{
	struct clm_response copy = *response;
	unsigned kind = CLM_KIND_CLAIM_RESPONSE;

	if (request->kind == CLM_REQUEST_COMPLETE) {
		kind = CLM_KIND_COMPLETE_RESPONSE;
		copy.entry = NULL;
	}
	send_response(ctx, request->from, kind, &request->entry->key,
		      request->entry->nonce, &copy);
}

static void count_bad_frame(struct wf_ctx *ctx)
{
	ctr_add(ctx->counters, "wf_claims_bad_frames_total", 1);
}

/* Only the instance that a claim names may send it. */
static bool is_from_claimant(const struct wf_peer_event *event,
			     const struct clm_entry *entry)
{
	return entry->state == CLM_CLAIMED &&
	       !strcmp(entry->instance, event->from) &&
	       entry->incarnation == event->incarnation;
}

static void accept_request(struct wf_ctx *ctx, struct clm_claims *claims,
			   const struct wf_peer_event *event,
			   const Wf__ClaimRequest *message,
			   struct clm_entry *entry)
{
	struct clm_response response = {.result = CLM_RESULT_MOVED};
	struct clm_object *object = NULL;
	struct clm_request *request = g_new0(struct clm_request, 1);

	request->kind = event->kind == CLM_KIND_CLAIM ? CLM_REQUEST_CLAIM
						      : CLM_REQUEST_COMPLETE;
	request->entry = entry;
	request->from = g_strdup(event->from);
	request->refresh = message->refresh;
	request->expires = ctx->now + CLAMP(message->ttl_ms, 0,
					    claims->config.completion_limit);
	if (!ctx->draining) {
		object = clm_object_get(ctx, claims, message->window,
					message->shard);
		response.result = CLM_RESULT_FULL;
	}
	if (!object) {
		clm_send_response(ctx, request, &response);
		clm_request_free(request);
		return;
	}
	if (request->kind == CLM_REQUEST_COMPLETE &&
	    entry->state == CLM_NOT_RUN)
		clm_object_cancel(object, entry->nonce);
	response.result = CLM_RESULT_QUEUED;
	clm_send_response(ctx, request, &response);
	clm_object_submit(ctx, claims, object, request);
}

static void handle_request(struct wf_ctx *ctx, struct clm_claims *claims,
			   const struct wf_peer_event *event)
{
	Wf__ClaimRequest *message;
	struct clm_entry *entry = NULL;

	message = wf__claim_request__unpack(NULL, event->body_len, event->body);
	if (message && message->entry &&
	    message->shard < claims->config.n_shards)
		entry = clm_entry_from_message(message->entry);
	if (!entry) {
		count_bad_frame(ctx);
	} else if ((event->kind == CLM_KIND_CLAIM)
			   ? !is_from_claimant(event, entry)
			   : entry->state == CLM_CLAIMED) {
		count_bad_frame(ctx);
		clm_entry_free(entry);
	} else {
		accept_request(ctx, claims, event, message, entry);
	}
	if (message)
		wf__claim_request__free_unpacked(message, NULL);
}

static void apply_response(struct wf_ctx *ctx, struct clm_claims *claims,
			   unsigned kind, const Wf__ClaimResponse *message)
{
	struct clm_response response = {
		.result = (enum clm_result)message->result,
		.retry_after = CLAMP(message->retry_ms, 0, CLK_MINUTE),
	};
	struct clm_entry *entry = NULL;
	struct clm_hash key;

	memcpy(key.bytes, message->key.data, CLM_HASH_SIZE);
	if (message->entry)
		entry = clm_entry_from_message(message->entry);
	response.entry = entry;
	if (kind != CLM_KIND_COMPLETE_RESPONSE)
		clm_run_handle_response(ctx, claims, &key, message->nonce,
					&response);
	else if (response.result == CLM_RESULT_STORED)
		clm_run_completion_stored(claims, &key, message->nonce);
	else if (response.result == CLM_RESULT_QUEUED)
		clm_run_completion_queued(ctx, claims, &key, message->nonce);
	clm_entry_free(entry);
}

static void handle_response(struct wf_ctx *ctx, struct clm_claims *claims,
			    const struct wf_peer_event *event)
{
	Wf__ClaimResponse *message;

	message =
		wf__claim_response__unpack(NULL, event->body_len, event->body);
	if (message && message->key.len == CLM_HASH_SIZE)
		apply_response(ctx, claims, event->kind, message);
	else
		count_bad_frame(ctx);
	if (message)
		wf__claim_response__free_unpacked(message, NULL);
}

/*
 * The sender has read our claim in the store. If the claim is closed here,
 * its completion is sent again: the first one may have reached the store
 * before the claim.
 */
static void answer_query(struct wf_ctx *ctx, struct clm_claims *claims,
			 const char *from, const Wf__ClaimQuery *message)
{
	struct clm_response response = {.result = CLM_RESULT_NONE};
	struct clm_run *run = clm_run_find(claims, message->nonce);
	struct clm_entry *entry = NULL;
	struct clm_hash key;

	memcpy(key.bytes, message->key.data, CLM_HASH_SIZE);
	if (run && clm_hash_equal(&run->key, &key))
		entry = clm_run_to_entry(ctx, run);
	if (entry) {
		response.result = CLM_RESULT_HELD;
		response.entry = entry;
		if (entry->state == CLM_NOT_RUN && !run->completion) {
			clm_run_store_outcome(ctx, claims, run, entry,
					      CLM_NOT_RUN);
			clm_run_schedule(claims, run);
		}
	}
	send_response(ctx, from, CLM_KIND_QUERY_RESPONSE, &key,
		      message->asker_nonce, &response);
	clm_entry_free(entry);
}

static void handle_query(struct wf_ctx *ctx, struct clm_claims *claims,
			 const struct wf_peer_event *event)
{
	Wf__ClaimQuery *message;

	message = wf__claim_query__unpack(NULL, event->body_len, event->body);
	if (message && message->key.len == CLM_HASH_SIZE)
		answer_query(ctx, claims, event->from, message);
	else
		count_bad_frame(ctx);
	if (message)
		wf__claim_query__free_unpacked(message, NULL);
}

/* A newer copy saves a read; a write based on a wrong one conflicts. */
static void accept_handover(struct wf_ctx *ctx, struct clm_claims *claims,
			    const Wf__ClaimHandover *message)
{
	struct clm_object *object;
	GBytes *value;

	object = clm_object_get(ctx, claims, message->window, message->shard);
	if (!object || object->store_op != CLM_OBJECT_IDLE)
		return;
	if (object->valid && object->version >= message->version)
		return;
	value = g_bytes_new(message->value.data, message->value.len);
	object->valid = clm_object_decode(object, value);
	object->version = message->version;
	g_bytes_unref(value);
	clm_object_process(ctx, claims, object);
}

static void handle_handover(struct wf_ctx *ctx, struct clm_claims *claims,
			    const struct wf_peer_event *event)
{
	Wf__ClaimHandover *message;

	message =
		wf__claim_handover__unpack(NULL, event->body_len, event->body);
	if (message && message->shard < claims->config.n_shards &&
	    message->version)
		accept_handover(ctx, claims, message);
	else
		count_bad_frame(ctx);
	if (message)
		wf__claim_handover__free_unpacked(message, NULL);
}

void clm_handle_peer(struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct wf_peer_event *event)
{
	switch (event->kind) {
	case CLM_KIND_CLAIM:
	case CLM_KIND_COMPLETE:
		handle_request(ctx, claims, event);
		break;
	case CLM_KIND_CLAIM_RESPONSE:
	case CLM_KIND_COMPLETE_RESPONSE:
	case CLM_KIND_QUERY_RESPONSE:
		handle_response(ctx, claims, event);
		break;
	case CLM_KIND_QUERY:
		handle_query(ctx, claims, event);
		break;
	case CLM_KIND_HANDOVER:
		handle_handover(ctx, claims, event);
		break;
	default:
		if (event->kind >= CLM_KIND_FIRST &&
		    event->kind <= CLM_KIND_LAST)
			count_bad_frame(ctx);
	}
}

static void hand_over_object(struct wf_ctx *ctx, struct clm_object *object)
{
	uint64_t hash = clm_object_hash(object->window, object->shard);
	const struct wf_peer *next = wf_owner_of(ctx, hash, NULL, 0);
	Wf__ClaimHandover message = WF__CLAIM_HANDOVER__INIT;
	GBytes *value;
	uint8_t *data;
	size_t len;

	if (next && !strcmp(next->id, ctx->self))
		next = wf_owner_of(ctx, hash, NULL, 1);
	if (!next)
		return;
	value = clm_object_encode(object);
	message.window = object->window;
	message.shard = object->shard;
	message.version = object->version;
	message.value.data =
		(uint8_t *)g_bytes_get_data(value, &message.value.len);
	len = wf__claim_handover__get_packed_size(&message);
	data = g_malloc(len);
	wf__claim_handover__pack(&message, data);
	wf_send_peer(ctx, next->id, CLM_KIND_HANDOVER, data, len);
	g_free(data);
	g_bytes_unref(value);
}

void clm_hand_over(struct wf_ctx *ctx, struct clm_claims *claims)
{
	clk_ms oldest = ctx->now - HANDOVER_WINDOWS * claims->config.window;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claims->objects_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct clm_object *object = value;

		if (object->store_op == CLM_OBJECT_IDLE && object->valid &&
		    object->version != WF_VERSION_ABSENT &&
		    (clk_ms)object->window * claims->config.window > oldest)
			hand_over_object(ctx, object);
	}
}
