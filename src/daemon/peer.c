#include <string.h>

#include <schema/peer.pb-c.h>

#include "daemon/peer_internal.h"

/* Messages queued for an instance, and received but not yet processed. */
#define SEND_QUEUE_MESSAGES 256
#define RECEIVE_QUEUE_MESSAGES 1024
/* Above the largest store value (1 MiB) with its frame. */
#define MAX_MESSAGE_BYTES (2 << 20)
/* A sending link receives only handshakes and heartbeats. */
#define MAX_COMMAND_BYTES 4096
#define HEARTBEAT_MS 1000
#define HEARTBEAT_TIMEOUT_MS 3000
#define HANDSHAKE_TIMEOUT_MS 5000
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
/* Time to send queued messages when a link is closed. */
#define LINGER_MS 200
/* Links are closed after this time without a message, to limit memory. */
#define IDLE_LINK_MS 30000
#define IDLE_CHECK_MS 10000
#define CURVE_KEY_BYTES 32
#define MAX_ENDPOINT 256
#define N_OWNED_PARTS 3

struct link {
	void *socket;
	char *address;
	uint64_t used_ms; /* on the loop's clock */
};

struct peer_links {
	uv_loop_t *loop;
	struct peer_sink *sink;
	struct ctr_set *counters;
	char *self;
	uint64_t incarnation;
	char *address;
	char *secret_key;
	char *public_key;
	GHashTable *keys;  /* id to public key in Z85 */
	GHashTable *ids;   /* public key as bytes to id, borrowed from keys */
	GHashTable *links; /* id to struct link */
	void *context;
	struct peer_socket receiver;
	struct peer_zap zap;
	uv_timer_t idle_timer;
	unsigned open_parts; /* receiver, zap and timer */
};

static void count(struct peer_links *links, const char *name)
{
	ctr_add(links->counters, name, 1);
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

/* An IPv6 socket would report an IPv4 address in mapped form. */
static bool is_ipv6(const char *address)
{
	return *address == '[';
}

/* Opens a socket with the options common to both directions. */
static void *open_socket(struct peer_links *links, int type)
{
	void *socket = zmq_socket(links->context, type);
	bool receives = type == ZMQ_ROUTER;
	int64_t max_size = receives ? MAX_MESSAGE_BYTES : MAX_COMMAND_BYTES;

	set_int(socket, ZMQ_LINGER, LINGER_MS);
	set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	/* Sending links are never read, so they must not queue. */
	set_int(socket, ZMQ_RCVHWM, receives ? RECEIVE_QUEUE_MESSAGES : 1);
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size));
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, links->secret_key,
		       strlen(links->secret_key) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, links->public_key,
		       strlen(links->public_key) + 1);
	return socket;
}

/* Receiving */

/* The id that the ZAP handler assigned to the connection. */
static const char *authenticated_id(zmq_msg_t *part)
{
	const char *id = zmq_msg_gets(part, "User-Id");

	return id && *id ? id : NULL;
}

static void handle_frame(struct peer_links *links, zmq_msg_t *part)
{
	const char *id = authenticated_id(part);
	Wf__PeerFrame *frame;
	struct wf_peer_event message;

	frame = wf__peer_frame__unpack(NULL, zmq_msg_size(part),
				       zmq_msg_data(part));
	if (!frame) {
		count(links, "wf_peer_bad_frames_total");
		return;
	}
	if (id && !strcmp(id, frame->sender) && frame->kind) {
		message.from = id;
		message.incarnation = frame->incarnation;
		message.kind = frame->kind;
		message.body = frame->body.data;
		message.body_len = frame->body.len;
		count(links, "wf_peer_received_total");
		links->sink->ops->message(links->sink, &message);
	} else {
		count(links, "wf_peer_bad_frames_total");
	}
	wf__peer_frame__free_unpacked(frame, NULL);
}

