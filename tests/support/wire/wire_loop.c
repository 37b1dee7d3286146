#include <check.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire.h"

/* Limit of each wait; a test that exceeds it fails. */
#define WATCHDOG_MS 10000

static void on_watchdog(uv_timer_t *timer)
{
	struct wire_loop *wire = timer->data;

	wire->expired = true;
	uv_stop(timer->loop);
}

/*
 * Timers run before the loop polls sockets, so a condition that a timer made
 * true must be checked before the poll blocks.
 */
static void on_check(uv_prepare_t *check)
{
	struct wire_loop *wire = check->data;

	/* h2o runs the loop recursively on disposal, which clears uv_stop(). */
	if (wire->condition && !wire->condition(wire->user))
		return;
	wire->condition = NULL;
	uv_stop(check->loop);
}

void wire_open(struct wire_loop *wire)
{
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&wire->loop);
	uv_timer_init(&wire->loop, &wire->watchdog);
	wire->watchdog.data = wire;
	uv_prepare_init(&wire->loop, &wire->check);
	wire->check.data = wire;
	wire->condition = NULL;
	wire->expired = false;
	wire->reserved = g_array_new(FALSE, FALSE, sizeof(int));
}

char *wire_reserve_address(struct wire_loop *wire)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, size), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &size),
			 0);
	g_array_append_val(wire->reserved, fd);
	return g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
}

void wire_run_until(struct wire_loop *wire, bool (*condition)(void *user),
		    void *user)
{
	uv_update_time(&wire->loop);
	uv_timer_start(&wire->watchdog, on_watchdog, WATCHDOG_MS, 0);
	wire->condition = condition;
	wire->user = user;
	uv_prepare_start(&wire->check, on_check);
	while (wire->condition && !wire->expired)
		uv_run(&wire->loop, UV_RUN_DEFAULT);
	ck_assert_msg(!wire->expired, "condition not met within 10 s");
	uv_prepare_stop(&wire->check);
	uv_timer_stop(&wire->watchdog);
}

void wire_run_for(struct wire_loop *wire, clk_ms span)
{
	uv_update_time(&wire->loop);
	uv_timer_start(&wire->watchdog, on_watchdog, (uint64_t)span, 0);
	while (!wire->expired)
		uv_run(&wire->loop, UV_RUN_ONCE);
	wire->expired = false;
}

void wire_close(struct wire_loop *wire)
{
	guint i;

	uv_unref((uv_handle_t *)&wire->watchdog);
	uv_timer_start(&wire->watchdog, on_watchdog, WATCHDOG_MS, 0);
	while (!wire->expired && uv_run(&wire->loop, UV_RUN_ONCE))
		continue;
	ck_assert_msg(!wire->expired, "handles are still open");
	uv_close((uv_handle_t *)&wire->check, NULL);
	uv_close((uv_handle_t *)&wire->watchdog, NULL);
	uv_run(&wire->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&wire->loop), 0);
	for (i = 0; i < wire->reserved->len; i++)
		close(g_array_index(wire->reserved, int, i));
	g_array_free(wire->reserved, TRUE);
}
