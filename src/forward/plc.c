#include <stdlib.h>
#include <string.h>

#include <wagtailferry/fleet.h>

/*
 * Requests of usual length that every copy of the model has memory for. More
 * leaves fewer engines for copies: of the time that a request takes, a copy
 * serves this many at once before it is slowed by lack of memory.
 */
#define REQUESTS_PER_COPY 140
/* Steps down to what a small fleet can do. */
#define MIN_REQUESTS_PER_COPY 4
/* A gap is closed even if its engines keep only this part of the memory for
 * requests: a copy that lacks a layer serves nobody. */
#define SQUEEZED_PART 4
/* Rooms that differ by less than this part count as equal. */
#define ROOM_TIE_PART 0.1
/* Layers with less than this part of the room that a copy should have get
 * another engine, if one can be spared elsewhere. */
#define RELIEF_PART 0.5

/* The engines of one or more data centres that share a copy of the model. */
struct group {
	/* Of struct flt_target pointers. */
	GPtrArray *engines;
	const struct cat_engine *engine;
	/* Engines that hold each layer, and the tokens of requests that these
	 * have memory for together. */
	unsigned *cover;
	double *room;
	clk_ms now;
	/* Memory kept for requests, in tokens. */
	double tokens;
	GArray *changes;
};

unsigned plc_capacity(const struct cat_engine *engine,
		      const struct cat_accelerator *accelerator, double tokens)
{
	double layer_mb = engine->layer_mb +
			  tokens * engine->token_bytes / engine->layers / 1e6;
	double most = accelerator->memory_mb / layer_mb;

	return most >= engine->layers ? engine->layers : (unsigned)most;
}

static const struct cat_accelerator *
accelerator_of(const struct group *group, const struct flt_target *target)
{
	return cat_find_accelerator(group->engine, target->accelerator);
}

/* What a target holds, or will hold as soon as an order is carried out. */
static struct flt_range effective(const struct group *group,
				  const struct flt_target *target)
{
	guint i;

	for (i = 0; i < group->changes->len; i++) {
		struct plc_change *change =
			&g_array_index(group->changes, struct plc_change, i);

		if (change->target == target)
			return change->range;
	}
	return group->now < target->ordered_until ? target->ordered
						  : target->holds;
}

static bool is_empty(struct flt_range range)
{
	return range.first >= range.end;
}

/* Tokens that an engine has memory for if it holds the range. */
static double room_of(const struct group *group,
		      const struct flt_target *target, struct flt_range range)
{
	unsigned held = range.end - range.first;
	double free_mb = accelerator_of(group, target)->memory_mb -
			 held * group->engine->layer_mb;
	double token_mb =
		group->engine->token_bytes / group->engine->layers / 1e6;

	return held ? MAX(free_mb, 0) / held / token_mb : 0;
}

static void count_range(struct group *group, const struct flt_target *target,
			struct flt_range range, int sign)
{
	double room = room_of(group, target, range);
	unsigned layer;

	for (layer = range.first;
	     layer < range.end && layer < group->engine->layers; layer++) {
		group->cover[layer] += (unsigned)sign;
		group->room[layer] += sign * room;
	}
}

static void assign(struct group *group, struct flt_target *target,
		   struct flt_range range)
{
	struct plc_change change = {target, range};
	guint i;

	count_range(group, target, effective(group, target), -1);
	count_range(group, target, range, 1);
	for (i = 0; i < group->changes->len; i++) {
		struct plc_change *known =
			&g_array_index(group->changes, struct plc_change, i);

		if (known->target != target)
			continue;
		known->range = range;
		return;
	}
	g_array_append_val(group->changes, change);
}

static bool find_gap(const struct group *group, struct flt_range *gap)
{
	unsigned layers = group->engine->layers;

	gap->first = 0;
	while (gap->first < layers && group->cover[gap->first])
		gap->first++;
	gap->end = gap->first;
	while (gap->end < layers && !group->cover[gap->end])
		gap->end++;
	return gap->first < layers;
}

