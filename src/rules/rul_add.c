#include <string.h>

#include "rul_private.h"

/* The keys of a line, and those that earlier lines have. */
struct overlap {
	unsigned n_keys;
	unsigned n_existing;
	unsigned first_line; /* the earlier line with the first such key */
	const char *org;     /* of that key */
	const char *name;
};

static unsigned line_number(const struct rul_set *set, uint32_t index)
{
	return g_array_index(set->lines, struct rul_line, index).line;
}

static void check_key(const struct rul_set *set, enum wf_call_kind call,
		      const char *org, const char *name,
		      struct overlap *overlap)
{
	const struct rul_index_entry *entry;

	overlap->n_keys++;
	entry = rul_index_find(&set->index, call, org, name);
	if (!entry)
		return;
	if (!overlap->n_existing) {
		overlap->first_line = line_number(set, entry->line);
		overlap->org = org;
		overlap->name = name;
	}
	overlap->n_existing++;
}

/* Calls check_key() for each key, or adds them if overlap is NULL. */
static void for_each_key(struct rul_set *set, const struct rul_line *line,
			 uint32_t line_index, struct overlap *overlap)
{
	static char *any[] = {NULL};
	enum wf_call_kind call = rul_line_call(line);
	char **org = line->orgs ? line->orgs : any;

	do {
		char **name = line->names ? line->names : any;

		do {
			if (overlap)
				check_key(set, call, *org, *name, overlap);
			else
				rul_index_add(&set->index, call, *org, *name,
					      line_index);
		} while (*name && *++name);
	} while (*org && *++org);
}

/* The position of a name inside the list that contains it. */
static struct rul_token find_item(struct rul_token list, const char *name)
{
	size_t len = name ? strlen(name) : 0;
	const char *p = list.at;
	const char *end = list.at + list.len;

	if (!name)
		return list;
	while (p < end) {
		const char *comma = memchr(p, ',', (size_t)(end - p));
		size_t item = (size_t)((comma ? comma : end) - p);

		if (item == len && !memcmp(p, name, len))
			return (struct rul_token){p, len};
		p += item + 1;
	}
	return list;
}

static void report_overlap(struct rul_parser *parser,
			   const struct rul_token *values,
			   const struct overlap *overlap)
{
	struct rul_token at = find_item(values[RUL_ATTR_ORG], overlap->org);

	if (overlap->n_keys == 1)
		rul_report(parser, at, NULL, "duplicate of line %u",
			   overlap->first_line);
	else if (overlap->n_existing == overlap->n_keys)
		rul_report(parser, at, NULL,
			   "rule is unreachable: line %u and others match "
			   "all its calls",
			   overlap->first_line);
	else
		rul_report(parser, at, NULL,
			   "line %u already matches calls of this organisation "
			   "to %s",
			   overlap->first_line,
			   overlap->name ? overlap->name : "any");
}

static bool add_rule(struct rul_parser *parser, const struct rul_line *line,
		     uint32_t line_index, const struct rul_token *values)
{
	struct rul_set *set = parser->set;
	struct overlap overlap = {0};

	for_each_key(set, line, line_index, &overlap);
	if (overlap.n_existing) {
		report_overlap(parser, values, &overlap);
		return false;
	}
	if (set->index.n + overlap.n_keys > RUL_MAX_INDEX_ENTRIES) {
		rul_report(parser, values[RUL_ATTR_ORG], NULL,
			   "more than %u pairs of organisation and name",
			   RUL_MAX_INDEX_ENTRIES);
		return false;
	}
	for_each_key(set, line, line_index, NULL);
	set->n_rules++;
	return true;
}

/* Adds a key of a "target" or "load" line; reports a duplicate. */
static bool add_key(struct rul_parser *parser, GHashTable *keys, char *key,
		    uint32_t line_index)
{
	size_t existing = GPOINTER_TO_SIZE(g_hash_table_lookup(keys, key));
	struct rul_token all = {parser->line, parser->line_len};

	if (existing) {
		rul_report(parser, all, NULL, "duplicate of line %u",
			   line_number(parser->set, (uint32_t)existing - 1));
		return false;
	}
	g_hash_table_insert(keys, key,
			    GSIZE_TO_POINTER((size_t)line_index + 1));
	return true;
}

static bool add_load(struct rul_parser *parser, const struct rul_line *line,
		     uint32_t line_index)
{
	struct rul_set *set = parser->set;
	char *key = g_strjoin(" ", line->subject, line->names[0],
			      line->settings->version, NULL);
	char *copy = rul_arena_copy(&set->arena, key, strlen(key));

	g_free(key);
	if (!add_key(parser, set->load_keys, copy, line_index))
		return false;
	g_array_append_val(set->loads, line_index);
	return true;
}

void rul_add_line(struct rul_parser *parser, struct rul_line *line,
		  const struct rul_token *values)
{
	uint32_t line_index = parser->set->lines->len;
	bool ok;

	if (line->kind == RUL_TARGET)
		ok = add_key(parser, parser->set->targets, line->subject,
			     line_index);
	else if (line->kind == RUL_LOAD)
		ok = add_load(parser, line, line_index);
	else
		ok = add_rule(parser, line, line_index, values);
	if (ok)
		g_array_append_val(parser->set->lines, *line);
}
