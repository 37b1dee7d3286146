#include <math.h>
#include <string.h>

#include "forward/path_private.h"
#include "forward/prefill_cost.h"

/* Time to transfer and queue activations at each stage, in ms. */
#define STAGE_OVERHEAD_MS 0.3
/* Cost of a change of data centre within a path: the latency, and the price of
 * transferring activations for every token. */
#define CROSS_CENTER_MS 4.0
/* The rest is a reserve for requests that are longer than expected. It grows
 * with the load of other instances that is not known yet, up to a limit. */
#define USABLE_MEMORY_FRACTION 0.92
#define MIN_USABLE_MEMORY_FRACTION 0.6
/* Cost of a stage at an engine whose KV cache is full. It rises with the fourth
 * power of the used fraction, so that paths avoid nearly full engines. */
#define FULL_MEMORY_MS 2.5
/* The rest of a head's slots is a reserve for requests of other instances that
 * are not known yet: a head that is out of slots lets requests wait for
 * seconds. */
#define USABLE_SLOTS_FRACTION 0.85
/* Cost of a head whose usable slots are all taken, like FULL_MEMORY_MS. The
 * fastest engines would otherwise head all paths of a data centre. */
#define FULL_SLOTS_MS 12.0
/* Costs are raised by a random fraction up to this: otherwise instances that
 * search at the same time would all select the same path. */
#define COST_JITTER 0.15
/* Usual prompts that the long ones which a short one meets are taken to be as
 * long as. */
#define LONG_PROMPT_FACTOR 8.0
/* Added cost of engines that failed recently or are draining: they are used
 * only if no other engine holds the layers. */
#define AVOIDED_COST_MS 1000.0
/* A stage of the current path is cheaper, as it has its KV cache already. */
#define KEPT_STAGE_FACTOR 0.3
/* If the cost of a path within a data centre exceeds its time per token and
 * what its prefill costs other requests by this, its engines are full, busy or
 * degraded, and a path across data centres may be better. */
#define MAX_EXCESS_MS (2 * CROSS_CENTER_MS)
#define MAX_BOUNDARIES 512
#define MAX_DATA_CENTERS 64
/* Repetitions of a search that finds no path because the cheapest partial paths
 * have spent an engine that alone has room for later layers. */
#define MAX_REPETITIONS 2

/* The cheapest partial path that ends at a boundary, in one data centre. */
struct cell {
	double cost;
	/* Index of the engine of the last stage, -1 if there is none. */
	int engine;
	/* Boundary and data centre from which the last stage starts. */
	int from;
	int prev_center;
};

/* An engine that a path may include. */
struct candidate {
	struct flt_target *target;
	/* Index of its data centre. */
	unsigned center;
	/* Cost per layer, and per stage. */
	double layer_ms;
	double fixed_cost;
	/* Time that the prefill of the request's tokens takes in one layer. */
	double layer_prefill_ms;
	/* What that costs other requests, per layer and per stage. */
	double layer_delay_cost;
	double spread_cost;
	/* Free KV cache, in tokens times layers. */
	double free_token_layers;
	/* Layers before this one are left to other engines. */
	unsigned first_layer;
	bool can_be_head;
	/* Cost added if it is the head. */
	double head_cost;
};

struct search {
	struct flt_fleet *fleet;
	clk_ms now;
	const struct pth_query *query;
	GRand *rand;
	/* Array of struct candidate. */
	GArray *engines;
	unsigned n_centers;
	const char *center_names[MAX_DATA_CENTERS];
	unsigned boundaries[MAX_BOUNDARIES];
	int n_boundaries;
	struct cell *cells;
	bool ignore_capacity;
	bool ignore_other_centers;
	/* Fraction of the engines' memory that may be reserved. */
	double usable_memory;
	/* Index of an engine that could have extended a partial path which has
	 * it already, and the last boundary where; -1 if there is none. */
	int spent_engine;
	int spent_at;
};

static int compare_unsigned(const void *a, const void *b)
{
	unsigned left = *(const unsigned *)a;
	unsigned right = *(const unsigned *)b;

	return left < right ? -1 : left > right;
}

static void add_boundary(struct search *search, unsigned layer)
{
	if (search->n_boundaries < MAX_BOUNDARIES &&
	    layer <= search->query->engine->layers)
		search->boundaries[search->n_boundaries++] = layer;
}

