#include <string.h>

#include "sim.h"

#define MAX_VALUE 1048576

struct pending {
	unsigned index;
	unsigned generation;
	enum wf_action_type type;
	uint64_t op;
	char *name;
	uint64_t version;
	GBytes *body;
	clk_ms deadline;
	bool lose_reply;
};

static void free_pending(gpointer data)
{
	struct pending *pending = data;

	g_free(pending->name);
	if (pending->body)
		g_bytes_unref(pending->body);
	g_free(pending);
}

static void free_object(struct sim_object *object)
{
	g_bytes_unref(object->value);
	g_free(object);
}

static void answer(struct sim *sim, const struct pending *pending,
		   struct sim_delivery *reply)
{
	clk_ms delay = sim_random_span(sim, sim->config.store_latency);

	if (sim->now < sim->store_slow_until)
		delay += sim_random_span(sim, 2 * CLK_SECOND);
	if (pending->lose_reply || sim->now + delay > pending->deadline) {
		reply->store_result = WF_STORE_UNKNOWN;
		if (reply->body)
			g_bytes_unref(reply->body);
		reply->body = NULL;
		g_ptr_array_set_size(reply->names, 0);
		delay = MAX(pending->deadline - sim->now, 0);
	}
	sim_deliver(sim, delay, reply);
}

static struct sim_delivery *new_reply(const struct pending *pending)
{
	struct sim_instance ref = {
		.index = pending->index,
		.generation = pending->generation,
	};

	return sim_delivery_new(&ref, WF_EV_STORE_REPLY, pending->op);
}

static void get(struct sim *sim, const struct pending *pending,
		struct sim_delivery *reply)
{
	struct sim_object *object;

	sim->counts.gets++;
	object = g_hash_table_lookup(sim->objects, pending->name);
	if (!object) {
		reply->store_result = WF_STORE_NOT_FOUND;
		return;
	}
	reply->version = object->version;
	reply->body = g_bytes_ref(object->value);
	sim->counts.bytes_out += g_bytes_get_size(object->value);
}

static void add_name(GPtrArray *names, const char *name, uint64_t version)
{
	struct sim_name *copy = g_new(struct sim_name, 1);
	const char *slash = strchr(name, '/');

	copy->name = g_strdup(slash ? slash + 1 : name);
	copy->version = version;
	g_ptr_array_add(names, copy);
}

/* Answers the watches whose prefix matches a changed name. */
static void notify(struct sim *sim, const char *name, uint64_t version)
{
	guint i;

	for (i = sim->watches->len; i-- > 0;) {
		struct pending *watch = sim->watches->pdata[i];
		struct sim_delivery *reply;

		if (!g_str_has_prefix(name, watch->name))
			continue;
		reply = new_reply(watch);
		reply->version = version;
		add_name(reply->names, name, version);
		answer(sim, watch, reply);
		g_ptr_array_remove_index(sim->watches, i);
		free_pending(watch);
	}
}

void sim_store_set(struct sim *sim, const char *name, GBytes *value)
{
	struct sim_object *object = g_hash_table_lookup(sim->objects, name);

	if (!object) {
		object = g_new0(struct sim_object, 1);
		g_hash_table_insert(sim->objects, g_strdup(name), object);
	} else {
		g_bytes_unref(object->value);
	}
	object->value = g_bytes_ref(value);
	object->version = ++sim->revision;
	notify(sim, name, object->version);
}

static void put(struct sim *sim, const struct pending *pending,
		struct sim_delivery *reply)
{
	struct sim_object *object;
	size_t size = g_bytes_get_size(pending->body);

	sim->counts.puts++;
	sim->counts.bytes_in += size;
	sim->counts.largest_value = MAX(sim->counts.largest_value, size);
	object = g_hash_table_lookup(sim->objects, pending->name);
	if (size > MAX_VALUE) {
		reply->store_result = WF_STORE_REFUSED;
		return;
	}
	if ((object ? object->version : WF_VERSION_ABSENT) !=
	    pending->version) {
		reply->store_result = WF_STORE_CONFLICT;
		reply->version = object ? object->version : 0;
		return;
	}
	sim_store_set(sim, pending->name, pending->body);
	reply->version = sim->revision;
}

static void delete (struct sim *sim, const struct pending *pending,
		    struct sim_delivery *reply)
{
	struct sim_object *object;

	sim->counts.deletes++;
	object = g_hash_table_lookup(sim->objects, pending->name);
	if (!object) {
		reply->store_result = WF_STORE_NOT_FOUND;
	} else if (object->version != pending->version) {
		reply->store_result = WF_STORE_CONFLICT;
		reply->version = object->version;
	} else {
		g_hash_table_remove(sim->objects, pending->name);
		free_object(object);
		reply->version = ++sim->revision;
		notify(sim, pending->name, reply->version);
	}
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void list(struct sim *sim, const struct pending *pending,
		 struct sim_delivery *reply)
{
	GList *names = g_hash_table_get_keys(sim->objects);
	GList *link;

