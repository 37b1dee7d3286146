#include <stdlib.h>
#include <string.h>

#include "review/standin/kit.h"

/* The platform's store, as PROTOCOL.md describes its calls. It is never
 * disturbed here. */

struct watch {
	struct kit_conn *conn;
	char *kind;
	int64_t since;
	bool is_done;
};

static struct kit_server *server;
static json_t *kinds;
static json_t *events;
static json_int_t revision = 100;
static GPtrArray *watches;

const char *kit_store_address(void);

static json_t *objects_of(const char *kind)
{
	json_t *objects = json_object_get(kinds, kind);

	if (!objects) {
		objects = json_object();
		json_object_set_new(kinds, kind, objects);
	}
	return objects;
}

json_t *kit_object(const char *kind, const char *name)
{
	return json_object_get(objects_of(kind), name);
}

static json_t *events_since(const char *kind, int64_t since)
{
	json_t *found = json_array();
	json_t *event;
	size_t i;

	json_array_foreach(events, i, event)
	{
		if (json_integer_value(json_object_get(event, "at")) > since &&
		    !strcmp(json_string_value(json_object_get(event, "kind")),
			    kind))
			json_array_append(found,
					  json_object_get(event, "event"));
	}
	return found;
}

static void end_watch(struct watch *watch)
{
	if (watch->is_done)
		return;
	watch->is_done = true;
	if (kit_conn_is_open(watch->conn))
		kit_answer_json(
			watch->conn, 200,
			json_pack("{s:o,s:I}", "events",
				  events_since(watch->kind, watch->since), "at",
				  revision));
	g_ptr_array_remove_fast(watches, watch);
}

static void on_watch_over(void *user)
{
	struct watch *watch = user;

	end_watch(watch);
	kit_conn_drop(watch->conn);
	g_free(watch->kind);
	g_free(watch);
}

static void answer_watches(const char *kind)
{
	guint i = watches->len;

	while (i-- > 0) {
		struct watch *watch = watches->pdata[i];

		if (!strcmp(watch->kind, kind))
			end_watch(watch);
	}
}

static void note_change(const char *kind, json_t *object, bool deleted)
{
	json_array_append_new(events,
			      json_pack("{s:I,s:s,s:{s:b,s:O}}", "at", revision,
					"kind", kind, "event", "deleted",
					(int)deleted, "object", object));
	answer_watches(kind);
}

void kit_put(const char *kind, const char *name, json_t *spec)
{
	json_t *known = kit_object(kind, name);
	json_t *object;

	/* A write that changes nothing is no change. */
	if (known && json_equal(json_object_get(known, "spec"), spec)) {
		json_decref(spec);
		return;
	}
	revision++;
	object = json_pack("{s:{s:s,s:I},s:o}", "metadata", "name", name,
			   "revision", revision, "spec", spec);
	json_object_set_new(objects_of(kind), name, object);
	note_change(kind, object, false);
}

void kit_delete(const char *kind, const char *name)
{
	json_t *object = json_incref(kit_object(kind, name));

	revision++;
	json_object_del(objects_of(kind), name);
	note_change(kind, object, true);
	json_decref(object);
}

static void answer_list(struct kit_conn *conn, const char *kind)
{
	json_t *items = json_array();
	const char *name;
	json_t *object;

	json_object_foreach(objects_of(kind), name, object)
		json_array_append(items, object);
	kit_answer_json(conn, 200,
			json_pack("{s:o,s:b,s:I}", "items", items, "has-more",
				  0, "at", revision));
}

static void start_watch(struct kit_conn *conn, const char *kind,
			const char *query)
{
	const char *wait = strstr(query, "wait-ms=");
	struct watch *watch = g_new0(struct watch, 1);
	json_t *found;

	watch->conn = kit_conn_keep(conn);
	watch->kind = g_strdup(kind);
	watch->since = strtoll(strstr(query, "watch=") + 6, NULL, 10);
	g_ptr_array_add(watches, watch);
	kit_after(wait ? strtoll(wait + 8, NULL, 10) : 0, on_watch_over, watch);
	found = events_since(kind, watch->since);
	if (json_array_size(found))
		end_watch(watch);
	json_decref(found);
}

