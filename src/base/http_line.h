#ifndef BASE_HTTP_LINE_H
#define BASE_HTTP_LINE_H

/*
 * hln: lines of the head of an HTTP/1 message (RFC 9112), without their line
 * ends. Libraries accept more than the grammar, each something else, so all
 * readers of answers check lines here.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether the bytes hold no control character but tabs. */
bool hln_is_text(const char *bytes, size_t len);

/* Whether the bytes are a token, such as the name of a field. */
bool hln_is_token(const char *bytes, size_t len);

/* Returns the status of a status line, 100 to 599; 0 if it is invalid. */
int hln_parse_status(const char *line, size_t len);

/*
 * Returns the length of the name of a field line "name: value", or 0 if the
 * line is invalid. A line that continues the value of the one before it
 * (obs-fold) is invalid, as RFC 9112, section 5.2, allows.
 */
size_t hln_name_length(const char *line, size_t len);

/* Parses the value of Content-Length. False if it is no decimal number. */
bool hln_parse_length(const char *value, uint64_t *length);

#endif
