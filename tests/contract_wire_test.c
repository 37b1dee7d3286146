/*
 * Contract tests of the object API, the instance list, plain services and the
 * weight store, and of the faults that all fakes offer. They run against the
 * fakes, or against the implementation at the address in WF_CONTRACT_STORE,
 * WF_CONTRACT_LIST, WF_CONTRACT_ENGINE, WF_CONTRACT_SERVICE or
 * WF_CONTRACT_WEIGHTS. The cases that set a fake up by its options and admin
 * calls then do not run, nor those with faults if it has no /admin/fault.
 */

#include "support/child.h"
#include "support/http.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BOUND_MS 10000

/* Interfaces */

struct interface {
	const char *fake;
	const char *env;
	/* a request that is answered with 200 */
	const char *method;
	const char *path;
	const char *header;
	const char *body;
	const char *route; /* in /admin/calls */
};

static const struct interface interfaces[] = {
	{"store", "WF_CONTRACT_STORE", "GET", "/v1/objects/probe?prefix=a",
	 NULL, NULL, "GET /v1/objects/"},
	{"list", "WF_CONTRACT_LIST", "GET", "/v1/instances?after=0", NULL, NULL,
	 "GET /v1/instances"},
	{"engine", "WF_CONTRACT_ENGINE", "GET", "/v1/load", NULL, NULL,
	 "GET /v1/load"},
	{"service", "WF_CONTRACT_SERVICE", "POST", "/call/probe",
	 "Idempotency-Key: probe", "{}", "POST /call/"},
	{"weights", "WF_CONTRACT_WEIGHTS", "GET", "/v1/rate", NULL, NULL,
	 "GET /v1/rate"},
};

static struct sup_child child;
static char address[64];
static unsigned test_id;

static const struct interface *find_interface(const char *fake)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(interfaces); i++)
		if (!strcmp(interfaces[i].fake, fake))
			return &interfaces[i];
	return NULL;
}

static void start(const char *fake, const char *const *args)
{
	const char *given = getenv(find_interface(fake)->env);

	test_id = g_random_int();
	if (given) {
		g_strlcpy(address, given, sizeof(address));
		address[strcspn(address, ",")] = '\0';
		return;
	}
	ck_assert(sup_start_fake(&child, fake, args));
	g_strlcpy(address, child.address, sizeof(address));
}

static void stop(void)
{
	/* A leak in a fake under AddressSanitizer changes its exit code. */
	ck_assert_int_eq(sup_stop(&child), 0);
}

static void send_probe(const struct interface *interface, long timeout_ms,
		       struct sup_answer *answer)
{
	const struct sup_query query = {
		.method = interface->method,
		.address = address,
		.path = interface->path,
		.header = interface->header,
		.body = interface->body,
		.timeout_ms = timeout_ms,
	};

	sup_http(&query, answer);
}

/* Faults */

struct fault_case {
	const char *name;
	const char *fault; /* further members of the fault */
	int status;
	bool complete;
	bool timed_out;
	int at_least_ms;
};

static const struct fault_case fault_cases[] = {
	{"refused", "", 0, false, false, 0},
	{"slow", ",\"ms\":120", 200, true, false, 120},
	{"silent", "", 0, false, true, 0},
	{"cut", "", 200, false, false, 0},
	{"half_open", "", 200, false, true, 0},
	{"wrong_length", "", 200, false, false, 0},
	{"late", ",\"ms\":120", 200, true, false, 120},
	{"twice", "", 200, true, false, 0},
	{"lost_answer", "", 0, false, false, 0},
	{"outage", "", 503, true, false, 0},
};

#define N_FAULT_CASES ((int)G_N_ELEMENTS(fault_cases))
#define N_INTERFACES ((int)G_N_ELEMENTS(interfaces))

static void set_fault(const char *path, const char *name, const char *more)
{
	char *json = g_strdup_printf("{\"path\":\"%s\",\"fault\":\"%s\"%s}",
				     path, name, more);

	ck_assert(sup_set_fault(address, json));
	g_free(json);
}

/* Guards against a fault that differs from its definition. */
START_TEST(test_fault)
{
	const struct interface *interface = &interfaces[_i / N_FAULT_CASES];
	const struct fault_case *fault = &fault_cases[_i % N_FAULT_CASES];
	struct sup_answer answer;
	char *path = g_strndup(interface->path, strcspn(interface->path, "?"));
	gint64 begin;

	start(interface->fake, NULL);
	set_fault(path, fault->name, fault->fault);
	begin = g_get_monotonic_time();
	send_probe(interface, fault->timed_out ? 250 : 0, &answer);
	ck_assert_int_eq(answer.status, fault->status);
	ck_assert_int_eq(answer.complete, fault->complete);
	ck_assert_int_eq(answer.timed_out, fault->timed_out);
	ck_assert_int_ge((g_get_monotonic_time() - begin) / 1000,
			 fault->at_least_ms);
	sup_answer_clear(&answer);
	ck_assert(sup_clear_faults(address));
	send_probe(interface, 0, &answer);
	ck_assert_int_eq(answer.status, 200);
	ck_assert(answer.complete);
	sup_answer_clear(&answer);
	g_free(path);
	stop();
}
END_TEST

