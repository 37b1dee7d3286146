#ifndef WAGTAILFERRY_CORE_H
#define WAGTAILFERRY_CORE_H

/*
 * wf: the decision library. A driver (the daemon's event loop or a simulation)
 * passes in events with virtual time and executes the actions. The library does
 * no I/O, reads no clock and has no global state; many cores fit one process.
 *
 * Pointers inside an event are borrowed for the length of the call. An action
 * owns what it points to until wf_action_clear().
 */

#include <wagtailferry/base.h>

/* Targets and instances */

enum wf_role {
	WF_ROLE_ENTRY,
	WF_ROLE_ENGINE,
	WF_ROLE_SERVICE,
};

enum wf_life {
	WF_LIFE_LIVE,
	WF_LIFE_SUSPECT,
	WF_LIFE_LEAVING,
	WF_LIFE_DEAD,
};

/* One entry of the platform's instance list. Source: GET /v1/instances. */
struct wf_instance {
	const char *id;
	enum wf_role role;
	enum wf_life life;	  /* LIVE or LEAVING in the list */
	const char *address;	  /* "IP:port" for HTTP */
	const char *peer_address; /* "IP:port" for ZeroMQ, entry role only */
	const char *data_center;
	uint64_t incarnation; /* start time in ms; 0 if not stated */
	const char *serves;   /* name of the model or service */
	unsigned n_layers;    /* layers of the model */
	unsigned first_layer; /* held range, inclusive */
	unsigned last_layer;
	unsigned slots; /* concurrent steps or calls */
	double step_us; /* time of one token over the held range */
	const char *accelerator;
	bool checks_fencing;
	bool checks_sender;
	bool has_status; /* a service with status queries by key */
};

/* A live router instance, as the membership module sees it. */
struct wf_peer {
	char *id;
	char *data_center;
	char *address; /* "IP:port" for ZeroMQ */
	uint64_t incarnation;
	enum wf_life life;
	uint64_t id_hash; /* set by wf_set_peers() */
};

/* Settings of the rules in force for one call. */
struct wf_policy {
	unsigned rule_line;   /* 0: no rule matched */
	unsigned priority;    /* 0 is served first */
	clk_ms deadline;      /* span from arrival, ms */
	double rate;	      /* calls a second, 0: unlimited */
	double token_rate;    /* tokens a second, 0: unlimited */
	unsigned concurrency; /* calls at once, 0: unlimited */
	unsigned weight;      /* fair share, at least 1 */
	bool repeatable;      /* idempotent: may be retried */
	char *target;	      /* model or service to route to */
	char **data_centers;  /* allowed ones, NULL: all */
	char **targets;	      /* allowed target ids, NULL: all */
};

/* Calls */

enum wf_call_kind {
	WF_CALL_MODEL,
	WF_CALL_SERVICE,
};

/* One authenticated request of a caller. */
struct wf_call {
	uint64_t id; /* chosen by the driver, unique in its core */
	enum wf_call_kind kind;
	const char *org;
	const char *name;      /* requested model or service */
	const char *operation; /* of the service; NULL if none is stated */
	const char *key;       /* Idempotency-Key or NULL */
	GBytes *body;
	unsigned prompt_tokens;
	unsigned max_tokens;
	const uint64_t *prefix_hashes; /* of prompt blocks, cumulative */
	size_t n_prefix_hashes;
	clk_ms timeout;		 /* requested by the caller; 0: by rules */
	struct wf_policy policy; /* filled in by the core from the rules */
};

/* Model chains */

/* How a stage obtains the KV state of the positions before the start. */
enum wf_kv_mode {
	WF_KV_FRESH,   /* starts with the prompt */
	WF_KV_HELD,    /* kept from the previous lineage */
	WF_KV_IMPORT,  /* imports an export */
	WF_KV_REBUILD, /* recomputes it for its own range */
};

struct wf_stage {
	char *target; /* engine id */
	char *address;
	unsigned first_layer;
	unsigned last_layer;
	enum wf_kv_mode kv;
	char *kv_source; /* engine id to import from, or NULL */
};

enum wf_step_kind {
	WF_STEP_RUN,	 /* executed for this token now */
	WF_STEP_RESUMED, /* stored result of an earlier execution */
	WF_STEP_REBUILT, /* earlier position recomputed for a lost range */
};

/* An engine's statement that it applied a layer range to one token. */
struct wf_receipt {
	const char *target;
	unsigned first_layer;
	unsigned last_layer;
	enum wf_step_kind kind;
};

