/* Runs "wagtailferry settings check" on valid and invalid files. */

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "support/runner.h"

#define KEY_A "\"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\""
#define KEY_B "\"Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID\""
#define SETTINGS(id, extra)                                                 \
	"{\"instance\":\"entry-1\",\"data_center\":\"uppsala\","            \
	"\"caller_address\":\"127.0.0.1:0\","                               \
	"\"operator_address\":\"127.0.0.1:0\","                             \
	"\"peer_address\":\"127.0.0.1:0\",\"curve\":{\"secret_key\":" KEY_A \
	",\"public_key\":" KEY_B ",\"peers\":[{\"id\":\"" id                \
	"\",\"public_key\":" KEY_A "}]}," extra                             \
	"\"object_api\":[\"127.0.0.1:9000\"],"                              \
	"\"instance_list\":\"127.0.0.1:9001\"}"

static char *folder;
static char *path;
static char *out;
static char *err;

static void setup(void)
{
	folder = g_dir_make_tmp("wagtailferry-XXXXXX", NULL);
	path = g_build_filename(folder, "settings", NULL);
}

static void teardown(void)
{
	unlink(path);
	rmdir(folder);
	g_free(path);
	g_free(folder);
	g_free(out);
	g_free(err);
	out = NULL;
	err = NULL;
}

static int run(const char *first, const char *second)
{
	const char *build = g_getenv("WF_BUILD");
	char *tool =
		g_build_filename(build ? build : "build", "wagtailferry", NULL);
	char *argv[] = {tool,	       "settings",     "check",
			(char *)first, (char *)second, NULL};
	GError *error = NULL;
	int status;

	g_free(out);
	g_free(err);
	ck_assert_msg(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				   NULL, &out, &err, &status, &error),
		      "%s", error ? error->message : "");
	g_free(tool);
	ck_assert(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static int check_text(const char *text, const char *option)
{
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return run(path, option);
}

/* Checks the only problem that --json printed; key NULL: it has no path. */
static void check_problem(const char *key, const char *message)
{
	json_t *root = json_loads(out, 0, NULL);
	json_t *list = json_object_get(root, "problems");
	json_t *problem = json_array_get(list, 0);
	const char *found = json_string_value(json_object_get(problem, "path"));
	const char *text =
		json_string_value(json_object_get(problem, "message"));

	ck_assert_msg(root != NULL, "no JSON: \"%s\"", out);
	ck_assert(json_is_false(json_object_get(root, "valid")));
	ck_assert_uint_eq(json_array_size(list), 1);
	ck_assert_pstr_eq(found, key);
	ck_assert_msg(text && strstr(text, message), "\"%s\" lacks \"%s\"", out,
		      message);
	json_decref(root);
}

/* Guards against valid settings that are refused or pass without output. */
START_TEST(valid_settings_exit_with_0)
{
	static const char text[] = SETTINGS("entry-2", "");

	ck_assert_int_eq(check_text(text, NULL), 0);
	ck_assert_msg(strstr(out, "is valid: instance entry-1 in data centre "
				  "uppsala\n") != NULL,
		      "\"%s\"", out);
	ck_assert_str_eq(err, "");
	ck_assert_int_eq(check_text(text, "--json"), 0);
	ck_assert_str_eq(out, "{\"valid\":true,\"instance\":\"entry-1\","
			      "\"data_center\":\"uppsala\"}\n");
}
END_TEST

static const struct {
	const char *text;
	const char *key;
	const char *message;
} refused[] = {
	{SETTINGS("entry 2", ""), "curve.peers[0].id", "expected 1 to 128"},
	{SETTINGS("entry-2", "\"drain_limit\":1,"), "drain_limit",
	 "unknown key"},
	{SETTINGS("entry-2", "\"body_limit_bytes\":1,"), "body_limit_bytes",
	 "1 is out of"},
	{SETTINGS("entry-2", "\"tls\":{\"key\":\"k\"},"), "tls.certificate",
	 "missing"},
	{"{\"instance\":", NULL, "line 1"},
};

/* Guards against an exit code of 0 and a message that lacks the bad key. */
START_TEST(invalid_settings_exit_with_1_and_the_path)
{
	const char *key = refused[_i].key ? refused[_i].key : "line 1";

	ck_assert_int_eq(check_text(refused[_i].text, NULL), 1);
	ck_assert_str_eq(out, "");
	ck_assert_msg(g_str_has_prefix(err, path) && strstr(err, key),
		      "\"%s\" lacks \"%s\"", err, key);
	ck_assert_int_eq(check_text(refused[_i].text, "--json"), 1);
	check_problem(refused[_i].key, refused[_i].message);
}
END_TEST

/* Guards against an unreadable file that is taken for valid settings. */
START_TEST(unreadable_file_exits_with_1_and_wrong_usage_with_2)
{
	ck_assert_int_eq(run(path, NULL), 1);
	ck_assert_int_eq(run(path, "--json"), 1);
	ck_assert_msg(strstr(out, "{\"error\":{\"type\":\"io\"") != NULL,
		      "\"%s\"", out);
	ck_assert_int_eq(run(NULL, NULL), 2);
	ck_assert_int_eq(run(path, path), 2);
	ck_assert_int_eq(run(path, "--store=127.0.0.1:1"), 2);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("tool_settings");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, valid_settings_exit_with_0);
	tcase_add_loop_test(tcase, invalid_settings_exit_with_1_and_the_path, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_test(tcase,
		       unreadable_file_exits_with_1_and_wrong_usage_with_2);
	return sup_run_case("tool_settings", tcase);
}
