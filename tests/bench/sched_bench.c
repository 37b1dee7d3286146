/*
 * Measurements of routing and execution of model requests in virtual time.
 * Usage: sched_bench [--json] [--seed N] throughput|recovery|crest|hol|decision
 * Prints one line per figure: name, value, unit, objective, baselines, seed.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../support/figure.h"
#include "../support/sched_load.h"

static void print_figure(const struct fig_output *options, const char *user,
			 const char *name, double value, const char *unit,
			 const char *objective, const GString *baselines)
{
	char *full = g_strdup_printf("%s.%s", user, name);

	fig_print(options, full, value, unit, objective, baselines);
	g_free(full);
}

/* Throughput */

#define WARM_UP 15000
#define CLEAN_END 35000
#define THROUGHPUT_END 60000

static void kill_engine(struct emod *emod, void *user)
{
	(void)user;
	emod_engine_at(emod, 7)->alive = false;
}

static void degrade_link(struct emod *emod, void *user)
{
	(void)user;
	emod_engine_at(emod, 14)->link = 200;
}

static void start_leaving(struct emod *emod, void *user)
{
	(void)user;
	emod_engine_at(emod, 28)->leaving = true;
}

static void plan_faults(struct emod *emod, clk_ms at)
{
	emod_at(emod, at, kill_engine, NULL);
	emod_at(emod, at + 5000, degrade_link, NULL);
	emod_at(emod, at + 10000, start_leaving, NULL);
}

/* Mean load of 1.6 times the capacity, with bursts of 4 times. */
static void run_bursts(struct sload *load, clk_ms until)
{
	while (emod_now(load->emod) < until) {
		clk_ms now = emod_now(load->emod);
		bool burst = now / 1000 % 6 == 0;

		sload_run(load, burst ? 4 : 1.2, MIN(now + 1000, until));
	}
}

struct throughput {
	double clean;  /* ratio to the bound without faults */
	double faulty; /* the same with faults */
};

static struct throughput run_throughput(const struct fig_output *options,
					const struct sload_user *user,
					const struct sload_variant *variant)
{
	struct throughput result = {0, 0};
	struct sload load;
	double start;
	double clean;
	double bound = 0;
	clk_ms at;

	sload_start(&load, user, variant, (unsigned)options->seed, CLK_HOUR);
	load.deadlines = false;
	plan_faults(load.emod, CLEAN_END + 3000);
	run_bursts(&load, WARM_UP);
	start = sload_work(&load);
	run_bursts(&load, CLEAN_END);
	clean = sload_work(&load);
	for (at = CLEAN_END + 1000; at <= THROUGHPUT_END; at += 1000) {
		bound += sload_bound(&load);
		run_bursts(&load, at);
	}
	result.clean = (clean - start) /
		       (load.capacity * (CLEAN_END - WARM_UP) / 1000);
	result.faulty = (sload_work(&load) - clean) / bound;
	sload_stop(&load);
	return result;
}

static const struct sload_variant chosen = {.name = "chosen"};

static const struct sload_variant baselines[] = {
	{.name = "round_robin", .policy = ADM_ROUND_ROBIN},
	{.name = "least_outstanding", .policy = ADM_LEAST_OUTSTANDING},
	{.name = "early", .policy = ADM_EARLY},
	{.name = "no_inflation", .no_inflation = true},
	{.name = "no_breaker", .no_breaker = true},
	{.name = "no_moves", .no_moves = true},
	{.name = "no_classes", .no_classes = true},
	{.name = "no_fair_share", .no_fair_share = true},
};

/* Without baselines, to compare constants quickly. */
static void measure_chosen(const struct fig_output *options)
{
	size_t u;

	for (u = 0; u < SLOAD_N_USERS; u++) {
		const struct sload_user *user = &sload_users[u];
		struct throughput result;

		result = run_throughput(options, user, &chosen);
		print_figure(options, user->name, "throughput", result.clean,
			     "of_bound", ">=0.95", NULL);
		print_figure(options, user->name, "throughput_with_faults",
			     result.faulty, "of_bound", ">=0.95", NULL);
	}
}

