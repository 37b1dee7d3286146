#include "store.h"

#include <stdlib.h>
#include <string.h>

static void object_free(void *data)
{
	struct store_object *object = data;

	g_free(object->path);
	if (object->value)
		g_bytes_unref(object->value);
	if (object->old_value)
		g_bytes_unref(object->old_value);
	g_free(object);
}

static int compare_paths(const void *a, const void *b, void *user)
{
	(void)user;
	return strcmp(a, b);
}

void store_init(struct store *store)
{
	store->objects =
		g_tree_new_full(compare_paths, NULL, NULL, object_free);
	store->waiting = g_ptr_array_new();
}

struct store_object *store_find(struct store *store, const char *path)
{
	return g_tree_lookup(store->objects, path);
}

uint64_t store_write(struct store *store, const char *path, GBytes *value)
{
	struct store_object *object = store_find(store, path);

	if (!object) {
		object = g_new0(struct store_object, 1);
		object->path = g_strdup(path);
		g_tree_insert(store->objects, object->path, object);
	}
	if (object->old_value)
		g_bytes_unref(object->old_value);
	object->old_value = object->value;
	object->old_version = object->version;
	object->value = value ? g_bytes_ref(value) : NULL;
	object->version = ++store->revision;
	if (value)
		store->counters.bytes_written += g_bytes_get_size(value);
	return object->version;
}

bool store_check_rate(struct fk_call *call, struct store_rate *rate)
{
	struct store *store = call->user;
	int64_t now = fk_now_us();

	if (rate->rate <= 0)
		return true;
	if (!rate->filled_us)
		rate->level = rate->rate;
	else
		rate->level += (double)(now - rate->filled_us) * rate->rate /
			       (double)G_USEC_PER_SEC;
	rate->level = CLAMP(rate->level, 0, MAX(rate->rate, 1));
	rate->filled_us = now;
	if (rate->level >= 1) {
		rate->level -= 1;
		return true;
	}
	store->counters.rate_limited++;
	fk_add_header(call, "retry-after", "1");
	fk_reply_error(call, 429, "rate_limited", "rate exceeded");
	return false;
}

/* The version in an entity tag; 0 if it is malformed. */
static uint64_t parse_etag(const char *text)
{
	char *end;
	uint64_t version;

	if (!text || text[0] != '"')
		return 0;
	version = g_ascii_strtoull(text + 1, &end, 10);
	return !strcmp(end, "\"") ? version : 0;
}

static void add_etag(struct fk_call *call, uint64_t version)
{
	char text[32];

	g_snprintf(text, sizeof(text), "\"%" PRIu64 "\"", version);
	fk_add_header(call, "etag", text);
}

static bool is_name(const char *text)
{
	size_t n = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				"abcdefghijklmnopqrstuvwxyz0123456789._-");

	return n > 0 && !text[n];
}

/* Whether the path after the route is "kind/name"; answers 400 if not. */
static bool check_path(struct fk_call *call)
{
	const char *slash = strchr(call->rest, '/');
	char *kind;
	bool good;

	kind = g_strndup(call->rest, slash ? (size_t)(slash - call->rest) : 0);
	good = slash && is_name(kind) && is_name(slash + 1);
	g_free(kind);
	if (!good)
		fk_reply_error(call, 400, "bad_request",
			       "the object path must be KIND/NAME");
	return good;
}

static void handle_get(struct fk_call *call)
{
	struct store *store = call->user;
	const struct store_object *object;
	GBytes *value;
	uint64_t version;
	size_t len;

	if (!strchr(call->rest, '/')) {
		store_handle_list(call);
		return;
	}
	if (!check_path(call) || !store_check_rate(call, &store->reads))
		return;
	store->counters.reads++;
	object = store_find(store, call->rest);
	value = object ? object->value : NULL;
	version = object ? object->version : 0;
	if (object && call->fault.kind == FK_FAULT_STALE_VERSION &&
	    object->old_version) {
		value = object->old_value;
		version = object->old_version;
	}
	if (!value) {
		fk_reply_error(call, 404, "not_found", "no such object");
		return;
	}
	add_etag(call, version);
	len = g_bytes_get_size(value);
	store->counters.bytes_read += len;
	fk_reply(call, 200, "application/octet-stream",
		 g_bytes_get_data(value, NULL), len);
}

