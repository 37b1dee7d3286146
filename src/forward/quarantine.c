#include <limits.h>
#include <string.h>

#include <wagtailferry/core.h>
#include <wagtailferry/quarantine.h>

/*
 * The load pattern: requests with one part crash each engine that runs them,
 * come at any instance and share their other parts with sound requests. Each
 * crash also cuts sound requests, so their parts get a crash too. For those cut
 * before an event the first event of a later run clears them. Those cut in the
 * stream need a whole answer, or a run that goes on for clearly longer, as the
 * engine may crash at any place of the answer.
 */

/* Crashes within this time count as one: a rack that fails takes several
 * engines at once, which says nothing about a part. One that cut a later run of
 * a request counts by itself, as its engine outlived the crash before. */
#define SEPARATION_MS 100
/* Weight of a crash, without and with the head of an answer. */
#define CRASH_WEIGHT 2
#define ANSWER_CRASH_WEIGHT 3
/* Of a crash in the stream: of the request's first run, of one that was sent
 * again after a crash, and if an answer with the part was whole shortly before.
 * Most streams that an engine runs when it crashes are sound. */
#define STREAM_CRASH_WEIGHT 2
#define STREAM_RETRY_CRASH_WEIGHT 3
#define SOUND_CRASH_WEIGHT 1
/* From this weight on, one request at a time may run: two crashes, or one
 * after the head of an answer. */
#define SUSPECT_WEIGHT 3
/* Three crashes, or two after the heads of answers. */
#define QUARANTINE_WEIGHT 6
/* Time from the last crash of a quarantined part to the next probe, doubled
 * with the weight of each crash beyond QUARANTINE_WEIGHT. */
#define QUARANTINE_MS (60 * CLK_SECOND)
#define MAX_DOUBLINGS 3
/* Fraction of that time over which the instances spread their probes. */
#define PROBE_SPREAD 0.5
/* Bit of a crash's id that is set if the head of an answer had arrived. */
#define ANSWER_BIT 1u
/* Crashes kept for a part: those that count, the latest of them, and of the
 * others as many as there is room for. */
#define MAX_CRASHES 12
/* Longer than the longest quarantine with its spread, which is 12 minutes. */
#define EVIDENCE_MS (30 * CLK_MINUTE)
/* Peers are told of what cleared a part for this time. */
#define CLEARED_SHARED_MS (3 * CLK_SECOND)
/* A run that has this many times the events of the longest run that was cut in
 * the stream, and some more, shows that its parts are sound. */
#define OUTLIVED_FACTOR 2.0
#define OUTLIVED_EVENTS 16
/* In place of the events of a run whose answer was whole. */
#define WHOLE_ANSWER UINT_MAX
/* Time for which a whole answer speaks for its parts. */
#define SOUND_MS (60 * CLK_SECOND)
/* Slots for parts of whole answers; a part that needs a taken one replaces the
 * other part. */
#define MAX_SOUND_PARTS 2048
/* Parts with evidence; the least suspect one makes room for a new one. Each
 * crash of an engine brings those of all requests that it ran. */
#define MAX_PARTS 1024
/* Heaviest parts that are looked at when a report is written. */
#define MAX_EXPLAINING_PARTS 32
/* When a request that is held back may return: about the time to the first
 * event of the probe. */
#define HELD_RETRY_MS 500
/* A probe that never ends does not hold back others for longer. */
#define MAX_PROBE_MS (10 * CLK_SECOND)

struct crash {
	uint32_t id;
	clk_ms at;
	/* Number of earlier runs of the request that crashes cut. */
	unsigned retry;
	/* Of the longest run that it cut, 0 if one of them had none. */
	unsigned events;
	unsigned weight;
	/* What it adds to the weight of its part. */
	unsigned added;
};

struct part {
	uint64_t key;
	/* In order of time, with room to insert one. */
	struct crash crashes[MAX_CRASHES + 1];
	unsigned n;
	/* Those that count: crashes within SEPARATION_MS are one. */
	unsigned count;
	unsigned weight;
	/* Weight without the crashes in the stream. */
	unsigned early_weight;
	/* Last event of a run with it, the number of events that this run had,
	 * and last whole answer; 0 if none is known. */
	clk_ms event_at;
	unsigned events;
	clk_ms whole_at;
	/* The present probe ends by then; 0 if there is none. */
	clk_ms probe_until;
	bool is_reported;
};