static void measure_throughput(const struct fig_output *options)
{
	size_t u;
	size_t i;

	for (u = 0; u < SLOAD_N_USERS; u++) {
		const struct sload_user *user = &sload_users[u];
		GString *clean = g_string_new(NULL);
		GString *faulty = g_string_new(NULL);
		struct throughput result;

		for (i = 0; i < G_N_ELEMENTS(baselines); i++) {
			result = run_throughput(options, user, &baselines[i]);
			fig_add_baseline(clean, baselines[i].name,
					 result.clean);
			fig_add_baseline(faulty, baselines[i].name,
					 result.faulty);
		}
		result = run_throughput(options, user, &chosen);
		print_figure(options, user->name, "throughput", result.clean,
			     "of_bound", ">=0.95", clean);
		print_figure(options, user->name, "throughput_with_faults",
			     result.faulty, "of_bound", ">=0.95", faulty);
		g_string_free(clean, TRUE);
		g_string_free(faulty, TRUE);
	}
}

/* Recovery */

#define FAULT_AT 10000
#define RECOVERY_END 30000

enum fault {
	FAULT_DEATH,
	FAULT_SILENT,
	FAULT_DEGRADED,
};

struct recovery {
	double token; /* p95 of calls' time per token after the fault, ms */
	double worst; /* longest gap less the rebuild, ms */
	double lost;  /* share of the calls in flight that failed */
};

static void apply_fault(struct sload *load, unsigned index, enum fault fault)
{
	struct emod_engine *engine = emod_engine_at(load->emod, index);

	engine->alive = fault != FAULT_DEATH;
	engine->silent = fault == FAULT_SILENT;
	if (fault == FAULT_DEGRADED)
		engine->link = 200;
}

/*
 * Time to recompute the prompt and the tokens so far on the lost range, here
 * 20 to 30 of 60 layers, on the slowest kind of engine.
 */
static double rebuild_ms(const struct emod_call *call)
{
	return (call->prompt_tokens + call->tokens) / EMOD_PREFILL_TOKENS * 30;
}

static GArray *snapshot_tokens(struct emod *emod)
{
	GArray *tokens = g_array_new(FALSE, FALSE, sizeof(unsigned));
	unsigned i;

	for (i = 0; i < emod_n_calls(emod); i++)
		g_array_append_val(tokens, emod_call_at(emod, i)->tokens);
	return tokens;
}

static void add_token_time(GArray *times, const struct emod_call *call,
			   unsigned before)
{
	clk_ms end = call->ended ? call->end : RECOVERY_END;
	double tokens = call->tokens - before;
	double each = (double)(end - FAULT_AT) / MAX(tokens, 1);

	if (before)
		g_array_append_val(times, each);
}

static struct recovery run_recovery(const struct fig_output *options,
				    const struct sload_user *user,
				    const struct sload_variant *variant,
				    unsigned engine, enum fault fault)
{
	struct recovery result = {0, 0, 0};
	unsigned in_flight = 0;
	struct sload load;
	GArray *before;
	GArray *times;
	unsigned i;
	unsigned n;

	sload_start(&load, user, variant, (unsigned)options->seed, 0);
	sload_run(&load, 0.5, FAULT_AT);
	n = emod_n_calls(load.emod);
	before = snapshot_tokens(load.emod);
	times = g_array_new(FALSE, FALSE, sizeof(double));
	apply_fault(&load, engine, fault);
	sload_run(&load, 0.5, RECOVERY_END);
	for (i = 0; i < n; i++) {
		const struct emod_call *call = emod_call_at(load.emod, i);

		if (call->ended && call->end < FAULT_AT)
			continue;
		in_flight++;
		add_token_time(times, call, g_array_index(before, unsigned, i));
		result.lost += call->failed;
		result.worst = MAX(result.worst, (double)call->longest_gap -
							 rebuild_ms(call));
	}
	result.lost /= MAX(in_flight, 1);
	result.token = sload_quantile(times, 0.95);
	g_array_unref(before);
	g_array_unref(times);
	sload_stop(&load);
	return result;
}

