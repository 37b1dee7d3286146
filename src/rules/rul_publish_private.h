#ifndef RUL_PUBLISH_PRIVATE_H
#define RUL_PUBLISH_PRIVATE_H

/* Shared by the sources of the publish sequence; not public. */

#include "rul_private.h"

enum rul_publish_step {
	RUL_STEP_READ_MANIFEST, /* get the manifest */
	RUL_STEP_PUT_CHUNK,	/* put a chunk unless it exists */
	RUL_STEP_TOUCH_GET,	/* it exists: get its version */
	RUL_STEP_TOUCH_PUT,	/* and put it again, see rul_publish_chunk.c */
	RUL_STEP_PUT_MANIFEST,	/* put the manifest */
	RUL_STEP_READ_BACK,	/* unclear if it was put: get it again */
	RUL_STEP_FETCH_CHUNK,	/* conflict: get the chunks to compare */
	RUL_STEP_AUDIT_LIST,	/* find the last segment */
	RUL_STEP_AUDIT_GET,
	RUL_STEP_AUDIT_PUT,
	RUL_STEP_DONE,
	RUL_N_STEPS,
};

struct rul_publish {
	struct rul_publish_outcome outcome;
	enum rul_publish_step step;
	uint64_t op;	   /* of the pending action, 0: none */
	clk_ms wakeup;	   /* end of a pause before the step */
	unsigned attempts; /* failed ones since the last success */
	clk_ms timeout;

	GBytes *text;
	uint64_t base_revision;
	struct rul_author author;
	char *author_name;
	char *requested_by;
	char *note;

	struct rul_manifest *base; /* as read; NULL: none exists */
	uint64_t base_version;	   /* of the object */
	struct rul_manifest *next; /* to be put */
	GBytes *next_value;
	GPtrArray *missing; /* of struct rul_chunk in next */
	guint chunk_index;  /* index into missing */
	uint64_t touch_version;
	bool put_unknown; /* a put of the manifest may have been executed */

	struct rul_manifest *other; /* read after base: competing or own */
	GHashTable *fetched;	    /* chunk hash to GBytes */
	GPtrArray *to_fetch;	    /* of struct rul_chunk */
	guint fetch_index;
	GBytes *base_text;
	GBytes *other_text;
	GArray *changes;

	struct rul_manifest *accepted; /* borrowed: next or other */
	uint64_t segment_number;
	uint64_t segment_version;
	struct rul_audit_segment *segment;
	GBytes *segment_value;
	char *message;
};

/* Emits the action, handles its reply, acts after the last failed attempt. */
struct rul_step_ops {
	void (*send)(struct wf_ctx *ctx, struct rul_publish *publish);
	void (*handle)(struct wf_ctx *ctx, struct rul_publish *publish,
		       const struct wf_store_reply *reply);
	void (*give_up)(struct wf_ctx *ctx, struct rul_publish *publish);
};

/* Starts a step at once. */
void rul_publish_enter(struct wf_ctx *ctx, struct rul_publish *publish,
		       enum rul_publish_step step);

/*
 * Starts a step after a failure and a pause, or gives up after
 * RUL_PUBLISH_ATTEMPTS failures.
 */
void rul_publish_retry(struct wf_ctx *ctx, struct rul_publish *publish,
		       enum rul_publish_step step);

/* Ends the sequence. The message (may be NULL) is copied. */
void rul_publish_end(struct rul_publish *publish,
		     enum rul_publish_result result, enum err_code error,
		     const char *message);

/* Emits a store action for the current step; body may be NULL. */
void rul_publish_send(struct wf_ctx *ctx, struct rul_publish *publish,
		      enum wf_action_type type, const char *name,
		      uint64_t version, GBytes *body);

/* Reports the conflict with publish->other, after fetching its changes. */
void rul_publish_conflict(struct wf_ctx *ctx, struct rul_publish *publish);

/* Records the accepted revision and starts the audit steps. */
void rul_publish_accept(struct wf_ctx *ctx, struct rul_publish *publish,
			struct rul_manifest *manifest, uint64_t revision);

/* Ends the sequence because the store does not answer. */
void rul_publish_give_up(struct wf_ctx *ctx, struct rul_publish *publish);

/* Ends the sequence because the store refused a write. */
void rul_publish_refuse(struct rul_publish *publish);

extern const struct rul_step_ops rul_step_read_manifest;
extern const struct rul_step_ops rul_step_put_chunk;
extern const struct rul_step_ops rul_step_touch_get;
extern const struct rul_step_ops rul_step_touch_put;
extern const struct rul_step_ops rul_step_put_manifest;
extern const struct rul_step_ops rul_step_read_back;
extern const struct rul_step_ops rul_step_fetch_chunk;
extern const struct rul_step_ops rul_step_audit_list;
extern const struct rul_step_ops rul_step_audit_get;
extern const struct rul_step_ops rul_step_audit_put;

#endif
