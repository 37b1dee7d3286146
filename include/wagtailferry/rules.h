#ifndef WAGTAILFERRY_RULES_H
#define WAGTAILFERRY_RULES_H

/*
 * rul: routing rules: the operators' rules language, lookups, the difference
 * of two texts, content-defined chunks, the manifest, the audit trail, and
 * the publish sequence. Nothing here does I/O or reads a clock. The language
 * is specified in docs/rules.md.
 */

#include <wagtailferry/base.h>
#include <wagtailferry/core.h>

/* Limits of a rules file in bytes. */
#define RUL_MAX_TEXT ((size_t)8 * 1024 * 1024)
#define RUL_MAX_LINE ((size_t)4096)
#define RUL_MAX_NAME ((size_t)128)
#define RUL_MAX_LINES 500000U

/* Problems beyond this number are only counted, in one last entry. */
#define RUL_MAX_PROBLEMS 10000

/* Values of a route that does not set them. */
#define RUL_DEFAULT_PRIORITY 1
#define RUL_DEFAULT_DEADLINE (30 * CLK_SECOND)
#define RUL_DEFAULT_WEIGHT 1

/* Problems */

/* One error of a rules file. Line and column count from 1, in characters. */
struct rul_problem {
	unsigned line;
	unsigned column;
	char *text;	  /* the offending text, may be "" */
	char *message;	  /* what is wrong */
	char *suggestion; /* what to write instead, or NULL */
};

/* An array of struct rul_problem that frees its entries. */
GPtrArray *rul_problems_new(void);

/* Appends "line:column: message: "text"; suggestion" without line feed. */
void rul_problem_write(const struct rul_problem *problem, GString *out);

/* Sets */

/*
 * The rules of one text; immutable after the parse. Reference-counted, not
 * thread-safe.
 */
struct rul_set;

/*
 * Parses a whole text. On failure returns NULL, sets error (ERR_BAD_RULES
 * with the first problem as message, ERR_TOO_LARGE) and appends every problem
 * to problems, which may be NULL. The text is not kept.
 */
struct rul_set *rul_set_parse(const char *text, size_t len, GPtrArray *problems,
			      GError **error);
struct rul_set *rul_set_keep(struct rul_set *set);
void rul_set_drop(struct rul_set *set);

/*
 * Finds the most specific rule for a call and fills in its policy. The
 * strings in out are borrowed: from the set, or, for a route without "to",
 * from name. wf_policy_copy() makes them independent; never clear out with
 * wf_policy_clear(). Returns false if the call is refused: out->rule_line is
 * then the line of the "deny" rule, or 0 if no rule matches.
 */
bool rul_set_lookup(const struct rul_set *set, enum wf_call_kind kind,
		    const char *org, const char *name, struct wf_policy *out);

/* The attributes of a "target" line; they override the instance list. */
struct rul_target {
	unsigned rule_line;
	bool states_fencing; /* the line has "fencing" */
	bool checks_fencing;
	bool states_sender; /* the line has "sender" */
	bool checks_sender;
};

/* Looks up the attributes of a target; false if no line names it. */
bool rul_set_find_target(const struct rul_set *set, const char *target,
			 struct rul_target *out);

/* The contents of a "load" line. Strings are borrowed from the set. */
struct rul_load {
	unsigned rule_line;
	const char *target;
	const char *model;
	const char *version;
	bool wanted; /* false: the version is to be unloaded */
};

/* The number of "load" lines, and one of them (index below the number). */
size_t rul_set_n_loads(const struct rul_set *set);
struct rul_load rul_set_get_load(const struct rul_set *set, size_t index);

/* The number of "route" and "deny" lines. */
size_t rul_set_n_rules(const struct rul_set *set);

/*
 * Appends the set in canonical form: one space between words, attributes in
 * fixed order, values in the largest exact unit. Comment lines and empty
 * lines stay. Parsing the result gives an equal set.
 */
void rul_set_write(const struct rul_set *set, GString *out);

/* Differences */

/* A line that one text has and the other does not. */
struct rul_change {
	bool added;	  /* false: removed */
	unsigned line;	  /* in the new text if added, else in the old one */
	const char *text; /* without line feed; points into the diffed text */
	size_t len;
};

