#ifndef WF_SUPPORT_ENGINES_H
#define WF_SUPPORT_ENGINES_H

/* sup: support of tests. Chains of engine fakes and requests to them. */

#include "child.h"
#include "http.h"
#include "sse.h"

#define SUP_ENGINES_MAX 8
#define SUP_LAYERS 60

struct sup_engine {
	struct sup_child child;
	char id[16];
	char address[64];
	unsigned first;
	unsigned last;
};

/* A stage in the chain of a generate request. */
struct sup_stage {
	const struct sup_engine *engine;
	const char *kv;			 /* NULL: "fresh" */
	const struct sup_engine *source; /* for "import" */
};

struct sup_generate {
	const char *request;
	unsigned lineage; /* 0: 1 */
	const char *prompt;
	unsigned max_tokens; /* 0: 16 */
	unsigned priority;
	unsigned start;
	const char *delivered;	    /* NULL: the expected text */
	struct sup_stage stages[4]; /* up to the first without engine */
};

/*
 * Starts engine-<number> for a range of layers. options (up to 16) are further
 * arguments and end with NULL.
 */
bool sup_start_engine(struct sup_engine *engine, unsigned number,
		      unsigned first, unsigned last,
		      const char *const *options);

/* The body of a generate request; free with g_free(). */
char *sup_generate_body(const struct sup_generate *generate);

/* Sends it to the first stage's engine in the background. */
struct sup_request *sup_send_generate(const struct sup_generate *generate);

/* Sends it and waits for the answer; its events are freed with the array. */
GPtrArray *sup_run_generate(const struct sup_generate *generate, int *status);

/* The expected text of the tokens from..to-1; free with g_free(). */
char *sup_expected_text(const char *prompt, unsigned from, unsigned to);

/*
 * Whether each token event has the next position and receipts that cover all
 * layers once and in order.
 */
bool sup_receipts_cover(const GPtrArray *events, unsigned start);

/*
 * The number of a request's steps that an engine has recorded. Position -1 and
 * kind NULL match all.
 */
unsigned sup_count_steps(const struct sup_engine *engine, const char *request,
			 int position, const char *kind);

#endif
