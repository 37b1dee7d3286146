#include <string.h>

#include "rul_private.h"
#include "schema/audit.pb-c.h"

#define AUDIT_DIGITS 10

void rul_audit_name(uint64_t number, char name[RUL_AUDIT_NAME_LEN])
{
	g_snprintf(name, RUL_AUDIT_NAME_LEN,
		   RUL_AUDIT_KIND "/%0*" G_GINT64_MODIFIER "u", AUDIT_DIGITS,
		   number);
}

uint64_t rul_audit_number(const char *name)
{
	size_t i;

	if (strlen(name) != AUDIT_DIGITS)
		return 0;
	for (i = 0; i < AUDIT_DIGITS; i++)
		if (!g_ascii_isdigit(name[i]))
			return 0;
	return g_ascii_strtoull(name, NULL, 10);
}

static void clear_entry(gpointer data)
{
	struct rul_audit_entry *entry = data;

	g_free(entry->requested_by);
	g_free(entry->published_by);
	g_free(entry->order);
	g_free(entry->target);
	g_free(entry->argument);
	g_free(entry->outcome);
	g_free(entry->note);
}

struct rul_audit_segment *rul_audit_new(uint64_t number,
					uint64_t rules_revision)
{
	struct rul_audit_segment *segment;

	segment = g_new0(struct rul_audit_segment, 1);
	segment->number = number;
	segment->rules_revision = rules_revision;
	segment->entries =
		g_array_new(FALSE, TRUE, sizeof(struct rul_audit_entry));
	g_array_set_clear_func(segment->entries, clear_entry);
	return segment;
}

void rul_audit_free(struct rul_audit_segment *segment)
{
	if (!segment)
		return;
	g_array_unref(segment->entries);
	g_free(segment);
}

void rul_audit_add(struct rul_audit_segment *segment,
		   const struct rul_audit_entry *entry)
{
	struct rul_audit_entry copy = *entry;

	copy.requested_by = g_strdup(entry->requested_by);
	copy.published_by = g_strdup(entry->published_by);
	copy.order = g_strdup(entry->order);
	copy.target = g_strdup(entry->target);
	copy.argument = g_strdup(entry->argument);
	copy.outcome = g_strdup(entry->outcome);
	copy.note = g_strdup(entry->note);
	g_array_append_val(segment->entries, copy);
	segment->rules_revision =
		MAX(segment->rules_revision, entry->to_revision);
}

bool rul_audit_has_nonce(const struct rul_audit_segment *segment,
			 const uint8_t nonce[RUL_NONCE_BYTES])
{
	guint i;

	for (i = 0; i < segment->entries->len; i++)
		if (!memcmp(g_array_index(segment->entries,
					  struct rul_audit_entry, i)
				    .nonce,
			    nonce, RUL_NONCE_BYTES))
			return true;
	return false;
}

static char *or_empty(char *text)
{
	return text ? text : (char *)(uintptr_t)protobuf_c_empty_string;
}

static void write_entry(Wf__AuditEntry *out, struct rul_audit_entry *entry)
{
	wf__audit_entry__init(out);
	out->time_ms = entry->time;
	out->requested_by = or_empty(entry->requested_by);
	out->published_by = or_empty(entry->published_by);
	out->from_revision = entry->from_revision;
	out->to_revision = entry->to_revision;
	out->order = or_empty(entry->order);
	out->target = or_empty(entry->target);
	out->argument = or_empty(entry->argument);
	out->fence = entry->fence;
	out->outcome = or_empty(entry->outcome);
	out->note = or_empty(entry->note);
	out->nonce.data = entry->nonce;
	out->nonce.len = RUL_NONCE_BYTES;
}

GBytes *rul_audit_encode(const struct rul_audit_segment *segment)
{
	Wf__AuditSegment message = WF__AUDIT_SEGMENT__INIT;
	guint n = segment->entries->len;
	Wf__AuditEntry *entries = g_new0(Wf__AuditEntry, n);
	uint8_t *data;
	size_t len;
	guint i;

	message.number = segment->number;
	message.rules_revision = segment->rules_revision;
	message.n_entries = n;
	message.entries = g_new0(Wf__AuditEntry *, n);
	for (i = 0; i < n; i++) {
		write_entry(&entries[i],
			    &g_array_index(segment->entries,
					   struct rul_audit_entry, i));
		message.entries[i] = &entries[i];
	}
	len = wf__audit_segment__get_packed_size(&message);
	data = g_malloc(len);
	wf__audit_segment__pack(&message, data);
	g_free(message.entries);
	g_free(entries);
	return g_bytes_new_take(data, len);
}

static bool read_entry(const Wf__AuditEntry *in,
		       struct rul_audit_segment *segment)
{
	struct rul_audit_entry entry = {
		.time = in->time_ms,
		.requested_by = in->requested_by,
		.published_by = in->published_by,
		.from_revision = in->from_revision,
		.to_revision = in->to_revision,
		.order = in->order,
		.target = in->target,
		.argument = in->argument,
		.fence = in->fence,
		.outcome = in->outcome,
		.note = in->note,
	};

	if (in->nonce.len != RUL_NONCE_BYTES)
		return false;
	memcpy(entry.nonce, in->nonce.data, RUL_NONCE_BYTES);
	rul_audit_add(segment, &entry);
	return true;
}

struct rul_audit_segment *rul_audit_decode(GBytes *value, GError **error)
{
	struct rul_audit_segment *segment = NULL;
	Wf__AuditSegment *message;
	bool ok = false;
	gsize len;
	const uint8_t *data = g_bytes_get_data(value, &len);
	size_t i;

	message = wf__audit_segment__unpack(NULL, len, data);
	if (message) {
		segment =
			rul_audit_new(message->number, message->rules_revision);
		ok = message->number;
		for (i = 0; ok && i < message->n_entries; i++)
			ok = read_entry(message->entries[i], segment);
		wf__audit_segment__free_unpacked(message, NULL);
	}
	if (ok)
		return segment;
	rul_audit_free(segment);
	g_set_error(error, ERR_DOMAIN, ERR_PROTOCOL,
		    "audit segment is malformed");
	return NULL;
}
