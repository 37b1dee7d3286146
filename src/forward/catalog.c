#include <string.h>

#include <wagtailferry/catalog.h>

/* Limits where the configuration sets none. */
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (1 << 20)
#define DEFAULT_HEADER_TIMEOUT (5 * CLK_SECOND)
#define DEFAULT_IDLE_TIMEOUT (60 * CLK_SECOND)
/* Longer hosts and paths match no route. */
#define MAX_LOOKUP_BYTES 4096

struct cat_catalog {
	int refs;
	int64_t version;
	/* Maps "host prefix" to struct cat_route. */
	GHashTable *routes;
	/* Array of struct cat_service pointers. */
	GPtrArray *services;
	GPtrArray *orgs;
	/* Maps an API key to struct cat_org. */
	GHashTable *keys;
	bool needs_keys;
	struct cat_limits limits;
};

static void share_clear(gpointer data)
{
	g_free(((struct cat_share *)data)->service);
}

static void accelerator_clear(gpointer data)
{
	g_free(((struct cat_accelerator *)data)->name);
}

struct cat_route *cat_route_new(void)
{
	struct cat_route *route = g_new0(struct cat_route, 1);

	route->shares = g_array_new(FALSE, TRUE, sizeof(struct cat_share));
	g_array_set_clear_func(route->shares, share_clear);
	return route;
}

void cat_route_free(struct cat_route *route)
{
	if (!route)
		return;
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->shares);
	g_free(route);
}

struct cat_engine *cat_engine_new(void)
{
	struct cat_engine *engine = g_new0(struct cat_engine, 1);

	engine->accelerators =
		g_array_new(FALSE, TRUE, sizeof(struct cat_accelerator));
	g_array_set_clear_func(engine->accelerators, accelerator_clear);
	return engine;
}

void cat_engine_free(struct cat_engine *engine)
{
	if (!engine)
		return;
	g_free(engine->model);
	g_array_unref(engine->accelerators);
	g_free(engine);
}

static void route_destroy(gpointer data)
{
	cat_route_free(data);
}

static void service_destroy(gpointer data)
{
	struct cat_service *service = data;

	g_free(service->name);
	cat_engine_free(service->engine);
	g_free(service);
}

static void org_destroy(gpointer data)
{
	g_free(((struct cat_org *)data)->name);
	g_free(data);
}

struct cat_catalog *cat_new(int64_t version)
{
	struct cat_catalog *catalog = g_new0(struct cat_catalog, 1);

	catalog->refs = 1;
	catalog->version = version;
	catalog->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						route_destroy);
	catalog->services = g_ptr_array_new_with_free_func(service_destroy);
	catalog->orgs = g_ptr_array_new_with_free_func(org_destroy);
	catalog->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	catalog->limits = (struct cat_limits){
		DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES,
		DEFAULT_HEADER_TIMEOUT, DEFAULT_IDLE_TIMEOUT};
	return catalog;
}

struct cat_catalog *cat_keep(struct cat_catalog *catalog)
{
	if (catalog)
		catalog->refs++;
	return catalog;
}

void cat_drop(struct cat_catalog *catalog)
{
	if (!catalog || --catalog->refs)
		return;
	g_hash_table_unref(catalog->routes);
	g_ptr_array_unref(catalog->services);
	g_hash_table_unref(catalog->keys);
	g_ptr_array_unref(catalog->orgs);
	g_free(catalog);
}

int64_t cat_version(const struct cat_catalog *catalog)
{
	return catalog->version;
}

bool cat_add_route(struct cat_catalog *catalog, struct cat_route *route,
		   GError **error)
{
	size_t len = route->prefix ? strlen(route->prefix) : 0;
	char *key;

	if (!route->host || !*route->host || !len || route->prefix[0] != '/' ||
	    route->prefix[len - 1] != '/' || !route->shares->len) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_RULES,
			    "route %s needs a host, a path prefix between "
			    "slashes and a service",
			    route->name ? route->name : "without a name");
		cat_route_free(route);
		return false;
	}
	key = g_strdup_printf("%s %s", route->host, route->prefix);
	if (g_hash_table_contains(catalog->routes, key)) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_RULES,
			    "duplicate route for host %s and path prefix %s",
			    route->host, route->prefix);
		g_free(key);
		cat_route_free(route);
		return false;
	}
	g_hash_table_insert(catalog->routes, key, route);
	return true;
}

void cat_add_service(struct cat_catalog *catalog, const char *name,
		     struct cat_engine *engine)
{
	struct cat_service *service = g_new0(struct cat_service, 1);

	service->name = g_strdup(name);
	service->engine = engine;
	g_ptr_array_add(catalog->services, service);
}

