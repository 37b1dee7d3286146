#ifndef CMD_H
#define CMD_H

/* The operators' command: shared declarations. */

#include <jansson.h>
#include <wagtailferry/rules.h>

/* Exit codes. */
enum cmd_exit {
	CMD_OK = 0,
	CMD_REFUSED = 1, /* or invalid */
	CMD_USAGE = 2,
	CMD_CONFLICT = 3,
	CMD_UNREACHABLE = 4,
	CMD_UNKNOWN = 5, /* the outcome is unknown */
};

/* Options; CMD_OPT_BIT() of those that a command has. */
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
	CMD_N_OPTIONS,
};

#define CMD_OPT_BIT(option) (1U << (unsigned)(option))
#define CMD_COMMON_OPTIONS CMD_OPT_BIT(CMD_OPT_JSON)
#define CMD_STORE_OPTIONS                                  \
	(CMD_COMMON_OPTIONS | CMD_OPT_BIT(CMD_OPT_STORE) | \
	 CMD_OPT_BIT(CMD_OPT_TIMEOUT))

/* The command line after parsing. Strings belong to popt. */
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
	const char **args; /* NULL-terminated */
	size_t n_args;
};

struct cmd_command {
	const char *name; /* one or two words */
	const char *usage;
	const char *summary;
	uint32_t options; /* CMD_OPT_BIT() */
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
enum cmd_exit cmd_explain(struct cmd_env *env);
enum cmd_exit cmd_version(struct cmd_env *env);

/* Output */

/* Prints one JSON value as a line and frees it. */
void cmd_print_json(json_t *value);

/* A JSON string of any bytes; invalid UTF-8 is replaced. */
json_t *cmd_json_string(const char *text, size_t len);

/* Prints "wagtailferry: ..." on standard error, or {"error":...} as JSON. */
void cmd_print_error(const struct cmd_env *env, enum err_code code,
		     const char *format, ...) G_GNUC_PRINTF(3, 4);

/* "2027-01-02T03:04:05Z"; free with g_free(). */
char *cmd_format_time(clk_ms time);

/* The present time. */
clk_ms cmd_now(void);

/* The JSON form of an array of struct rul_change. */
json_t *cmd_changes_json(const GArray *changes);

/*
 * Checks a rules text and reports its problems; first_line is added to their
 * line numbers.
 */
bool cmd_check_rules(const struct cmd_env *env, const char *path, GBytes *text,
		     unsigned first_line);

/* Files */

/*
 * Reads a whole rules file ("-": standard input) of at most RUL_MAX_TEXT
 * bytes and a base line. Fails with ERR_NOT_FOUND, ERR_IO or ERR_TOO_LARGE.
 */
GBytes *cmd_read_file(const char *path, GError **error);

/* The first line that "rules show" writes and "rules publish" takes off. */
#define CMD_BASE_LINE_PREFIX "# base revision "

/*
 * Takes the base line off a text and gives its revision, RUL_BASE_LATEST if
 * there is none.
 */
GBytes *cmd_strip_base_line(GBytes *text, uint64_t *base);

/* HTTP */

struct cmd_http;

struct cmd_response {
	long status;	 /* 0: no answer */
	bool maybe_sent; /* the request may have reached the server */
	uint64_t etag;	 /* version, 0 if there is none */
	GByteArray *body;
	char *transport_error; /* set if there was no answer */
};

struct cmd_http *cmd_http_new(int timeout_ms);
void cmd_http_drop(struct cmd_http *http);

/*
 * Makes one request and waits for the answer. body may be NULL. condition is
 * a whole header line or NULL. extra_ms is added to the time limit.
 */
void cmd_http_request(struct cmd_http *http, const char *method,
		      const char *url, const char *condition, GBytes *body,
		      int extra_ms, struct cmd_response *response);
void cmd_response_clear(struct cmd_response *response);

/* Store */

/* The object API at one address. */
struct cmd_store;

/* Fails with a message and NULL if no address is given. */
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
 * Gets and verifies the text of a manifest. Chunks that known (may be NULL)
 * has, too, are not fetched.
 */
GBytes *cmd_store_get_text(struct cmd_store *store,
			   const struct rul_manifest *manifest, GBytes *known,
			   GError **error);

/*
 * Waits until an object with the prefix ("kind/name") changes after a
 * version, at most timeout_ms. Returns the new position, or after if nothing
 * changed; 0 if the store does not answer.
 */
uint64_t cmd_store_watch(struct cmd_store *store, const char *prefix,
			 uint64_t after, int timeout_ms);

/*
 * The newest entries of the audit trail, newest first, at most limit, as
 * struct rul_audit_entry pointers owned by segments (struct
 * rul_audit_segment). Only published revisions if rules_only.
 */
GPtrArray *cmd_store_get_audit(struct cmd_store *store, size_t limit,
			       bool rules_only, GPtrArray *segments,
			       GError **error);

/* Reports an error of the functions above; gives the exit code. */
enum cmd_exit cmd_report_error(const struct cmd_env *env, GError *error);

/* Instances */

/* The status of one instance, or NULL if it does not answer. */
json_t *cmd_get_instance_status(struct cmd_http *http, const char *address);

/* "rules_revision" of a status, 0 if it has none. */
uint64_t cmd_status_revision(const json_t *status);

#endif
