/*
 * Splits event streams from untrusted bytes: the complete events, their number
 * and the last id are the same whether the bytes arrive at once or one by one,
 * and no byte is changed or lost.
 */

#include <stdlib.h>
#include <string.h>

#include "edge/event_splitter.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct result {
	GString *events;
	char *last_id;
	unsigned count;
	unsigned progress;
};

static struct result split(const char *data, size_t size, size_t step)
{
	struct result result = {.events = g_string_new(NULL)};
	struct evs_splitter splitter;
	size_t at;

	evs_init(&splitter);
	for (at = 0; at < size; at += step) {
		size_t ready =
			evs_add(&splitter, data + at, MIN(step, size - at));

		g_string_append_len(result.events, splitter.partial->str,
				    (gssize)ready);
		evs_consume(&splitter, ready);
	}
	if (result.events->len + splitter.partial->len != size ||
	    (size && memcmp(result.events->str, data, result.events->len)) ||
	    splitter.progress > splitter.events)
		abort();
	result.last_id = g_strdup(splitter.last_id->str);
	result.count = splitter.events;
	result.progress = splitter.progress;
	evs_clear(&splitter);
	return result;
}

static void clear(struct result *result)
{
	g_string_free(result->events, TRUE);
	g_free(result->last_id);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct result whole = split((const char *)data, size, size ? size : 1);
	struct result bytes = split((const char *)data, size, 1);

	if (!g_string_equal(whole.events, bytes.events) ||
	    strcmp(whole.last_id, bytes.last_id) != 0 ||
	    whole.count != bytes.count || whole.progress != bytes.progress)
		abort();
	clear(&whole);
	clear(&bytes);
	return 0;
}
