/* The rules language: errors, lookups, canonical form, differences. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/rules.h>

#include "support/runner.h"

struct bad_line {
	const char *line;
	const char *report; /* of the first problem */
};

static const struct bad_line bad_lines[] = {
	{"route org=a model=m",
	 "1:20: no requester at the end of the line; write \"# name\""},
	{"route org=a model=m #",
	 "1:22: no requester at the end of the line; write \"# name\""},
	{"rout org=a model=m # Ann",
	 "1:1: unknown kind of line: \"rout\"; write \"route\""},
	{"xyzzy org=a # Ann", "1:1: unknown kind of line: \"xyzzy\""},
	{"route org=a model=m deadlin=2s # Ann",
	 "1:21: unknown attribute in \"route\": \"deadlin\"; write "
	 "\"deadline\""},
	{"route org=a model=m deadline=2 # Ann",
	 "1:30: deadline needs a unit: \"2\"; write \"2s\""},
	{"route org=a model=m deadline=2sec # Ann",
	 "1:30: deadline needs a unit: \"2sec\"; write \"2s\""},
	{"route org=a model=m deadline=0.5ms # Ann",
	 "1:30: deadline is not a whole number of milliseconds: \"0.5ms\""},
	{"route org=a model=m deadline=61min # Ann",
	 "1:30: deadline is out of range 1ms to 60min: \"61min\""},
	{"route org=a model=m rate=10 # Ann",
	 "1:26: rate needs a unit: \"10\"; write \"10/s\""},
	{"route org=a model=m rate=fast # Ann",
	 "1:26: rate needs a number and its unit: \"fast\""},
	{"route org=a model=m rate=0/s # Ann",
	 "1:26: rate is out of range 0.001 to 1000000: \"0/s\""},
	{"route org=a model=m token_rate=500/s # Ann",
	 "1:32: token_rate needs a unit: \"500/s\"; write \"500tok/s\""},
	{"route org=a model=m priority=12 # Ann",
	 "1:30: priority is out of range 0 to 9: \"12\""},
	{"route org=a model=m weight=1.5 # Ann",
	 "1:28: weight needs a whole number: \"1.5\""},
	{"route org=a model=m weight=99999999999999999999 # Ann",
	 "1:28: weight needs a whole number: \"99999999999999999999\""},
	{"route org=a service=s repeat=true # Ann",
	 "1:30: repeat must be yes or no: \"true\"; write \"yes\""},
	{"route org=a model # Ann",
	 "1:13: attribute has no value: \"model\"; write \"model=\""},
	{"route org=a org=b model=m # Ann",
	 "1:13: duplicate attribute: \"org\""},
	{"route org=a # Ann",
	 "1:1: \"model\" or \"service\" is missing: \"route\""},
	{"route model=m # Ann",
	 "1:1: \"org\" is missing: \"route\"; write \"route org=\""},
	{"route org=a model=m service=s # Ann",
	 "1:29: both \"model\" and \"service\" in one line: \"s\""},
	{"route org=a service=s token_rate=5tok/s # Ann",
	 "1:34: \"token_rate\" has no effect on a service: \"5tok/s\""},
	{"route org=a,,b model=m # Ann", "1:13: org is empty"},
	{"route org=a,b,a model=m # Ann", "1:15: org is listed twice: \"a\""},
	{"route org=a,any model=m # Ann",
	 "1:13: \"any\" is not allowed in a list: \"any\""},
	{"route org=a#b model=m # Ann",
	 "1:12: character not allowed in org: \"#\""},
	{"route org=a model=m to=any # Ann",
	 "1:24: to needs one name: \"any\""},
	{"deny org=a model=m weight=2 # Ann",
	 "1:20: attribute not allowed in \"deny\": \"weight\""},
	{"target # Ann", "1:1: target's name is missing: \"target\""},
	{"target e1 # Ann", "1:1: line has no attribute: \"target\""},
	{"target e1 fencing=maybe # Ann",
	 "1:19: fencing must be yes or no: \"maybe\""},
	{"load e1 model=m # Ann",
	 "1:1: \"version\" is missing: \"load\"; write \"load version=\""},
	{"load e1 model=any version=2 # Ann",
	 "1:15: \"load\" needs one model: \"any\""},
	{"route org=\xc3\xa5\xc3\xa4 model=m rate=1 # Ann",
	 "1:27: rate needs a unit: \"1\"; write \"1/s\""},
	{"route org=\xff model=m # Ann",
	 "1:11: invalid UTF-8: \"\xef\xbf\xbd\""},
	{"route org=a\x01 model=m # Ann",
	 "1:12: control character: \"U+0001\""},
	{"route org=a model=m # Ann\r", "1:26: control character: \"U+000D\""},
	{"route org=a\xe2\x80\xae model=m # Ann",
	 "1:12: control character: \"U+202E\""},
};

