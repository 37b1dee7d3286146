#include <string.h>

#include <wagtailferry/state.h>

#include "schema/leases.pb-c.h"

#define DEFAULT_LOADS_PER_MINUTE 12.0
#define DEFAULT_ORDER_TIMEOUT_MS (10 * CLK_SECOND)
#define DEFAULT_KEEP_RECORDS_MS (24 * CLK_HOUR)
/* 16 bytes each, so that a renewal stays below 64 KB. */
#define DEFAULT_MAX_RECORDS 4000
/* Interval of checks for orders that may be sent, ms. */
#define POLL_MS 200
#define MS_PER_MINUTE 60000.0

enum order_state {
	ORDER_WANTED,
	ORDER_RECORDED, /* its record is being stored or is stored */
	ORDER_SENT,
};

struct order {
	uint64_t id;
	char *target;
	char *order;
	char *argument;
	enum order_state state;
	uint64_t seq; /* of the payload with its record */
};

struct order_target {
	char *id;
	char *address;
	bool checks_fencing;
	bool leaving;
	uint64_t incarnation;
};

struct pending_order {
	uint64_t op;
	char *target;
	uint64_t fence;
	clk_ms deadline;
};

struct dut_duties {
	struct wf_module module;
	struct dut_config config;
	struct lse_lease *lease;
	GPtrArray *orders;   /* struct order */
	GHashTable *wanted;  /* struct order by id, borrowed */
	GHashTable *records; /* order id to time recorded */
	GHashTable *targets; /* struct order_target by id */
	GHashTable *pending; /* struct pending_order by op */
	bool was_held;
	bool load_pending; /* a load is recorded and not sent */
	clk_ms next_load;
	clk_ms poll_at;
};

void dut_config_init(struct dut_config *config)
{
	lse_config_init(&config->lease);
	config->duty = "orders";
	config->loads_per_minute = DEFAULT_LOADS_PER_MINUTE;
	config->order_timeout = DEFAULT_ORDER_TIMEOUT_MS;
	config->keep_records = DEFAULT_KEEP_RECORDS_MS;
	config->max_records = DEFAULT_MAX_RECORDS;
	config->sink = NULL;
}

static void free_order(gpointer data)
{
	struct order *order = data;

	g_free(order->target);
	g_free(order->order);
	g_free(order->argument);
	g_free(order);
}

static void free_order_target(gpointer data)
{
	struct order_target *target = data;

	g_free(target->id);
	g_free(target->address);
	g_free(target);
}

static void free_pending_order(gpointer data)
{
	struct pending_order *pending = data;

	g_free(pending->target);
	g_free(pending);
}

static void audit(struct wf_ctx *ctx, const struct dut_duties *duties,
		  const char *action, const char *target, const char *detail,
		  uint64_t fence)
{
	struct aud_entry entry = {
		.time = ctx->now,
		.actor = ctx->self,
		.action = action,
		.subject = target,
		.detail = detail,
		.fence = fence,
	};

	if (duties->config.sink)
		duties->config.sink->record(ctx, duties->config.sink, &entry);
}

/* Loads and layer changes read from the weight store. */
static bool reads_weights(const struct order *order)
{
	return !strcmp(order->order, "load") || !strcmp(order->order, "layers");
}

static void read_records(struct dut_duties *duties)
{
	GBytes *payload = lse_payload(duties->lease);
	const uint8_t *data = NULL;
	Wf__DutyRecords *message;
	gsize len = 0;
	size_t i;

	g_hash_table_remove_all(duties->records);
	if (payload)
		data = g_bytes_get_data(payload, &len);
	message = wf__duty_records__unpack(NULL, len, data);
	for (i = 0; message && i < message->n_records; i++) {
		uint64_t *id = g_new(uint64_t, 1);
		clk_ms *recorded_at = g_new(clk_ms, 1);

		*id = message->records[i]->id;
		*recorded_at = message->records[i]->recorded_ms;
		g_hash_table_replace(duties->records, id, recorded_at);
	}
	if (message)
		wf__duty_records__free_unpacked(message, NULL);
}

/* Keeps records of unwanted orders: another list may still have them. */
static void prune_records(struct wf_ctx *ctx, struct dut_duties *duties)
{
	GHashTableIter iter;
	gpointer id;
	gpointer time;

	g_hash_table_iter_init(&iter, duties->records);
	while (g_hash_table_iter_next(&iter, &id, &time))
		if (!g_hash_table_contains(duties->wanted, id) &&
		    *(clk_ms *)time + duties->config.keep_records < ctx->now)
			g_hash_table_iter_remove(&iter);
}

