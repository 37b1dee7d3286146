/* Event splitter, header lists, settings, log budget and peer reports. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/core.h>
#include <wagtailferry/schema.h>

#include "edge/event_splitter.h"
#include "edge/log_budget.h"
#include "edge/hdr_fields.h"
#include "edge/prs_reports.h"
#include "support/fleet.h"
#include "support/runner.h"
#include "support/wire/wire.h"

static const char *const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"
				  ": note\n\nversion: 3\nid: 3\n\nid: 4\nda";
#define WHOLE_EVENTS 4

/* Guards against events that are truncated, merged or lost, depending on how
 * the stream is split into reads. */
START_TEST(events_are_split_correctly_at_any_read_size)
{
	size_t read_size = (size_t)_i + 1;
	struct evs_splitter splitter;
	GString *out = g_string_new(NULL);
	size_t at;

	evs_init(&splitter);
	for (at = 0; at < strlen(stream); at += read_size) {
		size_t ready = evs_add(&splitter, stream + at,
				       MIN(read_size, strlen(stream) - at));

		g_string_append_len(out, splitter.partial->str, (gssize)ready);
		evs_consume(&splitter, ready);
	}
	ck_assert_uint_eq(splitter.events, WHOLE_EVENTS);
	ck_assert_str_eq(splitter.last_id->str, "3");
	ck_assert_str_eq(splitter.partial->str, "id: 4\nda");
	ck_assert_uint_eq(strlen(stream) - strlen("id: 4\nda"), out->len);
	ck_assert(g_str_has_prefix(stream, out->str));
	ck_assert(!splitter.is_invalid);
	evs_discard_partial(&splitter);
	ck_assert_uint_eq(splitter.partial->len, 0);
	evs_clear(&splitter);
	g_string_free(out, TRUE);
}
END_TEST

/* Guards against taking comments, which a stalled target may go on sending, for
 * progress of its stream. */
START_TEST(comments_are_no_progress)
{
	static const char text[] = ": keep-alive\n\n:\r\n\r\n\n";
	struct evs_splitter splitter;

	evs_init(&splitter);
	ck_assert_uint_eq(evs_add(&splitter, text, strlen(text)), strlen(text));
	ck_assert_uint_eq(splitter.progress, 0);
	evs_consume(&splitter, strlen(text));
	evs_add(&splitter, ": a\ndata: b\n\n", 14);
	ck_assert_uint_eq(splitter.progress, 1);
	evs_clear(&splitter);
}
END_TEST

#define EVENT_BYTES (4 << 20)

/* Guards against scanning a long event from its start with each read, which
 * takes minutes for this one. */
START_TEST(long_event_is_scanned_once)
{
	static const char line[] = "data: 0123456789\n";
	struct evs_splitter splitter;
	size_t sent;

	evs_init(&splitter);
	for (sent = 0; sent < EVENT_BYTES; sent += strlen(line))
		ck_assert_uint_eq(evs_add(&splitter, line, strlen(line)), 0);
	ck_assert_uint_eq(splitter.scanned, sent);
	ck_assert_uint_eq(evs_add(&splitter, "\n", 1), sent + 1);
	ck_assert_uint_eq(splitter.events, 1);
	evs_clear(&splitter);
}
END_TEST

START_TEST(hop_by_hop_fields_are_recognised)
{
	struct hdr_list list;

	hdr_init(&list);
	hdr_add(&list, "Connection", "close, X-Mine");
	hdr_add(&list, "X-Other", "1");
	ck_assert(hdr_is_hop_by_hop(&list, "x-mine"));
	ck_assert(hdr_is_hop_by_hop(&list, "TRANSFER-ENCODING"));
	ck_assert(hdr_is_hop_by_hop(&list, "Keep-Alive"));
	ck_assert(!hdr_is_hop_by_hop(&list, "X-Other"));
	ck_assert(!hdr_is_hop_by_hop(&list, "X-Min"));
	ck_assert_str_eq(hdr_get(&list, "x-other"), "1");
	hdr_clear(&list);
}
END_TEST

#define SETTINGS_HEAD                                                         \
	"{\"instance\":\"i\",\"data_center\":\"d\","                          \
	"\"caller_address\":\"10.0.0.1:1\",\"ready_address\":\"10.0.0.1:2\"," \
	"\"store_address\":\"10.0.0.1:3\",\"peer_address\":\"10.0.0.1:4\""

