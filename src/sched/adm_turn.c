#include "sched/adm_turn.h"

#include <math.h>

/* Fraction of the objective that a request may wait; its prefill needs the
 * rest. */
#define WAIT_FRACTION 0.5
/* A late request may wait this long. A caller that hears nothing leaves after
 * 2 s, and the prefill comes after the wait. */
#define LATE_WAIT_MS 1000
/* Smaller requests that may be served before one that finds no capacity. An
 * instance may serve no more than 4 within the usual wait of 250 ms. */
#define MAX_PASSES 2
/* Time for which smaller requests are then held back. Other instances may take
 * the capacity that becomes free, so that holding back may be in vain. */
#define HOLD_MS 100
/* Late requests are held back for this long after a request that could still be
 * in time had to wait: an answer in time is worth more than a late one, and
 * each takes as much capacity. */
#define LATE_HOLD_MS 300

enum { IN_TIME, LATE, N_GROUPS };

/* The waiting requests of one service; dropped with the last one. */
struct adm_turn_service {
	char *name;
	size_t count[ADM_TURN_N_URGENCIES][N_GROUPS];
	/* There is no capacity for as many tokens in this round. */
	double full_tokens;
	/* The first request passed over in the current walk, or NULL. */
	struct adm_waiter *passed_over;
	/* The others are held back for it. */
	bool is_held;
};

struct adm_turns {
	size_t limit;
	/* Deficit round-robin over organisations, for each urgency and group */
	struct adm_queue *groups[ADM_TURN_N_URGENCIES][N_GROUPS];
	GQueue by_arrival;    /* of struct adm_waiter, linked in place */
	GHashTable *services; /* name to struct adm_turn_service, owned */
	unsigned n_served;
	clk_ms now; /* of the round */
	clk_ms hold_late_until;
};

static void service_free(gpointer data)
{
	struct adm_turn_service *service = data;

	g_free(service->name);
	g_free(service);
}

struct adm_turns *adm_turns_new(size_t limit)
{
	struct adm_turns *turns = g_new0(struct adm_turns, 1);
	unsigned i, group;

	turns->limit = limit;
	for (i = 0; i < ADM_TURN_N_URGENCIES; i++)
		for (group = 0; group < N_GROUPS; group++)
			turns->groups[i][group] =
				adm_queue_new(limit, true, false);
	g_queue_init(&turns->by_arrival);
	turns->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_free);
	return turns;
}

void adm_turns_drop(struct adm_turns *turns)
{
	unsigned i, group;

	for (i = 0; i < ADM_TURN_N_URGENCIES; i++)
		for (group = 0; group < N_GROUPS; group++)
			adm_queue_drop(turns->groups[i][group]);
	g_hash_table_unref(turns->services);
	g_free(turns);
}

size_t adm_turn_count(const struct adm_turns *turns)
{
	return turns->by_arrival.length;
}

size_t adm_turn_count_urgency(const struct adm_turns *turns, unsigned urgency)
{
	return turns->groups[urgency][IN_TIME]->length +
	       turns->groups[urgency][LATE]->length;
}

/* Requests of a group that go before one more of the organisation, if the
 * organisations share equally. */
static size_t count_ahead_of_org(const struct adm_queue *queue, const char *org)
{
	const struct adm_subqueue *subqueue = &queue->subqueues[0][0];
	const struct adm_org_queue *own =
		g_hash_table_lookup(subqueue->orgs, org);
	size_t own_count = own ? own->items.length : 0;
	size_t ahead = own_count;
	const GList *link;

#ifdef WF_GUARD_OFF_TURN_ORG_SHARE
	return queue->length;
#endif
	for (link = subqueue->order.head; link; link = link->next) {
		const struct adm_org_queue *other = link->data;

		if (other != own)
			ahead += MIN(other->items.length, own_count + 1);
	}
	return ahead;
}

/* Requests that go before one that arrives now. */
static size_t count_ahead(const struct adm_turns *turns,
			  const struct adm_waiter *waiter, bool is_late)
{
	struct adm_queue *const *groups = turns->groups[waiter->urgency];
	size_t ahead = 0;
	unsigned i;

	if (is_late)
		ahead = groups[IN_TIME]->length +
			count_ahead_of_org(groups[LATE], waiter->org);
	else
		ahead = count_ahead_of_org(groups[IN_TIME], waiter->org);
	for (i = 0; i < waiter->urgency; i++)
		ahead += adm_turn_count_urgency(turns, i);
	return ahead;
}

static clk_ms expected_wait(const struct adm_turns *turns,
			    const struct adm_room *room, clk_ms now,
			    const struct adm_waiter *waiter, bool is_late)
{
	return adm_room_wait(room, now, count_ahead(turns, waiter, is_late));
}

bool adm_turn_may_go(const struct adm_turns *turns, const char *service,
		     unsigned urgency)
{
	const struct adm_turn_service *others =
		g_hash_table_lookup(turns->services, service);
	unsigned i;

#ifdef WF_GUARD_OFF_TURN_OVERTAKES
	return true;
#endif
	for (i = 0; others && i <= urgency; i++) {
		if (others->count[i][IN_TIME] ||
		    (i < urgency && others->count[i][LATE]))
			return false;
	}
	return true;
}

