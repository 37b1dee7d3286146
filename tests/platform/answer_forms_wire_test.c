/* Answers of engines to reports and orders, and of the store, in forms that are
 * broken, and in rare forms that are sound. */

#include <check.h>
#include <string.h>

#include "platform/support/stand_in.h"
#include "support/runner.h"

/* An answer is its parts, with status, length and body between them. */
struct form {
	const char *before_status;
	const char *before_length;
	const char *before_body;
	/* The form has no length; the connection ends so. */
	enum { KEEP_OPEN, CLOSE, RESET } action;
	bool is_sound;
};

#define LENGTH "Content-Length: "
#define END "\r\n\r\n"

static const struct form forms[] = {
	{"HTTP/1.1 ", " X\r\n" LENGTH, END, KEEP_OPEN, true},
	{"HTTP/1.1 ", "\nX_'Note|:\r\ncontent-length:\t", " \n\n", KEEP_OPEN,
	 true},
	{"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 ",
	 " \r\nX-Note: a\t(b) \"c\": \366\r\n" LENGTH "000", END, KEEP_OPEN,
	 true},
	{"HTTP/1.1 ", " X\r\nX-Length: ", END, CLOSE, true},
	{"HTTP/1.1 ", " X\r\nX-Length: ", END, RESET, false},
	{"HTTP/1.1 000 ", "\r\n" LENGTH, END, KEEP_OPEN, false},
	{"HTTP/1.1 0", " X\r\n" LENGTH, END, KEEP_OPEN, false},
	{"HTTP/1.1 ", "\001X\r\n" LENGTH, END, KEEP_OPEN, false},
	{"HTTP/1.1 ", " X\r\nX Note: 1\r\n" LENGTH, END, KEEP_OPEN, false},
	{"HTTP/1.1 ", " X\r\nX\001Note: 1\r\n" LENGTH, END, KEEP_OPEN, false},
	{"HTTP/1.1 ", " X\r\nContent-Length : ", END, KEEP_OPEN, false},
	{"HTTP/1.1 ", " X\r\n" LENGTH, "\r\n\r ", KEEP_OPEN, false},
	{"HTTP/1.1 ", " X\r\n" LENGTH, "\r\n" LENGTH "2" END, KEEP_OPEN, false},
};

static const struct form *form;

static void write_form(struct wire_conn *conn, int status, const char *extra,
		       const char *body)
{
	char *text = g_strdup_printf("%s%d%s%zu%s%s", form->before_status,
				     status, form->before_length, strlen(body),
				     form->before_body, body);

	(void)extra;
	wire_send(conn, text);
	g_free(text);
	if (form->action == CLOSE)
		wire_hang_up(conn);
	else if (form->action == RESET)
		wire_reset(conn);
}

#define REPORT "{\"sequence\":0,\"busy\":false,\"pace\":1,\"stalled\":[]}"

static bool write_report(struct worker *worker, struct wire_conn *conn,
			 const char *request)
{
	(void)worker;
	if (!g_str_has_prefix(request, "GET /report"))
		return false;
	write_form(conn, 200, "", REPORT);
	return true;
}

static bool write_order_answer(struct worker *worker, struct wire_conn *conn,
			       const char *request)
{
	(void)worker;
	if (!g_str_has_prefix(request, "POST /order"))
		return false;
	write_form(conn, 202, "", "{}");
	return true;
}

/* Whether an order has ended so, by the log. */
static bool has_ended(const struct platform_world *world, const char *result)
{
	char *text =
		g_strdup_printf("\"from\":\"planned\",\"to\":\"%s\"", result);
	bool found = strstr(world->log_text->str, text) != NULL;

	g_free(text);
	return found;
}

static bool has_order_result(void *user)
{
	static const char *const results[] = {"taken", "refused", "failed",
					      "unknown", "no_report"};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(results); i++)
		if (has_ended(user, results[i]))
			return true;
	return false;
}

/* Starts two engines without layers, so that the edge orders them to hold some
 * after it has asked for their reports. */
static void open_empty_engines(struct platform_world *world,
			       worker_script script)
{
	guint i;

	world_open(world);
	world_put(world, "config", "main", world_config(1));
	world_worker(world, "e1", "model", 0, 0);
	world_worker(world, "e2", "model", 0, 0);
	for (i = 0; i < world->workers->len; i++)
		((struct worker *)world->workers->pdata[i])->script = script;
	world_start_ready_edge(world);
	wire_run_until(&world->wire, has_order_result, world);
}

START_TEST(report_counts_only_in_a_sound_form)
{
	struct platform_world world;

	form = &forms[_i];
	open_empty_engines(&world, write_report);
	ck_assert(has_ended(&world, form->is_sound ? "taken" : "no_report"));
	ck_assert(form->is_sound || !has_ended(&world, "taken"));
	world_close(&world);
}
END_TEST

START_TEST(order_counts_as_taken_only_in_a_sound_form)
{
	struct platform_world world;

	form = &forms[_i];
	open_empty_engines(&world, write_order_answer);
	ck_assert(has_ended(&world, form->is_sound ? "taken" : "unknown"));
	ck_assert(form->is_sound || !has_ended(&world, "taken"));
	world_close(&world);
}
END_TEST

/* More than one retry of the edge at the store. */
#define RETRIES_MS 600

/* Guards against a broken answer of the store that counts, or that stops the
 * edge from asking again. */
START_TEST(store_is_read_only_in_a_sound_form)
{
	struct platform_world world;

	form = &forms[_i];
	world_set_store_writer(write_form);
	world_open(&world);
	world_put(&world, "config", "main", world_config(1));
	world_worker(&world, "p1", "plain", 0, 0);
	world_start_edge(&world);
	if (!form->is_sound) {
		world_run(&world, RETRIES_MS);
		ck_assert(!world_is_ready(&world));
		ck_assert_uint_gt(world.store_calls, 2);
		world_set_store_writer(wire_answer);
	}
	wire_run_until(&world.wire, world_is_ready, &world);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("answer_forms_wire");

	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(tcase, report_counts_only_in_a_sound_form, 0,
			    G_N_ELEMENTS(forms));
	tcase_add_loop_test(tcase, order_counts_as_taken_only_in_a_sound_form,
			    0, G_N_ELEMENTS(forms));
	tcase_add_loop_test(tcase, store_is_read_only_in_a_sound_form, 0,
			    G_N_ELEMENTS(forms));
	return sup_run_case("answer_forms_wire", tcase);
}