struct settings_case {
	const char *text;
	/* Part of the error message; NULL if the settings are valid. */
	const char *expected_error;
};

static const struct settings_case settings_cases[] = {
	{SETTINGS_HEAD "}", NULL},
	{SETTINGS_HEAD ",\"retry_part\":0.25,\"seed\":7}", NULL},
	{SETTINGS_HEAD ",\"retry_part\":-1}", "retry_part"},
	{SETTINGS_HEAD ",\"retry_part\":\"x\"}", "retry_part"},
	{SETTINGS_HEAD ",\"key_removal_ms\":10}", "key_removal_ms"},
	{SETTINGS_HEAD ",\"memory_mb\":1}", "memory_mb"},
	{SETTINGS_HEAD ",\"unknown\":1}", "unknown"},
	{"{\"instance\":\"i\"}", "missing"},
	{SETTINGS_HEAD ",\"instance\":\"j\"}", "duplicate"},
	{"{", "line 1"},
};

START_TEST(settings_are_checked)
{
	const struct settings_case *test_case = &settings_cases[_i];
	GError *error = NULL;
	Wf__EdgeSettings *settings = sch_edge_settings_parse(
		test_case->text, strlen(test_case->text), &error);

	if (!test_case->expected_error) {
		ck_assert_ptr_nonnull(settings);
		ck_assert(settings->retry_part > 0.19);
		sch_edge_settings_free(settings);
		return;
	}
	ck_assert_ptr_null(settings);
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_SETTINGS));
	ck_assert_msg(strstr(error->message, test_case->expected_error) != NULL,
		      "%s", error->message);
	g_error_free(error);
}
END_TEST

/* Two instances whose reports are passed directly to each other. */
struct pair {
	struct wire_loop wire;
	struct ctr_set *counters;
	clk_ms now;
	struct flt_fleet *fleets[2];
	struct prs_peers *peers[2];
	/* Configuration version of both, and when it was confirmed. */
	int64_t version;
	clk_ms confirmed;
	/* Arguments of the last confirm callback. */
	int64_t reported_version;
	clk_ms reported_confirmed_at;
};

static clk_ms pair_now(void *user)
{
	return ((struct pair *)user)->now;
}

static int64_t pair_config(void *user, clk_ms *confirmed)
{
	struct pair *pair = user;

	*confirmed = pair->confirmed;
	return pair->version;
}

static void pair_confirm(void *user, int64_t version, clk_ms at)
{
	struct pair *pair = user;

	pair->reported_version = version;
	pair->reported_confirmed_at = at;
}

static struct prs_peers *new_peers(struct pair *pair, int i)
{
	static const char *const names[] = {"one", "two"};
	struct prs_config config = {
		.loop = &pair->wire.loop,
		.fleet = pair->fleets[i],
		.instance = names[i],
		.data_center = "a",
		.address = "127.0.0.1:0",
		.now = pair_now,
		.config = pair_config,
		.confirm = pair_confirm,
		.user = pair,
		.counters = pair->counters,
	};

	return prs_new(&config, NULL);
}

static void pair_open(struct pair *pair)
{
	struct flt_range range = {0, 10};
	int i;

	memset(pair, 0, sizeof(*pair));
	wire_open(&pair->wire);
	pair->counters = ctr_new();
	pair->now = 1000;
	for (i = 0; i < 2; i++) {
		pair->fleets[i] = flt_new();
		sup_list_engine(pair->fleets[i], 0, "e1", "a", "large", range);
		pair->peers[i] = new_peers(pair, i);
		ck_assert_ptr_nonnull(pair->peers[i]);
	}
}

static void pair_close(struct pair *pair)
{
	int i;

	for (i = 0; i < 2; i++) {
		prs_drop(pair->peers[i]);
		flt_drop(pair->fleets[i]);
	}
	wire_close(&pair->wire);
	ctr_drop(pair->counters);
}

static void deliver_to(struct pair *pair, int to, GBytes *report)
{
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(report, &len);

	prs_receive(pair->peers[to], bytes, len);
	g_bytes_unref(report);
}

static void deliver(struct pair *pair, GBytes *report)
{
	deliver_to(pair, 1, report);
}

static struct flt_target *engine(struct pair *pair, int i)
{
	return flt_find(pair->fleets[i], "e1");
}

