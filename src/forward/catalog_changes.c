/*
 * Differences between two versions of the configuration, by meaning: a file
 * that lists its entries in another order has none.
 */

#include <string.h>

#include <wagtailferry/catalog_check.h>

const char *chk_change_name(enum chk_change_kind kind)
{
	static const char *const names[] = {"added", "removed", "changed"};

	return names[kind];
}

static void change_free(gpointer data)
{
	struct chk_change *change = data;

	g_free(change->name);
	g_free(change->detail);
	g_free(change->taken_from);
	g_free(change);
}

/* Appends a change. Takes ownership of name and detail. */
static struct chk_change *add_change(GPtrArray *changes,
				     enum chk_change_kind kind,
				     const char *what, char *name, char *detail)
{
	struct chk_change *change = g_new0(struct chk_change, 1);

	change->kind = kind;
	change->what = what;
	change->name = name;
	change->detail = detail;
	g_ptr_array_add(changes, change);
	return change;
}

/* Appends a change if the text of its differences isn't empty. Frees the text
 * and takes ownership of name. */
static struct chk_change *add_if_changed(GPtrArray *changes, const char *what,
					 char *name, GString *text)
{
	if (text->len)
		return add_change(changes, CHK_CHANGED, what, name,
				  g_string_free(text, FALSE));
	g_free(name);
	g_string_free(text, TRUE);
	return NULL;
}

/* Each of these appends "NAME FROM -> TO" to the text if the values differ. */

static void compare_texts(GString *text, const char *name, const char *from,
			  const char *to)
{
	if (!g_strcmp0(from, to))
		return;
	g_string_append_printf(text, "%s%s %s -> %s", text->len ? ", " : "",
			       name, from ? from : "none", to ? to : "none");
}

static void compare_integers(GString *text, const char *name, gint64 from,
			     gint64 to)
{
	if (from != to)
		g_string_append_printf(
			text, "%s%s %" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT,
			text->len ? ", " : "", name, from, to);
}

/* Formats a number so that it can be read back. */
static char *format_number(double number)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(text, sizeof(text), "%.15g", number);
	if (g_ascii_strtod(text, NULL) != number)
		g_ascii_dtostr(text, sizeof(text), number);
	return g_strdup(text);
}

static void compare_numbers(GString *text, const char *name, double from,
			    double to)
{
	char *from_text = format_number(from);
	char *to_text = format_number(to);

	compare_texts(text, name, from_text, to_text);
	g_free(from_text);
	g_free(to_text);
}

static void compare_flags(GString *text, const char *name, bool from, bool to)
{
	compare_texts(text, name, from ? "yes" : "no", to ? "yes" : "no");
}

/* Routes */

static char *route_name(const struct cat_route *route)
{
	return g_strdup_printf("%s %s", route->host, route->prefix);
}

static gint compare_shares(gconstpointer a, gconstpointer b)
{
	const struct cat_share *left = a;
	const struct cat_share *right = b;
	int order = strcmp(left->service, right->service);

	return order ? order
		     : (left->weight > right->weight) -
			       (left->weight < right->weight);
}

/* Greatest common divisor of the weights, 1 if all are 0. */
static unsigned common_divisor(const GArray *shares)
{
	unsigned divisor = 0;
	guint i;

	for (i = 0; i < shares->len; i++) {
		unsigned rest =
			g_array_index(shares, struct cat_share, i).weight;

		while (rest) {
			unsigned next = divisor % rest;

			divisor = rest;
			rest = next;
		}
	}
	return divisor ? divisor : 1;
}

/* Services with weights, sorted and in lowest terms: neither their order nor
 * the sum of the weights has a meaning. */
static char *describe_shares(const struct cat_route *route)
{
	GArray *shares = g_array_copy(route->shares);
	unsigned divisor = common_divisor(shares);
	GString *text = g_string_new(NULL);
	guint i;

	/* The copy borrows the strings. */
	g_array_set_clear_func(shares, NULL);
	g_array_sort(shares, compare_shares);
	for (i = 0; i < shares->len; i++) {
		const struct cat_share *share =
			&g_array_index(shares, struct cat_share, i);

		g_string_append_printf(text, "%s%s:%u", i ? "+" : "",
				       share->service, share->weight / divisor);
	}
	g_array_unref(shares);
	return g_string_free(text, FALSE);
}

