#include <stdlib.h>
#include <string.h>

#include "forward/placement_private.h"

/* To close a gap, the KV cache reserved for requests may shrink by this
 * factor: a replica that lacks a layer serves no requests. */
#define GAP_TOKENS_DIVISOR 4
/* Capacities that differ by less than this fraction are treated as equal. */
#define KV_TOKENS_TIE_FRACTION 0.1
/* Layers whose capacity is below this fraction of the reserve get another
 * engine if one can be spared elsewhere. */
#define MIN_KV_TOKENS_FRACTION 0.5

unsigned plc_max_layers(const struct cat_engine *engine,
			const struct cat_accelerator *accelerator,
			double tokens)
{
	double layer_mb = engine->layer_mb +
			  tokens * engine->token_bytes / engine->layers / 1e6;
	double most = accelerator->memory_mb / layer_mb;

	/* Also if a size is missing and the quotient isn't a number. */
	if (!(most > 0))
		return 0;
	return most >= engine->layers ? engine->layers : (unsigned)most;
}

static const struct cat_accelerator *
accelerator_of(const struct plc_group *group, const struct flt_target *target)
{
	return cat_find_accelerator(group->engine, target->accelerator);
}

static bool is_empty(struct flt_range range)
{
	return range.first >= range.end;
}

/* Tokens that fit the KV cache of an engine that holds the range. */
static double kv_tokens_of(const struct plc_group *group,
			   const struct flt_target *target,
			   struct flt_range range)
{
	unsigned held = range.end - range.first;
	double token_layers = cat_free_token_layers(
		group->engine, accelerator_of(group, target), held);

	return held ? MAX(token_layers, 0) / held : 0;
}

static void count_range(struct plc_group *group,
			const struct flt_target *target, struct flt_range range,
			int sign)
{
	double kv_tokens = kv_tokens_of(group, target, range);
	unsigned layer;

	for (layer = range.first; layer < range.end; layer++) {
		group->replicas[layer] += (unsigned)sign;
		group->kv_tokens[layer] += sign * kv_tokens;
	}
}

static struct flt_target *engine_at(const struct plc_group *group, guint i)
{
	return group->engines->pdata[i];
}

void plc_count_range(struct plc_group *group, guint i, int sign)
{
	count_range(group, engine_at(group, i), group->ranges[i], sign);
}

static void assign(struct plc_group *group, guint i, struct flt_range range)
{
	count_range(group, engine_at(group, i), group->ranges[i], -1);
	count_range(group, engine_at(group, i), range, 1);
	group->ranges[i] = range;
	group->is_changed[i] = true;
}

static bool find_gap(const struct plc_group *group, struct flt_range *gap)
{
	unsigned layers = group->engine->layers;

	gap->first = 0;
	while (gap->first < layers && group->replicas[gap->first])
		gap->first++;
	gap->end = gap->first;
	while (gap->end < layers && !group->replicas[gap->end])
		gap->end++;
	return gap->first < layers;
}

/* Whether the engine holds layers and has no pending order. */
static bool is_settled(const struct plc_group *group, guint i)
{
	return !is_empty(group->ranges[i]) &&
	       group->now >= engine_at(group, i)->ordered_until;
}

/* Whether other engines hold all layers of this one, too. */
static bool is_redundant(const struct plc_group *group, guint i)
{
	struct flt_range range = group->ranges[i];
	unsigned layer;

	if (!is_settled(group, i))
		return false;
	for (layer = range.first; layer < range.end; layer++) {
		if (group->replicas[layer] < 2)
			return false;
	}
	return true;
}

unsigned plc_engine_max_layers(const struct plc_group *group, guint i)
{
	return plc_max_layers(group->engine,
			      accelerator_of(group, engine_at(group, i)),
			      group->reserved_tokens);
}

static bool find_free(const struct plc_group *group, guint *found)
{
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		if (is_empty(group->ranges[i]) &&
		    plc_engine_max_layers(group, i)) {
			*found = i;
			return true;
		}
	}
	return false;
}

