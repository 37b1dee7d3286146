#ifndef EDGE_EVS_H
#define EDGE_EVS_H

/*
 * Cuts the bytes of an event stream (text/event-stream) into whole events
 * without changing them, and notes the id of the last one, at which another
 * target can continue.
 */

#include <wagtailferry/base.h>

struct evs_splitter {
	/* Begin of an event whose end has not arrived. */
	GString *partial;
	/* Id of the last whole event; empty before the first. */
	GString *last_id;
	/* Whole events so far. */
	unsigned events;
};

void evs_init(struct evs_splitter *splitter);
void evs_clear(struct evs_splitter *splitter);

/*
 * Adds bytes and returns how many bytes of whole events are ready: they are
 * the first ones of splitter->partial, and to be removed by evs_consume().
 */
size_t evs_add(struct evs_splitter *splitter, const char *bytes, size_t len);

/* Removes the first bytes of what is kept. */
void evs_consume(struct evs_splitter *splitter, size_t len);

/* Forgets the begin of an event that will not be completed. */
void evs_discard_partial(struct evs_splitter *splitter);

#endif
