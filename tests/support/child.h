#ifndef WF_SUPPORT_CHILD_H
#define WF_SUPPORT_CHILD_H

/* Child processes of wire tests: fakes and daemons on loopback. */

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

/* A child that has printed "listening on IP:PORT". */
struct sup_child {
	pid_t pid; /* 0 if there is none */
	int out;   /* read end of its standard output */
	char address[64];
};

/* The folder that the tests were built in: WF_BUILD, or "build". */
const char *sup_build_dir(void);

/*
 * Starts a program with its output on a pipe and waits at most 20 s until a
 * line of it contains "listening on ADDRESS". args excludes the program's name
 * and ends with NULL. Returns false (with the child ended) if the line does
 * not come.
 */
bool sup_start(struct sup_child *child, const char *program,
	       const char *const *args);

/* The same for a fake: "store" is BUILD/fakes/store_fake. */
bool sup_start_fake(struct sup_child *child, const char *name,
		    const char *const *args);

/*
 * Ends a child with SIGTERM and waits at most 20 s, after which it is killed.
 * Returns its exit code, or -1 if it was killed by a signal. 0 without child.
 */
int sup_stop(struct sup_child *child);

/* The same for a child that was told to end already; sends no signal. */
int sup_join(struct sup_child *child);

/* Kills a child at once. */
void sup_kill(struct sup_child *child);

/* Stops and continues a child, as a paused machine does. */
void sup_pause(const struct sup_child *child);
void sup_resume(const struct sup_child *child);

typedef bool (*sup_condition)(void *data);

/* Waits until a condition holds; false if it did not within the bound. */
bool sup_wait(sup_condition condition, void *data, unsigned bound_ms);

#endif