static void sort_boundaries(struct search *search)
{
	int kept = 0;
	int i;

	qsort(search->boundaries, (size_t)search->n_boundaries,
	      sizeof(unsigned), compare_unsigned);
	for (i = 0; i < search->n_boundaries; i++) {
		if (!kept ||
		    search->boundaries[kept - 1] != search->boundaries[i])
			search->boundaries[kept++] = search->boundaries[i];
	}
	search->n_boundaries = kept;
}

static unsigned center_index(struct search *search, const char *name)
{
	unsigned i;

	for (i = 0; i < search->n_centers; i++) {
		if (!strcmp(search->center_names[i], name))
			return i;
	}
	if (search->n_centers == MAX_DATA_CENTERS)
		return MAX_DATA_CENTERS - 1;
	search->center_names[search->n_centers] = name;
	return search->n_centers++;
}

/* Time per token if the engine ran all layers of the model. */
static double token_ms(const struct search *search,
		       const struct flt_target *target, double pace)
{
	const struct cat_engine *engine = search->query->engine;
	double running = 1.0 + target->on_path + target->others.on_path;
	double context = running * search->query->tokens / 1000;

	return pace * (engine->step_ms + engine->step_ms_per_request * running +
		       engine->step_ms_per_1k_context * context);
}

static bool is_degraded(const struct search *search,
			const struct flt_target *target)
{
	return search->now < target->avoid_until ||
	       target->state != FLT_READY || target->removed_at;
}

static bool is_kept(const struct search *search,
		    const struct flt_target *target)
{
	return search->query->current &&
	       pth_contains(search->query->current, target);
}

/* Fraction of a head's usable slots that are taken. */
static double slot_usage(const struct flt_target *target)
{
	double usable = USABLE_SLOTS_FRACTION * target->slots;

	return usable > 0
		       ? (target->in_flight + target->others.in_flight) / usable
		       : 0;
}

/* Whether the target holds layers on an accelerator of which the memory is
 * known, if it is known of any. */
static bool is_engine_of(const struct cat_engine *engine,
			 const struct flt_target *target)
{
	return target->holds.first < target->holds.end &&
	       (!engine->accelerators->len ||
		cat_find_accelerator(engine, target->accelerator));
}

/* Time in ms until the target has prefilled the prompts of all instances. What
 * others reported has shrunk since, on average in half the reports' interval.
 */
static double prefill_backlog(const struct search *search,
			      const struct flt_target *target)
{
	double own = target->prefill_until - (double)search->now;
	double shrunk = (double)flt_report_age(search->fleet) / 2;

	if (!pfc_is_known(search->query->engine))
		return MAX(own, 0);
	return MAX(own, 0) + MAX(target->others.prefill_ms - shrunk, 0);
}

/* Adds what the prefill of the request's tokens means for it and others. */
static void add_prefill(const struct search *search,
			struct candidate *candidate, double factor,
			double token_ms)
{
	const struct cat_engine *engine = search->query->engine;
	const struct flt_target *target = candidate->target;
	double layers = engine->layers;
	double tokens = search->query->prefill_tokens;
	double share = (target->holds.end - target->holds.first) / layers;
	double usual_ms = share * pfc_read_ms(engine, factor,
					      engine->usual_prompt_tokens);
	double backlog = prefill_backlog(search, target);
	double long_tokens =
		pfc_is_long(engine, tokens)
			? tokens
			: LONG_PROMPT_FACTOR * engine->usual_prompt_tokens;
	double share_cost;

	candidate->layer_prefill_ms =
		pfc_read_ms(engine, factor, tokens) / layers;
	candidate->layer_delay_cost =
		pfc_delay_cost(engine, factor, tokens,
			       target->on_path + target->others.on_path) /
		layers;
	share_cost = pfc_share_cost(
		engine, tokens,
		flt_long_share(target, search->now) + target->others.long_share,
		target->id_hash / (double)UINT32_MAX,
		share * pfc_occupied_ms(engine, factor, long_tokens, token_ms));
	candidate->spread_cost =
		pfc_spread_cost(engine, tokens, backlog,
				share * pfc_occupied_ms(engine, factor, tokens,
							token_ms)) +
		share_cost;
	candidate->fixed_cost +=
		pfc_wait_cost(engine, tokens, backlog, usual_ms,
			      (double)search->query->objective) +
		candidate->spread_cost;
}