/* A message consists of the sender's routing id and one frame. */
static bool receive(struct peer_socket *watched)
{
	struct peer_links *links = watched->user;
	zmq_msg_t parts[2];
	size_t n = peer_socket_receive(watched->socket, parts, 2);
	size_t i;

	if (n == 2)
		handle_frame(links, &parts[1]);
	else if (n)
		count(links, "wf_peer_bad_frames_total");
	for (i = 0; i < MIN(n, (size_t)2); i++)
		zmq_msg_close(&parts[i]);
	return n > 0;
}

/* Sending */

static void free_link(gpointer data)
{
	struct link *link = data;

	zmq_close(link->socket);
	g_free(link->address);
	g_free(link);
}

static struct link *connect_link(struct peer_links *links, const char *id,
				 const char *address, const char *key)
{
	struct link *link = g_new0(struct link, 1);
	char *endpoint = g_strconcat("tcp://", address, NULL);

	link->socket = open_socket(links, ZMQ_DEALER);
	link->address = g_strdup(address);
	set_int(link->socket, ZMQ_IPV6, is_ipv6(address));
	set_int(link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(link->socket, ZMQ_CURVE_SERVERKEY, key, strlen(key) + 1);
	if (zmq_connect(link->socket, endpoint)) {
		free_link(link);
		link = NULL;
	} else {
		g_hash_table_replace(links->links, g_strdup(id), link);
	}
	g_free(endpoint);
	return link;
}

static struct link *find_link(struct peer_links *links, const char *id,
			      const char *address)
{
	struct link *link = g_hash_table_lookup(links->links, id);
	const char *key;

	if (link && (!address || !strcmp(link->address, address)))
		return link;
	key = g_hash_table_lookup(links->keys, id);
	if (!key) {
		count(links, "wf_peer_unknown_keys_total");
		return NULL;
	}
	if (!address || !*address)
		return NULL;
	return connect_link(links, id, address, key);
}

static bool send_frame(struct peer_links *links, struct link *link,
		       const Wf__PeerFrame *frame)
{
	size_t size = wf__peer_frame__get_packed_size(frame);
	zmq_msg_t message;

	zmq_msg_init_size(&message, size);
	wf__peer_frame__pack(frame, zmq_msg_data(&message));
	if (zmq_msg_send(&message, link->socket, ZMQ_DONTWAIT) >= 0) {
		count(links, "wf_peer_sent_total");
		return true;
	}
	zmq_msg_close(&message);
	count(links, "wf_peer_dropped_total");
	return false;
}

bool peer_send(struct peer_links *links, const char *id, const char *address,
	       unsigned kind, const void *body, size_t len)
{
	Wf__PeerFrame frame = WF__PEER_FRAME__INIT;
	struct link *link = find_link(links, id, address);

	if (!link) {
		count(links, "wf_peer_dropped_total");
		return false;
	}
	link->used_ms = uv_now(links->loop);
	frame.kind = kind;
	frame.sender = links->self;
	frame.incarnation = links->incarnation;
	frame.body.data = (uint8_t *)body;
	frame.body.len = len;
	return send_frame(links, link, &frame);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer user)
{
	const struct link *link = value;
	const uint64_t *now = user;

	(void)key;
	return *now - link->used_ms >= IDLE_LINK_MS;
}

static void on_idle_check(uv_timer_t *timer)
{
	struct peer_links *links = timer->data;
	uint64_t now = uv_now(links->loop);

	g_hash_table_foreach_remove(links->links, is_idle, &now);
}

/* Opening and closing */

static void fill_keys(struct peer_links *links,
		      const struct peer_config *config)
{
	uint8_t binary[CURVE_KEY_BYTES];
	size_t i;

	for (i = 0; i < config->n_keys; i++) {
		const struct peer_key *key = &config->keys[i];
		char *id = g_strdup(key->id);

		g_hash_table_replace(links->keys, id,
				     g_strdup(key->public_key));
		if (zmq_z85_decode(binary, key->public_key))
			g_hash_table_replace(
				links->ids, g_bytes_new(binary, sizeof(binary)),
				id);
	}
}

static void free_links(struct peer_links *links)
{
	zmq_ctx_term(links->context);
	g_hash_table_destroy(links->ids);
	g_hash_table_destroy(links->keys);
	ctr_drop(links->counters);
	g_free(links->self);
	g_free(links->address);
	g_free(links->secret_key);
	g_free(links->public_key);
	g_free(links);
}

static void part_closed(struct peer_links *links)
{
	if (!--links->open_parts)
		free_links(links);
}

static void on_receiver_closed(struct peer_socket *watched)
{
	part_closed(watched->user);
}

static void on_zap_closed(struct peer_socket *watched)
{
	struct peer_zap *zap = watched->user;

	part_closed((struct peer_links *)((char *)zap -
					  offsetof(struct peer_links, zap)));
}

static void on_timer_closed(uv_handle_t *handle)
{
	part_closed(handle->data);
}

static void open_timer(struct peer_links *links)
{
	uv_timer_init(links->loop, &links->idle_timer);
	links->idle_timer.data = links;
	uv_timer_start(&links->idle_timer, on_idle_check, IDLE_CHECK_MS,
		       IDLE_CHECK_MS);
}

static bool open_receiver(struct peer_links *links, const char *address)
{
	void *socket = open_socket(links, ZMQ_ROUTER);
	char *endpoint = g_strconcat("tcp://", address, NULL);
	char bound[MAX_ENDPOINT];
	size_t size = sizeof(bound);
	bool ok;

	set_int(socket, ZMQ_IPV6, is_ipv6(address));
	set_int(socket, ZMQ_CURVE_SERVER, 1);
	ok = !zmq_bind(socket, endpoint) &&
	     !zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, bound, &size);
	links->receiver.receive = receive;
	links->receiver.closed = on_receiver_closed;
	links->receiver.user = links;
	ok = ok && peer_socket_watch(&links->receiver, links->loop, socket);
	if (ok)
		links->address = g_strdup(bound + strlen("tcp://"));
	else
		zmq_close(socket);
	g_free(endpoint);
	return ok;
}

