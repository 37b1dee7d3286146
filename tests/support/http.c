#include "http.h"

#include "child.h"

#include <curl/curl.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 20000

struct sup_request {
	GThread *thread;
	GMutex lock;
	GCond changed;
	char *method;
	char *url;
	char *header;
	char *header2;
	void *body;
	size_t len;
	bool has_body;
	long timeout_ms;
	bool http2;
	struct sup_answer answer;
	bool done;
	bool abort;
};

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct sup_request *request = data;
	bool abort;

	g_mutex_lock(&request->lock);
	g_string_append_len(request->answer.body, bytes, (gssize)(size * n));
	abort = request->abort;
	g_cond_broadcast(&request->changed);
	g_mutex_unlock(&request->lock);
	return abort ? 0 : size * n;
}

static size_t on_header(char *bytes, size_t size, size_t n, void *data)
{
	struct sup_request *request = data;

	g_mutex_lock(&request->lock);
	g_string_append_len(request->answer.headers, bytes, (gssize)(size * n));
	g_mutex_unlock(&request->lock);
	return size * n;
}

/* Lets sup_abort() end a transfer on which no bytes arrive. */
static int on_progress(void *data, curl_off_t dltotal, curl_off_t dlnow,
		       curl_off_t ultotal, curl_off_t ulnow)
{
	struct sup_request *request = data;
	bool abort;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	g_mutex_lock(&request->lock);
	abort = request->abort;
	g_mutex_unlock(&request->lock);
	return abort;
}

static struct curl_slist *set_headers(CURL *easy,
				      const struct sup_request *request)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	if (request->header)
		list = curl_slist_append(list, request->header);
	if (request->header2)
		list = curl_slist_append(list, request->header2);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	return list;
}

static void set_options(CURL *easy, struct sup_request *request)
{
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, request);
	if (request->http2)
		curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
				 (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE);
	if (request->has_body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	}
}

static void perform(struct sup_request *request)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = set_headers(easy, request);
	long status = 0;
	CURLcode code;

	set_options(easy, request);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_mutex_lock(&request->lock);
	request->answer.status = (int)status;
	request->answer.complete = code == CURLE_OK;
	request->answer.result = curl_easy_strerror(code);
	request->answer.refused = code == CURLE_COULDNT_CONNECT;
	request->answer.timed_out = code == CURLE_OPERATION_TIMEDOUT;
	request->done = true;
	g_cond_broadcast(&request->changed);
	g_mutex_unlock(&request->lock);
}

static gpointer run_thread(gpointer data)
{
	perform(data);
	return NULL;
}

static struct sup_request *request_new(const struct sup_query *query)
{
	struct sup_request *request = g_new0(struct sup_request, 1);
	const char *method = query->method;

	if (!method)
		method = query->body ? "POST" : "GET";
	request->method = g_strdup(method);
	request->url =
		g_strdup_printf("http://%s%s", query->address, query->path);
	request->header = g_strdup(query->header);
	request->header2 = g_strdup(query->header2);
	request->has_body = query->body != NULL;
	if (query->body)
		request->len = query->len ? query->len : strlen(query->body);
	request->body = g_malloc(request->len + 1);
	if (request->len)
		memcpy(request->body, query->body, request->len);
	request->timeout_ms =
		query->timeout_ms ? query->timeout_ms : DEFAULT_TIMEOUT_MS;
	request->http2 = query->http2;
	request->answer.body = g_string_new(NULL);
	request->answer.headers = g_string_new(NULL);
	g_mutex_init(&request->lock);
	g_cond_init(&request->changed);
	return request;
}

static void request_free(struct sup_request *request)
{
	g_free(request->method);
	g_free(request->url);
	g_free(request->header);
	g_free(request->header2);
	g_free(request->body);
	sup_answer_clear(&request->answer);
	g_mutex_clear(&request->lock);
	g_cond_clear(&request->changed);
	g_free(request);
}

void sup_http(const struct sup_query *query, struct sup_answer *answer)
{
	struct sup_request *request = request_new(query);

	perform(request);
	*answer = request->answer;
	memset(&request->answer, 0, sizeof(request->answer));
	request_free(request);
}

struct sup_request *sup_send(const struct sup_query *query)
{
	struct sup_request *request = request_new(query);

	request->thread = g_thread_new("request", run_thread, request);
	return request;
}

static unsigned count_text(const GString *body, const char *text)
{
	const char *at = body->str;
	unsigned n = 0;

	while ((at = strstr(at, text))) {
		n++;
		at += strlen(text);
	}
	return n;
}

