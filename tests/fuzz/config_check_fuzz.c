/*
 * Checks a configuration from untrusted bytes, as "wagtailferry config check"
 * does: no crash; bytes that instances can't read have a problem, and so does
 * each route that they leave out; a configuration doesn't differ from itself.
 */

#include <stdlib.h>

#include <wagtailferry/catalog_check.h>

#include "platform/ptf.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_catalog(const struct cat_catalog *catalog,
			  GPtrArray *problems)
{
	struct cat_catalog *empty = cat_new(0);
	GPtrArray *changes = chk_changes(catalog, catalog);

	chk_catalog(catalog, problems);
	chk_version(catalog, catalog, changes, problems);
	if (changes->len)
		abort();
	g_ptr_array_unref(changes);
	g_ptr_array_unref(chk_changes(empty, catalog));
	g_ptr_array_unref(chk_changes(catalog, empty));
	cat_drop(empty);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GPtrArray *problems = chk_problems_new();
	GPtrArray *skipped = g_ptr_array_new_with_free_func(g_free);
	struct cat_catalog *catalog = NULL;
	/* A copy of the exact size, for the detection of reads beyond it. */
	char *text = g_memdup2(data, size);
	json_t *spec = ptf_read_spec(text ? text : "", size, problems);

	if (spec) {
		ptf_check_spec(spec, problems);
		catalog = ptf_decode_catalog(spec, skipped, NULL);
	}
	if ((!catalog || skipped->len) && !problems->len)
		abort();
	if (catalog)
		check_catalog(catalog, problems);
	cat_drop(catalog);
	json_decref(spec);
	g_free(text);
	g_ptr_array_unref(skipped);
	g_ptr_array_unref(problems);
	return 0;
}
