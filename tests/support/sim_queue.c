#include "sim.h"

struct sim_queued {
	clk_ms at;
	uint64_t sequence;
	sim_fn fn;
	void *data;
	GDestroyNotify free_data;
};

static bool before(const struct sim *sim, guint a, guint b)
{
	const struct sim_queued *left = sim->queue->pdata[a];
	const struct sim_queued *right = sim->queue->pdata[b];

	if (left->at != right->at)
		return left->at < right->at;
	return left->sequence < right->sequence;
}

static void swap(struct sim *sim, guint a, guint b)
{
	gpointer item = sim->queue->pdata[a];

	sim->queue->pdata[a] = sim->queue->pdata[b];
	sim->queue->pdata[b] = item;
}

void sim_push(struct sim *sim, clk_ms at, sim_fn fn, void *data,
	      GDestroyNotify free_data)
{
	struct sim_queued *queued = g_new(struct sim_queued, 1);
	guint i = sim->queue->len;

	queued->at = MAX(at, sim->now);
	queued->sequence = sim->sequence++;
	queued->fn = fn;
	queued->data = data;
	queued->free_data = free_data;
	g_ptr_array_add(sim->queue, queued);
	while (i && before(sim, i, (i - 1) / 2)) {
		swap(sim, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct sim_queued *pop(struct sim *sim)
{
	struct sim_queued *first = sim->queue->pdata[0];
	guint last = sim->queue->len - 1;
	guint i = 0;

	swap(sim, 0, last);
	g_ptr_array_set_size(sim->queue, (gint)last);
	for (;;) {
		guint child = 2 * i + 1;

		if (child >= last)
			return first;
		if (child + 1 < last && before(sim, child + 1, child))
			child++;
		if (!before(sim, child, i))
			return first;
		swap(sim, i, child);
		i = child;
	}
}

void sim_run_until(struct sim *sim, clk_ms end)
{
	while (sim->queue->len) {
		struct sim_queued *next = sim->queue->pdata[0];

		if (next->at > end)
			break;
		next = pop(sim);
		sim->now = next->at;
		next->fn(sim, next->data);
		if (next->free_data)
			next->free_data(next->data);
		g_free(next);
	}
	sim->now = MAX(sim->now, end);
}

void sim_at(struct sim *sim, clk_ms at, void (*fn)(struct sim *, void *),
	    void *data)
{
	sim_push(sim, at, fn, data, NULL);
}

clk_ms sim_random_span(struct sim *sim, clk_ms max)
{
	if (max <= 0)
		return 0;
	return (clk_ms)(g_rand_double(sim->rand) * (double)(max + 1));
}

bool sim_random_bool(struct sim *sim, double probability)
{
	return probability > 0 && g_rand_double(sim->rand) < probability;
}

void sim_queue_free(struct sim *sim)
{
	guint i;

	for (i = 0; i < sim->queue->len; i++) {
		struct sim_queued *queued = sim->queue->pdata[i];

		if (queued->free_data)
			queued->free_data(queued->data);
		g_free(queued);
	}
	g_ptr_array_unref(sim->queue);
}
