#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/standin/engine.h"

/*
 * An engine with a large slow card holds all layers; two with small fast cards
 * are added, and one of these is lost for good. What remains holds all layers,
 * some of them twice. Then all processes of the system are killed, as the rule
 * counts from such a fault, and start again. Counts what is served before and
 * after; the requests are mixed as on the site's sheet.
 */

#define LAYERS 80
#define FIRST_SMALL_AT_MS 3000
#define SECOND_SMALL_AT_MS 6000
#define TRAFFIC_FROM_MS 10000
#define LOSS_AT_MS 20000
#define KILL_AT_MS 22000
#define BACK_AT_MS 22500
/* recovery-s of the site. */
#define RECOVERY_MS 12000
#define TRAFFIC_UNTIL_MS 55000
#define END_MS 62000
/* 76 streams a second on the sheet, 9.2 others. */
#define STREAM_INTERVAL_MS 200
#define ORDER_INTERVAL_MS 1650
#define WORK_MS 60

enum kind { STREAM, ORDER, KINDS };

struct count {
	unsigned sent;
	unsigned served;
};

struct attempt {
	enum kind kind;
	char *id;
	int64_t sent_at;
};

struct job {
	struct kit_conn *conn;
	char *id;
};

static const char *const kind_names[KINDS] = {"stream", "order"};

static struct engine_model model;
static struct engine *large;
static struct engine *small[2];
static struct kit_server *worker;
static struct kit_edge *edge;
static struct count before[KINDS];
static struct count after[KINDS];
static int64_t lost_at = INT64_MAX;
static int64_t killed_at = INT64_MAX;
/* Far off as long as the machine is not back. */
static int64_t back_at = INT64_MAX / 2;
/* Streams sent before the loss that were cut off before the kill. */
static unsigned streams_lost;
static unsigned last_id;

static void note_run(struct engine *head, const char *id)
{
	kit_record("%s runs %s", engine_id(head), id);
}

/* The plain worker */

static void finish_job(void *user)
{
	struct job *job = user;
	char *fields =
		g_strdup_printf("X-Wagtailferry-Attempt-Id: %s\r\n"
				"X-Wagtailferry-Server-Stamp: stamp.%s\r\n",
				job->id, job->id);

	if (kit_conn_is_open(job->conn))
		kit_answer(job->conn, 200, fields, "order", 5);
	kit_conn_drop(job->conn);
	g_free(fields);
	g_free(job->id);
	g_free(job);
}

static void on_request(struct kit_conn *conn, struct kit_message *request,
		       void *user)
{
	const char *id = kit_field(request, "x-wagtailferry-attempt-id");
	struct job *job;

	(void)user;
	if (!id) {
		kit_answer(conn, 200, "", "", 0);
		return;
	}
	job = g_new0(struct job, 1);
	job->conn = kit_conn_keep(conn);
	job->id = g_strdup(id);
	kit_after(WORK_MS, finish_job, job);
}

/* Clients */

static void on_answer(struct kit_client *client, struct kit_message *answer,
		      void *user)
{
	struct attempt *attempt = user;
	bool is_served = answer->status == 200 && !answer->is_cut;
	bool is_after = attempt->sent_at >= back_at + RECOVERY_MS;
	struct count *count =
		is_after ? &after[attempt->kind] : &before[attempt->kind];

	kit_client_close(client);
	kit_record("client: %s %s gets %d%s %s", kind_names[attempt->kind],
		   attempt->id, answer->status, answer->is_cut ? ", cut" : "",
		   is_served ? "" : answer->body->str);
	if (is_after || attempt->sent_at < killed_at) {
		count->sent++;
		count->served += is_served;
	}
	if (attempt->kind == STREAM && !is_served &&
	    attempt->sent_at < lost_at && kit_now() < killed_at)
		streams_lost++;
	g_free(attempt->id);
	g_free(attempt);
}

static void send_attempt(enum kind kind)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	char *request;

	attempt->kind = kind;
	attempt->id = g_strdup_printf("%08x%08x", ++last_id, g_random_int());
	attempt->sent_at = kit_now();
	request = g_strdup_printf(
		"POST %s/2f HTTP/1.1\r\nHost: %s\r\n"
		"X-Wagtailferry-Attempt-Id: %s\r\n"
		"X-Wagtailferry-Model: " ENGINE_MODEL "\r\n"
		"X-Wagtailferry-Token-Counts: 760,160\r\n"
		"X-Wagtailferry-Prompt-Prefix: 5c1e07a2:40,%08x:720\r\n"
		"X-Wagtailferry-Deadline-Ms: %d\r\n"
		"Content-Length: 4\r\n\r\nswan",
		kind == STREAM ? "/lohu930" : "/puxa403", KIT_HOST, attempt->id,
		last_id, kind == STREAM ? 20000 : 3000);
	kit_request(kit_connect(kit_front(edge)), request, strlen(request),
		    on_answer, attempt);
	g_free(request);
}

