#ifndef SCHED_CHN_H
#define SCHED_CHN_H

/*
 * chn: plans chains of stages, each on one target, that together run all
 * layers of a model.
 */

#include "sched/tgt_table.h"

#define CHN_MAX_STAGES 32

enum chn_strategy {
	CHN_TWO_CHOICES, /* the better of two random choices */
	CHN_ROUND_ROBIN,
	CHN_LEAST_OUTSTANDING, /* fewest own requests */
};

/* The requirements for a chain. */
struct chn_query {
	const char *model;
	char **data_centers; /* allowed ones, NULL: all */
	char **targets;	     /* allowed engines, NULL: all */
	const tbl_handle *avoid;
	size_t n_avoid;
	enum chn_strategy strategy;
	bool need_room; /* only targets with a free place */
	bool is_long;
	const uint64_t *prefix_hashes;
	size_t n_prefix_hashes;
};

/* One stage of a planned chain. */
struct chn_stage {
	tbl_handle target;
	unsigned first_layer;
	unsigned last_layer;
	double us;   /* time of a step without waiting */
	double load; /* concurrent steps that a request adds to the target */
};

struct chn_chain {
	size_t n;
	struct chn_stage stages[CHN_MAX_STAGES];
	double token_us; /* time of a token without waiting */
	double score;
};

enum chn_result {
	CHN_FOUND,
	CHN_NO_ROOM,  /* chains exist, but none has room now */
	CHN_NO_CHAIN, /* the usable targets do not cover the model */
};

/* The targets of one model, ordered for planning. */
struct chn_model;

/* Frees a struct chn_model; a GDestroyNotify. */
void chn_model_drop(gpointer model);

/* Marks a model's boundaries as out of date. A NULL name does nothing. */
void chn_invalidate(struct tgt_table *targets, const char *model);

/* Rebuilds the boundaries of all models that are out of date. */
void chn_refresh(struct tgt_table *targets);

/*
 * Recomputes the cost from each boundary to the end under the present load,
 * for all models. Called after each round of polls, not for each decision.
 */
void chn_reprice(struct wf_ctx *ctx, struct tgt_table *targets);

/* Plans a chain for a whole model. */
enum chn_result chn_plan(struct wf_ctx *ctx, struct tgt_table *targets,
			 const struct chn_query *query,
			 struct chn_chain *chain);

/*
 * Plans the stages that replace part of a chain, layers first to last, with
 * neighbours in the given data centre.
 */
enum chn_result chn_plan_range(struct wf_ctx *ctx, struct tgt_table *targets,
			       const struct chn_query *query, unsigned first,
			       unsigned last, unsigned data_center,
			       struct chn_chain *chain);

/* The layers of a model, 0 if no target of it is known. */
unsigned chn_n_layers(struct tgt_table *targets, const char *model);

/* Mean time of a token of the model's chains, microseconds. */
double chn_token_us(struct tgt_table *targets, const char *model);

/* Mean of observed over expected token times of a model, at least 1. */
double chn_inflation(struct tgt_table *targets, const char *model);

/* Adds a sample to that mean. */
void chn_note_inflation(struct tgt_table *targets, const char *model,
			double ratio);

/*
 * Tokens a second that all engines of a model together could run if layers
 * were spread evenly; an estimate for times without measurements.
 */
double chn_nominal_rate(struct tgt_table *targets, const char *model);

#endif