/* A part of a whole answer. */
struct sound_part {
	uint64_t key;
	clk_ms whole_at;
};

struct qtn_quarantine {
	uint64_t salt;
	/* By key. */
	struct sound_part sound[MAX_SOUND_PARTS];
	/* Key to struct part. */
	GHashTable *parts;
	/* Part at which the next export starts among equals. */
	unsigned next_export;
};

struct qtn_quarantine *qtn_new(uint64_t salt)
{
	struct qtn_quarantine *quarantine = g_new0(struct qtn_quarantine, 1);

	quarantine->salt = salt;
	quarantine->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	return quarantine;
}

void qtn_drop(struct qtn_quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_unref(quarantine->parts);
	g_free(quarantine);
}

unsigned qtn_parse_parts(const char *list, const char *service, uint64_t *keys)
{
	uint64_t seed = wf_hash(service, strlen(service), 0);
	unsigned n = 0;

	while (list && n < QTN_MAX_PROMPT_PARTS) {
		const char *comma = strchr(list, ',');
		const char *id = list + strspn(list, " \t");

		if (!comma)
			break;
		keys[n++] = wf_hash(id, strcspn(id, ":, \t"), seed);
		list = comma + 1;
	}
	return n;
}

static struct part *find(const struct qtn_quarantine *quarantine, uint64_t key)
{
	return g_hash_table_lookup(quarantine->parts, &key);
}

static bool has_enough_crashes(const struct part *part)
{
	return part->weight >= QUARANTINE_WEIGHT;
}

static clk_ms last_crash(const struct part *part)
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
static unsigned tally_add(struct tally *tally, const struct crash *crash)
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

static void count_crashes(struct part *part)
{
	struct tally all = {0};
	struct tally early = {0};
	unsigned i;

	for (i = 0; i < part->n; i++) {
		struct crash *crash = &part->crashes[i];

		crash->added = tally_add(&all, crash);
		if (!crash->events)
			tally_add(&early, crash);
	}
	part->count = all.count;
	part->weight = all.weight;
	part->early_weight = early.weight;
}

static void remove_crash(struct part *part, unsigned i)
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

static unsigned longest_run(const struct part *part)
{
	unsigned longest = 0;
	unsigned i;

	for (i = 0; i < part->n; i++)
		longest = MAX(longest, part->crashes[i].events);
	return longest;
}

/* Removes the crashes up to that time that a run with so many events has
 * disproved; WHOLE_ANSWER is more than any. */
static void clear(struct part *part, clk_ms at, unsigned events)
{
	bool clears_streams = outlives(events, longest_run(part));
	unsigned kept = 0;
	unsigned i;

	if (events == WHOLE_ANSWER)
		part->whole_at = MAX(part->whole_at, at);
	if (at >= part->event_at) {
		part->event_at = at;
		part->events = events;
	}
	for (i = 0; i < part->n; i++) {
		const struct crash *crash = &part->crashes[i];

		if (crash->at > at || (crash->events && !clears_streams))
			part->crashes[kept++] = *crash;
	}
	part->n = kept;
	count_crashes(part);
	if (!has_enough_crashes(part))
		part->is_reported = false;
	if (part->weight < SUSPECT_WEIGHT)
		part->probe_until = 0;
}

/* Whether a later event, or whole answer, has disproved the crash already. */
static bool is_disproved(const struct part *part, const struct crash *crash)
{
	if (!crash->events)
		return part->event_at >= crash->at;
	return part->whole_at >= crash->at ||
	       (part->event_at >= crash->at &&
		outlives(part->events, crash->events));
}

