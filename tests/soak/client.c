#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define REQUEST_TIMEOUT_MS 4000
#define MAX_IN_PROGRESS 60
#define CALLERS 32
/* An edge gets no new clients for this long after its start. */
#define START_GRACE_MS 400
#define PROMPT_PARTS 4
#define DEADLY_PART "dead"

static void on_head(void *user, const struct hup_response *response)
{
	struct soak_request *request = user;
	const char *signature =
		hdr_get(&response->headers, ptf_fields.signature);

	request->status = response->status;
	request->is_signed = signature != NULL;
	soak_check_head(request, signature);
}

static void on_data(void *user, const char *bytes, size_t len)
{
	g_string_append_len(((struct soak_request *)user)->body, bytes,
			    (gssize)len);
}

static void note_served(struct soak_request *request)
{
	struct soak *soak = request->soak;

	soak->served++;
	if (request->is_after_recovery)
		soak->served_after_recovery++;
}

static void note_end(struct soak_request *request)
{
	request->exchange = NULL;
	request->has_ended = true;
	request->kept->is_busy = false;
}

static void on_end(void *user, enum hup_result how)
{
	struct soak_request *request = user;

	note_end(request);
	uv_timer_stop(&request->cancel_timer);
	if (how == HUP_COMPLETE && request->status == 200)
		note_served(request);
	soak_check_end(request, how);
	/* Clients use up to four fifths of the limit that they know. */
	request->kept->max_idle =
		soak_known_idle_timeout(request->soak) * 4 / 5;
}

static const struct hup_ops ops = {on_head, on_data, on_end};

static void on_cancel_timer(uv_timer_t *timer)
{
	struct soak_request *request = timer->data;

	if (request->exchange)
		hup_cancel(request->exchange);
	note_end(request);
}

/* An edge that was told to stop gets requests until its process is gone. */
struct soak_edge *soak_choose_edge(struct soak *soak)
{
	unsigned tries;

	for (tries = 0; tries < 10; tries++) {
		struct soak_edge *edge = soak->edges->pdata[g_rand_int_range(
			soak->rand, 0, (gint32)soak->edges->len)];

		if (edge->is_running && !edge->is_stopped &&
		    soak_now(soak) - edge->started_at > START_GRACE_MS)
			return edge;
	}
	return NULL;
}

/* Some callers send seldom, so that their connections are idle for long. */
static struct soak_caller *choose_caller(struct soak *soak,
					 const struct soak_edge *edge)
{
	unsigned tries;

	for (tries = 0; tries < 10; tries++) {
		double draw = g_rand_double(soak->rand);
		struct soak_caller *caller =
			soak->callers->pdata[(int)(draw * draw * CALLERS)];

		if (!caller->kept[edge->index].is_busy)
			return caller;
	}
	return NULL;
}

static void choose_prompt(struct soak *soak, struct soak_request *request)
{
	request->is_deadly = soak->with_deadly_prompt &&
			     soak_now(soak) < soak->faults_until &&
			     soak_chance(soak, 0.1);
	g_snprintf(request->prompt, sizeof(request->prompt), "a%d:8,%s%x:12",
		   g_rand_int_range(soak->rand, 0, PROMPT_PARTS),
		   request->is_deadly ? DEADLY_PART ":4," : "",
		   0x1000 + soak->next_id);
}

/* Chooses what is asked for; returns the method and path, to be freed. */
static char *choose_target(struct soak *soak, struct soak_request *request)
{
	double draw = g_rand_double(soak->rand);
	int n = g_rand_int_range(soak->rand, 0, SOAK_ADDED_ROUTES);

	if (draw < 0.1) {
		request->route = &soak->added[n];
		request->route_changed_at = request->route->changed_at;
		return g_strdup_printf("GET /added%d/x", n);
	}
	if (draw < 0.2) {
		request->is_split = true;
		return g_strdup("GET /split/x");
	}
	if (draw < 0.45)
		return g_strdup("GET /read/x");
	if (draw < 0.7) {
		request->kind = SOAK_NON_IDEMPOTENT;
		return g_strdup("POST /once/x");
	}
	request->kind = SOAK_STREAM;
	choose_prompt(soak, request);
	return g_strdup("POST /stream/x");
}

