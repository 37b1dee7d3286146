/*
 * One edge instance and workers that crash on a part of a prompt. Guards
 * against sending such requests to worker after worker, and against refusing
 * others: a crash comes with the end of a process, not only with a lost
 * connection.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <schema/edge.pb-c.h>

#include "edge/prs_reports.h"

#include "platform/support/stand_in.h"
#include "support/runner.h"

#define KEY "Authorization: Token key1\r\n"
#define TOKENS "X-Wagtailferry-Token-Counts: 50,50\r\n"
#define PARTS "X-Wagtailferry-Prompt-Prefix: "
#define DEADLY_PARTS PARTS "5a:10,dead:20,"
#define SOUND_PARTS PARTS "5a:10,"
#define HEADS 4
/* Longer than the time within which crashes count as one. */
#define GAP_MS 220
/* Crashes after which the users' rule allows MAX_LATE_REQUESTS more requests.
 */
#define MAX_CRASHES 5
#define MAX_LATE_REQUESTS 3

static void open_heads(struct platform_world *world)
{
	char id[8];
	int i;

	world_open(world);
	world_put(world, "config", "main", world_config(1));
	for (i = 0; i < HEADS; i++) {
		g_snprintf(id, sizeof(id), "h%d", i);
		world_worker(world, id, "model", 0, 4);
	}
	world_worker(world, "t1", "model", 4, 8);
	world_worker(world, "t2", "model", 4, 8);
	world_start_ready_edge(world);
}

/* Sends a stream whose own, last part differs from all others. */
static struct wire_client *send_stream(struct platform_world *world,
				       const char *parts)
{
	static unsigned next;
	char *extra = g_strdup_printf(KEY TOKENS "%s%x:20\r\n", parts,
				      0xe000 + next++);
	struct wire_client *client =
		world_request(world, "POST", "/stream/a", extra, "");

	g_free(extra);
	return client;
}

static bool has_ended(void *user)
{
	struct wire_client *client = user;

	return client->closed ||
	       g_str_has_prefix(client->received->str, "HTTP/1.1 50");
}

static void await_end(struct platform_world *world, struct wire_client *client)
{
	wire_run_until(&world->wire, has_ended, client);
	wire_client_drop(client);
}

static void await_events(struct platform_world *world,
			 struct wire_client *client)
{
	wire_client_await(&world->wire, client, "data: two");
	wire_client_drop(client);
}

/* Sends requests with the deadly part until well after the last crash. */
static void send_deadly_requests(struct platform_world *world, unsigned n)
{
	unsigned i;

	world->deadly_part = "dead:";
	for (i = 0; i < n; i++) {
		await_end(world, send_stream(world, DEADLY_PARTS));
		await_events(world, send_stream(world, SOUND_PARTS));
		world_run(world, GAP_MS);
	}
}

START_TEST(part_that_crashes_engines_reaches_few_of_them)
{
	struct platform_world world;
	struct wire_client *client;
	unsigned reached;

	open_heads(&world);
	send_deadly_requests(&world, 12);
	reached = world.deadly_requests;
	ck_assert_uint_le(reached, MAX_CRASHES + MAX_LATE_REQUESTS);
	client = send_stream(&world, DEADLY_PARTS);
	wire_client_await(&world.wire, client, "HTTP/1.1 503 ");
	wire_client_await(&world.wire, client, "Retry-After: ");
	wire_client_drop(client);
	ck_assert_uint_eq(world.deadly_requests, reached);
	ck_assert_int_ge(
		ctr_get(world.counters, "wf_edge_quarantine_refused_total"), 1);
	world_close(&world);
}
END_TEST

/* Guards against a part that an event of each of its runs clears. */
START_TEST(part_that_crashes_engines_in_the_stream_reaches_few_of_them)
{
	struct platform_world world;
	struct wire_client *client;

	open_heads(&world);
	world.deadly_events = (unsigned)_i % 4;
	world.deadly_is_raw = _i > 4;
	send_deadly_requests(&world, 12);
	ck_assert_uint_le(world.deadly_requests,
			  MAX_CRASHES + MAX_LATE_REQUESTS);
	client = send_stream(&world, DEADLY_PARTS);
	wire_client_await(&world.wire, client, "HTTP/1.1 503 ");
	wire_client_drop(client);
	await_events(&world, send_stream(&world, SOUND_PARTS));
	world_close(&world);
}
END_TEST

/* Guards against a sound stream that ends because engines under it crash: its
 * parts have a crash each, its answer is not whole before the end. */