/* Guards against an outage that ends by itself or a count that is ignored. */
START_TEST(test_fault_count)
{
	const struct interface *interface = &interfaces[_i];
	const int outage[] = {503, 503, 503};
	const int counted[] = {200, 503, 503, 200};
	struct sup_answer answer;
	size_t i;

	start(interface->fake, NULL);
	set_fault("/", "outage", "");
	for (i = 0; i < G_N_ELEMENTS(outage); i++) {
		send_probe(interface, 0, &answer);
		ck_assert_int_eq(answer.status, outage[i]);
		sup_answer_clear(&answer);
	}
	ck_assert(sup_clear_faults(address));
	set_fault("/", "outage", ",\"count\":2,\"skip\":1");
	for (i = 0; i < G_N_ELEMENTS(counted); i++) {
		send_probe(interface, 0, &answer);
		ck_assert_int_eq(answer.status, counted[i]);
		sup_answer_clear(&answer);
	}
	stop();
}
END_TEST

/* Guards against answers that keep their order in spite of the fault. */
START_TEST(test_fault_out_of_order)
{
	const struct interface *interface = &interfaces[_i];
	const struct sup_query query = {
		.method = interface->method,
		.address = address,
		.path = interface->path,
		.header = interface->header,
		.body = interface->body,
	};
	struct sup_request *first;
	struct sup_answer answer;
	json_int_t n;

	start(interface->fake, NULL);
	n = sup_count_calls(address, interface->route);
	set_fault("/", "out_of_order", "");
	first = sup_send(&query);
	ck_assert(sup_wait_calls(address, interface->route, n + 1, BOUND_MS));
	ck_assert(!sup_is_done(first));
	sup_http(&query, &answer);
	ck_assert_int_eq(answer.status, 200);
	sup_answer_clear(&answer);
	sup_finish(first, &answer);
	ck_assert_int_eq(answer.status, 200);
	ck_assert(answer.complete);
	sup_answer_clear(&answer);
	stop();
}
END_TEST

