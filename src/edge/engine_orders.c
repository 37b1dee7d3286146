#include <string.h>

#include <wagtailferry/core.h>

#include "edge/edg_private.h"

/*
 * ord: orders to engines. Every instance computes the same plan. The leader,
 * which holds the duty, executes it and records in the store what it ordered.
 * Another instance takes over the duty if the plan is not executed and the
 * record does not change. Two leaders at once are harmless: engines refuse
 * orders with the lower fence, and orders that assume an outdated order count.
 */

#define CHECK_INTERVAL_MS 100
/* While no engine holds layers, plan only after the list has been unchanged for
 * this long: after a start it may still be growing. */
#define SETTLE_MS 300
/* An accepted order shows in the list after the load time and about one
 * heartbeat. */
#define ORDER_MARGIN_MS 4000
/* Delay before a target is planned again after an order without an answer; the
 * engine's report then shows whether the order was executed. */
#define UNKNOWN_ORDER_RETRY_MS 1500
#define ORDER_RETRY_MS 600
/* Delay before another instance takes over, plus a random delay of up to the
 * same length. */
#define TAKEOVER_DELAY_MS 300
/* The same at the first start, when no instance holds the duty. */
#define FIRST_CLAIM_DELAY_MS 150

struct ord_orders {
	struct edg_edge *edge;
	uv_timer_t timer;
	bool is_fenced;
	bool is_dropped;
	/* The record as last read or written, NULL before. */
	struct edg_duty *record;
	bool holds_duty;
	bool is_store_pending;
	/* Since when a plan has waited to be executed, 0 if none. */
	clk_ms plan_pending_since;
	clk_ms takeover_delay;
	uint64_t seen_revision;
	clk_ms changed_at;
	/* Hash of the last plan's input, and whether that plan was empty. */
	uint64_t plan_input_hash;
	bool is_plan_empty;
	int refs;
};

/* An order in progress. */
struct order {
	struct ord_orders *orders;
	struct flt_target *target;
	struct flt_range range;
};

static void orders_unref(struct ord_orders *orders)
{
	if (--orders->refs)
		return;
	edg_duty_free(orders->record);
	g_free(orders);
}

static const struct cat_engine *engine_of(const struct ord_orders *orders,
					  const struct flt_target *target)
{
	const struct cat_service *service =
		orders->edge->catalog ? cat_find_service(orders->edge->catalog,
							 target->service)
				      : NULL;

	return service ? service->engine : NULL;
}

/* Time until which an order counts although the list does not show it. */
static clk_ms expected_end(const struct ord_orders *orders,
			   const struct flt_target *target,
			   struct flt_range range)
{
	const struct cat_engine *engine = engine_of(orders, target);
	clk_ms load = 0;

	if (engine && engine->layers)
		load = engine->load_time * (range.end - range.first) /
		       engine->layers;
	return edg_now(orders->edge) + load + ORDER_MARGIN_MS;
}

static void mark_ordered(struct flt_target *target, struct flt_range range,
			 clk_ms until)
{
	target->ordered = range;
	target->ordered_until = until;
}

static void log_order(const struct order *order, const char *to, uint64_t fence)
{
	char *subject = g_strdup_printf("order %s", order->target->id);

	edg_log(order->orders->edge, subject, "planned", to,
		"layers=%u-%u holds=%u-%u fence=%" G_GUINT64_FORMAT,
		order->range.first, order->range.end,
		order->target->holds.first, order->target->holds.end, fence);
	g_free(subject);
}

static void free_order(struct order *order)
{
	flt_target_drop(order->target);
	orders_unref(order->orders);
	g_free(order);
}

static void on_ordered(void *user, enum edg_order_result result, const char *at)
{
	static const char *const names[] = {"taken", "refused", "fenced",
					    "failed", "unknown"};
	struct order *order = user;
	struct ord_orders *orders = order->orders;
	clk_ms now = edg_now(orders->edge);

	(void)at;
	log_order(order, names[result],
		  orders->record ? orders->record->fence : 0);
	switch (result) {
	case EDG_ORDER_TAKEN:
		mark_ordered(order->target, order->range,
			     expected_end(orders, order->target, order->range));
		break;
	case EDG_ORDER_FENCED:
		orders->holds_duty = false;
		order->target->ordered_until = 0;
		break;
	case EDG_ORDER_UNKNOWN:
		order->target->ordered_until = now + UNKNOWN_ORDER_RETRY_MS;
		break;
	case EDG_ORDER_REFUSED:
	case EDG_ORDER_FAILED:
		order->target->ordered_until = now + ORDER_RETRY_MS;
		break;
	}
	free_order(order);
}

