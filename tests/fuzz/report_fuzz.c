/*
 * Receives load reports from untrusted bytes: no crash, and once they expire
 * nothing of them is left at the targets.
 */

#include <stdlib.h>
#include <string.h>

#include "edge/prs_reports.h"

#define ENGINES 4
#define EXPIRY_MS CLK_HOUR

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static clk_ms now = 1000;

static clk_ms get_now(void *user)
{
	(void)user;
	return now;
}

static int64_t get_config(void *user, clk_ms *confirmed)
{
	(void)user;
	*confirmed = now;
	return 1;
}

static void confirm(void *user, int64_t version, clk_ms at)
{
	(void)user;
	(void)version;
	if (at > now)
		abort();
}

static struct flt_fleet *new_fleet(void)
{
	struct flt_fleet *fleet = flt_new();
	unsigned i;

	for (i = 0; i < ENGINES; i++) {
		struct flt_target *target = flt_target_new();

		target->id = g_strdup_printf("e%u", i);
		target->service = g_strdup("model");
		target->address = g_strdup_printf("10.0.0.%u:1", i);
		target->data_center = g_strdup("a");
		target->holds = (struct flt_range){0, 10};
		flt_upsert(fleet, now, target);
	}
	return fleet;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct flt_fleet *fleet = new_fleet();
	struct ctr_set *counters = ctr_new();
	struct prs_peers *peers;
	uv_loop_t loop;
	unsigned i;

	uv_loop_init(&loop);
	struct prs_config config = {
		.loop = &loop,
		.fleet = fleet,
		.instance = "one",
		.data_center = "a",
		.address = "127.0.0.1:0",
		.now = get_now,
		.config = get_config,
		.confirm = confirm,
		.counters = counters,
	};

	peers = prs_new(&config, NULL);
	if (!peers)
		abort();
	prs_receive(peers, data, size);
	prs_receive(peers, data, size);
	now += EXPIRY_MS;
	prs_expire(peers);
	for (i = 0; i < ENGINES; i++) {
		const struct flt_target *target = flt_targets(fleet)->pdata[i];

		if (target->others.on_path || target->others.in_flight ||
		    target->others.token_layers > 0 ||
		    target->others.prefill_ms > 0 ||
		    target->others.long_share > 0)
			abort();
	}
	prs_drop(peers);
	while (uv_run(&loop, UV_RUN_DEFAULT))
		;
	uv_loop_close(&loop);
	flt_drop(fleet);
	ctr_drop(counters);
	return 0;
}
