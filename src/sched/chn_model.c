#include <math.h>
#include <string.h>

#include "sched/chn_model.h"

static void clear_boundary(gpointer data)
{
	struct chn_boundary *boundary = data;

	if (boundary->candidates)
		g_array_unref(boundary->candidates);
	if (boundary->near_best[0])
		g_array_unref(boundary->near_best[0]);
	if (boundary->near_best[1])
		g_array_unref(boundary->near_best[1]);
	g_free(boundary->starts);
}

static GArray *new_boundaries(void)
{
	GArray *array;

	array = g_array_new(FALSE, TRUE, sizeof(struct chn_boundary));
	g_array_set_clear_func(array, clear_boundary);
	return array;
}

static struct chn_model *model_new(const char *name)
{
	struct chn_model *model = g_new0(struct chn_model, 1);

	model->name = g_strdup(name);
	model->targets = g_ptr_array_new();
	model->boundaries = new_boundaries();
	model->stale = true;
	model->inflation = 1;
	return model;
}

void chn_model_drop(gpointer data)
{
	struct chn_model *model = data;

	g_ptr_array_unref(model->targets);
	g_array_unref(model->boundaries);
	g_free(model->name);
	g_free(model);
}

void chn_invalidate(struct tgt_table *targets, const char *name)
{
	struct chn_model *model;

	if (!name)
		return;
	model = g_hash_table_lookup(targets->models, name);
	if (!model) {
		model = model_new(name);
		g_hash_table_insert(targets->models, g_strdup(name), model);
	}
	model->stale = true;
}

/* By data centre, then by id, so that the order does not depend on history. */
static gint compare_targets(gconstpointer a, gconstpointer b)
{
	const struct tgt_target *left = *(struct tgt_target *const *)a;
	const struct tgt_target *right = *(struct tgt_target *const *)b;

	if (left->data_center_number != right->data_center_number)
		return left->data_center_number < right->data_center_number ? -1
									    : 1;
	return strcmp(left->id, right->id);
}

static void collect_targets(struct tgt_table *targets, struct chn_model *model)
{
	struct tgt_target *target;
	size_t cursor = 0;

	g_ptr_array_set_size(model->targets, 0);
	model->n_layers = 0;
	while ((target = tbl_next(targets->table, &cursor, NULL))) {
		if (target->role != WF_ROLE_ENGINE || !target->listed ||
		    strcmp(target->serves, model->name) != 0)
			continue;
		g_ptr_array_add(model->targets, target);
		model->n_layers = MAX(model->n_layers, target->n_layers);
	}
	g_ptr_array_sort(model->targets, compare_targets);
	model->n_targets = model->targets->len;
}

static void compute_nominal_rate(struct chn_model *model)
{
	double layers = 0;
	guint i;

	for (i = 0; i < model->targets->len; i++) {
		const struct tgt_target *target = model->targets->pdata[i];
		unsigned held = target->last_layer - target->first_layer + 1;

		if (!target->leaving)
			layers += 1e6 * target->slots * held / target->step_us;
	}
	model->nominal_rate = layers / MAX(model->n_layers, 1);
}

/* Marks the ends of the model and of each range as boundaries. */
static void collect_boundaries(struct chn_model *model)
{
	gboolean *marked = g_new0(gboolean, model->n_layers + 1);
	unsigned layer;
	guint i;

	marked[0] = TRUE;
	marked[model->n_layers] = TRUE;
	for (i = 0; i < model->targets->len; i++) {
		struct tgt_target *target = model->targets->pdata[i];

		marked[target->first_layer] = TRUE;
		marked[target->last_layer + 1] = TRUE;
	}
	for (layer = 0; layer <= model->n_layers; layer++) {
		struct chn_boundary boundary = {.layer = layer};

		if (marked[layer])
			g_array_append_val(model->boundaries, boundary);
	}
	g_free(marked);
}

static size_t find_boundary(const struct chn_model *model, unsigned layer)
{
	size_t i = 0;

	while (g_array_index(model->boundaries, struct chn_boundary, i).layer !=
	       layer)
		i++;
	return i;
}

static void mark_start(struct chn_boundary *boundary, unsigned data_center)
{
	while (boundary->n_starts <= data_center)
		boundary->starts[boundary->n_starts++] =
			boundary->candidates->len;
}

static struct chn_boundary *boundary_at(const struct chn_model *model,
					size_t index)
{
	return &g_array_index(model->boundaries, struct chn_boundary, index);
}

/* Adds a target if chains that run it here can cover the rest of the model. */
static void add_candidate(struct chn_model *model, size_t at,
			  struct tgt_target *target, double link_us)
{
	struct chn_candidate candidate = {.target = target};
	struct chn_boundary *boundary = boundary_at(model, at);
	double best = INFINITY;
	size_t end;

	candidate.next = find_boundary(model, target->last_layer + 1);
	for (end = at + 1; end <= candidate.next; end++) {
		const struct chn_boundary *next = boundary_at(model, end);
		double us;

		us = tgt_stage_us(target, boundary->layer, next->layer - 1);
		best = MIN(best, us + link_us + next->min_us_to_end);
	}
	if (isinf(best))
		return;
	boundary->min_us_to_end = MIN(boundary->min_us_to_end, best);
	g_array_append_val(boundary->candidates, candidate);
}

