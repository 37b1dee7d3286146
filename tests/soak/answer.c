#include <string.h>

#include "soak.h"

/* A request whose response is sent after a simulated run time. */
struct work {
	uv_timer_t timer;
	struct soak_worker *worker;
	int64_t incarnation;
	struct wire_conn *conn;
	uint64_t serial;
	char *id;
};

bool soak_chance(struct soak *soak, double probability)
{
	return g_rand_double(soak->rand) < probability;
}

char *soak_answer_fields(struct soak_worker *worker, const char *id)
{
	struct soak_request *request = soak_find_request(worker->soak, id);

	if (worker->says_leaving && request) {
		request->leaving = worker;
		request->leaving_incarnation = worker->incarnation;
	}
	return g_strdup_printf("%s%s%s%s%s", id ? ptf_fields.attempt_id : "",
			       id ? ": " : "", id ? id : "", id ? "\r\n" : "",
			       worker->says_leaving ? WORLD_LEAVING ": 1\r\n"
						    : "");
}

/* The header line for the time in which the worker wants nothing, or "". */
static char *note_retry_after(struct soak_worker *worker, const char *id)
{
	struct soak_request *request = soak_find_request(worker->soak, id);
	clk_ms now = soak_now(worker->soak);
	struct soak_notice *notice;

	if (!request || worker->full_until <= now)
		return g_strdup("");
	notice = &worker->notices[request->edge->index];
	if (notice->refused_until <= now) {
		notice->refused_from = now + CLK_SECOND / 2;
		notice->arrivals = 0;
	}
	notice->refused_until = worker->full_until;
	return g_strdup_printf("Retry-After: %.3f\r\n",
			       (double)(worker->full_until - now) / CLK_SECOND);
}

void soak_refuse(struct soak_worker *worker, struct wire_conn *conn,
		 const char *id, int status)
{
	char *fields = soak_answer_fields(worker, id);
	char *later =
		status == 503 ? note_retry_after(worker, id) : g_strdup("");
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n"
				     "%s%s%s: 1\r\n\r\n",
				     status, fields, later, ptf_fields.not_run);

	wire_send(conn, text);
	if (id)
		g_hash_table_insert(worker->refusals,
				    GSIZE_TO_POINTER(wire_serial(conn)), text);
	else
		g_free(text);
	g_free(fields);
	g_free(later);
}

void soak_repeat_refusal(struct soak_worker *worker, struct wire_conn *conn,
			 const char *id)
{
	const char *text = g_hash_table_lookup(
		worker->refusals, GSIZE_TO_POINTER(wire_serial(conn)));
	char *line = g_strdup_printf("%s: %s\r\n", ptf_fields.attempt_id, id);

	/* A copy with the id of the request itself would be an answer to it. */
	if (text && !strstr(text, line) && soak_chance(worker->soak, 0.5))
		wire_send(conn, text);
	g_free(line);
}

static void send_result(struct work *work)
{
	struct soak *soak = work->worker->soak;
	double draw = g_rand_double(soak->rand);
	char *fields = soak_answer_fields(work->worker, work->id);
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n%s%s: s-%s\r\n",
				     fields, ptf_fields.signature, work->id);
	char *whole = g_strdup_printf("%sContent-Length: %zu\r\n\r\nown %s",
				      head, strlen(work->id) + 4, work->id);
	char *text = NULL;

	if (draw < 0.02) {
		/* Without a length, and reset in the middle. */
		text = g_strdup_printf("%s\r\nown", head);
		soak_note_broken_off(soak, work->id);
		wire_end_and_reset(work->conn, text);
	} else if (draw < 0.04) {
		soak_note_broken_off(soak, work->id);
		wire_hang_up(work->conn);
	} else if (draw < 0.06) {
		text = g_strdup_printf("%s%s: s\r\n", fields,
				       ptf_fields.signature);
		soak_note_broken_off(soak, work->id);
		wire_answer(work->conn, 500, text, "failed");
	} else if (draw < 0.08) {
		wire_send(work->conn, whole);
		wire_send(work->conn, whole);
	} else if (draw < 0.2) {
		/* Complete with the end of its connection. */
		text = g_strdup_printf("%s\r\nown %s", head, work->id);
		wire_send(work->conn, text);
		wire_hang_up(work->conn);
	} else {
		wire_send(work->conn, whole);
	}
	g_free(fields);
	g_free(head);
	g_free(whole);
	g_free(text);
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
	struct soak_worker *worker = work->worker;

	if (soak_is_silent(worker) &&
	    work->incarnation == worker->incarnation) {
		uv_timer_start(timer, on_work_done,
			       (uint64_t)(worker->silent_until -
					  soak_now(worker->soak)) +
				       1,
			       0);
		return;
	}
	if (wire_is_open(worker->server, work->conn, work->serial) &&
	    work->incarnation == worker->incarnation && !worker->is_dead)
		send_result(work);
	uv_close((uv_handle_t *)timer, on_work_closed);
}

void soak_start_work(struct soak_worker *worker, struct wire_conn *conn,
		     const char *id)
{
	struct soak *soak = worker->soak;
	struct work *work;

	if (!soak_note_run(soak, worker, id))
		return;
	soak_repeat_refusal(worker, conn, id);
	work = g_new0(struct work, 1);
	work->worker = worker;
	work->incarnation = worker->incarnation;
	work->conn = conn;
	work->serial = wire_serial(conn);
	work->id = g_strdup(id);
	uv_timer_init(&soak->world.wire.loop, &work->timer);
	work->timer.data = work;
	uv_timer_start(&work->timer, on_work_done,
		       (uint64_t)g_rand_int_range(soak->rand, 2, 40), 0);
}
