#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "stand_in.h"

#define POLL_MS 10
/* Starts a JSON string that stands for raw bytes, encoded as base64. */
#define RAW_PREFIX "raw:"

struct held_watch {
	struct wire_conn *conn;
	uint64_t serial;
	char *kind;
	int64_t since;
	clk_ms until;
};

static void held_watch_free(gpointer data)
{
	g_free(((struct held_watch *)data)->kind);
	g_free(data);
}

static clk_ms now_ms(const struct platform_world *world)
{
	return (clk_ms)uv_now(&world->wire.loop);
}

/* Replaces the strings that stand for raw bytes by these bytes. */
static char *insert_raw_bytes(const char *text)
{
	GString *out = g_string_new(NULL);
	const char *start;

	while ((start = strstr(text, "\"" RAW_PREFIX)) != NULL) {
		const char *code = start + strlen("\"" RAW_PREFIX);
		const char *end = strchr(code, '"');
		char *copy = g_strndup(code, (gsize)(end - code));
		gsize len;
		guchar *bytes = g_base64_decode(copy, &len);

		g_string_append_len(out, text, start - text);
		g_string_append_len(out, (const char *)bytes, (gssize)len);
		g_free(bytes);
		g_free(copy);
		text = end + 1;
	}
	g_string_append(out, text);
	return g_string_free(out, FALSE);
}

static answer_writer store_writer = wire_answer;

void world_set_store_writer(answer_writer writer)
{
	store_writer = writer;
}

static void answer_json(struct wire_conn *conn, int status, json_t *body)
{
	char *dumped = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
	char *text = insert_raw_bytes(dumped);

	store_writer(conn, status, "Content-Type: application/json\r\n", text);
	free(dumped);
	g_free(text);
	json_decref(body);
}

/* Store */

static json_t *events_since(struct platform_world *world, const char *kind,
			    int64_t since)
{
	json_t *found = json_array();
	json_t *event;
	size_t i;

	json_array_foreach(world->events, i, event)
	{
		if (json_integer_value(json_object_get(event, "at")) > since &&
		    !strcmp(json_string_value(json_object_get(event, "kind")),
			    kind))
			json_array_append(found,
					  json_object_get(event, "event"));
	}
	return found;
}

static void answer_events(struct platform_world *world, struct wire_conn *conn,
			  json_t *events)
{
	answer_json(conn, 200,
		    json_pack("{s:o,s:I}", "events", events, "at",
			      (json_int_t)world->revision));
}

static void on_poll(uv_timer_t *timer)
{
	struct platform_world *world = timer->data;
	guint i = world->held_watches->len;

	if (world->store_mode == STORE_SILENT)
		return;
	while (i-- > 0) {
		struct held_watch *held = world->held_watches->pdata[i];
		json_t *events = events_since(world, held->kind, held->since);
		bool due = json_array_size(events) ||
			   now_ms(world) >= held->until ||
			   world->store_mode == STORE_BUSY;

		if (!wire_is_open(world->store, held->conn, held->serial)) {
			due = false;
			held->until = 0;
		}
		if (due && world->store_mode == STORE_BUSY)
			answer_json(held->conn, 503, json_object());
		else if (due)
			answer_events(world, held->conn, json_incref(events));
		json_decref(events);
		if (due || !held->until)
			g_ptr_array_remove_index(world->held_watches, i);
	}
}

static void record_event(struct platform_world *world, const char *kind,
			 json_t *object, bool deleted)
{
	json_array_append_new(world->events,
			      json_pack("{s:I,s:s,s:{s:b,s:o}}", "at",
					(json_int_t)world->revision, "kind",
					kind, "event", "deleted", (int)deleted,
					"object", json_deep_copy(object)));
}

static json_t *objects_of(struct platform_world *world, const char *kind)
{
	json_t *objects = json_object_get(world->objects, kind);

	if (!objects) {
		objects = json_object();
		json_object_set_new(world->objects, kind, objects);
	}
	return objects;
}

