#include <string.h>

#include "sim.h"

struct sim_target *sim_find_target(struct sim *sim, const char *id)
{
	unsigned i;

	for (i = 0; i < sim->n_targets; i++)
		if (!strcmp(sim->targets[i].id, id))
			return &sim->targets[i];
	return NULL;
}

/* A request on its way to a target. */
struct request {
	unsigned index;
	unsigned generation;
	struct wf_action action;
	clk_ms sent_at;
	clk_ms deadline;
	bool lose_reply;
};

static void free_request(gpointer data)
{
	struct request *request = data;

	wf_action_clear(&request->action);
	g_free(request);
}

static struct request *new_request(const struct sim *sim,
				   const struct sim_instance *instance,
				   const struct wf_action *action)
{
	struct request *request = g_new0(struct request, 1);

	request->index = instance->index;
	request->generation = instance->generation;
	request->action.op = action->op;
	request->action.call_id = action->call_id;
	request->action.target = g_strdup(action->target);
	request->action.key = g_strdup(action->key);
	request->action.order = g_strdup(action->order);
	request->action.argument = g_strdup(action->argument);
	request->action.fence = action->fence;
	request->action.body = action->body ? g_bytes_ref(action->body) : NULL;
	request->sent_at = sim->now;
	request->deadline = sim->now + action->timeout;
	return request;
}

static struct sim_delivery *new_reply(const struct request *request,
				      enum wf_event_type type)
{
	struct sim_instance ref = {
		.index = request->index,
		.generation = request->generation,
	};

	return sim_delivery_new(&ref, type, request->action.op);
}

/* Delivers the reply, or ERR_TARGET_LOST at the deadline if late or lost. */
static void answer(struct sim *sim, const struct request *request,
		   struct sim_delivery *reply, clk_ms delay)
{
	bool late = sim->now + delay > request->deadline;

	if (request->lose_reply || late) {
		reply->ok = false;
		reply->sent = true;
		reply->error = ERR_TARGET_LOST;
		reply->key_status = WF_STATUS_UNKNOWN;
		if (reply->body)
			g_bytes_unref(reply->body);
		reply->body = NULL;
		delay = request->deadline - sim->now;
		if (delay < 0) {
			sim_delivery_free(reply);
			return;
		}
	}
	sim_deliver(sim, delay, reply);
}

static void record_run(struct sim *sim, const struct request *request,
		       clk_ms span)
{
	struct sim_run *run = g_new0(struct sim_run, 1);
	char *text;

	run->target = g_strdup(request->action.target);
	run->key = g_strdup(request->action.key);
	run->instance = request->index;
	run->generation = request->generation;
	run->call_id = request->action.call_id;
	run->dispatched_at = request->sent_at;
	run->at = sim->now;
	run->done_at = sim->now + span;
	run->body = request->action.body ? g_bytes_ref(request->action.body)
					 : g_bytes_new(NULL, 0);
	text = g_strdup_printf("%s run %u of %s", run->target, sim->runs->len,
			       run->key ? run->key : "");
	run->answer = g_bytes_new_take(text, strlen(text));
	g_ptr_array_add(sim->runs, run);
}

static void execute_call(struct sim *sim, void *data)
{
	struct request *request = data;
	struct sim_delivery *reply = new_reply(request, WF_EV_SERVICE_REPLY);
	clk_ms span = sim_random_span(sim, sim->config.call_time);
	const struct sim_run *run;

	if (sim_find_target(sim, request->action.target)->down) {
		reply->error = ERR_TARGET_LOST;
		sim_deliver(sim, 0, reply);
		return;
	}
	record_run(sim, request, span);
	run = sim->runs->pdata[sim->runs->len - 1];
	reply->ok = true;
	reply->sent = true;
	reply->status = 200;
	reply->body = g_bytes_ref(run->answer);
	answer(sim, request, reply,
	       span + sim_random_span(sim, sim->config.peer_latency));
}

