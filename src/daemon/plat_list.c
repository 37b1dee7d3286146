#include <string.h>

#include "daemon/plat_http.h"

#define LIST_TIMEOUT_MS 2000
#define LIST_BODY_LIMIT ((size_t)16 << 20)

static bool read_role(const char *text, enum wf_role *role)
{
	if (!strcmp(text, "entry"))
		*role = WF_ROLE_ENTRY;
	else if (!strcmp(text, "engine"))
		*role = WF_ROLE_ENGINE;
	else if (!strcmp(text, "service"))
		*role = WF_ROLE_SERVICE;
	else
		return false;
	return true;
}

static bool read_life(const char *text, enum wf_life *life)
{
	if (!strcmp(text, "live"))
		*life = WF_LIFE_LIVE;
	else if (!strcmp(text, "leaving"))
		*life = WF_LIFE_LEAVING;
	else
		return false;
	return true;
}

static unsigned read_unsigned(const json_t *item, const char *key)
{
	uint64_t value = 0;

	plat_json_uint(item, key, UINT32_MAX, &value);
	return (unsigned)value;
}

static void read_target(const json_t *item, struct wf_instance *instance)
{
	instance->serves = plat_json_text(item, "serves", "");
	instance->n_layers = read_unsigned(item, "n_layers");
	instance->first_layer = read_unsigned(item, "first_layer");
	instance->last_layer = read_unsigned(item, "last_layer");
	instance->slots = read_unsigned(item, "slots");
	instance->step_us = json_number_value(json_object_get(item, "step_us"));
	instance->accelerator = plat_json_text(item, "accelerator", "");
	instance->checks_fencing =
		json_is_true(json_object_get(item, "checks_fencing"));
	instance->checks_sender =
		json_is_true(json_object_get(item, "checks_sender"));
	instance->has_status =
		json_is_true(json_object_get(item, "has_status"));
}

static bool read_instance(const json_t *item, struct wf_instance *instance)
{
	memset(instance, 0, sizeof(*instance));
	instance->id = plat_json_text(item, "id", NULL);
	instance->address = plat_json_text(item, "address", "");
	instance->peer_address = plat_json_text(item, "peer_address", "");
	instance->data_center = plat_json_text(item, "data_center", "");
	plat_json_uint(item, "incarnation", INT64_MAX, &instance->incarnation);
	read_target(item, instance);
	return instance->id && *instance->id &&
	       instance->last_layer >= instance->first_layer &&
	       read_role(plat_json_text(item, "role", ""), &instance->role) &&
	       read_life(plat_json_text(item, "state", ""), &instance->life);
}

/* Skips and counts invalid entries, so that the others are still used. */
static GArray *read_list(struct plat_http *http, const json_t *list)
{
	GArray *instances =
		g_array_new(FALSE, FALSE, sizeof(struct wf_instance));
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		struct wf_instance instance;

		if (read_instance(json_array_get(list, i), &instance))
			g_array_append_val(instances, instance);
		else
			ctr_add(http->counters,
				"wf_instance_list_bad_entries_total", 1);
	}
	return instances;
}

static void process_list(struct plat_http *http, const json_t *document)
{
	struct wf_event event = {.type = WF_EV_INSTANCES};
	const json_t *list = json_object_get(document, "instances");
	uint64_t revision;
	GArray *instances;

	if (!json_is_array(list) ||
	    !plat_json_uint(document, "revision", INT64_MAX, &revision)) {
		ctr_add(http->counters, "wf_instance_list_failures_total", 1);
		return;
	}
	instances = read_list(http, list);
	http->instances_revision = revision;
	event.instances.list = (const struct wf_instance *)instances->data;
	event.instances.n = instances->len;
	event.instances.revision = revision;
	plat_emit(http, &event);
	g_array_unref(instances);
}

static void on_done(struct cli_handler *handler,
		    const struct cli_result *result)
{
	struct plat_http *http = ((struct plat_request *)handler)->http;
	json_t *document;

	if (result->ok && result->status == 304)
		return;
	if (!result->ok || result->status != 200) {
		ctr_add(http->counters, "wf_instance_list_failures_total", 1);
		return;
	}
	document = plat_parse_body(result);
	process_list(http, document);
	json_decref(document);
}

static const struct cli_handler_ops list_ops = {NULL, on_done,
						plat_request_drop};

void plat_instances_fetch(struct plat_http *http,
			  const struct wf_action *action)
{
	struct plat_request *request =
		plat_request_new(http, action, &list_ops);
	char *path = g_strdup_printf("/v1/instances?after=%" G_GUINT64_FORMAT,
				     http->instances_revision);
	struct cli_spec spec = {
		.method = "GET",
		.address = http->instance_list,
		.path = path,
		.timeout = plat_timeout(action, LIST_TIMEOUT_MS),
		.body_limit = LIST_BODY_LIMIT,
		.may_resend = true,
	};

	cli_start(http->client, &spec, &request->handler);
	g_free(path);
}
