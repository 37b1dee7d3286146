#ifndef RULES_STORE_H
#define RULES_STORE_H

/*
 * rst: rules store. An in-memory store for tests of the publish sequence. It
 * executes store actions, injects faults, records each manifest written, and
 * checks the invariants of publishing.
 */

#include <wagtailferry/rules.h>

enum rst_fault {
	RST_NONE,
	RST_UNAVAILABLE, /* not executed, and reported so */
	RST_LOST_REPLY,	 /* executed, the answer is lost */
	RST_LOST,	 /* not executed, the outcome is unknown */
	RST_DELAYED,	 /* as RST_LOST, but a write is executed later */
	RST_TWICE,	 /* executed twice, first reply returned */
	RST_REFUSED,
	RST_N_FAULTS,
};

/* One object. */
struct rst_object {
	uint64_t version;
	GBytes *value;
};

/* One manifest that has been written. */
struct rst_record {
	struct rul_manifest *manifest;
	clk_ms until; /* when it was replaced, or CLK_NEVER */
};

struct rst_store {
	GHashTable *objects; /* name to struct rst_object */
	uint64_t revision;
	clk_ms now;
	GPtrArray *records; /* of struct rst_record, in order of writes */
	GQueue *delayed;    /* of struct wf_action */
	unsigned n_actions;
};

struct rst_store *rst_new(void);
void rst_drop(struct rst_store *store);

/*
 * Executes an action and frees it. The reply is filled in; reply->value and
 * reply->entries are valid until rst_reply_clear().
 */
void rst_execute(struct rst_store *store, struct wf_action *action,
		 enum rst_fault fault, struct wf_store_reply *reply);
void rst_reply_clear(struct wf_store_reply *reply);

/* Executes the writes that were delayed. */
void rst_run_delayed(struct rst_store *store);

/* The value of an object, or NULL. Borrowed. */
GBytes *rst_value(const struct rst_store *store, const char *name);

/* The manifest in the store; fails the test if it is malformed. */
struct rul_manifest *rst_manifest(const struct rst_store *store);

/* The text in the store, verified; fails the test if chunks are missing. */
GBytes *rst_text(const struct rst_store *store);

/*
 * Whether a manifest with this revision and nonce, or with this nonce and any
 * revision, has ever been written.
 */
bool rst_has_revision(const struct rst_store *store, uint64_t revision,
		      const uint8_t *nonce);
bool rst_has_nonce(const struct rst_store *store, const uint8_t *nonce);

/*
 * Fails the test unless each manifest written has the revision of the one
 * before (same text) or the next one, built on the one before.
 */
void rst_check_records(const struct rst_store *store);

/* Fails the test unless the audit trail has each revision exactly once. */
void rst_check_audit(const struct rst_store *store, uint64_t to_revision);

#endif