static const struct sload_variant recovery_baselines[] = {
	{.name = "no_recovery", .no_recovery = true},
	{.name = "no_replacement", .no_replacement = true},
	{.name = "no_resume", .no_resume = true},
	{.name = "no_breaker", .no_breaker = true},
	{.name = "no_moves", .no_moves = true},
	{.name = "round_robin", .policy = ADM_ROUND_ROBIN},
};

static const struct {
	const char *name;
	unsigned engine;
	enum fault fault;
} faults[] = {
	{"stage_death", 7, FAULT_DEATH},      {"head_death", 6, FAULT_DEATH},
	{"stage_silent", 1, FAULT_SILENT},    {"head_silent", 6, FAULT_SILENT},
	{"link_degraded", 9, FAULT_DEGRADED},
};

static void measure_fault(const struct fig_output *options,
			  const struct sload_user *user, size_t f,
			  size_t n_baselines)
{
	GString *worst = g_string_new(NULL);
	GString *lost = g_string_new(NULL);
	char *name = g_strdup_printf("recovery.%s", faults[f].name);
	char *lost_name = g_strdup_printf("lost.%s", faults[f].name);
	char *token_name = g_strdup_printf("token_p95.%s", faults[f].name);
	GString *token = g_string_new(NULL);
	struct recovery result;
	size_t i;

	for (i = 0; i < n_baselines; i++) {
		result = run_recovery(options, user, &recovery_baselines[i],
				      faults[f].engine, faults[f].fault);
		fig_add_baseline(worst, recovery_baselines[i].name,
				 result.worst);
		fig_add_baseline(lost, recovery_baselines[i].name, result.lost);
		fig_add_baseline(token, recovery_baselines[i].name,
				 result.token);
	}
	result = run_recovery(options, user, &chosen, faults[f].engine,
			      faults[f].fault);
	print_figure(options, user->name, name, result.worst, "ms", "<=1000",
		     worst);
	print_figure(options, user->name, lost_name, result.lost,
		     "of_in_flight", "<=0", lost);
	print_figure(options, user->name, token_name, result.token, "ms", "-",
		     token);
	g_string_free(worst, TRUE);
	g_string_free(lost, TRUE);
	g_string_free(token, TRUE);
	g_free(token_name);
	g_free(name);
	g_free(lost_name);
}

static void measure_faults(const struct fig_output *options, size_t n_baselines)
{
	size_t u;
	size_t f;

	for (u = 0; u < SLOAD_N_USERS; u++)
		for (f = 0; f < G_N_ELEMENTS(faults); f++)
			measure_fault(options, &sload_users[u], f, n_baselines);
}

static void measure_recovery(const struct fig_output *options)
{
	measure_faults(options, G_N_ELEMENTS(recovery_baselines));
}

/* Without baselines, to compare constants quickly. */
static void measure_recovery_chosen(const struct fig_output *options)
{
	measure_faults(options, 0);
}

/* Peak demand, three times the capacity */

#define PEAK_START 60000
#define PEAK_END 80000
#define PEAK_SETTLE 2000
#define PEAK_DRAIN 400000

struct peak {
	double goodput; /* work done in time, as a share of the capacity */
	double refusal; /* longest time until a refusal, ms */
	double late;	/* share of the admitted calls that were not in time */
	double small;	/* share of small organisations' calls in time */
};

static bool in_time(const struct emod_call *call)
{
	return call->ended && !call->failed &&
	       call->end - call->arrival <= call->deadline;
}

/* Work of each call until now, in tokens; an array of double. */
static GArray *snapshot(const struct sload *load)
{
	GArray *work = g_array_new(FALSE, TRUE, sizeof(double));
	unsigned i;

	for (i = 0; i < emod_n_calls(load->emod); i++) {
		const struct emod_call *call = emod_call_at(load->emod, i);
		double done = call->tokens;

		if (done > 0)
			done += call->prompt_tokens / EMOD_PREFILL_TOKENS;
		g_array_append_val(work, done);
	}
	return work;
}

