#ifndef WAGTAILFERRY_QUARANTINE_H
#define WAGTAILFERRY_QUARANTINE_H

/*
 * qtn: quarantine of prompt parts that crash engines. A part is suspected if
 * engines crash, one after another, while they run requests with it that have
 * no event yet; the first event of a run proves that its parts are sound. A
 * part with enough crashes and no event since is quarantined: requests with it
 * are refused, for longer with each further crash. Instances exchange their
 * evidence. There is no I/O here, and the caller supplies the time.
 */

#include <wagtailferry/base.h>

/* Records that one exchange of evidence carries. */
#define QTN_MAX_RECORDS 16
/* Parts of a prompt that are looked at; the others are ignored. */
#define QTN_MAX_PROMPT_PARTS 32

struct qtn_quarantine;

enum qtn_verdict {
	QTN_ALLOWED,
	/* Allowed as the only request with a suspected part, until
	 * qtn_end_probe(). */
	QTN_PROBE,
	/* Another request is the probe. */
	QTN_HELD,
	QTN_QUARANTINED,
};

/* A piece of evidence on a part, as exchanged with peers. */
struct qtn_record {
	uint64_t part;
	/* Identifies the process that crashed, see qtn_crash_id(); 0 if the
	 * record states that a run with the part had an event. */
	uint32_t crash;
	/* Time since then. */
	clk_ms age;
};

/* A part that has been quarantined. */
struct qtn_change {
	uint64_t part;
	unsigned crashes;
	clk_ms retry_after;
};

/* salt differs between instances, so that they don't probe a part at the same
 * time. */
struct qtn_quarantine *qtn_new(uint64_t salt);
void qtn_drop(struct qtn_quarantine *quarantine);

/*
 * Reads a list of prompt parts, "ID:TOKENS,...", into keys, which has
 * QTN_MAX_PROMPT_PARTS entries, and returns their number. The last part is left
 * out: it belongs to one request or session. NULL is an empty list. An id names
 * different parts in different services.
 */
unsigned qtn_parse_parts(const char *list, const char *service, uint64_t *keys);

/*
 * The id of a crash from a hash of the process. With has_answer, the head of
 * the answer had arrived, but no event: the engine had begun to write, which
 * few sound requests meet by chance.
 */
uint32_t qtn_crash_id(uint32_t process, bool has_answer);

/* The process crash ended at the time at, while it ran a request with the part
 * that had no event yet. */
void qtn_record_crash(struct qtn_quarantine *quarantine, clk_ms at,
		      uint64_t part, uint32_t crash);

/* A run with these parts had its first event. */
void qtn_record_event(struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n);

/* Time for which requests with these parts are refused; 0 if they are not. */
clk_ms qtn_time_left(const struct qtn_quarantine *quarantine, clk_ms now,
		     const uint64_t *parts, unsigned n);

/* Whether a request with these parts may be sent. Sets retry_after for
 * QTN_HELD and QTN_QUARANTINED. */
enum qtn_verdict qtn_check(struct qtn_quarantine *quarantine, clk_ms now,
			   const uint64_t *parts, unsigned n,
			   clk_ms *retry_after);

/* The request that got QTN_PROBE for these parts is no longer running. */
void qtn_end_probe(struct qtn_quarantine *quarantine, const uint64_t *parts,
		   unsigned n);

/* Whether there is a crash with one of the parts and no event since. */
bool qtn_is_suspected(const struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n);

/* Number of quarantined parts. */
unsigned qtn_count(const struct qtn_quarantine *quarantine, clk_ms now);

/* Returns each part once when it becomes quarantined; false if there is none.
 */
bool qtn_next_change(struct qtn_quarantine *quarantine, clk_ms now,
		     struct qtn_change *change);

/* Writes the evidence that peers need most, at most QTN_MAX_RECORDS records,
 * and returns their number. What does not fit follows in later calls. */
unsigned qtn_export(struct qtn_quarantine *quarantine, clk_ms now,
		    struct qtn_record *records);

/* Adds evidence of a peer. Records out of range are ignored. */
void qtn_merge(struct qtn_quarantine *quarantine, clk_ms now,
	       const struct qtn_record *records, unsigned n);

#endif
