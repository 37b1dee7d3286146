#include <string.h>

#include <wagtailferry/state.h>

#include "claims_check.h"

struct wf_module *claims_make(struct wf_ctx *ctx, void *user)
{
	return clm_module(clm_new(ctx, user));
}

static bool is_run_of(const struct sim_run *run, const char *org,
		      const char *key)
{
	char target_key[CLM_TARGET_KEY_SIZE];

	clm_target_key(org, key, target_key);
	return !g_strcmp0(run->key, target_key);
}

unsigned claims_runs_of(const struct sim *sim, const char *org, const char *key)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < sim->runs->len; i++)
		n += is_run_of(sim->runs->pdata[i], org, key);
	return n;
}

static const struct sim_call *find_call(const struct sim *sim, uint64_t id)
{
	return g_hash_table_lookup(sim->calls_by_id, &id);
}

/* The key of a call that is not repeatable runs at most once. */
static char *check_single_runs(const struct sim *sim)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	char *problem = NULL;
	guint i;

	for (i = 0; i < sim->runs->len && !problem; i++) {
		const struct sim_run *run = sim->runs->pdata[i];
		const struct sim_call *call = find_call(sim, run->call_id);

		if (!call || call->repeatable)
			continue;
		if (!g_hash_table_add(seen, run->key))
			problem = g_strdup_printf("key %s ran twice, last for "
						  "call %d of %s",
						  call->key, (int)call->id,
						  run->target);
	}
	g_hash_table_unref(seen);
	return problem;
}

/*
 * An error with "not run" is wrong if the key and body were dispatched by the
 * same instance for this call, or for an earlier call that this one had joined.
 */
static bool contradicts(const struct sim *sim, const struct sim_call *call,
			const struct sim_run *run)
{
	const struct sim_call *cause = find_call(sim, run->call_id);

	if (run->call_id == call->id)
		return true;
	/* Repeatable calls never share a run. */
	if (!cause || cause->repeatable || run->instance != call->instance ||
	    run->generation != call->generation)
		return false;
	return is_run_of(run, call->org, call->key) &&
	       g_bytes_equal(run->body, call->body) &&
	       cause->arrived <= call->answered_at &&
	       run->dispatched_at >= call->arrived && cause->id < call->id;
}

static char *check_not_run(const struct sim *sim, const struct sim_call *call)
{
	guint i;

	if (!call->n_answers || !call->refused || call->run != ERR_RUN_NOT)
		return NULL;
	for (i = 0; i < sim->runs->len; i++)
		if (contradicts(sim, call, sim->runs->pdata[i]))
			return g_strdup_printf(
				"call %d (%s) was told %s not_run but ran",
				(int)call->id, call->key,
				err_name(call->error));
	return NULL;
}

static char *check_answered(const struct sim_call *call)
{
	clk_ms limit = MAX(call->deadline, call->paused_until);

	if (call->gone)
		return NULL;
	if (call->n_answers != 1)
		return g_strdup_printf(
			"call %d (%s) got %u answers", (int)call->id,
			call->key ? call->key : "", call->n_answers);
	if (call->answered_at > limit + CLAIMS_ANSWER_BOUND_MS)
		return g_strdup_printf("call %d (%s) was answered %d ms late",
				       (int)call->id,
				       call->key ? call->key : "",
				       (int)(call->answered_at - limit));
	return NULL;
}

/* An answer must come from a run of the caller's own key and body. */
static char *check_own_answer(const struct sim *sim,
			      const struct sim_call *call)
{
	guint i;

	if (!call->n_answers || call->refused || call->repeatable)
		return NULL;
	for (i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (is_run_of(run, call->org, call->key) && call->answer &&
		    g_bytes_equal(run->body, call->body) &&
		    g_bytes_equal(run->answer, call->answer))
			return NULL;
	}
	return g_strdup_printf("call %d (%s) got an answer that is not its own",
			       (int)call->id, call->key);
}

static char *check_same_answer(const struct sim *sim)
{
	GHashTable *answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char *problem = NULL;
	guint i;

	for (i = 0; i < sim->calls->len && !problem; i++) {
		const struct sim_call *call = sim->calls->pdata[i];
		GBytes *first;
		char *name;

		if (!call->n_answers || call->refused || call->repeatable)
			continue;
		name = g_strdup_printf("%s %s", call->org, call->key);
		first = g_hash_table_lookup(answers, name);
		if (first && !g_bytes_equal(first, call->answer))
			problem = g_strdup_printf("key %s got two answers",
						  call->key);
		g_hash_table_replace(answers, name, call->answer);
	}
	g_hash_table_unref(answers);
	return problem;
}

char *claims_check(const struct sim *sim)
{
	char *problem = check_single_runs(sim);
	guint i;

	if (!problem)
		problem = check_same_answer(sim);
	for (i = 0; i < sim->calls->len && !problem; i++) {
		const struct sim_call *call = sim->calls->pdata[i];

		problem = check_not_run(sim, call);
		if (!problem)
			problem = check_answered(call);
		if (!problem)
			problem = check_own_answer(sim, call);
	}
	return problem;
}
