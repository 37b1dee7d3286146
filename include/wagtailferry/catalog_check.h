#ifndef WAGTAILFERRY_CATALOG_CHECK_H
#define WAGTAILFERRY_CATALOG_CHECK_H

/*
 * chk: checks of a configuration before it is published, and its differences
 * from the one in force. No I/O. API keys appear in no text except as
 * chk_key_label().
 */

#include <wagtailferry/catalog.h>

enum chk_kind {
	/* A part that instances can't decode, or read otherwise. */
	CHK_ERROR,
	/* An entry that no request can match. */
	CHK_NEVER_MATCHES,
	/* Two settings that exclude each other. */
	CHK_CONTRADICTION,
};

struct chk_problem {
	enum chk_kind kind;
	/* Path of the field, or the entry by its name; NULL for the whole
	 * text. */
	char *where;
	/* Line of a text that is no JSON, otherwise 0. */
	unsigned line;
	char *message;
};

enum chk_change_kind {
	CHK_ADDED,
	CHK_REMOVED,
	CHK_CHANGED,
};

struct chk_change {
	enum chk_change_kind kind;
	/* "route", "service", "limit", "organisation", "key" or "version". */
	const char *what;
	char *name;
	/* May be empty. */
	char *detail;
	/* Who loses the key or route; NULL if nobody does. */
	char *taken_from;
};

/* Name of a kind, e.g. "never_matches". */
const char *chk_kind_name(enum chk_kind kind);
/* "added", "removed" or "changed". */
const char *chk_change_name(enum chk_change_kind kind);

/* An array of struct chk_problem pointers that owns them. */
GPtrArray *chk_problems_new(void);

/* Appends a problem. where may be NULL. */
void chk_add_problem(GPtrArray *problems, enum chk_kind kind, const char *where,
		     const char *format, ...) G_GNUC_PRINTF(4, 5);

/* The first 4 characters of an API key, or the first half of a shorter one.
 * Free with g_free(). */
char *chk_key_label(const char *key);

/*
 * Appends the problems of a configuration that was decoded. The catalog holds
 * neither a second route of a host and prefix nor a second holder of a key, so
 * these are not found here.
 */
void chk_catalog(const struct cat_catalog *catalog, GPtrArray *problems);

/*
 * Returns what is different in the catalog to, as an array of struct
 * chk_change pointers that owns them. Order and spelling of the text don't
 * matter, nor do numbers that only the text has.
 */
GPtrArray *chk_changes(const struct cat_catalog *from,
		       const struct cat_catalog *to);

/* Appends a problem if the version offered is lower than the one in force, as
 * instances then drop it, or if it is the same with other contents, as log
 * lines then don't tell which one a request used. */
void chk_version(const struct cat_catalog *in_force,
		 const struct cat_catalog *offered, const GPtrArray *changes,
		 GPtrArray *problems);

#endif
