/*
 * Contract tests of model engines (section 3 of docs/interfaces.md). They run
 * against the fakes, or against three engines engine-1, engine-2, engine-3
 * that hold the layers 0-19, 20-39 and 40-59 at the addresses in
 * WF_CONTRACT_ENGINE (separated by commas); then only the cases that need no
 * other engine, option or admin call run.
 */

#include "support/engines.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BOUND_MS 10000
#define PROMPT "Four ice lanterns for a hotel in Falun"

static struct sup_engine engines[SUP_ENGINES_MAX];
static char request[32];

static bool use_external_engines(void)
{
	const char *given = getenv("WF_CONTRACT_ENGINE");
	char **parts;
	unsigned i;

	if (!given)
		return false;
	parts = g_strsplit(given, ",", 3);
	ck_assert_uint_eq(g_strv_length(parts), 3);
	for (i = 0; i < 3; i++) {
		g_snprintf(engines[i].id, sizeof(engines[i].id), "engine-%u",
			   i + 1);
		g_strlcpy(engines[i].address, parts[i],
			  sizeof(engines[i].address));
		engines[i].first = 20 * i;
		engines[i].last = 20 * i + 19;
	}
	g_strfreev(parts);
	return true;
}

static void start_with(const char *const *options)
{
	unsigned i;

	g_snprintf(request, sizeof(request), "t/1/%u", g_random_int());
	if (use_external_engines())
		return;
	for (i = 0; i < 3; i++)
		ck_assert(sup_start_engine(&engines[i], i + 1, 20 * i,
					   20 * i + 19, options));
}

static void start(void)
{
	start_with(NULL);
}

static void stop(void)
{
	unsigned i;

	for (i = 0; i < SUP_ENGINES_MAX; i++)
		ck_assert_int_eq(sup_stop(&engines[i].child), 0);
}

/* A request over the three engines with one kind of KV state for all. */
static struct sup_generate generate_all(const char *kv)
{
	struct sup_generate generate = {.request = request, .prompt = PROMPT};
	unsigned i;

	for (i = 0; i < 3; i++) {
		generate.stages[i].engine = &engines[i];
		generate.stages[i].kv = kv;
	}
	return generate;
}

/* Checks a complete answer: text, receipts and end reason. */
static void check_answer(const struct sup_generate *generate, unsigned end,
			 const char *reason)
{
	int status;
	GPtrArray *events = sup_run_generate(generate, &status);
	char *expected =
		sup_expected_text(generate->prompt, generate->start, end);
	char *text = sup_token_text(events);
	const struct sup_event *last = sup_find_event(events, "end", 0);

	ck_assert_int_eq(status, 200);
	ck_assert_str_eq(text, expected);
	ck_assert(sup_receipts_cover(events, generate->start));
	ck_assert_uint_eq(sup_count_events(events, "accepted"), 1);
	ck_assert_ptr_nonnull(last);
	ck_assert_str_eq(
		json_string_value(json_object_get(last->json, "reason")),
		reason);
	g_free(text);
	g_free(expected);
	g_ptr_array_unref(events);
}

/* Returns the type of the error that ended or refused a stream. */
static char *get_error(const struct sup_generate *generate, int *status,
		       char **target)
{
	struct sup_answer answer;
	GPtrArray *events;
	const struct sup_event *event;
	char *type;

	sup_finish(sup_send_generate(generate), &answer);
	*status = answer.status;
	events = sup_events(answer.body->str);
	event = sup_find_event(events, "error", 0);
	if (event) {
		type = g_strdup(json_string_value(
			json_object_get(event->json, "type")));
		*target = g_strdup(json_string_value(
			json_object_get(event->json, "target")));
	} else {
		type = sup_answer_error(&answer);
		*target = g_strdup("");
	}
	g_ptr_array_unref(events);
	sup_answer_clear(&answer);
	return type;
}

static void check_error(const struct sup_generate *generate, int status,
			const char *type, const char *target)
{
	char *found_target;
	int found_status;
	char *found = get_error(generate, &found_status, &found_target);

	ck_assert_str_eq(found, type);
	ck_assert_int_eq(found_status, status);
	ck_assert_str_eq(found_target, target);
	g_free(found);
	g_free(found_target);
}

struct answer_case {
	const char *prompt;
	unsigned max_tokens;
	unsigned n;
	const char *reason;
};

static const struct answer_case answer_cases[] = {
	{PROMPT, 1, 1, "length"},
	{PROMPT, 12, 12, "length"},
	{"A fox [stop 5]", 12, 5, "stop"},
	{"A fox [stop 50]", 12, 12, "length"},
};

/* Guards against answers with lost, repeated or reordered layers. */
START_TEST(test_answer)
{
	const struct answer_case *answer = &answer_cases[_i];
	struct sup_generate generate;
	unsigned i;

	start();
	generate = generate_all("fresh");
	generate.prompt = answer->prompt;
	generate.max_tokens = answer->max_tokens;
	check_answer(&generate, answer->n, answer->reason);
	for (i = 0; i < 3; i++)
		ck_assert_uint_eq(
			sup_count_steps(&engines[i], request, -1, "run"),
			answer->n);
	stop();
}
END_TEST

