#ifndef WAGTAILFERRY_DAEMON_SRV_INTERNAL_H
#define WAGTAILFERRY_DAEMON_SRV_INTERNAL_H

/* Private to the HTTP server. */

#include <h2o.h>

#include "daemon/srv_server.h"

#define SRV_JSON_TYPE "application/json"

/* The format of the response to a call. */
enum srv_response_format {
	SRV_FORMAT_SSE,	 /* chat completion as server-sent events */
	SRV_FORMAT_CHAT, /* chat completion as one document */
	SRV_FORMAT_RAW,	 /* a service's answer, unchanged */
};

struct srv_listener {
	struct srv_server *server;
	uv_tcp_t tcp;
	h2o_accept_ctx_t accept;
	h2o_hostconf_t *hosts[2];
	char *address;
	bool open;
	clk_ms closing_since; /* 0 while it accepts new connections */
};

struct srv_server {
	uv_loop_t *loop;
	struct srv_sink *sink; /* NULL after srv_drop() */
	struct ctr_set *counters;
	char *id_prefix; /* of request ids */
	size_t unsent_limit;
	clk_ms stall_limit;
	h2o_globalconf_t config;
	h2o_context_t context;
	struct srv_listener callers;
	struct srv_listener operators;
	SSL_CTX *tls;
	GHashTable *tokens;	 /* SHA-256 as GBytes to organisation */
	GHashTable *calls;	 /* id to struct srv_call without final reply */
	GHashTable *undelivered; /* all struct srv_call, finished or not */
	GArray *gone_calls;	 /* ids of calls to report as gone */
	GHashTable *sockets;	 /* open h2o sockets to their connection */
	uv_timer_t stall_timer;
	uv_timer_t gone_timer;
	uint64_t next_call;
	unsigned open_handles;
	bool dropped;
};

/* A caller's request; exists as long as h2o's request. */
struct srv_call {
	h2o_generator_t generator;
	struct srv_server *server;
	h2o_req_t *req;
	uint64_t id;
	char *org;
	char *model;
	enum srv_response_format format;
	int64_t created; /* in seconds since the epoch */
	unsigned prompt_tokens;
	unsigned tokens;
	GString *text;	  /* SRV_FORMAT_CHAT: the text so far */
	GString *unsent;  /* SRV_FORMAT_SSE: not yet passed to h2o */
	GString *sending; /* passed to h2o; in use until on_proceed() */
	uint64_t sent_at; /* loop time at which sending began */
	bool is_sending;
	bool started;		 /* the response head of a stream was sent */
	bool finished;		 /* the final reply is known */
	bool final_sent;	 /* the end of the response was passed to h2o */
	struct srv_watch *watch; /* HTTP/1: detects a disconnect */
};

/* The parsed body of a chat completion. */
struct srv_chat {
	char *model;
	GString *prompt;
	unsigned max_tokens;
	bool stream;
};

/* srv_chat.c: fails with ERR_BAD_JSON or ERR_BAD_REQUEST. */
bool srv_chat_parse(const char *text, size_t len, struct srv_chat *chat,
		    GError **error);
void srv_chat_clear(struct srv_chat *chat);

/*
 * Cumulative hashes (uint64_t) of the prompt's blocks, without an incomplete
 * last one.
 */
GArray *srv_chat_prefix_hashes(const GString *prompt);

/* srv_format.c: response bodies. Free those returned with g_free(). */
char *srv_error_body(const char *type, enum err_run run, const char *message);
void srv_append_chunk(const struct srv_call *call, GString *out,
		      const char *text);
void srv_append_last_chunk(const struct srv_call *call, GString *out,
			   const char *reason);
void srv_append_error(GString *out, const char *error_body);
char *srv_chat_completion(const struct srv_call *call, const char *reason);

/* srv_error.c: sends a complete response. */
void srv_send(h2o_req_t *req, int status, const char *type, const char *body,
	      size_t len);
void srv_send_error(h2o_req_t *req, enum err_code code, enum err_run run,
		    int status, clk_ms retry_after, const char *message);
/* Replaces the plain text of h2o's own errors by JSON error bodies. */
void srv_add_error_filter(h2o_pathconf_t *path);

/* srv_route.c: the handler of callers' requests. */
int srv_on_caller_request(h2o_handler_t *handler, h2o_req_t *req);

/* srv_operator.c: the handler of operators' requests. */
int srv_on_operator_request(h2o_handler_t *handler, h2o_req_t *req);

/* The server that a handler belongs to. */
struct srv_server *srv_from_handler(h2o_handler_t *handler);

/* The value of a request header, or NULL. Free with g_free(). */
char *srv_get_header(h2o_req_t *req, const char *name);

/* srv_server.c: records that the request's connection sent a complete request.
 */
void srv_note_request(struct srv_server *server, h2o_req_t *req);

/* srv_token.c: the organisation of a request's token, or NULL. Borrowed. */
const char *srv_authenticate(struct srv_server *server, h2o_req_t *req);
GHashTable *srv_tokens_new(const struct srv_token *tokens, size_t n);

/* srv_call.c */
struct srv_call *srv_call_new(struct srv_server *server, h2o_req_t *req,
			      const char *org, enum srv_response_format format);
char *srv_call_request_id(const struct srv_call *call);
/* Ends a call with an error and reports it to the core as gone. */
void srv_call_cancel(struct srv_call *call, enum err_code code,
		     const char *message);
/*
 * Cancels a call whose response made no progress within the stall limit.
 * Closes the connection if all calls on it are stalled.
 */
void srv_call_check_stall(struct srv_call *call);

/* srv_server.c: reports a lost caller to the core after h2o's callback
 * returned. */
void srv_report_gone(struct srv_server *server, uint64_t call_id);

/* srv_watch.c: detects that an HTTP/1 caller disconnects during a call. */
struct srv_watch *srv_watch_new(struct srv_call *call);
void srv_watch_drop(struct srv_watch *watch);

#endif
