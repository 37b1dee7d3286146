/* Links between instances: authentication, framing and queues. */

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include <schema/peer.pb-c.h>

#include "daemon/peer.h"
#include "support/runner.h"
#include "support/wire/wire.h"

#define KEY_SIZE 41

struct inbox {
	struct peer_sink sink;
	GString *text;
	unsigned messages;
	unsigned awaited;
};

struct fixture {
	struct wire_loop wire;
	struct ctr_set *counters; /* of a */
	struct ctr_set *other;	  /* of everyone else */
	struct peer_links *a;
	struct inbox inbox;
	char a_public[KEY_SIZE];
	char a_secret[KEY_SIZE];
	char b_public[KEY_SIZE];
	char b_secret[KEY_SIZE];
	const char *counter; /* awaited by until_counted() */
	int64_t count;
};

static void record(struct peer_sink *sink, const struct wf_peer_event *message)
{
	struct inbox *inbox = (struct inbox *)sink;

	inbox->messages++;
	g_string_append_printf(inbox->text, "%s/%d kind %u: %.*s\n",
			       message->from, (int)message->incarnation,
			       message->kind, (int)message->body_len,
			       (const char *)message->body);
}

static const struct peer_sink_ops inbox_ops = {record};

static struct peer_links *try_links(struct fixture *fixture,
				    const char *address, const char *self,
				    const char *secret, const char *public,
				    struct ctr_set *counters, GError **error)
{
	struct peer_key keys[] = {{"a", fixture->a_public},
				  {"b", fixture->b_public}};
	struct peer_config config = {
		.loop = &fixture->wire.loop,
		.sink = &fixture->inbox.sink,
		.counters = counters,
		.self = self,
		.incarnation = 7,
		.address = address,
		.secret_key = secret,
		.public_key = public,
		.keys = keys,
		.n_keys = G_N_ELEMENTS(keys),
	};

	return peer_new(&config, error);
}

static struct peer_links *open_links(struct fixture *fixture, const char *self,
				     const char *secret, const char *public,
				     struct ctr_set *counters)
{
	GError *error = NULL;
	struct peer_links *links = try_links(fixture, "127.0.0.1:0", self,
					     secret, public, counters, &error);

	ck_assert_msg(links != NULL, "%s", error ? error->message : "");
	return links;
}

static void open_fixture(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	wire_open(&fixture->wire);
	fixture->counters = ctr_new();
	fixture->other = ctr_new();
	fixture->inbox.sink.ops = &inbox_ops;
	fixture->inbox.text = g_string_new(NULL);
	zmq_curve_keypair(fixture->a_public, fixture->a_secret);
	zmq_curve_keypair(fixture->b_public, fixture->b_secret);
	fixture->a = open_links(fixture, "a", fixture->a_secret,
				fixture->a_public, fixture->counters);
}

static void close_fixture(struct fixture *fixture)
{
	peer_drop(fixture->a);
	wire_close(&fixture->wire);
	g_string_free(fixture->inbox.text, TRUE);
	ctr_drop(fixture->counters);
	ctr_drop(fixture->other);
}

static bool has_messages(void *user)
{
	struct inbox *inbox = user;

	return inbox->messages >= inbox->awaited;
}

static void until_received(struct fixture *fixture, unsigned n)
{
	fixture->inbox.awaited = n;
	wire_run_until(&fixture->wire, has_messages, &fixture->inbox);
}

static bool has_counted(void *user)
{
	struct fixture *fixture = user;

	return ctr_get(fixture->counters, fixture->counter) >= fixture->count;
}

static void until_counted(struct fixture *fixture, const char *counter,
			  int64_t count)
{
	fixture->counter = counter;
	fixture->count = count;
	wire_run_until(&fixture->wire, has_counted, fixture);
}

static struct peer_links *open_b(struct fixture *fixture)
{
	return open_links(fixture, "b", fixture->b_secret, fixture->b_public,
			  fixture->other);
}

/* Guards against a message that loses its sender, kind or body. */
START_TEST(message_arrives_with_its_authenticated_sender)
{
	struct fixture fixture;
	struct peer_links *b;

	open_fixture(&fixture);
	b = open_b(&fixture);
	ck_assert(peer_send(b, "a", peer_address(fixture.a), 3, "hi", 2));
	until_received(&fixture, 1);
	ck_assert_str_eq(fixture.inbox.text->str, "b/7 kind 3: hi\n");
	ck_assert(peer_send(fixture.a, "b", peer_address(b), 4, NULL, 0));
	until_received(&fixture, 2);
	ck_assert_str_eq(fixture.inbox.text->str,
			 "b/7 kind 3: hi\na/7 kind 4: \n");
	peer_drop(b);
	close_fixture(&fixture);
}
END_TEST