/* Guards against running a step again under the same identifier. */
START_TEST(test_resume_by_identifier)
{
	struct sup_generate generate;
	unsigned i;

	start();
	generate = generate_all("fresh");
	generate.max_tokens = 6;
	check_answer(&generate, 6, "length");
	generate.start = 2;
	check_answer(&generate, 6, "length");
	for (i = 0; i < 3; i++) {
		ck_assert_uint_eq(
			sup_count_steps(&engines[i], request, -1, "run"), 6);
		ck_assert_uint_eq(
			sup_count_steps(&engines[i], request, -1, "resumed"),
			4);
	}
	stop();
}
END_TEST

/* Guards against a step or stream of a lower lineage that runs. */
START_TEST(test_lower_lineage)
{
	struct sup_generate generate;
	char *body;

	start();
	generate = generate_all("fresh");
	generate.lineage = 3;
	generate.max_tokens = 2;
	check_answer(&generate, 2, "length");
	generate.lineage = 2;
	check_error(&generate, 409, "fenced", "");
	body = g_strdup_printf(
		"{\"request\":\"%s\",\"lineage\":2,\"position\":2,"
		"\"first_layer\":20,\"last_layer\":39,\"kv\":\"held\","
		"\"kv_source\":\"\",\"input\":\"0000000000000000:20\"}",
		request);
	ck_assert_int_eq(sup_post(engines[1].address, "/v1/step", body), 409);
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, -1, NULL), 2);
	g_free(body);
	stop();
}
END_TEST

struct step_case {
	const char *input;
	unsigned first;
	unsigned last;
	unsigned position;
	const char *kv;
	int status;
};

static const struct step_case step_cases[] = {
	{"00000000000000ff:20", 20, 39, 0, "fresh", 200},
	{"00000000000000ff:21", 20, 39, 0, "fresh", 400},
	{"ff:20", 20, 39, 0, "fresh", 400},
	{"", 20, 39, 0, "fresh", 400},
	{"00000000000000ff:19", 19, 39, 0, "fresh", 400},
	{"00000000000000ff:20", 20, 40, 0, "fresh", 400},
	{"00000000000000ff:20", 20, 39, 0, "held", 409},
	{"00000000000000ff:20", 20, 39, 1, "fresh", 409},
	{"00000000000000ff:20", 20, 39, 0, "import", 409},
};

/* Guards against running steps outside the range or without KV state. */
START_TEST(test_step)
{
	const struct step_case *step = &step_cases[_i];
	char *body;

	start();
	body = g_strdup_printf(
		"{\"request\":\"%s\",\"lineage\":1,\"position\":%u,"
		"\"first_layer\":%u,\"last_layer\":%u,\"kv\":\"%s\","
		"\"kv_source\":\"\",\"input\":\"%s\"}",
		request, step->position, step->first, step->last, step->kv,
		step->input);
	ck_assert_int_eq(sup_post(engines[1].address, "/v1/step", body),
			 step->status);
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, -1, NULL),
			  step->status == 200);
	/* The same identifier again is answered from the stored result. */
	ck_assert_int_eq(sup_post(engines[1].address, "/v1/step", body),
			 step->status);
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, -1, "run"),
			  step->status == 200);
	g_free(body);
	stop();
}
END_TEST

static bool step_is_running(void *data)
{
	json_t *json = sup_get_json(engines[1].address, "/admin/state");
	bool running = sup_json_int(json, "steps_running") == 1;

	(void)data;
	json_decref(json);
	return running;
}

/* Guards against a second run of a step requested again while it runs. */
START_TEST(test_step_in_progress)
{
	static const char *const options[] = {"--step-us", "150000", NULL};
	struct sup_query query = {.path = "/v1/step"};
	struct sup_request *first;
	struct sup_answer answers[2];
	char *body;

	start_with(options);
	body = g_strdup_printf(
		"{\"request\":\"%s\",\"lineage\":1,\"position\":0,"
		"\"first_layer\":20,\"last_layer\":39,\"kv\":\"fresh\","
		"\"kv_source\":\"\",\"input\":\"00000000000000ff:20\"}",
		request);
	query.address = engines[1].address;
	query.body = body;
	first = sup_send(&query);
	ck_assert(sup_wait(step_is_running, NULL, BOUND_MS));
	sup_http(&query, &answers[1]);
	sup_finish(first, &answers[0]);
	ck_assert_ptr_nonnull(strstr(answers[0].body->str, "\"run\""));
	ck_assert_ptr_nonnull(strstr(answers[1].body->str, "\"resumed\""));
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, -1, "run"), 1);
	sup_answer_clear(&answers[0]);
	sup_answer_clear(&answers[1]);
	g_free(body);
	stop();
}
END_TEST

struct bad_chain_case {
	unsigned skip; /* stage that is left out */
	bool swap;     /* first two stages in the wrong order */
	unsigned start;
	const char *delivered;
};

static const struct bad_chain_case bad_chain_cases[] = {
	{0, false, 0, NULL}, {1, false, 0, NULL},     {2, false, 0, NULL},
	{3, true, 0, NULL},  {3, false, 2, "wrong "}, {3, false, 0, "more "},
};

/* Guards against accepting chains with gaps or a wrong delivered text. */
START_TEST(test_rejects_bad_chain)
{
	const struct bad_chain_case *chain = &bad_chain_cases[_i];
	struct sup_generate generate;
	char *body;

	start();
	generate = generate_all("fresh");
	generate.start = chain->start;
	generate.delivered = chain->delivered;
	if (chain->skip < 3)
		generate.stages[chain->skip].engine = NULL;
	if (chain->swap) {
		generate.stages[0].engine = &engines[1];
		generate.stages[1].engine = &engines[0];
	}
	body = sup_generate_body(&generate);
	ck_assert_int_eq(sup_post(engines[0].address, "/v1/generate", body),
			 400);
	g_free(body);
	stop();
}
END_TEST

