/* Tests of the fleet: list updates and target selection for plain services. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/core.h>
#include <wagtailferry/fleet.h>

#include "support/fleet.h"
#include "support/runner.h"

static const struct flt_range no_layers = {0, 0};

static struct flt_target *plain_target(const char *id, const char *data_center)
{
	struct flt_target *target = flt_target_new();

	target->id = g_strdup(id);
	target->service = g_strdup("plain");
	target->address = g_strdup_printf("10.0.0.2:%s", id + 1);
	target->data_center = g_strdup(data_center);
	target->slots = 6;
	target->started_at = 1;
	return target;
}

static struct flt_fleet *plain_fleet(void)
{
	struct flt_fleet *fleet = flt_new();

	flt_upsert(fleet, 0, plain_target("p1", "a"));
	flt_upsert(fleet, 0, plain_target("p2", "b"));
	flt_upsert(fleet, 0, plain_target("p3", "c"));
	return fleet;
}

static const char *selected_id(struct flt_fleet *fleet, clk_ms now,
			       const GPtrArray *tried)
{
	struct flt_target *target =
		flt_select_target(fleet, now, "plain", "b", tried, 0);

	return target ? target->id : NULL;
}

/* Observations of a process must not apply to its successor with the same id.
 */
START_TEST(restart_under_the_same_id_is_a_new_process)
{
	struct flt_fleet *fleet = plain_fleet();
	struct flt_target *target = flt_find(fleet, "p1");
	struct flt_target *again = plain_target("p1", "a");

	flt_mark_down(target, 100);
	target->ordered_until = 5000;
	again->started_at = 2;
	flt_upsert(fleet, 200, again);
	ck_assert_ptr_eq(flt_find(fleet, "p1"), target);
	ck_assert_int_eq(target->avoid_until, 0);
	ck_assert_int_eq(target->down_until, 0);
	ck_assert_int_eq(target->ordered_until, 0);
	flt_drop(fleet);
}
END_TEST

/* Guards against requests to a draining target after its grace period. */
START_TEST(draining_target_is_last_choice_until_grace_ends)
{
	struct flt_fleet *fleet = plain_fleet();
	struct flt_target *entry = plain_target("p2", "b");

	ck_assert_str_eq(selected_id(fleet, 0, NULL), "p2");
	entry->state = FLT_DRAINING;
	flt_upsert(fleet, 1000, entry);
	ck_assert_str_ne(selected_id(fleet, 1000, NULL), "p2");
	ck_assert(flt_is_routable(flt_find(fleet, "p2"), 1400));
	ck_assert(!flt_is_routable(flt_find(fleet, "p2"), 2600));
	flt_drop(fleet);
}
END_TEST

/* Guards against a grace period that restarts with each list update. */
START_TEST(grace_starts_when_draining_is_first_seen)
{
	struct flt_fleet *fleet = plain_fleet();
	clk_ms now;

	for (now = 0; now <= 3000; now += 500) {
		struct flt_target *entry = plain_target("p2", "b");

		entry->state = FLT_DRAINING;
		flt_upsert(fleet, now, entry);
	}
	ck_assert(!flt_is_routable(flt_find(fleet, "p2"), 3000));
	flt_drop(fleet);
}
END_TEST

static void list_again(struct flt_fleet *fleet, clk_ms now, int64_t started_at,
		       enum flt_state state)
{
	struct flt_target *entry = plain_target("p2", "b");

	entry->started_at = started_at;
	entry->state = state;
	flt_upsert(fleet, now, entry);
}

/*
 * Guards against requests to a target that has said in an answer that it is
 * leaving, while its entry still says ready, or is written or listed again.
 */
START_TEST(notice_of_leaving_holds_until_a_restart)
{
	struct flt_fleet *fleet = plain_fleet();
	uint64_t revision = flt_revision(fleet);

	ck_assert(flt_mark_leaving(fleet, 1000, "p2", 1));
	ck_assert(!flt_mark_leaving(fleet, 1500, "p2", 1));
	ck_assert_uint_ne(flt_revision(fleet), revision);
	ck_assert_str_ne(selected_id(fleet, 1000, NULL), "p2");
	ck_assert(flt_is_routable(flt_find(fleet, "p2"), 1400));
	list_again(fleet, 1600, 1, FLT_READY);
	list_again(fleet, 1700, 0, FLT_READY);
	list_again(fleet, 1800, 1, FLT_DRAINING);
	ck_assert_int_eq(flt_find(fleet, "p2")->leaving_since, 1000);
	list_again(fleet, 1900, 1, FLT_READY);
	flt_sync_begin(fleet);
	list_again(fleet, 2100, 1, FLT_READY);
	flt_sync_end(fleet, 2100, 0);
	ck_assert(!flt_is_routable(flt_find(fleet, "p2"), 2300));
	flt_remove(fleet, 2300, "p2", 0);
	flt_expire(fleet, 2400);
	list_again(fleet, 60000, 1, FLT_READY);
	ck_assert(!flt_is_routable(flt_find(fleet, "p2"), 60000));
	list_again(fleet, 61000, 2, FLT_READY);
	ck_assert(flt_is_routable(flt_find(fleet, "p2"), 61000));
	ck_assert_int_eq(flt_find(fleet, "p2")->state, FLT_READY);
	flt_drop(fleet);
}
END_TEST

