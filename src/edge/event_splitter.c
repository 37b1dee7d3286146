#include <string.h>

#include "edge/event_splitter.h"

#define ID_FIELD "id:"

void evs_init(struct evs_splitter *splitter)
{
	splitter->partial = g_string_new(NULL);
	splitter->last_id = g_string_new(NULL);
	splitter->events = 0;
	splitter->progress = 0;
	splitter->scanned = 0;
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

/*
 * Returns the length of the first event after ready bytes, with its empty line;
 * 0 if it is incomplete. The search goes on where the last one ended, so that a
 * long event is scanned once.
 */
static size_t event_length(struct evs_splitter *splitter, size_t ready)
{
	const char *bytes = splitter->partial->str;
	size_t len = splitter->partial->len;
	size_t start = MAX(splitter->scanned, ready);

	while (start < len) {
		const char *end = memchr(bytes + start, '\n', len - start);
		size_t line;

		if (!end)
			break;
		line = (size_t)(end - bytes) - start;
		start += line + 1;
		if (!line || (line == 1 && bytes[start - 2] == '\r')) {
			splitter->scanned = start;
			return start - ready;
		}
	}
	splitter->scanned = start;
	return 0;
}

static void read_event(struct evs_splitter *splitter, const char *event,
		       size_t len)
{
	bool has_field = false;
	size_t start = 0;

	while (start < len) {
		const char *end = memchr(event + start, '\n', len - start);
		size_t line = end ? (size_t)(end - event) - start : len - start;

		has_field |=
			line && event[start] != ':' && event[start] != '\r';
		read_line(splitter, event + start, line);
		start += line + 1;
	}
	splitter->events++;
	splitter->progress += has_field;
}

size_t evs_add(struct evs_splitter *splitter, const char *bytes, size_t len)
{
	size_t ready = 0;
	size_t event;

	g_string_append_len(splitter->partial, bytes, (gssize)len);
	while ((event = event_length(splitter, ready))) {
		read_event(splitter, splitter->partial->str + ready, event);
		ready += event;
	}
	return ready;
}

void evs_consume(struct evs_splitter *splitter, size_t len)
{
	g_string_erase(splitter->partial, 0, (gssize)len);
	splitter->scanned -= MIN(len, splitter->scanned);
}

void evs_discard_partial(struct evs_splitter *splitter)
{
	g_string_truncate(splitter->partial, 0);
	splitter->scanned = 0;
}
