#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/standin/kit.h"

/*
 * Two of five workers spoil a few of their answers, in spells: after the last
 * chunk of the body they send the last field of the head again. The next answer
 * on that connection is sound. Looks for bookings that a worker ran, and whose
 * client was told by 503 that they have not run and never will; the client then
 * sends the order again, as it may.
 */

#define WORKERS 5
/* The doses of garble on the site's days: share up to 0.444, x up to 0.0298,
 * for up to 6.87 s. */
#define SPOILING_WORKERS 2
#define SPOILED_ONE_IN 34
#define SPELL_MS 6500
#define SPELL_INTERVAL_MS 8000
#define FIRST_SPELL_MS 1000
#define WORK_MS 20
#define TRAFFIC_UNTIL_MS 58000
#define END_MS 62000
#define ORDER_INTERVAL_MS 20
#define MAX_ORDERS 4000
#define KEPT_CLIENTS 16
/* A worker is full for one request in four. */
#define REFUSED_ONE_IN 4
#define RETRY_MS 300

struct worker {
	struct kit_server *server;
	char id[32];
	unsigned requests;
	unsigned answers;
	unsigned made;
};

struct job {
	struct worker *worker;
	struct kit_conn *conn;
	char *id;
	char *order;
	bool is_refused;
};

struct caller {
	struct kit_client *client;
	char id[24];
	unsigned order;
	bool is_retry;
	bool is_busy;
};

static struct worker workers[WORKERS];
static struct kit_edge *edge;
static struct caller callers[KEPT_CLIENTS];
/* Attempt ids that a worker has run. */
static GHashTable *runs;
/* Runs of each order. */
static unsigned order_runs[MAX_ORDERS + 1];
/* Stamps to the attempt ids that they were given to. */
static GHashTable *owners;
static unsigned attempts;
static unsigned orders;
static unsigned served;
static unsigned refused;
static unsigned failed;
static unsigned spoiled;
static bool is_spell;
static unsigned refused_but_run;
static unsigned foreign;

/* Workers */

static bool spoils_next(struct worker *worker)
{
	return is_spell && worker < &workers[SPOILING_WORKERS] &&
	       ++worker->answers % SPOILED_ONE_IN == 0;
}

static void send_answer(struct job *job, int status, const char *last_field)
{
	bool is_spoiled = spoils_next(job->worker);
	char *text = g_strdup_printf("HTTP/1.1 %d Status\r\n"
				     "X-Wagtailferry-Attempt-Id: %s\r\n"
				     "Transfer-Encoding: chunked\r\n"
				     "%s\r\n\r\n"
				     "5\r\norder\r\n0\r\n%s%s\r\n",
				     status, job->id, last_field,
				     is_spoiled ? last_field : "",
				     is_spoiled ? "\r\n" : "");

	spoiled += is_spoiled;
	kit_record("%s answers %s with %d on connection %u%s", job->worker->id,
		   job->id, status, kit_conn_number(job->conn),
		   is_spoiled ? ", with more bytes behind the body" : "");
	if (kit_conn_is_open(job->conn))
		kit_send_text(job->conn, text);
	g_free(text);
}

static void finish_job(void *user)
{
	struct job *job = user;
	char *field;
	char *stamp;

	if (job->is_refused) {
		send_answer(job, 503, "X-Wagtailferry-Not-Executed: 1");
	} else {
		stamp = g_strdup_printf("%s.%u.%08x", job->worker->id,
					++job->worker->made, g_random_int());
		field = g_strdup_printf("X-Wagtailferry-Server-Stamp: %s",
					stamp);
		g_hash_table_insert(owners, stamp, g_strdup(job->id));
		send_answer(job, 200, field);
		g_free(field);
	}
	kit_conn_drop(job->conn);
	g_free(job->id);
	g_free(job->order);
	g_free(job);
}

static void on_request(struct kit_conn *conn, struct kit_message *request,
		       void *user)
{
	struct worker *worker = user;
	const char *id = kit_field(request, "x-wagtailferry-attempt-id");
	struct job *job;

	if (!id) {
		kit_answer(conn, 200, "", "", 0);
		return;
	}
	job = g_new0(struct job, 1);
	job->worker = worker;
	job->conn = kit_conn_keep(conn);
	job->id = g_strdup(id);
	job->order = g_strdup(request->body->str);
	job->is_refused = ++worker->requests % REFUSED_ONE_IN == 0;
	if (job->is_refused) {
		finish_job(job);
		return;
	}
	kit_record("%s runs %s, order %s", worker->id, id, job->order);
	g_hash_table_add(runs, g_strdup(id));
	order_runs[MIN(atoi(job->order), MAX_ORDERS)]++;
	kit_after(WORK_MS, finish_job, job);
}

/* Clients */

static void check_stamps(const struct caller *caller,
			 const struct kit_message *answer)
{
	static const char name[] = "x-wagtailferry-server-stamp:";
	char **lines = g_strsplit(answer->head->str, "\r\n", -1);
	unsigned i;

	for (i = 1; lines[i]; i++) {
		const char *owner;

		if (g_ascii_strncasecmp(lines[i], name, strlen(name)) != 0)
			continue;
		owner = g_hash_table_lookup(
			owners, g_strstrip(lines[i] + strlen(name)));
		if (g_strcmp0(owner, caller->id) == 0)
			continue;
		foreign++;
		kit_record("client: the answer to %s has the stamp of %s",
			   caller->id, owner ? owner : "nobody");
	}
	g_strfreev(lines);
}

