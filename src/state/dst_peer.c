#include <string.h>

#include "state/dst_private.h"

/* Chunks per request to a peer; about 256 KB at the average size. */
#define PEER_BATCH 16

static void send_packed(struct wf_ctx *ctx, const char *to, enum dst_kind kind,
			const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *packed = g_malloc(len + 1);

	protobuf_c_message_pack(message, packed);
	wf_send_peer(ctx, to, kind, packed, len);
	ctr_add(ctx->counters, "wf_rules_messages_total", 1);
	ctr_add(ctx->counters, "wf_rules_bytes_total", len);
	g_free(packed);
}

void dst_send_request(struct wf_ctx *ctx, struct dst_distribution *dst,
		      const GPtrArray *missing)
{
	Wf__RulesRequest request = WF__RULES_REQUEST__INIT;
	char *hashes[PEER_BATCH];
	guint i;

	dst->fetch.sequence = ++dst->next_sequence;
	request.sequence = dst->fetch.sequence;
	request.manifest = !missing;
	request.chunks = hashes;
	for (i = 0; missing && i < missing->len && i < PEER_BATCH; i++) {
		struct rul_chunk *chunk = missing->pdata[i];

		hashes[request.n_chunks++] = chunk->hash;
	}
	send_packed(ctx, dst->fetch.source, DST_KIND_REQUEST, &request.base);
}

void dst_announce(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	Wf__RulesNews news = WF__RULES_NEWS__INIT;
	unsigned sent = 0;
	unsigned tries;

	news.revision = dst->revision;
	for (tries = 0; ctx->peers->len > 1 && sent < dst->config.fanout &&
			tries < 4 * dst->config.fanout;
	     tries++) {
		gint32 i =
			g_rand_int_range(ctx->rand, 0, (gint32)ctx->peers->len);
		const struct wf_peer *peer = ctx->peers->pdata[i];

		if (!strcmp(peer->id, ctx->self))
			continue;
		send_packed(ctx, peer->id, DST_KIND_ANNOUNCE, &news.base);
		sent++;
	}
}

static void add_chunk(Wf__RulesResponse *response, Wf__RulesChunkData *item,
		      const char *hash, GBytes *data)
{
	gsize len;

	wf__rules_chunk_data__init(item);
	item->hash = (char *)hash;
	item->data.data = (uint8_t *)g_bytes_get_data(data, &len);
	item->data.len = len;
	response->chunks[response->n_chunks++] = item;
}

static void answer_request(struct wf_ctx *ctx, struct dst_distribution *dst,
			   const char *from, const Wf__RulesRequest *request)
{
	Wf__RulesResponse response = WF__RULES_RESPONSE__INIT;
	Wf__RulesChunkData items[PEER_BATCH];
	Wf__RulesChunkData *list[PEER_BATCH];
	size_t i;

	response.sequence = request->sequence;
	response.chunks = list;
	if (request->manifest && dst->encoded) {
		gsize len;

		response.manifest.data =
			(uint8_t *)g_bytes_get_data(dst->encoded, &len);
		response.manifest.len = len;
	}
	for (i = 0; i < request->n_chunks && i < PEER_BATCH; i++) {
		const char *hash = request->chunks[i];
		GBytes *data = g_hash_table_lookup(dst->chunks, hash);

		if (data)
			add_chunk(&response, &items[response.n_chunks], hash,
				  data);
	}
	send_packed(ctx, from, DST_KIND_RESPONSE, &response.base);
}

static void accept_response(struct wf_ctx *ctx, struct dst_distribution *dst,
			    const char *from, const Wf__RulesResponse *response)
{
	struct dst_fetch *fetch = &dst->fetch;
	size_t i;

	if (!fetch->active || !fetch->source || strcmp(fetch->source, from) ||
	    response->sequence != fetch->sequence)
		return;
	if (!fetch->manifest) {
		GBytes *value = g_bytes_new(response->manifest.data,
					    response->manifest.len);

		if (response->manifest.len)
			dst_fetch_set_manifest(ctx, dst, value);
		else
			dst_fetch_next_source(ctx, dst);
		g_bytes_unref(value);
		return;
	}
	for (i = 0; i < response->n_chunks; i++) {
		const Wf__RulesChunkData *item = response->chunks[i];
		GBytes *data = g_bytes_new(item->data.data, item->data.len);

		dst_fetch_add_chunk(ctx, dst, item->hash, data);
		g_bytes_unref(data);
	}
	dst_fetch_continue(ctx, dst);
}

static ProtobufCMessage *unpack(struct wf_ctx *ctx,
				const ProtobufCMessageDescriptor *descriptor,
				const struct wf_peer_event *event)
{
	ProtobufCMessage *message;

	message = protobuf_c_message_unpack(descriptor, NULL, event->body_len,
					    event->body);
	if (!message)
		ctr_add(ctx->counters, "wf_peer_bad_frames_total", 1);
	return message;
}

static const ProtobufCMessageDescriptor *descriptor_of(unsigned kind)
{
	switch (kind) {
	case DST_KIND_ANNOUNCE:
		return &wf__rules_news__descriptor;
	case DST_KIND_REQUEST:
		return &wf__rules_request__descriptor;
	case DST_KIND_RESPONSE:
		return &wf__rules_response__descriptor;
	default:
		return NULL;
	}
}

void dst_handle_peer(struct wf_ctx *ctx, struct dst_distribution *dst,
		     const struct wf_peer_event *event)
{
	const ProtobufCMessageDescriptor *descriptor;
	ProtobufCMessage *message;

	descriptor = descriptor_of(event->kind);
	if (!descriptor)
		return;
	message = unpack(ctx, descriptor, event);
	if (!message)
		return;
	if (event->kind == DST_KIND_ANNOUNCE)
		dst_handle_revision(ctx, dst, event->from,
				    ((Wf__RulesNews *)message)->revision);
	else if (event->kind == DST_KIND_REQUEST)
		answer_request(ctx, dst, event->from,
			       (Wf__RulesRequest *)message);
	else
		accept_response(ctx, dst, event->from,
				(Wf__RulesResponse *)message);
	protobuf_c_message_free_unpacked(message, NULL);
}
