#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/standin/engine.h"

/*
 * Sound engines fall silent for a second, one after the other, while streams
 * run. Counts on how many engines each client attempt has run.
 */

#define ENGINES 3
#define MAX_ATTEMPTS 2
/* The instance knows the number of instances 5.5 s after its start. */
#define TRAFFIC_FROM_MS 7000
#define SILENCE_FROM_MS 18000
#define SILENCE_MS 1000
#define SILENCE_INTERVAL_MS 2500
#define TRAFFIC_UNTIL_MS 26000
#define END_MS 36000
#define STREAM_INTERVAL_MS 25
/* The rule names more than three. */
#define ALLOWED_REQUESTS 3

static struct engine *engines[ENGINES];
static struct kit_edge *edge;
/* Attempt id to the set of engines that made a token for it. */
static GHashTable *attempts;
static unsigned sent;
static unsigned whole;
static unsigned failed;
static unsigned round_number;

static void note_run(struct engine *engine, const char *id)
{
	GHashTable *set = g_hash_table_lookup(attempts, id);

	kit_record("%s runs %s", engine_id(engine), id);
	if (!set) {
		set = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(attempts, g_strdup(id), set);
	}
	g_hash_table_add(set, engine);
}

/* Clients */

static void on_answer(struct kit_client *client, struct kit_message *answer,
		      void *user)
{
	char *id = user;

	kit_client_close(client);
	if (answer->status == 200 && !answer->is_cut)
		whole++;
	else
		failed++;
	kit_record("client: %s ends with status %d%s", id, answer->status,
		   answer->is_cut ? ", cut" : "");
	g_free(id);
}

static void send_stream(void *user)
{
	char *id = g_strdup_printf("%08x%08x", ++sent, g_random_int());
	char *request = g_strdup_printf(
		"POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n"
		"X-Wagtailferry-Attempt-Id: %s\r\n"
		"X-Wagtailferry-Model: daka510000\r\n"
		"X-Wagtailferry-Token-Counts: 760,240\r\n"
		"X-Wagtailferry-Prompt-Prefix: 5c1e07a2:40,%08x:720\r\n"
		"X-Wagtailferry-Deadline-Ms: 20000\r\n"
		"Content-Length: 4\r\n\r\nswan",
		KIT_HOST, id, sent);

	kit_request(kit_connect(kit_front(edge)), request, strlen(request),
		    on_answer, id);
	g_free(request);
	if (kit_now() < TRAFFIC_UNTIL_MS)
		kit_after(STREAM_INTERVAL_MS, send_stream, user);
}

/* The disruption */

static void end_silence(void *user)
{
	engine_set_silent(user, false);
}

static void start_silence(void *user)
{
	struct engine *engine = engines[round_number++];

	engine_set_silent(engine, true);
	kit_after(SILENCE_MS, end_silence, engine);
	if (round_number < ENGINES)
		kit_after(SILENCE_INTERVAL_MS, start_silence, user);
}

static void judge(void *user)
{
	GHashTableIter iter;
	gpointer id;
	gpointer set;
	unsigned over = 0;

	(void)user;
	g_hash_table_iter_init(&iter, attempts);
	while (g_hash_table_iter_next(&iter, &id, &set)) {
		if (g_hash_table_size(set) <= MAX_ATTEMPTS)
			continue;
		over++;
		kit_record("%s ran on %u engines, max-attempts is %d",
			   (char *)id, g_hash_table_size(set), MAX_ATTEMPTS);
	}
	kit_record("streams sent %u, whole %u, failed %u; over the limit: %u",
		   sent, whole, failed, over);
	if (whole < sent / 2)
		kit_finish(KIT_NOT_RUN);
	kit_finish(over > ALLOWED_REQUESTS ? KIT_BROKEN : KIT_HELD);
}

static void on_ready(void *user)
{
	kit_after(TRAFFIC_FROM_MS, send_stream, user);
	if (kit_trouble)
		kit_after(SILENCE_FROM_MS, start_silence, user);
	kit_after(END_MS, judge, user);
}

static json_t *make_config(const struct engine_model *model)
{
	json_t *route =
		kit_route("/lohu930/", "streaming", "textverk", MAX_ATTEMPTS,
			  json_pack("{s:b,s:b,s:i}", "sticky", 1, "resumable",
				    1, "gap-target-ms", 250));

	return kit_config(7, json_pack("[o]", route),
			  json_pack("[o]", engine_service("textverk", model)),
			  NULL);
}

int main(int argc, char **argv)
{
	static struct engine_model model = {
		.layers = 80,
		.layer_mb = 200,
		.kv_bytes = 59000,
		.events = 60,
		.event_ms = 100,
		.on_run = note_run,
	};
	unsigned i;

	kit_open(argc, argv);
	model.kinds =
		json_pack("[{s:s,s:f,s:f,s:f}]", "name", "a100", "size-mb",
			  72000.0, "pace", 2.4, "read-factor", 3.2);
	attempts = g_hash_table_new(g_str_hash, g_str_equal);
	kit_open_store();
	kit_put("config", "main", make_config(&model));
	for (i = 0; i < ENGINES; i++) {
		char *id = g_strdup_printf("i-engine-%u", i);

		engines[i] = engine_open(id, "textverk", "a100", &model);
		g_free(id);
	}
	edge = kit_start_edge("edge-svealand-a-1", "127.0.0.1");
	kit_await_ready(edge, on_ready, NULL);
	kit_run();
}
