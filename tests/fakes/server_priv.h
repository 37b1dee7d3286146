#ifndef WF_FAKES_SERVER_PRIV_H
#define WF_FAKES_SERVER_PRIV_H

/* Internal interface of the server layer. */

#include "server.h"

struct fk_server {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_timer_t sweep;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept_ctx;
	const struct fk_route *routes;
	void *user;
	char *address;
	struct fk_faults *faults;
	json_t *counts;	  /* requests received, by "METHOD path" */
	GPtrArray *calls; /* in progress; borrowed */
	GPtrArray *held;  /* struct fk_delayed_reply held for
			     FK_FAULT_OUT_OF_ORDER */
};

struct fk_call *fk_call_new(struct fk_server *server, h2o_req_t *req);

/* Answers requests to /admin/fault and /admin/calls; false for others. */
bool fk_admin_handle(struct fk_call *call);

/* Counts a request under its method and route. */
void fk_count_call(struct fk_server *server, const struct fk_call *call);

/* Ends the calls whose client has closed the connection. */
void fk_end_closed_calls(struct fk_server *server);

/* Continues the streams that a cleared pause held back. */
void fk_streams_release(struct fk_server *server);

/* Sets the status and Content-Type of the response. */
void fk_set_head(struct fk_call *call, int status, const char *type);

void fk_stream_free(struct fk_stream *stream);

#endif