void world_put(struct platform_world *world, const char *kind, const char *name,
	       json_t *spec)
{
	json_t *object;

	world->revision++;
	object = json_pack("{s:{s:s,s:I},s:o}", "metadata", "name", name,
			   "revision", (json_int_t)world->revision, "spec",
			   spec);
	json_object_set_new(objects_of(world, kind), name, object);
	record_event(world, kind, object, false);
}

void world_put_raw(struct platform_world *world, const char *kind,
		   const char *name, const char *object)
{
	char *code = g_base64_encode((const guchar *)object, strlen(object));
	char *text = g_strconcat(RAW_PREFIX, code, NULL);
	json_t *stored = json_string(text);

	world->revision++;
	json_object_set(objects_of(world, kind), name, stored);
	record_event(world, kind, stored, false);
	json_decref(stored);
	g_free(text);
	g_free(code);
}

void world_delete(struct platform_world *world, const char *kind,
		  const char *name)
{
	json_t *object =
		json_incref(json_object_get(objects_of(world, kind), name));

	world->revision++;
	json_object_del(objects_of(world, kind), name);
	record_event(world, kind, object, true);
	json_decref(object);
}

/* The unescaped name after which the page starts, or NULL. */
static char *page_start(const char *query)
{
	const char *after = strstr(query, "after=");

	if (!after)
		return NULL;
	after += strlen("after=");
	return g_uri_unescape_segment(after, after + strcspn(after, "&"), NULL);
}

static void answer_list(struct platform_world *world, struct wire_conn *conn,
			const char *kind, const char *query)
{
	char *after = page_start(query);
	bool is_on_page = !after;
	bool has_more = false;
	json_t *items = json_array();
	json_t *object;
	const char *name;

	json_object_foreach(objects_of(world, kind), name, object)
	{
		if (world->page_size &&
		    json_array_size(items) == world->page_size) {
			has_more = true;
			break;
		}
		if (is_on_page)
			json_array_append(items, object);
		else if (!strcmp(name, after))
			is_on_page = true;
	}
	g_free(after);
	answer_json(conn, 200,
		    json_pack("{s:o,s:b,s:I}", "items", items, "has-more",
			      (int)has_more, "at",
			      (json_int_t)world->revision));
}

static void hold_watch(struct platform_world *world, struct wire_conn *conn,
		       const char *kind, const char *query)
{
	struct held_watch *held = g_new0(struct held_watch, 1);
	const char *wait = strstr(query, "wait-ms=");

	held->conn = conn;
	held->serial = wire_serial(conn);
	held->kind = g_strdup(kind);
	held->since = strtoll(strstr(query, "watch=") + 6, NULL, 10);
	held->until =
		now_ms(world) + 1 + (wait ? strtoll(wait + 8, NULL, 10) : 0);
	g_ptr_array_add(world->held_watches, held);
}

static void write_object(struct platform_world *world, struct wire_conn *conn,
			 const char *kind, const char *body, bool create)
{
	json_t *request = json_loads(body, 0, NULL);
	json_t *metadata = json_object_get(request, "metadata");
	const char *name = json_string_value(json_object_get(metadata, "name"));
	json_t *known = json_object_get(objects_of(world, kind), name);
	json_t *revision = json_object_get(metadata, "revision");
	json_t *known_revision =
		json_object_get(json_object_get(known, "metadata"), "revision");
	bool conflict =
		create ? known != NULL
		       : revision && !json_equal(revision, known_revision);

	if (conflict) {
		answer_json(conn, 409, json_incref(known));
	} else {
		world_put(world, kind, name,
			  json_incref(json_object_get(request, "spec")));
		answer_json(conn, 200,
			    json_incref(json_object_get(objects_of(world, kind),
							name)));
	}
	json_decref(request);
}

