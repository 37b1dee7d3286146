#include <string.h>

#include "rul_private.h"

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Takes the next word; false at the end of the text. */
static bool next_word(struct rul_token *rest, struct rul_token *word)
{
	while (rest->len && is_blank(*rest->at)) {
		rest->at++;
		rest->len--;
	}
	*word = (struct rul_token){rest->at, 0};
	while (rest->len && !is_blank(*rest->at)) {
		rest->at++;
		rest->len--;
		word->len++;
	}
	return word->len;
}

static struct rul_token trim(struct rul_token token)
{
	while (token.len && is_blank(*token.at)) {
		token.at++;
		token.len--;
	}
	while (token.len && is_blank(token.at[token.len - 1]))
		token.len--;
	return token;
}

/* Invisible characters would make two different rules look alike. */
static bool is_hidden(gunichar c)
{
	switch (g_unichar_type(c)) {
	case G_UNICODE_CONTROL:
	case G_UNICODE_FORMAT:
	case G_UNICODE_LINE_SEPARATOR:
	case G_UNICODE_PARAGRAPH_SEPARATOR:
		return true;
	default:
		return false;
	}
}

bool rul_check_text(struct rul_parser *parser)
{
	const char *p = parser->line;
	const char *end = parser->line + parser->line_len;

	while (p < end) {
		gunichar c = (unsigned char)*p;
		struct rul_token bad = {p, 1};

		if ((c >= ' ' && c < 0x7f) || c == '\t') {
			p++;
			continue;
		}
		if (c >= 0x80)
			c = g_utf8_get_char_validated(p, end - p);
		if (c == (gunichar)-1 || c == (gunichar)-2) {
			rul_report(parser, bad, NULL, "invalid UTF-8");
			return false;
		}
		bad.len = (size_t)(g_utf8_next_char(p) - p);
		if (is_hidden(c)) {
			rul_report(parser, bad, NULL, "control character");
			return false;
		}
		p += bad.len;
	}
	return true;
}

/* Splits off the requester, which follows a "#" after a blank. */
static bool split_requester(struct rul_parser *parser, struct rul_token *rest,
			    struct rul_token *requester)
{
	struct rul_token end = {rest->at + rest->len, 0};
	size_t i;

	for (i = 1; i < rest->len; i++)
		if (rest->at[i] == '#' && is_blank(rest->at[i - 1]))
			break;
	*requester = end;
	if (i < rest->len) {
		requester->at = rest->at + i + 1;
		requester->len = rest->len - i - 1;
		rest->len = i;
	}
	*requester = trim(*requester);
	if (!requester->len) {
		rul_report(parser, end, "# name",
			   "no requester at the end of the line");
		return false;
	}
	if (requester->len > RUL_MAX_NAME ||
	    memchr(requester->at, '\t', requester->len)) {
		rul_report(parser, *requester, NULL,
			   "requester is longer than %u bytes or has a tab",
			   (unsigned)RUL_MAX_NAME);
		return false;
	}
	return true;
}

static bool parse_kind(struct rul_parser *parser, struct rul_token word,
		       enum rul_kind *kind)
{
	const char *names[RUL_N_KINDS];
	size_t i;

	for (i = 0; i < RUL_N_KINDS; i++) {
		names[i] = rul_kinds[i].name;
		if (!names[i] || !rul_token_is(word, names[i]))
			continue;
		*kind = (enum rul_kind)i;
		return true;
	}
	rul_report(parser, word, rul_nearest(word, names, RUL_N_KINDS),
		   "unknown kind of line");
	return false;
}

/* Finds the attribute that a key names, allowed in this kind of line. */
static bool parse_key(struct rul_parser *parser, enum rul_kind kind,
		      struct rul_token key, enum rul_attr *attr)
{
	const char *names[RUL_N_ATTRS] = {NULL};
	bool known = false;
	size_t i;

	for (i = 0; i < RUL_N_ATTRS; i++) {
		bool is_key = rul_token_is(key, rul_attrs[i].name);

		known |= is_key;
		if (!(rul_kinds[kind].allowed & RUL_ATTR_BIT(i)))
			continue;
		names[i] = rul_attrs[i].name;
		if (!is_key)
			continue;
		*attr = (enum rul_attr)i;
		return true;
	}
	rul_report(parser, key, rul_nearest(key, names, RUL_N_ATTRS),
		   known ? "attribute not allowed in \"%s\""
			 : "unknown attribute in \"%s\"",
		   rul_kinds[kind].name);
	return false;
}

/* Parses one "key=value". */
static bool parse_attribute(struct rul_parser *parser, struct rul_line *line,
			    struct rul_token word, struct rul_token *values)
{
	const char *equals = memchr(word.at, '=', word.len);
	struct rul_token key = word;
	struct rul_token value;
	enum rul_attr attr;

	if (equals)
		key.len = (size_t)(equals - word.at);
	if (!parse_key(parser, line->kind, key, &attr))
		return false;
	if (!equals) {
		char *suggestion = g_strdup_printf("%s=", rul_attrs[attr].name);

		rul_report(parser, word, suggestion, "attribute has no value");
		g_free(suggestion);
		return false;
	}
	if (line->attrs & RUL_ATTR_BIT(attr)) {
		rul_report(parser, key, NULL, "duplicate attribute");
		return false;
	}
	value.at = equals + 1;
	value.len = word.len - key.len - 1;
	line->attrs |= RUL_ATTR_BIT(attr);
	values[attr] = value;
	return rul_parse_value(parser, line, attr, value);
}

