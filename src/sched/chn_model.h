#ifndef SCHED_CHN_MODEL_H
#define SCHED_CHN_MODEL_H

#include "sched/chn.h"

/* A target that can run the layers from a boundary on. */
struct chn_candidate {
	struct tgt_target *target;
	size_t next; /* index of the boundary after its whole range */
};

/* A layer at which a stage can begin; the last one is the model's end. */
struct chn_boundary {
	unsigned layer;
	double min_us_to_end; /* least time to the end without load */
	double price[2];      /* cost to the end under load: short, long */
	GArray *candidates;   /* of struct chn_candidate, by data centre */
	GArray *near_best[2]; /* of guint: candidates near the least price */
	guint *starts;	      /* first candidate of each data centre */
	unsigned n_starts;
	guint round_robin_next;
};

struct chn_model {
	char *name;
	bool stale;
	unsigned n_layers;
	GPtrArray *targets; /* all listed ones, borrowed */
	GArray *boundaries; /* of struct chn_boundary, by layer */
	unsigned n_targets;
	double own_load; /* concurrent steps on all targets */
	double own_long_load;
	clk_ms last_short; /* when a short request started last */
	double inflation;
	double nominal_rate;
	double token_us; /* mean of the chains in use */
};

/*
 * What a microsecond of a target's time costs under its present load: more
 * than 1 if requests wait there or its tokens come late.
 */
double chn_load_factor(const struct wf_ctx *ctx,
		       const struct tgt_table *targets,
		       const struct tgt_target *target, bool is_long);

/* The model of that name, brought up to date, or NULL. Borrowed. */
struct chn_model *chn_get_model(struct tgt_table *targets, const char *name);

#endif
