#include "forward/quarantine_private.h"

/* Exchange of evidence with peers. */

/* Heaviest parts that are looked at when a report is written. */
#define MAX_EXPLAINING_PARTS 32

/* Most crashes first. Crashes that are counted as one, of one request at two
 * engines, say more than a single one. */
static int compare_parts(gconstpointer a, gconstpointer b)
{
	const struct qtn_part *left = *(struct qtn_part *const *)a;
	const struct qtn_part *right = *(struct qtn_part *const *)b;

	int order = (int)right->weight - (int)left->weight;

	return order ? order : (int)right->n - (int)left->n;
}

/* Flags of a record which states that a run had so many events. */
static unsigned event_flags(unsigned events)
{
	return events == QTN_WHOLE_ANSWER
		       ? QTN_WHOLE
		       : MIN(events, QTN_MAX_EVENTS) << QTN_EVENTS_SHIFT;
}

/* Earlier versions state no number. */
static unsigned flagged_events(unsigned flags)
{
	return flags & QTN_WHOLE ? QTN_WHOLE_ANSWER
				 : MAX(flags >> QTN_EVENTS_SHIFT, 1);
}

static unsigned write_crashes(const struct qtn_part *part, clk_ms now,
			      bool counts, struct qtn_record *records,
			      unsigned room)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < part->n && n < room; i++) {
		const struct qtn_crash *crash = &part->crashes[i];

		if (counts == (crash->added > 0))
			records[n++] = (struct qtn_record){
				part->key, crash->id,
				qtn_crash_flags(crash->events, crash->retry),
				now - crash->at};
	}
	return n;
}

/* Those that count come first, in case there is no room for all. */
static unsigned write_records(const struct qtn_part *part, clk_ms now,
			      struct qtn_record *records, unsigned room)
{
	unsigned n = 0;

	if (part->event_at && now - part->event_at < QTN_CLEARED_SHARED_MS &&
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
	struct qtn_part *part = parts->pdata[index];
	guint i;

	for (i = 0; part->n && i < MIN(index, MAX_EXPLAINING_PARTS); i++) {
		struct qtn_part *heavier = parts->pdata[i];

		if (heavier->weight <= part->weight)
			return false;
		if (!qtn_part_weight_without(part, heavier))
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
	qtn_expire(quarantine, now);
	parts = list_unexplained(quarantine);
	while (suspects < parts->len &&
	       (((struct qtn_part *)parts->pdata[suspects])->n > 1 ||
		((struct qtn_part *)parts->pdata[suspects])->weight >=
			QTN_SUSPECT_WEIGHT))
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

		if (record->age < 0 || record->age >= QTN_EVIDENCE_MS)
			continue;
		if (record->crash)
			qtn_record_crash(quarantine, at, record->part,
					 record->crash, record->flags);
		else
			qtn_clear_parts(quarantine, at, &record->part, 1,
					flagged_events(record->flags));
	}
}