static void on_report(void *user, enum edg_report_result result,
		      const struct edg_report *report)
{
	struct order *order = user;
	struct ord_orders *orders = order->orders;
	struct edg_edge *edge = orders->edge;
	clk_ms now = edg_now(edge);

	(void)result;
	/* The report itself may have said that the engine is leaving or wants
	 * no requests. */
	if (orders->is_dropped || !orders->holds_duty || !report ||
	    report->is_busy || order->target->state != FLT_READY ||
	    flt_is_closed(order->target, now)) {
		log_order(order, report ? "postponed" : "no_report",
			  orders->record ? orders->record->fence : 0);
		order->target->ordered_until = now + ORDER_RETRY_MS;
		free_order(order);
		return;
	}
	edge->platform->ops->order_layers(
		edge->platform, order->target, order->range, report->orders,
		orders->is_fenced ? orders->record->fence : 0, on_ordered,
		order);
}

static void start_order(struct ord_orders *orders, struct flt_target *target,
			struct flt_range range)
{
	struct order *order = g_new0(struct order, 1);

	order->orders = orders;
	order->target = flt_target_keep(target);
	order->range = range;
	orders->refs++;
	mark_ordered(target, range, expected_end(orders, target, range));
	orders->edge->platform->ops->ask_report(orders->edge->platform, target,
						on_report, order);
}

static void set_record(struct ord_orders *orders, const struct edg_duty *duty)
{
	edg_duty_free(orders->record);
	orders->record = edg_duty_copy(duty);
}

/* Marks the targets for which the current holder has sent orders. */
static void apply_record(struct ord_orders *orders)
{
	GArray *assignments = orders->record->assignments;
	guint i;

	for (i = 0; i < assignments->len; i++) {
		const struct edg_assignment *assignment =
			&g_array_index(assignments, struct edg_assignment, i);
		struct flt_target *target =
			flt_find(orders->edge->fleet, assignment->target_id);

		if (target)
			mark_ordered(target, assignment->range,
				     expected_end(orders, target,
						  assignment->range));
	}
}

/* Engines that want no requests are ordered once they are open again. */
static void append_open(const struct ord_orders *orders, GArray *plan,
			const GArray *changes)
{
	guint i;

	for (i = 0; i < changes->len; i++) {
		struct plc_change change =
			g_array_index(changes, struct plc_change, i);

		if (!flt_is_closed(change.target, edg_now(orders->edge)))
			g_array_append_val(plan, change);
	}
}

static GArray *make_plan(struct ord_orders *orders)
{
	struct edg_edge *edge = orders->edge;
	GArray *plan = g_array_new(FALSE, TRUE, sizeof(struct plc_change));
	const GPtrArray *services;
	guint i;

	if (!edge->catalog || !edge->fleet_known)
		return plan;
	services = cat_services(edge->catalog);
	for (i = 0; i < services->len; i++) {
		GArray *changes = plc_plan(edge->fleet, edg_now(edge),
					   services->pdata[i]);

		append_open(orders, plan, changes);
		g_array_unref(changes);
	}
	return plan;
}

static void execute_plan(struct ord_orders *orders)
{
	GArray *plan = make_plan(orders);
	guint i;

	for (i = 0; i < plan->len; i++) {
		struct plc_change *change =
			&g_array_index(plan, struct plc_change, i);

		start_order(orders, change->target, change->range);
	}
	g_array_unref(plan);
}

/* The record with the plan, which the holder writes before it sends orders. */
static struct edg_duty *next_record(struct ord_orders *orders, GArray *plan)
{
	struct edg_duty *next = edg_duty_new();
	bool same_holder = orders->holds_duty;
	guint i;

	if (orders->record) {
		next->revision = orders->record->revision;
		next->fence = orders->record->fence;
	}
	if (!same_holder)
		next->fence++;
	next->holder = g_strdup(orders->edge->instance);
	for (i = 0; i < plan->len; i++) {
		struct plc_change *change =
			&g_array_index(plan, struct plc_change, i);

		edg_duty_assign(next, change->target->id, change->range);
	}
	return next;
}

static void set_holder(struct ord_orders *orders, bool holds)
{
	if (orders->holds_duty == holds)
		return;
	orders->holds_duty = holds;
	edg_log(orders->edge, "duty of orders", holds ? "other" : "own",
		holds ? "own" : "other", "holder=%s fence=%" G_GUINT64_FORMAT,
		orders->record && orders->record->holder
			? orders->record->holder
			: "-",
		orders->record ? orders->record->fence : 0);
}

static void on_written(void *user, enum edg_duty_result result,
		       const struct edg_duty *duty)
{
	struct ord_orders *orders = user;

	orders->is_store_pending = false;
	if (orders->is_dropped) {
		orders_unref(orders);
		return;
	}
	if (duty)
		set_record(orders, duty);
	if (result == EDG_DUTY_OK) {
		set_holder(orders, true);
		execute_plan(orders);
	} else if (result == EDG_DUTY_CONFLICT) {
		set_holder(orders, false);
		apply_record(orders);
	}
	orders->plan_pending_since = 0;
	orders_unref(orders);
}