/* Events */

enum wf_event_type {
	WF_EV_START, /* the first event of a core */
	WF_EV_TICK,  /* time passed; sent at wf_core_next_wakeup() */
	WF_EV_CALL,
	WF_EV_CALLER_GONE,
	WF_EV_STREAM,
	WF_EV_SERVICE_REPLY,
	WF_EV_STATUS_REPLY,
	WF_EV_STORE_REPLY,
	WF_EV_PEER,
	WF_EV_INSTANCES,
	WF_EV_REPORT,
	WF_EV_CACHE,
	WF_EV_ORDER_REPLY,
	WF_EV_DRAIN,
};

enum wf_stream_event_type {
	WF_STREAM_ACCEPTED,
	WF_STREAM_TOKEN,
	WF_STREAM_END,
	WF_STREAM_FAILED,
};

/* One event of an engine stream opened by WF_ACT_STREAM_OPEN. */
struct wf_stream_event {
	uint64_t op;
	enum wf_stream_event_type what;
	unsigned lineage;
	unsigned position; /* of the token, from 0 */
	const char *text;  /* of the token */
	size_t text_len;
	const struct wf_receipt *receipts; /* in order of execution */
	size_t n_receipts;
	const char *reason;	   /* END: "stop" or "length" */
	enum err_code error;	   /* FAILED */
	const char *failed_target; /* FAILED: engine at fault, if known */
	clk_ms retry_after;	   /* FAILED: span, 0 if not stated */
};

/* The end of a service call started by WF_ACT_SERVICE_CALL. */
struct wf_service_reply {
	uint64_t op;
	bool ok;	     /* a complete answer was received */
	bool sent;	     /* false: provably no byte reached the target */
	int status;	     /* HTTP status, if ok */
	GBytes *body;	     /* if ok */
	enum err_code error; /* if not ok */
};

enum wf_key_status {
	WF_STATUS_DONE,	  /* executed; the answer is included */
	WF_STATUS_ABSENT, /* the target has never seen the key */
	WF_STATUS_RUNNING,
	WF_STATUS_UNKNOWN, /* no usable answer */
};

/* What a service knows about a key. */
struct wf_status_reply {
	uint64_t op;
	enum wf_key_status status;
	int http_status;
	GBytes *body;
};

enum wf_store_result {
	WF_STORE_OK,
	WF_STORE_CONFLICT, /* the version condition failed */
	WF_STORE_NOT_FOUND,
	WF_STORE_REFUSED,     /* too large or malformed; not stored */
	WF_STORE_UNAVAILABLE, /* provably not executed */
	WF_STORE_UNKNOWN,     /* a write may have taken effect */
};

/* One name of a list or watch answer. */
struct wf_store_entry {
	const char *name;
	uint64_t version;
};

/* Answer to a store action. */
struct wf_store_reply {
	uint64_t op;
	enum wf_store_result result;
	uint64_t version; /* object version, or watch/list position */
	GBytes *value;	  /* get */
	const struct wf_store_entry *entries; /* list and watch */
	size_t n_entries;
};

/* A message of another router instance. */
struct wf_peer_event {
	const char *from; /* instance id, authenticated by the link */
	uint64_t incarnation;
	unsigned kind;
	const uint8_t *body;
	size_t body_len;
};

/* A load report of a target; may be out of date. */
struct wf_report {
	const char *target;
	bool reachable;
	bool leaving;
	unsigned running;
	unsigned queued;
	unsigned slots;
	double step_us;
	unsigned kv_free_blocks;
};

/* Changes of a target's prefix cache; late, with gaps in seq. */
struct wf_cache_event {
	const char *target;
	uint64_t seq;
	const uint64_t *added;
	size_t n_added;
	const uint64_t *removed;
	size_t n_removed;
};

struct wf_order_reply {
	uint64_t op;
	bool ok;
	enum err_code error; /* ERR_FENCED: a newer holder exists */
};

struct wf_event {
	enum wf_event_type type;
	union {
		struct wf_call *call;
		uint64_t call_id; /* CALLER_GONE */
		const struct wf_stream_event *stream;
		const struct wf_service_reply *service;
		const struct wf_status_reply *status;
		const struct wf_store_reply *store;
		const struct wf_peer_event *peer;
		struct {
			const struct wf_instance *list;
			size_t n;
			uint64_t revision;
		} instances;
		const struct wf_report *report;
		const struct wf_cache_event *cache;
		const struct wf_order_reply *order;
	};
};

