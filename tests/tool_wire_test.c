/* Runs wagtailferry against a fake object API on a loopback port. */

#include <check.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <wagtailferry/rules.h>

#include "support/rules_server.h"

static struct rst_store *store;
static struct rsv_server *server;
static char *folder;
static char *out;
static char *err;

static void setup(void)
{
	store = rst_new();
	server = rsv_new(store);
	folder = g_dir_make_tmp("wagtailferry-XXXXXX", NULL);
	g_setenv("WAGTAILFERRY_STORE", rsv_address(server), TRUE);
}

static char *path_of(const char *name)
{
	return g_build_filename(folder, name, NULL);
}

static void teardown(void)
{
	char *path = path_of("rules");

	unlink(path);
	g_free(path);
	rmdir(folder);
	rsv_drop(server);
	rst_drop(store);
	g_free(folder);
	g_free(out);
	g_free(err);
}

static char *tool_path(void)
{
	const char *build = g_getenv("WF_BUILD");

	return g_build_filename(build ? build : "build", "wagtailferry", NULL);
}

/* Runs the tool with arguments separated by blanks; returns its exit code. */
static int run(const char *format, ...) G_GNUC_PRINTF(1, 2);

static int run(const char *format, ...)
{
	GError *error = NULL;
	char *tool = tool_path();
	char *words;
	char *line;
	char **argv;
	va_list args;
	int status;

	va_start(args, format);
	words = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strdup_printf("%s %s", tool, words);
	argv = g_strsplit(line, " ", 0);
	g_free(out);
	g_free(err);
	ck_assert_msg(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				   NULL, &out, &err, &status, &error),
		      "%s", error ? error->message : "");
	g_strfreev(argv);
	g_free(line);
	g_free(words);
	g_free(tool);
	ck_assert(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static char *write_rules(const char *text)
{
	char *path = path_of("rules");

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static int publish(const char *text, const char *options)
{
	char *path = write_rules(text);
	int code = run("rules publish %s %s%s--author nils", path, options,
		       *options ? " " : "");

	g_free(path);
	return code;
}

static void check_contains(const char *text, const char *part)
{
	ck_assert_msg(strstr(text, part) != NULL, "\"%s\" is not in \"%s\"",
		      part, text);
}

START_TEST(published_edit_is_shown_and_in_history)
{
	json_t *root;

	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0"), 0);
	check_contains(out, "revision 1 accepted: 1 chunks, 25 bytes");
	ck_assert_int_eq(run("rules show"), 0);
	ck_assert_str_eq(out, "# base revision 1\ndeny org=a model=b # Ann\n");
	rsv_lag_status(server, 5);
	ck_assert_int_eq(publish("# base revision 1\n"
				 "deny org=a model=c # Bo\n",
				 "--wait -j -n spring -i 127.0.0.1:1 -i "
				 "127.0.0.1:1 --wait-timeout 0"),
			 4);
	root = json_loads(out, 0, NULL);
	ck_assert_str_eq(json_string_value(json_object_get(root, "result")),
			 "accepted");
	ck_assert_int_eq(json_integer_value(json_object_get(root, "in_force")),
			 0);
	json_decref(root);
	ck_assert_int_eq(run("rules history"), 0);
	check_contains(out, "revision 2 (from 1)  by nils, requested by Bo  "
			    "spring\n");
	check_contains(out, "revision 1 (from 0)  by nils, requested by Ann\n");
	rst_check_audit(store, 2);
}
END_TEST

START_TEST(wait_ends_when_all_instances_have_the_revision)
{
	const char *address = rsv_address(server);
	char *options =
		g_strdup_printf("-b 0 --wait -i %s -i %s", address, address);

	rsv_lag_status(server, 3);
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", options), 0);
	check_contains(out, "in force on 2 of 2 instances\n");
	g_free(options);
	ck_assert_int_eq(run("status -i %s -i 127.0.0.1:1", address), 4);
	check_contains(out, "rules revision 1\n");
	check_contains(out, "does not answer\n");
	ck_assert_int_eq(run("status -j -i %s", address), 0);
	check_contains(out, "{\"store_revision\":1,");
	check_contains(out, "\"status\":{\"rules_revision\":1}");
}
END_TEST

/* Guards against a publish without a base that overwrites a revision. */
START_TEST(conflict_names_the_other_author_and_exits_with_3)
{
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", ""), 0);
	ck_assert_int_eq(publish("deny org=a model=c # Bo\n", ""), 3);
	check_contains(err, "nils published revision 1 at ");
	check_contains(err, "-1: deny org=a model=c # Bo\n"
			    "+1: deny org=a model=b # Ann\n");
	ck_assert_int_eq(publish("deny org=a model=c # Bo\n", "-j"), 3);
	check_contains(out, "\"result\":\"conflict\"");
	check_contains(out, "\"changes_from\":\"file\"");
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 1"), 0);
	check_contains(out, "revision 1 has this text already");
	ck_assert_int_eq(publish("deny org=a model=c # Bo\n", "-b latest"), 0);
	ck_assert_uint_eq(store->records->len, 2);
}
END_TEST

/* Publishes a revision by another author, without the tool. */
static void publish_concurrently(struct rst_store *to)
{
	struct wf_ctx *ctx = wf_ctx_new("rival", "", 1, 1, NULL, NULL);
	struct rul_publish_config config = {
		.text = "deny org=a model=rival # Eva\n",
		.len = strlen("deny org=a model=rival # Eva\n"),
		.base_revision = RUL_BASE_LATEST,
		.author = {.name = "eva", .nonce = {7}},
	};
	struct rul_publish *other = rul_publish_new(&config, NULL, NULL);
	struct wf_action action;

	ctx->now = 1;
	rul_publish_start(ctx, other);
	while (wf_next_action(ctx, &action)) {
		struct wf_store_reply reply;

		rst_execute(to, &action, RST_NONE, &reply);
		rul_publish_handle(ctx, other, &reply);
		rst_reply_clear(&reply);
	}
	ck_assert_int_eq(rul_publish_outcome(other)->result,
			 RUL_PUBLISH_ACCEPTED);
	rul_publish_drop(other);
	wf_ctx_drop(ctx);
}

START_TEST(lost_race_shows_the_concurrent_change)
{
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0"), 0);
	rsv_before_manifest(server, publish_concurrently);
	ck_assert_int_eq(publish("deny org=a model=c # Bo\n", "-b 1"), 3);
	check_contains(err, "eva published revision 2 at ");
	check_contains(err, "what changed against the base of your edit:\n"
			    "-1: deny org=a model=b # Ann\n"
			    "+1: deny org=a model=rival # Eva\n");
	rst_check_records(store);
}
END_TEST

START_TEST(publish_retries_lost_and_unavailable_writes)
{
	rsv_fault_puts(server, RUL_MANIFEST_NAME, RST_LOST_REPLY, 2);
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0"), 0);
	check_contains(out, "revision 1 accepted");
	rsv_fault_puts(server, RUL_CHUNK_KIND, RST_UNAVAILABLE, 3);
	ck_assert_int_eq(publish("deny org=a model=c # Bo\n", "-b 1"), 0);
	rsv_fault_puts(server, RUL_CHUNK_KIND, RST_REFUSED, 1);
	ck_assert_int_eq(publish("deny org=a model=d # Bo\n", "-b 2"), 1);
	check_contains(err, "not published: the store refuses the write");
	rst_check_audit(store, 2);
}
END_TEST

/* Guards against reporting success or failure when the outcome is unknown. */
START_TEST(unknown_outcome_exits_with_5)
{
	rsv_silence_after(server, RUL_MANIFEST_NAME);
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0"), 5);
	check_contains(err, "outcome unknown: ");
	ck_assert_int_eq(run("rules show -t 200"), 4);
	ck_assert_int_eq(run("rules publish %s/rules -b 1 -t 200", folder), 4);
	check_contains(err, "not published: the store does not answer");
}
END_TEST

START_TEST(invalid_rules_are_not_published)
{
	ck_assert_int_eq(publish("# base revision 0\n"
				 "deny org=a modell=b # Ann\n",
				 ""),
			 1);
	check_contains(err, "rules:2:12: unknown attribute in \"deny\": "
			    "\"modell\"; write \"model\"\n");
	ck_assert_int_eq(run("rules check %s/rules -j", folder), 1);
	check_contains(out, "\"valid\":false");
	check_contains(out, "\"line\":2,\"column\":12");
	ck_assert_uint_eq(store->n_actions, 0);
	ck_assert_int_eq(run("rules check %s/absent", folder), 1);
	ck_assert_int_eq(run("rules check"), 2);
	ck_assert_int_eq(run("rules check --wrong x"), 2);
	ck_assert_int_eq(run("rules"), 2);
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "--wait"), 2);
	ck_assert_int_eq(run("rules diff --help"), 0);
	check_contains(out, "--limit=N");
	ck_assert_int_eq(run("--help"), 0);
}
END_TEST

