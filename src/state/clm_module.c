#include "state/clm_private.h"

#define DEFAULT_WINDOW_MS (10 * CLK_SECOND)
#define DEFAULT_SHARDS 32
#define DEFAULT_RETENTION_MS (24 * CLK_HOUR)
/* Bound on clock differences; synchronised clocks differ by far less. */
#define DEFAULT_SKEW_MS (10 * CLK_SECOND)
/* 500 bookings/s take 164 store writes/s; 100 ms: 288 (claims_bench 5 100). */
#define DEFAULT_COMMIT_INTERVAL_MS 200
#define DEFAULT_COMPLETION_INTERVAL_MS 500
#define DEFAULT_MAX_ANSWER 4096
/* A quarter of the store's limit on a value. */
#define DEFAULT_MAX_OBJECT (256 << 10)
#define DEFAULT_MAX_RUNS 10000
#define DEFAULT_MAX_CALLERS 16
#define DEFAULT_MAX_OBJECTS 512
#define DEFAULT_MAX_CACHED (4 << 20)
#define DEFAULT_MAX_PENDING 2048
#define DEFAULT_STORE_TIMEOUT_MS 1000
#define DEFAULT_TARGET_TIMEOUT_MS (30 * CLK_SECOND)
#define DEFAULT_STATUS_TIMEOUT_MS 1000
/* A live owner confirms at once that it has queued a claim. */
#define DEFAULT_OWNER_TIMEOUT_MS 250
#define DEFAULT_DEADLINE_MS (10 * CLK_SECOND)
#define DEFAULT_MAX_DEADLINE_MS (10 * CLK_MINUTE)
#define DEFAULT_KEEP_FINISHED_MS CLK_MINUTE
#define DEFAULT_COMPLETION_LIMIT_MS (10 * CLK_MINUTE)
#define DEFAULT_RETRY_RATIO 0.1
#define DEFAULT_MAX_ATTEMPTS 3
#define DEFAULT_STATUS_TRIES 5
#define DEFAULT_SWEEP_INTERVAL_MS CLK_SECOND
#define DEFAULT_SWEEP_DELETES 4

void clm_config_init(struct clm_config *config)
{
	config->window = DEFAULT_WINDOW_MS;
	config->n_shards = DEFAULT_SHARDS;
	config->retention = DEFAULT_RETENTION_MS;
	config->skew = DEFAULT_SKEW_MS;
	config->commit_interval = DEFAULT_COMMIT_INTERVAL_MS;
	config->completion_interval = DEFAULT_COMPLETION_INTERVAL_MS;
	config->max_answer = DEFAULT_MAX_ANSWER;
	config->max_object = DEFAULT_MAX_OBJECT;
	config->max_runs = DEFAULT_MAX_RUNS;
	config->max_callers = DEFAULT_MAX_CALLERS;
	config->max_objects = DEFAULT_MAX_OBJECTS;
	config->max_cached = DEFAULT_MAX_CACHED;
	config->max_pending = DEFAULT_MAX_PENDING;
	config->store_timeout = DEFAULT_STORE_TIMEOUT_MS;
	config->target_timeout = DEFAULT_TARGET_TIMEOUT_MS;
	config->status_timeout = DEFAULT_STATUS_TIMEOUT_MS;
	config->owner_timeout = DEFAULT_OWNER_TIMEOUT_MS;
	config->default_deadline = DEFAULT_DEADLINE_MS;
	config->max_deadline = DEFAULT_MAX_DEADLINE_MS;
	config->keep_finished = DEFAULT_KEEP_FINISHED_MS;
	config->completion_limit = DEFAULT_COMPLETION_LIMIT_MS;
	config->retry_ratio = DEFAULT_RETRY_RATIO;
	config->max_attempts = DEFAULT_MAX_ATTEMPTS;
	config->status_tries = DEFAULT_STATUS_TRIES;
	config->sweep_interval = DEFAULT_SWEEP_INTERVAL_MS;
	config->sweep_deletes = DEFAULT_SWEEP_DELETES;
}

struct clm_op *clm_op_new(struct wf_ctx *ctx, struct clm_claims *claims,
			  enum clm_op_kind kind, uint64_t id)
{
	struct clm_op *op = g_new(struct clm_op, 1);

	op->op = wf_new_op(ctx, WF_MODULE_CLAIMS);
	op->kind = kind;
	op->id = id;
	g_hash_table_insert(claims->ops, &op->op, op);
	return op;
}

/* Removes a pending operation; false if its reply has come already. */
static bool take_op(struct clm_claims *claims, uint64_t number,
		    struct clm_op *out)
{
	const struct clm_op *op = g_hash_table_lookup(claims->ops, &number);

