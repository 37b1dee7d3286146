#include <string.h>

#include "rul_private.h"

struct rul_set *rul_set_new(void)
{
	struct rul_set *set = g_new0(struct rul_set, 1);

	set->refs = 1;
	rul_arena_init(&set->arena);
	set->lines = g_array_new(FALSE, TRUE, sizeof(struct rul_line));
	set->targets = g_hash_table_new(g_str_hash, g_str_equal);
	set->load_keys = g_hash_table_new(g_str_hash, g_str_equal);
	set->loads = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return set;
}

struct rul_set *rul_set_keep(struct rul_set *set)
{
	set->refs++;
	return set;
}

void rul_set_drop(struct rul_set *set)
{
	if (!set || --set->refs)
		return;
	rul_arena_clear(&set->arena);
	rul_index_clear(&set->index);
	g_array_unref(set->lines);
	g_hash_table_unref(set->targets);
	g_hash_table_unref(set->load_keys);
	g_array_unref(set->loads);
	g_free(set);
}

static const struct rul_line *line_at(const struct rul_set *set, size_t index)
{
	return &g_array_index(set->lines, struct rul_line, index);
}

/* Most specific first: the organisation takes precedence over the name. */
static const struct rul_index_entry *find_rule(const struct rul_set *set,
					       enum wf_call_kind kind,
					       const char *org,
					       const char *name)
{
	const char *const keys[4][2] = {
		{org, name},
		{org, NULL},
		{NULL, name},
		{NULL, NULL},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		const struct rul_index_entry *entry;

		entry = rul_index_find(&set->index, kind, keys[i][0],
				       keys[i][1]);
		if (entry)
			return entry;
	}
	return NULL;
}

bool rul_set_lookup(const struct rul_set *set, enum wf_call_kind kind,
		    const char *org, const char *name, struct wf_policy *out)
{
	const struct rul_index_entry *entry = find_rule(set, kind, org, name);
	const struct rul_line *line;

	memset(out, 0, sizeof(*out));
	if (!entry)
		return false;
	line = line_at(set, entry->line);
	*out = line->settings->policy;
	out->rule_line = line->line;
	if (line->kind == RUL_DENY)
		return false;
	if (!out->target)
		out->target = (char *)(uintptr_t)name;
	return true;
}

bool rul_set_find_target(const struct rul_set *set, const char *target,
			 struct rul_target *out)
{
	size_t number =
		GPOINTER_TO_SIZE(g_hash_table_lookup(set->targets, target));
	const struct rul_line *line;

	memset(out, 0, sizeof(*out));
	if (!number)
		return false;
	line = line_at(set, number - 1);
	out->rule_line = line->line;
	out->states_fencing = line->attrs & RUL_ATTR_BIT(RUL_ATTR_FENCING);
	out->checks_fencing = line->settings->fencing;
	out->states_sender = line->attrs & RUL_ATTR_BIT(RUL_ATTR_SENDER);
	out->checks_sender = line->settings->sender;
	return true;
}

size_t rul_set_n_loads(const struct rul_set *set)
{
	return set->loads->len;
}

struct rul_load rul_set_get_load(const struct rul_set *set, size_t index)
{
	const struct rul_line *line;

	line = line_at(set, g_array_index(set->loads, uint32_t, index));
	return (struct rul_load){
		.rule_line = line->line,
		.target = line->subject,
		.model = line->names[0],
		.version = line->settings->version,
		.wanted = line->settings->wanted,
	};
}

size_t rul_set_n_rules(const struct rul_set *set)
{
	return set->n_rules;
}

/* Parses all lines; a line feed at the end of the text is optional. */
static void parse_lines(struct rul_parser *parser, const char *text, size_t len)
{
	const char *end = text + len;

	while (text < end) {
		const char *newline = memchr(text, '\n', (size_t)(end - text));

		if (parser->line_no == RUL_MAX_LINES) {
			rul_report(parser, (struct rul_token){parser->line, 0},
				   NULL, "more than %u lines", RUL_MAX_LINES);
			return;
		}
		parser->line = text;
		parser->line_len = (size_t)((newline ? newline : end) - text);
		parser->line_no++;
		rul_parse_line(parser);
		text = newline ? newline + 1 : end;
	}
}

static void report_hidden(struct rul_parser *parser)
{
	struct rul_problem *problem;

	if (!parser->n_hidden)
		return;
	problem = g_new0(struct rul_problem, 1);
	problem->line = parser->line_no;
	problem->column = 1;
	problem->text = g_strdup("");
	problem->message = g_strdup_printf("%" G_GSIZE_FORMAT
					   " more problems are not shown",
					   parser->n_hidden);
	g_ptr_array_add(parser->problems, problem);
}

static void set_error(GError **error, const struct rul_parser *parser)
{
	GString *message = g_string_new(NULL);
	guint first = parser->first_problem;

	rul_problem_write(parser->problems->pdata[first], message);
	if (parser->problems->len - first > 1)
		g_string_append_printf(message, " (and %u more)",
				       parser->problems->len - first - 1);
	g_set_error_literal(error, ERR_DOMAIN, ERR_BAD_RULES, message->str);
	g_string_free(message, TRUE);
}

struct rul_set *rul_set_parse(const char *text, size_t len, GPtrArray *problems,
			      GError **error)
{
	struct rul_parser parser = {0};

	if (len > RUL_MAX_TEXT) {
		g_set_error(error, ERR_DOMAIN, ERR_TOO_LARGE,
			    "rules file has %" G_GSIZE_FORMAT
			    " bytes, the limit is %" G_GSIZE_FORMAT,
			    len, RUL_MAX_TEXT);
		return NULL;
	}
	parser.problems =
		problems ? g_ptr_array_ref(problems) : rul_problems_new();
	parser.first_problem = parser.problems->len;
	parser.set = rul_set_new();
	rul_share_init(&parser);
	parse_lines(&parser, text, len);
	rul_share_clear(&parser);
	report_hidden(&parser);
	if (parser.problems->len > parser.first_problem) {
		set_error(error, &parser);
		rul_set_drop(parser.set);
		parser.set = NULL;
	}
	g_ptr_array_unref(parser.problems);
	return parser.set;
}