/* All layers of the target are held by another one too. */
static bool is_redundant(const struct group *group,
			 const struct flt_target *target)
{
	struct flt_range range = effective(group, target);
	unsigned layer;

	if (is_empty(range) || group->now < target->ordered_until)
		return false;
	for (layer = range.first;
	     layer < range.end && layer < group->engine->layers; layer++) {
		if (group->cover[layer] < 2)
			return false;
	}
	return true;
}

static unsigned capacity_of(const struct group *group,
			    const struct flt_target *target)
{
	return plc_capacity(group->engine, accelerator_of(group, target),
			    group->tokens);
}

static struct flt_target *find_free(const struct group *group)
{
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_target *target = group->engines->pdata[i];

		if (is_empty(effective(group, target)) &&
		    capacity_of(group, target))
			return target;
	}
	return NULL;
}

/* The smallest engine that holds copies only and fits the gap, else the
 * largest such engine. */
static struct flt_target *find_redundant(const struct group *group,
					 unsigned gap)
{
	struct flt_target *best = NULL;
	unsigned best_capacity = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_target *target = group->engines->pdata[i];
		unsigned capacity = capacity_of(group, target);
		bool is_better =
			best_capacity < gap
				? capacity > best_capacity
				: capacity >= gap && capacity < best_capacity;

		if (!is_better || !is_redundant(group, target))
			continue;
		best = target;
		best_capacity = capacity;
	}
	return best;
}

/* An engine for a gap: a free one, else one whose layers are held twice. */
static struct flt_target *find_candidate(const struct group *group,
					 struct flt_range gap)
{
	struct flt_target *target = find_free(group);

	return target ? target : find_redundant(group, gap.end - gap.first);
}

/* Layers that an engine may hold when memory for requests is given up. */
static unsigned most_layers(const struct group *group,
			    const struct flt_target *target)
{
	return plc_capacity(group->engine, accelerator_of(group, target),
			    group->tokens / SQUEEZED_PART);
}

/* Adds the gap's edge to a neighbour that has memory for more layers. */
static bool extend_neighbour(struct group *group, struct flt_range gap)
{
	struct flt_target *best = NULL;
	struct flt_range best_range = {0, 0};
	unsigned best_room = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_target *target = group->engines->pdata[i];
		struct flt_range range = effective(group, target);
		unsigned held = range.end - range.first;
		unsigned most = most_layers(group, target);
		unsigned room = most > held ? most - held : 0;
		unsigned added = MIN(room, gap.end - gap.first);

		if (is_empty(range) || room <= best_room)
			continue;
		if (range.end == gap.first)
			range.end += added;
		else if (range.first == gap.end)
			range.first -= added;
		else
			continue;
		best = target;
		best_range = range;
		best_room = room;
	}
	if (best)
		assign(group, best, best_range);
	return best != NULL;
}

/* Whether the neighbour can take over all layers of the target; sets what it
 * would hold then. */
static bool can_absorb(const struct group *group,
		       const struct flt_target *neighbour,
		       struct flt_range range, struct flt_range *united)
{
	struct flt_range held = effective(group, neighbour);

	if (is_empty(held) || group->now < neighbour->ordered_until)
		return false;
	*united = held;
	if (held.end == range.first)
		united->end = range.end;
	else if (held.first == range.end)
		united->first = range.first;
	else
		return false;
	return united->end - united->first <= most_layers(group, neighbour);
}

/* Frees the engine with the fewest layers that a neighbour can take over. */
static bool merge_neighbours(struct group *group, struct flt_range gap)
{
	struct flt_target *freed = NULL;
	struct flt_target *heir = NULL;
	struct flt_range best_united = {0, 0};
	unsigned fewest = UINT_MAX;
	guint i;
	guint j;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_target *target = group->engines->pdata[i];
		struct flt_range range = effective(group, target);
		struct flt_range united;

		if (is_empty(range) || group->now < target->ordered_until ||
		    range.end - range.first >= fewest)
			continue;
		for (j = 0; j < group->engines->len; j++) {
			if (i == j ||
			    !can_absorb(group, group->engines->pdata[j], range,
					&united))
				continue;
			freed = target;
			heir = group->engines->pdata[j];
			best_united = united;
			fewest = range.end - range.first;
			break;
		}
	}
	if (!freed || !most_layers(group, freed))
		return false;
	assign(group, heir, best_united);
	gap.end = MIN(gap.end, gap.first + most_layers(group, freed));
	assign(group, freed, gap);
	return true;
}