static void compare_services_of_routes(GString *text,
				       const struct cat_route *from,
				       const struct cat_route *to)
{
	char *from_text = describe_shares(from);
	char *to_text = describe_shares(to);

	compare_texts(text, "services", from_text, to_text);
	g_free(from_text);
	g_free(to_text);
}

static void change_route(GPtrArray *changes, const struct cat_route *from,
			 const struct cat_route *to)
{
	static const char *const retries[] = {"always", "never", "resume"};
	GString *text = g_string_new(NULL);
	struct chk_change *change;

	compare_texts(text, "name", from->name, to->name);
	compare_texts(text, "retries", retries[from->retry_policy],
		      retries[to->retry_policy]);
	compare_flags(text, "stream", from->is_stream, to->is_stream);
	compare_flags(text, "public", from->is_public, to->is_public);
	compare_integers(text, "timeout ms", from->timeout, to->timeout);
	compare_integers(text, "objective ms", from->objective, to->objective);
	compare_integers(text, "pause objective ms", from->max_pause,
			 to->max_pause);
	compare_integers(text, "priority", from->priority, to->priority);
	compare_integers(text, "attempts", from->max_attempts,
			 to->max_attempts);
	compare_services_of_routes(text, from, to);
	change = add_if_changed(changes, "route", route_name(to), text);
	if (change && from->is_public && !to->is_public)
		change->taken_from = g_strdup("callers without a key");
}

/* Requests for a removed route may match one with a shorter prefix. */
static void remove_route(GPtrArray *changes, const struct cat_route *route,
			 const struct cat_catalog *to)
{
	const struct cat_route *other =
		cat_find_route(to, route->host, route->prefix);
	struct chk_change *change;
	char *detail;

	detail = other ? g_strdup_printf(
				 "its requests go to route %s (%s %s) instead",
				 other->name, other->host, other->prefix)
		       : g_strdup("its requests match no route");
	change = add_change(changes, CHK_REMOVED, "route", route_name(route),
			    detail);
	if (!other)
		change->taken_from = g_strdup("all callers");
	else if (route->is_public && !other->is_public)
		change->taken_from = g_strdup("callers without a key");
}

/* Maps names to routes. Lookups by path don't find a route whose host or prefix
 * no request can have. */
static GHashTable *routes_by_name(const GPtrArray *routes)
{
	GHashTable *table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < routes->len; i++)
		g_hash_table_insert(table, route_name(routes->pdata[i]),
				    routes->pdata[i]);
	return table;
}

static const struct cat_route *same_route(GHashTable *table,
					  const struct cat_route *route)
{
	char *name = route_name(route);
	const struct cat_route *same = g_hash_table_lookup(table, name);

	g_free(name);
	return same;
}

static void change_routes(GPtrArray *changes, const struct cat_catalog *from,
			  const struct cat_catalog *to)
{
	GPtrArray *old = cat_list_routes(from);
	GPtrArray *new = cat_list_routes(to);
	GHashTable *old_names = routes_by_name(old);
	GHashTable *new_names = routes_by_name(new);
	guint i;

	for (i = 0; i < old->len; i++) {
		const struct cat_route *same =
			same_route(new_names, old->pdata[i]);

		if (same)
			change_route(changes, old->pdata[i], same);
		else
			remove_route(changes, old->pdata[i], to);
	}
	for (i = 0; i < new->len; i++) {
		if (!same_route(old_names, new->pdata[i]))
			add_change(changes, CHK_ADDED, "route",
				   route_name(new->pdata[i]),
				   describe_shares(new->pdata[i]));
	}
	g_hash_table_unref(old_names);
	g_hash_table_unref(new_names);
	g_ptr_array_unref(old);
	g_ptr_array_unref(new);
}

/* Services */

static const struct {
	const char *name;
	size_t offset;
} engine_numbers[] = {
	{"layer MB", G_STRUCT_OFFSET(struct cat_engine, layer_mb)},
	{"bytes per token", G_STRUCT_OFFSET(struct cat_engine, token_bytes)},
	{"step ms", G_STRUCT_OFFSET(struct cat_engine, step_ms)},
	{"step ms per request",
	 G_STRUCT_OFFSET(struct cat_engine, step_ms_per_request)},
	{"step ms per 1k context",
	 G_STRUCT_OFFSET(struct cat_engine, step_ms_per_1k_context)},
	{"prefill tokens per ms",
	 G_STRUCT_OFFSET(struct cat_engine, prefill_tokens_per_ms)},
	{"activation bytes",
	 G_STRUCT_OFFSET(struct cat_engine, activation_bytes)},
	{"link bytes per ms",
	 G_STRUCT_OFFSET(struct cat_engine, link_bytes_per_ms)},
	{"prefill chunk tokens",
	 G_STRUCT_OFFSET(struct cat_engine, prefill_chunk_tokens)},
	{"prefill ms per 1M pairs",
	 G_STRUCT_OFFSET(struct cat_engine, prefill_ms_per_1m_pairs)},
	{"usual prompt tokens",
	 G_STRUCT_OFFSET(struct cat_engine, usual_prompt_tokens)},
	{"usual answer tokens",
	 G_STRUCT_OFFSET(struct cat_engine, usual_answer_tokens)},
};