/* Work between two snapshots of calls that were in time in the end. */
static double work_in_time(const struct sload *load, const GArray *from,
			   const GArray *to)
{
	double sum = 0;
	guint i;

	for (i = 0; i < to->len; i++) {
		if (!in_time(emod_call_at(load->emod, i)))
			continue;
		sum += g_array_index(to, double, i);
		if (i < from->len)
			sum -= g_array_index(from, double, i);
	}
	return sum;
}

/* Share of calls in time among the smaller half of the organisations. */
static double small_in_time(const struct sload *load)
{
	unsigned n = 0;
	unsigned good = 0;
	unsigned i;

	for (i = 0; i < emod_n_calls(load->emod); i++) {
		const struct emod_call *call = emod_call_at(load->emod, i);

		if (call->org < 5 || call->arrival < PEAK_START ||
		    call->arrival >= PEAK_END)
			continue;
		n++;
		good += in_time(call);
	}
	return (double)good / MAX(n, 1);
}

static void count_outcomes(const struct sload *load, struct peak *result)
{
	unsigned admitted = 0;
	unsigned late = 0;
	unsigned i;

	for (i = 0; i < emod_n_calls(load->emod); i++) {
		const struct emod_call *call = emod_call_at(load->emod, i);

		if (call->failed && call->run == ERR_RUN_NOT) {
			result->refusal =
				MAX(result->refusal,
				    (double)(call->end - call->arrival));
			continue;
		}
		admitted++;
		late += !in_time(call);
	}
	result->late = (double)late / MAX(admitted, 1);
}

static struct peak run_peak(const struct fig_output *options,
			    const struct sload_user *user,
			    const struct sload_variant *variant, double factor,
			    bool with_faults)
{
	struct peak result = {0};
	struct sload load;
	GArray *from;
	GArray *to;

	sload_start(&load, user, variant, (unsigned)options->seed, 0);
	sload_run(&load, 0.8, PEAK_START);
	if (with_faults)
		plan_faults(load.emod, PEAK_START + 2000);
	sload_run(&load, factor, PEAK_START + PEAK_SETTLE);
	from = snapshot(&load);
	sload_run(&load, factor, PEAK_END);
	to = snapshot(&load);
	sload_run(&load, 0.5, PEAK_END + 10000);
	emod_run_until(load.emod, PEAK_DRAIN);
	result.goodput = work_in_time(&load, from, to) / load.capacity /
			 (PEAK_END - PEAK_START - PEAK_SETTLE) * 1000;
	result.small = small_in_time(&load);
	count_outcomes(&load, &result);
	g_array_unref(from);
	g_array_unref(to);
	sload_stop(&load);
	return result;
}

static const struct sload_variant peak_baselines[] = {
	{.name = "round_robin", .policy = ADM_ROUND_ROBIN},
	{.name = "least_outstanding", .policy = ADM_LEAST_OUTSTANDING},
	{.name = "early", .policy = ADM_EARLY},
	{.name = "no_deadlines", .no_deadlines = true},
	{.name = "no_classes", .no_classes = true},
	{.name = "no_fair_share", .no_fair_share = true},
};

