/* Bookings while instances and the store fail, with real processes. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/runner.h"
#include "support/wire/cluster.h"

#define SHORT_DEADLINE_RULES                                      \
	"route org=any model=" CLU_MODEL " deadline=30s # anna\n" \
	"route org=any service=booking deadline=2s # anna\n"

static void delay_bookings(struct clu_cluster *cluster, unsigned ms)
{
	char *json = g_strdup_printf("{\"delays\":{\"book\":%u}}", ms);

	ck_assert_int_eq(
		sup_post(cluster->service.address, "/admin/service", json),
		200);
	g_free(json);
}

static void check_runs(struct clu_cluster *cluster, unsigned keys,
		       unsigned expected)
{
	unsigned runs;

	ck_assert_uint_eq(clu_count_keys(cluster, &runs), keys);
	ck_assert_uint_eq(runs, expected);
}

static bool is_unknown(const struct sup_answer *answer)
{
	char *type = sup_answer_error(answer);
	char *run = clu_answer_run(answer);
	bool unknown =
		!strcmp(type, "outcome_unknown") && !strcmp(run, "unknown");

	g_free(run);
	g_free(type);
	return unknown;
}

static bool is_not_run(const struct sup_answer *answer)
{
	char *run = clu_answer_run(answer);
	bool not_run = !strcmp(run, "not_run");

	g_free(run);
	return not_run;
}

/* Whether the answer is that of the service's first run. */
static bool is_first_run(const struct sup_answer *answer)
{
	return answer->status == 200 &&
	       strstr(answer->body->str, "\"run\":1,") != NULL;
}

/*
 * Guards against a second run when the instance that holds the claim dies
 * during the call; with (0) and without (1) a status call of the service.
 */
START_TEST(killed_holder_gives_no_second_run)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct sup_request *request;
	struct sup_answer answer;
	char *key = clu_new_key();

	clu_config_init(&config, 3);
	config.service_has_no_status = _i == 1;
	clu_start(&cluster, &config);
	delay_bookings(&cluster, 500);
	request = clu_send_booking(&cluster, 0, "a", key, "lantern");
	clu_await_keys(&cluster, 1);
	sup_kill(&cluster.entries[0].child);
	sup_finish(request, NULL);
	clu_book(&cluster, 1, key, "lantern", &answer);
	ck_assert_msg(is_first_run(&answer) || is_unknown(&answer), "%d %s",
		      answer.status, answer.body->str);
	ck_assert(_i == 0 || is_unknown(&answer));
	sup_answer_clear(&answer);
	clu_book(&cluster, 2, key, "lantern", &answer);
	ck_assert_msg(is_first_run(&answer) || is_unknown(&answer), "%d %s",
		      answer.status, answer.body->str);
	sup_answer_clear(&answer);
	check_runs(&cluster, 1, 1);
	clu_stop(&cluster);
	g_free(key);
}
END_TEST

enum pause_point { PAUSE_AFTER_CLAIM, PAUSE_IN_CALL, N_PAUSE_POINTS };

/* Delays the answer to the next claim write; the write takes effect. */
static void delay_claim(struct clu_cluster *cluster)
{
	ck_assert(sup_set_fault(
		cluster->store.address,
		"{\"path\":\"/v1/objects/claims\",\"method\":\"PUT\","
		"\"fault\":\"late\",\"ms\":1500}"));
}

static bool claim_is_written(void *data)
{
	struct clu_cluster *cluster = data;
	json_t *json = sup_get_json(cluster->store.address, "/admin/fault");
	const json_t *fault =
		json_array_get(json_object_get(json, "faults"), 0);
	bool written = sup_json_int(fault, "hits") >= 1;

	json_decref(json);
	return written;
}

/* Sends a booking and pauses its instance at the given point. */
static struct sup_request *book_and_pause(struct clu_cluster *cluster,
					  const char *key,
					  enum pause_point point)
{
	struct sup_request *request;

	if (point == PAUSE_AFTER_CLAIM)
		delay_claim(cluster);
	else
		delay_bookings(cluster, 1000);
	request = clu_send_booking(cluster, 0, "a", key, "lantern");
	if (point == PAUSE_AFTER_CLAIM)
		ck_assert(sup_wait(claim_is_written, cluster, CLU_BOUND_MS));
	else
		clu_await_keys(cluster, 1);
	sup_pause(&cluster->entries[0].child);
	return request;
}

/*
 * Guards against a second run when the claim holder is paused before or during
 * the call.
 */
