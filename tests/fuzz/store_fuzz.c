/*
 * Reads an answer of the store from untrusted bytes and decodes all its objects
 * as entries of targets, configuration, record of the duty, instances and
 * reports. An answer that the parser accepts as a whole is read unchanged, and
 * what names a target has values within their ranges.
 */

#include <stdlib.h>
#include <string.h>

#include "daemon/net.h"
#include "platform/ptf.h"

#define MAX_LAYERS 65536

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_whole(const char *text, size_t size, const json_t *read)
{
	json_t *whole = json_loadb(text, size, JSON_DECODE_ANY, NULL);

	if (whole && !json_equal(whole, (json_t *)read))
		abort();
	json_decref(whole);
}

static void decode_target(const json_t *spec)
{
	struct flt_target *target = ptf_decode_target("i-1", spec, NULL);
	struct sockaddr_in address;

	if (!target)
		return;
	if (!net_parse_address(target->address, &address) ||
	    !address.sin_port || !target->slots || target->started_at < 0 ||
	    target->holds.first > target->holds.end ||
	    target->holds.end > MAX_LAYERS)
		abort();
	flt_target_drop(target);
}

static void decode_catalog(const json_t *spec)
{
	GPtrArray *skipped = g_ptr_array_new_with_free_func(g_free);

	cat_drop(ptf_decode_catalog(spec, skipped, NULL));
	g_ptr_array_unref(skipped);
}

static void decode_report(const json_t *body)
{
	struct edg_report report;
	GPtrArray *stalled = NULL;

	if (ptf_decode_report(body, &report, &stalled))
		g_ptr_array_unref(stalled);
}

static void decode_object(const json_t *object)
{
	const json_t *spec = json_object_get(object, "spec");
	struct edg_peer peer;

	decode_target(spec);
	decode_catalog(spec);
	decode_report(spec);
	edg_duty_free(ptf_decode_duty(object));
	if (ptf_decode_peer(object, &peer) && !strlen(peer.address))
		return;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const json_t *items;
	const json_t *events;
	json_t *read;
	char *text;
	size_t i;

	if (!size)
		return 0;
	/* A copy of the exact size, for the detection of reads beyond it. */
	text = g_memdup2(data, size);
	read = ptf_read_answer(text, size);
	items = json_object_get(read, "items");
	events = json_object_get(read, "events");
	check_whole(text, size, read);
	decode_object(read);
	for (i = 0; i < json_array_size(items); i++)
		decode_object(json_array_get(items, i));
	for (i = 0; i < json_array_size(events); i++)
		decode_object(
			json_object_get(json_array_get(events, i), "object"));
	json_decref(read);
	g_free(text);
	return 0;
}
