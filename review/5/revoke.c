#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/standin/kit.h"

/*
 * The operator takes the keys of the last organisation away, by a version whose
 * list of organisations is empty. Requests with such a key, sent later than
 * revoke-ms after the acknowledgement, must not run.
 */

#define REVOKE_MS 5000
#define REVOKE_AT_MS 2000
#define SEND_INTERVAL_MS 100
#define END_MS 13000
#define KEY "n2ctnfzs989anu6wsjnb"
#define WORK_MS 20

struct job {
	struct kit_conn *conn;
	char *id;
};

static struct kit_server *worker;
static struct kit_edge *edge;
static int64_t revoked_at;
static unsigned sent;
static unsigned sent_late;
static unsigned ran_late;
static unsigned served_before;
/* Ids of the attempts that were sent too late. */
static GHashTable *late;

static void finish_job(void *user)
{
	struct job *job = user;
	char *fields =
		g_strdup_printf("X-Wagtailferry-Attempt-Id: %s\r\n"
				"X-Wagtailferry-Server-Stamp: stamp.%s\r\n",
				job->id, job->id);

	if (kit_conn_is_open(job->conn))
		kit_answer(job->conn, 200, fields, "order", 5);
	kit_conn_drop(job->conn);
	g_free(fields);
	g_free(job->id);
	g_free(job);
}

static void on_request(struct kit_conn *conn, struct kit_message *request,
		       void *user)
{
	const char *id = kit_field(request, "x-wagtailferry-attempt-id");
	const char *org = kit_field(request, "x-wagtailferry-tenant");
	struct job *job;

	(void)user;
	if (!id) {
		kit_answer(conn, 200, "", "", 0);
		return;
	}
	if (g_hash_table_contains(late, id))
		ran_late++;
	kit_record("worker runs %s, tenant %s", id, org ? org : "(none)");
	job = g_new0(struct job, 1);
	job->conn = kit_conn_keep(conn);
	job->id = g_strdup(id);
	kit_after(WORK_MS, finish_job, job);
}

static void on_answer(struct kit_client *client, struct kit_message *answer,
		      void *user)
{
	char *id = user;

	kit_record("client: %s gets %d", id, answer->status);
	if (answer->status == 200 && !revoked_at)
		served_before++;
	kit_client_close(client);
	g_free(id);
}

static void send_order(void *user)
{
	char *id = g_strdup_printf("%08x%08x", ++sent, g_random_int());
	char *request =
		g_strdup_printf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\n"
				"X-Wagtailferry-Attempt-Id: %s\r\n"
				"X-Wagtailferry-Deadline-Ms: 1500\r\n"
				"Authorization: Token " KEY "\r\n"
				"Content-Length: 5\r\n\r\nswans",
				KIT_HOST, id);

	if (revoked_at && kit_now() > revoked_at + REVOKE_MS) {
		sent_late++;
		g_hash_table_add(late, g_strdup(id));
	}
	kit_request(kit_connect(kit_front(edge)), request, strlen(request),
		    on_answer, id);
	g_free(request);
	kit_after(SEND_INTERVAL_MS, send_order, user);
}

static json_t *make_config(int version, json_t *tenants)
{
	return kit_config(
		version,
		json_pack("[o]",
			  kit_route("/puxa403/", "non_idempotent", "orderdisk",
				    1, json_pack("{s:i}", "timeout-ms", 1500))),
		json_pack("[{s:s,s:s,s:i,s:s,s:b}]", "name", "orderdisk",
			  "health-path", "/healthz", "max-conns", 110,
			  "protocol", "h1", "tls", 0),
		tenants);
}

static json_t *one_tenant(void)
{
	return json_pack("[{s:s,s:[s],s:i}]", "name", "hule930", "api-keys",
			 KEY, "priority", 1);
}

/* Without the trouble, a version that changes nothing. */
static void revoke(void *user)
{
	(void)user;
	kit_put("config", "main",
		make_config(12, kit_trouble ? json_array() : one_tenant()));
	if (kit_trouble)
		revoked_at = kit_now();
	kit_record("version 12 is acknowledged, keys %s",
		   kit_trouble ? "taken away" : "as before");
}

static void judge(void *user)
{
	(void)user;
	kit_record("sent %u; served before the change %u; sent later than "
		   "%d ms after it %u, of which %u ran",
		   sent, served_before, REVOKE_MS, sent_late, ran_late);
	if (!served_before)
		kit_finish(KIT_NOT_RUN);
	kit_finish(ran_late ? KIT_BROKEN : KIT_HELD);
}

static void on_ready(void *user)
{
	send_order(user);
	kit_after(REVOKE_AT_MS, revoke, user);
	kit_after(END_MS, judge, user);
}

int main(int argc, char **argv)
{
	kit_open(argc, argv);
	late = g_hash_table_new(g_str_hash, g_str_equal);
	kit_open_store();
	kit_put("config", "main", make_config(7, one_tenant()));
	worker = kit_listen("127.0.0.1", on_request, NULL);
	kit_put_worker("i-worker-0", "orderdisk", kit_address(worker));
	edge = kit_start_edge("edge-svealand-a-1", "127.0.0.1");
	kit_await_ready(edge, on_ready, NULL);
	kit_run();
}
