#include <inttypes.h>

#include "state/clm_private.h"

#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 2000
#define BACKOFF_MAX_SHIFT 6
/* A reply counts as lost after this many timeouts. */
#define REPLY_LOST_FACTOR 2
/* Idle time after which an object is evicted from the cache. */
#define CACHE_IDLE_MS (30 * CLK_SECOND)
/*
 * Writes of an idle object that need no commit interval between them: a claim,
 * and the claim of the next caller if the first one has disconnected.
 */
#define WRITE_BURST 2
/* Objects of the newest windows are assumed to be absent, without a read. */
#define ABSENT_WINDOWS 2

struct answer {
	struct clm_request *request;
	struct clm_response response;
};

char *clm_object_name(uint64_t window, unsigned shard)
{
	return g_strdup_printf("claims/%" PRIu64 "-%u", window, shard);
}

uint64_t clm_object_hash(uint64_t window, unsigned shard)
{
	uint64_t parts[2] = {window, shard};

	return wf_hash(parts, sizeof(parts), 0);
}

bool clm_window_expired(const struct wf_ctx *ctx,
			const struct clm_config *config, uint64_t window)
{
	clk_ms end = (clk_ms)(window + 1) * config->window;

#ifdef WF_GUARD_OFF_CLAIM_COMMIT_EXPIRY
	return false;
#endif
	return end < ctx->now - config->retention + config->skew;
}

void clm_request_free(struct clm_request *request)
{
	if (!request)
		return;
	clm_entry_free(request->entry);
	g_free(request->from);
	g_free(request);
}

static void free_claim_request(gpointer data)
{
	clm_request_free(data);
}

static void free_entry(gpointer data)
{
	clm_entry_free(data);
}

void clm_object_free(struct clm_object *object)
{
	g_queue_clear_full(&object->pending, free_claim_request);
	g_queue_clear_full(&object->batch, free_claim_request);
	g_hash_table_unref(object->entries);
	g_hash_table_unref(object->overlay);
	g_free(object->name);
	g_free(object);
}

static bool is_idle(const struct clm_object *object)
{
	return object->store_op == CLM_OBJECT_IDLE && !object->pin_count &&
	       g_queue_is_empty((GQueue *)&object->pending);
}

static void remove_object(struct clm_claims *claims, struct clm_object *object)
{
	g_hash_table_remove(claims->objects_by_id, &object->id);
	g_hash_table_remove(claims->objects, object->name);
}

void clm_objects_evict(struct wf_ctx *ctx, struct clm_claims *claims)
{
	struct clm_object *oldest = NULL;
	size_t bytes = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claims->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct clm_object *object = value;

		if (is_idle(object) &&
		    object->last_used + CACHE_IDLE_MS < ctx->now) {
			g_hash_table_remove(claims->objects_by_id, &object->id);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		bytes += object->bytes;
		if (is_idle(object) &&
		    (!oldest || object->last_used < oldest->last_used ||
		     (object->last_used == oldest->last_used &&
		      object->id < oldest->id)))
			oldest = object;
	}
	if (!oldest)
		return;
	if (g_hash_table_size(claims->objects) >= claims->config.max_objects ||
	    bytes > claims->config.max_cached)
		remove_object(claims, oldest);
}

static struct clm_object *new_object(struct wf_ctx *ctx,
				     struct clm_claims *claims, char *name,
				     uint64_t window, unsigned shard)
{
	struct clm_object *object = g_new0(struct clm_object, 1);
	clk_ms end = (clk_ms)(window + ABSENT_WINDOWS) * claims->config.window;

	object->id = ++claims->next_id;
	object->window = window;
	object->shard = shard;
	object->name = name;
	/* A wrong assumption costs a conflict, a right one saves a read. */
	object->valid = end > ctx->now;
	object->entries = g_hash_table_new_full(clm_hash_value, clm_hash_equal,
						NULL, free_entry);
	object->overlay = g_hash_table_new_full(clm_hash_value, clm_hash_equal,
						NULL, free_entry);
	object->not_before = claims->store_retry_at;
	object->timer.kind = CLM_TIMER_OBJECT;
	object->timer.id = object->id;
	object->timer.wake = CLK_NEVER;
	object->timer.queued = CLK_NEVER;
	g_hash_table_insert(claims->objects, object->name, object);
	g_hash_table_insert(claims->objects_by_id, &object->id, object);
	return object;
}

struct clm_object *clm_object_get(struct wf_ctx *ctx, struct clm_claims *claims,
				  uint64_t window, unsigned shard)
{
	char *name = clm_object_name(window, shard);
	struct clm_object *object = g_hash_table_lookup(claims->objects, name);

	if (object) {
		g_free(name);
		object->last_used = ctx->now;
		return object;
	}
	clm_objects_evict(ctx, claims);
	if (g_hash_table_size(claims->objects) >= claims->config.max_objects) {
		g_free(name);
		return NULL;
	}
	object = new_object(ctx, claims, name, window, shard);
	object->last_used = ctx->now;
	return object;
}

