/* Shutdown and replacement of instances under load, with real processes. */

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/runner.h"
#include "support/wire/cluster.h"

#define N_STREAMS 100
#define STREAM_TOKENS 90
#define N_CLIENTS 4

/* Guards against streams that are cut off by a graceful shutdown. */
START_TEST(shutdown_completes_open_streams)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct sup_request *streams[N_STREAMS];
	char *prompts[N_STREAMS];
	unsigned i;

	clu_config_init(&config, 2);
	config.step_us = 15000;
	clu_start(&cluster, &config);
	for (i = 0; i < N_STREAMS; i++) {
		prompts[i] = g_strdup_printf("stream %u", i);
		streams[i] =
			clu_send_model(&cluster, 0, prompts[i], STREAM_TOKENS);
	}
	for (i = 0; i < N_STREAMS; i++)
		clu_await_tokens(streams[i], 1);
	kill(cluster.entries[0].child.pid, SIGTERM);
	for (i = 0; i < 10; i++)
		clu_check_model(clu_send_model(&cluster, 1, "other", 1),
				"other", 1);
	ck_assert(!sup_is_done(streams[0]));
	for (i = 0; i < N_STREAMS; i++) {
		clu_check_model(streams[i], prompts[i], STREAM_TOKENS);
		g_free(prompts[i]);
	}
	ck_assert_int_eq(sup_join(&cluster.entries[0].child), 0);
	clu_check_model(clu_send_model(&cluster, 1, "other", 1), "other", 1);
	clu_stop(&cluster);
}
END_TEST

/* Sends requests one at a time, like a client behind a load balancer. */
struct client {
	struct clu_cluster *cluster;
	GThread *thread;
	gint *stop;
	unsigned number;
	unsigned bookings; /* answered */
	unsigned models;
	GString *failures; /* unexpected answers */
};

/* Whether the request certainly did not run, so that a retry is safe. */
static bool may_retry(const struct sup_answer *answer)
{
	char *run = clu_answer_run(answer);
	bool retry = answer->refused || !strcmp(run, "not_run");

	g_free(run);
	return retry;
}

static void record_failure(struct client *client,
			   const struct sup_answer *answer, const char *what,
			   unsigned entry)
{
	bool complete = true;
	char *text;

	if (!strcmp(what, "model")) {
		text = clu_stream_text(answer->body->str, &complete);
		g_free(text);
	}
	if (answer->status != 200 || !answer->complete || !complete)
		g_string_append_printf(client->failures,
				       "%s at entry-%u: %d %s (%s)\n", what,
				       entry + 1, answer->status,
				       answer->body->str, answer->result);
}

/* Retries at the next entry until one accepts; records a bad answer. */
static void send_one(struct client *client, bool booking)
{
	char *key = clu_new_key();
	char *prompt = g_strdup_printf("client %u", client->number);
	const char *what = booking ? "booking" : "model";
	gint64 end = g_get_monotonic_time() + (gint64)CLU_BOUND_MS * 1000;
	unsigned entry = client->number;
	bool retry = true;

	while (retry) {
		struct sup_answer answer;

		entry = (entry + 1) % client->cluster->config.n_entries;
		sup_finish(booking ? clu_send_booking(client->cluster, entry,
						      "a", key, prompt)
				   : clu_send_model(client->cluster, entry,
						    prompt, 8),
			   &answer);
		retry = may_retry(&answer) && g_get_monotonic_time() < end;
		if (!retry)
			record_failure(client, &answer, what, entry);
		sup_answer_clear(&answer);
	}
	client->number++;
	g_free(prompt);
	g_free(key);
}

static gpointer run_client(gpointer data)
{
	struct client *client = data;

	while (!g_atomic_int_get(client->stop)) {
		send_one(client, true);
		client->bookings++;
		send_one(client, false);
		client->models++;
	}
	return NULL;
}

static void start_client(struct client *client, struct clu_cluster *cluster,
			 unsigned number, gint *stop)
{
	memset(client, 0, sizeof(*client));
	client->cluster = cluster;
	client->stop = stop;
	client->number = number;
	client->failures = g_string_new(NULL);
	client->thread = g_thread_new("client", run_client, client);
}

/* Ends a client; returns the number of its bookings. */
static unsigned finish_client(struct client *client)
{
	g_thread_join(client->thread);
	ck_assert_msg(!client->failures->len, "failed requests: %s",
		      client->failures->str);
	ck_assert_uint_gt(client->models, 0);
	g_string_free(client->failures, TRUE);
	return client->bookings;
}

/* Guards against lost requests and keys that run twice in a replacement. */
START_TEST(rolling_replacement_loses_nothing)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct client clients[N_CLIENTS];
	unsigned bookings = 0;
	unsigned runs;
	gint stop = 0;
	unsigned i;

	clu_config_init(&config, 5);
	clu_start(&cluster, &config);
	for (i = 0; i < N_CLIENTS; i++)
		start_client(&clients[i], &cluster, i, &stop);
	for (i = 0; i < config.n_entries; i++) {
		ck_assert_int_eq(sup_stop(&cluster.entries[i].child), 0);
		clu_start_entry(&cluster, i);
		clu_await_serving(&cluster, i);
	}
	g_atomic_int_set(&stop, 1);
	for (i = 0; i < N_CLIENTS; i++)
		bookings += finish_client(&clients[i]);
	ck_assert_uint_eq(clu_count_keys(&cluster, &runs), bookings);
	ck_assert_uint_eq(runs, 1);
	clu_stop(&cluster);
}
END_TEST

/* Time to handle SIGTERM, and more than the grace period after it. */
#define SETTLE_US 200000
#define PAST_GRACE_US 3500000

/*
 * Guards against connections that get no answer because the instance exits
 * before it accepts them. SIGSTOP keeps it from accepting until its grace
 * period is over.
 */
START_TEST(pending_connections_are_answered)
{
	struct clu_cluster cluster;
	struct clu_config config;
	struct sup_request *requests[N_CLIENTS];
	struct sup_answer answer;
	char *run;
	unsigned i;

	clu_config_init(&config, 1);
	clu_start(&cluster, &config);
	kill(cluster.entries[0].child.pid, SIGTERM);
	g_usleep(SETTLE_US);
	kill(cluster.entries[0].child.pid, SIGSTOP);
	for (i = 0; i < N_CLIENTS; i++) {
		char *key = clu_new_key();

		requests[i] = clu_send_booking(&cluster, 0, "a", key, "body");
		g_free(key);
	}
	g_usleep(PAST_GRACE_US);
	kill(cluster.entries[0].child.pid, SIGCONT);
	for (i = 0; i < N_CLIENTS; i++) {
		sup_finish(requests[i], &answer);
		run = clu_answer_run(&answer);
		ck_assert_int_ne(answer.status, 0);
		ck_assert(answer.status == 200 || !strcmp(run, "not_run"));
		g_free(run);
		sup_answer_clear(&answer);
	}
	ck_assert_int_eq(sup_join(&cluster.entries[0].child), 0);
	clu_stop(&cluster);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("system_drain");

	tcase_set_timeout(tcase, 90);
	tcase_add_test(tcase, shutdown_completes_open_streams);
	tcase_add_test(tcase, pending_connections_are_answered);
	tcase_add_test(tcase, rolling_replacement_loses_nothing);
	return sup_run_case("system_drain", tcase);
}
