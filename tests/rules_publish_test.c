/*
 * The publish sequence: faults at every step, racing operators, garbage
 * collection. Outcomes are checked against the store's records.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/rules.h>

#include "support/rules_store.h"

/* An operator with its own context. */
struct rul_operator {
	struct wf_ctx *ctx;
	struct rul_publish *publish;
	struct rul_gc *gc;
	uint8_t nonce[RUL_NONCE_BYTES];
	unsigned n_published;
};

static void operator_init(struct rul_operator *op, const char *name)
{
	memset(op, 0, sizeof(*op));
	op->ctx = wf_ctx_new(name, "uppsala", 1, 1, NULL, NULL);
}

static void operator_clear(struct rul_operator *op)
{
	rul_publish_drop(op->publish);
	rul_gc_drop(op->gc);
	wf_ctx_drop(op->ctx);
}

static void operator_publish(struct rul_operator *op, const char *text,
			     size_t len, uint64_t base)
{
	struct rul_publish_config config = {
		.text = text,
		.len = len,
		.base_revision = base,
		.author = {.name = op->ctx->self, .requested_by = "Ann"},
		.timeout = CLK_SECOND,
	};

	rul_publish_drop(op->publish);
	op->n_published++;
	memset(op->nonce, 0, sizeof(op->nonce));
	g_strlcpy((char *)op->nonce, op->ctx->self, 8);
	memcpy(op->nonce + 8, &op->n_published, sizeof(op->n_published));
	memcpy(config.author.nonce, op->nonce, RUL_NONCE_BYTES);
	op->publish = rul_publish_new(&config, NULL, NULL);
	ck_assert_ptr_nonnull(op->publish);
	rul_publish_start(op->ctx, op->publish);
}

static enum rul_publish_result result_of(const struct rul_operator *op)
{
	return rul_publish_outcome(op->publish)->result;
}

/*
 * Executes the operator's next action under a fault, or lets its pause pass.
 * A reply is delivered twice to guard against late duplicates.
 */
static void operator_step(struct rul_operator *op, struct rst_store *store,
			  enum rst_fault fault)
{
	struct wf_action action;
	struct wf_store_reply reply;

	op->ctx->now = store->now;
	if (!wf_next_action(op->ctx, &action)) {
		clk_ms wakeup = rul_publish_next_wakeup(op->publish);

		ck_assert_int_ne(wakeup, CLK_NEVER);
		store->now = MAX(store->now, wakeup);
		op->ctx->now = store->now;
		rul_publish_tick(op->ctx, op->publish);
		return;
	}
	rst_execute(store, &action, fault, &reply);
	if (op->gc && rul_gc_handle(op->ctx, op->gc, &reply)) {
		rst_reply_clear(&reply);
		return;
	}
	ck_assert(rul_publish_handle(op->ctx, op->publish, &reply));
	ck_assert(!rul_publish_handle(op->ctx, op->publish, &reply));
	rst_reply_clear(&reply);
}

/* Runs the sequence until the put of the manifest is the next action. */
static void operator_prepare(struct rul_operator *op, struct rst_store *store)
{
	const struct wf_action *next;

	for (;;) {
		next = g_queue_peek_head(op->ctx->actions);
		ck_assert_ptr_nonnull(next);
		if (next->type == WF_ACT_STORE_PUT &&
		    !strcmp(next->name, RUL_MANIFEST_NAME))
			return;
		operator_step(op, store, RST_NONE);
	}
}

static void operator_finish(struct rul_operator *op, struct rst_store *store)
{
	unsigned steps = 0;

	while (result_of(op) == RUL_PUBLISH_RUNNING) {
		operator_step(op, store, RST_NONE);
		ck_assert_uint_lt(++steps, 10000);
	}
}

/* A text of n rules; the variant changes one line. */
static char *make_text(unsigned n, unsigned variant)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(
			text,
			"route org=org-%05u model=any "
			"weight=%u # Ann\n",
			i, i == variant % n ? 2 + variant % 900 : 1);
	return g_string_free(text, FALSE);
}

static void publish_text(struct rul_operator *op, struct rst_store *store,
			 const char *text, uint64_t base)
{
	operator_publish(op, text, strlen(text), base);
	operator_finish(op, store);
}

