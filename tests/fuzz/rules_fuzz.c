/* Parses rules files from untrusted bytes: no crash, a stable canonical form.
 */

#include <stdlib.h>
#include <string.h>

#include <wagtailferry/rules.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_round_trip(const struct rul_set *set)
{
	GString *first = g_string_new(NULL);
	GString *second = g_string_new(NULL);
	struct rul_set *again;

	rul_set_write(set, first);
	again = rul_set_parse(first->str, first->len, NULL, NULL);
	/* NULL is allowed: a canonical line may exceed the length limit. */
	if (again) {
		rul_set_write(again, second);
		if (!g_string_equal(first, second))
			abort();
		if (rul_set_n_rules(again) != rul_set_n_rules(set))
			abort();
	}
	rul_set_drop(again);
	g_string_free(first, TRUE);
	g_string_free(second, TRUE);
}

static void check_diff(const char *text, size_t size)
{
	size_t half = size / 2;
	GArray *changes = rul_diff(text, half, text + half, size - half);
	GString *out = g_string_new(NULL);
	char *names = rul_diff_requesters(changes);

	rul_diff_write(changes, 0, out);
	g_string_free(out, TRUE);
	g_array_unref(changes);
	g_free(names);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	GPtrArray *problems = rul_problems_new();
	GString *report = g_string_new(NULL);
	struct rul_set *set = rul_set_parse(text, size, problems, NULL);
	guint i;

	for (i = 0; i < problems->len; i++)
		rul_problem_write(problems->pdata[i], report);
	if (!g_utf8_validate(report->str, (gssize)report->len, NULL))
		abort();
	if (set)
		check_round_trip(set);
	check_diff(text, size);
	rul_set_drop(set);
	g_string_free(report, TRUE);
	g_ptr_array_unref(problems);
	return 0;
}
