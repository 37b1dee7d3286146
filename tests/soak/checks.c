#include <string.h>

#include "soak.h"

/* How long a key may still be accepted after its removal. */
#define KEY_REMOVAL_MS 5000
/* How long new requests may still reach a worker that leaves. */
#define DRAIN_MS 2000
/* Drain checks are skipped this long after a fault. */
#define FAULT_GRACE_MS 3000
/* A request that crosses the close of its connection ends within this. */
#define LOSS_SLACK_MS 200
/* How long a request may be answered after its route's timeout. */
#define OVERDUE_MS 500
#define MIN_OVERDUE 8
/* Requests that may reach a worker while it wants none. */
#define MAX_UNWANTED 2
#define MAX_DEADLY 3
#define LIMIT_OF_CRASHES 5

/* Statuses by which an edge promises that the request was not run. */
static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

struct soak_request *soak_find_request(struct soak *soak, const char *id)
{
	return id ? g_hash_table_lookup(soak->requests, id) : NULL;
}

bool soak_is_in_touch(const struct soak_edge *edge, clk_ms since)
{
	return edge->disrupted_until < since - SOAK_STABLE_MS &&
	       edge->soak->store_faulty_until < since - SOAK_STABLE_MS;
}

void soak_forget_notices(struct soak_edge *edge)
{
	GPtrArray *workers = edge->soak->workers;
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct soak_worker *worker = workers->pdata[i];

		worker->notices[edge->index] = (struct soak_notice){0};
	}
}

static void check_notices(struct soak_worker *worker,
			  const struct soak_request *request)
{
	struct soak *soak = worker->soak;
	struct soak_notice *notice = &worker->notices[request->edge->index];
	clk_ms now = soak_now(soak);

	/* Requests may be held up on a link that was disrupted. */
	if (worker->disrupted_until > now - SOAK_STABLE_MS)
		return;
	if (notice->leaving_at &&
	    request->sent_at > notice->leaving_at + DRAIN_MS + SOAK_SLACK_MS)
		soak_violation(soak,
			       "DRAIN: %s, sent %" G_GINT64_FORMAT
			       " ms after %s passed on that %s leaves, "
			       "reached it",
			       request->id,
			       request->sent_at - notice->leaving_at,
			       request->edge->name, worker->id);
	if (now > notice->refused_from && now < notice->refused_until &&
	    ++notice->arrivals > MAX_UNWANTED)
		soak_violation(soak,
			       "BUDGET: %s from %s is number %u to reach %s "
			       "before the end of its Retry-After",
			       request->id, request->edge->name,
			       notice->arrivals, worker->id);
}

void soak_note_arrival(struct soak_worker *worker, const char *id)
{
	struct soak *soak = worker->soak;
	struct soak_request *request = soak_find_request(soak, id);
	clk_ms now = soak_now(soak);

	if (!request)
		return;
	if (soak->with_leaving)
		check_notices(worker, request);
	if (!request->is_deadly || soak->crashes < LIMIT_OF_CRASHES ||
	    now <= soak->fifth_crash_at + SOAK_STABLE_MS + SOAK_SLACK_MS ||
	    !soak_is_in_touch(request->edge, now))
		return;
	if (++soak->deadly_arrivals > MAX_DEADLY)
		soak_violation(
			soak,
			"BUDGET: %s is number %u with the deadly part to "
			"reach a worker %" G_GINT64_FORMAT
			" ms after the fifth crash",
			id, soak->deadly_arrivals, now - soak->fifth_crash_at);
}

void soak_note_broken_off(struct soak *soak, const char *id)
{
	struct soak_request *request = soak_find_request(soak, id);

	if (request)
		request->is_broken_off = true;
}