/*
 * The difference of two texts as an array of struct rul_change in order of
 * position, removed lines before added ones. Lines that occur once in both
 * texts are matched first (patience diff), so the result may be longer than
 * the shortest one, but time is O(n log n) and memory about 40 bytes a line.
 * All text after line RUL_MAX_LINES counts as one line.
 */
GArray *rul_diff(const char *old_text, size_t old_len, const char *new_text,
		 size_t new_len);

/*
 * Appends changes as "-line: text" and "+line: text", at most max_lines
 * (0: all) and then a line with the number of the omitted ones.
 */
void rul_diff_write(const GArray *changes, size_t max_lines, GString *out);

/*
 * The requesters of the added lines, each once, in order, separated by ", ",
 * cut at RUL_MAX_NAME bytes. Free with g_free().
 */
char *rul_diff_requesters(const GArray *changes);

/* Chunks */

#define RUL_CHUNK_MIN ((size_t)4 * 1024)
#define RUL_CHUNK_AVERAGE ((size_t)16 * 1024)
#define RUL_CHUNK_MAX ((size_t)64 * 1024)
#define RUL_CHUNK_KIND "chunk"

/* A hash in hexadecimal digits with a zero byte. */
#define RUL_HASH_LEN 33
#define RUL_TEXT_HASH_LEN 65

/* A range of a text. */
struct rul_chunk {
	size_t offset;
	size_t len;
	char hash[RUL_HASH_LEN]; /* object name in kind RUL_CHUNK_KIND */
};

/* The name of a chunk: the first 16 bytes of its SHA-256. */
void rul_chunk_hash(const void *data, size_t len, char hash[RUL_HASH_LEN]);

/* The SHA-256 of a whole text. */
void rul_text_hash(const void *data, size_t len, char hash[RUL_TEXT_HASH_LEN]);

/*
 * Splits a text into an array of struct rul_chunk. Boundaries are at line ends
 * chosen by the hash of the line before, so an edit changes only the chunks
 * around it. A line longer than RUL_CHUNK_MAX is split inside.
 */
GArray *rul_chunk_split(const char *text, size_t len);

/* Manifest */

#define RUL_MANIFEST_NAME "rules/manifest"
#define RUL_NONCE_BYTES 16

/* How long a chunk is kept after it was dropped. */
#define RUL_CHUNK_RETENTION CLK_HOUR

/* Bounds that keep a manifest below the store's object limit of 1 MB. */
#define RUL_MAX_CHUNKS 4096U
#define RUL_MAX_DROPPED 16384U
#define RUL_MAX_RECENT 256U
#define RUL_MAX_NOTE ((size_t)1024)

/*
 * A chunk that the manifest no longer uses. The put that drops it may take
 * effect long after its publisher read the clock, so the publisher leaves the
 * time at 0 and the next writer of the manifest fills it in.
 */
struct rul_dropped_chunk {
	char hash[RUL_HASH_LEN];
	clk_ms seen; /* when it was first seen as dropped, 0: not yet */
};

/* One accepted revision in the manifest's list of recent ones. */
struct rul_recent_revision {
	uint64_t revision;
	uint8_t nonce[RUL_NONCE_BYTES];
	char *author;
	char *requested_by;
	clk_ms time;
};

/* The contents of object rules/manifest. Has one owner. */
struct rul_manifest {
	uint64_t revision;
	uint64_t base_revision;
	char *author;
	char *requested_by;
	char *note;
	clk_ms time;
	char text_hash[RUL_TEXT_HASH_LEN];
	uint64_t text_size;
	uint8_t nonce[RUL_NONCE_BYTES];
	GArray *chunks;	 /* of struct rul_chunk */
	GArray *dropped; /* of struct rul_dropped_chunk, oldest first */
	GArray *recent;	 /* of struct rul_recent_revision, oldest first */
};

/* Metadata of a publish. Strings are borrowed; may be NULL. */
struct rul_author {
	const char *name;	  /* who publishes */
	const char *requested_by; /* who asked for the change */
	const char *note;
	uint8_t nonce[RUL_NONCE_BYTES]; /* random, unique for each try */
};

