/*
 * Checks of a configuration. It is written by hand and takes effect on all
 * instances within a second, so an entry without effect, or a limit that
 * another one excludes, should be found before.
 */

#include <stdarg.h>
#include <string.h>

#include <wagtailferry/catalog_check.h>

#define LABEL_CHARS 4

const char *chk_kind_name(enum chk_kind kind)
{
	static const char *const names[] = {"error", "never_matches",
					    "contradiction"};

	return names[kind];
}

static void problem_free(gpointer data)
{
	struct chk_problem *problem = data;

	g_free(problem->where);
	g_free(problem->message);
	g_free(problem);
}

GPtrArray *chk_problems_new(void)
{
	return g_ptr_array_new_with_free_func(problem_free);
}

void chk_add_problem(GPtrArray *problems, enum chk_kind kind, const char *where,
		     const char *format, ...)
{
	struct chk_problem *problem = g_new0(struct chk_problem, 1);
	va_list args;

	va_start(args, format);
	problem->kind = kind;
	problem->where = g_strdup(where);
	problem->message = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(problems, problem);
}

char *chk_key_label(const char *key)
{
	char *valid = g_utf8_make_valid(key, -1);
	glong shown = MIN(LABEL_CHARS, g_utf8_strlen(valid, -1) / 2);
	char *label;

#ifdef WF_GUARD_OFF_CONFIG_KEY_LABEL
	shown = g_utf8_strlen(valid, -1);
#endif
	*g_utf8_offset_to_pointer(valid, shown) = '\0';
	label = g_strconcat(valid, "...", NULL);
	g_free(valid);
	return label;
}

static void check_shares(const struct cat_catalog *catalog,
			 const struct cat_route *route, const char *where,
			 GPtrArray *problems)
{
	guint i;

	for (i = 0; i < route->shares->len; i++) {
		const struct cat_share *share =
			&g_array_index(route->shares, struct cat_share, i);

		if (!cat_find_service(catalog, share->service))
			chk_add_problem(problems, CHK_NEVER_MATCHES, where,
					"there is no service %s",
					share->service);
		if (!share->weight)
			chk_add_problem(problems, CHK_NEVER_MATCHES, where,
					"the share of service %s has weight 0",
					share->service);
	}
}

/* A route without a timeout has that of the instance. */
static void check_times(const struct cat_route *route, const char *where,
			GPtrArray *problems)
{
	if (!route->timeout)
		return;
	if (route->objective > route->timeout)
		chk_add_problem(
			problems, CHK_CONTRADICTION, where,
			"the objective of %" G_GINT64_FORMAT
			" ms is above the timeout of %" G_GINT64_FORMAT " ms",
			(gint64)route->objective, (gint64)route->timeout);
	if (route->max_pause > route->timeout)
		chk_add_problem(
			problems, CHK_CONTRADICTION, where,
			"the pause objective of %" G_GINT64_FORMAT
			" ms is above the timeout of %" G_GINT64_FORMAT " ms",
			(gint64)route->max_pause, (gint64)route->timeout);
}

static void check_route(const struct cat_catalog *catalog,
			const struct cat_route *route, GPtrArray *problems)
{
	char *where = g_strdup_printf("route %s (%s %s)", route->name,
				      route->host, route->prefix);

	/* For example if the host has a port or the prefix a query. */
	if (cat_find_route(catalog, route->host, route->prefix) != route)
		chk_add_problem(problems, CHK_NEVER_MATCHES, where,
				"no request has this host and prefix");
	check_shares(catalog, route, where, problems);
	check_times(route, where, problems);
	if (route->retry_policy == CAT_RETRY_NEVER && route->max_attempts > 1)
		chk_add_problem(problems, CHK_CONTRADICTION, where,
				"%u attempts, but its requests must not be "
				"retried",
				route->max_attempts);
	g_free(where);
}

static void check_services(const struct cat_catalog *catalog,
			   GPtrArray *problems)
{
	const GPtrArray *services = cat_services(catalog);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < services->len; i++) {
		const struct cat_service *service = services->pdata[i];
		char *where;

		if (g_hash_table_add(names, service->name))
			continue;
		where = g_strdup_printf("service %s", service->name);
		chk_add_problem(problems, CHK_NEVER_MATCHES, where,
				"it is listed twice, the first entry counts");
		g_free(where);
	}
	g_hash_table_unref(names);
}

/* Returns the set of names of the organisations that hold a key. */
static GHashTable *key_holders(const struct cat_catalog *catalog)
{
	GHashTable *holders = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *keys = cat_list_keys(catalog);
	guint i;

	for (i = 0; i < keys->len; i++)
		g_hash_table_add(holders,
				 cat_find_org(catalog, keys->pdata[i])->name);
	g_ptr_array_unref(keys);
	return holders;
}

static void check_orgs(const struct cat_catalog *catalog, GPtrArray *problems)
{
	const GPtrArray *orgs = cat_orgs(catalog);
	GHashTable *holders = key_holders(catalog);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < orgs->len; i++) {
		const struct cat_org *org = orgs->pdata[i];
		char *where = g_strdup_printf("organisation %s", org->name);

		if (!g_hash_table_add(names, org->name))
			chk_add_problem(problems, CHK_CONTRADICTION, where,
					"it is listed twice");
		else if (!g_hash_table_contains(holders, org->name))
			chk_add_problem(problems, CHK_NEVER_MATCHES, where,
					"it has no key");
		g_free(where);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(holders);
}

static void check_limits(const struct cat_limits *limits, GPtrArray *problems)
{
	if (limits->header_bytes > limits->body_bytes)
		chk_add_problem(problems, CHK_CONTRADICTION, "limits",
				"the header limit of %zu bytes is above the "
				"body limit of %zu bytes",
				limits->header_bytes, limits->body_bytes);
	if (!limits->idle_timeout)
		chk_add_problem(problems, CHK_CONTRADICTION, "limits",
				"the idle timeout is 0");
}

void chk_catalog(const struct cat_catalog *catalog, GPtrArray *problems)
{
	GPtrArray *routes = cat_list_routes(catalog);
	guint i;

	for (i = 0; i < routes->len; i++)
		check_route(catalog, routes->pdata[i], problems);
	g_ptr_array_unref(routes);
	check_services(catalog, problems);
	check_orgs(catalog, problems);
	/* cat_limits() returns them for writing, before they are shared. */
	check_limits(cat_limits((struct cat_catalog *)catalog), problems);
}

void chk_version(const struct cat_catalog *in_force,
		 const struct cat_catalog *offered, const GPtrArray *changes,
		 GPtrArray *problems)
{
	int64_t present = cat_version(in_force);
	int64_t version = cat_version(offered);

	if (version < present)
		chk_add_problem(problems, CHK_CONTRADICTION, "version",
				"%" G_GINT64_FORMAT " is below the version in "
				"force, %" G_GINT64_FORMAT
				"; instances drop it",
				(gint64)version, (gint64)present);
	else if (version == present && changes->len)
		chk_add_problem(problems, CHK_CONTRADICTION, "version",
				"%" G_GINT64_FORMAT " is that of the version "
				"in force, which differs",
				(gint64)version);
}
