#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* A request that came during the worker's silence. */
struct soak_held {
	struct wire_conn *conn;
	uint64_t serial;
	char *request;
};

static void held_free(gpointer data)
{
	g_free(((struct soak_held *)data)->request);
	g_free(data);
}

bool soak_is_silent(const struct soak_worker *worker)
{
	return worker->silent_until > soak_now(worker->soak);
}

static void answer_json(struct wire_conn *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	wire_answer(conn, status, "", text);
	free(text);
	json_decref(body);
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
		status = soak_reroute(worker, order);
	else if (operation && !strcmp(operation, "place"))
		status = apply_placement(worker, order);
	json_decref(order);
	if (soak_chance(worker->soak, 0.05))
		wire_hang_up(conn);
	else
		answer_json(conn, status, json_object());
}

static void run_request(struct soak_worker *worker, struct wire_conn *conn,
			const char *request, const char *id)
{
	char *expected = wire_header(request, ptf_fields.target_id);

	if (!id || (expected && strcmp(expected, worker->id) != 0))
		soak_refuse(worker, conn, id, id ? 421 : 400);
	else if (worker->full_until > soak_now(worker->soak) ||
		 (!worker->is_engine && soak_chance(worker->soak, 0.03)))
		soak_refuse(worker, conn, id, 503);
	else if (worker->is_engine)
		soak_start_stream(worker, conn, request, id);
	else
		soak_start_work(worker, conn, id);
	g_free(expected);
}

static void answer(struct soak_worker *worker, struct wire_conn *conn,
		   const char *request)
{
	char *id;

	if (g_str_has_prefix(request, "GET /report")) {
		answer_json(conn, 200,
			    json_pack("{s:I,s:b,s:i,s:o}", "sequence",
				      (json_int_t)worker->orders, "busy", 0,
				      "pace", 1, "stalled",
				      soak_stalled_streams(worker)));
		return;
	}
	if (g_str_has_prefix(request, "POST /order")) {
		handle_order(worker, conn, strstr(request, "\r\n\r\n") + 4);
		return;
	}
	id = wire_header(request, ptf_fields.attempt_id);
	run_request(worker, conn, request, id);
	g_free(id);
}

static void hold(struct soak_worker *worker, struct wire_conn *conn,
		 const char *request)
{
	struct soak_held *held = g_new0(struct soak_held, 1);

	held->conn = conn;
	held->serial = wire_serial(conn);
	held->request = g_strdup(request);
	g_ptr_array_add(worker->held, held);
}

static void on_request(struct wire_conn *conn, const char *request, void *user)
{
	struct soak_worker *worker = user;
	char *id;

	if (worker->is_dead)
		return;
	id = wire_header(request, ptf_fields.attempt_id);
	if (id)
		soak_note_arrival(worker, id);
	g_free(id);
	if (soak_is_silent(worker))
		hold(worker, conn, request);
	else
		answer(worker, conn, request);
}

/* Answers what came during the silence, unless its connection is closed. */
static void answer_held(struct soak_worker *worker)
{
	GPtrArray *held = worker->held;
	guint i;

	worker->held = g_ptr_array_new_with_free_func(held_free);
	for (i = 0; i < held->len; i++) {
		struct soak_held *entry = held->pdata[i];

		if (wire_is_open(worker->server, entry->conn, entry->serial))
			answer(worker, entry->conn, entry->request);
	}
	g_ptr_array_unref(held);
}

static void on_tick(uv_timer_t *timer)
{
	struct soak_worker *worker = timer->data;

	if (soak_is_silent(worker))
		return;
	if (worker->held->len)
		answer_held(worker);
	soak_advance_streams(worker);
}

void soak_worker_silence(struct soak_worker *worker, clk_ms duration)
{
	worker->silent_until = soak_now(worker->soak) + duration;
	worker->is_reported_silent = soak_chance(worker->soak, 0.5);
}

void soak_worker_publish(struct soak_worker *worker)
{
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:i,s:s,s:I,s:s}", "service", worker->service,
		"address", proxy_address(worker->proxy), "zone", "z", "slots",
		50, "state", worker->is_draining ? "draining" : "ready", "born",
		(json_int_t)worker->incarnation, "type", "large");

	if (worker->end_layer)
		json_object_set_new(entry, "layers",
				    json_pack("{s:i,s:i}", "from",
					      (int)worker->first_layer, "to",
					      (int)worker->end_layer));
	world_put(&worker->soak->world, "servers", worker->id, entry);
}

struct soak_worker *soak_worker_new(struct soak *soak, const char *service)
{
	struct soak_worker *worker = g_new0(struct soak_worker, 1);

	worker->soak = soak;
	worker->service = service;
	worker->is_engine = !strcmp(service, "model");
	worker->server = wire_server_new(&soak->world.wire, on_request, worker);
	worker->proxy = proxy_new(&soak->world.wire.loop,
				  wire_server_address(worker->server));
	worker->streams = g_ptr_array_new_with_free_func(soak_stream_free);
	worker->held = g_ptr_array_new_with_free_func(held_free);
	worker->refusals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	uv_timer_init(&soak->world.wire.loop, &worker->tick);
	worker->tick.data = worker;
	uv_timer_start(&worker->tick, on_tick, soak->event_interval,
		       soak->event_interval);
	soak_worker_restart(worker);
	return worker;
}

/* Nothing of its state outlives its process. */
static void forget_all(struct soak_worker *worker)
{
	g_ptr_array_set_size(worker->streams, 0);
	g_ptr_array_set_size(worker->held, 0);
	g_hash_table_remove_all(worker->refusals);
	worker->silent_until = 0;
	worker->full_until = 0;
	worker->says_leaving = false;
	memset(worker->notices, 0, sizeof(worker->notices));
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
	worker->disrupted_until = soak_now(soak);
	forget_all(worker);
	soak_worker_publish(worker);
}

void soak_worker_crash(struct soak_worker *worker)
{
	worker->is_dead = true;
	worker->disrupted_until = CLK_NEVER;
	forget_all(worker);
	proxy_set_mode(worker->proxy, PROXY_RESET);
}

static void on_tick_closed(uv_handle_t *handle)
{
	struct soak_worker *worker = handle->data;

	g_ptr_array_unref(worker->streams);
	g_ptr_array_unref(worker->held);
	g_hash_table_unref(worker->refusals);
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