static void expire(struct qtn_quarantine *quarantine, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct part *part = value;

		while (part->n && now - part->crashes[0].at >= EVIDENCE_MS)
			remove_crash(part, 0);
		if (!part->n && now - part->event_at >= CLEARED_SHARED_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Whether a is evicted before b. */
static bool is_less_suspect(const struct part *a, const struct part *b)
{
	unsigned left = a->weight;
	unsigned right = b->weight;

	if (left != right)
		return left < right;
	return last_crash(a) < last_crash(b);
}

static void make_room(struct qtn_quarantine *quarantine, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;
	struct part *least = NULL;

	if (g_hash_table_size(quarantine->parts) < MAX_PARTS)
		return;
	expire(quarantine, now);
	if (g_hash_table_size(quarantine->parts) < MAX_PARTS)
		return;
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!least || is_less_suspect(value, least))
			least = value;
	}
	g_hash_table_remove(quarantine->parts, &least->key);
}

static struct part *get(struct qtn_quarantine *quarantine, clk_ms now,
			uint64_t key)
{
	struct part *part = find(quarantine, key);

	if (part)
		return part;
	make_room(quarantine, now);
	part = g_new0(struct part, 1);
	part->key = key;
	g_hash_table_insert(quarantine->parts, &part->key, part);
	return part;
}

uint32_t qtn_crash_id(uint32_t process, bool has_answer)
{
	/* 0 stands for an event in records. */
	return MAX(process & ~ANSWER_BIT, 2) | (has_answer ? ANSWER_BIT : 0);
}

static struct crash *find_crash(struct part *part, uint32_t id)
{
	unsigned i;

	for (i = 0; i < part->n; i++) {
		if ((part->crashes[i].id | ANSWER_BIT) == (id | ANSWER_BIT))
			return &part->crashes[i];
	}
	return NULL;
}

/* Time until which a part with enough crashes is quarantined. */
static clk_ms quarantine_end(const struct qtn_quarantine *quarantine,
			     const struct part *part)
{
	unsigned doublings = (part->weight - QUARANTINE_WEIGHT) / CRASH_WEIGHT;
	clk_ms length = QUARANTINE_MS << MIN(doublings, MAX_DOUBLINGS);
	uint64_t draw =
		wf_hash(&part->key, sizeof(part->key), quarantine->salt) % 1024;

	return last_crash(part) + length +
	       (clk_ms)(PROBE_SPREAD * (double)length * (double)draw / 1024);
}

static bool is_quarantined(const struct qtn_quarantine *quarantine,
			   const struct part *part, clk_ms now)
{
	return has_enough_crashes(part) &&
	       now < quarantine_end(quarantine, part);
}

static struct sound_part *sound_slot(struct qtn_quarantine *quarantine,
				     uint64_t key)
{
	return &quarantine->sound[key % MAX_SOUND_PARTS];
}

static bool was_sound(struct qtn_quarantine *quarantine, uint64_t key,
		      clk_ms at)
{
	const struct sound_part *sound = sound_slot(quarantine, key);

	return sound->key == key && sound->whole_at &&
	       at - sound->whole_at < SOUND_MS;
}

static unsigned crash_weight(struct qtn_quarantine *quarantine, uint64_t key,
			     const struct crash *crash)
{
	if (crash->events && was_sound(quarantine, key, crash->at))
		return SOUND_CRASH_WEIGHT;
	if (crash->events)
		return crash->retry ? STREAM_RETRY_CRASH_WEIGHT
				    : STREAM_CRASH_WEIGHT;
	return crash->id & ANSWER_BIT ? ANSWER_CRASH_WEIGHT : CRASH_WEIGHT;
}

/* Adds what another request that the crash cut tells of it. */
static void merge_crash(struct crash *known, const struct crash *crash)
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
static void remove_least(struct part *part)
{
	unsigned i = 0;

	while (i < part->n && part->crashes[i].added)
		i++;
	remove_crash(part, i < part->n ? i : 0);
}

static void insert_crash(struct part *part, const struct crash *crash)
{
	unsigned i;

	for (i = part->n; i > 0 && part->crashes[i - 1].at > crash->at; i--)
		part->crashes[i] = part->crashes[i - 1];
	part->crashes[i] = *crash;
	part->n++;
	count_crashes(part);
	if (part->n > MAX_CRASHES)
		remove_least(part);
}

