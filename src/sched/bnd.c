#include <wagtailferry/sched.h>

#include "sched/bnd_flow.h"

/* Relative slack at which the work of all layers counts as done. */
#define BND_TOLERANCE 1e-6

/* Layers between two neighbouring ends of ranges. */
struct atom {
	unsigned first;
	unsigned n_layers;
};

static GArray *find_atoms(unsigned n_layers, const struct bnd_engine *engines,
			  size_t n)
{
	GArray *atoms = g_array_new(FALSE, FALSE, sizeof(struct atom));
	gboolean *starts = g_new0(gboolean, n_layers + 1);
	struct atom atom = {0, 0};
	unsigned layer;
	size_t i;

	for (i = 0; i < n; i++) {
		starts[engines[i].first_layer] = TRUE;
		starts[engines[i].last_layer + 1] = TRUE;
	}
	for (layer = 0; layer < n_layers; layer++) {
		if (layer && starts[layer]) {
			g_array_append_val(atoms, atom);
			atom.first = layer;
			atom.n_layers = 0;
		}
		atom.n_layers++;
	}
	g_array_append_val(atoms, atom);
	g_free(starts);
	return atoms;
}

static bool covers(const struct bnd_engine *engine, const struct atom *atom)
{
	return engine->first_layer <= atom->first &&
	       engine->last_layer >= atom->first + atom->n_layers - 1;
}

/* Layers a second. */
static double work_of(const struct bnd_engine *engine)
{
	return engine->rate * (engine->last_layer - engine->first_layer + 1);
}

static const struct atom *atom_at(const GArray *atoms, guint i)
{
	return &g_array_index(atoms, struct atom, i);
}

/* Source 0, sink 1, then the engines, then the atoms. */
static struct bnd_flow *work_network(const GArray *atoms,
				     const struct bnd_engine *engines, size_t n,
				     double rate)
{
	struct bnd_flow *flow = bnd_flow_new((unsigned)n + atoms->len + 2);
	unsigned e;
	guint a;

	for (e = 0; e < n; e++) {
		bnd_flow_add(flow, 0, 2 + e, work_of(&engines[e]));
		for (a = 0; a < atoms->len; a++)
			if (covers(&engines[e], atom_at(atoms, a)))
				bnd_flow_add(flow, 2 + e, 2 + (unsigned)n + a,
					     work_of(&engines[e]));
	}
	for (a = 0; a < atoms->len; a++)
		bnd_flow_add(flow, 2 + (unsigned)n + a, 1,
			     rate * atom_at(atoms, a)->n_layers);
	return flow;
}

/* The rate that the atoms on the sink side of the cut allow. */
static double rate_of_cut(const struct bnd_flow *flow, const GArray *atoms,
			  const struct bnd_engine *engines, size_t n)
{
	double work = 0;
	double layers = 0;
	unsigned e;
	guint a;

	for (a = 0; a < atoms->len; a++)
		if (!bnd_flow_on_source_side(flow, 2 + (unsigned)n + a))
			layers += atom_at(atoms, a)->n_layers;
	for (e = 0; e < n; e++)
		if (!bnd_flow_on_source_side(flow, 2 + e))
			work += work_of(&engines[e]);
	return layers > 0 ? work / layers : 0;
}

/*
 * The largest rate at which all layers can be worked on. Starts with the
 * mean over all layers; a cut that cannot keep up gives a lower rate, until
 * no such cut is left (Newton's method on the parametric minimum cut).
 */
static double work_bound(unsigned n_layers, const GArray *atoms,
			 const struct bnd_engine *engines, size_t n)
{
	double rate = 0;
	size_t i;
	guint round;

	for (i = 0; i < n; i++)
		rate += work_of(&engines[i]) / n_layers;
	for (round = 0; round <= atoms->len && rate > 0; round++) {
		struct bnd_flow *flow = work_network(atoms, engines, n, rate);
		double done = bnd_flow_max(flow, 0, 1);
		bool enough = done >= rate * n_layers * (1 - BND_TOLERANCE);
		double lower =
			enough ? rate : rate_of_cut(flow, atoms, engines, n);

		bnd_flow_drop(flow);
		if (enough || lower >= rate)
			break;
		rate = lower;
	}
	return rate;
}

static unsigned count_sites(const struct bnd_engine *engines, size_t n)
{
	unsigned sites = 1;
	size_t i;

	for (i = 0; i < n; i++)
		sites = MAX(sites, engines[i].site + 1);
	return sites;
}

/* Nodes are pairs of a boundary and a site. */
static double link_bound(const GArray *atoms, const struct bnd_engine *engines,
			 size_t n, const struct bnd_link *links, size_t n_links)
{
	unsigned sites = count_sites(engines, n);
	struct bnd_flow *flow;
	double bound;
	unsigned s;
	guint a;
	size_t i;

	flow = bnd_flow_new(2 + (atoms->len + 1) * sites);
	for (s = 0; s < sites; s++) {
		bnd_flow_add(flow, 0, 2 + s, 1e18);
		bnd_flow_add(flow, 2 + atoms->len * sites + s, 1, 1e18);
	}
	for (a = 0; a < atoms->len; a++)
		for (i = 0; i < n; i++)
			if (covers(&engines[i], atom_at(atoms, a)))
				bnd_flow_add(
					flow, 2 + a * sites + engines[i].site,
					2 + (a + 1) * sites + engines[i].site,
					work_of(&engines[i]) /
						atom_at(atoms, a)->n_layers);
	for (a = 1; a < atoms->len; a++)
		for (i = 0; i < n_links; i++)
			if (links[i].from < sites && links[i].to < sites)
				bnd_flow_add(flow,
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
	GArray *atoms;
	double bound;

	if (!n_layers || !n_engines)
		return 0;
	atoms = find_atoms(n_layers, engines, n_engines);
	bound = work_bound(n_layers, atoms, engines, n_engines);
	if (n_links && bound > 0) {
		double by_links =
			link_bound(atoms, engines, n_engines, links, n_links);

		bound = MIN(bound, by_links);
	}
	g_array_unref(atoms);
	return bound;
}
