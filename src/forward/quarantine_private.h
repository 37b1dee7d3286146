#ifndef FORWARD_QUARANTINE_PRIVATE_H
#define FORWARD_QUARANTINE_PRIVATE_H

/* The evidence on one prompt part, and what the sources of qtn share. */

#include <limits.h>

#include <wagtailferry/core.h>
#include <wagtailferry/quarantine.h>

/* Weight of a crash before the head of an answer. */
#define QTN_CRASH_WEIGHT 2
/* From this weight on, one request at a time may run: two crashes, or one
 * after the head of an answer. */
#define QTN_SUSPECT_WEIGHT 3
/* Three crashes, or two after the heads of answers. */
#define QTN_QUARANTINE_WEIGHT 6
/* Crashes kept for a part: those that count, the latest of them, and of the
 * others as many as there is room for. */
#define QTN_MAX_CRASHES 12
/* Longer than the longest quarantine with its spread, which is 12 minutes. */
#define QTN_EVIDENCE_MS (30 * CLK_MINUTE)
/* Peers are told of what cleared a part for this time. */
#define QTN_CLEARED_SHARED_MS (3 * CLK_SECOND)
/* In place of the events of a run whose answer was whole. */
#define QTN_WHOLE_ANSWER UINT_MAX
/* Slots for parts of whole answers; a part that needs a taken one replaces the
 * other part. */
#define QTN_MAX_SOUND_PARTS 2048

/* The end of a process. */
struct qtn_crash {
	uint32_t id;
	clk_ms at;
	/* Number of earlier runs of the request that crashes cut. */
	unsigned retry;
	/* Of the longest run that it cut, 0 if one of them had none. */
	unsigned events;
	unsigned weight;
	/* What it adds to the weight of its part. */
	unsigned added;
};

struct qtn_part {
	uint64_t key;
	/* In order of time, with room to insert one. */
	struct qtn_crash crashes[QTN_MAX_CRASHES + 1];
	unsigned n;
	/* Those that count: crashes within SEPARATION_MS are one. */
	unsigned count;
	unsigned weight;
	/* Weight without the crashes in the stream. */
	unsigned early_weight;
	/* Last event of a run with it, the number of events that this run had,
	 * and last whole answer; 0 if none is known. */
	clk_ms event_at;
	unsigned events;
	clk_ms whole_at;
	/* The present probe ends by then; 0 if there is none. */
	clk_ms probe_until;
	bool is_reported;
};

/* A part of a whole answer. */
struct sound_part {
	uint64_t key;
	clk_ms whole_at;
};

struct qtn_quarantine {
	uint64_t salt;
	/* By key. */
	struct sound_part sound[QTN_MAX_SOUND_PARTS];
	/* Key to struct qtn_part. */
	GHashTable *parts;
	/* Part at which the next export starts among equals. */
	unsigned next_export;
};

/* quarantine_part.c */

/*
 * Adds a crash, of which the weight is not set yet, unless an event has
 * disproved it. was_sound tells that an answer with the part was whole shortly
 * before. Returns whether it was not known.
 */
bool qtn_part_add(struct qtn_part *part, struct qtn_crash *crash,
		  bool was_sound);
void qtn_part_remove(struct qtn_part *part, unsigned i);
/* Removes the crashes up to that time that a run with so many events has
 * disproved; QTN_WHOLE_ANSWER is more than any. */
void qtn_part_clear(struct qtn_part *part, clk_ms at, unsigned events);
bool qtn_part_has_enough(const struct qtn_part *part);
/* 0 if there is none. */
clk_ms qtn_part_last_crash(const struct qtn_part *part);
/* Weight of the part's crashes that can't be due to the other one. */
unsigned qtn_part_weight_without(const struct qtn_part *part,
				 const struct qtn_part *other);

/* quarantine.c */

/* Removes evidence that is too old. */
void qtn_expire(struct qtn_quarantine *quarantine, clk_ms now);
/* A run with these parts had so many events at that time. */
void qtn_clear_parts(struct qtn_quarantine *quarantine, clk_ms at,
		     const uint64_t *parts, unsigned n, unsigned events);

#endif