static GBytes *encode_records(const struct dut_duties *duties)
{
	guint n = g_hash_table_size(duties->records);
	Wf__DutyRecords message = WF__DUTY_RECORDS__INIT;
	Wf__DutyRecord *records = g_new(Wf__DutyRecord, n + 1);
	GHashTableIter iter;
	gpointer id;
	gpointer recorded_at;
	uint8_t *data;
	size_t len;

	message.records = g_new(Wf__DutyRecord *, n + 1);
	g_hash_table_iter_init(&iter, duties->records);
	while (g_hash_table_iter_next(&iter, &id, &recorded_at)) {
		Wf__DutyRecord *record = &records[message.n_records];

		wf__duty_record__init(record);
		record->id = *(uint64_t *)id;
		record->recorded_ms = *(clk_ms *)recorded_at;
		message.records[message.n_records++] = record;
	}
	len = wf__duty_records__get_packed_size(&message);
	data = g_malloc(len + 1);
	wf__duty_records__pack(&message, data);
	g_free(message.records);
	g_free(records);
	return g_bytes_new_take(data, len);
}

static bool may_send(const struct wf_ctx *ctx, const struct dut_duties *duties,
		     const struct order *order)
{
	const struct order_target *target;

	target = g_hash_table_lookup(duties->targets, order->target);
	if (!target || target->leaving)
		return false;
	if (reads_weights(order) && ctx->now < duties->next_load)
		return false;
	return lse_may_send(ctx, duties->lease, target->checks_fencing);
}

static void send_order(struct wf_ctx *ctx, struct dut_duties *duties,
		       struct order *order)
{
	struct wf_action action = {.type = WF_ACT_ORDER};
	const struct order_target *target;
	struct pending_order *pending = g_new0(struct pending_order, 1);
	char *detail;

	target = g_hash_table_lookup(duties->targets, order->target);
	order->state = ORDER_SENT;
	if (reads_weights(order)) {
		duties->load_pending = false;
		duties->next_load =
			ctx->now + (clk_ms)(MS_PER_MINUTE /
					    duties->config.loads_per_minute);
	}
	pending->op = wf_new_op(ctx, WF_MODULE_DUTIES);
	pending->target = g_strdup(order->target);
	pending->fence = lse_fence(duties->lease);
	pending->deadline = ctx->now + 2 * duties->config.order_timeout;
	g_hash_table_insert(duties->pending, &pending->op, pending);
	action.op = pending->op;
	action.target = g_strdup(order->target);
	action.address = g_strdup(target->address);
	action.fence = pending->fence;
	action.order = g_strdup(order->order);
	action.argument = g_strdup(order->argument);
	action.timeout = duties->config.order_timeout;
	detail = g_strdup_printf("%s %s", order->order, order->argument);
	audit(ctx, duties, "order", order->target, detail, pending->fence);
	g_free(detail);
	ctr_add(ctx->counters, "wf_duties_orders_total", 1);
	wf_emit(ctx, &action);
}

static void record_order(struct wf_ctx *ctx, struct dut_duties *duties,
			 struct order *order)
{
	uint64_t *id = g_new(uint64_t, 1);
	clk_ms *recorded_at = g_new(clk_ms, 1);

	*id = order->id;
	*recorded_at = ctx->now;
	g_hash_table_replace(duties->records, id, recorded_at);
	order->state = ORDER_RECORDED;
	duties->load_pending |= reads_weights(order);
}

/* Records the next orders; true if the lease must be written. */
static bool record_next(struct wf_ctx *ctx, struct dut_duties *duties)
{
	bool changed = false;
	guint i;

	for (i = 0; i < duties->orders->len; i++) {
		struct order *order = duties->orders->pdata[i];

		if (order->state != ORDER_WANTED ||
		    g_hash_table_contains(duties->records, &order->id) ||
		    (reads_weights(order) && duties->load_pending) ||
		    !may_send(ctx, duties, order))
			continue;
		if (g_hash_table_size(duties->records) >=
		    duties->config.max_records) {
			ctr_add(ctx->counters, "wf_duties_full_total", 1);
			break;
		}
		record_order(ctx, duties, order);
		order->seq = UINT64_MAX;
		changed = true;
	}
	return changed;
}

