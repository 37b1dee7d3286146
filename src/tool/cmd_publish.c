#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "cmd.h"

/* Interval at which --wait polls the instances. */
#define WAIT_POLL_MS 200

/* Unused chunks are deleted from the store at these intervals. */
#define COLLECT_INTERVAL_REVISIONS 20

/* One run of "rules publish". */
struct attempt {
	struct cmd_env *env;
	struct cmd_store *store;
	struct wf_ctx *ctx;
	GBytes *text;
	uint64_t base;
	char *requested_by;
	struct rul_publish *publish;
};

/* Returns the requesters of the lines that the latest revision lacks. */
static char *find_requesters(struct attempt *attempt)
{
	struct rul_manifest *manifest;
	GBytes *latest = NULL;
	gsize len;
	gsize latest_len = 0;
	const char *text = g_bytes_get_data(attempt->text, &len);
	const char *latest_text = "";
	GArray *changes;
	char *names;

	manifest = cmd_store_get_manifest(attempt->store, NULL);
	if (manifest)
		latest = cmd_store_get_text(attempt->store, manifest,
					    attempt->text, NULL);
	if (latest)
		latest_text = g_bytes_get_data(latest, &latest_len);
	changes = rul_diff(latest_text, latest_len, text, len);
	names = rul_diff_requesters(changes);
	g_array_unref(changes);
	if (latest)
		g_bytes_unref(latest);
	rul_manifest_free(manifest);
	return names;
}

/* Runs the publish to its end, executing its store actions in turn. */
static void run_publish(struct attempt *attempt)
{
	struct wf_ctx *ctx = attempt->ctx;
	struct rul_publish *publish = attempt->publish;

	rul_publish_start(ctx, publish);
	while (rul_publish_outcome(publish)->result == RUL_PUBLISH_RUNNING) {
		struct wf_action action;
		struct wf_store_reply reply;

		if (!wf_next_action(ctx, &action)) {
			clk_ms wakeup = rul_publish_next_wakeup(publish);

			if (wakeup > cmd_now())
				g_usleep((gulong)(wakeup - cmd_now()) * 1000);
			ctx->now = MAX(cmd_now(), wakeup);
			rul_publish_tick(ctx, publish);
			continue;
		}
		cmd_store_execute(attempt->store, &action, &reply);
		ctx->now = cmd_now();
		rul_publish_handle(ctx, publish, &reply);
		cmd_store_reply_clear(&reply);
		wf_action_clear(&action);
	}
}

static void run_collect(struct attempt *attempt)
{
	struct rul_gc *collect = rul_gc_new(attempt->env->timeout_ms);
	struct wf_action action;
	unsigned n_deleted;

	attempt->ctx->now = cmd_now();
	rul_gc_start(attempt->ctx, collect);
	while (!rul_gc_done(collect, &n_deleted) &&
	       wf_next_action(attempt->ctx, &action)) {
		struct wf_store_reply reply;

		cmd_store_execute(attempt->store, &action, &reply);
		rul_gc_handle(attempt->ctx, collect, &reply);
		cmd_store_reply_clear(&reply);
		wf_action_clear(&action);
	}
	rul_gc_drop(collect);
}

static unsigned count_in_force(const struct cmd_env *env, struct cmd_http *http,
			       uint64_t revision)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; env->instances[i]; i++) {
		json_t *status =
			cmd_get_instance_status(http, env->instances[i]);

		n += cmd_status_revision(status) >= revision;
		json_decref(status);
	}
	return n;
}

/* Waits until all instances have the revision; returns how many have it. */
static unsigned wait_in_force(const struct cmd_env *env, uint64_t revision)
{
	struct cmd_http *http = cmd_http_new(env->timeout_ms);
	clk_ms end = cmd_now() + env->wait_timeout_s * CLK_SECOND;
	unsigned n_all = g_strv_length(env->instances);
	unsigned n = count_in_force(env, http, revision);

	while (n < n_all && cmd_now() < end) {
		g_usleep(WAIT_POLL_MS * 1000);
		n = count_in_force(env, http, revision);
	}
	cmd_http_drop(http);
	return n;
}