/* Recovery */

struct recovery_case {
	const char *name;
	unsigned lost;	/* stage that is replaced */
	const char *kv; /* of the replacement */
	bool alive;	/* the replaced engine still answers */
	unsigned rebuilt;
	unsigned run; /* steps that the replacement runs for its range */
};

static const struct recovery_case recovery_cases[] = {
	{"middle by import", 1, "import", true, 0, 3},
	{"middle by rebuild", 1, "rebuild", false, 3, 3},
	{"last by import", 2, "import", true, 0, 3},
	{"last by rebuild", 2, "rebuild", false, 3, 3},
	{"head by import", 0, "import", true, 0, 3},
	{"head by rebuild", 0, "rebuild", false, 3, 3},
};

static void check_others(unsigned lost)
{
	unsigned i;

	for (i = 0; i < 3; i++)
		if (i != lost)
			ck_assert_uint_eq(sup_count_steps(&engines[i], request,
							  -1, "run"),
					  6);
}

/* Guards against recovery that runs a surviving stage's layers again. */
START_TEST(test_recovery)
{
	const struct recovery_case *recovery = &recovery_cases[_i];
	struct sup_generate generate;
	unsigned lost = recovery->lost;
	struct sup_engine *spare = &engines[3];

	start();
	ck_assert(sup_start_engine(spare, 4, engines[lost].first,
				   engines[lost].last, NULL));
	generate = generate_all("fresh");
	generate.max_tokens = 3;
	check_answer(&generate, 3, "length");
	if (!recovery->alive)
		sup_kill(&engines[lost].child);
	generate = generate_all("held");
	generate.lineage = 2;
	generate.start = 3;
	generate.max_tokens = 6;
	generate.stages[lost].engine = spare;
	generate.stages[lost].kv = recovery->kv;
	generate.stages[lost].source = recovery->alive ? &engines[lost] : NULL;
	check_answer(&generate, 6, "length");
	check_others(lost);
	ck_assert_uint_eq(sup_count_steps(spare, request, -1, "rebuilt"),
			  recovery->rebuilt);
	ck_assert_uint_eq(sup_count_steps(spare, request, -1, "run"),
			  recovery->run);
	stop();
}
END_TEST

/* Guards against a second run of a step at stages that survive a loss. */
START_TEST(test_recovery_adopts_step)
{
	struct sup_generate generate;

	start();
	ck_assert(sup_start_engine(&engines[3], 4, 40, 59, NULL));
	generate = generate_all("fresh");
	generate.max_tokens = 2;
	check_answer(&generate, 2, "length");
	/* Position 2 runs at two stages and is lost at the third. */
	sup_kill(&engines[2].child);
	generate.start = 2;
	generate.max_tokens = 4;
	check_error(&generate, 200, "stage_lost", "engine-3");
	generate = generate_all("held");
	generate.lineage = 2;
	generate.start = 2;
	generate.max_tokens = 4;
	generate.stages[2].engine = &engines[3];
	generate.stages[2].kv = "rebuild";
	check_answer(&generate, 4, "length");
	ck_assert_uint_eq(sup_count_steps(&engines[0], request, 2, "run"), 1);
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, 2, "run"), 1);
	stop();
}
END_TEST

/* Guards against a new chain that generates delivered tokens again. */
START_TEST(test_recovery_new_chain)
{
	struct sup_generate generate;
	unsigned i;

	start();
	generate = generate_all("fresh");
	generate.start = 4;
	generate.max_tokens = 6;
	check_answer(&generate, 6, "length");
	for (i = 0; i < 3; i++) {
		ck_assert_uint_eq(
			sup_count_steps(&engines[i], request, -1, "rebuilt"),
			4);
		ck_assert_uint_eq(
			sup_count_steps(&engines[i], request, -1, "run"), 2);
	}
	stop();
}
END_TEST

struct split_case {
	const char *kv; /* of the stages that are new */
	bool keep;	/* the old engine keeps the first half */
	unsigned rebuilt;
};

static const struct split_case split_cases[] = {
	{"import", false, 0},
	{"import", true, 0},
	{"rebuild", false, 3},
	{"rebuild", true, 3},
};

/* Guards against KV state that is usable only for an identical range. */
START_TEST(test_recovery_split)
{
	const struct split_case *split = &split_cases[_i];
	struct sup_engine halves[2];
	struct sup_generate generate;
	unsigned i;

	start();
	ck_assert(sup_start_engine(&engines[3], 4, 20, 29, NULL));
	ck_assert(sup_start_engine(&engines[4], 5, 30, 39, NULL));
	generate = generate_all("fresh");
	generate.max_tokens = 3;
	check_answer(&generate, 3, "length");
	halves[0] = split->keep ? engines[1] : engines[3];
	halves[0].last = 29;
	halves[1] = engines[4];
	generate.lineage = 2;
	generate.start = 3;
	generate.max_tokens = 5;
	generate.stages[3] = generate.stages[2];
	for (i = 0; i < 2; i++) {
		generate.stages[i + 1].engine = &halves[i];
		generate.stages[i + 1].kv = split->kv;
		generate.stages[i + 1].source = &engines[1];
	}
	generate.stages[0].kv = "held";
	generate.stages[3].kv = "held";
	if (split->keep)
		generate.stages[1].kv = "held";
	check_answer(&generate, 5, "length");
	ck_assert_uint_eq(sup_count_steps(&engines[0], request, -1, "run"), 5);
	ck_assert_uint_eq(sup_count_steps(&engines[2], request, -1, "run"), 5);
	ck_assert_uint_eq(sup_count_steps(&engines[4], request, -1, "run"), 2);
	ck_assert_uint_eq(sup_count_steps(&engines[4], request, -1, "rebuilt"),
			  split->rebuilt);
	stop();
}
END_TEST

