/* The entry daemon: reads the settings and runs one instance. */

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/driver.h"
#include "daemon/net.h"

/* The exit codes of the operators' command. */
#define EXIT_REFUSED 1
#define EXIT_USAGE 2
/* Longest time to wait at exit until all handles are closed. */
#define CLOSE_TIMEOUT_MS 2000

/* Adapts wf_core to the driver's interface. */
struct real_core {
	struct drv_core base;
	struct wf_core *core;
};

static struct wf_core *core_of(struct drv_core *core)
{
	return ((struct real_core *)core)->core;
}

static void real_handle(struct drv_core *core, clk_ms now,
			const struct wf_event *event)
{
	wf_core_handle(core_of(core), now, event);
}

static bool real_next_action(struct drv_core *core, struct wf_action *out)
{
	return wf_core_next_action(core_of(core), out);
}

static clk_ms real_next_wakeup(struct drv_core *core)
{
	return wf_core_next_wakeup(core_of(core));
}

static bool real_is_ready(struct drv_core *core)
{
	return wf_core_is_ready(core_of(core));
}

static void real_write_status(struct drv_core *core, GString *out)
{
	wf_core_write_status(core_of(core), out);
}

static const struct drv_core_ops real_ops = {
	real_handle,   real_next_action,  real_next_wakeup,
	real_is_ready, real_write_status,
};

static void write_line(void *user, const char *line)
{
	(void)user;
	fprintf(stderr, "%s\n", line);
}

static void on_signal(uv_signal_t *signal, int number)
{
	(void)number;
	drv_drain(signal->data);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *signal, int number,
			 struct drv_driver *driver)
{
	uv_signal_init(loop, signal);
	signal->data = driver;
	uv_signal_start(signal, on_signal, number);
}

static int run_driver(struct drv_config *config)
{
	uv_signal_t terminate;
	uv_signal_t interrupt;
	GError *error = NULL;
	struct drv_driver *driver = drv_new(config, &error);

	if (!driver) {
		fprintf(stderr, "wagtailferryd: %s\n", error->message);
		g_error_free(error);
		net_close_loop(config->loop, CLOSE_TIMEOUT_MS);
		return EXIT_REFUSED;
	}
	watch_signal(config->loop, &terminate, SIGTERM, driver);
	watch_signal(config->loop, &interrupt, SIGINT, driver);
	log_change(config->log, drv_clock_now(&config->clock), "instance",
		   "starting", "serving", "callers %s, operators %s, peers %s",
		   drv_caller_address(driver), drv_operator_address(driver),
		   drv_peer_address(driver));
	/* Reports the ports if the settings let the system choose them. */
	printf("listening on %s for callers, %s for operators, %s for peers\n",
	       drv_caller_address(driver), drv_operator_address(driver),
	       drv_peer_address(driver));
	fflush(stdout);
	if (!drv_is_done(driver))
		uv_run(config->loop, UV_RUN_DEFAULT);
	log_change(config->log, drv_clock_now(&config->clock), "instance",
		   "serving", "stopped", NULL);
	net_block_signals();
	uv_close((uv_handle_t *)&terminate, NULL);
	uv_close((uv_handle_t *)&interrupt, NULL);
	drv_drop(driver);
	net_close_loop(config->loop, CLOSE_TIMEOUT_MS);
	return EXIT_SUCCESS;
}

static int run_core(const Wf__Settings *settings, uv_loop_t *loop,
		    struct ctr_set *counters, struct log_logger *log)
{
	struct real_core core = {.base.ops = &real_ops};
	struct wf_core_config core_config;
	struct drv_config config = {
		.loop = loop,
		.settings = settings,
		.core = &core.base,
		.counters = counters,
		.log = log,
	};
	int code;

	drv_clock_start(&config.clock);
	config.incarnation = (uint64_t)config.clock.wall_start;
	wf_core_config_init(&core_config);
	core_config.self = settings->instance;
	core_config.data_center = settings->data_center;
	core_config.address = settings->caller_address;
	core_config.peer_address = settings->peer_address;
	core_config.incarnation = config.incarnation;
	core_config.seed = settings->seed;
	core_config.counters = counters;
	core_config.log = log;
	core_config.drain_limit = (clk_ms)settings->drain_limit_ms;
	core_config.key_retention = (clk_ms)settings->key_retention_ms;
	core.core = wf_core_new(&core_config);
	code = run_driver(&config);
	wf_core_drop(core.core);
	return code;
}

static int run(const char *path)
{
	GError *error = NULL;
	Wf__Settings *settings = sch_settings_read(path, &error);
	struct ctr_set *counters;
	struct log_logger *log;
	uv_loop_t loop;
	int code;

	if (!settings) {
		fprintf(stderr, "wagtailferryd: %s\n", error->message);
		g_error_free(error);
		return EXIT_REFUSED;
	}
	uv_loop_init(&loop);
	counters = ctr_new();
	log = log_new(settings->log == WF__LOG_DESTINATION__STDERR ? write_line
								   : NULL,
		      NULL);
	code = run_core(settings, &loop, counters, log);
	log_drop(log);
	ctr_drop(counters);
	sch_settings_free(settings);
	return code;
}

int main(int argc, const char **argv)
{
	char *path = NULL;
	const struct poptOption options[] = {
		{"settings", 's', POPT_ARG_STRING, &path, 0,
		 "settings of this instance (JSON)", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext("wagtailferryd", argc, argv, options, 0);
	int parsed = poptGetNextOpt(context);
	int code = EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	if (parsed < -1 || !path || poptPeekArg(context))
		poptPrintUsage(context, stderr, 0);
	else
		code = run(path);
	poptFreeContext(context);
	free(path);
	return code;
}