void qtn_record_crash(struct qtn_quarantine *quarantine, clk_ms at,
		      uint64_t key, uint32_t id, unsigned flags)
{
	struct part *part = get(quarantine, at, key);
	struct crash crash = {
		.id = id,
		.at = at,
		.retry = flags & QTN_MAX_RETRY,
		.events = flags >> QTN_EVENTS_SHIFT,
	};
	struct crash *known;
	bool was_quarantined;

	if (is_disproved(part, &crash))
		return;
	crash.weight = crash_weight(quarantine, key, &crash);
	known = find_crash(part, id);
	was_quarantined = is_quarantined(quarantine, part, at);
	if (known) {
		merge_crash(known, &crash);
		count_crashes(part);
	} else {
		insert_crash(part, &crash);
	}
	if (!known && !was_quarantined)
		part->is_reported = false;
}

static void clear_parts(struct qtn_quarantine *quarantine, clk_ms at,
			const uint64_t *parts, unsigned n, unsigned events)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		struct part *part = find(quarantine, parts[i]);

		if (part)
			clear(part, at, events);
	}
}

void qtn_record_events(struct qtn_quarantine *quarantine, clk_ms now,
		       const uint64_t *parts, unsigned n, unsigned events)
{
	if (g_hash_table_size(quarantine->parts))
		clear_parts(quarantine, now, parts, n, events);
}

unsigned qtn_crash_flags(unsigned events, unsigned retry)
{
	return MIN(retry, QTN_MAX_RETRY) | MIN(events, QTN_MAX_EVENTS)
						   << QTN_EVENTS_SHIFT;
}

void qtn_record_whole(struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		*sound_slot(quarantine, parts[i]) =
			(struct sound_part){parts[i], now};
	clear_parts(quarantine, now, parts, n, WHOLE_ANSWER);
}

static bool has_crash_near(const struct part *part, clk_ms at)
{
	unsigned i;

	for (i = 0; i < part->n; i++) {
		if (ABS(part->crashes[i].at - at) < SEPARATION_MS)
			return true;
	}
	return false;
}

/* Whether all crashes of the part may be due to the other one, which may have
 * had more than it keeps: earlier ones, and some at the same time as others. */
static bool may_be_due_to(const struct part *part, struct part *other)
{
	unsigned i;

	for (i = 0; i < part->n; i++) {
		const struct crash *crash = &part->crashes[i];
		bool may_be_forgotten = other->n == MAX_CRASHES &&
					(crash->at < other->crashes[0].at ||
					 has_crash_near(other, crash->at));

		if (!may_be_forgotten && !find_crash(other, crash->id))
			return false;
	}
	return true;
}

static bool contains(const uint64_t *parts, unsigned n, uint64_t key)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (parts[i] == key)
			return true;
	}
	return false;
}

/* Whether the part's evidence is only that of crashes in the stream, which
 * mostly cut sound requests. */
static bool is_weak(const struct part *part)
{
	return part->early_weight < SUSPECT_WEIGHT;
}

/*
 * Whether one of a request's parts is quarantined for certain. A part whose
 * crashes may all be due to another one that this request does not hold is not:
 * sound requests share parts with those that crash engines, and a probe
 * without the other part tells which of them does it. Of two that crashes in
 * the stream cut, the one whose requests are cut again weighs more.
 */
static bool is_certain(const struct qtn_quarantine *quarantine,
		       const struct part *part, const uint64_t *parts,
		       unsigned n)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct part *other = value;

		if (other != part && has_enough_crashes(other) &&
		    (!is_weak(part) || other->weight >= part->weight) &&
		    !contains(parts, n, other->key) &&
		    may_be_due_to(part, other))
			return false;
	}
	return true;
}

/*
 * Whether a part that a request does not hold has had more crashes, these among
 * them. Each crash also cuts sound requests, and under many crashes their parts
 * collect some before the next event.
 */
static bool is_explained(const struct qtn_quarantine *quarantine,
			 const struct part *part, const uint64_t *parts,
			 unsigned n)
{
	GHashTableIter iter;
	gpointer value;

	if (!part->n)
		return false;
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct part *other = value;

		if (other->weight > part->weight &&
		    !contains(parts, n, other->key) &&
		    may_be_due_to(part, other))
			return true;
	}
	return false;
}

