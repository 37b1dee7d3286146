#include <check.h>
#include <string.h>

#include "rules_store.h"

static void object_free(gpointer data)
{
	struct rst_object *object = data;

	g_bytes_unref(object->value);
	g_free(object);
}

static void record_free(gpointer data)
{
	struct rst_record *record = data;

	rul_manifest_free(record->manifest);
	g_free(record);
}

struct rst_store *rst_new(void)
{
	struct rst_store *store = g_new0(struct rst_store, 1);

	store->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       object_free);
	store->records = g_ptr_array_new_with_free_func(record_free);
	store->delayed = g_queue_new();
	return store;
}

static void action_free(gpointer data)
{
	wf_action_clear(data);
	g_free(data);
}

void rst_drop(struct rst_store *store)
{
	g_hash_table_unref(store->objects);
	g_ptr_array_unref(store->records);
	g_queue_free_full(store->delayed, action_free);
	g_free(store);
}

static void add_record(struct rst_store *store, GBytes *value)
{
	struct rst_record *record = g_new0(struct rst_record, 1);
	GError *error = NULL;

	record->manifest = rul_manifest_decode(value, &error);
	ck_assert_msg(record->manifest != NULL, "%s",
		      error ? error->message : "");
	record->until = CLK_NEVER;
	if (store->records->len) {
		struct rst_record *last;

		last = store->records->pdata[store->records->len - 1];
		last->until = store->now;
	}
	g_ptr_array_add(store->records, record);
}

static void put(struct rst_store *store, const struct wf_action *action,
		struct wf_store_reply *reply)
{
	struct rst_object *object;

	object = g_hash_table_lookup(store->objects, action->name);
	if ((object ? object->version : 0) != action->version) {
		reply->result = WF_STORE_CONFLICT;
		reply->version = object ? object->version : 0;
		return;
	}
	object = g_new0(struct rst_object, 1);
	object->version = ++store->revision;
	object->value = g_bytes_ref(action->body);
	g_hash_table_replace(store->objects, g_strdup(action->name), object);
	reply->version = object->version;
	if (!strcmp(action->name, RUL_MANIFEST_NAME)) {
		add_record(store, action->body);
		/* Fails the test if a chunk of the manifest is missing. */
		g_bytes_unref(rst_text(store));
	}
}

/*
 * A chunk must not be deleted while a manifest uses it that is current or was
 * replaced within RUL_CHUNK_RETENTION.
 */
static void check_delete(const struct rst_store *store, const char *name)
{
	guint i;

	for (i = 0; i < store->records->len; i++) {
		const struct rst_record *record = store->records->pdata[i];

		if (record->until <= store->now - RUL_CHUNK_RETENTION)
			continue;
		ck_assert_msg(!rul_manifest_uses(record->manifest,
						 strchr(name, '/') + 1),
			      "%s of revision %d is deleted", name,
			      (int)record->manifest->revision);
	}
}

static void delete (struct rst_store *store, const struct wf_action *action,
		    struct wf_store_reply *reply)
{
	struct rst_object *object;

	object = g_hash_table_lookup(store->objects, action->name);
	if (!object)
		reply->result = WF_STORE_NOT_FOUND;
	else if (object->version != action->version)
		reply->result = WF_STORE_CONFLICT;
	if (reply->result != WF_STORE_OK)
		return;
	check_delete(store, action->name);
	g_hash_table_remove(store->objects, action->name);
	store->revision++;
}

static void get(struct rst_store *store, const struct wf_action *action,
		struct wf_store_reply *reply)
{
	struct rst_object *object;

	object = g_hash_table_lookup(store->objects, action->name);
	if (!object) {
		reply->result = WF_STORE_NOT_FOUND;
		return;
	}
	reply->version = object->version;
	reply->value = g_bytes_ref(object->value);
}

static void list(struct rst_store *store, const struct wf_action *action,
		 struct wf_store_reply *reply)
{
	GArray *entries =
		g_array_new(FALSE, TRUE, sizeof(struct wf_store_entry));
	GHashTableIter iter;
	gpointer name;
	gpointer object;

	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, &name, &object)) {
		struct wf_store_entry entry = {0};

		if (!g_str_has_prefix(name, action->name))
			continue;
		entry.name = g_strdup(strchr(name, '/') + 1);
		entry.version = ((struct rst_object *)object)->version;
		g_array_append_val(entries, entry);
	}
	reply->n_entries = entries->len;
	reply->entries = (void *)g_array_free(entries, FALSE);
	reply->version = store->revision;
}

static void execute(struct rst_store *store, const struct wf_action *action,
		    struct wf_store_reply *reply)
{
	reply->result = WF_STORE_OK;
	switch (action->type) {
	case WF_ACT_STORE_PUT:
		put(store, action, reply);
		return;
	case WF_ACT_STORE_DELETE:
		delete (store, action, reply);
		return;
	case WF_ACT_STORE_GET:
		get(store, action, reply);
		return;
	case WF_ACT_STORE_LIST:
		list(store, action, reply);
		return;
	default:
		ck_abort_msg("not a store action");
	}
}

static bool is_write(const struct wf_action *action)
{
	return action->type == WF_ACT_STORE_PUT ||
	       action->type == WF_ACT_STORE_DELETE;
}

static void delay(struct rst_store *store, struct wf_action *action)
{
	struct wf_action *copy = g_new(struct wf_action, 1);

	*copy = *action;
	memset(action, 0, sizeof(*action));
	g_queue_push_tail(store->delayed, copy);
}