static enum cmd_exit report_accepted(const struct attempt *attempt,
				     const struct rul_publish_outcome *outcome)
{
	const struct cmd_env *env = attempt->env;
	bool wait = env->wait;
	unsigned n_all = wait ? g_strv_length(env->instances) : 0;
	unsigned n;

	if (!env->json)
		printf("revision %" G_GUINT64_FORMAT
		       " accepted: %u chunks, %zu bytes\n",
		       outcome->revision, outcome->n_chunks_put,
		       outcome->chunk_bytes_put);
	if (!outcome->audited && !env->json)
		fprintf(stderr, "wagtailferry: the audit entry could not be "
				"written; the next publish adds it\n");
	fflush(stdout);
	n = wait ? wait_in_force(env, outcome->revision) : 0;
	if (env->json)
		cmd_print_json(json_pack(
			"{s:s,s:I,s:b,s:i,s:I,s:i,s:i}", "result", "accepted",
			"revision", (json_int_t)outcome->revision, "audited",
			(int)outcome->audited, "chunks",
			(int)outcome->n_chunks_put, "bytes",
			(json_int_t)outcome->chunk_bytes_put, "in_force",
			(int)n, "instances", (int)n_all));
	else if (wait)
		printf("in force on %u of %u instances\n", n, n_all);
	return n == n_all ? CMD_OK : CMD_UNREACHABLE;
}

static enum cmd_exit report_conflict(const struct cmd_env *env,
				     const struct rul_publish_outcome *outcome)
{
	char *time = cmd_format_time(outcome->other_time);
	GString *text = g_string_new(NULL);

	if (env->json) {
		json_t *root =
			json_pack("{s:s,s:I,s:s,s:I}", "result", "conflict",
				  "revision", (json_int_t)outcome->revision,
				  "author", outcome->other_author, "time_ms",
				  (json_int_t)outcome->other_time);

		json_object_set_new(root, "changes_from",
				    json_string(outcome->changes_from_base
							? "base"
							: "file"));
		json_object_set_new(root, "changes",
				    outcome->changes
					    ? cmd_changes_json(outcome->changes)
					    : json_null());
		cmd_print_json(root);
	} else {
		g_string_append_printf(
			text,
			"wagtailferry: not published: %s published revision "
			"%" G_GUINT64_FORMAT " at %s\n",
			outcome->other_author, outcome->revision, time);
		if (outcome->changes)
			g_string_append_printf(text,
					       "what changed against %s:\n",
					       outcome->changes_from_base
						       ? "the base of your edit"
						       : "your file");
		if (outcome->changes)
			rul_diff_write(outcome->changes, (size_t)env->limit,
				       text);
		fputs(text->str, stderr);
	}
	g_string_free(text, TRUE);
	g_free(time);
	return CMD_CONFLICT;
}

static enum cmd_exit report_outcome(const struct attempt *attempt)
{
	const struct rul_publish_outcome *outcome;

	outcome = rul_publish_outcome(attempt->publish);
	switch (outcome->result) {
	case RUL_PUBLISH_ACCEPTED:
		return report_accepted(attempt, outcome);
	case RUL_PUBLISH_UNCHANGED:
		if (attempt->env->json)
			cmd_print_json(json_pack(
				"{s:s,s:I}", "result", "unchanged", "revision",
				(json_int_t)outcome->revision));
		else
			printf("revision %" G_GUINT64_FORMAT
			       " has this text already\n",
			       outcome->revision);
		return CMD_OK;
	case RUL_PUBLISH_CONFLICT:
		return report_conflict(attempt->env, outcome);
	case RUL_PUBLISH_UNKNOWN:
		cmd_print_error(attempt->env, outcome->error,
				"outcome unknown: %s; see \"rules history\"",
				outcome->message);
		return CMD_UNKNOWN;
	case RUL_PUBLISH_UNAVAILABLE:
		cmd_print_error(attempt->env, outcome->error,
				"not published: %s", outcome->message);
		return CMD_UNREACHABLE;
	case RUL_PUBLISH_REFUSED:
	case RUL_PUBLISH_RUNNING:
		break;
	}
	cmd_print_error(attempt->env, outcome->error, "not published: %s",
			outcome->message);
	return CMD_REFUSED;
}

