#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define REQUEST_TIMEOUT_MS 4000
#define MAX_IN_PROGRESS 60
/* How long a key may still be accepted after its removal. */
#define KEY_REMOVAL_MS 5000
/* How long new requests may still reach a draining worker. */
#define DRAIN_MS 2000
/* Drain checks are skipped this long after a fault. */
#define FAULT_GRACE_MS 3000
/* Allows for proxy delays and scheduling latency. */
#define SLACK_MS 300

/* Statuses by which an edge promises that the request was not run. */
static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

bool soak_note_run(struct soak *soak, struct soak_worker *worker,
		   const char *id)
{
	struct soak_request *request = g_hash_table_lookup(soak->requests, id);
	clk_ms now = soak_now(soak);
	clk_ms removed;

	if (!request) {
		soak_violation(soak,
			       "UNASKED: a worker got %s, which no client sent",
			       id);
		return false;
	}
	request->runs++;
	removed = soak->key_removed_at[request->key];
	if (removed && request->sent_at > removed + KEY_REMOVAL_MS)
		soak_violation(soak,
			       "CONFIG: %s ran with a key removed "
			       "%" G_GINT64_FORMAT " ms before",
			       id, request->sent_at - removed);
	if (request->kind == SOAK_NON_IDEMPOTENT && request->runs > 1)
		soak_violation(soak,
			       "TWICE: %s is not idempotent and ran again", id);
	if (request->is_refused && request->kind == SOAK_NON_IDEMPOTENT)
		soak_violation(soak, "REFUSED: %s runs after a refusal", id);
	if (worker->is_draining &&
	    now - worker->draining_since > DRAIN_MS + SLACK_MS &&
	    request->sent_at > worker->draining_since &&
	    now - request->edge->faulty_until > FAULT_GRACE_MS &&
	    now - soak->store_faulty_until > FAULT_GRACE_MS)
		soak_violation(soak,
			       "DRAIN: %s reached draining %s %" G_GINT64_FORMAT
			       " ms late",
			       id, worker->id, now - worker->draining_since);
	return true;
}

static void on_head(void *user, const struct hup_response *response)
{
	struct soak_request *request = user;
	const char *signature =
		hdr_get(&response->headers, ptf_fields.signature);

	request->status = response->status;
	request->is_signed = signature != NULL;
	if (response->status == 200 &&
	    (!signature || strcmp(signature + 2, request->id) != 0))
		soak_violation(request->soak,
			       "MIXED: response to %s has signature %s",
			       request->id, signature ? signature : "none");
}

static void on_data(void *user, const char *bytes, size_t len)
{
	g_string_append_len(((struct soak_request *)user)->body, bytes,
			    (gssize)len);
}

/* Checks that a client got a prefix of the events, each once, in order. */
static void check_events(struct soak_request *request, bool is_complete)
{
	GString *expected = g_string_new(NULL);
	unsigned n;

	for (n = 1; n <= SOAK_EVENTS; n++)
		g_string_append_printf(expected, "id: %u\ndata: %s:%u\n\n", n,
				       request->id, n);
	if (strncmp(expected->str, request->body->str, request->body->len) ||
	    request->body->len > expected->len)
		soak_violation(request->soak,
			       "ORDER: unexpected events of %s: %s",
			       request->id, request->body->str);
	else if (is_complete && request->body->len != expected->len)
		soak_violation(request->soak,
			       "ORDER: stream of %s ends after %zu bytes",
			       request->id, request->body->len);
	g_string_free(expected, TRUE);
}

static void check_body(struct soak_request *request)
{
	char *expected = g_strdup_printf("own %s", request->id);

	if (strcmp(expected, request->body->str) != 0)
		soak_violation(request->soak,
			       "MIXED: response to %s has body %s", request->id,
			       request->body->str);
	g_free(expected);
}

static void note_served(struct soak_request *request)
{
	struct soak *soak = request->soak;

	soak->served++;
	if (request->is_after_recovery)
		soak->served_after_recovery++;
}

