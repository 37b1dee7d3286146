#ifndef WAGTAILFERRY_TESTS_CLUSTER_H
#define WAGTAILFERRY_TESTS_CLUSTER_H

/*
 * A whole installation on loopback: the fakes of the platform, engines, a
 * booking service and entry instances as real processes. A check that fails
 * ends the test's process; the test framework then kills its process group,
 * to which all processes of the cluster belong.
 */

#include "support/child.h"
#include "support/http.h"

#define CLU_MODEL "swan-70b"
#define CLU_N_LAYERS 60
#define CLU_ENTRIES_MAX 5
#define CLU_ENGINES_MAX 6
/* Bound of every wait for a condition, generous for a busy machine. */
#define CLU_BOUND_MS 30000

struct clu_range {
	unsigned first_layer;
	unsigned last_layer;
};

struct clu_config {
	unsigned n_entries;
	unsigned n_engines;
	struct clu_range ranges[CLU_ENGINES_MAX];
	unsigned step_us; /* of an engine; 0: 2000 */
	bool service_has_no_status;
	const char *rules; /* NULL: the default, deadlines of 30 s */
};

struct clu_entry {
	struct sup_child child;
	char id[16];
	char caller[32];
	char operator_[32];
	char peer[32];
	char public_key[41];
	char secret_key[41];
};

struct clu_cluster {
	struct clu_config config;
	struct sup_child store;
	struct sup_child list;
	struct sup_child service;
	struct sup_child engines[CLU_ENGINES_MAX];
	bool leaving[CLU_ENGINES_MAX]; /* in the instance list */
	struct clu_entry entries[CLU_ENTRIES_MAX];
	char *folder;
};

/* Three engines that hold 20 layers each. */
void clu_config_init(struct clu_config *config, unsigned n_entries);

/* Starts everything, publishes rules and waits until all entries serve. */
void clu_start(struct clu_cluster *cluster, const struct clu_config *config);

/* Ends everything; entries with SIGKILL, because a graceful end takes 3 s. */
void clu_stop(struct clu_cluster *cluster);

/* Publishes the instance list of the present state. */
void clu_publish_list(struct clu_cluster *cluster);

/* Starts an entry that has ended, on the same addresses. */
void clu_start_entry(struct clu_cluster *cluster, unsigned i);

/* Waits until an entry answers a model request. */
void clu_await_serving(struct clu_cluster *cluster, unsigned i);

/* The name of a file in the cluster's folder; free with g_free(). */
char *clu_write_file(struct clu_cluster *cluster, const char *name,
		     const char *text);

/* Starts the operators' command; words are separated by blanks. */
GPid clu_start_tool(struct clu_cluster *cluster, const char *words);
int clu_wait_tool(GPid pid);
int clu_run_tool(struct clu_cluster *cluster, const char *words);

/* Publishes rules and waits until they are in force everywhere. */
void clu_publish_rules(struct clu_cluster *cluster, const char *text);

/* Calls. The organisation is "a" or "b". */

struct sup_request *clu_send_model(struct clu_cluster *cluster, unsigned entry,
				   const char *prompt, unsigned n_tokens);

/* Fails unless the stream is complete and has the expected text. */
void clu_check_model(struct sup_request *request, const char *prompt,
		     unsigned n_tokens);

/* The text of a streamed answer and whether it is whole. */
char *clu_stream_text(const char *body, bool *complete);

/* Waits until the caller has so many tokens. */
void clu_await_tokens(struct sup_request *request, unsigned n);

struct sup_request *clu_send_booking(struct clu_cluster *cluster,
				     unsigned entry, const char *org,
				     const char *key, const char *body);
void clu_book(struct clu_cluster *cluster, unsigned entry, const char *key,
	      const char *body, struct sup_answer *answer);

/* A new key of the present time; free with g_free(). */
char *clu_new_key(void);

/* The "run" of an error answer, or ""; free with g_free(). */
char *clu_answer_run(const struct sup_answer *answer);

/* Records of the fakes */

/* Keys that the service has run, and the most runs of one key. */
unsigned clu_count_keys(struct clu_cluster *cluster, unsigned *most_runs);

/* Waits until the service runs, or has run, so many keys. */
void clu_await_keys(struct clu_cluster *cluster, unsigned n);

/* The request id in the engines' records; free with g_free(). */
char *clu_request_id(struct sup_request *request);

/* Steps of a request that an engine executed ("run") in a position. */
unsigned clu_count_steps(struct clu_cluster *cluster, unsigned engine,
			 const char *request, unsigned position,
			 const char *kind);

/* All steps of a kind that an engine has for a request. */
unsigned clu_count_all_steps(struct clu_cluster *cluster, unsigned engine,
			     const char *request, const char *kind);

#endif