/* Publishes the variant as the next revision; must be accepted. */
static void publish_accepted(struct rul_operator *op, struct rst_store *store,
			     unsigned n, unsigned variant)
{
	char *text = make_text(n, variant);

	publish_text(op, store, text, RUL_BASE_LATEST);
	ck_assert_int_eq(result_of(op), RUL_PUBLISH_ACCEPTED);
	ck_assert(rul_publish_outcome(op->publish)->audited);
	g_free(text);
}

START_TEST(first_revision_is_published)
{
	struct rst_store *store = rst_new();
	struct rul_operator op;
	char *text = make_text(2000, 0);
	GBytes *stored;
	const struct rul_publish_outcome *outcome;

	operator_init(&op, "ann");
	publish_text(&op, store, text, 0);
	outcome = rul_publish_outcome(op.publish);
	ck_assert_int_eq(outcome->result, RUL_PUBLISH_ACCEPTED);
	ck_assert_uint_eq(outcome->revision, 1);
	stored = rst_text(store);
	ck_assert_uint_eq(g_bytes_get_size(stored), strlen(text));
	ck_assert_mem_eq(g_bytes_get_data(stored, NULL), text, strlen(text));
	rst_check_audit(store, 1);
	publish_text(&op, store, text, 1);
	ck_assert_int_eq(result_of(&op), RUL_PUBLISH_UNCHANGED);
	ck_assert_uint_eq(store->records->len, 1);
	g_bytes_unref(stored);
	g_free(text);
	operator_clear(&op);
	rst_drop(store);
}
END_TEST

/* Guards against a publish that overwrites what it has not seen. */
START_TEST(stale_base_is_a_conflict_with_difference)
{
	struct rst_store *store = rst_new();
	struct rul_operator ann;
	struct rul_operator bo;
	char *text = make_text(100, 7);
	const struct rul_publish_outcome *outcome;

	operator_init(&ann, "ann");
	operator_init(&bo, "bo");
	publish_accepted(&ann, store, 100, 1);
	store->now += 5;
	publish_accepted(&ann, store, 100, 2);
	publish_text(&bo, store, text, 1);
	outcome = rul_publish_outcome(bo.publish);
	ck_assert_int_eq(outcome->result, RUL_PUBLISH_CONFLICT);
	ck_assert_str_eq(outcome->other_author, "ann");
	ck_assert_int_eq(outcome->other_time, store->now);
	ck_assert_uint_eq(outcome->revision, 2);
	ck_assert(!outcome->changes_from_base);
	ck_assert_uint_eq(outcome->changes->len, 4);
	ck_assert_uint_eq(store->records->len, 2);
	g_free(text);
	operator_clear(&ann);
	operator_clear(&bo);
	rst_drop(store);
}
END_TEST

/* Guards against a conflict reported without the competing changes. */
START_TEST(conflict_reports_the_competing_changes)
{
	struct rst_store *store = rst_new();
	struct rul_operator ann;
	struct rul_operator bo;
	char *text = make_text(100, 50);
	const struct rul_publish_outcome *outcome;
	const struct rul_change *change;

	operator_init(&ann, "ann");
	operator_init(&bo, "bo");
	publish_accepted(&ann, store, 100, 0);
	operator_publish(&ann, text, strlen(text), 1);
	operator_prepare(&ann, store);
	publish_accepted(&bo, store, 100, 9);
	operator_finish(&ann, store);
	outcome = rul_publish_outcome(ann.publish);
	ck_assert_int_eq(outcome->result, RUL_PUBLISH_CONFLICT);
	ck_assert_str_eq(outcome->other_author, "bo");
	ck_assert(outcome->changes_from_base);
	ck_assert_uint_eq(outcome->changes->len, 4);
	change = &g_array_index(outcome->changes, struct rul_change, 2);
	ck_assert_uint_eq(change->line, 10);
	g_free(text);
	operator_clear(&ann);
	operator_clear(&bo);
	rst_drop(store);
}
END_TEST

/* What happens at one action of the sequence. */
enum event {
	EVENT_FAULT,	  /* one of enum rst_fault */
	EVENT_KILL,	  /* the publisher ends after the action */
	EVENT_PUBLISH,	  /* another operator publishes first */
	EVENT_STORE_DOWN, /* the store is down from here on */
};

struct fault_case {
	const char *name;
	enum event event;
	enum rst_fault fault;
	unsigned repeat; /* how many actions in a row the fault hits */
};