static void write_record(struct ord_orders *orders)
{
	struct edg_edge *edge = orders->edge;
	GArray *plan = make_plan(orders);
	struct edg_duty *next;

	if (plan->len) {
		next = next_record(orders, plan);
		orders->is_store_pending = true;
		orders->refs++;
		edge->platform->ops->write_duty(edge->platform, next,
						on_written, orders);
		edg_duty_free(next);
	}
	g_array_unref(plan);
}

static void on_read(void *user, enum edg_duty_result result,
		    const struct edg_duty *duty)
{
	struct ord_orders *orders = user;
	bool is_new;

	orders->is_store_pending = false;
	if (orders->is_dropped || result != EDG_DUTY_OK) {
		orders->plan_pending_since = 0;
		orders_unref(orders);
		return;
	}
	is_new = duty->revision && (!orders->record ||
				    duty->revision != orders->record->revision);
	set_record(orders, duty);
	if (is_new) {
		/* Another instance is executing its plan. */
		apply_record(orders);
		orders->plan_pending_since = 0;
	} else {
		write_record(orders);
	}
	orders_unref(orders);
}

static void read_record(struct ord_orders *orders)
{
	struct edg_edge *edge = orders->edge;

	orders->is_store_pending = true;
	orders->refs++;
	edge->platform->ops->read_duty(edge->platform, on_read, orders);
}

static void choose_takeover_delay(struct ord_orders *orders)
{
	clk_ms base = orders->record ? TAKEOVER_DELAY_MS : FIRST_CLAIM_DELAY_MS;

	orders->takeover_delay =
		base + g_rand_int_range(orders->edge->rand, 0, (gint32)base);
}

/* Hash of the input of the plan: changes whenever the plan may change. */
static uint64_t plan_input(const struct ord_orders *orders)
{
	const struct edg_edge *edge = orders->edge;
	const GPtrArray *targets = flt_targets(edge->fleet);
	clk_ms now = edg_now(edge);
	uint64_t input[] = {flt_revision(edge->fleet), 0, 0};
	guint i;

	if (edge->catalog)
		input[1] = (uint64_t)cat_version(edge->catalog) + 1;
	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		uint64_t bits = (now < target->ordered_until ? 1 : 0) |
				(now < target->down_until ? 2 : 0) |
				(flt_is_closed(target, now) ? 4 : 0);

		input[2] = input[2] * 9 + bits;
	}
	return wf_hash(input, sizeof(input), 0);
}

static bool is_plan_empty(struct ord_orders *orders)
{
	uint64_t input = plan_input(orders);
	GArray *plan;

	if (input == orders->plan_input_hash)
		return orders->is_plan_empty;
	plan = make_plan(orders);
	orders->plan_input_hash = input;
	orders->is_plan_empty = !plan->len;
	g_array_unref(plan);
	return orders->is_plan_empty;
}

static bool any_target_holds_layers(const struct flt_fleet *fleet)
{
	const GPtrArray *targets = flt_targets(fleet);
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];

		if (target->holds.first < target->holds.end)
			return true;
	}
	return false;
}

static void check_plan(struct ord_orders *orders)
{
	clk_ms now = edg_now(orders->edge);
	uint64_t revision = flt_revision(orders->edge->fleet);

	if (revision != orders->seen_revision) {
		orders->seen_revision = revision;
		orders->changed_at = now;
	}
	if (orders->is_store_pending || orders->edge->is_draining)
		return;
	if (now - orders->changed_at < SETTLE_MS &&
	    !any_target_holds_layers(orders->edge->fleet))
		return;
	if (is_plan_empty(orders)) {
		orders->plan_pending_since = 0;
		return;
	}
	if (orders->holds_duty) {
		write_record(orders);
		return;
	}
	if (!orders->plan_pending_since) {
		orders->plan_pending_since = now;
		choose_takeover_delay(orders);
	}
	if (now - orders->plan_pending_since >= orders->takeover_delay)
		read_record(orders);
}

static void on_timer(uv_timer_t *timer)
{
	check_plan(timer->data);
}

struct ord_orders *ord_new(struct edg_edge *edge, bool is_fenced)
{
	struct ord_orders *orders = g_new0(struct ord_orders, 1);

	orders->edge = edge;
	orders->is_fenced = is_fenced;
	orders->refs = 1;
	uv_timer_init(edge->loop, &orders->timer);
	orders->timer.data = orders;
	uv_timer_start(&orders->timer, on_timer, CHECK_INTERVAL_MS,
		       CHECK_INTERVAL_MS);
	return orders;
}

static void on_timer_closed(uv_handle_t *handle)
{
	orders_unref(handle->data);
}

void ord_drop(struct ord_orders *orders)
{
	if (!orders)
		return;
	orders->is_dropped = true;
	uv_close((uv_handle_t *)&orders->timer, on_timer_closed);
}
