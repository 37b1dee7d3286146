#include <stdlib.h>
#include <string.h>

#include "review/standin/engine.h"

#define FIRST_EVENT_MS 30
#define LOAD_MS 300
#define STALL_MS 3000
#define HEARTBEAT_MS 1200
#define POLL_MS 20

struct engine {
	struct kit_server *server;
	char *id;
	const struct engine_model *model;
	json_t *entry;
	int orders;
	int from;
	int to;
	bool is_dead;
	bool is_silent;
	unsigned running;
	unsigned made;
};

struct run {
	struct engine *head;
	struct kit_conn *conn;
	char *id;
	/* Of struct engine pointers. */
	GPtrArray *path;
	int next;
	bool has_head;
	int64_t stalled_since;
};

static GPtrArray *engines;

static json_t *held_layers(const struct engine *engine)
{
	return json_pack("{s:i,s:i,s:i}", "from", engine->from, "to",
			 engine->to, "version", 1);
}

static void publish(struct engine *engine)
{
	json_object_set_new(engine->entry, "sequence",
			    json_integer(engine->orders));
	if (engine->to > engine->from)
		json_object_set_new(engine->entry, "layers",
				    held_layers(engine));
	kit_put("servers", engine->id, json_deep_copy(engine->entry));
}

/* Runs */

static void end_run(struct run *run)
{
	run->head->running--;
	g_ptr_array_unref(run->path);
	kit_conn_drop(run->conn);
	g_free(run->id);
	g_free(run);
}

static bool is_stalled(const struct run *run)
{
	guint i;

	for (i = 0; i < run->path->len; i++) {
		const struct engine *engine = run->path->pdata[i];

		if (engine->is_silent || engine->is_dead)
			return true;
	}
	return false;
}

static struct engine *find_dead(const struct run *run)
{
	guint i;

	for (i = 0; i < run->path->len; i++) {
		struct engine *engine = run->path->pdata[i];

		if (engine->is_dead)
			return engine;
	}
	return NULL;
}

static void refuse(struct kit_conn *conn, const char *id, int status,
		   const char *at)
{
	char *fields = g_strdup_printf("X-Wagtailferry-Attempt-Id: %s\r\n"
				       "X-Wagtailferry-Not-Executed: 1\r\n"
				       "At-Server: %s\r\n",
				       id, at);

	kit_answer(conn, status, fields, "", 0);
	g_free(fields);
}

/* A path with a dead engine: refused if it has not begun, else cut off. */
static void give_up(struct run *run, const struct engine *dead)
{
	if (run->has_head)
		kit_conn_cut(run->conn);
	else
		refuse(run->conn, run->id, 503, kit_address(dead->server));
	end_run(run);
}

static void send_head(struct run *run)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "X-Wagtailferry-Attempt-Id: %s\r\n"
				     "X-Wagtailferry-Server-Stamp: %s.%u\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
				     run->id, run->head->id, ++run->head->made);

	kit_send_text(run->conn, text);
	g_free(text);
	run->has_head = true;
	run->head->model->on_run(run->head, run->id);
}

static void send_event(struct run *run)
{
	char *event = g_strdup_printf("id: %d\ndata: token %d\n\n", run->next,
				      run->next);
	char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	kit_send_text(run->conn, text);
	run->next++;
	g_free(text);
	g_free(event);
}

static void advance(void *user)
{
	struct run *run = user;
	const struct engine *dead;

	if (run->head->is_dead || !kit_conn_is_open(run->conn)) {
		end_run(run);
		return;
	}
	if (is_stalled(run)) {
		dead = find_dead(run);
		if (!run->stalled_since)
			run->stalled_since = kit_now();
		if (dead && !run->head->is_silent &&
		    kit_now() - run->stalled_since >= STALL_MS)
			give_up(run, dead);
		else
			kit_after(POLL_MS, advance, run);
		return;
	}
	run->stalled_since = 0;
	if (!run->has_head)
		send_head(run);
	if (run->next <= run->head->model->events)
		send_event(run);
	if (run->next <= run->head->model->events) {
		kit_after(run->head->model->event_ms, advance, run);
		return;
	}
	kit_send_text(run->conn, "0\r\n\r\n");
	end_run(run);
}

