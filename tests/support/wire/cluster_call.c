#include "cluster.h"

#include "support/sse.h"
#include "support/token_text.h"

#include <check.h>
#include <string.h>

#define CALL_TIMEOUT_MS 45000

struct sup_request *clu_send_model(struct clu_cluster *cluster, unsigned entry,
				   const char *prompt, unsigned n_tokens)
{
	json_t *json =
		json_pack("{s:s,s:b,s:i,s:[{s:s,s:s}]}", "model", CLU_MODEL,
			  "stream", 1, "max_tokens", (int)n_tokens, "messages",
			  "role", "user", "content", prompt);
	char *body = json_dumps(json, 0);
	const struct sup_query query = {
		.address = cluster->entries[entry].caller,
		.path = "/v1/chat/completions",
		.header = "Authorization: Bearer token-a",
		.header2 = "Content-Type: application/json",
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct sup_request *request = sup_send(&query);

	free(body);
	json_decref(json);
	return request;
}

char *clu_stream_text(const char *body, bool *complete)
{
	GPtrArray *events = sup_events(body);
	GString *text = g_string_new(NULL);
	unsigned i;

	*complete = false;
	for (i = 0; i < events->len; i++) {
		const struct sup_event *event = events->pdata[i];
		const json_t *choice = json_array_get(
			json_object_get(event->json, "choices"), 0);
		const char *part = json_string_value(json_object_get(
			json_object_get(choice, "delta"), "content"));

		if (part)
			g_string_append(text, part);
		*complete = !strcmp(event->data, "[DONE]");
	}
	g_ptr_array_unref(events);
	return g_string_free(text, FALSE);
}

void clu_check_model(struct sup_request *request, const char *prompt,
		     unsigned n_tokens)
{
	char *whole = g_strdup_printf("user: %s\nassistant: ", prompt);
	char *expected = token_text(whole, CLU_N_LAYERS, 0, n_tokens);
	struct sup_answer answer;
	bool complete;
	char *text;

	sup_finish(request, &answer);
	ck_assert_msg(answer.status == 200 && answer.complete,
		      "status %d, complete %d, timeout %d: %.500s",
		      answer.status, answer.complete, answer.timed_out,
		      answer.body->str);
	text = clu_stream_text(answer.body->str, &complete);
	ck_assert_msg(complete, "stream did not end with [DONE]: %.500s",
		      answer.body->str);
	ck_assert_str_eq(text, expected);
	sup_answer_clear(&answer);
	g_free(text);
	g_free(expected);
	g_free(whole);
}

void clu_await_tokens(struct sup_request *request, unsigned n)
{
	bool found = sup_wait_body(request, "\"content\":", n, CLU_BOUND_MS);
	char *body = sup_body(request);

	ck_assert_msg(found, "received fewer than %u tokens: %s", n, body);
	g_free(body);
}

struct sup_request *clu_send_booking(struct clu_cluster *cluster,
				     unsigned entry, const char *org,
				     const char *key, const char *body)
{
	char *token = g_strdup_printf("Authorization: Bearer token-%s", org);
	char *header = g_strdup_printf("Idempotency-Key: %s", key);
	const struct sup_query query = {
		.address = cluster->entries[entry].caller,
		.path = "/v1/services/booking/book",
		.header = token,
		.header2 = header,
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct sup_request *request = sup_send(&query);

	g_free(header);
	g_free(token);
	return request;
}

void clu_book(struct clu_cluster *cluster, unsigned entry, const char *key,
	      const char *body, struct sup_answer *answer)
{
	sup_finish(clu_send_booking(cluster, entry, "a", key, body), answer);
}

char *clu_new_key(void)
{
	static int n;

	return g_strdup_printf("%" G_GINT64_FORMAT "-k%d",
			       g_get_real_time() / 1000,
			       g_atomic_int_add(&n, 1));
}

char *clu_answer_run(const struct sup_answer *answer)
{
	json_t *json = sup_answer_json(answer);
	const char *run = json_string_value(
		json_object_get(json_object_get(json, "error"), "run"));
	char *copy = g_strdup(run ? run : "");

	json_decref(json);
	return copy;
}

/* Records */

unsigned clu_count_keys(struct clu_cluster *cluster, unsigned *most_runs)
{
	json_t *json = sup_get_json(cluster->service.address, "/v1/records");
	const json_t *keys = json_object_get(json, "keys");
	unsigned most = 0;
	size_t n = json_array_size(keys);
	size_t i;

	ck_assert_ptr_nonnull(json);
	for (i = 0; i < n; i++) {
		json_int_t runs = sup_json_int(json_array_get(keys, i), "runs");

		most = MAX(most, (unsigned)runs);
	}
	json_decref(json);
	if (most_runs)
		*most_runs = most;
	return (unsigned)n;
}

struct keys_wait {
	struct clu_cluster *cluster;
	unsigned n;
};

static bool has_keys(void *data)
{
	struct keys_wait *wait = data;

	return clu_count_keys(wait->cluster, NULL) >= wait->n;
}

void clu_await_keys(struct clu_cluster *cluster, unsigned n)
{
	struct keys_wait wait = {cluster, n};

	ck_assert_msg(sup_wait(has_keys, &wait, CLU_BOUND_MS),
		      "the service received fewer than %u keys", n);
}

/* Callers see "entry.incarnation.number"; engines record it with "/". */
char *clu_request_id(struct sup_request *request)
{
	static const char prefix[] = "\"id\":\"chatcmpl-";
	char *body = sup_body(request);
	const char *at = strstr(body, prefix);
	char *id;

	ck_assert_ptr_nonnull(at);
	at += strlen(prefix);
	id = g_strdelimit(g_strndup(at, strcspn(at, "\"")), ".", '/');
	g_free(body);
	return id;
}

static unsigned count_steps(struct clu_cluster *cluster, unsigned engine,
			    const char *request, json_int_t position,
			    const char *kind)
{
	char *path = g_strdup_printf("/v1/records?request=%s", request);
	json_t *json = sup_get_json(cluster->engines[engine].address, path);
	const json_t *steps = json_object_get(json, "steps");
	unsigned n = 0;
	size_t i;

	ck_assert_ptr_nonnull(json);
	for (i = 0; i < json_array_size(steps); i++) {
		const json_t *step = json_array_get(steps, i);

		if (position >= 0 && sup_json_int(step, "position") != position)
			continue;
		n += !strcmp(json_string_value(json_object_get(step, "kind")),
			     kind);
	}
	json_decref(json);
	g_free(path);
	return n;
}

unsigned clu_count_steps(struct clu_cluster *cluster, unsigned engine,
			 const char *request, unsigned position,
			 const char *kind)
{
	return count_steps(cluster, engine, request, position, kind);
}

unsigned clu_count_all_steps(struct clu_cluster *cluster, unsigned engine,
			     const char *request, const char *kind)
{
	return count_steps(cluster, engine, request, -1, kind);
}