/* Whether every configuration that may be in force allows the request. */
static bool must_be_allowed(const struct soak_request *request)
{
	const struct soak *soak = request->soak;

	if (soak->key_removed_at[request->key])
		return false;
	return !soak->keys_restored_at ||
	       request->sent_at - soak->keys_restored_at > KEY_REMOVAL_MS;
}

static void on_end(void *user, enum hup_result how)
{
	struct soak_request *request = user;
	bool is_complete = how == HUP_COMPLETE;

	request->exchange = NULL;
	request->has_ended = true;
	uv_timer_stop(&request->cancel_timer);
	if (request->status == 200 && request->kind == SOAK_STREAM)
		check_events(request, is_complete);
	else if (request->status == 200 && is_complete)
		check_body(request);
	if (is_complete && request->status == 200)
		note_served(request);
	if (is_complete && promises_not_run(request->status)) {
		request->is_refused = true;
		if (request->runs && request->kind == SOAK_NON_IDEMPOTENT)
			soak_violation(request->soak,
				       "REFUSED: %s has run, but got status %d",
				       request->id, request->status);
	}
	if (is_complete && request->status >= 400 && request->status < 500 &&
	    !promises_not_run(request->status) && must_be_allowed(request))
		soak_violation(request->soak,
			       "DENIED: %s got status %d with a valid key",
			       request->id, request->status);
}

static const struct hup_ops ops = {on_head, on_data, on_end};

static void on_cancel_timer(uv_timer_t *timer)
{
	struct soak_request *request = timer->data;

	if (request->exchange)
		hup_cancel(request->exchange);
	request->exchange = NULL;
	request->has_ended = true;
}

static struct soak_edge *choose_edge(struct soak *soak)
{
	unsigned tries;

	for (tries = 0; tries < 10; tries++) {
		struct soak_edge *edge = soak->edges->pdata[g_rand_int_range(
			soak->rand, 0, (gint32)soak->edges->len)];

		if (edge->is_running && !edge->is_stopped &&
		    !edge->terminated_at &&
		    soak_now(soak) - edge->started_at > 400)
			return edge;
	}
	return NULL;
}

static unsigned choose_key(struct soak *soak)
{
	return (unsigned)g_rand_int_range(soak->rand, 0, 4);
}

static void send_one(struct soak *soak)
{
	static const char *const paths[] = {"GET /read/x", "POST /once/x",
					    "POST /stream/x"};
	struct soak_edge *edge = choose_edge(soak);
	struct soak_request *request;
	struct hup_request send = {.timeout = REQUEST_TIMEOUT_MS};

	if (!edge)
		return;
	request = g_new0(struct soak_request, 1);
	request->soak = soak;
	request->edge = edge;
	request->kind = (enum soak_kind)g_rand_int_range(soak->rand, 0, 3);
	request->key = choose_key(soak);
	request->sent_at = soak_now(soak);
	request->body = g_string_new(NULL);
	g_snprintf(request->id, sizeof(request->id), "r%u", ++soak->next_id);
	g_hash_table_insert(soak->requests, request->id, request);
	uv_timer_init(&soak->world.wire.loop, &request->cancel_timer);
	request->cancel_timer.data = request;
	send.address = edge->address;
	send.bytes = g_string_new(NULL);
	g_string_printf(send.bytes,
			"%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n"
			"%s: 20,20\r\n%s: %s key%u\r\n"
			"Content-Length: 2\r\n\r\nhi",
			paths[request->kind], ptf_fields.attempt_id,
			request->id, ptf_fields.remaining_ms,
			REQUEST_TIMEOUT_MS, ptf_fields.token_counts,
			ptf_fields.authorization, ptf_fields.key_scheme,
			request->key);
	send.max_idle = 60000;
	soak->sent++;
	request->is_after_recovery = soak->is_recovered;
	if (request->is_after_recovery)
		soak->sent_after_recovery++;
	request->exchange = hup_send(soak->client, &send, &ops, request);
	if (!soak->is_recovered && g_rand_double(soak->rand) < 0.05)
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
