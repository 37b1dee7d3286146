#ifndef EDGE_SYN_STORE_H
#define EDGE_SYN_STORE_H

/*
 * syn: synchronisation of a local copy of one kind of store objects. It lists
 * the objects once, then watches for changes from the list's revision, and
 * lists again if the store no longer has those changes. It retries if the store
 * is slow, down or does not respond. The adapter sends the requests and applies
 * the objects; it completes each request once, with syn_on_list() or
 * syn_on_watch().
 */

#include <uv.h>

#include <wagtailferry/base.h>

enum syn_result {
	SYN_OK,
	/* The store no longer has the changes since that revision. */
	SYN_HISTORY_GONE,
	/* Error response, connection lost or timeout. */
	SYN_FAILED,
};

struct syn_ops {
	/* A new list starts, before its first page is requested. */
	void (*begin_list)(void *user);
	/* Requests the page after a name; NULL for the first page. */
	void (*request_list)(void *user, const char *after);
	/* The list is complete. */
	void (*end_list)(void *user);
	/* The store responds again after an outage of that length. Called
	 * before the objects of the response are applied. */
	void (*recovered)(void *user, clk_ms outage);
	/* Requests changes since a revision by long polling; the store may hold
	 * the response for wait. The adapter reports SYN_FAILED at timeout. */
	void (*request_watch)(void *user, int64_t revision, clk_ms wait,
			      clk_ms timeout);
	/* The copy was up to date at that time. */
	void (*confirm)(void *user, clk_ms at);
	/* Returns how long the store may hold the next watch. */
	clk_ms (*watch_wait)(void *user);
};

struct syn_sync;

struct syn_sync *syn_new(uv_loop_t *loop, clk_ms (*now)(void *user),
			 const struct syn_ops *ops, void *user);
void syn_start(struct syn_sync *sync);
void syn_drop(struct syn_sync *sync);

/* last is the last name of the page; used if has_more. */
void syn_on_list(struct syn_sync *sync, enum syn_result result,
		 int64_t revision, bool has_more, const char *last);
void syn_on_watch(struct syn_sync *sync, enum syn_result result,
		  int64_t revision, bool has_events);

/* To be called on a successful response, before its objects are applied. */
void syn_note_response(struct syn_sync *sync);

#endif
