/* Chunks and the manifest: cuts, edits, malformed values, corrupt chunks. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/rules.h>

static GString *make_text(unsigned n)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(text,
				       "route org=org-%05u model=any "
				       "rate=%u/s # Ann\n",
				       i, 1 + i % 50);
	return text;
}

static const struct rul_chunk *chunk_at(const GArray *chunks, guint i)
{
	return &g_array_index(chunks, struct rul_chunk, i);
}

static void check_cuts(const char *text, size_t len)
{
	GArray *chunks = rul_chunk_split(text, len);
	size_t at = 0;
	guint i;

	for (i = 0; i < chunks->len; i++) {
		const struct rul_chunk *chunk = chunk_at(chunks, i);

		ck_assert_uint_eq(chunk->offset, at);
		ck_assert_uint_gt(chunk->len, 0);
		ck_assert_uint_le(chunk->len, RUL_CHUNK_MAX);
		if (i + 1 < chunks->len)
			ck_assert_uint_ge(chunk->len, RUL_CHUNK_MIN);
		at += chunk->len;
	}
	ck_assert_uint_eq(at, len);
	g_array_unref(chunks);
}

START_TEST(cuts_are_within_bounds)
{
	GString *text = make_text(20000);
	size_t i;

	check_cuts("", 0);
	check_cuts("x", 1);
	check_cuts(text->str, text->len);
	memset(text->str, 'x', text->len);
	check_cuts(text->str, text->len);
	memset(text->str, '\n', text->len);
	check_cuts(text->str, text->len);
	/* Long and short lines alternate. */
	for (i = 0; i < text->len; i++)
		text->str[i] = i % 9973 < 4000 ? '\n' : 'y';
	check_cuts(text->str, text->len);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(average_size_is_near_its_target)
{
	GString *text = make_text(31000);
	GArray *chunks = rul_chunk_split(text->str, text->len);
	size_t average = text->len / chunks->len;

	ck_assert_uint_ge(average, RUL_CHUNK_AVERAGE / 2);
	ck_assert_uint_le(average, RUL_CHUNK_AVERAGE * 2);
	g_array_unref(chunks);
	g_string_free(text, TRUE);
}
END_TEST

static unsigned count_new(const GArray *before, const GArray *after)
{
	GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned n = 0;
	guint i;

	for (i = 0; i < before->len; i++)
		g_hash_table_add(known, (char *)chunk_at(before, i)->hash);
	for (i = 0; i < after->len; i++)
		n += !g_hash_table_contains(known, chunk_at(after, i)->hash);
	g_hash_table_unref(known);
	return n;
}

/* Guards against an edit that moves all chunk boundaries after it. */
START_TEST(edit_changes_few_chunks)
{
	GRand *rand = g_rand_new_with_seed(5);
	GString *text = make_text(31000);
	unsigned total = 0;
	unsigned round;

	for (round = 0; round < 50; round++) {
		GArray *before = rul_chunk_split(text->str, text->len);
		size_t at = (size_t)g_rand_int_range(rand, 0, (int)text->len);
		const char *feed = strchr(text->str + at, '\n');
		unsigned n_new;
		GArray *after;

		at = feed ? (size_t)(feed - text->str) + 1 : 0;
		if (round & 1)
			g_string_insert(text, (gssize)at, "# more\n");
		else if (at + 6 < text->len)
			g_string_erase(text, (gssize)at + 5, 1);
		after = rul_chunk_split(text->str, text->len);
		n_new = count_new(before, after);
		/* The boundaries agree again after a few chunks. */
		ck_assert_uint_le(n_new, 8);
		total += n_new;
		g_array_unref(before);
		g_array_unref(after);
	}
	ck_assert_uint_le(total, 50 * 3);
	g_string_free(text, TRUE);
	g_rand_free(rand);
}
END_TEST

static const struct rul_author author = {
	.name = "ann", .requested_by = "Bo", .note = "spring", .nonce = {1, 2}};

static struct rul_manifest *make_manifest(const GString *text)
{
	return rul_manifest_new(NULL, text->str, text->len, &author, 1000);
}

