#include <string.h>

#include "rul_publish_private.h"

/*
 * The steps that append to the audit trail. Each publisher adds entries for
 * all recent revisions above the highest one recorded. If a publisher was
 * killed after its put of the manifest, the next one thus adds its entry, and
 * every revision up to the highest one recorded has an entry.
 */

static void finish(struct rul_publish *publish, bool audited)
{
	publish->outcome.audited = audited;
	rul_publish_end(publish, RUL_PUBLISH_ACCEPTED, ERR_INTERNAL, NULL);
}

static void give_up_audit(struct wf_ctx *ctx, struct rul_publish *publish)
{
	(void)ctx;
	finish(publish, false);
}

static void send_list(struct wf_ctx *ctx, struct rul_publish *publish)
{
	rul_publish_send(ctx, publish, WF_ACT_STORE_LIST, RUL_AUDIT_KIND "/", 0,
			 NULL);
}

static void handle_list(struct wf_ctx *ctx, struct rul_publish *publish,
			const struct wf_store_reply *reply)
{
	size_t i;

	if (reply->result != WF_STORE_OK) {
		rul_publish_retry(ctx, publish, RUL_STEP_AUDIT_LIST);
		return;
	}
	publish->segment_number = 0;
	for (i = 0; i < reply->n_entries; i++) {
		const char *name = reply->entries[i].name;
		const char *slash = strrchr(name, '/');
		uint64_t number = rul_audit_number(slash ? slash + 1 : name);

		publish->segment_number = MAX(publish->segment_number, number);
	}
	rul_audit_free(publish->segment);
	publish->segment = NULL;
	if (publish->segment_number) {
		rul_publish_enter(ctx, publish, RUL_STEP_AUDIT_GET);
		return;
	}
	publish->segment_number = 1;
	publish->segment_version = WF_VERSION_ABSENT;
	publish->segment = rul_audit_new(1, 0);
	rul_publish_enter(ctx, publish, RUL_STEP_AUDIT_PUT);
}

static void send_get(struct wf_ctx *ctx, struct rul_publish *publish)
{
	char name[RUL_AUDIT_NAME_LEN];

	rul_audit_name(publish->segment_number, name);
	rul_publish_send(ctx, publish, WF_ACT_STORE_GET, name, 0, NULL);
}

/* A segment that cannot be decoded is left alone; a new one follows it. */
static void start_segment(struct rul_publish *publish, uint64_t revision)
{
	rul_audit_free(publish->segment);
	publish->segment_number++;
	publish->segment_version = WF_VERSION_ABSENT;
	publish->segment = rul_audit_new(publish->segment_number, revision);
}

static void handle_get(struct wf_ctx *ctx, struct rul_publish *publish,
		       const struct wf_store_reply *reply)
{
	if (reply->result != WF_STORE_OK) {
		rul_publish_retry(ctx, publish, RUL_STEP_AUDIT_LIST);
		return;
	}
	publish->segment_version = reply->version;
	publish->segment = rul_audit_decode(reply->value, NULL);
	if (!publish->segment)
		start_segment(publish, 0);
	rul_publish_enter(ctx, publish, RUL_STEP_AUDIT_PUT);
}

/* Adds the entries of the recent revisions that are not recorded yet. */
static void add_entries(struct rul_publish *publish)
{
	const GArray *recent = publish->accepted->recent;
	uint64_t recorded = publish->segment->rules_revision;
	guint i;

	for (i = 0; i < recent->len; i++) {
		const struct rul_recent_revision *from;
		struct rul_audit_entry entry = {0};

		from = &g_array_index(recent, struct rul_recent_revision, i);
		if (from->revision <= recorded)
			continue;
		entry.time = from->time;
		entry.requested_by = from->requested_by;
		entry.published_by = from->author;
		entry.from_revision = from->revision - 1;
		entry.to_revision = from->revision;
		memcpy(entry.nonce, from->nonce, RUL_NONCE_BYTES);
		if (from->revision == publish->outcome.revision)
			entry.note = publish->note;
		rul_audit_add(publish->segment, &entry);
	}
}

static void encode_segment(struct rul_publish *publish)
{
	rul_clear_bytes(&publish->segment_value);
	publish->segment_value = rul_audit_encode(publish->segment);
}

static void send_put(struct wf_ctx *ctx, struct rul_publish *publish)
{
	uint64_t recorded = publish->segment->rules_revision;
	char name[RUL_AUDIT_NAME_LEN];

	if (recorded >= publish->outcome.revision) {
		finish(publish, true);
		return;
	}
	add_entries(publish);
	encode_segment(publish);
	if (g_bytes_get_size(publish->segment_value) > RUL_AUDIT_MAX_BYTES) {
		start_segment(publish, recorded);
		add_entries(publish);
		encode_segment(publish);
	}
	rul_audit_name(publish->segment_number, name);
	rul_publish_send(ctx, publish, WF_ACT_STORE_PUT, name,
			 publish->segment_version, publish->segment_value);
}

/* After a failure, reads the trail again to see if the entry is in it. */
static void handle_put(struct wf_ctx *ctx, struct rul_publish *publish,
		       const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK)
		finish(publish, true);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_AUDIT_LIST);
}

const struct rul_step_ops rul_step_audit_list = {send_list, handle_list,
						 give_up_audit};
const struct rul_step_ops rul_step_audit_get = {send_get, handle_get,
						give_up_audit};
const struct rul_step_ops rul_step_audit_put = {send_put, handle_put,
						give_up_audit};
