#ifndef CLM_PRIVATE_H
#define CLM_PRIVATE_H

/*
 * clm: claims, which make a service call with an idempotency key run at most
 * once. Declarations shared by the sources of the module.
 */

#include <string.h>

#include <wagtailferry/state.h>

#include "schema/claims.pb-c.h"

#define CLM_HASH_SIZE 16
#define CLM_KIND_CLAIM 40
#define CLM_KIND_CLAIM_RESPONSE 41
#define CLM_KIND_COMPLETE 42
#define CLM_KIND_COMPLETE_RESPONSE 43
#define CLM_KIND_QUERY 44
#define CLM_KIND_QUERY_RESPONSE 45
#define CLM_KIND_HANDOVER 46

struct clm_hash {
	uint8_t bytes[CLM_HASH_SIZE];
};

/* Hash functions for tables keyed by struct clm_hash. */
guint clm_hash_value(gconstpointer key);
gboolean clm_hash_equal(gconstpointer a, gconstpointer b);

enum clm_state {
	CLM_NONE,
	CLM_CLAIMED,
	CLM_DONE,
	CLM_NOT_RUN,
	CLM_UNKNOWN,
};

/* A claim as it is stored in its object. */
struct clm_entry {
	struct clm_hash key;
	struct clm_hash body;
	uint64_t nonce;
	char *instance;
	uint64_t incarnation;
	enum clm_state state;
	clk_ms claimed_at;
	clk_ms done_at;
	char *target; /* the target planned for the call */
	int status;
	GBytes *answer; /* of state DONE; NULL: only the digest is stored */
	struct clm_hash digest;
	GBytes *packed; /* cache of the encoded entry in its object, or NULL */
};

struct clm_entry *clm_entry_copy(const struct clm_entry *entry);
void clm_entry_free(struct clm_entry *entry);

/* Bytes of the entry in an object, an upper bound. */
size_t clm_entry_size(const struct clm_entry *entry);

/* Sets state DONE; an answer larger than max is replaced by its digest. */
void clm_entry_set_answer(struct clm_entry *entry, int status, GBytes *answer,
			  size_t max);

/* Fills in a message whose pointers stay owned by the entry. */
void clm_entry_to_message(const struct clm_entry *entry, Wf__ClaimEntry *out);

/* A new entry from a message, NULL if the message is malformed. */
struct clm_entry *clm_entry_from_message(const Wf__ClaimEntry *message);

/* Hashes of keys, bodies and answers (SHA-256, truncated). */
struct clm_hash clm_hash_key(const char *org, const char *key);
struct clm_hash clm_hash_bytes(GBytes *bytes);

/* Hash of service, operation and body: fixed for each key. */
struct clm_hash clm_hash_call(const struct wf_call *call);

/* Timers: a heap with lazy deletion */

enum clm_timer_kind {
	CLM_TIMER_RUN,
	CLM_TIMER_OBJECT,
	CLM_TIMER_DIRECT,
};

/* wake: when the timer expires; queued: time of its earliest heap item. */
struct clm_timer {
	enum clm_timer_kind kind;
	uint64_t id;
	clk_ms wake;
	clk_ms queued;
};

struct clm_heap;

struct clm_heap *clm_heap_new(void);
void clm_heap_free(struct clm_heap *heap);
void clm_timer_set(struct clm_heap *heap, struct clm_timer *timer, clk_ms when);
clk_ms clm_heap_next(const struct clm_heap *heap);
/* Removes the first item that is due; false if none is. */
bool clm_heap_pop(struct clm_heap *heap, clk_ms now, enum clm_timer_kind *kind,
		  uint64_t *id);

/* Objects in the store: cache and write batches */

enum clm_request_kind {
	CLM_REQUEST_CLAIM,
	CLM_REQUEST_COMPLETE,
};

enum clm_result {
	CLM_RESULT_NONE,
	CLM_RESULT_CLAIMED,
	CLM_RESULT_HELD,
	CLM_RESULT_STORED,
	CLM_RESULT_STORE_DOWN,
	CLM_RESULT_FULL,
	CLM_RESULT_MOVED,
	CLM_RESULT_QUEUED,
};

/* A claim or completion that waits for a read or write of its object. */
struct clm_request {
	enum clm_request_kind kind;
	struct clm_entry *entry;
	char *from; /* requesting instance, NULL: this one */
	clk_ms queued_at;
	clk_ms expires;
	bool refresh; /* HELD must be confirmed by a new read */
	bool fresh;   /* the object was read after the request arrived */
};

