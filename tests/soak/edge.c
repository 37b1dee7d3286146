#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

/* Below the system's range of ephemeral ports. */
#define FIRST_PORT 10000
#define LAST_PORT 30000

/*
 * Finds a port on which nothing listens. It doesn't depend on the seed of the
 * run, because several runs may share the machine.
 */
static char *free_address(void)
{
	for (;;) {
		struct sockaddr_in address = {.sin_family = AF_INET};
		int port = g_random_int_range(FIRST_PORT, LAST_PORT);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		bool is_free;

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons((uint16_t)port);
		is_free =
			!bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (is_free)
			return g_strdup_printf("127.0.0.1:%d", port);
	}
}

struct soak_edge *soak_edge_new(struct soak *soak, unsigned index)
{
	struct soak_edge *edge = g_new0(struct soak_edge, 1);
	struct wire_loop *wire = &soak->world.wire;

	edge->soak = soak;
	edge->index = index;
	edge->name = g_strdup_printf("edge-%u", index);
	edge->address = free_address();
	edge->ready_address = free_address();
	edge->peer_address = free_address();
	edge->store =
		proxy_new(&wire->loop, wire_server_address(soak->world.store));
	edge->settings_file =
		g_strdup_printf("%s/%s.json", soak->folder, edge->name);
	edge->restarts = true;
	return edge;
}

static void write_settings(struct soak_edge *edge)
{
	char *text = g_strdup_printf(
		"{\"instance\":\"%s\",\"data_center\":\"z\","
		"\"caller_address\":\"%s\",\"ready_address\":\"%s\","
		"\"peer_address\":\"%s\",\"store_address\":\"%s\","
		"\"key_removal_ms\":5000,\"drain_limit_ms\":8000,"
		"\"retry_slack\":%d}",
		edge->name, edge->address, edge->ready_address,
		edge->peer_address, proxy_address(edge->store),
		edge->soak->retry_slack);

	if (!g_file_set_contents(edge->settings_file, text, -1, NULL))
		g_error("can't write %s", edge->settings_file);
	g_free(text);
}

static void on_process_exit(uv_process_t *process, int64_t status, int signal)
{
	struct soak_edge *edge = process->data;
	bool was_requested = signal == SIGKILL || edge->terminated_at;

	edge->is_running = false;
	edge->exit_status = status;
	edge->faulty_until = soak_now(edge->soak);
	if (!was_requested || (edge->terminated_at && !signal && status))
		soak_violation(edge->soak,
			       "%s exited unexpectedly: status %d signal %d",
			       edge->name, (int)status, signal);
	uv_close((uv_handle_t *)process, NULL);
}

void soak_edge_start(struct soak_edge *edge)
{
	char *log =
		g_strdup_printf("%s/%s.log", edge->soak->folder, edge->name);
	char *args[] = {(char *)edge->soak->program, "--settings",
			edge->settings_file, NULL};
	uv_stdio_container_t streams[3] = {{.flags = UV_IGNORE}};
	uv_process_options_t options = {
		.file = edge->soak->program,
		.args = args,
		.exit_cb = on_process_exit,
		.stdio = streams,
		.stdio_count = 3,
	};
	uv_fs_t open;
	int fd = uv_fs_open(NULL, &open, log,
			    UV_FS_O_WRONLY | UV_FS_O_CREAT | UV_FS_O_APPEND,
			    0644, NULL);

	write_settings(edge);
	streams[1] =
		(uv_stdio_container_t){.flags = UV_INHERIT_FD, .data.fd = fd};
	streams[2] = streams[1];
	edge->process.data = edge;
	edge->terminated_at = 0;
	edge->is_stopped = false;
	edge->started_at = soak_now(edge->soak);
	edge->faulty_until = edge->started_at;
	edge->disrupted_until = edge->started_at;
	soak_forget_notices(edge);
	if (uv_spawn(&edge->soak->world.wire.loop, &edge->process, &options))
		g_error("can't start %s", edge->soak->program);
	edge->is_running = true;
	uv_fs_close(NULL, &open, fd, NULL);
	uv_fs_req_cleanup(&open);
	g_free(log);
}

void soak_edge_signal(struct soak_edge *edge, int signal)
{
	if (!edge->is_running)
		return;
	edge->faulty_until = soak_now(edge->soak);
	if (signal == SIGTERM)
		edge->terminated_at = soak_now(edge->soak);
	if (signal == SIGSTOP)
		edge->is_stopped = true;
	if (signal == SIGCONT)
		edge->is_stopped = false;
	if (signal == SIGKILL || signal == SIGSTOP)
		edge->disrupted_until = CLK_NEVER;
	if (signal == SIGCONT) {
		edge->disrupted_until = soak_now(edge->soak);
		soak_forget_notices(edge);
	}
	uv_process_kill(&edge->process, signal);
}

void soak_edge_free(struct soak_edge *edge)
{
	proxy_drop(edge->store);
	g_free(edge->name);
	g_free(edge->settings_file);
	g_free(edge->address);
	g_free(edge->ready_address);
	g_free(edge->peer_address);
	g_free(edge);
}
