#ifndef WAGTAILFERRY_BASE_H
#define WAGTAILFERRY_BASE_H

/*
 * clk: clock, err: errors, ctr: counters, log: logger, tbl: handle tables.
 * The base types that all modules share.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Clock */

/*
 * A point in time in milliseconds since the Unix epoch, or a duration in
 * milliseconds. The library never reads a clock; its caller supplies the time.
 */
typedef int64_t clk_ms;

#define CLK_SECOND ((clk_ms)1000)
#define CLK_MINUTE (60 * CLK_SECOND)
#define CLK_HOUR (60 * CLK_MINUTE)

/* A wake-up time that is never reached. */
#define CLK_NEVER INT64_MAX

static inline clk_ms clk_min(clk_ms a, clk_ms b)
{
	return a < b ? a : b;
}

/* Errors */

/* Whether the request that an error belongs to has been executed. */
enum err_run {
	ERR_RUN_NOT,
	ERR_RUN_YES,
	ERR_RUN_UNKNOWN,
};

/*
 * Codes of the single GError domain. err_name() gives the stable
 * machine-readable name of each, err_http_status() the HTTP status.
 */
enum err_code {
	ERR_BAD_REQUEST,
	ERR_BAD_JSON,
	ERR_BAD_SETTINGS,
	ERR_BAD_RULES,
	ERR_BAD_FRAME,
	ERR_BAD_KEY,
	ERR_KEY_EXPIRED,
	ERR_KEY_REUSED,
	ERR_KEY_REQUIRED,
	ERR_UNAUTHENTICATED,
	ERR_FORBIDDEN,
	ERR_NOT_FOUND,
	ERR_NO_RULE,
	ERR_NO_TARGET,
	ERR_TOO_LARGE,
	ERR_RATE_LIMITED,
	ERR_OVERLOADED,
	ERR_DEADLINE,
	ERR_DRAINING,
	ERR_NOT_READY,
	ERR_STORE_UNAVAILABLE,
	ERR_STORE_CONFLICT,
	ERR_STORE_UNKNOWN,
	ERR_TARGET_FAILED,
	ERR_TARGET_REFUSED,
	ERR_TARGET_LOST,
	ERR_OUTCOME_UNKNOWN,
	ERR_IN_PROGRESS,
	ERR_FENCED,
	ERR_CANCELLED,
	ERR_PROTOCOL,
	ERR_IO,
	ERR_INTERNAL,
	ERR_N_CODES,
};

#define ERR_DOMAIN (err_quark())

/* The quark of the library's GError domain. */
GQuark err_quark(void);

/* The machine-readable name of a code; a static string, never NULL. */
const char *err_name(enum err_code code);

/* The HTTP status that reports a code to a caller. */
int err_http_status(enum err_code code);

/* "not_run", "run" or "unknown". */
const char *err_run_name(enum err_run run);

/* Counters */

/* A reference-counted set of named counters. */
struct ctr_set;

struct ctr_set *ctr_new(void);
struct ctr_set *ctr_keep(struct ctr_set *set);
void ctr_drop(struct ctr_set *set);

/*
 * Adds n to a counter. The name must be a static string in Prometheus form,
 * with labels in braces if it has any: "wf_calls_total{kind=\"model\"}".
 */
void ctr_add(struct ctr_set *set, const char *name, uint64_t n);

/* Sets a gauge. The name follows the same form as for ctr_add(). */
void ctr_set_gauge(struct ctr_set *set, const char *name, int64_t value);

/* The current value of a counter or gauge, 0 if it was never set. */
int64_t ctr_get(const struct ctr_set *set, const char *name);

/* Appends all counters in Prometheus text format, sorted by name. */
void ctr_write_text(const struct ctr_set *set, GString *out);

/* Logger */

/*
 * Writes one log line, a JSON object without line feed, to its destination.
 */
typedef void (*log_sink)(void *user, const char *line);

/* A reference-counted logger of state changes. */
struct log_logger;

/* A NULL sink discards all lines. */
struct log_logger *log_new(log_sink sink, void *user);
struct log_logger *log_keep(struct log_logger *logger);
void log_drop(struct log_logger *logger);

/*
 * Writes one line for a change of state: what changed (a subject such as
 * "target engine-7"), its old and new state and an optional detail in printf
 * form (may be NULL).
 */
void log_change(struct log_logger *logger, clk_ms now, const char *subject,
		const char *from, const char *to, const char *detail, ...)
	G_GNUC_PRINTF(6, 7);

/* Handle tables */

/*
 * Identifies an entry of a table. The upper 32 bits hold the generation of the
 * slot, which changes when the entry is removed, so that the handle of a
 * removed entry stays invalid. 0 is never valid.
 */
typedef uint64_t tbl_handle;

struct tbl_table;

/* A table of entries of the given size; entries keep their address. */
struct tbl_table *tbl_new(size_t entry_size);

/* Frees the table and its entries, but nothing that the entries refer to. */
void tbl_drop(struct tbl_table *table);

/* Adds a zeroed entry and returns its handle; *entry is set to it. */
tbl_handle tbl_add(struct tbl_table *table, void **entry);

/* The entry of a handle, or NULL if it is gone. Borrowed. */
void *tbl_get(const struct tbl_table *table, tbl_handle handle);

/* Removes an entry. Returns false if it was gone already. */
bool tbl_remove(struct tbl_table *table, tbl_handle handle);

size_t tbl_count(const struct tbl_table *table);

/*
 * Iterates over the entries in slot order. Start with *cursor = 0; returns the
 * next entry and its handle, or NULL at the end. The entry just returned may be
 * removed.
 */
void *tbl_next(const struct tbl_table *table, size_t *cursor,
	       tbl_handle *handle);

#endif
