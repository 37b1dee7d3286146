/* End-to-end calls through real processes on loopback. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/runner.h"
#include "support/wire/cluster.h"

static void check_layers_ran_once(struct clu_cluster *cluster,
				  const char *request, unsigned n_tokens)
{
	unsigned engine;
	unsigned position;

	for (engine = 0; engine < cluster->config.n_engines; engine++) {
		ck_assert_uint_eq(
			clu_count_all_steps(cluster, engine, request, "run"),
			n_tokens);
		for (position = 0; position < n_tokens; position++)
			ck_assert_uint_eq(clu_count_steps(cluster, engine,
							  request, position,
							  "run"),
					  1);
	}
}

/* Guards against a layer that is skipped, repeated or out of order. */
static void check_model_stream(struct clu_cluster *cluster)
{
	struct sup_request *request = clu_send_model(cluster, 0, "quote", 12);
	char *id;

	clu_await_tokens(request, 1);
	id = clu_request_id(request);
	clu_check_model(request, "quote", 12);
	check_layers_ran_once(cluster, id, 12);
	g_free(id);
}

static void check_answer(const struct sup_answer *answer, int status,
			 const char *run)
{
	char *stated = clu_answer_run(answer);

	ck_assert_msg(answer->status == status, "%d: %s", answer->status,
		      answer->body->str);
	ck_assert_str_eq(stated, run);
	g_free(stated);
}

/* Guards against a second run of a key and its reuse with another body. */
static void check_booking(struct clu_cluster *cluster)
{
	char *key = clu_new_key();
	struct sup_answer first;
	struct sup_answer second;
	struct sup_answer other;
	unsigned runs;

	clu_book(cluster, 1, key, "{\"item\":\"lantern\"}", &first);
	clu_book(cluster, 3, key, "{\"item\":\"lantern\"}", &second);
	clu_book(cluster, 2, key, "{\"item\":\"swan\"}", &other);
	check_answer(&first, 200, "");
	check_answer(&second, 200, "");
	ck_assert_str_eq(first.body->str, second.body->str);
	ck_assert_ptr_nonnull(strstr(first.body->str, "lantern"));
	check_answer(&other, 422, "not_run");
	ck_assert_uint_eq(clu_count_keys(cluster, &runs), 1);
	ck_assert_uint_eq(runs, 1);
	sup_answer_clear(&first);
	sup_answer_clear(&second);
	sup_answer_clear(&other);
	g_free(key);
}

static int cancel(struct clu_cluster *cluster, const char *token,
		  const char *request)
{
	char *id = g_strdelimit(g_strdup(request), "/", '.');
	char *path = g_strdup_printf("/v1/requests/%s", id);
	const struct sup_query query = {
		.method = "DELETE",
		.address = cluster->entries[0].caller,
		.path = path,
		.header = token,
	};
	struct sup_answer answer;
	int status;

	sup_http(&query, &answer);
	status = answer.status;
	sup_answer_clear(&answer);
	g_free(path);
	g_free(id);
	return status;
}

/* Guards against a caller that ends another organisation's request. */
static void check_cancel(struct clu_cluster *cluster)
{
	struct sup_request *kept = clu_send_model(cluster, 0, "kept", 100);
	struct sup_request *ended = clu_send_model(cluster, 0, "ended", 1000);
	struct sup_answer answer;
	char *kept_id;
	char *ended_id;

	clu_await_tokens(kept, 1);
	clu_await_tokens(ended, 1);
	kept_id = clu_request_id(kept);
	ended_id = clu_request_id(ended);
	ck_assert_int_eq(
		cancel(cluster, "Authorization: Bearer token-b", kept_id), 404);
	ck_assert_int_lt(
		cancel(cluster, "Authorization: Bearer token-a", ended_id),
		300);
	clu_check_model(kept, "kept", 100);
	sup_finish(ended, &answer);
	ck_assert_uint_lt(clu_count_all_steps(cluster, 0, ended_id, "run"),
			  1000);
	sup_answer_clear(&answer);
	g_free(ended_id);
	g_free(kept_id);
}

static void check_http2(struct clu_cluster *cluster)
{
	char *key = clu_new_key();
	char *header = g_strdup_printf("Idempotency-Key: %s", key);
	const struct sup_query query = {
		.address = cluster->entries[4].caller,
		.path = "/v1/services/booking/book",
		.header = "Authorization: Bearer token-b",
		.header2 = header,
		.body = "second",
		.http2 = true,
	};
	struct sup_answer answer;
	unsigned runs;

	sup_http(&query, &answer);
	check_answer(&answer, 200, "");
	ck_assert(g_str_has_prefix(answer.headers->str, "HTTP/2 200"));
	ck_assert_uint_eq(clu_count_keys(cluster, &runs), 2);
	ck_assert_uint_eq(runs, 1);
	sup_answer_clear(&answer);
	g_free(header);
	g_free(key);
}

START_TEST(calls_go_through)
{
	struct clu_cluster cluster;
	struct clu_config config;

	clu_config_init(&config, 5);
	clu_start(&cluster, &config);
	check_model_stream(&cluster);
	check_booking(&cluster);
	check_http2(&cluster);
	check_cancel(&cluster);
	clu_stop(&cluster);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("system");

	tcase_set_timeout(tcase, 90);
	tcase_add_test(tcase, calls_go_through);
	return sup_run_case("system", tcase);
}