void adm_turn_set_times(const struct adm_turns *turns,
			const struct adm_room *room, clk_ms now,
			const struct adm_turn_times *times,
			struct adm_waiter *waiter)
{
	clk_ms usual = (clk_ms)(WAIT_FRACTION * (double)times->objective);
	clk_ms in_time = times->started - times->lost + usual;
	clk_ms late = times->started + LATE_WAIT_MS;

	if (!times->objective)
		in_time = late;
	waiter->in_time_until = MIN(in_time, times->deadline);
	waiter->wait_until = waiter->in_time_until;
	waiter->is_late = false;
	if (!times->lost)
		return;
	waiter->is_late = expected_wait(turns, room, now, waiter, false) >
			  waiter->in_time_until - now;
	waiter->wait_until = MIN(MAX(in_time, late), times->deadline);
}

bool adm_turn_is_behind_larger(const struct adm_turns *turns,
			       const struct adm_waiter *waiter)
{
	const struct adm_turn_service *service =
		g_hash_table_lookup(turns->services, waiter->service);
	const GList *link;
	bool found = false;

	if (!service)
		return false;
	for (link = turns->by_arrival.head; link; link = link->next) {
		const struct adm_waiter *other = link->data;

		if (other->queued_for != service ||
		    other->urgency > waiter->urgency)
			continue;
		if (other->tokens <= waiter->tokens)
			return false;
		found = true;
	}
	return found;
}

bool adm_turn_may_wait(const struct adm_turns *turns,
		       const struct adm_room *room, clk_ms now, clk_ms closed,
		       const struct adm_waiter *waiter)
{
	clk_ms left = waiter->wait_until - now;

	if (left <= 0 || closed > left)
		return false;
	if (turns->by_arrival.length >= turns->limit &&
	    !adm_turn_victim(turns, waiter->urgency))
		return false;
	/* The dequeues that go to the longest-waiting request keep a level from
	 * starving only if one of its requests waits. */
	if (!adm_turn_count_urgency(turns, waiter->urgency) &&
	    adm_room_wait(room, now, 0) <= left)
		return true;
	return expected_wait(turns, room, now, waiter, waiter->is_late) <=
		       left ||
	       adm_turn_is_behind_larger(turns, waiter);
}

/* The last request of the organisation with the most waiting work. */
static struct adm_waiter *last_of_group(const struct adm_queue *queue)
{
	const struct adm_org_queue *longest = NULL;
	const GList *link;

	for (link = queue->subqueues[0][0].order.head; link;
	     link = link->next) {
		const struct adm_org_queue *org_queue = link->data;

		if (!longest || org_queue->cost > longest->cost)
			longest = org_queue;
	}
	if (!longest)
		return NULL;
	return ((struct adm_item *)longest->items.tail->data)->owner;
}

struct adm_waiter *adm_turn_victim(const struct adm_turns *turns,
				   unsigned urgency)
{
	unsigned i, group;

	if (turns->by_arrival.length < turns->limit)
		return NULL;
#ifdef WF_GUARD_OFF_TURN_VICTIM
	return NULL;
#endif
	for (i = ADM_TURN_N_URGENCIES - 1; i > urgency; i--) {
		for (group = N_GROUPS; group-- > 0;) {
			struct adm_waiter *last =
				last_of_group(turns->groups[i][group]);

			if (last)
				return last;
		}
	}
	return NULL;
}

static struct adm_turn_service *get_service(struct adm_turns *turns,
					    const char *name)
{
	struct adm_turn_service *service =
		g_hash_table_lookup(turns->services, name);

	if (!service) {
		service = g_new0(struct adm_turn_service, 1);
		service->name = g_strdup(name);
		service->full_tokens = HUGE_VAL;
		g_hash_table_insert(turns->services, service->name, service);
	}
	return service;
}

static unsigned group_of(const struct adm_waiter *waiter)
{
#ifdef WF_GUARD_OFF_TURN_LATE
	return IN_TIME;
#endif
	return waiter->is_late ? LATE : IN_TIME;
}

static struct adm_queue *queue_of(const struct adm_turns *turns,
				  const struct adm_waiter *waiter)
{
	return turns->groups[waiter->urgency][group_of(waiter)];
}

void adm_turn_put(struct adm_turns *turns, struct adm_waiter *waiter)
{
	waiter->item = (struct adm_item){
		.owner = waiter,
		.org = waiter->org,
		.weight = 1,
		.cost = waiter->tokens,
	};
	adm_put(queue_of(turns, waiter), &waiter->item);
	waiter->passed = 0;
	waiter->queued_for = get_service(turns, waiter->service);
	waiter->queued_for->count[waiter->urgency][group_of(waiter)]++;
	waiter->by_arrival.data = waiter;
	g_queue_push_tail_link(&turns->by_arrival, &waiter->by_arrival);
}

