#ifndef EDGE_HDR_FIELDS_H
#define EDGE_HDR_FIELDS_H

/* hdr: header fields of an HTTP message, in the order received. */

#include <wagtailferry/base.h>

struct hdr_field {
	char *name;
	char *value;
};

struct hdr_list {
	/* Elements are struct hdr_field. */
	GArray *fields;
};

void hdr_init(struct hdr_list *list);
void hdr_clear(struct hdr_list *list);

/* Removes all fields so that the list can be reused. */
void hdr_reset(struct hdr_list *list);

/* Empties a string; replaces it if it holds more memory than most messages
 * need. */
void hdr_reset_text(GString **text);

/* Adds a field; name and value are copied. */
void hdr_add(struct hdr_list *list, const char *name, const char *value);

/* Adds the field of a valid line "name: value"; name_len is the length of its
 * name. Blanks around the value are dropped. */
void hdr_add_line(struct hdr_list *list, const char *line, size_t name_len);

/*
 * Returns the value of the first field with the name, compared without case,
 * or NULL. The list keeps ownership.
 */
const char *hdr_get(const struct hdr_list *list, const char *name);

/* Counts the fields with the name, compared without case. */
unsigned hdr_count(const struct hdr_list *list, const char *name);

/*
 * Whether a field is hop-by-hop: one of those in RFC 9110, section 7.6.1, or
 * named by the list's Connection field.
 */
bool hdr_is_hop_by_hop(const struct hdr_list *list, const char *name);

/* Whether a comma-separated value contains the token, ignoring case. */
bool hdr_has_token(const char *value, const char *token);

/* Appends "name: value" and CRLF. */
void hdr_write(GString *out, const char *name, const char *value);

/*
 * Reads a number of seconds with an optional fraction, as in Retry-After, and
 * returns it in ms, rounded up and at most max. 0 if the text is NULL or has
 * another form, such as a date, a sign or an exponent.
 */
clk_ms hdr_read_seconds(const char *text, clk_ms max);

/* Whether the text is a valid field name (a token of RFC 9110). */
bool hdr_is_token(const char *text);

/*
 * Assembles the fields of a message's head from the fragments that http_parser
 * reports. Fields of a trailer section are discarded: RFC 9110, section 6.5.1,
 * lets a recipient ignore them, and they come after the head was acted upon.
 */
struct hdr_builder {
	GString *name;
	GString *value;
	/* The last fragment belonged to a value. */
	bool in_value;
	/* The head is complete. */
	bool is_ended;
};

void hdr_builder_init(struct hdr_builder *builder);
void hdr_builder_clear(struct hdr_builder *builder);
/* Starts the head of the next message. */
void hdr_builder_begin(struct hdr_builder *builder);
void hdr_builder_append_name(struct hdr_builder *builder, struct hdr_list *list,
			     const char *text, size_t len);
void hdr_builder_append_value(struct hdr_builder *builder, const char *text,
			      size_t len);
/* Adds the last field to the list and ends the head. */
void hdr_builder_end(struct hdr_builder *builder, struct hdr_list *list);

#endif
