#include <string.h>

#include "rul_private.h"

static void hash_hex(const void *data, size_t len, char *hash, size_t size)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sum, data, (gssize)len);
	g_strlcpy(hash, g_checksum_get_string(sum), size);
	g_checksum_free(sum);
}

void rul_chunk_hash(const void *data, size_t len, char hash[RUL_HASH_LEN])
{
	hash_hex(data, len, hash, RUL_HASH_LEN);
}

void rul_text_hash(const void *data, size_t len, char hash[RUL_TEXT_HASH_LEN])
{
	hash_hex(data, len, hash, RUL_TEXT_HASH_LEN);
}

/*
 * Whether to cut after a line. The probability is proportional to the length
 * of the line, so that the average chunk size does not depend on it.
 */
static bool is_cut(const char *line, size_t len)
{
	const uint64_t step = UINT64_MAX / (RUL_CHUNK_AVERAGE - RUL_CHUNK_MIN);

	return wf_hash(line, len, 0) / step < len;
}

/* The length of the next line with its line feed, at most RUL_CHUNK_MAX. */
static size_t line_length(const char *text, size_t len)
{
	const char *newline = memchr(text, '\n', MIN(len, RUL_CHUNK_MAX));

	if (newline)
		return (size_t)(newline - text) + 1;
	return MIN(len, RUL_CHUNK_MAX);
}

/* The length of the chunk at the start of the text. */
static size_t chunk_length(const char *text, size_t len)
{
	size_t size = 0;

	while (size < len) {
		size_t line = line_length(text + size, len - size);

		if (size + line > RUL_CHUNK_MAX)
			break;
		size += line;
		if (size >= RUL_CHUNK_MIN && is_cut(text + size - line, line))
			break;
	}
	return size;
}

GArray *rul_chunk_split(const char *text, size_t len)
{
	GArray *chunks = g_array_new(FALSE, TRUE, sizeof(struct rul_chunk));
	size_t at = 0;

	while (at < len) {
		struct rul_chunk chunk = {.offset = at};

		chunk.len = chunk_length(text + at, len - at);
		rul_chunk_hash(text + at, chunk.len, chunk.hash);
		g_array_append_val(chunks, chunk);
		at += chunk.len;
	}
	return chunks;
}

GPtrArray *rul_chunk_missing(const struct rul_manifest *manifest,
			     rul_chunk_get_fn get, void *user)
{
	GPtrArray *missing = g_ptr_array_new();
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < manifest->chunks->len; i++) {
		struct rul_chunk *chunk;

		chunk = &g_array_index(manifest->chunks, struct rul_chunk, i);
		if (!g_hash_table_add(seen, chunk->hash))
			continue;
		if (!get(user, chunk->hash))
			g_ptr_array_add(missing, chunk);
	}
	g_hash_table_unref(seen);
	return missing;
}

static bool join_chunk(const struct rul_chunk *chunk, GBytes *bytes,
		       GByteArray *text, GError **error)
{
	char hash[RUL_HASH_LEN];
	gsize len;
	const void *data;

	if (!bytes) {
		g_set_error(error, ERR_DOMAIN, ERR_NOT_FOUND,
			    "chunk %s is missing", chunk->hash);
		return false;
	}
	data = g_bytes_get_data(bytes, &len);
	rul_chunk_hash(data, len, hash);
	if (len != chunk->len || strcmp(hash, chunk->hash)) {
		g_set_error(error, ERR_DOMAIN, ERR_PROTOCOL,
			    "chunk %s does not match its size and hash",
			    chunk->hash);
		return false;
	}
	g_byte_array_append(text, data, (guint)len);
	return true;
}

GBytes *rul_chunk_join(const struct rul_manifest *manifest,
		       rul_chunk_get_fn get, void *user, GError **error)
{
	GByteArray *text = g_byte_array_sized_new((guint)manifest->text_size);
	char hash[RUL_TEXT_HASH_LEN];
	guint i;

	for (i = 0; i < manifest->chunks->len; i++) {
		struct rul_chunk *chunk;

		chunk = &g_array_index(manifest->chunks, struct rul_chunk, i);
		if (!join_chunk(chunk, get(user, chunk->hash), text, error)) {
			g_byte_array_unref(text);
			return NULL;
		}
	}
	rul_text_hash(text->data, text->len, hash);
	if (strcmp(hash, manifest->text_hash)) {
		g_set_error(error, ERR_DOMAIN, ERR_PROTOCOL,
			    "text of revision %" G_GUINT64_FORMAT
			    " does not match its hash",
			    manifest->revision);
		g_byte_array_unref(text);
		return NULL;
	}
	return g_byte_array_free_to_bytes(text);
}
