#ifndef SCHED_ADM_H
#define SCHED_ADM_H

#include "sched/chn.h"

#define ADM_N_PRIORITIES 8
#define ADM_N_CLASSES 2 /* short and long */

struct adm_org_queue;

/* A request as the queue sees it; embedded in its owner. */
struct adm_item {
	void *owner;
	const char *org; /* borrowed from the owner */
	unsigned weight;
	unsigned priority;
	bool is_long;
	double cost; /* expected work in output tokens */
	clk_ms arrival;
	clk_ms deadline;		 /* point in time or CLK_NEVER */
	struct adm_org_queue *org_queue; /* where it waits, NULL: nowhere */
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

/* One priority and class; organisations take turns. */
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
	double served[ADM_N_CLASSES]; /* work, fading */
	/* rate at which this instance's requests are worked off */
	double rate; /* tokens a second, 0: not known */
	double interval_tokens;
	clk_ms interval_start;
	bool backlogged; /* something waited ever since */
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

/* The next item of the other class than the one given, or NULL. */
struct adm_item *adm_peek_class(struct adm_queue *queue, bool is_long);

/* Gives the turn of an item that cannot start now to the next one. */
void adm_skip(struct adm_queue *queue, struct adm_item *item);

/* Takes out an item that starts now; its organisation pays for it. */
void adm_serve(struct adm_queue *queue, struct adm_item *item);

/* Notes work done (output tokens), to learn the rate. */
void adm_note_work(struct adm_queue *queue, clk_ms now, double tokens);

/* Expected wait of an item that arrives now, ms. */
double adm_wait_ms(const struct adm_queue *queue, const struct adm_item *item,
		   double nominal_rate);

/* Expected lengths by organisation and kind; constant memory. */
struct adm_history;

struct adm_history *adm_history_new(void);
void adm_history_drop(struct adm_history *history);

/* The expected number of output tokens. */
double adm_expected_length(const struct adm_history *history, const char *org,
			   const char *model, unsigned max_tokens);

/* Learns the length of a completed request. */
void adm_record_length(struct adm_history *history, const char *org,
		       const char *model, unsigned max_tokens, unsigned length);

/* Work above which a request is long. */
double adm_long_threshold(const struct adm_history *history);

/* Learns the work of a request, for the limit between short and long. */
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