/* Guards against wrong positions, texts and suggestions in reports. */
START_TEST(bad_line_is_reported_at_its_place)
{
	const struct bad_line *bad = &bad_lines[_i];
	GPtrArray *problems = rul_problems_new();
	GString *report = g_string_new(NULL);
	GError *error = NULL;

	ck_assert_ptr_null(
		rul_set_parse(bad->line, strlen(bad->line), problems, &error));
	ck_assert_uint_eq(problems->len, 1);
	rul_problem_write(problems->pdata[0], report);
	ck_assert_str_eq(report->str, bad->report);
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_RULES));
	g_error_free(error);
	g_string_free(report, TRUE);
	g_ptr_array_unref(problems);
}
END_TEST

static char *report_all(const char *text)
{
	GPtrArray *problems = rul_problems_new();
	GString *report = g_string_new(NULL);
	guint i;

	rul_set_drop(rul_set_parse(text, strlen(text), problems, NULL));
	for (i = 0; i < problems->len; i++) {
		rul_problem_write(problems->pdata[i], report);
		g_string_append_c(report, '\n');
	}
	g_ptr_array_unref(problems);
	return g_string_free(report, FALSE);
}

/* Guards against a report that stops at the first error. */
START_TEST(all_problems_of_a_file_are_reported)
{
	char *report = report_all("route org=a model=m rate=1 weight=x # A\n"
				  "\n"
				  "deny org=a model=m\n"
				  "# free comment\n"
				  "lod e1 model=m version=1 # B\n");

	ck_assert_str_eq(report,
			 "1:26: rate needs a unit: \"1\"; write \"1/s\"\n"
			 "1:35: weight needs a whole number: \"x\"\n"
			 "3:19: no requester at the end of the line; write "
			 "\"# name\"\n"
			 "5:1: unknown kind of line: \"lod\"; write "
			 "\"load\"\n");
	g_free(report);
}
END_TEST

/* Guards against a rule that silently never applies. */
START_TEST(duplicates_and_unreachable_rules_are_reported)
{
	char *report = report_all("route org=a model=m # A\n"
				  "deny org=a model=m # B\n"
				  "route org=b,a model=m # C\n"
				  "route org=b model=m,n # C\n"
				  "route org=a,b model=m # D\n"
				  "target e fencing=yes # A\n"
				  "target e sender=yes # A\n"
				  "load e model=m version=1 # A\n"
				  "load e model=m version=1 wanted=no # A\n");

	ck_assert_str_eq(
		report,
		"2:10: duplicate of line 1: \"a\"\n"
		"3:13: line 1 already matches calls of this organisation to m: "
		"\"a\"\n"
		"5:11: rule is unreachable: line 1 and others match all its "
		"calls: \"a\"\n"
		"7:1: duplicate of line 6: \"target e sender=yes # A\"\n"
		"9:1: duplicate of line 8: \"load e model=m version=1 "
		"wanted=no # A\"\n");
	g_free(report);
}
END_TEST

static const char rules[] =
	"# ice sculptures\n"
	"route  org=any model=any deadline=2000ms # Karin\n"
	"route org=hotel,bakery model=swan to=swan-70b in=uppsala,gavle "
	"on=e1,e2 priority=0 rate=10.50/s token_rate=500tok/s concurrency=4 "
	"weight=3 # Nils\n"
	"route org=hotel model=any deadline=120s # Nils\n"
	"deny\torg=bakery model=any # Nils\n"
	"route org=any service=booking repeat=no # Karin\n"
	"route org=any service=lookup repeat=yes # Karin\n"
	"\n"
	"target e1 fencing=no sender=yes # Karin\n"
	"load e1 model=swan-70b version=3 # Karin\n"
	"load e2 model=swan-70b version=2 wanted=no # Karin\n";

static struct rul_set *parse_valid(const char *text)
{
	GError *error = NULL;
	struct rul_set *set = rul_set_parse(text, strlen(text), NULL, &error);

	ck_assert_msg(set != NULL, "%s", error ? error->message : "no error");
	return set;
}

