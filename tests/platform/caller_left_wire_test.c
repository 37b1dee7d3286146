/* Callers whose close has arrived before their request is forwarded. */

#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/net.h"
#include "platform/support/stand_in.h"
#include "support/runner.h"

#define REQUEST                               \
	"POST /read/ HTTP/1.1\r\nHost: h\r\n" \
	"Authorization: Token key1\r\n"       \
	"X-Wagtailferry-Attempt-Id: left\r\nContent-Length: 0\r\n\r\n"
#define STREAM                                   \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\n"  \
	"Authorization: Token key1\r\n"          \
	"X-Wagtailferry-Token-Counts: 50,50\r\n" \
	"X-Wagtailferry-Attempt-Id: left\r\nContent-Length: 0\r\n\r\n"
#define SPAN_MS 300
/* Streams that the two heads of world_open_engines() may run together. */
#define HEAD_STREAMS 12
#define ENDED_STREAMS 4

/* One worker, to which a connection is open, so that a request that is
 * forwarded reaches it at once. */
static struct worker *open_one_worker(struct platform_world *world)
{
	struct worker *worker;
	struct wire_client *client;

	world_open(world);
	world_put(world, "config", "main", world_config(1));
	worker = world_worker(world, "p1", "plain", 0, 0);
	world_start_ready_edge(world);
	client = world_request(world, "POST", "/read/",
			       "Authorization: Token key1\r\n", "");
	wire_client_await(&world->wire, client, "HTTP/1.1 200 ");
	wire_client_drop(client);
	ck_assert_uint_eq(worker->requests, 1);
	return worker;
}

/* Connects without the loop, so that the edge reads what was sent in one turn.
 */
static int connect_now(const struct platform_world *world)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in at;

	ck_assert(net_parse_address(world->address, &at));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	return fd;
}

static void send_now(int fd, const char *text)
{
	ck_assert_int_eq(write(fd, text, strlen(text)), strlen(text));
}

static void reset(int fd)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void shut_down(int fd)
{
	shutdown(fd, SHUT_WR);
}

static void close_now(int fd)
{
	close(fd);
}

static const struct {
	const char *text;
	void (*leave)(int fd);
	bool is_open;
} ways[] = {
	{REQUEST, close_now, false},
	{REQUEST, reset, false},
	{REQUEST, shut_down, true},
	/* The close is behind bytes that have not been read. */
	{REQUEST REQUEST, close_now, false},
};

/* Guards against requests that reach a target though their callers had left
 * when they were read. */
START_TEST(request_of_a_caller_that_left_is_not_forwarded)
{
	struct platform_world world;
	struct worker *worker = open_one_worker(&world);
	int fd = connect_now(&world);

	send_now(fd, ways[_i].text);
	ways[_i].leave(fd);
	world_run(&world, SPAN_MS);
	ck_assert_uint_eq(worker->requests, 1);
	ck_assert_ptr_nonnull(strstr(world.log_text->str, "caller_left"));
	if (ways[_i].is_open)
		close(fd);
	world_close(&world);
}
END_TEST

/* Guards against taking a pipelined request for a close. */
START_TEST(pipelined_requests_are_forwarded)
{
	struct platform_world world;
	struct worker *worker = open_one_worker(&world);
	int fd = connect_now(&world);

	send_now(fd, REQUEST REQUEST);
	world_run(&world, SPAN_MS);
	ck_assert_uint_eq(worker->requests, 3);
	close(fd);
	world_close(&world);
}
END_TEST

static struct wire_client *open_stream(struct platform_world *world)
{
	struct wire_client *client =
		world_request(world, "POST", "/stream/",
			      "Authorization: Token key1\r\n"
			      "X-Wagtailferry-Token-Counts: 50,50\r\n",
			      "");

	wire_client_await(&world->wire, client, "data: one");
	return client;
}

/* Takes all slots; some streams end, so that others are let wait. */
static void fill(struct platform_world *world, struct wire_client **streams)
{
	guint i;

	world_open_engines(world);
	world_set_modes(world, WORKER_STALLS_STREAM);
	for (i = 0; i < HEAD_STREAMS; i++)
		streams[i] = open_stream(world);
	for (i = 0; i < ENDED_STREAMS; i++) {
		wire_client_drop(streams[i]);
		streams[i] = open_stream(world);
	}
}

/* Guards against sending a waiting stream whose caller left during a pause of
 * the process: timers run before the close is read. */
START_TEST(waiting_stream_of_a_caller_that_left_is_not_forwarded)
{
	struct platform_world world;
	struct wire_client *streams[HEAD_STREAMS];
	const char *logged;
	char *line;
	guint i;
	int fd;

	fill(&world, streams);
	fd = connect_now(&world);
	send_now(fd, STREAM);
	world_run(&world, 40);
	for (i = 0; i < 2; i++)
		flt_find(edg_fleet(world.edge), i ? "e2" : "e1")->slots *= 2;
	close(fd);
	g_usleep(40000);
	world_run(&world, SPAN_MS);
	logged = strstr(world.log_text->str, "\"request left\"");
	ck_assert_ptr_nonnull(logged);
	line = g_strndup(logged, strcspn(logged, "\n"));
	ck_assert_ptr_nonnull(strstr(line, "caller_left"));
	ck_assert_ptr_nonnull(strstr(line, "sends=0"));
	g_free(line);
	for (i = 0; i < HEAD_STREAMS; i++)
		wire_client_drop(streams[i]);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("caller_left_wire");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase,
			    request_of_a_caller_that_left_is_not_forwarded, 0,
			    G_N_ELEMENTS(ways));
	tcase_add_test(tcase, pipelined_requests_are_forwarded);
	tcase_add_test(tcase,
		       waiting_stream_of_a_caller_that_left_is_not_forwarded);
	return sup_run_case("caller_left_wire", tcase);
}
