#ifndef PLATFORM_STAND_IN_H
#define PLATFORM_STAND_IN_H

/*
 * Stand-ins for the users' platform on loopback: its store and its workers,
 * and one edge instance that runs against them on the same loop.
 */

#include <jansson.h>

#include "edge/edg.h"
#include "platform/ptf.h"
#include "support/wire/wire.h"

/* Fields that workers and callers use. */
#define WORLD_PROMPT_PARTS "X-Wagtailferry-Prompt-Prefix"
#define WORLD_LEAVING "Server-Leaving"

/* How a worker answers the next requests. */
enum worker_mode {
	WORKER_ANSWERS,
	/* Answers 500, with its signature. */
	WORKER_FAILS,
	/* Refuses with proof that it did not run the request. */
	WORKER_REFUSES,
	/* Answers 503, without that proof. */
	WORKER_REFUSES_WITHOUT_PROOF,
	/* Closes the connection in the middle of the answer. */
	WORKER_BREAKS,
	/* Closes the connection without an answer. */
	WORKER_CLOSES,
	/* Answers 200 without its signature. */
	WORKER_UNSIGNED,
	/* Never answers. */
	WORKER_SILENT,
	/* Closes the connection inside the second event. */
	WORKER_BREAKS_STREAM,
	/* Sends one event, then nothing. */
	WORKER_STALLS_STREAM,
	/* Closes the connection before the first event. */
	WORKER_CUTS_STREAM,
	/* Sends a body, or an event, of OVERSIZE_BYTES and does not end it. */
	WORKER_ENDLESS,
};

/* Above all limits on answers of the edge that runs against the stand-ins. */
#define OVERSIZE_BYTES 200000

struct platform_world;
struct worker;

/* Answers a request, report or order in place of the worker; returns false to
 * leave that to the worker. */
typedef bool (*worker_script)(struct worker *worker, struct wire_conn *conn,
			      const char *request);

struct worker {
	struct platform_world *world;
	struct wire_server *server;
	char *id;
	enum worker_mode mode;
	/* NULL if the worker answers everything itself. */
	worker_script script;
	/* State of the script. */
	unsigned step;
	uint64_t script_serial;
	/* Requests received, not counting reports and orders. */
	unsigned requests;
	GString *last_request;
	/* Header lines added to all of its answers, or NULL. */
	const char *fields;
	/* Bodies of orders, in order of arrival. */
	GPtrArray *orders;
	int order_status;
	/* Number of next orders that are neither answered nor carried out. */
	unsigned ignored_orders;
	/* Accepts connections, but answers nothing and carries out no order. */
	bool is_unresponsive;
	/* Keeps requests until worker_release_late() answers them. */
	bool is_late;
	/* Of struct late_request. */
	GPtrArray *late_requests;
	/* Closes connections on which it is asked for a report. */
	bool closes_on_report;
	/* Address that its report names as stalled, or NULL. */
	const char *stalled;
	/* Connection of a stalled stream. */
	struct wire_conn *stream;
	uint64_t stream_serial;
	/* Start of its process, and how often it has crashed and started
	 * again. */
	int64_t born;
	unsigned crashes;
	json_t *entry;
};

/* Writes an answer; the same as wire_answer(). */
typedef void (*answer_writer)(struct wire_conn *conn, int status,
			      const char *extra, const char *body);

enum store_mode {
	STORE_ANSWERS,
	/* Never answers. */
	STORE_SILENT,
	/* Answers 503. */
	STORE_BUSY,
	/* Answers 410 to watches: the history that they need is gone. */
	STORE_GONE,
};

struct platform_world {
	struct wire_loop wire;
	struct wire_server *store;
	enum store_mode store_mode;
	int64_t revision;
	/* Stored objects by kind, then by name. */
	json_t *objects;
	/* Events since the start, with their revision. */
	json_t *events;
	/* Objects on a page of a list, 0 for all. */
	unsigned page_size;
	unsigned store_calls;
	GPtrArray *held_watches;
	uv_timer_t poll_timer;
	GPtrArray *workers;
	/* Part of a prompt, "ID:", that crashes each worker which begins to
	 * write an answer to a request with it; NULL for none. */
	const char *deadly_part;
	/* Events of each answer to it before the crash. */
	unsigned deadly_events;
	/* Such answers have no length, and end inside an event. */
	bool deadly_is_raw;
	/* Requests with it that reached a worker. */
	unsigned deadly_requests;

	struct ctr_set *counters;
	struct log_logger *log;
	GString *log_text;
	Wf__EdgeSettings *settings;
	struct edg_edge *edge;
	struct ptf_platform *platform;
	bool is_drained;
	char *address;
	char *ready_address;
};

/* Starts the store, empty. */
void world_open(struct platform_world *world);
/* Sets how the stores of this process write their answers. */
void world_set_store_writer(answer_writer writer);
void world_close(struct platform_world *world);

/* Writes an object, as the operator or a worker would; takes ownership of
 * spec. */
void world_put(struct platform_world *world, const char *kind, const char *name,
	       json_t *spec);
/* Writes an object of another writer, as the bytes that the store will send
 * for it, metadata included. */
void world_put_raw(struct platform_world *world, const char *kind,
		   const char *name, const char *object);
void world_delete(struct platform_world *world, const char *kind,
		  const char *name);

/* A route for host "h". */
json_t *world_route(const char *prefix, const char *type, const char *service,
		    int attempts, bool is_public);
/* A configuration with a route of each type for host "h". */
json_t *world_config(int version);
/* The same with other keys for its organisation; takes ownership of them. */
json_t *world_config_with_keys(int version, json_t *keys);

/* Starts a worker and stores its entry; no layers for a plain service. */
struct worker *world_worker(struct platform_world *world, const char *id,
			    const char *service, unsigned first, unsigned end);

/* Number of requests that all workers have received. */
unsigned world_total_requests(struct platform_world *world);
/* Sets how all workers answer. */
void world_set_modes(struct platform_world *world, enum worker_mode mode);
/* Whether the workers together hold as many layers as the model has. user is
 * the world. */
bool world_holds_all_layers(void *user);

/* Ends the connection of a stream; the worker is a new process from then on. */
void worker_crash(struct worker *worker, struct wire_conn *conn);
/* Sends the second event of the worker's stalled stream, and its end. */
void worker_resume_stream(struct worker *worker);
/* Answers the requests that the worker has kept, and is not late any more. */
void worker_release_late(struct worker *worker);

/* Starts the edge. */
void world_start_edge(struct platform_world *world);
/* The same, and waits until it is ready. */
void world_start_ready_edge(struct platform_world *world);
/* Opens a world with the configuration, two plain workers, p1 and p2, and an
 * edge that is ready. */
void world_open_plain(struct platform_world *world);
/* The same with two heads, e1 and e2, and two engines for the other half of the
 * layers, e3 and e4. */
void world_open_engines(struct platform_world *world);

/* Sends a request with a new id and the extra header lines to the edge. */
struct wire_client *world_request(struct platform_world *world,
				  const char *method, const char *path,
				  const char *extra, const char *body);

bool world_is_ready(void *user);
/* Runs the loop for that long. */
void world_run(struct platform_world *world, clk_ms span);

#endif
