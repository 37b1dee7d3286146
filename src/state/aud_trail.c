#include <string.h>

#include <wagtailferry/audit.h>
#include <wagtailferry/rules.h>

enum aud_step {
	AUD_IDLE,
	AUD_LIST,
	AUD_GET,
	AUD_PUT,
};

struct aud_trail {
	struct wf_module module;
	struct aud_sink sink;
	struct aud_config config;
	GQueue waiting; /* of struct rul_audit_entry, oldest first */
	enum aud_step step;
	uint64_t op;
	clk_ms due; /* of the next flush, or of the step's timeout */
	uint64_t segment_number;
	uint64_t segment_version;
	struct rul_audit_segment *segment;
	unsigned n_written; /* entries in the write in flight */
};

/* Wait beyond the driver's own timeout before the flush is retried. */
#define STEP_GRACE_MS CLK_SECOND

void aud_config_init(struct aud_config *config)
{
	config->flush_delay = 500;
	config->store_timeout = 2 * CLK_SECOND;
	config->retry_delay = CLK_SECOND;
	config->max_waiting = 1000;
}

static void entry_free(gpointer data)
{
	struct rul_audit_entry *entry = data;

	g_free(entry->published_by);
	g_free(entry->order);
	g_free(entry->target);
	g_free(entry->outcome);
	g_free(entry);
}

/* The nonce identifies an entry, so that a retry does not duplicate it. */
static void fill_nonce(struct wf_ctx *ctx, struct rul_audit_entry *entry)
{
	size_t i;

	for (i = 0; i < RUL_NONCE_BYTES; i += sizeof(guint32)) {
		guint32 word = g_rand_int(ctx->rand);

		memcpy(entry->nonce + i, &word, sizeof(word));
	}
}

static void record(struct wf_ctx *ctx, struct aud_sink *sink,
		   const struct aud_entry *from)
{
	struct aud_trail *trail;
	struct rul_audit_entry *entry;

	trail = (struct aud_trail *)((char *)sink -
				     offsetof(struct aud_trail, sink));
	if (trail->waiting.length >= trail->config.max_waiting) {
		entry_free(g_queue_pop_head(&trail->waiting));
		if (trail->n_written)
			trail->n_written--;
		ctr_add(ctx->counters, "wf_audit_lost_total", 1);
	}
	entry = g_new0(struct rul_audit_entry, 1);
	entry->time = from->time;
	entry->published_by = g_strdup(from->actor);
	entry->target = g_strdup(from->subject);
	if (!strcmp(from->action, "order"))
		entry->order = g_strdup(from->detail);
	else
		entry->outcome = g_strdup(from->detail);
	entry->fence = from->fence;
	fill_nonce(ctx, entry);
	g_queue_push_tail(&trail->waiting, entry);
	if (trail->step == AUD_IDLE)
		trail->due = clk_min(trail->due,
				     ctx->now + trail->config.flush_delay);
}

static void send_step(struct wf_ctx *ctx, struct aud_trail *trail,
		      enum aud_step step, struct wf_action *action)
{
	trail->step = step;
	trail->op = wf_new_op(ctx, WF_MODULE_AUDIT);
	trail->due = ctx->now + trail->config.store_timeout + STEP_GRACE_MS;
	action->op = trail->op;
	action->timeout = trail->config.store_timeout;
	wf_emit(ctx, action);
}

static void start_flush(struct wf_ctx *ctx, struct aud_trail *trail)
{
	struct wf_action action = {.type = WF_ACT_STORE_LIST};

	action.name = g_strdup(RUL_AUDIT_KIND "/");
	send_step(ctx, trail, AUD_LIST, &action);
}

static void retry_later(struct wf_ctx *ctx, struct aud_trail *trail)
{
	trail->step = AUD_IDLE;
	trail->op = 0;
	trail->n_written = 0;
	trail->due = ctx->now + trail->config.retry_delay +
		     g_rand_int_range(ctx->rand, 0,
				      (gint32)trail->config.retry_delay + 1);
	ctr_add(ctx->counters, "wf_audit_retries_total", 1);
}

static void start_segment(struct aud_trail *trail, uint64_t rules_revision)
{
	rul_audit_free(trail->segment);
	trail->segment_number++;
	trail->segment_version = WF_VERSION_ABSENT;
	trail->segment = rul_audit_new(trail->segment_number, rules_revision);
}

/* Adds the waiting entries that the segment does not have yet. */
static GBytes *append_waiting(struct aud_trail *trail)
{
	const GList *item;

	for (item = trail->waiting.head; item; item = item->next) {
		const struct rul_audit_entry *entry = item->data;

		if (!rul_audit_has_nonce(trail->segment, entry->nonce))
			rul_audit_add(trail->segment, entry);
	}
	trail->n_written = trail->waiting.length;
	return rul_audit_encode(trail->segment);
}

