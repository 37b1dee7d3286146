/*
 * Parses event streams from untrusted bytes: the events are the same whether
 * the bytes arrive at once or one by one, and none exceeds the limit.
 */

#include <stdlib.h>

#include "daemon/cli_sse.h"

#define EVENT_LIMIT 64

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool append_event(void *user, const char *name, const char *data,
			 size_t len)
{
	if (len > EVENT_LIMIT)
		abort();
	g_string_append_printf(user, "%s|%s\n", name, data);
	return true;
}

static GString *parse(const char *data, size_t size, size_t step)
{
	GString *events = g_string_new(NULL);
	struct cli_sse *parser = cli_sse_new(EVENT_LIMIT, append_event, events);
	GError *error = NULL;
	size_t at;

	for (at = 0; at < size; at += step)
		if (!cli_sse_feed(parser, data + at, MIN(step, size - at),
				  &error))
			break;
	g_clear_error(&error);
	cli_sse_drop(parser);
	return events;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GString *whole = parse((const char *)data, size, size ? size : 1);
	GString *split = parse((const char *)data, size, 1);

	if (!g_string_equal(whole, split))
		abort();
	g_string_free(whole, TRUE);
	g_string_free(split, TRUE);
	return 0;
}