struct missing_case {
	unsigned stage;
	const char *kv;
	int status;
	const char *target;
};

static const struct missing_case missing_cases[] = {
	{0, "held", 409, ""},
	{1, "held", 200, "engine-2"},
	{2, "held", 200, "engine-3"},
	{1, "import", 200, "engine-2"},
};

/* Guards against a stage that continues without its KV state. */
START_TEST(test_kv_missing)
{
	const struct missing_case *missing = &missing_cases[_i];
	struct sup_generate generate;

	start();
	generate = generate_all("fresh");
	generate.stages[missing->stage].kv = missing->kv;
	if (!strcmp(missing->kv, "import"))
		generate.stages[missing->stage].source = &engines[0];
	check_error(&generate, missing->status, "kv_missing", missing->target);
	stop();
}
END_TEST

/* Guards against an import that fails if only the source's id is given. */
START_TEST(test_import_by_list)
{
	const char *options[] = {"--list", NULL, NULL};
	struct sup_generate generate;
	struct sup_child list;
	char *entries;

	ck_assert(sup_start_fake(&list, "list", NULL));
	options[1] = list.address;
	start_with(options);
	ck_assert(sup_start_engine(&engines[3], 4, 20, 39, options));
	entries = g_strdup_printf("{\"instances\":[{\"id\":\"engine-2\","
				  "\"address\":\"%s\"}]}",
				  engines[1].address);
	ck_assert_int_eq(sup_post(list.address, "/admin/instances", entries),
			 200);
	generate = generate_all("fresh");
	generate.max_tokens = 2;
	check_answer(&generate, 2, "length");
	generate = generate_all("held");
	generate.lineage = 2;
	generate.start = 2;
	generate.max_tokens = 4;
	generate.stages[1].engine = &engines[3];
	generate.stages[1].kv = "import";
	/* Only the id: the engine has to look the address up. */
	{
		struct sup_engine unknown = engines[1];
		char *body;
		char *cut;
		struct sup_query query = {.path = "/v1/generate"};
		struct sup_answer answer;

		generate.stages[1].source = &unknown;
		g_strlcpy(unknown.address, "", sizeof(unknown.address));
		body = sup_generate_body(&generate);
		cut = strstr(body, ",\"kv_source_address\":\"\"");
		ck_assert_ptr_nonnull(cut);
		query.address = engines[0].address;
		query.body = body;
		sup_http(&query, &answer);
		ck_assert_ptr_nonnull(
			strstr(answer.body->str, "\"reason\":\"length\""));
		sup_answer_clear(&answer);
		g_free(body);
	}
	ck_assert_uint_eq(sup_count_steps(&engines[3], request, -1, "rebuilt"),
			  0);
	g_free(entries);
	ck_assert_int_eq(sup_stop(&list), 0);
	stop();
}
END_TEST

/* Faults of streams and steps */

struct lost_case {
	const char *fault;
	const char *type;
	int executed; /* runs of position 1 at the stage */
};

static const struct lost_case lost_cases[] = {
	{"refused", "stage_lost", 0},	  {"silent", "stage_lost", 0},
	{"cut", "stage_lost", 1},	  {"half_open", "stage_lost", 1},
	{"lost_answer", "stage_lost", 1}, {"outage", "stage_lost", 0},
	{"wrong_length", "stage_lost", 1}};

/*
 * Guards against a step that runs twice when its answer is lost. The fault
 * hits two requests, because libcurl repeats a request once by itself if a
 * reused connection closes before the first byte of the answer.
 */
START_TEST(test_stage_fault)
{
	static const char *const options[] = {"--stage-timeout-ms", "200",
					      NULL};
	const struct lost_case *lost = &lost_cases[_i];
	struct sup_generate generate;
	char *fault;

	start_with(options);
	fault = g_strdup_printf("{\"path\":\"/v1/step\",\"fault\":\"%s\","
				"\"skip\":1,\"count\":2}",
				lost->fault);
	ck_assert(sup_set_fault(engines[1].address, fault));
	generate = generate_all("fresh");
	generate.max_tokens = 3;
	check_error(&generate, 200, lost->type, "engine-2");
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, 1, "run"),
			  (unsigned)lost->executed);
	ck_assert(sup_clear_faults(engines[1].address));
	generate.start = 1;
	check_answer(&generate, 3, "length");
	ck_assert_uint_eq(sup_count_steps(&engines[0], request, 1, "run"), 1);
	ck_assert_uint_eq(sup_count_steps(&engines[1], request, 1, "run"), 1);
	g_free(fault);
	stop();
}
END_TEST

struct stream_case {
	const char *fault;
	unsigned n_tokens; /* received completely */
	bool complete;
	bool open; /* the connection stays open */
};