static struct peer_links *new_links(const struct peer_config *config)
{
	struct peer_links *links = g_new0(struct peer_links, 1);

	links->loop = config->loop;
	links->sink = config->sink;
	links->counters = ctr_keep(config->counters);
	links->self = g_strdup(config->self);
	links->incarnation = config->incarnation;
	links->secret_key = g_strdup(config->secret_key);
	links->public_key = g_strdup(config->public_key);
	links->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	links->ids = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					   (GDestroyNotify)g_bytes_unref, NULL);
	links->links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_link);
	links->zap.ids = links->ids;
	links->zap.counters = links->counters;
	links->zap.watched.closed = on_zap_closed;
	links->context = zmq_ctx_new();
	fill_keys(links, config);
	return links;
}

struct peer_links *peer_new(const struct peer_config *config, GError **error)
{
	struct peer_links *links = new_links(config);

	/* The ZAP handler must exist before the first connection. */
	if (!peer_zap_open(&links->zap, links->context, links->loop)) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "peer links: %s",
			    zmq_strerror(zmq_errno()));
		g_hash_table_destroy(links->links);
		free_links(links);
		return NULL;
	}
	open_timer(links);
	links->open_parts = N_OWNED_PARTS;
	if (open_receiver(links, config->address))
		return links;
	g_set_error(error, ERR_DOMAIN, ERR_IO, "peer address %s: %s",
		    config->address, zmq_strerror(zmq_errno()));
	links->open_parts--;
	peer_drop(links);
	return NULL;
}

void peer_drop(struct peer_links *links)
{
	if (!links)
		return;
	g_hash_table_destroy(links->links);
	if (links->receiver.socket)
		peer_socket_close(&links->receiver);
	peer_socket_close(&links->zap.watched);
	uv_close((uv_handle_t *)&links->idle_timer, on_timer_closed);
}

const char *peer_address(const struct peer_links *links)
{
	return links->address;
}
