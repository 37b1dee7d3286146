#include <jansson.h>
#include <string.h>

#include "daemon/srv_internal.h"

#define DEFAULT_MAX_TOKENS 512
#define MAX_TOKENS_LIMIT (1 << 20)
#define MAX_MESSAGES 4096
#define PREFIX_BLOCK_BYTES 256

static bool refuse(GError **error, const char *problem)
{
	g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST, "%s", problem);
	return false;
}

static bool append_part(const json_t *part, GString *prompt, GError **error)
{
	const char *type = json_string_value(json_object_get(part, "type"));
	const char *text = json_string_value(json_object_get(part, "text"));

	if (!type || strcmp(type, "text") != 0 || !text)
		return refuse(error, "content: only parts of type \"text\" "
				     "are supported");
	g_string_append(prompt, text);
	return true;
}

static bool append_content(const json_t *content, GString *prompt,
			   GError **error)
{
	size_t i;

	if (json_is_string(content)) {
		g_string_append(prompt, json_string_value(content));
		return true;
	}
	if (!json_is_array(content))
		return refuse(error, "content: expected a string or an array");
	for (i = 0; i < json_array_size(content); i++)
		if (!append_part(json_array_get(content, i), prompt, error))
			return false;
	return true;
}

static bool append_message(const json_t *message, GString *prompt,
			   GError **error)
{
	const char *role = json_string_value(json_object_get(message, "role"));

	if (!role)
		return refuse(error, "role: expected a string");
	g_string_append_printf(prompt, "%s: ", role);
	if (!append_content(json_object_get(message, "content"), prompt, error))
		return false;
	g_string_append_c(prompt, '\n');
	return true;
}

static bool read_messages(const json_t *root, GString *prompt, GError **error)
{
	const json_t *messages = json_object_get(root, "messages");
	size_t n = json_array_size(messages);
	size_t i;

	if (!n || n > MAX_MESSAGES)
		return refuse(error, "messages: expected an array of 1 to 4096 "
				     "messages");
	for (i = 0; i < n; i++) {
		if (append_message(json_array_get(messages, i), prompt, error))
			continue;
		g_prefix_error(error, "messages[%zu].", i);
		return false;
	}
	g_string_append(prompt, "assistant: ");
	return true;
}

static bool read_max_tokens(const json_t *root, unsigned *out, GError **error)
{
	const json_t *value = json_object_get(root, "max_tokens");
	json_int_t number;

	if (!value)
		value = json_object_get(root, "max_completion_tokens");
	*out = DEFAULT_MAX_TOKENS;
	if (!value || json_is_null(value))
		return true;
	number = json_integer_value(value);
	if (!json_is_integer(value) || number < 1 || number > MAX_TOKENS_LIMIT)
		return refuse(error,
			      "max_tokens: expected an integer from 1 to "
			      "1048576");
	*out = (unsigned)number;
	return true;
}

static bool read_stream(const json_t *root, bool *out, GError **error)
{
	const json_t *value = json_object_get(root, "stream");

	*out = json_is_true(value);
	if (!value || json_is_null(value) || json_is_boolean(value))
		return true;
	return refuse(error, "stream: expected true or false");
}

/* More than one answer for a prompt would be several requests. */
static bool check_n(const json_t *root, GError **error)
{
	const json_t *value = json_object_get(root, "n");

	if (!value || json_is_null(value) || json_integer_value(value) == 1)
		return true;
	return refuse(error, "n: only 1 is supported");
}

static bool read_chat(const json_t *root, struct srv_chat *chat, GError **error)
{
	const char *model = json_string_value(json_object_get(root, "model"));

	if (!json_is_object(root))
		return refuse(error, "expected a JSON object");
	if (!model || !*model)
		return refuse(error, "model: expected a string");
	chat->model = g_strdup(model);
	return read_messages(root, chat->prompt, error) &&
	       read_max_tokens(root, &chat->max_tokens, error) &&
	       read_stream(root, &chat->stream, error) && check_n(root, error);
}

bool srv_chat_parse(const char *text, size_t len, struct srv_chat *chat,
		    GError **error)
{
	json_error_t problem;
	json_t *root = json_loadb(text ? text : "", len, JSON_REJECT_DUPLICATES,
				  &problem);
	bool ok;

	memset(chat, 0, sizeof(*chat));
	if (!root) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_JSON,
			    "line %d, column %d: %s", problem.line,
			    problem.column, problem.text);
		return false;
	}
	chat->prompt = g_string_new(NULL);
	ok = read_chat(root, chat, error);
	json_decref(root);
	if (!ok)
		srv_chat_clear(chat);
	return ok;
}

void srv_chat_clear(struct srv_chat *chat)
{
	g_free(chat->model);
	if (chat->prompt)
		g_string_free(chat->prompt, TRUE);
	memset(chat, 0, sizeof(*chat));
}

GArray *srv_chat_prefix_hashes(const GString *prompt)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t hash = 0;
	size_t at;

	for (at = 0; at + PREFIX_BLOCK_BYTES <= prompt->len;
	     at += PREFIX_BLOCK_BYTES) {
		hash = wf_hash(prompt->str + at, PREFIX_BLOCK_BYTES, hash);
		g_array_append_val(hashes, hash);
	}
	return hashes;
}