/* The fault starts after "accepted" and one token. */
static const struct stream_case stream_cases[] = {
	{"cut", 1, false, false},	  {"lost_answer", 1, false, false},
	{"half_open", 1, false, true},	  {"twice", 5, true, false},
	{"out_of_order", 3, true, false},
};

static void check_stream_fault(struct sup_request *stream,
			       const struct stream_case *expected)
{
	struct sup_answer answer;
	GPtrArray *events;

	if (expected->open) {
		char *body;

		ck_assert(sup_wait_body(stream, "event: token",
					expected->n_tokens, BOUND_MS));
		ck_assert(!sup_is_done(stream));
		body = sup_body(stream);
		events = sup_events(body);
		g_free(body);
		sup_abort(stream);
	} else {
		sup_finish(stream, &answer);
		events = sup_events(answer.body->str);
		sup_answer_clear(&answer);
	}
	ck_assert_uint_eq(sup_count_events(events, "token"),
			  expected->n_tokens);
	ck_assert_int_eq(sup_count_events(events, "end") > 0,
			 expected->complete);
	ck_assert_int_eq(sup_receipts_cover(events, 0),
			 strcmp(expected->fault, "twice") != 0 &&
				 strcmp(expected->fault, "out_of_order") != 0);
	g_ptr_array_unref(events);
}

/* Guards against stream faults that a client cannot see. */
START_TEST(test_stream_fault)
{
	const struct stream_case *expected = &stream_cases[_i];
	struct sup_generate generate;
	char *fault;

	start();
	fault = g_strdup_printf("{\"path\":\"/v1/generate\",\"fault\":\"%s\","
				"\"after\":2}",
				expected->fault);
	ck_assert(sup_set_fault(engines[0].address, fault));
	generate = generate_all("fresh");
	generate.max_tokens = 3;
	check_stream_fault(sup_send_generate(&generate), expected);
	g_free(fault);
	stop();
}
END_TEST

/* Guards against a pause that loses or repeats the paused step. */
START_TEST(test_pause_at_step)
{
	struct sup_generate generate;
	struct sup_request *stream;
	struct sup_answer answer;
	GPtrArray *events;

	start();
	ck_assert(sup_set_fault(engines[0].address,
				"{\"path\":\"/v1/generate\",\"fault\":"
				"\"pause\",\"position\":2}"));
	generate = generate_all("fresh");
	generate.max_tokens = 4;
	stream = sup_send_generate(&generate);
	ck_assert(sup_wait_body(stream, "event: token", 2, BOUND_MS));
	ck_assert_uint_eq(sup_count_steps(&engines[0], request, 2, NULL), 0);
	ck_assert(!sup_is_done(stream));
	ck_assert(sup_clear_faults(engines[0].address));
	sup_finish(stream, &answer);
	events = sup_events(answer.body->str);
	ck_assert_uint_eq(sup_count_events(events, "token"), 4);
	ck_assert(sup_receipts_cover(events, 0));
	g_ptr_array_unref(events);
	sup_answer_clear(&answer);
	stop();
}
END_TEST

/* Starts a stream that stops before position 1 until the fault is cleared. */
static struct sup_request *send_paused(const char *name)
{
	struct sup_generate generate = generate_all("fresh");
	struct sup_request *stream;

	ck_assert(sup_set_fault(engines[0].address,
				"{\"path\":\"/v1/generate\",\"fault\":"
				"\"pause\",\"position\":1}"));
	generate.request = name;
	generate.max_tokens = 2;
	stream = sup_send_generate(&generate);
	ck_assert(sup_wait_body(stream, "event: token", 1, BOUND_MS));
	return stream;
}

/* Guards against two streams of one request that run at once. */
START_TEST(test_second_stream_replaces_first)
{
	struct sup_generate generate;
	struct sup_request *first;
	struct sup_answer answer;

	start();
	first = send_paused(request);
	generate = generate_all("fresh");
	generate.max_tokens = 3;
	generate.start = 1;
	check_answer(&generate, 3, "length");
	sup_finish(first, &answer);
	ck_assert_ptr_nonnull(strstr(answer.body->str, "\"fenced\""));
	sup_answer_clear(&answer);
	ck_assert_uint_eq(sup_count_steps(&engines[0], request, -1, "run"), 3);
	stop();
}
END_TEST

/* Queue, load report, leaving */

static void set_engine(unsigned index, const char *json)
{
	ck_assert_int_eq(
		sup_post(engines[index].address, "/admin/engine", json), 200);
}

struct load_wait {
	const char *path;
	const char *member;
	json_int_t value;
};

static bool load_reached(void *data)
{
	const struct load_wait *wait = data;
	json_t *json = sup_get_json(engines[0].address, wait->path);
	bool reached = sup_json_int(json, wait->member) == wait->value;

	json_decref(json);
	return reached;
}

static bool wait_state(const char *member, json_int_t value)
{
	struct load_wait wait = {"/admin/state", member, value};

	return sup_wait(load_reached, &wait, BOUND_MS);
}

