/*
 * Decodes manifests and audit segments from untrusted bytes: no crash, and a
 * manifest keeps its encoding when decoded and encoded again.
 */

#include <stdlib.h>

#include <wagtailferry/rules.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static GBytes *get_nothing(void *user, const char *hash)
{
	(void)user;
	(void)hash;
	return NULL;
}

static void check_manifest(GBytes *value)
{
	struct rul_manifest *manifest = rul_manifest_decode(value, NULL);
	GBytes *first;
	struct rul_manifest *again;
	GBytes *second;

	if (!manifest)
		return;
	g_ptr_array_unref(rul_chunk_missing(manifest, get_nothing, NULL));
	first = rul_manifest_encode(manifest, NULL);
	again = rul_manifest_decode(first, NULL);
	if (!again)
		abort();
	second = rul_manifest_encode(again, NULL);
	if (!g_bytes_equal(first, second))
		abort();
	g_bytes_unref(first);
	g_bytes_unref(second);
	rul_manifest_free(manifest);
	rul_manifest_free(again);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *value = g_bytes_new(data, size);
	struct rul_audit_segment *segment = rul_audit_decode(value, NULL);

	check_manifest(value);
	if (segment)
		g_bytes_unref(rul_audit_encode(segment));
	rul_audit_free(segment);
	g_bytes_unref(value);
	return 0;
}
