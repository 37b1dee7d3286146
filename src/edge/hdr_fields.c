#include <math.h>
#include <string.h>

#include "base/http_line.h"
#include "edge/hdr_fields.h"

/* Connections keep a buffer up to this size for their next message. */
#define MAX_KEPT_BYTES 1024

static void field_clear(gpointer data)
{
	struct hdr_field *field = data;

	g_free(field->name);
	g_free(field->value);
}

void hdr_init(struct hdr_list *list)
{
	list->fields = g_array_new(FALSE, FALSE, sizeof(struct hdr_field));
	g_array_set_clear_func(list->fields, field_clear);
}

void hdr_clear(struct hdr_list *list)
{
	if (list->fields)
		g_array_unref(list->fields);
	list->fields = NULL;
}

void hdr_reset(struct hdr_list *list)
{
	g_array_set_size(list->fields, 0);
}

void hdr_reset_text(GString **text)
{
#ifndef WF_GUARD_OFF_EDGE_KEPT_BODY
	if ((*text)->allocated_len > MAX_KEPT_BYTES) {
		g_string_free(*text, TRUE);
		*text = g_string_new(NULL);
		return;
	}
#endif
	g_string_truncate(*text, 0);
}

void hdr_add(struct hdr_list *list, const char *name, const char *value)
{
	struct hdr_field field = {g_strdup(name), g_strdup(value)};

	g_array_append_val(list->fields, field);
}

void hdr_add_line(struct hdr_list *list, const char *line, size_t name_len)
{
	struct hdr_field field = {g_strndup(line, name_len),
				  g_strstrip(g_strdup(line + name_len + 1))};

	g_array_append_val(list->fields, field);
}

const char *hdr_get(const struct hdr_list *list, const char *name)
{
	guint i;

	for (i = 0; i < list->fields->len; i++) {
		const struct hdr_field *field =
			&g_array_index(list->fields, struct hdr_field, i);

		if (!g_ascii_strcasecmp(field->name, name))
			return field->value;
	}
	return NULL;
}

unsigned hdr_count(const struct hdr_list *list, const char *name)
{
	unsigned count = 0;
	guint i;

	for (i = 0; i < list->fields->len; i++) {
		const struct hdr_field *field =
			&g_array_index(list->fields, struct hdr_field, i);

		if (!g_ascii_strcasecmp(field->name, name))
			count++;
	}
	return count;
}

bool hdr_has_token(const char *value, const char *token)
{
	size_t len = strlen(token);

	while (value && *value) {
		size_t piece;

		value += strspn(value, " \t,");
		piece = strcspn(value, " \t,");
		if (piece == len && !g_ascii_strncasecmp(value, token, len))
			return true;
		value += piece;
	}
	return false;
}

bool hdr_is_hop_by_hop(const struct hdr_list *list, const char *name)
{
	static const char *const names[] = {"Connection",
					    "Keep-Alive",
					    "Proxy-Connection",
					    "TE",
					    "Trailer",
					    "Transfer-Encoding",
					    "Upgrade",
					    "Proxy-Authenticate",
					    "Proxy-Authorization"};
	size_t i;
	guint j;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!g_ascii_strcasecmp(name, names[i]))
			return true;
	}
	for (j = 0; j < list->fields->len; j++) {
		const struct hdr_field *field =
			&g_array_index(list->fields, struct hdr_field, j);

		if (!g_ascii_strcasecmp(field->name, "Connection") &&
		    hdr_has_token(field->value, name))
			return true;
	}
	return false;
}

void hdr_write(GString *out, const char *name, const char *value)
{
	g_string_append(out, name);
	g_string_append(out, ": ");
	g_string_append(out, value);
	g_string_append(out, "\r\n");
}

bool hdr_is_token(const char *text)
{
	return hln_is_token(text, strlen(text));
}

void hdr_builder_init(struct hdr_builder *builder)
{
	builder->name = g_string_new(NULL);
	builder->value = g_string_new(NULL);
	hdr_builder_begin(builder);
}

void hdr_builder_clear(struct hdr_builder *builder)
{
	g_string_free(builder->name, TRUE);
	g_string_free(builder->value, TRUE);
}

void hdr_builder_begin(struct hdr_builder *builder)
{
	hdr_reset_text(&builder->name);
	hdr_reset_text(&builder->value);
	builder->in_value = false;
	builder->is_ended = false;
}

static void add_field(struct hdr_builder *builder, struct hdr_list *list)
{
	if (builder->name->len) {
		g_strchomp(builder->value->str);
		hdr_add(list, builder->name->str, builder->value->str);
	}
	hdr_builder_begin(builder);
}

void hdr_builder_append_name(struct hdr_builder *builder, struct hdr_list *list,
			     const char *text, size_t len)
{
	if (builder->is_ended)
		return;
	if (builder->in_value)
		add_field(builder, list);
	g_string_append_len(builder->name, text, (gssize)len);
}

void hdr_builder_append_value(struct hdr_builder *builder, const char *text,
			      size_t len)
{
	if (builder->is_ended)
		return;
	builder->in_value = true;
	g_string_append_len(builder->value, text, (gssize)len);
}

void hdr_builder_end(struct hdr_builder *builder, struct hdr_list *list)
{
	add_field(builder, list);
#ifndef WF_GUARD_OFF_EDGE_TRAILER
	builder->is_ended = true;
#endif
}

clk_ms hdr_read_seconds(const char *text, clk_ms max)
{
	double ms;

	if (!text || !g_ascii_isdigit(*text) ||
	    text[strspn(text, "0123456789.")] ||
	    strchr(text, '.') != strrchr(text, '.'))
		return 0;
	ms = ceil(g_ascii_strtod(text, NULL) * CLK_SECOND);
	return ms < (double)max ? (clk_ms)ms : max;
}