/* Guards against a queue that ignores the priority. */
START_TEST(test_queue_priority)
{
	static const char *const options[] = {"--slots", "1", NULL};
	static const unsigned priorities[] = {2, 1, 2, 0};
	/* Position of each in the order of service. */
	static const unsigned ranks[] = {2, 1, 3, 0};
	struct sup_request *streams[4];
	struct sup_request *paused;
	struct sup_answer answer;
	char names[4][16];
	json_t *json;
	json_t *step;
	unsigned order = 0;
	unsigned i;
	size_t at;

	start_with(options);
	paused = send_paused("blocker");
	for (i = 0; i < 4; i++) {
		struct sup_generate generate = generate_all("fresh");

		g_snprintf(names[i], sizeof(names[i]), "q%u", i);
		generate.request = names[i];
		generate.priority = priorities[i];
		generate.max_tokens = 1;
		streams[i] = sup_send_generate(&generate);
		ck_assert(wait_state("streams_queued", i + 1));
		ck_assert(sup_wait_body(streams[i], "event: accepted", 1,
					BOUND_MS));
	}
	ck_assert(sup_clear_faults(engines[0].address));
	sup_finish(paused, NULL);
	for (i = 0; i < 4; i++) {
		sup_finish(streams[i], &answer);
		ck_assert_int_eq(answer.status, 200);
		sup_answer_clear(&answer);
	}
	json = sup_get_json(engines[0].address, "/v1/records");
	json_array_foreach(json_object_get(json, "steps"), at, step)
	{
		const char *name =
			json_string_value(json_object_get(step, "request"));

		if (name[0] != 'q')
			continue;
		ck_assert_uint_eq(ranks[name[1] - '0'], order);
		order++;
	}
	ck_assert_uint_eq(order, 4);
	json_decref(json);
	stop();
}
END_TEST

/* Guards against a refusal without error type or Retry-After. */
START_TEST(test_overloaded)
{
	static const char *const options[] = {"--slots", "1", "--queue-limit",
					      "0", NULL};
	struct sup_generate generate;
	struct sup_request *paused;
	struct sup_answer answer;
	char *type;
	char *retry;

	start_with(options);
	paused = send_paused("blocker");
	generate = generate_all("fresh");
	sup_finish(sup_send_generate(&generate), &answer);
	type = sup_answer_error(&answer);
	retry = sup_answer_header(&answer, "retry-after");
	ck_assert_int_eq(answer.status, 503);
	ck_assert_str_eq(type, "overloaded");
	ck_assert_ptr_nonnull(retry);
	ck_assert_uint_eq(sup_count_steps(&engines[0], request, -1, NULL), 0);
	g_free(type);
	g_free(retry);
	sup_answer_clear(&answer);
	sup_abort(paused);
	/* A disconnected client releases its slot. */
	ck_assert(wait_state("streams_running", 0));
	stop();
}
END_TEST

/* Guards against KV blocks that leak or are freed while in use. */
START_TEST(test_kv_memory)
{
	static const char *const options[] = {"--kv-blocks", "1", NULL};
	struct sup_generate generate;
	struct sup_request *paused;
	struct sup_answer answer;

	start_with(options);
	paused = send_paused("blocker");
	generate = generate_all("fresh");
	generate.max_tokens = 2;
	check_error(&generate, 503, "overloaded", "");
	ck_assert(sup_clear_faults(engines[0].address));
	sup_finish(paused, &answer);
	ck_assert_ptr_nonnull(strstr(answer.body->str, "event: end"));
	sup_answer_clear(&answer);
	check_answer(&generate, 2, "length");
	stop();
}
END_TEST

/* Guards against a load report that differs from the actual load. */
START_TEST(test_load_report)
{
	struct sup_request *paused;
	json_t *json;

	start();
	paused = send_paused(request);
	json = sup_get_json(engines[0].address, "/v1/load");
	ck_assert_int_eq(sup_json_int(json, "running"), 1);
	ck_assert_int_eq(sup_json_int(json, "queued"), 0);
	ck_assert_int_eq(sup_json_int(json, "slots"), 8);
	ck_assert_int_gt(sup_json_int(json, "kv_free_blocks"), 0);
	ck_assert(json_is_number(json_object_get(json, "step_us")));
	ck_assert(json_is_false(json_object_get(json, "leaving")));
	json_decref(json);
	sup_abort(paused);
	stop();
}
END_TEST

/* Guards against a load report without lag or one that never updates. */
START_TEST(test_load_report_lag)
{
	static const char *const options[] = {"--report-lag-ms", "200", NULL};
	struct load_wait wait = {"/v1/load", "running", 1};
	struct sup_request *paused;
	json_t *json;

	start_with(options);
	paused = send_paused(request);
	json = sup_get_json(engines[0].address, "/v1/load");
	ck_assert_int_eq(sup_json_int(json, "running"), 0);
	json_decref(json);
	ck_assert(sup_wait(load_reached, &wait, BOUND_MS));
	sup_abort(paused);
	stop();
}
END_TEST

/* Guards against a leaving engine that accepts new or drops old streams. */
START_TEST(test_leaving)
{
	struct sup_generate generate;
	struct sup_request *paused;
	struct sup_answer answer;

	start();
	paused = send_paused("running");
	set_engine(0, "{\"leaving\":true}");
	set_engine(1, "{\"leaving\":true}");
	generate = generate_all("fresh");
	check_error(&generate, 503, "leaving", "");
	ck_assert(sup_clear_faults(engines[0].address));
	sup_finish(paused, &answer);
	ck_assert_ptr_nonnull(strstr(answer.body->str, "event: end"));
	sup_answer_clear(&answer);
	set_engine(0, "{\"leaving\":false}");
	check_error(&generate, 200, "leaving", "engine-2");
	stop();
}
END_TEST

