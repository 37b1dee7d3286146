#include <string.h>

#include "daemon/net.h"
#include "daemon/srv_internal.h"

static void add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_set_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
			      1, copy.base, copy.len, 1);
}

void srv_send(h2o_req_t *req, int status, const char *type, const char *body,
	      size_t len)
{
	req->res.status = status;
	req->res.reason = net_reason_phrase(status);
	req->res.content_length = len;
	add_header(req, "content-type", type);
	h2o_send_inline(req, body, len);
}

/* Rounds up; 429 and 503 always have a Retry-After. 0: no header. */
static clk_ms retry_after_seconds(int status, clk_ms retry_after)
{
	if (retry_after > 0)
		return (retry_after + CLK_SECOND - 1) / CLK_SECOND;
	return status == 429 || status == 503 ? 1 : 0;
}

void srv_send_error(h2o_req_t *req, enum err_code code, enum err_run run,
		    int status, clk_ms retry_after, const char *message)
{
	char *body = srv_error_body(err_name(code), run, message);
	clk_ms seconds = retry_after_seconds(status, retry_after);

	if (seconds) {
		char *value = g_strdup_printf("%" G_GINT64_FORMAT, seconds);

		add_header(req, "retry-after", value);
		g_free(value);
	}
	if (status == 401)
		add_header(req, "www-authenticate", "Bearer");
	srv_send(req, status, SRV_JSON_TYPE, body, strlen(body));
	g_free(body);
}

/* Errors that h2o generates itself */

struct error_ostream {
	h2o_ostream_t super;
	h2o_iovec_t body;
	bool sent;
};

static void send_replacement(h2o_ostream_t *self, h2o_req_t *req,
			     h2o_iovec_t *bufs, size_t n,
			     h2o_send_state_t state)
{
	struct error_ostream *stream = (struct error_ostream *)self;

	(void)bufs;
	(void)n;
	h2o_ostream_send_next(self, req, &stream->body, stream->sent ? 0 : 1,
			      state);
	stream->sent = true;
}

static enum err_code error_code_of_status(int status)
{
	switch (status) {
	case 413:
		return ERR_TOO_LARGE;
	case 404:
		return ERR_NOT_FOUND;
	default:
		return status < 500 ? ERR_BAD_REQUEST : ERR_INTERNAL;
	}
}

/* h2o's own errors are plain text; all others are JSON. */
static bool is_h2o_error(h2o_req_t *req)
{
	static const char plain[] = "text/plain; charset=utf-8";
	ssize_t at =
		h2o_find_header(&req->res.headers, H2O_TOKEN_CONTENT_TYPE, -1);
	h2o_iovec_t *value;

	if (req->res.status < 400 || at < 0)
		return false;
	value = &req->res.headers.entries[at].value;
	return h2o_memis(value->base, value->len, plain, sizeof(plain) - 1);
}

static void on_setup(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	if (is_h2o_error(req)) {
		char *body = srv_error_body(
			err_name(error_code_of_status(req->res.status)),
			ERR_RUN_NOT, req->res.reason);
		struct error_ostream *stream =
			(struct error_ostream *)h2o_add_ostream(
				req, sizeof(*stream), slot);

		stream->super.do_send = send_replacement;
		stream->body = h2o_strdup(&req->pool, body, SIZE_MAX);
		stream->sent = false;
		req->res.content_length = stream->body.len;
		add_header(req, "content-type", SRV_JSON_TYPE);
		slot = &stream->super.next;
		g_free(body);
	}
	h2o_setup_next_ostream(req, slot);
	(void)self;
}

void srv_add_error_filter(h2o_pathconf_t *path)
{
	h2o_filter_t *filter = h2o_create_filter(path, sizeof(*filter));

	filter->on_setup_ostream = on_setup;
}