START_TEST(difference_with_the_store_is_shown)
{
	char *path;

	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0"), 0);
	path = write_rules("# base revision 1\ndeny org=a model=b # Ann\n"
			   "deny org=b model=b # Bo\n");
	ck_assert_int_eq(run("rules diff %s", path), 0);
	ck_assert_str_eq(out, "+2: deny org=b model=b # Bo\n");
	ck_assert_int_eq(run("rules diff -j %s %s", path, path), 0);
	ck_assert_str_eq(out, "{\"changes\":[]}\n");
	ck_assert_int_eq(run("audit -j -l 1"), 0);
	check_contains(out, "\"from_revision\":0,\"to_revision\":1");
	g_free(path);
}
END_TEST

/* Guards against missing a revision published during a watch request. */
START_TEST(watch_prints_each_revision)
{
	char *argv[] = {tool_path(), "rules", "watch", "--count", "2", NULL};
	char line[256];
	FILE *stream;
	GPid child;
	int status;
	int fd;

	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0"), 0);
	ck_assert(g_spawn_async_with_pipes(
		NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &child,
		NULL, &fd, NULL, NULL));
	stream = fdopen(fd, "r");
	ck_assert_ptr_nonnull(fgets(line, sizeof(line), stream));
	check_contains(line, "revision 1  ");
	rsv_await_watch(server);
	rsv_run(server, publish_concurrently);
	ck_assert_ptr_nonnull(fgets(line, sizeof(line), stream));
	check_contains(line, "revision 2  ");
	ck_assert_ptr_null(fgets(line, sizeof(line), stream));
	fclose(stream);
	ck_assert_int_eq(waitpid(child, &status, 0), child);
	ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	g_free(argv[0]);
}
END_TEST