static void fill_boundary(struct tgt_table *targets, struct chn_model *model,
			  size_t at)
{
	struct chn_boundary *boundary = boundary_at(model, at);
	guint i;

	boundary->candidates =
		g_array_new(FALSE, FALSE, sizeof(struct chn_candidate));
	boundary->near_best[0] = g_array_new(FALSE, FALSE, sizeof(guint));
	boundary->near_best[1] = g_array_new(FALSE, FALSE, sizeof(guint));
	boundary->starts = g_new0(guint, targets->data_centers->len + 1);
	boundary->min_us_to_end =
		boundary->layer == model->n_layers ? 0 : INFINITY;
	for (i = 0; i < model->targets->len; i++) {
		struct tgt_target *target = model->targets->pdata[i];

		mark_start(boundary, target->data_center_number);
		if (target->first_layer <= boundary->layer &&
		    target->last_layer >= boundary->layer)
			add_candidate(model, at, target,
				      targets->config.link_us);
	}
	mark_start(boundary, targets->data_centers->len);
}

/*
 * Share of each layer's capacity that long requests may use while short ones
 * arrive. They get the slowest engines, so that they do not slow down short
 * requests on the others.
 */
#define CHN_LONG_SHARE 0.5

static double layer_us(const struct tgt_target *target)
{
	return target->step_us / (target->last_layer - target->first_layer + 1);
}

static gint compare_slowness(gconstpointer a, gconstpointer b)
{
	const struct tgt_target *left = *(struct tgt_target *const *)a;
	const struct tgt_target *right = *(struct tgt_target *const *)b;

	if (layer_us(left) != layer_us(right))
		return layer_us(left) > layer_us(right) ? -1 : 1;
	return strcmp(left->id, right->id);
}

static bool covers(const struct tgt_target *target, unsigned layer)
{
	return !target->leaving && target->first_layer <= layer &&
	       target->last_layer >= layer;
}

/*
 * Opens targets that hold a layer to long requests, slowest first, up to
 * CHN_LONG_SHARE of the layer's capacity.
 */
static void choose_long_at_layer(const GPtrArray *slowest, unsigned layer)
{
	double total = 0;
	double opened = 0;
	guint i;

	for (i = 0; i < slowest->len; i++) {
		const struct tgt_target *target = slowest->pdata[i];

		if (!covers(target, layer))
			continue;
		total += target->slots / layer_us(target);
		if (target->takes_long)
			opened += target->slots / layer_us(target);
	}
	for (i = 0; i < slowest->len && opened < CHN_LONG_SHARE * total; i++) {
		struct tgt_target *target = slowest->pdata[i];

		if (!covers(target, layer) || target->takes_long)
			continue;
		target->takes_long = true;
		opened += target->slots / layer_us(target);
	}
}

static void choose_long_targets(struct chn_model *model)
{
	GPtrArray *slowest = g_ptr_array_new();
	guint i;

	for (i = 0; i < model->targets->len; i++) {
		struct tgt_target *target = model->targets->pdata[i];

		target->takes_long = false;
		g_ptr_array_add(slowest, target);
	}
	g_ptr_array_sort(slowest, compare_slowness);
	for (i = 0; i + 1 < model->boundaries->len; i++)
		choose_long_at_layer(slowest, boundary_at(model, i)->layer);
	g_ptr_array_unref(slowest);
}

static void rebuild(struct tgt_table *targets, struct chn_model *model)
{
	guint i;

	model->stale = false;
	g_array_set_size(model->boundaries, 0);
	collect_targets(targets, model);
	compute_nominal_rate(model);
	if (!model->n_layers)
		return;
	collect_boundaries(model);
	for (i = model->boundaries->len; i-- > 0;) {
		fill_boundary(targets, model, i);
		boundary_at(model, i)->price[0] =
			boundary_at(model, i)->min_us_to_end;
		boundary_at(model, i)->price[1] =
			boundary_at(model, i)->min_us_to_end;
	}
	choose_long_targets(model);
	if (model->token_us <= 0)
		model->token_us =
			g_array_index(model->boundaries, struct chn_boundary, 0)
				.min_us_to_end;
	if (isinf(model->token_us))
		model->token_us = 0;
}

void chn_refresh(struct tgt_table *targets)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, targets->models);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct chn_model *model = value;

		if (model->stale)
			rebuild(targets, model);
	}
}

struct chn_model *chn_get_model(struct tgt_table *targets, const char *name)
{
	struct chn_model *model;

	model = name ? g_hash_table_lookup(targets->models, name) : NULL;
	if (model && model->stale)
		rebuild(targets, model);
	return model;
}

unsigned chn_n_layers(struct tgt_table *targets, const char *name)
{
	struct chn_model *model = chn_get_model(targets, name);

	return model ? model->n_layers : 0;
}

double chn_token_us(struct tgt_table *targets, const char *name)
{
	struct chn_model *model = chn_get_model(targets, name);

	return model ? model->token_us : 0;
}

/* Averages a model's inflation over about 200 tokens. */
#define CHN_INFLATION_SMOOTHING 0.005

double chn_inflation(struct tgt_table *targets, const char *name)
{
	struct chn_model *model = chn_get_model(targets, name);

	return model ? model->inflation : 1;
}

void chn_note_inflation(struct tgt_table *targets, const char *name,
			double ratio)
{
	struct chn_model *model = chn_get_model(targets, name);

	if (!model)
		return;
	ratio = CLAMP(ratio, 0.5, 50);
	model->inflation +=
		CHN_INFLATION_SMOOTHING * (ratio - model->inflation);
	model->inflation = MAX(model->inflation, 1);
}

double chn_nominal_rate(struct tgt_table *targets, const char *name)
{
	struct chn_model *model = chn_get_model(targets, name);

	return model ? model->nominal_rate : 0;
}
