#include "forward/quarantine_private.h"

/*
 * Evidence on one part. Of crashes that count as one the heaviest counts, and
 * only what nothing has disproved since.
 */

/* Crashes within this time count as one: a rack that fails takes several
 * engines at once, which says nothing about a part. One that cut a later run of
 * a request counts by itself, as its engine outlived the crash before. */
#define SEPARATION_MS 100
/* Weight of a crash after the head of an answer. */
#define ANSWER_CRASH_WEIGHT 3
/* Of a crash in the stream: of the request's first run, of one that was sent
 * again after a crash, and if an answer with the part was whole shortly before.
 * Most streams that an engine runs when it crashes are sound. */
#define STREAM_CRASH_WEIGHT 2
#define STREAM_RETRY_CRASH_WEIGHT 3
#define SOUND_CRASH_WEIGHT 1
/* Bit of a crash's id that is set if the head of an answer had arrived. */
#define ANSWER_BIT 1u
/* A run that has this many times the events of the longest run that was cut in
 * the stream, and some more, shows that its parts are sound. */
#define OUTLIVED_FACTOR 2.0
#define OUTLIVED_EVENTS 16

uint32_t qtn_crash_id(uint32_t process, bool has_answer)
{
	/* 0 stands for an event in records. */
	return MAX(process & ~ANSWER_BIT, 2) | (has_answer ? ANSWER_BIT : 0);
}

unsigned qtn_crash_flags(unsigned events, unsigned retry)
{
	return MIN(retry, QTN_MAX_RETRY) | MIN(events, QTN_MAX_EVENTS)
						   << QTN_EVENTS_SHIFT;
}

bool qtn_part_has_enough(const struct qtn_part *part)
{
	return part->weight >= QTN_QUARANTINE_WEIGHT;
}

clk_ms qtn_part_last_crash(const struct qtn_part *part)
{
	return part->n ? part->crashes[part->n - 1].at : 0;
}

/* Sum over crashes in order of time. Of those that count as one the heaviest
 * counts. */
struct tally {
	clk_ms first_at;
	unsigned retry;
	unsigned heaviest;
	/* Engines that had outlived an earlier crash. */
	unsigned outlived;
	unsigned count;
	unsigned weight;
};

/*
 * Returns what the crash adds. Several requests may each have been sent again
 * after a crash, and have crashed a second engine at the same time: two of them
 * weigh as much as two crashes apart, since a request may have no third run.
 */
static unsigned tally_add(struct tally *tally, const struct qtn_crash *crash)
{
	unsigned added = 0;

	if (!tally->count || crash->retry > tally->retry ||
	    crash->at - tally->first_at >= SEPARATION_MS) {
		tally->first_at = crash->at;
		tally->retry = crash->retry;
		tally->heaviest = 0;
		tally->outlived = 0;
		tally->count++;
	}
	if (crash->weight > tally->heaviest) {
		added = crash->weight - tally->heaviest;
		tally->heaviest = crash->weight;
	}
	if (crash->retry && crash->weight > SOUND_CRASH_WEIGHT &&
	    ++tally->outlived == 2)
		added += crash->weight;
	tally->weight += added;
	return added;
}

static void count_crashes(struct qtn_part *part)
{
	struct tally all = {0};
	struct tally early = {0};
	unsigned i;

	for (i = 0; i < part->n; i++) {
		struct qtn_crash *crash = &part->crashes[i];

		crash->added = tally_add(&all, crash);
		if (!crash->events)
			tally_add(&early, crash);
	}
	part->count = all.count;
	part->weight = all.weight;
	part->early_weight = early.weight;
}

void qtn_part_remove(struct qtn_part *part, unsigned i)
{
	part->n--;
	memmove(part->crashes + i, part->crashes + i + 1,
		(part->n - i) * sizeof(*part->crashes));
	count_crashes(part);
}

/* Whether a run with so many events shows that one which was cut in the stream
 * after that many was not cut because of its parts. */
static bool outlives(unsigned events, unsigned cut_events)
{
	return events > OUTLIVED_FACTOR * cut_events + OUTLIVED_EVENTS;
}

static unsigned longest_run(const struct qtn_part *part)
{
	unsigned longest = 0;
	unsigned i;

	for (i = 0; i < part->n; i++)
		longest = MAX(longest, part->crashes[i].events);
	return longest;
}

