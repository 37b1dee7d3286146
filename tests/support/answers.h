#ifndef WF_SUPPORT_ANSWERS_H
#define WF_SUPPORT_ANSWERS_H

/*
 * sup: support of tests. Answers of HTTP servers to a GET, for all programs
 * that read answers.
 */

#include <stddef.h>

struct sup_message {
	const char *bytes;
	size_t len;
	/* What a client receives; 0 and NULL if the answer is invalid. */
	int status;
	const char *body;
};

struct sup_messages {
	const struct sup_message *list;
	size_t n;
};

/* A status that does not exist, or a status line of another form. */
extern const struct sup_messages sup_bad_status;
/* Field lines that are invalid, or bytes that are none in a head. */
extern const struct sup_messages sup_bad_fields;
/* Field lines that begin with NUL, the last one incomplete. */
extern const struct sup_messages sup_nul_lines;
/* A length or chunks that leave open where the body ends, or a transfer coding
 * that was not asked for. */
extern const struct sup_messages sup_bad_framing;
/* Valid answers of rare forms, each with a length or chunks, or of a status
 * without a body. */
extern const struct sup_messages sup_rare_answers;

#endif
