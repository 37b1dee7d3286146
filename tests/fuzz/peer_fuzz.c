/*
 * Delivers peer frames and store values from untrusted bytes to a complete
 * core: no crash, and a bounded number of actions.
 */
#include <stdlib.h>

#include <wagtailferry/core.h>

#define START ((clk_ms)1796370000000)

/* Limit on the actions that one event may cause. */
#define MAX_ACTIONS 1000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static struct wf_core *new_core(void)
{
	static const struct wf_peer peers[] = {
		{.id = (char *)"entry-1", .data_center = (char *)"dc"},
		{.id = (char *)"entry-2", .data_center = (char *)"dc"},
	};
	struct wf_event event = {.type = WF_EV_START};
	struct wf_core_config config;
	struct wf_core *core;

	wf_core_config_init(&config);
	config.self = "entry-1";
	config.data_center = "dc";
	config.address = "a";
	config.peer_address = "a";
	config.incarnation = 1;
	config.seed = 1;
	core = wf_core_new(&config);
	wf_set_peers(wf_core_ctx(core), peers, 2);
	wf_core_handle(core, START, &event);
	return core;
}

/* Answers store reads with the input and discards the other actions. */
static void drain(struct wf_core *core, const uint8_t *data, size_t size)
{
	struct wf_event event = {.type = WF_EV_STORE_REPLY};
	struct wf_action action;
	unsigned n = 0;

	while (wf_core_next_action(core, &action)) {
		if (action.type == WF_ACT_STORE_GET) {
			struct wf_store_reply reply = {.op = action.op};

			reply.version = 1;
			reply.value = g_bytes_new(data, size);
			event.store = &reply;
			wf_core_handle(core, START, &event);
			g_bytes_unref(reply.value);
		}
		wf_action_clear(&action);
		if (++n > MAX_ACTIONS)
			abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct wf_peer_event peer = {.from = "entry-2", .incarnation = 1};
	struct wf_event event = {.type = WF_EV_PEER};
	struct wf_core *core;

	if (!size)
		return 0;
	core = new_core();
	peer.kind = data[0] % 100;
	peer.body = data + 1;
	peer.body_len = size - 1;
	event.peer = &peer;
	wf_core_handle(core, START, &event);
	drain(core, data + 1, size - 1);
	event.type = WF_EV_TICK;
	wf_core_handle(core, START + CLK_MINUTE, &event);
	drain(core, data + 1, size - 1);
	wf_core_drop(core);
	return 0;
}