void sim_service_action(struct sim *sim, struct sim_instance *instance,
			const struct wf_action *action, bool lost)
{
	const struct sim_faults *faults = &sim->config.faults;
	struct request *request = new_request(sim, instance, action);
	clk_ms delay = sim_random_span(sim, sim->config.peer_latency);
	struct sim_delivery *reply;

	if (sim_random_bool(sim, faults->call_not_sent)) {
		reply = new_reply(request, WF_EV_SERVICE_REPLY);
		reply->error = ERR_TARGET_LOST;
		sim_deliver(sim, delay, reply);
		free_request(request);
		return;
	}
	if (lost || sim_random_bool(sim, faults->call_lost_request)) {
		request->lose_reply = true;
		answer(sim, request, new_reply(request, WF_EV_SERVICE_REPLY),
		       0);
		free_request(request);
		return;
	}
	request->lose_reply = sim_random_bool(sim, faults->call_lost_reply);
	if (sim_random_bool(sim, faults->call_late)) {
		/* The caller times out before the request arrives. */
		struct request late = *request;

		late.lose_reply = true;
		answer(sim, &late, new_reply(&late, WF_EV_SERVICE_REPLY), 0);
		delay += action->timeout + 1 + sim_random_span(sim, CLK_MINUTE);
	}
	sim_push(sim, sim->now + delay, execute_call, request, free_request);
}

static void execute_status(struct sim *sim, void *data)
{
	struct request *request = data;
	struct sim_delivery *reply = new_reply(request, WF_EV_STATUS_REPLY);
	guint i;

	reply->key_status = WF_STATUS_ABSENT;
	if (sim_find_target(sim, request->action.target)->down)
		reply->key_status = WF_STATUS_UNKNOWN;
	for (i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (reply->key_status != WF_STATUS_ABSENT ||
		    strcmp(run->target, request->action.target) ||
		    g_strcmp0(run->key, request->action.key))
			continue;
		if (run->done_at > sim->now) {
			reply->key_status = WF_STATUS_RUNNING;
			continue;
		}
		reply->key_status = WF_STATUS_DONE;
		reply->status = 200;
		reply->body = g_bytes_ref(run->answer);
	}
	answer(sim, request, reply,
	       sim_random_span(sim, sim->config.peer_latency));
}

void sim_status_action(struct sim *sim, struct sim_instance *instance,
		       const struct wf_action *action, bool lost)
{
	struct request *request = new_request(sim, instance, action);
	clk_ms delay = sim_random_span(sim, sim->config.peer_latency);

	if (lost || sim_random_bool(sim, sim->config.faults.status_lost)) {
		request->lose_reply = true;
		answer(sim, request, new_reply(request, WF_EV_STATUS_REPLY), 0);
		free_request(request);
		return;
	}
	sim_push(sim, sim->now + delay, execute_status, request, free_request);
}

static void execute_order(struct sim *sim, void *data)
{
	struct request *request = data;
	struct sim_target *target =
		sim_find_target(sim, request->action.target);
	struct sim_delivery *reply = new_reply(request, WF_EV_ORDER_REPLY);
	struct sim_order *order = g_new0(struct sim_order, 1);

	order->target = g_strdup(request->action.target);
	order->order = g_strdup(request->action.order);
	order->argument = g_strdup(request->action.argument);
	order->fence = request->action.fence;
	order->instance = request->index;
	order->generation = request->generation;
	order->decided_at = request->sent_at;
	order->at = sim->now;
	order->accepted = !sim->config.engines_check_fencing ||
			  order->fence >= target->highest_fence;
	target->highest_fence = MAX(target->highest_fence, order->fence);
	g_ptr_array_add(sim->orders, order);
	reply->ok = order->accepted;
	reply->sent = true;
	reply->error = ERR_FENCED;
	answer(sim, request, reply,
	       sim_random_span(sim, sim->config.peer_latency));
}

void sim_order_action(struct sim *sim, struct sim_instance *instance,
		      const struct wf_action *action, bool lost)
{
	struct request *request = new_request(sim, instance, action);
	clk_ms delay = sim_random_span(sim, sim->config.peer_latency);

	if (lost) {
		request->lose_reply = true;
		answer(sim, request, new_reply(request, WF_EV_ORDER_REPLY), 0);
		free_request(request);
		return;
	}
	sim_push(sim, sim->now + delay, execute_order, request, free_request);
}

void sim_records_free(struct sim *sim)
{
	guint i;

	for (i = 0; i < sim->runs->len; i++) {
		struct sim_run *run = sim->runs->pdata[i];

		g_free(run->target);
		g_free(run->key);
		g_bytes_unref(run->body);
		g_bytes_unref(run->answer);
		g_free(run);
	}
	for (i = 0; i < sim->orders->len; i++) {
		struct sim_order *order = sim->orders->pdata[i];

		g_free(order->target);
		g_free(order->order);
		g_free(order->argument);
		g_free(order);
	}
	g_ptr_array_unref(sim->runs);
	g_ptr_array_unref(sim->orders);
}
