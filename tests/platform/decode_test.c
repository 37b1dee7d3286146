/* Decoding of complete, partial and malformed objects of the platform. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/ptf.h"
#include "support/runner.h"

static const char *const config_text =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"F.Example\",\"path-prefix\":\"/a/\","
	"\"type\":\"streaming\",\"timeout-ms\":20000,\"slo-ms\":500,"
	"\"priority\":1,\"split\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}],\"max-attempts\":2,"
	"\"resumable\":true,\"gap-target-ms\":250},"
	"{\"name\":\"r2\",\"host\":\"f.example\",\"path-prefix\":\"/b/\","
	"\"type\":\"streaming\",\"service\":\"s1\"},"
	"{\"name\":\"r3\",\"host\":\"f.example\",\"path-prefix\":\"/c/\","
	"\"type\":\"non_idempotent\",\"service\":\"s2\",\"public\":true},"
	"{\"name\":\"r4\",\"host\":\"f.example\",\"path-prefix\":\"/d/\","
	"\"type\":\"unheard-of\",\"service\":\"s2\"},"
	"{\"name\":\"r5\",\"host\":\"f.example\",\"path-prefix\":\"/e\","
	"\"type\":\"idempotent\",\"service\":\"s2\"}],"
	"\"services\":[{\"name\":\"s1\",\"max-conns\":978,\"engine\":{"
	"\"slots\":192,\"kv-bytes\":590000,\"models\":[{\"name\":\"m\","
	"\"load-s\":14.5}],\"step_ms\":1.02,\"read_per_s\":164000.0,"
	"\"loads_at_once\":6,\"usual\":{\"prompt\":774,\"answer\":210},"
	"\"layers\":80,\"layer-mb\":1750.0,\"kinds\":[{\"name\":\"a100\","
	"\"size-mb\":72000.0,\"pace\":2.4,\"read-factor\":3.2}]}},"
	"{\"name\":\"s2\",\"max-conns\":110}],"
	"\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
	"\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
	"\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],"
	"\"priority\":1}]}";

static struct cat_catalog *decode_catalog(const char *text, guint *n_skipped,
					  GError **error)
{
	json_t *spec = json_loads(text, 0, NULL);
	GPtrArray *skipped = g_ptr_array_new_with_free_func(g_free);
	struct cat_catalog *catalog = ptf_decode_catalog(spec, skipped, error);

	*n_skipped = skipped->len;
	g_ptr_array_unref(skipped);
	json_decref(spec);
	return catalog;
}

START_TEST(configuration_is_decoded)
{
	guint skipped;
	struct cat_catalog *catalog =
		decode_catalog(config_text, &skipped, NULL);
	const struct cat_route *route;
	const struct cat_engine *engine;

	ck_assert_ptr_nonnull(catalog);
	ck_assert_int_eq(cat_version(catalog), 7);
	ck_assert_uint_eq(skipped, 2);
	ck_assert_uint_eq(cat_route_count(catalog), 3);
	route = cat_find_route(catalog, "f.example", "/a/x");
	ck_assert_int_eq(route->retry_policy, CAT_RETRY_RESUME);
	ck_assert(route->is_stream && !route->is_public);
	ck_assert_int_eq(route->timeout, 20000);
	ck_assert_int_eq(route->objective, 500);
	ck_assert_int_eq(route->max_pause, 250);
	ck_assert_uint_eq(route->shares->len, 2);
	route = cat_find_route(catalog, "f.example", "/b/");
	ck_assert_int_eq(route->retry_policy, CAT_RETRY_NEVER);
	ck_assert(route->is_stream);
	route = cat_find_route(catalog, "f.example", "/c/");
	ck_assert_int_eq(route->retry_policy, CAT_RETRY_NEVER);
	ck_assert(route->is_public && !route->is_stream);
	engine = cat_find_service(catalog, "s1")->engine;
	ck_assert_uint_eq(engine->layers, 80);
	ck_assert_int_eq(engine->load_time, 14500);
	ck_assert(cat_find_accelerator(engine, "a100")->memory_mb == 72000);
	ck_assert_ptr_null(cat_find_service(catalog, "s2")->engine);
	ck_assert_str_eq(cat_find_org(catalog, "k2")->name, "t");
	ck_assert_uint_eq(cat_limits(catalog)->body_bytes, 4194304);
	cat_drop(catalog);
}
END_TEST

START_TEST(configuration_without_a_version_is_refused)
{
	GError *error = NULL;
	guint skipped;

	ck_assert_ptr_null(decode_catalog("{\"routes\":[]}", &skipped, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_RULES));
	g_error_free(error);
}
END_TEST

struct tenants_case {
	const char *text;
	bool needs_keys;
	bool has_key;
};

static const struct tenants_case tenants_cases[] = {
	{"{\"version\":1}", false, false},
	{"{\"version\":1,\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k\"]}]}",
	 true, true},
	{"{\"version\":1,\"tenants\":[{\"name\":\"t\",\"api-keys\":[]}]}", true,
	 false},
	{"{\"version\":1,\"tenants\":[{\"name\":\"t\"}]}", true, false},
	{"{\"version\":1,\"tenants\":[{\"api-keys\":[\"k\"]}]}", true, false},
	{"{\"version\":1,\"tenants\":[]}", true, false},
	{"{\"version\":1,\"tenants\":null}", true, false},
	{"{\"version\":1,\"tenants\":{\"t\":[\"k\"]}}", true, false},
};

/* Guards against a list of tenants without a readable entry that lets all
 * requests in. */
