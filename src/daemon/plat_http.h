#ifndef WAGTAILFERRY_DAEMON_PLAT_HTTP_H
#define WAGTAILFERRY_DAEMON_PLAT_HTTP_H

/* Private to the platform adapter over HTTP. */

#include <jansson.h>

#include "daemon/plat.h"

/* The polling state of a target. */
struct plat_target {
	uint64_t cache_seq;   /* of the newest cache event received */
	bool no_cache_events; /* the target reports none */
};

struct plat_http {
	struct plat plat;
	struct cli_client *client;
	struct plat_sink *sink;
	struct ctr_set *counters;
	char *self;
	uint64_t incarnation;
	char **object_api;
	size_t n_object_api;
	size_t object_api_index; /* of the server in use */
	char *instance_list;
	uint64_t instances_revision;
	GHashTable *streams; /* op to struct plat_stream, borrowed */
	GHashTable *targets; /* id to struct plat_target */
};

/*
 * A request that ends with a reply event. The drop operation of its handler
 * must call plat_request_drop().
 */
struct plat_request {
	struct cli_handler handler;
	struct plat_http *http;
	enum wf_action_type type;
	uint64_t op;
	char *target;
	char *address;
};

/* Creates a request for an action. Freed by plat_request_drop(). */
struct plat_request *plat_request_new(struct plat_http *http,
				      const struct wf_action *action,
				      const struct cli_handler_ops *ops);
void plat_request_drop(struct cli_handler *handler);

/* Sends a JSON document and takes ownership of it. */
tbl_handle plat_post_json(struct plat_http *http, struct cli_spec *spec,
			  json_t *document, struct cli_handler *handler);

/* Passes an event to the sink. */
void plat_emit(struct plat_http *http, const struct wf_event *event);

/* Parses the body of a response. NULL if it is not a JSON object. */
json_t *plat_parse_body(const struct cli_result *result);

/* Reads a number. False if it is missing, negative or above max. */
bool plat_json_uint(const json_t *object, const char *key, uint64_t max,
		    uint64_t *out);

/* Returns a string member, or fallback if it is missing or no string. */
const char *plat_json_text(const json_t *object, const char *key,
			   const char *fallback);

/* The type of an error response, or NULL. Borrowed from the document. */
const char *plat_error_type(const json_t *document);

/* The error code for an engine's error type. */
enum err_code plat_error_code(const char *type);

/* The action's time-out, or fallback if it has none. */
clk_ms plat_timeout(const struct wf_action *action, clk_ms fallback);

void plat_store_run(struct plat_http *http, const struct wf_action *action);
void plat_instances_fetch(struct plat_http *http,
			  const struct wf_action *action);
void plat_stream_open(struct plat_http *http, const struct wf_action *action);
void plat_stream_cancel(struct plat_http *http, const struct wf_action *action);
void plat_service_call(struct plat_http *http, const struct wf_action *action,
		       const char *operation);
void plat_status_query(struct plat_http *http, const struct wf_action *action);
void plat_target_poll(struct plat_http *http, const struct wf_action *action);
void plat_order_run(struct plat_http *http, const struct wf_action *action);

#endif