static void print_peak(const struct fig_output *options,
		       const struct sload_user *user, bool with_faults)
{
	GString *text[4] = {g_string_new(NULL), g_string_new(NULL),
			    g_string_new(NULL), g_string_new(NULL)};
	double base = run_peak(options, user, &chosen, 1, with_faults).goodput;
	const char *suffix = with_faults ? "_with_faults" : "";
	char *name[5] = {
		g_strdup_printf("crest.goodput%s", suffix),
		g_strdup_printf("crest.refusal%s", suffix),
		g_strdup_printf("crest.late%s", suffix),
		g_strdup_printf("crest.small_in_time%s", suffix),
		g_strdup_printf("crest.goodput_at_capacity%s", suffix)};
	struct peak result;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(peak_baselines); i++) {
		result = run_peak(options, user, &peak_baselines[i], 3,
				  with_faults);
		fig_add_baseline(text[0], peak_baselines[i].name,
				 result.goodput / base);
		fig_add_baseline(text[1], peak_baselines[i].name,
				 result.refusal);
		fig_add_baseline(text[2], peak_baselines[i].name, result.late);
		fig_add_baseline(text[3], peak_baselines[i].name, result.small);
	}
	result = run_peak(options, user, &chosen, 3, with_faults);
	print_figure(options, user->name, name[0], result.goodput / base,
		     "of_goodput_at_capacity", ">=0.95", text[0]);
	print_figure(options, user->name, name[1], result.refusal, "ms",
		     "<=100", text[1]);
	print_figure(options, user->name, name[2], result.late, "of_admitted",
		     "-", text[2]);
	print_figure(options, user->name, name[3], result.small, "of_calls",
		     "-", text[3]);
	print_figure(options, user->name, name[4], base, "of_bound", "-", NULL);
	for (i = 0; i < G_N_ELEMENTS(text); i++)
		g_string_free(text[i], TRUE);
	for (i = 0; i < G_N_ELEMENTS(name); i++)
		g_free(name[i]);
}

static void measure_peak(const struct fig_output *options)
{
	size_t u;

	for (u = 0; u < SLOAD_N_USERS; u++) {
		print_peak(options, &sload_users[u], false);
		print_peak(options, &sload_users[u], true);
	}
}

/* Head-of-line blocking */

#define HOL_START 15000
#define HOL_END 45000
#define HOL_RAMP 10000
#define HOL_SHORT 0.3

struct hol {
	double wait;  /* p99 until the stream is opened, ms */
	double first; /* p99 until the first token, ms */
};

/*
 * Submits short calls, and long ones at the capacity if asked to: four times
 * as many in the first seconds, because they take minutes to accumulate.
 */
static void run_mix(struct sload *load, bool with_long, clk_ms until)
{
	double per_long = load->per_call * SLOAD_LONG_FACTOR;
	double due = 0;

	load->long_part = 0;
	while (emod_now(load->emod) < until) {
		sload_run(load, HOL_SHORT, emod_now(load->emod) + 100);
		if (with_long)
			due += load->capacity * 0.1 / per_long *
			       (emod_now(load->emod) < HOL_RAMP ? 4 : 1);
		while (due >= 1) {
			sload_submit(load, true);
			due -= 1;
		}
	}
}

static struct hol run_hol(const struct fig_output *options,
			  const struct sload_user *user,
			  const struct sload_variant *variant, bool with_long)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *firsts = g_array_new(FALSE, FALSE, sizeof(double));
	struct hol result;
	struct sload load;
	unsigned i;

	sload_start(&load, user, variant, (unsigned)options->seed, CLK_HOUR);
	load.deadlines = false;
	load.per_call /= 1 + load.long_part * (SLOAD_LONG_FACTOR - 1);
	run_mix(&load, with_long, HOL_END);
	emod_run_until(load.emod, HOL_END + 30000);
	for (i = 0; i < emod_n_calls(load.emod); i++) {
		const struct emod_call *call = emod_call_at(load.emod, i);
		clk_ms now = emod_now(load.emod);
		double wait;
		double first;

		if (call->tagged || call->arrival < HOL_START ||
		    call->arrival >= HOL_END)
			continue;
		wait = (double)((call->opened < 0 ? now : call->opened) -
				call->arrival);
		first = (double)((call->tokens ? call->first_token : now) -
				 call->arrival);
		g_array_append_val(waits, wait);
		g_array_append_val(firsts, first);
	}
	result.wait = sload_quantile(waits, 0.99);
	result.first = sload_quantile(firsts, 0.99);
	g_array_unref(waits);
	g_array_unref(firsts);
	sload_stop(&load);
	return result;
}

static const struct sload_variant hol_baselines[] = {
	{.name = "round_robin", .policy = ADM_ROUND_ROBIN},
	{.name = "least_outstanding", .policy = ADM_LEAST_OUTSTANDING},
	{.name = "early", .policy = ADM_EARLY},
	{.name = "no_classes", .no_classes = true},
};

