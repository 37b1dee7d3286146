#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/srv_internal.h"

/* Replaces invalid UTF-8, which JSON can't carry. */
static json_t *text_value(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	json_t *value = json_string(valid);

	g_free(valid);
	return value;
}

static char *dump_json(json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(document);
	return copy;
}

char *srv_error_body(const char *type, enum err_run run, const char *message)
{
	json_t *error = json_object();

	json_object_set_new(error, "type", json_string(type));
	json_object_set_new(error, "message", text_value(message));
	json_object_set_new(error, "run", json_string(err_run_name(run)));
	return dump_json(json_pack("{s:o}", "error", error));
}

static json_t *new_completion(const struct srv_call *call, const char *object,
			      json_t *choice)
{
	json_t *document = json_object();
	char *request_id = srv_call_request_id(call);
	char *id = g_strconcat("chatcmpl-", request_id, NULL);

	json_object_set_new(document, "id", json_string(id));
	json_object_set_new(document, "object", json_string(object));
	json_object_set_new(document, "created", json_integer(call->created));
	json_object_set_new(document, "model", json_string(call->model));
	json_object_set_new(document, "choices", json_pack("[o]", choice));
	g_free(request_id);
	g_free(id);
	return document;
}

static void append_event(GString *out, char *data)
{
	g_string_append_printf(out, "data: %s\n\n", data);
	g_free(data);
}

static void append_delta(const struct srv_call *call, GString *out,
			 json_t *delta, const char *reason)
{
	json_t *choice = json_pack("{s:i,s:o,s:s?}", "index", 0, "delta", delta,
				   "finish_reason", reason);

	append_event(out, dump_json(new_completion(
				  call, "chat.completion.chunk", choice)));
}

void srv_append_chunk(const struct srv_call *call, GString *out,
		      const char *text)
{
	json_t *delta = json_object();

	if (!call->tokens)
		json_object_set_new(delta, "role", json_string("assistant"));
	json_object_set_new(delta, "content", text_value(text));
	append_delta(call, out, delta, NULL);
}

void srv_append_last_chunk(const struct srv_call *call, GString *out,
			   const char *reason)
{
	append_delta(call, out, json_object(), reason);
	g_string_append(out, "data: [DONE]\n\n");
}

void srv_append_error(GString *out, const char *error_body)
{
	g_string_append_printf(out, "event: error\ndata: %s\n\n", error_body);
}

char *srv_chat_completion(const struct srv_call *call, const char *reason)
{
	json_t *message = json_object();
	json_t *document;

	json_object_set_new(message, "role", json_string("assistant"));
	json_object_set_new(message, "content", text_value(call->text->str));
	document = new_completion(call, "chat.completion",
				  json_pack("{s:i,s:o,s:s?}", "index", 0,
					    "message", message, "finish_reason",
					    reason));
	json_object_set_new(
		document, "usage",
		json_pack("{s:I,s:I,s:I}", "prompt_tokens",
			  (json_int_t)call->prompt_tokens, "completion_tokens",
			  (json_int_t)call->tokens, "total_tokens",
			  (json_int_t)call->prompt_tokens + call->tokens));
	return dump_json(document);
}