static const struct fault_case fault_cases[] = {
	{"unavailable", EVENT_FAULT, RST_UNAVAILABLE, 1},
	{"unavailable three times", EVENT_FAULT, RST_UNAVAILABLE, 3},
	{"lost reply", EVENT_FAULT, RST_LOST_REPLY, 1},
	{"lost replies", EVENT_FAULT, RST_LOST_REPLY, 3},
	{"lost request", EVENT_FAULT, RST_LOST, 1},
	{"delayed request", EVENT_FAULT, RST_DELAYED, 1},
	{"executed twice", EVENT_FAULT, RST_TWICE, 1},
	{"refused", EVENT_FAULT, RST_REFUSED, 1},
	{"killed after the reply", EVENT_KILL, RST_NONE, 1},
	{"killed before the reply", EVENT_KILL, RST_LOST_REPLY, 1},
	{"killed, request delayed", EVENT_KILL, RST_DELAYED, 1},
	{"concurrent publish", EVENT_PUBLISH, RST_NONE, 1},
	{"concurrent publish, lost reply", EVENT_PUBLISH, RST_LOST_REPLY, 1},
	{"down", EVENT_STORE_DOWN, RST_UNAVAILABLE, 10000},
	{"down after execution", EVENT_STORE_DOWN, RST_LOST_REPLY, 1},
	{"requests vanish", EVENT_STORE_DOWN, RST_LOST, 10000},
};

/* Runs the event at action number at; false if the sequence is shorter. */
static bool run_case(struct rul_operator *op, struct rst_store *store,
		     const struct fault_case *fault, unsigned at)
{
	struct rul_operator other;
	unsigned first = store->n_actions;
	unsigned steps = 0;
	bool hit = false;

	while (result_of(op) == RUL_PUBLISH_RUNNING) {
		unsigned action = store->n_actions - first;
		enum rst_fault now = RST_NONE;

		ck_assert_uint_lt(++steps, 1000);
		if (action >= at && action < at + fault->repeat)
			now = fault->fault;
		else if (action >= at && fault->event == EVENT_STORE_DOWN)
			now = RST_UNAVAILABLE;
		if (action == at && !hit && fault->event == EVENT_PUBLISH) {
			operator_init(&other, "other");
			publish_accepted(&other, store, 600, 77);
			operator_clear(&other);
			first = store->n_actions - at;
		}
		hit |= action >= at;
		operator_step(op, store, now);
		if (hit && fault->event == EVENT_KILL)
			return true;
	}
	return hit;
}

/* The reported outcome must agree with the store's records. */
static void check_outcome(const struct rul_operator *op,
			  const struct rst_store *store)
{
	const struct rul_publish_outcome *outcome;

	outcome = rul_publish_outcome(op->publish);
	switch (outcome->result) {
	case RUL_PUBLISH_ACCEPTED:
		ck_assert(
			rst_has_revision(store, outcome->revision, op->nonce));
		return;
	case RUL_PUBLISH_UNKNOWN:
	case RUL_PUBLISH_RUNNING:
		return;
	case RUL_PUBLISH_UNCHANGED:
	case RUL_PUBLISH_CONFLICT:
	case RUL_PUBLISH_REFUSED:
	case RUL_PUBLISH_UNAVAILABLE:
		ck_assert(!rst_has_nonce(store, op->nonce));
		return;
	}
}

/*
 * Guards against false reports, lost revisions and gaps in the audit trail
 * when one step fails. A loop over the cases; each is tried at every action.
 */
START_TEST(every_step_survives_a_fault)
{
	const struct fault_case *fault = &fault_cases[_i];
	bool hit = true;
	unsigned at;

	for (at = 0; hit; at++) {
		struct rst_store *store = rst_new();
		struct rul_operator op;
		struct rul_operator next;
		char *text = make_text(600, 300);
		struct rul_manifest *manifest;

		operator_init(&op, "ann");
		operator_init(&next, "next");
		publish_accepted(&op, store, 600, 0);
		operator_publish(&op, text, strlen(text), 1);
		hit = run_case(&op, store, fault, at);
		rst_run_delayed(store);
		check_outcome(&op, store);
		publish_accepted(&next, store, 600, 99);
		check_outcome(&op, store);
		rst_check_records(store);
		manifest = rst_manifest(store);
		rst_check_audit(store, manifest->revision);
		rul_manifest_free(manifest);
		g_free(text);
		operator_clear(&op);
		operator_clear(&next);
		rst_drop(store);
	}
	/* read, chunk, manifest, and list, get and put of the audit trail */
	ck_assert_uint_ge(at, 6);
}
END_TEST

