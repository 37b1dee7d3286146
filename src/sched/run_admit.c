#include <math.h>

#include "sched/run_private.h"

/* Prompt tokens that take about as long as one output token. */
#define RUN_PROMPT_PER_TOKEN 16.0
/*
 * Safety factors: an admitted request should still meet its deadline if the
 * estimates of its service time and wait are too low by these.
 */
#define RUN_SERVICE_MARGIN 1.2
#define RUN_WAIT_MARGIN 1.2
/* Requests that dispatch skips because their data centres have no room. */
#define RUN_MAX_SKIPS 4

struct adm_queue *run_queue(struct run_runs *runs, const char *model)
{
	struct adm_queue *queue = g_hash_table_lookup(runs->queues, model);

	if (queue)
		return queue;
	queue = adm_queue_new(runs->config.queue_limit,
			      runs->config.use_fair_share,
			      runs->config.use_classes);
	g_hash_table_insert(runs->queues, g_strdup(model), queue);
	return queue;
}

void run_fill_query(const struct run_request *request, struct chn_query *query)
{
	*query = (struct chn_query){.model = request->model};
	query->data_centers = request->policy.data_centers;
	query->targets = request->policy.targets;
	query->avoid = request->avoid;
	query->n_avoid = request->n_avoid;
	query->is_long = request->is_long;
	query->prefix_hashes = request->prefix_hashes;
	query->n_prefix_hashes = request->n_prefix_hashes;
}

/* Expected time from the start to the last token, ms. */
static double service_ms(const struct run_runs *runs,
			 const struct run_request *request, double expected)
{
	double token_us = chn_token_us(runs->targets, request->model) *
			  chn_inflation(runs->targets, request->model);
	double prompt_us = runs->prefill_us;

	if (prompt_us <= 0)
		prompt_us = token_us / RUN_PROMPT_PER_TOKEN;
	return (expected * token_us + request->prompt_tokens * prompt_us) /
	       1000;
}

static double nominal_rate(const struct wf_ctx *ctx,
			   const struct run_runs *runs,
			   const struct run_request *request)
{
	return chn_nominal_rate(runs->targets, request->model) /
	       MAX(ctx->peers->len, 1);
}

static void refuse(struct wf_ctx *ctx, struct run_runs *runs,
		   struct run_request *request, enum err_code code,
		   double retry_ms, const char *message)
{
	ctr_add(ctx->counters, "wf_runs_refused_total", 1);
	run_fail(ctx, runs, request, code, (clk_ms)ceil(retry_ms), message);
}

/* Refuses a request that cannot finish in time; true if it did. */
static bool refuse_late(struct wf_ctx *ctx, struct run_runs *runs,
			struct run_request *request, double expected)
{
	const struct adm_queue *queue = run_queue(runs, request->model);
	double wait = adm_wait_ms(queue, &request->item,
				  nominal_rate(ctx, runs, request));
	double service = service_ms(runs, request, expected);
	double left = (double)(request->deadline - ctx->now);

	if (request->deadline == CLK_NEVER) {
		if (wait <= (double)runs->config.max_wait)
			return false;
		refuse(ctx, runs, request, ERR_OVERLOADED, wait,
		       "the expected wait is too long");
		return true;
	}
	if (service > left) {
		refuse(ctx, runs, request, ERR_DEADLINE, 0,
		       "the deadline is shorter than the expected work");
		return true;
	}
	if (wait * RUN_WAIT_MARGIN + service * RUN_SERVICE_MARGIN <= left ||
	    wait <= 0)
		return false;
	refuse(ctx, runs, request, ERR_OVERLOADED, wait,
	       "the deadline cannot be met under the present load");
	return true;
}

static void fill_item(struct run_runs *runs, struct run_request *request,
		      double expected)
{
	struct adm_item *item = &request->item;

	item->owner = request;
	item->org = request->org;
	item->weight = MAX(request->policy.weight, 1);
	item->priority = request->policy.priority;
	item->cost = expected + request->prompt_tokens / RUN_PROMPT_PER_TOKEN;
	item->is_long = runs->config.use_classes &&
			item->cost > adm_long_threshold(runs->history);
	item->arrival = request->arrival;
	item->deadline = request->deadline;
	request->is_long = item->is_long;
}

void run_admit(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request)
{
	struct adm_queue *queue;
	double expected;

	request->n_layers = chn_n_layers(runs->targets, request->model);
	if (!request->n_layers) {
		refuse(ctx, runs, request, ERR_NO_TARGET, CLK_SECOND,
		       "no engine serves the model");
		return;
	}
	queue = run_queue(runs, request->model);
	expected = adm_expected_length(runs->history, request->org,
				       request->model, request->max_tokens);
	fill_item(runs, request, expected);
	if (queue->length >= queue->limit) {
		refuse(ctx, runs, request, ERR_OVERLOADED, CLK_SECOND,
		       "the queue is full");
		return;
	}
	if (runs->config.use_deadlines &&
	    refuse_late(ctx, runs, request, expected))
		return;
	adm_record_cost(runs->history, request->item.cost);
	request->state = RUN_QUEUED;
	adm_put(queue, &request->item);
	runs->n_queued++;
	run_set_due(runs, request);
	run_dispatch(ctx, runs, request->model);
}

void run_requeue(struct wf_ctx *ctx, struct run_runs *runs,
		 struct run_request *request)
{
	(void)ctx;
	run_release(runs, request);
	request->state = RUN_QUEUED;
	adm_put_first(run_queue(runs, request->model), &request->item);
	runs->n_queued++;
	run_set_due(runs, request);
}

static enum chn_result try_start(struct wf_ctx *ctx, struct run_runs *runs,
				 struct adm_queue *queue, struct adm_item *item)
{
	struct run_request *request = item->owner;
	enum chn_result result;
	struct chn_query query;
	struct chn_chain chain;

	run_fill_query(request, &query);
	result = runs->policy->plan(ctx, runs->targets, &query, &chain);
	if (result != CHN_FOUND)
		return result;
	adm_serve(queue, item);
	runs->n_queued--;
	request->lineage++;
	run_set_chain(ctx, runs, request, &chain);
	run_open_stream(ctx, runs, request);
	return CHN_FOUND;
}

/* Starts a short request if long ones have used up their share. */
static bool start_short(struct wf_ctx *ctx, struct run_runs *runs,
			struct adm_queue *queue)
{
	struct adm_item *item = adm_peek_class(queue, false);

	return item && try_start(ctx, runs, queue, item) == CHN_FOUND;
}

void run_dispatch(struct wf_ctx *ctx, struct run_runs *runs, const char *model)
{
	struct adm_queue *queue = run_queue(runs, model);
	unsigned skips = 0;

	while (skips <= RUN_MAX_SKIPS) {
		struct adm_item *item = adm_peek(queue);
		struct run_request *request;

		if (!item)
			break;
		if (try_start(ctx, runs, queue, item) == CHN_FOUND)
			continue;
		if (item->is_long && start_short(ctx, runs, queue))
			continue;
		request = item->owner;
		if (!request->policy.data_centers && !request->policy.targets &&
		    !request->n_avoid)
			break;
		adm_skip(queue, item);
		skips++;
	}
}

void run_dispatch_all(struct wf_ctx *ctx, struct run_runs *runs)
{
	GHashTableIter iter;
	gpointer name;

	runs->seen_revision = runs->targets->revision;
	g_hash_table_iter_init(&iter, runs->queues);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		run_dispatch(ctx, runs, name);
}
