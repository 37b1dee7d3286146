/* Synchronisation with the store. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "edge/syn_store.h"
#include "support/runner.h"

/* The last request of a copy, and what it has done. */
struct copy {
	uv_loop_t loop;
	struct syn_sync *sync;
	clk_ms now;
	unsigned begun;
	unsigned ended;
	unsigned pages;
	unsigned watches;
	char *after;
	clk_ms confirmed;
};

static clk_ms copy_now(void *user)
{
	return ((struct copy *)user)->now;
}

static void begin_list(void *user)
{
	((struct copy *)user)->begun++;
}

static void request_list(void *user, const char *after)
{
	struct copy *copy = user;

	copy->pages++;
	g_free(copy->after);
	copy->after = g_strdup(after);
}

static void end_list(void *user)
{
	((struct copy *)user)->ended++;
}

static void recovered(void *user, clk_ms outage)
{
	(void)user;
	(void)outage;
}

static void request_watch(void *user, int64_t revision, clk_ms wait,
			  clk_ms timeout)
{
	(void)revision;
	(void)wait;
	(void)timeout;
	((struct copy *)user)->watches++;
}

static void confirm(void *user, clk_ms at)
{
	((struct copy *)user)->confirmed = at;
}

static clk_ms watch_wait(void *user)
{
	(void)user;
	return 1000;
}

static const struct syn_ops ops = {begin_list, request_list,  end_list,
				   recovered,  request_watch, confirm,
				   watch_wait};

static void open_copy(struct copy *copy)
{
	memset(copy, 0, sizeof(*copy));
	uv_loop_init(&copy->loop);
	copy->now = 1000;
	copy->sync = syn_new(&copy->loop, copy_now, &ops, copy);
	syn_start(copy->sync);
}

static void close_copy(struct copy *copy)
{
	syn_drop(copy->sync);
	while (uv_run(&copy->loop, UV_RUN_DEFAULT))
		;
	uv_loop_close(&copy->loop);
	g_free(copy->after);
}

static void answer(struct copy *copy, bool has_more, const char *last)
{
	syn_note_response(copy->sync);
	syn_on_list(copy->sync, SYN_OK, 7, has_more, last);
}

/* Once the history is gone, the list starts again from its first page. */
START_TEST(lost_history_starts_a_new_list)
{
	struct copy copy;

	open_copy(&copy);
	answer(&copy, true, "b");
	answer(&copy, false, NULL);
	syn_on_watch(copy.sync, SYN_HISTORY_GONE, 0, false);
	ck_assert_uint_eq(copy.begun, 2);
	ck_assert_uint_eq(copy.ended, 1);
	ck_assert_ptr_null(copy.after);
	close_copy(&copy);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("syn");

	tcase_add_test(tcase, lost_history_starts_a_new_list);
	return sup_run_case("syn", tcase);
}
