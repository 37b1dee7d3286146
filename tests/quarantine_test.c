/*
 * Replays of crash patterns against the quarantine of prompt parts. Guards
 * against a part that crashes engine after engine, and against refusing
 * requests whose parts are sound: those cut by the same crashes, those that
 * share parts with the requests that cause them, and those of a failed rack.
 */

#include <check.h>
#include <string.h>

#include <wagtailferry/quarantine.h>

#include "support/runner.h"

/* Parts: shared by sound requests, deadly, and of other requests. */
#define SHARED 1
#define DEADLY 2
#define OTHER 3
/* Between two crashes of a pattern. */
#define STEP_MS 500
/* By then each part that was quarantined for three crashes may be probed. */
#define FIRST_PROBE_MS (90 * CLK_SECOND)

static const uint64_t deadly_request[] = {SHARED, DEADLY};
static const uint64_t sound_request[] = {SHARED};

static enum qtn_verdict check(struct qtn_quarantine *quarantine, clk_ms now,
			      const uint64_t *parts, unsigned n)
{
	clk_ms retry_after = 0;
	enum qtn_verdict verdict =
		qtn_check(quarantine, now, parts, n, false, &retry_after);

	ck_assert_int_eq(verdict >= QTN_HELD, retry_after > 0);
	return verdict;
}

static enum qtn_verdict check_deadly(struct qtn_quarantine *quarantine,
				     clk_ms now)
{
	return check(quarantine, now, deadly_request, 2);
}

/* Engines first to first + n - 1 crash one after another while they run a
 * request with the deadly part. Returns the time of the last crash. */
static clk_ms crash_engines(struct qtn_quarantine *quarantine, clk_ms at,
			    uint32_t first, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		at += STEP_MS;
		qtn_record_crash(quarantine, at, SHARED, 2 * (first + i), 0);
		qtn_record_crash(quarantine, at, DEADLY, 2 * (first + i), 0);
	}
	return at;
}

static void send_evidence(struct qtn_quarantine *from,
			  struct qtn_quarantine *to, clk_ms now)
{
	struct qtn_record records[QTN_MAX_RECORDS];
	unsigned n = qtn_export(from, now, records);

	ck_assert_uint_le(n, QTN_MAX_RECORDS);
	qtn_merge(to, now, records, n);
}

START_TEST(third_crash_quarantines_a_part)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	struct qtn_change change;
	clk_ms now = crash_engines(quarantine, 1000, 1, 2);

	ck_assert_uint_eq(qtn_count(quarantine, now), 0);
	ck_assert(!qtn_next_change(quarantine, now, &change));
	now = crash_engines(quarantine, now, 3, 1);
	qtn_record_events(quarantine, now, sound_request, 1, 1);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_QUARANTINED);
	ck_assert(qtn_next_change(quarantine, now, &change));
	ck_assert_uint_eq(change.part, DEADLY);
	ck_assert_uint_eq(change.crashes, 3);
	ck_assert(!qtn_next_change(quarantine, now, &change));
	ck_assert_uint_eq(qtn_count(quarantine, now), 1);
	qtn_drop(quarantine);
}
END_TEST

/* The engine had begun to write: the head of the answer came, but no event. */
START_TEST(second_crash_after_the_head_of_an_answer_quarantines)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = 1000;

	qtn_record_crash(quarantine, now, DEADLY, qtn_crash_id(10, true), 0);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_PROBE);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_HELD);
	/* Another request that the same crash cut had no answer yet. */
	qtn_record_crash(quarantine, now, DEADLY, qtn_crash_id(10, false), 0);
	/* Crashes at the same time still count as one. */
	qtn_record_crash(quarantine, now + 10, DEADLY, qtn_crash_id(20, true),
			 0);
	ck_assert_uint_eq(qtn_count(quarantine, now + 10), 0);
	now += STEP_MS;
	qtn_record_crash(quarantine, now, DEADLY, qtn_crash_id(30, false), 0);
	ck_assert_uint_eq(qtn_count(quarantine, now), 0);
	qtn_record_crash(quarantine, now, DEADLY, qtn_crash_id(30, true), 0);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_QUARANTINED);
	ck_assert_uint_ne(qtn_crash_id(0, false), 0);
	qtn_drop(quarantine);
}
END_TEST

