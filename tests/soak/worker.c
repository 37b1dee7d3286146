#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define EVENT_INTERVAL_MS 15
#define STALL_TIMEOUT_MS 3000

/* A stream that the worker runs as the head of its path. */
struct soak_stream {
	struct wire_conn *conn;
	uint64_t serial;
	char *id;
	char *path;
	unsigned next;
	clk_ms stalled_since;
	bool has_head;
};

/* A request whose response is sent after a simulated run time. */
struct work {
	uv_timer_t timer;
	struct soak_worker *worker;
	struct wire_conn *conn;
	uint64_t serial;
	char *id;
};

static void stream_free(gpointer data)
{
	struct soak_stream *stream = data;

	g_free(stream->id);
	g_free(stream->path);
	g_free(stream);
}

static bool chance(struct soak *soak, double probability)
{
	return g_rand_double(soak->rand) < probability;
}

/*
 * Whether the path runs every layer once, in order, at engines that hold
 * them. Sets *lost to the first engine that is dead.
 */
static bool check_path(struct soak *soak, const char *path,
		       struct soak_worker **lost)
{
	char **stages = g_strsplit(path, ",", -1);
	unsigned next = 0;
	bool ok = true;
	guint i;

	*lost = NULL;
	for (i = 0; stages[i] && ok; i++) {
		char *range = strchr(stages[i], '=');
		struct soak_worker *worker;
		unsigned first;
		unsigned end;

		ok = range && sscanf(range, "=%u-%u", &first, &end) == 2;
		if (!ok)
			break;
		*range = '\0';
		worker = soak_find_worker(soak, stages[i]);
		if (first != next || end <= first)
			soak_violation(soak,
				       "LAYERS: gap or overlap in path %s",
				       path);
		next = end;
		ok = worker && worker->first_layer <= first &&
		     end <= worker->end_layer;
		if (worker && worker->is_dead && !*lost)
			*lost = worker;
	}
	if (ok && next != SOAK_LAYERS)
		soak_violation(soak, "LAYERS: path %s ends before layer %u",
			       path, next);
	g_strfreev(stages);
	return ok;
}

static void refuse(struct wire_conn *conn, int status)
{
	char *header = g_strdup_printf("%s: 1\r\n", ptf_fields.not_run);

	wire_answer(conn, status, header, "");
	g_free(header);
}

static void send_event(struct soak_stream *stream)
{
	char *event = g_strdup_printf("id: %u\ndata: %s:%u\n\n", stream->next,
				      stream->id, stream->next);
	char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	wire_send(stream->conn, chunk);
	stream->next++;
	g_free(event);
	g_free(chunk);
}

/* First lines of a 200 response, signed by the worker for the id. */
static char *signed_head(const char *id)
{
	return g_strdup_printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\n",
			       ptf_fields.attempt_id, id, ptf_fields.signature,
			       id);
}

static void send_stream_head(struct soak_stream *stream)
{
	char *begin = signed_head(stream->id);
	char *head =
		g_strdup_printf("%sTransfer-Encoding: chunked\r\n\r\n", begin);

	stream->has_head = true;
	wire_send(stream->conn, head);
	g_free(begin);
	g_free(head);
}

/* Sends the next event; false once the stream has ended. */
static bool advance_stream(struct soak_worker *worker,
			   struct soak_stream *stream)
{
	struct soak *soak = worker->soak;
	struct soak_worker *lost;

	if (!wire_is_open(worker->server, stream->conn, stream->serial))
		return false;
	check_path(soak, stream->path, &lost);
	if (lost) {
		if (!stream->stalled_since)
			stream->stalled_since = soak_now(soak);
		if (soak_now(soak) - stream->stalled_since < STALL_TIMEOUT_MS)
			return true;
		if (stream->has_head)
			wire_reset(stream->conn);
		else
			refuse(stream->conn, 503);
		return false;
	}
	stream->stalled_since = 0;
	if (!stream->has_head)
		send_stream_head(stream);
	if (chance(soak, 0.002)) {
		wire_send(stream->conn, "30\r\nid: 9");
		wire_hang_up(stream->conn);
		return false;
	}
	send_event(stream);
	if (stream->next <= SOAK_EVENTS)
		return true;
	wire_send(stream->conn, "0\r\n\r\n");
	return false;
}

static void on_tick(uv_timer_t *timer)
{
	struct soak_worker *worker = timer->data;
	guint i = worker->streams->len;

	while (i-- > 0) {
		if (!advance_stream(worker, worker->streams->pdata[i]))
			g_ptr_array_remove_index(worker->streams, i);
	}
}