/* Guards against a publish reported as unknown that can be confirmed. */
START_TEST(lost_reply_to_the_manifest_put_is_resolved)
{
	struct rst_store *store = rst_new();
	struct rul_operator ann;
	struct rul_operator bo;
	char *text = make_text(600, 300);

	operator_init(&ann, "ann");
	operator_init(&bo, "bo");
	publish_accepted(&bo, store, 600, 0);
	operator_publish(&ann, text, strlen(text), 1);
	operator_prepare(&ann, store);
	operator_step(&ann, store, RST_LOST_REPLY);
	ck_assert_uint_eq(store->records->len, 2);
	publish_accepted(&bo, store, 600, 5);
	operator_finish(&ann, store);
	ck_assert_int_eq(result_of(&ann), RUL_PUBLISH_ACCEPTED);
	ck_assert_uint_eq(rul_publish_outcome(ann.publish)->revision, 2);
	rst_check_audit(store, 3);
	g_free(text);
	operator_clear(&ann);
	operator_clear(&bo);
	rst_drop(store);
}
END_TEST

START_TEST(lost_reply_and_store_down_is_unknown)
{
	struct rst_store *store = rst_new();
	struct rul_operator op;
	char *text = make_text(10, 3);

	operator_init(&op, "ann");
	operator_publish(&op, text, strlen(text), 0);
	operator_prepare(&op, store);
	operator_step(&op, store, RST_LOST_REPLY);
	while (result_of(&op) == RUL_PUBLISH_RUNNING)
		operator_step(&op, store, RST_UNAVAILABLE);
	ck_assert_int_eq(result_of(&op), RUL_PUBLISH_UNKNOWN);
	g_free(text);
	operator_clear(&op);
	rst_drop(store);
}
END_TEST

/* Guards against "not published" if the recent revisions do not reach back. */
START_TEST(outcome_too_old_to_confirm_is_unknown)
{
	const enum rst_fault faults[] = {RST_LOST, RST_LOST_REPLY};
	struct rst_store *store = rst_new();
	struct rul_operator ann;
	struct rul_operator bo;
	char *text = make_text(20, 3);
	unsigned i;

	operator_init(&ann, "ann");
	operator_init(&bo, "bo");
	operator_publish(&ann, text, strlen(text), 0);
	operator_prepare(&ann, store);
	operator_step(&ann, store, faults[_i]);
	for (i = 0; i <= RUL_MAX_RECENT; i++)
		publish_accepted(&bo, store, 20, 4 + i);
	operator_finish(&ann, store);
	ck_assert_int_eq(result_of(&ann), RUL_PUBLISH_UNKNOWN);
	g_free(text);
	operator_clear(&ann);
	operator_clear(&bo);
	rst_drop(store);
}
END_TEST

#define N_OPERATORS 4
#define RACE_STEPS 400

/* Checks an outcome and records the revision if it was accepted. */
static void record_outcome(const struct rul_operator *op,
			   const struct rst_store *store, GHashTable *revisions)
{
	const struct rul_publish_outcome *outcome;

	check_outcome(op, store);
	outcome = rul_publish_outcome(op->publish);
	if (outcome->result != RUL_PUBLISH_ACCEPTED)
		return;
	/* Two operators must never be told the same revision. */
	ck_assert(g_hash_table_add(revisions,
				   GSIZE_TO_POINTER(outcome->revision)));
}

static enum rst_fault random_fault(GRand *rand)
{
	int pick = g_rand_int_range(rand, 0, 40);

	return pick < RST_REFUSED ? (enum rst_fault)pick : RST_NONE;
}

static void start_random(struct rul_operator *op, GRand *rand)
{
	char *text = make_text(300, g_rand_int_range(rand, 0, 100000));

	operator_publish(op, text, strlen(text), RUL_BASE_LATEST);
	g_free(text);
}

