/*
 * Checks and comparison of decoded configurations. Guards against a version
 * that is sent although entries of it have no effect or exclude each other, and
 * against a key or route that is taken away unnoticed.
 */

#include <check.h>
#include <string.h>

#include <wagtailferry/catalog_check.h>

#include "support/runner.h"

static struct cat_route *make_route(const char *prefix, const char *service)
{
	struct cat_route *route = cat_route_new();
	struct cat_share share = {g_strdup(service), 1};

	route->name = g_strdup("r");
	route->host = g_strdup("a.example");
	route->prefix = g_strdup(prefix);
	route->timeout = 1000;
	route->objective = 500;
	route->max_attempts = 1;
	g_array_append_val(route->shares, share);
	return route;
}

/* A catalog without problems: a route to service s, an organisation, a key. */
static struct cat_catalog *make_catalog(int64_t version,
					struct cat_route *route)
{
	struct cat_catalog *catalog = cat_new(version);

	ck_assert(cat_add_route(catalog, route, NULL));
	cat_add_service(catalog, "s", NULL);
	cat_require_keys(catalog);
	cat_add_key(catalog, "key-of-org", cat_add_org(catalog, "org", -1));
	return catalog;
}

/* Checks and drops the catalog; kind -1: it has no problems. */
static void expect_problem(struct cat_catalog *catalog, int kind,
			   const char *message)
{
	GPtrArray *problems = chk_problems_new();
	const struct chk_problem *problem;

	chk_catalog(catalog, problems);
	ck_assert_uint_eq(problems->len, kind >= 0);
	if (kind >= 0) {
		problem = problems->pdata[0];
		ck_assert_int_eq(problem->kind, kind);
		ck_assert_ptr_nonnull(problem->where);
		ck_assert_msg(strstr(problem->message, message) != NULL, "%s",
			      problem->message);
	}
	g_ptr_array_unref(problems);
	cat_drop(catalog);
}

/* Guards against problems that are reported of limits at their bounds, and
 * against contradictions that are not. */
START_TEST(times_and_attempts_are_compared)
{
	struct cat_route *route = make_route("/", "s");

	route->objective = route->max_pause = route->timeout;
	route->retry_policy = CAT_RETRY_NEVER;
	expect_problem(make_catalog(1, route), -1, "");
	route = make_route("/", "s");
	route->timeout = 0;
	expect_problem(make_catalog(1, route), -1, "");
	route = make_route("/", "s");
	route->objective = 1001;
	expect_problem(make_catalog(1, route), CHK_CONTRADICTION,
		       "the objective of 1001 ms is above");
	route = make_route("/", "s");
	route->max_pause = 1001;
	expect_problem(make_catalog(1, route), CHK_CONTRADICTION,
		       "the pause objective of 1001 ms is above");
	route = make_route("/", "s");
	route->retry_policy = CAT_RETRY_NEVER;
	route->max_attempts = 2;
	expect_problem(make_catalog(1, route), CHK_CONTRADICTION,
		       "must not be retried");
}
END_TEST

START_TEST(entries_without_effect_are_found)
{
	struct cat_route *route = make_route("/", "s");
	struct cat_share share = {g_strdup("s"), 0};
	struct cat_catalog *catalog;

	g_array_append_val(route->shares, share);
	expect_problem(make_catalog(1, route), CHK_NEVER_MATCHES, "weight 0");
	expect_problem(make_catalog(1, make_route("/", "other")),
		       CHK_NEVER_MATCHES, "no service other");
	expect_problem(make_catalog(1, make_route("/a?b/", "s")),
		       CHK_NEVER_MATCHES, "no request");
	catalog = make_catalog(1, make_route("/", "s"));
	cat_add_service(catalog, "s", NULL);
	expect_problem(catalog, CHK_NEVER_MATCHES, "listed twice");
	catalog = make_catalog(1, make_route("/", "s"));
	cat_add_org(catalog, "idle", -1);
	expect_problem(catalog, CHK_NEVER_MATCHES, "no key");
}
END_TEST

START_TEST(limits_are_compared)
{
	struct cat_catalog *catalog = make_catalog(1, make_route("/", "s"));

	cat_limits(catalog)->body_bytes = cat_limits(catalog)->header_bytes;
	expect_problem(cat_keep(catalog), -1, "");
	cat_limits(catalog)->body_bytes--;
	expect_problem(catalog, CHK_CONTRADICTION, "header limit");
	catalog = make_catalog(1, make_route("/", "s"));
	cat_limits(catalog)->idle_timeout = 0;
	expect_problem(catalog, CHK_CONTRADICTION, "idle timeout");
}
END_TEST

/* Guards against output that gives a key away. */
START_TEST(keys_are_cut)
{
	static const char *const keys[][2] = {
		{"abcdefghij", "abcd..."},
		{"abcd", "ab..."},
		{"a", "..."},
		{"", "..."},
		{"\303\244\303\266\303\274x", "\303\244\303\266..."}};
	char *label = chk_key_label(keys[_i][0]);

	ck_assert_str_eq(label, keys[_i][1]);
	g_free(label);
}
END_TEST

/* Checks the only change between two catalogs and drops them; what NULL:
 * there is none. */
static void expect_change(struct cat_catalog *from, struct cat_catalog *to,
			  enum chk_change_kind kind, const char *what,
			  const char *detail, const char *taken_from)
{
	GPtrArray *changes = chk_changes(from, to);
	const struct chk_change *change;

	ck_assert_uint_eq(changes->len, what != NULL);
	if (what) {
		change = changes->pdata[0];
		ck_assert_int_eq(change->kind, kind);
		ck_assert_str_eq(change->what, what);
		ck_assert_str_eq(change->detail, detail);
		ck_assert_pstr_eq(change->taken_from, taken_from);
	}
	g_ptr_array_unref(changes);
	cat_drop(from);
	cat_drop(to);
}