void qtn_part_clear(struct qtn_part *part, clk_ms at, unsigned events)
{
	bool clears_streams = outlives(events, longest_run(part));
	unsigned kept = 0;
	unsigned i;

	if (events == QTN_WHOLE_ANSWER)
		part->whole_at = MAX(part->whole_at, at);
	if (at >= part->event_at) {
		part->event_at = at;
		part->events = events;
	}
	for (i = 0; i < part->n; i++) {
		const struct qtn_crash *crash = &part->crashes[i];

		if (crash->at > at || (crash->events && !clears_streams))
			part->crashes[kept++] = *crash;
	}
	part->n = kept;
	count_crashes(part);
	if (!qtn_part_has_enough(part))
		part->is_reported = false;
	if (part->weight < QTN_SUSPECT_WEIGHT)
		part->probe_until = 0;
}

/* Whether a later event, or whole answer, has disproved the crash already. */
static bool is_disproved(const struct qtn_part *part,
			 const struct qtn_crash *crash)
{
	if (!crash->events)
		return part->event_at >= crash->at;
	return part->whole_at >= crash->at ||
	       (part->event_at >= crash->at &&
		outlives(part->events, crash->events));
}

static const struct qtn_crash *find_crash(const struct qtn_part *part,
					  uint32_t id)
{
	unsigned i;

	for (i = 0; i < part->n; i++) {
		if ((part->crashes[i].id | ANSWER_BIT) == (id | ANSWER_BIT))
			return &part->crashes[i];
	}
	return NULL;
}

static unsigned crash_weight(const struct qtn_crash *crash, bool was_sound)
{
	if (crash->events && was_sound)
		return SOUND_CRASH_WEIGHT;
	if (crash->events)
		return crash->retry ? STREAM_RETRY_CRASH_WEIGHT
				    : STREAM_CRASH_WEIGHT;
	return crash->id & ANSWER_BIT ? ANSWER_CRASH_WEIGHT : QTN_CRASH_WEIGHT;
}

/* Adds what another request that the crash cut tells of it. */
static void merge_crash(struct qtn_crash *known, const struct qtn_crash *crash)
{
	known->id |= crash->id & ANSWER_BIT;
	known->retry = MAX(known->retry, crash->retry);
	known->events = known->events && crash->events
				? MAX(known->events, crash->events)
				: 0;
	known->weight = MAX(known->weight, crash->weight);
}

/* A crash that counts makes room only if all of them do: those of a group of
 * requests would otherwise replace all that came before them. */
static void remove_least(struct qtn_part *part)
{
	unsigned i = 0;

	while (i < part->n && part->crashes[i].added)
		i++;
	qtn_part_remove(part, i < part->n ? i : 0);
}

static void insert_crash(struct qtn_part *part, const struct qtn_crash *crash)
{
	unsigned i;

	for (i = part->n; i > 0 && part->crashes[i - 1].at > crash->at; i--)
		part->crashes[i] = part->crashes[i - 1];
	part->crashes[i] = *crash;
	part->n++;
	count_crashes(part);
	if (part->n > QTN_MAX_CRASHES)
		remove_least(part);
}

bool qtn_part_add(struct qtn_part *part, struct qtn_crash *crash,
		  bool was_sound)
{
	const struct qtn_crash *known;

	if (is_disproved(part, crash))
		return false;
	crash->weight = crash_weight(crash, was_sound);
	known = find_crash(part, crash->id);
	if (!known) {
		insert_crash(part, crash);
		return true;
	}
	merge_crash(&part->crashes[known - part->crashes], crash);
	count_crashes(part);
	return false;
}

static bool has_crash_near(const struct qtn_part *part, clk_ms at)
{
	unsigned i;

	for (i = 0; i < part->n; i++) {
		if (ABS(part->crashes[i].at - at) < SEPARATION_MS)
			return true;
	}
	return false;
}

/* Whether the crash may be due to the part, which may have had more than it
 * keeps: earlier ones, and some at the same time as others. */
static bool is_due_to(const struct qtn_crash *crash,
		      const struct qtn_part *part)
{
	bool may_be_forgotten = part->n == QTN_MAX_CRASHES &&
				(crash->at < part->crashes[0].at ||
				 has_crash_near(part, crash->at));

	return may_be_forgotten || find_crash(part, crash->id);
}

unsigned qtn_part_weight_without(const struct qtn_part *part,
				 const struct qtn_part *other)
{
	struct tally tally = {0};
	unsigned i;

	for (i = 0; i < part->n; i++) {
		if (!is_due_to(&part->crashes[i], other))
			tally_add(&tally, &part->crashes[i]);
	}
	return tally.weight;
}
