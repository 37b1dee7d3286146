/* Streams while engines fail, hang or leave, with real processes. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/runner.h"
#include "support/wire/cluster.h"

#define N_TOKENS 60
/* No new work may reach a leaving target after this time. */
#define LEAVING_LIMIT_MS 2000

/* The middle stage and its spare. */
#define MIDDLE 1
#define SPARE 3

/* Three stages and a second holder of the middle one. */
static void start_chain(struct clu_cluster *cluster)
{
	struct clu_config config;

	clu_config_init(&config, 2);
	config.n_engines = 4;
	config.ranges[SPARE] = config.ranges[MIDDLE];
	config.step_us = 10000;
	clu_start(cluster, &config);
}

/* The holder of the middle range that runs the request's steps. */
static unsigned find_middle(struct clu_cluster *cluster, const char *request)
{
	return clu_count_all_steps(cluster, MIDDLE, request, "run") ? MIDDLE
								    : SPARE;
}

/*
 * Checks that the engine of an outer stage ran each position once.
 * "resumed" steps are answers from stored results and run nothing.
 */
static void check_ran_once(struct clu_cluster *cluster, unsigned engine,
			   const char *request)
{
	unsigned position;

	for (position = 0; position < N_TOKENS; position++)
		ck_assert_uint_eq(clu_count_steps(cluster, engine, request,
						  position, "run"),
				  1);
	ck_assert_uint_eq(clu_count_all_steps(cluster, engine, request, "run"),
			  N_TOKENS);
	ck_assert_uint_eq(
		clu_count_all_steps(cluster, engine, request, "rebuilt"), 0);
}

/* Checks that the replacement ran or rebuilt each position once. */
static void check_replaced(struct clu_cluster *cluster, unsigned engine,
			   const char *request)
{
	unsigned position;

	for (position = 0; position < N_TOKENS; position++) {
		unsigned n = clu_count_steps(cluster, engine, request, position,
					     "run") +
			     clu_count_steps(cluster, engine, request, position,
					     "rebuilt");

		ck_assert_msg(n == 1, "position %u ran %u times", position, n);
	}
}

/* Guards against lost or repeated tokens when a stage dies in mid-stream. */
START_TEST(killed_stage_is_replaced)
{
	struct clu_cluster cluster;
	struct sup_request *request;
	unsigned middle;
	char *id;

	start_chain(&cluster);
	request = clu_send_model(&cluster, 0, "sketch", N_TOKENS);
	clu_await_tokens(request, 8);
	id = clu_request_id(request);
	middle = find_middle(&cluster, id);
	sup_kill(&cluster.engines[middle]);
	clu_check_model(request, "sketch", N_TOKENS);
	check_ran_once(&cluster, 0, id);
	check_ran_once(&cluster, 2, id);
	check_replaced(&cluster, middle == MIDDLE ? SPARE : MIDDLE, id);
	g_free(id);
	clu_stop(&cluster);
}
END_TEST

/* Sets a fault on one path of an engine. */
static void set_path_fault(const struct sup_child *engine, const char *path,
			   const char *effect)
{
	char *json = g_strdup_printf("{\"path\":\"%s\",%s}", path, effect);

	ck_assert(sup_set_fault(engine->address, json));
	g_free(json);
}

/*
 * Guards against a stream that hangs on a half-open connection: the head's
 * stream (0) and the steps of the middle stage's holders (1).
 */
START_TEST(silent_engine_does_not_end_the_stream)
{
	struct clu_cluster cluster;
	struct sup_request *request;

	start_chain(&cluster);
	if (_i == 0) {
		set_path_fault(&cluster.engines[0], "/v1/generate",
			       "\"fault\":\"half_open\",\"after\":10");
	} else {
		set_path_fault(&cluster.engines[MIDDLE], "/v1/step",
			       "\"fault\":\"half_open\",\"skip\":10");
		set_path_fault(&cluster.engines[SPARE], "/v1/step",
			       "\"fault\":\"half_open\",\"skip\":10");
	}
	request = clu_send_model(&cluster, 0, "sketch", N_TOKENS);
	clu_check_model(request, "sketch", N_TOKENS);
	clu_stop(&cluster);
}
END_TEST

