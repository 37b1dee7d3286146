#include <string.h>

#include "rul_private.h"
#include "schema/rules.pb-c.h"

/*
 * Strings and hashes of an outgoing message live in an arena until it is
 * packed.
 */

static int hex_value(char c)
{
	return g_ascii_xdigit_value(c);
}

static ProtobufCBinaryData from_hex(struct rul_arena *arena, const char *hex)
{
	size_t len = strlen(hex) / 2;
	uint8_t *data = rul_arena_alloc(arena, len);
	size_t i;

	for (i = 0; i < len; i++)
		data[i] = (uint8_t)(hex_value(hex[2 * i]) << 4 |
				    hex_value(hex[2 * i + 1]));
	return (ProtobufCBinaryData){len, data};
}

static bool to_hex(const ProtobufCBinaryData *data, char *hex, size_t size)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	if (data->len * 2 + 1 != size)
		return false;
	for (i = 0; i < data->len; i++) {
		hex[2 * i] = digits[data->data[i] >> 4];
		hex[2 * i + 1] = digits[data->data[i] & 0xf];
	}
	hex[2 * i] = '\0';
	return true;
}

static ProtobufCBinaryData nonce_data(const uint8_t *nonce)
{
	return (ProtobufCBinaryData){RUL_NONCE_BYTES,
				     (uint8_t *)(uintptr_t)nonce};
}

static void fill_chunks(struct rul_arena *arena, Wf__RulesManifest *message,
			const struct rul_manifest *manifest)
{
	guint i;

	message->n_chunks = manifest->chunks->len;
	message->chunks =
		rul_arena_alloc(arena, message->n_chunks * sizeof(void *));
	for (i = 0; i < message->n_chunks; i++) {
		const struct rul_chunk *chunk;
		Wf__RulesChunk *out = rul_arena_alloc(arena, sizeof(*out));

		chunk = &g_array_index(manifest->chunks, struct rul_chunk, i);
		wf__rules_chunk__init(out);
		out->hash = from_hex(arena, chunk->hash);
		out->size = (uint32_t)chunk->len;
		message->chunks[i] = out;
	}
}

static void fill_dropped(struct rul_arena *arena, Wf__RulesManifest *message,
			 const struct rul_manifest *manifest)
{
	guint i;

	message->n_dropped = manifest->dropped->len;
	message->dropped =
		rul_arena_alloc(arena, message->n_dropped * sizeof(void *));
	for (i = 0; i < message->n_dropped; i++) {
		const struct rul_dropped_chunk *dropped;
		Wf__RulesDropped *out = rul_arena_alloc(arena, sizeof(*out));

		dropped = &g_array_index(manifest->dropped,
					 struct rul_dropped_chunk, i);
		wf__rules_dropped__init(out);
		out->hash = from_hex(arena, dropped->hash);
		out->seen_ms = dropped->seen;
		message->dropped[i] = out;
	}
}

static void fill_recent(struct rul_arena *arena, Wf__RulesManifest *message,
			const struct rul_manifest *manifest)
{
	guint i;

	message->n_recent = manifest->recent->len;
	message->recent =
		rul_arena_alloc(arena, message->n_recent * sizeof(void *));
	for (i = 0; i < message->n_recent; i++) {
		const struct rul_recent_revision *recent;
		Wf__RulesRecent *out = rul_arena_alloc(arena, sizeof(*out));

		recent = &g_array_index(manifest->recent,
					struct rul_recent_revision, i);
		wf__rules_recent__init(out);
		out->revision = recent->revision;
		out->nonce = nonce_data(recent->nonce);
		out->author = recent->author;
		out->requested_by = recent->requested_by;
		out->time_ms = recent->time;
		message->recent[i] = out;
	}
}

static bool check_bounds(const struct rul_manifest *manifest, GError **error)
{
	if (manifest->chunks->len <= RUL_MAX_CHUNKS &&
	    manifest->dropped->len <= RUL_MAX_DROPPED &&
	    manifest->recent->len <= RUL_MAX_RECENT &&
	    manifest->text_size <= RUL_MAX_TEXT)
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_TOO_LARGE,
		    "the manifest would be too large: %u chunks, %u dropped "
		    "within the last hour",
		    manifest->chunks->len, manifest->dropped->len);
	return false;
}

GBytes *rul_manifest_encode(const struct rul_manifest *manifest, GError **error)
{
	Wf__RulesManifest message = WF__RULES_MANIFEST__INIT;
	struct rul_arena arena;
	uint8_t *data;
	size_t len;

	if (!check_bounds(manifest, error))
		return NULL;
	rul_arena_init(&arena);
	message.revision = manifest->revision;
	message.author = manifest->author;
	message.time_ms = manifest->time;
	message.text_hash = from_hex(&arena, manifest->text_hash);
	message.text_size = manifest->text_size;
	message.base_revision = manifest->base_revision;
	message.note = manifest->note;
	message.nonce = nonce_data(manifest->nonce);
	message.requested_by = manifest->requested_by;
	fill_chunks(&arena, &message, manifest);
	fill_dropped(&arena, &message, manifest);
	fill_recent(&arena, &message, manifest);
	len = wf__rules_manifest__get_packed_size(&message);
	data = g_malloc(len);
	wf__rules_manifest__pack(&message, data);
	rul_arena_clear(&arena);
	return g_bytes_new_take(data, len);
}

