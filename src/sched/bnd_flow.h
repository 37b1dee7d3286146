#ifndef SCHED_BND_FLOW_H
#define SCHED_BND_FLOW_H

/*
 * bnd: bound of the throughput of a set of engines; bnd_throughput() is
 * declared in wagtailferry/sched.h.
 */

#include <glib.h>
#include <stdbool.h>

/* A network for maximum flow with real capacities (Dinic's algorithm). */
struct bnd_flow;

struct bnd_flow *bnd_flow_new(unsigned n_nodes);
void bnd_flow_drop(struct bnd_flow *flow);
void bnd_flow_add_edge(struct bnd_flow *flow, unsigned from, unsigned to,
		       double capacity);

/* The value of a maximum flow. May be called once. */
double bnd_flow_max(struct bnd_flow *flow, unsigned source, unsigned sink);

/* After bnd_flow_max(): whether a node is on the source side of the cut. */
bool bnd_flow_on_source_side(const struct bnd_flow *flow, unsigned node);

#endif
