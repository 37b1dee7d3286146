#include "soak.h"

/* Idle timeouts stay below the time for which hup keeps a connection. */
#define MIN_IDLE_TIMEOUT_MS 700
#define MAX_IDLE_TIMEOUT_MS 3600
/* With half a second after it, a timeout is below the callers' deadline. */
#define MIN_TIMEOUT_MS 2200
#define MAX_TIMEOUT_MS 3000
#define FILLER_ROUTES 400
#define MAX_ATTEMPTS 3
/* Pause between the events of a stream. */
#define MIN_INTERVAL_MS 15
#define MAX_INTERVAL_MS 50
#define MIN_SERIES 1
#define MAX_SERIES 8

enum change {
	CHANGE_ROUTE,
	CHANGE_WEIGHTS,
	CHANGE_TIMEOUT,
	CHANGE_IDLE_TIMEOUT,
	CHANGE_KEY,
	CHANGE_SIZE,
	N_CHANGES,
};

static json_t *key_list(const struct soak *soak)
{
	json_t *keys = json_array();
	unsigned key;

	for (key = 0; key < SOAK_KEYS; key++) {
		char *name = g_strdup_printf("key%u", key);

		if (!soak->keys[key].removed_at)
			json_array_append_new(keys, json_string(name));
		g_free(name);
	}
	return keys;
}

static void add_route(json_t *routes, const char *name, unsigned n)
{
	char *prefix = g_strdup_printf("/%s%u/", name, n);

	json_array_append_new(routes, world_route(prefix, "idempotent", "plain",
						  MAX_ATTEMPTS, false));
	g_free(prefix);
}

/* A part of weight 0 is left out. */
static void add_split_route(const struct soak *soak, json_t *routes)
{
	json_t *route = world_route("/split/", "idempotent", "plain",
				    MAX_ATTEMPTS, false);
	json_t *split = json_array();
	unsigned i;

	for (i = 0; i < SOAK_PARTS; i++) {
		if (soak->parts[i].weight)
			json_array_append_new(
				split,
				json_pack("{s:s,s:i}", "service",
					  i ? "spare" : "plain", "weight",
					  (int)soak->parts[i].weight));
	}
	json_object_del(route, "service");
	json_object_set_new(route, "split", split);
	json_array_append_new(routes, route);
}

static void set_routes(const struct soak *soak, json_t *config)
{
	json_t *routes = json_object_get(config, "routes");
	json_t *route;
	unsigned n;
	size_t i;

	for (n = 0; n < SOAK_ADDED_ROUTES; n++) {
		if (soak->added[n].is_present)
			add_route(routes, "added", n);
	}
	for (n = 0; soak->is_large && n < FILLER_ROUTES; n++)
		add_route(routes, "filler", n);
	add_split_route(soak, routes);
	json_array_foreach(routes, i, route)
	{
		json_object_set_new(route, "timeout-ms",
				    json_integer(soak->timeout));
		json_object_set_new(route, "max-attempts",
				    json_integer(soak->max_attempts));
	}
}

void soak_put_config(struct soak *soak)
{
	struct soak_version version = {
		.at = soak_now(soak),
		.timeout = soak->timeout,
		.idle_timeout = soak->idle_timeout,
	};
	json_t *config;

	soak->version += g_rand_int_range(soak->rand, 1, 4);
	config = world_config_with_keys(soak->version, key_list(soak));
	set_routes(soak, config);
	json_array_append_new(
		json_object_get(config, "services"),
		json_pack("{s:s,s:i}", "name", "spare", "max-conns", 100));
	json_object_set_new(config, "limits",
			    json_pack("{s:I}", "idle-timeout-ms",
				      (json_int_t)soak->idle_timeout));
	world_put(&soak->world, "config", "main", config);
	g_array_append_val(soak->versions, version);
}

/* The two services of the split route change their shares. */
static void change_weights(struct soak *soak)
{
	static const unsigned weights[] = {0, 30, 70, 100};
	unsigned first =
		weights[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(weights))];
	unsigned i;

	for (i = 0; i < SOAK_PARTS; i++) {
		unsigned weight = i ? 100 - first : first;

		if (!weight != !soak->parts[i].weight)
			soak->parts[i].changed_at = soak_now(soak);
		soak->parts[i].weight = weight;
	}
}