static void answer_store(struct platform_world *world, struct wire_conn *conn,
			 const char *request)
{
	char **words = g_strsplit_set(request, " \r", 3);
	char **parts = g_strsplit(words[1], "?", 2);
	char **path = g_strsplit(parts[0], "/", 4);
	const char *query = parts[1] ? parts[1] : "";
	const char *body = strstr(request, "\r\n\r\n") + 4;
	const char *name = path[2] ? path[3] : NULL;

	if (strcmp(words[0], "GET") != 0)
		write_object(world, conn, path[2], body,
			     !strcmp(words[0], "POST"));
	else if (strstr(query, "watch=") && world->store_mode == STORE_GONE)
		answer_json(conn, 410, json_object());
	else if (strstr(query, "watch="))
		hold_watch(world, conn, path[2], query);
	else if (!name)
		answer_list(world, conn, path[2], query);
	else if (json_object_get(objects_of(world, path[2]), name))
		answer_json(conn, 200,
			    json_incref(json_object_get(
				    objects_of(world, path[2]), name)));
	else
		answer_json(conn, 404, json_object());
	g_strfreev(words);
	g_strfreev(parts);
	g_strfreev(path);
}

static void on_store_request(struct wire_conn *conn, const char *request,
			     void *user)
{
	struct platform_world *world = user;

	world->store_calls++;
	if (world->store_mode == STORE_SILENT)
		return;
	if (world->store_mode == STORE_BUSY)
		answer_json(conn, 503, json_object());
	else
		answer_store(world, conn, request);
}

/* Workers */

static const char *extra_fields(const struct worker *worker)
{
	return worker->fields ? worker->fields : "";
}

static void answer_control(struct worker *worker, struct wire_conn *conn,
			   int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	wire_answer(conn, status, extra_fields(worker), text);
	free(text);
	json_decref(body);
}

static void answer_report(struct worker *worker, struct wire_conn *conn)
{
	json_t *report =
		json_pack("{s:I,s:b,s:i,s:I,s:[]}", "sequence",
			  (json_int_t)worker->orders->len, "busy", 0, "pace", 1,
			  "born", (json_int_t)worker->born, "stalled");

	if (worker->stalled)
		json_array_append_new(json_object_get(report, "stalled"),
				      json_pack("{s:s,s:s}", "id", "x",
						"address", worker->stalled));
	answer_control(worker, conn, 200, report);
}

void worker_resume_stream(struct worker *worker)
{
	if (wire_is_open(worker->server, worker->stream, worker->stream_serial))
		wire_send(worker->stream,
			  "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n");
}

/* A placement is stored at once; a reroute completes the stalled stream. */
static void handle_order(struct worker *worker, struct wire_conn *conn,
			 const char *body)
{
	json_t *order = json_loads(body, 0, NULL);
	const char *operation =
		json_string_value(json_object_get(order, "operation"));

	g_ptr_array_add(worker->orders, g_strdup(body));
	if (worker->ignored_orders) {
		worker->ignored_orders--;
		json_decref(order);
		return;
	}
	answer_control(worker, conn, worker->order_status, json_object());
	if (worker->order_status == 202 && !strcmp(operation, "place")) {
		json_object_set_new(worker->entry, "layers",
				    json_pack("{s:O,s:O}", "from",
					      json_object_get(order, "from"),
					      "to",
					      json_object_get(order, "to")));
		world_put(worker->world, "servers", worker->id,
			  json_deep_copy(worker->entry));
	}
	if (worker->order_status == 202 && !strcmp(operation, "repath") &&
	    worker->stream)
		worker_resume_stream(worker);
	json_decref(order);
}

static char *signed_head(const struct worker *worker, const char *request,
			 const char *rest)
{
	char *id = wire_header(request, "X-Wagtailferry-Attempt-Id");
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "X-Wagtailferry-Attempt-Id: %s\r\n"
				     "X-Wagtailferry-Server-Stamp: sig\r\n%s%s",
				     id, extra_fields(worker), rest);

	g_free(id);
	return head;
}

/* Sends a chunk of an answer that does not end with it. */
static void send_oversize(struct wire_conn *conn)
{
	char *filler = g_strnfill(OVERSIZE_BYTES, 'x');
	char *chunk = g_strdup_printf("%x\r\n%s\r\n", OVERSIZE_BYTES, filler);

	wire_send(conn, chunk);
	g_free(chunk);
	g_free(filler);
}