static int connect_raw(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char **parts = g_strsplit(address, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, parts[0], &sin.sin_addr);
	sin.sin_port = htons((uint16_t)atoi(parts[1]));
	g_strfreev(parts);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

/* Reads until the text occurred n times; false on time-out or close. */
static bool read_occurrences(int fd, const char *text, unsigned n)
{
	struct pollfd waiting = {.fd = fd, .events = POLLIN};
	GString *all = g_string_new(NULL);
	unsigned found = 0;

	while (found < n && poll(&waiting, 1, BOUND_MS) > 0) {
		char part[4096];
		const char *at;
		ssize_t got = read(fd, part, sizeof(part));

		if (got <= 0)
			break;
		g_string_append_len(all, part, got);
		found = 0;
		for (at = all->str; (at = strstr(at, text)); at++)
			found++;
	}
	g_string_free(all, TRUE);
	return found >= n;
}

/* Guards against a repeated answer that is not sent on the connection. */
START_TEST(test_fault_twice_on_wire)
{
	static const char request[] =
		"GET /v1/instances HTTP/1.1\r\nHost: a\r\n\r\n";
	int fd;

	start("list", NULL);
	set_fault("/v1/instances", "twice", "");
	fd = connect_raw();
	ck_assert_int_eq(write(fd, request, strlen(request)),
			 (ssize_t)strlen(request));
	ck_assert(read_occurrences(fd, "HTTP/1.1 200", 2));
	close(fd);
	stop();
}
END_TEST

/* Guards against malformed faults that are accepted and ignored. */
START_TEST(test_fault_refusals)
{
	static const char *const bodies[] = {
		"{\"fault\":\"unheard\"}",
		"{}",
		"{\"fault\":\"slow\",\"ms\":-1}",
		"{\"fault\":\"slow\",\"count\":-1}",
		"[1]",
		"{",
	};
	size_t i;

	start("list", NULL);
	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		ck_assert_int_eq(sup_post(address, "/admin/fault", bodies[i]),
				 400);
	stop();
}
END_TEST

/* Object API */

static json_int_t last_version;

/* Requests the object "t<test_id>/NAME"; returns the status or 0. */
static int object_call(const char *method, const char *name, const char *header,
		       const char *value, size_t len)
{
	char *path = g_strdup_printf("/v1/objects/t%u/%s", test_id, name);
	const struct sup_query query = {.method = method,
					.address = address,
					.path = path,
					.header = header,
					.body = value,
					.len = len};
	struct sup_answer answer;
	json_t *json;
	int status;

	sup_http(&query, &answer);
	json = sup_answer_json(&answer);
	if (sup_json_int(json, "version") > 0)
		last_version = sup_json_int(json, "version");
	json_decref(json);
	status = answer.complete ? answer.status : 0;
	sup_answer_clear(&answer);
	g_free(path);
	return status;
}

static int put_new(const char *name, const char *value)
{
	return object_call("PUT", name, "If-None-Match: *", value, 0);
}

static int put_if_match(const char *name, json_int_t version, const char *value)
{
	char *header = g_strdup_printf("If-Match: \"%lld\"", version);
	int status = object_call("PUT", name, header, value, 0);

	g_free(header);
	return status;
}

/* The object's value, or NULL; free with g_free(). */
static char *get_value(const char *name, json_int_t *version)
{
	char *path = g_strdup_printf("/v1/objects/t%u/%s", test_id, name);
	const struct sup_query query = {.address = address, .path = path};
	struct sup_answer answer;
	char *value = NULL;
	char *etag;

	sup_http(&query, &answer);
	etag = sup_answer_header(&answer, "etag");
	if (answer.status == 200 && answer.complete)
		value = g_strdup(answer.body->str);
	*version = etag && *etag ? g_ascii_strtoll(etag + 1, NULL, 10) : 0;
	g_free(etag);
	sup_answer_clear(&answer);
	g_free(path);
	return value;
}

enum condition {
	NONE,
	ABSENT,
	PRESENT,
	OUTDATED,
	MALFORMED,
};

struct write_case {
	const char *method;
	bool exists;
	enum condition condition;
	int status;
	bool etag; /* the answer has the current or new version */
};

static const struct write_case write_cases[] = {
	{"PUT", false, NONE, 428, false},
	{"PUT", false, ABSENT, 200, true},
	{"PUT", false, PRESENT, 412, false},
	{"PUT", true, NONE, 428, false},
	{"PUT", true, ABSENT, 412, true},
	{"PUT", true, PRESENT, 200, true},
	{"PUT", true, OUTDATED, 412, true},
	{"PUT", true, MALFORMED, 412, true},
	{"DELETE", false, PRESENT, 404, false},
	{"DELETE", true, NONE, 428, false},
	{"DELETE", true, PRESENT, 200, false},
	{"DELETE", true, OUTDATED, 412, true},
};

static char *condition_header(enum condition condition)
{
	switch (condition) {
	case ABSENT:
		return g_strdup("If-None-Match: *");
	case PRESENT:
		return g_strdup_printf("If-Match: \"%lld\"", last_version);
	case OUTDATED:
		return g_strdup_printf("If-Match: \"%lld\"", last_version - 1);
	case MALFORMED:
		return g_strdup("If-Match: newest");
	default:
		return NULL;
	}
}

/* Guards against a write that takes effect though its condition fails. */
START_TEST(test_store_condition)
{
	const struct write_case *write = &write_cases[_i];
	char *path;
	char *header;
	char *value;
	char *etag;
	struct sup_query query = {.method = write->method};
	struct sup_answer answer;
	json_int_t version;

	start("store", NULL);
	path = g_strdup_printf("/v1/objects/t%u/a", test_id);
	last_version = 1;
	if (write->exists) {
		ck_assert_int_eq(put_new("a", "old"), 200);
		ck_assert_int_eq(put_if_match("a", last_version, "older"), 200);
	}
	header = condition_header(write->condition);
	query.address = address;
	query.path = path;
	query.header = header;
	query.body = strcmp(write->method, "PUT") ? NULL : "new";
	sup_http(&query, &answer);
	ck_assert_int_eq(answer.status, write->status);
	etag = sup_answer_header(&answer, "etag");
	ck_assert_int_eq(etag != NULL, write->etag);
	value = get_value("a", &version);
	if (write->status != 200)
		ck_assert_str_eq(value ? value : "none",
				 write->exists ? "older" : "none");
	else
		ck_assert_str_eq(value ? value : "none",
				 query.body ? "new" : "none");
	g_free(etag);
	g_free(value);
	g_free(header);
	g_free(path);
	sup_answer_clear(&answer);
	stop();
}
END_TEST

/* Guards against versions that repeat or decrease, also across objects. */
START_TEST(test_store_versions_increase)
{
	json_int_t before;
	int i;

	start("store", NULL);
	ck_assert_int_eq(put_new("a", "1"), 200);
	for (i = 0; i < 5; i++) {
		char name[8];

		before = last_version;
		g_snprintf(name, sizeof(name), "n%d", i);
		ck_assert_int_eq(put_new(name, "1"), 200);
		ck_assert_int_gt(last_version, before);
	}
	before = last_version;
	ck_assert_int_eq(object_call("DELETE", "n4", NULL, NULL, 0), 428);
	ck_assert_int_eq(put_if_match("n4", before, "2"), 200);
	ck_assert_int_gt(last_version, before);
	stop();
}
END_TEST

struct size_case {
	size_t len;
	int status;
};

static const struct size_case size_cases[] = {
	{1, 200}, {1048575, 200}, {1048576, 200}, {1048577, 413}};

/* Guards against a value limit that is off by one. */
START_TEST(test_store_value_limit)
{
	const struct size_case *size = &size_cases[_i];
	char *value = g_malloc0(size->len);

	start("store", NULL);
	memset(value, 'v', size->len);
	ck_assert_int_eq(
		object_call("PUT", "big", "If-None-Match: *", value, size->len),
		size->status);
	g_free(value);
	stop();
}
END_TEST

static const char *const bad_paths[] = {
	"/v1/objects/kind/", "/v1/objects/kind/a%20b", "/v1/objects/k/a/b",
	"/v1/objects//name", "/v1/objects/kind/a*"};

/* Guards against names outside the permitted characters. */
START_TEST(test_store_bad_name)
{
	struct sup_query query = {.method = "PUT",
				  .path = bad_paths[_i],
				  .header = "If-None-Match: *",
				  .body = "v"};
	struct sup_answer answer;
	char *type;

	start("store", NULL);
	query.address = address;
	sup_http(&query, &answer);
	ck_assert_int_eq(answer.status, 400);
	type = sup_answer_error(&answer);
	ck_assert_str_eq(type, "bad_request");
	g_free(type);
	sup_answer_clear(&answer);
	stop();
}
END_TEST

static json_t *list_objects(const char *prefix)
{
	char *path =
		g_strdup_printf("/v1/objects/t%u?prefix=%s", test_id, prefix);
	json_t *json = sup_get_json(address, path);

	g_free(path);
	return json;
}

struct list_case {
	const char *prefix;
	unsigned n;
};

static const struct list_case list_cases[] = {
	{"", 3}, {"a", 2}, {"a.1", 1}, {"c", 0}};

/* Guards against lists that show other prefixes or deleted objects. */
START_TEST(test_store_list)
{
	const struct list_case *list = &list_cases[_i];
	char *header;
	json_t *json;

	start("store", NULL);
	ck_assert_int_eq(put_new("a.1", "1"), 200);
	ck_assert_int_eq(put_new("a.2", "1"), 200);
	ck_assert_int_eq(put_new("b", "1"), 200);
	ck_assert_int_eq(put_new("a.gone", "1"), 200);
	header = condition_header(PRESENT);
	ck_assert_int_eq(object_call("DELETE", "a.gone", header, NULL, 0), 200);
	g_free(header);
	json = list_objects(list->prefix);
	ck_assert_uint_eq(json_array_size(json_object_get(json, "objects")),
			  list->n);
	ck_assert_int_ge(sup_json_int(json, "revision"), last_version);
	json_decref(json);
	stop();
}
END_TEST

static struct sup_request *send_watch(const char *prefix, json_int_t after,
				      int timeout_ms)
{
	char *path = g_strdup_printf(
		"/v1/watch/t%u?prefix=%s&after=%lld&timeout_ms=%d", test_id,
		prefix, after, timeout_ms);
	const struct sup_query query = {.address = address, .path = path};
	struct sup_request *request = sup_send(&query);

	g_free(path);
	return request;
}

static json_t *finish_watch(struct sup_request *watch)
{
	struct sup_answer answer;
	json_t *json;

	sup_finish(watch, &answer);
	ck_assert_int_eq(answer.status, 200);
	json = sup_answer_json(&answer);
	sup_answer_clear(&answer);
	return json;
}

static const char *object_name(const json_t *json, size_t i)
{
	return json_string_value(json_object_get(
		json_array_get(json_object_get(json, "objects"), i), "name"));
}

struct counter_wait {
	const char *name;
	json_int_t value;
};

static bool counter_reached(void *data)
{
	const struct counter_wait *wait = data;
	json_t *json = sup_get_json(address, "/admin/counters");
	bool reached = sup_json_int(json, wait->name) == wait->value;

	json_decref(json);
	return reached;
}

static bool wait_counter(const char *name, json_int_t value)
{
	struct counter_wait wait = {name, value};

	return sup_wait(counter_reached, &wait, BOUND_MS);
}

/* Guards against a watch that misses a change made before it started. */
START_TEST(test_store_watch_past_change)
{
	json_t *json;
	json_int_t after;

	start("store", NULL);
	ck_assert_int_eq(put_new("a", "1"), 200);
	after = last_version;
	ck_assert_int_eq(put_new("ab", "1"), 200);
	json = finish_watch(send_watch("a", after, 20000));
	ck_assert_uint_eq(json_array_size(json_object_get(json, "objects")), 1);
	ck_assert_str_eq(object_name(json, 0), "ab");
	ck_assert_int_ge(sup_json_int(json, "revision"), last_version);
	json_decref(json);
	stop();
}
END_TEST

/* Guards against a watch that ends without an empty list at its timeout. */
START_TEST(test_store_watch_timeout)
{
	json_t *json;

	start("store", NULL);
	ck_assert_int_eq(put_new("a", "1"), 200);
	json = finish_watch(send_watch("a", last_version, 50));
	ck_assert_uint_eq(json_array_size(json_object_get(json, "objects")), 0);
	json_decref(json);
	stop();
}
END_TEST

/* Guards against a waiting watch that a change does not wake. */
START_TEST(test_store_watch_wakes)
{
	struct sup_request *watch;
	json_t *json;
	char *header;

	start("store", NULL);
	ck_assert_int_eq(put_new("a", "1"), 200);
	watch = send_watch("a", last_version, 20000);
	ck_assert(wait_counter("waiting_watches", 1));
	header = condition_header(PRESENT);
	ck_assert_int_eq(put_new("b", "1"), 200);
	ck_assert(!sup_is_done(watch));
	ck_assert_int_eq(object_call("DELETE", "a", header, NULL, 0), 200);
	json = finish_watch(watch);
	ck_assert_str_eq(object_name(json, 0), "a");
	ck_assert(json_is_true(json_object_get(
		json_array_get(json_object_get(json, "objects"), 0),
		"deleted")));
	json_decref(json);
	ck_assert(wait_counter("waiting_watches", 0));
	g_free(header);
	stop();
}
END_TEST

/* Guards against counting watches whose client has gone. */
START_TEST(test_store_watch_client_gone)
{
	struct sup_request *watch;

	start("store", NULL);
	watch = send_watch("a", 1000000, 20000);
	ck_assert(wait_counter("waiting_watches", 1));
	sup_abort(watch);
	ck_assert(wait_counter("waiting_watches", 0));
	stop();
}
END_TEST

struct effect_case {
	const char *fault;
	bool executed;
};

static const struct effect_case effect_cases[] = {
	{"refused", false},	  {"silent", false},	  {"outage", false},
	{"stale_version", false}, {"lost_answer", true},  {"cut", true},
	{"half_open", true},	  {"wrong_length", true}, {"twice", true},
	{"late", true},		  {"slow", true},
};

/* Guards against a fault that wrongly applies or drops the write. */
START_TEST(test_store_fault_effect)
{
	const struct effect_case *effect = &effect_cases[_i];
	char *header;
	char *path;
	char *value;
	json_int_t version;
	struct sup_query query = {
		.method = "PUT", .body = "new", .timeout_ms = 300};
	struct sup_answer answer;

	start("store", NULL);
	ck_assert_int_eq(put_new("a", "older"), 200);
	ck_assert_int_eq(put_if_match("a", last_version, "old"), 200);
	header = condition_header(PRESENT);
	path = g_strdup_printf("/v1/objects/t%u/a", test_id);
	query.address = address;
	query.path = path;
	query.header = header;
	set_fault("/v1/objects", effect->fault, ",\"method\":\"PUT\"");
	sup_http(&query, &answer);
	sup_answer_clear(&answer);
	ck_assert(sup_clear_faults(address));
	value = get_value("a", &version);
	ck_assert_str_eq(value, effect->executed ? "new" : "old");
	g_free(value);
	g_free(header);
	g_free(path);
	stop();
}
END_TEST

/* Guards against a stale read that returns the current version. */
START_TEST(test_store_stale_read)
{
	char *value;
	json_int_t version;
	json_int_t first;

	start("store", NULL);
	ck_assert_int_eq(put_new("a", "one"), 200);
	first = last_version;
	ck_assert_int_eq(put_if_match("a", first, "two"), 200);
	set_fault("/v1/objects", "stale_version", ",\"method\":\"GET\"");
	value = get_value("a", &version);
	ck_assert_str_eq(value, "one");
	ck_assert_int_eq(version, first);
	g_free(value);
	value = get_value("a", &version);
	ck_assert_str_eq(value, "two");
	g_free(value);
	stop();
}
END_TEST

/* Guards against rate-limited writes that are not counted or take effect. */
START_TEST(test_store_rate)
{
	char *path;
	struct sup_query query = {
		.method = "PUT", .header = "If-None-Match: *", .body = "v"};
	struct sup_answer answer;
	char *retry;
	char *value;
	json_int_t version;

	start("store", NULL);
	ck_assert_int_eq(
		sup_post(address, "/admin/rates", "{\"writes\":0.001}"), 200);
	ck_assert_int_eq(put_new("a", "v"), 429);
	path = g_strdup_printf("/v1/objects/t%u/b", test_id);
	query.address = address;
	query.path = path;
	sup_http(&query, &answer);
	ck_assert_int_eq(answer.status, 429);
	retry = sup_answer_header(&answer, "retry-after");
	ck_assert_ptr_nonnull(retry);
	value = get_value("b", &version);
	ck_assert_ptr_null(value);
	ck_assert(wait_counter("rate_limited", 2));
	ck_assert(wait_counter("writes", 0));
	g_free(retry);
	g_free(path);
	sup_answer_clear(&answer);
	stop();
}
END_TEST

/* Instance list */

#define ONE_ENTRY "{\"instances\":[{\"id\":\"engine-7\",\"state\":\"live\"}]}"
#define NO_ENTRY "{\"instances\":[]}"

/* Reads the list after a revision; *n is its length. Returns the status. */
static int read_list(json_int_t after, size_t *n, json_int_t *revision)
{
	char *path = g_strdup_printf("/v1/instances?after=%lld", after);
	const struct sup_query query = {.address = address, .path = path};
	struct sup_answer answer;
	json_t *json;
	int status;

	sup_http(&query, &answer);
	json = sup_answer_json(&answer);
	*n = json_array_size(json_object_get(json, "instances"));
	*revision = sup_json_int(json, "revision");
	json_decref(json);
	status = answer.status;
	sup_answer_clear(&answer);
	g_free(path);
	return status;
}

/* Guards against a list sent again to a client with its revision. */
START_TEST(test_list_revision)
{
	json_int_t first;
	json_int_t second;
	json_int_t none;
	size_t n;

	start("list", NULL);
	ck_assert_int_eq(read_list(0, &n, &first), 200);
	ck_assert_int_eq(read_list(first, &n, &none), 304);
	ck_assert_int_eq(sup_post(address, "/admin/instances", ONE_ENTRY), 200);
	ck_assert_int_eq(read_list(first, &n, &second), 200);
	ck_assert_uint_eq(n, 1);
	ck_assert_int_gt(second, first);
	stop();
}
END_TEST

struct list_wait {
	json_int_t after;
	size_t n;
};

static bool list_shows(void *data)
{
	const struct list_wait *wait = data;
	json_int_t revision;
	size_t n;

	return read_list(wait->after, &n, &revision) == 200 && n == wait->n;
}

/* Guards against a lag that hides a change forever or not at all. */
START_TEST(test_list_lag)
{
	struct list_wait wait = {0, 1};
	json_int_t revision;
	gint64 begin;
	size_t n;

	start("list", NULL);
	ck_assert_int_eq(sup_post(address, "/admin/lag", "{\"ms\":150}"), 200);
	begin = g_get_monotonic_time();
	ck_assert_int_eq(sup_post(address, "/admin/instances", ONE_ENTRY), 200);
	ck_assert_int_eq(read_list(0, &n, &revision), 200);
	ck_assert_uint_eq(n, 0);
	ck_assert(sup_wait(list_shows, &wait, BOUND_MS));
	ck_assert_int_ge((g_get_monotonic_time() - begin) / 1000, 140);
	stop();
}
END_TEST

/* Guards against a stale list that is not the previous one. */
START_TEST(test_list_stale)
{
	json_int_t now;
	json_int_t revision;
	size_t n;

	start("list", NULL);
	ck_assert_int_eq(sup_post(address, "/admin/instances", ONE_ENTRY), 200);
	ck_assert_int_eq(sup_post(address, "/admin/instances", NO_ENTRY), 200);
	ck_assert_int_eq(read_list(0, &n, &now), 200);
	set_fault("/v1/instances", "stale_version", "");
	ck_assert_int_eq(read_list(now, &n, &revision), 200);
	ck_assert_uint_eq(n, 1);
	ck_assert_int_lt(revision, now);
	stop();
}
END_TEST

/* Plain services */

static int call_service(const char *key, const char *body, long timeout_ms,
			char **answer_body)
{
	char *header =
		key ? g_strdup_printf("Idempotency-Key: %s%u", key, test_id)
		    : NULL;
	const struct sup_query query = {.method = "POST",
					.address = address,
					.path = "/call/book",
					.header = header,
					.body = body,
					.timeout_ms = timeout_ms};
	struct sup_answer answer;
	int status;

	sup_http(&query, &answer);
	status = answer.complete ? answer.status : 0;
	if (answer_body)
		*answer_body = g_strdup(answer.body->str);
	sup_answer_clear(&answer);
	g_free(header);
	return status;
}

/* Returns how often the service ran a key. */
static json_int_t count_runs(const char *key)
{
	char *name = g_strdup_printf("%s%u", key, test_id);
	json_t *json = sup_get_json(address, "/v1/records");
	json_int_t runs = 0;
	json_t *record;
	size_t i;

	json_array_foreach(json_object_get(json, "keys"), i, record)
	{
		if (!strcmp(json_string_value(json_object_get(record, "key")),
			    name))
			runs = sup_json_int(record, "runs");
	}
	json_decref(json);
	g_free(name);
	return runs;
}

struct service_case {
	const char *options[2];
	unsigned calls;
	json_int_t runs;
	bool same_answer;
};

static const struct service_case service_cases[] = {
	{{NULL}, 1, 1, true},
	{{NULL}, 3, 3, false},
	{{"--idempotent"}, 3, 1, true},
};

/* Guards against run records that differ from the runs of a key. */
START_TEST(test_service_runs)
{
	const struct service_case *service = &service_cases[_i];
	char *first;
	char *next;
	unsigned i;

	start("service", service->options);
	ck_assert_int_eq(call_service("k", "{\"x\":1}", 0, &first), 200);
	for (i = 1; i < service->calls; i++) {
		ck_assert_int_eq(call_service("k", "{\"x\":1}", 0, &next), 200);
		ck_assert_int_eq(!strcmp(first, next), service->same_answer);
		g_free(next);
	}
	ck_assert_int_eq(count_runs("k"), service->runs);
	ck_assert_int_eq(count_runs("other"), 0);
	g_free(first);
	stop();
}
END_TEST

/* Guards against two runs of a key whose calls overlap. */
START_TEST(test_service_overlap)
{
	static const char *const options[] = {"--idempotent", "--delay-ms",
					      "150", NULL};
	struct sup_query query = {
		.method = "POST", .path = "/call/book", .body = "{}"};
	struct sup_request *first;
	struct sup_answer answers[2];
	char *header;

	start("service", options);
	header = g_strdup_printf("Idempotency-Key: k%u", test_id);
	query.address = address;
	query.header = header;
	first = sup_send(&query);
	ck_assert(sup_wait_calls(address, "POST /call/", 1, BOUND_MS));
	sup_http(&query, &answers[1]);
	sup_finish(first, &answers[0]);
	ck_assert_int_eq(answers[0].status, 200);
	ck_assert_str_eq(answers[0].body->str, answers[1].body->str);
	ck_assert_int_eq(count_runs("k"), 1);
	sup_answer_clear(&answers[0]);
	sup_answer_clear(&answers[1]);
	g_free(header);
	stop();
}
END_TEST

/* Guards against running a call without a key. */
START_TEST(test_service_needs_key)
{
	char *body;

	start("service", NULL);
	ck_assert_int_eq(call_service(NULL, "{}", 0, &body), 400);
	ck_assert_ptr_nonnull(strstr(body, "\"key_required\""));
	g_free(body);
	stop();
}
END_TEST

static const struct effect_case service_effects[] = {
	{"refused", false}, {"silent", false},	   {"outage", false},
	{"cut", true},	    {"lost_answer", true}, {"half_open", true},
	{"twice", true},    {"wrong_length", true}};

/* Guards against a fault that wrongly runs or drops a booking. */
START_TEST(test_service_fault_effect)
{
	const struct effect_case *effect = &service_effects[_i];

	start("service", NULL);
	set_fault("/call/", effect->fault, "");
	call_service("k", "{}", 300, NULL);
	ck_assert(sup_clear_faults(address));
	ck_assert_int_eq(count_runs("k"), effect->executed);
	stop();
}
END_TEST

static int get_status(const char *key, char **state)
{
	char *path = g_strdup_printf("/status/%s%u", key, test_id);
	const struct sup_query query = {.address = address, .path = path};
	struct sup_answer answer;
	json_t *json;
	int status;

	sup_http(&query, &answer);
	status = answer.status;
	json = sup_answer_json(&answer);
	*state = g_strdup(json_string_value(json_object_get(json, "state")));
	if (!*state)
		*state = sup_answer_error(&answer);
	json_decref(json);
	sup_answer_clear(&answer);
	g_free(path);
	return status;
}

static void check_status(const char *key, int status, const char *state)
{
	char *found;

	ck_assert_int_eq(get_status(key, &found), status);
	ck_assert_str_eq(found, state);
	g_free(found);
}

/* Guards against a status call that contradicts what ran. */
START_TEST(test_service_status)
{
	static const char *const options[] = {"--status", NULL};
	struct sup_query query = {
		.method = "POST", .path = "/call/slow", .body = "{}"};
	struct sup_request *running;
	char *header;

	start("service", options);
	check_status("none", 404, "absent");
	ck_assert_int_eq(call_service("k", "{}", 0, NULL), 200);
	check_status("k", 200, "done");
	ck_assert_int_eq(sup_post(address, "/admin/service",
				  "{\"delays\":{\"slow\":20000}}"),
			 200);
	header = g_strdup_printf("Idempotency-Key: r%u", test_id);
	query.address = address;
	query.header = header;
	running = sup_send(&query);
	ck_assert(sup_wait_calls(address, "POST /call/", 2, BOUND_MS));
	check_status("r", 200, "running");
	sup_abort(running);
	check_status("r", 200, "running");
	g_free(header);
	stop();
}
END_TEST

/* Guards against status answers of a service without status calls. */
START_TEST(test_service_without_status)
{
	start("service", NULL);
	ck_assert_int_eq(call_service("k", "{}", 0, NULL), 200);
	check_status("k", 404, "not_found");
	stop();
}
END_TEST

/* Guards against a leaving service that still runs new calls. */
START_TEST(test_service_leaving)
{
	json_t *json;

	start("service", NULL);
	ck_assert_int_eq(
		sup_post(address, "/admin/service", "{\"leaving\":true}"), 200);
	ck_assert_int_eq(call_service("k", "{}", 0, NULL), 503);
	ck_assert_int_eq(count_runs("k"), 0);
	json = sup_get_json(address, "/v1/load");
	ck_assert(json_is_true(json_object_get(json, "leaving")));
	json_decref(json);
	stop();
}
END_TEST

/* Weight store */

/* Guards against loads beyond the rate that the store states. */
START_TEST(test_weights_rate)
{
	static const char *const options[] = {"--loads-per-minute", "0.5",
					      NULL};
	json_t *json;

	start("weights", options);
	json = sup_get_json(address, "/v1/rate");
	ck_assert_double_eq_tol(
		json_number_value(json_object_get(json, "loads_per_minute")),
		0.5, 1e-9);
	json_decref(json);
	ck_assert_int_eq(sup_post(address, "/v1/loads", "{}"), 200);
	ck_assert_int_eq(sup_post(address, "/v1/loads", "{}"), 429);
	stop();
}
END_TEST

#define ADD_LOOP(tcase, test, table) \
	tcase_add_loop_test(tcase, test, 0, (int)G_N_ELEMENTS(table))

static void add_plain_cases(TCase *tcase)
{
	ADD_LOOP(tcase, test_store_condition, write_cases);
	tcase_add_test(tcase, test_store_versions_increase);
	ADD_LOOP(tcase, test_store_value_limit, size_cases);
	ADD_LOOP(tcase, test_store_bad_name, bad_paths);
	ADD_LOOP(tcase, test_store_list, list_cases);
	tcase_add_test(tcase, test_store_watch_past_change);
	tcase_add_test(tcase, test_store_watch_timeout);
	tcase_add_test(tcase, test_service_needs_key);
}

static void add_fault_cases(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_fault, 0, N_INTERFACES * N_FAULT_CASES);
	tcase_add_loop_test(tcase, test_fault_count, 0, N_INTERFACES);
	tcase_add_loop_test(tcase, test_fault_out_of_order, 0, N_INTERFACES);
	tcase_add_test(tcase, test_fault_twice_on_wire);
	tcase_add_test(tcase, test_fault_refusals);
	ADD_LOOP(tcase, test_store_fault_effect, effect_cases);
	tcase_add_test(tcase, test_store_stale_read);
	ADD_LOOP(tcase, test_service_fault_effect, service_effects);
}