struct cat_org *cat_add_org(struct cat_catalog *catalog, const char *name,
			    int priority)
{
	struct cat_org *org = g_new0(struct cat_org, 1);

	org->name = g_strdup(name);
	org->priority = priority;
	g_ptr_array_add(catalog->orgs, org);
	return org;
}

void cat_add_key(struct cat_catalog *catalog, const char *key,
		 struct cat_org *org)
{
	g_hash_table_insert(catalog->keys, g_strdup(key), org);
}

void cat_require_keys(struct cat_catalog *catalog)
{
	catalog->needs_keys = true;
}

bool cat_needs_keys(const struct cat_catalog *catalog)
{
#ifdef WF_GUARD_OFF_EDGE_EMPTY_TENANTS
	return catalog->orgs->len > 0;
#endif
	return catalog->needs_keys;
}

struct cat_limits *cat_limits(struct cat_catalog *catalog)
{
	return &catalog->limits;
}

static size_t host_length(const char *host)
{
	const char *port = strrchr(host, ':');

	if (!port || strchr(port, ']'))
		return strlen(host);
	return (size_t)(port - host);
}

const struct cat_route *cat_find_route(const struct cat_catalog *catalog,
				       const char *host, const char *path)
{
	size_t host_len = host_length(host);
	size_t path_len = strcspn(path, "?#");
	const struct cat_route *route = NULL;
	char *key;
	size_t end;

	if (host_len + path_len > MAX_LOOKUP_BYTES)
		return NULL;
	key = g_strdup_printf("%.*s %.*s", (int)host_len, host, (int)path_len,
			      path);
	for (end = 0; end < host_len; end++)
		key[end] = g_ascii_tolower(key[end]);
	for (end = host_len + 1 + path_len; end > host_len + 1 && !route;
	     end--) {
		if (key[end - 1] != '/')
			continue;
		key[end] = '\0';
		route = g_hash_table_lookup(catalog->routes, key);
	}
	g_free(key);
	return route;
}

const struct cat_org *cat_find_org(const struct cat_catalog *catalog,
				   const char *key)
{
	return g_hash_table_lookup(catalog->keys, key);
}

const struct cat_service *cat_find_service(const struct cat_catalog *catalog,
					   const char *name)
{
	guint i;

	for (i = 0; i < catalog->services->len; i++) {
		const struct cat_service *service = catalog->services->pdata[i];

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

const GPtrArray *cat_services(const struct cat_catalog *catalog)
{
	return catalog->services;
}

size_t cat_route_count(const struct cat_catalog *catalog)
{
	return g_hash_table_size(catalog->routes);
}

static gint compare_routes(gconstpointer a, gconstpointer b)
{
	const struct cat_route *left = *(struct cat_route *const *)a;
	const struct cat_route *right = *(struct cat_route *const *)b;
	int order = strcmp(left->host, right->host);

	return order ? order : strcmp(left->prefix, right->prefix);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *cat_list_routes(const struct cat_catalog *catalog)
{
	GPtrArray *routes = g_ptr_array_new();
	GHashTableIter iter;
	gpointer route;

	g_hash_table_iter_init(&iter, catalog->routes);
	while (g_hash_table_iter_next(&iter, NULL, &route))
		g_ptr_array_add(routes, route);
	g_ptr_array_sort(routes, compare_routes);
	return routes;
}

GPtrArray *cat_list_keys(const struct cat_catalog *catalog)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, catalog->keys);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys);
	return keys;
}

const GPtrArray *cat_orgs(const struct cat_catalog *catalog)
{
	return catalog->orgs;
}

const char *cat_choose_service(const struct cat_route *route, uint32_t draw)
{
	const struct cat_share *shares = (void *)route->shares->data;
	uint64_t total = 0;
	uint64_t offset;
	guint i;

	for (i = 0; i < route->shares->len; i++)
		total += shares[i].weight;
	if (!total)
		return shares[0].service;
	offset = draw % total;
	for (i = 0; i + 1 < route->shares->len; i++) {
		if (offset < shares[i].weight)
			break;
		offset -= shares[i].weight;
	}
	return shares[i].service;
}

const struct cat_accelerator *
cat_find_accelerator(const struct cat_engine *engine, const char *name)
{
	const struct cat_accelerator *all = (void *)engine->accelerators->data;
	guint i;

	for (i = 0; name && i < engine->accelerators->len; i++) {
		if (!strcmp(all[i].name, name))
			return &all[i];
	}
	return NULL;
}

double cat_free_token_layers(const struct cat_engine *engine,
			     const struct cat_accelerator *accelerator,
			     unsigned held)
{
	double free_mb = accelerator->memory_mb - held * engine->layer_mb;

	return free_mb * 1e6 / (engine->token_bytes / engine->layers);
}