START_TEST(load_of_a_peer_counts_once)
{
	struct pair pair;
	GBytes *old;

	pair_open(&pair);
	engine(&pair, 0)->on_path = 3;
	engine(&pair, 0)->in_flight = 2;
	engine(&pair, 0)->used_token_layers = 30000;
	old = prs_make_report(pair.peers[0], "two");
	engine(&pair, 0)->on_path = 5;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 5);
	ck_assert_uint_eq(engine(&pair, 1)->others.in_flight, 2);
	ck_assert(engine(&pair, 1)->others.token_layers == 30000);
	/* A report that arrives late, out of order, is ignored. */
	deliver(&pair, old);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 5);
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 5);
	ck_assert_uint_eq(prs_count_instances(pair.peers[1]), 2);
	pair_close(&pair);
}
END_TEST

/* Guards against load of a dead peer that is never removed. */
START_TEST(load_of_a_silent_peer_expires)
{
	struct pair pair;

	pair_open(&pair);
	engine(&pair, 0)->on_path = 3;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	pair.now += 2000;
	prs_expire(pair.peers[1]);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 3);
	pair.now += 1000;
	prs_expire(pair.peers[1]);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 0);
	ck_assert_uint_eq(prs_count_instances(pair.peers[1]), 2);
	pair.now += CLK_MINUTE;
	prs_expire(pair.peers[1]);
	ck_assert_uint_eq(prs_count_instances(pair.peers[1]), 1);
	pair_close(&pair);
}
END_TEST

#define LOG_LINES 400
#define LOG_BYTES 160000
#define FLOOD_LINES 10000
#define LINE_BYTES 300

/* Counts the lines of a class that are written in one second of a flood. */
static unsigned flood(struct lgb_budget *budget, clk_ms at,
		      enum lgb_class class)
{
	unsigned written = 0;
	unsigned i;

	for (i = 0; i < FLOOD_LINES; i++) {
		clk_ms now = at + i * CLK_SECOND / FLOOD_LINES;

		if (!lgb_allows(budget, now, class, wf_hash(&i, sizeof(i), 0)))
			continue;
		lgb_count_bytes(budget, class, LINE_BYTES);
		written++;
	}
	return written;
}

/* Guards against a flood of malformed requests that fills the log or uses up
 * the share of LGB_TROUBLE lines. */
START_TEST(flood_leaves_the_share_of_other_classes)
{
	struct lgb_budget budget;
	unsigned suppressed[LGB_CLASSES];
	unsigned written;

	lgb_init(&budget, LOG_LINES, LOG_BYTES);
	ck_assert_uint_le(flood(&budget, 1000, LGB_IMPROPER), LOG_LINES / 20);
	ck_assert_uint_ge(flood(&budget, 1000, LGB_TROUBLE), LOG_LINES / 4);
	ck_assert(!lgb_take_suppressed(&budget, 1999, suppressed));
	ck_assert(lgb_take_suppressed(&budget, 2000, suppressed));
	ck_assert_uint_ge(suppressed[LGB_IMPROPER],
			  FLOOD_LINES - LOG_LINES / 20);
	ck_assert_uint_eq(suppressed[LGB_STATE], 0);
	/* From the second second on lines are sampled evenly, near the share.
	 */
	written = flood(&budget, 2000, LGB_IMPROPER);
	ck_assert_uint_le(written, LOG_LINES / 20);
	ck_assert_uint_ge(written, LOG_LINES / 40);
	ck_assert(lgb_allows(&budget, 2999, LGB_STATE, 0));
}
END_TEST

/* Guards against long lines that exceed the byte limit but not the line limit.
 */
START_TEST(log_stays_within_its_byte_budget)
{
	struct lgb_budget budget;
	size_t bytes = 0;

	lgb_init(&budget, LOG_LINES, LOG_BYTES);
	while (lgb_allows(&budget, 1000, LGB_TROUBLE, 0)) {
		lgb_count_bytes(&budget, LGB_TROUBLE, 4096);
		bytes += 4096;
	}
	ck_assert_uint_le(bytes, LOG_BYTES / 2);
	ck_assert_uint_gt(bytes, 0);
}
END_TEST