/* Sets the base revision from --base or, without it, from the base line. */
static bool choose_base(struct attempt *attempt, uint64_t from_file)
{
	const char *option = attempt->env->base;
	guint64 value = 0;

	if (!option) {
		/* Without a base only a first revision can be published. */
		attempt->base = from_file == RUL_BASE_LATEST ? 0 : from_file;
		return true;
	}
	if (!strcmp(option, "latest")) {
		attempt->base = RUL_BASE_LATEST;
		return true;
	}
	if (!g_ascii_string_to_unsigned(option, 10, 0, G_MAXINT64, &value,
					NULL)) {
		cmd_print_error(attempt->env, ERR_BAD_REQUEST,
				"--base needs a revision or \"latest\"");
		return false;
	}
	attempt->base = value;
	return true;
}

static bool prepare(struct attempt *attempt)
{
	struct cmd_env *env = attempt->env;
	struct rul_publish_config config = {
		.base_revision = attempt->base,
		.timeout = env->timeout_ms,
	};

	config.text = g_bytes_get_data(attempt->text, &config.len);
	config.author.name = env->author ? env->author : g_get_user_name();
	attempt->requested_by = env->requested_by ? g_strdup(env->requested_by)
						  : find_requesters(attempt);
	config.author.requested_by = *attempt->requested_by
					     ? attempt->requested_by
					     : config.author.name;
	config.author.note = env->note;
	if (getrandom(config.author.nonce, RUL_NONCE_BYTES, 0) !=
	    RUL_NONCE_BYTES)
		return false;
	attempt->publish = rul_publish_new(&config, NULL, NULL);
	return attempt->publish;
}

static enum cmd_exit publish_text(struct attempt *attempt)
{
	const struct rul_publish_outcome *outcome;
	enum cmd_exit result;

	attempt->store = cmd_store_new(attempt->env);
	if (!attempt->store)
		return CMD_USAGE;
	if (!prepare(attempt)) {
		cmd_print_error(attempt->env, ERR_INTERNAL,
				"cannot start to publish");
		return CMD_REFUSED;
	}
	attempt->ctx = wf_ctx_new("operator", "", 0,
				  (uint64_t)g_get_real_time(), NULL, NULL);
	attempt->ctx->now = cmd_now();
	run_publish(attempt);
	result = report_outcome(attempt);
	outcome = rul_publish_outcome(attempt->publish);
	if (outcome->result == RUL_PUBLISH_ACCEPTED &&
	    outcome->revision % COLLECT_INTERVAL_REVISIONS == 0)
		run_collect(attempt);
	return result;
}

enum cmd_exit cmd_rules_publish(struct cmd_env *env)
{
	struct attempt attempt = {.env = env};
	enum cmd_exit result = CMD_USAGE;
	GError *error = NULL;
	uint64_t base;
	GBytes *file;

	if (env->wait && !env->instances) {
		cmd_print_error(env, ERR_BAD_REQUEST,
				"--wait needs --instance");
		return CMD_USAGE;
	}
	file = cmd_read_file(env->args[0], &error);
	if (!file)
		return cmd_report_error(env, error);
	attempt.text = cmd_strip_base_line(file, &base);
	if (!cmd_check_rules(env, env->args[0], attempt.text,
			     base != RUL_BASE_LATEST))
		result = CMD_REFUSED;
	else if (choose_base(&attempt, base))
		result = publish_text(&attempt);
	rul_publish_drop(attempt.publish);
	wf_ctx_drop(attempt.ctx);
	cmd_store_drop(attempt.store);
	g_free(attempt.requested_by);
	g_bytes_unref(attempt.text);
	g_bytes_unref(file);
	return result;
}