static void deliver(struct wf_ctx *ctx, struct clm_claims *claims,
		    const struct clm_request *request,
		    const struct clm_response *response)
{
	if (request->from)
		clm_send_response(ctx, request, response);
	else if (request->kind == CLM_REQUEST_COMPLETE)
		clm_run_completion_stored(claims, &request->entry->key,
					  request->entry->nonce);
	else
		clm_run_handle_response(ctx, claims, &request->entry->key,
					request->entry->nonce, response);
}

static void deliver_all(struct wf_ctx *ctx, struct clm_claims *claims,
			GArray *answers)
{
	guint i;

	for (i = 0; i < answers->len; i++) {
		struct answer *answer;

		answer = &g_array_index(answers, struct answer, i);
		if (answer->response.result != CLM_RESULT_NONE)
			deliver(ctx, claims, answer->request,
				&answer->response);
		clm_request_free(answer->request);
	}
	g_array_unref(answers);
}

static bool is_own_entry(const struct clm_request *request,
			 const struct clm_entry *entry)
{
	return entry && entry->nonce == request->entry->nonce;
}

/* Whether a response from the cache must be confirmed by a read. */
static bool needs_read(const struct clm_request *request,
		       const struct clm_response *response)
{
	if (request->fresh)
		return false;
	if (request->kind == CLM_REQUEST_CLAIM)
		return request->refresh && response->result == CLM_RESULT_HELD;
	return response->result == CLM_RESULT_STORED &&
	       !is_own_entry(request, response->entry);
}

/* Dequeues requests that the entries answer; expired ones get no answer. */
static GArray *collect_answers(struct wf_ctx *ctx,
			       const struct clm_config *config,
			       struct clm_object *object)
{
	GArray *answers = g_array_new(FALSE, FALSE, sizeof(struct answer));
	bool expired = clm_window_expired(ctx, config, object->window);
	GList *link = object->pending.head;

	while (link) {
		GList *next = link->next;
		struct answer answer = {.request = link->data};

		if (ctx->now < answer.request->expires && !expired) {
			answer.response = clm_request_evaluate(
				answer.request,
				clm_object_find(object,
						&answer.request->entry->key));
			if (needs_read(answer.request, &answer.response)) {
				object->must_read = true;
				link = next;
				continue;
			}
			if (answer.response.result == CLM_RESULT_NONE) {
				link = next;
				continue;
			}
		}
		g_queue_delete_link(&object->pending, link);
		g_array_append_val(answers, answer);
		link = next;
	}
	return answers;
}

static void start_op(struct wf_ctx *ctx, struct clm_claims *claims,
		     struct clm_object *object, struct wf_action *action)
{
	struct clm_op *op;

	op = clm_op_new(ctx, claims, CLM_OP_OBJECT, object->id);
	object->op = op->op;
	object->op_deadline =
		ctx->now + REPLY_LOST_FACTOR * claims->config.store_timeout;
	action->op = op->op;
	action->name = g_strdup(object->name);
	action->timeout = claims->config.store_timeout;
	clm_timer_set(claims->heap, &object->timer, object->op_deadline);
	wf_emit(ctx, action);
}

static void start_get(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_object *object)
{
	struct wf_action action = {.type = WF_ACT_STORE_GET};

	object->store_op = CLM_OBJECT_GET;
	ctr_add(ctx->counters, "wf_claims_store_gets_total", 1);
	start_op(ctx, claims, object, &action);
}

/* Returns the requests for which the object has no space. */
static GArray *stage_batch(struct clm_claims *claims, struct clm_object *object)
{
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(struct answer));
	struct answer answer = {.response.result = CLM_RESULT_FULL};

	while ((answer.request = g_queue_pop_head(&object->pending))) {
		const struct clm_entry *entry;
		struct clm_response response;

		entry = clm_object_find(object, &answer.request->entry->key);
		response = clm_request_evaluate(answer.request, entry);
		if (response.result != CLM_RESULT_NONE ||
		    clm_object_stage(&claims->config, object, answer.request))
			g_queue_push_tail(&object->batch, answer.request);
		else
			g_array_append_val(refused, answer);
	}
	return refused;
}