static struct candidate make_candidate(struct search *search,
				       struct flt_target *target)
{
	const struct cat_engine *engine = search->query->engine;
	const struct cat_accelerator *accelerator =
		cat_find_accelerator(engine, target->accelerator);
	unsigned held = target->holds.end - target->holds.first;
	double used = target->used_token_layers + target->others.token_layers;
	double all = accelerator ? search->usable_memory *
					   cat_free_token_layers(
						   engine, accelerator, held)
				 : INFINITY;
	double memory_use = all > 0 ? MIN(used / all, 1.0) : 1.0;
	double pace = accelerator ? accelerator->pace : 1;
	double jitter =
		1 +
		(search->rand ? COST_JITTER * g_rand_double(search->rand) : 0);
	struct candidate candidate = {.target = target};
	double step_ms;
	double slot_use;

	if (search->now < target->slow_until && target->slowdown > 1)
		pace *= target->slowdown;
	candidate.center = center_index(search, target->data_center);
	candidate.first_layer = target->holds.first;
	candidate.free_token_layers =
		search->now < target->full_until ? 0 : all - used;
	step_ms = token_ms(search, target, pace);
	candidate.layer_ms = jitter * step_ms / engine->layers;
	candidate.fixed_cost =
		jitter *
		(STAGE_OVERHEAD_MS + FULL_MEMORY_MS * memory_use * memory_use *
					     memory_use * memory_use);
	add_prefill(search, &candidate,
		    accelerator ? accelerator->prefill_factor : 1, step_ms);
	if (is_kept(search, target)) {
		candidate.fixed_cost = STAGE_OVERHEAD_MS * KEPT_STAGE_FACTOR;
		candidate.layer_prefill_ms = 0;
		candidate.layer_delay_cost = 0;
		candidate.spread_cost = 0;
		candidate.layer_ms *= KEPT_STAGE_FACTOR;
		candidate.free_token_layers = INFINITY;
	}
	if (is_degraded(search, target))
		candidate.fixed_cost += AVOIDED_COST_MS;
	slot_use = slot_usage(target);
	candidate.can_be_head = slot_use < 1;
	candidate.head_cost =
		FULL_SLOTS_MS * slot_use * slot_use * slot_use * slot_use;
	return candidate;
}

/* Collects the candidates of one data centre, or of all if it is NULL. */
static void collect(struct search *search, const char *data_center)
{
	const struct pth_query *query = search->query;
	const GPtrArray *targets = flt_targets(search->fleet);
	guint i;

	add_boundary(search, 0);
	add_boundary(search, query->engine->layers);
	if (query->current)
		add_boundary(search, g_array_index(query->current->stages,
						   struct pth_stage, 0)
					     .range.end);
	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];
		struct candidate candidate;

		if (!is_engine_of(query->engine, target) ||
		    strcmp(target->service, query->service) != 0 ||
		    !flt_is_routable(target, search->now))
			continue;
		if (data_center && strcmp(target->data_center, data_center))
			continue;
		/* An order to change a path keeps its first stage as it is. */
		if (query->current && target == pth_head(query->current))
			continue;
		if (target == query->without ||
		    ((query->current || query->without) &&
		     search->now < target->down_until))
			continue;
		/* An engine of the current path runs the request already. */
		if (flt_is_closed(target, search->now) &&
		    !search->ignore_capacity && !is_kept(search, target))
			continue;
		candidate = make_candidate(search, target);
		g_array_append_val(search->engines, candidate);
		add_boundary(search, target->holds.first);
		add_boundary(search, target->holds.end);
	}
	sort_boundaries(search);
}

static struct cell *cell_at(const struct search *search, int boundary,
			    unsigned center)
{
	return &search->cells[(size_t)boundary * search->n_centers + center];
}

static bool is_on_partial_path(const struct search *search, int boundary,
			       unsigned center, int engine)
{
	const struct cell *cell = cell_at(search, boundary, center);

#ifdef WF_GUARD_OFF_PATH_ENGINE_ONCE
	return false;
#endif
	while (cell->engine >= 0 && cell->engine != engine)
		cell = cell_at(search, cell->from, (unsigned)cell->prev_center);
	return cell->engine >= 0;
}

/*
 * Extends a partial path by a stage at one engine, to each later boundary
 * within its layers. An engine that the path has already is left out: it holds
 * all layers since its stage, so the path on which that stage goes on to here
 * is considered as well.
 */
