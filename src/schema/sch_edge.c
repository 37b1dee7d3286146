#include <wagtailferry/schema.h>

#define RANGE(name, min, max)                                              \
	{                                                                  \
		&wf__edge_settings__descriptor, name, min, max, NULL, NULL \
	}
#define ADDRESS(name)                                                    \
	{                                                                \
		&wf__edge_settings__descriptor, name, 0, UINT64_MAX,     \
			sch_is_address, "an address of the form IP:port" \
	}
#define ID(name)                                                               \
	{                                                                      \
		&wf__edge_settings__descriptor, name, 0, UINT64_MAX,           \
			sch_is_id, "1 to 128 letters, digits, '.', '_' or '-'" \
	}
/* With less, an instance would refuse requests between two store polls. */
#define MIN_KEY_REMOVAL_MS 1000
#define MIN_DESCRIPTORS 256
#define MIN_MEMORY_MB 32
#define MIN_ANSWER_BYTES 1024
#define MAX_ANSWER_BYTES (1 << 30)
/* Each waiting stream holds its request and an open connection. */
#define MAX_WAITING_STREAMS 10000

static const struct sch_constraint constraints[] = {
	ID("instance"),
	ID("data_center"),
	ADDRESS("caller_address"),
	ADDRESS("ready_address"),
	ADDRESS("peer_address"),
	ADDRESS("store_address"),
	RANGE("key_removal_ms", MIN_KEY_REMOVAL_MS, CLK_HOUR),
	RANGE("drain_limit_ms", 0, CLK_HOUR),
	RANGE("retry_slack", 0, UINT32_MAX),
	RANGE("max_descriptors", MIN_DESCRIPTORS, UINT32_MAX),
	RANGE("memory_mb", MIN_MEMORY_MB, UINT32_MAX),
	RANGE("engine_stall_ms", 1, CLK_HOUR),
	RANGE("max_waiting_streams", 0, MAX_WAITING_STREAMS),
	RANGE("max_answer_head_bytes", MIN_ANSWER_BYTES, MAX_ANSWER_BYTES),
	RANGE("max_answer_bytes", MIN_ANSWER_BYTES, MAX_ANSWER_BYTES),
	RANGE("max_event_bytes", MIN_ANSWER_BYTES, MAX_ANSWER_BYTES),
	RANGE("log_lines_per_second", 0, UINT32_MAX),
	RANGE("log_bytes_per_second", 0, UINT32_MAX),
};

Wf__EdgeSettings *sch_edge_settings_parse(const char *text, size_t len,
					  GError **error)
{
	return (Wf__EdgeSettings *)sch_load_json(
		&wf__edge_settings__descriptor, text, len, constraints,
		G_N_ELEMENTS(constraints), error);
}

Wf__EdgeSettings *sch_edge_settings_read(const char *path, GError **error)
{
	Wf__EdgeSettings *settings;
	size_t len;
	char *text = sch_read_file(path, &len, error);

	if (!text)
		return NULL;
	settings = sch_edge_settings_parse(text, len, error);
	if (!settings)
		g_prefix_error(error, "%s: ", path);
	g_free(text);
	return settings;
}

void sch_edge_settings_free(Wf__EdgeSettings *settings)
{
	if (settings)
		wf__edge_settings__free_unpacked(settings, NULL);
}
