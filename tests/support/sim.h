#ifndef SIM_H
#define SIM_H

/*
 * sim: simulator of N library instances in virtual time, driven by one seeded
 * event queue.
 *
 * Each instance has a wf_ctx and a list of modules made by the factories of
 * the configuration. The simulator executes the modules' actions against a
 * fake store, fake services, fake order targets and the other instances, with
 * random latencies and faults. The same seed and the same calls reproduce the
 * same sequence of events.
 *
 * Events reach modules as in the core: a reply goes to the module in the top
 * byte of its operation number, everything else to every module. A paused
 * instance receives its events in order when it resumes. A killed instance
 * loses its state; sim_restart() gives its id a new incarnation. Requests sent
 * before a kill are still executed.
 *
 * Every action and every event delivered is a numbered step. A plan applies
 * one fault at one step, so that a test can cover all pairs:
 *
 *	sim_run_until(sim, end) once without a plan; sim->step is the count
 *	for each step and fault: new sim, sim->plan_step, sim->plan_fault
 *
 * Checks read the records only (calls, runs, orders, objects of the store),
 * never the modules' state.
 */

#include <wagtailferry/core.h>

#define SIM_START ((clk_ms)1796370000000)
#define SIM_PAUSE_LONG CLK_HOUR
#define SIM_MAX_MODULES 8

struct sim;
struct sim_instance;

enum sim_fault {
	SIM_FAULT_NONE,
	SIM_FAULT_KILL,	     /* the instance dies before the step */
	SIM_FAULT_PAUSE,     /* it stops for plan_pause before the step */
	SIM_FAULT_DELAY,     /* the step is executed plan_delay later */
	SIM_FAULT_DUPLICATE, /* executed twice (peer frames and events) */
	SIM_FAULT_LOSE,	     /* the step is skipped */
	SIM_N_FAULTS,
};

/* Probabilities from 0 to 1 of each random fault. */
struct sim_faults {
	double peer_drop;
	double peer_duplicate;
	double peer_late;
	double store_unavailable;  /* not executed, and reported so */
	double store_lost_request; /* not executed, outcome unknown */
	double store_lost_reply;   /* executed, outcome unknown */
	double store_late;	   /* executed after the client gave up */
	double call_not_sent;
	double call_lost_request;
	double call_lost_reply;
	double call_late; /* runs after the client gave up */
	double status_lost;
};

/* Makes one module of an instance. user is the configuration's. */
typedef struct wf_module *(*sim_make_module)(struct wf_ctx *ctx, void *user);

struct sim_config {
	uint64_t seed;
	unsigned n_instances;
	unsigned n_targets; /* services "booking", ids "service-N" */
	bool targets_have_status;
	unsigned n_engines; /* order targets, ids "engine-N" */
	bool engines_check_fencing;
	sim_make_module make[SIM_MAX_MODULES];
	unsigned n_modules;
	void *user;
	struct sim_faults faults;
	clk_ms peer_latency;	  /* largest, one way */
	clk_ms store_latency;	  /* largest, one way */
	clk_ms call_time;	  /* largest run time of a call */
	clk_ms view_delay;	  /* largest age of views of instances */
	clk_ms max_skew;	  /* clocks differ by at most this */
	clk_ms plan_pause;	  /* at events */
	clk_ms plan_action_pause; /* between a decision and its action */
	clk_ms plan_delay;
	unsigned n_data_centers; /* instances are spread over them in turn */
	bool peers_by_module;	 /* a module sets ctx->peers itself */
	bool trace;		 /* steps to stderr */
	bool measure;		 /* real time spent in the modules */
};

void sim_config_init(struct sim_config *config);

/* A caller's call and its answer. */
struct sim_call {
	uint64_t id;
	unsigned instance;
	unsigned generation;
	char *org;
	char *key;
	GBytes *body;
	bool repeatable;
	clk_ms arrived;
	clk_ms deadline;
	bool gone; /* the caller disconnected or its instance died */
	unsigned n_answers;
	bool refused;
	enum err_code error;
	enum err_run run;
	int status;
	GBytes *answer;
	clk_ms answered_at;
	clk_ms paused_until; /* end of the pause of its instance */
};

/* One execution at a service. */
struct sim_run {
	char *target;
	char *key;
	unsigned instance;
	unsigned generation;
	uint64_t call_id;
	clk_ms dispatched_at;
	clk_ms at;
	clk_ms done_at;
	GBytes *body;
	GBytes *answer;
};

/* One order that reached an order target. */
struct sim_order {
	char *target;
	char *order;
	char *argument;
	uint64_t fence;
	unsigned instance;
	unsigned generation;
	clk_ms decided_at; /* when the module emitted it */
	clk_ms at;
	bool accepted;
};

struct sim_object {
	uint64_t version;
	GBytes *value;
};

struct sim_instance {
	unsigned index;
	unsigned generation; /* raised at each restart */
	char id[16];
	bool alive;
	bool leaving;
	clk_ms paused_until;
	clk_ms skew;
	clk_ms store_cut_until;
	clk_ms peers_cut_until;
	char data_center[16];
	clk_ms tick_at;
	clk_ms last_tick;
	struct wf_ctx *ctx;
	GPtrArray *modules;
};

struct sim_target {
	char id[16];
	bool engine;
	bool leaving;
	bool down;
	uint64_t highest_fence;
	uint64_t incarnation;
};

