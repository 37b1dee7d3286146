#include <wagtailferry/sched.h>

#include "sched/bnd_flow.h"

/* Relative tolerance within which a flow counts as meeting its demand. */
#define BND_TOLERANCE 1e-6

/* Capacity of an edge that does not limit the flow. */
#define UNLIMITED 1e18

/* Layers between neighbouring range ends; engines hold all or none of them. */
struct segment {
	unsigned first;
	unsigned n_layers;
};

static GArray *find_segments(unsigned n_layers,
			     const struct bnd_engine *engines, size_t n)
{
	GArray *segments = g_array_new(FALSE, FALSE, sizeof(struct segment));
	gboolean *starts = g_new0(gboolean, n_layers + 1);
	struct segment segment = {0, 0};
	unsigned layer;
	size_t i;

	for (i = 0; i < n; i++) {
		starts[engines[i].first_layer] = TRUE;
		starts[engines[i].last_layer + 1] = TRUE;
	}
	for (layer = 0; layer < n_layers; layer++) {
		if (layer && starts[layer]) {
			g_array_append_val(segments, segment);
			segment.first = layer;
			segment.n_layers = 0;
		}
		segment.n_layers++;
	}
	g_array_append_val(segments, segment);
	g_free(starts);
	return segments;
}

static bool covers(const struct bnd_engine *engine,
		   const struct segment *segment)
{
	return engine->first_layer <= segment->first &&
	       engine->last_layer >= segment->first + segment->n_layers - 1;
}

/* Layers a second. */
static double layer_rate(const struct bnd_engine *engine)
{
	return engine->rate * (engine->last_layer - engine->first_layer + 1);
}

static const struct segment *segment_at(const GArray *segments, guint i)
{
	return &g_array_index(segments, struct segment, i);
}

/* Numbers of the nodes: source 0, sink 1, the engines, the segments. */
static struct bnd_flow *build_work_network(const GArray *segments,
					   const struct bnd_engine *engines,
					   size_t n, double rate)
{
	struct bnd_flow *flow = bnd_flow_new((unsigned)n + segments->len + 2);
	unsigned e;
	guint a;

	for (e = 0; e < n; e++) {
		bnd_flow_add_edge(flow, 0, 2 + e, layer_rate(&engines[e]));
		for (a = 0; a < segments->len; a++)
			if (covers(&engines[e], segment_at(segments, a)))
				bnd_flow_add_edge(flow, 2 + e,
						  2 + (unsigned)n + a,
						  layer_rate(&engines[e]));
	}
	for (a = 0; a < segments->len; a++)
		bnd_flow_add_edge(flow, 2 + (unsigned)n + a, 1,
				  rate * segment_at(segments, a)->n_layers);
	return flow;
}

/*
 * Tokens a second that the engines on the sink side of the minimum cut can
 * produce in the segments there.
 */
static double rate_of_cut(const struct bnd_flow *flow, const GArray *segments,
			  const struct bnd_engine *engines, size_t n)
{
	double work = 0;
	double layers = 0;
	unsigned e;
	guint a;

	for (a = 0; a < segments->len; a++)
		if (!bnd_flow_on_source_side(flow, 2 + (unsigned)n + a))
			layers += segment_at(segments, a)->n_layers;
	for (e = 0; e < n; e++)
		if (!bnd_flow_on_source_side(flow, 2 + e))
			work += layer_rate(&engines[e]);
	return layers > 0 ? work / layers : 0;
}

/*
 * The largest token rate that the engines can sustain in all layers. Starts
 * with the mean over all layers; a minimum cut below the demand gives a lower
 * rate, until the demand is met (Newton's method on the parametric minimum
 * cut).
 */
static double work_bound(unsigned n_layers, const GArray *segments,
			 const struct bnd_engine *engines, size_t n)
{
	double rate = 0;
	size_t i;
	guint iteration;

	for (i = 0; i < n; i++)
		rate += layer_rate(&engines[i]) / n_layers;
	for (iteration = 0; iteration <= segments->len && rate > 0;
	     iteration++) {
		struct bnd_flow *flow =
			build_work_network(segments, engines, n, rate);
		double done = bnd_flow_max(flow, 0, 1);
		bool enough = done >= rate * n_layers * (1 - BND_TOLERANCE);
		double lower =
			enough ? rate : rate_of_cut(flow, segments, engines, n);

		bnd_flow_drop(flow);
		if (enough || lower >= rate)
			break;
		rate = lower;
	}
	return rate;
}

static unsigned site_count(const struct bnd_engine *engines, size_t n)
{
	unsigned sites = 1;
	size_t i;

	for (i = 0; i < n; i++)
		sites = MAX(sites, engines[i].site + 1);
	return sites;
}

/*
 * The largest token rate over the links. Nodes are pairs of a segment boundary
 * and a site.
 */
static double link_bound(const GArray *segments,
			 const struct bnd_engine *engines, size_t n,
			 const struct bnd_link *links, size_t n_links)
{
	unsigned sites = site_count(engines, n);
	struct bnd_flow *flow;
	double bound;
	unsigned s;
	guint a;
	size_t i;

	flow = bnd_flow_new(2 + (segments->len + 1) * sites);
	for (s = 0; s < sites; s++) {
		bnd_flow_add_edge(flow, 0, 2 + s, UNLIMITED);
		bnd_flow_add_edge(flow, 2 + segments->len * sites + s, 1,
				  UNLIMITED);
	}
	for (a = 0; a < segments->len; a++)
		for (i = 0; i < n; i++)
			if (covers(&engines[i], segment_at(segments, a)))
				bnd_flow_add_edge(
					flow, 2 + a * sites + engines[i].site,
					2 + (a + 1) * sites + engines[i].site,
					layer_rate(&engines[i]) /
						segment_at(segments, a)
							->n_layers);
	for (a = 1; a < segments->len; a++)
		for (i = 0; i < n_links; i++)
			if (links[i].from < sites && links[i].to < sites)
				bnd_flow_add_edge(flow,
						  2 + a * sites + links[i].from,
						  2 + a * sites + links[i].to,
						  links[i].rate);
	bound = bnd_flow_max(flow, 0, 1);
	bnd_flow_drop(flow);
	return bound;
}

double bnd_throughput(unsigned n_layers, const struct bnd_engine *engines,
		      size_t n_engines, const struct bnd_link *links,
		      size_t n_links)
{
	GArray *segments;
	double bound;

	if (!n_layers || !n_engines)
		return 0;
	segments = find_segments(n_layers, engines, n_engines);
	bound = work_bound(n_layers, segments, engines, n_engines);
	if (n_links && bound > 0) {
		double link_limit = link_bound(segments, engines, n_engines,
					       links, n_links);

		bound = MIN(bound, link_limit);
	}
	g_array_unref(segments);
	return bound;
}
