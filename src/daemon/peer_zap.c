#include <string.h>

#include "daemon/peer_internal.h"

/*
 * The parts of a ZAP request as a ROUTER socket receives it; the last one is
 * the client's public key.
 */
enum zap_part {
	ZAP_ROUTE,
	ZAP_DELIMITER,
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_KEY,
	ZAP_N_PARTS,
};

#define CURVE_KEY_BYTES 32

static bool part_is(zmq_msg_t *part, const char *text)
{
	return zmq_msg_size(part) == strlen(text) &&
	       !memcmp(zmq_msg_data(part), text, strlen(text));
}

static const char *find_id(struct peer_zap *zap, zmq_msg_t *parts)
{
	const char *id;
	GBytes *key;

	if (!part_is(&parts[ZAP_VERSION], "1.0") ||
	    !part_is(&parts[ZAP_MECHANISM], "CURVE") ||
	    zmq_msg_size(&parts[ZAP_KEY]) != CURVE_KEY_BYTES)
		return NULL;
	key = g_bytes_new(zmq_msg_data(&parts[ZAP_KEY]), CURVE_KEY_BYTES);
	id = g_hash_table_lookup(zap->ids, key);
	g_bytes_unref(key);
	return id;
}

static void send_part(void *socket, zmq_msg_t *part)
{
	zmq_msg_send(part, socket, ZMQ_SNDMORE | ZMQ_DONTWAIT);
}

static void send_text(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags | ZMQ_DONTWAIT);
}

/* Replies with status, reason, user id and empty metadata. */
static void answer(struct peer_zap *zap, zmq_msg_t *parts, const char *id)
{
	void *socket = zap->watched.socket;

	send_part(socket, &parts[ZAP_ROUTE]);
	send_part(socket, &parts[ZAP_DELIMITER]);
	send_part(socket, &parts[ZAP_VERSION]);
	send_part(socket, &parts[ZAP_REQUEST_ID]);
	send_text(socket, id ? "200" : "400", ZMQ_SNDMORE);
	send_text(socket, id ? "OK" : "unknown key", ZMQ_SNDMORE);
	send_text(socket, id ? id : "", ZMQ_SNDMORE);
	send_text(socket, "", 0);
}

static bool receive(struct peer_socket *watched)
{
	struct peer_zap *zap = watched->user;
	zmq_msg_t parts[ZAP_N_PARTS];
	size_t n = peer_socket_receive(watched->socket, parts, ZAP_N_PARTS);
	size_t i;

	if (n == ZAP_N_PARTS) {
		const char *id = find_id(zap, parts);

		if (!id)
			ctr_add(zap->counters, "wf_peer_unknown_keys_total", 1);
		answer(zap, parts, id);
	}
	for (i = 0; i < MIN(n, (size_t)ZAP_N_PARTS); i++)
		zmq_msg_close(&parts[i]);
	return n > 0;
}

bool peer_zap_open(struct peer_zap *zap, void *context, uv_loop_t *loop)
{
	void *socket = zmq_socket(context, ZMQ_ROUTER);
	int linger = 0;

	zap->watched.receive = receive;
	zap->watched.user = zap;
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	if (!zmq_bind(socket, "inproc://zeromq.zap.01") &&
	    peer_socket_watch(&zap->watched, loop, socket))
		return true;
	zmq_close(socket);
	return false;
}