static void store_records(struct wf_ctx *ctx, struct dut_duties *duties)
{
	GBytes *payload;
	uint64_t seq;
	guint i;

	prune_records(ctx, duties);
	payload = encode_records(duties);
	seq = lse_set_payload(ctx, duties->lease, payload);
	g_bytes_unref(payload);
	for (i = 0; i < duties->orders->len; i++) {
		struct order *order = duties->orders->pdata[i];

		if (order->seq == UINT64_MAX)
			order->seq = seq;
	}
}

/* An order is sent only after its record is known to be stored. */
static void send_recorded(struct wf_ctx *ctx, struct dut_duties *duties)
{
	uint64_t stored = lse_stored_seq(duties->lease);
	guint i;

	for (i = 0; i < duties->orders->len; i++) {
		struct order *order = duties->orders->pdata[i];

		if (order->state == ORDER_RECORDED && order->seq <= stored &&
		    may_send(ctx, duties, order))
			send_order(ctx, duties, order);
	}
}

/*
 * A former holder may have sent what it recorded, so recorded orders are not
 * sent, even this instance's own; a higher attempt number repeats them.
 */
static void become_holder(struct wf_ctx *ctx, struct dut_duties *duties)
{
	guint i;

	read_records(duties);
	duties->load_pending = false;
	duties->next_load =
		ctx->now +
		(clk_ms)(MS_PER_MINUTE / duties->config.loads_per_minute);
	for (i = 0; i < duties->orders->len; i++) {
		struct order *order = duties->orders->pdata[i];

		if (order->state == ORDER_RECORDED)
			order->state = ORDER_SENT;
	}
}

static void process_orders(struct wf_ctx *ctx, struct dut_duties *duties)
{
	bool held = lse_is_held(duties->lease);

	if (held && !duties->was_held)
		become_holder(ctx, duties);
	duties->was_held = held;
	duties->poll_at = CLK_NEVER;
	if (!held)
		return;
	if (ctx->draining) {
		if (!g_hash_table_size(duties->pending))
			lse_release(ctx, duties->lease);
		return;
	}
	send_recorded(ctx, duties);
	if (record_next(ctx, duties))
		store_records(ctx, duties);
	duties->poll_at = ctx->now + POLL_MS;
}

static void expire_pending_orders(struct wf_ctx *ctx, struct dut_duties *duties)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, duties->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct pending_order *)value)->deadline <= ctx->now)
			g_hash_table_iter_remove(&iter);
}

static void handle_order_reply(struct wf_ctx *ctx, struct dut_duties *duties,
			       const struct wf_order_reply *reply)
{
	struct pending_order *pending =
		g_hash_table_lookup(duties->pending, &reply->op);

	if (!pending)
		return;
	audit(ctx, duties, "order_reply", pending->target,
	      reply->ok ? "done" : err_name(reply->error), pending->fence);
	/* A later number of this instance may have arrived first. */
	if (!reply->ok && reply->error == ERR_FENCED &&
	    pending->fence >= lse_fence(duties->lease))
		lse_handle_fenced(ctx, duties->lease);
	g_hash_table_remove(duties->pending, &reply->op);
}

static void update_order_target(struct dut_duties *duties,
				const struct wf_instance *instance)
{
	struct order_target *target =
		g_hash_table_lookup(duties->targets, instance->id);

	if (!target) {
		target = g_new0(struct order_target, 1);
		target->id = g_strdup(instance->id);
		g_hash_table_insert(duties->targets, target->id, target);
	}
	if (instance->incarnation > target->incarnation)
		target->leaving = false;
	target->incarnation = MAX(target->incarnation, instance->incarnation);
	target->leaving |= instance->life != WF_LIFE_LIVE;
	target->checks_fencing = instance->checks_fencing;
	g_free(target->address);
	target->address = g_strdup(instance->address);
}