enum clm_object_op {
	CLM_OBJECT_IDLE,
	CLM_OBJECT_GET,
	CLM_OBJECT_PUT,
};

struct clm_object {
	uint64_t id;
	uint64_t window;
	unsigned shard;
	char *name;
	bool valid; /* entries are those of the stored version */
	uint64_t version;
	GHashTable *entries; /* struct clm_entry by key, owned */
	size_t bytes;
	GQueue pending;	     /* struct clm_request, owned */
	GQueue batch;	     /* requests of the write in flight, owned */
	GHashTable *overlay; /* entries that the write adds or replaces */
	enum clm_object_op store_op;
	bool must_read;
	uint64_t op;
	clk_ms op_deadline;
	clk_ms not_before; /* backoff: no store call before this time */
	clk_ms next_write; /* due time of the next write without bursts */
	unsigned failures;
	clk_ms last_used;
	unsigned pin_count; /* functions that use it; prevents eviction */
	struct clm_timer timer;
};

/* The result of a request. entry is borrowed and may be NULL. */
struct clm_response {
	enum clm_result result;
	const struct clm_entry *entry;
	clk_ms retry_after;
};

/* Targets of service calls */

struct clm_target {
	char *id;
	char *address;
	char *serves;
	char *data_center;
	uint64_t incarnation;
	bool live;
	bool leaving;
	bool has_status;
	unsigned in_flight;
	clk_ms avoid_until; /* last choice until then, after a failure */
	bool listed;
};

/* Calls */

enum clm_phase {
	CLM_PHASE_CLAIMING,   /* no confirmation that our claim is stored */
	CLM_PHASE_HELD,	      /* another claim holds the key */
	CLM_PHASE_DISPATCHED, /* the call is sent to a target */
	CLM_PHASE_STATUS,     /* answer lost; status queries are sent */
	CLM_PHASE_FINISHED,
};

/* A caller that waits for a run. */
struct clm_caller {
	uint64_t call_id;
	clk_ms deadline;
	bool gone;
};

/* One attempt of this instance to execute a key, under its own nonce. */
struct clm_run {
	uint64_t nonce;
	struct clm_hash key;
	struct clm_hash body_hash;
	uint64_t window;
	unsigned shard;
	char *org;
	char *key_text;
	char *operation;
	struct wf_policy policy;
	GBytes *body;
	GArray *callers; /* of struct clm_caller */
	uint64_t first_call;
	enum clm_phase phase;
	bool claim_sent;   /* our claim may be stored */
	bool fallback;	   /* write the object here, not through its owner */
	bool claim_queued; /* the owner has queued the claim */
	bool refresh;	   /* the owner must re-read the object */
	bool dispatched;   /* a target may have received the call */
	bool holder_gone;  /* the claim held can change no more */
	bool store_down;   /* last response: store unavailable */
	clk_ms owner_deadline;	/* then the owner counts as unreachable */
	clk_ms retry_at;	/* unused */
	struct clm_entry *held; /* the claim of another run */
	unsigned polls;
	unsigned status_polls;
	clk_ms next_poll;
	char *target; /* planned; after dispatch: used */
	uint64_t call_op;
	clk_ms reply_deadline;
	uint64_t status_op;
	clk_ms status_deadline;
	unsigned next_status_target;
	/* outcome of the run */
	enum clm_state outcome;
	enum err_code error;
	int status;
	GBytes *answer;
	bool answered;
	clk_ms finished_at;
	/* completion: stores the outcome */
	struct clm_entry *completion;
	bool completion_fallback;
	bool completion_queued; /* the owner has queued it */
	clk_ms completion_due;
	clk_ms completion_deadline;
	clk_ms completion_backoff;
	struct clm_timer timer;
};

/* A repeatable call: it is sent without a claim and retried. */
struct clm_direct {
	uint64_t id;
	struct clm_caller caller;
	char *target_key;
	char *operation;
	struct wf_policy policy;
	GBytes *body;
	unsigned attempts;
	bool any_sent;
	char *target;
	uint64_t op;
	clk_ms op_deadline;
	clk_ms retry_at;
	enum err_code last_error;
	struct clm_timer timer;
};

enum clm_op_kind {
	CLM_OP_OBJECT,
	CLM_OP_CALL,
	CLM_OP_STATUS,
	CLM_OP_DIRECT,
	CLM_OP_SWEEP,
	CLM_OP_DELETE,
};