static void send_order(struct caller *caller);

static void send_again(void *user)
{
	struct caller *caller = user;

	caller->is_retry = true;
	send_order(caller);
}

static void on_refused(struct caller *caller)
{
	refused++;
	if (g_hash_table_contains(runs, caller->id)) {
		refused_but_run++;
		kit_record("client: %s, order %u, gets 503 and has run",
			   caller->id, caller->order);
	}
	/* A client's one retry, on a new connection. */
	if (caller->is_retry) {
		caller->is_busy = false;
		return;
	}
	if (caller->client)
		kit_client_close(caller->client);
	caller->client = NULL;
	kit_after(RETRY_MS, send_again, caller);
}

static void on_answer(struct kit_client *client, struct kit_message *answer,
		      void *user)
{
	struct caller *caller = user;

	if (!kit_client_is_open(client)) {
		kit_client_close(client);
		caller->client = NULL;
	}
	if (!answer->is_cut && answer->status == 503) {
		on_refused(caller);
		return;
	}
	caller->is_busy = false;
	if (!answer->is_cut && answer->status == 200) {
		served++;
		check_stamps(caller, answer);
		return;
	}
	failed++;
	kit_record("client: %s gets %d%s", caller->id, answer->status,
		   answer->is_cut ? ", cut" : "");
}

static void send_order(struct caller *caller)
{
	char order[16];
	char *request;

	if (!caller->client)
		caller->client = kit_connect(kit_front(edge));
	snprintf(caller->id, sizeof(caller->id), "%08x%08x", ++attempts,
		 g_random_int());
	snprintf(order, sizeof(order), "%u", caller->order);
	request = g_strdup_printf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\n"
				  "X-Wagtailferry-Attempt-Id: %s\r\n"
				  "X-Wagtailferry-Deadline-Ms: 3000\r\n"
				  "Content-Length: %zu\r\n\r\n%s",
				  KIT_HOST, caller->id, strlen(order), order);
	caller->is_busy = true;
	kit_request(caller->client, request, strlen(request), on_answer,
		    caller);
	g_free(request);
}

static void send_next(void *user)
{
	unsigned i;

	for (i = 0; i < KEPT_CLIENTS && callers[i].is_busy; i++)
		;
	if (i < KEPT_CLIENTS && orders < MAX_ORDERS) {
		callers[i].order = ++orders;
		callers[i].is_retry = false;
		send_order(&callers[i]);
	}
	if (kit_now() < TRAFFIC_UNTIL_MS)
		kit_after(ORDER_INTERVAL_MS, send_next, user);
}

/* The disruption */

static void end_spell(void *user)
{
	(void)user;
	is_spell = false;
	kit_record("answers are sound");
}

static void start_spell(void *user)
{
	is_spell = true;
	kit_record("%d of %d workers spoil one answer in %d", SPOILING_WORKERS,
		   WORKERS, SPOILED_ONE_IN);
	kit_after(SPELL_MS, end_spell, user);
	if (kit_now() + SPELL_INTERVAL_MS < TRAFFIC_UNTIL_MS)
		kit_after(SPELL_INTERVAL_MS, start_spell, user);
}

static void judge(void *user)
{
	unsigned doubled = 0;
	unsigned i;

	(void)user;
	for (i = 1; i <= MAX_ORDERS; i++)
		doubled += order_runs[i] > 1;
	kit_record("orders sent %u, served %u, refused %u, failed %u; answers "
		   "spoiled %u",
		   orders, served, refused, failed, spoiled);
	kit_record("bookings answered 503 that have run: %u; orders booked "
		   "twice: %u; answers with another request's stamp: %u",
		   refused_but_run, doubled, foreign);
	if (served < orders / 2 || !orders)
		kit_finish(KIT_NOT_RUN);
	kit_finish(refused_but_run ? KIT_BROKEN : KIT_HELD);
}

static void on_ready(void *user)
{
	send_next(user);
	if (kit_trouble)
		kit_after(FIRST_SPELL_MS, start_spell, user);
	kit_after(END_MS, judge, user);
}

static void open_worker(struct worker *worker, unsigned i)
{
	worker->server = kit_listen("127.0.0.1", on_request, worker);
	snprintf(worker->id, sizeof(worker->id), "i-worker-%u", i);
	kit_put_worker(worker->id, "orderdisk", kit_address(worker->server));
}

int main(int argc, char **argv)
{
	unsigned i;

	kit_open(argc, argv);
	runs = g_hash_table_new(g_str_hash, g_str_equal);
	owners = g_hash_table_new(g_str_hash, g_str_equal);
	kit_open_store();
	kit_put("config", "main",
		kit_config(
			7,
			json_pack("[o]",
				  kit_route("/puxa403/", "non_idempotent",
					    "orderdisk", 1,
					    json_pack("{s:i,s:i}", "timeout-ms",
						      1500, "slo-ms", 300))),
			json_pack("[{s:s,s:s,s:i,s:s,s:b}]", "name",
				  "orderdisk", "health-path", "/healthz",
				  "max-conns", 110, "protocol", "h1", "tls", 0),
			NULL));
	for (i = 0; i < WORKERS; i++)
		open_worker(&workers[i], i);
	edge = kit_start_edge("edge-svealand-a-1", "127.0.0.1");
	kit_await_ready(edge, on_ready, NULL);
	kit_run();
}
