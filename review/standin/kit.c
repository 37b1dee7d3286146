#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/standin/kit.h"

#define MAX_RUN_MS 110000
#define READY_INTERVAL_MS 100
#define READY_TIMEOUT_MS 15000

static uv_loop_t loop;
uv_loop_t *kit_loop = &loop;
bool kit_trouble = true;

static FILE *record;
static uint64_t started;
static char *folder;
static GPtrArray *edges;

struct kit_edge {
	char *name;
	char *ip;
	char *front;
	char *ready;
	char *settings;
	uv_process_t process;
	bool is_running;
	int pid;
	void (*on_ready)(void *user);
	void *user;
	int64_t ready_limit;
};

int64_t kit_now(void)
{
	return (int64_t)((uv_hrtime() - started) / 1000000);
}

void kit_record(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", (double)kit_now() / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
}

static void end_edges(void)
{
	guint i;

	for (i = 0; edges && i < edges->len; i++) {
		struct kit_edge *edge = edges->pdata[i];

		if (edge->is_running)
			kill(edge->pid, SIGKILL);
		unlink(edge->settings);
	}
}

void kit_finish(int code)
{
	end_edges();
	rmdir(folder);
	kit_record("exit %d", code);
	fclose(record);
	_exit(code);
}

static void on_limit(void *user)
{
	(void)user;
	kit_record("the script took too long");
	kit_finish(KIT_NOT_RUN);
}

static void on_end_signal(int number)
{
	(void)number;
	end_edges();
	_exit(KIT_NOT_RUN);
}

struct timer {
	uv_timer_t timer;
	void (*fn)(void *user);
	void *user;
};

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_timer(uv_timer_t *handle)
{
	struct timer *timer = handle->data;
	void (*fn)(void *user) = timer->fn;
	void *user = timer->user;

	uv_close((uv_handle_t *)handle, on_timer_closed);
	fn(user);
}

void kit_after(int64_t delay_ms, void (*fn)(void *user), void *user)
{
	struct timer *timer = g_new0(struct timer, 1);

	timer->fn = fn;
	timer->user = user;
	uv_timer_init(kit_loop, &timer->timer);
	timer->timer.data = timer;
	uv_update_time(kit_loop);
	uv_timer_start(&timer->timer, on_timer, (uint64_t)MAX(delay_ms, 0), 0);
}

void kit_open(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	char *path;

	started = uv_hrtime();
	if (argc < 2) {
		fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
		exit(KIT_NOT_RUN);
	}
	kit_trouble = !trouble || strcmp(trouble, "0") != 0;
	path = g_strdup_printf("%s/record.txt", argv[1]);
	record = fopen(path, "w");
	g_free(path);
	folder = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!record || !folder) {
		fprintf(stderr,
			"can't write the record or a temporary folder\n");
		exit(KIT_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_end_signal);
	signal(SIGINT, on_end_signal);
	uv_loop_init(kit_loop);
	edges = g_ptr_array_new();
	kit_after(MAX_RUN_MS, on_limit, NULL);
	kit_record("trouble=%d", kit_trouble);
}

void kit_run(void)
{
	uv_run(kit_loop, UV_RUN_DEFAULT);
	kit_finish(KIT_NOT_RUN);
}

/* Edges */

static int free_port(const char *ip, int type)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, type, 0);
	int port = 0;

	inet_pton(AF_INET, ip, &at.sin_addr);
	if (!bind(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    !getsockname(fd, (struct sockaddr *)&at, &len))
		port = ntohs(at.sin_port);
	close(fd);
	if (!port)
		kit_finish(KIT_NOT_RUN);
	return port;
}

extern const char *kit_store_address(void);

/* The fields of the platform's settings that the template names. */
static json_t *settings_fields(const struct kit_edge *edge)
{
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:f,s:i,s:i,s:i,s:b,s:i}",
		"node-name", edge->name, "zone", "svealand-a", "listen.front",
		edge->front, "listen.ready", edge->ready, "ip", edge->ip,
		"internal-ports.0", free_port(edge->ip, SOCK_DGRAM),
		"platform.address", kit_store_address(), "bounds.revoke-ms",
		5000, "bounds.grace-s", 8, "bounds.retry-budget-ratio", 0.2,
		"bounds.retry-budget-slack", 202, "limits.max-fds", 6150,
		"limits.memory-mb", KIT_MEMORY_MB, "bounds.fencing-required", 1,
		"bounds.stall_ms", 3000);
}

