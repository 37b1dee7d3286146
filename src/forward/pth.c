#include <math.h>
#include <string.h>

#include <wagtailferry/fleet.h>

/* Time for activations and queueing at each further stage, in ms. */
#define STAGE_MS 0.3
/* Cost of leaving a data centre inside a path: the delay, and the price of
 * the traffic that every token causes there. */
#define CROSSING_MS 5.0
/* Memory that is left unused, because requests are longer than expected. */
#define USABLE_MEMORY 0.9
/* Added to the cost of engines that failed lately or leave: they serve only
 * where no other engine has the layers. */
#define AVOIDED_MS 1000.0
#define MAX_BOUNDARIES 512
#define MAX_DATA_CENTERS 64

/* The best way to have run the layers up to a boundary. */
struct reach {
	double cost;
	/* Stage that ends here, -1 at the start. */
	int target;
	/* Boundary and data centre where that stage starts. */
	int from;
	int from_center;
};

struct search {
	struct flt_fleet *fleet;
	clk_ms now;
	const struct cat_engine *engine;
	double tokens;
	unsigned instances;
	/* Engines that may serve, of struct flt_target pointers. */
	GPtrArray *engines;
	/* Data centre of each engine as an index. */
	GArray *centers;
	unsigned n_centers;
	const char *center_names[MAX_DATA_CENTERS];
	unsigned boundaries[MAX_BOUNDARIES];
	int n_boundaries;
	struct reach *reached;
	bool ignore_room;
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
	    layer <= search->engine->layers)
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

/* Collects the engines of a service, all or those of one data centre. */
static void collect(struct search *search, const char *service,
		    const char *data_center)
{
	const GPtrArray *targets = flt_targets(search->fleet);
	guint i;

	add_boundary(search, 0);
	add_boundary(search, search->engine->layers);
	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];
		unsigned center;

		if (target->holds.first >= target->holds.end ||
		    strcmp(target->service, service) != 0 ||
		    !flt_may_send(target, search->now))
			continue;
		if (data_center && strcmp(target->data_center, data_center))
			continue;
		center = center_index(search, target->data_center);
		g_ptr_array_add(search->engines, target);
		g_array_append_val(search->centers, center);
		add_boundary(search, target->holds.first);
		add_boundary(search, target->holds.end);
	}
	sort_boundaries(search);
}

static double memory_tokens_layers(const struct cat_engine *engine,
				   const struct flt_target *target)
{
	const struct cat_accelerator *kind =
		cat_find_accelerator(engine, target->accelerator);
	unsigned held = target->holds.end - target->holds.first;
	double free_mb;

	if (!kind)
		return INFINITY;
	free_mb = kind->memory_mb - held * engine->layer_mb;
	return USABLE_MEMORY * free_mb * 1e6 /
	       (engine->token_bytes / engine->layers);
}

static bool has_room(const struct search *search,
		     const struct flt_target *target, unsigned layers,
		     bool is_head)
{
	double used = target->used_token_layers * search->instances;

	if (search->ignore_room)
		return true;
	if (is_head && target->slots &&
	    target->in_flight * search->instances >= target->slots)
		return false;
	return used + search->tokens * layers <=
	       memory_tokens_layers(search->engine, target);
}

/* Time that a token spends at an engine that runs so many layers for it. */
static double stage_ms(const struct search *search,
		       const struct flt_target *target, unsigned layers)
{
	const struct cat_engine *engine = search->engine;
	const struct cat_accelerator *kind =
		cat_find_accelerator(engine, target->accelerator);
	double pace = kind ? kind->pace : 1.0;
	double running = 1.0 + target->on_path * (double)search->instances;
	double context = running * search->tokens / 1000;
	double all = engine->step_ms + engine->step_ms_per_request * running +
		     engine->step_ms_per_1k_context * context;

	return pace * all * layers / engine->layers;
}

static double stage_cost(const struct search *search,
			 const struct flt_target *target, unsigned layers)
{
	double cost = STAGE_MS + stage_ms(search, target, layers);

	if (search->now < target->avoid_until)
		cost += AVOIDED_MS;
	if (target->state != FLT_READY)
		cost += AVOIDED_MS;
	return cost;
}