static void fill_gaps(struct group *group)
{
	struct flt_range gap;

	while (find_gap(group, &gap)) {
		struct flt_target *target = find_candidate(group, gap);

		if (target) {
			gap.end = MIN(gap.end,
				      gap.first + capacity_of(group, target));
			assign(group, target, gap);
		} else if (!extend_neighbour(group, gap) &&
			   !merge_neighbours(group, gap)) {
			return;
		}
	}
}

/* Layers of the largest engine that holds the layer. */
static unsigned largest_holder(const struct group *group, unsigned layer)
{
	unsigned largest = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_range range =
			effective(group, group->engines->pdata[i]);

		if (range.first <= layer && layer < range.end)
			largest = MAX(largest, range.end - range.first);
	}
	return largest;
}

/*
 * Where a further copy helps most: at a layer with the least room for
 * requests, and among these at the engine that takes longest to replace.
 */
static unsigned weakest_layer(const struct group *group)
{
	unsigned best = 0;
	unsigned best_holder = 0;
	unsigned layer;

	for (layer = 0; layer < group->engine->layers; layer++) {
		double margin = group->room[best] * ROOM_TIE_PART;
		unsigned holder;

		if (group->room[layer] > group->room[best] + margin)
			continue;
		holder = largest_holder(group, layer);
		if (group->room[layer] >= group->room[best] - margin &&
		    holder <= best_holder)
			continue;
		best = layer;
		best_holder = holder;
	}
	return best;
}

static void add_copies(struct group *group)
{
	guint i;

	for (i = 0; i < group->engines->len; i++) {
		struct flt_target *target = group->engines->pdata[i];
		unsigned capacity;
		struct flt_range range;

		if (!is_empty(effective(group, target)))
			continue;
		capacity = capacity_of(group, target);
		if (!capacity)
			continue;
		range.first = weakest_layer(group);
		range.end = MIN(range.first + capacity, group->engine->layers);
		range.first = range.end - capacity;
		assign(group, target, range);
	}
}

/* Whether all layers of the target keep so much room without it. */
static bool can_spare(const struct group *group,
		      const struct flt_target *target, double room)
{
	struct flt_range range = effective(group, target);
	double own = room_of(group, target, range);
	unsigned layer;

	if (!is_redundant(group, target))
		return false;
	for (layer = range.first; layer < range.end; layer++) {
		if (group->room[layer] - own < room)
			return false;
	}
	return true;
}

/*
 * Moves one copy to layers that have far less room than they should, as after
 * a repair with too little memory.
 */
static void relieve(struct group *group)
{
	unsigned weakest = weakest_layer(group);
	double wanted = group->tokens * RELIEF_PART;
	guint i;

	if (group->changes->len || group->room[weakest] >= wanted)
		return;
	for (i = 0; i < group->engines->len; i++) {
		struct flt_target *target = group->engines->pdata[i];
		struct flt_range range;
		unsigned capacity = capacity_of(group, target);

		if (!capacity || !can_spare(group, target, wanted))
			continue;
		range.first = weakest;
		range.end = MIN(weakest + capacity, group->engine->layers);
		assign(group, target, range);
		return;
	}
}

static unsigned total_capacity(const struct group *group)
{
	unsigned total = 0;
	guint i;

	for (i = 0; i < group->engines->len; i++)
		total += capacity_of(group, group->engines->pdata[i]);
	return total;
}

/* Keeps as much memory for requests as one copy of the model leaves. */
static void set_tokens(struct group *group)
{
	double usual = group->engine->usual_prompt_tokens +
		       group->engine->usual_answer_tokens;
	int requests = REQUESTS_PER_COPY;

	for (;;) {
		group->tokens = requests * usual;
		if (total_capacity(group) >= group->engine->layers ||
		    requests <= MIN_REQUESTS_PER_COPY)
			return;
		requests = requests * 3 / 4;
	}
}