#define STATUS "{\"rules_revision\":7}"
#define LENGTH "Content-Length: 20\r\n"

/* Answers of an instance or of the store. */
static const struct {
	const char *bytes;
	bool is_answer;
} raw_answers[] = {
	{"HTTP/1.1 200 OK\r\n" LENGTH "\r\n" STATUS, true},
	{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200\r\nX-Note:\r\n" LENGTH
	 "\r\n" STATUS,
	 true},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "14\r\n" STATUS "\r\n0\r\n\r\n",
	 true},
	{"HTTP/1.1 200 OK\r\n\r\n" STATUS, false},
	{"HTTP/1.1 200 OK\r\n" LENGTH, false},
	{"HTTP/1.1 200\001OK\r\n" LENGTH "\r\n" STATUS, false},
	{"HTTP/1.1 200 OK\r\nX Note: 1\r\n" LENGTH "\r\n" STATUS, false},
	{"HTTP/1.1 200 OK\r\nX\001Note: 1\r\n" LENGTH "\r\n" STATUS, false},
	{"HTTP/1.1 200 OK\r\n" LENGTH "\rX-Note: 1\r\n" STATUS, false},
	{"HTTP/1.1 200 OK\r\n" LENGTH LENGTH "\r\n" STATUS, false},
	{"HTTP/0.9 200 OK\r\n" LENGTH "\r\n" STATUS, false},
};