struct clm_op {
	uint64_t op;
	enum clm_op_kind kind;
	uint64_t id;
};

struct clm_sweep {
	bool started;
	uint64_t next_group;	/* first group not listed yet */
	uint64_t backlog_group; /* next of the older groups, after an outage */
	clk_ms wake;
	uint64_t op;
	clk_ms op_deadline;
	GQueue expired; /* struct expired_object */
};

/* Cached owner of an object, valid for one revision of the peers. */
struct clm_owner {
	uint64_t hash;
	uint64_t peers_revision;
	const struct wf_peer *peer; /* NULL: this instance */
};

/* A power of two above the number of shards of the current window. */
#define CLM_OWNERS_CACHED 64

struct clm_claims {
	struct wf_module module;
	struct clm_config config;
	uint64_t nonce_counter;
	GHashTable *ops;     /* struct clm_op by op */
	GHashTable *objects; /* struct clm_object by name */
	GHashTable *objects_by_id;
	uint64_t next_id;
	GHashTable *runs;	  /* struct clm_run by nonce, owned */
	GHashTable *by_key;	  /* current run of a key */
	GQueue finished;	  /* nonces, oldest first */
	GHashTable *calls;	  /* call id to nonce, waiting callers */
	GHashTable *direct;	  /* struct clm_direct by id, owned */
	GHashTable *direct_calls; /* call id to struct clm_direct */
	GPtrArray *targets;	  /* struct clm_target */
	struct clm_heap *heap;
	double retry_tokens;
	unsigned n_active; /* runs before FINISHED */
	unsigned n_completions;
	clk_ms store_retry_at; /* after a failure; 0: the store answers */
	size_t buffered_bytes; /* bodies and answers of runs */
	struct clm_sweep sweep;
	bool handed_over;
	struct clm_owner owners[CLM_OWNERS_CACHED];
};

/* clm_module.c */
struct clm_op *clm_op_new(struct wf_ctx *ctx, struct clm_claims *claims,
			  enum clm_op_kind kind, uint64_t id);

/* clm_shard.c */
struct clm_object *clm_object_get(struct wf_ctx *ctx, struct clm_claims *claims,
				  uint64_t window, unsigned shard);
void clm_object_free(struct clm_object *object);
char *clm_object_name(uint64_t window, unsigned shard);
uint64_t clm_object_hash(uint64_t window, unsigned shard);
/* Queues a request and takes ownership of it. */
void clm_object_submit(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_object *object, struct clm_request *request);
/* Answers pending requests and starts the store call that is due. */
void clm_object_process(struct wf_ctx *ctx, struct clm_claims *claims,
			struct clm_object *object);
void clm_object_reply(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_object *object,
		      const struct wf_store_reply *reply);
void clm_object_cancel(struct clm_object *object, uint64_t nonce);
void clm_request_free(struct clm_request *request);
void clm_objects_evict(struct wf_ctx *ctx, struct clm_claims *claims);
bool clm_window_expired(const struct wf_ctx *ctx,
			const struct clm_config *config, uint64_t window);

/* clm_batch.c */
GBytes *clm_object_encode(const struct clm_object *object);
bool clm_object_decode(struct clm_object *object, GBytes *value);
const struct clm_entry *clm_object_find(const struct clm_object *object,
					const struct clm_hash *key);
/* Evaluates a request; CLM_RESULT_NONE: a write is needed first. */
struct clm_response clm_request_evaluate(const struct clm_request *request,
					 const struct clm_entry *entry);
/* Adds the request's entry to the overlay; false if the object is full. */
bool clm_object_stage(const struct clm_config *config,
		      struct clm_object *object,
		      const struct clm_request *request);
/* Merges the overlay into the entries, or discards it. */
void clm_object_apply(struct clm_object *object);
void clm_object_unstage(struct clm_object *object);

/* clm_peer.c */
void clm_send_claim(struct wf_ctx *ctx, struct clm_claims *claims,
		    struct clm_run *run);
void clm_send_completion(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run);
void clm_send_query(struct wf_ctx *ctx, const struct clm_run *run);
void clm_send_response(struct wf_ctx *ctx, const struct clm_request *request,
		       const struct clm_response *response);
void clm_handle_peer(struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct wf_peer_event *event);
void clm_hand_over(struct wf_ctx *ctx, struct clm_claims *claims);

/* clm_run.c */
void clm_run_call(struct wf_ctx *ctx, struct clm_claims *claims,
		  const struct wf_call *call);
