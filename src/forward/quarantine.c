#include <string.h>

#include "forward/quarantine_private.h"

/*
 * The load pattern: requests with one part crash each engine that runs them,
 * come at any instance and share their other parts with sound requests. Each
 * crash also cuts sound requests, so their parts get a crash too. For those cut
 * before an event the first event of a later run clears them. Those cut in the
 * stream need a whole answer, or a run that goes on for clearly longer, as the
 * engine may crash at any place of the answer.
 */

/* Time from the last crash of a quarantined part to the next probe, doubled
 * with the weight of each crash beyond QTN_QUARANTINE_WEIGHT. */
#define QUARANTINE_MS (60 * CLK_SECOND)
#define MAX_DOUBLINGS 3
/* Fraction of that time over which the instances spread their probes. */
#define PROBE_SPREAD 0.5
/* Time for which a whole answer speaks for its parts. */
#define SOUND_MS (60 * CLK_SECOND)
/* Parts with evidence; the least suspect one makes room for a new one. Each
 * crash of an engine brings those of all requests that it ran. */
#define MAX_PARTS 1024
/* When a request that is held back may return: about the time to the first
 * event of the probe. */
#define HELD_RETRY_MS 500
/* A probe that never ends does not hold back others for longer. */
#define MAX_PROBE_MS (10 * CLK_SECOND)

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

static struct qtn_part *find(const struct qtn_quarantine *quarantine,
			     uint64_t key)
{
	return g_hash_table_lookup(quarantine->parts, &key);
}

void qtn_expire(struct qtn_quarantine *quarantine, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qtn_part *part = value;

		while (part->n && now - part->crashes[0].at >= QTN_EVIDENCE_MS)
			qtn_part_remove(part, 0);
		if (!part->n && now - part->event_at >= QTN_CLEARED_SHARED_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Whether a is evicted before b. */
static bool is_less_suspect(const struct qtn_part *a, const struct qtn_part *b)
{
	unsigned left = a->weight;
	unsigned right = b->weight;

	if (left != right)
		return left < right;
	return qtn_part_last_crash(a) < qtn_part_last_crash(b);
}

static void make_room(struct qtn_quarantine *quarantine, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;
	struct qtn_part *least = NULL;

	if (g_hash_table_size(quarantine->parts) < MAX_PARTS)
		return;
	qtn_expire(quarantine, now);
	if (g_hash_table_size(quarantine->parts) < MAX_PARTS)
		return;
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!least || is_less_suspect(value, least))
			least = value;
	}
	g_hash_table_remove(quarantine->parts, &least->key);
}

static struct qtn_part *get(struct qtn_quarantine *quarantine, clk_ms now,
			    uint64_t key)
{
	struct qtn_part *part = find(quarantine, key);

	if (part)
		return part;
	make_room(quarantine, now);
	part = g_new0(struct qtn_part, 1);
	part->key = key;
	g_hash_table_insert(quarantine->parts, &part->key, part);
	return part;
}

/* Time until which a part with enough crashes is quarantined. */
static clk_ms quarantine_end(const struct qtn_quarantine *quarantine,
			     const struct qtn_part *part)
{
	unsigned doublings =
		(part->weight - QTN_QUARANTINE_WEIGHT) / QTN_CRASH_WEIGHT;
	clk_ms length = QUARANTINE_MS << MIN(doublings, MAX_DOUBLINGS);
	uint64_t draw =
		wf_hash(&part->key, sizeof(part->key), quarantine->salt) % 1024;

	return qtn_part_last_crash(part) + length +
	       (clk_ms)(PROBE_SPREAD * (double)length * (double)draw / 1024);
}

static bool is_quarantined(const struct qtn_quarantine *quarantine,
			   const struct qtn_part *part, clk_ms now)
{
	return qtn_part_has_enough(part) &&
	       now < quarantine_end(quarantine, part);
}

static struct sound_part *sound_slot(struct qtn_quarantine *quarantine,
				     uint64_t key)
{
	return &quarantine->sound[key % QTN_MAX_SOUND_PARTS];
}

static bool was_sound(struct qtn_quarantine *quarantine, uint64_t key,
		      clk_ms at)
{
	const struct sound_part *sound = sound_slot(quarantine, key);

	return sound->key == key && sound->whole_at &&
	       at - sound->whole_at < SOUND_MS;
}

