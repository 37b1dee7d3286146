#include "server.h"

#include <time.h>

struct fk_timer {
	uv_timer_t handle;
	fk_timer_cb cb;
	void *data;
};

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_timer(uv_timer_t *handle)
{
	struct fk_timer *timer = handle->data;
	fk_timer_cb cb = timer->cb;
	void *data = timer->data;

	fk_timer_cancel(timer);
	cb(data);
}

struct fk_timer *fk_after(uv_loop_t *loop, uint64_t ms, fk_timer_cb cb,
			  void *data)
{
	struct fk_timer *timer = g_new0(struct fk_timer, 1);

	timer->cb = cb;
	timer->data = data;
	uv_timer_init(loop, &timer->handle);
	timer->handle.data = timer;
	uv_update_time(loop);
	/* libuv truncates its clock to 1 ms, so a timer may fire 1 ms early. */
	uv_timer_start(&timer->handle, on_timer, ms ? ms + 1 : 0, 0);
	return timer;
}

void fk_timer_cancel(struct fk_timer *timer)
{
	uv_close((uv_handle_t *)&timer->handle, on_closed);
}

int64_t fk_now_ms(void)
{
	return g_get_real_time() / 1000;
}

int64_t fk_now_us(void)
{
	return g_get_monotonic_time();
}