/*
 * Guards against a cancel that leaves the stream running, or drops the KV
 * state that a higher lineage resumes from.
 */
START_TEST(test_cancel)
{
	struct sup_generate generate;
	struct sup_request *paused;
	struct sup_answer answer;
	char *body;
	int i;

	start();
	paused = send_paused(request);
	body = g_strdup_printf("{\"request\":\"%s\",\"lineage\":1}", request);
	for (i = 0; i < 2; i++)
		ck_assert_int_eq(
			sup_post(engines[0].address, "/v1/cancel", body), 200);
	sup_finish(paused, &answer);
	ck_assert_ptr_nonnull(strstr(answer.body->str, "\"cancelled\""));
	sup_answer_clear(&answer);
	ck_assert(wait_state("streams_running", 0));
	generate = generate_all("fresh");
	check_error(&generate, 409, "cancelled", "");
	ck_assert(sup_clear_faults(engines[0].address));
	generate = generate_all("held");
	generate.lineage = 2;
	generate.start = 1;
	generate.max_tokens = 3;
	check_answer(&generate, 3, "length");
	for (i = 0; i < 3; i++)
		ck_assert_uint_eq(
			sup_count_steps(&engines[i], request, -1, "run"), 3);
	g_free(body);
	stop();
}
END_TEST

/* Export */

struct export_case {
	const char *range;
	int status;
};

static const struct export_case export_cases[] = {
	{"?first_layer=0&last_layer=19", 200},
	{"?first_layer=5&last_layer=18", 200},
	{"?first_layer=0&last_layer=20", 404},
	{"?first_layer=20&last_layer=39", 404},
	{"?first_layer=9&last_layer=8", 404},
};

/* Guards against an export of a range that the engine does not hold. */
START_TEST(test_export)
{
	const struct export_case *export = &export_cases[_i];
	struct sup_generate generate;
	struct sup_query query = {0};
	struct sup_answer answer;
	char *path;

	start();
	generate = generate_all("fresh");
	generate.max_tokens = 2;
	check_answer(&generate, 2, "length");
	path = g_strdup_printf("/v1/kv/%s%s", request, export->range);
	query.address = engines[0].address;
	query.path = path;
	sup_http(&query, &answer);
	ck_assert_int_eq(answer.status, export->status);
	sup_answer_clear(&answer);
	g_free(path);
	stop();
}
END_TEST

/* Prefix cache */

static json_t *cache_events(json_int_t after)
{
	char *path = g_strdup_printf("/v1/cache-events?after=%lld", after);
	json_t *json = sup_get_json(engines[0].address, path);

	g_free(path);
	return json;
}

static void run_prompt(const char *name, const char *prompt)
{
	struct sup_generate generate = generate_all("fresh");

	generate.request = name;
	generate.prompt = prompt;
	generate.max_tokens = 1;
	check_answer(&generate, 1, "length");
}

static size_t count_hashes(const json_t *json, const char *member)
{
	const json_t *events = json_object_get(json, "events");
	size_t n = 0;
	size_t i;

	for (i = 0; i < json_array_size(events); i++)
		n += json_array_size(
			json_object_get(json_array_get(events, i), member));
	return n;
}

/* Guards against cache events that miss blocks, evictions or gaps. */
START_TEST(test_cache_events)
{
	static const char *const options[] = {"--cache-blocks", "3", NULL};
	char *one = g_strnfill(520, 'a');
	char *two = g_strnfill(520, 'b');
	json_t *json;

	start_with(options);
	run_prompt("c1", one);
	run_prompt("c2", one);
	json = cache_events(0);
	ck_assert_int_eq(sup_json_int(json, "seq"), 1);
	ck_assert_int_eq(sup_json_int(json, "first"), 1);
	ck_assert_uint_eq(count_hashes(json, "added"), 2);
	ck_assert_uint_eq(count_hashes(json, "removed"), 0);
	json_decref(json);
	run_prompt("c3", two);
	json = cache_events(1);
	ck_assert_uint_eq(count_hashes(json, "added"), 2);
	ck_assert_uint_eq(count_hashes(json, "removed"), 1);
	json_decref(json);
	ck_assert(sup_set_fault(
		engines[0].address,
		"{\"path\":\"/v1/cache-events\",\"fault\":\"gap\"}"));
	json = cache_events(0);
	ck_assert_int_gt(sup_json_int(json, "first"), 1);
	json_decref(json);
	g_free(one);
	g_free(two);
	stop();
}
END_TEST

/* Orders */

struct order_case {
	const char *options[4];
	const char *first; /* accepted */
	const char *second;
	int status; /* of the second */
};

#define ORDER(fence, sender, order, more)                                   \
	"{\"fence\":" fence ",\"sender\":\"" sender "\",\"order\":\"" order \
	"\",\"argument\":\"m\"" more "}"