START_TEST(present_list_of_tenants_requires_keys)
{
	const struct tenants_case *tenants = &tenants_cases[_i];
	guint skipped;
	struct cat_catalog *catalog =
		decode_catalog(tenants->text, &skipped, NULL);

	ck_assert_int_eq(cat_needs_keys(catalog), tenants->needs_keys);
	ck_assert_int_eq(cat_find_org(catalog, "k") != NULL, tenants->has_key);
	cat_drop(catalog);
}
END_TEST

struct entry_case {
	const char *text;
	bool is_usable;
};

#define ENTRY "{\"service\":\"s\",\"zone\":\"z\",\"address\":\"10.0.0.1:80\","

#define AT(address)                                                      \
	"{\"service\":\"s\",\"zone\":\"z\",\"address\":\"" address "\"," \
	"\"state\":\"ready\",\"slots\":6}"

static const struct entry_case entry_cases[] = {
	{ENTRY "\"state\":\"ready\",\"slots\":6}", true},
	{ENTRY "\"state\":\"draining\",\"slots\":1}", true},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"layers\":[],"
	       "\"born\":0,\"type\":null,\"cold-left-ms\":0.5,"
	       "\"sequence\":3,\"version\":7}",
	 true},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"layers\":null}", true},
	{ENTRY "\"state\":\"ready\",\"slots\":1000000,"
	       "\"layers\":{\"from\":0,\"to\":65536}}",
	 true},
	{ENTRY "\"state\":\"ready\"}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":\"many\"}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6.0}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":0}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":-1}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":1000001}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":4294967302}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"layers\":7}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"layers\":[7]}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,"
	       "\"layers\":{\"from\":5,\"to\":3}}",
	 false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,"
	       "\"layers\":{\"from\":-1,\"to\":3}}",
	 false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,"
	       "\"layers\":{\"from\":0,\"to\":65537}}",
	 false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,"
	       "\"layers\":{\"from\":5,\"to\":4294967299}}",
	 false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"born\":\"today\"}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"born\":1e12}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"born\":-1}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"type\":3}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"sequence\":\"1\"}", false},
	{ENTRY "\"state\":\"ready\",\"slots\":6,\"cold-left-ms\":[]}", false},
	{ENTRY "\"state\":\"odd\",\"slots\":6}", false},
	{ENTRY "\"state\":1,\"slots\":6}", false},
	{ENTRY "\"slots\":6}", false},
	{"{\"service\":1,\"zone\":\"z\",\"address\":\"10.0.0.1:80\","
	 "\"state\":\"ready\",\"slots\":6}",
	 false},
	{AT("nowhere"), false},
	{AT("10.0.0.1"), false},
	{AT("10.0.0.1:"), false},
	{AT("10.0.0.1:0"), false},
	{AT("10.0.0.1:65536"), false},
	{AT("10.0.0.1:-80"), false},
	{AT("10.0.0.1:+80"), false},
	{AT("10.0.0.1: 80"), false},
	{AT("10.0.0.1:80 "), false},
	{AT("10.0.0.1:0x50"), false},
	{AT("10.0.0.1:80,10.0.0.2:80=0-9"), false},
	{AT("10.0.0.256:80"), false},
	{AT("10.0.1:80"), false},
	{AT("0.0.0.0:80"), false},
	{AT("0.0.0.0:0"), false},
	{AT("224.0.0.1:80"), false},
	{AT("255.255.255.255:80"), false},
	{AT("[::1]:80"), false},
	{AT("[10.0.0.1]:80"), false},
	{AT("localhost:80"), false},
	{AT("10.0.0.1:80\\r\\nA: b"), false},
	{AT(""), false},
	{AT(":"), false},
	{AT("[:"), false},
	{AT("[]:1"), false},
	{AT("10.0.0.1:65535"), true},
	{"{}", false},
	{"[1]", false},
	{"\"text\"", false},
	{"null", false},
};

