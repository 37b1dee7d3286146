/*
 * Measures the rules module with 31,000 organisations: text size, parsing,
 * lookup, memory, chunks changed by a one-line edit, and diff.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/rules.h>

#define N_ORGS 31000
#define N_LOOKUPS 2000000
#define N_EDITS 200
#define N_REVISIONS 300

/* Each organisation has a rule for models and one for bookings. */
static GString *make_text(void)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < N_ORGS; i++) {
		g_string_append_printf(
			text,
			"route org=org-%05u model=any in=uppsala,gavle,falun "
			"priority=%u deadline=20s rate=%u/s "
			"token_rate=500tok/s "
			"concurrency=8 weight=%u # operator %u\n",
			i, i % 3, 1 + i % 20, 1 + i % 5, i % 40);
		g_string_append_printf(
			text,
			"route org=org-%05u service=booking deadline=2s "
			"rate=%u/s repeat=no # operator %u\n",
			i, 1 + i % 7, i % 40);
	}
	return text;
}

static double milliseconds_since(gint64 start)
{
	return (double)(g_get_monotonic_time() - start) / 1000;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void measure_lookups(const struct rul_set *set)
{
	char(*names)[16] = g_malloc(sizeof(*names) * N_ORGS);
	GRand *rand = g_rand_new_with_seed(1);
	struct wf_policy policy;
	unsigned found = 0;
	gint64 start;
	unsigned i;

	for (i = 0; i < N_ORGS; i++)
		g_snprintf(names[i], sizeof(names[i]), "org-%05u",
			   g_rand_int_range(rand, 0, N_ORGS));
	start = g_get_monotonic_time();
	for (i = 0; i < N_LOOKUPS; i++)
		found += rul_set_lookup(set, WF_CALL_MODEL, names[i % N_ORGS],
					"swan-70b", &policy);
	printf("lookup %.0f ns (%u found)\n",
	       milliseconds_since(start) * 1e6 / N_LOOKUPS, found);
	g_rand_free(rand);
	g_free(names);
}

static void measure_parse(const GString *text)
{
	size_t before = heap_bytes();
	gint64 start = g_get_monotonic_time();
	struct rul_set *set = rul_set_parse(text->str, text->len, NULL, NULL);

	printf("parse %.1f ms, %zu rules, memory %.1f MB\n",
	       milliseconds_since(start), rul_set_n_rules(set),
	       (double)(heap_bytes() - before) / 1e6);
	measure_lookups(set);
	rul_set_drop(set);
}

static void count_new(GHashTable *known, const GArray *chunks, unsigned *n,
		      size_t *bytes)
{
	guint i;

	for (i = 0; i < chunks->len; i++) {
		const struct rul_chunk *chunk;

		chunk = &g_array_index(chunks, struct rul_chunk, i);
		if (g_hash_table_contains(known, chunk->hash))
			continue;
		*n += 1;
		*bytes += chunk->len;
	}
}

static void measure_chunks(const GString *text)
{
	gint64 start = g_get_monotonic_time();
	GArray *chunks = rul_chunk_split(text->str, text->len);
	GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
	GRand *rand = g_rand_new_with_seed(2);
	unsigned n = 0;
	size_t bytes = 0;
	guint i;

	printf("split %.1f ms, %u chunks, average %zu bytes\n",
	       milliseconds_since(start), chunks->len, text->len / chunks->len);
	for (i = 0; i < chunks->len; i++)
		g_hash_table_add(
			known, g_array_index(chunks, struct rul_chunk, i).hash);
	for (i = 0; i < N_EDITS; i++) {
		GString *edited =
			g_string_new_len(text->str, (gssize)text->len);
		char *weight = strstr(
			edited->str +
				g_rand_int_range(rand, 0, (int)text->len - 400),
			"weight=");
		GArray *after;

		weight[7] = '9';
		after = rul_chunk_split(edited->str, edited->len);
		count_new(known, after, &n, &bytes);
		g_array_unref(after);
		g_string_free(edited, TRUE);
	}
	printf("one-line edit: %.2f chunks, %.0f bytes to store\n",
	       (double)n / N_EDITS, (double)bytes / N_EDITS);
	g_hash_table_unref(known);
	g_array_unref(chunks);
	g_rand_free(rand);
}

/* Manifest size at first and after edits every 30 s, a day's peak rate. */
static void measure_manifest(const GString *text)
{
	struct rul_author author = {
		.name = "ann", .requested_by = "operator 7", .nonce = {1}};
	GString *edited = g_string_new_len(text->str, (gssize)text->len);
	GRand *rand = g_rand_new_with_seed(3);
	struct rul_manifest *manifest;
	GBytes *value;
	unsigned i;

	manifest = rul_manifest_new(NULL, text->str, text->len, &author, 1);
	value = rul_manifest_encode(manifest, NULL);
	printf("manifest %zu bytes", g_bytes_get_size(value));
	g_bytes_unref(value);
	for (i = 0; i < N_REVISIONS; i++) {
		struct rul_manifest *next;
		int at = g_rand_int_range(rand, 0, (int)text->len - 400);

		strstr(edited->str + at, "weight=")[7] = (char)('1' + i % 9);
		next = rul_manifest_new(manifest, edited->str, edited->len,
					&author, 1 + i * 30 * CLK_SECOND);
		rul_manifest_free(manifest);
		manifest = next;
	}
	value = rul_manifest_encode(manifest, NULL);
	printf(", %zu bytes after %d edits\n", g_bytes_get_size(value),
	       N_REVISIONS);
	g_bytes_unref(value);
	rul_manifest_free(manifest);
	g_string_free(edited, TRUE);
	g_rand_free(rand);
}

static void measure_diff(const GString *text)
{
	GString *edited = g_string_new_len(text->str, (gssize)text->len);
	GArray *changes;
	gint64 start;
	size_t i;

	memcpy(strstr(edited->str + text->len / 2, "weight="), "weight=9", 8);
	start = g_get_monotonic_time();
	changes = rul_diff(text->str, text->len, edited->str, edited->len);
	printf("difference of one line: %.1f ms, %u changes\n",
	       milliseconds_since(start), changes->len);
	g_array_unref(changes);
	for (i = 0; i + 8 < edited->len; i += 40)
		if (edited->str[i] != '\n')
			edited->str[i] = '~';
	start = g_get_monotonic_time();
	changes = rul_diff(text->str, text->len, edited->str, edited->len);
	printf("difference of nearly all lines: %.1f ms, %u changes\n",
	       milliseconds_since(start), changes->len);
	g_array_unref(changes);
	g_string_free(edited, TRUE);
}

int main(void)
{
	GString *text = make_text();

	printf("organisations %d, text %.2f MB\n", N_ORGS,
	       (double)text->len / 1e6);
	measure_parse(text);
	measure_chunks(text);
	measure_manifest(text);
	measure_diff(text);
	g_string_free(text, TRUE);
	return EXIT_SUCCESS;
}
