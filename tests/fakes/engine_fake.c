/* Fake of a model engine that serves a range of layers: the program. */

#include "engine.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

static struct eng_engine engine = {
	.n_layers = 60,
	.last_layer = 59,
	.slots = 8,
	.queue_limit = 64,
	.stage_timeout_ms = 1000,
	.kv_blocks = 65536,
	.cache_blocks = 1024,
	.cache_log = 64,
	.max_seqs = 4096,
};

static struct poptOption work_options[] = {
	{"slots", 0, POPT_ARG_INT, &engine.slots, 0,
	 "concurrent streams; also, separately, concurrent steps", "N"},
	{"queue-limit", 0, POPT_ARG_INT, &engine.queue_limit, 0,
	 "maximum number of queued streams", "N"},
	{"step-us", 0, POPT_ARG_DOUBLE, &engine.step_us, 0,
	 "duration of a step", "US"},
	{"rebuild-us", 0, POPT_ARG_DOUBLE, &engine.rebuild_us, 0,
	 "time to rebuild one position", "US"},
	{"import-us", 0, POPT_ARG_DOUBLE, &engine.import_us, 0,
	 "time to import KV state", "US"},
	{"block-us", 0, POPT_ARG_DOUBLE, &engine.block_us, 0,
	 "time for a prompt block that is not cached", "US"},
	{"stage-timeout-ms", 0, POPT_ARG_INT, &engine.stage_timeout_ms, 0,
	 "timeout of requests to other engines, 0 is unlimited", "MS"},
	{"kv-blocks", 0, POPT_ARG_INT, &engine.kv_blocks, 0,
	 "blocks of KV memory", "N"},
	{"cache-blocks", 0, POPT_ARG_INT, &engine.cache_blocks, 0,
	 "capacity of the prefix cache in prompt blocks", "N"},
	{"cache-log", 0, POPT_ARG_INT, &engine.cache_log, 0,
	 "cache events kept for readers", "N"},
	{"keep", 0, POPT_ARG_INT, &engine.max_seqs, 0,
	 "maximum number of requests whose state is kept", "N"},
	POPT_TABLEEND};

static struct poptOption options[] = {
	{"id", 0, POPT_ARG_STRING, &engine.id, 0, "engine id", "ID"},
	{"model", 0, POPT_ARG_STRING, &engine.model, 0, "model name", "NAME"},
	{"n-layers", 0, POPT_ARG_INT, &engine.n_layers, 0,
	 "layers of the model", "N"},
	{"first-layer", 0, POPT_ARG_INT, &engine.first_layer, 0,
	 "first layer held", "N"},
	{"last-layer", 0, POPT_ARG_INT, &engine.last_layer, 0,
	 "last layer held", "N"},
	{"report-lag-ms", 0, POPT_ARG_INT, &engine.report_lag_ms, 0,
	 "age of load reports", "MS"},
	{"cache-lag-ms", 0, POPT_ARG_INT, &engine.cache_lag_ms, 0,
	 "age of cache events", "MS"},
	{"checks-fencing", 0, POPT_ARG_NONE, &engine.checks_fencing, 0,
	 "refuse orders with an outdated fencing number", NULL},
	{"senders", 0, POPT_ARG_STRING, &engine.senders, 0,
	 "senders whose orders are accepted (default: all)", "ID,ID"},
	{"list", 0, POPT_ARG_STRING, &engine.list_address, 0,
	 "instance list that KV sources are looked up in", "IP:PORT"},
	{"weights", 0, POPT_ARG_STRING, &engine.weights_address, 0,
	 "weight store", "IP:PORT"},
	{NULL, 0, POPT_ARG_INCLUDE_TABLE, work_options, 0,
	 "Work and memory:", NULL},
	POPT_TABLEEND};

static const struct fk_route routes[] = {
	{"POST", "/v1/generate", eng_handle_generate},
	{"POST", "/v1/step", eng_handle_step},
	{"POST", "/v1/cancel", eng_handle_cancel},
	{"GET", "/v1/load", eng_handle_load},
	{"GET", "/v1/cache-events", eng_handle_cache_events},
	{"GET", "/v1/kv/", eng_handle_export},
	{"GET", "/v1/boundary/", eng_handle_boundary},
	{"POST", "/v1/orders", eng_handle_orders},
	{"GET", "/v1/records", eng_handle_records},
	{"POST", "/admin/engine", eng_handle_set},
	{"GET", "/admin/state", eng_handle_state},
	{NULL, NULL, NULL},
};

int main(int argc, const char **argv)
{
	engine.server = fk_server_new(argc, argv, options, routes, &engine);
	if (!engine.id)
		engine.id = strdup("engine-1");
	if (!engine.model)
		engine.model = strdup("swan-70b");
	engine.role = g_strdup("generate");
	if (engine.first_layer < 0 || engine.last_layer < engine.first_layer ||
	    engine.last_layer >= engine.n_layers || engine.slots < 1) {
		fprintf(stderr, "bad layer range or slots\n");
		return 2;
	}
	engine.client = fc_new(fk_loop(engine.server), 64);
	engine.seqs = g_hash_table_new(g_str_hash, g_str_equal);
	engine.streams.slots = (unsigned)engine.slots;
	engine.steps.slots = (unsigned)engine.slots;
	eng_report_init(&engine);
	return fk_server_run(engine.server);
}
