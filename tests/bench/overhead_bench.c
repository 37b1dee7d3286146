/*
 * Latency that the router adds over a direct call of the fake: duration of a
 * short service call (repeatable, and with a claim) and time to first token of
 * a chain of three engines. All processes are on loopback; calls are made one
 * after another on one connection.
 *
 * Usage: overhead_bench [--json]
 */

#include <check.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "support/figure.h"
#include "support/wire/cluster.h"

#define N_WARM_UP 50
#define N_CALLS 1000
#define STEP_US 500

#define RULES                                                          \
	"route org=any model=" CLU_MODEL " deadline=30s # anna\n"      \
	"route org=a service=booking deadline=10s repeat=yes # anna\n" \
	"route org=b service=booking deadline=10s repeat=no # anna\n"

static struct fig_output output;

/* One way to send a request. */
struct variant {
	const char *name;
	const char *address;
	const char *path;
	const char *token; /* NULL for a call of the fake */
	char *(*body)(struct clu_cluster *cluster, unsigned n);
	const char *awaited; /* text whose arrival ends the measurement */
};

struct transfer {
	const char *awaited;
	GString *body;
	gint64 seen_at;
};

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct transfer *transfer = data;

	g_string_append_len(transfer->body, bytes, (gssize)(size * n));
	if (!transfer->seen_at &&
	    strstr(transfer->body->str, transfer->awaited))
		transfer->seen_at = g_get_monotonic_time();
	return size * n;
}

static char *service_body(struct clu_cluster *cluster, unsigned n)
{
	(void)cluster;
	return g_strdup_printf("{\"item\":\"lantern %u\"}", n);
}

static char *chat_body(struct clu_cluster *cluster, unsigned n)
{
	(void)cluster;
	return g_strdup_printf("{\"model\":\"" CLU_MODEL
			       "\",\"stream\":true,\"max_tokens\":1,"
			       "\"messages\":[{\"role\":\"user\","
			       "\"content\":\"quote %u\"}]}",
			       n);
}

static char *generate_body(struct clu_cluster *cluster, unsigned n)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_printf(text,
			"{\"request\":\"bench/1/%u\",\"lineage\":1,"
			"\"model\":\"" CLU_MODEL "\",\"prompt\":\"user: quote "
			"%u\\nassistant: \",\"max_tokens\":1,\"priority\":1,"
			"\"start_position\":0,\"delivered\":\"\",\"chain\":[",
			n, n);
	for (i = 0; i < cluster->config.n_engines; i++)
		g_string_append_printf(
			text,
			"%s{\"target\":\"engine-%u\",\"address\":\"%s\","
			"\"first_layer\":%u,\"last_layer\":%u,"
			"\"kv\":\"fresh\",\"kv_source\":\"\"}",
			i ? "," : "", i + 1, cluster->engines[i].address,
			cluster->config.ranges[i].first_layer,
			cluster->config.ranges[i].last_layer);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static struct curl_slist *make_headers(const struct variant *variant)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char *key = clu_new_key();
	char *line = g_strdup_printf("Idempotency-Key: %s", key);

	list = curl_slist_append(list, line);
	list = curl_slist_append(list, "Content-Type: application/json");
	if (variant->token)
		list = curl_slist_append(list, variant->token);
	g_free(line);
	g_free(key);
	return list;
}

/* Sends a request; returns the time until the awaited text in ms. */
static double send_one(CURL *easy, struct clu_cluster *cluster,
		       const struct variant *variant, unsigned n)
{
	struct transfer transfer = {variant->awaited, g_string_new(NULL), 0};
	struct curl_slist *headers = make_headers(variant);
	char *body = variant->body(cluster, n);
	gint64 start;

	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
	start = g_get_monotonic_time();
	ck_assert_int_eq(curl_easy_perform(easy), CURLE_OK);
	ck_assert_msg(transfer.seen_at > 0, "%s: %s", variant->name,
		      transfer.body->str);
	g_string_free(transfer.body, TRUE);
	curl_slist_free_all(headers);
	g_free(body);
	return (double)(transfer.seen_at - start) / 1000;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* The direct calls are measured first and give the baseline. */
static void print_quantile(const struct variant *variant, const char *quantile,
			   double ms)
{
	static double direct[2];
	unsigned index = !strcmp(quantile, "p99");
	char *name = g_strdup_printf("overhead.%s.%s", variant->name, quantile);
	GString *baselines = g_string_new(NULL);

	if (variant->token)
		fig_add_baseline(baselines, "direct", direct[index]);
	else
		direct[index] = ms;
	fig_print(&output, name, ms, "ms", "-", baselines);
	g_string_free(baselines, TRUE);
	g_free(name);
}

static void measure(struct clu_cluster *cluster, const struct variant *variant)
{
	CURL *easy = curl_easy_init();
	char *url =
		g_strdup_printf("http://%s%s", variant->address, variant->path);
	static double ms[N_CALLS];
	unsigned i;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	for (i = 0; i < N_WARM_UP; i++)
		send_one(easy, cluster, variant, i);
	for (i = 0; i < N_CALLS; i++)
		ms[i] = send_one(easy, cluster, variant, N_WARM_UP + i);
	qsort(ms, N_CALLS, sizeof(ms[0]), compare);
	print_quantile(variant, "median", ms[N_CALLS / 2]);
	print_quantile(variant, "p99", ms[N_CALLS * 99 / 100]);
	curl_easy_cleanup(easy);
	g_free(url);
}

START_TEST(overhead)
{
	static struct clu_cluster cluster;
	struct clu_config config;
	const struct variant variants[] = {
		{"service_direct", cluster.service.address, "/call/book", NULL,
		 service_body, "\"run\":1,"},
		{"service_repeatable", cluster.entries[0].caller,
		 "/v1/services/booking/book", "Authorization: Bearer token-a",
		 service_body, "\"run\":1,"},
		{"service_with_claim", cluster.entries[0].caller,
		 "/v1/services/booking/book", "Authorization: Bearer token-b",
		 service_body, "\"run\":1,"},
		{"first_token_direct", cluster.engines[0].address,
		 "/v1/generate", NULL, generate_body, "event: token"},
		{"first_token", cluster.entries[0].caller,
		 "/v1/chat/completions", "Authorization: Bearer token-a",
		 chat_body, "\"content\":"},
	};
	unsigned i;

	clu_config_init(&config, 5);
	config.step_us = STEP_US;
	config.rules = RULES;
	clu_start(&cluster, &config);
	for (i = 0; i < G_N_ELEMENTS(variants); i++)
		measure(&cluster, &variants[i]);
	clu_stop(&cluster);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *suite = suite_create("overhead");
	TCase *tcase = tcase_create("overhead");
	SRunner *runner;
	int failed;

	fig_parse(&output, argc, argv);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, overhead);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	/* Standard output is for the figures only. */
	srunner_run_all(runner, CK_SILENT);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