static const struct order_case order_cases[] = {
	{{NULL},
	 ORDER("5", "e1", "load", ""),
	 ORDER("4", "e2", "load", ""),
	 200},
	{{"--checks-fencing"},
	 ORDER("5", "e1", "load", ""),
	 ORDER("4", "e2", "load", ""),
	 409},
	{{"--checks-fencing"},
	 ORDER("5", "e1", "load", ""),
	 ORDER("5", "e1", "load", ""),
	 200},
	{{"--checks-fencing"},
	 ORDER("5", "e1", "load", ""),
	 ORDER("4", "e1", "role", ""),
	 200},
	{{"--checks-fencing"},
	 ORDER("5", "e1", "load", ",\"duty\":\"a\""),
	 ORDER("4", "e1", "load", ",\"duty\":\"b\""),
	 200},
	{{"--checks-fencing"},
	 ORDER("5", "e1", "load", ",\"duty\":\"a\""),
	 ORDER("4", "e1", "unload", ",\"duty\":\"a\""),
	 409},
	{{"--senders", "e1,e3"},
	 ORDER("5", "e1", "load", ""),
	 ORDER("6", "e2", "load", ""),
	 403},
	{{"--senders", "e1,e3"},
	 ORDER("5", "e1", "load", ""),
	 ORDER("6", "e3", "load", ""),
	 200},
	{{NULL},
	 ORDER("5", "e1", "load", ""),
	 ORDER("6", "e1", "explode", ""),
	 400},
};

/* Guards against fence or sender checks that do not follow the options. */
START_TEST(test_order)
{
	const struct order_case *order = &order_cases[_i];

	g_snprintf(request, sizeof(request), "t");
	ck_assert(sup_start_engine(&engines[0], 1, 0, 19, order->options));
	ck_assert_int_eq(
		sup_post(engines[0].address, "/v1/orders", order->first), 200);
	ck_assert_int_eq(
		sup_post(engines[0].address, "/v1/orders", order->second),
		order->status);
	stop();
}
END_TEST

/* Guards against loads beyond the weight store's rate. */
START_TEST(test_order_load_rate)
{
	static const char *const slow[] = {"--loads-per-minute", "0.1", NULL};
	const char *options[] = {"--weights", NULL, NULL};
	struct sup_child weights;

	ck_assert(sup_start_fake(&weights, "weights", slow));
	options[1] = weights.address;
	ck_assert(sup_start_engine(&engines[0], 1, 0, 19, options));
	ck_assert_int_eq(sup_post(engines[0].address, "/v1/orders",
				  ORDER("1", "e1", "load", "")),
			 200);
	ck_assert_int_eq(sup_post(engines[0].address, "/v1/orders",
				  ORDER("2", "e1", "load", "")),
			 503);
	ck_assert_int_eq(sup_stop(&weights), 0);
	stop();
}
END_TEST

struct time_case {
	const char *step_us;
	int at_least_ms; /* 40 tokens, 3 stages, less 2 ms for each engine */
};

static const struct time_case time_cases[] = {
	{"300", 30},
	{"800", 90},
	{"2500", 294},
};

/* Guards against tokens that come faster than the stated step time. */
START_TEST(test_step_time)
{
	const struct time_case *step = &time_cases[_i];
	const char *const options[] = {"--step-us", step->step_us, NULL};
	struct sup_generate generate;
	gint64 begin;

	start_with(options);
	generate = generate_all("fresh");
	generate.max_tokens = 40;
	begin = g_get_monotonic_time();
	check_answer(&generate, 40, "length");
	ck_assert_int_ge((g_get_monotonic_time() - begin) / 1000,
			 step->at_least_ms);
	stop();
}
END_TEST

#define ADD_LOOP(tcase, test, table) \
	tcase_add_loop_test(tcase, test, 0, (int)G_N_ELEMENTS(table))

static void add_plain_cases(TCase *tcase)
{
	ADD_LOOP(tcase, test_answer, answer_cases);
	tcase_add_test(tcase, test_resume_by_identifier);
	tcase_add_test(tcase, test_lower_lineage);
	ADD_LOOP(tcase, test_step, step_cases);
	ADD_LOOP(tcase, test_rejects_bad_chain, bad_chain_cases);
	ADD_LOOP(tcase, test_kv_missing, missing_cases);
	tcase_add_test(tcase, test_recovery_new_chain);
	ADD_LOOP(tcase, test_export, export_cases);
}

static void add_fake_cases(TCase *tcase)
{
	ADD_LOOP(tcase, test_recovery, recovery_cases);
	ADD_LOOP(tcase, test_recovery_split, split_cases);
	tcase_add_test(tcase, test_recovery_adopts_step);
	tcase_add_test(tcase, test_import_by_list);
	tcase_add_test(tcase, test_step_in_progress);
	ADD_LOOP(tcase, test_stage_fault, lost_cases);
	ADD_LOOP(tcase, test_stream_fault, stream_cases);
	tcase_add_test(tcase, test_pause_at_step);
	tcase_add_test(tcase, test_second_stream_replaces_first);
	tcase_add_test(tcase, test_queue_priority);
	tcase_add_test(tcase, test_overloaded);
	tcase_add_test(tcase, test_kv_memory);
	tcase_add_test(tcase, test_load_report);
	tcase_add_test(tcase, test_load_report_lag);
	tcase_add_test(tcase, test_leaving);
	tcase_add_test(tcase, test_cancel);
	tcase_add_test(tcase, test_cache_events);
	ADD_LOOP(tcase, test_order, order_cases);
	tcase_add_test(tcase, test_order_load_rate);
	ADD_LOOP(tcase, test_step_time, time_cases);
}

int main(void)
{
	Suite *suite = suite_create("contract_engine");
	TCase *tcase = tcase_create("contract_engine");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	add_plain_cases(tcase);
	if (getenv("WF_CONTRACT_ENGINE"))
		printf("not run: cases that need options, faults or a spare\n");
	else
		add_fake_cases(tcase);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
