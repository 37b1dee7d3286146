#include "edge/edg_private.h"

/* Histogram buckets around the usual objectives, 150 to 500 ms. */
static const clk_ms bucket_bounds_ms[] = {25,  50,   100,  150, 250,
					  500, 1000, 2500, 5000};

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
