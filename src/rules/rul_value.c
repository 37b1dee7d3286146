#include <string.h>

#include "rul_private.h"

/* Limits how many index entries one line can add. */
#define LIST_MAX 256

/* Limit of digits before the point, so that numbers cannot overflow. */
#define NUMBER_MAX_DIGITS 10

static void *field_of(struct rul_parser *parser, struct rul_line *line,
		      enum rul_attr attr)
{
	if (rul_attrs[attr].in_line)
		return (char *)line + rul_attrs[attr].offset;
	return (char *)&parser->settings + rul_attrs[attr].offset;
}

bool rul_check_name(struct rul_parser *parser, struct rul_token name,
		    const char *what)
{
	size_t i;

	if (!name.len) {
		rul_report(parser, name, NULL, "%s is empty", what);
		return false;
	}
	if (name.len > RUL_MAX_NAME) {
		rul_report(parser, name, NULL, "%s is longer than %u bytes",
			   what, (unsigned)RUL_MAX_NAME);
		return false;
	}
	for (i = 0; i < name.len; i++) {
		struct rul_token bad = {name.at + i, 1};

		if (!strchr("=,\"#", name.at[i]))
			continue;
		rul_report(parser, bad, NULL, "character not allowed in %s",
			   what);
		return false;
	}
	return true;
}

/* The next item of a comma-separated list; false at its end. */
static bool next_item(struct rul_token *rest, struct rul_token *item)
{
	const char *comma;

	if (!rest->at)
		return false;
	*item = *rest;
	comma = memchr(rest->at, ',', rest->len);
	if (!comma) {
		rest->at = NULL;
		return true;
	}
	item->len = (size_t)(comma - rest->at);
	rest->len -= item->len + 1;
	rest->at = comma + 1;
	return true;
}

static bool check_item(struct rul_parser *parser, GPtrArray *seen,
		       struct rul_token item, const char *what)
{
	char *copy;
	guint i;

	if (!rul_check_name(parser, item, what))
		return false;
	if (rul_token_is(item, "any")) {
		rul_report(parser, item, NULL,
			   "\"any\" is not allowed in a list");
		return false;
	}
	for (i = 0; i < seen->len; i++) {
		if (!rul_token_is(item, seen->pdata[i]))
			continue;
		rul_report(parser, item, NULL, "%s is listed twice", what);
		return false;
	}
	copy = rul_arena_copy(&parser->set->arena, item.at, item.len);
	g_ptr_array_add(seen, copy);
	return true;
}

static bool parse_list(struct rul_parser *parser, char ***out,
		       struct rul_token value, const char *what)
{
	GPtrArray *items = g_ptr_array_new();
	struct rul_token rest = value;
	struct rul_token item;
	bool ok = true;

	while (ok && next_item(&rest, &item)) {
		ok = check_item(parser, items, item, what);
		if (ok && items->len > LIST_MAX) {
			rul_report(parser, item, NULL,
				   "more than %d entries in %s", LIST_MAX,
				   what);
			ok = false;
		}
	}
	if (ok) {
		size_t bytes = items->len * sizeof(char *);

		*out = rul_arena_alloc(&parser->set->arena,
				       bytes + sizeof(char *));
		memcpy(*out, items->pdata, bytes);
	}
	g_ptr_array_unref(items);
	return ok;
}

/*
 * Reads a decimal number with up to three decimal places as thousandths.
 * Returns the number of bytes read, 0 if there is no such number.
 */
static size_t read_thousandths(struct rul_token value, uint64_t *out)
{
	uint64_t number = 0;
	size_t i = 0;
	unsigned places = 0;

	while (i < value.len && g_ascii_isdigit(value.at[i]))
		number = number * 10 + (uint64_t)(value.at[i++] - '0');
	if (!i || i > NUMBER_MAX_DIGITS)
		return 0;
	if (i + 1 < value.len && value.at[i] == '.' &&
	    g_ascii_isdigit(value.at[i + 1])) {
		i++;
		while (i < value.len && g_ascii_isdigit(value.at[i]) &&
		       places < 3) {
			number = number * 10 + (uint64_t)(value.at[i++] - '0');
			places++;
		}
	}
	for (; places < 3; places++)
		number *= 10;
	*out = number;
	return i;
}

/* Reports a number with a missing or wrong unit. */
static bool report_unit(struct rul_parser *parser, struct rul_token value,
			size_t n_digits, const char *unit, const char *what)
{
	char *suggestion = NULL;

	if (n_digits)
		suggestion = g_strdup_printf("%.*s%s", (int)n_digits, value.at,
					     unit);
	rul_report(parser, value, suggestion, "%s needs %s", what,
		   n_digits ? "a unit" : "a number and its unit");
	g_free(suggestion);
	return false;
}

static bool report_range(struct rul_parser *parser, struct rul_token value,
			 enum rul_attr attr, const char *least,
			 const char *most)
{
	rul_report(parser, value, NULL, "%s is out of range %s to %s",
		   rul_attrs[attr].name, least, most);
	return false;
}

