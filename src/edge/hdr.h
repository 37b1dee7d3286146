#ifndef EDGE_HDR_H
#define EDGE_HDR_H

/* Header fields of HTTP messages, in the order of their arrival. */

#include <wagtailferry/base.h>

struct hdr_field {
	char *name;
	char *value;
};

/* Of struct hdr_field. */
struct hdr_list {
	GArray *fields;
};

void hdr_init(struct hdr_list *list);
void hdr_clear(struct hdr_list *list);

/* Empties the list for the next message. */
void hdr_reset(struct hdr_list *list);

/* Adds a field; name and value are copied. */
void hdr_add(struct hdr_list *list, const char *name, const char *value);

/* The first value of a field, or NULL. Names ignore case. Borrowed. */
const char *hdr_get(const struct hdr_list *list, const char *name);

/* How many fields have the name. */
unsigned hdr_count(const struct hdr_list *list, const char *name);

/*
 * Whether a field concerns only the connection that it came over: those of
 * RFC 9110, section 7.6.1, and what the list's Connection field names.
 */
bool hdr_is_hop_by_hop(const struct hdr_list *list, const char *name);

/* Whether a comma-separated value has the token, ignoring case. */
bool hdr_has_token(const char *value, const char *token);

/* Appends "name: value" with a line end. */
void hdr_write(GString *out, const char *name, const char *value);

/* Whether the text is a proper field name (a token of RFC 9110). */
bool hdr_is_token(const char *text);

/* Collects the fields that a parser delivers in pieces. */
struct hdr_builder {
	GString *name;
	GString *value;
	/* The last piece belonged to a value. */
	bool in_value;
};

void hdr_builder_init(struct hdr_builder *builder);
void hdr_builder_clear(struct hdr_builder *builder);
void hdr_builder_append_name(struct hdr_builder *builder, struct hdr_list *list,
			     const char *text, size_t len);
void hdr_builder_append_value(struct hdr_builder *builder, const char *text,
			      size_t len);
/* Moves the last field into the list. */
void hdr_builder_flush(struct hdr_builder *builder, struct hdr_list *list);

#endif
