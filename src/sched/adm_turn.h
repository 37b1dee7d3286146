#ifndef SCHED_ADM_TURN_H
#define SCHED_ADM_TURN_H

/*
 * adm: which requests may wait for capacity, which of them is tried next, and
 * which one is refused when too many wait.
 *
 * Load pattern: more requests arrive than can be run, with several urgency
 * levels and from organisations of different sizes. Some callers retry at once,
 * others return after a refusal and are already late. Some requests are so
 * large that what becomes free fits only smaller ones.
 *
 * A new request doesn't overtake waiting ones that are at least as urgent. More
 * urgent requests go first. Within one urgency level those that can still meet
 * their objective go before late ones, and organisations share by deficit
 * round-robin. One dequeue in ADM_TURN_OLDEST_INTERVAL starts with the request
 * that has waited longest. Smaller requests pass one for which no capacity was
 * found, a few times; then they are held back for it for a moment.
 */

#include "sched/adm.h"
#include "sched/adm_room.h"

/* Urgency levels; 0 is the most urgent. */
#define ADM_TURN_N_URGENCIES 10
#define ADM_TURN_OLDEST_INTERVAL 8

struct adm_turn_service;

/* A waiting request; embedded in its owner, which fills in the first part. */
struct adm_waiter {
	void *owner;
	const char *service; /* borrowed from the owner, as is org */
	const char *org;
	unsigned urgency;
	double tokens;
	/* Set by adm_turn_set_times(). */
	clk_ms in_time_until; /* latest start that meets the objective */
	clk_ms wait_until;    /* refused if it has not started by then */
	bool is_late;
	/* Private. */
	struct adm_item item;
	struct adm_turn_service *queued_for; /* NULL: not waiting */
	GList by_arrival;
	unsigned passed; /* smaller requests that were served before it */
	clk_ms held_until;
};

/* What decides for how long a request may wait. */
struct adm_turn_times {
	clk_ms started;	  /* when this attempt arrived */
	clk_ms lost;	  /* ms lost before, in earlier attempts; 0 if new */
	clk_ms objective; /* ms to the first event; 0: none */
	clk_ms deadline;
};

struct adm_turns;

/* At most limit requests wait at once. */
struct adm_turns *adm_turns_new(size_t limit);
/* The requests must have been removed. */
void adm_turns_drop(struct adm_turns *turns);

size_t adm_turn_count(const struct adm_turns *turns);
size_t adm_turn_count_urgency(const struct adm_turns *turns, unsigned urgency);

static inline bool adm_turn_is_waiting(const struct adm_waiter *waiter)
{
	return waiter->queued_for != NULL;
}

/* Whether a new request may be tried although others wait. */
bool adm_turn_may_go(const struct adm_turns *turns, const char *service,
		     unsigned urgency);

/*
 * Sets the time limits and is_late of a request that arrives, from the expected
 * wait for those that go before it. A late request may wait only if it has
 * returned after a refusal; a new one is told at once to return.
 */
void adm_turn_set_times(const struct adm_turns *turns,
			const struct adm_room *room, clk_ms now,
			const struct adm_turn_times *times,
			struct adm_waiter *waiter);

/*
 * Whether it may wait: the expected wait is within its time limit, nothing can
 * be sent for less than closed ms, and a place is free or held by a less urgent
 * request. The expected wait assumes that organisations share equally. Those
 * before it don't count if it is the first of its urgency level that waits, or
 * if they are all larger, so that its order alone keeps it from being tried.
 */
bool adm_turn_may_wait(const struct adm_turns *turns,
		       const struct adm_room *room, clk_ms now, clk_ms closed,
		       const struct adm_waiter *waiter);

/* Whether those of its service that go before it are all larger, and there
 * are any: capacity that doesn't fit them may fit it. */
bool adm_turn_is_behind_larger(const struct adm_turns *turns,
			       const struct adm_waiter *waiter);

/* The request to be refused in favour of one of that urgency, or NULL if there
 * is a free place or no less urgent request. */
struct adm_waiter *adm_turn_victim(const struct adm_turns *turns,
				   unsigned urgency);

void adm_turn_put(struct adm_turns *turns, struct adm_waiter *waiter);
/* Removes a waiting request that is not served. */
void adm_turn_remove(struct adm_turns *turns, struct adm_waiter *waiter);

/* Begins a round in which waiting requests are tried. */
void adm_turn_begin(struct adm_turns *turns, clk_ms now);
/* No capacity for requests of the service with as many tokens, this round. */
void adm_turn_rule_out(struct adm_turns *turns, const char *service,
		       double tokens);
/* The next request to be tried in this round, or NULL. It keeps waiting. */
struct adm_waiter *adm_turn_next(struct adm_turns *turns);
/* Removes the request that adm_turn_next() returned; it starts now. */
void adm_turn_serve(struct adm_turns *turns, struct adm_waiter *waiter);

#endif
