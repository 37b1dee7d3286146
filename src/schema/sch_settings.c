#include <arpa/inet.h>
#include <string.h>

#include <wagtailferry/schema.h>

#define CURVE_KEY_CHARS 40
#define SHA256_HEX_CHARS 64
#define MAX_ID_CHARS 128
#define MAX_OBJECT_API_SERVERS 16
#define MAX_PEERS 4096
#define MAX_ORGANIZATIONS 200000
#define MIN_BODY_LIMIT_BYTES 1024
#define MAX_BODY_LIMIT_BYTES (64 << 20)

static bool split_host(const char *address, char *host, size_t host_size,
		       const char **port)
{
	const char *end = strrchr(address, ':');
	const char *start = address;
	size_t len;

	if (!end)
		return false;
	*port = end + 1;
	if (*address == '[') {
		if (end == address || end[-1] != ']')
			return false;
		start++;
		end--;
	}
	if (end < start)
		return false;
	len = (size_t)(end - start);
	if (len >= host_size)
		return false;
	memcpy(host, start, len);
	host[len] = '\0';
	return true;
}

static bool parse_port(const char *text, uint16_t *port)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT16_MAX, &value, NULL))
		return false;
	*port = (uint16_t)value;
	return true;
}

bool sch_split_address(const char *address, char *host, size_t host_size,
		       uint16_t *port)
{
	unsigned char binary[sizeof(struct in6_addr)];
	const char *port_text;
	int family = *address == '[' ? AF_INET6 : AF_INET;

	if (!split_host(address, host, host_size, &port_text))
		return false;
	if (inet_pton(family, host, binary) != 1)
		return false;
	return parse_port(port_text, port);
}

bool sch_is_address(const char *text)
{
	char host[INET6_ADDRSTRLEN];
	uint16_t port;

	return sch_split_address(text, host, sizeof(host), &port);
}

bool sch_is_id(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return false;
	return c != text && c - text <= MAX_ID_CHARS;
}

static bool is_curve_key(const char *text)
{
	static const char z85_punctuation[] = ".-:+=^!/*?&<>()[]{}@%$#";
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr(z85_punctuation, *c))
			return false;
	return c - text == CURVE_KEY_CHARS;
}

static bool is_sha256(const char *text)
{
	return strlen(text) == SHA256_HEX_CHARS &&
	       strspn(text, "0123456789abcdefABCDEF") == SHA256_HEX_CHARS;
}

static bool is_file_name(const char *text)
{
	return *text != '\0';
}

#define ID_FIELD(type, name)                                               \
	{                                                                  \
		&wf__##type##__descriptor, name, 0, UINT64_MAX, sch_is_id, \
			"1 to 128 letters, digits, '.', '_' or '-'"        \
	}
#define ADDRESS_FIELD(name, min, max)                                      \
	{                                                                  \
		&wf__settings__descriptor, name, min, max, sch_is_address, \
			"an address of the form IP:port"                   \
	}
#define CURVE_FIELD(type, name)                                               \
	{                                                                     \
		&wf__##type##__descriptor, name, 0, UINT64_MAX, is_curve_key, \
			"a CURVE key, 40 characters in Z85"                   \
	}
#define RANGE_FIELD(name, min, max)                                   \
	{                                                             \
		&wf__settings__descriptor, name, min, max, NULL, NULL \
	}
#define FILE_FIELD(name)                                            \
	{                                                           \
		&wf__tls_settings__descriptor, name, 0, UINT64_MAX, \
			is_file_name, "the name of a file"          \
	}

