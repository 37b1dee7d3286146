#ifndef SCHED_ADM_H
#define SCHED_ADM_H

/*
 * adm: admission of model requests: the queue of waiting requests, the
 * history of their lengths, and the policies that bind them to engines.
 */

#include "sched/chn.h"

#define ADM_N_PRIORITIES 8
#define ADM_N_CLASSES 2 /* short and long */

struct adm_org_queue;

/* A waiting request; embedded in its owner. */
struct adm_item {
	void *owner;
	const char *org; /* borrowed from the owner */
	unsigned weight;
	unsigned priority;
	bool is_long;
	double cost; /* expected work in output tokens */
	clk_ms arrival;
	clk_ms deadline;		 /* point in time or CLK_NEVER */
	struct adm_org_queue *org_queue; /* NULL: not queued */
	GList *link;
};

/* The waiting requests of one organisation in one subqueue. */
struct adm_org_queue {
	char *org;
	GQueue items; /* of struct adm_item, borrowed */
	double deficit;
	double cost;
	unsigned weight;
	GList *link; /* in the subqueue's order */
	struct adm_subqueue *subqueue;
};

/*
 * The waiting requests of one priority and class. Its organisations are
 * served by deficit round-robin.
 */
struct adm_subqueue {
	GQueue order;	  /* of struct adm_org_queue, the head is served next */
	GHashTable *orgs; /* organisation to struct adm_org_queue, owned */
	double cost;
	double quantum; /* the largest cost seen, so that a turn serves one */
};

struct adm_queue {
	struct adm_subqueue subqueues[ADM_N_PRIORITIES][ADM_N_CLASSES];
	bool use_fair_share;
	bool use_classes;
	size_t length;
	size_t limit;
	double served[ADM_N_CLASSES]; /* recent work, decaying */
	/* Measured output of this instance's requests. */
	double rate;		/* tokens a second, 0: unknown */
	double interval_tokens; /* output since interval_start */
	clk_ms interval_start;
	bool backlogged; /* requests have waited since interval_start */
};

struct adm_queue *adm_queue_new(size_t limit, bool use_fair_share,
				bool use_classes);
void adm_queue_drop(gpointer queue);

/* Adds an item at the end of its organisation's queue, or at its start. */
void adm_put(struct adm_queue *queue, struct adm_item *item);
void adm_put_first(struct adm_queue *queue, struct adm_item *item);

/* Removes a waiting item without serving it. */
void adm_remove(struct adm_queue *queue, struct adm_item *item);

/* The item to be served next, or NULL. It keeps waiting. */
struct adm_item *adm_peek(struct adm_queue *queue);

/* The next item of the given class, or NULL. It keeps waiting. */
struct adm_item *adm_peek_class(struct adm_queue *queue, bool is_long);

/* Ends the turn of the organisation whose item cannot start now. */
void adm_skip(struct adm_queue *queue, struct adm_item *item);

/* Removes an item that starts now; its organisation is charged its cost. */
void adm_serve(struct adm_queue *queue, struct adm_item *item);

/* Counts output tokens, to measure the rate. */
void adm_note_work(struct adm_queue *queue, clk_ms now, double tokens);

/* Expected wait of an item that arrives now, ms. */
double adm_wait_ms(const struct adm_queue *queue, const struct adm_item *item,
		   double nominal_rate);

/*
 * Lengths of past requests by organisation, model and magnitude of
 * max_tokens, in a table of fixed size.
 */
struct adm_history;

struct adm_history *adm_history_new(void);
void adm_history_drop(struct adm_history *history);

/* The expected number of output tokens. */
double adm_expected_length(const struct adm_history *history, const char *org,
			   const char *model, unsigned max_tokens);

/* Records the length of a completed request. */
void adm_record_length(struct adm_history *history, const char *org,
		       const char *model, unsigned max_tokens, unsigned length);

/* The cost above which a request counts as long. */
double adm_long_threshold(const struct adm_history *history);

/* Records the cost of a request, which adapts the threshold for long ones. */
void adm_record_cost(struct adm_history *history, double cost);

/* When and where requests are bound to engines. */
struct adm_policy {
	const char *name;
	enum chn_result (*plan)(struct wf_ctx *ctx, struct tgt_table *targets,
				struct chn_query *query,
				struct chn_chain *chain);
};

const struct adm_policy *adm_policy_of(enum adm_policy_kind kind);

#endif
