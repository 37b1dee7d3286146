#include <math.h>
#include <string.h>

#include "sched_load.h"

#define N_LAYERS 60
#define N_ROUTERS 5
#define N_ORGS 10

const struct sload_user sload_users[SLOAD_N_USERS] = {
	{"isbrytaren", {"uppsala", "falun", "gavle"}, 120, 40, 8000, 180000},
	{"carretti",
	 {"catania", "palermo", "siracusa"},
	 300,
	 100,
	 20000,
	 300000},
};

/* Layer ranges of the engines: thirds, halves, and one that overlaps. */
static const struct {
	unsigned first;
	unsigned last;
} ranges[] = {
	{0, 19},  {20, 39}, {40, 59}, {0, 19},	{20, 39}, {40, 59}, {0, 29},
	{30, 59}, {0, 19},  {20, 39}, {40, 59}, {10, 39}, {40, 59},
};

/* Three types of accelerators: time of a token in 20 layers, slots. */
static const struct {
	double step_us;
	unsigned slots;
} kinds[] = {{8000, 4}, {12000, 4}, {20000, 6}};

static void add_engines(struct sload *load)
{
	unsigned dc;
	unsigned i;
	unsigned n = 0;

	for (dc = 0; dc < 3; dc++)
		for (i = 0; i < G_N_ELEMENTS(ranges); i++, n++) {
			unsigned kind = n % G_N_ELEMENTS(kinds);
			unsigned held = ranges[i].last - ranges[i].first + 1;
			char *id = g_strdup_printf("engine-%u", n);

			emod_add_engine(load->emod, id,
					load->user->data_centers[dc], N_LAYERS,
					ranges[i].first, ranges[i].last,
					kinds[kind].slots,
					kinds[kind].step_us * held / 20);
			g_free(id);
		}
}

static void configure(const struct sload_variant *variant,
		      struct tgt_config *targets, struct run_config *runs)
{
	tgt_config_init(targets);
	run_config_init(runs);
	targets->use_inflation = !variant->no_inflation;
	targets->use_breaker = !variant->no_breaker;
	runs->policy = variant->policy;
	runs->use_classes = !variant->no_classes;
	runs->use_fair_share = !variant->no_fair_share;
	runs->use_deadlines = !variant->no_deadlines;
	runs->use_moves = !variant->no_moves;
	runs->use_resume = !variant->no_resume;
	runs->use_replacement = !variant->no_replacement;
	runs->use_recovery = !variant->no_recovery;
}

double sload_bound(const struct sload *load)
{
	unsigned n = emod_n_engines(load->emod);
	struct bnd_engine *engines = g_new0(struct bnd_engine, n);
	size_t used = 0;
	double bound;
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct emod_engine *from = emod_engine_at(load->emod, i);

		if (!from->alive || from->leaving)
			continue;
		engines[used].first_layer = from->first_layer;
		engines[used].last_layer = from->last_layer;
		engines[used++].rate = 1e6 * from->slots / from->step_us;
	}
	bound = bnd_throughput(N_LAYERS, engines, used, NULL, 0);
	g_free(engines);
	return bound;
}

void sload_start(struct sload *load, const struct sload_user *user,
		 const struct sload_variant *variant, unsigned seed,
		 clk_ms max_wait)
{
	struct tgt_config targets;
	struct run_config runs;

	memset(load, 0, sizeof(*load));
	configure(variant, &targets, &runs);
	if (max_wait)
		runs.max_wait = max_wait;
	load->seed = seed;
	load->user = user;
	load->long_part = 0.02;
	load->deadlines = true;
	load->rand = g_rand_new_with_seed(seed);
	load->emod = emod_new(N_ROUTERS, user->data_centers, 3, seed, &targets,
			      &runs);
	emod_set_report_lag(load->emod, 100);
	add_engines(load);
	emod_publish(load->emod);
	load->capacity = sload_bound(load);
	load->per_call = (user->length + user->prompt / EMOD_PREFILL_TOKENS) *
			 (1 + load->long_part * (SLOAD_LONG_FACTOR - 1));
}

void sload_stop(struct sload *load)
{
	emod_drop(load->emod);
	g_rand_free(load->rand);
}

/* Organisations of unequal size: each has 0.7 times the one before it. */
static unsigned pick_org(GRand *rand)
{
	double u = g_rand_double(rand) * (1 - pow(0.7, N_ORGS));

	return MIN((unsigned)(log(1 - u) / log(0.7)), N_ORGS - 1);
}

unsigned sload_submit(struct sload *load, bool is_long)
{
	const struct sload_user *user = load->user;
	unsigned factor = is_long ? SLOAD_LONG_FACTOR : 1;
	double spread = g_rand_double_range(load->rand, 0.5, 1.5);
	struct emod_call call = {.tagged = is_long, .weight = 1};

	call.router = (unsigned)g_rand_int_range(load->rand, 0, N_ROUTERS);
	call.org = pick_org(load->rand);
	call.prompt_tokens = (unsigned)(user->prompt * spread) * factor;
	spread = g_rand_double_range(load->rand, 0.5, 1.5);
	call.length = (unsigned)(user->length * spread) * factor;
	call.max_tokens = 2 * user->length * factor;
	if (load->deadlines)
		call.deadline = is_long ? user->long_deadline : user->deadline;
	return emod_submit(load->emod, &call);
}

void sload_run(struct sload *load, double factor, clk_ms until)
{
	double rate = factor * load->capacity / load->per_call;
	double at = (double)emod_now(load->emod);

	for (;;) {
		at += -1000 * log(1 - g_rand_double(load->rand)) / rate;
		if (at >= (double)until)
			break;
		emod_run_until(load->emod, (clk_ms)at);
		sload_submit(load, g_rand_double(load->rand) < load->long_part);
	}
	emod_run_until(load->emod, until);
}

double sload_work(const struct sload *load)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < emod_n_calls(load->emod); i++) {
		const struct emod_call *call = emod_call_at(load->emod, i);

		sum += call->tokens;
		if (call->tokens)
			sum += call->prompt_tokens / EMOD_PREFILL_TOKENS;
	}
	return sum;
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

double sload_quantile(GArray *values, double p)
{
	guint index;

	if (!values->len)
		return 0;
	g_array_sort(values, compare_doubles);
	index = (guint)(p * (values->len - 1) + 0.5);
	return g_array_index(values, double, index);
}