void qtn_record_crash(struct qtn_quarantine *quarantine, clk_ms at,
		      uint64_t key, uint32_t id, unsigned flags)
{
	struct qtn_part *part = get(quarantine, at, key);
	struct qtn_crash crash = {
		.id = id,
		.at = at,
		.retry = flags & QTN_MAX_RETRY,
		.events = flags >> QTN_EVENTS_SHIFT,
	};
	bool was_quarantined = is_quarantined(quarantine, part, at);

	if (qtn_part_add(part, &crash, was_sound(quarantine, key, at)) &&
	    !was_quarantined)
		part->is_reported = false;
}

void qtn_clear_parts(struct qtn_quarantine *quarantine, clk_ms at,
		     const uint64_t *parts, unsigned n, unsigned events)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		struct qtn_part *part = find(quarantine, parts[i]);

		if (part)
			qtn_part_clear(part, at, events);
	}
}

void qtn_record_events(struct qtn_quarantine *quarantine, clk_ms now,
		       const uint64_t *parts, unsigned n, unsigned events)
{
	if (g_hash_table_size(quarantine->parts))
		qtn_clear_parts(quarantine, now, parts, n, events);
}

void qtn_record_whole(struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		*sound_slot(quarantine, parts[i]) =
			(struct sound_part){parts[i], now};
	qtn_clear_parts(quarantine, now, parts, n, QTN_WHOLE_ANSWER);
}

bool qtn_contains(const uint64_t *parts, unsigned n, uint64_t key)
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
static bool is_weak(const struct qtn_part *part)
{
	return part->early_weight < QTN_SUSPECT_WEIGHT;
}

/*
 * Whether the other part, rather than this one, may be the cause of its
 * crashes, of which so much weight may have another cause. Crashes in the
 * stream are weak evidence on many parts at once, so that random ones may be
 * among them.
 */
static bool is_due_to(const struct qtn_part *part, const struct qtn_part *other,
		      unsigned rest)
{
	return qtn_part_weight_without(part, other) <=
	       (part->early_weight ? 0 : rest);
}

/*
 * Whether one of a request's parts is quarantined for certain. A part whose
 * crashes may all be due to another one that this request does not hold is not:
 * sound requests share parts with those that crash engines, and a probe
 * without the other part tells which of them does it. Of two that crashes in
 * the stream cut, the one whose requests are cut again weighs more.
 */
static bool is_certain(const struct qtn_quarantine *quarantine,
		       const struct qtn_part *part, const uint64_t *parts,
		       unsigned n)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qtn_part *other = value;

		if (other != part && qtn_part_has_enough(other) &&
		    (!is_weak(part) || other->weight >= part->weight) &&
		    !qtn_contains(parts, n, other->key) &&
		    is_due_to(part, other, QTN_QUARANTINE_WEIGHT - 1))
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
			 const struct qtn_part *part, const uint64_t *parts,
			 unsigned n)
{
	GHashTableIter iter;
	gpointer value;

	if (!part->n)
		return false;
	g_hash_table_iter_init(&iter, quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qtn_part *other = value;

		if (other->weight > part->weight &&
		    !qtn_contains(parts, n, other->key) &&
		    is_due_to(part, other, QTN_SUSPECT_WEIGHT - 1))
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
		const struct qtn_part *part = find(quarantine, parts[i]);

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
		      const struct qtn_part *part, bool is_spared,
		      const uint64_t *parts, unsigned n)
{
	if (!part || part->weight < QTN_SUSPECT_WEIGHT)
		return false;
	if (is_weak(part) && (is_spared || !qtn_part_has_enough(part)))
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
		const struct qtn_part *part = find(quarantine, parts[i]);

		if (!is_probed(quarantine, part, is_spared, parts, n))
			continue;
		if (now < part->probe_until) {
			*retry_after = HELD_RETRY_MS;
			return QTN_HELD;
		}
		verdict = QTN_PROBE;
	}
	for (i = 0; verdict == QTN_PROBE && i < n; i++) {
		struct qtn_part *part = find(quarantine, parts[i]);

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
		struct qtn_part *part = find(quarantine, parts[i]);

		if (part)
			part->probe_until = 0;
	}
}

bool qtn_is_suspected(const struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct qtn_part *part = find(quarantine, parts[i]);

		if (part && (part->early_weight || qtn_part_has_enough(part)) &&
		    now - qtn_part_last_crash(part) < QTN_EVIDENCE_MS &&
		    !is_explained(quarantine, part, parts, n))
			return true;
	}
	return false;
}

/* Whether the part is quarantined and not due to another one. */
static bool is_verdict(const struct qtn_quarantine *quarantine,
		       const struct qtn_part *part, clk_ms now)
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
		struct qtn_part *part = value;

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
