/* Parser of responses: every form, split at every position. */

#include <check.h>
#include <string.h>

#include "edge/rsp_parser.h"
#include "support/answers.h"
#include "support/runner.h"

struct reader {
	struct rsp_parser parser;
	GString *body;
	/* The last item; RSP_NEEDS_MORE at the end of the bytes. */
	enum rsp_item item;
	size_t unread;
};

static void open_reader(struct reader *reader)
{
	memset(reader, 0, sizeof(*reader));
	rsp_init(&reader->parser);
	reader->body = g_string_new(NULL);
}

static void close_reader(struct reader *reader)
{
	rsp_clear(&reader->parser);
	g_string_free(reader->body, TRUE);
}

/* Reads up to the end of the first response that is not interim. */
static void feed(struct reader *reader, const char *bytes, size_t len)
{
	struct rsp_input input = {bytes, len};
	struct rsp_input piece;

	while ((reader->item = rsp_read(&reader->parser, &input, &piece)) !=
	       RSP_NEEDS_MORE) {
		if (reader->item == RSP_BODY)
			g_string_append_len(reader->body, piece.bytes,
					    (gssize)piece.len);
		if (reader->item == RSP_MALFORMED ||
		    (reader->item == RSP_END && reader->parser.status >= 200))
			break;
	}
	reader->unread = input.len;
}

static void feed_in_steps(struct reader *reader,
			  const struct sup_message *message, size_t first,
			  size_t step)
{
	size_t at = MIN(first, message->len);

	feed(reader, message->bytes, at);
	while (reader->item == RSP_NEEDS_MORE && at < message->len) {
		size_t len = MIN(step, message->len - at);

		feed(reader, message->bytes + at, len);
		at += len;
	}
}

static void expect(const struct sup_message *message, size_t first, size_t step)
{
	struct reader reader;

	open_reader(&reader);
	feed_in_steps(&reader, message, first, step);
	if (message->status) {
		ck_assert_int_eq(reader.item, RSP_END);
		ck_assert_int_eq(reader.parser.status, message->status);
		ck_assert_str_eq(reader.body->str, message->body);
		ck_assert_uint_eq(reader.unread, 0);
	} else {
		ck_assert_int_eq(reader.item, RSP_MALFORMED);
	}
	close_reader(&reader);
}

static void expect_for_all(const struct sup_messages *messages)
{
	size_t i;
	size_t first;

	for (i = 0; i < messages->n; i++) {
		const struct sup_message *message = &messages->list[i];

		expect(message, 1, 1);
		for (first = 0; first <= message->len; first++)
			expect(message, first, message->len);
	}
}

START_TEST(bad_messages_are_malformed_however_they_arrive)
{
	expect_for_all(&sup_bad_status);
	expect_for_all(&sup_bad_fields);
	expect_for_all(&sup_nul_lines);
	expect_for_all(&sup_bad_framing);
}
END_TEST

START_TEST(rare_messages_are_read_however_they_arrive)
{
	expect_for_all(&sup_rare_answers);
}
END_TEST

/* Responses that break off are neither complete nor malformed. */
START_TEST(incomplete_message_needs_more)
{
	size_t i;
	size_t len;

	for (i = 0; i < sup_rare_answers.n; i++) {
		const struct sup_message *message = &sup_rare_answers.list[i];

		for (len = 0; len < message->len; len++) {
			struct reader reader;

			open_reader(&reader);
			feed(&reader, message->bytes, len);
			ck_assert_int_eq(reader.item, RSP_NEEDS_MORE);
			ck_assert(!rsp_ends_with_connection(&reader.parser));
			close_reader(&reader);
		}
	}
}
END_TEST

/* Guards against reads beyond a line that is shorter than a status line. */
START_TEST(short_line_is_malformed)
{
	static const char text[] = "HTTP/1.";
	size_t len;

	for (len = 1; len < sizeof(text); len++) {
		struct reader reader;

		open_reader(&reader);
		feed(&reader, text, len);
		ck_assert_int_eq(reader.item, RSP_NEEDS_MORE);
		feed(&reader, "\n", 1);
		ck_assert_int_eq(reader.item, RSP_MALFORMED);
		close_reader(&reader);
	}
}
END_TEST

#define TEXT(bytes) bytes, sizeof(bytes) - 1
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"

