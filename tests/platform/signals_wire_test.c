/* Signals to a process of the edge. */

#include <check.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/child.h"
#include "support/runner.h"
#include "support/wire/wire.h"

#define START_US 300000
#define CONNECT_INTERVAL_US 20000
#define SIGNAL_INTERVAL_US 50
#define LIMIT_US 10000000

static char *write_settings(struct wire_loop *wire, const char *callers)
{
	char *ready = wire_reserve_address(wire);
	char *store = wire_reserve_address(wire);
	char *text = g_strdup_printf(
		"{\"instance\":\"one\",\"data_center\":\"z\","
		"\"caller_address\":\"%s\",\"ready_address\":\"%s\","
		"\"peer_address\":\"127.0.0.1:0\",\"store_address\":\"%s\","
		"\"drain_limit_ms\":4000}",
		callers, ready, store);
	char *path = NULL;
	int fd = g_file_open_tmp("edge-XXXXXX.json", &path, NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(ready);
	g_free(store);
	return path;
}

static bool has_ended(void *user)
{
	const struct wire_client *client = user;

	return client->connected || client->closed;
}

static void await_listener(struct wire_loop *wire, const char *address)
{
	bool is_connected = false;

	while (!is_connected) {
		struct wire_client *client = wire_client_new(wire, address);

		wire_run_until(wire, has_ended, client);
		is_connected = client->connected;
		wire_client_drop(client);
		g_usleep(CONNECT_INTERVAL_US);
	}
}

/* Guards against a reload that meets the end of a stop and ends the process by
 * its signal. */
START_TEST(reload_at_the_end_of_a_stop_is_ignored)
{
	char *program =
		g_strdup_printf("%s/wagtailferry-edge", sup_build_dir());
	struct wire_loop wire;
	char *callers;
	char *path;
	char *argv[4] = {program, "--settings", NULL, NULL};
	GPid pid;
	int status = 0;
	unsigned waited;

	wire_open(&wire);
	callers = wire_reserve_address(&wire);
	path = write_settings(&wire, callers);
	argv[2] = path;
	ck_assert(g_spawn_async(NULL, argv, NULL,
				G_SPAWN_DO_NOT_REAP_CHILD |
					G_SPAWN_STDOUT_TO_DEV_NULL,
				NULL, NULL, &pid, NULL));
	await_listener(&wire, callers);
	g_usleep(START_US);
	kill(pid, SIGTERM);
	for (waited = 0; waited < LIMIT_US; waited += SIGNAL_INTERVAL_US) {
		if (waitpid(pid, &status, WNOHANG) == pid)
			break;
		kill(pid, SIGHUP);
		g_usleep(SIGNAL_INTERVAL_US);
	}
	ck_assert_uint_lt(waited, LIMIT_US);
	ck_assert_msg(WIFEXITED(status), "ended by signal %d",
		      WTERMSIG(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
	unlink(path);
	g_free(path);
	g_free(callers);
	g_free(program);
	wire_close(&wire);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("signals_wire");

	tcase_set_timeout(tcase, 40);
	tcase_add_test(tcase, reload_at_the_end_of_a_stop_is_ignored);
	return sup_run_case("signals_wire", tcase);
}