/* Planned size: 43 instances in a data centre, 390 in total. */
#define LOCAL_PEERS 42
#define REMOTE_PEERS 347
#define MANY_TARGETS 80
/* Engines of a data centre and its neighbours at the planned size. */
#define ENGINES_IN_USE 130
/* Share of the 22 KB/s limit on control traffic of a node. */
#define REPORT_BYTES_PER_S 12000
#define REPORT_SECONDS 20

/* Guards against report traffic that grows with the peers and targets. */
START_TEST(reports_stay_within_byte_budget_at_planned_size)
{
	struct pair pair;
	Wf__LoadReport *report;
	GBytes *bytes;
	gsize len;
	const uint8_t *data;
	char name[16];
	int i;

	pair_open(&pair);
	for (i = 0; i < MANY_TARGETS; i++) {
		g_snprintf(name, sizeof(name), "t%d", i);
		sup_list_engine(pair.fleets[0], 0, name, "a", "large",
				(struct flt_range){0, 10});
		flt_find(pair.fleets[0], name)->on_path = 3;
	}
	for (i = 0; i < LOCAL_PEERS + REMOTE_PEERS; i++) {
		g_snprintf(name, sizeof(name), "p%d", i);
		prs_add_peer(pair.peers[0], name, i < LOCAL_PEERS ? "a" : "b",
			     "127.0.0.1:9");
	}
	for (i = 0; i < REPORT_SECONDS * 10; i++) {
		pair.now += 100;
		prs_send_round(pair.peers[0]);
		uv_run(&pair.wire.loop, UV_RUN_NOWAIT);
	}
	ck_assert_int_gt(ctr_get(pair.counters, "wf_peer_report_bytes_total"),
			 REPORT_BYTES_PER_S * REPORT_SECONDS / 2);
	ck_assert_int_le(ctr_get(pair.counters, "wf_peer_report_bytes_total"),
			 REPORT_BYTES_PER_S * (REPORT_SECONDS + 1));
	/* Every peer in the own data centre is sent reports in turn. */
	for (i = 0; i < LOCAL_PEERS; i++) {
		g_snprintf(name, sizeof(name), "p%d", i);
		bytes = prs_make_report(pair.peers[0], name);
		data = g_bytes_get_data(bytes, &len);
		report = wf__load_report__unpack(NULL, len, data);
		ck_assert(report->has_interval_ms);
		ck_assert_uint_lt(report->interval_ms, 10000);
		wf__load_report__free_unpacked(report, NULL);
		g_bytes_unref(bytes);
	}
	pair_close(&pair);
}
END_TEST

/*
 * Replays a crest at which an instance's streams run through most engines of
 * its fleet. Guards against engines that are left out of the report: peers
 * would take them for idle and all send there.
 */
START_TEST(report_covers_all_engines_in_use)
{
	struct pair pair;
	char name[16];
	int i;
	int j;

	pair_open(&pair);
	for (i = 0; i < ENGINES_IN_USE; i++) {
		g_snprintf(name, sizeof(name), "t%d", i);
		for (j = 0; j < 2; j++)
			sup_list_engine(pair.fleets[j], 0, name, "a", "large",
					(struct flt_range){0, 10});
		flt_find(pair.fleets[0], name)->on_path = 7;
	}
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	for (i = 0; i < ENGINES_IN_USE; i++) {
		g_snprintf(name, sizeof(name), "t%d", i);
		ck_assert_uint_eq(
			flt_find(pair.fleets[1], name)->others.on_path, 7);
	}
	pair_close(&pair);
}
END_TEST

static GBytes *pack(const Wf__LoadReport *report)
{
	size_t len = wf__load_report__get_packed_size(report);
	uint8_t *bytes = g_malloc(len);

	wf__load_report__pack(report, bytes);
	return g_bytes_new_take(bytes, len);
}

/* Delivers a report on data centre "b" from one of its instances. */
static void deliver_center(struct pair *pair, const char *instance,
			   uint64_t sequence, uint32_t instances,
			   uint32_t on_path)
{
	Wf__LoadReport report = WF__LOAD_REPORT__INIT;
	uint32_t target = engine(pair, 1)->id_hash;
	uint32_t in_flight = 0;
	uint32_t kilo = 10;

	report.instance = (char *)instance;
	report.data_center = "b";
	report.address = "127.0.0.1:9";
	report.incarnation = 1;
	report.sequence = sequence;
	report.has_instances = 1;
	report.instances = instances;
	report.n_target = report.n_in_flight = 1;
	report.n_on_path = report.n_kilo_token_layers = 1;
	report.target = &target;
	report.in_flight = &in_flight;
	report.on_path = &on_path;
	report.kilo_token_layers = &kilo;
	deliver(pair, pack(&report));
}