static void measure_hol(const struct fig_output *options)
{
	size_t u;
	size_t i;

	for (u = 0; u < SLOAD_N_USERS; u++) {
		const struct sload_user *user = &sload_users[u];
		struct hol without = run_hol(options, user, &chosen, false);
		GString *text = g_string_new(NULL);
		GString *waits = g_string_new(NULL);
		struct hol with;

		for (i = 0; i < G_N_ELEMENTS(hol_baselines); i++) {
			with = run_hol(options, user, &hol_baselines[i], true);
			fig_add_baseline(text, hol_baselines[i].name,
					 with.first / without.first);
			fig_add_baseline(waits, hol_baselines[i].name,
					 with.wait);
		}
		with = run_hol(options, user, &chosen, true);
		print_figure(options, user->name, "hol.first_token_ratio",
			     with.first / without.first, "of_wait_without_long",
			     "<=1.2", text);
		print_figure(options, user->name, "hol.queue_wait_p99",
			     with.wait, "ms", "-", waits);
		print_figure(options, user->name, "hol.first_token_p99",
			     with.first, "ms", "-", NULL);
		print_figure(options, user->name,
			     "hol.first_token_p99_without_long", without.first,
			     "ms", "-", NULL);
		g_string_free(text, TRUE);
		g_string_free(waits, TRUE);
	}
}

/* Decisions */

#define N_DECISIONS 40000
#define N_MODELS 3
#define N_DATA_CENTERS 9

struct size {
	const char *name;
	unsigned workers;
	unsigned instances;
	unsigned orgs;
};

static const struct size sizes[] = {
	{"today", 40, 5, 10},
	{"middle", 400, 100, 8000},
	{"two_years", 1500, 390, 31000},
};

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return 1e6 * (double)now.tv_sec + (double)now.tv_nsec / 1000;
}

static void add_peers(struct wf_ctx *ctx, const struct size *size)
{
	struct wf_peer *peers = g_new0(struct wf_peer, size->instances);
	unsigned i;

	for (i = 0; i < size->instances; i++) {
		peers[i].id = g_strdup_printf("entry-%u", i);
		peers[i].data_center =
			g_strdup_printf("dc-%u", i % N_DATA_CENTERS);
	}
	wf_set_peers(ctx, peers, size->instances);
	for (i = 0; i < size->instances; i++) {
		g_free(peers[i].id);
		g_free(peers[i].data_center);
	}
	g_free(peers);
}

/* Serves each model in four stages; accelerators count only as slots. */
static void list_workers(struct wf_ctx *ctx, struct wf_module *targets,
			 const struct size *size)
{
	struct wf_instance *list = g_new0(struct wf_instance, size->workers);
	struct wf_event event = {.type = WF_EV_INSTANCES};
	GStringChunk *names = g_string_chunk_new(4096);
	unsigned i;

	for (i = 0; i < size->workers; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "worker-%u", i);
		list[i].id = g_string_chunk_insert(names, name);
		list[i].role = WF_ROLE_ENGINE;
		list[i].address = "127.0.0.1:9101";
		g_snprintf(name, sizeof(name), "dc-%u",
			   i / 12 % N_DATA_CENTERS);
		list[i].data_center = g_string_chunk_insert(names, name);
		list[i].incarnation = 1;
		g_snprintf(name, sizeof(name), "model-%u", i % N_MODELS);
		list[i].serves = g_string_chunk_insert(names, name);
		list[i].n_layers = 80;
		list[i].first_layer = i / N_MODELS % 4 * 20;
		list[i].last_layer = list[i].first_layer + 19;
		list[i].slots = 32;
		list[i].step_us = 9000 + i % 8 * 1000;
	}
	event.instances.list = list;
	event.instances.n = size->workers;
	targets->ops->handle(ctx, targets, &event);
	g_free(list);
	g_string_chunk_free(names);
}

struct decisions {
	struct wf_ctx *ctx;
	struct wf_module *targets;
	struct wf_module *runs;
	uint64_t n_calls;
};