static void send_stream(void *user)
{
	send_attempt(STREAM);
	if (kit_now() < TRAFFIC_UNTIL_MS)
		kit_after(STREAM_INTERVAL_MS, send_stream, user);
}

static void send_order(void *user)
{
	send_attempt(ORDER);
	if (kit_now() < TRAFFIC_UNTIL_MS)
		kit_after(ORDER_INTERVAL_MS, send_order, user);
}

/* The run */

static void add_large(void *user)
{
	(void)user;
	large = engine_open("i-large-0", "textverk", "slow-22", &model);
}

static void add_small(void *user)
{
	unsigned i = small[0] ? 1 : 0;
	char *id = g_strdup_printf("i-small-%u", i);

	(void)user;
	small[i] = engine_open(id, "textverk", "fast-8", &model);
	g_free(id);
}

static void lose_small(void *user)
{
	(void)user;
	lost_at = kit_now();
	engine_crash(small[0]);
}

static void bring_back(void *user)
{
	(void)user;
	kit_restart(edge);
	back_at = kit_now();
}

/* The rule's final fault. */
static void kill_edge(void *user)
{
	killed_at = kit_now();
	kit_signal(edge, 9);
	kit_after(BACK_AT_MS - KILL_AT_MS, bring_back, user);
}

static double share(const struct count *counts)
{
	unsigned sent = counts[STREAM].sent + counts[ORDER].sent;

	return sent ? (double)(counts[STREAM].served + counts[ORDER].served) /
			       sent
		    : 0;
}

static void judge(void *user)
{
	bool is_whole = engine_holds(large, 0, LAYERS);
	unsigned kind;

	(void)user;
	for (kind = 0; kind < KINDS; kind++)
		kit_record("%s: before the final fault %u of %u served, from "
			   "%d s after it %u of %u",
			   kind_names[kind], before[kind].served,
			   before[kind].sent, RECOVERY_MS / 1000,
			   after[kind].served, after[kind].sent);
	kit_record("share served before %.2f, after %.2f", share(before),
		   share(after));
	kit_record("streams that ran when the engine was lost and were cut "
		   "off: %u",
		   streams_lost);
	kit_record("a living engine holds all layers: %d", is_whole);
	if (!after[ORDER].served || !is_whole || share(before) < 0.25)
		kit_finish(KIT_NOT_RUN);
	kit_finish(share(after) < 0.25 ? KIT_BROKEN : KIT_HELD);
}

static void on_ready(void *user)
{
	kit_after(FIRST_SMALL_AT_MS, add_small, user);
	kit_after(SECOND_SMALL_AT_MS, add_small, user);
	kit_after(TRAFFIC_FROM_MS, send_stream, user);
	kit_after(TRAFFIC_FROM_MS, send_order, user);
	if (kit_trouble)
		kit_after(LOSS_AT_MS, lose_small, user);
	kit_after(KILL_AT_MS, kill_edge, user);
	kit_after(END_MS, judge, user);
}

static json_t *make_config(void)
{
	json_t *stream =
		kit_route("/lohu930/", "streaming", "textverk", 2,
			  json_pack("{s:b,s:b,s:i}", "sticky", 1, "resumable",
				    1, "gap-target-ms", 250));
	json_t *order = kit_route("/puxa403/", "non_idempotent", "orderdisk", 1,
				  json_pack("{s:i}", "timeout-ms", 1500));
	json_t *plain = json_pack("{s:s,s:s,s:i,s:s,s:b}", "name", "orderdisk",
				  "health-path", "/healthz", "max-conns", 110,
				  "protocol", "h1", "tls", 0);

	return kit_config(
		7, json_pack("[o,o]", stream, order),
		json_pack("[o,o]", engine_service("textverk", &model), plain),
		NULL);
}

int main(int argc, char **argv)
{
	kit_open(argc, argv);
	model = (struct engine_model){
		.layers = LAYERS,
		.layer_mb = 250,
		.kv_bytes = 10000,
		.kinds = json_pack("[{s:s,s:f,s:f,s:f},{s:s,s:f,s:f,s:f}]",
				   "name", "fast-8", "size-mb", 8000.0, "pace",
				   5.3, "read-factor", 7.9, "name", "slow-22",
				   "size-mb", 21600.0, "pace", 16.0,
				   "read-factor", 8.2),
		.events = 40,
		.event_ms = 50,
		.on_run = note_run,
	};
	kit_open_store();
	worker = kit_listen("127.0.0.1", on_request, NULL);
	kit_put("config", "main", make_config());
	kit_put_worker("i-worker-0", "orderdisk", kit_address(worker));
	add_large(NULL);
	edge = kit_start_edge("edge-svealand-a-1", "127.0.0.1");
	kit_await_ready(edge, on_ready, NULL);
	kit_run();
}
