#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

#include "daemon/srv_internal.h"

/*
 * The table is searched by the first bytes of the hash; the whole hash is
 * compared in constant time.
 */
static guint hash_digest(gconstpointer key)
{
	guint value;

	memcpy(&value, g_bytes_get_data((GBytes *)key, NULL), sizeof(value));
	return value;
}

static gboolean equal_digests(gconstpointer a, gconstpointer b)
{
	return !CRYPTO_memcmp(g_bytes_get_data((GBytes *)a, NULL),
			      g_bytes_get_data((GBytes *)b, NULL),
			      SHA256_DIGEST_LENGTH);
}

static GBytes *decode_hex(const char *text)
{
	unsigned char digest[SHA256_DIGEST_LENGTH];
	size_t i;

	for (i = 0; i < sizeof(digest); i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		digest[i] = (unsigned char)(high << 4 | low);
	}
	return g_bytes_new(digest, sizeof(digest));
}

GHashTable *srv_tokens_new(const struct srv_token *tokens, size_t n)
{
	GHashTable *table =
		g_hash_table_new_full(hash_digest, equal_digests,
				      (GDestroyNotify)g_bytes_unref, g_free);
	size_t i;

	for (i = 0; i < n; i++) {
		if (strlen(tokens[i].sha256) != 2 * SHA256_DIGEST_LENGTH)
			continue;
		g_hash_table_replace(table, decode_hex(tokens[i].sha256),
				     g_strdup(tokens[i].org));
	}
	return table;
}

const char *srv_authenticate(struct srv_server *server, h2o_req_t *req)
{
	static const char scheme[] = "Bearer ";
	size_t scheme_len = sizeof(scheme) - 1;
	unsigned char digest[SHA256_DIGEST_LENGTH];
	ssize_t at =
		h2o_find_header(&req->headers, H2O_TOKEN_AUTHORIZATION, -1);
	const h2o_iovec_t *value;
	const char *org;
	GBytes *key;

	if (at < 0)
		return NULL;
	value = &req->headers.entries[at].value;
	if (value->len <= scheme_len ||
	    g_ascii_strncasecmp(value->base, scheme, scheme_len) != 0)
		return NULL;
	SHA256((const unsigned char *)value->base + scheme_len,
	       value->len - scheme_len, digest);
	key = g_bytes_new(digest, sizeof(digest));
	org = g_hash_table_lookup(server->tokens, key);
	g_bytes_unref(key);
	return org;
}