/* One step of one operator, which sometimes runs a garbage collection. */
static void race_step(struct rul_operator *op, struct rst_store *store,
		      GRand *rand, GHashTable *revisions)
{
	unsigned n_deleted;

	if (g_rand_int_range(rand, 0, 60) == 0)
		store->now += g_rand_int_range(rand, 0, 40 * CLK_MINUTE);
	if (g_rand_int_range(rand, 0, 20) == 0)
		rst_run_delayed(store);
	if (op->publish && result_of(op) == RUL_PUBLISH_RUNNING) {
		operator_step(op, store, random_fault(rand));
		if (result_of(op) != RUL_PUBLISH_RUNNING)
			record_outcome(op, store, revisions);
		return;
	}
	if (op->gc && !rul_gc_done(op->gc, &n_deleted)) {
		operator_step(op, store, random_fault(rand));
		return;
	}
	rul_gc_drop(op->gc);
	op->gc = NULL;
	if (op->publish && g_rand_int_range(rand, 0, 4) == 0) {
		op->ctx->now = store->now;
		op->gc = rul_gc_new(CLK_SECOND);
		rul_gc_start(op->ctx, op->gc);
		return;
	}
	op->ctx->now = store->now;
	start_random(op, rand);
}

static void finish_all(struct rul_operator *ops, struct rst_store *store,
		       GHashTable *revisions)
{
	unsigned i;

	for (i = 0; i < N_OPERATORS; i++) {
		unsigned n_deleted;

		while (ops[i].gc && !rul_gc_done(ops[i].gc, &n_deleted))
			operator_step(&ops[i], store, RST_NONE);
		if (!ops[i].publish || result_of(&ops[i]))
			continue;
		operator_finish(&ops[i], store);
		record_outcome(&ops[i], store, revisions);
	}
	rst_run_delayed(store);
}

/*
 * Guards against lost or reverted revisions when operators race, requests
 * are delayed and chunks are garbage-collected. Each loop index is a seed.
 */
START_TEST(racing_operators_lose_nothing)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	struct rst_store *store = rst_new();
	GHashTable *revisions = g_hash_table_new(NULL, NULL);
	struct rul_operator ops[N_OPERATORS];
	struct rul_manifest *manifest;
	unsigned i;

	store->now = 100 * CLK_HOUR;
	for (i = 0; i < N_OPERATORS; i++) {
		char name[] = {'o', 'p', (char)('0' + i), '\0'};

		operator_init(&ops[i], name);
	}
	for (i = 0; i < RACE_STEPS; i++)
		race_step(&ops[g_rand_int_range(rand, 0, N_OPERATORS)], store,
			  rand, revisions);
	finish_all(ops, store, revisions);
	for (i = 0; i < N_OPERATORS; i++)
		if (ops[i].publish)
			check_outcome(&ops[i], store);
	rst_check_records(store);
	publish_accepted(&ops[0], store, 300, 100001);
	manifest = rst_manifest(store);
	ck_assert_uint_ge(manifest->revision, g_hash_table_size(revisions) + 1);
	rst_check_audit(store, manifest->revision);
	rul_manifest_free(manifest);
	for (i = 0; i < N_OPERATORS; i++)
		operator_clear(&ops[i]);
	g_hash_table_unref(revisions);
	rst_drop(store);
	g_rand_free(rand);
}
END_TEST

static unsigned count_chunks(const struct rst_store *store)
{
	GHashTableIter iter;
	gpointer name;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		n += g_str_has_prefix(name, RUL_CHUNK_KIND "/");
	return n;
}

static unsigned run_gc(struct rul_operator *op, struct rst_store *store)
{
	unsigned n_deleted = 0;

	op->ctx->now = store->now;
	op->gc = rul_gc_new(CLK_SECOND);
	rul_gc_start(op->ctx, op->gc);
	while (!rul_gc_done(op->gc, &n_deleted))
		operator_step(op, store, RST_NONE);
	rul_gc_drop(op->gc);
	op->gc = NULL;
	return n_deleted;
}