void clm_run_remove_caller(struct wf_ctx *ctx, struct clm_claims *claims,
			   uint64_t call_id);
void clm_run_handle_response(struct wf_ctx *ctx, struct clm_claims *claims,
			     const struct clm_hash *key, uint64_t nonce,
			     const struct clm_response *response);
void clm_run_completion_stored(struct clm_claims *claims,
			       const struct clm_hash *key, uint64_t nonce);
/* The owner has queued the completion and will confirm when it is stored. */
void clm_run_completion_queued(struct wf_ctx *ctx, struct clm_claims *claims,
			       const struct clm_hash *key, uint64_t nonce);
/* The run's claim in its current state. Owned by the caller. */
struct clm_entry *clm_run_to_entry(const struct wf_ctx *ctx,
				   const struct clm_run *run);
void clm_run_tick(struct wf_ctx *ctx, struct clm_claims *claims,
		  struct clm_run *run);
void clm_run_free(struct clm_run *run);
struct clm_run *clm_run_find(struct clm_claims *claims, uint64_t nonce);
void clm_run_schedule(struct clm_claims *claims, struct clm_run *run);

/* clm_finish.c */
void clm_run_answer(struct wf_ctx *ctx, struct clm_claims *claims,
		    struct clm_run *run, int status, GBytes *body);
/* Ends a run that was not sent: callers are told that it did not run. */
void clm_run_close(struct wf_ctx *ctx, struct clm_claims *claims,
		   struct clm_run *run, enum err_code code);
/* Ends a run with an error; ran says what is known of its execution. */
void clm_run_fail(struct wf_ctx *ctx, struct clm_claims *claims,
		  struct clm_run *run, enum err_code code, enum err_run ran);
/* Stores the final state of a claim: the run's own or the one held. */
void clm_run_store_outcome(struct wf_ctx *ctx, struct clm_claims *claims,
			   struct clm_run *run, const struct clm_entry *claim,
			   enum clm_state state);
/* Replies with an error to callers whose deadline is no later than until. */
void clm_run_check_deadlines(struct wf_ctx *ctx, struct clm_claims *claims,
			     struct clm_run *run, clk_ms until);
void clm_run_reply_error(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run, enum err_code code,
			 enum err_run ran);
void clm_run_remove(struct clm_claims *claims, struct clm_run *run);
void clm_runs_evict(struct clm_claims *claims);
clk_ms clm_run_deadline(const struct clm_run *run);

/* clm_dispatch.c */
void clm_run_dispatch(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_run *run);
void clm_run_service_reply(struct wf_ctx *ctx, struct clm_claims *claims,
			   struct clm_run *run,
			   const struct wf_service_reply *reply);
void clm_run_query_status(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run);
void clm_run_status_reply(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run,
			  const struct wf_status_reply *reply);

/* clm_held.c */
void clm_run_handle_held(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run, const struct clm_entry *entry);
void clm_held_tick(struct wf_ctx *ctx, struct clm_claims *claims,
		   struct clm_run *run);

/* clm_direct.c */
void clm_direct_call(struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct wf_call *call);
void clm_direct_tick(struct wf_ctx *ctx, struct clm_claims *claims,
		     struct clm_direct *direct);
void clm_direct_reply(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_direct *direct,
		      const struct wf_service_reply *reply);
void clm_direct_cancel(struct clm_claims *claims, uint64_t call_id);
void clm_direct_free(struct clm_direct *direct);

/* clm_target.c */
void clm_targets_update(struct clm_claims *claims,
			const struct wf_instance *list, size_t n);
void clm_targets_report(struct clm_claims *claims,
			const struct wf_report *report);
void clm_target_free(struct clm_target *target);
struct clm_target *clm_target_find(const struct clm_claims *claims,
				   const char *id);
/* A live target of the policy with the least in flight, or NULL. */
struct clm_target *clm_target_choose(struct wf_ctx *ctx,
				     const struct clm_claims *claims,
				     const struct wf_policy *policy,
				     const char *avoid);
void clm_target_release(const struct clm_claims *claims, const char *id);
/* The n-th target that answers status queries, the preferred one first. */
struct clm_target *clm_target_with_status(const struct clm_claims *claims,
					  const struct wf_policy *policy,
					  const char *preferred, unsigned n);

/* clm_sweep.c */
void clm_sweep_tick(struct wf_ctx *ctx, struct clm_claims *claims);
void clm_sweep_reply(struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct wf_store_reply *reply);
void clm_sweep_clear(struct clm_claims *claims);

#endif