static void update_order_targets(struct dut_duties *duties,
				 const struct wf_instance *list, size_t n)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer id;
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i].role == WF_ROLE_ENTRY)
			continue;
		update_order_target(duties, &list[i]);
		g_hash_table_add(listed, (gpointer)list[i].id);
	}
	g_hash_table_iter_init(&iter, duties->targets);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(listed, id))
			g_hash_table_iter_remove(&iter);
	g_hash_table_unref(listed);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct dut_duties *duties = (struct dut_duties *)module;

	switch (event->type) {
	case WF_EV_STORE_REPLY:
		lse_handle_reply(ctx, duties->lease, event->store);
		break;
	case WF_EV_ORDER_REPLY:
		handle_order_reply(ctx, duties, event->order);
		break;
	case WF_EV_INSTANCES:
		update_order_targets(duties, event->instances.list,
				     event->instances.n);
		break;
	case WF_EV_DRAIN:
		ctx->draining = true;
		break;
	case WF_EV_TICK:
		expire_pending_orders(ctx, duties);
		break;
	default:
		return;
	}
	process_orders(ctx, duties);
	lse_tick(ctx, duties->lease, duties->orders->len);
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct dut_duties *duties = (struct dut_duties *)module;

	(void)ctx;
	return clk_min(duties->poll_at, lse_next_wakeup(duties->lease));
}

static void drop(struct wf_module *module)
{
	struct dut_duties *duties = (struct dut_duties *)module;

	lse_free(duties->lease);
	g_hash_table_unref(duties->wanted);
	g_ptr_array_unref(duties->orders);
	g_hash_table_unref(duties->records);
	g_hash_table_unref(duties->targets);
	g_hash_table_unref(duties->pending);
	g_free(duties);
}

static const struct wf_module_ops dut_ops = {
	.name = "duties",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

struct dut_duties *dut_new(struct wf_ctx *ctx, const struct dut_config *config)
{
	struct dut_duties *duties = g_new0(struct dut_duties, 1);

	(void)ctx;
	duties->module.ops = &dut_ops;
	duties->module.id = WF_MODULE_DUTIES;
	duties->config = *config;
	duties->lease = lse_new(&config->lease, config->duty, WF_MODULE_DUTIES);
	duties->orders = g_ptr_array_new_with_free_func(free_order);
	duties->wanted = g_hash_table_new(g_int64_hash, g_int64_equal);
	duties->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	duties->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_order_target);
	duties->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_pending_order);
	duties->poll_at = CLK_NEVER;
	return duties;
}

struct wf_module *dut_module(struct dut_duties *duties)
{
	return &duties->module;
}

static uint64_t order_id(const struct dut_wanted_order *wanted)
{
	char *text =
		g_strdup_printf("%s\n%s\n%s\n%u", wanted->target, wanted->order,
				wanted->argument, wanted->attempt);
	uint64_t id = wf_hash(text, strlen(text), 0);

	g_free(text);
	return id;
}

static struct order *new_order(const struct dut_wanted_order *wanted,
			       GHashTable *old)
{
	struct order *order = g_new0(struct order, 1);
	const struct order *before;

	order->id = order_id(wanted);
	order->target = g_strdup(wanted->target);
	order->order = g_strdup(wanted->order);
	order->argument = g_strdup(wanted->argument);
	before = g_hash_table_lookup(old, &order->id);
	if (before) {
		order->state = before->state;
		order->seq = before->seq;
	}
	return order;
}

static bool any_load_pending(const struct dut_duties *duties)
{
	guint i;

	for (i = 0; i < duties->orders->len; i++) {
		const struct order *order = duties->orders->pdata[i];

		if (order->state == ORDER_RECORDED && reads_weights(order))
			return true;
	}
	return false;
}

void dut_set_wanted(struct wf_ctx *ctx, struct dut_duties *duties,
		    const struct dut_wanted_order *list, size_t n)
{
	GPtrArray *old_orders = duties->orders;
	GHashTable *old = duties->wanted;
	size_t i;

	duties->orders = g_ptr_array_new_with_free_func(free_order);
	duties->wanted = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (i = 0; i < n; i++) {
		struct order *order = new_order(&list[i], old);

		if (g_hash_table_contains(duties->wanted, &order->id)) {
			free_order(order);
			continue;
		}
		g_ptr_array_add(duties->orders, order);
		g_hash_table_insert(duties->wanted, &order->id, order);
	}
	g_hash_table_unref(old);
	g_ptr_array_unref(old_orders);
	duties->load_pending = any_load_pending(duties);
	process_orders(ctx, duties);
	lse_tick(ctx, duties->lease, duties->orders->len);
}

void dut_set_rate(struct dut_duties *duties, double loads_per_minute)
{
	if (loads_per_minute > 0)
		duties->config.loads_per_minute = loads_per_minute;
}

bool dut_is_idle(const struct dut_duties *duties)
{
	return !g_hash_table_size(duties->pending) &&
	       !lse_is_held(duties->lease);
}
