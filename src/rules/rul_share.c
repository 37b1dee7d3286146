#include <string.h>

#include "rul_private.h"

static guint settings_hash(gconstpointer key)
{
	return (guint)wf_hash(key, sizeof(struct rul_line_settings), 0);
}

/* Strings are shared too, so equal bytes mean equal settings. */
static gboolean settings_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct rul_line_settings));
}

void rul_share_init(struct rul_parser *parser)
{
	parser->strings = g_hash_table_new(g_str_hash, g_str_equal);
	parser->lists =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parser->shared = g_hash_table_new(settings_hash, settings_equal);
}

void rul_share_clear(struct rul_parser *parser)
{
	g_hash_table_unref(parser->strings);
	g_hash_table_unref(parser->lists);
	g_hash_table_unref(parser->shared);
}

char *rul_share_text(struct rul_parser *parser, struct rul_token text)
{
	char buffer[RUL_MAX_NAME + 1];
	char *found;

	if (text.len > RUL_MAX_NAME)
		return rul_arena_copy(&parser->set->arena, text.at, text.len);
	memcpy(buffer, text.at, text.len);
	buffer[text.len] = '\0';
	found = g_hash_table_lookup(parser->strings, buffer);
	if (found)
		return found;
	found = rul_arena_copy(&parser->set->arena, text.at, text.len);
	g_hash_table_add(parser->strings, found);
	return found;
}

const struct rul_line_settings *rul_share_settings(struct rul_parser *parser)
{
	struct rul_line_settings *found;

	found = g_hash_table_lookup(parser->shared, &parser->settings);
	if (found)
		return found;
	found = rul_arena_alloc(&parser->set->arena, sizeof(*found));
	memcpy(found, &parser->settings, sizeof(*found));
	g_hash_table_add(parser->shared, found);
	return found;
}