static void extend_with(struct search *search, int from, unsigned prev_center,
			guint index)
{
	const struct candidate *engine =
		&g_array_index(search->engines, struct candidate, index);
	const struct cell *start = cell_at(search, from, prev_center);
	unsigned first = search->boundaries[from];
	double base = start->cost + engine->fixed_cost;
	int to;

	if (!from && !engine->can_be_head && !search->ignore_capacity)
		return;
	if (!from)
		base += engine->head_cost;
	if (from && engine->center != prev_center) {
		if (search->ignore_other_centers)
			return;
		base += CROSS_CENTER_MS;
	}
	for (to = from + 1; to < search->n_boundaries &&
			    search->boundaries[to] <= engine->target->holds.end;
	     to++) {
		unsigned layers = search->boundaries[to] - first;
		struct cell *end = cell_at(search, to, engine->center);
		double cost =
			base +
			(engine->layer_ms + engine->layer_delay_cost) * layers;

		if (cost >= end->cost)
			continue;
		if (!search->ignore_capacity &&
		    search->query->tokens * layers > engine->free_token_layers)
			return;
		if (is_on_partial_path(search, from, prev_center, (int)index)) {
			search->spent_engine = (int)index;
			search->spent_at = from;
			return;
		}
		*end = (struct cell){cost, (int)index, from, (int)prev_center};
	}
}

static void extend_from(struct search *search, int from, unsigned prev_center)
{
	unsigned first = search->boundaries[from];
	guint i;

	if (isinf(cell_at(search, from, prev_center)->cost))
		return;
	for (i = 0; i < search->engines->len; i++) {
		const struct candidate *engine =
			&g_array_index(search->engines, struct candidate, i);

		if (engine->first_layer <= first &&
		    engine->target->holds.end > first)
			extend_with(search, from, prev_center, i);
	}
}

static bool is_start(const struct search *search, int boundary)
{
	const struct pth_path *current = search->query->current;

	if (!current)
		return boundary == 0;
	return search->boundaries[boundary] ==
	       g_array_index(current->stages, struct pth_stage, 0).range.end;
}

static struct pth_path *trace_back(const struct search *search, unsigned center)
{
	const struct pth_path *current = search->query->current;
	struct pth_path *path = pth_new();
	int boundary = search->n_boundaries - 1;

	path->is_long = pfc_is_known(search->query->engine) &&
			pfc_is_long(search->query->engine,
				    search->query->prefill_tokens);
	while (!is_start(search, boundary)) {
		const struct cell *cell = cell_at(search, boundary, center);
		const struct candidate *engine = &g_array_index(
			search->engines, struct candidate, cell->engine);
		struct pth_stage stage = {
			.target = engine->target,
			.range = {search->boundaries[cell->from],
				  search->boundaries[boundary]},
		};
		unsigned layers = stage.range.end - stage.range.first;

		stage.prefill_ms = engine->layer_prefill_ms * layers;
		pth_prepend(path, stage);
		path->token_ms += STAGE_OVERHEAD_MS + engine->layer_ms * layers;
		path->delay_cost +=
			engine->layer_delay_cost * layers + engine->spread_cost;
		boundary = cell->from;
		center = (unsigned)cell->prev_center;
	}
	if (current) {
		struct pth_stage head =
			g_array_index(current->stages, struct pth_stage, 0);

		head.prefill_ms = 0;
		pth_prepend(path, head);
	}
	return path;
}

/* Returns the boundary where the search starts: before the first layer, or
 * after the head that a reroute keeps. */
static int start_search(struct search *search)
{
	const struct pth_path *current = search->query->current;
	unsigned center = 0;
	int from = 0;

	while (!is_start(search, from))
		from++;
	if (current)
		center = center_index(search, pth_head(current)->data_center);
	cell_at(search, from, center)->cost = 0;
	return from;
}

/* Fills the cells. Returns the data centre in which the cheapest path ends; its
 * cost is infinite if there is no path. */
static unsigned fill_cells(struct search *search)
{
	size_t n = (size_t)search->n_boundaries * search->n_centers;
	int last = search->n_boundaries - 1;
	unsigned best = 0;
	unsigned center;
	size_t i;
	int from;

	for (i = 0; i < n; i++)
		search->cells[i] = (struct cell){INFINITY, -1, 0, 0};
	search->spent_engine = -1;
	for (from = start_search(search); from < last; from++) {
		for (center = 0; center < search->n_centers; center++)
			extend_from(search, from, center);
	}
	for (center = 1; center < search->n_centers; center++) {
		if (cell_at(search, last, center)->cost <
		    cell_at(search, last, best)->cost)
			best = center;
	}
	return best;
}

