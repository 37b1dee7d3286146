#include <check.h>
#include <signal.h>

#include "wire.h"

/* A test that waits longer than this has failed. */
#define WATCHDOG_MS 10000

static void on_watchdog(uv_timer_t *timer)
{
	struct wire_loop *wire = timer->data;

	wire->expired = true;
}

void wire_open(struct wire_loop *wire)
{
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&wire->loop);
	uv_timer_init(&wire->loop, &wire->watchdog);
	wire->watchdog.data = wire;
	wire->expired = false;
}

void wire_until(struct wire_loop *wire, bool (*condition)(void *user),
		void *user)
{
	uv_update_time(&wire->loop);
	uv_timer_start(&wire->watchdog, on_watchdog, WATCHDOG_MS, 0);
	while (!condition(user)) {
		ck_assert_msg(!wire->expired, "the condition never held");
		uv_run(&wire->loop, UV_RUN_ONCE);
	}
	uv_timer_stop(&wire->watchdog);
}

void wire_close(struct wire_loop *wire)
{
	uv_unref((uv_handle_t *)&wire->watchdog);
	uv_timer_start(&wire->watchdog, on_watchdog, WATCHDOG_MS, 0);
	while (!wire->expired && uv_run(&wire->loop, UV_RUN_ONCE))
		continue;
	ck_assert_msg(!wire->expired, "handles are still open");
	uv_close((uv_handle_t *)&wire->watchdog, NULL);
	uv_run(&wire->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&wire->loop), 0);
}