static void send_events(struct worker *worker, struct wire_conn *conn,
			const char *last)
{
	if (!last)
		wire_send(conn, "11\r\nid: 1\ndata: one\n\n\r\n");
	if (worker->mode == WORKER_ENDLESS) {
		send_oversize(conn);
	} else if (worker->mode == WORKER_BREAKS_STREAM) {
		wire_send(conn, "8\r\nid: 2\nda\r\n");
		wire_hang_up(conn);
	} else if (worker->mode == WORKER_STALLS_STREAM) {
		worker->stream = conn;
		worker->stream_serial = wire_serial(conn);
	} else {
		wire_send(conn, "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n");
	}
}

static bool is_deadly(const struct worker *worker, const char *request)
{
	char *parts = wire_header(request, "X-Wagtailferry-Prompt-Prefix");
	bool found = parts && worker->world->deadly_part &&
		     strstr(parts, worker->world->deadly_part);

	g_free(parts);
	return found;
}

void worker_crash(struct worker *worker, struct wire_conn *conn)
{
	worker->crashes++;
	worker->born += 1000;
	wire_hang_up(conn);
	json_object_set_new(worker->entry, "born",
			    json_integer((json_int_t)worker->born));
	world_put(worker->world, "servers", worker->id,
		  json_deep_copy(worker->entry));
}

static void send_deadly_events(const struct worker *worker,
			       struct wire_conn *conn, const char *last)
{
	unsigned long id = last ? strtoul(last, NULL, 10) : 0;
	unsigned i;

	for (i = 0; i < worker->world->deadly_events; i++) {
		char *event = g_strdup_printf("id: %lu\ndata: x\n\n", ++id);
		char *chunk =
			g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		wire_send(conn, worker->world->deadly_is_raw ? event : chunk);
		g_free(chunk);
		g_free(event);
	}
	if (worker->world->deadly_is_raw)
		wire_send(conn, "id: 9\nda");
}

static void send_stream(struct worker *worker, struct wire_conn *conn,
			const char *request)
{
	char *last = wire_header(request, "Last-Event-Id");
	bool kills = is_deadly(worker, request);
	char *head =
		signed_head(worker, request,
			    kills && worker->world->deadly_is_raw
				    ? "\r\n"
				    : "Transfer-Encoding: chunked\r\n\r\n");

	wire_send(conn, head);
	if (kills) {
		worker->world->deadly_requests++;
		send_deadly_events(worker, conn, last);
		worker_crash(worker, conn);
	} else if (worker->mode == WORKER_CUTS_STREAM) {
		wire_hang_up(conn);
	} else {
		send_events(worker, conn, last);
	}
	g_free(head);
	g_free(last);
}

/* Answers without a body of the service, with the id of the request. */
static void answer_status(const struct worker *worker, struct wire_conn *conn,
			  const char *request, int status, const char *fields,
			  const char *body)
{
	char *id = wire_header(request, "X-Wagtailferry-Attempt-Id");
	char *head = g_strdup_printf("X-Wagtailferry-Attempt-Id: %s\r\n%s%s",
				     id, fields, extra_fields(worker));

	wire_answer(conn, status, head, body);
	g_free(head);
	g_free(id);
}

static void answer_request(struct worker *worker, struct wire_conn *conn,
			   const char *request)
{
	char *text;

	switch (worker->mode) {
	case WORKER_ANSWERS:
		text = signed_head(worker, request,
				   "Content-Length: 4\r\n\r\nbody");
		wire_send(conn, text);
		g_free(text);
		break;
	case WORKER_BREAKS:
		text = signed_head(worker, request,
				   "Content-Length: 9\r\n\r\nbody");
		wire_send(conn, text);
		wire_hang_up(conn);
		g_free(text);
		break;
	case WORKER_ENDLESS:
		text = signed_head(worker, request,
				   "Transfer-Encoding: chunked\r\n\r\n");
		wire_send(conn, text);
		send_oversize(conn);
		g_free(text);
		break;
	case WORKER_FAILS:
		answer_status(worker, conn, request, 500,
			      "X-Wagtailferry-Server-Stamp: sig\r\n", "failed");
		break;
	case WORKER_REFUSES:
		answer_status(worker, conn, request, 503,
			      "X-Wagtailferry-Not-Executed: 1\r\n", "");
		break;
	case WORKER_REFUSES_WITHOUT_PROOF:
		answer_status(worker, conn, request, 503,
			      "X-Wagtailferry-Server-Stamp: sig\r\n", "");
		break;
	case WORKER_UNSIGNED:
		answer_status(worker, conn, request, 200, "", "body");
		break;
	case WORKER_CLOSES:
		wire_hang_up(conn);
		break;
	default:
		break;
	}
}

