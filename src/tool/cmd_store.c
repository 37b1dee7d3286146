#include <string.h>

#include "cmd.h"

struct cmd_store {
	struct cmd_http *http;
	char *address;
	char *transport_error; /* of the last request without an answer */
};

struct cmd_store *cmd_store_new(const struct cmd_env *env)
{
	const char *address = env->store;
	struct cmd_store *store;

	if (!address)
		address = g_getenv("WAGTAILFERRY_STORE");
	if (!address || !*address) {
		cmd_print_error(env, ERR_BAD_REQUEST,
				"no store address: use --store or "
				"WAGTAILFERRY_STORE");
		return NULL;
	}
	store = g_new0(struct cmd_store, 1);
	store->http = cmd_http_new(env->timeout_ms);
	store->address = g_strdup(address);
	return store;
}

void cmd_store_drop(struct cmd_store *store)
{
	if (!store)
		return;
	cmd_http_drop(store->http);
	g_free(store->address);
	g_free(store->transport_error);
	g_free(store);
}

/* Builds the URL for a prefix "kind/name": /v1/AREA/KIND?prefix=NAME. */
static char *list_url(const struct cmd_store *store, const char *area,
		      const char *prefix)
{
	char **parts = g_strsplit(prefix, "/", 2);
	char *url =
		g_strdup_printf("http://%s/v1/%s/%s?prefix=%s", store->address,
				area, parts[0], parts[1] ? parts[1] : "");

	g_strfreev(parts);
	return url;
}

static enum wf_store_result
result_of_response(const struct cmd_response *response, bool is_write)
{
	switch (response->status) {
	case 200:
		return WF_STORE_OK;
	case 404:
		return WF_STORE_NOT_FOUND;
	case 412:
		return WF_STORE_CONFLICT;
	case 429:
	case 503:
		return WF_STORE_UNAVAILABLE;
	default:
		break;
	}
	if (response->status >= 400 && response->status < 500)
		return WF_STORE_REFUSED;
	if (is_write && response->maybe_sent)
		return WF_STORE_UNKNOWN;
	return WF_STORE_UNAVAILABLE;
}

static void send_store_request(struct cmd_store *store,
			       const struct wf_action *action,
			       struct cmd_response *response)
{
	bool list = action->type == WF_ACT_STORE_LIST;
	const char *method = "GET";
	char *condition = NULL;
	char *url;

	if (list)
		url = list_url(store, "objects", action->name);
	else
		url = g_strdup_printf("http://%s/v1/objects/%s", store->address,
				      action->name);
	if (action->type == WF_ACT_STORE_PUT)
		method = "PUT";
	if (action->type == WF_ACT_STORE_DELETE)
		method = "DELETE";
	if (*method != 'G')
		condition =
			action->version
				? g_strdup_printf(
					  "If-Match: \"%" G_GUINT64_FORMAT "\"",
					  action->version)
				: g_strdup("If-None-Match: *");
	cmd_http_request(store->http, method, url, condition, action->body, 0,
			 response);
	g_free(store->transport_error);
	store->transport_error = g_strdup(response->transport_error);
	g_free(condition);
	g_free(url);
}

/* Parses a list of objects; a malformed one counts as no answer. */
static void read_list(const struct cmd_response *response,
		      struct wf_store_reply *reply)
{
	json_t *root = json_loadb((const char *)response->body->data,
				  response->body->len, 0, NULL);
	json_t *objects = json_object_get(root, "objects");
	size_t n = json_array_size(objects);
	struct wf_store_entry *entries = g_new0(struct wf_store_entry, n);
	size_t i;

	if (!json_is_array(objects))
		reply->result = WF_STORE_UNAVAILABLE;
	reply->version =
		(uint64_t)json_integer_value(json_object_get(root, "revision"));
	reply->entries = entries;
	for (i = 0; i < n; i++) {
		json_t *object = json_array_get(objects, i);
		const char *name;

		name = json_string_value(json_object_get(object, "name"));
		if (!name || json_is_true(json_object_get(object, "deleted")))
			continue;
		entries[reply->n_entries].name = g_strdup(name);
		entries[reply->n_entries].version =
			(uint64_t)json_integer_value(
				json_object_get(object, "version"));
		reply->n_entries++;
	}
	json_decref(root);
}