static double run_search(struct search *search, struct pth_path **out)
{
	int last = search->n_boundaries - 1;
	unsigned repetitions = 0;
	unsigned center;
	double cost;

	*out = NULL;
	if (!search->n_centers || last < 1)
		return INFINITY;
	search->cells = g_new(struct cell,
			      (size_t)search->n_boundaries * search->n_centers);
	center = fill_cells(search);
	while (isinf(cell_at(search, last, center)->cost) &&
	       search->spent_engine >= 0 && !search->ignore_capacity &&
	       repetitions++ < MAX_REPETITIONS) {
		g_array_index(search->engines, struct candidate,
			      search->spent_engine)
			.first_layer = search->boundaries[search->spent_at];
		center = fill_cells(search);
	}
	cost = cell_at(search, last, center)->cost;
	if (!isinf(cost))
		*out = trace_back(search, center);
	g_free(search->cells);
	return cost;
}

/* Searches in one data centre, or in all if it is NULL. */
static double search_in(struct search base, const char *data_center,
			struct pth_path **out)
{
	double cost;

	base.engines = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	if (base.query->current)
		center_index(&base, pth_head(base.query->current)->data_center);
	collect(&base, data_center);
	cost = run_search(&base, out);
	g_array_unref(base.engines);
	return cost;
}

/* Lists the data centres with engines of the service, the local one first. */
static GPtrArray *list_centers(const struct search *base)
{
	GPtrArray *centers = g_ptr_array_new();
	const GPtrArray *targets = flt_targets(base->fleet);
	guint i;

	g_ptr_array_add(centers, (gpointer)base->query->data_center);
	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];

		if (strcmp(target->service, base->query->service) != 0 ||
		    target->holds.first >= target->holds.end)
			continue;
		if (!g_ptr_array_find_with_equal_func(
			    centers, target->data_center, g_str_equal, NULL))
			g_ptr_array_add(centers, target->data_center);
	}
	return centers;
}

static void replace_if_better(struct pth_path **best, double *best_cost,
			      struct pth_path *path, double cost)
{
	if (!path || cost >= *best_cost) {
		pth_free(path);
		return;
	}
	pth_free(*best);
	*best = path;
	*best_cost = cost;
}

static bool is_acceptable(const struct pth_path *path, double cost)
{
	return path && cost - path->token_ms - path->delay_cost < MAX_EXCESS_MS;
}

/* Time in ms for which a request of that many tokens occupies the link for each
 * change of data centre on its path. */
static double link_ms(const struct pth_query *query)
{
	const struct cat_engine *engine = query->engine;

	if (engine->link_bytes_per_ms <= 0)
		return 0;
	return query->tokens * engine->activation_bytes /
	       engine->link_bytes_per_ms;
}

static unsigned count_crossings(const struct pth_path *path)
{
	unsigned crossings = 0;
	guint i;

	for (i = 1; i < path->stages->len; i++) {
		const struct pth_stage *stage =
			&g_array_index(path->stages, struct pth_stage, i);

		crossings += strcmp(stage[-1].target->data_center,
				    stage->target->data_center) != 0;
	}
	return crossings;
}

/* Whether the engine may be lost or is about to leave. One that is only full
 * isn't. */
static bool is_unreliable(const struct search *search,
			  const struct flt_target *target)
{
	return search->now < target->down_until ||
	       (is_degraded(search, target) &&
		search->now >= target->full_until);
}

/* Whether the engines of one data centre, or of all if it is NULL, hold all
 * layers, free or not. */
static bool is_complete(const struct search *base, const char *data_center,
			bool only_reliable)
{
	const GPtrArray *targets = flt_targets(base->fleet);
	unsigned layers = base->query->engine->layers;
	int *changes = g_new0(int, (size_t)layers + 1);
	int holders = 0;
	unsigned layer;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];

		if (!is_engine_of(base->query->engine, target) ||
		    strcmp(target->service, base->query->service) != 0 ||
		    !flt_is_routable(target, base->now) ||
		    target->holds.first >= layers)
			continue;
		if (data_center && strcmp(target->data_center, data_center))
			continue;
		if (only_reliable && is_unreliable(base, target))
			continue;
		changes[target->holds.first]++;
		changes[MIN(target->holds.end, layers)]--;
	}
	for (layer = 0; layer < layers; layer++) {
		holders += changes[layer];
		if (!holders)
			break;
	}
	g_free(changes);
	return layer == layers;
}

