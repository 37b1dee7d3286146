#ifndef SOAK_H
#define SOAK_H

/*
 * soak: randomized soak test. Runs real edge processes on loopback between
 * clients, a simulated platform and proxies (proxy_) that inject network
 * faults. Faults come from outside the processes; what clients and workers
 * observe is checked during the run.
 */

#include "platform/support/stand_in.h"
#include "support/wire/wire.h"

#define SOAK_LAYERS 8
#define SOAK_EVENTS 15
#define SOAK_EDGES 4
#define SOAK_KEYS 4
#define SOAK_ADDED_ROUTES 4
/* Services of the split route. */
#define SOAK_PARTS 2
/* How long a change of the configuration may take to apply. */
#define SOAK_CONFIG_APPLY_MS 2000
/* Bounds in time hold this long after the last disruption. */
#define SOAK_STABLE_MS 3000
/* Allows for proxy delays and scheduling latency. */
#define SOAK_SLACK_MS 300

struct soak;
struct soak_request;

/* Proxies */

/* How a proxy treats the bytes of its connections. */
enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,
	/* Nothing is forwarded; connections stay open. */
	PROXY_SILENT,
	/* Only bytes from the connecting side are forwarded. */
	PROXY_ONE_WAY,
	/* Connections are reset as soon as they are opened or used. */
	PROXY_RESET,
};

struct proxy;

struct proxy *proxy_new(uv_loop_t *loop, const char *upstream_address);
const char *proxy_address(const struct proxy *proxy);
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
void proxy_drop(struct proxy *proxy);

/* Workers */

/* What an instance has been told by a worker's answers. */
struct soak_notice {
	/* When the instance passed on an answer that the worker leaves, or 0.
	 */
	clk_ms leaving_at;
	/* Time for which the worker wants no requests, and those that came. */
	clk_ms refused_from;
	clk_ms refused_until;
	unsigned arrivals;
};

struct soak_worker {
	struct soak *soak;
	struct wire_server *server;
	struct proxy *proxy;
	char *id;
	const char *service;
	bool is_engine;
	/* Answers no requests; paths through it stall. */
	bool is_dead;
	bool is_draining;
	clk_ms draining_since;
	/* End of its last fault; CLK_NEVER during one. Silence is none. */
	clk_ms disrupted_until;
	/* The same without the end of a worker that has drained. */
	clk_ms unplanned_until;
	/* Sends nothing until then, and then goes on. */
	clk_ms silent_until;
	/* Whether heads report streams that wait for its end of silence. */
	bool is_reported_silent;
	/* Of struct soak_held: requests that came during its silence. */
	GPtrArray *held;
	/* Serial of a connection to the refusal that was sent on it. */
	GHashTable *refusals;
	/* All of its answers say that it leaves; its entry doesn't. */
	bool says_leaving;
	/* Refuses all requests until then, with the time that is left. */
	clk_ms full_until;
	struct soak_notice notices[SOAK_EDGES];
	int64_t incarnation;
	unsigned first_layer;
	unsigned end_layer;
	uint64_t orders;
	uint64_t highest_fence;
	json_t *entry;
	/* Of struct soak_stream. */
	GPtrArray *streams;
	uv_timer_t tick;
	unsigned handles;
};

struct soak_worker *soak_worker_new(struct soak *soak, const char *service);
/* Writes the worker's current entry to the store. */
void soak_worker_publish(struct soak_worker *worker);
/* Simulates a replacement process: new id, no layers. */
void soak_worker_restart(struct soak_worker *worker);
/* Resets all of its connections and drops its streams. */
void soak_worker_crash(struct soak_worker *worker);
void soak_worker_silence(struct soak_worker *worker, clk_ms duration);
void soak_worker_drop(struct soak_worker *worker);
struct soak_worker *soak_find_worker(struct soak *soak, const char *address);
bool soak_is_silent(const struct soak_worker *worker);

/* Answers of workers */

bool soak_chance(struct soak *soak, double probability);
/* Header lines of all answers of the worker to the request, to be freed. */
char *soak_answer_fields(struct soak_worker *worker, const char *id);
/* Refuses with proof that the request was not run. */
void soak_refuse(struct soak_worker *worker, struct wire_conn *conn,
		 const char *id, int status);
/* Sends a refusal of this connection again, as a faulty worker does. */
void soak_repeat_refusal(struct soak_worker *worker, struct wire_conn *conn,
			 const char *id);
