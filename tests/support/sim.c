#include <stdio.h>
#include <string.h>
#include <time.h>

#include "sim.h"

#define SLOW_EVENT_NS 20000

void sim_config_init(struct sim_config *config)
{
	memset(config, 0, sizeof(*config));
	config->seed = 1;
	config->n_instances = 3;
	config->n_targets = 3;
	config->targets_have_status = true;
	config->peer_latency = 2;
	config->store_latency = 4;
	config->call_time = 20;
	config->view_delay = 200;
	config->n_data_centers = 1;
	config->plan_pause = SIM_PAUSE_LONG;
	config->plan_action_pause = SIM_PAUSE_LONG;
	config->plan_delay = 3 * CLK_SECOND;
}

static struct sim_name *copy_name(const struct sim_name *name)
{
	struct sim_name *copy = g_new(struct sim_name, 1);

	copy->name = g_strdup(name->name);
	copy->version = name->version;
	return copy;
}

static void free_name(gpointer data)
{
	struct sim_name *name = data;

	g_free(name->name);
	g_free(name);
}

void sim_delivery_free(gpointer data)
{
	struct sim_delivery *delivery = data;

	if (delivery->body)
		g_bytes_unref(delivery->body);
	if (delivery->names)
		g_ptr_array_unref(delivery->names);
	g_free(delivery->from);
	g_free(delivery);
}

struct sim_delivery *sim_delivery_new(const struct sim_instance *instance,
				      enum wf_event_type type, uint64_t op)
{
	struct sim_delivery *delivery = g_new0(struct sim_delivery, 1);

	delivery->instance = instance->index;
	delivery->generation = instance->generation;
	delivery->type = type;
	delivery->op = op;
	delivery->names = g_ptr_array_new_with_free_func(free_name);
	return delivery;
}

struct sim_delivery *sim_delivery_copy(const struct sim_delivery *delivery)
{
	struct sim_delivery *copy = g_new(struct sim_delivery, 1);
	guint i;

	*copy = *delivery;
	if (copy->body)
		g_bytes_ref(copy->body);
	copy->from = g_strdup(delivery->from);
	copy->names = g_ptr_array_new_with_free_func(free_name);
	for (i = 0; i < delivery->names->len; i++)
		g_ptr_array_add(copy->names,
				copy_name(delivery->names->pdata[i]));
	return copy;
}

struct sim_instance *sim_find_instance(struct sim *sim, unsigned index,
				       unsigned generation)
{
	struct sim_instance *instance = &sim->instances[index];

	if (!instance->alive || instance->generation != generation)
		return NULL;
	return instance;
}

/* Counts a step and returns the fault planned for it. */
static enum sim_fault next_fault(struct sim *sim,
				 const struct sim_instance *instance,
				 const char *what, unsigned detail)
{
	enum sim_fault fault = SIM_FAULT_NONE;

	sim->step++;
	if (sim->plan_fault != SIM_FAULT_NONE && sim->step == sim->plan_step)
		fault = sim->plan_fault;
	if (sim->config.trace)
		fprintf(stderr, "%8lld step %3llu %s %s %u%s\n",
			(long long)(sim->now - SIM_START),
			(unsigned long long)sim->step, instance->id, what,
			detail, fault ? " FAULT" : "");
	return fault;
}

static void drain_actions(struct sim *sim, struct sim_instance *instance);
static void schedule_tick(struct sim *sim, struct sim_instance *instance);

static uint64_t real_time_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static void handle(struct sim *sim, struct sim_instance *instance,
		   const struct wf_event *event, uint64_t op)
{
	unsigned generation = instance->generation;
	uint64_t start = sim->config.measure ? real_time_ns() : 0;
	guint i;

	instance->ctx->now = sim->now + instance->skew;
	for (i = 0; i < instance->modules->len; i++) {
		struct wf_module *module = instance->modules->pdata[i];

		if (!op || wf_op_module(op) == module->id)
			module->ops->handle(instance->ctx, module, event);
	}
	if (sim->config.measure) {
		uint64_t spent = real_time_ns() - start;

		sim->counts.handle_ns += spent;
		sim->counts.slow_events += spent > SLOW_EVENT_NS;
	}
	sim->counts.events++;
	drain_actions(sim, instance);
	if (sim_find_instance(sim, instance->index, generation))
		schedule_tick(sim, instance);
}

