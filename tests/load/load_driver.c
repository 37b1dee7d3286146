/*
 * Open-loop load driver for entry instances. Starts requests at their due times
 * whether or not earlier ones are complete, checks each response and prints
 * statistics as JSON. Exits with 0 if no response was wrong, truncated or
 * missing; refusals and error responses are no failure.
 */

#include "load.h"

#include <math.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How often due requests are started. */
#define TICK_MS 1

static struct load_driver driver = {
	.config =
		{
			.rate = 100,
			.requests = 1000,
			.long_share = 0.1,
			.booking_share = 0.1,
			.short_tokens = 8,
			.long_tokens = 128,
			.n_layers = 60,
			.timeout_ms = 60000,
			.seed = 1,
		},
};

static char *target_list;
static char *token_list;

static const struct poptOption mix_options[] = {
	{"rate", 'r', POPT_ARG_DOUBLE, &driver.config.rate, 0,
	 "requests per second", "N"},
	{"requests", 'n', POPT_ARG_INT, &driver.config.requests, 0,
	 "total number of requests", "N"},
	{"poisson", 0, POPT_ARG_NONE, &driver.config.poisson, 0,
	 "exponentially distributed intervals instead of equal ones", NULL},
	{"long-share", 0, POPT_ARG_DOUBLE, &driver.config.long_share, 0,
	 "share of long model requests", "X"},
	{"booking-share", 0, POPT_ARG_DOUBLE, &driver.config.booking_share, 0,
	 "share of bookings", "X"},
	{"repeat-share", 0, POPT_ARG_DOUBLE, &driver.config.repeat_share, 0,
	 "share of bookings sent again to another instance", "X"},
	{"short-tokens", 0, POPT_ARG_INT, &driver.config.short_tokens, 0,
	 "tokens of a short request", "N"},
	{"long-tokens", 0, POPT_ARG_INT, &driver.config.long_tokens, 0,
	 "tokens of a long request", "N"},
	{"seed", 0, POPT_ARG_INT, &driver.config.seed, 0, "random seed", "N"},
	POPT_TABLEEND};

static struct poptOption options[] = {
	{"targets", 't', POPT_ARG_STRING, &target_list, 0, "entry instances",
	 "IP:PORT,..."},
	{"tokens", 0, POPT_ARG_STRING, &token_list, 0,
	 "bearer tokens, one is chosen at random per request", "TOKEN,..."},
	{"model", 0, POPT_ARG_STRING, &driver.config.model, 0, "model name",
	 "NAME"},
	{"service", 0, POPT_ARG_STRING, &driver.config.service, 0,
	 "service name", "NAME"},
	{"n-layers", 0, POPT_ARG_INT, &driver.config.n_layers, 0,
	 "layers of the model, for the expected text", "N"},
	{"prompt-prefix", 0, POPT_ARG_STRING, &driver.config.prompt_prefix, 0,
	 "text that the instance puts before a message (default: \"user: \")",
	 "TEXT"},
	{"prompt-suffix", 0, POPT_ARG_STRING, &driver.config.prompt_suffix, 0,
	 "text that the instance puts after a message", "TEXT"},
	{"timeout-ms", 0, POPT_ARG_INT, &driver.config.timeout_ms, 0,
	 "timeout of a request", "MS"},
	{NULL, 0, POPT_ARG_INCLUDE_TABLE, (void *)mix_options, 0,
	 "Load:", NULL},
	POPT_AUTOHELP POPT_TABLEEND};

static enum load_kind draw_kind(void)
{
	double value = g_rand_double(driver.rand);

	if (value < driver.config.booking_share)
		return LOAD_BOOKING;
	value -= driver.config.booking_share;
	return value < driver.config.long_share ? LOAD_LONG : LOAD_SHORT;
}

static gint64 draw_interval_us(void)
{
	double interval = (double)G_USEC_PER_SEC / driver.config.rate;

	if (driver.config.poisson)
		interval *= -log(1.0 - g_rand_double(driver.rand));
	return (gint64)interval;
}

static void on_tick(uv_timer_t *timer)
{
	gint64 now = g_get_monotonic_time();

	while (driver.started < driver.config.requests &&
	       driver.next_us <= now) {
		double lag = (double)(now - driver.next_us) / 1000.0;

		driver.stats.launch_lag_ms =
			MAX(driver.stats.launch_lag_ms, lag);
		driver.next_us += draw_interval_us();
		load_call_start(&driver, draw_kind());
		driver.started++;
	}
	if (driver.started == driver.config.requests && !driver.open)
		uv_stop(timer->loop);
}

static char *or_default(char *text, const char *fallback)
{
	return text ? text : strdup(fallback);
}

static void parse_options(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int rc = poptGetNextOpt(context);
	struct load_config *config = &driver.config;

	if (rc != -1 || poptPeekArg(context) || !target_list ||
	    config->rate <= 0) {
		fprintf(stderr, "%s\n",
			rc != -1 ? poptStrerror(rc)
				 : "--targets and a positive --rate needed");
		exit(2);
	}
	poptFreeContext(context);
	token_list = or_default(token_list, "load");
	config->model = or_default(config->model, "swan-70b");
	config->service = or_default(config->service, "booking");
	config->prompt_prefix = or_default(config->prompt_prefix, "user: ");
	config->prompt_suffix =
		or_default(config->prompt_suffix, "\nassistant: ");
	config->targets = g_strsplit(target_list, ",", -1);
	config->tokens = g_strsplit(token_list, ",", -1);
}

static void print_result(void)
{
	double seconds = (double)(g_get_monotonic_time() - driver.begin_us) /
			 (double)G_USEC_PER_SEC;
	json_t *json = load_stats_json(&driver.stats, seconds);
	char *text = json_dumps(json, JSON_INDENT(1) | JSON_REAL_PRECISION(6));

	puts(text);
	free(text);
	json_decref(json);
}

static bool all_answered(void)
{
	guint64 bad = 0;
	int kind;

	for (kind = 0; kind < LOAD_N_KINDS; kind++) {
		const guint64 *outcomes = driver.stats.outcomes[kind];

		bad += outcomes[LOAD_WRONG] + outcomes[LOAD_INCOMPLETE] +
		       outcomes[LOAD_FAILED] + outcomes[LOAD_TIMEOUT];
	}
	return bad == 0;
}

int main(int argc, const char **argv)
{
	parse_options(argc, argv);
	signal(SIGPIPE, SIG_IGN);
	driver.rand = g_rand_new_with_seed((guint32)driver.config.seed);
	load_stats_init(&driver.stats);
	uv_loop_init(&driver.loop);
	driver.client = fc_new(&driver.loop, 2048);
	uv_timer_init(&driver.loop, &driver.timer);
	driver.begin_us = g_get_monotonic_time();
	driver.next_us = driver.begin_us;
	uv_timer_start(&driver.timer, on_tick, 0, TICK_MS);
	uv_run(&driver.loop, UV_RUN_DEFAULT);
	print_result();
	load_stats_clear(&driver.stats);
	return all_answered() ? 0 : 1;
}