static uint64_t decide(struct decisions *d, const struct size *size)
{
	uint64_t id = ++d->n_calls;
	char org[24];
	char model[16];
	uint64_t hashes[4] = {id % 500 + 1, id % 1000 + 1001, id + 9000, id};
	struct wf_call call = {.id = id,
			       .kind = WF_CALL_MODEL,
			       .org = org,
			       .name = model,
			       .prompt_tokens = 400,
			       .max_tokens = 300,
			       .prefix_hashes = hashes,
			       .n_prefix_hashes = 4};
	struct wf_event event = {.type = WF_EV_CALL, .call = &call};

	g_snprintf(org, sizeof(org), "org-%u", (unsigned)(id % size->orgs));
	g_snprintf(model, sizeof(model), "model-%u", (unsigned)(id % N_MODELS));
	call.policy.weight = 1;
	d->runs->ops->handle(d->ctx, d->runs, &event);
	return id;
}

/* Drains the actions; returns the op of an opened stream, or 0. */
static uint64_t drain_actions(struct decisions *d, unsigned *lineage)
{
	struct wf_action action;
	uint64_t op = 0;

	while (wf_next_action(d->ctx, &action)) {
		if (action.type == WF_ACT_STREAM_OPEN) {
			op = action.op;
			*lineage = action.lineage;
		}
		wf_action_clear(&action);
	}
	return op;
}

static void end_call(struct decisions *d, uint64_t op, unsigned lineage)
{
	struct wf_stream_event end = {.op = op,
				      .what = WF_STREAM_END,
				      .lineage = lineage,
				      .reason = "stop"};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &end};
	unsigned unused;

	d->runs->ops->handle(d->ctx, d->runs, &event);
	drain_actions(d, &unused);
}

/* Keeps about 100 calls in flight and measures the handling of new ones. */
static void run_decisions(struct decisions *d, const struct size *size,
			  GArray *times)
{
	uint64_t ops[100] = {0};
	unsigned lineages[100] = {0};
	unsigned i;

	for (i = 0; i < N_DECISIONS; i++) {
		unsigned slot = i % 100;
		double start;

		if (ops[slot])
			end_call(d, ops[slot], lineages[slot]);
		d->ctx->now += 1;
		start = cpu_us();
		decide(d, size);
		start = cpu_us() - start;
		g_array_append_val(times, start);
		ops[slot] = drain_actions(d, &lineages[slot]);
	}
}

static double mean_of(const GArray *values)
{
	double sum = 0;
	guint i;

	for (i = 0; i < values->len; i++)
		sum += g_array_index(values, double, i);
	return sum / MAX(values->len, 1);
}

/* Drains actions; answers polls and counts the bytes sent to peers. */
static size_t answer_polls(struct decisions *d)
{
	struct wf_action action;
	size_t bytes = 0;

	while (wf_next_action(d->ctx, &action)) {
		struct wf_report report = {.target = action.target,
					   .reachable = true,
					   .running = 12,
					   .slots = 32,
					   .step_us = 12000};
		struct wf_event event = {.type = WF_EV_REPORT};

		event.report = &report;
		if (action.type == WF_ACT_POLL_TARGET)
			d->targets->ops->handle(d->ctx, d->targets, &event);
		if (action.type == WF_ACT_PEER_SEND)
			bytes += g_bytes_get_size(action.body);
		wf_action_clear(&action);
	}
	return bytes;
}

/* Reports of targets that peers poll, as received in their digests. */
static void apply_peer_reports(struct decisions *d, const struct size *size,
			       unsigned part)
{
	struct wf_report report = {.reachable = true,
				   .running = 20,
				   .slots = 32,
				   .step_us = 12000};
	struct wf_event event = {.type = WF_EV_REPORT, .report = &report};
	char id[24];
	unsigned i;

	for (i = part; i < size->workers; i += 20) {
		g_snprintf(id, sizeof(id), "worker-%u", i);
		report.target = id;
		d->targets->ops->handle(d->ctx, d->targets, &event);
	}
}

#define CONTROL_SECONDS 20