/* Decoding: each function returns what is wrong, or NULL. */

static const char *read_string(const char *in, size_t max, char **out)
{
	if (strlen(in) > max || !g_utf8_validate(in, -1, NULL))
		return "a string is too long or not UTF-8";
	*out = g_strdup(in);
	return NULL;
}

static const char *read_nonce(const ProtobufCBinaryData *in, uint8_t *out)
{
	if (in->len != RUL_NONCE_BYTES)
		return "a nonce has the wrong length";
	memcpy(out, in->data, RUL_NONCE_BYTES);
	return NULL;
}

static const char *read_chunks(const Wf__RulesManifest *message,
			       struct rul_manifest *manifest)
{
	size_t offset = 0;
	size_t i;

	manifest->chunks = g_array_new(FALSE, TRUE, sizeof(struct rul_chunk));
	if (message->n_chunks > RUL_MAX_CHUNKS)
		return "too many chunks";
	for (i = 0; i < message->n_chunks; i++) {
		struct rul_chunk chunk = {.offset = offset};

		chunk.len = message->chunks[i]->size;
		if (!chunk.len || chunk.len > RUL_CHUNK_MAX)
			return "a chunk has a size out of range";
		if (!to_hex(&message->chunks[i]->hash, chunk.hash,
			    sizeof(chunk.hash)))
			return "a chunk's hash has the wrong length";
		g_array_append_val(manifest->chunks, chunk);
		offset += chunk.len;
	}
	if (offset != message->text_size || offset > RUL_MAX_TEXT)
		return "the chunk sizes do not add up to the text size";
	manifest->text_size = offset;
	return NULL;
}

static const char *read_dropped(const Wf__RulesManifest *message,
				struct rul_manifest *manifest)
{
	size_t i;

	if (message->n_dropped > RUL_MAX_DROPPED)
		return "too many dropped chunks";
	for (i = 0; i < message->n_dropped; i++) {
		struct rul_dropped_chunk dropped = {0};

		dropped.seen = message->dropped[i]->seen_ms;
		if (!to_hex(&message->dropped[i]->hash, dropped.hash,
			    sizeof(dropped.hash)))
			return "a dropped chunk's hash has the wrong length";
		g_array_append_val(manifest->dropped, dropped);
	}
	return NULL;
}

static const char *read_recent(const Wf__RulesManifest *message,
			       struct rul_manifest *manifest)
{
	size_t i;

	if (!message->n_recent || message->n_recent > RUL_MAX_RECENT)
		return "the number of recent revisions is out of range";
	for (i = 0; i < message->n_recent; i++) {
		const Wf__RulesRecent *in = message->recent[i];
		struct rul_recent_revision recent = {.revision = in->revision};
		const char *wrong;

		recent.time = in->time_ms;
		wrong = read_nonce(&in->nonce, recent.nonce);
		if (!wrong)
			wrong = read_string(in->author, RUL_MAX_NAME,
					    &recent.author);
		if (!wrong)
			wrong = read_string(in->requested_by, RUL_MAX_NAME,
					    &recent.requested_by);
		g_array_append_val(manifest->recent, recent);
		if (wrong)
			return wrong;
		if (recent.revision + (message->n_recent - i - 1) !=
		    message->revision)
			return "recent revisions are not in order";
	}
	return NULL;
}

static const char *read_manifest(const Wf__RulesManifest *message,
				 struct rul_manifest *manifest)
{
	const char *wrong;

	manifest->revision = message->revision;
	manifest->base_revision = message->base_revision;
	manifest->time = message->time_ms;
	if (!message->revision || message->base_revision >= message->revision)
		return "the revision is not above its base";
	if (!to_hex(&message->text_hash, manifest->text_hash,
		    sizeof(manifest->text_hash)))
		return "the text's hash has the wrong length";
	wrong = read_nonce(&message->nonce, manifest->nonce);
	if (!wrong)
		wrong = read_string(message->author, RUL_MAX_NAME,
				    &manifest->author);
	if (!wrong)
		wrong = read_string(message->requested_by, RUL_MAX_NAME,
				    &manifest->requested_by);
	if (!wrong)
		wrong = read_string(message->note, RUL_MAX_NOTE,
				    &manifest->note);
	if (!wrong)
		wrong = read_chunks(message, manifest);
	if (!wrong)
		wrong = read_dropped(message, manifest);
	if (!wrong)
		wrong = read_recent(message, manifest);
	return wrong;
}

struct rul_manifest *rul_manifest_decode(GBytes *value, GError **error)
{
	struct rul_manifest *manifest = NULL;
	const char *wrong = "the message is malformed";
	Wf__RulesManifest *message;
	gsize len;
	const uint8_t *data = g_bytes_get_data(value, &len);

	message = wf__rules_manifest__unpack(NULL, len, data);
	if (message) {
		manifest = rul_manifest_alloc();
		wrong = read_manifest(message, manifest);
		wf__rules_manifest__free_unpacked(message, NULL);
	}
	if (!wrong)
		return manifest;
	rul_manifest_free(manifest);
	g_set_error(error, ERR_DOMAIN, ERR_PROTOCOL, "rules manifest: %s",
		    wrong);
	return NULL;
}
