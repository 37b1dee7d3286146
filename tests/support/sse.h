#ifndef WF_SUPPORT_SSE_H
#define WF_SUPPORT_SSE_H

/* sup: support of tests. Server-sent events in an answer's body. */

#include <glib.h>
#include <jansson.h>

struct sup_event {
	char *name;   /* "" if the event has none */
	char *data;   /* of the data lines */
	json_t *json; /* the data as JSON, or NULL */
};

/* The complete events of a body: struct sup_event, freed with the array. */
GPtrArray *sup_events(const char *body);

/* How many events have the name. */
unsigned sup_count_events(const GPtrArray *events, const char *name);

/* The n-th event of the name (from 0), or NULL. Borrowed. */
const struct sup_event *sup_find_event(const GPtrArray *events,
				       const char *name, unsigned n);

/* The concatenated texts of all "token" events; free with g_free(). */
char *sup_token_text(const GPtrArray *events);

#endif
