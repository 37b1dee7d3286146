#include <math.h>
#include <string.h>

#include "sched/adm.h"

/* Share of the work that goes to long requests while short ones wait. */
#define ADM_LONG_SHARE 0.1
/* The counts of work served are halved when their sum exceeds this. */
#define ADM_SERVED_WINDOW_TOKENS 20000.0
/* The output rate is measured over intervals of this length. */
#define ADM_RATE_INTERVAL_MS 500
#define ADM_RATE_SMOOTHING 0.3
/* The measured rate is clamped to these multiples of the nominal one. */
#define ADM_RATE_MIN_RATIO 0.2
#define ADM_RATE_MAX_RATIO 1.5
/* Organisations summed for the expected wait; the rest is extrapolated. */
#define ADM_WAIT_MAX_ORGS 128

static void org_queue_free(gpointer data)
{
	struct adm_org_queue *org_queue = data;

	g_queue_clear(&org_queue->items);
	g_free(org_queue->org);
	g_free(org_queue);
}

struct adm_queue *adm_queue_new(size_t limit, bool use_fair_share,
				bool use_classes)
{
	struct adm_queue *queue = g_new0(struct adm_queue, 1);
	unsigned i;

	queue->limit = limit;
	queue->use_fair_share = use_fair_share;
	queue->use_classes = use_classes;
	for (i = 0; i < ADM_N_PRIORITIES * ADM_N_CLASSES; i++) {
		struct adm_subqueue *subqueue = &queue->subqueues[0][0] + i;

		g_queue_init(&subqueue->order);
		subqueue->orgs = g_hash_table_new_full(g_str_hash, g_str_equal,
						       NULL, org_queue_free);
	}
	return queue;
}

void adm_queue_drop(gpointer data)
{
	struct adm_queue *queue = data;
	unsigned i;

	for (i = 0; i < ADM_N_PRIORITIES * ADM_N_CLASSES; i++) {
		struct adm_subqueue *subqueue = &queue->subqueues[0][0] + i;

		g_queue_clear(&subqueue->order);
		g_hash_table_unref(subqueue->orgs);
	}
	g_free(queue);
}

static struct adm_subqueue *subqueue_of(struct adm_queue *queue,
					const struct adm_item *item)
{
	unsigned priority = MIN(item->priority, ADM_N_PRIORITIES - 1);

	return &queue->subqueues[priority][queue->use_classes && item->is_long];
}

static struct adm_org_queue *get_org_queue(struct adm_subqueue *subqueue,
					   const char *org, unsigned weight)
{
	struct adm_org_queue *org_queue =
		g_hash_table_lookup(subqueue->orgs, org);

	if (!org_queue) {
		org_queue = g_new0(struct adm_org_queue, 1);
		org_queue->org = g_strdup(org);
		org_queue->subqueue = subqueue;
		g_queue_init(&org_queue->items);
		g_hash_table_insert(subqueue->orgs, org_queue->org, org_queue);
		g_queue_push_tail(&subqueue->order, org_queue);
		org_queue->link = subqueue->order.tail;
	}
	org_queue->weight = MAX(weight, 1);
	return org_queue;
}

static void enqueue(struct adm_queue *queue, struct adm_item *item, bool first)
{
	struct adm_subqueue *subqueue = subqueue_of(queue, item);
	const char *org = queue->use_fair_share ? item->org : "";
	struct adm_org_queue *org_queue =
		get_org_queue(subqueue, org, item->weight);

	if (first) {
		g_queue_push_head(&org_queue->items, item);
		item->link = org_queue->items.head;
	} else {
		g_queue_push_tail(&org_queue->items, item);
		item->link = org_queue->items.tail;
	}
	item->org_queue = org_queue;
	org_queue->cost += item->cost;
	subqueue->cost += item->cost;
	subqueue->quantum = MAX(subqueue->quantum, item->cost);
	queue->length++;
}

void adm_put(struct adm_queue *queue, struct adm_item *item)
{
	enqueue(queue, item, false);
}

void adm_put_first(struct adm_queue *queue, struct adm_item *item)
{
	enqueue(queue, item, true);
}

/* An organisation without waiting requests does not keep its deficit. */
static void drop_if_empty(struct adm_org_queue *org_queue)
{
	struct adm_subqueue *subqueue = org_queue->subqueue;

	if (org_queue->items.length)
		return;
	g_queue_delete_link(&subqueue->order, org_queue->link);
	g_hash_table_remove(subqueue->orgs, org_queue->org);
	if (!subqueue->order.length) {
		subqueue->cost = 0;
		subqueue->quantum = 0;
	}
}

void adm_remove(struct adm_queue *queue, struct adm_item *item)
{
	struct adm_org_queue *org_queue = item->org_queue;

	if (!org_queue)
		return;
	g_queue_delete_link(&org_queue->items, item->link);
	org_queue->cost -= item->cost;
	org_queue->subqueue->cost -= item->cost;
	item->org_queue = NULL;
	item->link = NULL;
	queue->length--;
	if (!queue->length)
		queue->backlogged = false;
	drop_if_empty(org_queue);
}

/*
 * Deficit round-robin: the organisation at the head is served while its
 * deficit lasts. A turn adds at least the largest cost, so that the loop ends
 * after one step for each organisation passed.
 */