static void start_put(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_object *object)
{
	struct wf_action action = {.type = WF_ACT_STORE_PUT};
	GArray *refused = stage_batch(claims, object);

	if (!g_queue_is_empty(&object->batch)) {
		object->store_op = CLM_OBJECT_PUT;
		object->next_write = MAX(object->next_write, ctx->now) +
				     claims->config.commit_interval;
		action.version = object->version;
		action.body = clm_object_encode(object);
		ctr_add(ctx->counters, "wf_claims_store_puts_total", 1);
		ctr_add(ctx->counters, "wf_claims_store_put_bytes_total",
			g_bytes_get_size(action.body));
		start_op(ctx, claims, object, &action);
	}
	ctr_add(ctx->counters, "wf_claims_object_full_total", refused->len);
	deliver_all(ctx, claims, refused);
}

/* Closing a claim is urgent: the next claim of its key waits for it. */
static bool may_wait(const struct clm_request *request)
{
	return request->kind == CLM_REQUEST_COMPLETE &&
	       request->entry->state != CLM_NOT_RUN;
}

/* When the pending requests must be written. */
static clk_ms write_due(const struct wf_ctx *ctx,
			const struct clm_config *config,
			const struct clm_object *object)
{
	clk_ms earliest = object->next_write -
			  (WRITE_BURST - 1) * config->commit_interval;
	clk_ms due = CLK_NEVER;
	GList *link;

	if (ctx->draining)
		return ctx->now;
	for (link = object->pending.head; link; link = link->next) {
		const struct clm_request *request = link->data;
		clk_ms wait =
			may_wait(request) ? config->completion_interval : 0;

		due = clk_min(due, request->queued_at + wait);
	}
	return MAX(due, earliest);
}

static void start_due_op(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_object *object)
{
	clk_ms due;

	if (object->store_op != CLM_OBJECT_IDLE)
		return;
	if (object->valid)
		deliver_all(ctx, claims,
			    collect_answers(ctx, &claims->config, object));
	if (object->store_op != CLM_OBJECT_IDLE)
		return;
	if (g_queue_is_empty(&object->pending)) {
		object->must_read = false;
		clm_timer_set(claims->heap, &object->timer, CLK_NEVER);
		return;
	}
	if (ctx->now < object->not_before) {
		clm_timer_set(claims->heap, &object->timer, object->not_before);
		return;
	}
	if (!object->valid || object->must_read) {
		start_get(ctx, claims, object);
		return;
	}
	due = write_due(ctx, &claims->config, object);
	if (due > ctx->now)
		clm_timer_set(claims->heap, &object->timer, due);
	else
		start_put(ctx, claims, object);
}

void clm_object_process(struct wf_ctx *ctx, struct clm_claims *claims,
			struct clm_object *object)
{
	object->pin_count++;
	object->last_used = ctx->now;
	start_due_op(ctx, claims, object);
	object->pin_count--;
}

static void return_batch(struct clm_object *object)
{
	struct clm_request *request;

	while ((request = g_queue_pop_tail(&object->batch)))
		g_queue_push_head(&object->pending, request);
}

static void back_off(struct wf_ctx *ctx, struct clm_claims *claims,
		     struct clm_object *object)
{
	unsigned shift = MIN(object->failures, BACKOFF_MAX_SHIFT);
	clk_ms span = MIN((clk_ms)BACKOFF_MIN_MS << shift, BACKOFF_MAX_MS);

	object->failures++;
	object->not_before = ctx->now + span / 2 +
			     g_rand_int_range(ctx->rand, 0, (gint32)span);
	claims->store_retry_at = object->not_before;
}

/* Responds to every pending claim that the store is unavailable. */
static void report_store_down(struct wf_ctx *ctx, struct clm_claims *claims,
			      struct clm_object *object)
{
	struct clm_response response = {
		.result = CLM_RESULT_STORE_DOWN,
		.retry_after = object->not_before - ctx->now,
	};
	GPtrArray *waiting = g_ptr_array_new_with_free_func(free_claim_request);
	GList *link;
	guint i;

	for (link = object->pending.head; link; link = link->next) {
		const struct clm_request *request = link->data;
		struct clm_request *copy;

		if (request->kind != CLM_REQUEST_CLAIM)
			continue;
		copy = g_new(struct clm_request, 1);
		*copy = *request;
		copy->entry = clm_entry_copy(request->entry);
		copy->from = g_strdup(request->from);
		g_ptr_array_add(waiting, copy);
	}
	for (i = 0; i < waiting->len; i++)
		deliver(ctx, claims, waiting->pdata[i], &response);
	g_ptr_array_unref(waiting);
}

/* Refuses all requests of a write that the store has rejected. */
static void refuse_batch(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_object *object)
{
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(struct answer));
	struct answer answer = {.response.result = CLM_RESULT_FULL};

	while ((answer.request = g_queue_pop_head(&object->batch)))
		g_array_append_val(refused, answer);
	ctr_add(ctx->counters, "wf_claims_object_full_total", refused->len);
	deliver_all(ctx, claims, refused);
}