static bool is_any_complete(const struct search *base, const GPtrArray *centers)
{
	guint i;

	for (i = 0; i < centers->len; i++) {
		if (is_complete(base, centers->pdata[i], true))
			return true;
	}
	return false;
}

/* Whether a new request may use a path that crosses: it must if no data centre
 * has all layers on reliable engines, and otherwise needs budget. path, which
 * may be NULL, is the best one inside a data centre. */
static bool may_cross(const struct search *base, const struct pth_path *path,
		      double cost, const GPtrArray *centers)
{
	if (lnk_may_send(flt_links(base->fleet), base->now,
			 link_ms(base->query)))
		return true;
	if (path)
		return cost - path->token_ms >= AVOIDED_COST_MS;
	return !is_any_complete(base, centers);
}

/*
 * Searches the local data centre, then the other ones until a path is
 * acceptable. The search across data centres costs much more and is made only
 * if none of them has an acceptable path.
 */
static struct pth_path *find_new(const struct search *base)
{
	struct pth_path *best = NULL;
	struct pth_path *path;
	double best_cost = INFINITY;
	double cost;
	GPtrArray *centers = list_centers(base);
	guint i;

	for (i = 0; i < centers->len; i++) {
		cost = search_in(*base, centers->pdata[i], &path);
		replace_if_better(&best, &best_cost, path,
				  i ? cost + CROSS_CENTER_MS : cost);
		if (is_acceptable(best, best_cost))
			break;
	}
	if (!is_acceptable(best, best_cost) &&
	    may_cross(base, best, best_cost, centers)) {
		cost = search_in(*base, NULL, &path);
		replace_if_better(&best, &best_cost, path, cost);
	}
	g_ptr_array_unref(centers);
	return best;
}

/* Searches a path that keeps the head of the present one. */
static struct pth_path *find_change(struct search base)
{
	struct pth_path *path;

	base.ignore_other_centers =
		link_ms(base.query) > 0 &&
		!lnk_may_move(flt_links(base.fleet), base.now);
	search_in(base, NULL, &path);
	return path;
}

static void charge_links(const struct search *base, const struct pth_path *path)
{
	unsigned crossings = count_crossings(path);

	if (crossings)
		lnk_charge(flt_links(base->fleet), base->now,
			   crossings * link_ms(base->query));
}

/* Fraction of the engines' memory that may be reserved in view of what other
 * instances may have reserved since their reports. */
static double usable_memory(const struct search *base)
{
	const struct cat_engine *engine = base->query->engine;
	const GPtrArray *targets = flt_targets(base->fleet);
	double used = 0;
	double all = 0;
	double unseen;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		const struct cat_accelerator *accelerator =
			cat_find_accelerator(engine, target->accelerator);

		if (!accelerator || target->holds.first >= target->holds.end ||
		    strcmp(target->service, base->query->service) != 0)
			continue;
		used += target->used_token_layers;
		all += cat_free_token_layers(engine, accelerator,
					     target->holds.end -
						     target->holds.first);
	}
	unseen = uns_update(flt_unseen_load(base->fleet, base->query->service),
			    base->now, used);
	if (all <= 0)
		return USABLE_MEMORY_FRACTION;
	return MAX(USABLE_MEMORY_FRACTION - unseen / all,
		   MIN_USABLE_MEMORY_FRACTION);
}

enum pth_result pth_find(struct flt_fleet *fleet, clk_ms now,
			 const struct pth_query *query, GRand *rand,
			 struct pth_path **out)
{
	struct search base = {
		.fleet = fleet, .now = now, .query = query, .rand = rand};

	base.usable_memory = usable_memory(&base);
	*out = query->current ? find_change(base) : find_new(&base);
	if (*out) {
		charge_links(&base, *out);
		return PTH_FOUND;
	}
	if (!query->current && !query->without)
		return is_complete(&base, NULL, false) ? PTH_NO_CAPACITY
						       : PTH_MISSING_LAYERS;
	base.ignore_capacity = true;
	search_in(base, NULL, out);
	if (!*out)
		return PTH_MISSING_LAYERS;
	pth_free(*out);
	*out = NULL;
	return PTH_NO_CAPACITY;
}
