#include "load.h"

#include "../support/token_text.h"

#include <stdlib.h>
#include <string.h>

/* One request in progress. */
struct call {
	struct load_driver *driver;
	enum load_kind kind;
	unsigned target;
	unsigned token;
	int max_tokens;
	char *prompt;
	char *key;
	char *body;
	char *answer; /* response to the first call of a repeated booking */
	GString *received;
	size_t parsed; /* bytes of received that are parsed */
	GString *text; /* of the tokens */
	gint64 begin_us;
	gint64 last_us; /* of the last token */
	bool has_first;
	bool has_end;  /* a chunk with finish_reason */
	bool has_done; /* "data: [DONE]" */
	char *error;   /* error event in the stream */
};

char *load_uuid7(GRand *rand)
{
	guint64 ms = (guint64)(g_get_real_time() / 1000);

	return g_strdup_printf("%08x-%04x-7%03x-%04x-%04x%08x",
			       (guint32)(ms >> 16), (guint32)(ms & 0xffff),
			       g_rand_int(rand) & 0xfff,
			       0x8000 | (g_rand_int(rand) & 0x3fff),
			       g_rand_int(rand) & 0xffff, g_rand_int(rand));
}

static void call_free(struct call *call)
{
	g_free(call->prompt);
	g_free(call->key);
	g_free(call->body);
	g_free(call->answer);
	g_free(call->error);
	g_string_free(call->received, TRUE);
	g_string_free(call->text, TRUE);
	g_free(call);
}

static double ms_since(gint64 begin_us)
{
	return (double)(g_get_monotonic_time() - begin_us) / 1000.0;
}

static void note_token(struct call *call)
{
	struct load_stats *stats = &call->driver->stats;

	stats->tokens++;
	if (call->has_first)
		load_series_add(&stats->gap[call->kind],
				ms_since(call->last_us));
	else
		load_series_add(&stats->first[call->kind],
				ms_since(call->begin_us));
	call->has_first = true;
	call->last_us = g_get_monotonic_time();
}

static void parse_chunk(struct call *call, const char *data)
{
	json_t *json = json_loads(data, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const char *content = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));

	if (json_object_get(json, "error") && !call->error)
		call->error = g_strdup(data);
	if (json_is_string(json_object_get(choice, "finish_reason")))
		call->has_end = true;
	if (content && *content) {
		g_string_append(call->text, content);
		note_token(call);
	}
	json_decref(json);
}

/* Parses the complete lines received so far. */
static void on_stream_data(const char *bytes, size_t len, void *data)
{
	struct call *call = data;
	char *line;
	char *end;

	g_string_append_len(call->received, bytes, (gssize)len);
	for (;;) {
		line = call->received->str + call->parsed;
		end = strchr(line, '\n');
		if (!end)
			return;
		call->parsed = (size_t)(end + 1 - call->received->str);
		*end = '\0';
		if (end > line && end[-1] == '\r')
			end[-1] = '\0';
		if (!strncmp(line, "data: [DONE]", 12))
			call->has_done = true;
		else if (!strncmp(line, "data: ", 6))
			parse_chunk(call, line + 6);
	}
}

/* Counts an error response under its type. */
static enum load_outcome error_outcome(struct call *call, const char *text,
				       size_t len)
{
	struct load_stats *stats = &call->driver->stats;
	json_t *json = json_loadb(text, len, 0, NULL);
	const json_t *error = json_object_get(json, "error");
	const char *type = json_string_value(json_object_get(error, "type"));
	const char *run = json_string_value(json_object_get(error, "run"));
	bool not_run = run && !strcmp(run, "not_run");

	load_stats_error(stats, type ? type : "untyped", run ? run : "none");
	if (not_run)
		load_series_add(&stats->refusal, ms_since(call->begin_us));
	json_decref(json);
	return not_run ? LOAD_REFUSED : LOAD_ERROR;
}

static bool is_expected_text(const struct call *call)
{
	const struct load_config *config = &call->driver->config;
	char *prompt = g_strconcat(config->prompt_prefix, call->prompt,
				   config->prompt_suffix, NULL);
	char *expected = token_text(prompt, (unsigned)config->n_layers, 0,
				    (unsigned)call->max_tokens);
	bool right = !strcmp(expected, call->text->str);

	g_free(prompt);
	g_free(expected);
	return right;
}

static enum load_outcome transport_outcome(const struct fc_result *result,
					   const struct call *call)
{
	if (result->code == CURLE_OPERATION_TIMEDOUT)
		return LOAD_TIMEOUT;
	return call->received->len ? LOAD_INCOMPLETE : LOAD_FAILED;
}

static enum load_outcome model_outcome(struct call *call,
				       const struct fc_result *result)
{
	if (!result->status)
		return transport_outcome(result, call);
	if (result->status != 200)
		return error_outcome(call, call->received->str,
				     call->received->len);
	if (call->error)
		return error_outcome(call, call->error, strlen(call->error));
	if (!call->has_end || !call->has_done)
		return LOAD_INCOMPLETE;
	return is_expected_text(call) ? LOAD_COMPLETE : LOAD_WRONG;
}

/*
 * Whether the response carries this call's body and run 1; a repeated booking
 * must get the same bytes as the first call.
 */
