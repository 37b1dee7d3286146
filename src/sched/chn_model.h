#ifndef SCHED_CHN_MODEL_H
#define SCHED_CHN_MODEL_H

#include "sched/chn.h"

/* A target that can run the layers from a boundary on. */
struct chn_candidate {
	struct tgt_target *target;
	size_t next; /* index of the boundary after its range */
};

/* A layer at which a stage can begin; the last one is the model's end. */
struct chn_boundary {
	unsigned layer;
	double to_go;	    /* least time from here to the end, us */
	GArray *candidates; /* of struct chn_candidate, by data centre */
	guint *starts;	    /* where each data centre begins */
	unsigned n_starts;
	guint turn; /* for round-robin */
};

struct chn_model {
	char *name;
	bool stale;
	unsigned n_layers;
	GPtrArray *targets; /* all listed ones, borrowed */
	GArray *boundaries; /* of struct chn_boundary, by layer */
	unsigned n_targets;
	double own_load; /* steps at once over all targets */
	double inflation;
	double nominal_rate;
	double token_us; /* mean of the chains in use */
};

/* The model of that name with segments up to date, or NULL. Borrowed. */
struct chn_model *chn_get_model(struct tgt_targets *targets, const char *name);

#endif
