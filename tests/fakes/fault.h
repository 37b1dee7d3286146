#ifndef WF_FAKES_FAULT_H
#define WF_FAKES_FAULT_H

/*
 * fk: fakes of the platform's services. Faults that tests inject with POST
 * /admin/fault.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum fk_fault_kind {
	FK_FAULT_NONE,
	FK_FAULT_REFUSED,
	FK_FAULT_SLOW,
	FK_FAULT_SILENT,
	FK_FAULT_CUT,
	FK_FAULT_HALF_OPEN,
	FK_FAULT_WRONG_LENGTH,
	FK_FAULT_LATE,
	FK_FAULT_TWICE,
	FK_FAULT_OUT_OF_ORDER,
	FK_FAULT_STALE_VERSION,
	FK_FAULT_LOST_ANSWER,
	FK_FAULT_OUTAGE,
	FK_FAULT_PAUSE,
	FK_FAULT_GAP,
	FK_N_FAULTS,
};

struct fk_fault {
	uint64_t id;
	enum fk_fault_kind kind;
	char *path;	/* prefix; NULL: all but /admin */
	char *method;	/* NULL: all */
	unsigned count; /* requests left to hit; 0 if forever is set */
	bool forever;
	unsigned skip;	  /* matching requests to let pass first */
	int64_t ms;	  /* SLOW, LATE */
	int64_t after;	  /* stream events sent before the fault */
	int64_t position; /* PAUSE: position of the delayed token */
	int64_t delta;	  /* WRONG_LENGTH: declared minus actual length */
	unsigned hits;
};

struct fk_faults;

struct fk_faults *fk_faults_new(void);
void fk_faults_drop(struct fk_faults *faults);

/* Adds a fault; returns its id, or 0 with *message set to a static text. */
uint64_t fk_faults_add(struct fk_faults *faults, const json_t *json,
		       const char **message);

/* Removes one fault (or all if id is 0). */
void fk_faults_clear(struct fk_faults *faults, uint64_t id);

/*
 * Copies the first fault that matches a request into *out, without path and
 * method, and reduces its count. kind is FK_FAULT_NONE if there is none.
 */
void fk_faults_take(struct fk_faults *faults, const char *method,
		    const char *path, struct fk_fault *out);

/* Whether the fault is still set. */
bool fk_faults_has(const struct fk_faults *faults, uint64_t id);

/* All faults that are set, with their hits. */
json_t *fk_faults_json(const struct fk_faults *faults);

#endif
