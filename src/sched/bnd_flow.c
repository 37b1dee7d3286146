#include "sched/bnd_flow.h"

/* Residual capacity that counts as 0, in tokens or layers a second. */
#define FLOW_EPSILON 1e-9

#define NO_EDGE UINT_MAX
#define UNREACHED UINT_MAX

struct edge {
	unsigned to;
	unsigned next; /* edge of the same node */
	double residual;
};

struct bnd_flow {
	unsigned n_nodes;
	unsigned *first_edge; /* of each node */
	unsigned *current_edge;
	unsigned *level;
	unsigned *queue;
	GArray *edges; /* of struct edge; each is followed by its reverse */
};

struct bnd_flow *bnd_flow_new(unsigned n_nodes)
{
	struct bnd_flow *flow = g_new0(struct bnd_flow, 1);
	unsigned i;

	flow->n_nodes = n_nodes;
	flow->first_edge = g_new(unsigned, n_nodes);
	flow->current_edge = g_new(unsigned, n_nodes);
	flow->level = g_new(unsigned, n_nodes);
	flow->queue = g_new(unsigned, n_nodes);
	flow->edges = g_array_new(FALSE, FALSE, sizeof(struct edge));
	for (i = 0; i < n_nodes; i++)
		flow->first_edge[i] = NO_EDGE;
	return flow;
}

void bnd_flow_drop(struct bnd_flow *flow)
{
	g_free(flow->first_edge);
	g_free(flow->current_edge);
	g_free(flow->level);
	g_free(flow->queue);
	g_array_unref(flow->edges);
	g_free(flow);
}

static struct edge *edge_at(const struct bnd_flow *flow, unsigned index)
{
	return &g_array_index(flow->edges, struct edge, index);
}

static void add_edge(struct bnd_flow *flow, unsigned from, unsigned to,
		     double capacity)
{
	struct edge edge = {to, flow->first_edge[from], capacity};

	flow->first_edge[from] = flow->edges->len;
	g_array_append_val(flow->edges, edge);
}

void bnd_flow_add_edge(struct bnd_flow *flow, unsigned from, unsigned to,
		       double capacity)
{
	add_edge(flow, from, to, capacity);
	add_edge(flow, to, from, 0);
}

static bool has_residual(const struct bnd_flow *flow, unsigned index)
{
	return edge_at(flow, index)->residual > FLOW_EPSILON;
}

/* Numbers the nodes by their distance from the source. */
static bool find_levels(struct bnd_flow *flow, unsigned source, unsigned sink)
{
	unsigned head = 0;
	unsigned tail = 0;
	unsigned i;

	for (i = 0; i < flow->n_nodes; i++)
		flow->level[i] = UNREACHED;
	flow->level[source] = 0;
	flow->queue[tail++] = source;
	while (head < tail) {
		unsigned node = flow->queue[head++];

		for (i = flow->first_edge[node]; i != NO_EDGE;
		     i = edge_at(flow, i)->next) {
			unsigned to = edge_at(flow, i)->to;

			if (!has_residual(flow, i) ||
			    flow->level[to] != UNREACHED)
				continue;
			flow->level[to] = flow->level[node] + 1;
			flow->queue[tail++] = to;
		}
	}
	return flow->level[sink] != UNREACHED;
}

/* Pushes flow along one path; recursion is as deep as the path is long. */
static double push_path(struct bnd_flow *flow, unsigned node, unsigned sink,
			double amount)
{
	if (node == sink)
		return amount;
	for (; flow->current_edge[node] != NO_EDGE;
	     flow->current_edge[node] =
		     edge_at(flow, flow->current_edge[node])->next) {
		unsigned i = flow->current_edge[node];
		unsigned to = edge_at(flow, i)->to;
		double pushed;

		if (!has_residual(flow, i) ||
		    flow->level[to] != flow->level[node] + 1)
			continue;
		pushed = push_path(flow, to, sink,
				   MIN(amount, edge_at(flow, i)->residual));
		if (pushed <= 0)
			continue;
		edge_at(flow, i)->residual -= pushed;
		edge_at(flow, i ^ 1)->residual += pushed;
		return pushed;
	}
	return 0;
}

double bnd_flow_max(struct bnd_flow *flow, unsigned source, unsigned sink)
{
	double sum = 0;
	double pushed;
	unsigned i;

	while (find_levels(flow, source, sink)) {
		for (i = 0; i < flow->n_nodes; i++)
			flow->current_edge[i] = flow->first_edge[i];
		while ((pushed = push_path(flow, source, sink, G_MAXDOUBLE)) >
		       0)
			sum += pushed;
	}
	return sum;
}

bool bnd_flow_on_source_side(const struct bnd_flow *flow, unsigned node)
{
	return flow->level[node] != UNREACHED;
}
