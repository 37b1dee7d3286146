#include "engine.h"

struct eng_waiter {
	unsigned priority;
	eng_slot_cb cb;
	void *data;
};

static int by_priority(const void *a, const void *b, void *user)
{
	const struct eng_waiter *left = a;
	const struct eng_waiter *right = b;

	(void)user;
	/* Never 0, so that a new waiter goes behind those of equal priority. */
	return left->priority < right->priority ? -1 : 1;
}

struct eng_waiter *eng_pool_acquire(struct eng_pool *pool, unsigned priority,
				    eng_slot_cb cb, void *data)
{
	struct eng_waiter *waiter;
	GList *link;

	if (pool->running < pool->slots) {
		pool->running++;
		cb(data);
		return NULL;
	}
	waiter = g_new0(struct eng_waiter, 1);
	waiter->priority = priority;
	waiter->cb = cb;
	waiter->data = data;
	for (link = pool->waiting.head; link; link = link->next)
		if (by_priority(waiter, link->data, NULL) < 0)
			break;
	if (link)
		g_queue_insert_before(&pool->waiting, link, waiter);
	else
		g_queue_push_tail(&pool->waiting, waiter);
	return waiter;
}

void eng_pool_release(struct eng_pool *pool)
{
	pool->running--;
	while (pool->running < pool->slots) {
		struct eng_waiter *waiter = g_queue_pop_head(&pool->waiting);
		eng_slot_cb cb;
		void *data;

		if (!waiter)
			return;
		cb = waiter->cb;
		data = waiter->data;
		g_free(waiter);
		pool->running++;
		cb(data);
	}
}

void eng_pool_cancel(struct eng_pool *pool, struct eng_waiter *waiter)
{
	g_queue_remove(&pool->waiting, waiter);
	g_free(waiter);
}
