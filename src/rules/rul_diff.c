#include <string.h>

#include "rul_private.h"

#define NO_LINE UINT32_MAX

struct diff_line {
	uint32_t offset;
	uint32_t len;
	uint32_t hash;
};

/* The lines of one text; match is the index of the other text's line. */
struct diff_side {
	const char *text;
	struct diff_line *lines;
	uint32_t *match;
	uint32_t n;
};

/* One distinct line of both texts. */
struct diff_slot {
	uint32_t old_line; /* the last one seen */
	uint32_t new_line;
	uint32_t n_old;
	uint32_t n_new;
};

static uint32_t count_lines(const char *text, size_t len)
{
	const char *end = text + len;
	uint32_t n = 0;

	while (text < end && n < RUL_MAX_LINES) {
		const char *newline = memchr(text, '\n', (size_t)(end - text));

		n++;
		text = newline ? newline + 1 : end;
	}
	return n + (text < end);
}

static void init_side(struct diff_side *side, const char *text, size_t len)
{
	size_t at = 0;
	uint32_t i;

	side->text = text;
	side->n = count_lines(text, len);
	side->lines = g_new0(struct diff_line, side->n);
	side->match = g_new(uint32_t, side->n);
	for (i = 0; i < side->n; i++) {
		struct diff_line *line = &side->lines[i];
		const char *newline = memchr(text + at, '\n', len - at);
		size_t stop = newline ? (size_t)(newline - text) : len;

		/* All text beyond the line limit is one line. */
		if (i == RUL_MAX_LINES)
			stop = len;
		line->offset = (uint32_t)at;
		line->len = (uint32_t)(stop - at);
		line->hash = (uint32_t)wf_hash(text + at, line->len, 0);
		side->match[i] = NO_LINE;
		at = stop + 1;
	}
}

static void clear_side(struct diff_side *side)
{
	g_free(side->lines);
	g_free(side->match);
}

static bool same_line(const struct diff_side *a, uint32_t i,
		      const struct diff_side *b, uint32_t j)
{
	const struct diff_line *left = &a->lines[i];
	const struct diff_line *right = &b->lines[j];

	return left->hash == right->hash && left->len == right->len &&
	       !memcmp(a->text + left->offset, b->text + right->offset,
		       left->len);
}

static void set_match(struct diff_side *old_side, uint32_t i,
		      struct diff_side *new_side, uint32_t j)
{
	old_side->match[i] = j;
	new_side->match[j] = i;
}

/* Extends the matches forward, then backward, over equal adjacent lines. */
static void extend_matches(struct diff_side *a, struct diff_side *b)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < a->n; i++) {
		j = i ? a->match[i - 1] + 1 : 0;
		if (i && a->match[i - 1] == NO_LINE)
			continue;
		if (a->match[i] == NO_LINE && j < b->n &&
		    b->match[j] == NO_LINE && same_line(a, i, b, j))
			set_match(a, i, b, j);
	}
	for (i = a->n; i-- > 0;) {
		j = i + 1 < a->n ? a->match[i + 1] : b->n;
		if (j == NO_LINE || !j || a->match[i] != NO_LINE)
			continue;
		if (b->match[j - 1] == NO_LINE && same_line(a, i, b, j - 1))
			set_match(a, i, b, j - 1);
	}
}

static struct diff_slot *find_slot(struct diff_slot *slots, uint32_t mask,
				   const struct diff_side *old_side,
				   const struct diff_side *new_side,
				   const struct diff_side *side, uint32_t line)
{
	uint32_t at = side->lines[line].hash & mask;

	for (;; at = (at + 1) & mask) {
		struct diff_slot *slot = &slots[at];

		if (!slot->n_old && !slot->n_new)
			return slot;
		if (slot->n_old &&
		    same_line(side, line, old_side, slot->old_line))
			return slot;
		if (slot->n_new &&
		    same_line(side, line, new_side, slot->new_line))
			return slot;
	}
}

/* Fills a table of the distinct lines that have no match yet. */
static struct diff_slot *count_distinct(const struct diff_side *old_side,
					const struct diff_side *new_side)
{
	uint32_t n_slots = 16;
	struct diff_slot *slots;
	struct diff_slot *slot;
	uint32_t i;

	while (n_slots < 2 * (old_side->n + new_side->n))
		n_slots *= 2;
	slots = g_new0(struct diff_slot, n_slots);
	for (i = 0; i < old_side->n; i++) {
		if (old_side->match[i] != NO_LINE)
			continue;
		slot = find_slot(slots, n_slots - 1, old_side, new_side,
				 old_side, i);
		slot->old_line = i;
		slot->n_old++;
	}
	for (i = 0; i < new_side->n; i++) {
		if (new_side->match[i] != NO_LINE)
			continue;
		slot = find_slot(slots, n_slots - 1, old_side, new_side,
				 new_side, i);
		slot->new_line = i;
		slot->n_new++;
	}
	return slots;
}