/* Runs a request of a plain service and answers after a while. */
void soak_start_work(struct soak_worker *worker, struct wire_conn *conn,
		     const char *id);

/* Streams of engines */

/* A stream that the worker runs as the head of its path. */
struct soak_stream {
	struct wire_conn *conn;
	uint64_t serial;
	char *id;
	char *path;
	unsigned next;
	clk_ms stalled_since;
	bool has_head;
	/* Has neither a length nor chunks and ends with its connection. */
	bool is_raw;
};

void soak_stream_free(gpointer data);
void soak_start_stream(struct soak_worker *worker, struct wire_conn *conn,
		       const char *request, const char *id);
void soak_advance_streams(struct soak_worker *worker);
/* Stalled streams of this head, each with the engine it waits for. */
json_t *soak_stalled_streams(struct soak_worker *worker);
/* Carries out an order for another path; returns the status. */
int soak_reroute(struct soak_worker *worker, json_t *order);

/* Edges */

struct soak_edge {
	struct soak *soak;
	unsigned index;
	char *name;
	char *settings_file;
	char *address;
	char *ready_address;
	char *peer_address;
	struct proxy *store;
	uv_process_t process;
	bool is_running;
	bool is_stopped;
	/* Restarted after it has exited. */
	bool restarts;
	clk_ms terminated_at;
	clk_ms started_at;
	/* End of the last fault on it or its links, or of planned work. */
	clk_ms faulty_until;
	/* The same without planned work; CLK_NEVER during a fault. */
	clk_ms disrupted_until;
	int64_t exit_status;
};

struct soak_edge *soak_edge_new(struct soak *soak, unsigned index);
void soak_edge_start(struct soak_edge *edge);
void soak_edge_signal(struct soak_edge *edge, int signal);
void soak_edge_free(struct soak_edge *edge);

/* Requests */

enum soak_kind { SOAK_IDEMPOTENT, SOAK_NON_IDEMPOTENT, SOAK_STREAM };

/* A connection that a caller keeps open to an edge. */
struct soak_kept {
	bool is_busy;
	/* How long it may be idle, as known at the last answer. */
	clk_ms max_idle;
};

/* A client with at most one connection to each edge. */
struct soak_caller {
	struct hup_client *client;
	struct soak_kept kept[SOAK_EDGES];
};

/* State of one attempt, kept until the end of the run. */
struct soak_request {
	struct soak *soak;
	char id[24];
	enum soak_kind kind;
	unsigned key;
	/* The added route that it uses, or NULL; and when that had changed. */
	struct soak_added *route;
	clk_ms route_changed_at;
	bool is_split;
	/* Parts of its prompt, or "". */
	char prompt[64];
	/* Crashes each worker that begins to answer it. */
	bool is_deadly;
	clk_ms sent_at;
	struct soak_edge *edge;
	struct soak_kept *kept;
	/* How often workers have run it. */
	unsigned runs;
	/* Of struct soak_worker: those that took part in its runs. */
	GPtrArray *workers;
	/* A worker ended its answer early, or failed. */
	bool is_broken_off;
	/* Worker whose answer said that it leaves, or NULL. */
	struct soak_worker *leaving;
	int64_t leaving_incarnation;
	/* The client was told that it has not run and will not. */
	bool is_refused;
	struct hup_exchange *exchange;
	int status;
	bool is_signed;
	GString *body;
	uv_timer_t cancel_timer;
	bool has_ended;
	/* Sent after the recovery period. */
	bool is_after_recovery;
};

void soak_setup_callers(struct soak *soak);
/* An edge that gets requests, or NULL. */
struct soak_edge *soak_choose_edge(struct soak *soak);
/* A request with a new id, which may be received by workers from now on. */
struct soak_request *soak_request_new(struct soak *soak,
				      struct soak_edge *edge);
GString *soak_request_bytes(const struct soak_request *request,
			    const char *target);
void soak_start_idle_callers(struct soak *soak);
/* Sends a random request unless too many are in progress. */
void soak_send_next(struct soak *soak);
void soak_cancel_all(struct soak *soak);
struct soak_request *soak_find_request(struct soak *soak, const char *id);

/* Checks */

/*
 * Whether bounds in time hold for the edge from then on: neither it nor the
 * store has been disrupted since SOAK_STABLE_MS before. Planned work is no
 * disruption.
 */
