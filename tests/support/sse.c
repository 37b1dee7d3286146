#include "sse.h"

#include <string.h>

static void event_free(void *data)
{
	struct sup_event *event = data;

	g_free(event->name);
	g_free(event->data);
	json_decref(event->json);
	g_free(event);
}

static const char *after_prefix(const char *line, const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(line, prefix, len) != 0)
		return NULL;
	return line[len] == ' ' ? line + len + 1 : line + len;
}

static struct sup_event *parse_event(const char *text)
{
	struct sup_event *event = g_new0(struct sup_event, 1);
	char **lines = g_strsplit(text, "\n", -1);
	GString *data = g_string_new(NULL);
	int i;

	for (i = 0; lines[i]; i++) {
		const char *value = after_prefix(lines[i], "event:");

		if (value) {
			g_free(event->name);
			event->name = g_strdup(value);
		}
		value = after_prefix(lines[i], "data:");
		if (value)
			g_string_append(data, value);
	}
	g_strfreev(lines);
	if (!event->name)
		event->name = g_strdup("");
	event->data = g_string_free(data, FALSE);
	event->json = json_loads(event->data, 0, NULL);
	return event;
}

GPtrArray *sup_events(const char *body)
{
	GPtrArray *events = g_ptr_array_new_with_free_func(event_free);
	char **parts = g_strsplit(body, "\n\n", -1);
	int i;

	/* The text after the last empty line is an incomplete event. */
	for (i = 0; parts[i] && parts[i + 1]; i++)
		g_ptr_array_add(events, parse_event(parts[i]));
	g_strfreev(parts);
	return events;
}

unsigned sup_count_events(const GPtrArray *events, const char *name)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < events->len; i++) {
		const struct sup_event *event = events->pdata[i];

		n += !strcmp(event->name, name);
	}
	return n;
}

const struct sup_event *sup_find_event(const GPtrArray *events,
				       const char *name, unsigned n)
{
	unsigned i;

	for (i = 0; i < events->len; i++) {
		const struct sup_event *event = events->pdata[i];

		if (!strcmp(event->name, name) && n-- == 0)
			return event;
	}
	return NULL;
}

char *sup_token_text(const GPtrArray *events)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < events->len; i++) {
		const struct sup_event *event = events->pdata[i];
		const char *part =
			json_string_value(json_object_get(event->json, "text"));

		if (!strcmp(event->name, "token") && part)
			g_string_append(text, part);
	}
	return g_string_free(text, FALSE);
}