clk_ms qtn_time_left(const struct qtn_quarantine *quarantine, clk_ms now,
		     const uint64_t *parts, unsigned n, bool is_spared)
{
	clk_ms left = 0;
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct part *part = find(quarantine, parts[i]);

		if (part && is_quarantined(quarantine, part, now) &&
		    (!is_spared || !is_weak(part)) &&
		    is_certain(quarantine, part, parts, n))
			left = MAX(left,
				   quarantine_end(quarantine, part) - now);
	}
	return left;
}

/* Weak evidence short of a verdict holds nothing back: it is that of many sound
 * parts at once. */
static bool is_probed(const struct qtn_quarantine *quarantine,
		      const struct part *part, bool is_spared,
		      const uint64_t *parts, unsigned n)
{
	if (!part || part->weight < SUSPECT_WEIGHT)
		return false;
	if (is_weak(part) && (is_spared || !has_enough_crashes(part)))
		return false;
	return !is_explained(quarantine, part, parts, n);
}

enum qtn_verdict qtn_check(struct qtn_quarantine *quarantine, clk_ms now,
			   const uint64_t *parts, unsigned n, bool is_spared,
			   clk_ms *retry_after)
{
	enum qtn_verdict verdict = QTN_ALLOWED;
	unsigned i;

	*retry_after = qtn_time_left(quarantine, now, parts, n, is_spared);
	if (*retry_after)
		return QTN_QUARANTINED;
	for (i = 0; i < n; i++) {
		const struct part *part = find(quarantine, parts[i]);

		if (!is_probed(quarantine, part, is_spared, parts, n))
			continue;
		if (now < part->probe_until) {
			*retry_after = HELD_RETRY_MS;
			return QTN_HELD;
		}
		verdict = QTN_PROBE;
	}
	for (i = 0; verdict == QTN_PROBE && i < n; i++) {
		struct part *part = find(quarantine, parts[i]);

		if (is_probed(quarantine, part, is_spared, parts, n))
			part->probe_until = now + MAX_PROBE_MS;
	}
	return verdict;
}

void qtn_end_probe(struct qtn_quarantine *quarantine, const uint64_t *parts,
		   unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		struct part *part = find(quarantine, parts[i]);

		if (part)
			part->probe_until = 0;
	}
}

bool qtn_is_suspected(const struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct part *part = find(quarantine, parts[i]);

		if (part && (part->early_weight || has_enough_crashes(part)) &&
		    now - last_crash(part) < EVIDENCE_MS &&
		    !is_explained(quarantine, part, parts, n))
			return true;
	}
	return false;
}

/* Whether the part is quarantined and not due to another one. */
static bool is_verdict(const struct qtn_quarantine *quarantine,
		       const struct part *part, clk_ms now)
{
	return is_quarantined(quarantine, part, now) &&
	       !is_explained(quarantine, part, NULL, 0);
}

unsigned qtn_count(const struct qtn_quarantine *quarantine, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += is_verdict(quarantine, value, now);
	return count;
}

bool qtn_next_change(struct qtn_quarantine *quarantine, clk_ms now,
		     struct qtn_change *change)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct part *part = value;

		if (part->is_reported || !is_verdict(quarantine, part, now))
			continue;
		part->is_reported = true;
		change->part = part->key;
		change->crashes = part->count;
		change->retry_after = quarantine_end(quarantine, part) - now;
		return true;
	}
	return false;
}

/* Most crashes first. Crashes that are counted as one, of one request at two
 * engines, say more than a single one. */
static int compare_parts(gconstpointer a, gconstpointer b)
{
	const struct part *left = *(struct part *const *)a;
	const struct part *right = *(struct part *const *)b;

	int order = (int)right->weight - (int)left->weight;

	return order ? order : (int)right->n - (int)left->n;
}

/* Flags of a record which states that a run had so many events. */
static unsigned event_flags(unsigned events)
{
	return events == WHOLE_ANSWER
		       ? QTN_WHOLE
		       : MIN(events, QTN_MAX_EVENTS) << QTN_EVENTS_SHIFT;
}

