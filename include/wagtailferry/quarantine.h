#ifndef WAGTAILFERRY_QUARANTINE_H
#define WAGTAILFERRY_QUARANTINE_H

/*
 * qtn: quarantine of prompt parts that crash engines. A part is suspected if
 * engines crash, one after another, while they run requests with it. What was
 * cut before its first event is cleared by the first event of a run with the
 * part, what was cut in its stream by a whole answer or by a run that went on
 * for longer. A part with enough crashes that nothing has cleared is
 * quarantined: requests with it are refused, for longer with each further
 * crash. Instances exchange their evidence. There is no I/O here, and the
 * caller supplies the time.
 */

#include <wagtailferry/base.h>

/* Records that one exchange of evidence carries. */
#define QTN_MAX_RECORDS 16
/* Parts of a prompt that are looked at; the others are ignored. */
#define QTN_MAX_PROMPT_PARTS 32

/* Flags of a crash, see qtn_crash_flags(): the number of earlier runs and, from
 * QTN_EVENTS_SHIFT on, that of events. */
#define QTN_MAX_RETRY 7u
#define QTN_EVENTS_SHIFT 8
#define QTN_MAX_EVENTS 0xffffu
/* Flag of a record without a crash: an answer was whole. Otherwise it has the
 * number of events of a run, in the same place. */
#define QTN_WHOLE 1u

struct qtn_quarantine;

enum qtn_verdict {
	QTN_ALLOWED,
	/* Allowed as the only request with a suspected part, until that is
	 * cleared or qtn_end_probe() is called. */
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
	/* Of the crash, or what the run with an event had. */
	uint32_t flags;
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

/* Whether one of n parts is that one. */
bool qtn_contains(const uint64_t *parts, unsigned n, uint64_t part);

/*
 * The id of a crash from a hash of the process. With has_answer, the head of
 * the answer had arrived, but no event: the engine had begun to write, which
 * few sound requests meet by chance.
 */
uint32_t qtn_crash_id(uint32_t process, bool has_answer);

/*
 * Flags of a crash that cut a run after so many events. retry is the number of
 * earlier runs of the request that crashes cut, if this one shows that its
 * engine outlived them; otherwise 0.
 */
unsigned qtn_crash_flags(unsigned events, unsigned retry);

/* The process crash ended at the time at, while it ran a request with the part.
 * flags is 0 or what qtn_crash_flags() gave. */
void qtn_record_crash(struct qtn_quarantine *quarantine, clk_ms at,
		      uint64_t part, uint32_t crash, unsigned flags);

/* A run with these parts has had so many events, one or more. */
void qtn_record_events(struct qtn_quarantine *quarantine, clk_ms now,
		       const uint64_t *parts, unsigned n, unsigned events);

/* An answer with these parts was whole. */
void qtn_record_whole(struct qtn_quarantine *quarantine, clk_ms now,
		      const uint64_t *parts, unsigned n);

/* Time for which a request with these parts is refused; 0 if it is not. One
 * that is spared is not refused for crashes in the stream alone. */
clk_ms qtn_time_left(const struct qtn_quarantine *quarantine, clk_ms now,
		     const uint64_t *parts, unsigned n, bool is_spared);

/* Whether a request with these parts may be sent. Sets retry_after for
 * QTN_HELD and QTN_QUARANTINED. is_spared as above. */
enum qtn_verdict qtn_check(struct qtn_quarantine *quarantine, clk_ms now,
			   const uint64_t *parts, unsigned n, bool is_spared,
			   clk_ms *retry_after);

/* The request that got QTN_PROBE for these parts is no longer running. */
void qtn_end_probe(struct qtn_quarantine *quarantine, const uint64_t *parts,
		   unsigned n);

/* Whether one of the parts has a crash before an event, or enough of any kind
 * for a verdict, that nothing has cleared. */
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
