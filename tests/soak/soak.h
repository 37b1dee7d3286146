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

struct soak;

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

struct soak_worker {
	struct soak *soak;
	struct wire_server *server;
	struct proxy *proxy;
	char *id;
	bool is_engine;
	/* Answers no requests; paths through it stall. */
	bool is_dead;
	bool is_draining;
	clk_ms draining_since;
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

struct soak_worker *soak_worker_new(struct soak *soak, bool is_engine);
/* Writes the worker's current entry to the store. */
void soak_worker_publish(struct soak_worker *worker);
/* Simulates a replacement process: new id, no layers. */
void soak_worker_restart(struct soak_worker *worker);
/* Resets all of its connections and drops its streams. */
void soak_worker_crash(struct soak_worker *worker);
void soak_worker_drop(struct soak_worker *worker);
struct soak_worker *soak_find_worker(struct soak *soak, const char *address);

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
	/* End of the last fault on it or its links. */
	clk_ms faulty_until;
	int64_t exit_status;
};

struct soak_edge *soak_edge_new(struct soak *soak, unsigned index);
void soak_edge_start(struct soak_edge *edge);
void soak_edge_signal(struct soak_edge *edge, int signal);
void soak_edge_free(struct soak_edge *edge);

/* Requests */

enum soak_kind { SOAK_IDEMPOTENT, SOAK_NON_IDEMPOTENT, SOAK_STREAM };

/* State of one attempt, kept until the end of the run. */
struct soak_request {
	struct soak *soak;
	char id[24];
	enum soak_kind kind;
	unsigned key;
	clk_ms sent_at;
	struct soak_edge *edge;
	/* How often workers have run it. */
	unsigned runs;
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

/* Sends a random request unless too many are in progress. */
void soak_send_next(struct soak *soak);
void soak_cancel_all(struct soak *soak);
/* Records a run at a worker; false if the worker must not run it. */
bool soak_note_run(struct soak *soak, struct soak_worker *worker,
		   const char *id);

/* Faults */

void soak_schedule_faults(struct soak *soak, clk_ms duration);

/* Run */

struct soak {
	struct platform_world world;
	GRand *rand;
	unsigned seed;
	char *folder;
	const char *program;
	GPtrArray *edges;
	GPtrArray *workers;
	/* Id to struct soak_request. */
	GHashTable *requests;
	struct hup_client *client;
	uv_timer_t send_timer;
	uv_timer_t fault_timer;
	clk_ms faults_until;
	int version;
	/* When a key was removed, 0 while it is valid. */
	clk_ms key_removed_at[4];
	/* When all keys were restored. */
	clk_ms keys_restored_at;
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
void soak_put_config(struct soak *soak);
/* Prints and counts a violated invariant. */
void soak_violation(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

#endif
