/* Parsing of chat completion requests, and prefix hashes of prompts. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/srv_internal.h"

#include "support/runner.h"

#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"

static const struct {
	const char *text;
	enum err_code code;
	const char *message;
} refused[] = {
	{"", ERR_BAD_JSON, "line 1"},
	{"{", ERR_BAD_JSON, "line 1"},
	{"{\"model\":\"m\"} x", ERR_BAD_JSON, "end of file expected"},
	{"{\"model\":\"m\",\"model\":\"n\"}", ERR_BAD_JSON, "duplicate"},
	{"{\"model\":\"\xff\"}", ERR_BAD_JSON, "unable to decode"},
	{"[]", ERR_BAD_REQUEST, "expected a JSON object"},
	{"{" MESSAGES "}", ERR_BAD_REQUEST, "model: expected"},
	{"{\"model\":7," MESSAGES "}", ERR_BAD_REQUEST, "model: expected"},
	{"{\"model\":\"\"," MESSAGES "}", ERR_BAD_REQUEST, "model: expected"},
	{"{\"model\":\"m\"}", ERR_BAD_REQUEST, "messages: expected"},
	{"{\"model\":\"m\",\"messages\":[]}", ERR_BAD_REQUEST,
	 "messages: expected"},
	{"{\"model\":\"m\",\"messages\":\"hi\"}", ERR_BAD_REQUEST,
	 "messages: expected"},
	{"{\"model\":\"m\",\"messages\":[1]}", ERR_BAD_REQUEST,
	 "messages[0].role"},
	{"{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}",
	 ERR_BAD_REQUEST, "messages[0].content"},
	{"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"
	 "[{\"type\":\"image_url\"}]}]}",
	 ERR_BAD_REQUEST, "only parts of type"},
	{"{\"model\":\"m\",\"max_tokens\":0," MESSAGES "}", ERR_BAD_REQUEST,
	 "max_tokens: expected"},
	{"{\"model\":\"m\",\"max_tokens\":1.5," MESSAGES "}", ERR_BAD_REQUEST,
	 "max_tokens: expected"},
	{"{\"model\":\"m\",\"max_tokens\":2097152," MESSAGES "}",
	 ERR_BAD_REQUEST, "max_tokens: expected"},
	{"{\"model\":\"m\",\"stream\":\"yes\"," MESSAGES "}", ERR_BAD_REQUEST,
	 "stream: expected"},
	{"{\"model\":\"m\",\"n\":2," MESSAGES "}", ERR_BAD_REQUEST,
	 "n: only 1"},
};

/* Guards against malformed bodies that are accepted or badly reported. */
START_TEST(malformed_bodies_are_refused)
{
	const char *text = refused[_i].text;
	struct srv_chat chat;
	GError *error = NULL;

	ck_assert(!srv_chat_parse(text, strlen(text), &chat, &error));
	ck_assert_msg(
		g_error_matches(error, ERR_DOMAIN, (gint)refused[_i].code),
		"%s", error->message);
	ck_assert_msg(strstr(error->message, refused[_i].message) != NULL, "%s",
		      error->message);
	g_error_free(error);
}
END_TEST

/* Guards against a prompt that loses messages, roles or their order. */
START_TEST(messages_become_one_prompt)
{
	static const char text[] =
		"{\"model\":\"m\",\"stream\":true,\"max_completion_tokens\":9,"
		"\"temperature\":0.5,\"messages\":["
		"{\"role\":\"system\",\"content\":\"be brief\"},"
		"{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":"
		"\"a\"},{\"type\":\"text\",\"text\":\"b\"}]}]}";
	struct srv_chat chat;

	ck_assert(srv_chat_parse(text, strlen(text), &chat, NULL));
	ck_assert_str_eq(chat.model, "m");
	ck_assert_str_eq(chat.prompt->str,
			 "system: be brief\nuser: ab\nassistant: ");
	ck_assert_uint_eq(chat.max_tokens, 9);
	ck_assert(chat.stream);
	srv_chat_clear(&chat);
}
END_TEST

/* Guards against prefix hashes that differ for equal beginnings. */
START_TEST(prefix_hashes_are_cumulative_over_whole_blocks)
{
	GString *prompt = g_string_new(NULL);
	GArray *shorter;
	GArray *longer;

	g_string_set_size(prompt, 700);
	memset(prompt->str, 'x', 700);
	longer = srv_chat_prefix_hashes(prompt);
	g_string_truncate(prompt, 511);
	shorter = srv_chat_prefix_hashes(prompt);
	ck_assert_uint_eq(longer->len, 2);
	ck_assert_uint_eq(shorter->len, 1);
	ck_assert(g_array_index(longer, uint64_t, 0) ==
		  g_array_index(shorter, uint64_t, 0));
	ck_assert(g_array_index(longer, uint64_t, 0) !=
		  g_array_index(longer, uint64_t, 1));
	g_array_unref(longer);
	g_array_unref(shorter);
	g_string_free(prompt, TRUE);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("chat");

	tcase_add_loop_test(tcase, malformed_bodies_are_refused, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_test(tcase, messages_become_one_prompt);
	tcase_add_test(tcase, prefix_hashes_are_cumulative_over_whole_blocks);
	return sup_run_case("chat", tcase);
}