/* Actions */

enum wf_action_type {
	WF_ACT_REPLY_TOKEN,
	WF_ACT_REPLY_END,
	WF_ACT_REPLY_ANSWER, /* complete answer of a service call */
	WF_ACT_REPLY_ERROR,
	WF_ACT_STREAM_OPEN,
	WF_ACT_STREAM_CANCEL,
	WF_ACT_SERVICE_CALL,
	WF_ACT_STATUS_QUERY,
	WF_ACT_STORE_GET,
	WF_ACT_STORE_PUT,
	WF_ACT_STORE_DELETE,
	WF_ACT_STORE_LIST,
	WF_ACT_STORE_WATCH,
	WF_ACT_PEER_SEND,
	WF_ACT_FETCH_INSTANCES,
	WF_ACT_POLL_TARGET,
	WF_ACT_ORDER,
	WF_ACT_READY, /* readiness changed */
	WF_ACT_EXIT,  /* drain is complete */
};

/* For If-None-Match: the object must not exist yet. */
#define WF_VERSION_ABSENT UINT64_C(0)

struct wf_action {
	enum wf_action_type type;
	uint64_t op;	  /* of the reply event, for asynchronous actions */
	uint64_t call_id; /* REPLY_*, STREAM_*, SERVICE_CALL */
	char *target;	  /* target id; PEER_SEND: instance id */
	char *address;
	char *name;	  /* store object "kind/name"; list and watch prefix */
	uint64_t version; /* condition of put/delete; watch: after */
	clk_ms timeout;	  /* span after which the driver gives up */
	GBytes *body;	  /* value, message, answer, prompt */
	/* replies to callers */
	enum err_code error;
	enum err_run run;
	clk_ms retry_after;
	int http_status;
	char *text; /* token text, end reason or error message */
	unsigned position;
	unsigned lineage;
	/* streams */
	char *model;
	GArray *chain; /* of struct wf_stage */
	unsigned start_position;
	unsigned max_tokens;
	unsigned priority;
	char *delivered; /* text of the tokens delivered before the start */
	/* service calls and status queries */
	char *key;
	bool fresh_connection; /* never reuse an idle connection */
	/* peers */
	unsigned kind;
	/* orders */
	uint64_t fence;
	char *order;	/* "load", "unload", "role", "layers" */
	char *argument; /* of the order, such as a model's name */
	bool ready;
};

/* Frees what an action owns and zeroes it. */
void wf_action_clear(struct wf_action *action);

/* Context */

/*
 * First argument of every decision function: time, random source, counters,
 * logger, actions and the view of the live router instances.
 */
struct wf_ctx {
	clk_ms now;
	char *self; /* id of this instance */
	char *data_center;
	uint64_t incarnation; /* start time of this instance in ms */
	struct ctr_set *counters;
	struct log_logger *log;
	GRand *rand;
	GQueue *actions;	 /* of struct wf_action, owned */
	GPtrArray *peers;	 /* of struct wf_peer, by id, with self */
	uint64_t peers_revision; /* counts the changes of peers */
	uint64_t next_op;
	bool draining;
};

/*
 * A context for one instance. Random numbers depend on the seed and the id
 * only. Takes its own references on counters and log.
 */
struct wf_ctx *wf_ctx_new(const char *self, const char *data_center,
			  uint64_t incarnation, uint64_t seed,
			  struct ctr_set *counters, struct log_logger *log);
void wf_ctx_drop(struct wf_ctx *ctx);

/* Queues an action; takes over what it owns and zeroes the caller's copy. */
void wf_emit(struct wf_ctx *ctx, struct wf_action *action);

/* Takes the oldest action out of the queue; false if there is none. */
bool wf_next_action(struct wf_ctx *ctx, struct wf_action *out);

/* Replaces the view of live instances; copies. Used by membership, tests. */
void wf_set_peers(struct wf_ctx *ctx, const struct wf_peer *peers, size_t n);

/* The peer of that id in the present view, or NULL. Borrowed. */
const struct wf_peer *wf_find_peer(const struct wf_ctx *ctx, const char *id);

/*
 * The instance that owns a hashed key among the live ones (rendezvous
 * hashing, so that a loss moves only the lost instance's keys), limited to
 * one data centre if it is not NULL. rank 0 is the owner, 1 its successor.
 * NULL if there are not that many. Borrowed.
 */
const struct wf_peer *wf_owner_of(const struct wf_ctx *ctx, uint64_t hash,
				  const char *data_center, unsigned rank);

