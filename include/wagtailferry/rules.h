#ifndef WAGTAILFERRY_RULES_H
#define WAGTAILFERRY_RULES_H

/*
 * The rules area: the operators' language, lookups, the difference of two
 * texts, content-defined chunks, the manifest, and the publish sequence.
 * Nothing here does I/O or reads a clock. The language is specified in
 * docs/rules.md.
 */

#include <wagtailferry/base.h>
#include <wagtailferry/core.h>

/* Limits of a rules file in bytes. */
#define RUL_MAX_TEXT ((size_t)8 * 1024 * 1024)
#define RUL_MAX_LINE ((size_t)4096)
#define RUL_MAX_NAME ((size_t)128)

/* More problems than this are counted in one last entry. */
#define RUL_MAX_PROBLEMS 10000

/* Values of a route that states none. */
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
 * The rules of one text; never changes after the parse. Reference-counted,
 * not thread-safe.
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
 * Finds the most specific rule for a call and fills in what it says. The
 * strings in out are borrowed: from the set, or, for a route without "to",
 * from name. wf_policy_copy() makes them independent; never clear out with
 * wf_policy_clear(). Returns false if the call is refused: out->rule_line is
 * then the line of the "deny" rule, or 0 if no rule matches.
 */
bool rul_set_lookup(const struct rul_set *set, enum wf_call_kind kind,
		    const char *org, const char *name, struct wf_policy *out);

/* What a "target" line says; overrides the instance list. */
struct rul_target {
	unsigned rule_line;
	bool states_fencing; /* the line has "fencing" */
	bool checks_fencing;
	bool states_sender; /* the line has "sender" */
	bool checks_sender;
};

/* Looks up the attributes of a target; false if no line names it. */
bool rul_set_target(const struct rul_set *set, const char *target,
		    struct rul_target *out);

/* What a "load" line says. Strings are borrowed from the set. */
struct rul_load {
	unsigned rule_line;
	const char *target;
	const char *model;
	const char *version;
	bool wanted; /* false: is to be unloaded */
};

/* The number of "load" lines, and one of them (index below the number). */
size_t rul_set_n_loads(const struct rul_set *set);
struct rul_load rul_set_load(const struct rul_set *set, size_t index);

/* The number of "route" and "deny" lines. */
size_t rul_set_n_rules(const struct rul_set *set);

/*
 * Appends the set in canonical form: one space between words, attributes in
 * fixed order, values in the largest exact unit. Comment lines and empty
 * lines stay. Parsing the result gives an equal set.
 */
void rul_set_write(const struct rul_set *set, GString *out);

#endif
