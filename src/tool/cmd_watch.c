#include <stdio.h>
#include <string.h>

#include "cmd.h"

/* Time limit of one watch request, and the pause if the store is down. */
#define WATCH_TIMEOUT_MS 30000
#define WATCH_RETRY_MS 1000

static void print_manifest(const struct cmd_env *env,
			   const struct rul_manifest *manifest)
{
	char *time = cmd_format_time(manifest->time);

	if (env->json)
		cmd_print_json(json_pack("{s:I,s:s,s:s,s:I,s:s}", "revision",
					 (json_int_t)manifest->revision,
					 "author", manifest->author,
					 "requested_by", manifest->requested_by,
					 "time_ms", (json_int_t)manifest->time,
					 "note", manifest->note));
	else
		printf("revision %" G_GUINT64_FORMAT
		       "  %s  by %s, requested by %s%s%s\n",
		       manifest->revision, time, manifest->author,
		       manifest->requested_by, *manifest->note ? "  " : "",
		       manifest->note);
	fflush(stdout);
	g_free(time);
}

enum cmd_exit cmd_rules_watch(struct cmd_env *env)
{
	struct cmd_store *store = cmd_store_new(env);
	uint64_t revision = 0;
	uint64_t after = 0;
	int n_printed = 0;

	if (!store)
		return CMD_USAGE;
	while (!env->count || n_printed < env->count) {
		uint64_t version = after;
		GBytes *value;
		struct rul_manifest *manifest = NULL;

		value = cmd_store_get(store, RUL_MANIFEST_NAME, &version, NULL);
		if (value) {
			manifest = rul_manifest_decode(value, NULL);
			g_bytes_unref(value);
		}
		/* A chunk collection rewrites the manifest, keeping its
		 * revision. */
		if (manifest && manifest->revision > revision) {
			revision = manifest->revision;
			print_manifest(env, manifest);
			n_printed++;
		}
		rul_manifest_free(manifest);
		after = MAX(after, version);
		if (env->count && n_printed >= env->count)
			break;
		if (!cmd_store_watch(store, RUL_MANIFEST_NAME, after,
				     WATCH_TIMEOUT_MS))
			g_usleep(WATCH_RETRY_MS * 1000);
	}
	cmd_store_drop(store);
	return CMD_OK;
}