/* Whether a write's If-Match and If-None-Match hold for the version stored. */
static bool condition_holds(struct fk_call *call, uint64_t present,
			    bool *has_condition)
{
	char *match = fk_header(call, "if-match");
	char *none_match = fk_header(call, "if-none-match");
	bool holds = true;

	*has_condition = match || (none_match && !strcmp(none_match, "*"));
	if (match)
		holds = present && parse_etag(match) == present;
	if (none_match)
		holds = holds && !present;
	g_free(match);
	g_free(none_match);
	return holds;
}

/* Answers 428 or 412 if the condition is missing or does not hold. */
static bool check_condition(struct fk_call *call,
			    const struct store_object *object)
{
	struct store *store = call->user;
	uint64_t present = object && object->value ? object->version : 0;
	bool has_condition;
	bool holds;

	if (call->fault.kind == FK_FAULT_STALE_VERSION && object)
		present = object->old_version;
	holds = condition_holds(call, present, &has_condition);
	if (!has_condition) {
		fk_reply_error(call, 428, "no_condition",
			       "a write needs If-Match or If-None-Match");
		return false;
	}
	store->counters.writes++;
	if (holds && call->fault.kind != FK_FAULT_STALE_VERSION)
		return true;
	store->counters.conflicts++;
	if (present)
		add_etag(call, present);
	fk_reply_error(call, 412, "conflict",
		       "the condition does not hold for the stored version");
	return false;
}

static void finish_write(struct fk_call *call, GBytes *value)
{
	struct store *store = call->user;
	uint64_t version = store_write(store, call->rest, value);

	if (value)
		add_etag(call, version);
	fk_reply_json(call, 200,
		      json_pack("{s:I}", "version", (json_int_t)version));
	store_notify(store, call->rest);
}

static void handle_put(struct fk_call *call)
{
	struct store *store = call->user;
	GBytes *value;

	if (!check_path(call) || !store_check_rate(call, &store->writes))
		return;
	if (call->body_len > STORE_VALUE_MAX) {
		fk_reply_error(call, 413, "too_large", "value above 1 MiB");
		return;
	}
	if (!check_condition(call, store_find(store, call->rest)))
		return;
	value = g_bytes_new(call->body, call->body_len);
	finish_write(call, value);
	g_bytes_unref(value);
}

static void handle_delete(struct fk_call *call)
{
	struct store *store = call->user;
	const struct store_object *object;

	if (!check_path(call) || !store_check_rate(call, &store->writes))
		return;
	object = store_find(store, call->rest);
	if (!object || !object->value) {
		fk_reply_error(call, 404, "not_found", "no such object");
		return;
	}
	if (check_condition(call, object))
		finish_write(call, NULL);
}

static void handle_counters(struct fk_call *call)
{
	const struct store *store = call->user;
	const struct store_counters *counters = &store->counters;

	fk_reply_json(
		call, 200,
		json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "writes",
			  (json_int_t)counters->writes, "conflicts",
			  (json_int_t)counters->conflicts, "reads",
			  (json_int_t)counters->reads, "lists",
			  (json_int_t)counters->lists, "watches",
			  (json_int_t)counters->watches, "waiting_watches",
			  (json_int_t)store->waiting->len, "rate_limited",
			  (json_int_t)counters->rate_limited, "bytes_written",
			  (json_int_t)counters->bytes_written, "bytes_read",
			  (json_int_t)counters->bytes_read, "revision",
			  (json_int_t)store->revision));
}

static void handle_rates(struct fk_call *call)
{
	struct store *store = call->user;
	json_t *json = fk_json_body(call);
	const json_t *writes = json_object_get(json, "writes");
	const json_t *reads = json_object_get(json, "reads");

	if (!json)
		return;
	if (json_is_number(writes))
		store->writes =
			(struct store_rate){.rate = json_number_value(writes)};
	if (json_is_number(reads))
		store->reads =
			(struct store_rate){.rate = json_number_value(reads)};
	json_decref(json);
	fk_reply_json(call, 200, json_object());
}

const struct fk_route store_routes[] = {
	{"GET", "/v1/objects/", handle_get},
	{"PUT", "/v1/objects/", handle_put},
	{"DELETE", "/v1/objects/", handle_delete},
	{"GET", "/v1/watch/", store_handle_watch},
	{"GET", "/admin/counters", handle_counters},
	{"POST", "/admin/rates", handle_rates},
	{NULL, NULL, NULL},
};