/*
 * The weight of an instance for a hashed key: the owner has the highest.
 * id_hash is that of struct wf_peer.
 */
uint64_t wf_owner_weight(uint64_t id_hash, uint64_t hash);

/* Whether a peer may own keys: it is neither leaving nor dead. */
bool wf_can_own(const struct wf_peer *peer);

/* Whether this instance is wf_owner_of() that key at rank 0. */
bool wf_owns(const struct wf_ctx *ctx, uint64_t hash, const char *data_center);

/* Hash of bytes (xxHash3, 64 bits), the same on all instances. */
uint64_t wf_hash(const void *data, size_t len, uint64_t seed);

/* Sends a peer message; body is copied. */
void wf_send_peer(struct wf_ctx *ctx, const char *to, unsigned kind,
		  const uint8_t *body, size_t len);

/* Rejects a call with a typed error and a message in printf form. */
void wf_reply_error(struct wf_ctx *ctx, uint64_t call_id, enum err_code code,
		    enum err_run run, clk_ms retry_after, const char *format,
		    ...) G_GNUC_PRINTF(6, 7);

/* Modules */

enum wf_module_id {
	WF_MODULE_CORE = 1,
	WF_MODULE_MEMBER,
	WF_MODULE_RULES,
	WF_MODULE_CLAIMS,
	WF_MODULE_DUTIES,
	WF_MODULE_AUDIT,
	WF_MODULE_TARGETS,
	WF_MODULE_RUNS,
	WF_MODULE_LIMITS,
	WF_N_MODULES,
};

struct wf_module;

/* The operations of a decision module. */
struct wf_module_ops {
	const char *name;
	void (*handle)(struct wf_ctx *ctx, struct wf_module *module,
		       const struct wf_event *event);
	/* The time at which the module wants WF_EV_TICK next. */
	clk_ms (*next_wakeup)(struct wf_ctx *ctx, struct wf_module *module);
	void (*drop)(struct wf_module *module);
};

/* First member of each decision module. */
struct wf_module {
	const struct wf_module_ops *ops;
	enum wf_module_id id;
};

/* A new operation number whose reply goes to the module. */
uint64_t wf_new_op(struct wf_ctx *ctx, enum wf_module_id id);

/* The module that an operation number belongs to. */
enum wf_module_id wf_op_module(uint64_t op);

/* The core: all decision modules of one instance behind one interface */

struct wf_core;

struct rul_set;

struct wf_core_config {
	const char *self; /* instance id */
	const char *data_center;
	const char *address;	  /* own HTTP address */
	const char *peer_address; /* own ZeroMQ address */
	uint64_t incarnation;	  /* start time in ms */
	uint64_t seed;
	struct ctr_set *counters; /* referenced; may be NULL */
	struct log_logger *log;	  /* referenced; may be NULL */
	clk_ms drain_limit;	  /* time for open calls to complete */
	clk_ms key_retention;	  /* how long idempotency keys are kept */
};

/* Sets all fields to their defaults, or to zero without one. */
void wf_core_config_init(struct wf_core_config *config);

struct wf_core *wf_core_new(const struct wf_core_config *config);
void wf_core_drop(struct wf_core *core);

/* Handles one event; a time before that of the last event is ignored. */
void wf_core_handle(struct wf_core *core, clk_ms now,
		    const struct wf_event *event);

/* Takes the next action; false if there is none. See wf_action_clear(). */
bool wf_core_next_action(struct wf_core *core, struct wf_action *out);

/* When the driver must send WF_EV_TICK, or CLK_NEVER. */
clk_ms wf_core_next_wakeup(struct wf_core *core);

/* The core's context, for tests and status pages. Borrowed. */
struct wf_ctx *wf_core_ctx(struct wf_core *core);

/* Whether the core has rules in force and is not draining. */
bool wf_core_is_ready(const struct wf_core *core);

/* The revision of the rules in force, 0 if there are none. */
uint64_t wf_core_rules_revision(const struct wf_core *core);

/* Appends the status of peers, targets, queues and rules as JSON. */
void wf_core_write_status(struct wf_core *core, GString *out);

/* Copies and frees of nested values */

struct wf_policy wf_policy_copy(const struct wf_policy *policy);
void wf_policy_clear(struct wf_policy *policy);
void wf_stage_clear(struct wf_stage *stage);

/* A chain: an array of struct wf_stage that frees its entries. */
GArray *wf_chain_new(void);
GArray *wf_chain_copy(const GArray *chain);

#endif
