#include <stdlib.h>
#include <string.h>

#include "soak.h"

/*
 * Callers that send little: each uses one connection again when it has been
 * idle for almost as long as its caller may rely on it.
 */

#define IDLE_CALLERS 12
#define TICK_MS 20
#define REQUEST_TIMEOUT_MS 4000

struct idle_caller {
	struct soak *soak;
	struct soak_edge *edge;
	/* NULL while it has no connection. */
	struct wire_client *client;
	/* NULL while the connection is idle. */
	struct soak_request *request;
	struct soak_kept kept;
	clk_ms answered_at;
};

static void send_request(struct idle_caller *caller)
{
	GString *bytes;

	caller->request = soak_request_new(caller->soak, caller->edge);
	caller->request->kept = &caller->kept;
	bytes = soak_request_bytes(caller->request, "GET /read/x");
	g_string_truncate(caller->client->received, 0);
	wire_client_send(caller->client, bytes->str);
	g_string_free(bytes, TRUE);
}

static void drop_client(struct idle_caller *caller)
{
	wire_client_drop(caller->client);
	caller->client = NULL;
	caller->request = NULL;
}

static void open_client(struct idle_caller *caller)
{
	caller->edge = soak_choose_edge(caller->soak);
	if (!caller->edge)
		return;
	caller->client = wire_client_new(&caller->soak->world.wire,
					 caller->edge->address);
	caller->kept.max_idle = 0;
	send_request(caller);
}

static bool is_answered(const struct idle_caller *caller)
{
	const char *text = caller->client->received->str;
	const char *length = strstr(text, "\r\nContent-Length: ");
	const char *end = strstr(text, "\r\n\r\n");

	return length && end && length < end &&
	       strlen(end + 4) >= strtoul(strchr(length, ':') + 1, NULL, 10);
}

static void await_answer(struct idle_caller *caller)
{
	struct soak_request *request = caller->request;
	clk_ms now = soak_now(caller->soak);

	if (is_answered(caller)) {
		caller->request = NULL;
		caller->answered_at = now;
		caller->kept.max_idle =
			soak_known_idle_timeout(caller->soak) * 4 / 5;
		if (strstr(caller->client->received->str,
			   "\r\nConnection: close\r\n"))
			drop_client(caller);
		return;
	}
	if (caller->client->closed && caller->client->connected)
		soak_check_end(request, HUP_CONN_LOST);
	if (caller->client->closed ||
	    now - request->sent_at > REQUEST_TIMEOUT_MS)
		drop_client(caller);
}

/* A request may be on its way when the connection is closed. */
static void watch_idle(struct idle_caller *caller)
{
	const struct soak_edge *edge = caller->edge;
	clk_ms idle = soak_now(caller->soak) - caller->answered_at;

	if (!caller->client->closed) {
		if (idle > caller->kept.max_idle - 2 * TICK_MS)
			send_request(caller);
		return;
	}
	if (!edge->terminated_at && soak_is_in_touch(edge, caller->answered_at))
		soak_violation(caller->soak,
			       "LOST: %s closed a connection that was idle for "
			       "%" G_GINT64_FORMAT
			       " ms and that its caller may use for "
			       "%" G_GINT64_FORMAT " ms",
			       edge->name, idle, caller->kept.max_idle);
	drop_client(caller);
}

static void on_tick(uv_timer_t *timer)
{
	struct soak *soak = timer->data;
	guint i;

	for (i = 0; i < soak->idle_callers->len; i++) {
		struct idle_caller *caller = soak->idle_callers->pdata[i];

		if (!caller->client)
			open_client(caller);
		else if (caller->request)
			await_answer(caller);
		else
			watch_idle(caller);
	}
}

void soak_start_idle_callers(struct soak *soak)
{
	unsigned i;

	soak->idle_callers = g_ptr_array_new();
	for (i = 0; i < IDLE_CALLERS; i++) {
		struct idle_caller *caller = g_new0(struct idle_caller, 1);

		caller->soak = soak;
		g_ptr_array_add(soak->idle_callers, caller);
	}
	uv_timer_init(&soak->world.wire.loop, &soak->idle_timer);
	soak->idle_timer.data = soak;
	uv_timer_start(&soak->idle_timer, on_tick, TICK_MS, TICK_MS);
}