START_TEST(manifest_round_trips_unchanged)
{
	GString *text = make_text(2000);
	struct rul_manifest *base = make_manifest(text);
	struct rul_manifest *next;
	struct rul_manifest *copy;
	GBytes *value;
	GBytes *again;

	g_string_append(text, "# more\n");
	next = rul_manifest_new(base, text->str, text->len, &author, 500);
	ck_assert_uint_eq(next->revision, 2);
	ck_assert_int_eq(next->time, 1000);
	ck_assert_uint_ge(next->dropped->len, 1);
	value = rul_manifest_encode(next, NULL);
	copy = rul_manifest_decode(value, NULL);
	ck_assert_ptr_nonnull(copy);
	ck_assert_str_eq(copy->note, "spring");
	ck_assert_uint_eq(copy->recent->len, 2);
	ck_assert_ptr_nonnull(rul_manifest_find_nonce(copy, author.nonce));
	again = rul_manifest_encode(copy, NULL);
	ck_assert(g_bytes_equal(value, again));
	g_bytes_unref(value);
	g_bytes_unref(again);
	rul_manifest_free(base);
	rul_manifest_free(next);
	rul_manifest_free(copy);
	g_string_free(text, TRUE);
}
END_TEST

/* Guards against a value above the store's limit of 1 MB. */
START_TEST(largest_manifest_fits_into_an_object)
{
	GString *text = make_text(10);
	struct rul_manifest *manifest = make_manifest(text);
	struct rul_dropped_chunk dropped = {.seen = INT64_MAX};
	struct rul_chunk chunk = *chunk_at(manifest->chunks, 0);
	struct rul_recent_revision recent;
	GBytes *value;

	memcpy(dropped.hash, chunk_at(manifest->chunks, 0)->hash, RUL_HASH_LEN);
	while (manifest->dropped->len < RUL_MAX_DROPPED)
		g_array_append_val(manifest->dropped, dropped);
	while (manifest->chunks->len < RUL_MAX_CHUNKS)
		g_array_append_val(manifest->chunks, chunk);
	while (manifest->recent->len < RUL_MAX_RECENT) {
		recent = g_array_index(manifest->recent,
				       struct rul_recent_revision, 0);
		recent.author = g_strnfill(RUL_MAX_NAME, 'a');
		recent.requested_by = g_strnfill(RUL_MAX_NAME, 'b');
		g_array_append_val(manifest->recent, recent);
	}
	value = rul_manifest_encode(manifest, NULL);
	ck_assert_uint_lt(g_bytes_get_size(value), 1024 * 1024);
	g_bytes_unref(value);
	g_array_append_val(manifest->dropped, dropped);
	ck_assert_ptr_null(rul_manifest_encode(manifest, NULL));
	rul_manifest_free(manifest);
	g_string_free(text, TRUE);
}
END_TEST

enum corruption {
	CORRUPT_NO_REVISION,
	CORRUPT_BASE_ABOVE,
	CORRUPT_SIZE,
	CORRUPT_CHUNK_EMPTY,
	CORRUPT_CHUNK_LARGE,
	CORRUPT_RECENT_ORDER,
	CORRUPT_NO_RECENT,
	CORRUPT_LONG_AUTHOR,
	CORRUPT_BAD_UTF8,
	N_CORRUPTIONS,
};

static void corrupt_manifest(struct rul_manifest *manifest,
			     enum corruption corruption)
{
	struct rul_chunk *chunk;

	chunk = &g_array_index(manifest->chunks, struct rul_chunk, 0);
	switch (corruption) {
	case CORRUPT_NO_REVISION:
		manifest->revision = 0;
		return;
	case CORRUPT_BASE_ABOVE:
		manifest->base_revision = 1;
		return;
	case CORRUPT_SIZE:
		manifest->text_size++;
		return;
	case CORRUPT_CHUNK_EMPTY:
		manifest->text_size -= chunk->len;
		chunk->len = 0;
		return;
	case CORRUPT_CHUNK_LARGE:
		manifest->text_size += RUL_CHUNK_MAX;
		chunk->len += RUL_CHUNK_MAX;
		return;
	case CORRUPT_RECENT_ORDER:
		g_array_index(manifest->recent, struct rul_recent_revision, 0)
			.revision = 7;
		return;
	case CORRUPT_NO_RECENT:
		g_array_set_size(manifest->recent, 0);
		return;
	case CORRUPT_LONG_AUTHOR:
		g_free(manifest->author);
		manifest->author = g_strnfill(RUL_MAX_NAME + 1, 'a');
		return;
	case CORRUPT_BAD_UTF8:
		manifest->author[0] = '\xff';
		return;
	case N_CORRUPTIONS:
		return;
	}
}

