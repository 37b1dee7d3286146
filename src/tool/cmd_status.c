#include <stdio.h>

#include "cmd.h"

json_t *cmd_get_instance_status(struct cmd_http *http, const char *address)
{
	char *url = g_strdup_printf("http://%s/status", address);
	struct cmd_response response;
	json_t *status = NULL;

	cmd_http_request(http, "GET", url, NULL, NULL, 0, &response);
	if (response.status == 200)
		status = json_loadb((const char *)response.body->data,
				    response.body->len, 0, NULL);
	cmd_response_clear(&response);
	g_free(url);
	return status;
}

uint64_t cmd_status_revision(const json_t *status)
{
	json_t *value = json_object_get(status, "rules_revision");

	return (uint64_t)json_integer_value(value);
}

static void print_instance(const char *address, const json_t *status)
{
	if (status)
		printf("%-21s  rules revision %" G_GUINT64_FORMAT "\n", address,
		       cmd_status_revision(status));
	else
		printf("%-21s  does not answer\n", address);
}

/* Prints the status of all instances; false if one does not answer. */
static bool ask_instances(const struct cmd_env *env, json_t *list)
{
	struct cmd_http *http = cmd_http_new(env->timeout_ms);
	bool all_answered = true;
	size_t i;

	for (i = 0; env->instances && env->instances[i]; i++) {
		const char *address = env->instances[i];
		json_t *status = cmd_get_instance_status(http, address);

		all_answered &= status != NULL;
		if (!env->json)
			print_instance(address, status);
		json_array_append_new(list,
				      json_pack("{s:s,s:o}", "address", address,
						"status",
						status ? status : json_null()));
	}
	cmd_http_drop(http);
	return all_answered;
}

/*
 * Gets and prints the latest revision in the store, 0 if it has none. False if
 * the manifest cannot be read.
 */
static bool ask_store(const struct cmd_env *env, uint64_t *revision)
{
	struct cmd_store *store = cmd_store_new(env);
	GError *error = NULL;
	struct rul_manifest *manifest = cmd_store_get_manifest(store, &error);
	bool ok = manifest || error->code == ERR_NOT_FOUND;

	*revision = manifest ? manifest->revision : 0;
	if (!env->json && ok)
		printf("%-21s  rules revision %" G_GUINT64_FORMAT "\n", "store",
		       *revision);
	else if (!env->json)
		printf("%-21s  %s\n", "store", error->message);
	g_clear_error(&error);
	rul_manifest_free(manifest);
	cmd_store_drop(store);
	return ok;
}

enum cmd_exit cmd_status(struct cmd_env *env)
{
	json_t *root = json_object();
	json_t *list = json_array();
	bool has_store = env->store || g_getenv("WAGTAILFERRY_STORE");
	uint64_t revision = 0;
	bool ok = true;

	if (!has_store && !env->instances) {
		json_decref(root);
		json_decref(list);
		cmd_print_error(env, ERR_BAD_REQUEST,
				"no address: use --store or --instance");
		return CMD_USAGE;
	}
	if (has_store) {
		ok = ask_store(env, &revision);
		json_object_set_new(root, "store_revision",
				    ok ? json_integer((json_int_t)revision)
				       : json_null());
	}
	ok &= ask_instances(env, list);
	json_object_set_new(root, "instances", list);
	if (env->json)
		cmd_print_json(root);
	else
		json_decref(root);
	return ok ? CMD_OK : CMD_UNREACHABLE;
}