void cmd_store_execute(struct cmd_store *store, const struct wf_action *action,
		       struct wf_store_reply *reply)
{
	bool is_write = action->type == WF_ACT_STORE_PUT ||
			action->type == WF_ACT_STORE_DELETE;
	struct cmd_response response;

	send_store_request(store, action, &response);
	memset(reply, 0, sizeof(*reply));
	reply->op = action->op;
	reply->result = result_of_response(&response, is_write);
	reply->version = response.etag;
	if (reply->result == WF_STORE_OK && action->type == WF_ACT_STORE_LIST)
		read_list(&response, reply);
	else if (reply->result == WF_STORE_OK && !is_write)
		reply->value =
			g_bytes_new(response.body->data, response.body->len);
	cmd_response_clear(&response);
}

void cmd_store_reply_clear(struct wf_store_reply *reply)
{
	size_t i;

	if (reply->value)
		g_bytes_unref(reply->value);
	for (i = 0; i < reply->n_entries; i++)
		g_free((char *)(uintptr_t)reply->entries[i].name);
	g_free((void *)(uintptr_t)reply->entries);
	memset(reply, 0, sizeof(*reply));
}

static void set_unavailable(const struct cmd_store *store, GError **error)
{
	g_set_error(error, ERR_DOMAIN, ERR_STORE_UNAVAILABLE,
		    "the store at %s does not answer: %s", store->address,
		    store->transport_error ? store->transport_error
					   : "it is unavailable");
}

GBytes *cmd_store_get(struct cmd_store *store, const char *name,
		      uint64_t *version, GError **error)
{
	struct wf_action action = {.type = WF_ACT_STORE_GET,
				   .name = (char *)(uintptr_t)name};
	struct wf_store_reply reply;
	GBytes *value = NULL;

	cmd_store_execute(store, &action, &reply);
	if (reply.result == WF_STORE_OK) {
		value = g_bytes_ref(reply.value);
		if (version)
			*version = reply.version;
	} else if (reply.result == WF_STORE_NOT_FOUND)
		g_set_error(error, ERR_DOMAIN, ERR_NOT_FOUND,
			    "the store has no %s", name);
	else
		set_unavailable(store, error);
	cmd_store_reply_clear(&reply);
	return value;
}

struct rul_manifest *cmd_store_get_manifest(struct cmd_store *store,
					    GError **error)
{
	GBytes *value = cmd_store_get(store, RUL_MANIFEST_NAME, NULL, error);
	struct rul_manifest *manifest;

	if (!value)
		return NULL;
	manifest = rul_manifest_decode(value, error);
	g_bytes_unref(value);
	return manifest;
}

static GBytes *get_chunk(void *user, const char *hash)
{
	return g_hash_table_lookup(user, hash);
}

/* Adds the chunks of a local text, so that they are not fetched. */
static void add_known_chunks(GHashTable *chunks, GBytes *text)
{
	gsize len;
	const char *data = g_bytes_get_data(text, &len);
	GArray *split_chunks = rul_chunk_split(data, len);
	guint i;

	for (i = 0; i < split_chunks->len; i++) {
		struct rul_chunk *chunk;

		chunk = &g_array_index(split_chunks, struct rul_chunk, i);
		g_hash_table_replace(chunks, g_strdup(chunk->hash),
				     g_bytes_new_from_bytes(text, chunk->offset,
							    chunk->len));
	}
	g_array_unref(split_chunks);
}