/* Processor time and bytes of the control work over 20 s of virtual time. */
static void measure_control(const struct fig_output *options,
			    const struct size *size, struct decisions *d)
{
	struct wf_event tick = {.type = WF_EV_TICK};
	size_t bytes = 0;
	double cpu = 0;
	unsigned i;

	for (i = 0; i < CONTROL_SECONDS * 4; i++) {
		double start = cpu_us();

		d->ctx->now += 250;
		d->targets->ops->handle(d->ctx, d->targets, &tick);
		bytes += answer_polls(d);
		apply_peer_reports(d, size, i % 20);
		cpu += cpu_us() - start;
	}
	print_figure(options, size->name, "control.cpu",
		     100 * cpu / (CONTROL_SECONDS * 1e6), "%_of_a_core", "<1.8",
		     NULL);
	print_figure(options, size->name, "control.sent",
		     (double)bytes / CONTROL_SECONDS / 1000, "KB/s", "<22",
		     NULL);
}

/* Fills the record of cached prefixes up to its limit. */
static void fill_cache(struct decisions *d)
{
	uint64_t hash;

	for (hash = 1; hash <= 100000; hash++) {
		struct wf_cache_event cache = {.target = "worker-1",
					       .seq = hash,
					       .added = &hash,
					       .n_added = 1};
		struct wf_event event = {.type = WF_EV_CACHE, .cache = &cache};

		d->targets->ops->handle(d->ctx, d->targets, &event);
	}
}

static double memory_mb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / 1e6;
}

static void measure_size(const struct fig_output *options,
			 const struct size *size)
{
	double before = memory_mb();
	struct decisions d = {.n_calls = 0};
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	struct run_config config;
	struct tgt_table *targets;
	double first;
	double memory;
	double listing;

	d.ctx = wf_ctx_new("entry-0", "dc-0", 1, (unsigned)options->seed, NULL,
			   NULL);
	d.ctx->now = 1000;
	targets = tgt_new(d.ctx, NULL);
	d.targets = tgt_module(targets);
	run_config_init(&config);
	config.targets = targets;
	d.runs = run_module(run_new(d.ctx, &config));
	add_peers(d.ctx, size);
	listing = cpu_us();
	list_workers(d.ctx, d.targets, size);
	listing = cpu_us() - listing;
	run_decisions(&d, size, times);
	fill_cache(&d);
	first = memory_mb() - before;
	g_array_set_size(times, 0);
	run_decisions(&d, size, times);
	memory = memory_mb() - before;
	print_figure(options, size->name, "decision.mean", mean_of(times), "us",
		     "<20", NULL);
	print_figure(options, size->name, "decision.p99",
		     sload_quantile(times, 0.99), "us", "<20", NULL);
	print_figure(options, size->name, "decision.memory_first", first, "MB",
		     "<32", NULL);
	print_figure(options, size->name, "decision.memory_second", memory,
		     "MB", "<32", NULL);
	print_figure(options, size->name, "decision.list_applied", listing,
		     "us", "-", NULL);
	measure_control(options, size, &d);
	d.runs->ops->drop(d.runs);
	d.targets->ops->drop(d.targets);
	wf_ctx_drop(d.ctx);
	g_array_unref(times);
}

static void measure_decision(const struct fig_output *options)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_size(options, &sizes[i]);
}

static const struct {
	const char *name;
	void (*measure)(const struct fig_output *options);
} measurements[] = {
	{"throughput", measure_throughput},
	{"throughput_chosen", measure_chosen},
	{"recovery", measure_recovery},
	{"recovery_chosen", measure_recovery_chosen},
	{"crest", measure_peak},
	{"hol", measure_hol},
	{"decision", measure_decision},
};

int main(int argc, char **argv)
{
	struct fig_output options = {.seed = 1};
	const char *name = fig_parse(&options, argc, argv);
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(measurements); k++) {
		if (strcmp(name, measurements[k].name) != 0)
			continue;
		measurements[k].measure(&options);
		return EXIT_SUCCESS;
	}
	fprintf(stderr, "usage: sched_bench [--json] [--seed N] "
			"throughput|recovery|crest|hol|decision\n");
	return 2;
}
