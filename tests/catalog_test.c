/* Tests of the catalog: route lookup, traffic shares, keys, invalid routes. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/catalog.h>

#include "support/runner.h"

static struct cat_route *make_route(const char *host, const char *prefix,
				    const char *service)
{
	struct cat_route *route = cat_route_new();
	struct cat_share share = {g_strdup(service), 1};

	route->name = g_strdup(prefix ? prefix : "none");
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	g_array_append_val(route->shares, share);
	return route;
}

static void add(struct cat_catalog *catalog, const char *host,
		const char *prefix)
{
	ck_assert(cat_add_route(catalog, make_route(host, prefix, "s"), NULL));
}

struct lookup {
	const char *host;
	const char *path;
	/* Name of the route, NULL for none. */
	const char *route;
};

static const struct lookup lookups[] = {
	{"a.example", "/x/", "/x/"},
	{"a.example", "/x/y/z", "/x/y/"},
	{"a.example", "/x/yz", "/x/"},
	{"A.Example:8080", "/x/1?/x/y/", "/x/"},
	{"a.example", "/x", NULL},
	{"a.example", "/other/", NULL},
	{"b.example", "/anything/at/all", "/"},
	{"c.example", "/x/", NULL},
	{"", "/x/", NULL},
	{"a.example", "", NULL},
	{"a.example", "/x/#/x/y/", "/x/"},
};

/* A prefix must match whole path segments only. Case and port of the host and
 * the query must not affect the lookup. */
START_TEST(longest_prefix_of_the_host_wins)
{
	const struct lookup *lookup = &lookups[_i];
	struct cat_catalog *catalog = cat_new(1);
	const struct cat_route *route;

	add(catalog, "a.example", "/x/");
	add(catalog, "a.example", "/x/y/");
	add(catalog, "b.example", "/");
	route = cat_find_route(catalog, lookup->host, lookup->path);
	if (lookup->route)
		ck_assert_str_eq(route->name, lookup->route);
	else
		ck_assert_ptr_null(route);
	cat_drop(catalog);
}
END_TEST

/* Guards against very long paths, which would be costly to look up. */
START_TEST(overlong_path_matches_nothing)
{
	struct cat_catalog *catalog = cat_new(1);
	char *path = g_strnfill(100000, '/');

	add(catalog, "a.example", "/");
	ck_assert_ptr_null(cat_find_route(catalog, "a.example", path));
	g_free(path);
	cat_drop(catalog);
}
END_TEST

struct invalid_route {
	const char *host;
	const char *prefix;
	bool has_service;
};

static const struct invalid_route invalid_routes[] = {
	{NULL, "/x/", true},	       {"", "/x/", true},
	{"a.example", NULL, true},     {"a.example", "", true},
	{"a.example", "x/", true},     {"a.example", "/x", true},
	{"a.example", "/new/", false}, {"a.example", "/taken/", true},
};

START_TEST(invalid_routes_are_rejected)
{
	const struct invalid_route *invalid_route = &invalid_routes[_i];
	struct cat_catalog *catalog = cat_new(1);
	struct cat_route *route =
		make_route(invalid_route->host, invalid_route->prefix, "s");
	GError *error = NULL;

	add(catalog, "a.example", "/taken/");
	if (!invalid_route->has_service)
		g_array_set_size(route->shares, 0);
	ck_assert(!cat_add_route(catalog, route, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_RULES));
	ck_assert_uint_eq(cat_route_count(catalog), 1);
	g_error_free(error);
	cat_drop(catalog);
}
END_TEST

/* Guards against traffic shares that deviate from the weights. */
START_TEST(shares_follow_their_weights)
{
	struct cat_route *route = make_route("h", "/", "large");
	struct cat_share small = {g_strdup("small"), 10};
	struct cat_share none = {g_strdup("none"), 0};
	unsigned n_small = 0;
	uint32_t draw;

	g_array_index(route->shares, struct cat_share, 0).weight = 90;
	g_array_append_val(route->shares, small);
	g_array_append_val(route->shares, none);
	for (draw = 0; draw < 1000; draw++) {
		const char *service = cat_choose_service(route, draw);

		ck_assert_str_ne(service, "none");
		n_small += !strcmp(service, "small");
	}
	ck_assert_uint_eq(n_small, 100);
	cat_route_free(route);
}
END_TEST

START_TEST(key_identifies_its_organisation)
{
	struct cat_catalog *catalog = cat_new(1);
	struct cat_org *org;

	ck_assert(!cat_needs_keys(catalog));
	cat_require_keys(catalog);
	ck_assert(cat_needs_keys(catalog));
	org = cat_add_org(catalog, "hotel", 2);
	cat_add_key(catalog, "k1", org);
	cat_add_key(catalog, "k2", org);
	ck_assert(cat_needs_keys(catalog));
	ck_assert_str_eq(cat_find_org(catalog, "k2")->name, "hotel");
	ck_assert_ptr_null(cat_find_org(catalog, "k"));
	ck_assert_ptr_null(cat_find_org(catalog, ""));
	cat_drop(catalog);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("catalog");

	tcase_add_loop_test(tcase, longest_prefix_of_the_host_wins, 0,
			    G_N_ELEMENTS(lookups));
	tcase_add_test(tcase, overlong_path_matches_nothing);
	tcase_add_loop_test(tcase, invalid_routes_are_rejected, 0,
			    G_N_ELEMENTS(invalid_routes));
	tcase_add_test(tcase, shares_follow_their_weights);
	tcase_add_test(tcase, key_identifies_its_organisation);
	return sup_run_case("catalog", tcase);
}