static struct reach *reach_of(const struct search *search, int boundary,
			      unsigned center)
{
	return &search->reached[(size_t)boundary * MAX_DATA_CENTERS + center];
}

/* Tries one engine from a boundary to every later one that it holds. */
static void extend_with(struct search *search, int from, unsigned from_center,
			guint index)
{
	struct flt_target *target = search->engines->pdata[index];
	unsigned center = g_array_index(search->centers, unsigned, index);
	const struct reach *start = reach_of(search, from, from_center);
	unsigned first = search->boundaries[from];
	int to;

	for (to = from + 1; to < search->n_boundaries &&
			    search->boundaries[to] <= target->holds.end;
	     to++) {
		unsigned layers = search->boundaries[to] - first;
		struct reach *end = reach_of(search, to, center);
		double cost = start->cost + stage_cost(search, target, layers);

		if (from && center != from_center)
			cost += CROSSING_MS;
		if (cost >= end->cost ||
		    !has_room(search, target, layers, from == 0))
			continue;
		*end = (struct reach){cost, (int)index, from,
				      (int)from_center};
	}
}

static void extend_from(struct search *search, int from, unsigned from_center)
{
	unsigned first = search->boundaries[from];
	guint i;

	if (isinf(reach_of(search, from, from_center)->cost))
		return;
	for (i = 0; i < search->engines->len; i++) {
		struct flt_target *target = search->engines->pdata[i];

		if (target->holds.first <= first && target->holds.end > first)
			extend_with(search, from, from_center, i);
	}
}

static void stage_clear(gpointer data)
{
	flt_target_drop(((struct pth_stage *)data)->target);
}

/* Joins neighbouring stages at the same engine; an engine may appear once. */
static bool add_stage(struct pth_path *path, struct flt_target *target,
		      struct flt_range range)
{
	struct pth_stage stage = {target, range};
	guint i;

	if (path->stages->len) {
		struct pth_stage *first =
			&g_array_index(path->stages, struct pth_stage, 0);

		if (first->target == target &&
		    first->range.first == range.end) {
			first->range.first = range.first;
			return true;
		}
	}
	for (i = 0; i < path->stages->len; i++) {
		if (g_array_index(path->stages, struct pth_stage, i).target ==
		    target)
			return false;
	}
	flt_target_keep(target);
	g_array_prepend_val(path->stages, stage);
	return true;
}

static struct pth_path *trace_back(const struct search *search,
				   unsigned center)
{
	struct pth_path *path = g_new0(struct pth_path, 1);
	int boundary = search->n_boundaries - 1;

	path->stages = g_array_new(FALSE, TRUE, sizeof(struct pth_stage));
	g_array_set_clear_func(path->stages, stage_clear);
	while (boundary > 0) {
		const struct reach *reach = reach_of(search, boundary, center);
		struct flt_range range = {search->boundaries[reach->from],
					  search->boundaries[boundary]};
		struct flt_target *target =
			search->engines->pdata[reach->target];

		if (!add_stage(path, target, range)) {
			pth_free(path);
			return NULL;
		}
		path->token_ms += STAGE_MS + stage_ms(search, target,
						      range.end - range.first);
		boundary = reach->from;
		center = (unsigned)reach->from_center;
	}
	return path;
}

static double run_search(struct search *search, struct pth_path **out)
{
	size_t n = (size_t)search->n_boundaries * MAX_DATA_CENTERS;
	unsigned best = 0;
	double cost;
	unsigned center;
	size_t i;
	int from;

	search->reached = g_new(struct reach, n);
	for (i = 0; i < n; i++)
		search->reached[i] = (struct reach){INFINITY, -1, 0, 0};
	reach_of(search, 0, 0)->cost = 0;
	for (from = 0; from + 1 < search->n_boundaries; from++) {
		for (center = 0; center < search->n_centers; center++)
			extend_from(search, from, center);
	}
	for (center = 1; center < search->n_centers; center++) {
		if (reach_of(search, search->n_boundaries - 1, center)->cost <
		    reach_of(search, search->n_boundaries - 1, best)->cost)
			best = center;
	}
	cost = reach_of(search, search->n_boundaries - 1, best)->cost;
	*out = isinf(cost) ? NULL : trace_back(search, best);
	g_free(search->reached);
	return *out ? cost : INFINITY;
}