void rst_execute(struct rst_store *store, struct wf_action *action,
		 enum rst_fault fault, struct wf_store_reply *reply)
{
	struct wf_store_reply second = {0};
	bool write = is_write(action);

	memset(reply, 0, sizeof(*reply));
	reply->op = action->op;
	store->n_actions++;
	if (fault == RST_NONE || fault == RST_TWICE ||
	    (fault == RST_LOST_REPLY && write))
		execute(store, action, reply);
	if (fault == RST_TWICE)
		execute(store, action, &second);
	rst_reply_clear(&second);
	if (fault == RST_LOST_REPLY || fault == RST_LOST ||
	    fault == RST_DELAYED) {
		rst_reply_clear(reply);
		reply->result = write ? WF_STORE_UNKNOWN : WF_STORE_UNAVAILABLE;
		reply->version = 0;
	}
	if (fault == RST_UNAVAILABLE)
		reply->result = WF_STORE_UNAVAILABLE;
	if (fault == RST_REFUSED)
		reply->result = write ? WF_STORE_REFUSED : WF_STORE_UNAVAILABLE;
	if (fault == RST_DELAYED && write)
		delay(store, action);
	wf_action_clear(action);
}

void rst_reply_clear(struct wf_store_reply *reply)
{
	size_t i;

	if (reply->value)
		g_bytes_unref(reply->value);
	for (i = 0; i < reply->n_entries; i++)
		g_free((char *)(uintptr_t)reply->entries[i].name);
	g_free((void *)(uintptr_t)reply->entries);
	reply->value = NULL;
	reply->entries = NULL;
	reply->n_entries = 0;
}

void rst_run_delayed(struct rst_store *store)
{
	struct wf_action *action;

	while ((action = g_queue_pop_head(store->delayed))) {
		struct wf_store_reply reply = {0};

		execute(store, action, &reply);
		rst_reply_clear(&reply);
		action_free(action);
	}
}

GBytes *rst_value(const struct rst_store *store, const char *name)
{
	struct rst_object *object = g_hash_table_lookup(store->objects, name);

	return object ? object->value : NULL;
}

struct rul_manifest *rst_manifest(const struct rst_store *store)
{
	GBytes *value = rst_value(store, RUL_MANIFEST_NAME);
	struct rul_manifest *manifest;

	ck_assert_ptr_nonnull(value);
	manifest = rul_manifest_decode(value, NULL);
	ck_assert_ptr_nonnull(manifest);
	return manifest;
}

static GBytes *get_chunk(void *user, const char *hash)
{
	char *name = g_strconcat(RUL_CHUNK_KIND "/", hash, NULL);
	GBytes *value = rst_value(user, name);

	g_free(name);
	return value;
}

GBytes *rst_text(const struct rst_store *store)
{
	struct rul_manifest *manifest = rst_manifest(store);
	GError *error = NULL;
	GBytes *text;

	text = rul_chunk_join(manifest, get_chunk, (void *)(uintptr_t)store,
			      &error);
	ck_assert_msg(text != NULL, "%s", error ? error->message : "");
	rul_manifest_free(manifest);
	return text;
}

bool rst_has_revision(const struct rst_store *store, uint64_t revision,
		      const uint8_t *nonce)
{
	guint i;

	for (i = 0; i < store->records->len; i++) {
		const struct rst_record *record = store->records->pdata[i];

		if ((!revision || record->manifest->revision == revision) &&
		    !memcmp(record->manifest->nonce, nonce, RUL_NONCE_BYTES))
			return true;
	}
	return false;
}

bool rst_has_nonce(const struct rst_store *store, const uint8_t *nonce)
{
	return rst_has_revision(store, 0, nonce);
}

void rst_check_records(const struct rst_store *store)
{
	const struct rul_manifest *last = NULL;
	guint i;

	for (i = 0; i < store->records->len; i++) {
		const struct rst_record *record = store->records->pdata[i];
		const struct rul_manifest *manifest = record->manifest;

		if (last && manifest->revision == last->revision) {
			ck_assert_str_eq(manifest->text_hash, last->text_hash);
			ck_assert_mem_eq(manifest->nonce, last->nonce,
					 RUL_NONCE_BYTES);
		} else {
			ck_assert_uint_eq(manifest->base_revision,
					  last ? last->revision : 0);
			ck_assert_uint_eq(manifest->revision,
					  manifest->base_revision + 1);
		}
		last = manifest;
	}
}

void rst_check_audit(const struct rst_store *store, uint64_t to_revision)
{
	uint64_t number;
	uint64_t revision = 0;
	char name[RUL_AUDIT_NAME_LEN];
	guint i;

	rul_audit_name(1, name);
	for (number = 1; rst_value(store, name); number++) {
		GBytes *value = rst_value(store, name);
		struct rul_audit_segment *segment;

		ck_assert_uint_le(g_bytes_get_size(value), RUL_AUDIT_MAX_BYTES);
		segment = rul_audit_decode(value, NULL);
		ck_assert_ptr_nonnull(segment);
		for (i = 0; i < segment->entries->len; i++) {
			const struct rul_audit_entry *entry;

			entry = &g_array_index(segment->entries,
					       struct rul_audit_entry, i);
			ck_assert_uint_eq(entry->to_revision, ++revision);
			ck_assert(rst_has_revision(store, revision,
						   entry->nonce));
		}
		rul_audit_free(segment);
		rul_audit_name(number + 1, name);
	}
	ck_assert_uint_eq(revision, to_revision);
}