static char *describe_accelerator(const struct cat_engine *engine,
				  const char *name)
{
	const struct cat_accelerator *found =
		cat_find_accelerator(engine, name);
	char *memory;
	char *pace;
	char *factor;
	char *text;

	if (!found)
		return NULL;
	memory = format_number(found->memory_mb);
	pace = format_number(found->pace);
	factor = format_number(found->prefill_factor);
	text = g_strdup_printf("%s MB/pace %s/prefill factor %s", memory, pace,
			       factor);
	g_free(memory);
	g_free(pace);
	g_free(factor);
	return text;
}

/* Compares the accelerators of the engine listed; added_only: just those that
 * from lacks. */
static void compare_accelerators(GString *text, const struct cat_engine *from,
				 const struct cat_engine *to,
				 const struct cat_engine *listed,
				 bool added_only)
{
	guint i;

	for (i = 0; i < listed->accelerators->len; i++) {
		const char *name = g_array_index(listed->accelerators,
						 struct cat_accelerator, i)
					   .name;
		char *old = describe_accelerator(from, name);
		char *new = describe_accelerator(to, name);

		if (!added_only || !old)
			compare_texts(text, name, old, new);
		g_free(old);
		g_free(new);
	}
}

static void compare_engines(GString *text, const struct cat_engine *from,
			    const struct cat_engine *to)
{
	size_t i;

	compare_texts(text, "kind", from ? "engine" : "plain",
		      to ? "engine" : "plain");
	if (!from || !to)
		return;
	compare_texts(text, "model", from->model, to->model);
	compare_integers(text, "layers", from->layers, to->layers);
	compare_integers(text, "slots", from->slots, to->slots);
	compare_integers(text, "load ms", from->load_time, to->load_time);
	for (i = 0; i < G_N_ELEMENTS(engine_numbers); i++)
		compare_numbers(
			text, engine_numbers[i].name,
			G_STRUCT_MEMBER(double, from, engine_numbers[i].offset),
			G_STRUCT_MEMBER(double, to, engine_numbers[i].offset));
	compare_accelerators(text, from, to, from, false);
	compare_accelerators(text, from, to, to, true);
}

static void change_services(GPtrArray *changes, const struct cat_catalog *from,
			    const struct cat_catalog *to)
{
	const GPtrArray *old = cat_services(from);
	const GPtrArray *new = cat_services(to);
	guint i;

	for (i = 0; i < old->len; i++) {
		const struct cat_service *service = old->pdata[i];
		const struct cat_service *same =
			cat_find_service(to, service->name);
		GString *text;

		/* Of two entries of a name the first one counts. */
		if (cat_find_service(from, service->name) != service)
			continue;
		if (!same) {
			add_change(changes, CHK_REMOVED, "service",
				   g_strdup(service->name), g_strdup(""));
			continue;
		}
		text = g_string_new(NULL);
		compare_engines(text, service->engine, same->engine);
		add_if_changed(changes, "service", g_strdup(service->name),
			       text);
	}
	for (i = 0; i < new->len; i++) {
		const struct cat_service *service = new->pdata[i];

		if (cat_find_service(to, service->name) == service &&
		    !cat_find_service(from, service->name))
			add_change(changes, CHK_ADDED, "service",
				   g_strdup(service->name), g_strdup(""));
	}
}

/* Organisations and keys */

/* Maps names to the first struct cat_org of the name. */
static GHashTable *orgs_by_name(const struct cat_catalog *catalog)
{
	const GPtrArray *orgs = cat_orgs(catalog);
	GHashTable *table = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < orgs->len; i++) {
		struct cat_org *org = orgs->pdata[i];

		if (!g_hash_table_contains(table, org->name))
			g_hash_table_insert(table, org->name, org);
	}
	return table;
}