/* Finds the smallest redundant engine that the gap fits, else the largest
 * redundant engine. */
static bool find_redundant(const struct plc_group *group, unsigned gap,
			   guint *found)
{
	unsigned best_capacity = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		unsigned capacity = plc_engine_max_layers(group, i);
		bool is_better =
			best_capacity < gap
				? capacity > best_capacity
				: capacity >= gap && capacity < best_capacity;

		if (!is_better || !is_redundant(group, i))
			continue;
		*found = i;
		best_capacity = capacity;
	}
	return best_capacity > 0;
}

/* Most layers that an engine may hold with the reduced KV cache reserve. */
static unsigned gap_max_layers(const struct plc_group *group, guint i)
{
	return plc_max_layers(group->engine,
			      accelerator_of(group, engine_at(group, i)),
			      group->reserved_tokens / GAP_TOKENS_DIVISOR);
}

/* Extends the adjacent engine with the most spare memory into the gap. */
static bool extend_neighbour(struct plc_group *group, struct flt_range gap)
{
	struct flt_range best_range = {0, 0};
	unsigned best_spare = 0;
	guint best = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range = group->ranges[i];
		unsigned held = range.end - range.first;
		unsigned most = gap_max_layers(group, i);
		unsigned kv_tokens = most > held ? most - held : 0;
		unsigned added = MIN(kv_tokens, gap.end - gap.first);

		if (is_empty(range) || kv_tokens <= best_spare)
			continue;
		if (range.end == gap.first)
			range.end += added;
		else if (range.first == gap.end)
			range.first -= added;
		else
			continue;
		best = i;
		best_range = range;
		best_spare = kv_tokens;
	}
	if (best_spare)
		assign(group, best, best_range);
	return best_spare > 0;
}

/* Whether the neighbour can hold an adjacent range as well; sets united to
 * the combined range. */
static bool can_absorb(const struct plc_group *group, guint neighbour,
		       struct flt_range range, struct flt_range *united)
{
	struct flt_range held = group->ranges[neighbour];

	if (!is_settled(group, neighbour))
		return false;
	*united = held;
	if (held.end == range.first)
		united->end = range.end;
	else if (held.first == range.end)
		united->first = range.first;
	else
		return false;
	return united->end - united->first <= gap_max_layers(group, neighbour);
}

/* Moves the engine with the fewest layers into the gap, after a neighbour has
 * taken over its layers. */
static bool merge_neighbours(struct plc_group *group, struct flt_range gap)
{
	struct flt_range best_united = {0, 0};
	unsigned fewest = UINT_MAX;
	guint freed = 0;
	guint absorber = 0;
	guint i;
	guint j;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range = group->ranges[i];
		struct flt_range united;

		if (!is_settled(group, i) ||
		    range.end - range.first >= fewest ||
		    !gap_max_layers(group, i))
			continue;
		for (j = 0; j < group->engines->len; j++) {
			if (i == j || !can_absorb(group, j, range, &united))
				continue;
			freed = i;
			absorber = j;
			best_united = united;
			fewest = range.end - range.first;
			break;
		}
	}
	if (fewest == UINT_MAX)
		return false;
	assign(group, absorber, best_united);
	gap.end = MIN(gap.end, gap.first + gap_max_layers(group, freed));
	assign(group, freed, gap);
	return true;
}

void plc_fill_gaps(struct plc_group *group)
{
	struct flt_range gap;
	guint i;

	while (find_gap(group, &gap)) {
		if (find_free(group, &i) ||
		    find_redundant(group, gap.end - gap.first, &i)) {
			gap.end = MIN(gap.end,
				      gap.first +
					      plc_engine_max_layers(group, i));
			assign(group, i, gap);
		} else if (!extend_neighbour(group, gap) &&
			   !merge_neighbours(group, gap)) {
			return;
		}
	}
}

/* For each layer, sets the size in layers of the largest engine holding it. */
static void find_largest_holders(const struct plc_group *group,
				 unsigned *largest)
{
	guint i;

	memset(largest, 0, group->engine->layers * sizeof(*largest));
	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range = group->ranges[i];
		unsigned layer;

		for (layer = range.first; layer < range.end; layer++)
			largest[layer] =
				MAX(largest[layer], range.end - range.first);
	}
}