static void handle_put(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_object *object, enum wf_store_result result,
		       uint64_t version)
{
	switch (result) {
	case WF_STORE_OK:
		clm_object_apply(object);
		object->version = version;
		object->failures = 0;
		claims->store_retry_at = 0;
		break;
	case WF_STORE_UNAVAILABLE:
		clm_object_unstage(object);
		back_off(ctx, claims, object);
		break;
	case WF_STORE_REFUSED:
		clm_object_unstage(object);
		refuse_batch(ctx, claims, object);
		break;
	case WF_STORE_CONFLICT:
	case WF_STORE_NOT_FOUND:
		clm_object_unstage(object);
		object->valid = false;
		ctr_add(ctx->counters, "wf_claims_conflicts_total", 1);
		break;
	case WF_STORE_UNKNOWN:
#ifdef WF_GUARD_OFF_CLAIM_READBACK
		clm_object_apply(object);
		return_batch(object);
		deliver_all(ctx, claims,
			    collect_answers(ctx, &claims->config, object));
#else
		clm_object_unstage(object);
#endif
		object->valid = false;
		ctr_add(ctx->counters, "wf_claims_readbacks_total", 1);
		break;
	}
	return_batch(object);
}

static void mark_fresh(struct clm_object *object)
{
	GList *link;

	for (link = object->pending.head; link; link = link->next)
		((struct clm_request *)link->data)->fresh = true;
	object->must_read = false;
	object->valid = true;
}

static void handle_get(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_object *object,
		       const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_NOT_FOUND) {
		g_hash_table_remove_all(object->entries);
		object->bytes = 0;
		object->version = WF_VERSION_ABSENT;
		object->failures = 0;
		claims->store_retry_at = 0;
		mark_fresh(object);
		return;
	}
	if (reply->result != WF_STORE_OK) {
		back_off(ctx, claims, object);
		return;
	}
	if (!reply->value || !clm_object_decode(object, reply->value)) {
		ctr_add(ctx->counters, "wf_claims_bad_objects_total", 1);
		object->valid = false;
		back_off(ctx, claims, object);
		return;
	}
	object->version = reply->version;
	object->failures = 0;
	claims->store_retry_at = 0;
	mark_fresh(object);
}

void clm_object_reply(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_object *object,
		      const struct wf_store_reply *reply)
{
	enum clm_object_op finished = object->store_op;

	object->pin_count++;
	object->store_op = CLM_OBJECT_IDLE;
	object->op = 0;
	if (finished == CLM_OBJECT_PUT)
		handle_put(ctx, claims, object, reply->result, reply->version);
	else
		handle_get(ctx, claims, object, reply);
	if (ctx->now < object->not_before)
		report_store_down(ctx, claims, object);
	clm_object_process(ctx, claims, object);
	object->pin_count--;
}

void clm_object_cancel(struct clm_object *object, uint64_t nonce)
{
	GList *link = object->pending.head;

	while (link) {
		GList *next = link->next;
		struct clm_request *request = link->data;

		if (request->kind == CLM_REQUEST_CLAIM &&
		    request->entry->nonce == nonce) {
			clm_request_free(request);
			g_queue_delete_link(&object->pending, link);
		}
		link = next;
	}
}

/* Merges a repeated request into the pending one; false if there is none. */
static bool merge_repeated(struct clm_object *object,
			   const struct clm_request *request)
{
	GList *link;

	for (link = object->pending.head; link; link = link->next) {
		struct clm_request *other = link->data;

		if (other->kind != request->kind ||
		    other->entry->nonce != request->entry->nonce ||
		    g_strcmp0(other->from, request->from))
			continue;
		other->refresh |= request->refresh;
		other->expires = MAX(other->expires, request->expires);
		clm_entry_free(other->entry);
		other->entry = clm_entry_copy(request->entry);
		return true;
	}
	return false;
}

void clm_object_submit(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_object *object, struct clm_request *request)
{
	struct clm_response full = {.result = CLM_RESULT_FULL};
	struct clm_response down = {
		.result = CLM_RESULT_STORE_DOWN,
		.retry_after = object->not_before - ctx->now,
	};

	request->queued_at = ctx->now;
	if (merge_repeated(object, request)) {
		clm_request_free(request);
		return;
	}
	if (object->pending.length >= claims->config.max_pending) {
		deliver(ctx, claims, request, &full);
		clm_request_free(request);
		return;
	}
	/* Refuses callers whose deadline is before the next store call. */
	if (request->kind == CLM_REQUEST_CLAIM && down.retry_after > 0)
		deliver(ctx, claims, request, &down);
	g_queue_push_tail(&object->pending, request);
	clm_object_process(ctx, claims, object);
}
