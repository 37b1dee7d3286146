#ifndef WAGTAILFERRY_DAEMON_SRV_INTERNAL_H
#define WAGTAILFERRY_DAEMON_SRV_INTERNAL_H

/* Private to the HTTP server. */

#include <h2o.h>

#include "daemon/srv.h"

#define SRV_JSON_TYPE "application/json"

/* How a call is answered. */
enum srv_response_format {
	SRV_FORMAT_SSE,	 /* chat completion as server-sent events */
	SRV_FORMAT_CHAT, /* whole chat completion */
	SRV_FORMAT_RAW,	 /* a service's answer as it is */
};

struct srv_listener {
	struct srv_server *server;
	uv_tcp_t tcp;
	h2o_accept_ctx_t accept;
	h2o_hostconf_t *hosts[2];
	char *address;
	bool open;
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
	GHashTable *undelivered; /* set of all struct srv_call, with finished
				    ones */
	GArray *gone_calls;	 /* ids of calls whose caller left */
	GHashTable *sockets;	 /* open h2o sockets to their connection */
	uv_timer_t stall_timer;
	uv_timer_t gone_timer;
	uint64_t next_call;
	unsigned open_handles;
	bool dropped;
};

/* A caller's request; lives as long as h2o's request. */
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
	GString *text;	  /* SRV_FORMAT_CHAT: what came so far */
	GString *unsent;  /* SRV_FORMAT_SSE: not yet given to h2o */
	GString *sending; /* given to h2o, until proceed */
	uint64_t sent_at; /* loop time at which sending began */
	bool is_sending;
	bool started;  /* the head of a stream was sent */
	bool finished; /* the final reply is known */
	bool final_sent;
	struct srv_watch *watch; /* HTTP/1: sees the caller leave */
};

/* The parsed body of a chat completion. */
struct srv_chat {
	char *model;
	GString *prompt;
	unsigned max_tokens;
	bool stream;
};

/* srv_chat.c: ERR_BAD_JSON or ERR_BAD_REQUEST. */
bool srv_chat_parse(const char *text, size_t len, struct srv_chat *chat,
		    GError **error);
void srv_chat_clear(struct srv_chat *chat);

/* Cumulative hashes of the prompt's whole blocks, of uint64_t. */
GArray *srv_chat_prefix_hashes(const GString *prompt);

/* srv_format.c: bodies. Free with g_free() or g_string_free(). */
char *srv_error_body(const char *type, enum err_run run, const char *message);
void srv_append_chunk(const struct srv_call *call, GString *out,
		      const char *text);
void srv_append_last_chunk(const struct srv_call *call, GString *out,
			   const char *reason);
void srv_append_error(GString *out, const char *error_body);
char *srv_chat_completion(const struct srv_call *call, const char *reason);

/* srv_error.c: answers that end a request at once. */
void srv_send(h2o_req_t *req, int status, const char *type, const char *body,
	      size_t len);
void srv_send_error(h2o_req_t *req, enum err_code code, enum err_run run,
		    int status, clk_ms retry_after, const char *message);
/* Gives the errors that h2o reports by itself the format of ours. */
void srv_add_error_filter(h2o_pathconf_t *path);

/* srv_route.c: the handler of callers' requests. */
int srv_on_caller_request(h2o_handler_t *handler, h2o_req_t *req);

/* srv_operator.c: the handler of operators' requests. */
int srv_on_operator_request(h2o_handler_t *handler, h2o_req_t *req);

/* The server that a handler belongs to. */
struct srv_server *srv_from_handler(h2o_handler_t *handler);

/* Whether a header line's value is set; value is copied with g_strndup(). */
char *srv_get_header(h2o_req_t *req, const char *name);

/* srv.c: the request's connection has brought a whole request. */
void srv_note_request(struct srv_server *server, h2o_req_t *req);

/* srv_token.c: the organisation of a request's token, or NULL. Borrowed. */
const char *srv_authenticate(struct srv_server *server, h2o_req_t *req);
GHashTable *srv_tokens_new(const struct srv_token *tokens, size_t n);

/* srv_call.c */
struct srv_call *srv_call_new(struct srv_server *server, h2o_req_t *req,
			      const char *org, enum srv_response_format format);
char *srv_call_request_id(const struct srv_call *call);
/* Ends a call from outside the core, which is told. */
void srv_call_cancel(struct srv_call *call, enum err_code code,
		     const char *message);
/* Cuts callers that took nothing for too long. */
void srv_call_check_stall(struct srv_call *call);

/* srv.c: tells the core of a lost caller when h2o's work is done. */
void srv_report_gone(struct srv_server *server, uint64_t call_id);

/* srv_watch.c: sees an HTTP/1 caller leave while it waits. */
struct srv_watch *srv_watch_new(struct srv_call *call);
void srv_watch_drop(struct srv_watch *watch);

#endif