/*
 * Builds the manifest that follows base (NULL: revision 1) for a text. Moves
 * the chunks that are no longer used to the dropped ones and removes those
 * dropped more than RUL_CHUNK_RETENTION ago.
 */
struct rul_manifest *rul_manifest_new(const struct rul_manifest *base,
				      const char *text, size_t len,
				      const struct rul_author *author,
				      clk_ms now);
void rul_manifest_free(struct rul_manifest *manifest);

/*
 * The object's value. ERR_TOO_LARGE if a list is above its bound, else never
 * fails.
 */
GBytes *rul_manifest_encode(const struct rul_manifest *manifest,
			    GError **error);

/* Reads a value; ERR_PROTOCOL if anything in it is malformed. */
struct rul_manifest *rul_manifest_decode(GBytes *value, GError **error);

/* Whether the manifest uses a chunk. */
bool rul_manifest_uses(const struct rul_manifest *manifest, const char *hash);

/* The recent revision with that nonce, or NULL. Borrowed. */
const struct rul_recent_revision *
rul_manifest_find_nonce(const struct rul_manifest *manifest,
			const uint8_t nonce[RUL_NONCE_BYTES]);

/* Returns a chunk's bytes, or NULL. The reference stays with the callee. */
typedef GBytes *(*rul_chunk_get_fn)(void *user, const char *hash);

/*
 * The chunks of a manifest for which get() returns NULL, each once, as
 * borrowed struct rul_chunk in an array to be freed by g_ptr_array_unref().
 */
GPtrArray *rul_chunk_missing(const struct rul_manifest *manifest,
			     rul_chunk_get_fn get, void *user);

/*
 * Joins the text and verifies each chunk and the text. ERR_NOT_FOUND if a
 * chunk is missing, ERR_PROTOCOL if one has the wrong size or hash, or the
 * text has the wrong hash. Not terminated by a zero byte.
 */
GBytes *rul_chunk_join(const struct rul_manifest *manifest,
		       rul_chunk_get_fn get, void *user, GError **error);

/* Audit trail */

#define RUL_AUDIT_KIND "audit"
#define RUL_AUDIT_MAX_BYTES ((size_t)256 * 1024)
#define RUL_AUDIT_NAME_LEN 17

/* The name of a segment, "audit/" and ten digits. */
void rul_audit_name(uint64_t number, char name[RUL_AUDIT_NAME_LEN]);

/* The number of a segment from its name without the kind; 0 if malformed. */
uint64_t rul_audit_number(const char *name);

/* One change. Strings may be NULL. schema/audit.proto explains the fields. */
struct rul_audit_entry {
	clk_ms time;
	char *requested_by;
	char *published_by;
	uint64_t from_revision;
	uint64_t to_revision;
	char *order;
	char *target;
	char *argument;
	uint64_t fence;
	char *outcome;
	char *note;
	uint8_t nonce[RUL_NONCE_BYTES];
};

struct rul_audit_segment {
	uint64_t number;
	uint64_t rules_revision;
	GArray *entries; /* of struct rul_audit_entry */
};

/* An empty segment; it carries over the revision of the one before. */
struct rul_audit_segment *rul_audit_new(uint64_t number,
					uint64_t rules_revision);
void rul_audit_free(struct rul_audit_segment *segment);

/* Appends a copy and raises rules_revision. */
void rul_audit_add(struct rul_audit_segment *segment,
		   const struct rul_audit_entry *entry);

/* Whether the segment has an entry with that nonce. */
bool rul_audit_has_nonce(const struct rul_audit_segment *segment,
			 const uint8_t nonce[RUL_NONCE_BYTES]);

GBytes *rul_audit_encode(const struct rul_audit_segment *segment);

/* Reads a value; ERR_PROTOCOL if it is malformed. */
struct rul_audit_segment *rul_audit_decode(GBytes *value, GError **error);

/* Publishing */

/* Accepts whatever revision is the latest when publishing starts. */
#define RUL_BASE_LATEST UINT64_MAX