	if (!op)
		return false;
	*out = *op;
	g_hash_table_remove(claims->ops, &number);
	return true;
}

static void handle_call(struct wf_ctx *ctx, struct clm_claims *claims,
			const struct wf_call *call)
{
	if (call->kind != WF_CALL_SERVICE)
		return;
	if (call->policy.repeatable)
		clm_direct_call(ctx, claims, call);
	else
		clm_run_call(ctx, claims, call);
}

static void handle_store(struct wf_ctx *ctx, struct clm_claims *claims,
			 const struct wf_store_reply *reply)
{
	struct clm_object *object;
	struct clm_op op;

	if (!take_op(claims, reply->op, &op))
		return;
	if (op.kind == CLM_OP_SWEEP && op.op == claims->sweep.op)
		clm_sweep_reply(ctx, claims, reply);
	if (op.kind != CLM_OP_OBJECT)
		return;
	object = g_hash_table_lookup(claims->objects_by_id, &op.id);
	if (object && object->op == op.op)
		clm_object_reply(ctx, claims, object, reply);
}

static void handle_service(struct wf_ctx *ctx, struct clm_claims *claims,
			   const struct wf_service_reply *reply)
{
	struct clm_direct *direct;
	struct clm_run *run;
	struct clm_op op;

	if (!take_op(claims, reply->op, &op))
		return;
	if (op.kind == CLM_OP_DIRECT) {
		direct = g_hash_table_lookup(claims->direct, &op.id);
		if (direct && direct->op == op.op)
			clm_direct_reply(ctx, claims, direct, reply);
		return;
	}
	run = op.kind == CLM_OP_CALL ? clm_run_find(claims, op.id) : NULL;
	if (run && run->call_op == op.op)
		clm_run_service_reply(ctx, claims, run, reply);
}

static void handle_status(struct wf_ctx *ctx, struct clm_claims *claims,
			  const struct wf_status_reply *reply)
{
	struct clm_run *run;
	struct clm_op op;

	if (!take_op(claims, reply->op, &op) || op.kind != CLM_OP_STATUS)
		return;
	run = clm_run_find(claims, op.id);
	if (run && run->status_op == op.op)
		clm_run_status_reply(ctx, claims, run, reply);
}

/* Runs an object's timer. The outcome of an overdue store call is unknown. */
static void tick_object(struct wf_ctx *ctx, struct clm_claims *claims,
			struct clm_object *object)
{
	struct wf_store_reply lost = {.result = WF_STORE_UNKNOWN};

	if (object->store_op == CLM_OBJECT_IDLE) {
		clm_object_process(ctx, claims, object);
	} else if (ctx->now >= object->op_deadline) {
		g_hash_table_remove(claims->ops, &object->op);
		clm_object_reply(ctx, claims, object, &lost);
	} else {
		clm_timer_set(claims->heap, &object->timer,
			      object->op_deadline);
	}
}

static struct clm_timer *find_timer(struct clm_claims *claims,
				    enum clm_timer_kind kind, uint64_t id)
{
	struct clm_direct *direct;
	struct clm_object *object;
	struct clm_run *run;

	switch (kind) {
	case CLM_TIMER_RUN:
		run = clm_run_find(claims, id);
		return run ? &run->timer : NULL;
	case CLM_TIMER_OBJECT:
		object = g_hash_table_lookup(claims->objects_by_id, &id);
		return object ? &object->timer : NULL;
	case CLM_TIMER_DIRECT:
		direct = g_hash_table_lookup(claims->direct, &id);
		return direct ? &direct->timer : NULL;
	}
	return NULL;
}

static void run_timer(struct wf_ctx *ctx, struct clm_claims *claims,
		      enum clm_timer_kind kind, uint64_t id)
{
	struct clm_timer *timer = find_timer(claims, kind, id);

	if (!timer)
		return;
	timer->queued = CLK_NEVER;
	if (timer->wake > ctx->now) {
		clm_timer_set(claims->heap, timer, timer->wake);
		return;
	}
	switch (kind) {
	case CLM_TIMER_RUN:
		clm_run_tick(ctx, claims, clm_run_find(claims, id));
		break;
	case CLM_TIMER_OBJECT:
		tick_object(ctx, claims,
			    g_hash_table_lookup(claims->objects_by_id, &id));
		break;
	case CLM_TIMER_DIRECT:
		clm_direct_tick(ctx, claims,
				g_hash_table_lookup(claims->direct, &id));
		break;
	}
}

