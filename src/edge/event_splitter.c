#include <string.h>

#include "edge/event_splitter.h"

#define ID_FIELD "id:"
/* The start of an answer's head. */
#define STATUS_LINE "HTTP/1."

/* What is read from an event. */
struct event {
	/* NULL if it has none. */
	const char *id;
	size_t id_len;
	/* It is not only a comment. */
	bool has_field;
};

void evs_init(struct evs_splitter *splitter)
{
	splitter->partial = g_string_new(NULL);
	splitter->last_id = g_string_new(NULL);
	splitter->events = 0;
	splitter->progress = 0;
	splitter->is_invalid = false;
	splitter->awaits_event = true;
	splitter->scanned = 0;
}

void evs_clear(struct evs_splitter *splitter)
{
	g_string_free(splitter->partial, TRUE);
	g_string_free(splitter->last_id, TRUE);
}

static void read_line(struct event *event, const char *line, size_t len)
{
	size_t skip = strlen(ID_FIELD);

	if (len && line[len - 1] == '\r')
		len--;
	if (len < skip || strncmp(line, ID_FIELD, skip) != 0)
		return;
	if (len > skip && line[skip] == ' ')
		skip++;
	event->id = line + skip;
	event->id_len = len - skip;
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

static struct event read_event(const char *bytes, size_t len)
{
	struct event event = {0};
	size_t start = 0;

	while (start < len) {
		const char *end = memchr(bytes + start, '\n', len - start);
		size_t line = end ? (size_t)(end - bytes) - start : len - start;

		event.has_field |=
			line && bytes[start] != ':' && bytes[start] != '\r';
		read_line(&event, bytes + start, line);
		start += line + 1;
	}
	return event;
}

static bool read_number(const char *text, size_t len, guint64 *number)
{
	char digits[24];

	if (!len || len >= sizeof(digits))
		return false;
	memcpy(digits, text, len);
	digits[len] = '\0';
	return g_ascii_string_to_unsigned(digits, 10, 0, G_MAXUINT64, number,
					  NULL);
}

/* Ids that are no numbers can't be compared. */
static bool may_follow(const struct evs_splitter *splitter,
		       const struct event *event)
{
	guint64 last;
	guint64 next;

#ifdef WF_GUARD_OFF_EDGE_EVENT_ORDER
	return true;
#endif
	return !event->id ||
	       !read_number(splitter->last_id->str, splitter->last_id->len,
			    &last) ||
	       !read_number(event->id, event->id_len, &next) || next > last;
}

/* Counts the event of len bytes unless it can't be one of the stream. */
static bool accept_event(struct evs_splitter *splitter, const char *bytes,
			 size_t len)
{
	struct event event = read_event(bytes, len);

	if (g_str_has_prefix(bytes, STATUS_LINE) ||
	    !may_follow(splitter, &event))
		return false;
	if (event.id) {
		g_string_truncate(splitter->last_id, 0);
		g_string_append_len(splitter->last_id, event.id,
				    (gssize)event.id_len);
	}
	splitter->events++;
	splitter->progress += event.has_field;
	if (event.has_field)
		splitter->awaits_event = false;
	return true;
}

size_t evs_add(struct evs_splitter *splitter, const char *bytes, size_t len)
{
	size_t ready = 0;
	size_t event;

	g_string_append_len(splitter->partial, bytes, (gssize)len);
	while (!splitter->is_invalid &&
	       (event = event_length(splitter, ready))) {
		if (accept_event(splitter, splitter->partial->str + ready,
				 event))
			ready += event;
		else
			splitter->is_invalid = true;
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
	const char *start = splitter->partial->str;

	splitter->awaits_event |= !splitter->is_invalid && *start &&
				  *start != ':' && *start != '\r';
	g_string_truncate(splitter->partial, 0);
	splitter->is_invalid = false;
	splitter->scanned = 0;
}