static struct engine *find_engine(const char *address)
{
	guint i;

	for (i = 0; i < engines->len; i++) {
		struct engine *engine = engines->pdata[i];

		if (!strcmp(kit_address(engine->server), address))
			return engine;
	}
	return NULL;
}

bool engine_holds(const struct engine *engine, int from, int to)
{
	return engine->from <= from && to <= engine->to;
}

/* Reads "IP:PORT=FROM-TO,...". Returns NULL, with the status and the address
 * at fault, if the request can't run on it. */
static GPtrArray *read_path(struct engine *head, const char *text, int *status,
			    char **at)
{
	GPtrArray *path = g_ptr_array_new();
	char *own = g_strdup_printf("%s=0-%d", kit_address(head->server),
				    head->model->layers);
	char **parts = g_strsplit(text ? text : own, ",", -1);
	unsigned i;

	*status = 0;
	for (i = 0; parts[i] && !*status; i++) {
		char **sides = g_strsplit(parts[i], "=", 2);
		struct engine *engine = find_engine(sides[0]);
		const char *dash = sides[1] ? strchr(sides[1], '-') : NULL;

		g_free(*at);
		*at = g_strdup(sides[0]);
		if (!dash || (!i && engine != head))
			*status = 400;
		else if (!engine || (!engine->is_dead &&
				     !engine_holds(engine, atoi(sides[1]),
						   atoi(dash + 1))))
			*status = 421;
		else
			g_ptr_array_add(path, engine);
		g_strfreev(sides);
	}
	g_strfreev(parts);
	g_free(own);
	if (!*status)
		return path;
	g_ptr_array_unref(path);
	return NULL;
}

static void start_run(struct engine *engine, struct kit_conn *conn,
		      struct kit_message *request)
{
	const char *id = kit_field(request, "x-wagtailferry-attempt-id");
	const char *expected =
		kit_field(request, "x-wagtailferry-expect-instance");
	const char *last = kit_field(request, "last-event-id");
	GPtrArray *path;
	char *at = NULL;
	int status;
	struct run *run;

	if (!id) {
		kit_answer(conn, 400, "X-Wagtailferry-Not-Executed: 1\r\n", "",
			   0);
		return;
	}
	if (expected && strcmp(expected, engine->id) != 0) {
		refuse(conn, id, 421, kit_address(engine->server));
		return;
	}
	path = read_path(engine, kit_field(request, "x-wagtailferry-hop-count"),
			 &status, &at);
	if (!path) {
		refuse(conn, id, status, at);
		g_free(at);
		return;
	}
	g_free(at);
	run = g_new0(struct run, 1);
	run->head = engine;
	run->conn = kit_conn_keep(conn);
	run->id = g_strdup(id);
	run->path = path;
	run->next = last ? atoi(last) + 1 : 1;
	engine->running++;
	kit_after(FIRST_EVENT_MS, advance, run);
}

/* Reports and orders */

static void answer_report(struct engine *engine, struct kit_conn *conn)
{
	json_t *report = json_pack(
		"{s:s,s:[{s:s,s:i,s:[]}],s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:[],"
		"s:O,s:O}",
		"phase", "colocated", "models", "name", ENGINE_MODEL, "version",
		1, "adapters", "busy", 0, "sequence", engine->orders, "queued",
		0, "running-count", (int)engine->running, "kv-used", 0,
		"kv-total", 8000000, "handles", 0, "pace", 1.0, "stalled",
		"type", json_object_get(engine->entry, "type"), "born",
		json_object_get(engine->entry, "born"));

	if (engine->to > engine->from)
		json_object_set_new(report, "layers", held_layers(engine));
	kit_answer_json(conn, 200, report);
}

static void on_loaded(void *user)
{
	struct engine *engine = user;

	if (!engine->is_dead)
		publish(engine);
}

/* There is no order to change the path of a request here: 404, as for a
 * request that has ended. */
