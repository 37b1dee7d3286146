#ifndef SCHED_RUN_PRIVATE_H
#define SCHED_RUN_PRIVATE_H

/*
 * run: execution of model requests, from admission over the stream to its end,
 * with recovery from failed engines.
 */

#include "sched/adm.h"

/* Targets that a request excludes from its plans, at most. */
#define RUN_MAX_AVOID 8

enum run_state {
	RUN_QUEUED,
	RUN_STREAMING,
	RUN_WAITING, /* for the next recovery attempt */
};

/* Load and time that a stage of the current chain costs its target. */
struct run_stage {
	tbl_handle target;
	double load;
	double us;
	unsigned lineage; /* in which the stage joined the chain */
};

/* A token that arrived before one with a lower position. */
struct run_early_token {
	unsigned position;
	char *text;
	size_t text_len;
};

/* An older report does not show whether a target still answers. */
#define RUN_REPORT_MAX_AGE_MS 2000

struct run_request {
	struct adm_item item;
	uint64_t call_id;
	char *org;
	char *model;
	GBytes *body;
	struct wf_policy policy;
	unsigned prompt_tokens;
	unsigned max_tokens;
	uint64_t *prefix_hashes;
	size_t n_prefix_hashes;
	unsigned n_layers;
	clk_ms arrival;
	clk_ms deadline; /* point in time or CLK_NEVER */
	enum run_state state;
	bool is_long;
	bool charged; /* stages count in the target table */
	/* stream */
	GArray *chain;	/* of struct wf_stage */
	GArray *stages; /* of struct run_stage, same order */
	GArray *ops;	/* all operation numbers of the request */
	uint64_t op;	/* of the current stream, 0: none */
	unsigned lineage;
	bool accepted;	   /* the current stream, by its head */
	bool may_have_run; /* a target may have run steps of it */
	bool was_accepted; /* a target has accepted it */
	bool awaits_first; /* no token of the current stream yet */
	double token_us;
	double observed_us; /* between tokens, 0: not known */
	clk_ms opened;
	clk_ms last_token;
	double slowness; /* recent token time over the expected one */
	unsigned moves;
	/* recovery, since the last token */
	unsigned attempts;
	bool resumed;
	clk_ms health_checked_at; /* of the engines, 0: not yet */
	tbl_handle avoid[RUN_MAX_AVOID];
	size_t n_avoid;
	clk_ms retry_at;
	clk_ms recovering_since; /* 0: not recovering */
	unsigned next_position;
	GString *delivered;
	GArray *early; /* of struct run_early_token */
	char *end_reason;
	clk_ms last_event;
	clk_ms due; /* end of gap bound, next attempt or deadline */
};

struct run_runs {
	struct wf_module module;
	struct run_config config;
	struct tgt_table *targets;
	GHashTable *requests; /* call id to struct run_request, owned */
	GHashTable *ops;      /* operation to struct run_request, borrowed */
	GHashTable *queues;   /* model to struct adm_queue, owned */
	const struct adm_policy *policy;
	struct adm_history *history;
	struct rty_budget retries;
	double prefill_us;	/* observed time of a prompt token */
	uint64_t seen_revision; /* of the target table, last dispatch */
	size_t n_queued;
	clk_ms next_due;
};

/* The queue of a model; created on first use. */
struct adm_queue *run_queue(struct run_runs *runs, const char *model);

/* Admits a new request to its queue or refuses it. */
void run_admit(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request);

/* Starts waiting requests while targets have room for them. */
void run_dispatch(struct wf_ctx *ctx, struct run_runs *runs, const char *model);
void run_dispatch_all(struct wf_ctx *ctx, struct run_runs *runs);

/* Returns a request that did not start to the head of its queue. */
void run_requeue(struct wf_ctx *ctx, struct run_runs *runs,
		 struct run_request *request);

/* Fills in the request's constraints on chains. */
void run_fill_query(const struct run_request *request, struct chn_query *query);

/* Adopts a planned chain; all stages start with the prompt. */
void run_set_chain(struct wf_ctx *ctx, struct run_runs *runs,
		   struct run_request *request, const struct chn_chain *chain);

/*
 * Replaces one stage of the chain; the caller has raised the lineage. Stages
 * of older lineages keep their KV state if tokens have been delivered,
 * otherwise all start with the prompt.
 */
void run_replace_stage(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request, guint index,
		       const struct chn_chain *part, enum wf_kv_mode kv);

/* Opens a stream for the current chain and lineage. */
void run_open_stream(struct wf_ctx *ctx, struct run_runs *runs,
		     struct run_request *request);

/* Handles an event of one of the request's streams. */
void run_handle_stream(struct wf_ctx *ctx, struct run_runs *runs,
		       const struct wf_stream_event *event);

/* Cancels the current stream, if there is one. */
void run_cancel_stream(struct wf_ctx *ctx, struct run_request *request);

/* Ends a request; frees it. */
void run_finish(struct wf_ctx *ctx, struct run_runs *runs,
		struct run_request *request);

/* Reports an error to the caller and ends the request. */
void run_fail(struct wf_ctx *ctx, struct run_runs *runs,
	      struct run_request *request, enum err_code code,
	      clk_ms retry_after, const char *message);

/*
 * Recovers from the failure of the current stream; section 4 of
 * docs/design.md gives the order of the steps. ERR_IO without a target means
 * that events stopped or that the connection to the head broke.
 */
void run_recover(struct wf_ctx *ctx, struct run_runs *runs,
		 struct run_request *request, enum err_code error,
		 const char *failed_target);

/* Tries again to find a chain for a request in state RUN_WAITING. */
void run_retry(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request);

/* Excludes a target from the request's next plans. */
void run_avoid(struct run_request *request, tbl_handle handle);

/* Whether a replaced stage can still export its KV state. */
bool run_can_export(const struct wf_ctx *ctx, const struct tgt_target *target);

/* Plans other targets for the layers of one stage; false if there are none. */
bool run_plan_replacement(struct wf_ctx *ctx, struct run_runs *runs,
			  struct run_request *request, int index,
			  bool need_room, struct chn_chain *part);

/* Replaces a stage in a new lineage and opens the stream. */
void run_replace_and_reopen(struct wf_ctx *ctx, struct run_runs *runs,
			    struct run_request *request, int index,
			    const struct chn_chain *part, enum wf_kv_mode kv);

/* Replaces a stage that has become slow if a faster target is found. */
void run_consider_move(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request);

/* Removes the request's load from the target table. */
void run_release(struct run_runs *runs, struct run_request *request);

/*
 * Expected time of a token in microseconds, including the queues that the
 * stages have reported.
 */
double run_expected_us(const struct run_runs *runs,
		       const struct run_request *request);

/* Sets the request's next due time from its state. */
void run_set_due(struct run_runs *runs, struct run_request *request);

/* Handles all requests whose gap bound, retry time or deadline is over. */
void run_handle_due(struct wf_ctx *ctx, struct run_runs *runs);

/* Whether a token's receipts cover each layer once and in order. */
bool run_receipts_cover_layers(const struct wf_stream_event *event,
			       unsigned n_layers);

/*
 * The id of the first stage without a matching receipt, NULL if all match.
 * Borrowed.
 */
const char *run_find_bad_receipt(const struct run_request *request,
				 const struct wf_stream_event *event);

#endif