/* Guards against a less specific rule that wins. */
START_TEST(most_specific_rule_decides)
{
	struct rul_set *set = parse_valid(rules);
	struct wf_policy policy;

	ck_assert(rul_set_lookup(set, WF_CALL_MODEL, "hotel", "swan", &policy));
	ck_assert_uint_eq(policy.rule_line, 3);
	ck_assert_str_eq(policy.target, "swan-70b");
	ck_assert_str_eq(policy.data_centers[1], "gavle");
	ck_assert_str_eq(policy.targets[0], "e1");
	ck_assert(policy.rate == 10.5 && policy.token_rate == 500);
	ck_assert(policy.concurrency == 4 && policy.weight == 3);
	ck_assert(rul_set_lookup(set, WF_CALL_MODEL, "hotel", "x", &policy));
	ck_assert_uint_eq(policy.rule_line, 4);
	ck_assert_str_eq(policy.target, "x");
	ck_assert_int_eq(policy.deadline, 120 * CLK_SECOND);
	ck_assert(rul_set_lookup(set, WF_CALL_MODEL, "other", "x", &policy));
	ck_assert_uint_eq(policy.rule_line, 2);
	ck_assert(policy.repeatable);
	ck_assert_ptr_null(policy.targets);
	rul_set_drop(set);
}
END_TEST

/* Guards against calls allowed without a rule, or repeated by mistake. */
START_TEST(denied_and_unknown_calls_are_refused)
{
	struct rul_set *set = rul_set_keep(parse_valid(rules));
	struct wf_policy policy;

	rul_set_drop(set);
	ck_assert(!rul_set_lookup(set, WF_CALL_MODEL, "bakery", "x", &policy));
	ck_assert_uint_eq(policy.rule_line, 5);
	ck_assert(!rul_set_lookup(set, WF_CALL_SERVICE, "hotel", "x", &policy));
	ck_assert_uint_eq(policy.rule_line, 0);
	ck_assert(
		rul_set_lookup(set, WF_CALL_SERVICE, "a", "booking", &policy));
	ck_assert(!policy.repeatable);
	ck_assert(rul_set_lookup(set, WF_CALL_SERVICE, "a", "lookup", &policy));
	ck_assert(policy.repeatable);
	rul_set_drop(set);
}
END_TEST

START_TEST(targets_and_loads_are_found)
{
	struct rul_set *set = parse_valid(rules);
	struct rul_target target;

	ck_assert(rul_set_find_target(set, "e1", &target));
	ck_assert(target.states_fencing && !target.checks_fencing);
	ck_assert(target.states_sender && target.checks_sender);
	ck_assert(!rul_set_find_target(set, "e2", &target));
	ck_assert_uint_eq(rul_set_n_loads(set), 2);
	ck_assert(rul_set_get_load(set, 0).wanted);
	ck_assert_str_eq(rul_set_get_load(set, 0).version, "3");
	ck_assert(!rul_set_get_load(set, 1).wanted);
	rul_set_drop(set);
}
END_TEST

/* Guards against a canonical form that changes values or is not stable. */
START_TEST(canonical_form_is_stable)
{
	struct rul_set *set = parse_valid(rules);
	GString *first = g_string_new(NULL);
	GString *second = g_string_new(NULL);

	rul_set_write(set, first);
	rul_set_drop(set);
	ck_assert_ptr_nonnull(strstr(first->str, "route org=any model=any "
						 "deadline=2s # Karin\n"));
	ck_assert_ptr_nonnull(strstr(first->str, " rate=10.5/s "));
	ck_assert_ptr_nonnull(strstr(first->str, " deadline=2min # Nils"));
	set = parse_valid(first->str);
	rul_set_write(set, second);
	rul_set_drop(set);
	ck_assert_str_eq(first->str, second->str);
	g_string_free(first, TRUE);
	g_string_free(second, TRUE);
}
END_TEST

/* Guards against files that exhaust the memory. */
START_TEST(size_limits_are_enforced)
{
	size_t len = RUL_MAX_TEXT + 1;
	char *text = g_malloc0(len);
	GPtrArray *problems = rul_problems_new();
	GError *error = NULL;

	ck_assert_ptr_null(rul_set_parse(text, len, NULL, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_TOO_LARGE));
	g_clear_error(&error);
	memset(text, 'x', RUL_MAX_LINE + 1);
	ck_assert_ptr_null(
		rul_set_parse(text, RUL_MAX_LINE + 1, problems, NULL));
	ck_assert_uint_eq(problems->len, 1);
	ck_assert_uint_eq(((struct rul_problem *)problems->pdata[0])->column,
			  RUL_MAX_LINE + 1);
	g_ptr_array_set_size(problems, 0);
	memset(text, '\n', RUL_MAX_TEXT);
	ck_assert_ptr_null(rul_set_parse(text, RUL_MAX_TEXT, problems, NULL));
	ck_assert_uint_eq(problems->len, 1);
	g_ptr_array_set_size(problems, 0);
	for (len = 0; len < RUL_MAX_TEXT; len++)
		text[len] = len & 1 ? '\n' : 'x';
	ck_assert_ptr_null(rul_set_parse(text, 100000, problems, NULL));
	ck_assert_uint_eq(problems->len, RUL_MAX_PROBLEMS + 1);
	g_ptr_array_unref(problems);
	g_free(text);
}
END_TEST