/* Earlier versions state no number. */
static unsigned flagged_events(unsigned flags)
{
	return flags & QTN_WHOLE ? WHOLE_ANSWER
				 : MAX(flags >> QTN_EVENTS_SHIFT, 1);
}

static unsigned write_crashes(const struct part *part, clk_ms now, bool counts,
			      struct qtn_record *records, unsigned room)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < part->n && n < room; i++) {
		const struct crash *crash = &part->crashes[i];

		if (counts == (crash->added > 0))
			records[n++] = (struct qtn_record){
				part->key, crash->id,
				qtn_crash_flags(crash->events, crash->retry),
				now - crash->at};
	}
	return n;
}

/* Those that count come first, in case there is no room for all. */
static unsigned write_records(const struct part *part, clk_ms now,
			      struct qtn_record *records, unsigned room)
{
	unsigned n = 0;

	if (part->event_at && now - part->event_at < CLEARED_SHARED_MS &&
	    n < room)
		records[n++] = (struct qtn_record){part->key, 0,
						   event_flags(part->events),
						   now - part->event_at};
	n += write_crashes(part, now, true, records + n, room - n);
	n += write_crashes(part, now, false, records + n, room - n);
	return n;
}

/* Whether one of the heaviest parts explains all crashes of the one at that
 * index. */
static bool is_explained_by_heavier(const GPtrArray *parts, guint index)
{
	struct part *part = parts->pdata[index];
	guint i;

	for (i = 0; part->n && i < MIN(index, MAX_EXPLAINING_PARTS); i++) {
		struct part *heavier = parts->pdata[i];

		if (heavier->weight <= part->weight)
			return false;
		if (may_be_due_to(part, heavier))
			return true;
	}
	return false;
}

/* Lists the parts that no other one explains, in the order of
 * compare_parts(). */
static GPtrArray *list_unexplained(const struct qtn_quarantine *quarantine)
{
	GPtrArray *all = g_ptr_array_new();
	GPtrArray *unexplained = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(all, value);
	g_ptr_array_sort(all, compare_parts);
	for (i = 0; i < all->len; i++) {
		if (!is_explained_by_heavier(all, i))
			g_ptr_array_add(unexplained, all->pdata[i]);
	}
	g_ptr_array_unref(all);
	return unexplained;
}

/* Parts with several crashes come first; the others, most of which are sound
 * and soon cleared, get what room is left. Both take turns. */
unsigned qtn_export(struct qtn_quarantine *quarantine, clk_ms now,
		    struct qtn_record *records)
{
	GPtrArray *parts;
	unsigned n = 0;
	guint suspects = 0;
	guint i;

	if (!g_hash_table_size(quarantine->parts))
		return 0;
	expire(quarantine, now);
	parts = list_unexplained(quarantine);
	while (suspects < parts->len &&
	       (((struct part *)parts->pdata[suspects])->n > 1 ||
		((struct part *)parts->pdata[suspects])->weight >=
			SUSPECT_WEIGHT))
		suspects++;
	for (i = 0; i < parts->len && n < QTN_MAX_RECORDS; i++) {
		guint first = i < suspects ? 0 : suspects;
		guint size = (i < suspects ? suspects : parts->len) - first;
		guint at = first + (i + quarantine->next_export) % size;

		n += write_records(parts->pdata[at], now, records + n,
				   QTN_MAX_RECORDS - n);
	}
	quarantine->next_export++;
	g_ptr_array_unref(parts);
	return n;
}

void qtn_merge(struct qtn_quarantine *quarantine, clk_ms now,
	       const struct qtn_record *records, unsigned n)
{
	unsigned i;

	for (i = 0; i < n && i < QTN_MAX_RECORDS; i++) {
		const struct qtn_record *record = &records[i];
		clk_ms at = now - record->age;

		if (record->age < 0 || record->age >= EVIDENCE_MS)
			continue;
		if (record->crash)
			qtn_record_crash(quarantine, at, record->part,
					 record->crash, record->flags);
		else
			clear_parts(quarantine, at, &record->part, 1,
				    flagged_events(record->flags));
	}
}