/* Cases that configure the fake through its admin calls or options. */
static void add_setup_cases(TCase *tcase)
{
	tcase_add_test(tcase, test_store_watch_wakes);
	tcase_add_test(tcase, test_store_watch_client_gone);
	tcase_add_test(tcase, test_store_rate);
	tcase_add_test(tcase, test_list_revision);
	tcase_add_test(tcase, test_list_lag);
	tcase_add_test(tcase, test_list_stale);
	ADD_LOOP(tcase, test_service_runs, service_cases);
	tcase_add_test(tcase, test_service_overlap);
	tcase_add_test(tcase, test_service_status);
	tcase_add_test(tcase, test_service_without_status);
	tcase_add_test(tcase, test_service_leaving);
	tcase_add_test(tcase, test_weights_rate);
}

/* Whether the environment names an implementation to test. */
static bool is_external(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(interfaces); i++)
		if (getenv(interfaces[i].env))
			return true;
	return false;
}

/* Whether every implementation given by the environment offers faults. */
static bool faults_available(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(interfaces); i++) {
		const char *given = getenv(interfaces[i].env);
		json_t *json;

		if (!given)
			continue;
		g_strlcpy(address, given, sizeof(address));
		address[strcspn(address, ",")] = '\0';
		json = sup_get_json(address, "/admin/fault");
		json_decref(json);
		if (!json)
			return false;
	}
	return true;
}

/* Adds the cases that the implementations under test allow. */
static void add_cases(TCase *tcase)
{
	add_plain_cases(tcase);
	if (faults_available())
		add_fault_cases(tcase);
	else
		printf("not run: cases with faults (no /admin/fault)\n");
	if (is_external())
		printf("not run: cases that set the fakes up\n");
	else
		add_setup_cases(tcase);
}

int main(void)
{
	Suite *suite = suite_create("contract");
	TCase *tcase = tcase_create("contract");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	add_cases(tcase);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