static void handle_tick(struct wf_ctx *ctx, struct clm_claims *claims)
{
	enum clm_timer_kind kind;
	uint64_t id;

	while (clm_heap_pop(claims->heap, ctx->now, &kind, &id))
		run_timer(ctx, claims, kind, id);
	clm_sweep_tick(ctx, claims);
}

/* Writes all pending requests at once; handle() then hands objects over. */
static void handle_drain(struct wf_ctx *ctx, struct clm_claims *claims)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *objects = g_ptr_array_new();
	guint i;

	ctx->draining = true;
	g_hash_table_iter_init(&iter, claims->objects_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(objects, value);
	for (i = 0; i < objects->len; i++)
		clm_object_process(ctx, claims, objects->pdata[i]);
	g_ptr_array_unref(objects);
}

static bool objects_idle(const struct clm_claims *claims)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claims->objects_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct clm_object *object = value;

		if (object->store_op != CLM_OBJECT_IDLE ||
		    !g_queue_is_empty(&object->pending))
			return false;
	}
	return true;
}

bool clm_is_idle(const struct clm_claims *claims)
{
	return !claims->n_active && !claims->n_completions &&
	       !g_hash_table_size(claims->direct) && objects_idle(claims);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct clm_claims *claims = (struct clm_claims *)module;

	switch (event->type) {
	case WF_EV_TICK:
		handle_tick(ctx, claims);
		break;
	case WF_EV_CALL:
		handle_call(ctx, claims, event->call);
		break;
	case WF_EV_CALLER_GONE:
		clm_run_remove_caller(ctx, claims, event->call_id);
		clm_direct_cancel(claims, event->call_id);
		break;
	case WF_EV_SERVICE_REPLY:
		handle_service(ctx, claims, event->service);
		break;
	case WF_EV_STATUS_REPLY:
		handle_status(ctx, claims, event->status);
		break;
	case WF_EV_STORE_REPLY:
		handle_store(ctx, claims, event->store);
		break;
	case WF_EV_PEER:
		clm_handle_peer(ctx, claims, event->peer);
		break;
	case WF_EV_INSTANCES:
		clm_targets_update(claims, event->instances.list,
				   event->instances.n);
		break;
	case WF_EV_REPORT:
		clm_targets_report(claims, event->report);
		break;
	case WF_EV_DRAIN:
		handle_drain(ctx, claims);
		break;
	default:
		break;
	}
	if (ctx->draining && !claims->handed_over && objects_idle(claims)) {
		claims->handed_over = true;
		clm_hand_over(ctx, claims);
	}
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct clm_claims *claims = (struct clm_claims *)module;

	(void)ctx;
	return clk_min(clm_heap_next(claims->heap), claims->sweep.wake);
}

static void drop(struct wf_module *module)
{
	struct clm_claims *claims = (struct clm_claims *)module;

	clm_sweep_clear(claims);
	g_queue_clear_full(&claims->finished, g_free);
	g_hash_table_unref(claims->ops);
	g_hash_table_unref(claims->objects_by_id);
	g_hash_table_unref(claims->objects);
	g_hash_table_unref(claims->by_key);
	g_hash_table_unref(claims->runs);
	g_hash_table_unref(claims->calls);
	g_hash_table_unref(claims->direct_calls);
	g_hash_table_unref(claims->direct);
	g_ptr_array_unref(claims->targets);
	clm_heap_free(claims->heap);
	g_free(claims);
}

static const struct wf_module_ops clm_ops = {
	.name = "claims",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

static void free_object(gpointer data)
{
	clm_object_free(data);
}

static void free_run(gpointer data)
{
	clm_run_free(data);
}

static void free_direct(gpointer data)
{
	clm_direct_free(data);
}

static void free_target(gpointer data)
{
	clm_target_free(data);
}

static GHashTable *by_number(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				     free_value);
}

struct clm_claims *clm_new(struct wf_ctx *ctx, const struct clm_config *config)
{
	struct clm_claims *claims = g_new0(struct clm_claims, 1);

	claims->module.ops = &clm_ops;
	claims->module.id = WF_MODULE_CLAIMS;
	claims->config = *config;
	claims->ops = by_number(g_free);
	claims->objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_object);
	claims->objects_by_id = by_number(NULL);
	claims->runs = by_number(free_run);
	claims->by_key = g_hash_table_new(clm_hash_value, clm_hash_equal);
	claims->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	claims->direct = by_number(free_direct);
	claims->direct_calls = by_number(NULL);
	claims->targets = g_ptr_array_new_with_free_func(free_target);
	claims->heap = clm_heap_new();
	claims->sweep.wake = ctx->now + config->sweep_interval;
	return claims;
}

struct wf_module *clm_module(struct clm_claims *claims)
{
	return &claims->module;
}