static void put_segment(struct wf_ctx *ctx, struct aud_trail *trail)
{
	struct wf_action action = {.type = WF_ACT_STORE_PUT};
	uint64_t revision = trail->segment->rules_revision;
	char name[RUL_AUDIT_NAME_LEN];
	GBytes *value = append_waiting(trail);

	if (g_bytes_get_size(value) > RUL_AUDIT_MAX_BYTES) {
		g_bytes_unref(value);
		start_segment(trail, revision);
		value = append_waiting(trail);
	}
	rul_audit_name(trail->segment_number, name);
	action.name = g_strdup(name);
	action.version = trail->segment_version;
	action.body = value;
	send_step(ctx, trail, AUD_PUT, &action);
}

static void handle_list(struct wf_ctx *ctx, struct aud_trail *trail,
			const struct wf_store_reply *reply)
{
	struct wf_action action = {.type = WF_ACT_STORE_GET};
	char name[RUL_AUDIT_NAME_LEN];
	size_t i;

	trail->segment_number = 0;
	for (i = 0; i < reply->n_entries; i++) {
		const char *slash = strrchr(reply->entries[i].name, '/');
		uint64_t number;

		number = rul_audit_number(slash ? slash + 1
						: reply->entries[i].name);
		trail->segment_number = MAX(trail->segment_number, number);
	}
	if (!trail->segment_number) {
		start_segment(trail, 0);
		put_segment(ctx, trail);
		return;
	}
	rul_audit_name(trail->segment_number, name);
	action.name = g_strdup(name);
	send_step(ctx, trail, AUD_GET, &action);
}

static void handle_get(struct wf_ctx *ctx, struct aud_trail *trail,
		       const struct wf_store_reply *reply)
{
	rul_audit_free(trail->segment);
	trail->segment_version = reply->version;
	trail->segment = rul_audit_decode(reply->value, NULL);
	/* An unreadable segment is left unchanged. */
	if (!trail->segment)
		start_segment(trail, 0);
	put_segment(ctx, trail);
}

static void handle_put(struct wf_ctx *ctx, struct aud_trail *trail)
{
	while (trail->n_written) {
		entry_free(g_queue_pop_head(&trail->waiting));
		trail->n_written--;
	}
	trail->step = AUD_IDLE;
	trail->due = trail->waiting.length
			     ? ctx->now + trail->config.flush_delay
			     : CLK_NEVER;
}

static void handle_reply(struct wf_ctx *ctx, struct aud_trail *trail,
			 const struct wf_store_reply *reply)
{
	if (!trail->op || reply->op != trail->op)
		return;
	trail->op = 0;
	if (reply->result != WF_STORE_OK)
		/* If the write took effect, the retry finds its nonces. */
		retry_later(ctx, trail);
	else if (trail->step == AUD_LIST)
		handle_list(ctx, trail, reply);
	else if (trail->step == AUD_GET)
		handle_get(ctx, trail, reply);
	else if (trail->step == AUD_PUT)
		handle_put(ctx, trail);
}

static void tick(struct wf_ctx *ctx, struct aud_trail *trail)
{
	if (ctx->now < trail->due)
		return;
	if (trail->step != AUD_IDLE)
		retry_later(ctx, trail);
	else if (trail->waiting.length)
		start_flush(ctx, trail);
	else
		trail->due = CLK_NEVER;
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct aud_trail *trail = (struct aud_trail *)module;

	if (event->type == WF_EV_STORE_REPLY)
		handle_reply(ctx, trail, event->store);
	else if (event->type == WF_EV_TICK)
		tick(ctx, trail);
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	(void)ctx;
	return ((struct aud_trail *)module)->due;
}

static void drop(struct wf_module *module)
{
	struct aud_trail *trail = (struct aud_trail *)module;

	g_queue_clear_full(&trail->waiting, entry_free);
	rul_audit_free(trail->segment);
	g_free(trail);
}

static const struct wf_module_ops aud_ops = {
	.name = "audit",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

struct aud_trail *aud_new(struct wf_ctx *ctx, const struct aud_config *config)
{
	struct aud_trail *trail = g_new0(struct aud_trail, 1);

	(void)ctx;
	trail->module.ops = &aud_ops;
	trail->module.id = WF_MODULE_AUDIT;
	trail->sink.record = record;
	trail->due = CLK_NEVER;
	g_queue_init(&trail->waiting);
	if (config)
		trail->config = *config;
	else
		aud_config_init(&trail->config);
	return trail;
}

struct wf_module *aud_module(struct aud_trail *trail)
{
	return &trail->module;
}

struct aud_sink *aud_get_sink(struct aud_trail *trail)
{
	return &trail->sink;
}

bool aud_is_idle(const struct aud_trail *trail)
{
	return !trail->waiting.length;
}
