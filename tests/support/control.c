#include "support/control.h"

#include <string.h>

/* The modules of one instance that refer to each other. */
struct control_node {
	struct mem_members *members;
	struct dst_distribution *rules;
	bool heard_target;
};

static uint64_t rules_revision(void *user)
{
	const struct control_node *node = user;

	return node->rules ? dst_revision(node->rules) : 0;
}

static void handle_peer_revision(struct wf_ctx *ctx, void *user,
				 const char *peer, uint64_t revision)
{
	struct control_node *node = user;

	dst_handle_revision(ctx, node->rules, peer, revision);
}

static void handle_target_update(struct wf_ctx *ctx, void *user,
				 const char *target, uint64_t incarnation,
				 enum wf_life life)
{
	struct control_node *node = user;

	(void)ctx;
	(void)target;
	(void)incarnation;
	node->heard_target = life == WF_LIFE_LEAVING;
}

static struct control_node *latest_node(void *user)
{
	GPtrArray *nodes = user;

	return nodes->pdata[nodes->len - 1];
}

static struct wf_module *make_members(struct wf_ctx *ctx, void *user)
{
	struct control_node *node = g_new0(struct control_node, 1);
	struct mem_config config;

	g_ptr_array_add(user, node);
	mem_config_init(&config);
	config.hooks.rules_revision = rules_revision;
	config.hooks.on_peer_revision = handle_peer_revision;
	config.hooks.on_target_update = handle_target_update;
	config.hooks.user = node;
	node->members = mem_new(ctx, ctx->self, &config);
	return mem_module(node->members);
}

static struct wf_module *make_rules(struct wf_ctx *ctx, void *user)
{
	struct control_node *node = latest_node(user);

	node->rules = dst_new(ctx, NULL);
	return dst_module(node->rules);
}

struct control *control_new(unsigned n_instances, uint64_t seed)
{
	struct control *control = g_new0(struct control, 1);
	struct sim_config config;

	sim_config_init(&config);
	config.seed = seed;
	config.n_instances = n_instances;
	config.n_targets = 0;
	config.peers_by_module = true;
	config.n_data_centers = 9;
	config.view_delay = 20 * CLK_SECOND;
	config.peer_latency = 40;
	config.store_latency = 10;
	config.make[0] = make_members;
	config.make[1] = make_rules;
	config.n_modules = 2;
	config.user = g_ptr_array_new_with_free_func(g_free);
	control->sim = sim_new(&config);
	return control;
}

void control_free(struct control *control)
{
	GPtrArray *nodes = control->sim->config.user;

	sim_free(control->sim);
	rul_manifest_free(control->manifest);
	g_ptr_array_unref(nodes);
	g_free(control);
}

void control_advance(struct control *control, clk_ms span)
{
	sim_run_until(control->sim, control->sim->now + span);
}

static void store_chunks(struct control *control, const char *text)
{
	const struct rul_manifest *manifest = control->manifest;
	guint i;

	for (i = 0; i < manifest->chunks->len; i++) {
		const struct rul_chunk *chunk;
		GBytes *value;
		char *name;

		chunk = &g_array_index(manifest->chunks, struct rul_chunk, i);
		name = g_strdup_printf("%s/%s", RUL_CHUNK_KIND, chunk->hash);
		value = g_bytes_new(text + chunk->offset, chunk->len);
		if (!g_hash_table_contains(control->sim->objects, name))
			sim_store_set(control->sim, name, value);
		g_bytes_unref(value);
		g_free(name);
	}
}

uint64_t control_publish(struct control *control, const char *text)
{
	struct rul_author author = {.name = "operator"};
	struct rul_manifest *next;
	GBytes *value;

	author.nonce[0] =
		control->manifest ? (uint8_t)control->manifest->revision : 255;
	next = rul_manifest_new(control->manifest, text, strlen(text), &author,
				control->sim->now);
	rul_manifest_free(control->manifest);
	control->manifest = next;
	store_chunks(control, text);
	value = rul_manifest_encode(next, NULL);
	sim_store_set(control->sim, RUL_MANIFEST_NAME, value);
	g_bytes_unref(value);
	return next->revision;
}

struct dst_distribution *control_rules(struct control *control, unsigned i)
{
	return control->sim->instances[i].modules->pdata[1];
}

unsigned control_count_in_force(struct control *control, uint64_t revision)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < control->sim->config.n_instances; i++)
		if (control->sim->instances[i].alive)
			n += dst_revision(control_rules(control, i)) ==
			     revision;
	return n;
}

static unsigned count_alive(const struct control *control)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < control->sim->config.n_instances; i++)
		n += control->sim->instances[i].alive;
	return n;
}

clk_ms control_time_to_revision(struct control *control, uint64_t revision,
				clk_ms limit)
{
	clk_ms start = control->sim->now;

	while (control->sim->now - start <= limit) {
		if (control_count_in_force(control, revision) ==
		    count_alive(control))
			return control->sim->now - start;
		control_advance(control, 10);
	}
	return -1;
}

static unsigned count_heard(const struct control *control)
{
	const GPtrArray *nodes = control->sim->config.user;
	unsigned n = 0;
	guint i;

	for (i = 0; i < nodes->len; i++)
		n += ((const struct control_node *)nodes->pdata[i])
			     ->heard_target;
	return n;
}

clk_ms control_time_to_leaving(struct control *control, clk_ms limit)
{
	struct sim_instance *first = &control->sim->instances[0];
	clk_ms start = control->sim->now;

	first->ctx->now = start;
	mem_announce_target(first->ctx, first->modules->pdata[0], "engine-1", 1,
			    WF_LIFE_LEAVING);
	sim_run_actions(control->sim, 0);
	while (control->sim->now - start <= limit) {
		if (count_heard(control) + 1 == count_alive(control))
			return control->sim->now - start;
		control_advance(control, 10);
	}
	return -1;
}

char *control_text(unsigned n_orgs, unsigned edited)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < n_orgs; i++)
		g_string_append_printf(
			text,
			"route org=org-%05u model=any priority=%u "
			"deadline=30s rate=%u/s # operator-%u\n",
			i, i % 4, 10 + (i == edited), i % 97);
	return g_string_free(text, FALSE);
}