/* Guards against differences that only the order of the entries, or the sum of
 * the weights, makes. */
START_TEST(order_and_scale_make_no_difference)
{
	struct cat_route *routes[2];
	struct cat_share last = {g_strdup("t"), 3};
	struct cat_share first = {g_strdup("t"), 9};

	routes[0] = make_route("/", "s");
	routes[1] = make_route("/", "s");
	g_array_index(routes[1]->shares, struct cat_share, 0).weight = 3;
	g_array_append_val(routes[0]->shares, last);
	g_array_prepend_val(routes[1]->shares, first);
	expect_change(make_catalog(1, routes[0]), make_catalog(2, routes[1]),
		      CHK_ADDED, NULL, "", NULL);
}
END_TEST

/* Guards against a route that is taken away unnoticed, or reported as lost
 * where another one takes its requests. */
START_TEST(removed_routes_tell_where_their_requests_go)
{
	struct cat_catalog *from = make_catalog(1, make_route("/", "s"));
	struct cat_route *public = make_route("/a/", "s");

	public->is_public = true;
	ck_assert(cat_add_route(from, public, NULL));
	expect_change(from, make_catalog(2, make_route("/", "s")), CHK_REMOVED,
		      "route",
		      "its requests go to route r (a.example /) instead",
		      "callers without a key");
	from = make_catalog(1, make_route("/", "s"));
	ck_assert(cat_add_route(from, make_route("/a/", "s"), NULL));
	expect_change(from, make_catalog(2, make_route("/a/", "s")),
		      CHK_REMOVED, "route", "its requests match no route",
		      "all callers");
	public = make_route("/", "s");
	public->is_public = true;
	expect_change(make_catalog(1, public),
		      make_catalog(2, make_route("/", "s")), CHK_CHANGED,
		      "route", "public yes -> no", "callers without a key");
}
END_TEST

/* Guards against a key that changes hands, or ends, unnoticed. */
START_TEST(lost_keys_name_their_holder)
{
	struct cat_catalog *from = make_catalog(1, make_route("/", "s"));
	struct cat_catalog *to = make_catalog(2, make_route("/", "s"));
	struct cat_org *other[2];

	other[0] = cat_add_org(from, "other", 1);
	other[1] = cat_add_org(to, "other", 1);
	cat_add_key(from, "key-of-other", other[0]);
	expect_change(cat_keep(from), cat_keep(to), CHK_REMOVED, "key",
		      "valid no more", "other");
	expect_change(cat_keep(to), cat_keep(from), CHK_ADDED, "key",
		      "given to other", NULL);
	cat_add_key(to, "key-of-other", cat_add_org(to, "org", -1));
	expect_change(from, to, CHK_CHANGED, "key", "given to org", "other");
}
END_TEST

START_TEST(figures_of_engines_and_limits_are_compared)
{
	struct cat_catalog *from = make_catalog(1, make_route("/", "s"));
	struct cat_catalog *to = make_catalog(1, make_route("/", "s"));
	struct cat_engine *old = cat_engine_new();
	struct cat_engine *new = cat_engine_new();
	struct cat_accelerator added = {g_strdup("b"), 10, 2.4, 1};

	old->layers = new->layers = 80;
	new->step_ms = 1.1;
	g_array_append_val(new->accelerators, added);
	cat_add_service(from, "m", old);
	cat_add_service(to, "m", new);
	expect_change(from, to, CHK_CHANGED, "service",
		      "step ms 0 -> 1.1, b none -> 10 MB/pace 2.4/prefill "
		      "factor 1",
		      NULL);
	from = make_catalog(1, make_route("/", "s"));
	to = make_catalog(1, make_route("/", "s"));
	cat_limits(to)->body_bytes++;
	expect_change(from, to, CHK_CHANGED, "limit",
		      "body bytes 1048576 -> 1048577", NULL);
}
END_TEST

/* Guards against a version that instances drop because it is not above the one
 * in force. */
START_TEST(version_must_rise)
{
	struct cat_catalog *in_force = make_catalog(5, make_route("/", "s"));
	GPtrArray *problems = chk_problems_new();
	GPtrArray *none = g_ptr_array_new();
	GPtrArray *some = g_ptr_array_new();
	struct cat_catalog *lower = cat_new(4);

	g_ptr_array_add(some, NULL);
	chk_version(in_force, in_force, none, problems);
	ck_assert_uint_eq(problems->len, 0);
	chk_version(in_force, in_force, some, problems);
	ck_assert_uint_eq(problems->len, 1);
	chk_version(in_force, lower, none, problems);
	ck_assert_uint_eq(problems->len, 2);
	cat_drop(lower);
	cat_drop(in_force);
	g_ptr_array_unref(none);
	g_ptr_array_unref(some);
	g_ptr_array_unref(problems);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("catalog_check");

	tcase_add_test(tcase, times_and_attempts_are_compared);
	tcase_add_test(tcase, entries_without_effect_are_found);
	tcase_add_test(tcase, limits_are_compared);
	tcase_add_loop_test(tcase, keys_are_cut, 0, 5);
	tcase_add_test(tcase, order_and_scale_make_no_difference);
	tcase_add_test(tcase, removed_routes_tell_where_their_requests_go);
	tcase_add_test(tcase, lost_keys_name_their_holder);
	tcase_add_test(tcase, figures_of_engines_and_limits_are_compared);
	tcase_add_test(tcase, version_must_rise);
	return sup_run_case("catalog_check", tcase);
}
