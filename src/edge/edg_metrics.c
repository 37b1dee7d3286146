#include "edge/edg_private.h"
#include "forward/prefill_cost.h"

/* Histogram buckets around the usual objectives, 150 to 500 ms. */
static const clk_ms bucket_bounds_ms[] = {25,  50,   100,  150, 250,
					  500, 1000, 2500, 5000};
G_STATIC_ASSERT(G_N_ELEMENTS(bucket_bounds_ms) == EDG_LATENCY_BUCKETS - 1);

static void count(struct edg_edge *edge, const char *name, const char *kind,
		  const char *bound, clk_ms n)
{
	char *text;

	if (bound)
		text = g_strdup_printf("%s{kind=\"%s\",le=\"%s\"}", name, kind,
				       bound);
	else
		text = g_strdup_printf("%s{kind=\"%s\"}", name, kind);
	ctr_add(edge->counters, g_intern_string(text), (uint64_t)n);
	g_free(text);
}

void edg_record_latency(struct edg_edge *edge, bool is_stream, clk_ms took)
{
	const char *kind = is_stream ? "stream" : "plain";
	char bound[32];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++) {
		if (took > bucket_bounds_ms[i])
			continue;
		g_snprintf(bound, sizeof(bound), "%" G_GINT64_FORMAT,
			   bucket_bounds_ms[i]);
		count(edge, "wf_edge_answer_ms_bucket", kind, bound, 1);
	}
	count(edge, "wf_edge_answer_ms_bucket", kind, "+Inf", 1);
	count(edge, "wf_edge_answer_ms_sum", kind, NULL, MAX(took, 0));
	count(edge, "wf_edge_answer_ms_count", kind, NULL, 1);
}

static const char *counter_name(const char *name, const char *suffix,
				const char *size, const char *bound)
{
	char *text = bound ? g_strdup_printf("%s%s{size=\"%s\",le=\"%s\"}",
					     name, suffix, size, bound)
			   : g_strdup_printf("%s%s{size=\"%s\"}", name, suffix,
					     size);
	const char *interned = g_intern_string(text);

	g_free(text);
	return interned;
}

static void init_histogram(struct edg_histogram *histogram, const char *name,
			   const char *size)
{
	char bound[G_ASCII_DTOSTR_BUF_SIZE];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++) {
		g_ascii_formatd(bound, sizeof(bound), "%g",
				(double)bucket_bounds_ms[i] / CLK_SECOND);
		histogram->buckets[i] =
			counter_name(name, "_bucket", size, bound);
	}
	histogram->buckets[i] = counter_name(name, "_bucket", size, "+Inf");
	histogram->sum = counter_name(name, "_sum", size, NULL);
	histogram->count = counter_name(name, "_count", size, NULL);
}

void edg_init_histograms(struct edg_edge *edge)
{
	static const char *const sizes[] = {"short", "long"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		init_histogram(&edge->first_events[i],
			       "wf_edge_first_event_seconds", sizes[i]);
		init_histogram(&edge->pauses[i], "wf_edge_pause_seconds",
			       sizes[i]);
	}
}

static void record(struct edg_request *request,
		   struct edg_histogram histograms[2], clk_ms took)
{
	struct ctr_set *counters = request->edge->counters;
	const struct cat_engine *engine = request->service->engine;
	struct edg_histogram *histogram;
	size_t i;

	if (!engine)
		return;
	histogram = &histograms[pfc_is_long(engine, request->prompt_tokens)];
	for (i = 0; i < EDG_LATENCY_BUCKETS; i++) {
		if (i == EDG_LATENCY_BUCKETS - 1 || took <= bucket_bounds_ms[i])
			ctr_add(counters, histogram->buckets[i], 1);
	}
	histogram->rest += MAX(took, 0);
	ctr_add(counters, histogram->sum,
		(uint64_t)(histogram->rest / CLK_SECOND));
	histogram->rest %= CLK_SECOND;
	ctr_add(counters, histogram->count, 1);
}

void edg_record_first_event(struct edg_request *request, clk_ms took)
{
	record(request, request->edge->first_events, took);
}

void edg_record_pause(struct edg_request *request, clk_ms pause)
{
	record(request, request->edge->pauses, pause);
}
