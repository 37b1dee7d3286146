#ifndef FORWARD_PLC_PRIVATE_H
#define FORWARD_PLC_PRIVATE_H

/* Placement inside one group of engines. */

#include <wagtailferry/fleet.h>

/* The engines of one or more data centres that share a copy of the model. */
struct plc_group {
	/* Of struct flt_target pointers, and what each will hold of the model.
	 */
	GPtrArray *engines;
	struct flt_range *ranges;
	bool *is_changed;
	const struct cat_engine *engine;
	/* Engines that hold each layer, and the tokens of requests that these
	 * have memory for together. */
	unsigned *replicas;
	double *kv_tokens;
	clk_ms now;
	/* Memory kept for requests, in tokens. */
	double reserved_tokens;
};

/* Layers that an engine may hold beside the group's tokens. */
unsigned plc_engine_max_layers(const struct plc_group *group, guint i);

/* Counts what an engine holds in, or with a sign of -1 out. */
void plc_count_range(struct plc_group *group, guint i, int sign);

/* Lets every layer be held: by free engines first, then by those that hold
 * copies, then by neighbours. */
void plc_fill_gaps(struct plc_group *group);

/* Gives free engines copies of what has the least kv_tokens. */
void plc_add_replicas(struct plc_group *group);

/* Lets engines that hold more than leaves memory for the group's tokens give
 * up layers at their edges that others have kv_tokens for. */
void plc_trim(struct plc_group *group);

/* Moves one copy to layers that have far less kv_tokens than they should. */
void plc_rebalance(struct plc_group *group);

#endif
