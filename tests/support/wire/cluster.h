#ifndef WAGTAILFERRY_TESTS_CLUSTER_H
#define WAGTAILFERRY_TESTS_CLUSTER_H

/*
 * clu: cluster on loopback, with the fakes of the platform, engines, a booking
 * service and entry instances as processes. A failed check ends the test's
 * process; the test framework then kills its process group, which includes all
 * processes of the cluster.
 */

#include "support/child.h"
#include "support/http.h"

#define CLU_MODEL "swan-70b"
#define CLU_N_LAYERS 60
#define CLU_ENTRIES_MAX 5
#define CLU_ENGINES_MAX 6
/* Limit of each wait for a condition; allows for a loaded machine. */
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

/* Ends all processes; entries by SIGKILL, as a graceful stop takes 3 s. */
void clu_stop(struct clu_cluster *cluster);

/* Publishes the instance list of the current state. */
void clu_publish_list(struct clu_cluster *cluster);

/* Starts an entry, after its end again on the same addresses. */
void clu_start_entry(struct clu_cluster *cluster, unsigned i);

/* Waits until an entry answers a model request. */
void clu_await_serving(struct clu_cluster *cluster, unsigned i);

/* Writes a file in the cluster's folder; returns its path, g_free() it. */
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

/* The text of a streamed answer; complete if it ends with [DONE]. */
char *clu_stream_text(const char *body, bool *complete);

/* Waits until the caller has received n tokens. */
void clu_await_tokens(struct sup_request *request, unsigned n);

struct sup_request *clu_send_booking(struct clu_cluster *cluster,
				     unsigned entry, const char *org,
				     const char *key, const char *body);
void clu_book(struct clu_cluster *cluster, unsigned entry, const char *key,
	      const char *body, struct sup_answer *answer);

/* A new key with the current time; free with g_free(). */
char *clu_new_key(void);

/* The "run" of an error answer, or ""; free with g_free(). */
char *clu_answer_run(const struct sup_answer *answer);

/* Records of the fakes */

/* The number of keys that the service has run, and the most runs of a key. */
unsigned clu_count_keys(struct clu_cluster *cluster, unsigned *most_runs);

/* Waits until the service has started to run n keys. */
void clu_await_keys(struct clu_cluster *cluster, unsigned n);

/* The request id in the engines' records; free with g_free(). */
char *clu_request_id(struct sup_request *request);

/* The number of a request's steps of a kind ("run") at a position. */
unsigned clu_count_steps(struct clu_cluster *cluster, unsigned engine,
			 const char *request, unsigned position,
			 const char *kind);

/* All steps of a kind that an engine has for a request. */
unsigned clu_count_all_steps(struct clu_cluster *cluster, unsigned engine,
			     const char *request, const char *kind);

#endif
