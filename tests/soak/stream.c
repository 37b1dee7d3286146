#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define STALL_TIMEOUT_MS 3000
/* A worker that crashed by a request is back after this long. */
#define MIN_CRASH_MS 1000
#define MAX_CRASH_MS 3000
/* Chance that it sends one more event of an answer on the deadly part first. */
#define DEADLY_EVENT_CHANCE 0.6

void soak_stream_free(gpointer data)
{
	struct soak_stream *stream = data;

	g_free(stream->id);
	g_free(stream->path);
	g_free(stream);
}

/* What a path waits for: the first engine that is lost, or silent. */
struct path_state {
	struct soak_worker *lost;
	struct soak_worker *silent;
};

/*
 * Whether the path runs every layer once, in order, at engines that hold them.
 * The request, if not NULL, is recorded as taking place at all of them.
 */
static bool check_path(struct soak *soak, const char *path,
		       struct path_state *state, struct soak_request *request)
{
	char **stages = g_strsplit(path, ",", -1);
	unsigned next = 0;
	bool ok = true;
	guint i;

	*state = (struct path_state){0};
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
		if (!worker)
			continue;
		if (request)
			g_ptr_array_add(request->workers, worker);
		if (worker->is_dead && !state->lost)
			state->lost = worker;
		if (soak_is_silent(worker) && !state->silent)
			state->silent = worker;
	}
	if (ok && next != SOAK_LAYERS)
		soak_violation(soak, "LAYERS: path %s ends before layer %u",
			       path, next);
	g_strfreev(stages);
	return ok;
}

static void send_part(struct soak_stream *stream, const char *text)
{
	char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(text), text);

	wire_send(stream->conn, stream->is_raw ? text : chunk);
	g_free(chunk);
}

static void send_event(struct soak_stream *stream)
{
	char *event = g_strdup_printf("id: %u\ndata: %s:%u\n\n", stream->next,
				      stream->id, stream->next);

	send_part(stream, event);
	stream->next++;
	g_free(event);
}

static void send_stream_head(struct soak_worker *worker,
			     struct soak_stream *stream)
{
	char *fields = soak_answer_fields(worker, stream->id);
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%s%s: s-%s\r\n%s\r\n", fields,
		ptf_fields.signature, stream->id,
		stream->is_raw ? "" : "Transfer-Encoding: chunked\r\n");

	stream->has_head = true;
	wire_send(stream->conn, head);
	g_free(fields);
	g_free(head);
}

static void end_stream(struct soak_stream *stream)
{
	if (stream->is_raw)
		wire_hang_up(stream->conn);
	else
		wire_send(stream->conn, "0\r\n\r\n");
}

/* Breaks off in the middle of an event. */
static void break_stream(struct soak *soak, struct soak_stream *stream)
{
	soak_note_broken_off(soak, stream->id);
	wire_send(stream->conn, stream->is_raw ? "id: 9" : "30\r\nid: 9");
	wire_hang_up(stream->conn);
}

/* A worker that writes on the deadly part crashes at some place of the answer.
 */
static bool crash_if_deadly(struct soak_worker *worker,
			    const struct soak_stream *stream)
{
	struct soak *soak = worker->soak;
	struct soak_request *request = soak_find_request(soak, stream->id);

	if (!request || !request->is_deadly)
		return false;
	if (stream->next < SOAK_EVENTS &&
	    soak_chance(soak, DEADLY_EVENT_CHANCE))
		return false;
	if (++soak->crashes == 5)
		soak->fifth_crash_at = soak_now(soak);
	soak_crash_worker_for(worker, g_rand_int_range(soak->rand, MIN_CRASH_MS,
						       MAX_CRASH_MS));
	return true;
}

/* Ends a stream whose path has lost an engine for too long. */
static bool wait_for_lost(struct soak_worker *worker,
			  struct soak_stream *stream)
{
	struct soak *soak = worker->soak;

	if (!stream->stalled_since)
		stream->stalled_since = soak_now(soak);
	if (soak_now(soak) - stream->stalled_since < STALL_TIMEOUT_MS)
		return true;
	soak_note_broken_off(soak, stream->id);
	if (stream->has_head)
		wire_reset(stream->conn);
	else
		soak_refuse(worker, stream->conn, stream->id, 503);
	return false;
}

/* Sends the next event; false once the stream has ended. */
static bool advance_stream(struct soak_worker *worker,
			   struct soak_stream *stream)
{
	struct soak *soak = worker->soak;
	struct path_state state;