bool sup_wait_body(struct sup_request *request, const char *text, unsigned n,
		   unsigned bound_ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)bound_ms * 1000;
	bool found;

	g_mutex_lock(&request->lock);
	while (!(found = count_text(request->answer.body, text) >= n) &&
	       !request->done)
		if (!g_cond_wait_until(&request->changed, &request->lock, end))
			break;
	g_mutex_unlock(&request->lock);
	return found;
}

char *sup_body(struct sup_request *request)
{
	char *copy;

	g_mutex_lock(&request->lock);
	copy = g_strdup(request->answer.body->str);
	g_mutex_unlock(&request->lock);
	return copy;
}

bool sup_is_done(struct sup_request *request)
{
	bool done;

	g_mutex_lock(&request->lock);
	done = request->done;
	g_mutex_unlock(&request->lock);
	return done;
}

void sup_finish(struct sup_request *request, struct sup_answer *answer)
{
	g_thread_join(request->thread);
	if (answer) {
		*answer = request->answer;
		memset(&request->answer, 0, sizeof(request->answer));
	}
	request_free(request);
}

void sup_abort(struct sup_request *request)
{
	g_mutex_lock(&request->lock);
	request->abort = true;
	g_mutex_unlock(&request->lock);
	sup_finish(request, NULL);
}

void sup_answer_clear(struct sup_answer *answer)
{
	if (answer->body)
		g_string_free(answer->body, TRUE);
	if (answer->headers)
		g_string_free(answer->headers, TRUE);
	memset(answer, 0, sizeof(*answer));
}

char *sup_answer_header(const struct sup_answer *answer, const char *name)
{
	char **lines = g_strsplit(answer->headers->str, "\r\n", -1);
	size_t len = strlen(name);
	char *value = NULL;
	int i;

	for (i = 0; lines[i] && !value; i++)
		if (!g_ascii_strncasecmp(lines[i], name, len) &&
		    lines[i][len] == ':')
			value = g_strstrip(g_strdup(lines[i] + len + 1));
	g_strfreev(lines);
	return value;
}

json_t *sup_answer_json(const struct sup_answer *answer)
{
	return json_loadb(answer->body->str, answer->body->len, 0, NULL);
}

char *sup_answer_error(const struct sup_answer *answer)
{
	json_t *json = sup_answer_json(answer);
	const char *type = json_string_value(
		json_object_get(json_object_get(json, "error"), "type"));
	char *copy = g_strdup(type ? type : "");

	json_decref(json);
	return copy;
}

json_t *sup_get_json(const char *address, const char *path)
{
	const struct sup_query query = {.address = address, .path = path};
	struct sup_answer answer;
	json_t *json = NULL;

	sup_http(&query, &answer);
	if (answer.complete && answer.status == 200)
		json = sup_answer_json(&answer);
	sup_answer_clear(&answer);
	return json;
}

int sup_post(const char *address, const char *path, const char *json)
{
	const struct sup_query query = {
		.address = address, .path = path, .body = json};
	struct sup_answer answer;
	int status;

	sup_http(&query, &answer);
	status = answer.complete ? answer.status : 0;
	sup_answer_clear(&answer);
	return status;
}

json_int_t sup_json_int(const json_t *json, const char *path)
{
	char **names = g_strsplit(path, ".", -1);
	int i;

	for (i = 0; names[i] && json; i++)
		json = json_object_get(json, names[i]);
	g_strfreev(names);
	return json_is_integer(json) ? json_integer_value(json) : -1;
}

bool sup_set_fault(const char *address, const char *json)
{
	return sup_post(address, "/admin/fault", json) == 200;
}

bool sup_clear_faults(const char *address)
{
	const struct sup_query query = {
		.method = "DELETE", .address = address, .path = "/admin/fault"};
	struct sup_answer answer;
	bool done;

	sup_http(&query, &answer);
	done = answer.status == 200;
	sup_answer_clear(&answer);
	return done;
}

json_int_t sup_count_calls(const char *address, const char *route)
{
	json_t *json = sup_get_json(address, "/admin/calls");
	json_int_t n = json_integer_value(json_object_get(json, route));

	json_decref(json);
	return n;
}

struct calls_wait {
	const char *address;
	const char *route;
	json_int_t n;
};

static bool calls_reached(void *data)
{
	const struct calls_wait *wait = data;

	return sup_count_calls(wait->address, wait->route) >= wait->n;
}

bool sup_wait_calls(const char *address, const char *route, json_int_t n,
		    unsigned bound_ms)
{
	struct calls_wait wait = {address, route, n};

	return sup_wait(calls_reached, &wait, bound_ms);
}
