#include <math.h>
#include <string.h>

#include "sched/adm.h"

/* Part of the work that long requests get while short ones wait. */
#define ADM_LONG_PART 0.1
/* Fading of the work served, in tokens. */
#define ADM_SERVED_MEMORY 20000.0
/* The rate is measured over spans of this length. */
#define ADM_RATE_SPAN 500
#define ADM_RATE_SMOOTHING 0.3
/* The measured rate is believed within these parts of the nominal one. */
#define ADM_RATE_LOW 0.2
#define ADM_RATE_HIGH 1.5
/* Organisations looked at for the expected wait; the rest is extrapolated. */
#define ADM_WAIT_SCAN 128

static void share_free(gpointer data)
{
	struct adm_share *share = data;

	g_queue_clear(&share->items);
	g_free(share->org);
	g_free(share);
}

struct adm_queue *adm_queue_new(size_t limit, bool use_fair_share,
				bool use_classes)
{
	struct adm_queue *queue = g_new0(struct adm_queue, 1);
	unsigned i;

	queue->limit = limit;
	queue->use_fair_share = use_fair_share;
	queue->use_classes = use_classes;
	for (i = 0; i < ADM_PRIORITIES * ADM_N_CLASSES; i++) {
		struct adm_lane *lane = &queue->lanes[0][0] + i;

		g_queue_init(&lane->order);
		lane->orgs = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, share_free);
	}
	return queue;
}

void adm_queue_drop(gpointer data)
{
	struct adm_queue *queue = data;
	unsigned i;

	for (i = 0; i < ADM_PRIORITIES * ADM_N_CLASSES; i++) {
		struct adm_lane *lane = &queue->lanes[0][0] + i;

		g_queue_clear(&lane->order);
		g_hash_table_unref(lane->orgs);
	}
	g_free(queue);
}

static struct adm_lane *lane_of(struct adm_queue *queue,
				const struct adm_item *item)
{
	unsigned priority = MIN(item->priority, ADM_PRIORITIES - 1);

	return &queue->lanes[priority][queue->use_classes && item->is_long];
}

static struct adm_share *get_share(struct adm_lane *lane, const char *org,
				   unsigned weight)
{
	struct adm_share *share = g_hash_table_lookup(lane->orgs, org);

	if (!share) {
		share = g_new0(struct adm_share, 1);
		share->org = g_strdup(org);
		share->lane = lane;
		g_queue_init(&share->items);
		g_hash_table_insert(lane->orgs, share->org, share);
		g_queue_push_tail(&lane->order, share);
		share->link = lane->order.tail;
	}
	share->weight = MAX(weight, 1);
	return share;
}

static void enter(struct adm_queue *queue, struct adm_item *item, bool first)
{
	struct adm_lane *lane = lane_of(queue, item);
	const char *org = queue->use_fair_share ? item->org : "";
	struct adm_share *share = get_share(lane, org, item->weight);

	if (first) {
		g_queue_push_head(&share->items, item);
		item->link = share->items.head;
	} else {
		g_queue_push_tail(&share->items, item);
		item->link = share->items.tail;
	}
	item->share = share;
	share->cost += item->cost;
	lane->cost += item->cost;
	lane->quantum = MAX(lane->quantum, item->cost);
	queue->length++;
}

void adm_put(struct adm_queue *queue, struct adm_item *item)
{
	enter(queue, item, false);
}

void adm_put_first(struct adm_queue *queue, struct adm_item *item)
{
	enter(queue, item, true);
}

/* An organisation without waiting requests keeps no deficit. */
static void drop_if_empty(struct adm_share *share)
{
	struct adm_lane *lane = share->lane;

	if (share->items.length)
		return;
	g_queue_delete_link(&lane->order, share->link);
	g_hash_table_remove(lane->orgs, share->org);
	if (!lane->order.length) {
		lane->cost = 0;
		lane->quantum = 0;
	}
}

void adm_remove(struct adm_queue *queue, struct adm_item *item)
{
	struct adm_share *share = item->share;

	if (!share)
		return;
	g_queue_delete_link(&share->items, item->link);
	share->cost -= item->cost;
	share->lane->cost -= item->cost;
	item->share = NULL;
	item->link = NULL;
	queue->length--;
	if (!queue->length)
		queue->busy = false;
	drop_if_empty(share);
}

/*
 * Deficit round-robin: the organisation at the head is served while its
 * deficit lasts. A turn adds at least the largest cost, so that the loop ends
 * after one step for each organisation passed.
 */
