#ifndef RUL_PRIVATE_H
#define RUL_PRIVATE_H

/* Shared by the sources of the rules language; not public. */

#include <wagtailferry/rules.h>

/* Arena: allocations that are freed together */

struct rul_arena {
	GPtrArray *blocks;
	char *next;
	size_t left;
};

void rul_arena_init(struct rul_arena *arena);
void rul_arena_clear(struct rul_arena *arena);

/* Zeroed memory, aligned for pointers. */
void *rul_arena_alloc(struct rul_arena *arena, size_t size);

/* A copy of len bytes with a zero byte after them. */
char *rul_arena_copy(struct rul_arena *arena, const char *text, size_t len);

/* Lines */

enum rul_kind {
	RUL_COMMENT, /* comment or empty line */
	RUL_ROUTE,
	RUL_DENY,
	RUL_TARGET,
	RUL_LOAD,
	RUL_N_KINDS,
};

enum rul_attr {
	RUL_ATTR_ORG,
	RUL_ATTR_MODEL,
	RUL_ATTR_SERVICE,
	RUL_ATTR_TO,
	RUL_ATTR_IN,
	RUL_ATTR_ON,
	RUL_ATTR_PRIORITY,
	RUL_ATTR_DEADLINE,
	RUL_ATTR_RATE,
	RUL_ATTR_TOKEN_RATE,
	RUL_ATTR_CONCURRENCY,
	RUL_ATTR_WEIGHT,
	RUL_ATTR_REPEAT,
	RUL_ATTR_FENCING,
	RUL_ATTR_SENDER,
	RUL_ATTR_VERSION,
	RUL_ATTR_WANTED,
	RUL_N_ATTRS,
};

#define RUL_ATTR_BIT(attr) (1U << (unsigned)(attr))

enum rul_value_type {
	RUL_TYPE_ANY_LIST, /* "any" or names; char **, NULL for any */
	RUL_TYPE_NAME,	   /* char * */
	RUL_TYPE_LIST,	   /* char ** */
	RUL_TYPE_DURATION, /* clk_ms */
	RUL_TYPE_RATE,	   /* double, written "10/s" */
	RUL_TYPE_TOKEN_RATE,
	RUL_TYPE_COUNT, /* unsigned */
	RUL_TYPE_FLAG,	/* bool, written "yes" or "no" */
};

/*
 * The settings of a line, without its number and what it matches. Equal ones
 * are shared: most of 31,000 organisations have one of a few sets of limits.
 */
struct rul_line_settings {
	struct wf_policy policy; /* rule_line is 0 */
	char *version;		 /* of "load" */
	bool fencing;		 /* of "target" */
	bool sender;		 /* of "target" */
	bool wanted;		 /* of "load" */
	bool repeat;		 /* of "route", if set */
};

/* One parsed line. All pointers are into the set's arena. */
struct rul_line {
	enum rul_kind kind;
	unsigned line;
	uint32_t attrs;	     /* RUL_ATTR_BIT() of each attribute on the line */
	const char *comment; /* requester; of a comment line, all of it */
	char *subject;	     /* of "target" and "load" */
	char **orgs;	     /* NULL: any */
	char **names;	     /* models or services, NULL: any */
	const struct rul_line_settings *settings; /* NULL in a comment line */
};

/* How an attribute is written and where it is stored. */
struct rul_attr_info {
	const char *name;
	enum rul_value_type type;
	bool in_line; /* in struct rul_line, else in struct rul_line_settings */
	size_t offset; /* in that struct */
	uint64_t min;
	uint64_t max;
};

struct rul_kind_info {
	const char *name;
	bool has_subject;
	uint32_t allowed;  /* RUL_ATTR_BIT() of attributes */
	uint32_t required; /* all of these */
};

extern const struct rul_attr_info rul_attrs[RUL_N_ATTRS];
extern const struct rul_kind_info rul_kinds[RUL_N_KINDS];

/* The kind of call that a "route" or "deny" line is about. */
enum wf_call_kind rul_line_call(const struct rul_line *line);

/* Appends one line in canonical form, with its line feed. */
void rul_line_write(const struct rul_line *line, GString *out);

/* Index of (kind, organisation, name) */

