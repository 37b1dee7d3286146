#ifndef TESTS_SCHED_LOAD_H
#define TESTS_SCHED_LOAD_H

/* sload: scheduler load. Workloads and policy variants of tests/bench. */

#include "engine_model.h"

/* A workload; lengths in tokens, times in ms. */
struct sload_user {
	const char *name;
	const char *data_centers[3];
	unsigned prompt;
	unsigned length;
	clk_ms deadline;
	clk_ms long_deadline;
};

#define SLOAD_LONG_FACTOR 20
#define SLOAD_N_USERS 2

extern const struct sload_user sload_users[SLOAD_N_USERS];

/* The default policy, a baseline, or the policy without one mechanism. */
struct sload_variant {
	const char *name;
	enum adm_policy_kind policy;
	bool no_inflation;
	bool no_breaker;
	bool no_classes;
	bool no_fair_share;
	bool no_deadlines;
	bool no_moves;
	bool no_resume;
	bool no_replacement;
	bool no_recovery;
};

/* 39 engines and 5 routers under the workload of a user. */
struct sload {
	unsigned seed;
	const struct sload_user *user;
	struct emod *emod;
	GRand *rand;
	double capacity;  /* bound in tokens a second, prompts included */
	double per_call;  /* mean work of a call in tokens */
	double long_part; /* fraction of calls that are long */
	bool deadlines;
};

void sload_start(struct sload *load, const struct sload_user *user,
		 const struct sload_variant *variant, unsigned seed,
		 clk_ms max_wait);
void sload_stop(struct sload *load);

/* The throughput bound of live engines that are not leaving, tokens/s. */
double sload_bound(const struct sload *load);

/* Submits calls at a multiple of the capacity until a time, ms. */
void sload_run(struct sload *load, double factor, clk_ms until);

/* Submits one call now; returns its index. */
unsigned sload_submit(struct sload *load, bool is_long);

/* Work delivered so far, in tokens, prompts included. */
double sload_work(const struct sload *load);

/* The p-quantile of n values (sorted in place), 0 if there are none. */
double sload_quantile(GArray *values, double p);

#endif