static void start_stream(struct soak_worker *worker, struct wire_conn *conn,
			 const char *request, const char *id)
{
	struct soak_stream *stream;
	struct soak_worker *lost;
	char *path = wire_header(request, ptf_fields.path);
	char *last = wire_header(request, ptf_fields.last_event_id);

	if (!path || !check_path(worker->soak, path, &lost)) {
		refuse(conn, 421);
		g_free(path);
	} else if (soak_note_run(worker->soak, worker, id)) {
		stream = g_new0(struct soak_stream, 1);
		stream->conn = conn;
		stream->serial = wire_serial(conn);
		stream->id = g_strdup(id);
		stream->path = path;
		stream->next = last ? (unsigned)atoi(last) + 1 : 1;
		g_ptr_array_add(worker->streams, stream);
	} else {
		g_free(path);
	}
	g_free(last);
}

static void send_result(struct work *work)
{
	struct soak *soak = work->worker->soak;
	double draw = g_rand_double(soak->rand);
	char *text = signed_head(work->id);
	char *whole = g_strdup_printf("%sContent-Length: %zu\r\n\r\nown %s",
				      text, strlen(work->id) + 4, work->id);

	if (draw < 0.02) {
		/* Without a length, and reset in the middle. */
		char *part = g_strdup_printf("%s\r\nown", text);

		wire_end_and_reset(work->conn, part);
		g_free(part);
	} else if (draw < 0.04) {
		wire_hang_up(work->conn);
	} else if (draw < 0.06) {
		char *signature =
			g_strdup_printf("%s: s\r\n", ptf_fields.signature);

		wire_answer(work->conn, 500, signature, "failed");
		g_free(signature);
	} else if (draw < 0.08) {
		wire_send(work->conn, whole);
		wire_send(work->conn, whole);
	} else {
		wire_send(work->conn, whole);
	}
	g_free(text);
	g_free(whole);
}

static void on_work_closed(uv_handle_t *handle)
{
	struct work *work = handle->data;

	g_free(work->id);
	g_free(work);
}

static void on_work_done(uv_timer_t *timer)
{
	struct work *work = timer->data;

	if (wire_is_open(work->worker->server, work->conn, work->serial) &&
	    !work->worker->is_dead)
		send_result(work);
	uv_close((uv_handle_t *)timer, on_work_closed);
}

static void start_work(struct soak_worker *worker, struct wire_conn *conn,
		       const char *id)
{
	struct soak *soak = worker->soak;
	struct work *work;

	if (chance(soak, 0.03)) {
		refuse(conn, 503);
		return;
	}
	if (!soak_note_run(soak, worker, id))
		return;
	work = g_new0(struct work, 1);
	work->worker = worker;
	work->conn = conn;
	work->serial = wire_serial(conn);
	work->id = g_strdup(id);
	uv_timer_init(&soak->world.wire.loop, &work->timer);
	work->timer.data = work;
	uv_timer_start(&work->timer, on_work_done,
		       (uint64_t)g_rand_int_range(soak->rand, 2, 40), 0);
}

/* Stalled streams of this head, each with the lost engine. */
static json_t *stalled_streams(struct soak_worker *worker)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < worker->streams->len; i++) {
		const struct soak_stream *stream = worker->streams->pdata[i];
		struct soak_worker *lost;

		check_path(worker->soak, stream->path, &lost);
		if (lost && stream->stalled_since)
			json_array_append_new(
				list, json_pack("{s:s,s:s}", "id", stream->id,
						"address",
						proxy_address(lost->proxy)));
	}
	return list;
}

static void answer_json(struct wire_conn *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	wire_answer(conn, status, "", text);
	free(text);
	json_decref(body);
}

static int apply_reroute(struct soak_worker *worker, json_t *order)
{
	const char *id = json_string_value(json_object_get(order, "id"));
	const char *path = json_string_value(json_object_get(order, "path"));
	struct soak_worker *lost;
	guint i;

	for (i = 0; i < worker->streams->len; i++) {
		struct soak_stream *stream = worker->streams->pdata[i];

		if (strcmp(stream->id, id) != 0)
			continue;
		if (!check_path(worker->soak, path, &lost))
			return 409;
		g_free(stream->path);
		stream->path = g_strdup(path);
		return 202;
	}
	return 404;
}

static int apply_placement(struct soak_worker *worker, json_t *order)
{
	uint64_t fence = (uint64_t)json_integer_value(
		json_object_get(order, "fencing-token"));

	if (fence < worker->highest_fence)
		return 412;
	worker->highest_fence = fence;
	if ((uint64_t)json_integer_value(json_object_get(order, "expect")) !=
	    worker->orders)
		return 409;
	worker->orders++;
	worker->first_layer =
		(unsigned)json_integer_value(json_object_get(order, "from"));
	worker->end_layer =
		(unsigned)json_integer_value(json_object_get(order, "to"));
	if (worker->end_layer > SOAK_LAYERS ||
	    worker->first_layer >= worker->end_layer)
		soak_violation(worker->soak,
			       "LIMIT: order for invalid layers %u-%u",
			       worker->first_layer, worker->end_layer);
	soak_worker_publish(worker);
	return 202;
}

