#ifndef EDGE_TRN_TURNS_H
#define EDGE_TRN_TURNS_H

/*
 * trn: duration of the turns of an event loop, by class of work. A turn is what
 * the loop does between two waits for input. Reads no clock: all times are
 * arguments, in ns.
 */

#include <wagtailferry/base.h>

enum trn_class {
	/* What no other class includes, such as answers of targets. */
	TRN_OTHER,
	/* Requests of callers that are started. */
	TRN_REQUESTS,
	TRN_SEARCHES,
	/* Load reports of peers. */
	TRN_REPORTS,
	TRN_TIMERS,
	TRN_CLASSES,
};

struct trn_turns {
	enum trn_class class;
	/* Start of the work of that class. */
	uint64_t since;
	/* In this turn; not kept for TRN_OTHER. */
	uint64_t took[TRN_CLASSES];
	/* When the last turn ended, 0 before that; the time that the loop had
	 * waited, and the CPU time that it had used until then. */
	uint64_t ended_at;
	uint64_t waited;
	uint64_t cpu;
	uint64_t longest;
};

/* A completed turn. */
struct trn_turn {
	uint64_t total;
	uint64_t took[TRN_CLASSES];
	uint64_t cpu;
};

/* From now on time counts for the class. Returns the class until now, which the
 * caller restores. turns may be NULL. */
enum trn_class trn_switch(struct trn_turns *turns, enum trn_class class,
			  uint64_t now);

/*
 * The loop is about to wait. waited and cpu are the time for which it has
 * waited and its CPU time since its start. The next turn's work is TRN_OTHER.
 * Returns the completed turn; its total is 0 on the first call.
 */
struct trn_turn trn_end(struct trn_turns *turns, uint64_t now, uint64_t waited,
			uint64_t cpu);

/* Returns the longest turn since the last call. */
uint64_t trn_take_longest(struct trn_turns *turns);

/* The class that took longest. */
enum trn_class trn_main_class(const struct trn_turn *turn);
const char *trn_class_name(enum trn_class class);

#endif