GBytes *cmd_store_get_text(struct cmd_store *store,
			   const struct rul_manifest *manifest, GBytes *known,
			   GError **error)
{
	GHashTable *chunks = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	GPtrArray *missing;
	GBytes *text = NULL;
	bool ok = true;
	guint i;

	if (known)
		add_known_chunks(chunks, known);
	missing = rul_chunk_missing(manifest, get_chunk, chunks);
	for (i = 0; ok && i < missing->len; i++) {
		const struct rul_chunk *chunk = missing->pdata[i];
		char *name = g_strconcat(RUL_CHUNK_KIND "/", chunk->hash, NULL);
		GBytes *value = cmd_store_get(store, name, NULL, error);

		ok = value;
		if (ok)
			g_hash_table_replace(chunks, g_strdup(chunk->hash),
					     value);
		g_free(name);
	}
	if (ok)
		text = rul_chunk_join(manifest, get_chunk, chunks, error);
	g_ptr_array_unref(missing);
	g_hash_table_unref(chunks);
	return text;
}

uint64_t cmd_store_watch(struct cmd_store *store, const char *prefix,
			 uint64_t after, int timeout_ms)
{
	char *list = list_url(store, "watch", prefix);
	char *url =
		g_strdup_printf("%s&after=%" G_GUINT64_FORMAT "&timeout_ms=%d",
				list, after, timeout_ms);
	struct wf_store_reply reply = {0};
	struct cmd_response response;
	uint64_t position = 0;

	cmd_http_request(store->http, "GET", url, NULL, NULL, timeout_ms,
			 &response);
	reply.result = result_of_response(&response, false);
	if (reply.result == WF_STORE_OK)
		read_list(&response, &reply);
	if (reply.result == WF_STORE_OK)
		position =
			reply.n_entries ? MAX(reply.version, after + 1) : after;
	cmd_store_reply_clear(&reply);
	cmd_response_clear(&response);
	g_free(list);
	g_free(url);
	return position;
}

static int compare_numbers(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

/* Returns the numbers of the audit segments, highest first. */
static GArray *list_segments(struct cmd_store *store, GError **error)
{
	struct wf_action action = {.type = WF_ACT_STORE_LIST,
				   .name = (char *)RUL_AUDIT_KIND "/"};
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct wf_store_reply reply;
	size_t i;

	cmd_store_execute(store, &action, &reply);
	if (reply.result != WF_STORE_OK) {
		set_unavailable(store, error);
		g_array_unref(numbers);
		numbers = NULL;
	}
	for (i = 0; i < reply.n_entries; i++) {
		uint64_t number = rul_audit_number(reply.entries[i].name);

		if (number)
			g_array_append_val(numbers, number);
	}
	cmd_store_reply_clear(&reply);
	if (numbers)
		g_array_sort(numbers, compare_numbers);
	return numbers;
}

static void append_entries(const struct rul_audit_segment *segment,
			   size_t limit, bool rules_only, GPtrArray *entries)
{
	guint i;

	for (i = segment->entries->len; i-- > 0;) {
		struct rul_audit_entry *entry;

		entry = &g_array_index(segment->entries, struct rul_audit_entry,
				       i);
		if (limit && entries->len >= limit)
			return;
		if (!rules_only || entry->to_revision)
			g_ptr_array_add(entries, entry);
	}
}

GPtrArray *cmd_store_get_audit(struct cmd_store *store, size_t limit,
			       bool rules_only, GPtrArray *segments,
			       GError **error)
{
	GArray *numbers = list_segments(store, error);
	GPtrArray *entries = g_ptr_array_new();
	bool ok = numbers;
	guint i;

	for (i = 0; ok && i < numbers->len; i++) {
		char name[RUL_AUDIT_NAME_LEN];
		struct rul_audit_segment *segment = NULL;
		GBytes *value;

		if (limit && entries->len >= limit)
			break;
		rul_audit_name(g_array_index(numbers, uint64_t, i), name);
		value = cmd_store_get(store, name, NULL, error);
		if (value) {
			segment = rul_audit_decode(value, error);
			g_bytes_unref(value);
		}
		ok = segment;
		if (!ok)
			break;
		g_ptr_array_add(segments, segment);
		append_entries(segment, limit, rules_only, entries);
	}
	if (numbers)
		g_array_unref(numbers);
	if (ok)
		return entries;
	g_ptr_array_unref(entries);
	return NULL;
}