static void write_object(struct kit_conn *conn, const char *kind,
			 const struct kit_message *request)
{
	json_t *body = json_loads(request->body->str, 0, NULL);
	json_t *metadata = json_object_get(body, "metadata");
	const char *name = json_string_value(json_object_get(metadata, "name"));
	json_t *known = name ? kit_object(kind, name) : NULL;
	json_t *expected = json_object_get(metadata, "revision");
	json_t *actual =
		json_object_get(json_object_get(known, "metadata"), "revision");
	bool is_post = !strcmp(request->method, "POST");

	if (!name) {
		kit_answer_json(conn, 400, json_object());
	} else if (is_post ? known != NULL
			   : known && expected &&
				     !json_equal(expected, actual)) {
		kit_answer_json(conn, 409, json_incref(known));
	} else if (!is_post && !known) {
		kit_answer_json(conn, 404, json_object());
	} else {
		kit_put(kind, name, json_incref(json_object_get(body, "spec")));
		kit_answer_json(conn, 200, json_incref(kit_object(kind, name)));
	}
	json_decref(body);
}

static void on_request(struct kit_conn *conn, struct kit_message *request,
		       void *user)
{
	char **parts = g_strsplit(request->path, "?", 2);
	char **path = g_strsplit(parts[0], "/", 4);
	const char *query = parts[1] ? parts[1] : "";
	const char *kind = path[1] && path[2] ? path[2] : "";
	const char *name = *kind ? path[3] : NULL;

	(void)user;
	if (strcmp(request->method, "GET") != 0)
		write_object(conn, kind, request);
	else if (strstr(query, "watch="))
		start_watch(conn, kind, query);
	else if (!name)
		answer_list(conn, kind);
	else if (kit_object(kind, name))
		kit_answer_json(conn, 200, json_incref(kit_object(kind, name)));
	else
		kit_answer_json(conn, 404, json_object());
	g_strfreev(path);
	g_strfreev(parts);
}

void kit_open_store(void)
{
	kinds = json_object();
	events = json_array();
	watches = g_ptr_array_new();
	server = kit_listen("127.0.0.1", on_request, NULL);
}

const char *kit_store_address(void)
{
	return kit_address(server);
}

json_int_t kit_born(void)
{
	static json_int_t offset;
	json_int_t now = g_get_real_time() / 1000;

	return now - 60000 + offset++;
}

void kit_put_worker(const char *id, const char *service, const char *address)
{
	kit_put("servers", id,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
			  service, "address", address, "zone", "svealand-a",
			  "version", "1", "slots", 6, "state", "ready",
			  "cold-left-ms", 0, "sequence", 1, "born",
			  kit_born()));
}

json_t *kit_route(const char *prefix, const char *type, const char *service,
		  int max_attempts, json_t *extra)
{
	json_t *route = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}", "name", prefix + 1,
		"host", KIT_HOST, "path-prefix", prefix, "type", type,
		"timeout-ms", 20000, "slo-ms", 500, "priority", 1, "service",
		service, "max-attempts", max_attempts, "public", 0);

	if (extra)
		json_object_update(route, extra);
	json_decref(extra);
	return route;
}

json_t *kit_config(int version, json_t *routes, json_t *services,
		   json_t *tenants)
{
	json_t *config =
		json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
			  version, "routes", routes, "services", services,
			  "limits", "max-header-bytes", 16384, "max-body-bytes",
			  KIT_MAX_BODY_BYTES, "header-timeout-ms", 3000,
			  "idle-timeout-ms", KIT_IDLE_TIMEOUT_MS);

	if (tenants)
		json_object_set_new(config, "tenants", tenants);
	return config;
}