static bool is_stream(const char *request)
{
	return strstr(request, " /stream/") || strstr(request, " /lines/") ||
	       strstr(request, " /final/") || strstr(request, " /last/");
}

static void on_worker_request(struct wire_conn *conn, const char *request,
			      void *user);

struct late_request {
	struct wire_conn *conn;
	uint64_t serial;
	char *text;
};

static void late_request_free(gpointer data)
{
	g_free(((struct late_request *)data)->text);
	g_free(data);
}

static void keep_late(struct worker *worker, struct wire_conn *conn,
		      const char *request)
{
	struct late_request *late = g_new0(struct late_request, 1);

	late->conn = conn;
	late->serial = wire_serial(conn);
	late->text = g_strdup(request);
	g_ptr_array_add(worker->late_requests, late);
}

void worker_release_late(struct worker *worker)
{
	guint i;

	worker->is_late = false;
	worker->mode = WORKER_ANSWERS;
	for (i = 0; i < worker->late_requests->len; i++) {
		struct late_request *late = worker->late_requests->pdata[i];

		if (wire_is_open(worker->server, late->conn, late->serial))
			on_worker_request(late->conn, late->text, worker);
	}
	g_ptr_array_set_size(worker->late_requests, 0);
}

static void on_worker_request(struct wire_conn *conn, const char *request,
			      void *user)
{
	struct worker *worker = user;
	bool is_report = g_str_has_prefix(request, "GET /report");
	bool is_order = g_str_has_prefix(request, "POST /order");

	if (worker->is_late) {
		keep_late(worker, conn, request);
		return;
	}
	if (worker->is_unresponsive)
		return;
	if (!is_report && !is_order) {
		worker->requests++;
		g_string_assign(worker->last_request, request);
	}
	if (worker->script && worker->script(worker, conn, request))
		return;
	if (is_report) {
		if (worker->closes_on_report)
			wire_hang_up(conn);
		else
			answer_report(worker, conn);
		return;
	}
	if (is_order) {
		handle_order(worker, conn, strstr(request, "\r\n\r\n") + 4);
		return;
	}
	if (is_stream(request) && worker->mode != WORKER_SILENT &&
	    worker->mode != WORKER_REFUSES)
		send_stream(worker, conn, request);
	else
		answer_request(worker, conn, request);
}

struct worker *world_worker(struct platform_world *world, const char *id,
			    const char *service, unsigned first, unsigned end)
{
	struct worker *worker = g_new0(struct worker, 1);

	worker->world = world;
	worker->id = g_strdup(id);
	worker->last_request = g_string_new(NULL);
	worker->orders = g_ptr_array_new_with_free_func(g_free);
	worker->late_requests =
		g_ptr_array_new_with_free_func(late_request_free);
	worker->order_status = 202;
	worker->born = 1000;
	worker->server =
		wire_server_new(&world->wire, on_worker_request, worker);
	worker->entry =
		json_pack("{s:s,s:s,s:s,s:i,s:s,s:I,s:s}", "service", service,
			  "address", wire_server_address(worker->server),
			  "zone", "z", "slots", 6, "state", "ready", "born",
			  (json_int_t)worker->born, "type", "large");
	if (first < end)
		json_object_set_new(worker->entry, "layers",
				    json_pack("{s:i,s:i}", "from", (int)first,
					      "to", (int)end));
	world_put(world, "servers", id, json_deep_copy(worker->entry));
	g_ptr_array_add(world->workers, worker);
	return worker;
}

/* Configuration */

json_t *world_route(const char *prefix, const char *type, const char *service,
		    int attempts, bool is_public)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:b,s:b}", "name",
			 prefix, "host", "h", "path-prefix", prefix, "type",
			 type, "service", service, "max-attempts", attempts,
			 "timeout-ms", 3000, "slo-ms", 1000, "public",
			 (int)is_public, "resumable",
			 !strcmp(type, "streaming"));
}