/* Guards against a stream lost when an engine hangs without closing. */
START_TEST(paused_stage_is_replaced)
{
	struct clu_cluster cluster;
	struct sup_request *request;
	unsigned middle;
	char *id;

	start_chain(&cluster);
	request = clu_send_model(&cluster, 0, "sketch", N_TOKENS);
	clu_await_tokens(request, 8);
	id = clu_request_id(request);
	middle = find_middle(&cluster, id);
	sup_pause(&cluster.engines[middle]);
	clu_check_model(request, "sketch", N_TOKENS);
	sup_resume(&cluster.engines[middle]);
	check_ran_once(&cluster, 0, id);
	check_ran_once(&cluster, 2, id);
	g_free(id);
	clu_stop(&cluster);
}
END_TEST

/* Leaving */

static json_int_t count_streams(struct clu_cluster *cluster, unsigned engine)
{
	return sup_count_calls(cluster->engines[engine].address,
			       "POST /v1/generate");
}

/* Two engines that hold the whole model each. */
static void start_pair(struct clu_cluster *cluster)
{
	static const struct clu_range whole = {0, CLU_N_LAYERS - 1};
	struct clu_config config;

	clu_config_init(&config, 3);
	config.n_engines = 2;
	config.ranges[0] = whole;
	config.ranges[1] = whole;
	config.step_us = 50000;
	clu_start(cluster, &config);
}

/* Announces leaving in the platform's list (0) or a load report (1). */
static void announce_leaving(struct clu_cluster *cluster, unsigned engine,
			     int source)
{
	const char *address = cluster->engines[engine].address;

	if (source == 0) {
		json_int_t seen = sup_count_calls(cluster->list.address,
						  "GET /v1/instances");

		cluster->leaving[engine] = true;
		clu_publish_list(cluster);
		ck_assert(sup_wait_calls(cluster->list.address,
					 "GET /v1/instances", seen + 1,
					 CLU_BOUND_MS));
	} else {
		json_int_t seen = sup_count_calls(address, "GET /v1/load");

		ck_assert_int_eq(sup_post(address, "/admin/engine",
					  "{\"leaving\":true}"),
				 200);
		ck_assert(sup_wait_calls(address, "GET /v1/load", seen + 1,
					 CLU_BOUND_MS));
	}
}

static bool time_is_reached(void *data)
{
	return g_get_monotonic_time() >= *(gint64 *)data;
}

/*
 * Guards against new requests to a leaving target and against cutting off its
 * running ones.
 */
START_TEST(leaving_target_gets_no_new_work)
{
	struct clu_cluster cluster;
	struct sup_request *running;
	gint64 limit;
	json_int_t before;
	unsigned engine;
	unsigned i;
	char *id;

	start_pair(&cluster);
	running = clu_send_model(&cluster, 0, "long", 100);
	clu_await_tokens(running, 2);
	id = clu_request_id(running);
	engine = clu_count_all_steps(&cluster, 0, id, "run") ? 0 : 1;
	announce_leaving(&cluster, engine, _i);
	limit = g_get_monotonic_time() + (gint64)LEAVING_LIMIT_MS * 1000;
	ck_assert(sup_wait(time_is_reached, &limit, CLU_BOUND_MS));
	before = count_streams(&cluster, engine);
	for (i = 0; i < 12; i++)
		clu_check_model(clu_send_model(&cluster, i % 3, "new", 1),
				"new", 1);
	ck_assert_int_eq(count_streams(&cluster, engine), before);
	clu_check_model(running, "long", 100);
	ck_assert_uint_eq(clu_count_all_steps(&cluster, engine, id, "run"),
			  100);
	ck_assert_uint_eq(clu_count_all_steps(&cluster, 1 - engine, id, "run"),
			  0);
	g_free(id);
	clu_stop(&cluster);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("system_stream");

	tcase_set_timeout(tcase, 90);
	tcase_add_test(tcase, killed_stage_is_replaced);
	tcase_add_loop_test(tcase, silent_engine_does_not_end_the_stream, 0, 2);
	tcase_add_test(tcase, paused_stage_is_replaced);
	tcase_add_loop_test(tcase, leaving_target_gets_no_new_work, 0, 2);
	return sup_run_case("system_stream", tcase);
}