/* Guards against a crash on an entry that another program wrote, or a target
 * made from an unusable one. */
START_TEST(only_complete_entries_name_a_target)
{
	const struct entry_case *one = &entry_cases[_i];
	json_t *spec = json_loads(one->text, JSON_DECODE_ANY, NULL);
	GError *error = NULL;
	struct flt_target *target = ptf_decode_target("i-1", spec, &error);

	ck_assert_int_eq(target != NULL, one->is_usable);
	ck_assert_int_eq(error == NULL, one->is_usable);
	if (error)
		ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_FRAME));
	g_clear_error(&error);
	flt_target_drop(target);
	json_decref(spec);
}
END_TEST

/* Guards against conversions out of the range of a type, which are undefined,
 * and against sizes that later code divides by or allocates. */
START_TEST(extreme_numbers_of_a_configuration_are_bounded)
{
	guint skipped;
	struct cat_catalog *catalog = decode_catalog(
		"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path-prefix\":\"/\",\"type\":\"idempotent\","
		"\"timeout-ms\":1e300,\"slo-ms\":-1e300,\"priority\":1e300,"
		"\"max-attempts\":-1,\"split\":[{\"service\":\"a\","
		"\"weight\":1e300},{\"service\":\"b\",\"weight\":-1e300}]}],"
		"\"services\":[{\"name\":\"a\",\"engine\":{\"layers\":1e300,"
		"\"slots\":1e300,\"models\":[{\"load-s\":1e300}]}}],"
		"\"limits\":{\"max-header-bytes\":1e300,"
		"\"header-timeout-ms\":-5},"
		"\"tenants\":[{\"name\":\"t\",\"priority\":1e300}]}",
		&skipped, NULL);
	const struct cat_route *route = cat_find_route(catalog, "h", "/");
	const struct cat_engine *engine =
		cat_find_service(catalog, "a")->engine;
	const struct cat_share *shares = (void *)route->shares->data;

	ck_assert_int_eq(route->timeout, 100000000000);
	ck_assert_int_eq(route->objective, 0);
	ck_assert_int_eq(route->priority, 1000000);
	ck_assert_uint_eq(route->max_attempts, 0);
	ck_assert_uint_eq(shares[0].weight, 1000000);
	ck_assert_uint_eq(shares[1].weight, 0);
	ck_assert_uint_eq(engine->layers, 65536);
	ck_assert_uint_eq(engine->slots, 1000000);
	ck_assert_int_eq(engine->load_time, 100000000000);
	ck_assert_uint_eq(cat_limits(catalog)->header_bytes, 1000000000000);
	ck_assert_int_eq(cat_limits(catalog)->header_timeout, 0);
	cat_drop(catalog);
}
END_TEST

