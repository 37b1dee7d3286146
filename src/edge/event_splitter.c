#include <string.h>

#include "edge/event_splitter.h"

#define ID_FIELD "id:"

void evs_init(struct evs_splitter *splitter)
{
	splitter->partial = g_string_new(NULL);
	splitter->last_id = g_string_new(NULL);
	splitter->events = 0;
}

void evs_clear(struct evs_splitter *splitter)
{
	g_string_free(splitter->partial, TRUE);
	g_string_free(splitter->last_id, TRUE);
}

static void read_line(struct evs_splitter *splitter, const char *line,
		      size_t len)
{
	size_t skip = strlen(ID_FIELD);

	if (len && line[len - 1] == '\r')
		len--;
	if (len < skip || strncmp(line, ID_FIELD, skip) != 0)
		return;
	if (len > skip && line[skip] == ' ')
		skip++;
	g_string_truncate(splitter->last_id, 0);
	g_string_append_len(splitter->last_id, line + skip,
			    (gssize)(len - skip));
}

/* Length of the first event including its empty line, 0 if incomplete. */
static size_t event_length(const char *bytes, size_t len)
{
	size_t start = 0;

	while (start < len) {
		const char *end = memchr(bytes + start, '\n', len - start);
		size_t line;

		if (!end)
			return 0;
		line = (size_t)(end - bytes) - start;
		if (!line || (line == 1 && bytes[start] == '\r'))
			return (size_t)(end - bytes) + 1;
		start += line + 1;
	}
	return 0;
}

static void read_event(struct evs_splitter *splitter, const char *event,
		       size_t len)
{
	size_t start = 0;

	splitter->events++;
	while (start < len) {
		const char *end = memchr(event + start, '\n', len - start);
		size_t line = end ? (size_t)(end - event) - start : len - start;

		read_line(splitter, event + start, line);
		start += line + 1;
	}
}

size_t evs_add(struct evs_splitter *splitter, const char *bytes, size_t len)
{
	size_t ready = 0;
	size_t event;

	g_string_append_len(splitter->partial, bytes, (gssize)len);
	while ((event = event_length(splitter->partial->str + ready,
				     splitter->partial->len - ready))) {
		read_event(splitter, splitter->partial->str + ready, event);
		ready += event;
	}
	return ready;
}

void evs_consume(struct evs_splitter *splitter, size_t len)
{
	g_string_erase(splitter->partial, 0, (gssize)len);
}

void evs_discard_partial(struct evs_splitter *splitter)
{
	g_string_truncate(splitter->partial, 0);
}