struct raw_server {
	int socket;
	const char *bytes;
	char *address;
	GThread *thread;
};

/* Answers each connection with the same bytes, until the socket is shut down.
 */
static gpointer serve_raw(gpointer data)
{
	struct raw_server *raw = data;
	char request[4096];
	int conn;

	while ((conn = accept(raw->socket, NULL, NULL)) >= 0) {
		if (recv(conn, request, sizeof(request), 0) > 0)
			(void)send(conn, raw->bytes, strlen(raw->bytes),
				   MSG_NOSIGNAL);
		shutdown(conn, SHUT_WR);
		while (recv(conn, request, sizeof(request), 0) > 0)
			;
		close(conn);
	}
	return NULL;
}

static void open_raw(struct raw_server *raw, const char *bytes)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	raw->bytes = bytes;
	raw->socket = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(raw->socket, (struct sockaddr *)&address, len),
			 0);
	ck_assert_int_eq(listen(raw->socket, 8), 0);
	getsockname(raw->socket, (struct sockaddr *)&address, &len);
	raw->address = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	raw->thread = g_thread_new("raw", serve_raw, raw);
}

static void close_raw(struct raw_server *raw)
{
	shutdown(raw->socket, SHUT_RDWR);
	g_thread_join(raw->thread);
	close(raw->socket);
	g_free(raw->address);
}

/* Guards against an answer that is broken and counts as one. */
START_TEST(broken_answer_is_none)
{
	struct raw_server raw;

	open_raw(&raw, raw_answers[_i].bytes);
	run("status -t 2000 -i %s", raw.address);
	check_contains(out, raw_answers[_i].is_answer ? "rules revision 7"
						      : "does not answer");
	close_raw(&raw);
}
END_TEST

static const char *const broken_answers[] = {
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\n\r\n{\"version\":1}",
	"HTTP/1.1 412 X\r\nContent-Length: 0\r\n",
	"HTTP/1.1 412 X\r\nX Note: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
	"HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
};

/* Guards against "published" or "not published" where the answer to the write
 * is broken. */
START_TEST(broken_answer_leaves_the_outcome_unknown)
{
	rsv_break_after(server, RUL_MANIFEST_NAME, broken_answers[_i]);
	ck_assert_int_eq(publish("deny org=a model=b # Ann\n", "-b 0 -t 200"),
			 5);
	check_contains(err, "outcome unknown: ");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("tool_wire");
	TCase *tcase = tcase_create("tool");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, published_edit_is_shown_and_in_history);
	tcase_add_test(tcase, wait_ends_when_all_instances_have_the_revision);
	tcase_add_test(tcase, conflict_names_the_other_author_and_exits_with_3);
	tcase_add_test(tcase, lost_race_shows_the_concurrent_change);
	tcase_add_test(tcase, publish_retries_lost_and_unavailable_writes);
	tcase_add_test(tcase, unknown_outcome_exits_with_5);
	tcase_add_test(tcase, invalid_rules_are_not_published);
	tcase_add_test(tcase, difference_with_the_store_is_shown);
	tcase_add_test(tcase, watch_prints_each_revision);
	tcase_add_loop_test(tcase, broken_answer_is_none, 0,
			    G_N_ELEMENTS(raw_answers));
	tcase_add_loop_test(tcase, broken_answer_leaves_the_outcome_unknown, 0,
			    G_N_ELEMENTS(broken_answers));
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