/*
 * Guards against messages stuck in the edge-triggered socket when more arrive
 * than one batch receives.
 */
START_TEST(burst_is_received_to_the_last_message)
{
	struct fixture fixture;
	struct peer_links *b;
	unsigned sent = 0;

	open_fixture(&fixture);
	b = open_b(&fixture);
	ck_assert(peer_send(b, "a", peer_address(fixture.a), 1, "x", 1));
	until_received(&fixture, 1);
	while (sent < 250)
		sent += peer_send(b, "a", NULL, 1, "x", 1);
	until_received(&fixture, sent + 1);
	ck_assert_int_eq(ctr_get(fixture.counters, "wf_peer_received_total"),
			 sent + 1);
	peer_drop(b);
	close_fixture(&fixture);
}
END_TEST

/* A restart of a at its old address while b keeps sending. */
struct restart {
	struct fixture *fixture;
	struct peer_links *b;
	uv_timer_t resend;
	char *address;
};

#define RESEND_MS 50

static bool try_reopen(void *user)
{
	struct restart *restart = user;
	struct fixture *fixture = restart->fixture;

	fixture->a =
		try_links(fixture, restart->address, "a", fixture->a_secret,
			  fixture->a_public, fixture->counters, NULL);
	return fixture->a != NULL;
}

/* Messages sent on the old connection are lost, so the sender repeats. */
static void on_resend(uv_timer_t *timer)
{
	struct restart *restart = timer->data;

	peer_send(restart->b, "a", restart->address, 2, "y", 1);
}

static void start_resending(struct restart *restart)
{
	uv_timer_init(&restart->fixture->wire.loop, &restart->resend);
	restart->resend.data = restart;
	uv_timer_start(&restart->resend, on_resend, 0, RESEND_MS);
}

/* Guards against a link that does not reconnect after a restart. */
START_TEST(link_recovers_when_the_instance_restarts)
{
	struct fixture fixture;
	struct restart restart = {.fixture = &fixture};

	open_fixture(&fixture);
	restart.address = g_strdup(peer_address(fixture.a));
	restart.b = open_b(&fixture);
	ck_assert(peer_send(restart.b, "a", restart.address, 1, "x", 1));
	until_received(&fixture, 1);
	peer_drop(fixture.a);
	start_resending(&restart);
	wire_run_until(&fixture.wire, try_reopen, &restart);
	g_string_truncate(fixture.inbox.text, 0);
	until_received(&fixture, fixture.inbox.messages + 1);
	ck_assert_ptr_nonnull(strstr(fixture.inbox.text->str, "b/7 kind 2: y"));
	uv_close((uv_handle_t *)&restart.resend, NULL);
	peer_drop(restart.b);
	close_fixture(&fixture);
	g_free(restart.address);
}
END_TEST

/* Guards against messages from a key that the settings do not list. */
START_TEST(unknown_key_is_refused)
{
	struct fixture fixture;
	struct peer_links *unknown;
	char public[KEY_SIZE];
	char secret[KEY_SIZE];

	open_fixture(&fixture);
	zmq_curve_keypair(public, secret);
	unknown = open_links(&fixture, "b", secret, public, fixture.other);
	peer_send(unknown, "a", peer_address(fixture.a), 3, "hi", 2);
	until_counted(&fixture, "wf_peer_unknown_keys_total", 1);
	ck_assert_uint_eq(fixture.inbox.messages, 0);
	peer_drop(unknown);
	close_fixture(&fixture);
}
END_TEST

/* Guards against an instance that sends under another instance's id. */
START_TEST(sender_must_be_the_owner_of_the_key)
{
	struct fixture fixture;
	struct peer_links *impostor;

	open_fixture(&fixture);
	impostor = open_links(&fixture, "a", fixture.b_secret, fixture.b_public,
			      fixture.other);
	peer_send(impostor, "a", peer_address(fixture.a), 3, "hi", 2);
	until_counted(&fixture, "wf_peer_bad_frames_total", 1);
	ck_assert_uint_eq(fixture.inbox.messages, 0);
	peer_drop(impostor);
	close_fixture(&fixture);
}
END_TEST

