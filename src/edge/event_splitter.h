#ifndef EDGE_EVENT_SPLITTER_H
#define EDGE_EVENT_SPLITTER_H

/*
 * evs: event stream splitter. Splits the bytes of an event stream
 * (text/event-stream) into complete events without changing them, and records
 * the id of the last one, after which another target can continue. Ids increase
 * within a stream: an event with a lower id, or the same, is from another run
 * or repeated.
 */

#include <wagtailferry/base.h>

struct evs_splitter {
	/* Bytes not yet consumed: complete events not yet taken, then the
	 * start of an incomplete one. */
	GString *partial;
	/* Id of the last complete event; empty before the first. */
	GString *last_id;
	/* Complete events so far, and those among them that are not only
	 * comments: comments keep a connection open, but are no progress. */
	unsigned events;
	unsigned progress;
	/* The next event can't follow the last one, or is the head of an
	 * answer. It and what comes after it stay in partial. */
	bool is_invalid;
	/* The stream can't be complete before another event: it has none yet,
	 * or one was discarded. */
	bool awaits_event;
	/* Bytes of partial that are known not to end an event. */
	size_t scanned;
};

/* awaits_event is set; clear it for a stream that continues an earlier one. */
void evs_init(struct evs_splitter *splitter);
void evs_clear(struct evs_splitter *splitter);

/*
 * Adds bytes and returns the length of the complete events at the start of
 * splitter->partial. The caller removes them by evs_consume().
 */
size_t evs_add(struct evs_splitter *splitter, const char *bytes, size_t len);

/* Removes the first len bytes of splitter->partial. */
void evs_consume(struct evs_splitter *splitter, size_t len);

/* Discards what will not be completed, before another target continues. */
void evs_discard_partial(struct evs_splitter *splitter);

#endif