/* For each line that occurs once in both texts its new index, else NO_LINE. */
static uint32_t *find_unique(const struct diff_side *old_side,
			     const struct diff_side *new_side)
{
	struct diff_slot *slots = count_distinct(old_side, new_side);
	uint32_t *unique = g_new(uint32_t, old_side->n);
	uint32_t n_slots = 16;
	uint32_t i;

	while (n_slots < 2 * (old_side->n + new_side->n))
		n_slots *= 2;
	for (i = 0; i < old_side->n; i++)
		unique[i] = NO_LINE;
	for (i = 0; i < n_slots; i++)
		if (slots[i].n_old == 1 && slots[i].n_new == 1)
			unique[slots[i].old_line] = slots[i].new_line;
	g_free(slots);
	return unique;
}

/*
 * Matches the longest increasing subsequence of the unique lines (patience
 * sorting), so that matches never cross.
 */
static void match_unique(struct diff_side *old_side, struct diff_side *new_side)
{
	uint32_t *unique = find_unique(old_side, new_side);
	uint32_t *pile_tops = g_new(uint32_t, old_side->n + 1);
	uint32_t *previous = g_new(uint32_t, old_side->n + 1);
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < old_side->n; i++) {
		uint32_t low = 0;
		uint32_t high = n;

		if (unique[i] == NO_LINE)
			continue;
		while (low < high) {
			uint32_t middle = low + (high - low) / 2;

			if (unique[pile_tops[middle]] < unique[i])
				low = middle + 1;
			else
				high = middle;
		}
		previous[i] = low ? pile_tops[low - 1] : NO_LINE;
		pile_tops[low] = i;
		n = MAX(n, low + 1);
	}
	for (i = n ? pile_tops[n - 1] : NO_LINE; i != NO_LINE; i = previous[i])
		set_match(old_side, i, new_side, unique[i]);
	g_free(unique);
	g_free(pile_tops);
	g_free(previous);
}

/* Matches the common lines at the start and the end of the texts. */
static void match_common_ends(struct diff_side *a, struct diff_side *b)
{
	uint32_t shorter = MIN(a->n, b->n);
	uint32_t first = 0;
	uint32_t last = 0;

	while (first < shorter && same_line(a, first, b, first)) {
		set_match(a, first, b, first);
		first++;
	}
	while (last < shorter - first &&
	       same_line(a, a->n - last - 1, b, b->n - last - 1)) {
		set_match(a, a->n - last - 1, b, b->n - last - 1);
		last++;
	}
}

static void add_change(GArray *changes, const struct diff_side *side,
		       uint32_t line, bool added)
{
	struct rul_change change = {
		.added = added,
		.line = line + 1,
		.text = side->text + side->lines[line].offset,
		.len = side->lines[line].len,
	};

	g_array_append_val(changes, change);
}

static GArray *collect_changes(const struct diff_side *old_side,
			       const struct diff_side *new_side)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct rul_change));
	uint32_t i = 0;
	uint32_t j = 0;

	while (i < old_side->n || j < new_side->n) {
		if (i < old_side->n && old_side->match[i] == NO_LINE)
			add_change(changes, old_side, i++, false);
		else if (j < new_side->n && new_side->match[j] == NO_LINE)
			add_change(changes, new_side, j++, true);
		else {
			i++;
			j++;
		}
	}
	return changes;
}

GArray *rul_diff(const char *old_text, size_t old_len, const char *new_text,
		 size_t new_len)
{
	struct diff_side old_side;
	struct diff_side new_side;
	GArray *changes;

	init_side(&old_side, old_text, old_len);
	init_side(&new_side, new_text, new_len);
	match_common_ends(&old_side, &new_side);
	match_unique(&old_side, &new_side);
	extend_matches(&old_side, &new_side);
	changes = collect_changes(&old_side, &new_side);
	clear_side(&old_side);
	clear_side(&new_side);
	return changes;
}

void rul_diff_write(const GArray *changes, size_t max_lines, GString *out)
{
	size_t n = changes->len;
	size_t i;

	if (max_lines)
		n = MIN(n, max_lines);
	for (i = 0; i < n; i++) {
		const struct rul_change *change;

		change = &g_array_index(changes, struct rul_change, i);
		g_string_append_printf(out, "%c%u: ", change->added ? '+' : '-',
				       change->line);
		g_string_append_len(out, change->text, (gssize)change->len);
		g_string_append_c(out, '\n');
	}
	if (n < changes->len)
		g_string_append_printf(out, "%" G_GSIZE_FORMAT " more\n",
				       changes->len - n);
}

/* Appends the requester of one line if it is new and there is room. */
static void add_requester(GHashTable *seen, GString *out,
			  const struct rul_change *change)
{
	const char *end = change->text + change->len;
	const char *p = change->text;
	char *requester;

	while (p < end && !(*p == '#' && p > change->text))
		p++;
	if (p == end || *change->text == '#')
		return;
	requester = g_strstrip(g_strndup(p + 1, (gsize)(end - p - 1)));
	if (!g_hash_table_contains(seen, requester) &&
	    out->len + strlen(requester) + 2 <= RUL_MAX_NAME) {
		if (out->len)
			g_string_append(out, ", ");
		g_string_append(out, requester);
	}
	g_hash_table_add(seen, requester);
}

char *rul_diff_requesters(const GArray *changes)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *out = g_string_new(NULL);
	guint i;

	for (i = 0; i < changes->len; i++) {
		const struct rul_change *change;

		change = &g_array_index(changes, struct rul_change, i);
		if (change->added)
			add_requester(seen, out, change);
	}
	g_hash_table_unref(seen);
	return g_string_free(out, FALSE);
}