struct instance_ref {
	unsigned index;
	unsigned generation;
};

static struct instance_ref *new_ref(const struct sim_instance *instance)
{
	struct instance_ref *ref = g_new(struct instance_ref, 1);

	ref->index = instance->index;
	ref->generation = instance->generation;
	return ref;
}

static void tick(struct sim *sim, void *data)
{
	const struct instance_ref *ref = data;
	struct sim_instance *instance;
	struct wf_event event = {.type = WF_EV_TICK};

	instance = sim_find_instance(sim, ref->index, ref->generation);
	if (!instance || instance->tick_at > sim->now)
		return;
	if (sim->now < instance->paused_until) {
		instance->tick_at = instance->paused_until;
		sim_push(sim, instance->tick_at, tick, new_ref(instance),
			 g_free);
		return;
	}
	instance->tick_at = CLK_NEVER;
	instance->last_tick = sim->now;
	handle(sim, instance, &event, 0);
}

static void schedule_tick(struct sim *sim, struct sim_instance *instance)
{
	clk_ms wake = CLK_NEVER;
	guint i;

	for (i = 0; i < instance->modules->len; i++) {
		struct wf_module *module = instance->modules->pdata[i];

		wake = clk_min(wake,
			       module->ops->next_wakeup(instance->ctx, module));
	}
	if (wake == CLK_NEVER)
		return;
	wake -= instance->skew;
	wake = MAX(wake, sim->now);
	if (wake == instance->last_tick)
		wake++;
	if (wake >= instance->tick_at)
		return;
	instance->tick_at = wake;
	sim_push(sim, wake, tick, new_ref(instance), g_free);
}

static void send_event(struct sim *sim, struct sim_instance *instance,
		       const struct sim_delivery *delivery)
{
	struct wf_store_reply store = {
		.op = delivery->op,
		.result = delivery->store_result,
		.version = delivery->version,
		.value = delivery->body,
		.entries = NULL,
		.n_entries = delivery->names->len,
	};
	struct wf_service_reply service = {
		.op = delivery->op,
		.ok = delivery->ok,
		.sent = delivery->sent,
		.status = delivery->status,
		.body = delivery->body,
		.error = delivery->error,
	};
	struct wf_status_reply status = {
		.op = delivery->op,
		.status = delivery->key_status,
		.http_status = delivery->status,
		.body = delivery->body,
	};
	struct wf_order_reply order = {
		.op = delivery->op,
		.ok = delivery->ok,
		.error = delivery->error,
	};
	struct wf_peer_event peer = {
		.from = delivery->from,
		.incarnation = delivery->from_incarnation,
		.kind = delivery->kind,
	};
	struct wf_event event = {.type = delivery->type};
	GArray *entries =
		g_array_new(FALSE, TRUE, sizeof(struct wf_store_entry));
	guint i;

	for (i = 0; i < delivery->names->len; i++) {
		const struct sim_name *name = delivery->names->pdata[i];
		struct wf_store_entry entry = {name->name, name->version};

		g_array_append_val(entries, entry);
	}
	store.entries = (const struct wf_store_entry *)(void *)entries->data;
	if (delivery->body && delivery->type == WF_EV_PEER)
		peer.body = g_bytes_get_data(delivery->body, &peer.body_len);
	if (delivery->type == WF_EV_STORE_REPLY)
		event.store = &store;
	else if (delivery->type == WF_EV_SERVICE_REPLY)
		event.service = &service;
	else if (delivery->type == WF_EV_STATUS_REPLY)
		event.status = &status;
	else if (delivery->type == WF_EV_ORDER_REPLY)
		event.order = &order;
	else
		event.peer = &peer;
	handle(sim, instance, &event, delivery->op);
	g_array_unref(entries);
}

static void deliver_now(struct sim *sim, void *data);