START_TEST(sound_stream_outlives_two_crashes)
{
	struct platform_world world;
	struct wire_client *client;
	unsigned n = 0;
	unsigned i;

	open_heads(&world);
	world_set_modes(&world, WORKER_STALLS_STREAM);
	client = send_stream(&world, SOUND_PARTS);
	wire_client_await(&world.wire, client, "data: one");
	while (n < 2) {
		for (i = 0; i < HEADS; i++) {
			struct worker *head = world.workers->pdata[i];

			if (!head->stream)
				continue;
			worker_crash(head, head->stream);
			head->stream = NULL;
			n++;
		}
		world_run(&world, GAP_MS);
	}
	for (i = 0; i < HEADS; i++) {
		struct worker *head = world.workers->pdata[i];

		if (head->stream)
			worker_resume_stream(head);
	}
	await_events(&world, client);
	world_close(&world);
}
END_TEST

/* One request is not resumed at head after head. */
START_TEST(deadly_request_costs_two_engines_at_most)
{
	struct platform_world world;

	open_heads(&world);
	world.deadly_part = "dead:";
	await_end(&world, send_stream(&world, DEADLY_PARTS));
	ck_assert_uint_le(world.deadly_requests, 2);
	world_close(&world);
}
END_TEST

/* The process of a worker that only cuts connections goes on. */
START_TEST(cut_connections_without_a_crash_suspect_nothing)
{
	struct platform_world world;
	unsigned i;

	open_heads(&world);
	world_set_modes(&world, WORKER_CUTS_STREAM);
	for (i = 0; i < 6; i++) {
		await_end(&world, send_stream(&world, SOUND_PARTS));
		world_run(&world, GAP_MS);
	}
	ck_assert_int_eq(
		ctr_get(world.counters, "wf_edge_quarantine_crashes_total"), 0);
	world_set_modes(&world, WORKER_ANSWERS);
	await_events(&world, send_stream(&world, SOUND_PARTS));
	world_close(&world);
}
END_TEST

/* Guards against paths that count on a head until its entry is gone, seconds
 * after it has crashed. */
START_TEST(head_that_cuts_connections_and_does_not_report_is_lost)
{
	struct platform_world world;
	struct worker *lost;
	unsigned i;

	open_heads(&world);
	lost = world.workers->pdata[0];
	lost->mode = WORKER_CUTS_STREAM;
	lost->closes_on_report = true;
	for (i = 0; i < 100 && !lost->requests; i++)
		await_events(&world, send_stream(&world, ""));
	ck_assert_uint_eq(lost->requests, 1);
	/* Longer than a head is avoided after one failure. */
	world_run(&world, 600);
	for (i = 0; i < 100; i++)
		await_events(&world, send_stream(&world, ""));
	ck_assert_uint_eq(lost->requests, 1);
	world_close(&world);
}
END_TEST

/* Another instance has learned of the part before this one, which must not
 * send requests that wait or run without an event any further. */