START_TEST(paused_holder_gives_no_second_run)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct sup_request *request;
	struct sup_answer first;
	struct sup_answer repeated;
	char *key = clu_new_key();
	unsigned keys;
	unsigned runs;

	clu_config_init(&config, 3);
	config.rules = SHORT_DEADLINE_RULES;
	clu_start(&cluster, &config);
	request = book_and_pause(&cluster, key, _i);
	clu_book(&cluster, 1, key, "lantern", &repeated);
	sup_resume(&cluster.entries[0].child);
	sup_finish(request, &first);
	keys = clu_count_keys(&cluster, &runs);
	ck_assert_uint_le(runs, 1);
	if (is_not_run(&first) || is_not_run(&repeated))
		ck_assert_msg(keys == 0,
			      "answered as not run, but ran: %s / %s",
			      first.body->str, repeated.body->str);
	if (first.status == 200 || repeated.status == 200)
		ck_assert_uint_eq(keys, 1);
	sup_answer_clear(&first);
	sup_answer_clear(&repeated);
	clu_stop(&cluster);
	g_free(key);
}
END_TEST

struct book_wait {
	struct clu_cluster *cluster;
	const char *key;
};

/* Sends a booking with the key; a refusal must say "not run". */
static bool is_booked(void *data)
{
	struct book_wait *wait = data;
	struct sup_answer answer;
	bool booked;

	clu_book(wait->cluster, 0, wait->key, "lantern", &answer);
	booked = answer.status == 200;
	ck_assert_msg(booked || is_not_run(&answer), "%s", answer.body->str);
	sup_answer_clear(&answer);
	return booked;
}

/*
 * Guards against bookings that run, or are refused without "not run", while the
 * store is down.
 */
START_TEST(store_outage_refuses_bookings_as_not_run)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct book_wait wait = {&cluster, NULL};
	struct sup_request *bookings[2];
	char *keys[2] = {clu_new_key(), clu_new_key()};
	unsigned i;

	clu_config_init(&config, 2);
	config.rules = SHORT_DEADLINE_RULES;
	clu_start(&cluster, &config);
	ck_assert(sup_set_fault(cluster.store.address,
				"{\"fault\":\"outage\",\"count\":0}"));
	for (i = 0; i < 2; i++)
		bookings[i] =
			clu_send_booking(&cluster, i, "a", keys[i], "lantern");
	clu_check_model(clu_send_model(&cluster, 0, "during", 20), "during",
			20);
	clu_check_model(clu_send_model(&cluster, 1, "during", 20), "during",
			20);
	for (i = 0; i < 2; i++) {
		struct sup_answer answer;

		sup_finish(bookings[i], &answer);
		ck_assert_int_ge(answer.status, 400);
		ck_assert_msg(is_not_run(&answer), "%s", answer.body->str);
		sup_answer_clear(&answer);
	}
	ck_assert_uint_eq(clu_count_keys(&cluster, NULL), 0);
	ck_assert(sup_clear_faults(cluster.store.address));
	for (i = 0; i < 2; i++) {
		wait.key = keys[i];
		ck_assert(sup_wait(is_booked, &wait, CLU_BOUND_MS));
		g_free(keys[i]);
	}
	check_runs(&cluster, 2, 1);
	clu_stop(&cluster);
}
END_TEST

/* Guards against a second run after a claim write whose answer is lost. */
START_TEST(lost_claim_answer_gives_one_run)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct sup_answer answer;
	unsigned i;

	clu_config_init(&config, 2);
	clu_start(&cluster, &config);
	for (i = 0; i < 2; i++) {
		char *key = clu_new_key();

		ck_assert(sup_set_fault(cluster.store.address,
					"{\"path\":\"/v1/objects/claims\","
					"\"method\":\"PUT\","
					"\"fault\":\"lost_answer\"}"));
		clu_book(&cluster, i, key, "lantern", &answer);
		ck_assert_msg(is_first_run(&answer), "%s", answer.body->str);
		sup_answer_clear(&answer);
		clu_book(&cluster, 1 - i, key, "lantern", &answer);
		ck_assert_msg(is_first_run(&answer), "%s", answer.body->str);
		sup_answer_clear(&answer);
		check_runs(&cluster, i + 1, 1);
		g_free(key);
	}
	clu_stop(&cluster);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("system_claims");

	tcase_set_timeout(tcase, 90);
	tcase_add_loop_test(tcase, killed_holder_gives_no_second_run, 0, 2);
	tcase_add_loop_test(tcase, paused_holder_gives_no_second_run, 0,
			    N_PAUSE_POINTS);
	tcase_add_test(tcase, store_outage_refuses_bookings_as_not_run);
	tcase_add_test(tcase, lost_claim_answer_gives_one_run);
	return sup_run_case("system_claims", tcase);
}