static void redeliver(struct sim *sim, clk_ms at,
		      const struct sim_delivery *delivery)
{
	sim_push(sim, at, deliver_now, sim_delivery_copy(delivery),
		 sim_delivery_free);
}

/* Applies a planned fault; returns false if nothing is delivered now. */
static bool plan_delivery(struct sim *sim, struct sim_instance *instance,
			  struct sim_delivery *delivery)
{
	enum sim_fault fault;

	if (delivery->planned)
		return true;
	delivery->planned = true;
	fault = next_fault(sim, instance, "event",
			   delivery->type == WF_EV_PEER ? delivery->kind
							: delivery->type);
	switch (fault) {
	case SIM_FAULT_KILL:
		sim_kill(sim, instance->index);
		return false;
	case SIM_FAULT_PAUSE:
		sim_pause(sim, instance->index, sim->config.plan_pause);
		redeliver(sim, instance->paused_until, delivery);
		return false;
	case SIM_FAULT_DELAY:
		redeliver(sim, sim->now + sim->config.plan_delay, delivery);
		return false;
	case SIM_FAULT_DUPLICATE:
		redeliver(sim, sim->now + 1, delivery);
		return true;
	case SIM_FAULT_LOSE:
		return false;
	default:
		return true;
	}
}

static void deliver_now(struct sim *sim, void *data)
{
	struct sim_delivery *delivery = data;
	struct sim_instance *instance;

	instance = sim_find_instance(sim, delivery->instance,
				     delivery->generation);
	if (!instance)
		return;
	if (sim->now < instance->paused_until) {
		redeliver(sim, instance->paused_until, delivery);
		return;
	}
	if (plan_delivery(sim, instance, delivery))
		send_event(sim, instance, delivery);
}

void sim_deliver(struct sim *sim, clk_ms delay, struct sim_delivery *delivery)
{
	sim_push(sim, sim->now + delay, deliver_now, delivery,
		 sim_delivery_free);
}

static bool is_partitioned(const struct sim *sim, const struct sim_instance *a,
			   const struct sim_instance *b)
{
	if (sim->now >= sim->partition_until || a->index > 63 || b->index > 63)
		return false;
	return (sim->partition >> a->index & 1) !=
	       (sim->partition >> b->index & 1);
}

static void send_frame(struct sim *sim, struct sim_instance *instance,
		       const struct wf_action *action)
{
	const struct sim_faults *faults = &sim->config.faults;
	unsigned copies = sim_random_bool(sim, faults->peer_duplicate) ? 2 : 1;
	struct sim_instance *to = NULL;
	unsigned i;

	sim->counts.peer_frames++;
	sim->counts.peer_bytes += g_bytes_get_size(action->body);
	for (i = 0; i < sim->config.n_instances; i++)
		if (!strcmp(sim->instances[i].id, action->target))
			to = &sim->instances[i];
	if (!to || !to->alive || sim->now < instance->peers_cut_until ||
	    sim->now < to->peers_cut_until ||
	    is_partitioned(sim, instance, to) ||
	    sim_random_bool(sim, faults->peer_drop))
		return;
	while (copies--) {
		struct sim_delivery *frame =
			sim_delivery_new(to, WF_EV_PEER, 0);
		clk_ms delay = sim_random_span(sim, sim->config.peer_latency);

		if (sim_random_bool(sim, faults->peer_late))
			delay += sim_random_span(sim, 20 * CLK_SECOND);
		frame->from = g_strdup(instance->id);
		frame->from_incarnation = instance->ctx->incarnation;
		frame->kind = action->kind;
		frame->body = g_bytes_ref(action->body);
		sim_deliver(sim, delay, frame);
	}
}

static void record_reply(struct sim *sim, const struct wf_action *action)
{
	struct sim_call *call;

	call = g_hash_table_lookup(sim->calls_by_id, &action->call_id);
	if (!call || call->gone)
		return;
	call->n_answers++;
	call->answered_at = sim->now;
	call->refused = action->type == WF_ACT_REPLY_ERROR;
	call->error = action->error;
	call->run = action->run;
	call->status = action->http_status;
	if (call->answer)
		g_bytes_unref(call->answer);
	call->answer = action->body ? g_bytes_ref(action->body) : NULL;
}