static void forget(struct adm_turns *turns, struct adm_waiter *waiter)
{
	struct adm_turn_service *service = waiter->queued_for;
	unsigned i;

	g_queue_unlink(&turns->by_arrival, &waiter->by_arrival);
	waiter->queued_for = NULL;
	service->count[waiter->urgency][group_of(waiter)]--;
	if (!waiter->is_late)
		turns->hold_late_until = turns->now + LATE_HOLD_MS;
	if (service->passed_over == waiter)
		service->passed_over = NULL;
	for (i = 0; i < ADM_TURN_N_URGENCIES; i++) {
		if (service->count[i][IN_TIME] || service->count[i][LATE])
			return;
	}
	g_hash_table_remove(turns->services, service->name);
}

void adm_turn_remove(struct adm_turns *turns, struct adm_waiter *waiter)
{
	adm_remove(queue_of(turns, waiter), &waiter->item);
	forget(turns, waiter);
}

/* Moves the requests that can no longer be in time behind those that can. */
static void sort_out_late(struct adm_turns *turns)
{
	GList *link;

	for (link = turns->by_arrival.head; link; link = link->next) {
		struct adm_waiter *waiter = link->data;

		if (waiter->is_late || turns->now <= waiter->in_time_until)
			continue;
		adm_remove(queue_of(turns, waiter), &waiter->item);
		waiter->queued_for->count[waiter->urgency][group_of(waiter)]--;
		waiter->is_late = true;
		waiter->queued_for->count[waiter->urgency][group_of(waiter)]++;
		adm_put(queue_of(turns, waiter), &waiter->item);
	}
}

void adm_turn_begin(struct adm_turns *turns, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	turns->now = now;
	sort_out_late(turns);
	g_hash_table_iter_init(&iter, turns->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct adm_turn_service *)value)->full_tokens = HUGE_VAL;
}

void adm_turn_rule_out(struct adm_turns *turns, const char *service,
		       double tokens)
{
	struct adm_turn_service *found =
		g_hash_table_lookup(turns->services, service);

	if (found)
		found->full_tokens = MIN(found->full_tokens, tokens);
}

static bool holds_others(const struct adm_turns *turns,
			 const struct adm_waiter *waiter)
{
#ifdef WF_GUARD_OFF_TURN_HOLD
	return false;
#endif
	return waiter->passed >= MAX_PASSES && turns->now < waiter->held_until;
}

/* Whether a request can be tried that is reached in the order. */
static bool can_be_tried(const struct adm_turns *turns,
			 struct adm_waiter *waiter)
{
	struct adm_turn_service *service = waiter->queued_for;

	if (service->is_held)
		return false;
	if (waiter->tokens < service->full_tokens)
		return true;
	if (!service->passed_over)
		service->passed_over = waiter;
	service->is_held = holds_others(turns, waiter);
	return false;
}

static struct adm_waiter *next_of_group(const struct adm_turns *turns,
					struct adm_queue *queue)
{
	const GList *org_link;

	/* Puts the organisation whose turn it is at the head. */
	adm_peek(queue);
	for (org_link = queue->subqueues[0][0].order.head; org_link;
	     org_link = org_link->next) {
		const struct adm_org_queue *org_queue = org_link->data;
		const GList *link;

		for (link = org_queue->items.head; link; link = link->next) {
			const struct adm_item *item = link->data;

			if (can_be_tried(turns, item->owner))
				return item->owner;
		}
	}
	return NULL;
}

static struct adm_waiter *next_by_arrival(const struct adm_turns *turns)
{
	const GList *link;

	for (link = turns->by_arrival.head; link; link = link->next) {
		struct adm_waiter *waiter = link->data;

		if (waiter->tokens < waiter->queued_for->full_tokens)
			return waiter;
	}
	return NULL;
}

static bool is_held_back(const struct adm_turns *turns, unsigned group)
{
#ifdef WF_GUARD_OFF_TURN_LATE_HOLD
	return false;
#endif
	return group == LATE && turns->now < turns->hold_late_until;
}

static bool is_turn_of_oldest(const struct adm_turns *turns)
{
#ifdef WF_GUARD_OFF_TURN_OLDEST
	return false;
#endif
	return turns->n_served % ADM_TURN_OLDEST_INTERVAL ==
	       ADM_TURN_OLDEST_INTERVAL - 1;
}

struct adm_waiter *adm_turn_next(struct adm_turns *turns)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, turns->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct adm_turn_service *service = value;

		service->passed_over = NULL;
		service->is_held = false;
	}
	if (is_turn_of_oldest(turns))
		return next_by_arrival(turns);
	for (i = 0; i < ADM_TURN_N_URGENCIES * N_GROUPS; i++) {
		struct adm_waiter *waiter = NULL;

		if (!is_held_back(turns, i % N_GROUPS))
			waiter =
				next_of_group(turns, (&turns->groups[0][0])[i]);
		if (waiter)
			return waiter;
	}
	return NULL;
}

void adm_turn_serve(struct adm_turns *turns, struct adm_waiter *waiter)
{
	struct adm_waiter *passed = waiter->queued_for->passed_over;

	if (passed && ++passed->passed == MAX_PASSES)
		passed->held_until = turns->now + HOLD_MS;
	turns->n_served++;
	adm_serve(queue_of(turns, waiter), &waiter->item);
	forget(turns, waiter);
}