/* Guards against adding up the reports of several instances on the same data
 * centre, and against one that is cut off from its peers and knows its own
 * load only. */
START_TEST(load_of_a_data_center_counts_once)
{
	struct pair pair;

	pair_open(&pair);
	deliver_center(&pair, "b1", 1, 10, 50);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 50);
	deliver_center(&pair, "b2", 1, 9, 60);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 60);
	deliver_center(&pair, "b3", 1, 1, 4);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 60);
	/* Later it is the best that is known. */
	pair.now += 1500;
	deliver_center(&pair, "b3", 2, 1, 4);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 4);
	pair.now += 3000;
	prs_expire(pair.peers[1]);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 0);
	pair_close(&pair);
}
END_TEST

/* A report to another data centre has the load of the local peers, too. */
START_TEST(report_to_another_data_center_sums_the_own_one)
{
	struct pair pair;
	Wf__LoadReport *report;
	GBytes *bytes;
	gsize len;
	const uint8_t *data;

	pair_open(&pair);
	engine(&pair, 0)->on_path = 3;
	engine(&pair, 1)->on_path = 5;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	prs_add_peer(pair.peers[1], "far", "b", "127.0.0.1:9");
	bytes = prs_make_report(pair.peers[1], "far");
	data = g_bytes_get_data(bytes, &len);
	report = wf__load_report__unpack(NULL, len, data);
	ck_assert_uint_eq(report->instances, 2);
	ck_assert_uint_eq(report->n_on_path, 1);
	ck_assert_uint_eq(report->on_path[0], 8);
	wf__load_report__free_unpacked(report, NULL);
	g_bytes_unref(bytes);
	pair_close(&pair);
}
END_TEST

/* Guards against reading beyond the shorter of a report's arrays. */
START_TEST(report_with_unequal_arrays_is_dropped)
{
	struct pair pair;
	Wf__LoadReport report = WF__LOAD_REPORT__INIT;
	uint32_t targets[] = {1, 2, 3};

	pair_open(&pair);
	report.instance = report.data_center = "b";
	report.address = "127.0.0.1:9";
	report.n_target = G_N_ELEMENTS(targets);
	report.target = targets;
	deliver(&pair, pack(&report));
	ck_assert_int_eq(ctr_get(pair.counters, "wf_peer_bad_reports_total"),
			 1);
	report.n_in_flight = report.n_on_path = report.n_kilo_token_layers = 3;
	report.in_flight = report.on_path = targets;
	report.kilo_token_layers = targets;
	report.n_prefill_ms = 1;
	report.prefill_ms = targets;
	deliver(&pair, pack(&report));
	ck_assert_int_eq(ctr_get(pair.counters, "wf_peer_bad_reports_total"),
			 2);
	ck_assert_uint_eq(prs_count_instances(pair.peers[1]), 1);
	pair_close(&pair);
}
END_TEST

/* Guards against a short prompt that is sent to an engine at which another
 * instance's long prompts wait, also after that instance has stopped. */
START_TEST(prefill_of_peers_is_known_until_their_reports_stop)
{
	struct pair pair;
	struct flt_target *target;

	pair_open(&pair);
	target = engine(&pair, 0);
	target->on_path = 1;
	target->prefill_until = (double)pair.now + 700;
	flt_add_long_prefill(target, pair.now, 1000);
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	target = flt_find_by_hash(pair.fleets[1], target->id_hash);
	ck_assert_double_eq(target->others.prefill_ms, 700);
	ck_assert_double_eq(target->others.long_share, 0.2);
	pair.now += 600;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	ck_assert_double_eq(target->others.prefill_ms, 100);
	pair.now += 3000;
	prs_expire(pair.peers[1]);
	ck_assert_double_eq(target->others.prefill_ms, 0);
	ck_assert_double_eq(target->others.long_share, 0);
	pair_close(&pair);
}
END_TEST

/* Guards against load that alternates between dropped and counted, if a peer
 * has so many others to report to that its reports are far apart. */