static bool parse_duration(struct rul_parser *parser, enum rul_attr attr,
			   struct rul_token value, clk_ms *out)
{
	const struct rul_attr_info *info = &rul_attrs[attr];
	uint64_t number = 0;
	size_t n = read_thousandths(value, &number);
	struct rul_token unit = {value.at + n, value.len - n};
	uint64_t scale;

	if (n && rul_token_is(unit, "ms"))
		scale = 1;
	else if (n && rul_token_is(unit, "s"))
		scale = CLK_SECOND;
	else if (n && rul_token_is(unit, "min"))
		scale = CLK_MINUTE;
	else
		return report_unit(parser, value, n, "s", info->name);
	number *= scale;
	if (number % 1000) {
		rul_report(parser, value, NULL,
			   "%s is not a whole number of milliseconds",
			   info->name);
		return false;
	}
	number /= 1000;
	if (number < info->min || number > info->max)
		return report_range(parser, value, attr, "1ms", "60min");
	*out = (clk_ms)number;
	return true;
}

static bool parse_rate(struct rul_parser *parser, enum rul_attr attr,
		       struct rul_token value, const char *unit_text,
		       double *out)
{
	const struct rul_attr_info *info = &rul_attrs[attr];
	uint64_t number = 0;
	size_t n = read_thousandths(value, &number);
	struct rul_token unit = {value.at + n, value.len - n};

	if (!n || !rul_token_is(unit, unit_text))
		return report_unit(parser, value, n, unit_text, info->name);
	if (number < info->min || number > info->max)
		return report_range(parser, value, attr, "0.001", "1000000");
	*out = (double)number / 1000;
	return true;
}

static bool parse_count(struct rul_parser *parser, enum rul_attr attr,
			struct rul_token value, unsigned *out)
{
	const struct rul_attr_info *info = &rul_attrs[attr];
	uint64_t number = 0;
	size_t n = read_thousandths(value, &number);
	char least[24];
	char most[24];

	if (!n || n != value.len || number % 1000) {
		rul_report(parser, value, NULL, "%s needs a whole number",
			   info->name);
		return false;
	}
	number /= 1000;
	g_snprintf(least, sizeof(least), "%" G_GUINT64_FORMAT, info->min);
	g_snprintf(most, sizeof(most), "%" G_GUINT64_FORMAT, info->max);
	if (number < info->min || number > info->max)
		return report_range(parser, value, attr, least, most);
	*out = (unsigned)number;
	return true;
}

static bool parse_flag(struct rul_parser *parser, enum rul_attr attr,
		       struct rul_token value, bool *out)
{
	static const char *const words[] = {"yes", "no"};
	static const char *const yes[] = {"true", "on", "1"};
	static const char *const no[] = {"false", "off", "0"};
	const char *near = rul_nearest(value, words, G_N_ELEMENTS(words));
	size_t i;

	*out = rul_token_is(value, "yes");
	if (*out || rul_token_is(value, "no"))
		return true;
	for (i = 0; i < G_N_ELEMENTS(yes); i++) {
		if (rul_token_is(value, yes[i]))
			near = "yes";
		if (rul_token_is(value, no[i]))
			near = "no";
	}
	rul_report(parser, value, near, "%s must be yes or no",
		   rul_attrs[attr].name);
	return false;
}

static bool parse_name(struct rul_parser *parser, enum rul_attr attr,
		       struct rul_token value, char **out)
{
	if (!rul_check_name(parser, value, rul_attrs[attr].name))
		return false;
	if (rul_token_is(value, "any")) {
		rul_report(parser, value, NULL, "%s needs one name",
			   rul_attrs[attr].name);
		return false;
	}
	*out = rul_share_text(parser, value);
	return true;
}

/* Parses a list; lines with the same text share the result. */
static bool parse_shared_list(struct rul_parser *parser, enum rul_attr attr,
			      struct rul_token value, char ***out)
{
	char *text = g_strndup(value.at, value.len);
	bool ok = true;

	*out = g_hash_table_lookup(parser->lists, text);
	if (!*out)
		ok = parse_list(parser, out, value, rul_attrs[attr].name);
	if (*out)
		g_hash_table_insert(parser->lists, text, *out);
	else
		g_free(text);
	return ok;
}

bool rul_parse_value(struct rul_parser *parser, struct rul_line *line,
		     enum rul_attr attr, struct rul_token value)
{
	void *field = field_of(parser, line, attr);

	switch (rul_attrs[attr].type) {
	case RUL_TYPE_ANY_LIST:
		if (rul_token_is(value, "any"))
			return true;
		return parse_list(parser, field, value, rul_attrs[attr].name);
	case RUL_TYPE_LIST:
		return parse_shared_list(parser, attr, value, field);
	case RUL_TYPE_NAME:
		return parse_name(parser, attr, value, field);
	case RUL_TYPE_DURATION:
		return parse_duration(parser, attr, value, field);
	case RUL_TYPE_RATE:
		return parse_rate(parser, attr, value, "/s", field);
	case RUL_TYPE_TOKEN_RATE:
		return parse_rate(parser, attr, value, "tok/s", field);
	case RUL_TYPE_COUNT:
		return parse_count(parser, attr, value, field);
	case RUL_TYPE_FLAG:
		return parse_flag(parser, attr, value, field);
	}
	return false;
}
