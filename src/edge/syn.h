#ifndef EDGE_SYN_H
#define EDGE_SYN_H

/*
 * Keeps a copy of one kind of the store's objects up to date: a list once,
 * then watches from the revision of the list, a list again where the store
 * has dropped the history in between. Survives a store that is slow, down or
 * mute. The adapter sends the calls and applies the objects; it answers each
 * call once with syn_on_list() or syn_on_watch().
 */

#include <uv.h>

#include <wagtailferry/base.h>

enum syn_result {
	SYN_OK,
	/* The store no longer has the changes since that revision. */
	SYN_HISTORY_GONE,
	/* Refused, broken or no answer in time. */
	SYN_FAILED,
};

struct syn_ops {
	/* A complete list begins. */
	void (*begin_list)(void *user);
	/* Asks for the page after a name; NULL for the first. */
	void (*request_list)(void *user, const char *after);
	/* The list is complete. */
	void (*end_list)(void *user);
	/* The store answers again after it gave no answer for so long. Called
	 * before objects of the answer are applied. */
	void (*recovered)(void *user, clk_ms outage);
	/* Asks for changes since a revision; the store may hold the answer
	 * for wait. Fails by itself at timeout. */
	void (*request_watch)(void *user, int64_t revision, clk_ms wait,
			      clk_ms timeout);
	/* The copy was complete at that time. */
	void (*confirm)(void *user, clk_ms at);
	/* For how long the store may hold the next watch. */
	clk_ms (*watch_wait)(void *user);
};

struct syn_sync;

/* now tells the time. */
struct syn_sync *syn_new(uv_loop_t *loop, clk_ms (*now)(void *user),
			 const struct syn_ops *ops, void *user);
void syn_start(struct syn_sync *sync);
void syn_drop(struct syn_sync *sync);

/* last is the last name of the page, where more follow. */
void syn_on_list(struct syn_sync *sync, enum syn_result result,
		 int64_t revision, bool has_more, const char *last);
void syn_on_watch(struct syn_sync *sync, enum syn_result result,
		  int64_t revision, bool has_events);

/* A good answer has arrived; call it before its objects are applied. */
void syn_note_response(struct syn_sync *sync);

#endif