static bool is_expected_booking(const struct call *call, const char *text,
				size_t len)
{
	json_t *json = json_loadb(text, len, 0, NULL);
	const char *body = json_string_value(json_object_get(json, "body"));
	bool right = body && !strcmp(body, call->body) &&
		     json_integer_value(json_object_get(json, "run")) == 1;

	json_decref(json);
	if (right && call->answer)
		right = strlen(call->answer) == len &&
			!memcmp(call->answer, text, len);
	return right;
}

static enum load_outcome booking_outcome(struct call *call,
					 const struct fc_result *result)
{
	if (!result->status) {
		if (result->code == CURLE_OPERATION_TIMEDOUT)
			return LOAD_TIMEOUT;
		return result->len ? LOAD_INCOMPLETE : LOAD_FAILED;
	}
	if (result->status != 200)
		return error_outcome(call, result->body, result->len);
	return is_expected_booking(call, result->body, result->len)
		       ? LOAD_COMPLETE
		       : LOAD_WRONG;
}

static void call_send(struct call *call);

/* Sends the same booking to the next instance. */
static void repeat_booking(const struct call *call,
			   const struct fc_result *result)
{
	struct load_driver *driver = call->driver;
	struct call *again = g_new0(struct call, 1);

	again->driver = driver;
	again->kind = LOAD_REPEAT;
	again->target =
		(call->target + 1) % g_strv_length(driver->config.targets);
	again->token = call->token;
	again->key = g_strdup(call->key);
	again->body = g_strdup(call->body);
	again->answer = g_strndup(result->body, result->len);
	again->received = g_string_new(NULL);
	again->text = g_string_new(NULL);
	call_send(again);
}

static void on_done(const struct fc_result *result, void *data)
{
	struct call *call = data;
	struct load_driver *driver = call->driver;
	struct load_stats *stats = &driver->stats;
	bool is_model = call->kind == LOAD_SHORT || call->kind == LOAD_LONG;
	enum load_outcome outcome = is_model ? model_outcome(call, result)
					     : booking_outcome(call, result);

	stats->outcomes[call->kind][outcome]++;
	if (outcome == LOAD_COMPLETE) {
		load_series_add(&stats->total[call->kind],
				ms_since(call->begin_us));
		if (!is_model)
			load_series_add(&stats->first[call->kind],
					ms_since(call->begin_us));
	}
	if (outcome == LOAD_COMPLETE && call->kind == LOAD_BOOKING &&
	    g_rand_double(driver->rand) < driver->config.repeat_share)
		repeat_booking(call, result);
	call_free(call);
	driver->open--;
}

static void call_send(struct call *call)
{
	struct load_driver *driver = call->driver;
	const struct load_config *config = &driver->config;
	bool is_model = call->kind == LOAD_SHORT || call->kind == LOAD_LONG;
	char *url = g_strdup_printf(
		"http://%s%s%s", config->targets[call->target],
		is_model ? "/v1/chat/completions" : "/v1/services/",
		is_model ? "" : config->service);
	char *token = g_strconcat("Authorization: Bearer ",
				  config->tokens[call->token], NULL);
	char *key = call->key
			    ? g_strconcat("Idempotency-Key: ", call->key, NULL)
			    : NULL;
	const char *const headers[] = {"Content-Type: application/json", token,
				       key, NULL};
	const struct fc_options options = {
		.method = "POST",
		.url = url,
		.body = call->body,
		.body_len = strlen(call->body),
		.headers = headers,
		.timeout_ms = config->timeout_ms,
		.on_data = is_model ? on_stream_data : NULL,
		.on_done = on_done,
		.data = call,
	};

	call->begin_us = g_get_monotonic_time();
	driver->stats.sent[call->kind]++;
	driver->open++;
	fc_send(driver->client, &options);
	g_free(url);
	g_free(token);
	g_free(key);
}

static char *model_body(const struct call *call)
{
	json_t *json = json_pack("{s:s,s:b,s:i,s:[{s:s,s:s}]}", "model",
				 call->driver->config.model, "stream", 1,
				 "max_tokens", call->max_tokens, "messages",
				 "role", "user", "content", call->prompt);
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(json);
	return copy;
}

void load_call_start(struct load_driver *driver, enum load_kind kind)
{
	const struct load_config *config = &driver->config;
	struct call *call = g_new0(struct call, 1);
	guint32 nonce = g_rand_int(driver->rand);

	call->driver = driver;
	call->kind = kind;
	call->target = (unsigned)g_rand_int_range(
		driver->rand, 0, (gint32)g_strv_length(config->targets));
	call->token = (unsigned)g_rand_int_range(
		driver->rand, 0, (gint32)g_strv_length(config->tokens));
	call->received = g_string_new(NULL);
	call->text = g_string_new(NULL);
	if (kind == LOAD_BOOKING) {
		call->key = load_uuid7(driver->rand);
		call->body = g_strdup_printf("{\"pitch\":%d,\"nonce\":%u}",
					     driver->started, nonce);
	} else {
		call->max_tokens = kind == LOAD_LONG ? config->long_tokens
						     : config->short_tokens;
		call->prompt = g_strdup_printf("Plan for pitch %d, note %08x",
					       driver->started, nonce);
		call->body = model_body(call);
	}
	call_send(call);
}
