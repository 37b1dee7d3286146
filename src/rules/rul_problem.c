#include <stdarg.h>
#include <string.h>

#include "rul_private.h"

/* Longer offending texts are truncated in reports. */
#define PROBLEM_TEXT_BYTES 80

/* No suggestion is made for words longer than this. */
#define NEAREST_MAX_LEN 32

static void problem_free(gpointer data)
{
	struct rul_problem *problem = data;

	g_free(problem->text);
	g_free(problem->message);
	g_free(problem->suggestion);
	g_free(problem);
}

GPtrArray *rul_problems_new(void)
{
	return g_ptr_array_new_with_free_func(problem_free);
}

void rul_problem_write(const struct rul_problem *problem, GString *out)
{
	g_string_append_printf(out, "%u:%u: %s", problem->line, problem->column,
			       problem->message);
	if (*problem->text)
		g_string_append_printf(out, ": \"%s\"", problem->text);
	if (problem->suggestion)
		g_string_append_printf(out, "; write \"%s\"",
				       problem->suggestion);
}

/* Counts characters: all bytes but UTF-8 continuation bytes. */
static unsigned column_of(const struct rul_parser *parser, const char *at)
{
	unsigned column = 1;
	const char *p;

	for (p = parser->line; p < at; p++)
		if (((unsigned char)*p & 0xc0) != 0x80)
			column++;
	return column;
}

static char *printable(struct rul_token token)
{
	GString *text = g_string_new(NULL);
	size_t len = MIN(token.len, PROBLEM_TEXT_BYTES);
	char *valid = g_utf8_make_valid(token.at, (gssize)len);
	const char *p;

	for (p = valid; *p; p = g_utf8_next_char(p)) {
		gunichar c = g_utf8_get_char(p);

		if (g_unichar_isprint(c))
			g_string_append_unichar(text, c);
		else
			g_string_append_printf(text, "U+%04X", c);
	}
	if (token.len > len)
		g_string_append(text, "...");
	g_free(valid);
	return g_string_free(text, FALSE);
}

void rul_report(struct rul_parser *parser, struct rul_token token,
		const char *suggestion, const char *format, ...)
{
	struct rul_problem *problem;
	va_list args;

	if (parser->problems->len - parser->first_problem >= RUL_MAX_PROBLEMS) {
		parser->n_hidden++;
		return;
	}
	problem = g_new0(struct rul_problem, 1);
	problem->line = parser->line_no;
	problem->column = column_of(parser, token.at);
	problem->text = printable(token);
	problem->suggestion = g_strdup(suggestion);
	va_start(args, format);
	problem->message = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(parser->problems, problem);
}

bool rul_token_is(struct rul_token token, const char *word)
{
	return strlen(word) == token.len && !memcmp(token.at, word, token.len);
}

/* Levenshtein distance with one row; both lengths are bounded. */
static size_t edit_distance(struct rul_token a, const char *b, size_t b_len)
{
	size_t row[NEAREST_MAX_LEN + 1];
	size_t i;
	size_t j;

	for (j = 0; j <= b_len; j++)
		row[j] = j;
	for (i = 1; i <= a.len; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (j = 1; j <= b_len; j++) {
			size_t above = row[j];
			size_t cost = a.at[i - 1] != b[j - 1];
			size_t best = MIN(above, row[j - 1]) + 1;

			row[j] = MIN(best, diagonal + cost);
			diagonal = above;
		}
	}
	return row[b_len];
}

const char *rul_nearest(struct rul_token token, const char *const *words,
			size_t n_words)
{
	size_t best = token.len / 3 + 2;
	const char *found = NULL;
	size_t i;

	if (token.len > NEAREST_MAX_LEN)
		return NULL;
	for (i = 0; i < n_words; i++) {
		size_t len = words[i] ? strlen(words[i]) : 0;
		size_t distance;

		if (!len || len > NEAREST_MAX_LEN)
			continue;
		distance = edit_distance(token, words[i], len);
		/* A word with every letter replaced is no typo. */
		if (distance >= best || distance >= len)
			continue;
		best = distance;
		found = words[i];
	}
	return found;
}
