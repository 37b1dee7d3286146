/*
 * Runs "wagtailferry config check" on files. Guards against fields that
 * instances read otherwise than they are written and that pass unnoticed, and
 * against keys in the output.
 */

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include <wagtailferry/catalog_check.h>

#include "platform/ptf.h"
#include "support/runner.h"

#define KEY "kezgrnahfrovpj"
#define ROUTE(path, more)                         \
	"{\"host\":\"A\",\"path-prefix\":\"" path \
	"\",\"type\":\"idempotent\",\"service\":\"s\"" more "}"
#define CONFIG(version, routes, org, more)                                \
	"{\"version\":" version ",\"routes\":[" routes                    \
	"],\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"" org \
	"\",\"api-keys\":[\"" KEY "\"]}]" more "}"

static char *folder;
static char *path;
static char *in_force;
static char *out;
static char *err;

static void setup(void)
{
	folder = g_dir_make_tmp("wagtailferry-XXXXXX", NULL);
	path = g_build_filename(folder, "new", NULL);
	in_force = g_build_filename(folder, "in-force", NULL);
}

static void teardown(void)
{
	unlink(path);
	unlink(in_force);
	rmdir(folder);
	g_free(path);
	g_free(in_force);
	g_free(folder);
	g_free(out);
	g_free(err);
	out = NULL;
	err = NULL;
}

static int run(const char *first, const char *second, const char *third)
{
	const char *build = g_getenv("WF_BUILD");
	char *tool =
		g_build_filename(build ? build : "build", "wagtailferry", NULL);
	char *argv[] = {tool,	       "config",       "check",	      "--json",
			(char *)first, (char *)second, (char *)third, NULL};
	GError *error = NULL;
	int status;

	g_free(out);
	g_free(err);
	ck_assert_msg(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				   NULL, &out, &err, &status, &error),
		      "%s", error ? error->message : "");
	g_free(tool);
	ck_assert(WIFEXITED(status));
	ck_assert_msg(!strstr(out, KEY) && !strstr(err, KEY), "key shown: %s%s",
		      out, err);
	return WEXITSTATUS(status);
}

static const char *text_of(const json_t *object, const char *key)
{
	return json_string_value(json_object_get(object, key));
}

/* Checks the only problem that was printed as JSON. */
static void expect_problem(const char *kind, const char *where, int line,
			   const char *message)
{
	json_t *root = json_loads(out, 0, NULL);
	json_t *list = json_object_get(root, "problems");
	json_t *problem = json_array_get(list, 0);

	ck_assert_msg(json_array_size(list) == 1, "%s", out);
	ck_assert(json_is_false(json_object_get(root, "valid")));
	ck_assert_str_eq(text_of(problem, "kind"), kind);
	ck_assert_pstr_eq(text_of(problem, "path"), where);
	ck_assert_int_eq(json_integer_value(json_object_get(problem, "line")),
			 line);
	ck_assert_msg(strstr(text_of(problem, "message"), message) != NULL,
		      "%s", out);
	json_decref(root);
}

static const struct {
	const char *text;
	const char *kind;
	const char *where;
	int line;
	const char *message;
} refused[] = {
	{"{\"version\":1,\n\"" KEY "\" \"" KEY "\"}", "error", NULL, 2,
	 "':' expected"},
	{CONFIG("1", "", "t", ",\n\n\"routes\":[]"), "error", NULL, 3,
	 "duplicate"},
	{CONFIG("\"1\"", "", "t", ""), "error", "version", 0, "an integer"},
	{CONFIG("1", ROUTE("/", "") "," ROUTE("/", ""), "t", ""),
	 "never_matches", "routes[1]", 0, "routes[0] has the same"},
	{CONFIG("1", ROUTE("/a", ""), "t", ""), "error", "routes[0]", 0,
	 "instances leave it out"},
	{CONFIG("1", "{\"type\":\"x\",\"host\":\"h\",\"path-prefix\":\"/\"}",
		"t", ""),
	 "error", "routes[0].type", 0, "expected"},
	{CONFIG("1", ROUTE("/", ",\"public\":\"yes\""), "t", ""), "error",
	 "routes[0].public", 0, "true or false"},
	{CONFIG("1", ROUTE("/", ",\"slo-ms\":1.5"), "t", ""), "error",
	 "routes[0].slo-ms", 0, "not whole"},
	{CONFIG("1", ROUTE("/", ",\"priority\":1e7"), "t", ""), "error",
	 "routes[0].priority", 0, "too large"},
	{CONFIG("1", ROUTE("/", ",\"split\":[]"), "t", ""), "never_matches",
	 "routes[0].split", 0, "is used instead"},
	{CONFIG("1", "", "t", ",\"limits\":{\"header-timeout-ms\":-1}"),
	 "error", "limits.header-timeout-ms", 0, "negative"},
	{CONFIG("1", "",
		"u\",\"api-keys\":[\"other\",\"" KEY "\"]},"
		"{\"name\":\"v",
		""),
	 "never_matches", "tenants[0].api-keys[1]", 0,
	 "key kezg... is held again at tenants[1].api-keys[0]"},
	{CONFIG("1", "", "t\",\"priority\":\"high", ""), "error",
	 "tenants[0].priority", 0, "a number"},
};