static void perform(struct sim *sim, struct sim_instance *instance,
		    const struct wf_action *action, bool lost)
{
	switch (action->type) {
	case WF_ACT_REPLY_ANSWER:
	case WF_ACT_REPLY_ERROR:
		if (!lost)
			record_reply(sim, action);
		break;
	case WF_ACT_STORE_GET:
	case WF_ACT_STORE_PUT:
	case WF_ACT_STORE_DELETE:
	case WF_ACT_STORE_LIST:
	case WF_ACT_STORE_WATCH:
		sim_store_action(sim, instance, action, lost);
		break;
	case WF_ACT_SERVICE_CALL:
		sim_service_action(sim, instance, action, lost);
		break;
	case WF_ACT_STATUS_QUERY:
		sim_status_action(sim, instance, action, lost);
		break;
	case WF_ACT_ORDER:
		sim_order_action(sim, instance, action, lost);
		break;
	case WF_ACT_PEER_SEND:
		if (!lost)
			send_frame(sim, instance, action);
		break;
	default:
		break;
	}
}

/* An action deferred by a pause or a planned delay. */
struct late_action {
	unsigned index;
	unsigned generation;
	struct wf_action action;
};

static void free_late(gpointer data)
{
	struct late_action *late = data;

	wf_action_clear(&late->action);
	g_free(late);
}

static void perform_late(struct sim *sim, void *data)
{
	struct late_action *late = data;
	struct sim_instance *instance;

	instance = sim_find_instance(sim, late->index, late->generation);
	if (!instance)
		return;
	if (sim->now < instance->paused_until) {
		struct late_action *copy = g_new(struct late_action, 1);

		*copy = *late;
		memset(&late->action, 0, sizeof(late->action));
		sim_push(sim, instance->paused_until, perform_late, copy,
			 free_late);
		return;
	}
	perform(sim, instance, &late->action, false);
}

static void defer_action(struct sim *sim, struct sim_instance *instance,
			 struct wf_action *action, clk_ms until)
{
	struct late_action *late = g_new(struct late_action, 1);

	late->index = instance->index;
	late->generation = instance->generation;
	late->action = *action;
	memset(action, 0, sizeof(*action));
	sim_push(sim, until, perform_late, late, free_late);
}

static bool is_reply(const struct wf_action *action)
{
	return action->type == WF_ACT_REPLY_ANSWER ||
	       action->type == WF_ACT_REPLY_ERROR;
}

/* Planned delays skip replies: the caller's link is not the library's. */
static void process_action(struct sim *sim, struct sim_instance *instance,
			   struct wf_action *action)
{
	enum sim_fault fault;

	fault = next_fault(sim, instance, "action", action->type);
	if (fault == SIM_FAULT_KILL)
		sim_kill(sim, instance->index);
	else if (fault == SIM_FAULT_PAUSE)
		sim_pause(sim, instance->index, sim->config.plan_action_pause);
	if (!instance->alive)
		return;
	if (fault == SIM_FAULT_DELAY && !is_reply(action))
		defer_action(sim, instance, action,
			     sim->now + sim->config.plan_delay);
	else if (sim->now < instance->paused_until)
		defer_action(sim, instance, action, instance->paused_until);
	else
		perform(sim, instance, action, fault == SIM_FAULT_LOSE);
	if (fault == SIM_FAULT_LOSE && is_reply(action)) {
		struct sim_call *call;

		call = g_hash_table_lookup(sim->calls_by_id, &action->call_id);
		if (call)
			call->gone = true;
	}
	if (fault == SIM_FAULT_DUPLICATE && action->type == WF_ACT_PEER_SEND)
		perform(sim, instance, action, false);
}

static void drain_actions(struct sim *sim, struct sim_instance *instance)
{
	unsigned generation = instance->generation;
	struct wf_action action;

	while (sim_find_instance(sim, instance->index, generation) &&
	       wf_next_action(instance->ctx, &action)) {
		process_action(sim, instance, &action);
		wf_action_clear(&action);
	}
}