static const struct sch_constraint settings_constraints[] = {
	ID_FIELD(settings, "instance"),
	ID_FIELD(settings, "data_center"),
	ID_FIELD(peer_settings, "id"),
	ID_FIELD(organization_settings, "id"),
	ADDRESS_FIELD("caller_address", 0, UINT64_MAX),
	ADDRESS_FIELD("operator_address", 0, UINT64_MAX),
	ADDRESS_FIELD("peer_address", 0, UINT64_MAX),
	ADDRESS_FIELD("object_api", 1, MAX_OBJECT_API_SERVERS),
	ADDRESS_FIELD("instance_list", 0, UINT64_MAX),
	CURVE_FIELD(curve_settings, "secret_key"),
	CURVE_FIELD(curve_settings, "public_key"),
	CURVE_FIELD(peer_settings, "public_key"),
	RANGE_FIELD("organizations", 0, MAX_ORGANIZATIONS),
	{&wf__curve_settings__descriptor, "peers", 0, MAX_PEERS, NULL, NULL},
	{&wf__organization_settings__descriptor, "token_sha256", 0, UINT64_MAX,
	 is_sha256, "a SHA-256 hash, 64 hexadecimal digits"},
	FILE_FIELD("certificate"),
	FILE_FIELD("key"),
	RANGE_FIELD("drain_limit_ms", 0, CLK_HOUR * 24),
	RANGE_FIELD("key_retention_ms", CLK_MINUTE, CLK_HOUR * 24 * 30),
	RANGE_FIELD("body_limit_bytes", MIN_BODY_LIMIT_BYTES,
		    MAX_BODY_LIMIT_BYTES),
};

/*
 * Ids and keys of peers and tokens of organisations must be unique; otherwise
 * the sender of a message or request would be ambiguous.
 */
static bool check_unique(GHashTable *seen, const char *value, const char *list,
			 size_t i, GError **error)
{
	char *key = g_ascii_strdown(value, -1);
	char *path;

	if (g_hash_table_add(seen, key))
		return true;
	path = g_strdup_printf("%s[%zu]", list, i);
	g_set_error(error, ERR_DOMAIN, ERR_BAD_SETTINGS,
		    "%s: repeats the value of an earlier entry", path);
	g_free(path);
	return false;
}

static bool check_peers(const Wf__CurveSettings *curve, GError **error)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool ok = true;
	size_t i;

	for (i = 0; ok && i < curve->n_peers; i++)
		ok = check_unique(seen, curve->peers[i]->id, "curve.peers", i,
				  error);
	g_hash_table_remove_all(seen);
	/* Z85 is case-sensitive, so keys are compared without folding. */
	for (i = 0; ok && i < curve->n_peers; i++) {
		ok = g_hash_table_add(seen,
				      g_strdup(curve->peers[i]->public_key));
		if (!ok)
			g_set_error(error, ERR_DOMAIN, ERR_BAD_SETTINGS,
				    "curve.peers[%zu].public_key: repeats the "
				    "value of an earlier entry",
				    i);
	}
	g_hash_table_destroy(seen);
	return ok;
}

static bool check_tokens(const Wf__Settings *settings, GError **error)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool ok = true;
	size_t i;

	for (i = 0; ok && i < settings->n_organizations; i++)
		ok = check_unique(seen,
				  settings->organizations[i]->token_sha256,
				  "organizations", i, error);
	g_hash_table_destroy(seen);
	return ok;
}

Wf__Settings *sch_settings_parse(const char *text, size_t len, GError **error)
{
	Wf__Settings *settings;

	settings = (Wf__Settings *)sch_load_json(
		&wf__settings__descriptor, text, len, settings_constraints,
		G_N_ELEMENTS(settings_constraints), error);
	if (!settings)
		return NULL;
	if (check_peers(settings->curve, error) &&
	    check_tokens(settings, error))
		return settings;
	sch_settings_free(settings);
	return NULL;
}

Wf__Settings *sch_settings_read(const char *path, GError **error)
{
	Wf__Settings *settings;
	size_t len;
	char *text = sch_read_file(path, &len, error);

	if (!text)
		return NULL;
	settings = sch_settings_parse(text, len, error);
	if (!settings)
		g_prefix_error(error, "%s: ", path);
	g_free(text);
	return settings;
}

void sch_settings_free(Wf__Settings *settings)
{
	if (settings)
		wf__settings__free_unpacked(settings, NULL);
}