/* A route of streams that may not be resumed. */
static json_t *once(const char *prefix, const char *service)
{
	json_t *spec = world_route(prefix, "streaming", service, 2, false);

	json_object_set_new(spec, "resumable", json_false());
	return spec;
}

json_t *world_config(int version)
{
	json_t *engine = json_pack(
		"{s:i,s:f,s:i,s:i,s:f,s:[{s:s,s:f}],s:{s:i,s:i},"
		"s:[{s:s,s:f,s:f,s:f}]}",
		"layers", 8, "layer-mb", 1000.0, "kv-bytes", 80000, "slots",
		100, "step_ms", 1.0, "models", "name", "m", "load-s", 1.0,
		"usual", "prompt", 100, "answer", 100, "kinds", "name", "large",
		"size-mb", 6000.0, "pace", 1.0, "read-factor", 1.0);

	return json_pack(
		"{s:i,s:[o,o,o,o,o,o,o],s:[{s:s,s:i},{s:s,s:i,s:o}],"
		"s:[{s:s,s:[s,s]}]}",
		"version", version, "routes",
		world_route("/read/", "idempotent", "plain", 2, false),
		world_route("/once/", "non_idempotent", "plain", 2, false),
		world_route("/open/", "idempotent", "plain", 2, true),
		world_route("/stream/", "streaming", "model", 2, false),
		world_route("/lines/", "streaming", "plain", 2, false),
		once("/final/", "model"), once("/last/", "plain"), "services",
		"name", "plain", "max-conns", 100, "name", "model", "max-conns",
		100, "engine", engine, "tenants", "name", "org", "api-keys",
		"key1", "key2");
}

json_t *world_config_with_keys(int version, json_t *keys)
{
	json_t *config = world_config(version);
	json_t *org = json_array_get(json_object_get(config, "tenants"), 0);

	json_object_set_new(org, "api-keys", keys);
	return config;
}

/* Edge */

static void append_log_line(void *user, const char *line)
{
	g_string_append_printf(user, "%s\n", line);
}

static void on_drained(void *user)
{
	((struct platform_world *)user)->is_drained = true;
}

void world_open(struct platform_world *world)
{
	memset(world, 0, sizeof(*world));
	wire_open(&world->wire);
	world->revision = 10;
	world->objects = json_object();
	world->events = json_array();
	world->held_watches = g_ptr_array_new_with_free_func(held_watch_free);
	world->workers = g_ptr_array_new();
	world->store = wire_server_new(&world->wire, on_store_request, world);
	world->counters = ctr_new();
	world->log_text = g_string_new(NULL);
	world->log = log_new(append_log_line, world->log_text);
	uv_timer_init(&world->wire.loop, &world->poll_timer);
	world->poll_timer.data = world;
	uv_timer_start(&world->poll_timer, on_poll, POLL_MS, POLL_MS);
}

void world_start_edge(struct platform_world *world)
{
	struct edg_config config = {
		.loop = &world->wire.loop,
		.fields = &ptf_fields,
		.counters = world->counters,
		.log = world->log,
		.done = on_drained,
		.user = world,
	};
	char *text;
	GError *error = NULL;

	world->address = wire_reserve_address(&world->wire);
	world->ready_address = wire_reserve_address(&world->wire);
	text = g_strdup_printf(
		"{\"instance\":\"one\",\"data_center\":\"z\","
		"\"caller_address\":\"%s\",\"ready_address\":\"%s\","
		"\"peer_address\":\"127.0.0.1:0\",\"store_address\":\"%s\","
		"\"key_removal_ms\":3000,\"drain_limit_ms\":4000,\"seed\":7,"
		"\"retry_slack\":1000,\"max_answer_bytes\":100000,"
		"\"max_event_bytes\":50000}",
		world->address, world->ready_address,
		wire_server_address(world->store));
	world->settings = sch_edge_settings_parse(text, strlen(text), &error);
	ck_assert_msg(world->settings != NULL, "%s",
		      error ? error->message : "");
	g_free(text);
	world->platform = ptf_new(world->settings->store_address);
	config.settings = world->settings;
	config.platform = ptf_base(world->platform);
	world->edge = edg_new(&config, &error);
	ck_assert_msg(world->edge != NULL, "%s", error ? error->message : "");
	ptf_start(world->platform, &world->wire.loop, world->edge,
		  world->counters);
}

