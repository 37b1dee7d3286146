/* Runs "wagtailferry explain" on the logs of two edge instances. */

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "support/runner.h"

#define LINE(time, subject, from, to, detail)                                 \
	"{\"time_ms\":" #time ",\"subject\":\"" subject "\",\"from\":\"" from \
	"\",\"to\":\"" to "\",\"detail\":\"" detail "\"}\n"

static const char *const first_log = LINE(1000, "target t9", "in use",
					  "avoided", "reason=too long ago")
	LINE(7000, "target t1", "in use", "avoided",
	     "reason=path_is_stalled") LINE(7010, "target t2", "in use",
					    "avoided", "reason=another target")
		LINE(7050, "config", "present", "in force",
		     "version=4") LINE(7100, "send", "abc", "unknown",
				       "head=t1 status=0 end=2 send=1")
			LINE(7150, "send", "abcd", "unknown",
			     "head=t2 status=0 end=2 send=1")
				LINE(7200, "request abc", "accepted",
				     "streamed",
				     "status=200 target=t3 took_ms=500 "
				     "path=10.0.0.3:1=0-4,10.0.0.5:1=4-8")
					LINE(7300, "target t1", "avoided",
					     "in use",
					     "after the end") "no line of a "
							      "log\n";
static const char *const path_log =
	LINE(500, "target t5", "listed", "taken over", "address=10.0.0.5:1 x=1")
		LINE(500, "target t6", "listed", "taken over",
		     "address=10.0.0.5:11 x=1")
			LINE(7020, "target t5", "in use", "avoided",
			     "reason=no_report_yet")
				LINE(7020, "target t6", "in use", "avoided",
				     "reason=not on the path");
static const char *const second_log =
	LINE(7000, "store", "asked", "failed", "another instance");

static char *folder;
static char *out;

static char *write_log(const char *name, const char *text)
{
	char *path = g_build_filename(folder, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static int explain(const char *id, const char *option)
{
	const char *build = g_getenv("WF_BUILD");
	char *tool =
		g_build_filename(build ? build : "build", "wagtailferry", NULL);
	char *text = g_strconcat(first_log, path_log, NULL);
	char *first = write_log("first", text);
	char *second = write_log("second", second_log);
	char *argv[] = {tool,	"explain",	(char *)id, first,
			second, (char *)option, NULL};
	int status;

	g_free(out);
	ck_assert(g_spawn_sync(NULL, argv, NULL, 0, NULL, NULL, &out, NULL,
			       &status, NULL));
	unlink(first);
	unlink(second);
	g_free(tool);
	g_free(text);
	g_free(first);
	g_free(second);
	return status;
}

static void setup(void)
{
	folder = g_dir_make_tmp("wagtailferry-XXXXXX", NULL);
}

static void teardown(void)
{
	rmdir(folder);
	g_free(folder);
	g_free(out);
	out = NULL;
}

/*
 * Guards against output with lines of other requests, targets or instances,
 * which would point to a wrong cause.
 */
START_TEST(lines_of_the_request_and_its_targets_are_printed)
{
	ck_assert_int_eq(explain("abc", NULL), 0);
	ck_assert_ptr_nonnull(strstr(out, "request abc: accepted -> streamed"));
	ck_assert_ptr_nonnull(strstr(out, "send: abc -> unknown"));
	ck_assert_ptr_nonnull(strstr(out, "target t1: in use -> avoided"));
	ck_assert_ptr_nonnull(strstr(out, "version=4"));
	ck_assert_ptr_nonnull(strstr(out, "target t5: in use -> avoided"));
	ck_assert_ptr_null(strstr(out, "t6"));
	ck_assert_ptr_null(strstr(out, "abcd"));
	ck_assert_ptr_null(strstr(out, "t9"));
	ck_assert_ptr_null(strstr(out, "another target"));
	ck_assert_ptr_null(strstr(out, "after the end"));
	ck_assert_ptr_null(strstr(out, "another instance"));
	ck_assert(strstr(out, "target t1") < strstr(out, "send: abc"));
}
END_TEST

START_TEST(lines_are_printed_as_json)
{
	json_t *root;

	ck_assert_int_eq(explain("abc", "--json"), 0);
	root = json_loads(out, 0, NULL);
	ck_assert_uint_eq(json_array_size(json_object_get(root, "lines")), 5);
	json_decref(root);
}
END_TEST

START_TEST(unknown_request_is_refused)
{
	ck_assert_int_ne(explain("none", NULL), 0);
	ck_assert_str_eq(out, "");
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("tool_explain");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, lines_of_the_request_and_its_targets_are_printed);
	tcase_add_test(tcase, lines_are_printed_as_json);
	tcase_add_test(tcase, unknown_request_is_refused);
	return sup_run_case("tool_explain", tcase);
}