static void append_value(GString *out, const json_t *value, bool is_json)
{
	char *text;

	if (!is_json && json_is_string(value)) {
		g_string_append(out, json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY);
	if (text)
		g_string_append(out, text);
	free(text);
}

/* Fills in the placeholders {{a.b}} and {{a.b|json}} of the template. */
static void write_settings(const struct kit_edge *edge)
{
	json_t *fields = settings_fields(edge);
	GString *out = g_string_new(NULL);
	char *text = NULL;
	const char *at;
	const char *open;

	if (!g_file_get_contents("deploy/edge.json.in", &text, NULL, NULL))
		kit_finish(KIT_NOT_RUN);
	at = text;
	while ((open = strstr(at, "{{")) != NULL) {
		const char *close = strstr(open, "}}");
		char *name = g_strndup(open + 2, (gsize)(close - open) - 2);
		char *suffix = strstr(name, "|json");

		g_string_append_len(out, at, open - at);
		if (suffix)
			*suffix = '\0';
		append_value(out, json_object_get(fields, name),
			     suffix != NULL);
		g_free(name);
		at = close + 2;
	}
	g_string_append(out, at);
	if (!g_file_set_contents(edge->settings, out->str, -1, NULL))
		kit_finish(KIT_NOT_RUN);
	g_free(text);
	g_string_free(out, TRUE);
	json_decref(fields);
}

static void on_exit_cb(uv_process_t *process, int64_t status, int number)
{
	struct kit_edge *edge = process->data;

	edge->is_running = false;
	kit_record("%s ended: status %d signal %d", edge->name, (int)status,
		   number);
	uv_close((uv_handle_t *)process, NULL);
}

/* The words of run in the deploy file. */
static char **read_command(void)
{
	char *text = NULL;
	const char *run;
	char *line;
	char **words;

	if (!g_file_get_contents("deploy/system.toml", &text, NULL, NULL) ||
	    !(run = strstr(text, "\nrun = \"")))
		kit_finish(KIT_NOT_RUN);
	run += strlen("\nrun = \"");
	line = g_strndup(run, strcspn(run, "\""));
	words = g_strsplit(line, " ", -1);
	g_free(line);
	g_free(text);
	return words;
}

static void start_process(struct kit_edge *edge)
{
	char **words = read_command();
	char *variable =
		g_strdup_printf("WAGTAILFERRY_NODE_FILE=%s", edge->settings);
	char *path = g_strdup_printf("PATH=%s", getenv("PATH"));
	char *environment[] = {variable, path, NULL};
	uv_stdio_container_t streams[3] = {{.flags = UV_IGNORE},
					   {.flags = UV_IGNORE},
					   {.flags = UV_IGNORE}};
	uv_process_options_t options = {
		.file = words[0],
		.args = words,
		.env = environment,
		.exit_cb = on_exit_cb,
		.stdio = streams,
		.stdio_count = 3,
	};
	const char *log = getenv("KIT_LOG");

	if (log) {
		char *name = g_strdup_printf("%s-%s", log, edge->name);
		FILE *file = fopen(name, "w");

		streams[1].flags = UV_INHERIT_FD;
		streams[1].data.fd = fileno(file);
		streams[2] = streams[1];
		g_free(name);
	}
	edge->process.data = edge;
	if (uv_spawn(kit_loop, &edge->process, &options)) {
		kit_record("can't start %s", words[0]);
		kit_finish(KIT_NOT_RUN);
	}
	edge->pid = edge->process.pid;
	edge->is_running = true;
	g_strfreev(words);
	g_free(variable);
	g_free(path);
}

struct kit_edge *kit_start_edge(const char *name, const char *ip)
{
	struct kit_edge *edge = g_new0(struct kit_edge, 1);

	edge->name = g_strdup(name);
	edge->ip = g_strdup(ip);
	edge->front = g_strdup_printf("%s:%d", ip, free_port(ip, SOCK_STREAM));
	edge->ready = g_strdup_printf("%s:%d", ip, free_port(ip, SOCK_STREAM));
	edge->settings = g_strdup_printf("%s/%s.json", folder, name);
	write_settings(edge);
	g_ptr_array_add(edges, edge);
	start_process(edge);
	kit_record("%s started, front %s", name, edge->front);
	return edge;
}

void kit_restart(struct kit_edge *edge)
{
	if (edge->is_running)
		kit_finish(KIT_NOT_RUN);
	start_process(edge);
	kit_record("%s started again", edge->name);
}

const char *kit_front(const struct kit_edge *edge)
{
	return edge->front;
}

const char *kit_ready(const struct kit_edge *edge)
{
	return edge->ready;
}

int kit_pid(const struct kit_edge *edge)
{
	return edge->pid;
}

bool kit_is_running(const struct kit_edge *edge)
{
	return edge->is_running;
}

void kit_signal(struct kit_edge *edge, int number)
{
	kit_record("%s gets signal %d", edge->name, number);
	if (edge->is_running)
		kill(edge->pid, number);
}

long kit_memory_kb(const struct kit_edge *edge)
{
	char *path = g_strdup_printf("/proc/%d/status", edge->pid);
	char *text = NULL;
	const char *line;
	long kb = 0;

	if (edge->is_running && g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmRSS:");
		kb = line ? strtol(line + strlen("VmRSS:"), NULL, 10) : 0;
	}
	g_free(text);
	g_free(path);
	return kb;
}

static void ask_ready(void *user);

static void on_ready_answer(struct kit_client *client,
			    struct kit_message *answer, void *user)
{
	struct kit_edge *edge = user;

	kit_client_close(client);
	if (!answer->is_cut && answer->status == 200) {
		kit_record("%s is ready", edge->name);
		edge->on_ready(edge->user);
	} else if (kit_now() > edge->ready_limit || !edge->is_running) {
		kit_record("%s is not ready in time", edge->name);
		kit_finish(KIT_NOT_RUN);
	} else {
		kit_after(READY_INTERVAL_MS, ask_ready, edge);
	}
}

static void ask_ready(void *user)
{
	static const char request[] =
		"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct kit_edge *edge = user;

	kit_request(kit_connect(edge->ready), request, strlen(request),
		    on_ready_answer, edge);
}

void kit_await_ready(struct kit_edge *edge, void (*fn)(void *user), void *user)
{
	edge->on_ready = fn;
	edge->user = user;
	edge->ready_limit = kit_now() + READY_TIMEOUT_MS;
	ask_ready(edge);
}