/* Guards against ids that break the header field in which they are sent. */
START_TEST(unprintable_ids_name_no_target)
{
	static const char *const ids[] = {"", "a b", "a\r\nX: y", "\x7f",
					  "\xc3\xa4"};
	json_t *spec = json_loads(AT("10.0.0.1:80"), 0, NULL);
	char *overlong = g_strnfill(1000, 'a');
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		ck_assert_ptr_null(ptf_decode_target(ids[i], spec, NULL));
	ck_assert_ptr_null(ptf_decode_target(overlong, spec, NULL));
	g_free(overlong);
	json_decref(spec);
}
END_TEST

/* Guards against layers and fences of a damaged record that wrap. */
START_TEST(odd_assignments_of_a_duty_are_left_out)
{
	json_t *object = json_loads(
		"{\"metadata\":{\"revision\":3},\"spec\":{\"holder\":7,"
		"\"fence\":-5,\"assignments\":{\"a\":[5,4294967299],"
		"\"b\":[-1,2],\"c\":[9,3],\"d\":7,\"e\":[\"1\",2],"
		"\"f\":[1,4]}}}",
		0, NULL);
	struct edg_duty *duty = ptf_decode_duty(object);

	ck_assert_ptr_null(duty->holder);
	ck_assert_uint_eq(duty->fence, 0);
	ck_assert_uint_eq(duty->assignments->len, 1);
	ck_assert_str_eq(
		g_array_index(duty->assignments, struct edg_assignment, 0)
			.target_id,
		"f");
	edg_duty_free(duty);
	json_decref(object);
}
END_TEST

struct answer_case {
	const char *text;
	/* The answer as read, NULL if it is no JSON. */
	const char *expected;
};

static const struct answer_case answer_cases[] = {
	{"{\"a\":[1e400]}", "{}"},
	{"{\"items\":[],\"at\":7}", "{\"items\":[],\"at\":7}"},
	{" { \"at\" : 7 , \"items\" : [ 1e400 , { } ] , \"has-more\" : true } ",
	 "{\"at\":7,\"items\":[null,{}],\"has-more\":true}"},
	{"{\"items\":[{\"metadata\":{\"name\":\"x\"},\"spec\":{\"a\":1e400}},"
	 "{\"metadata\":{\"name\":\"y\"},\"spec\":{}}],\"at\":7}",
	 "{\"items\":[{\"metadata\":{\"name\":\"x\"}},"
	 "{\"metadata\":{\"name\":\"y\"},\"spec\":{}}],\"at\":7}"},
	{"{\"events\":[{\"deleted\":false,\"object\":{\"spec\":\"\\ud800\","
	 "\"metadata\":{\"revision\":99999999999999999999,"
	 "\"name\":\"x\"}}}],\"at\":7}",
	 "{\"events\":[{\"deleted\":false,\"object\":{"
	 "\"metadata\":{\"name\":\"x\"}}}],\"at\":7}"},
	/* Brackets, quotes and commas within strings; keys that can't be read.
	 */
	{"{\"items\":[\"\\u0000]},\\\"[\",2,\"]\\\\\",{\"\\u0000\":3}],"
	 "\"\xff\":{\"at\":1},\"at\":7}",
	 "{\"items\":[null,2,\"]\\\\\",{}],\"at\":7}"},
	/* A spec is read as a whole, whatever the names of its members. */
	{"{\"metadata\":{\"revision\":5},\"spec\":{\"items\":[\"\xff\"],"
	 "\"metadata\":{\"name\":1e400}}}",
	 "{\"metadata\":{\"revision\":5}}"},
	{"{\"items\":[7 8,{\"a\" 1},,nothing],\"at\":7}",
	 "{\"items\":[null,null,null,null],\"at\":7}"},
	/* Brackets that don't match, as in an answer that lost its end. */
	{"{\"at\":7,\"items\":[{\"spec\":[[", NULL},
	{"{\"at\":7,\"items\":[{\"spec\":[[}],\"has-more\":true}", NULL},
	{"{\"at\":7,\"items\":[{\"spec\":1}", NULL},
	{"{\"at\":7,\"items\":[1e400]", NULL},
	{"{\"at\":7,\"items\":[1e400]]}", NULL},
	{"{\"at\":7,\"items\":[1e400]}}", NULL},
	{"{\"at\":7,\"items\":[{\"spec\":1}},2],\"x\":1}", NULL},
	{"{\"at\":7,\"items\":\"\xff\"}", NULL},
	{"{\"at\":7,\"items\":[\"a\\", NULL},
	{"{\"at\":7,\"it", NULL},
	{"{\"at\"", NULL},
	{"{\"at\":7,}", NULL},
	{"{", NULL},
	{"[", NULL},
	{"[\"\xff\"}", NULL},
	{"", NULL},
	{"no", NULL},
	{"\"", NULL},
	{"]", NULL},
};

