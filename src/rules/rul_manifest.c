#include <string.h>

#include "rul_private.h"

static void clear_recent(gpointer data)
{
	struct rul_recent_revision *recent = data;

	g_free(recent->author);
	g_free(recent->requested_by);
}

struct rul_manifest *rul_manifest_alloc(void)
{
	struct rul_manifest *manifest = g_new0(struct rul_manifest, 1);

	manifest->dropped =
		g_array_new(FALSE, TRUE, sizeof(struct rul_dropped_chunk));
	manifest->recent =
		g_array_new(FALSE, TRUE, sizeof(struct rul_recent_revision));
	g_array_set_clear_func(manifest->recent, clear_recent);
	return manifest;
}

void rul_manifest_free(struct rul_manifest *manifest)
{
	if (!manifest)
		return;
	g_free(manifest->author);
	g_free(manifest->requested_by);
	g_free(manifest->note);
	if (manifest->chunks)
		g_array_unref(manifest->chunks);
	g_array_unref(manifest->dropped);
	g_array_unref(manifest->recent);
	g_free(manifest);
}

bool rul_manifest_uses(const struct rul_manifest *manifest, const char *hash)
{
	guint i;

	for (i = 0; i < manifest->chunks->len; i++)
		if (!strcmp(hash,
			    g_array_index(manifest->chunks, struct rul_chunk, i)
				    .hash))
			return true;
	return false;
}

const struct rul_recent_revision *
rul_manifest_find_nonce(const struct rul_manifest *manifest,
			const uint8_t nonce[RUL_NONCE_BYTES])
{
	guint i;

	for (i = 0; i < manifest->recent->len; i++) {
		const struct rul_recent_revision *recent;

		recent = &g_array_index(manifest->recent,
					struct rul_recent_revision, i);
		if (!memcmp(recent->nonce, nonce, RUL_NONCE_BYTES))
			return recent;
	}
	return NULL;
}

static void add_recent(struct rul_manifest *manifest,
		       const struct rul_recent_revision *other)
{
	struct rul_recent_revision copy = *other;

	copy.author = g_strdup(other->author);
	copy.requested_by = g_strdup(other->requested_by);
	g_array_append_val(manifest->recent, copy);
}

/* Copies the recent revisions of the base and adds the new one. */
static void fill_recent(struct rul_manifest *manifest,
			const struct rul_manifest *base)
{
	struct rul_recent_revision own = {
		.revision = manifest->revision,
		.author = manifest->author,
		.requested_by = manifest->requested_by,
		.time = manifest->time,
	};
	guint i = 0;

	memcpy(own.nonce, manifest->nonce, RUL_NONCE_BYTES);
	if (base && base->recent->len >= RUL_MAX_RECENT)
		i = base->recent->len - RUL_MAX_RECENT + 1;
	for (; base && i < base->recent->len; i++)
		add_recent(manifest,
			   &g_array_index(base->recent,
					  struct rul_recent_revision, i));
	add_recent(manifest, &own);
}

static GHashTable *used_hashes(const struct rul_manifest *manifest)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < manifest->chunks->len; i++)
		g_hash_table_add(used, g_array_index(manifest->chunks,
						     struct rul_chunk, i)
					       .hash);
	return used;
}

void rul_expire_dropped_chunks(GArray *dropped, clk_ms now)
{
	guint kept = 0;
	guint i;

	for (i = 0; i < dropped->len; i++) {
		struct rul_dropped_chunk entry;

		entry = g_array_index(dropped, struct rul_dropped_chunk, i);
		if (!entry.seen)
			entry.seen = now;
		if (entry.seen > now - RUL_CHUNK_RETENTION)
			g_array_index(dropped, struct rul_dropped_chunk,
				      kept++) = entry;
	}
	g_array_set_size(dropped, kept);
}

static void fill_dropped(struct rul_manifest *manifest,
			 const struct rul_manifest *base)
{
	GHashTable *used = used_hashes(manifest);
	guint i;

	for (i = 0; i < base->dropped->len; i++) {
		struct rul_dropped_chunk dropped;

		dropped = g_array_index(base->dropped, struct rul_dropped_chunk,
					i);
		if (!g_hash_table_contains(used, dropped.hash))
			g_array_append_val(manifest->dropped, dropped);
	}
	rul_expire_dropped_chunks(manifest->dropped, manifest->time);
	for (i = 0; i < base->chunks->len; i++) {
		struct rul_dropped_chunk dropped = {.seen = 0};

		g_strlcpy(dropped.hash,
			  g_array_index(base->chunks, struct rul_chunk, i).hash,
			  RUL_HASH_LEN);
		if (g_hash_table_contains(used, dropped.hash))
			continue;
		g_array_append_val(manifest->dropped, dropped);
	}
	g_hash_table_unref(used);
}

/* A valid UTF-8 copy of at most max bytes, cut between characters. */
static char *bounded_copy(const char *text, size_t max)
{
	char *copy = g_utf8_make_valid(text ? text : "", -1);
	size_t end = max;

	if (strlen(copy) <= max)
		return copy;
	while (end && ((unsigned char)copy[end] & 0xc0) == 0x80)
		end--;
	copy[end] = '\0';
	return copy;
}

struct rul_manifest *rul_manifest_new(const struct rul_manifest *base,
				      const char *text, size_t len,
				      const struct rul_author *author,
				      clk_ms now)
{
	struct rul_manifest *manifest = rul_manifest_alloc();

	manifest->base_revision = base ? base->revision : 0;
	manifest->revision = manifest->base_revision + 1;
	manifest->author = bounded_copy(author->name, RUL_MAX_NAME);
	manifest->requested_by =
		bounded_copy(author->requested_by, RUL_MAX_NAME);
	manifest->note = bounded_copy(author->note, RUL_MAX_NOTE);
	/* Times in the manifest never go back, even if the clock does. */
	manifest->time = base ? MAX(now, base->time) : now;
	memcpy(manifest->nonce, author->nonce, RUL_NONCE_BYTES);
	rul_text_hash(text, len, manifest->text_hash);
	manifest->text_size = len;
	manifest->chunks = rul_chunk_split(text, len);
	if (base)
		fill_dropped(manifest, base);
	fill_recent(manifest, base);
	return manifest;
}