bool soak_is_in_touch(const struct soak_edge *edge, clk_ms since);
/* Records that a worker received a request. */
void soak_note_arrival(struct soak_worker *worker, const char *id);
/* Records a run at a worker; false if the worker must not run it. */
bool soak_note_run(struct soak *soak, struct soak_worker *worker,
		   const char *id);
void soak_note_broken_off(struct soak *soak, const char *id);
void soak_check_head(struct soak_request *request, const char *signature);
void soak_check_end(struct soak_request *request, enum hup_result how);
/* Checks of sums, at the end of the run. */
void soak_check_sums(struct soak *soak);
/* Restarted or frozen: workers can't expect it to know their notices. */
void soak_forget_notices(struct soak_edge *edge);

/* Configuration */

/* A version, by the time at which the store acknowledged it. */
struct soak_version {
	clk_ms at;
	clk_ms timeout;
	clk_ms idle_timeout;
};

struct soak_key {
	/* When it was removed, 0 while it is valid. */
	clk_ms removed_at;
	clk_ms restored_at;
};

/* A route that comes and goes. */
struct soak_added {
	bool is_present;
	clk_ms changed_at;
};

/* A service of the split route. */
struct soak_part {
	unsigned weight;
	/* When it last became zero or ceased to be. */
	clk_ms changed_at;
};

void soak_setup_config(struct soak *soak);
void soak_put_config(struct soak *soak);
/* Starts a series of changes in quick succession. */
void soak_start_changes(struct soak *soak);
/* Ends the changes and restores all keys. */
void soak_restore_config(struct soak *soak);
/* Idle timeout as the clients know it: changes reach them late. */
clk_ms soak_known_idle_timeout(const struct soak *soak);
/* Timeouts of routes that may apply to a request sent at the time. */
void soak_timeout_range(const struct soak *soak, clk_ms since, clk_ms *least,
			clk_ms *most);

/* Faults */

/* Which disruptions a run has, derived from its seed. */
enum soak_profile {
	SOAK_ALL_FAULTS,
	/* Those of workers, and planned work. */
	SOAK_WORKER_FAULTS,
	/* Planned work, and silence of sound workers. */
	SOAK_PLANNED_WORK,
	SOAK_PROFILES,
};

void soak_schedule_faults(struct soak *soak, clk_ms duration);
/* Crashes a worker, which comes back empty after the delay. */
void soak_crash_worker_for(struct soak_worker *worker, clk_ms delay);

/* Run */

struct soak {
	struct platform_world world;
	GRand *rand;
	clk_ms started_at;
	unsigned seed;
	char *folder;
	const char *program;
	GPtrArray *edges;
	GPtrArray *workers;
	/* Id to struct soak_request. */
	GHashTable *requests;
	/* Of struct soak_caller. */
	GPtrArray *callers;
	/* Of struct idle_caller. */
	GPtrArray *idle_callers;
	uv_timer_t idle_timer;
	uv_timer_t send_timer;
	uv_timer_t fault_timer;
	clk_ms faults_until;
	enum soak_profile profile;
	/* Optional disruptions and their checks. */
	int with_leaving;
	int with_deadly_prompt;
	int with_odd_entries;

	int version;
	GArray *versions;
	clk_ms timeout;
	clk_ms idle_timeout;
	bool is_large;
	unsigned max_attempts;
	/* Pause between the events of a stream. */
	unsigned event_interval;
	/* A setting of all instances. */
	int retry_slack;
	struct soak_key keys[SOAK_KEYS];
	struct soak_added added[SOAK_ADDED_ROUTES];
	struct soak_part parts[SOAK_PARTS];
	uv_timer_t change_timer;
	unsigned changes_left;

	/* Crashes by the deadly part, when the fifth came, and the requests
	 * with it that reached workers too long after that. */
	unsigned crashes;
	clk_ms fifth_crash_at;
	unsigned deadly_arrivals;
	/* Requests without an answer at their timeout, and half a second later.
	 */
	unsigned overdue;
	unsigned long_overdue;
	unsigned next_id;
	unsigned next_worker;
	unsigned violations;
	unsigned sent;
	unsigned served;
	/* Set after the recovery period; then the counts below apply. */
	bool is_recovered;
	unsigned sent_after_recovery;
	unsigned served_after_recovery;
	unsigned faults;
	clk_ms store_faulty_until;
};

clk_ms soak_now(const struct soak *soak);
/* Prints and counts a violated invariant. */
void soak_violation(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

#endif