START_TEST(verdict_of_peers_ends_a_request_in_progress)
{
	struct platform_world world;
	struct wire_client *client;
	uint64_t keys[QTN_MAX_PROMPT_PARTS];
	struct qtn_record records[3];
	clk_ms now;
	unsigned i;

	open_heads(&world);
	world_set_modes(&world, WORKER_SILENT);
	client = send_stream(&world, DEADLY_PARTS);
	world_run(&world, 50);
	ck_assert_uint_eq(qtn_parse_parts("5a,dead,x", "model", keys), 2);
	for (i = 0; i < 3; i++)
		records[i] =
			(struct qtn_record){keys[1], 2 * i + 2, 0, 1000 * i};
	now = edg_now(world.edge);
	qtn_merge(edg_quarantine(world.edge), now, records, 3);
	wire_client_await(&world.wire, client, "HTTP/1.1 502 ");
	wire_client_drop(client);
	client = send_stream(&world, DEADLY_PARTS);
	wire_client_await(&world.wire, client, "HTTP/1.1 503 ");
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Two instances whose reports are passed directly to each other. */
struct pair {
	struct wire_loop wire;
	struct ctr_set *counters;
	struct flt_fleet *fleet;
	struct qtn_quarantine *quarantines[2];
	struct prs_peers *peers[2];
};

static clk_ms pair_now(void *user)
{
	(void)user;
	return CLK_MINUTE;
}

static int64_t pair_config(void *user, clk_ms *confirmed)
{
	(void)user;
	*confirmed = 0;
	return -1;
}

static void pair_confirm(void *user, int64_t version, clk_ms at)
{
	(void)user;
	(void)version;
	(void)at;
}

static void pair_open(struct pair *pair)
{
	static const char *const names[] = {"one", "two"};
	int i;

	wire_open(&pair->wire);
	pair->counters = ctr_new();
	pair->fleet = flt_new();
	for (i = 0; i < 2; i++) {
		struct prs_config config = {
			.loop = &pair->wire.loop,
			.fleet = pair->fleet,
			.instance = names[i],
			.data_center = i ? "b" : "a",
			.address = "127.0.0.1:0",
			.now = pair_now,
			.config = pair_config,
			.confirm = pair_confirm,
			.counters = pair->counters,
		};

		pair->quarantines[i] = config.quarantine = qtn_new((uint64_t)i);
		pair->peers[i] = prs_new(&config, NULL);
		ck_assert_ptr_nonnull(pair->peers[i]);
	}
}

static void pair_close(struct pair *pair)
{
	int i;

	for (i = 0; i < 2; i++) {
		prs_drop(pair->peers[i]);
		qtn_drop(pair->quarantines[i]);
	}
	wire_close(&pair->wire);
	flt_drop(pair->fleet);
	ctr_drop(pair->counters);
}

/* Passes a report of the first instance to the second. */
static void pass_report(struct pair *pair)
{
	GBytes *report = prs_make_report(pair->peers[0], "two");
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(report, &len);

	prs_receive(pair->peers[1], bytes, len);
	g_bytes_unref(report);
}

/* Also to an instance of another data centre that has just started. */
START_TEST(report_carries_evidence)
{
	const unsigned flags[] = {0, qtn_crash_flags(3, 2)};
	struct pair pair;
	const uint64_t part = 7;
	unsigned i;

	pair_open(&pair);
	for (i = 0; i < 3; i++)
		qtn_record_crash(pair.quarantines[0],
				 CLK_MINUTE - 1000 * (clk_ms)i, part, 2 * i + 2,
				 flags[_i]);
	pass_report(&pair);
	ck_assert_uint_eq(qtn_count(pair.quarantines[1], CLK_MINUTE), 1);
	/* An event clears no crashes in the stream, a whole answer does. */
	qtn_record_events(pair.quarantines[0], CLK_MINUTE, &part, 1, 1);
	pass_report(&pair);
	ck_assert_uint_eq(qtn_count(pair.quarantines[1], CLK_MINUTE),
			  (unsigned)_i);
	qtn_record_whole(pair.quarantines[0], CLK_MINUTE, &part, 1);
	pass_report(&pair);
	ck_assert_uint_eq(qtn_count(pair.quarantines[1], CLK_MINUTE), 0);
	pair_close(&pair);
}
END_TEST

/* Arrays of different lengths must not be read beyond their end. */
START_TEST(report_with_incomplete_evidence_is_dropped)
{
	struct pair pair;
	Wf__LoadReport report = WF__LOAD_REPORT__INIT;
	uint64_t parts[] = {7, 7, 7};
	uint32_t crashes[] = {2, 4, 6};
	uint32_t ages[] = {0, 1000, 2000};
	uint32_t flags[] = {0, 0, 0};
	uint8_t bytes[256];
	size_t len;

	pair_open(&pair);
	report.instance = (char *)"one";
	report.data_center = (char *)"a";
	report.address = (char *)"127.0.0.1:1";
	report.incarnation = report.sequence = 1;
	report.suspect_part = parts;
	report.suspect_crash = crashes;
	report.suspect_age_ms = ages;
	report.n_suspect_part = report.n_suspect_age_ms = 3;
	report.n_suspect_crash = 2;
	len = wf__load_report__pack(&report, bytes);
	prs_receive(pair.peers[1], bytes, len);
	ck_assert_int_eq(ctr_get(pair.counters, "wf_peer_bad_reports_total"),
			 1);
	ck_assert_uint_eq(qtn_count(pair.quarantines[1], CLK_MINUTE), 0);
	report.n_suspect_crash = 3;
	report.suspect_flags = flags;
	report.n_suspect_flags = 2;
	len = wf__load_report__pack(&report, bytes);
	prs_receive(pair.peers[1], bytes, len);
	ck_assert_int_eq(ctr_get(pair.counters, "wf_peer_bad_reports_total"),
			 2);
	/* Earlier versions send no flags. */
	report.n_suspect_flags = 0;
	len = wf__load_report__pack(&report, bytes);
	prs_receive(pair.peers[1], bytes, len);
	ck_assert_uint_eq(qtn_count(pair.quarantines[1], CLK_MINUTE), 1);
	pair_close(&pair);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("quarantine_wire");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, part_that_crashes_engines_reaches_few_of_them);
	tcase_add_loop_test(
		tcase,
		part_that_crashes_engines_in_the_stream_reaches_few_of_them, 1,
		8);
	tcase_add_test(tcase, sound_stream_outlives_two_crashes);
	tcase_add_test(tcase, deadly_request_costs_two_engines_at_most);
	tcase_add_test(tcase, cut_connections_without_a_crash_suspect_nothing);
	tcase_add_test(tcase,
		       head_that_cuts_connections_and_does_not_report_is_lost);
	tcase_add_test(tcase, verdict_of_peers_ends_a_request_in_progress);
	tcase_add_loop_test(tcase, report_carries_evidence, 0, 2);
	tcase_add_test(tcase, report_with_incomplete_evidence_is_dropped);
	return sup_run_case("quarantine_wire", tcase);
}