static void take_order(struct engine *engine, struct kit_conn *conn,
		       struct kit_message *request)
{
	json_t *order = json_loads(request->body->str, 0, NULL);
	const char *operation =
		json_string_value(json_object_get(order, "operation"));
	json_t *expected = json_object_get(order, "expect");

	kit_record("%s is ordered: %s", engine->id, request->body->str);
	if (!operation || strcmp(operation, "place") != 0) {
		kit_answer_json(conn, 404, json_object());
	} else if (expected && json_integer_value(expected) != engine->orders) {
		kit_answer_json(conn, 409, json_object());
	} else {
		engine->orders++;
		engine->from =
			(int)json_integer_value(json_object_get(order, "from"));
		engine->to =
			(int)json_integer_value(json_object_get(order, "to"));
		kit_answer_json(conn, 202, json_object());
		kit_after(LOAD_MS, on_loaded, engine);
	}
	json_decref(order);
}

static void on_request(struct kit_conn *conn, struct kit_message *request,
		       void *user)
{
	if (g_str_has_prefix(request->path, "/report"))
		answer_report(user, conn);
	else if (g_str_has_prefix(request->path, "/order"))
		take_order(user, conn, request);
	else if (g_str_has_prefix(request->path, "/healthz"))
		kit_answer(conn, 200, "", "", 0);
	else
		start_run(user, conn, request);
}

struct engine *engine_open(const char *id, const char *service,
			   const char *type, const struct engine_model *model)
{
	struct engine *engine = g_new0(struct engine, 1);

	if (!engines)
		engines = g_ptr_array_new();
	engine->id = g_strdup(id);
	engine->model = model;
	engine->server = kit_listen("127.0.0.1", on_request, engine);
	engine->entry =
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:I}", "service",
			  service, "address", kit_address(engine->server),
			  "zone", "svealand-a", "version", "1", "slots", 192,
			  "state", "ready", "type", type, "born", kit_born());
	g_ptr_array_add(engines, engine);
	publish(engine);
	return engine;
}

const char *engine_id(const struct engine *engine)
{
	return engine->id;
}

void engine_set_silent(struct engine *engine, bool is_silent)
{
	kit_record("%s %s", engine->id, is_silent ? "falls silent" : "goes on");
	engine->is_silent = is_silent;
	kit_set_silent(engine->server, is_silent);
}

static void remove_entry(void *user)
{
	struct engine *engine = user;

	kit_record("the entry of %s is gone", engine->id);
	kit_delete("servers", engine->id);
}

void engine_crash(struct engine *engine)
{
	kit_record("%s crashes for good", engine->id);
	engine->is_dead = true;
	kit_stop(engine->server);
	kit_after((int64_t)3 * HEARTBEAT_MS, remove_entry, engine);
}

json_t *engine_service(const char *name, const struct engine_model *model)
{
	json_t *engine = json_pack(
		"{s:i,s:i,s:i,s:f,s:i,s:[{s:s,s:f,s:f,s:f}],s:f,s:f,s:f,s:f,"
		"s:i,s:f,s:{s:i,s:i},s:i,s:f,s:i,s:O}",
		"slots", 192, "kv-capacity", 100000, "kv-bytes",
		model->kv_bytes, "link-mbps", 400000.0, "stride", 4, "models",
		"name", ENGINE_MODEL, "pace", 1.0, "load-s", 3.0, "warmup-s",
		1.0, "step_ms", 1.02, "per_seq_ms", 0.00459, "context_per_k",
		0.00615, "read_per_s", 164000.0, "loads_at_once", 6,
		"report_lag_ms", 200.0, "usual", "prompt", 774, "answer", 210,
		"layers", model->layers, "layer-mb", model->layer_mb,
		"activation-bytes", 29500, "kinds", model->kinds);

	return json_pack("{s:s,s:s,s:i,s:s,s:b,s:o}", "name", name,
			 "health-path", "/healthz", "max-conns", 978,
			 "protocol", "h1", "tls", 0, "engine", engine);
}
