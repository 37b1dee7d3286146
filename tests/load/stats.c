#include "load.h"

#include <string.h>

/* Limit on the samples kept per series; further ones are only counted. */
#define VALUES_MAX 2000000

static const char *const kind_names[LOAD_N_KINDS] = {
	[LOAD_SHORT] = "short",
	[LOAD_LONG] = "long",
	[LOAD_BOOKING] = "booking",
	[LOAD_REPEAT] = "repeated_booking",
};

static const char *const outcome_names[LOAD_N_OUTCOMES] = {
	[LOAD_COMPLETE] = "complete",	  [LOAD_WRONG] = "wrong",
	[LOAD_INCOMPLETE] = "incomplete", [LOAD_REFUSED] = "refused_not_run",
	[LOAD_ERROR] = "error",		  [LOAD_FAILED] = "failed",
	[LOAD_TIMEOUT] = "timeout",
};

static void series_init(struct load_series *series)
{
	memset(series, 0, sizeof(*series));
	series->values = g_array_new(FALSE, FALSE, sizeof(double));
}

void load_stats_init(struct load_stats *stats)
{
	int kind;

	memset(stats, 0, sizeof(*stats));
	stats->errors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	series_init(&stats->refusal);
	for (kind = 0; kind < LOAD_N_KINDS; kind++) {
		series_init(&stats->first[kind]);
		series_init(&stats->total[kind]);
		series_init(&stats->gap[kind]);
	}
}

void load_stats_clear(struct load_stats *stats)
{
	int kind;

	g_hash_table_unref(stats->errors);
	g_array_unref(stats->refusal.values);
	for (kind = 0; kind < LOAD_N_KINDS; kind++) {
		g_array_unref(stats->first[kind].values);
		g_array_unref(stats->total[kind].values);
		g_array_unref(stats->gap[kind].values);
	}
}

void load_series_add(struct load_series *series, double ms)
{
	series->n++;
	series->max = MAX(series->max, ms);
	if (series->values->len < VALUES_MAX)
		g_array_append_val(series->values, ms);
}

void load_stats_error(struct load_stats *stats, const char *type,
		      const char *run)
{
	char *name = g_strdup_printf("%s/%s", type, run);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(stats->errors, name));

	g_hash_table_insert(stats->errors, name, GUINT_TO_POINTER(n + 1));
}

static int compare_values(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* The value at a quantile (0 to 1) of the sorted series. */
static double quantile(const struct load_series *series, double share)
{
	guint n = series->values->len;
	guint at = (guint)(share * n);

	if (!n)
		return 0;
	return g_array_index(series->values, double, MIN(at, n - 1));
}

static json_t *series_json(struct load_series *series)
{
	g_array_sort(series->values, compare_values);
	return json_pack("{s:I,s:f,s:f,s:f}", "n", (json_int_t)series->n,
			 "median_ms", quantile(series, 0.5), "p99_ms",
			 quantile(series, 0.99), "max_ms", series->max);
}

static json_t *kind_json(struct load_stats *stats, enum load_kind kind)
{
	json_t *json =
		json_pack("{s:I}", "sent", (json_int_t)stats->sent[kind]);
	int outcome;

	for (outcome = 0; outcome < LOAD_N_OUTCOMES; outcome++)
		json_object_set_new(
			json, outcome_names[outcome],
			json_integer(
				(json_int_t)stats->outcomes[kind][outcome]));
	json_object_set_new(json, "first", series_json(&stats->first[kind]));
	json_object_set_new(json, "total", series_json(&stats->total[kind]));
	if (kind == LOAD_SHORT || kind == LOAD_LONG)
		json_object_set_new(json, "token_gap",
				    series_json(&stats->gap[kind]));
	return json;
}

static json_t *errors_json(const struct load_stats *stats)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer name;
	gpointer n;

	g_hash_table_iter_init(&iter, stats->errors);
	while (g_hash_table_iter_next(&iter, &name, &n))
		json_object_set_new(json, name,
				    json_integer(GPOINTER_TO_UINT(n)));
	return json;
}

json_t *load_stats_json(struct load_stats *stats, double seconds)
{
	json_t *json = json_object();
	int kind;

	for (kind = 0; kind < LOAD_N_KINDS; kind++)
		json_object_set_new(json, kind_names[kind],
				    kind_json(stats, kind));
	json_object_set_new(json, "errors", errors_json(stats));
	json_object_set_new(json, "refusal", series_json(&stats->refusal));
	json_object_set_new(json, "seconds", json_real(seconds));
	json_object_set_new(json, "tokens_per_second",
			    json_real((double)stats->tokens / seconds));
	json_object_set_new(json, "launch_lag_ms",
			    json_real(stats->launch_lag_ms));
	return json;
}
