/* Fake of a booking service: section 4 of docs/interfaces.md. */

#include "server.h"

#include <popt.h>
#include <stdlib.h>
#include <string.h>

/* Runs of one idempotency key. */
struct record {
	char *key;
	char *operation;
	unsigned runs;
	unsigned running;
	char *answer;	    /* of the last complete run */
	GPtrArray *waiting; /* repeated calls, if idempotent */
};

struct service {
	struct fk_server *server;
	GHashTable *records; /* key -> struct record */
	GPtrArray *order;    /* records by first use; borrowed */
	json_t *delays;	     /* operation -> ms */
	int idempotent;
	int has_status;
	int delay_ms;
	int slots;
	unsigned running;
	bool leaving;
};

/* One run of an operation. */
struct job {
	struct service *service;
	struct record *record;
	struct fk_call *call;
	unsigned number;
	char *body;
};

static struct record *get_or_add_record(struct service *service,
					const char *key, const char *operation)
{
	struct record *record = g_hash_table_lookup(service->records, key);

	if (record)
		return record;
	record = g_new0(struct record, 1);
	record->key = g_strdup(key);
	record->operation = g_strdup(operation);
	record->waiting = g_ptr_array_new();
	g_hash_table_insert(service->records, record->key, record);
	g_ptr_array_add(service->order, record);
	return record;
}

static char *format_job_answer(const struct job *job)
{
	json_t *json = json_pack(
		"{s:s,s:s,s:i,s:s}", "operation", job->record->operation, "key",
		job->record->key, "run", (int)job->number, "body", job->body);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static void reply_text(struct fk_call *call, const char *text)
{
	fk_reply(call, 200, "application/json", text, strlen(text));
}

static void finish_job(void *data)
{
	struct job *job = data;
	struct record *record = job->record;
	unsigned i;

	free(record->answer);
	record->answer = format_job_answer(job);
	record->running--;
	job->service->running--;
	reply_text(job->call, record->answer);
	for (i = 0; i < record->waiting->len; i++) {
		reply_text(record->waiting->pdata[i], record->answer);
		fk_call_drop(record->waiting->pdata[i]);
	}
	g_ptr_array_set_size(record->waiting, 0);
	fk_call_drop(job->call);
	g_free(job->body);
	g_free(job);
}

static void start_job(struct service *service, struct record *record,
		      struct fk_call *call)
{
	const json_t *delay =
		json_object_get(service->delays, record->operation);
	struct job *job = g_new0(struct job, 1);
	json_int_t ms = delay ? json_integer_value(delay) : service->delay_ms;

	job->service = service;
	job->record = record;
	job->call = fk_call_keep(call);
	job->number = ++record->runs;
	job->body = g_utf8_make_valid(call->body, (gssize)call->body_len);
	record->running++;
	service->running++;
	if (ms > 0)
		fk_after(fk_loop(service->server), (uint64_t)ms, finish_job,
			 job);
	else
		finish_job(job);
}

static void run_key(struct fk_call *call, const char *key)
{
	struct service *service = call->user;
	struct record *record = get_or_add_record(service, key, call->rest);

	if (service->idempotent && record->running)
		g_ptr_array_add(record->waiting, fk_call_keep(call));
	else if (service->idempotent && record->answer)
		reply_text(call, record->answer);
	else
		start_job(service, record, call);
}

static void handle_call(struct fk_call *call)
{
	const struct service *service = call->user;
	char *key = fk_header(call, "idempotency-key");

	if (!key || !*key) {
		fk_reply_error(call, 400, "key_required", "no Idempotency-Key");
	} else if (service->leaving) {
		fk_add_header(call, "retry-after", "1");
		fk_reply_error(call, 503, "leaving", "the service is leaving");
	} else {
		run_key(call, key);
	}
	g_free(key);
}

static void handle_status(struct fk_call *call)
{
	const struct service *service = call->user;
	char *key = g_uri_unescape_string(call->rest, NULL);
	const struct record *record =
		key ? g_hash_table_lookup(service->records, key) : NULL;

	if (!service->has_status)
		fk_reply_error(call, 404, "not_found",
			       "this service has no status call");
	else if (!record)
		fk_reply_error(call, 404, "absent", "unknown key");
	else if (record->answer)
		fk_reply_json(call, 200,
			      json_pack("{s:s,s:i,s:s}", "state", "done",
					"status", 200, "body", record->answer));
	else
		fk_reply_json(call, 200,
			      json_pack("{s:s}", "state", "running"));
	g_free(key);
}

static void handle_load(struct fk_call *call)
{
	const struct service *service = call->user;

	fk_reply_json(call, 200,
		      json_pack("{s:i,s:i,s:i,s:f,s:i,s:b}", "running",
				(int)service->running, "queued", 0, "slots",
				service->slots, "step_us", 0.0,
				"kv_free_blocks", 0, "leaving",
				(int)service->leaving));
}

static void handle_records(struct fk_call *call)
{
	const struct service *service = call->user;
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < service->order->len; i++) {
		const struct record *record = service->order->pdata[i];

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:i,s:b}", "key", record->key,
					"operation", record->operation, "runs",
					(int)record->runs, "done",
					record->answer != NULL));
	}
	fk_reply_json(call, 200, json_pack("{s:o}", "keys", list));
}

static void handle_set(struct fk_call *call)
{
	struct service *service = call->user;
	json_t *json = fk_json_body(call);
	json_t *value;

	if (!json)
		return;
	if ((value = json_object_get(json, "delays")))
		json_object_update(service->delays, value);
	if ((value = json_object_get(json, "idempotent")))
		service->idempotent = json_is_true(value);
	if ((value = json_object_get(json, "has_status")))
		service->has_status = json_is_true(value);
	if ((value = json_object_get(json, "leaving")))
		service->leaving = json_is_true(value);
	json_decref(json);
	fk_reply_json(call, 200, json_object());
}

static const struct fk_route routes[] = {
	{"POST", "/call/", handle_call},
	{"GET", "/status/", handle_status},
	{"GET", "/v1/load", handle_load},
	{"GET", "/v1/records", handle_records},
	{"POST", "/admin/service", handle_set},
	{NULL, NULL, NULL},
};

int main(int argc, const char **argv)
{
	static struct service service = {.slots = 64};
	const struct poptOption options[] = {
		{"idempotent", 0, POPT_ARG_NONE, &service.idempotent, 0,
		 "replay the stored response of a repeated key", NULL},
		{"status", 0, POPT_ARG_NONE, &service.has_status, 0,
		 "answer /status/<key>", NULL},
		{"delay-ms", 0, POPT_ARG_INT, &service.delay_ms, 0,
		 "duration of a run", "MS"},
		{"slots", 0, POPT_ARG_INT, &service.slots, 0,
		 "slots stated in the load report", "N"},
		POPT_TABLEEND};

	service.records = g_hash_table_new(g_str_hash, g_str_equal);
	service.order = g_ptr_array_new();
	service.delays = json_object();
	service.server = fk_server_new(argc, argv, options, routes, &service);
	return fk_server_run(service.server);
}
