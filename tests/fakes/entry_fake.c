/*
 * Fake entry instance for the tests of the load driver: answers model requests
 * with the expected text, and bookings with one stored response per key.
 */

#include "server.h"

#include "../support/token_text.h"

#include <stdlib.h>
#include <string.h>

#define N_LAYERS 60

static GHashTable *answers; /* key -> response */

static json_t *chunk_json(const char *content, const char *reason)
{
	json_t *delta = json_object();

	if (content)
		json_object_set_new(delta, "content", json_string(content));
	return json_pack("{s:[{s:i,s:o,s:s?}]}", "choices", "index", 0, "delta",
			 delta, "finish_reason", reason);
}

static void handle_model(struct fk_call *call)
{
	json_t *json = fk_json_body(call);
	const json_t *message =
		json_array_get(json_object_get(json, "messages"), 0);
	const char *content =
		json_string_value(json_object_get(message, "content"));
	char *prompt = g_strdup_printf("user: %s\nassistant: ",
				       content ? content : "");
	json_int_t n = json_integer_value(json_object_get(json, "max_tokens"));
	unsigned i;

	fk_stream_start(call);
	for (i = 0; i < n; i++) {
		char *text = token_text(prompt, N_LAYERS, i, i + 1);

		fk_stream_event(call, NULL, chunk_json(text, NULL));
		g_free(text);
	}
	fk_stream_event(call, NULL, chunk_json(NULL, "length"));
	fk_stream_event(call, NULL, NULL);
	fk_stream_end(call);
	json_decref(json);
	g_free(prompt);
}

static void handle_booking(struct fk_call *call)
{
	char *key = fk_header(call, "idempotency-key");
	char *answer = key ? g_hash_table_lookup(answers, key) : NULL;
	json_t *json;

	if (!key) {
		fk_reply_error(call, 400, "key_required", "no Idempotency-Key");
		return;
	}
	if (!answer) {
		json = json_pack("{s:s,s:i,s:s}", "key", key, "run", 1, "body",
				 call->body);
		answer = json_dumps(json, JSON_COMPACT);
		json_decref(json);
		g_hash_table_insert(answers, g_strdup(key), answer);
	}
	fk_reply(call, 200, "application/json", answer, strlen(answer));
	g_free(key);
}

/* Responds as if the service had executed the key twice. */
static void handle_second_run(struct fk_call *call)
{
	fk_reply_json(call, 200,
		      json_pack("{s:i,s:s}", "run", 2, "body", call->body));
}

static void handle_refusal(struct fk_call *call)
{
	fk_reply_json(call, 503,
		      json_pack("{s:{s:s,s:s,s:s}}", "error", "type",
				"overloaded", "message", "full", "run",
				"not_run"));
}

int main(int argc, const char **argv)
{
	const struct poptOption *no_options = fk_no_options();
	const struct fk_route routes[] = {
		{"POST", "/v1/chat/completions", handle_model},
		{"POST", "/v1/services/booking", handle_booking},
		{"POST", "/v1/services/second", handle_second_run},
		{"POST", "/v1/services/full", handle_refusal},
		{NULL, NULL, NULL},
	};
	struct fk_server *server;

	answers = g_hash_table_new(g_str_hash, g_str_equal);
	server = fk_server_new(argc, argv, no_options, routes, NULL);
	return fk_server_run(server);
}
