/* Base types: counters, logger, handle tables, error names. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/base.h>

#include "support/runner.h"

/* Guards against a stale handle that resolves to a reused slot. */
START_TEST(handle_of_removed_entry_stays_invalid)
{
	struct tbl_table *table = tbl_new(sizeof(int));
	void *entry;
	tbl_handle first = tbl_add(table, &entry);
	tbl_handle second;

	ck_assert(tbl_remove(table, first));
	second = tbl_add(table, &entry);
	ck_assert_ptr_null(tbl_get(table, first));
	ck_assert_ptr_nonnull(tbl_get(table, second));
	ck_assert(!tbl_remove(table, first));
	ck_assert_uint_eq(tbl_count(table), 1);
	tbl_drop(table);
}
END_TEST

/* Guards against an error code that has no stable name or HTTP status. */
START_TEST(every_error_has_a_name_and_status)
{
	int code;

	for (code = 0; code < ERR_N_CODES; code++) {
		ck_assert_ptr_nonnull(err_name((enum err_code)code));
		ck_assert_int_ge(err_http_status((enum err_code)code), 400);
	}
}
END_TEST

/* Guards against labelled counters that repeat or lose their TYPE line. */
START_TEST(counters_are_written_in_prometheus_form)
{
	struct ctr_set *set = ctr_new();
	GString *text = g_string_new(NULL);

	ctr_add(set, "wf_calls_total{kind=\"service\"}", 2);
	ctr_add(set, "wf_calls_total{kind=\"model\"}", 3);
	ctr_set_gauge(set, "wf_queue", -1);
	ctr_write_text(set, text);
	ck_assert_str_eq(text->str, "# TYPE wf_calls_total counter\n"
				    "wf_calls_total{kind=\"model\"} 3\n"
				    "wf_calls_total{kind=\"service\"} 2\n"
				    "# TYPE wf_queue gauge\n"
				    "wf_queue -1\n");
	g_string_free(text, TRUE);
	ctr_drop(set);
}
END_TEST

static void keep_line(void *user, const char *line)
{
	g_string_assign(user, line);
}

/* Guards against log lines broken by control or invalid bytes. */
START_TEST(log_line_is_valid_json_for_any_bytes)
{
	GString *line = g_string_new(NULL);
	struct log_logger *logger = log_new(keep_line, line);

	log_change(logger, 5, "target \"a\"\n", "live", "\xff", "%d", 7);
	ck_assert_ptr_nonnull(strstr(line->str, "\"time_ms\":5"));
	ck_assert_ptr_nonnull(strstr(line->str, "target \\\"a\\\"\\n"));
	ck_assert_ptr_nonnull(strstr(line->str, "\"detail\":\"7\""));
	log_drop(logger);
	g_string_free(line, TRUE);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("base");

	tcase_add_test(tcase, handle_of_removed_entry_stays_invalid);
	tcase_add_test(tcase, every_error_has_a_name_and_status);
	tcase_add_test(tcase, counters_are_written_in_prometheus_form);
	tcase_add_test(tcase, log_line_is_valid_json_for_any_bytes);
	return sup_run_case("base", tcase);
}