static const struct {
	const char *bytes;
	size_t len;
	bool keeps_alive;
} kept_cases[] = {
	{TEXT("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), true},
	{TEXT("HTTP/1.1 200 OK\r\n" CHUNKED), true},
	{TEXT("HTTP/1.1 204 X\r\n\r\n"), true},
	{TEXT("HTTP/1.1 200 OK\r\nConnection: close\r\n"
	      "Content-Length: 0\r\n\r\n"),
	 false},
	{TEXT("HTTP/1.1 200 OK\r\nConnection: x\r\nconnection: a, Close\r\n"
	      "Content-Length: 0\r\n\r\n"),
	 false},
	{TEXT("HTTP/1.1 200 OK\r\nConnection: closed\r\n"
	      "Content-Length: 0\r\n\r\n"),
	 true},
	{TEXT("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"), false},
	{TEXT("HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n"
	      "Content-Length: 0\r\n\r\n"),
	 true},
	{TEXT("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" CHUNKED), false},
};

START_TEST(connection_is_kept_as_the_response_says)
{
	struct reader reader;

	open_reader(&reader);
	feed(&reader, kept_cases[_i].bytes, kept_cases[_i].len);
	ck_assert_int_eq(reader.item, RSP_END);
	ck_assert_int_eq(rsp_keeps_alive(&reader.parser),
			 kept_cases[_i].keeps_alive);
	close_reader(&reader);
}
END_TEST

START_TEST(response_without_length_ends_with_its_connection)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nok\r\n\r\n";
	struct reader reader;

	open_reader(&reader);
	feed(&reader, text, sizeof(text) - 1);
	ck_assert_int_eq(reader.item, RSP_NEEDS_MORE);
	ck_assert(rsp_ends_with_connection(&reader.parser));
	ck_assert_str_eq(reader.body->str, "ok\r\n\r\n");
	close_reader(&reader);
}
END_TEST

/* Guards against fields of a message that count for the next one. */
START_TEST(messages_follow_each_other)
{
	static const char text[] =
		"HTTP/1.1 200 OK\r\nX-First: 1\r\nConnection: close\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n"
		"\r\nHTTP/1.1 404 X\r\nX-Second: \t 2 \r\n"
		"Content-Length: 0\r\n\r\n";
	struct reader reader;
	const struct hdr_list *headers = &reader.parser.headers;

	open_reader(&reader);
	feed(&reader, text, sizeof(text) - 1);
	ck_assert_int_eq(reader.item, RSP_END);
	ck_assert_str_eq(hdr_get(headers, "x-first"), "1");
	feed(&reader, text + sizeof(text) - 1 - reader.unread, reader.unread);
	ck_assert_int_eq(reader.item, RSP_END);
	ck_assert_int_eq(reader.parser.status, 404);
	ck_assert_str_eq(hdr_get(headers, "X-Second"), "2");
	ck_assert_ptr_null(hdr_get(headers, "X-First"));
	ck_assert_ptr_null(hdr_get(headers, "X-Trailer"));
	ck_assert(rsp_keeps_alive(&reader.parser));
	close_reader(&reader);
}
END_TEST

START_TEST(skipped_body_is_not_expected)
{
	static const char text[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
	struct rsp_input input = {text, sizeof(text) - 1};
	struct rsp_input piece;
	struct rsp_parser parser;

	rsp_init(&parser);
	ck_assert_int_eq(rsp_read(&parser, &input, &piece), RSP_HEAD);
	rsp_skip_body(&parser);
	ck_assert_int_eq(rsp_read(&parser, &input, &piece), RSP_END);
	ck_assert(rsp_keeps_alive(&parser));
	rsp_clear(&parser);
}
END_TEST

/* Guards against lines without end that are kept. */
START_TEST(endless_lines_are_malformed)
{
	static const char *const starts[] = {
		"HTTP/1.1 200 ",
		"HTTP/1.1 200 OK\r\nX: ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
		"",
	};
	static const char *const repeated[] = {"x", "x", "x", "x", "\r\n"};
	struct reader reader;
	unsigned i;

	open_reader(&reader);
	feed(&reader, starts[_i], strlen(starts[_i]));
	for (i = 0; i < 100000 && reader.item == RSP_NEEDS_MORE; i++)
		feed(&reader, repeated[_i], strlen(repeated[_i]));
	ck_assert_int_eq(reader.item, RSP_MALFORMED);
	close_reader(&reader);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("rsp");

	tcase_add_test(tcase, bad_messages_are_malformed_however_they_arrive);
	tcase_add_test(tcase, rare_messages_are_read_however_they_arrive);
	tcase_add_test(tcase, incomplete_message_needs_more);
	tcase_add_test(tcase, short_line_is_malformed);
	tcase_add_loop_test(tcase, connection_is_kept_as_the_response_says, 0,
			    G_N_ELEMENTS(kept_cases));
	tcase_add_test(tcase, response_without_length_ends_with_its_connection);
	tcase_add_test(tcase, messages_follow_each_other);
	tcase_add_test(tcase, skipped_body_is_not_expected);
	tcase_add_loop_test(tcase, endless_lines_are_malformed, 0, 5);
	return sup_run_case("rsp", tcase);
}