START_TEST(infrequent_report_counts_until_the_next)
{
	struct pair pair;

	pair_open(&pair);
	prs_add_peer(pair.peers[0], "two", "a", "127.0.0.1:9");
	engine(&pair, 0)->on_path = 3;
	pair.now += 100;
	prs_send_round(pair.peers[0]);
	pair.now += 4000;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	pair.now += 4000;
	prs_expire(pair.peers[1]);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 3);
	pair.now += 9000;
	prs_expire(pair.peers[1]);
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 0);
	pair_close(&pair);
}
END_TEST

/* Guards against a delayed report making a configuration look newer than it
 * is: its age counts from our own report that the peer echoes. */
START_TEST(confirmation_is_dated_by_the_echoed_report)
{
	struct pair pair;
	GBytes *delayed;

	pair_open(&pair);
	pair.version = 4;
	pair.confirmed = 700;
	deliver_to(&pair, 0, prs_make_report(pair.peers[1], "one"));
	pair.now = 1500;
	pair.confirmed = 1400;
	delayed = prs_make_report(pair.peers[0], "two");
	pair.now = 9000;
	deliver(&pair, delayed);
	ck_assert_int_eq(pair.reported_version, 4);
	ck_assert_int_eq(pair.reported_confirmed_at, 1000 - (1500 - 1400));
	pair_close(&pair);
}
END_TEST

/* Guards against accepting an echo of an earlier process's report. */
START_TEST(echo_of_another_process_confirms_nothing)
{
	struct pair pair;

	pair_open(&pair);
	pair.version = 4;
	pair.confirmed = 900;
	deliver_to(&pair, 0, prs_make_report(pair.peers[1], "one"));
	prs_drop(pair.peers[1]);
	pair.now = 2000;
	pair.peers[1] = new_peers(&pair, 1);
	pair.reported_version = -1;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	ck_assert_int_eq(pair.reported_version, -1);
	pair_close(&pair);
}
END_TEST

START_TEST(report_without_an_echo_confirms_nothing)
{
	struct pair pair;

	pair_open(&pair);
	pair.version = 4;
	pair.reported_version = -1;
	deliver(&pair, prs_make_report(pair.peers[0], "two"));
	ck_assert_int_eq(pair.reported_version, -1);
	pair_close(&pair);
}
END_TEST

/* Guards against a crash or wrong load from random bytes. */
START_TEST(malformed_reports_are_ignored)
{
	struct pair pair;
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	uint8_t bytes[64];
	size_t i;

	pair_open(&pair);
	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)g_rand_int(rand);
	prs_receive(pair.peers[1], bytes,
		    (size_t)g_rand_int_range(rand, 0, sizeof(bytes)));
	ck_assert_uint_eq(engine(&pair, 1)->others.on_path, 0);
	g_rand_free(rand);
	pair_close(&pair);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("edge_parts");

	tcase_add_loop_test(tcase, events_are_split_correctly_at_any_read_size,
			    0, 20);
	tcase_add_test(tcase, comments_are_no_progress);
	tcase_add_test(tcase, long_event_is_scanned_once);
	tcase_add_test(tcase, hop_by_hop_fields_are_recognised);
	tcase_add_loop_test(tcase, settings_are_checked, 0,
			    G_N_ELEMENTS(settings_cases));
	tcase_add_test(tcase, load_of_a_peer_counts_once);
	tcase_add_test(tcase, flood_leaves_the_share_of_other_classes);
	tcase_add_test(tcase, log_stays_within_its_byte_budget);
	tcase_add_test(tcase, load_of_a_silent_peer_expires);
	tcase_add_test(tcase, report_covers_all_engines_in_use);
	tcase_add_test(tcase, load_of_a_data_center_counts_once);
	tcase_add_test(tcase, report_to_another_data_center_sums_the_own_one);
	tcase_add_test(tcase, report_with_unequal_arrays_is_dropped);
	tcase_add_test(tcase,
		       prefill_of_peers_is_known_until_their_reports_stop);
	tcase_add_test(tcase, reports_stay_within_byte_budget_at_planned_size);
	tcase_add_test(tcase, infrequent_report_counts_until_the_next);
	tcase_add_test(tcase, confirmation_is_dated_by_the_echoed_report);
	tcase_add_test(tcase, echo_of_another_process_confirms_nothing);
	tcase_add_test(tcase, report_without_an_echo_confirms_nothing);
	tcase_add_loop_test(tcase, malformed_reports_are_ignored, 0, 50);
	return sup_run_case("edge_parts", tcase);
}