/*
 * Returns the layer where a further replica helps most: one with the least
 * KV cache capacity and, among similar ones, the one on the largest engine,
 * which takes longest to replace.
 */
static unsigned scarcest_layer(const struct plc_group *group)
{
	unsigned *largest = g_new(unsigned, group->engine->layers);
	unsigned best = 0;
	unsigned best_holder = 0;
	unsigned layer;

	find_largest_holders(group, largest);

	for (layer = 0; layer < group->engine->layers; layer++) {
		double margin = group->kv_tokens[best] * KV_TOKENS_TIE_FRACTION;
		unsigned holder = largest[layer];

		if (group->kv_tokens[layer] > group->kv_tokens[best] + margin)
			continue;
		if (group->kv_tokens[layer] >=
			    group->kv_tokens[best] - margin &&
		    holder <= best_holder)
			continue;
		best = layer;
		best_holder = holder;
	}
	g_free(largest);
	return best;
}

void plc_add_replicas(struct plc_group *group)
{
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range;
		unsigned capacity;

		if (!is_empty(group->ranges[i]))
			continue;
		capacity = plc_engine_max_layers(group, i);
		if (!capacity)
			continue;
		range.first = scarcest_layer(group);
		range.end = MIN(range.first + capacity, group->engine->layers);
		range.first = range.end - capacity;
		assign(group, i, range);
	}
}

static double wanted_kv_tokens(const struct plc_group *group)
{
	return group->reserved_tokens * MIN_KV_TOKENS_FRACTION;
}

/* Whether enough capacity remains for the layer without this engine. */
static bool can_drop_layer(const struct plc_group *group, guint i,
			   unsigned layer)
{
	double own = kv_tokens_of(group, engine_at(group, i), group->ranges[i]);

	return group->replicas[layer] > 1 &&
	       group->kv_tokens[layer] - own >= wanted_kv_tokens(group);
}

/* Whether enough capacity remains for all its layers without the engine. */
static bool can_move_engine(const struct plc_group *group, guint i)
{
	struct flt_range range = group->ranges[i];
	unsigned layer;

	if (!is_settled(group, i))
		return false;
	for (layer = range.first; layer < range.end; layer++) {
		if (!can_drop_layer(group, i, layer))
			return false;
	}
	return true;
}

static bool has_changes(const struct plc_group *group)
{
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		if (group->is_changed[i])
			return true;
	}
	return false;
}

/* Shrinks the range of an engine to what leaves it the KV cache reserve, from
 * the edge whose layer has more capacity. */
static struct flt_range trimmed_range(const struct plc_group *group, guint i)
{
	struct flt_range range = group->ranges[i];
	unsigned most = plc_engine_max_layers(group, i);

	while (range.end - range.first > most) {
		bool from_end = group->kv_tokens[range.end - 1] >
				group->kv_tokens[range.first];

		if (!can_drop_layer(group, i,
				    from_end ? range.end - 1 : range.first))
			break;
		if (from_end)
			range.end--;
		else
			range.first++;
	}
	return range;
}

void plc_trim(struct plc_group *group)
{
	guint i;

	if (has_changes(group))
		return;
	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range;

		if (!is_settled(group, i))
			continue;
		range = trimmed_range(group, i);
		if (range.first != group->ranges[i].first ||
		    range.end != group->ranges[i].end)
			assign(group, i, range);
	}
}

void plc_rebalance(struct plc_group *group)
{
	unsigned weakest = scarcest_layer(group);
	guint i;

	if (has_changes(group) ||
	    group->kv_tokens[weakest] >= wanted_kv_tokens(group))
		return;
	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range;
		unsigned capacity = plc_engine_max_layers(group, i);

		if (!capacity || !can_move_engine(group, i))
			continue;
		range.first = weakest;
		range.end = MIN(weakest + capacity, group->engine->layers);
		assign(group, i, range);
		return;
	}
}