static struct adm_item *lane_peek(struct adm_lane *lane)
{
	while (lane->order.length) {
		struct adm_share *share = lane->order.head->data;
		struct adm_item *item = share->items.head->data;

		if (share->deficit >= item->cost || lane->order.length == 1)
			return item;
		share->deficit += lane->quantum * share->weight;
		if (share->deficit >= item->cost)
			return item;
	}
	return NULL;
}

static struct adm_item *peek_priority(struct adm_queue *queue,
				      unsigned priority, bool long_first)
{
	struct adm_lane *lanes = queue->lanes[priority];
	struct adm_item *item = lane_peek(&lanes[long_first]);

	return item ? item : lane_peek(&lanes[!long_first]);
}

struct adm_item *adm_peek(struct adm_queue *queue)
{
	double total = queue->served[0] + queue->served[1];
	bool long_first = queue->served[1] < ADM_LONG_PART * total;
	unsigned priority;

	if (!queue->length)
		return NULL;
	for (priority = 0; priority < ADM_PRIORITIES; priority++) {
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
	for (priority = 0; priority < ADM_PRIORITIES; priority++) {
		struct adm_item *item;

		item = lane_peek(&queue->lanes[priority][is_long]);
		if (item)
			return item;
	}
	return NULL;
}

static void end_turn(struct adm_share *share)
{
	g_queue_unlink(&share->lane->order, share->link);
	g_queue_push_tail_link(&share->lane->order, share->link);
}

void adm_skip(struct adm_queue *queue, struct adm_item *item)
{
	(void)queue;
	end_turn(item->share);
}

void adm_serve(struct adm_queue *queue, struct adm_item *item)
{
	struct adm_share *share = item->share;
	double *served = queue->served;

	share->deficit = MAX(share->deficit - item->cost, 0);
	served[item->is_long] += item->cost;
	if (served[0] + served[1] > ADM_SERVED_MEMORY) {
		served[0] /= 2;
		served[1] /= 2;
	}
	if (share->items.length > 1) {
		const struct adm_item *next = share->items.head->next->data;

		if (share->deficit < next->cost)
			end_turn(share);
	}
	adm_remove(queue, item);
}

void adm_note_work(struct adm_queue *queue, clk_ms now, double tokens)
{
	clk_ms span = now - queue->since;
	double rate;

	if (!queue->busy) {
		queue->busy = queue->length > 0;
		queue->since = now;
		queue->done = 0;
		return;
	}
	queue->done += tokens;
	if (span < ADM_RATE_SPAN)
		return;
	rate = 1000 * queue->done / (double)span;
	if (queue->rate <= 0)
		queue->rate = rate;
	else
		queue->rate += ADM_RATE_SMOOTHING * (rate - queue->rate);
	queue->since = now;
	queue->done = 0;
}

/* Work of a lane that is served before the last item of one share. */
static double cost_ahead(const struct adm_lane *lane, double own,
			 unsigned weight)
{
	double sum = 0;
	unsigned scanned = 0;
	const GList *node;

	for (node = lane->order.head; node && scanned < ADM_WAIT_SCAN;
	     node = node->next) {
		const struct adm_share *share = node->data;
		double fair = own * share->weight / weight;

		sum += MIN(share->cost, fair);
		scanned++;
	}
	if (scanned && scanned < lane->order.length)
		sum *= (double)lane->order.length / scanned;
	return sum;
}

double adm_wait_ms(const struct adm_queue *queue, const struct adm_item *item,
		   double nominal_rate)
{
	unsigned priority = MIN(item->priority, ADM_PRIORITIES - 1);
	bool is_long = queue->use_classes && item->is_long;
	const struct adm_lane *lane = &queue->lanes[priority][is_long];
	const char *org = queue->use_fair_share ? item->org : "";
	const struct adm_share *share = g_hash_table_lookup(lane->orgs, org);
	unsigned weight = MAX(item->weight, 1);
	double own = item->cost + (share ? share->cost : 0);
	double ahead = 0;
	double rate = queue->rate > 0 ? queue->rate : nominal_rate;
	unsigned i;

	if (nominal_rate > 0)
		rate = CLAMP(rate, ADM_RATE_LOW * nominal_rate,
			     ADM_RATE_HIGH * nominal_rate);
	if (rate <= 0 || !queue->length)
		return 0;
	for (i = 0; i < priority; i++)
		ahead += queue->lanes[i][0].cost + queue->lanes[i][1].cost;
	if (is_long)
		ahead += queue->lanes[priority][0].cost;
	ahead += cost_ahead(lane, own, weight);
	if (!is_long)
		ahead /= 1 - ADM_LONG_PART;
	return 1000 * ahead / rate;
}
