/* Fake of the platform's instance list: section 2 of docs/interfaces.md. */

#include "server.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One revision of the list. */
struct revision {
	uint64_t number;
	int64_t visible_ms;
	json_t *instances;
};

struct list {
	struct fk_server *server;
	GPtrArray *revisions; /* of struct revision, oldest first */
	int lag_ms;
	uint64_t reads;
};

static void revision_free(void *data)
{
	struct revision *revision = data;

	json_decref(revision->instances);
	g_free(revision);
}

/* Takes over the reference. */
static uint64_t add_revision(struct list *list, json_t *instances,
			     int64_t lag_ms)
{
	struct revision *revision = g_new0(struct revision, 1);

	revision->number = list->revisions->len + 1;
	revision->visible_ms = fk_now_ms() + lag_ms;
	revision->instances = instances;
	g_ptr_array_add(list->revisions, revision);
	return revision->number;
}

/* The newest revision older than the lag; if stale, the one before it. */
static const struct revision *visible_revision(const struct list *list,
					       bool stale)
{
	unsigned i = list->revisions->len;
	int64_t now = fk_now_ms();

	while (i > 1) {
		const struct revision *revision = list->revisions->pdata[--i];

		if (revision->visible_ms > now)
			continue;
		return stale && i > 0 ? list->revisions->pdata[i - 1]
				      : revision;
	}
	return list->revisions->pdata[0];
}

static void handle_get(struct fk_call *call)
{
	struct list *list = call->user;
	uint64_t after = (uint64_t)fk_param_int(call, "after", 0);
	const struct revision *revision = visible_revision(
		list, call->fault.kind == FK_FAULT_STALE_VERSION);

	list->reads++;
	/* A stale response is sent even to a client that has a newer revision.
	 */
	if (revision->number <= after &&
	    call->fault.kind != FK_FAULT_STALE_VERSION) {
		fk_reply(call, 304, NULL, "", 0);
		return;
	}
	fk_reply_json(call, 200,
		      json_pack("{s:I,s:O}", "revision",
				(json_int_t)revision->number, "instances",
				revision->instances));
}

static void handle_set(struct fk_call *call)
{
	struct list *list = call->user;
	json_t *json = fk_json_body(call);
	json_t *instances = json_object_get(json, "instances");
	uint64_t number;

	if (!json)
		return;
	if (json_is_array(instances)) {
		number = add_revision(list, json_incref(instances),
				      list->lag_ms);
		fk_reply_json(
			call, 200,
			json_pack("{s:I}", "revision", (json_int_t)number));
	} else {
		fk_reply_error(call, 400, "bad_request",
			       "instances must be an array");
	}
	json_decref(json);
}

static void handle_lag(struct fk_call *call)
{
	struct list *list = call->user;
	json_t *json = fk_json_body(call);
	const json_t *ms = json_object_get(json, "ms");

	if (!json)
		return;
	if (json_is_integer(ms) && json_integer_value(ms) >= 0) {
		list->lag_ms = (int)json_integer_value(ms);
		fk_reply_json(call, 200, json_object());
	} else {
		fk_reply_error(call, 400, "bad_request",
			       "ms must be a non-negative integer");
	}
	json_decref(json);
}

static void handle_counters(struct fk_call *call)
{
	const struct list *list = call->user;

	fk_reply_json(call, 200,
		      json_pack("{s:I,s:I,s:I}", "reads",
				(json_int_t)list->reads, "revision",
				(json_int_t)list->revisions->len, "lag_ms",
				(json_int_t)list->lag_ms));
}

static json_t *load_file(const char *path)
{
	json_error_t error;
	json_t *json = path ? json_load_file(path, 0, &error) : json_array();

	if (json_is_object(json)) {
		json_t *list = json_incref(json_object_get(json, "instances"));

		json_decref(json);
		json = list;
	}
	if (json_is_array(json))
		return json;
	fprintf(stderr, "%s: no list of instances\n", path);
	exit(1);
}

int main(int argc, const char **argv)
{
	static struct list list;
	static char *file;
	const struct poptOption options[] = {
		{"instances", 'i', POPT_ARG_STRING, &file, 0,
		 "JSON file with the initial list", "FILE"},
		{"lag-ms", 0, POPT_ARG_INT, &list.lag_ms, 0,
		 "delay until a change becomes visible", "MS"},
		POPT_TABLEEND};
	const struct fk_route routes[] = {
		{"GET", "/v1/instances", handle_get},
		{"POST", "/admin/instances", handle_set},
		{"POST", "/admin/lag", handle_lag},
		{"GET", "/admin/counters", handle_counters},
		{NULL, NULL, NULL},
	};

	list.revisions = g_ptr_array_new_with_free_func(revision_free);
	list.server = fk_server_new(argc, argv, options, routes, &list);
	add_revision(&list, load_file(file), 0);
	return fk_server_run(list.server);
}