static void check_service(const struct soak_request *request,
			  const struct soak_worker *worker)
{
	struct soak *soak = worker->soak;
	const struct soak_part *part =
		&soak->parts[strcmp(worker->service, "plain") ? 1 : 0];
	clk_ms sent_at = request->sent_at;
	bool is_other = request->kind == SOAK_STREAM
				? !worker->is_engine
				: worker->is_engine ||
					  (!request->is_split &&
					   strcmp(worker->service, "plain"));

	if (is_other)
		soak_violation(soak, "ROUTE: %s ran at a worker of %s",
			       request->id, worker->service);
	if (!soak_is_in_touch(request->edge, sent_at))
		return;
	if (request->is_split && !part->weight &&
	    sent_at > part->changed_at + SOAK_CONFIG_APPLY_MS)
		soak_violation(soak,
			       "CONFIG: %s ran at service %s, which was taken "
			       "out %" G_GINT64_FORMAT " ms before",
			       request->id, worker->service,
			       sent_at - part->changed_at);
	if (request->route && !request->route->is_present &&
	    sent_at > request->route->changed_at + SOAK_CONFIG_APPLY_MS)
		soak_violation(soak,
			       "CONFIG: %s ran on a route removed "
			       "%" G_GINT64_FORMAT " ms before",
			       request->id,
			       sent_at - request->route->changed_at);
}

static void check_drain(const struct soak_request *request,
			const struct soak_worker *worker)
{
	struct soak *soak = worker->soak;
	clk_ms now = soak_now(soak);

	if (worker->is_draining &&
	    now - worker->draining_since > DRAIN_MS + SOAK_SLACK_MS &&
	    request->sent_at > worker->draining_since &&
	    now - request->edge->faulty_until > FAULT_GRACE_MS &&
	    now - soak->store_faulty_until > FAULT_GRACE_MS)
		soak_violation(soak,
			       "DRAIN: %s reached draining %s %" G_GINT64_FORMAT
			       " ms late",
			       request->id, worker->id,
			       now - worker->draining_since);
}

bool soak_note_run(struct soak *soak, struct soak_worker *worker,
		   const char *id)
{
	struct soak_request *request = soak_find_request(soak, id);
	clk_ms removed;

	if (!request) {
		soak_violation(soak,
			       "UNASKED: a worker got %s, which no client sent",
			       id);
		return false;
	}
	request->runs++;
	g_ptr_array_add(request->workers, worker);
	removed = soak->keys[request->key].removed_at;
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
	check_service(request, worker);
	check_drain(request, worker);
	return true;
}