/* Guards against a problem that is missed or has the wrong place. */
START_TEST(problem_is_reported_with_its_place)
{
	ck_assert(g_file_set_contents(path, refused[_i].text, -1, NULL));
	ck_assert_int_eq(run(path, NULL, NULL), 1);
	expect_problem(refused[_i].kind, refused[_i].where, refused[_i].line,
		       refused[_i].message);
}
END_TEST

/* Guards against a message of the parser that quotes a key. */
START_TEST(syntax_problem_does_not_quote_the_text)
{
	static const char text[] = "[\"" KEY "\" \"" KEY "\"]";
	GPtrArray *problems = chk_problems_new();
	const struct chk_problem *problem;

	ck_assert_ptr_null(ptf_read_spec(text, strlen(text), problems));
	ck_assert_uint_eq(problems->len, 1);
	problem = problems->pdata[0];
	ck_assert_ptr_null(strstr(problem->message, KEY));
	g_ptr_array_unref(problems);
}
END_TEST

/* Guards against a correct configuration that is refused, and against a key
 * that changes hands unnoticed. */
START_TEST(differences_alone_exit_with_0)
{
	ck_assert(g_file_set_contents(
		path, CONFIG("2", ROUTE("/", ""), "new", ""), -1, NULL));
	ck_assert(g_file_set_contents(
		in_force, CONFIG("1", ROUTE("/", ""), "old", ""), -1, NULL));
	ck_assert_int_eq(run(path, NULL, NULL), 0);
	ck_assert_str_eq(out,
			 "{\"valid\":true,\"version\":2,\"problems\":[]}\n");
	ck_assert_int_eq(run(path, "--in-force", in_force), 0);
	ck_assert_msg(strstr(out, "\"name\":\"kezg...\",\"detail\":\"given to "
				  "new\",\"taken_from\":\"old\"") != NULL,
		      "%s", out);
	ck_assert_int_eq(run(in_force, "--in-force", path), 1);
	expect_problem("contradiction", "version", 0, "below");
}
END_TEST

/* Guards against control characters of a name that reach a terminal. */
START_TEST(text_has_no_control_characters)
{
	char *command = g_strdup_printf(
		"%s/wagtailferry config check %s",
		g_getenv("WF_BUILD") ? g_getenv("WF_BUILD") : "build", path);
	int status;

	ck_assert(g_file_set_contents(
		path, CONFIG("2", "", "t\\u001b\\n\"},{\"name\":\"u", ""), -1,
		NULL));
	ck_assert(
		g_spawn_command_line_sync(command, &out, &err, &status, NULL));
	ck_assert_int_eq(WEXITSTATUS(status), 1);
	ck_assert_str_eq(out, "");
	ck_assert_msg(g_str_has_suffix(err, "never_matches: organisation t??: "
					    "it has no key\n"),
		      "%s", err);
	ck_assert_ptr_null(strchr(err, '\033'));
	g_free(command);
}
END_TEST

/* Guards against a file that was not read and passes as correct. */
START_TEST(unreadable_files_and_wrong_usage_exit_with_2)
{
	ck_assert_int_eq(run(path, NULL, NULL), 2);
	ck_assert(
		g_file_set_contents(path, CONFIG("2", "", "t", ""), -1, NULL));
	ck_assert_int_eq(run(path, "--in-force", in_force), 2);
	ck_assert(g_file_set_contents(in_force, "[]", -1, NULL));
	ck_assert_int_eq(run(path, "--in-force", in_force), 2);
	ck_assert_int_eq(run(path, in_force, NULL), 2);
	ck_assert_int_eq(run(path, "--store", "127.0.0.1:1"), 2);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("config_check");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, problem_is_reported_with_its_place, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_test(tcase, syntax_problem_does_not_quote_the_text);
	tcase_add_test(tcase, differences_alone_exit_with_0);
	tcase_add_test(tcase, text_has_no_control_characters);
	tcase_add_test(tcase, unreadable_files_and_wrong_usage_exit_with_2);
	return sup_run_case("config_check", tcase);
}