/* Guards against an answer of the store that is refused as a whole because one
 * of its objects can't be read. */
START_TEST(unreadable_parts_of_an_answer_cost_only_themselves)
{
	const struct answer_case *one = &answer_cases[_i];
	json_t *read = ptf_read_answer(one->text, strlen(one->text));
	json_t *expected =
		one->expected ? json_loads(one->expected, 0, NULL) : NULL;
	char *text = json_dumps(read, JSON_COMPACT);

	ck_assert_int_eq(!read, !one->expected);
	ck_assert_msg(!read || json_equal(read, expected), "%s", text);
	free(text);
	json_decref(read);
	json_decref(expected);
}
END_TEST

START_TEST(layers_of_an_entry_are_decoded)
{
	json_t *spec = json_loads(
		ENTRY "\"state\":\"ready\",\"slots\":192,\"type\":\"l4\","
		      "\"born\":1760000000000,\"sequence\":9,"
		      "\"layers\":{\"from\":20,\"to\":31,\"version\":1}}",
		0, NULL);
	struct flt_target *target = ptf_decode_target("i-1", spec, NULL);

	ck_assert_uint_eq(target->holds.first, 20);
	ck_assert_uint_eq(target->holds.end, 31);
	ck_assert_str_eq(target->accelerator, "l4");
	ck_assert_uint_eq(target->slots, 192);
	ck_assert_int_eq(target->started_at, 1760000000000);
	flt_target_drop(target);
	json_decref(spec);
}
END_TEST

START_TEST(report_is_decoded)
{
	json_t *body = json_loads(
		"{\"sequence\":2,\"busy\":true,\"pace\":1.5,"
		"\"stalled\":[{\"id\":\"a\",\"address\":\"10.0.0.9:1\"},"
		"{\"id\":\"b\"}]}",
		0, NULL);
	struct edg_report report = {0};
	GPtrArray *stalled = NULL;

	ck_assert(ptf_decode_report(body, &report, &stalled));
	ck_assert_uint_eq(report.orders, 2);
	ck_assert(report.is_busy && report.slowdown == 1.5);
	ck_assert_uint_eq(report.stalled->len, 1);
	ck_assert_str_eq(report.stalled->pdata[0], "10.0.0.9:1");
	g_ptr_array_unref(stalled);
	json_object_del(body, "sequence");
	ck_assert(!ptf_decode_report(body, &report, &stalled));
	json_decref(body);
}
END_TEST