START_TEST(chunks_are_collected_an_hour_after_their_last_use)
{
	struct rst_store *store = rst_new();
	struct rul_operator op;
	unsigned before;

	store->now = CLK_HOUR;
	operator_init(&op, "ann");
	publish_accepted(&op, store, 600, 0);
	before = count_chunks(store);
	publish_accepted(&op, store, 600, 300);
	ck_assert_uint_gt(count_chunks(store), before);
	/* The hour starts when a writer first sees the chunk as dropped. */
	store->now += CLK_HOUR;
	ck_assert_uint_eq(run_gc(&op, store), 0);
	store->now += CLK_HOUR - 1;
	ck_assert_uint_eq(run_gc(&op, store), 0);
	store->now += 1;
	ck_assert_uint_gt(run_gc(&op, store), 0);
	ck_assert_uint_le(count_chunks(store), before);
	g_bytes_unref(rst_text(store));
	rst_check_records(store);
	operator_clear(&op);
	rst_drop(store);
}
END_TEST

/*
 * Guards against a manifest whose chunk is deleted by a garbage collection
 * that listed the chunk before it came into use again.
 */
START_TEST(chunk_in_use_again_survives_a_paused_collection)
{
	struct rst_store *store = rst_new();
	struct rul_operator op;
	struct rul_operator gc_op;
	const struct wf_action *next;
	unsigned n_deleted;

	store->now = CLK_HOUR;
	operator_init(&op, "ann");
	operator_init(&gc_op, "bo");
	publish_accepted(&op, store, 600, 0);
	publish_accepted(&op, store, 600, 300);
	run_gc(&op, store);
	store->now += 2 * CLK_HOUR;
	gc_op.ctx->now = store->now;
	gc_op.gc = rul_gc_new(CLK_SECOND);
	rul_gc_start(gc_op.ctx, gc_op.gc);
	operator_prepare(&gc_op, store);
	operator_step(&gc_op, store, RST_NONE);
	next = g_queue_peek_head(gc_op.ctx->actions);
	ck_assert_int_eq(next->type, WF_ACT_STORE_DELETE);
	publish_accepted(&op, store, 600, 0);
	while (!rul_gc_done(gc_op.gc, &n_deleted))
		operator_step(&gc_op, store, RST_NONE);
	ck_assert_uint_eq(n_deleted, 0);
	g_bytes_unref(rst_text(store));
	operator_clear(&op);
	operator_clear(&gc_op);
	rst_drop(store);
}
END_TEST

/* Guards against a segment above its bound and against lost entries. */
START_TEST(audit_trail_continues_in_a_new_segment)
{
	struct rst_store *store = rst_new();
	struct rul_operator op;
	char *note = g_strnfill(RUL_MAX_NOTE, 'n');
	struct rul_audit_segment *segment = rul_audit_new(1, 0);
	struct rul_audit_entry order = {.order = "load", .note = note};
	struct rst_object *object = g_new0(struct rst_object, 1);
	unsigned i;

	for (i = 0; i < 250; i++)
		rul_audit_add(segment, &order);
	object->version = ++store->revision;
	object->value = rul_audit_encode(segment);
	g_hash_table_replace(store->objects, g_strdup("audit/0000000001"),
			     object);
	operator_init(&op, "ann");
	for (i = 0; i < 200; i++)
		publish_accepted(&op, store, 20, i);
	ck_assert_ptr_nonnull(rst_value(store, "audit/0000000002"));
	rul_audit_free(segment);
	segment = rul_audit_decode(rst_value(store, "audit/0000000002"), NULL);
	ck_assert_uint_eq(segment->rules_revision, 200);
	rul_audit_free(segment);
	g_free(note);
	operator_clear(&op);
	rst_drop(store);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_publish");
	TCase *tcase = tcase_create("publish");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, first_revision_is_published);
	tcase_add_test(tcase, stale_base_is_a_conflict_with_difference);
	tcase_add_test(tcase, conflict_reports_the_competing_changes);
	tcase_add_loop_test(tcase, every_step_survives_a_fault, 0,
			    G_N_ELEMENTS(fault_cases));
	tcase_add_test(tcase, lost_reply_to_the_manifest_put_is_resolved);
	tcase_add_test(tcase, lost_reply_and_store_down_is_unknown);
	tcase_add_loop_test(tcase, outcome_too_old_to_confirm_is_unknown, 0, 2);
	tcase_add_loop_test(tcase, racing_operators_lose_nothing, 0, 300);
	tcase_add_test(tcase,
		       chunks_are_collected_an_hour_after_their_last_use);
	tcase_add_test(tcase, chunk_in_use_again_survives_a_paused_collection);
	tcase_add_test(tcase, audit_trail_continues_in_a_new_segment);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
