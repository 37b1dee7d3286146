#include "store.h"

#include <string.h>

/* A watch that waits for a change. */
struct store_watch {
	struct fk_call *call; /* kept */
	struct store *store;
	char *path; /* "kind/prefix" */
	uint64_t after;
	struct fk_timer *timer;
};

struct collect {
	json_t *list;
	const char *path;
	size_t kind_len; /* with the slash */
	uint64_t after;
	bool with_deleted;
	uint64_t hidden; /* revision that a stale response omits, or 0 */
};

static bool collect_object(const struct store_object *object,
			   struct collect *collect)
{
	bool rolled_back =
		collect->hidden && object->version >= collect->hidden;
	uint64_t version = rolled_back ? object->old_version : object->version;
	GBytes *value = rolled_back ? object->old_value : object->value;
	json_t *entry;

	if (!version || version <= collect->after ||
	    (!value && !collect->with_deleted))
		return false;
	entry = json_pack("{s:s,s:I}", "name", object->path + collect->kind_len,
			  "version", (json_int_t)version);
	if (!value)
		json_object_set_new(entry, "deleted", json_true());
	json_array_append_new(collect->list, entry);
	return true;
}

static gboolean collect_if_prefixed(void *key, void *value, void *data)
{
	struct collect *collect = data;

	if (g_str_has_prefix(key, collect->path))
		collect_object(value, collect);
	return FALSE;
}

static void reply_list(struct fk_call *call, const char *path, uint64_t after,
		       bool with_deleted)
{
	const struct store *store = call->user;
	bool stale = call->fault.kind == FK_FAULT_STALE_VERSION &&
		     store->revision > 0;
	struct collect collect = {
		.list = json_array(),
		.path = path,
		.kind_len = strcspn(path, "/") + 1,
		.after = after,
		.with_deleted = with_deleted,
		.hidden = stale ? store->revision : 0,
	};

	g_tree_foreach(store->objects, collect_if_prefixed, &collect);
	fk_reply_json(call, 200,
		      json_pack("{s:I,s:o}", "revision",
				(json_int_t)(store->revision - (stale ? 1 : 0)),
				"objects", collect.list));
}

/* "kind/prefix" of a list or watch request. */
static char *path_of(struct fk_call *call)
{
	char *prefix = fk_param(call, "prefix");
	char *path = g_strconcat(call->rest, "/", prefix, NULL);

	g_free(prefix);
	return path;
}

void store_handle_list(struct fk_call *call)
{
	struct store *store = call->user;
	char *path;

	if (!store_check_rate(call, &store->reads))
		return;
	store->counters.lists++;
	path = path_of(call);
	reply_list(call, path, 0, false);
	g_free(path);
}

static void watch_end(struct store_watch *watch)
{
	g_ptr_array_remove_fast(watch->store->waiting, watch);
	if (watch->timer)
		fk_timer_cancel(watch->timer);
	watch->call->on_gone = NULL;
	fk_call_drop(watch->call);
	g_free(watch->path);
	g_free(watch);
}

static void on_watch_gone(struct fk_call *call, void *data)
{
	(void)call;
	watch_end(data);
}

static void watch_answer(struct store_watch *watch)
{
	reply_list(watch->call, watch->path, watch->after, true);
	watch_end(watch);
}

static void on_watch_timeout(void *data)
{
	struct store_watch *watch = data;

	watch->timer = NULL;
	watch_answer(watch);
}

static gboolean is_newer(void *key, void *value, void *data)
{
	struct store_watch *watch = data;
	const struct store_object *object = value;

	if (!g_str_has_prefix(key, watch->path) ||
	    object->version <= watch->after)
		return FALSE;
	watch->after = 0;
	return TRUE;
}

/* Whether an object has changed since the watch's revision. */
static bool has_newer_object(const struct store_watch *watch)
{
	struct store_watch probe = *watch;

	if (watch->store->revision <= watch->after)
		return false;
	probe.after = watch->after;
	g_tree_foreach(watch->store->objects, is_newer, &probe);
	return probe.after != watch->after;
}

static struct store_watch *watch_new(struct fk_call *call)
{
	struct store_watch *watch = g_new0(struct store_watch, 1);

	watch->call = fk_call_keep(call);
	watch->store = call->user;
	watch->path = path_of(call);
	watch->after = (uint64_t)fk_param_int(call, "after", 0);
	g_ptr_array_add(watch->store->waiting, watch);
	return watch;
}

void store_handle_watch(struct fk_call *call)
{
	struct store *store = call->user;
	struct store_watch *watch;
	int64_t timeout = fk_param_int(call, "timeout_ms", 30000);

	if (!store_check_rate(call, &store->reads))
		return;
	store->counters.watches++;
	watch = watch_new(call);
	if (has_newer_object(watch) || timeout <= 0) {
		watch_answer(watch);
		return;
	}
	watch->timer = fk_after(fk_loop(store->server), (uint64_t)timeout,
				on_watch_timeout, watch);
	call->on_gone = on_watch_gone;
	call->data = watch;
}

void store_notify(struct store *store, const char *path)
{
	GPtrArray *ready = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < store->waiting->len; i++) {
		struct store_watch *watch = store->waiting->pdata[i];

		if (g_str_has_prefix(path, watch->path))
			g_ptr_array_add(ready, watch);
	}
	for (i = 0; i < ready->len; i++)
		watch_answer(ready->pdata[i]);
	g_ptr_array_unref(ready);
}