static int compare_engines(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct flt_target *left = *(struct flt_target *const *)a;
	const struct flt_target *right = *(struct flt_target *const *)b;
	double left_pace = cat_find_accelerator(user, left->accelerator)->pace;
	double right_pace =
		cat_find_accelerator(user, right->accelerator)->pace;

	if (left_pace != right_pace)
		return left_pace < right_pace ? -1 : 1;
	return strcmp(left->id, right->id);
}

static void plan_group(GPtrArray *engines, const struct cat_engine *engine,
		       clk_ms now, GArray *changes)
{
	struct group group = {.engines = engines,
			      .engine = engine,
			      .now = now,
			      .changes = changes};
	guint i;

	g_ptr_array_sort_with_data(engines, compare_engines, (gpointer)engine);
	group.cover = g_new0(unsigned, engine->layers);
	group.room = g_new0(double, engine->layers);
	for (i = 0; i < engines->len; i++)
		count_range(&group, engines->pdata[i],
			    effective(&group, engines->pdata[i]), 1);
	set_tokens(&group);
	fill_gaps(&group);
	add_copies(&group);
	relieve(&group);
	g_free(group.cover);
	g_free(group.room);
}

/* Engines that can be ordered to hold layers, by data centre. */
static GHashTable *group_engines(const struct flt_fleet *fleet, clk_ms now,
				 const struct cat_service *service)
{
	GHashTable *groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	const GPtrArray *targets = flt_targets(fleet);
	guint i;

	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];
		GPtrArray *group;

		if (target->state != FLT_READY || now < target->down_until ||
		    strcmp(target->service, service->name) != 0 ||
		    !cat_find_accelerator(service->engine, target->accelerator))
			continue;
		group = g_hash_table_lookup(groups, target->data_center);
		if (!group) {
			group = g_ptr_array_new();
			g_hash_table_insert(groups, target->data_center, group);
		}
		g_ptr_array_add(group, target);
	}
	return groups;
}

static bool holds_model(const struct cat_engine *engine,
			const GPtrArray *engines)
{
	struct group group = {.engines = (GPtrArray *)engines,
			      .engine = engine};

	group.tokens = MIN_REQUESTS_PER_COPY * (engine->usual_prompt_tokens +
						engine->usual_answer_tokens);
	return total_capacity(&group) >= engine->layers;
}

static void append_all(GPtrArray *to, const GPtrArray *from)
{
	guint i;

	for (i = 0; i < from->len; i++)
		g_ptr_array_add(to, from->pdata[i]);
}

/*
 * Plans each data centre that can hold the model by itself. The others share
 * a copy among them; if they can't hold one together, their engines add to
 * the first data centre that can.
 */
GArray *plc_plan(const struct flt_fleet *fleet, clk_ms now,
		 const struct cat_service *service)
{
	GArray *changes = g_array_new(FALSE, TRUE, sizeof(struct plc_change));
	GHashTable *groups;
	GList *names;
	GList *name;
	GPtrArray *small = g_ptr_array_new();

	if (!service->engine || !service->engine->layers) {
		g_ptr_array_unref(small);
		return changes;
	}
	groups = group_engines(fleet, now, service);
	names = g_list_sort(g_hash_table_get_keys(groups),
			    (GCompareFunc)strcmp);
	for (name = names; name; name = name->next) {
		GPtrArray *group = g_hash_table_lookup(groups, name->data);

		if (!holds_model(service->engine, group))
			append_all(small, group);
	}
	for (name = names; name; name = name->next) {
		GPtrArray *group = g_hash_table_lookup(groups, name->data);

		if (!holds_model(service->engine, group))
			continue;
		if (small->len && !holds_model(service->engine, small)) {
			append_all(group, small);
			g_ptr_array_set_size(small, 0);
		}
		plan_group(group, service->engine, now, changes);
	}
	if (small->len)
		plan_group(small, service->engine, now, changes);
	g_ptr_array_unref(small);
	g_list_free(names);
	g_hash_table_unref(groups);
	return changes;
}