/* Sends an instance the current list of peers and targets. */
static void send_views(struct sim *sim, struct sim_instance *instance)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct wf_instance));
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct wf_peer));
	struct wf_event event = {.type = WF_EV_INSTANCES};
	unsigned i;

	for (i = 0; i < sim->config.n_instances; i++) {
		struct sim_instance *other = &sim->instances[i];
		struct wf_peer peer = {.id = other->id};
		struct wf_instance entry = {0};

		if (!other->alive && other != instance)
			continue;
		peer.data_center = other->data_center;
		peer.address = other->id;
		peer.incarnation = other->ctx ? other->ctx->incarnation : 0;
		peer.life = other->leaving ? WF_LIFE_LEAVING : WF_LIFE_LIVE;
		g_array_append_val(peers, peer);
		entry.id = other->id;
		entry.role = WF_ROLE_ENTRY;
		entry.life = peer.life;
		entry.address = other->id;
		entry.peer_address = other->id;
		entry.data_center = other->data_center;
		entry.incarnation = peer.incarnation;
		g_array_append_val(list, entry);
	}
	for (i = 0; i < sim->n_targets; i++) {
		struct sim_target *target = &sim->targets[i];
		struct wf_instance entry = {.id = target->id};

		entry.role = target->engine ? WF_ROLE_ENGINE : WF_ROLE_SERVICE;
		entry.life = target->leaving ? WF_LIFE_LEAVING : WF_LIFE_LIVE;
		entry.address = target->id;
		entry.data_center = "dc";
		entry.incarnation = target->incarnation;
		entry.serves = target->engine ? "model" : "booking";
		entry.checks_fencing = sim->config.engines_check_fencing;
		entry.has_status = sim->config.targets_have_status;
		g_array_append_val(list, entry);
	}
	if (!sim->config.peers_by_module)
		wf_set_peers(instance->ctx, (void *)peers->data, peers->len);
	event.instances.list = (void *)list->data;
	event.instances.n = list->len;
	event.instances.revision = ++sim->revision;
	handle(sim, instance, &event, 0);
	g_array_unref(peers);
	g_array_unref(list);
}

static void refresh_view(struct sim *sim, void *data)
{
	const struct instance_ref *ref = data;
	struct sim_instance *instance;

	instance = sim_find_instance(sim, ref->index, ref->generation);
	if (!instance)
		return;
	if (sim->now < instance->paused_until)
		sim_push(sim, instance->paused_until, refresh_view,
			 new_ref(instance), g_free);
	else
		send_views(sim, instance);
}

static void update_views(struct sim *sim)
{
	unsigned i;

	for (i = 0; i < sim->config.n_instances; i++) {
		clk_ms delay = sim_random_span(sim, sim->config.view_delay);

		if (sim->instances[i].alive)
			sim_push(sim, sim->now + delay, refresh_view,
				 new_ref(&sim->instances[i]), g_free);
	}
}

static void start_instance(struct sim *sim, struct sim_instance *instance)
{
	struct wf_event event = {.type = WF_EV_START};
	unsigned i;

	g_snprintf(instance->data_center, sizeof(instance->data_center),
		   "dc-%u", instance->index % sim->config.n_data_centers);
	instance->generation++;
	instance->alive = true;
	instance->leaving = false;
	instance->paused_until = 0;
	instance->tick_at = CLK_NEVER;
	instance->last_tick = 0;
	instance->ctx = wf_ctx_new(instance->id, instance->data_center,
				   ++sim->next_incarnation, sim->config.seed,
				   NULL, NULL);
	instance->ctx->now = sim->now + instance->skew;
	instance->modules = g_ptr_array_new();
	for (i = 0; i < sim->config.n_modules; i++)
		g_ptr_array_add(
			instance->modules,
			sim->config.make[i](instance->ctx, sim->config.user));
	handle(sim, instance, &event, 0);
	send_views(sim, instance);
}