/* Guards against messages to an instance that the settings do not list. */
START_TEST(instance_without_a_key_is_not_sent_to)
{
	struct fixture fixture;

	open_fixture(&fixture);
	ck_assert(!peer_send(fixture.a, "c", "127.0.0.1:9", 3, "hi", 2));
	ck_assert_int_eq(
		ctr_get(fixture.counters, "wf_peer_unknown_keys_total"), 1);
	close_fixture(&fixture);
}
END_TEST

/* Guards against unbounded queueing for an unreachable instance. */
START_TEST(queue_to_an_absent_instance_is_bounded)
{
	struct fixture fixture;
	char *address;
	unsigned queued = 0;
	unsigned i;

	open_fixture(&fixture);
	address = wire_reserve_address(&fixture.wire);
	for (i = 0; i < 2000; i++)
		queued += peer_send(fixture.a, "b", address, 1, "x", 1);
	ck_assert_uint_le(queued, 256);
	ck_assert_int_eq(ctr_get(fixture.counters, "wf_peer_dropped_total"),
			 2000 - queued);
	g_free(address);
	close_fixture(&fixture);
}
END_TEST

/* Opens a raw ZeroMQ socket with b's key, to send arbitrary bytes. */
static void *open_raw(struct fixture *fixture, void *context)
{
	void *socket = zmq_socket(context, ZMQ_DEALER);
	char *endpoint = g_strconcat("tcp://", peer_address(fixture->a), NULL);
	int linger = 0;

	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, fixture->a_public,
		       KEY_SIZE);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, fixture->b_public,
		       KEY_SIZE);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, fixture->b_secret,
		       KEY_SIZE);
	ck_assert_int_eq(zmq_connect(socket, endpoint), 0);
	g_free(endpoint);
	return socket;
}

/* Guards against malformed frames that stop the link or reach the core. */
START_TEST(malformed_frames_are_counted_and_dropped)
{
	struct fixture fixture;
	Wf__PeerFrame frame = WF__PEER_FRAME__INIT;
	uint8_t good[64];
	size_t size;
	void *context = zmq_ctx_new();
	void *socket;

	open_fixture(&fixture);
	socket = open_raw(&fixture, context);
	frame.kind = 9;
	frame.sender = "b";
	size = wf__peer_frame__pack(&frame, good);
	zmq_send(socket, "\xff\xff\xff", 3, 0);
	zmq_send(socket, "", 0, 0);
	zmq_send(socket, good, size - 1, 0);
	zmq_send(socket, good, size, ZMQ_SNDMORE);
	zmq_send(socket, good, size, ZMQ_SNDMORE);
	zmq_send(socket, good, size, 0);
	zmq_send(socket, good, size, 0);
	until_received(&fixture, 1);
	ck_assert_str_eq(fixture.inbox.text->str, "b/0 kind 9: \n");
	ck_assert_int_eq(ctr_get(fixture.counters, "wf_peer_bad_frames_total"),
			 4);
	zmq_close(socket);
	zmq_ctx_term(context);
	close_fixture(&fixture);
}
END_TEST

/* Guards against an unreported failure to bind the address. */
START_TEST(taken_address_is_an_io_error)
{
	struct fixture fixture;
	struct peer_config config;
	GError *error = NULL;

	open_fixture(&fixture);
	memset(&config, 0, sizeof(config));
	config.loop = &fixture.wire.loop;
	config.sink = &fixture.inbox.sink;
	config.counters = fixture.other;
	config.self = "b";
	config.address = peer_address(fixture.a);
	config.secret_key = fixture.b_secret;
	config.public_key = fixture.b_public;
	ck_assert_ptr_null(peer_new(&config, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_IO));
	g_error_free(error);
	close_fixture(&fixture);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("peer_wire");

	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase, message_arrives_with_its_authenticated_sender);
	tcase_add_test(tcase, burst_is_received_to_the_last_message);
	tcase_add_test(tcase, link_recovers_when_the_instance_restarts);
	tcase_add_test(tcase, unknown_key_is_refused);
	tcase_add_test(tcase, sender_must_be_the_owner_of_the_key);
	tcase_add_test(tcase, instance_without_a_key_is_not_sent_to);
	tcase_add_test(tcase, queue_to_an_absent_instance_is_bounded);
	tcase_add_test(tcase, malformed_frames_are_counted_and_dropped);
	tcase_add_test(tcase, taken_address_is_an_io_error);
	return sup_run_case("peer_wire", tcase);
}