	if (!wire_is_open(worker->server, stream->conn, stream->serial))
		return false;
	check_path(soak, stream->path, &state, NULL);
	if (state.lost)
		return wait_for_lost(worker, stream);
	stream->stalled_since = 0;
	if (state.silent)
		return true;
	if (crash_if_deadly(worker, stream))
		return false;
	if (!stream->has_head)
		send_stream_head(worker, stream);
	if (soak_chance(soak, 0.002)) {
		break_stream(soak, stream);
		return false;
	}
	send_event(stream);
	if (stream->next <= SOAK_EVENTS)
		return true;
	end_stream(stream);
	return false;
}

void soak_advance_streams(struct soak_worker *worker)
{
	guint i = worker->streams->len;

	while (i-- > 0) {
		bool goes_on =
			advance_stream(worker, worker->streams->pdata[i]);

		/* A crash has removed all streams. */
		if (worker->is_dead)
			return;
		if (!goes_on)
			g_ptr_array_remove_index(worker->streams, i);
	}
}

/* A faulty worker answers a stream that is to go on with an error. */
static bool fail_resumed(struct soak_worker *worker, struct wire_conn *conn,
			 const char *id)
{
	struct soak *soak = worker->soak;
	double draw = g_rand_double(soak->rand);
	char *fields;
	char *head;

	if (draw >= 0.3)
		return false;
	soak_note_broken_off(soak, id);
	if (draw < 0.1) {
		soak_refuse(worker, conn, id, 503);
		return true;
	}
	soak_note_run(soak, worker, id);
	fields = soak_answer_fields(worker, id);
	head = g_strdup_printf("%s%s: s-%s\r\n", fields, ptf_fields.signature,
			       id);
	wire_answer(conn, draw < 0.2 ? 500 : 400, head,
		    "id: 99\ndata: failed\n\n");
	g_free(fields);
	g_free(head);
	return true;
}

static void check_prompt(struct soak *soak, const char *request, const char *id)
{
	struct soak_request *sent = soak_find_request(soak, id);
	char *prompt = wire_header(request, WORLD_PROMPT_PARTS);

	if (sent && g_strcmp0(sent->prompt, prompt) != 0)
		soak_violation(soak, "UNASKED: %s has prompt %s instead of %s",
			       id, prompt ? prompt : "none", sent->prompt);
	g_free(prompt);
}

void soak_start_stream(struct soak_worker *worker, struct wire_conn *conn,
		       const char *request, const char *id)
{
	struct soak *soak = worker->soak;
	char *path = wire_header(request, ptf_fields.path);
	char *last = wire_header(request, ptf_fields.last_event_id);
	struct soak_request *sent = soak_find_request(soak, id);
	struct path_state state;
	struct soak_stream *stream;

	check_prompt(soak, request, id);
	if (!path || !check_path(soak, path, &state, sent)) {
		soak_refuse(worker, conn, id, 421);
	} else if (last && fail_resumed(worker, conn, id)) {
		/* Answered. */
	} else if (soak_note_run(soak, worker, id)) {
		soak_repeat_refusal(worker, conn, id);
		stream = g_new0(struct soak_stream, 1);
		stream->conn = conn;
		stream->serial = wire_serial(conn);
		stream->id = g_strdup(id);
		stream->path = g_strdup(path);
		stream->next = last ? (unsigned)atoi(last) + 1 : 1;
		stream->is_raw = soak_chance(soak, 0.25);
		g_ptr_array_add(worker->streams, stream);
	}
	g_free(path);
	g_free(last);
}

json_t *soak_stalled_streams(struct soak_worker *worker)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < worker->streams->len; i++) {
		const struct soak_stream *stream = worker->streams->pdata[i];
		struct path_state state;
		struct soak_worker *cause;

		check_path(worker->soak, stream->path, &state, NULL);
		cause = stream->stalled_since ? state.lost : NULL;
		if (!cause && state.silent && state.silent->is_reported_silent)
			cause = state.silent;
		if (cause)
			json_array_append_new(
				list, json_pack("{s:s,s:s}", "id", stream->id,
						"address",
						proxy_address(cause->proxy)));
	}
	return list;
}

int soak_reroute(struct soak_worker *worker, json_t *order)
{
	const char *id = json_string_value(json_object_get(order, "id"));
	const char *path = json_string_value(json_object_get(order, "path"));
	struct path_state state;
	guint i;

	for (i = 0; i < worker->streams->len; i++) {
		struct soak_stream *stream = worker->streams->pdata[i];

		if (strcmp(stream->id, id) != 0)
			continue;
		if (!check_path(worker->soak, path, &state,
				soak_find_request(worker->soak, id)))
			return 409;
		g_free(stream->path);
		stream->path = g_strdup(path);
		return 202;
	}
	return 404;
}
