/*
 * Load pattern: traffic jumps on a machine with a fraction of a core, so that
 * the work of one turn of the event loop delays the reading of requests, and of
 * callers' closes, by seconds.
 */

#include <string.h>

#include "edge/trn_turns.h"

enum trn_class trn_switch(struct trn_turns *turns, enum trn_class class,
			  uint64_t now)
{
	enum trn_class before;

	if (!turns)
		return TRN_OTHER;
	before = turns->class;
	turns->took[before] += now - turns->since;
	turns->class = class;
	turns->since = now;
	return before;
}

/* What was not counted for another class, without the wait. */
static uint64_t other_time(const struct trn_turn *turn)
{
	uint64_t sum = 0;
	int i;

	for (i = TRN_OTHER + 1; i < TRN_CLASSES; i++)
		sum += turn->took[i];
	return turn->total > sum ? turn->total - sum : 0;
}

struct trn_turn trn_end(struct trn_turns *turns, uint64_t now, uint64_t waited,
			uint64_t cpu)
{
	struct trn_turn turn = {0};
	uint64_t wait = waited - turns->waited;

	trn_switch(turns, TRN_OTHER, now);
	if (turns->ended_at && now - turns->ended_at > wait) {
		turn.total = now - turns->ended_at - wait;
		turn.cpu = cpu - turns->cpu;
		memcpy(turn.took, turns->took, sizeof(turn.took));
		turn.took[TRN_OTHER] = other_time(&turn);
	}
	memset(turns->took, 0, sizeof(turns->took));
	turns->ended_at = now;
	turns->waited = waited;
	turns->cpu = cpu;
	turns->longest = MAX(turns->longest, turn.total);
	return turn;
}

uint64_t trn_take_longest(struct trn_turns *turns)
{
	uint64_t longest = turns->longest;

	turns->longest = 0;
	return longest;
}

enum trn_class trn_main_class(const struct trn_turn *turn)
{
	enum trn_class longest = TRN_OTHER;
	int i;

	for (i = 0; i < TRN_CLASSES; i++) {
		if (turn->took[i] > turn->took[longest])
			longest = (enum trn_class)i;
	}
	return longest;
}

const char *trn_class_name(enum trn_class class)
{
	static const char *const names[TRN_CLASSES] = {
		"other", "requests", "searches", "reports", "timers"};

	return names[class];
}
