#ifndef WF_SUPPORT_HTTP_H
#define WF_SUPPORT_HTTP_H

/* sup: support of tests. Blocking and background HTTP requests. */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* The outcome of a request. */
struct sup_answer {
	int status;    /* 0 if no status line was received */
	bool complete; /* received up to Content-Length or the end */
	bool timed_out;
	bool refused;	    /* no connection */
	const char *result; /* of the transfer, in words; static */
	GString *body;
	GString *headers; /* the answer's header lines */
};

struct sup_query {
	const char *method; /* NULL: GET, or POST with a body */
	const char *address;
	const char *path;
	const char *header; /* "Name: value" or NULL */
	const char *header2;
	const void *body;
	size_t len;	 /* 0: strlen(body) */
	long timeout_ms; /* 0: 20 s */
	bool http2;	 /* with prior knowledge */
};

/* Sends a request and waits for its end. Free with sup_answer_clear(). */
void sup_http(const struct sup_query *query, struct sup_answer *answer);

void sup_answer_clear(struct sup_answer *answer);

/* The value of an answer's header, or NULL; free with g_free(). */
char *sup_answer_header(const struct sup_answer *answer, const char *name);

/* The body as JSON, or NULL. */
json_t *sup_answer_json(const struct sup_answer *answer);

/* The error type in the body, or "". Free with g_free(). */
char *sup_answer_error(const struct sup_answer *answer);

/* GET that returns the JSON body, or NULL unless the status is 200. */
json_t *sup_get_json(const char *address, const char *path);

/* POST of a JSON text; returns the status, 0 if no answer came. */
int sup_post(const char *address, const char *path, const char *json);

/* An integer at "a.b.c" in a JSON object, or -1. */
json_int_t sup_json_int(const json_t *json, const char *path);

/* Sets a fault of a fake; the text is the body of POST /admin/fault. */
bool sup_set_fault(const char *address, const char *json);

/* Clears all faults of a fake. */
bool sup_clear_faults(const char *address);

/* How many requests a fake received by "METHOD route", see /admin/calls. */
json_int_t sup_count_calls(const char *address, const char *route);

/* Waits until that count is at least n; returns false at the bound. */
bool sup_wait_calls(const char *address, const char *route, json_int_t n,
		    unsigned bound_ms);

/* A request in the background. */
struct sup_request;

/* Starts a background request; the query is copied. */
struct sup_request *sup_send(const struct sup_query *query);

/*
 * Waits until the body contains a text n times. Returns false if the request
 * ends or the bound is reached before.
 */
bool sup_wait_body(struct sup_request *request, const char *text, unsigned n,
		   unsigned bound_ms);

/* A copy of the body so far; free with g_free(). */
char *sup_body(struct sup_request *request);

/* Whether the request has ended. */
bool sup_is_done(struct sup_request *request);

/* Waits for the end; frees the request. answer may be NULL. */
void sup_finish(struct sup_request *request, struct sup_answer *answer);

/* Closes the connection and frees the request. */
void sup_abort(struct sup_request *request);

#endif