static void stop_instance(struct sim_instance *instance)
{
	guint i;

	if (!instance->alive)
		return;
	instance->alive = false;
	for (i = 0; i < instance->modules->len; i++) {
		struct wf_module *module = instance->modules->pdata[i];

		module->ops->drop(module);
	}
	g_ptr_array_unref(instance->modules);
	wf_ctx_drop(instance->ctx);
	instance->ctx = NULL;
	instance->modules = NULL;
}

/*
 * A planned kill may come while functions of the modules are on the stack, so
 * the event queue frees them later.
 */
struct killed_instance {
	struct sim_instance old;
};

static void free_killed(gpointer data)
{
	struct killed_instance *killed_instance = data;

	stop_instance(&killed_instance->old);
	g_free(killed_instance);
}

static void ignore(struct sim *sim, void *data)
{
	(void)sim;
	(void)data;
}

void sim_kill(struct sim *sim, unsigned index)
{
	struct sim_instance *instance = &sim->instances[index];
	struct killed_instance *killed_instance;
	guint i;

	if (!instance->alive)
		return;
	for (i = 0; i < sim->calls->len; i++) {
		struct sim_call *call = sim->calls->pdata[i];

		if (call->instance == index &&
		    call->generation == instance->generation &&
		    !call->n_answers)
			call->gone = true;
	}
	killed_instance = g_new(struct killed_instance, 1);
	killed_instance->old = *instance;
	instance->alive = false;
	instance->ctx = NULL;
	instance->modules = NULL;
	sim_push(sim, sim->now, ignore, killed_instance, free_killed);
	update_views(sim);
}

void sim_restart(struct sim *sim, unsigned index)
{
	if (sim->instances[index].alive)
		return;
	start_instance(sim, &sim->instances[index]);
	update_views(sim);
}

void sim_pause(struct sim *sim, unsigned index, clk_ms span)
{
	struct sim_instance *instance = &sim->instances[index];
	guint i;

	if (!instance->alive || sim->now < instance->paused_until)
		return;
	instance->paused_until = sim->now + span;
	for (i = 0; i < sim->calls->len; i++) {
		struct sim_call *call = sim->calls->pdata[i];

		if (call->instance == index && !call->n_answers &&
		    call->generation == instance->generation)
			call->paused_until = instance->paused_until;
	}
}

void sim_drain(struct sim *sim, unsigned index)
{
	struct sim_instance *instance = &sim->instances[index];
	struct wf_event event = {.type = WF_EV_DRAIN};

	if (!instance->alive || instance->leaving)
		return;
	instance->leaving = true;
	update_views(sim);
	handle(sim, instance, &event, 0);
}

void sim_cut_peers(struct sim *sim, unsigned index, clk_ms span)
{
	sim->instances[index].peers_cut_until = sim->now + span;
}

void sim_cut_store(struct sim *sim, unsigned index, clk_ms span)
{
	sim->instances[index].store_cut_until = sim->now + span;
}

void sim_run_actions(struct sim *sim, unsigned index)
{
	struct sim_instance *instance = &sim->instances[index];

	if (!instance->alive)
		return;
	drain_actions(sim, instance);
	if (instance->alive)
		schedule_tick(sim, instance);
}

void sim_partition(struct sim *sim, uint64_t bits, clk_ms span)
{
	sim->partition = bits;
	sim->partition_until = sim->now + span;
}

void sim_store_outage(struct sim *sim, clk_ms span)
{
	sim->store_down_until = sim->now + span;
}

void sim_target_leave(struct sim *sim, const char *id)
{
	sim_find_target(sim, id)->leaving = true;
	update_views(sim);
}

void sim_target_down(struct sim *sim, const char *id, bool down)
{
	sim_find_target(sim, id)->down = down;
}

static void add_targets(struct sim *sim)
{
	unsigned i;

	sim->n_targets = sim->config.n_targets + sim->config.n_engines;
	sim->targets = g_new0(struct sim_target, sim->n_targets);
	for (i = 0; i < sim->n_targets; i++) {
		struct sim_target *target = &sim->targets[i];

		target->engine = i >= sim->config.n_targets;
		target->incarnation = 1;
		g_snprintf(target->id, sizeof(target->id), "%s-%u",
			   target->engine ? "engine" : "service",
			   target->engine ? i - sim->config.n_targets + 1
					  : i + 1);
	}
}