bool world_is_ready(void *user)
{
	struct platform_world *world = user;

	return ctr_get(world->counters, "wf_edge_config_version") > 0 &&
	       flt_targets(edg_fleet(world->edge))->len > 0;
}

void world_start_ready_edge(struct platform_world *world)
{
	world_start_edge(world);
	wire_run_until(&world->wire, world_is_ready, world);
}

void world_open_plain(struct platform_world *world)
{
	world_open(world);
	world_put(world, "config", "main", world_config(1));
	world_worker(world, "p1", "plain", 0, 0);
	world_worker(world, "p2", "plain", 0, 0);
	world_start_ready_edge(world);
}

void world_open_engines(struct platform_world *world)
{
	world_open(world);
	world_put(world, "config", "main", world_config(1));
	world_worker(world, "e1", "model", 0, 4);
	world_worker(world, "e2", "model", 0, 4);
	world_worker(world, "e3", "model", 4, 8);
	world_worker(world, "e4", "model", 4, 8);
	world_start_ready_edge(world);
}

unsigned world_total_requests(struct platform_world *world)
{
	unsigned sum = 0;
	guint i;

	for (i = 0; i < world->workers->len; i++)
		sum += ((struct worker *)world->workers->pdata[i])->requests;
	return sum;
}

void world_set_modes(struct platform_world *world, enum worker_mode mode)
{
	guint i;

	for (i = 0; i < world->workers->len; i++)
		((struct worker *)world->workers->pdata[i])->mode = mode;
}

bool world_holds_all_layers(void *user)
{
	struct platform_world *world = user;
	const GPtrArray *targets = flt_targets(edg_fleet(world->edge));
	unsigned held = 0;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];

		held += target->holds.end - target->holds.first;
	}
	return held >= 8;
}

struct span {
	struct platform_world *world;
	clk_ms end;
};

static bool is_over(void *user)
{
	struct span *span = user;

	return now_ms(span->world) >= span->end;
}

void world_run(struct platform_world *world, clk_ms length)
{
	struct span span = {world, now_ms(world) + length};

	wire_run_until(&world->wire, is_over, &span);
}

struct wire_client *world_request(struct platform_world *world,
				  const char *method, const char *path,
				  const char *extra, const char *body)
{
	static unsigned next_id;
	struct wire_client *client =
		wire_client_new(&world->wire, world->address);
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h\r\n"
				     "X-Wagtailferry-Attempt-Id: a%u\r\n"
				     "%sContent-Length: %zu\r\n\r\n%s",
				     method, path, ++next_id, extra,
				     strlen(body), body);

	wire_client_send(client, text);
	g_free(text);
	return client;
}

static void worker_free(struct worker *worker)
{
	wire_server_drop(worker->server);
	g_string_free(worker->last_request, TRUE);
	g_ptr_array_unref(worker->orders);
	g_ptr_array_unref(worker->late_requests);
	json_decref(worker->entry);
	g_free(worker->id);
	g_free(worker);
}

void world_close(struct platform_world *world)
{
	guint i;

	if (world->edge) {
		ptf_stop(world->platform);
		edg_drop(world->edge);
	}
	uv_close((uv_handle_t *)&world->poll_timer, NULL);
	wire_server_drop(world->store);
	for (i = 0; i < world->workers->len; i++)
		worker_free(world->workers->pdata[i]);
	wire_close(&world->wire);
	g_ptr_array_unref(world->workers);
	g_ptr_array_unref(world->held_watches);
	json_decref(world->objects);
	json_decref(world->events);
	sch_edge_settings_free(world->settings);
	log_drop(world->log);
	g_string_free(world->log_text, TRUE);
	ctr_drop(world->counters);
	g_free(world->address);
	g_free(world->ready_address);
}
