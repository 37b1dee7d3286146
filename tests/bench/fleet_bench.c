/*
 * Measures placement and path selection by fleet size: planning for empty
 * engines, planning again once the plan is carried out, and finding the path
 * of one request. The engines are spread over nine data centres.
 */

#include <stdio.h>
#include <time.h>

#include "support/figure.h"
#include "support/fleet.h"

#define DATA_CENTERS 9
#define FULL_PATHS 200
#define PATHS 300
#define TOKENS 1000

static double now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static struct flt_fleet *make_fleet(unsigned engines)
{
	static const char *const kinds[] = {"large",  "middle", "middle",
					    "middle", "small",	"small"};
	struct flt_fleet *fleet = flt_new();
	struct flt_range none = {0, 0};
	unsigned i;

	for (i = 0; i < engines; i++) {
		char *id = g_strdup_printf("e%u", 1000 + i);
		char *center = g_strdup_printf("dc%u", i % DATA_CENTERS);

		sup_list_engine(fleet, 0, id, center,
				kinds[(i / DATA_CENTERS) % G_N_ELEMENTS(kinds)],
				none);
		g_free(id);
		g_free(center);
	}
	return fleet;
}

static void print(const struct fig_output *output, const char *name,
		  unsigned engines, double value, const char *unit,
		  const char *objective)
{
	char *text = g_strdup_printf("fleet.%s.%u", name, engines);

	fig_print(output, text, value, unit, objective, NULL);
	g_free(text);
}

static void measure_plans(const struct fig_output *output,
			  struct flt_fleet *fleet, unsigned engines,
			  const struct cat_service *service)
{
	double start = now_us();
	GArray *plan = plc_plan(fleet, 0, service);

	print(output, "plan_from_empty", engines, (now_us() - start) / 1000,
	      "ms", "-");
	g_array_unref(plan);
	sup_apply_plans(fleet, 0, service);
	start = now_us();
	plan = plc_plan(fleet, 0, service);
	print(output, "plan_unchanged", engines, (now_us() - start) / 1000,
	      "ms", "-");
	g_array_unref(plan);
}

static struct pth_query make_query(const struct cat_service *service)
{
	struct pth_query query = {
		.engine = service->engine,
		.service = "model",
		.data_center = "dc4",
		.tokens = TOKENS,
		.prefill_tokens = TOKENS,
	};

	return query;
}

static void measure_paths(const struct fig_output *output,
			  struct flt_fleet *fleet, unsigned engines,
			  const struct cat_service *service)
{
	struct pth_query query = make_query(service);
	GRand *rand = g_rand_new_with_seed((guint32)output->seed);
	struct pth_path *path;
	double start = now_us();
	unsigned found = 0;
	unsigned i;

	for (i = 0; i < PATHS; i++) {
		found += pth_find(fleet, 0, &query, rand, &path) == PTH_FOUND;
		pth_free(path);
	}
	print(output, "path", engines, (now_us() - start) / PATHS, "us",
	      "<=1000");
	print(output, "paths_found", engines, (double)found / PATHS, "1",
	      ">=1");
	g_rand_free(rand);
}

/* Requests that find no room in the engines with the last layer: all searches
 * are made in vain. */
static void measure_full(const struct fig_output *output,
			 struct flt_fleet *fleet, unsigned engines,
			 const struct cat_service *service)
{
	struct pth_query query = make_query(service);
	GRand *rand = g_rand_new_with_seed((guint32)output->seed);
	const GPtrArray *targets = flt_targets(fleet);
	struct pth_path *path;
	double start;
	unsigned i;

	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];

		if (target->holds.end == service->engine->layers)
			target->others.token_layers = 1e12;
	}
	start = now_us();
	for (i = 0; i < FULL_PATHS; i++) {
		pth_find(fleet, 0, &query, rand, &path);
		pth_free(path);
	}
	print(output, "path_full", engines, (now_us() - start) / FULL_PATHS,
	      "us", "-");
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	static const unsigned sizes[] = {93, 400, 1500};
	struct fig_output output = {.seed = 1};
	struct cat_catalog *catalog = sup_engine_catalog();
	const struct cat_service *service = sup_engine_service(catalog);
	size_t i;

	fig_parse(&output, argc, argv);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct flt_fleet *fleet = make_fleet(sizes[i]);

		measure_plans(&output, fleet, sizes[i], service);
		measure_paths(&output, fleet, sizes[i], service);
		measure_full(&output, fleet, sizes[i], service);
		flt_drop(fleet);
	}
	cat_drop(catalog);
	return 0;
}
