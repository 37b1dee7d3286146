#include "state/clm_private.h"

#define UUID_LENGTH 36
#define MAX_KEY_LENGTH 200
/* Unix time in ms has 15 digits from the year 5138 on. */
#define MAX_TIME_DIGITS 15
#define UUID_TIME_DIGITS 12

static bool is_uuid_shape(const char *key)
{
	size_t i;

	if (strlen(key) != UUID_LENGTH)
		return false;
	for (i = 0; i < UUID_LENGTH; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (dash ? key[i] != '-' : !g_ascii_isxdigit(key[i]))
			return false;
	}
	return true;
}

static bool uuid_time(const char *key, clk_ms *time)
{
	clk_ms value = 0;
	unsigned digits = 0;
	size_t i;

	if (key[14] != '7' || !strchr("89abAB", key[19]))
		return false;
	for (i = 0; digits < UUID_TIME_DIGITS; i++) {
		if (key[i] == '-')
			continue;
		value = value * 16 + g_ascii_xdigit_value(key[i]);
		digits++;
	}
	*time = value;
	return true;
}

bool clm_key_time(const char *key, clk_ms *time)
{
	clk_ms value = 0;
	size_t digits = 0;
	size_t i;

	if (strlen(key) > MAX_KEY_LENGTH)
		return false;
	if (is_uuid_shape(key))
		return uuid_time(key, time);
	while (g_ascii_isdigit(key[digits]) && digits < MAX_TIME_DIGITS)
		value = value * 10 + (key[digits++] - '0');
	if (!digits || key[digits] != '-' || !key[digits + 1])
		return false;
	for (i = digits; key[i]; i++)
		if (!g_ascii_isgraph(key[i]))
			return false;
	*time = value;
	return true;
}

static struct clm_hash truncate_digest(GChecksum *sum)
{
	uint8_t digest[32];
	gsize len = sizeof(digest);
	struct clm_hash hash;

	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
	memcpy(hash.bytes, digest, sizeof(hash.bytes));
	return hash;
}

struct clm_hash clm_hash_key(const char *org, const char *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	/* The NUL distinguishes "a" + "bc" from "ab" + "c". */
	g_checksum_update(sum, (const guchar *)org, (gssize)strlen(org) + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	return truncate_digest(sum);
}

struct clm_hash clm_hash_bytes(GBytes *bytes)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = 0;
	const guchar *data = bytes ? g_bytes_get_data(bytes, &len) : NULL;

	if (len)
		g_checksum_update(sum, data, (gssize)len);
	return truncate_digest(sum);
}

/* Includes the NUL, so that adjacent fields cannot run together. */
static void add_text(GChecksum *sum, const char *text)
{
	const char *value = text ? text : "";

	g_checksum_update(sum, (const guchar *)value,
			  (gssize)strlen(value) + 1);
}

struct clm_hash clm_hash_call(const struct wf_call *call)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = 0;
	const guchar *data = NULL;

	add_text(sum, call->name);
	add_text(sum, call->operation);
	if (call->body)
		data = g_bytes_get_data(call->body, &len);
	if (len)
		g_checksum_update(sum, data, (gssize)len);
	return truncate_digest(sum);
}

void clm_target_key(const char *org, const char *key, char *out)
{
	static const char digits[] = "0123456789abcdef";
	struct clm_hash hash = clm_hash_key(org, key);
	size_t i;

	for (i = 0; i < CLM_HASH_SIZE; i++) {
		out[2 * i] = digits[hash.bytes[i] >> 4];
		out[2 * i + 1] = digits[hash.bytes[i] & 15];
	}
	out[2 * CLM_HASH_SIZE] = '\0';
}

guint clm_hash_value(gconstpointer key)
{
	guint value;

	memcpy(&value, key, sizeof(value));
	return value;
}

gboolean clm_hash_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, CLM_HASH_SIZE);
}