static void change_route(struct soak *soak)
{
	struct soak_added *route = &soak->added[g_rand_int_range(
		soak->rand, 0, SOAK_ADDED_ROUTES)];

	route->is_present = !route->is_present;
	route->changed_at = soak_now(soak);
}

/* The first key stays valid. */
static void change_key(struct soak *soak)
{
	struct soak_key *key =
		&soak->keys[g_rand_int_range(soak->rand, 1, SOAK_KEYS)];

	if (key->removed_at)
		key->restored_at = soak_now(soak);
	key->removed_at = key->removed_at ? 0 : soak_now(soak);
}

static void change_config(struct soak *soak)
{
	switch ((enum change)g_rand_int_range(soak->rand, 0, N_CHANGES)) {
	case CHANGE_ROUTE:
		change_route(soak);
		break;
	case CHANGE_WEIGHTS:
		change_weights(soak);
		break;
	case CHANGE_TIMEOUT:
		soak->timeout = g_rand_int_range(soak->rand, MIN_TIMEOUT_MS,
						 MAX_TIMEOUT_MS + 1);
		break;
	case CHANGE_IDLE_TIMEOUT:
		soak->idle_timeout =
			g_rand_int_range(soak->rand, MIN_IDLE_TIMEOUT_MS,
					 MAX_IDLE_TIMEOUT_MS + 1);
		break;
	case CHANGE_KEY:
		change_key(soak);
		break;
	default:
		soak->is_large = !soak->is_large;
	}
	soak_put_config(soak);
}

static void on_change_timer(uv_timer_t *timer)
{
	struct soak *soak = timer->data;

	change_config(soak);
	if (soak->changes_left && --soak->changes_left)
		uv_timer_start(timer, on_change_timer,
			       (uint64_t)g_rand_int_range(soak->rand, 10, 300),
			       0);
}

void soak_start_changes(struct soak *soak)
{
	soak->changes_left = (unsigned)g_rand_int_range(soak->rand, MIN_SERIES,
							MAX_SERIES + 1);
	uv_timer_start(&soak->change_timer, on_change_timer, 0, 0);
}

void soak_restore_config(struct soak *soak)
{
	unsigned key;

	uv_timer_stop(&soak->change_timer);
	for (key = 0; key < SOAK_KEYS; key++) {
		if (soak->keys[key].removed_at)
			soak->keys[key].restored_at = soak_now(soak);
		soak->keys[key].removed_at = 0;
	}
	soak_put_config(soak);
}

/* The version that was the newest at the time. */
static guint version_at(const struct soak *soak, clk_ms at)
{
	guint i = soak->versions->len - 1;

	while (i &&
	       g_array_index(soak->versions, struct soak_version, i).at > at)
		i--;
	return i;
}

clk_ms soak_known_idle_timeout(const struct soak *soak)
{
	guint i = version_at(soak, soak_now(soak) - SOAK_CONFIG_APPLY_MS);

	return g_array_index(soak->versions, struct soak_version, i)
		.idle_timeout;
}

void soak_timeout_range(const struct soak *soak, clk_ms since, clk_ms *least,
			clk_ms *most)
{
	guint i = version_at(soak, since - SOAK_CONFIG_APPLY_MS);

	*least = CLK_NEVER;
	*most = 0;
	for (; i < soak->versions->len; i++) {
		clk_ms timeout =
			g_array_index(soak->versions, struct soak_version, i)
				.timeout;

		*least = MIN(*least, timeout);
		*most = MAX(*most, timeout);
	}
}

void soak_setup_config(struct soak *soak)
{
	/* With few retries left, a run that pauses can't be replaced. */
	static const int slacks[] = {4, 50, 2000};

	soak->versions = g_array_new(FALSE, FALSE, sizeof(struct soak_version));
	soak->timeout = MAX_TIMEOUT_MS;
	soak->idle_timeout = MAX_IDLE_TIMEOUT_MS;
	soak->parts[0].weight = 100;
	soak->max_attempts =
		(unsigned)g_rand_int_range(soak->rand, 1, MAX_ATTEMPTS + 1);
	soak->event_interval = (unsigned)g_rand_int_range(
		soak->rand, MIN_INTERVAL_MS, MAX_INTERVAL_MS + 1);
	soak->retry_slack =
		slacks[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(slacks))];
	uv_timer_init(&soak->world.wire.loop, &soak->change_timer);
	soak->change_timer.data = soak;
	soak_put_config(soak);
}