/* Guards against a malformed manifest that is accepted. */
START_TEST(malformed_manifest_gives_a_typed_error)
{
	GString *text = make_text(2000);
	struct rul_manifest *manifest = make_manifest(text);
	GError *error = NULL;
	GBytes *value;

	corrupt_manifest(manifest, (enum corruption)_i);
	value = rul_manifest_encode(manifest, NULL);
	ck_assert_ptr_null(rul_manifest_decode(value, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_PROTOCOL));
	g_error_free(error);
	g_bytes_unref(value);
	rul_manifest_free(manifest);
	g_string_free(text, TRUE);
}
END_TEST

/* Truncated values and random bytes must neither crash nor leak. */
START_TEST(corrupt_bytes_never_crash)
{
	GString *text = make_text(500);
	struct rul_manifest *manifest = make_manifest(text);
	GBytes *value = rul_manifest_encode(manifest, NULL);
	GRand *rand = g_rand_new_with_seed(3);
	unsigned round;

	for (round = 0; round < 5000; round++) {
		gsize len;
		const void *data = g_bytes_get_data(value, &len);
		guint8 *copy = g_memdup2(data, len);
		GBytes *corrupt;

		copy[g_rand_int_range(rand, 0, (int)len)] =
			(guint8)g_rand_int(rand);
		if (round & 1)
			len = (gsize)g_rand_int_range(rand, 0, (int)len);
		corrupt = g_bytes_new_take(copy, len);
		rul_manifest_free(rul_manifest_decode(corrupt, NULL));
		rul_audit_free(rul_audit_decode(corrupt, NULL));
		g_bytes_unref(corrupt);
	}
	g_rand_free(rand);
	g_bytes_unref(value);
	rul_manifest_free(manifest);
	g_string_free(text, TRUE);
}
END_TEST

static GBytes *get_from_table(void *user, const char *hash)
{
	return g_hash_table_lookup(user, hash);
}

/* Guards against rules that are applied although a chunk is wrong. */
START_TEST(wrong_chunk_gives_a_typed_error)
{
	GString *text = make_text(2000);
	struct rul_manifest *manifest = make_manifest(text);
	GHashTable *table = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_bytes_unref);
	const struct rul_chunk *first = chunk_at(manifest->chunks, 0);
	GPtrArray *missing;
	GError *error = NULL;
	GBytes *joined;
	guint i;

	missing = rul_chunk_missing(manifest, get_from_table, table);
	ck_assert_uint_eq(missing->len, manifest->chunks->len);
	g_ptr_array_unref(missing);
	for (i = 0; i < manifest->chunks->len; i++) {
		const struct rul_chunk *chunk = chunk_at(manifest->chunks, i);

		ck_assert_ptr_null(rul_chunk_join(manifest, get_from_table,
						  table, &error));
		ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_NOT_FOUND));
		g_clear_error(&error);
		g_hash_table_insert(
			table, (char *)chunk->hash,
			g_bytes_new(text->str + chunk->offset, chunk->len));
	}
	joined = rul_chunk_join(manifest, get_from_table, table, &error);
	ck_assert_uint_eq(g_bytes_get_size(joined), text->len);
	ck_assert_mem_eq(g_bytes_get_data(joined, NULL), text->str, text->len);
	g_bytes_unref(joined);
	text->str[3]++;
	g_hash_table_insert(table, (char *)first->hash,
			    g_bytes_new(text->str, first->len));
	ck_assert_ptr_null(
		rul_chunk_join(manifest, get_from_table, table, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_PROTOCOL));
	g_clear_error(&error);
	g_hash_table_unref(table);
	rul_manifest_free(manifest);
	g_string_free(text, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_chunk");
	TCase *tcase = tcase_create("chunk");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, cuts_are_within_bounds);
	tcase_add_test(tcase, average_size_is_near_its_target);
	tcase_add_test(tcase, edit_changes_few_chunks);
	tcase_add_test(tcase, manifest_round_trips_unchanged);
	tcase_add_test(tcase, largest_manifest_fits_into_an_object);
	tcase_add_loop_test(tcase, malformed_manifest_gives_a_typed_error, 0,
			    N_CORRUPTIONS);
	tcase_add_test(tcase, corrupt_bytes_never_crash);
	tcase_add_test(tcase, wrong_chunk_gives_a_typed_error);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
