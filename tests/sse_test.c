/* The incremental parser of server-sent events. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/cli_sse.h"

#include "support/runner.h"

#define LIMIT 40

static bool append_event(void *user, const char *name, const char *data,
			 size_t len)
{
	ck_assert_uint_eq(strlen(data), len);
	g_string_append_printf(user, "%s|%s\n", name, data);
	return true;
}

static const struct {
	const char *stream;
	const char *events;
} streams[] = {
	{"", ""},
	{"data: a\n\n", "message|a\n"},
	{"event: token\ndata: {\"a\":1}\n\n", "token|{\"a\":1}\n"},
	{"event:token\r\ndata:x\r\n\r\ndata: y\r\n\r\n",
	 "token|x\nmessage|y\n"},
	{"event: a\rdata: b\r\rdata: c\r\r", "a|b\nmessage|c\n"},
	{"data: a\ndata: b\ndata\n\n", "message|a\nb\n\n"},
	{"data:  two\n\n", "message| two\n"},
	{": comment\nid: 7\nretry: 3\nother\ndata: a\n\n", "message|a\n"},
	{"event: none\n\ndata: a\n\n", "message|a\n"},
	{"\xef\xbb\xbf"
	 "data: a\n\n",
	 "message|a\n"},
	{"data: unfinished", ""},
	{"data: a\n", ""},
	{"data: r\xc3\xa9\n\n", "message|r\xc3\xa9\n"},
};

static void check_split(const char *stream, size_t at, const char *expected)
{
	GString *events = g_string_new(NULL);
	struct cli_sse *parser = cli_sse_new(LIMIT, append_event, events);

	ck_assert(cli_sse_feed(parser, stream, at, NULL));
	ck_assert(cli_sse_feed(parser, stream + at, strlen(stream) - at, NULL));
	ck_assert_str_eq(events->str, expected);
	cli_sse_drop(parser);
	g_string_free(events, TRUE);
}

/* Guards against events lost or split at the end of a read. */
START_TEST(split_at_every_byte_gives_the_same_events)
{
	size_t at;

	for (at = 0; at <= strlen(streams[_i].stream); at++)
		check_split(streams[_i].stream, at, streams[_i].events);
}
END_TEST

static const struct {
	const char *stream;
	size_t len;
	enum err_code code;
} refused[] = {
	{"data: a\0b\n\n", 11, ERR_PROTOCOL},
	{"data: 0123456789012345678901234567890123456789\n\n", 48,
	 ERR_TOO_LARGE},
	{"data: 0123456789012345\ndata: 01234567890123456789012345\n", 56,
	 ERR_TOO_LARGE},
	{":xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 50,
	 ERR_TOO_LARGE},
};

/* Guards against unbounded memory use and null bytes in events. */
START_TEST(bad_streams_stop_the_parser)
{
	GString *events = g_string_new(NULL);
	struct cli_sse *parser = cli_sse_new(LIMIT, append_event, events);
	GError *error = NULL;

	ck_assert(!cli_sse_feed(parser, refused[_i].stream, refused[_i].len,
				&error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, (gint)refused[_i].code));
	ck_assert(!cli_sse_feed(parser, "data: a\n\n", 9, NULL));
	ck_assert_str_eq(events->str, "");
	g_error_free(error);
	cli_sse_drop(parser);
	g_string_free(events, TRUE);
}
END_TEST

static bool stop_at_once(void *user, const char *name, const char *data,
			 size_t len)
{
	(void)name;
	(void)data;
	(void)len;
	++*(unsigned *)user;
	return false;
}

/* Guards against events delivered after the callback stopped the parser. */
START_TEST(stopped_parser_delivers_nothing_more)
{
	unsigned n = 0;
	struct cli_sse *parser = cli_sse_new(LIMIT, stop_at_once, &n);
	GError *error = NULL;

	ck_assert(!cli_sse_feed(parser, "data: a\n\ndata: b\n\n", 18, &error));
	ck_assert_ptr_null(error);
	ck_assert_uint_eq(n, 1);
	cli_sse_drop(parser);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("sse");

	tcase_add_loop_test(tcase, split_at_every_byte_gives_the_same_events, 0,
			    G_N_ELEMENTS(streams));
	tcase_add_loop_test(tcase, bad_streams_stop_the_parser, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_test(tcase, stopped_parser_delivers_nothing_more);
	return sup_run_case("sse", tcase);
}