void soak_check_head(struct soak_request *request, const char *signature)
{
	if (request->status == 200 &&
	    (!signature || strcmp(signature + 2, request->id) != 0))
		soak_violation(request->soak,
			       "MIXED: response to %s has signature %s",
			       request->id, signature ? signature : "none");
	if (request->leaving) {
		struct soak_notice *notice =
			&request->leaving->notices[request->edge->index];

		if (!notice->leaving_at && request->leaving->incarnation ==
						   request->leaving_incarnation)
			notice->leaving_at = soak_now(request->soak);
		request->leaving = NULL;
	}
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

/* Whether every configuration that may be in force allows the request. */
static bool must_be_allowed(const struct soak_request *request)
{
	const struct soak_key *key = &request->soak->keys[request->key];

	return !request->route && !key->removed_at &&
	       (!key->restored_at ||
		request->sent_at - key->restored_at > KEY_REMOVAL_MS);
}

static void check_status(struct soak_request *request)
{
	const struct soak_added *route = request->route;
	struct soak *soak = request->soak;
	int status = request->status;

	if (promises_not_run(status)) {
		request->is_refused = true;
		if (request->runs && request->kind == SOAK_NON_IDEMPOTENT)
			soak_violation(soak,
				       "REFUSED: %s has run, but got status %d",
				       request->id, status);
		return;
	}
	if (status >= 400 && status < 500 && must_be_allowed(request))
		soak_violation(soak,
			       "DENIED: %s got status %d with a valid key",
			       request->id, status);
	if (status == 404 && route && route->is_present &&
	    route->changed_at == request->route_changed_at &&
	    request->sent_at > route->changed_at + SOAK_CONFIG_APPLY_MS &&
	    soak_is_in_touch(request->edge, request->sent_at))
		soak_violation(soak,
			       "CONFIG: %s got status 404 on a route added "
			       "%" G_GINT64_FORMAT " ms before",
			       request->id,
			       request->sent_at - route->changed_at);
}

/* Whether a worker that took part gave cause to end the answer early. */
static bool is_worker_at_fault(const struct soak_request *request)
{
	guint i;

	if (request->is_broken_off)
		return true;
	for (i = 0; i < request->workers->len; i++) {
		const struct soak_worker *worker = request->workers->pdata[i];

		if (worker->disrupted_until >=
		    request->sent_at - SOAK_STABLE_MS)
			return true;
	}
	return false;
}

/* A request may also have been sent to a worker that did not receive it. */
static bool is_service_disrupted(const struct soak_request *request)
{
	const GPtrArray *workers = request->soak->workers;
	guint i;

	for (i = 0; i < workers->len; i++) {
		const struct soak_worker *worker = workers->pdata[i];

		if (worker->is_engine == (request->kind == SOAK_STREAM) &&
		    worker->unplanned_until >=
			    request->sent_at - SOAK_STABLE_MS)
			return true;
	}
	return false;
}

/*
 * A request that was read gets a complete answer or a refusal: planned work
 * and silence of workers are no reason to close its connection.
 */
static void check_lost(const struct soak_request *request)
{
	const struct soak_edge *edge = request->edge;
	clk_ms elapsed = soak_now(request->soak) - request->sent_at;
	/* It may cross the close of its connection by an edge that stops. */
	bool may_cross = !request->runs && edge->terminated_at &&
			 elapsed <= LOSS_SLACK_MS;
	clk_ms least;
	clk_ms most;

	soak_timeout_range(request->soak, request->sent_at, &least, &most);
	if (may_cross || elapsed >= least || is_worker_at_fault(request) ||
	    is_service_disrupted(request) ||
	    !soak_is_in_touch(edge, request->sent_at))
		return;
	soak_violation(request->soak,
		       "LOST: %s at %s ends after %" G_GINT64_FORMAT
		       " ms with %zu bytes, status %d, %u runs, %s, connection "
		       "usable for %" G_GINT64_FORMAT " ms",
		       request->id, edge->name, elapsed, request->body->len,
		       request->status, request->runs,
		       edge->terminated_at ? "SIGTERM" : "no SIGTERM",
		       request->kept->max_idle);
}

static void count_overdue(const struct soak_request *request)
{
	struct soak *soak = request->soak;
	clk_ms elapsed = soak_now(soak) - request->sent_at;
	clk_ms least;
	clk_ms most;

	soak_timeout_range(soak, request->sent_at, &least, &most);
	if (elapsed < most ||
	    !soak_is_in_touch(request->edge, request->sent_at))
		return;
	soak->overdue++;
	if (elapsed > most + OVERDUE_MS + SOAK_SLACK_MS)
		soak->long_overdue++;
}

void soak_check_end(struct soak_request *request, enum hup_result how)
{
	bool is_complete = how == HUP_COMPLETE;

	if (request->status == 200 && request->kind == SOAK_STREAM)
		check_events(request, is_complete);
	else if (request->status == 200 && is_complete)
		check_body(request);
	if (is_complete)
		check_status(request);
	if (how == HUP_MALFORMED)
		soak_violation(request->soak,
			       "MIXED: response to %s can't be parsed",
			       request->id);
	if (how == HUP_CONN_LOST)
		check_lost(request);
	count_overdue(request);
}

void soak_check_sums(struct soak *soak)
{
	if (soak->overdue >= MIN_OVERDUE &&
	    soak->long_overdue * 2 > soak->overdue)
		soak_violation(soak,
			       "CONFIG: %u of %u requests without an answer at "
			       "their timeout had none later",
			       soak->long_overdue, soak->overdue);
}