struct sim_counts {
	uint64_t gets;
	uint64_t puts;
	uint64_t deletes;
	uint64_t lists;
	uint64_t watches;
	uint64_t bytes_in;  /* to the store */
	uint64_t bytes_out; /* from the store */
	uint64_t peer_frames;
	uint64_t peer_bytes;
	size_t largest_value;
	uint64_t handle_ns; /* real time in the modules, if measured */
	uint64_t events;
	uint64_t slow_events; /* over 20 us, if measured */
};

struct sim {
	struct sim_config config;
	clk_ms now; /* true time; instances see it with their skew */
	GRand *rand;
	GPtrArray *queue; /* heap of struct sim_queued */
	uint64_t sequence;
	struct sim_instance *instances;
	struct sim_target *targets;
	unsigned n_targets;
	GHashTable *objects; /* name to struct sim_object */
	uint64_t revision;
	GPtrArray *watches;
	uint64_t partition; /* instances on one side, as bits */
	clk_ms partition_until;
	clk_ms store_down_until;
	clk_ms store_slow_until;
	GPtrArray *calls;  /* struct sim_call */
	GPtrArray *runs;   /* struct sim_run */
	GPtrArray *orders; /* struct sim_order */
	GHashTable *calls_by_id;
	uint64_t next_call;
	uint64_t next_incarnation;
	uint64_t step;
	uint64_t plan_step;
	enum sim_fault plan_fault;
	struct sim_counts counts;
};

struct sim *sim_new(const struct sim_config *config);
void sim_free(struct sim *sim);

/* Handles all events up to and at a point in true time. */
void sim_run_until(struct sim *sim, clk_ms end);

/* Calls a function at a point in time. The data is not owned. */
void sim_at(struct sim *sim, clk_ms at, void (*fn)(struct sim *, void *),
	    void *data);

/*
 * A caller's service call at an instance, non-repeatable unless said. The
 * record is owned by the sim. NULL if the instance is dead.
 */
struct sim_call *sim_call(struct sim *sim, unsigned instance, const char *org,
			  const char *key, const char *body, clk_ms timeout,
			  bool repeatable);

/* The caller closes its connection. */
void sim_caller_gone(struct sim *sim, struct sim_call *call);

void sim_kill(struct sim *sim, unsigned instance);
void sim_restart(struct sim *sim, unsigned instance);
void sim_pause(struct sim *sim, unsigned instance, clk_ms span);

/* Announces the instance as leaving and sends WF_EV_DRAIN. */
void sim_drain(struct sim *sim, unsigned instance);

/* Cuts the instance's links to its peers or to the store for a time. */
void sim_cut_peers(struct sim *sim, unsigned instance, clk_ms span);
void sim_cut_store(struct sim *sim, unsigned instance, clk_ms span);

/*
 * Partitions the instances whose bits are set from the others. The
 * store and the targets stay reachable. The first 64 instances only.
 */
void sim_partition(struct sim *sim, uint64_t bits, clk_ms span);

/* The store answers UNAVAILABLE to all requests for a time. */
void sim_store_outage(struct sim *sim, clk_ms span);

void sim_target_leave(struct sim *sim, const char *id);
void sim_target_down(struct sim *sim, const char *id, bool down);

/* Stores a value without condition or delay, as an outside writer does. */
void sim_store_set(struct sim *sim, const char *name, GBytes *value);

/* Executes the actions emitted by a direct call of an instance's modules. */
void sim_run_actions(struct sim *sim, unsigned instance);

/* A random time in 0..max, and true with the given probability. */
clk_ms sim_random_span(struct sim *sim, clk_ms max);
bool sim_random_bool(struct sim *sim, double probability);

/* Internal to the simulator's sources */

typedef void (*sim_fn)(struct sim *sim, void *data);

/* Queues a function; data is freed after it ran or with the sim. */
void sim_push(struct sim *sim, clk_ms at, sim_fn fn, void *data,
	      GDestroyNotify free_data);

/* A reply or message on its way to an instance. */
struct sim_delivery {
	unsigned instance;
	unsigned generation;
	enum wf_event_type type;
	uint64_t op;
	enum wf_store_result store_result;
	uint64_t version;
	GBytes *body;
	GPtrArray *names; /* of struct sim_name */
	bool ok;
	bool sent;
	int status;
	enum err_code error;
	enum wf_key_status key_status;
	char *from;
	uint64_t from_incarnation;
	unsigned kind;
	bool planned; /* counted as a step */
};

struct sim_name {
	char *name;
	uint64_t version;
};

struct sim_delivery *sim_delivery_new(const struct sim_instance *instance,
				      enum wf_event_type type, uint64_t op);
struct sim_delivery *sim_delivery_copy(const struct sim_delivery *delivery);
void sim_delivery_free(gpointer data);
void sim_queue_free(struct sim *sim);
void sim_deliver(struct sim *sim, clk_ms delay, struct sim_delivery *delivery);

/* The instance if it is alive in that generation, or NULL. */
struct sim_instance *sim_find_instance(struct sim *sim, unsigned index,
				       unsigned generation);

/* Execute one action, of which they keep copies only. */
void sim_store_action(struct sim *sim, struct sim_instance *instance,
		      const struct wf_action *action, bool lost);
void sim_service_action(struct sim *sim, struct sim_instance *instance,
			const struct wf_action *action, bool lost);
void sim_status_action(struct sim *sim, struct sim_instance *instance,
		       const struct wf_action *action, bool lost);
void sim_order_action(struct sim *sim, struct sim_instance *instance,
		      const struct wf_action *action, bool lost);
void sim_store_free(struct sim *sim);
void sim_records_free(struct sim *sim);
struct sim_target *sim_find_target(struct sim *sim, const char *id);

#endif