/* Guards against a late answer that excludes the next process with this id. */
START_TEST(notice_of_leaving_concerns_the_process_that_answered)
{
	struct flt_fleet *fleet = plain_fleet();

	list_again(fleet, 1000, 2, FLT_READY);
	ck_assert(!flt_mark_leaving(fleet, 1100, "p2", 1));
	ck_assert(!flt_mark_leaving(fleet, 1100, "p9", 1));
	ck_assert(flt_is_routable(flt_find(fleet, "p2"), 9000));
	/* Removed before the answer arrived, then listed again. */
	flt_remove(fleet, 9100, "p2", 0);
	ck_assert(flt_mark_leaving(fleet, 9200, "p2", 2));
	list_again(fleet, 9300, 2, FLT_READY);
	ck_assert(!flt_is_routable(flt_find(fleet, "p2"), 11000));
	flt_drop(fleet);
}
END_TEST

/* Guards against requests to a target that wants none, as a last resort or
 * after its entry is written or listed again. */
START_TEST(closed_target_is_not_selected_at_all)
{
	struct flt_fleet *fleet = plain_fleet();

	ck_assert(flt_mark_closed(fleet, 1000, "p2", 1, 2000));
	ck_assert_str_ne(selected_id(fleet, 1000, NULL), "p2");
	ck_assert(!flt_mark_closed(fleet, 1100, "p2", 1, 500));
	ck_assert(flt_mark_closed(fleet, 1200, "p1", 1, 4000));
	ck_assert_int_eq(flt_closed_time(fleet, 1200, "plain", 0), 0);
	ck_assert(flt_mark_closed(fleet, 1200, "p3", 1, 4000));
	ck_assert_ptr_null(selected_id(fleet, 1200, NULL));
	ck_assert_int_eq(flt_closed_time(fleet, 1200, "plain", 0), 1800);
	list_again(fleet, 1300, 1, FLT_READY);
	flt_record_response(flt_find(fleet, "p2"), 1400, 5);
	flt_remove(fleet, 1500, "p2", 0);
	list_again(fleet, 1600, 1, FLT_READY);
	ck_assert_ptr_null(selected_id(fleet, 2999, NULL));
	ck_assert_str_eq(selected_id(fleet, 3000, NULL), "p2");
	flt_drop(fleet);
}
END_TEST

/* Guards against a closed time that outlives the process that asked for it. */
START_TEST(restart_opens_a_closed_target)
{
	struct flt_fleet *fleet = plain_fleet();

	ck_assert(flt_mark_closed(fleet, 1000, "p2", 1, 2000));
	list_again(fleet, 1100, 2, FLT_READY);
	ck_assert(!flt_is_closed(flt_find(fleet, "p2"), 1100));
	ck_assert(!flt_mark_closed(fleet, 1200, "p2", 1, 2000));
	ck_assert_str_eq(selected_id(fleet, 1200, NULL), "p2");
	flt_drop(fleet);
}
END_TEST

/* Entries that expire in an outage of the list's source must not remove their
 * targets at once. Those not listed again must be removed at the deadline. */
START_TEST(expired_entries_stay_until_their_deadline)
{
	struct flt_fleet *fleet = plain_fleet();

	flt_remove(fleet, 1000, "p1", 3000);
	flt_remove(fleet, 1000, "p2", 3000);
	flt_remove(fleet, 1000, "p3", 900);
	flt_expire(fleet, 2999);
	ck_assert_ptr_nonnull(flt_find(fleet, "p1"));
	ck_assert_ptr_nonnull(flt_find(fleet, "p2"));
	ck_assert_ptr_null(flt_find(fleet, "p3"));
	flt_upsert(fleet, 2999, plain_target("p1", "a"));
	flt_expire(fleet, 3000);
	ck_assert_ptr_nonnull(flt_find(fleet, "p1"));
	ck_assert_ptr_null(flt_find(fleet, "p2"));
	flt_drop(fleet);
}
END_TEST

/* A target that is marked down must not be kept after its entry expires. */
START_TEST(down_target_is_removed_with_its_entry)
{
	struct flt_fleet *fleet = plain_fleet();

	flt_mark_down(flt_find(fleet, "p1"), 900);
	flt_remove(fleet, 1000, "p1", 3000);
	ck_assert_ptr_null(flt_find(fleet, "p1"));
	flt_drop(fleet);
}
END_TEST