static void change_orgs(GPtrArray *changes, const struct cat_catalog *from,
			const struct cat_catalog *to)
{
	GHashTable *old = orgs_by_name(from);
	GHashTable *new = orgs_by_name(to);
	guint i;

	for (i = 0; i < cat_orgs(from)->len; i++) {
		const struct cat_org *org = cat_orgs(from)->pdata[i];
		const struct cat_org *same =
			g_hash_table_lookup(new, org->name);
		GString *text;

		if (g_hash_table_lookup(old, org->name) != org)
			continue;
		if (!same) {
			add_change(changes, CHK_REMOVED, "organisation",
				   g_strdup(org->name), g_strdup(""));
			continue;
		}
		text = g_string_new(NULL);
		compare_integers(text, "priority", org->priority,
				 same->priority);
		add_if_changed(changes, "organisation", g_strdup(org->name),
			       text);
	}
	for (i = 0; i < cat_orgs(to)->len; i++) {
		const struct cat_org *org = cat_orgs(to)->pdata[i];

		if (g_hash_table_lookup(new, org->name) == org &&
		    !g_hash_table_contains(old, org->name))
			add_change(changes, CHK_ADDED, "organisation",
				   g_strdup(org->name), g_strdup(""));
	}
	g_hash_table_unref(old);
	g_hash_table_unref(new);
}

/* A key of the earlier version that has no holder or another one. */
static void change_key(GPtrArray *changes, const char *key,
		       const struct cat_org *from, const struct cat_org *to)
{
	struct chk_change *change;

	if (to && !strcmp(from->name, to->name))
		return;
	change = add_change(changes, to ? CHK_CHANGED : CHK_REMOVED, "key",
			    chk_key_label(key),
			    to ? g_strdup_printf("given to %s", to->name)
			       : g_strdup("valid no more"));
	change->taken_from = g_strdup(from->name);
}

static void change_keys(GPtrArray *changes, const struct cat_catalog *from,
			const struct cat_catalog *to)
{
	GPtrArray *old = cat_list_keys(from);
	GPtrArray *new = cat_list_keys(to);
	guint i;

	for (i = 0; i < old->len; i++)
		change_key(changes, old->pdata[i],
			   cat_find_org(from, old->pdata[i]),
			   cat_find_org(to, old->pdata[i]));
	for (i = 0; i < new->len; i++) {
		const char *key = new->pdata[i];

		if (!cat_find_org(from, key))
			add_change(
				changes, CHK_ADDED, "key", chk_key_label(key),
				g_strdup_printf("given to %s",
						cat_find_org(to, key)->name));
	}
	g_ptr_array_unref(old);
	g_ptr_array_unref(new);
}

/* Without a list of organisations requests need no key. */
static void change_need_of_keys(GPtrArray *changes,
				const struct cat_catalog *from,
				const struct cat_catalog *to)
{
	GString *text = g_string_new(NULL);
	struct chk_change *change;

	compare_flags(text, "required", cat_needs_keys(from),
		      cat_needs_keys(to));
	change = add_if_changed(changes, "key", g_strdup("all"), text);
	if (change && cat_needs_keys(to))
		change->taken_from = g_strdup("callers without a key");
}

static void change_limits(GPtrArray *changes, const struct cat_catalog *from,
			  const struct cat_catalog *to)
{
	/* cat_limits() returns them for writing, before they are shared. */
	const struct cat_limits *old = cat_limits((struct cat_catalog *)from);
	const struct cat_limits *new = cat_limits((struct cat_catalog *)to);
	GString *text = g_string_new(NULL);

	compare_integers(text, "header bytes", (gint64)old->header_bytes,
			 (gint64) new->header_bytes);
	compare_integers(text, "body bytes", (gint64)old->body_bytes,
			 (gint64) new->body_bytes);
	compare_integers(text, "header timeout ms", old->header_timeout,
			 new->header_timeout);
	compare_integers(text, "idle timeout ms", old->idle_timeout,
			 new->idle_timeout);
	add_if_changed(changes, "limit", g_strdup("callers"), text);
}

GPtrArray *chk_changes(const struct cat_catalog *from,
		       const struct cat_catalog *to)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(change_free);

	change_routes(changes, from, to);
	change_services(changes, from, to);
	change_limits(changes, from, to);
	change_orgs(changes, from, to);
	change_need_of_keys(changes, from, to);
	change_keys(changes, from, to);
	return changes;
}
