#ifndef FORWARD_PLACEMENT_PRIVATE_H
#define FORWARD_PLACEMENT_PRIVATE_H

/* Placement within one group of engines. */

#include <wagtailferry/fleet.h>

/* The engines of one or more data centres that hold the model together. */
struct plc_group {
	/* Array of struct flt_target pointers; ranges holds the planned
	 * layers of each, and is_changed whether the plan changes them. */
	GPtrArray *engines;
	struct flt_range *ranges;
	bool *is_changed;
	const struct cat_engine *engine;
	/* For each layer, the number of engines that hold it, and the tokens
	 * that fit their KV caches together. */
	unsigned *replicas;
	double *kv_tokens;
	clk_ms now;
	/* KV cache to be kept for requests, in tokens. */
	double reserved_tokens;
};

/* Most layers that an engine may hold with the group's KV cache reserve. */
unsigned plc_engine_max_layers(const struct plc_group *group, guint i);

/* Adds the range of an engine to the counts per layer, or removes it if sign
 * is -1. */
void plc_count_range(struct plc_group *group, guint i, int sign);

/* Assigns engines to layers that no engine holds: empty engines first, then
 * redundant ones, then neighbours of the gap. */
void plc_fill_gaps(struct plc_group *group);

/* Assigns empty engines to the layers with the least capacity. */
void plc_add_replicas(struct plc_group *group);

/* If the plan is unchanged so far, removes layers at the edges of engines that
 * have less KV cache than the reserve, where other engines have enough. */
void plc_trim(struct plc_group *group);

/* If the plan is unchanged so far, moves one spare engine to layers far below
 * the reserve, as after a repair with too little memory. */
void plc_rebalance(struct plc_group *group);

#endif
