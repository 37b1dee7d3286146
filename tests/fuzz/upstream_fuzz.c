/*
 * Parses answers of targets from untrusted bytes: head, body and result are the
 * same whether the bytes arrive at once or one by one, and the limits hold.
 */

#include <stdlib.h>
#include <string.h>

#include "edge/hup_private.h"

/* Nothing listens here; no byte is sent. */
#define ADDRESS "127.0.0.1:9"
#define SMALL_LIMIT 64

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct result {
	GString *body;
	int status;
	unsigned heads;
	unsigned ends;
	enum hup_result how;
};

static void on_head(void *user, const struct hup_response *response)
{
	struct result *result = user;

	result->heads++;
	result->status = response->status;
}

static void on_data(void *user, const char *bytes, size_t len)
{
	g_string_append_len(((struct result *)user)->body, bytes, (gssize)len);
}

static void on_end(void *user, enum hup_result how)
{
	struct result *result = user;

	result->ends++;
	result->how = how;
}

static const struct hup_ops ops = {on_head, on_data, on_end};

static struct result parse(const char *data, size_t size, size_t step,
			   size_t limit)
{
	struct result result = {.body = g_string_new(NULL)};
	struct ctr_set *counters = ctr_new();
	struct hup_request request = {
		.address = ADDRESS,
		.bytes = g_string_new(NULL),
		.max_body_bytes = limit,
		.id_header = "X-Id",
		.id = "1",
	};
	struct hup_client *client;
	struct hup_conn *conn;
	uv_loop_t loop;
	size_t at;

	uv_loop_init(&loop);
	client = hup_new(&loop, counters);
	hup_set_max_head_bytes(client, limit);
	conn = hup_send(client, &request, &ops, &result)->conn;
	for (at = 0; at < size && !result.ends; at += step)
		hup_parse(conn, data + at, MIN(step, size - at));
	if (!result.ends)
		hup_parse_end(conn);
	hup_drop(client);
	while (uv_run(&loop, UV_RUN_DEFAULT))
		;
	uv_loop_close(&loop);
	ctr_drop(counters);
	if (result.ends != 1 || result.heads > 1 || result.body->len > limit)
		abort();
	return result;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *bytes = (const char *)data;
	struct result whole = parse(bytes, size, size ? size : 1, SIZE_MAX);
	struct result split = parse(bytes, size, 1, SIZE_MAX);
	struct result limited = parse(bytes, size, 7, SMALL_LIMIT);

	if (whole.how != split.how || whole.heads != split.heads ||
	    whole.status != split.status ||
	    !g_string_equal(whole.body, split.body))
		abort();
	g_string_free(whole.body, TRUE);
	g_string_free(split.body, TRUE);
	g_string_free(limited.body, TRUE);
	return 0;
}
