#ifndef TESTS_ENGINE_MODEL_H
#define TESTS_ENGINE_MODEL_H

/*
 * emod: engine model. Simulates engines in virtual time behind the library's
 * actions and events: layer ranges, slots, step queues, links, KV state and
 * faults, with a record of each executed step. For the tests and benchmarks of
 * src/sched.
 */

#include <wagtailferry/sched.h>

/* Prompt tokens computed in the time of one output token. */
#define EMOD_PREFILL_TOKENS 32.0
#define EMOD_PRIORITIES 20
#define EMOD_EPOCH INT64_C(1796370000000)

/* One completed step. */
struct emod_record {
	const char *engine;
	uint64_t call;
	unsigned lineage;
	unsigned position;
	unsigned first_layer;
	unsigned last_layer;
	bool rebuilt; /* recomputed the KV state of a lost range */
	bool prompt;  /* computed the whole prompt */
};

struct emod_engine {
	char *id;
	char *data_center;
	char *model;
	uint64_t incarnation;
	unsigned n_layers;
	unsigned first_layer;
	unsigned last_layer;
	unsigned slots;
	double step_us;
	bool listed;
	bool list_leaving; /* in the instance list */
	bool leaving;	   /* in the engine's own reports */
	bool alive;
	bool silent;	      /* accepts requests and never answers */
	double slow;	      /* factor on step times */
	double link;	      /* factor on the latency of its links */
	enum err_code refuse; /* code for the next refusals */
	unsigned n_refuse;
	bool forget_kv;
	unsigned streams_opened;
	clk_ms last_opened;
	/* state */
	unsigned running;
	unsigned queued;
	GQueue queue[EMOD_PRIORITIES];
	GHashTable *kv;	      /* call to positions done */
	GHashTable *busy;     /* call to the running position + 1 */
	GHashTable *prefixes; /* known prompt prefixes */
	double busy_us;
};

/* A caller's request and its outcome. */
struct emod_call {
	uint64_t id;
	unsigned router;
	unsigned org;
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned length; /* tokens that the model generates */
	unsigned priority;
	unsigned weight;
	uint64_t prefix;
	clk_ms deadline; /* span */
	bool tagged;	 /* for the caller's own use: a long request */
	/* outcome, ms of virtual time */
	clk_ms arrival;
	clk_ms opened; /* first stream */
	clk_ms first_token;
	clk_ms last_token;
	clk_ms longest_gap; /* between events seen by the caller */
	clk_ms end;
	bool ended;
	bool failed;
	enum err_code error;
	enum err_run run;
	unsigned tokens;
	unsigned out_of_order; /* tokens at an unexpected position */
	unsigned streams;
	unsigned held_stages; /* stages opened with held KV state */
	GString *text;
	char *reason;
};

/* A fault applied to one token event on its way to the router. */
struct emod_tamper {
	unsigned position; /* of the token affected */
	bool duplicate;	   /* send it twice */
	clk_ms delay;	   /* added latency */
	bool drop;	   /* lose it */
	int split_shift;   /* added to first_layer of the second receipt */
	bool once;	   /* on the first lineage only */
};

struct emod;

struct emod *emod_new(unsigned n_routers, const char *const *data_centers,
		      unsigned n_data_centers, uint64_t seed,
		      const struct tgt_config *targets,
		      const struct run_config *runs);
void emod_drop(struct emod *emod);

/* Adds an engine; the list must be published afterwards. Borrowed. */
struct emod_engine *emod_add_engine(struct emod *emod, const char *id,
				    const char *data_center, unsigned n_layers,
				    unsigned first, unsigned last,
				    unsigned slots, double step_us);
struct emod_engine *emod_engine(struct emod *emod, const char *id);
unsigned emod_n_engines(const struct emod *emod);
struct emod_engine *emod_engine_at(struct emod *emod, unsigned index);

/* Sends the instance list to all routers. */
void emod_publish(struct emod *emod);

/* Submits a call (copied) now; returns its index. */
unsigned emod_submit(struct emod *emod, const struct emod_call *call);
struct emod_call *emod_call_at(struct emod *emod, unsigned index);
unsigned emod_n_calls(const struct emod *emod);

/* The caller disconnects. */
void emod_caller_gone(struct emod *emod, unsigned index);

/* Advances virtual time, in ms since the start. */
void emod_run_until(struct emod *emod, clk_ms until);
clk_ms emod_now(const struct emod *emod);

/* Calls a function at that time, ms since the start. */
void emod_at(struct emod *emod, clk_ms at, void (*call)(struct emod *, void *),
	     void *user);

/* Settings */
void emod_keep_records(struct emod *emod);
void emod_set_tamper(struct emod *emod, const struct emod_tamper *tamper);
void emod_set_report_lag(struct emod *emod, clk_ms lag);
/* Time until a head detects a dead stage, and a router a dead head, ms. */
void emod_set_detection(struct emod *emod, clk_ms stage, clk_ms head);

const GArray *emod_records(const struct emod *emod);

/* The text of a call's first n tokens. */
char *emod_expected_text(const struct emod_call *call, unsigned n);

/* The parts of a router. Borrowed. */
struct wf_ctx *emod_ctx(struct emod *emod, unsigned router);
struct tgt_table *emod_targets(struct emod *emod, unsigned router);
struct run_runs *emod_runs(struct emod *emod, unsigned router);
void emod_drain(struct emod *emod, unsigned router);

#endif