/* How many failures in a row end the sequence. */
#define RUL_PUBLISH_ATTEMPTS 8U

enum rul_publish_result {
	RUL_PUBLISH_RUNNING,
	RUL_PUBLISH_ACCEPTED,	 /* confirmed: the revision is in the store */
	RUL_PUBLISH_UNCHANGED,	 /* the latest revision has the same text */
	RUL_PUBLISH_CONFLICT,	 /* not published: another revision was */
	RUL_PUBLISH_REFUSED,	 /* not published: see error */
	RUL_PUBLISH_UNAVAILABLE, /* not published: the store is down */
	RUL_PUBLISH_UNKNOWN,	 /* may or may not have been published */
};

/* The text to publish. Copied. */
struct rul_publish_config {
	const char *text;
	size_t len;
	uint64_t base_revision; /* that was edited; 0: none exists yet */
	struct rul_author author;
	clk_ms timeout; /* of each store action */
};

/* The outcome. Pointers belong to the publish sequence. */
struct rul_publish_outcome {
	enum rul_publish_result result;
	uint64_t revision; /* accepted; latest if UNCHANGED or CONFLICT */
	bool audited;	   /* the audit trail has an entry for it */
	enum err_code error;
	const char *message; /* of REFUSED, UNAVAILABLE, UNKNOWN */
	/* CONFLICT: author and time of the competing revision */
	const char *other_author;
	clk_ms other_time;
	/*
	 * Its changes against the base, or, if the base is gone, against the
	 * text of this publish (changes_from_base is false). NULL if it could
	 * not be read.
	 */
	const GArray *changes; /* of struct rul_change */
	bool changes_from_base;
	/* what was written */
	unsigned n_chunks_put;
	size_t chunk_bytes_put;
};

/*
 * The publish sequence of one text: read the manifest, compare, put missing
 * chunks, put the manifest on condition of the version read, append to the
 * audit trail. Emits store actions through ctx and takes their replies. If
 * the reply to the put of the manifest is lost, the manifest is read back and
 * searched for the author's nonce.
 */
struct rul_publish;

/*
 * Checks the text. If it is not valid, returns NULL and sets error and
 * problems (may be NULL) as rul_set_parse() does.
 */
struct rul_publish *rul_publish_new(const struct rul_publish_config *config,
				    GPtrArray *problems, GError **error);
void rul_publish_drop(struct rul_publish *publish);

/* Emits the first action. */
void rul_publish_start(struct wf_ctx *ctx, struct rul_publish *publish);

/* Handles a reply; false if it is not for the pending action. */
bool rul_publish_handle(struct wf_ctx *ctx, struct rul_publish *publish,
			const struct wf_store_reply *reply);

/* Resumes after a pause; to be called at rul_publish_next_wakeup(). */
void rul_publish_tick(struct wf_ctx *ctx, struct rul_publish *publish);

/* CLK_NEVER while a reply is pending and after the end. */
clk_ms rul_publish_next_wakeup(const struct rul_publish *publish);

/* The outcome; result is RUL_PUBLISH_RUNNING until the end. Borrowed. */
const struct rul_publish_outcome *
rul_publish_outcome(const struct rul_publish *publish);

/* Garbage collection of chunks */

/*
 * Deletes the chunks that neither the manifest nor any manifest of the last
 * hour uses. Before it deletes, it writes the manifest again under the same
 * revision (the text stays, the list of dropped chunks and the object's
 * version change). A publisher that read the manifest earlier then fails at
 * its put, reads the manifest again and puts its chunks again.
 */
struct rul_gc;

struct rul_gc *rul_gc_new(clk_ms timeout);
void rul_gc_drop(struct rul_gc *collect);
void rul_gc_start(struct wf_ctx *ctx, struct rul_gc *collect);

/* Like rul_publish_handle(). */
bool rul_gc_handle(struct wf_ctx *ctx, struct rul_gc *collect,
		   const struct wf_store_reply *reply);

/* Whether it has ended; sets the number of chunks deleted so far. */
bool rul_gc_done(const struct rul_gc *collect, unsigned *n_deleted);

#endif