START_TEST(duty_survives_encoding_and_decoding)
{
	struct edg_duty *duty = edg_duty_new();
	struct flt_range range = {3, 9};
	struct edg_duty *read;
	json_t *object;

	duty->holder = g_strdup("edge-1");
	duty->fence = 4;
	duty->revision = 17;
	edg_duty_assign(duty, "i-1", range);
	object = ptf_encode_duty(duty);
	read = ptf_decode_duty(object);
	ck_assert_str_eq(read->holder, "edge-1");
	ck_assert_uint_eq(read->fence, 4);
	ck_assert_int_eq(read->revision, 17);
	ck_assert_uint_eq(read->assignments->len, 1);
	ck_assert_uint_eq(
		g_array_index(read->assignments, struct edg_assignment, 0)
			.range.end,
		9);
	edg_duty_free(duty);
	edg_duty_free(read);
	json_decref(object);
	ck_assert_ptr_null(ptf_decode_duty(NULL));
}
END_TEST

START_TEST(order_status_codes_are_mapped)
{
	ck_assert_int_eq(ptf_decode_order_status(202), EDG_ORDER_TAKEN);
	ck_assert_int_eq(ptf_decode_order_status(200), EDG_ORDER_TAKEN);
	ck_assert_int_eq(ptf_decode_order_status(409), EDG_ORDER_REFUSED);
	ck_assert_int_eq(ptf_decode_order_status(412), EDG_ORDER_FENCED);
	ck_assert_int_eq(ptf_decode_order_status(0), EDG_ORDER_UNKNOWN);
	ck_assert_int_eq(ptf_decode_order_status(404), EDG_ORDER_FAILED);
	ck_assert_int_eq(ptf_decode_order_status(421), EDG_ORDER_FAILED);
}
END_TEST

/* Guards against a crash on a configuration with random bytes replaced. */
START_TEST(damaged_configurations_do_not_crash)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	char *text = g_strdup(config_text);
	size_t len = strlen(text);
	json_t *spec;
	int n;

	for (n = 0; n < 3; n++)
		text[g_rand_int_range(rand, 0, (gint32)len)] =
			"019[]{}\",:x"[g_rand_int_range(rand, 0, 11)];
	spec = json_loads(text, 0, NULL);
	if (spec) {
		GPtrArray *skipped = g_ptr_array_new_with_free_func(g_free);
		struct cat_catalog *catalog =
			ptf_decode_catalog(spec, skipped, NULL);

		cat_drop(catalog);
		g_ptr_array_unref(skipped);
		json_decref(spec);
	}
	g_free(text);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("decode");

	tcase_add_test(tcase, configuration_is_decoded);
	tcase_add_test(tcase, configuration_without_a_version_is_refused);
	tcase_add_loop_test(tcase, present_list_of_tenants_requires_keys, 0,
			    G_N_ELEMENTS(tenants_cases));
	tcase_add_loop_test(tcase, only_complete_entries_name_a_target, 0,
			    G_N_ELEMENTS(entry_cases));
	tcase_add_test(tcase, extreme_numbers_of_a_configuration_are_bounded);
	tcase_add_test(tcase, unprintable_ids_name_no_target);
	tcase_add_test(tcase, odd_assignments_of_a_duty_are_left_out);
	tcase_add_loop_test(tcase,
			    unreadable_parts_of_an_answer_cost_only_themselves,
			    0, G_N_ELEMENTS(answer_cases));
	tcase_add_test(tcase, layers_of_an_entry_are_decoded);
	tcase_add_test(tcase, report_is_decoded);
	tcase_add_test(tcase, duty_survives_encoding_and_decoding);
	tcase_add_test(tcase, order_status_codes_are_mapped);
	tcase_add_loop_test(tcase, damaged_configurations_do_not_crash, 0, 300);
	return sup_run_case("decode", tcase);
}