static struct adm_item *subqueue_peek(struct adm_subqueue *subqueue)
{
	while (subqueue->order.length) {
		struct adm_org_queue *org_queue = subqueue->order.head->data;
		struct adm_item *item = org_queue->items.head->data;

		if (org_queue->deficit >= item->cost ||
		    subqueue->order.length == 1)
			return item;
		org_queue->deficit += subqueue->quantum * org_queue->weight;
		if (org_queue->deficit >= item->cost)
			return item;
	}
	return NULL;
}

static struct adm_item *peek_priority(struct adm_queue *queue,
				      unsigned priority, bool long_first)
{
	struct adm_subqueue *subqueues = queue->subqueues[priority];
	struct adm_item *item = subqueue_peek(&subqueues[long_first]);

	return item ? item : subqueue_peek(&subqueues[!long_first]);
}

struct adm_item *adm_peek(struct adm_queue *queue)
{
	double total = queue->served[0] + queue->served[1];
	bool long_first = queue->served[1] < ADM_LONG_SHARE * total;
	unsigned priority;

	if (!queue->length)
		return NULL;
	for (priority = 0; priority < ADM_N_PRIORITIES; priority++) {
		struct adm_item *item;

		item = peek_priority(queue, priority, long_first);
		if (item)
			return item;
	}
	return NULL;
}

struct adm_item *adm_peek_class(struct adm_queue *queue, bool is_long)
{
	unsigned priority;

	if (!queue->length)
		return NULL;
	for (priority = 0; priority < ADM_N_PRIORITIES; priority++) {
		struct adm_item *item;

		item = subqueue_peek(&queue->subqueues[priority][is_long]);
		if (item)
			return item;
	}
	return NULL;
}

static void end_turn(struct adm_org_queue *org_queue)
{
	g_queue_unlink(&org_queue->subqueue->order, org_queue->link);
	g_queue_push_tail_link(&org_queue->subqueue->order, org_queue->link);
}

void adm_skip(struct adm_queue *queue, struct adm_item *item)
{
	(void)queue;
	end_turn(item->org_queue);
}

void adm_serve(struct adm_queue *queue, struct adm_item *item)
{
	struct adm_org_queue *org_queue = item->org_queue;
	double *served = queue->served;

	org_queue->deficit = MAX(org_queue->deficit - item->cost, 0);
	served[item->is_long] += item->cost;
	if (served[0] + served[1] > ADM_SERVED_WINDOW_TOKENS) {
		served[0] /= 2;
		served[1] /= 2;
	}
	if (org_queue->items.length > 1) {
		const struct adm_item *next = org_queue->items.head->next->data;

		if (org_queue->deficit < next->cost)
			end_turn(org_queue);
	}
	adm_remove(queue, item);
}

void adm_note_work(struct adm_queue *queue, clk_ms now, double tokens)
{
	clk_ms span = now - queue->interval_start;
	double rate;

	if (!queue->backlogged) {
		queue->backlogged = queue->length > 0;
		queue->interval_start = now;
		queue->interval_tokens = 0;
		return;
	}
	queue->interval_tokens += tokens;
	if (span < ADM_RATE_INTERVAL_MS)
		return;
	rate = 1000 * queue->interval_tokens / (double)span;
	if (queue->rate <= 0)
		queue->rate = rate;
	else
		queue->rate += ADM_RATE_SMOOTHING * (rate - queue->rate);
	queue->interval_start = now;
	queue->interval_tokens = 0;
}

/*
 * Work of a subqueue that is served before the last item of an organisation,
 * given the organisation's own work and weight.
 */
static double cost_ahead(const struct adm_subqueue *subqueue, double own,
			 unsigned weight)
{
	double sum = 0;
	unsigned scanned = 0;
	const GList *node;

	for (node = subqueue->order.head; node && scanned < ADM_WAIT_MAX_ORGS;
	     node = node->next) {
		const struct adm_org_queue *org_queue = node->data;
		double fair = own * org_queue->weight / weight;

		sum += MIN(org_queue->cost, fair);
		scanned++;
	}
	if (scanned && scanned < subqueue->order.length)
		sum *= (double)subqueue->order.length / scanned;
	return sum;
}

double adm_wait_ms(const struct adm_queue *queue, const struct adm_item *item,
		   double nominal_rate)
{
	unsigned priority = MIN(item->priority, ADM_N_PRIORITIES - 1);
	bool is_long = queue->use_classes && item->is_long;
	const struct adm_subqueue *subqueue =
		&queue->subqueues[priority][is_long];
	const char *org = queue->use_fair_share ? item->org : "";
	const struct adm_org_queue *org_queue =
		g_hash_table_lookup(subqueue->orgs, org);
	unsigned weight = MAX(item->weight, 1);
	double own = item->cost + (org_queue ? org_queue->cost : 0);
	double ahead = 0;
	double rate = queue->rate > 0 ? queue->rate : nominal_rate;
	unsigned i;

	if (nominal_rate > 0)
		rate = CLAMP(rate, ADM_RATE_MIN_RATIO * nominal_rate,
			     ADM_RATE_MAX_RATIO * nominal_rate);
	if (rate <= 0 || !queue->length)
		return 0;
	for (i = 0; i < priority; i++)
		ahead += queue->subqueues[i][0].cost +
			 queue->subqueues[i][1].cost;
	if (is_long)
		ahead += queue->subqueues[priority][0].cost;
	ahead += cost_ahead(subqueue, own, weight);
	if (!is_long)
		ahead /= 1 - ADM_LONG_SHARE;
	return 1000 * ahead / rate;
}