static void free_call(gpointer data)
{
	struct sim_call *call = data;

	g_free(call->org);
	g_free(call->key);
	g_bytes_unref(call->body);
	if (call->answer)
		g_bytes_unref(call->answer);
	g_free(call);
}

struct sim *sim_new(const struct sim_config *config)
{
	struct sim *sim = g_new0(struct sim, 1);
	unsigned i;

	sim->config = *config;
	sim->now = SIM_START;
	sim->next_incarnation = (uint64_t)SIM_START;
	sim->rand = g_rand_new_with_seed((guint32)config->seed);
	sim->queue = g_ptr_array_new();
	sim->calls = g_ptr_array_new_with_free_func(free_call);
	sim->runs = g_ptr_array_new();
	sim->orders = g_ptr_array_new();
	sim->watches = g_ptr_array_new();
	sim->calls_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	sim->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sim->instances = g_new0(struct sim_instance, config->n_instances);
	add_targets(sim);
	for (i = 0; i < config->n_instances; i++) {
		struct sim_instance *instance = &sim->instances[i];

		instance->index = i;
		g_snprintf(instance->id, sizeof(instance->id), "entry-%u",
			   i + 1);
		instance->skew = sim_random_span(sim, config->max_skew);
	}
	for (i = 0; i < config->n_instances; i++)
		start_instance(sim, &sim->instances[i]);
	for (i = 0; i < config->n_instances; i++)
		send_views(sim, &sim->instances[i]);
	return sim;
}

void sim_free(struct sim *sim)
{
	unsigned i;

	sim_queue_free(sim);
	for (i = 0; i < sim->config.n_instances; i++)
		stop_instance(&sim->instances[i]);
	sim_store_free(sim);
	sim_records_free(sim);
	g_hash_table_unref(sim->calls_by_id);
	g_ptr_array_unref(sim->calls);
	g_rand_free(sim->rand);
	g_free(sim->instances);
	g_free(sim->targets);
	g_free(sim);
}

struct sim_call *sim_call(struct sim *sim, unsigned index, const char *org,
			  const char *key, const char *body, clk_ms timeout,
			  bool repeatable)
{
	struct sim_instance *instance = &sim->instances[index];
	struct wf_event event = {.type = WF_EV_CALL};
	struct sim_call *call;
	struct wf_call wire = {.kind = WF_CALL_SERVICE};

	if (!instance->alive)
		return NULL;
	call = g_new0(struct sim_call, 1);
	call->id = ++sim->next_call;
	call->instance = index;
	call->generation = instance->generation;
	call->org = g_strdup(org);
	call->key = g_strdup(key);
	call->body = g_bytes_new(body, strlen(body));
	call->repeatable = repeatable;
	call->arrived = sim->now;
	call->deadline = sim->now + timeout;
	g_ptr_array_add(sim->calls, call);
	g_hash_table_insert(sim->calls_by_id, &call->id, call);
	if (sim->now < instance->paused_until) {
		/* A paused instance accepts no connection. */
		call->gone = true;
		return call;
	}
	wire.id = call->id;
	wire.org = org;
	wire.name = "book";
	wire.key = key;
	wire.body = call->body;
	wire.timeout = timeout;
	wire.policy.repeatable = repeatable;
	wire.policy.target = (char *)"booking";
	wire.policy.weight = 1;
	event.call = &wire;
	handle(sim, instance, &event, 0);
	return call;
}

void sim_caller_gone(struct sim *sim, struct sim_call *call)
{
	struct sim_instance *instance;
	struct wf_event event = {.type = WF_EV_CALLER_GONE};

	instance = sim_find_instance(sim, call->instance, call->generation);
	if (!instance || call->n_answers || sim->now < instance->paused_until)
		return;
	call->gone = true;
	event.call_id = call->id;
	handle(sim, instance, &event, 0);
}
