#ifndef CMD_H
#define CMD_H

/* cmd: commands of the operators' command-line tool, wagtailferry */

#include <jansson.h>
#include <wagtailferry/rules.h>

/* Exit codes. */
enum cmd_exit {
	CMD_OK = 0,
	CMD_REFUSED = 1, /* refused, or invalid input */
	CMD_USAGE = 2,
	CMD_CONFLICT = 3,
	CMD_UNREACHABLE = 4, /* the store or an instance */
	CMD_UNKNOWN = 5,     /* a write may or may not have been applied */
};

/* All options; a command accepts those in its mask of CMD_OPT_BIT()s. */
enum cmd_option {
	CMD_OPT_JSON,
	CMD_OPT_STORE,
	CMD_OPT_TIMEOUT,
	CMD_OPT_INSTANCE,
	CMD_OPT_BASE,
	CMD_OPT_AUTHOR,
	CMD_OPT_REQUESTED_BY,
	CMD_OPT_NOTE,
	CMD_OPT_WAIT,
	CMD_OPT_WAIT_TIMEOUT,
	CMD_OPT_CANONICAL,
	CMD_OPT_PLAIN,
	CMD_OPT_LIMIT,
	CMD_OPT_COUNT,
	CMD_OPT_IN_FORCE,
	CMD_N_OPTIONS,
};

#define CMD_OPT_BIT(option) (1U << (unsigned)(option))
#define CMD_COMMON_OPTIONS CMD_OPT_BIT(CMD_OPT_JSON)
#define CMD_STORE_OPTIONS                                  \
	(CMD_COMMON_OPTIONS | CMD_OPT_BIT(CMD_OPT_STORE) | \
	 CMD_OPT_BIT(CMD_OPT_TIMEOUT))

/* The parsed command line. popt allocates the strings and owns args. */
struct cmd_env {
	int json;
	char *store;
	int timeout_ms;
	char **instances;
	char *base;
	char *author;
	char *requested_by;
	char *note;
	int wait;
	int wait_timeout_s;
	int canonical;
	int plain;
	int limit;
	int count;
	char *in_force;
	const char **args; /* NULL-terminated */
	size_t n_args;
};

struct cmd_command {
	const char *name; /* one or two words */
	const char *usage;
	const char *summary;
	uint32_t options; /* mask of CMD_OPT_BIT() */
	size_t min_args;
	size_t max_args;
	enum cmd_exit (*run)(struct cmd_env *env);
};

enum cmd_exit cmd_rules_check(struct cmd_env *env);
enum cmd_exit cmd_rules_show(struct cmd_env *env);
enum cmd_exit cmd_rules_diff(struct cmd_env *env);
enum cmd_exit cmd_rules_publish(struct cmd_env *env);
enum cmd_exit cmd_rules_watch(struct cmd_env *env);
enum cmd_exit cmd_rules_history(struct cmd_env *env);
enum cmd_exit cmd_status(struct cmd_env *env);
enum cmd_exit cmd_audit(struct cmd_env *env);
enum cmd_exit cmd_settings_check(struct cmd_env *env);
enum cmd_exit cmd_settings_check_edge(struct cmd_env *env);
enum cmd_exit cmd_config_check(struct cmd_env *env);
enum cmd_exit cmd_explain(struct cmd_env *env);
enum cmd_exit cmd_version(struct cmd_env *env);

/* Output */

/* Prints one JSON value as a line and drops the reference. */
void cmd_print_json(json_t *value);

/* Makes a JSON string of any bytes; invalid UTF-8 is replaced. */
json_t *cmd_json_string(const char *text, size_t len);

/*
 * Prints "wagtailferry: ..." on standard error or, with --json,
 * {"error":...} on standard output.
 */