struct rul_index_entry {
	const char *org;  /* NULL: any */
	const char *name; /* NULL: any */
	uint32_t hash;
	uint32_t line; /* index into the set's lines */
	enum wf_call_kind call;
};

struct rul_index {
	struct rul_index_entry *entries;
	uint32_t n;
	uint32_t capacity;
	uint32_t *slots; /* index of entry + 1, 0: free */
	uint32_t n_slots;
};

/* The largest number of entries in an index. */
#define RUL_MAX_INDEX_ENTRIES 1000000U

/* The entry for exactly this key, or NULL. */
const struct rul_index_entry *rul_index_find(const struct rul_index *index,
					     enum wf_call_kind call,
					     const char *org, const char *name);

/* Adds a key that is not in the index. Strings are borrowed. */
void rul_index_add(struct rul_index *index, enum wf_call_kind call,
		   const char *org, const char *name, uint32_t line);
void rul_index_clear(struct rul_index *index);

struct rul_set {
	unsigned refs;
	struct rul_arena arena;
	GArray *lines; /* of struct rul_line */
	struct rul_index index;
	GHashTable *targets;   /* id to index of line + 1 */
	GHashTable *load_keys; /* "target model version" to the same */
	GArray *loads;	       /* of uint32_t, index of line */
	size_t n_rules;
};

struct rul_set *rul_set_new(void);

/* Parsing */

/* A part of the current line. */
struct rul_token {
	const char *at;
	size_t len;
};

struct rul_parser {
	struct rul_set *set;
	GPtrArray *problems;
	guint first_problem; /* number of the caller's earlier entries */
	size_t n_hidden;     /* problems beyond RUL_MAX_PROBLEMS */
	const char *line;    /* start of the current line */
	size_t line_len;
	unsigned line_no;
	struct rul_line_settings settings; /* of the current line */
	GHashTable *strings;		   /* set of shared strings */
	GHashTable *lists;		   /* text of a list to its char ** */
	GHashTable *shared;		   /* set of struct rul_line_settings */
};

/* Creates the tables of shared values; parser->set must exist. */
void rul_share_init(struct rul_parser *parser);
void rul_share_clear(struct rul_parser *parser);

/* A copy in the arena; equal strings share one. */
char *rul_share_text(struct rul_parser *parser, struct rul_token text);
const struct rul_line_settings *rul_share_settings(struct rul_parser *parser);

/*
 * Adds a problem at a token of the current line. The suggestion (may be NULL)
 * is copied; the message is formatted like printf().
 */
void rul_report(struct rul_parser *parser, struct rul_token token,
		const char *suggestion, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/*
 * The word nearest to the token by edit distance, if the token is likely to be
 * a typo of it: at most one edit per three characters plus one. Else NULL.
 */
const char *rul_nearest(struct rul_token token, const char *const *words,
			size_t n_words);

/* Whether token equals a word. */
bool rul_token_is(struct rul_token token, const char *word);

/* Parses the value of an attribute into line; reports problems. */
bool rul_parse_value(struct rul_parser *parser, struct rul_line *line,
		     enum rul_attr attr, struct rul_token value);

/* Whether a token is a valid name; reports a problem if not. */
bool rul_check_name(struct rul_parser *parser, struct rul_token name,
		    const char *what);

/* Reports invalid UTF-8 and control characters of the current line. */
bool rul_check_text(struct rul_parser *parser);

/* Parses the current line; adds it to the set or reports its problems. */
void rul_parse_line(struct rul_parser *parser);

/* Adds a parsed line to the set's tables; reports duplicates. */
void rul_add_line(struct rul_parser *parser, struct rul_line *line,
		  const struct rul_token *values);

/* An empty manifest whose list of chunks is NULL. */
struct rul_manifest *rul_manifest_alloc(void);

/*
 * Sets the time of the dropped chunks that have none yet and removes those
 * dropped RUL_CHUNK_RETENTION ago or earlier.
 */
void rul_expire_dropped_chunks(GArray *dropped, clk_ms now);

/* Drops the reference if there is one and sets it to NULL. */
static inline void rul_clear_bytes(GBytes **bytes)
{
	if (*bytes)
		g_bytes_unref(*bytes);
	*bytes = NULL;
}

#endif