static void handle_order(struct soak_worker *worker, struct wire_conn *conn,
			 const char *body)
{
	json_t *order = json_loads(body, 0, NULL);
	const char *operation =
		json_string_value(json_object_get(order, "operation"));
	int status = 400;

	if (operation && !strcmp(operation, "repath"))
		status = apply_reroute(worker, order);
	else if (operation && !strcmp(operation, "place"))
		status = apply_placement(worker, order);
	json_decref(order);
	if (chance(worker->soak, 0.05))
		wire_hang_up(conn);
	else
		answer_json(conn, status, json_object());
}

static void on_request(struct wire_conn *conn, const char *request, void *user)
{
	struct soak_worker *worker = user;
	char *id;
	char *expected;

	if (worker->is_dead)
		return;
	if (g_str_has_prefix(request, "GET /report")) {
		answer_json(conn, 200,
			    json_pack("{s:I,s:b,s:i,s:o}", "sequence",
				      (json_int_t)worker->orders, "busy", 0,
				      "pace", 1, "stalled",
				      stalled_streams(worker)));
		return;
	}
	if (g_str_has_prefix(request, "POST /order")) {
		handle_order(worker, conn, strstr(request, "\r\n\r\n") + 4);
		return;
	}
	id = wire_header(request, ptf_fields.attempt_id);
	expected = wire_header(request, ptf_fields.target_id);
	if (!id || (expected && strcmp(expected, worker->id) != 0))
		refuse(conn, id ? 421 : 400);
	else if (worker->is_engine)
		start_stream(worker, conn, request, id);
	else
		start_work(worker, conn, id);
	g_free(id);
	g_free(expected);
}

void soak_worker_publish(struct soak_worker *worker)
{
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:i,s:s,s:I,s:s}", "service",
		worker->is_engine ? "model" : "plain", "address",
		proxy_address(worker->proxy), "zone", "z", "slots", 50, "state",
		worker->is_draining ? "draining" : "ready", "born",
		(json_int_t)worker->incarnation, "type", "large");

	if (worker->end_layer)
		json_object_set_new(entry, "layers",
				    json_pack("{s:i,s:i}", "from",
					      (int)worker->first_layer, "to",
					      (int)worker->end_layer));
	world_put(&worker->soak->world, "servers", worker->id, entry);
}

struct soak_worker *soak_worker_new(struct soak *soak, bool is_engine)
{
	struct soak_worker *worker = g_new0(struct soak_worker, 1);

	worker->soak = soak;
	worker->is_engine = is_engine;
	worker->server = wire_server_new(&soak->world.wire, on_request, worker);
	worker->proxy = proxy_new(&soak->world.wire.loop,
				  wire_server_address(worker->server));
	worker->streams = g_ptr_array_new_with_free_func(stream_free);
	uv_timer_init(&soak->world.wire.loop, &worker->tick);
	worker->tick.data = worker;
	uv_timer_start(&worker->tick, on_tick, EVENT_INTERVAL_MS,
		       EVENT_INTERVAL_MS);
	soak_worker_restart(worker);
	return worker;
}

void soak_worker_restart(struct soak_worker *worker)
{
	struct soak *soak = worker->soak;

	if (worker->id)
		world_delete(&soak->world, "servers", worker->id);
	g_free(worker->id);
	worker->id = g_strdup_printf("w%u", ++soak->next_worker);
	worker->incarnation = soak->next_worker;
	worker->first_layer = 0;
	worker->end_layer = 0;
	worker->orders = 0;
	worker->highest_fence = 0;
	worker->is_dead = false;
	worker->is_draining = false;
	g_ptr_array_set_size(worker->streams, 0);
	soak_worker_publish(worker);
}

void soak_worker_crash(struct soak_worker *worker)
{
	worker->is_dead = true;
	g_ptr_array_set_size(worker->streams, 0);
	proxy_set_mode(worker->proxy, PROXY_RESET);
}

static void on_tick_closed(uv_handle_t *handle)
{
	struct soak_worker *worker = handle->data;

	g_ptr_array_unref(worker->streams);
	g_free(worker->id);
	g_free(worker);
}

void soak_worker_drop(struct soak_worker *worker)
{
	proxy_drop(worker->proxy);
	wire_server_drop(worker->server);
	uv_close((uv_handle_t *)&worker->tick, on_tick_closed);
}

struct soak_worker *soak_find_worker(struct soak *soak, const char *address)
{
	guint i;

	for (i = 0; i < soak->workers->len; i++) {
		struct soak_worker *worker = soak->workers->pdata[i];

		if (!strcmp(proxy_address(worker->proxy), address))
			return worker;
	}
	return NULL;
}