/* From the second crash on one request can't cost several engines at once. */
START_TEST(suspected_part_is_probed_by_one_request_at_a_time)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = crash_engines(quarantine, 1000, 1, 2);

	ck_assert_int_eq(check_deadly(quarantine, now), QTN_PROBE);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_HELD);
	qtn_end_probe(quarantine, deadly_request, 2);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_PROBE);
	/* A probe that never ends does not block the part for good. */
	ck_assert_int_eq(check_deadly(quarantine, now + CLK_MINUTE), QTN_PROBE);
	qtn_drop(quarantine);
}
END_TEST

START_TEST(event_of_a_run_clears_its_parts)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = crash_engines(quarantine, 1000, 1, 2);

	qtn_record_events(quarantine, now, deadly_request, 2, 1);
	ck_assert(!qtn_is_suspected(quarantine, now, deadly_request, 2));
	now = crash_engines(quarantine, now, 3, 1);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

/* Each crash cuts 40 sound requests; each of their next runs has an event. */
START_TEST(parts_of_sound_requests_cut_by_crashes_stay_allowed)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = 1000;
	uint64_t part;
	unsigned i;

	for (i = 0; i < 20; i++) {
		now = crash_engines(quarantine, now, i + 1, 1);
		for (part = 100; part < 140; part++)
			qtn_record_crash(quarantine, now, part, 2 * (i + 1), 0);
		for (part = 100; part < 140; part++)
			qtn_record_events(quarantine, now + 50, &part, 1, 1);
		qtn_record_events(quarantine, now + 50, sound_request, 1, 1);
	}
	for (part = 100; part < 140; part++)
		ck_assert_int_eq(check(quarantine, now + 60, &part, 1),
				 QTN_ALLOWED);
	ck_assert_int_eq(check(quarantine, now + 60, sound_request, 1),
			 QTN_ALLOWED);
	ck_assert_int_eq(check_deadly(quarantine, now + 60), QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against a part that the first event of each run clears although the
 * engine crashes later in the answer: of one request, or of several that have
 * no second run. */
START_TEST(crashes_in_the_stream_quarantine_a_part)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	unsigned crashes = 3;
	clk_ms now = 1000;
	unsigned retry;

	for (retry = 0; retry < crashes; retry++) {
		unsigned flags = qtn_crash_flags(1, _i ? retry : 0);

		ck_assert_uint_eq(qtn_count(quarantine, now), 0);
		qtn_record_events(quarantine, now, deadly_request, 2, 1);
		now += STEP_MS;
		qtn_record_crash(quarantine, now, SHARED, 2 * retry + 2, flags);
		qtn_record_crash(quarantine, now, DEADLY, 2 * retry + 2, flags);
		qtn_record_whole(quarantine, now + 1, sound_request, 1);
	}
	ck_assert_int_eq(check_deadly(quarantine, now + 1), QTN_QUARANTINED);
	ck_assert_int_eq(check(quarantine, now + 1, sound_request, 1),
			 QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

START_TEST(whole_answer_clears_crashes_in_the_stream)
{
	struct qtn_quarantine *quarantine = qtn_new(1);

	qtn_record_crash(quarantine, 1000, DEADLY, 2, qtn_crash_flags(1, 0));
	qtn_record_crash(quarantine, 2000, DEADLY, 4, qtn_crash_flags(1, 1));
	qtn_record_whole(quarantine, 2500, deadly_request, 2);
	qtn_record_crash(quarantine, 3000, DEADLY, 6, qtn_crash_flags(1, 2));
	ck_assert_int_eq(check_deadly(quarantine, 3000), QTN_ALLOWED);
	/* Evidence of peers that arrives late does not bring them back. */
	qtn_record_crash(quarantine, 1500, DEADLY, 8, qtn_crash_flags(1, 2));
	qtn_record_crash(quarantine, 2400, DEADLY, 10, qtn_crash_flags(1, 2));
	ck_assert_uint_eq(qtn_count(quarantine, 3000), 0);
	ck_assert_int_eq(check_deadly(quarantine, 3000), QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against refusing streams that random crashes cut, and those that begin
 * meanwhile: 50 sessions have one stream of 20 s after another, and each second
 * a crash cuts one to three streams, which go on elsewhere. */
START_TEST(sessions_whose_streams_random_crashes_cut_are_never_refused)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	GRand *rand = g_rand_new_with_seed(_i);
	enum { SESSIONS = 50, SECONDS = 200, EVENTS_PER_S = 25 };
	/* Events of the current run, and left until the answer is whole. */
	unsigned events[SESSIONS] = {0};
	unsigned left[SESSIONS];
	/* Runs of the stream that were cut. */
	unsigned lost[SESSIONS] = {0};
	clk_ms now = CLK_MINUTE;
	clk_ms retry_after;
	uint32_t crash;
	uint64_t i;

	for (i = 0; i < SESSIONS; i++)
		left[i] = (1 + i % 20) * EVENTS_PER_S;
	for (crash = 1; crash <= SECONDS; crash++) {
		now += CLK_SECOND;
		for (i = 0; i < SESSIONS; i++) {
			const uint64_t parts[] = {SHARED, 100 + i};

			events[i] += EVENTS_PER_S;
			left[i] -= EVENTS_PER_S;
			qtn_record_events(quarantine, now, parts, 2, events[i]);
			if (left[i])
				continue;
			qtn_record_whole(quarantine, now, parts, 2);
			events[i] = lost[i] = 0;
			left[i] = 20 * EVENTS_PER_S;
			ck_assert_int_eq(check(quarantine, now, parts, 2),
					 QTN_ALLOWED);
		}
		for (i = 0; i < (uint64_t)g_rand_int_range(rand, 1, 4); i++) {
			uint64_t cut =
				(uint64_t)g_rand_int_range(rand, 0, SESSIONS);
			const uint64_t parts[] = {SHARED, 100 + cut};
			unsigned flags =
				qtn_crash_flags(events[cut], lost[cut]);
			clk_ms at = now + STEP_MS;

			if (!events[cut])
				continue;
			qtn_record_crash(quarantine, at, SHARED, 2 * crash,
					 flags);
			qtn_record_crash(quarantine, at, parts[1], 2 * crash,
					 flags);
			events[cut] = 0;
			lost[cut]++;
			ck_assert_int_eq(qtn_check(quarantine, at, parts, 2,
						   true, &retry_after),
					 QTN_ALLOWED);
			/* Another stream begins. */
			ck_assert_int_eq(
				check(quarantine, at, sound_request, 1),
				QTN_ALLOWED);
		}
	}
	g_rand_free(rand);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against a crash in the stream that only the end of an answer clears:
 * answers may take longer than the time between crashes. */
START_TEST(run_that_outlives_those_cut_clears_crashes_in_the_stream)
{
	struct qtn_quarantine *quarantine = qtn_new(1);

	qtn_record_crash(quarantine, 1000, DEADLY, 2, qtn_crash_flags(40, 0));
	qtn_record_crash(quarantine, 2000, DEADLY, 4, qtn_crash_flags(2, 1));
	/* Two crashes hold back nothing, nor keep a stream from moving off a
	 * silent engine. */
	ck_assert_int_eq(check_deadly(quarantine, 2000), QTN_ALLOWED);
	ck_assert(!qtn_is_suspected(quarantine, 2000, deadly_request, 2));
	qtn_record_crash(quarantine, 3000, DEADLY, 6, qtn_crash_flags(9, 2));
	qtn_record_events(quarantine, 3500, deadly_request, 2, 96);
	ck_assert_int_eq(check_deadly(quarantine, 3500), QTN_QUARANTINED);
	qtn_record_events(quarantine, 3600, deadly_request, 2, 104);
	ck_assert_int_eq(check_deadly(quarantine, 3600), QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against a run with some events that counts as a whole answer at peers,
 * which know of longer ones that were cut. */
START_TEST(events_at_one_instance_clear_no_longer_runs_at_others)
{
	struct qtn_quarantine *one = qtn_new(1);
	struct qtn_quarantine *two = qtn_new(2);
	clk_ms now = 1000;
	uint32_t engine;

	for (engine = 1; engine <= 3; engine++) {
		now += STEP_MS;
		qtn_record_crash(two, now, DEADLY, 2 * engine,
				 qtn_crash_flags(40, engine - 1));
	}
	qtn_record_crash(one, now, DEADLY, 10, 0);
	qtn_record_events(one, now + 50, deadly_request, 2, 16);
	send_evidence(one, two, now + 100);
	ck_assert_int_eq(check_deadly(two, now + 100), QTN_QUARANTINED);
	send_evidence(two, one, now + 100);
	ck_assert_int_eq(check_deadly(one, now + 100), QTN_QUARANTINED);
	/* A run that outlives them clears them everywhere. */
	qtn_record_events(one, now + 200, deadly_request, 2, 104);
	send_evidence(one, two, now + 300);
	ck_assert_int_eq(check_deadly(two, now + 300), QTN_ALLOWED);
	send_evidence(two, one, now + 300);
	ck_assert_int_eq(check_deadly(one, now + 300), QTN_ALLOWED);
	qtn_drop(one);
	qtn_drop(two);
}
END_TEST

/* Guards against ending the other streams of an engine that a part crashes
 * again and again. */
START_TEST(streams_cut_with_a_deadly_one_go_on)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	const uint64_t other[] = {OTHER};
	clk_ms now = 1000;
	clk_ms retry_after;
	uint32_t engine;

	for (engine = 1; engine <= 4; engine++) {
		now += STEP_MS;
		qtn_record_crash(quarantine, now, OTHER, 2 * engine,
				 qtn_crash_flags(1, 0));
		qtn_record_crash(quarantine, now, DEADLY, 2 * engine,
				 qtn_crash_flags(1, engine - 1));
		ck_assert_int_eq(qtn_check(quarantine, now, other, 1, true,
					   &retry_after),
				 QTN_ALLOWED);
		ck_assert_int_eq(check(quarantine, now, other, 1), QTN_ALLOWED);
	}
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against a verdict on a part that sound requests share with deadly
 * ones, because a random crash is among those of the deadly ones: seen in the
 * soak. */
START_TEST(part_shared_with_deadly_requests_stays_allowed_after_a_random_crash)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = 1000;
	uint32_t engine;

	for (engine = 1; engine <= 6; engine++) {
		unsigned flags = qtn_crash_flags(2, (engine - 1) % 3);

		now += STEP_MS;
		qtn_record_crash(quarantine, now, DEADLY, 2 * engine, flags);
		if (engine <= 4)
			qtn_record_crash(quarantine, now, SHARED, 2 * engine,
					 flags);
	}
	qtn_record_crash(quarantine, now + STEP_MS, SHARED, 90,
			 qtn_crash_flags(5, 0));
	now += 2 * STEP_MS;
	ck_assert_int_eq(check(quarantine, now, sound_request, 1), QTN_ALLOWED);
	ck_assert_int_eq(check(quarantine, now, sound_request, 1), QTN_ALLOWED);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

/* A rack takes its engines within some ms, and the retries with it. */
START_TEST(rack_that_fails_quarantines_nothing)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	uint32_t engine;

	for (engine = 1; engine <= 20; engine++)
		qtn_record_crash(quarantine, 1000 + engine, SHARED, 2 * engine,
				 0);
	ck_assert_int_eq(check(quarantine, 1050, sound_request, 1),
			 QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against a group of crashes that takes the place of all earlier ones:
 * five requests with the part at the same moment, each with two runs, at one to
 * five instances that hear each other 300 ms later. */
START_TEST(groups_of_deadly_requests_are_kept_out)
{
	enum { REQUESTS = 5, GROUPS = 5, GROUP_MS = 5000 };
	struct qtn_quarantine *instances[REQUESTS];
	unsigned n = MAX((unsigned)_i, 1);
	unsigned spread = 0;
	clk_ms now = 1000;
	uint32_t process = 0;
	unsigned late = 0;
	unsigned group;
	unsigned i;
	unsigned j;

	for (i = 0; i < n; i++)
		instances[i] = qtn_new(i);
	for (group = 0; group < GROUPS; group++, now += GROUP_MS) {
		for (i = 0; i < REQUESTS; i++) {
			struct qtn_quarantine *at = instances[i % n];
			clk_ms crash = now + (clk_ms)(spread * i) + 60;

			if (check_deadly(at, now) >= QTN_HELD)
				continue;
			late += group > 0;
			qtn_record_crash(at, crash, DEADLY, 2 * ++process, 0);
			if (check_deadly(at, crash) == QTN_QUARANTINED)
				continue;
			late += group > 0;
			qtn_record_crash(at, crash + 60, DEADLY, 2 * ++process,
					 qtn_crash_flags(0, 1));
			qtn_end_probe(at, deadly_request, 2);
		}
		for (i = 0; i < n; i++) {
			for (j = 0; j < n; j++) {
				if (i != j)
					send_evidence(instances[i],
						      instances[j], now + 300);
			}
		}
		/* A group within 100 ms, after one at the same moment. */
		spread = 20;
	}
	ck_assert_uint_le(late, 3);
	for (i = 0; i < n; i++) {
		ck_assert_int_eq(check_deadly(instances[i], now),
				 QTN_QUARANTINED);
		qtn_drop(instances[i]);
	}
}
END_TEST

/* Guards against the verdict that ends while engines go on to crash. */
START_TEST(crashes_at_the_same_time_replace_none_that_count)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = crash_engines(quarantine, 1000, 1, 3);
	uint32_t engine;

	qtn_record_events(quarantine, now, sound_request, 1, 1);
	for (engine = 100; engine < 200; engine++)
		qtn_record_crash(quarantine, now + 1, DEADLY, 2 * engine, 0);
	ck_assert_int_eq(check_deadly(quarantine, now + 1), QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

/* Guards against a deadly part that makes room for those of the sound requests
 * which the same crashes cut. */
START_TEST(parts_of_many_cut_requests_replace_no_suspect)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = 1000;
	uint64_t part = 1000;
	uint32_t engine;
	unsigned i;

	for (engine = 1; engine <= 3; engine++) {
		now = crash_engines(quarantine, now, engine, 1);
		for (i = 0; i < 600; i++)
			qtn_record_crash(quarantine, now, part++, 2 * engine,
					 qtn_crash_flags(9, 0));
	}
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

/* The same crash is reported for each of the requests that it cut. */
START_TEST(crash_counts_once_for_a_part)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	unsigned i;

	for (i = 0; i < 10; i++)
		qtn_record_crash(quarantine, 1000 + i * STEP_MS, DEADLY, 8, 0);
	ck_assert_int_eq(check_deadly(quarantine, 9000), QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

/* Only the deadly requests hold the shared part for a while. */
START_TEST(part_that_shares_all_crashes_is_probed_without_the_other)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	static const uint64_t with_other[] = {OTHER, DEADLY};
	clk_ms now = crash_engines(quarantine, 1000, 1, 3);

	ck_assert_int_eq(check_deadly(quarantine, now), QTN_QUARANTINED);
	ck_assert_int_eq(check(quarantine, now, sound_request, 1), QTN_PROBE);
	ck_assert_int_eq(check(quarantine, now, sound_request, 1), QTN_HELD);
	qtn_record_events(quarantine, now, sound_request, 1, 1);
	ck_assert_int_eq(check(quarantine, now, sound_request, 1), QTN_ALLOWED);
	ck_assert_int_eq(check(quarantine, now, with_other, 2),
			 QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

/* In a large fleet engines crash faster than the cut requests run again: parts
 * of sound ones, too, have several crashes by then. */
START_TEST(part_with_fewer_crashes_than_a_deadly_one_is_not_held_back)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = crash_engines(quarantine, 1000, 1, 5);
	const uint64_t other[] = {OTHER};
	static const uint64_t both[] = {OTHER, DEADLY};
	struct qtn_change change;
	uint32_t engine;

	for (engine = 1; engine <= 4; engine++)
		qtn_record_crash(quarantine, now + engine - 5, OTHER,
				 2 * engine, 0);
	qtn_record_events(quarantine, now, sound_request, 1, 1);
	ck_assert_int_eq(check(quarantine, now, other, 1), QTN_ALLOWED);
	ck_assert_int_eq(check(quarantine, now, other, 1), QTN_ALLOWED);
	ck_assert_int_eq(check(quarantine, now, both, 2), QTN_QUARANTINED);
	ck_assert(qtn_next_change(quarantine, now, &change));
	ck_assert_uint_eq(change.part, DEADLY);
	ck_assert(!qtn_next_change(quarantine, now, &change));
	/* A crash without the deadly part is due to something else. */
	qtn_record_crash(quarantine, now + 500, OTHER, 90, 0);
	qtn_record_crash(quarantine, now + 1000, OTHER, 92, 0);
	qtn_record_crash(quarantine, now + 1500, OTHER, 94, 0);
	ck_assert_int_eq(check(quarantine, now + 1500, other, 1),
			 QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

START_TEST(quarantine_ends_with_one_probe_and_grows_with_each_crash)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	clk_ms now = crash_engines(quarantine, 1000, 1, 3);

	qtn_record_events(quarantine, now, sound_request, 1, 1);
	ck_assert_int_eq(check_deadly(quarantine, now + 59 * CLK_SECOND),
			 QTN_QUARANTINED);
	now += FIRST_PROBE_MS;
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_PROBE);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_HELD);
	qtn_record_crash(quarantine, now, DEADLY, 8, 0);
	ck_assert_int_eq(check_deadly(quarantine, now + 119 * CLK_SECOND),
			 QTN_QUARANTINED);
	now += 2 * FIRST_PROBE_MS;
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_PROBE);
	qtn_record_events(quarantine, now, deadly_request, 2, 1);
	ck_assert_int_eq(check_deadly(quarantine, now), QTN_ALLOWED);
	qtn_drop(quarantine);
}
END_TEST

/* Each instance sees a crash of its own; a fourth one has just started and
 * hears of them from one peer. */
START_TEST(evidence_of_several_instances_adds_up)
{
	struct qtn_quarantine *instances[4];
	clk_ms now = 1000;
	unsigned i;

	for (i = 0; i < 4; i++)
		instances[i] = qtn_new(i);
	for (i = 0; i < 3; i++)
		now = crash_engines(instances[i], now, i + 1, 1);
	send_evidence(instances[0], instances[1], now + 100);
	send_evidence(instances[1], instances[2], now + 200);
	send_evidence(instances[2], instances[3], now + 300);
	ck_assert_int_eq(check_deadly(instances[2], now + 300),
			 QTN_QUARANTINED);
	ck_assert_int_eq(check_deadly(instances[3], now + 300),
			 QTN_QUARANTINED);
	/* An event that one of them sees clears the shared part at all. */
	qtn_record_events(instances[2], now + 400, sound_request, 1, 1);
	send_evidence(instances[2], instances[3], now + 500);
	ck_assert_int_eq(check(instances[3], now + 500, sound_request, 1),
			 QTN_ALLOWED);
	/* Older evidence that arrives later does not bring it back. */
	send_evidence(instances[1], instances[3], now + 600);
	ck_assert(!qtn_is_suspected(instances[3], now + 600, sound_request, 1));
	ck_assert_int_eq(check_deadly(instances[3], now + 600),
			 QTN_QUARANTINED);
	for (i = 0; i < 4; i++)
		qtn_drop(instances[i]);
}
END_TEST

/* More sound parts with one crash than an exchange carries do not hide the
 * deadly one, and in the end all are told. */
START_TEST(evidence_beyond_one_exchange_follows_later)
{
	struct qtn_quarantine *from = qtn_new(1);
	struct qtn_quarantine *to = qtn_new(2);
	clk_ms now = crash_engines(from, 1000, 1, 3);
	uint64_t part;
	unsigned i;

	for (part = 100; part < 200; part++)
		qtn_record_crash(from, now, part, 90, 0);
	send_evidence(from, to, now + 100);
	ck_assert_int_eq(check_deadly(to, now + 100), QTN_QUARANTINED);
	for (i = 0; i < 200; i++)
		send_evidence(from, to, now + 100);
	for (part = 100; part < 200; part++)
		ck_assert(qtn_is_suspected(to, now + 100, &part, 1));
	qtn_drop(from);
	qtn_drop(to);
}
END_TEST

/* Forged or damaged evidence is bounded in age and memory. */
START_TEST(odd_records_are_harmless)
{
	struct qtn_quarantine *quarantine = qtn_new(1);
	struct qtn_record records[QTN_MAX_RECORDS] = {
		{DEADLY, 2, 0, -1},
		{DEADLY, 4, 0, INT64_MAX},
		{DEADLY, 6, 0, UINT32_MAX},
		{OTHER, 0, 0, 0},
	};
	uint64_t i;

	qtn_merge(quarantine, 1000, records, 4);
	qtn_merge(quarantine, 1000, records, 0);
	ck_assert(!qtn_is_suspected(quarantine, 1000, deadly_request, 2));
	crash_engines(quarantine, 1000, 1, 3);
	for (i = 0; i < 100000; i++) {
		records[0] = (struct qtn_record){1000 + i,
						 (uint32_t)(2 * i + 2), 0, 1};
		qtn_merge(quarantine, 3000, records, 1);
	}
	ck_assert_int_eq(check_deadly(quarantine, 3000), QTN_QUARANTINED);
	qtn_drop(quarantine);
}
END_TEST

START_TEST(last_part_of_a_prompt_is_never_suspected)
{
	uint64_t keys[QTN_MAX_PROMPT_PARTS];
	uint64_t others[QTN_MAX_PROMPT_PARTS];
	GString *list = g_string_new("z:1");
	unsigned i;

	ck_assert_uint_eq(qtn_parse_parts(NULL, "s", keys), 0);
	ck_assert_uint_eq(qtn_parse_parts("", "s", keys), 0);
	ck_assert_uint_eq(qtn_parse_parts("a:40", "s", keys), 0);
	ck_assert_uint_eq(qtn_parse_parts("a:40, b:7,c:9", "s", keys), 2);
	ck_assert_uint_eq(qtn_parse_parts("b:8,a:1,d", "s", others), 2);
	ck_assert_uint_eq(keys[0], others[1]);
	ck_assert_uint_eq(keys[1], others[0]);
	ck_assert_uint_eq(qtn_parse_parts("a:40,b:7", "t", others), 1);
	ck_assert_uint_ne(keys[0], others[0]);
	ck_assert_uint_eq(qtn_parse_parts(",,:,", "s", keys), 3);
	for (i = 0; i < 1000; i++)
		g_string_append(list, ",z:1");
	ck_assert_uint_eq(qtn_parse_parts(list->str, "s", keys),
			  QTN_MAX_PROMPT_PARTS);
	g_string_free(list, TRUE);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("quarantine");

	tcase_add_test(tcase, third_crash_quarantines_a_part);
	tcase_add_test(tcase,
		       suspected_part_is_probed_by_one_request_at_a_time);
	tcase_add_test(tcase,
		       second_crash_after_the_head_of_an_answer_quarantines);
	tcase_add_test(tcase, event_of_a_run_clears_its_parts);
	tcase_add_test(tcase,
		       parts_of_sound_requests_cut_by_crashes_stay_allowed);
	tcase_add_loop_test(tcase, crashes_in_the_stream_quarantine_a_part, 0,
			    2);
	tcase_add_test(tcase, whole_answer_clears_crashes_in_the_stream);
	tcase_add_test(
		tcase,
		run_that_outlives_those_cut_clears_crashes_in_the_stream);
	tcase_add_loop_test(
		tcase,
		sessions_whose_streams_random_crashes_cut_are_never_refused, 1,
		11);
	tcase_add_test(tcase,
		       events_at_one_instance_clear_no_longer_runs_at_others);
	tcase_add_test(tcase, streams_cut_with_a_deadly_one_go_on);
	tcase_add_test(
		tcase,
		part_shared_with_deadly_requests_stays_allowed_after_a_random_crash);
	tcase_add_test(tcase, rack_that_fails_quarantines_nothing);
	tcase_add_loop_test(tcase, groups_of_deadly_requests_are_kept_out, 1,
			    6);
	tcase_add_test(tcase, crashes_at_the_same_time_replace_none_that_count);
	tcase_add_test(tcase, parts_of_many_cut_requests_replace_no_suspect);
	tcase_add_test(tcase, crash_counts_once_for_a_part);
	tcase_add_test(
		tcase,
		part_that_shares_all_crashes_is_probed_without_the_other);
	tcase_add_test(
		tcase,
		part_with_fewer_crashes_than_a_deadly_one_is_not_held_back);
	tcase_add_test(
		tcase,
		quarantine_ends_with_one_probe_and_grows_with_each_crash);
	tcase_add_test(tcase, evidence_of_several_instances_adds_up);
	tcase_add_test(tcase, evidence_beyond_one_exchange_follows_later);
	tcase_add_test(tcase, odd_records_are_harmless);
	tcase_add_test(tcase, last_part_of_a_prompt_is_never_suspected);
	return sup_run_case("quarantine", tcase);
}