GString *soak_request_bytes(const struct soak_request *request,
			    const char *target)
{
	GString *bytes = g_string_new(NULL);

	g_string_printf(bytes,
			"%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n"
			"%s: 20,20\r\n%s: %s key%u\r\n",
			target, ptf_fields.attempt_id, request->id,
			ptf_fields.remaining_ms, REQUEST_TIMEOUT_MS,
			ptf_fields.token_counts, ptf_fields.authorization,
			ptf_fields.key_scheme, request->key);
	if (*request->prompt)
		g_string_append_printf(bytes, "%s: %s\r\n", WORLD_PROMPT_PARTS,
				       request->prompt);
	g_string_append(bytes, "Content-Length: 2\r\n\r\nhi");
	return bytes;
}

struct soak_request *soak_request_new(struct soak *soak, struct soak_edge *edge)
{
	struct soak_request *request = g_new0(struct soak_request, 1);

	request->soak = soak;
	request->edge = edge;
	request->key = (unsigned)g_rand_int_range(soak->rand, 0, SOAK_KEYS);
	request->sent_at = soak_now(soak);
	request->body = g_string_new(NULL);
	request->workers = g_ptr_array_new();
	request->is_after_recovery = soak->is_recovered;
	g_snprintf(request->id, sizeof(request->id), "r%u", ++soak->next_id);
	g_hash_table_insert(soak->requests, request->id, request);
	uv_timer_init(&soak->world.wire.loop, &request->cancel_timer);
	request->cancel_timer.data = request;
	return request;
}

static void send_one(struct soak *soak)
{
	struct soak_edge *edge = soak_choose_edge(soak);
	struct soak_caller *caller = edge ? choose_caller(soak, edge) : NULL;
	struct soak_request *request;
	struct hup_request send = {.timeout = REQUEST_TIMEOUT_MS};
	char *target;

	if (!caller)
		return;
	request = soak_request_new(soak, edge);
	request->kept = &caller->kept[edge->index];
	request->kept->is_busy = true;
	target = choose_target(soak, request);
	send.address = edge->address;
	send.bytes = soak_request_bytes(request, target);
	send.max_idle = request->kept->max_idle;
	g_free(target);
	/* Requests on routes that come and go are not owed an answer. */
	request->is_after_recovery &= !request->route;
	soak->sent++;
	if (request->is_after_recovery)
		soak->sent_after_recovery++;
	request->exchange = hup_send(caller->client, &send, &ops, request);
	if (!soak->is_recovered && soak_chance(soak, 0.05))
		uv_timer_start(&request->cancel_timer, on_cancel_timer,
			       (uint64_t)g_rand_int_range(soak->rand, 1, 300),
			       0);
}

static unsigned count_in_progress(struct soak *soak)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct soak_request *)value)->exchange != NULL;
	return count;
}

void soak_send_next(struct soak *soak)
{
	if (count_in_progress(soak) < MAX_IN_PROGRESS)
		send_one(soak);
}

void soak_cancel_all(struct soak *soak)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct soak_request *request = value;

		if (request->exchange)
			hup_cancel(request->exchange);
		request->exchange = NULL;
	}
}

void soak_setup_callers(struct soak *soak)
{
	unsigned i;

	soak->callers = g_ptr_array_new();
	for (i = 0; i < CALLERS; i++) {
		struct soak_caller *caller = g_new0(struct soak_caller, 1);

		caller->client =
			hup_new(&soak->world.wire.loop, soak->world.counters);
		g_ptr_array_add(soak->callers, caller);
	}
}