static void check_diff(const char *from, const char *to, const char *expected)
{
	GArray *changes = rul_diff(from, strlen(from), to, strlen(to));
	GString *out = g_string_new(NULL);

	rul_diff_write(changes, 0, out);
	ck_assert_str_eq(out->str, expected);
	g_string_free(out, TRUE);
	g_array_unref(changes);
}

START_TEST(difference_names_added_and_removed_lines)
{
	check_diff("", "", "");
	check_diff("a\nb\n", "a\nb\n", "");
	check_diff("a\nb", "a\nb\n", "");
	check_diff("", "a\n", "+1: a\n");
	check_diff("a\nb\nc\n", "a\nx\nc\n", "-2: b\n+2: x\n");
	check_diff("a\nb\nc\nd\n", "b\nc\nd\na\n", "-1: a\n+4: a\n");
	check_diff("a\na\na\n", "a\na\n", "-3: a\n");
	check_diff("x\na\na\nb\ny\n", "z\na\na\nb\nw\n",
		   "-1: x\n+1: z\n-5: y\n+5: w\n");
}
END_TEST

/* Applies changes to the old text's lines and compares with the new one. */
static void check_replay(char **from, char **to, const GArray *changes)
{
	guint at = 0;
	guint i = 0;
	guint j = 0;

	while (at < changes->len || from[i]) {
		const struct rul_change *change;

		change =
			at < changes->len
				? &g_array_index(changes, struct rul_change, at)
				: NULL;
		if (change && !change->added && change->line == i + 1) {
			i++;
			at++;
		} else if (change && change->added && change->line == j + 1) {
			ck_assert(strlen(to[j]) == change->len);
			j++;
			at++;
		} else {
			ck_assert_ptr_nonnull(from[i]);
			ck_assert_ptr_nonnull(to[j]);
			ck_assert_str_eq(from[i++], to[j++]);
		}
	}
	ck_assert_ptr_null(to[j]);
}

static char *random_text(GRand *rand)
{
	GString *text = g_string_new(NULL);
	int n = g_rand_int_range(rand, 1, 30);

	while (n--)
		g_string_append_printf(text, "%s%d", text->len ? "\n" : "",
				       g_rand_int_range(rand, 0, 12));
	return g_string_free(text, FALSE);
}

/* Guards against matches that cross or skip lines, over random texts. */
START_TEST(applied_difference_gives_the_new_text)
{
	GRand *rand = g_rand_new_with_seed(11);
	unsigned round;

	for (round = 0; round < 2000; round++) {
		char *from = random_text(rand);
		char *to = random_text(rand);
		GArray *changes = rul_diff(from, strlen(from), to, strlen(to));
		char **from_lines = g_strsplit(from, "\n", 0);
		char **to_lines = g_strsplit(to, "\n", 0);

		check_replay(from_lines, to_lines, changes);
		g_strfreev(from_lines);
		g_strfreev(to_lines);
		g_array_unref(changes);
		g_free(from);
		g_free(to);
	}
	g_rand_free(rand);
}
END_TEST

START_TEST(requesters_of_added_lines_are_listed_once)
{
	const char *to = "a # Ann\nb # Bo\n# comment\nc # Ann\n";
	GArray *changes = rul_diff("d # Dan\n", 8, to, strlen(to));
	char *names = rul_diff_requesters(changes);

	ck_assert_str_eq(names, "Ann, Bo");
	g_free(names);
	g_array_unref(changes);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("rules");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, bad_line_is_reported_at_its_place, 0,
			    G_N_ELEMENTS(bad_lines));
	tcase_add_test(tcase, all_problems_of_a_file_are_reported);
	tcase_add_test(tcase, duplicates_and_unreachable_rules_are_reported);
	tcase_add_test(tcase, most_specific_rule_decides);
	tcase_add_test(tcase, denied_and_unknown_calls_are_refused);
	tcase_add_test(tcase, targets_and_loads_are_found);
	tcase_add_test(tcase, canonical_form_is_stable);
	tcase_add_test(tcase, size_limits_are_enforced);
	tcase_add_test(tcase, difference_names_added_and_removed_lines);
	tcase_add_test(tcase, applied_difference_gives_the_new_text);
	tcase_add_test(tcase, requesters_of_added_lines_are_listed_once);
	return sup_run_case("rules", tcase);
}
