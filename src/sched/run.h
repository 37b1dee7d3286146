#ifndef SCHED_RUN_H
#define SCHED_RUN_H

#include "sched/chn.h"

#define RUN_MAX_AVOID 8

enum run_state {
	RUN_QUEUED,
	RUN_STREAMING,
	RUN_WAITING, /* for the next attempt to recover */
};

/* What a stage of the present chain costs its target. */
struct run_stage {
	tbl_handle target;
	double load;
	double us;
};

/* A token that came before its predecessor. */
struct run_early_token {
	unsigned position;
	char *text;
	size_t text_len;
};

struct run_request {
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
	uint64_t op;	/* of the present stream, 0: none */
	unsigned lineage;
	bool accepted;
	bool touched; /* a target may have run steps of it */
	double token_us;
	unsigned next_position;
	GString *delivered;
	GArray *early; /* of struct run_early_token */
	char *end_reason;
	clk_ms last_event;
	clk_ms due; /* gap bound, next attempt or deadline */
};

struct run_runs {
	struct wf_module module;
	struct run_config config;
	struct tgt_targets *targets;
	GHashTable *requests; /* call id to struct run_request, owned */
	GHashTable *ops;      /* operation to struct run_request, borrowed */
	clk_ms next_due;
};

/* Plans a chain and opens the first stream of a request. */
void run_start(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request);

/* Takes over a planned chain; all stages start with the prompt. */
void run_set_chain(struct run_runs *runs, struct run_request *request,
		   const struct chn_chain *chain);

/* Opens a stream for the present chain and lineage. */
void run_open(struct wf_ctx *ctx, struct run_runs *runs,
	      struct run_request *request);

/* Handles an event of one of the request's streams. */
void run_handle_stream(struct wf_ctx *ctx, struct run_runs *runs,
		       const struct wf_stream_event *event);

/* Cancels the present stream, if there is one. */
void run_cancel_stream(struct wf_ctx *ctx, struct run_request *request);

/* Ends a request; frees it. */
void run_finish(struct wf_ctx *ctx, struct run_runs *runs,
		struct run_request *request);

/* Reports an error to the caller and ends the request. */
void run_fail(struct wf_ctx *ctx, struct run_runs *runs,
	      struct run_request *request, enum err_code code,
	      const char *message);

/* Reacts to the failure of the present stream. */
void run_recover(struct wf_ctx *ctx, struct run_runs *runs,
		 struct run_request *request, enum err_code error,
		 const char *failed_target);

/* Removes the request's load from the target table. */
void run_release(struct run_runs *runs, struct run_request *request);

/* Whether a token's receipts cover all layers once and in order. */
bool run_receipts_are_whole(const struct wf_stream_event *event,
			    unsigned n_layers);

#endif
