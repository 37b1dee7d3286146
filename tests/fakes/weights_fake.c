/* Fake of the rate-limited weight store: section 5 of docs/interfaces.md. */

#include "server.h"

#include <popt.h>

struct weights {
	struct fk_server *server;
	double loads_per_minute;
	double level; /* loads that may start now */
	int64_t filled_us;
	uint64_t served;
	uint64_t refused;
};

static void handle_rate(struct fk_call *call)
{
	const struct weights *weights = call->user;

	fk_reply_json(call, 200,
		      json_pack("{s:f}", "loads_per_minute",
				weights->loads_per_minute));
}

static void handle_load(struct fk_call *call)
{
	struct weights *weights = call->user;
	int64_t now = fk_now_us();

	weights->level += (double)(now - weights->filled_us) *
			  weights->loads_per_minute /
			  (60.0 * (double)G_USEC_PER_SEC);
	weights->level = CLAMP(weights->level, 0, 1);
	weights->filled_us = now;
	if (weights->level < 1) {
		weights->refused++;
		fk_add_header(call, "retry-after", "1");
		fk_reply_error(call, 429, "rate_limited", "load rate exceeded");
		return;
	}
	weights->level -= 1;
	weights->served++;
	fk_reply_json(call, 200, json_object());
}

static void handle_counters(struct fk_call *call)
{
	const struct weights *weights = call->user;

	fk_reply_json(call, 200,
		      json_pack("{s:I,s:I}", "served",
				(json_int_t)weights->served, "refused",
				(json_int_t)weights->refused));
}

int main(int argc, const char **argv)
{
	static struct weights weights = {.loads_per_minute = 6, .level = 1};
	const struct poptOption options[] = {
		{"loads-per-minute", 0, POPT_ARG_DOUBLE,
		 &weights.loads_per_minute, 0, "rate limit", "N"},
		POPT_TABLEEND};
	const struct fk_route routes[] = {
		{"GET", "/v1/rate", handle_rate},
		{"POST", "/v1/loads", handle_load},
		{"GET", "/admin/counters", handle_counters},
		{NULL, NULL, NULL},
	};

	weights.server = fk_server_new(argc, argv, options, routes, &weights);
	weights.filled_us = fk_now_us();
	return fk_server_run(weights.server);
}
