#include "server.h"
#include "server_priv.h"

#include <string.h>

static void add_fault(struct fk_call *call)
{
	json_t *json = fk_json_body(call);
	const char *message;
	uint64_t id;

	if (!json)
		return;
	id = fk_faults_add(call->server->faults, json, &message);
	json_decref(json);
	if (!id) {
		fk_reply_error(call, 400, "bad_request", message);
		return;
	}
	fk_reply_json(call, 200, json_pack("{s:I}", "id", (json_int_t)id));
}

static void clear_faults(struct fk_call *call)
{
	fk_faults_clear(call->server->faults,
			(uint64_t)fk_param_int(call, "id", 0));
	fk_reply_json(call, 200, json_object());
}

bool fk_admin_handle(struct fk_call *call)
{
	struct fk_server *server = call->server;

	if (!strcmp(call->path, "/admin/calls")) {
		fk_reply_json(call, 200, json_deep_copy(server->counts));
		return true;
	}
	if (strcmp(call->path, "/admin/fault") != 0)
		return false;
	if (!strcmp(call->method, "POST"))
		add_fault(call);
	else if (!strcmp(call->method, "DELETE"))
		clear_faults(call);
	else
		fk_reply_json(call, 200,
			      json_pack("{s:o}", "faults",
					fk_faults_json(server->faults)));
	return true;
}

void fk_count_call(struct fk_server *server, const struct fk_call *call)
{
	char *name;

	if (!call->route || g_str_has_prefix(call->path, "/admin/"))
		return;
	name = g_strdup_printf("%s %s", call->method, call->route->path);
	json_object_set_new(server->counts, name,
			    json_integer(json_integer_value(json_object_get(
						 server->counts, name)) +
					 1));
	g_free(name);
}