static double search_in(struct search base, const char *service,
			const char *data_center, struct pth_path **out)
{
	double cost;

	base.engines = g_ptr_array_new();
	base.centers = g_array_new(FALSE, TRUE, sizeof(unsigned));
	collect(&base, service, data_center);
	cost = run_search(&base, out);
	g_ptr_array_unref(base.engines);
	g_array_unref(base.centers);
	return cost;
}

/* Data centres that have an engine of the service with layers. */
static GPtrArray *list_centers(const struct flt_fleet *fleet,
			       const char *service, const char *own)
{
	GPtrArray *centers = g_ptr_array_new();
	const GPtrArray *targets = flt_targets(fleet);
	guint i;
	guint j;

	g_ptr_array_add(centers, (gpointer)own);
	for (i = 0; i < targets->len; i++) {
		struct flt_target *target = targets->pdata[i];

		if (strcmp(target->service, service) != 0 ||
		    target->holds.first >= target->holds.end)
			continue;
		for (j = 0; j < centers->len; j++) {
			if (!strcmp(centers->pdata[j], target->data_center))
				break;
		}
		if (j == centers->len)
			g_ptr_array_add(centers, target->data_center);
	}
	return centers;
}

/* The cheapest path that stays in one data centre. */
static struct pth_path *best_local(const struct search *base,
				   const char *service,
				   const char *data_center)
{
	GPtrArray *centers = list_centers(base->fleet, service, data_center);
	struct pth_path *best = NULL;
	double best_cost = INFINITY;
	guint i;

	for (i = 0; i < centers->len; i++) {
		struct pth_path *path = NULL;
		double cost = search_in(*base, service, centers->pdata[i],
					&path);

		if (i)
			cost += CROSSING_MS;
		if (!path || cost >= best_cost) {
			pth_free(path);
			continue;
		}
		pth_free(best);
		best = path;
		best_cost = cost;
	}
	g_ptr_array_unref(centers);
	return best;
}

enum pth_result pth_find(struct flt_fleet *fleet, clk_ms now,
			 const struct cat_engine *engine, const char *service,
			 const char *data_center, double tokens,
			 unsigned instances, struct pth_path **out)
{
	struct search base = {.fleet = fleet,
			      .now = now,
			      .engine = engine,
			      .tokens = tokens,
			      .instances = MAX(instances, 1)};

	*out = best_local(&base, service, data_center);
	if (!*out)
		search_in(base, service, NULL, out);
	if (*out)
		return PTH_FOUND;
	base.ignore_room = true;
	search_in(base, service, NULL, out);
	if (!*out)
		return PTH_NO_LAYERS;
	pth_free(*out);
	*out = NULL;
	return PTH_NO_ROOM;
}

void pth_free(struct pth_path *path)
{
	if (!path)
		return;
	pth_release(path);
	g_array_unref(path->stages);
	g_free(path);
}

static void count_path(struct pth_path *path, int sign)
{
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		struct pth_stage *stage =
			&g_array_index(path->stages, struct pth_stage, i);
		unsigned layers = stage->range.end - stage->range.first;

		stage->target->on_path += (unsigned)sign;
		stage->target->used_token_layers +=
			sign * path->tokens * layers;
	}
	pth_head(path)->in_flight += (unsigned)sign;
}

void pth_reserve(struct pth_path *path, double tokens)
{
	if (path->is_counted)
		return;
	path->tokens = tokens;
	path->is_counted = true;
	count_path(path, 1);
}

void pth_release(struct pth_path *path)
{
	if (!path->is_counted)
		return;
	path->is_counted = false;
	count_path(path, -1);
}

bool pth_has(const struct pth_path *path, const struct flt_target *target)
{
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		if (g_array_index(path->stages, struct pth_stage, i).target ==
		    target)
			return true;
	}
	return false;
}

struct flt_target *pth_head(const struct pth_path *path)
{
	return g_array_index(path->stages, struct pth_stage, 0).target;
}