void cmd_print_error(const struct cmd_env *env, enum err_code code,
		     const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Formats a time as "2027-01-02T03:04:05Z"; free with g_free(). */
char *cmd_format_time(clk_ms time);

/* The wall-clock time. */
clk_ms cmd_now(void);

/* Converts an array of struct rul_change to JSON. */
json_t *cmd_changes_json(const GArray *changes);

/*
 * Checks a rules text and prints its problems; first_line is added to their
 * line numbers. False if there are any.
 */
bool cmd_check_rules(const struct cmd_env *env, const char *path, GBytes *text,
		     unsigned first_line);

/* Files */

/*
 * Reads a whole file ("-": standard input) of at most RUL_MAX_TEXT bytes
 * plus a base line. Fails with ERR_NOT_FOUND, ERR_IO or ERR_TOO_LARGE.
 */
GBytes *cmd_read_file(const char *path, GError **error);

/*
 * Start of the base line: the first line that "rules show" writes and "rules
 * publish" removes. It names the revision that was edited.
 */
#define CMD_BASE_LINE_PREFIX "# base revision "

/*
 * Returns the text without its base line and sets base to the revision in that
 * line, or to RUL_BASE_LATEST if there is none.
 */
GBytes *cmd_strip_base_line(GBytes *text, uint64_t *base);

/* HTTP */

struct cmd_http;

struct cmd_response {
	long status;	 /* HTTP status, 0 if there was no answer */
	bool maybe_sent; /* the request may have reached the server */
	uint64_t etag;	 /* object version, 0 if there is none */
	GByteArray *body;
	char *transport_error; /* set if there was no answer */
};

struct cmd_http *cmd_http_new(int timeout_ms);
void cmd_http_drop(struct cmd_http *http);

/*
 * Sends one request and waits for the answer. body may be NULL. condition is
 * a complete header line, e.g. If-Match, or NULL. extra_ms is added to the
 * time limit. The response must be cleared.
 */
void cmd_http_request(struct cmd_http *http, const char *method,
		      const char *url, const char *condition, GBytes *body,
		      int extra_ms, struct cmd_response *response);
void cmd_response_clear(struct cmd_response *response);

/* Store */

/* Client of the object API at one address. */
struct cmd_store;

/* Prints an error and returns NULL if no address is given. */
struct cmd_store *cmd_store_new(const struct cmd_env *env);
void cmd_store_drop(struct cmd_store *store);

/* Executes a store action; the reply must be cleared. */
void cmd_store_execute(struct cmd_store *store, const struct wf_action *action,
		       struct wf_store_reply *reply);
void cmd_store_reply_clear(struct wf_store_reply *reply);

/* Gets an object; ERR_NOT_FOUND, ERR_STORE_UNAVAILABLE. */
GBytes *cmd_store_get(struct cmd_store *store, const char *name,
		      uint64_t *version, GError **error);

/* Gets and decodes the manifest. */
struct rul_manifest *cmd_store_get_manifest(struct cmd_store *store,
					    GError **error);

/*
 * Gets and verifies the rules text of a manifest. Chunks that are also part of
 * the text known (may be NULL) are not fetched.
 */
GBytes *cmd_store_get_text(struct cmd_store *store,
			   const struct rul_manifest *manifest, GBytes *known,
			   GError **error);

/*
 * Waits at most timeout_ms until an object with the prefix ("kind/name") has a
 * version above after. Returns the version to continue from, or after if
 * nothing changed; 0 if the store does not answer.
 */
uint64_t cmd_store_watch(struct cmd_store *store, const char *prefix,
			 uint64_t after, int timeout_ms);

/*
 * Returns at most limit (0: all) of the newest entries of the audit trail,
 * newest first, as struct rul_audit_entry pointers. The entries are owned by
 * the decoded segments (struct rul_audit_segment), which are added to segments.
 * With rules_only, only published revisions are returned.
 */
GPtrArray *cmd_store_get_audit(struct cmd_store *store, size_t limit,
			       bool rules_only, GPtrArray *segments,
			       GError **error);

/* Prints and frees an error; returns the exit code for it. */
enum cmd_exit cmd_report_error(const struct cmd_env *env, GError *error);

/* Instances */

/* Gets the status of one instance, or NULL if it does not answer. */
json_t *cmd_get_instance_status(struct cmd_http *http, const char *address);

/* Returns "rules_revision" of a status, 0 if it has none. */
uint64_t cmd_status_revision(const json_t *status);

#endif
