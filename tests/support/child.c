#include "child.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_BOUND_MS 20000
#define STOP_BOUND_MS 20000
#define CHECK_MS 2
#define ARGS_MAX 64

extern char **environ;

const char *sup_build_dir(void)
{
	const char *dir = getenv("WF_BUILD");

	return dir ? dir : "build";
}

static gint64 now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Reads the output until the line that contains the address. */
static bool read_address(struct sup_child *child)
{
	gint64 end = now_ms() + START_BOUND_MS;
	struct pollfd waiting = {.fd = child->out, .events = POLLIN};
	GString *text = g_string_new(NULL);
	bool found = false;

	while (!found && now_ms() < end) {
		char buffer[512];
		ssize_t n;
		const char *line;

		if (poll(&waiting, 1, (int)(end - now_ms())) <= 0)
			break;
		n = read(child->out, buffer, sizeof(buffer));
		if (n <= 0)
			break;
		g_string_append_len(text, buffer, n);
		line = strstr(text->str, "listening on ");
		found = line && strchr(line, '\n') &&
			sscanf(line, "listening on %63[0-9.:]",
			       child->address) == 1;
	}
	g_string_free(text, TRUE);
	return found;
}

static bool spawn(struct sup_child *child, const char *program,
		  const char *const *args)
{
	const char *argv[ARGS_MAX + 2] = {program};
	posix_spawn_file_actions_t actions;
	int fds[2];
	int rc;
	int i;

	for (i = 0; args && args[i] && i < ARGS_MAX; i++)
		argv[i + 1] = args[i];
	if (pipe(fds) != 0)
		return false;
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, fds[1], STDOUT_FILENO);
	posix_spawn_file_actions_addclose(&actions, fds[0]);
	posix_spawn_file_actions_addclose(&actions, fds[1]);
	rc = posix_spawn(&child->pid, program, &actions, NULL, (char **)argv,
			 environ);
	posix_spawn_file_actions_destroy(&actions);
	close(fds[1]);
	child->out = fds[0];
	if (rc != 0) {
		fprintf(stderr, "cannot start %s: %s\n", program, strerror(rc));
		close(fds[0]);
		child->pid = 0;
	}
	return rc == 0;
}

bool sup_start(struct sup_child *child, const char *program,
	       const char *const *args)
{
	memset(child, 0, sizeof(*child));
	if (!spawn(child, program, args))
		return false;
	if (read_address(child))
		return true;
	fprintf(stderr, "%s printed no address\n", program);
	sup_kill(child);
	return false;
}

bool sup_start_fake(struct sup_child *child, const char *name,
		    const char *const *args)
{
	char *path = g_strdup_printf("%s/fakes/%s_fake", sup_build_dir(), name);
	bool started = sup_start(child, path, args);

	g_free(path);
	return started;
}

struct exit_wait {
	pid_t pid;
	int status;
};

static bool has_ended(void *data)
{
	struct exit_wait *wait = data;

	return waitpid(wait->pid, &wait->status, WNOHANG) == wait->pid;
}

static void reset_child(struct sup_child *child)
{
	close(child->out);
	memset(child, 0, sizeof(*child));
}

int sup_join(struct sup_child *child)
{
	struct exit_wait wait = {.pid = child->pid};

	if (!child->pid)
		return 0;
	if (!sup_wait(has_ended, &wait, STOP_BOUND_MS)) {
		fprintf(stderr, "process %d did not end within %d ms\n",
			(int)child->pid, STOP_BOUND_MS);
		sup_kill(child);
		return -1;
	}
	reset_child(child);
	if (WIFEXITED(wait.status))
		return WEXITSTATUS(wait.status);
	fprintf(stderr, "process %d was ended by signal %d\n", (int)wait.pid,
		WTERMSIG(wait.status));
	return -1;
}

int sup_stop(struct sup_child *child)
{
	if (child->pid)
		kill(child->pid, SIGTERM);
	return sup_join(child);
}

void sup_kill(struct sup_child *child)
{
	if (!child->pid)
		return;
	kill(child->pid, SIGKILL);
	while (waitpid(child->pid, NULL, 0) < 0 && errno == EINTR)
		continue;
	reset_child(child);
}

void sup_pause(const struct sup_child *child)
{
	kill(child->pid, SIGSTOP);
}

void sup_resume(const struct sup_child *child)
{
	kill(child->pid, SIGCONT);
}

bool sup_wait(sup_condition condition, void *data, unsigned bound_ms)
{
	gint64 end = now_ms() + bound_ms;

	while (!condition(data)) {
		if (now_ms() >= end)
			return false;
		poll(NULL, 0, CHECK_MS);
	}
	return true;
}
