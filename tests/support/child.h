#ifndef WF_SUPPORT_CHILD_H
#define WF_SUPPORT_CHILD_H

/* sup: support of tests. Child processes: fakes and daemons on loopback. */

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

/* A running process; address is from its line "listening on IP:PORT". */
struct sup_child {
	pid_t pid; /* 0 if there is none */
	int out;   /* read end of its standard output */
	char address[64];
};

/* The build directory: $WF_BUILD, or "build". */
const char *sup_build_dir(void);

/*
 * Starts a program with its standard output on a pipe and waits at most 20 s
 * for a line that contains "listening on ADDRESS". args excludes the program's
 * name and ends with NULL. If there is no such line, kills the child and
 * returns false.
 */
bool sup_start(struct sup_child *child, const char *program,
	       const char *const *args);

/* Starts a fake by its short name: "store" is BUILD/fakes/store_fake. */
bool sup_start_fake(struct sup_child *child, const char *name,
		    const char *const *args);

/*
 * Sends SIGTERM and waits for the exit; kills the child after 20 s. Returns
 * the exit code, -1 if a signal ended the child, or 0 if there is no child.
 */
int sup_stop(struct sup_child *child);

/* Like sup_stop(), but sends no SIGTERM; for a child that exits by itself. */
int sup_join(struct sup_child *child);

/* Sends SIGKILL and reaps the child. */
void sup_kill(struct sup_child *child);

/* Send SIGSTOP and SIGCONT, to simulate a paused machine. */
void sup_pause(const struct sup_child *child);
void sup_resume(const struct sup_child *child);

typedef bool (*sup_condition)(void *data);

/* Polls a condition until it holds; returns false after bound_ms. */
bool sup_wait(sup_condition condition, void *data, unsigned bound_ms);

#endif