	sim->counts.lists++;
	names = g_list_sort(names, compare_names);
	for (link = names; link; link = link->next) {
		struct sim_object *object;

		if (!g_str_has_prefix(link->data, pending->name))
			continue;
		object = g_hash_table_lookup(sim->objects, link->data);
		add_name(reply->names, link->data, object->version);
	}
	g_list_free(names);
	reply->version = sim->revision;
}

static void watch_end(struct sim *sim, void *data)
{
	struct pending *watch = *(struct pending **)data;
	struct sim_delivery *reply;
	guint i;

	if (!g_ptr_array_find(sim->watches, watch, &i))
		return;
	reply = new_reply(watch);
	reply->version = watch->version;
	watch->deadline = CLK_NEVER;
	answer(sim, watch, reply);
	g_ptr_array_remove_index(sim->watches, i);
	free_pending(watch);
}

/* Returns true if the watch is pending, false if the reply is complete. */
static bool watch(struct sim *sim, const struct pending *pending,
		  struct sim_delivery *reply)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	struct pending *copy;
	struct pending **ref;

	sim->counts.watches++;
	g_hash_table_iter_init(&iter, sim->objects);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct sim_object *object = value;

		if (!g_str_has_prefix(key, pending->name) ||
		    object->version <= pending->version)
			continue;
		add_name(reply->names, key, object->version);
		reply->version = MAX(reply->version, object->version);
	}
	if (reply->names->len)
		return false;
	copy = g_new(struct pending, 1);
	*copy = *pending;
	copy->name = g_strdup(pending->name);
	copy->deadline = CLK_NEVER;
	g_ptr_array_add(sim->watches, copy);
	ref = g_new(struct pending *, 1);
	*ref = copy;
	sim_push(sim, pending->deadline, watch_end, ref, g_free);
	return true;
}

static void execute(struct sim *sim, void *data)
{
	struct pending *pending = data;
	struct sim_delivery *reply = new_reply(pending);
	bool waits = false;

	if (sim->now < sim->store_down_until) {
		reply->store_result = WF_STORE_UNAVAILABLE;
		answer(sim, pending, reply);
		return;
	}
	if (pending->type == WF_ACT_STORE_GET)
		get(sim, pending, reply);
	else if (pending->type == WF_ACT_STORE_PUT)
		put(sim, pending, reply);
	else if (pending->type == WF_ACT_STORE_DELETE)
		delete (sim, pending, reply);
	else if (pending->type == WF_ACT_STORE_LIST)
		list(sim, pending, reply);
	else
		waits = watch(sim, pending, reply);
	if (waits) {
		sim_delivery_free(reply);
		return;
	}
	answer(sim, pending, reply);
}

void sim_store_action(struct sim *sim, struct sim_instance *instance,
		      const struct wf_action *action, bool lost)
{
	const struct sim_faults *faults = &sim->config.faults;
	struct pending *pending = g_new0(struct pending, 1);
	clk_ms delay = sim_random_span(sim, sim->config.store_latency);
	struct sim_delivery *reply;

	pending->index = instance->index;
	pending->generation = instance->generation;
	pending->type = action->type;
	pending->op = action->op;
	pending->name = g_strdup(action->name);
	pending->version = action->version;
	pending->body = action->body ? g_bytes_ref(action->body) : NULL;
	pending->deadline = sim->now + action->timeout;
	if (sim->now < sim->store_slow_until)
		delay += sim_random_span(sim, 2 * CLK_SECOND);
	if (lost || sim->now < instance->store_cut_until ||
	    sim_random_bool(sim, faults->store_lost_request)) {
		reply = new_reply(pending);
		reply->store_result = WF_STORE_UNKNOWN;
		sim_deliver(sim, action->timeout, reply);
		free_pending(pending);
		return;
	}
	if (sim_random_bool(sim, faults->store_unavailable)) {
		reply = new_reply(pending);
		reply->store_result = WF_STORE_UNAVAILABLE;
		sim_deliver(sim, delay, reply);
		free_pending(pending);
		return;
	}
	pending->lose_reply = sim_random_bool(sim, faults->store_lost_reply);
	if (sim_random_bool(sim, faults->store_late))
		delay += action->timeout + sim_random_span(sim, 5 * CLK_SECOND);
	if (sim->now + delay > pending->deadline) {
		reply = new_reply(pending);
		reply->store_result = WF_STORE_UNKNOWN;
		sim_deliver(sim, action->timeout, reply);
	}
	sim_push(sim, sim->now + delay, execute, pending, free_pending);
}

void sim_store_free(struct sim *sim)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, sim->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		free_object(value);
	g_hash_table_unref(sim->objects);
	for (i = 0; i < sim->watches->len; i++)
		free_pending(sim->watches->pdata[i]);
	g_ptr_array_unref(sim->watches);
}