static bool check_required(struct rul_parser *parser,
			   const struct rul_line *line, struct rul_token word)
{
	uint32_t missing = rul_kinds[line->kind].required & ~line->attrs;
	bool ok = true;
	size_t i;

	for (i = 0; i < RUL_N_ATTRS; i++) {
		char *suggestion;

		if (!(missing & RUL_ATTR_BIT(i)))
			continue;
		suggestion =
			g_strdup_printf("%s %s=", rul_kinds[line->kind].name,
					rul_attrs[i].name);
		rul_report(parser, word, suggestion, "\"%s\" is missing",
			   rul_attrs[i].name);
		g_free(suggestion);
		ok = false;
	}
	return ok;
}

/* Checks that a route or deny line names either models or services. */
static bool check_match(struct rul_parser *parser, const struct rul_line *line,
			struct rul_token word, const struct rul_token *values)
{
	bool model = line->attrs & RUL_ATTR_BIT(RUL_ATTR_MODEL);
	bool service = line->attrs & RUL_ATTR_BIT(RUL_ATTR_SERVICE);

	if (!model && !service) {
		rul_report(parser, word, NULL,
			   "\"model\" or \"service\" is missing");
		return false;
	}
	if (model && service) {
		rul_report(parser, values[RUL_ATTR_SERVICE], NULL,
			   "both \"model\" and \"service\" in one line");
		return false;
	}
	if (service && line->attrs & RUL_ATTR_BIT(RUL_ATTR_TOKEN_RATE)) {
		rul_report(parser, values[RUL_ATTR_TOKEN_RATE], NULL,
			   "\"token_rate\" has no effect on a service");
		return false;
	}
	return true;
}

static bool check_line(struct rul_parser *parser, const struct rul_line *line,
		       struct rul_token word, const struct rul_token *values)
{
	if (!check_required(parser, line, word))
		return false;
	switch (line->kind) {
	case RUL_ROUTE:
	case RUL_DENY:
		return check_match(parser, line, word, values);
	case RUL_TARGET:
		if (line->attrs)
			return true;
		rul_report(parser, word, NULL, "line has no attribute");
		return false;
	case RUL_LOAD:
		if (line->names && !line->names[1])
			return true;
		rul_report(parser, values[RUL_ATTR_MODEL], NULL,
			   "\"load\" needs one model");
		return false;
	default:
		return true;
	}
}

static void init_settings(struct rul_line_settings *settings)
{
	/* Equal settings are found by memcmp(), which reads the padding. */
	memset(settings, 0, sizeof(*settings));
	settings->wanted = true;
	settings->policy.priority = RUL_DEFAULT_PRIORITY;
	settings->policy.deadline = RUL_DEFAULT_DEADLINE;
	settings->policy.weight = RUL_DEFAULT_WEIGHT;
}

static bool parse_subject(struct rul_parser *parser, struct rul_line *line,
			  struct rul_token kind_word, struct rul_token *rest)
{
	struct rul_token word;

	if (!rul_kinds[line->kind].has_subject)
		return true;
	if (!next_word(rest, &word)) {
		rul_report(parser, kind_word, NULL, "target's name is missing");
		return false;
	}
	if (!rul_check_name(parser, word, "target's name"))
		return false;
	line->subject = rul_arena_copy(&parser->set->arena, word.at, word.len);
	return true;
}

static void parse_rule(struct rul_parser *parser, struct rul_token rest)
{
	struct rul_line line = {.line = parser->line_no};
	struct rul_token values[RUL_N_ATTRS] = {{NULL, 0}};
	struct rul_token requester;
	struct rul_token kind_word;
	struct rul_token word;
	bool ok = split_requester(parser, &rest, &requester);

	next_word(&rest, &kind_word);
	if (!parse_kind(parser, kind_word, &line.kind))
		return;
	init_settings(&parser->settings);
	ok &= parse_subject(parser, &line, kind_word, &rest);
	while (next_word(&rest, &word))
		ok &= parse_attribute(parser, &line, word, values);
	/* A word with an error may be the required one; report only that. */
	if (!ok || !check_line(parser, &line, kind_word, values))
		return;
	parser->settings.policy.repeatable =
		line.attrs & RUL_ATTR_BIT(RUL_ATTR_REPEAT)
			? parser->settings.repeat
			: rul_line_call(&line) == WF_CALL_MODEL;
	line.settings = rul_share_settings(parser);
	line.comment = rul_share_text(parser, requester);
	rul_add_line(parser, &line, values);
}

static void add_comment(struct rul_parser *parser, struct rul_token text)
{
	struct rul_line line = {.kind = RUL_COMMENT, .line = parser->line_no};

	line.comment = rul_arena_copy(&parser->set->arena, text.at, text.len);
	g_array_append_val(parser->set->lines, line);
}

void rul_parse_line(struct rul_parser *parser)
{
	struct rul_token all = {parser->line, parser->line_len};

	if (parser->line_len > RUL_MAX_LINE) {
		all.at += RUL_MAX_LINE;
		all.len = 0;
		rul_report(parser, all, NULL, "line is longer than %u bytes",
			   (unsigned)RUL_MAX_LINE);
		return;
	}
	if (!rul_check_text(parser))
		return;
	all = trim(all);
	if (!all.len || *all.at == '#')
		add_comment(parser, all);
	else
		parse_rule(parser, all);
}