START_TEST(complete_list_removes_missing_targets)
{
	struct flt_fleet *fleet = plain_fleet();

	flt_sync_begin(fleet);
	flt_upsert(fleet, 100, plain_target("p3", "c"));
	flt_sync_end(fleet, 100, 0);
	ck_assert_uint_eq(flt_targets(fleet)->len, 1);
	flt_drop(fleet);
}
END_TEST

START_TEST(selection_weighs_load_failures_and_distance)
{
	struct flt_fleet *fleet = plain_fleet();
	GPtrArray *tried = g_ptr_array_new();
	clk_ms now = 1000;

	ck_assert_str_eq(selected_id(fleet, now, NULL), "p2");
	flt_find(fleet, "p2")->in_flight = 3;
	ck_assert_str_ne(selected_id(fleet, now, NULL), "p2");
	flt_find(fleet, "p2")->in_flight = 0;
	flt_find(fleet, "p2")->others.in_flight = 3;
	ck_assert_str_ne(selected_id(fleet, now, NULL), "p2");
	flt_find(fleet, "p2")->others.in_flight = 0;
	flt_record_failure(flt_find(fleet, "p2"), now);
	ck_assert_str_ne(selected_id(fleet, now, NULL), "p2");
	ck_assert_str_eq(selected_id(fleet, now + 500, NULL), "p2");
	g_ptr_array_add(tried, flt_find(fleet, "p1"));
	g_ptr_array_add(tried, flt_find(fleet, "p2"));
	ck_assert_str_eq(selected_id(fleet, now, tried), "p3");
	g_ptr_array_add(tried, flt_find(fleet, "p3"));
	ck_assert_ptr_null(selected_id(fleet, now, tried));
	g_ptr_array_unref(tried);
	flt_drop(fleet);
}
END_TEST

/* Guards against treating a refusal for lack of capacity as a failure: all
 * instances then stopped using the engines of a whole data centre. */
START_TEST(full_target_is_not_marked_down)
{
	struct flt_fleet *fleet = plain_fleet();
	struct flt_target *target = flt_find(fleet, "p1");

	flt_mark_full(target, 1000);
	ck_assert_int_gt(target->avoid_until, 1000);
	ck_assert_int_le(target->avoid_until, 1500);
	ck_assert_int_eq(target->down_until, 0);
	flt_drop(fleet);
}
END_TEST

/* Guards against runs on a silent target that count as ended. */
START_TEST(silent_target_has_not_ended)
{
	struct flt_fleet *fleet = plain_fleet();
	struct flt_target *target = flt_find(fleet, "p1");

	flt_mark_down(target, 1000);
	ck_assert(!flt_has_ended(target, 1001));
	flt_mark_ended(target, 1000);
	ck_assert(flt_has_ended(target, 1001));
	ck_assert_int_gt(target->down_until, 1001);
	flt_mark_up(target);
	ck_assert(!flt_has_ended(target, 1001));
	flt_mark_ended(target, 2000);
	flt_mark_down(target, 60000);
	ck_assert(!flt_has_ended(target, 60001));
	flt_drop(fleet);
}
END_TEST

START_TEST(targets_are_found_by_address_and_hash)
{
	struct flt_fleet *fleet = plain_fleet();

	sup_list_engine(fleet, 0, "e5", "a", "large", no_layers);
	ck_assert_str_eq(flt_find_by_address(fleet, "10.0.0.1:5")->id, "e5");
	ck_assert_ptr_null(flt_find_by_address(fleet, "10.0.0.1:6"));
	ck_assert_str_eq(flt_find_by_hash(fleet, wf_hash("p3", 2, 0))->id,
			 "p3");
	ck_assert_ptr_null(flt_find_by_hash(fleet, 1));
	flt_drop(fleet);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("fleet");

	tcase_add_test(tcase, restart_under_the_same_id_is_a_new_process);
	tcase_add_test(tcase, draining_target_is_last_choice_until_grace_ends);
	tcase_add_test(tcase, grace_starts_when_draining_is_first_seen);
	tcase_add_test(tcase, notice_of_leaving_holds_until_a_restart);
	tcase_add_test(tcase,
		       notice_of_leaving_concerns_the_process_that_answered);
	tcase_add_test(tcase, closed_target_is_not_selected_at_all);
	tcase_add_test(tcase, restart_opens_a_closed_target);
	tcase_add_test(tcase, expired_entries_stay_until_their_deadline);
	tcase_add_test(tcase, down_target_is_removed_with_its_entry);
	tcase_add_test(tcase, complete_list_removes_missing_targets);
	tcase_add_test(tcase, selection_weighs_load_failures_and_distance);
	tcase_add_test(tcase, full_target_is_not_marked_down);
	tcase_add_test(tcase, silent_target_has_not_ended);
	tcase_add_test(tcase, targets_are_found_by_address_and_hash);
	return sup_run_case("fleet", tcase);
}
