#ifndef WF_FAKES_STORE_H
#define WF_FAKES_STORE_H

/* store: fake of the platform's object API. */

#include "server.h"

#define STORE_VALUE_MAX ((size_t)1048576)

/* Token bucket with a capacity of one second's requests. */
struct store_rate {
	double rate; /* per second; 0: unlimited */
	double level;
	int64_t filled_us;
};

struct store_object {
	char *path; /* "kind/name" */
	uint64_t version;
	GBytes *value;	      /* NULL if deleted */
	uint64_t old_version; /* before the last write; 0 if there was none */
	GBytes *old_value;
};

struct store_counters {
	uint64_t writes; /* executed, including conflicts */
	uint64_t conflicts;
	uint64_t reads;
	uint64_t lists;
	uint64_t watches;
	uint64_t rate_limited;
	uint64_t bytes_written;
	uint64_t bytes_read;
};

struct store {
	struct fk_server *server;
	GTree *objects; /* path -> struct store_object */
	uint64_t revision;
	GPtrArray *waiting; /* of struct store_watch */
	struct store_counters counters;
	struct store_rate writes;
	struct store_rate reads;
};

extern const struct fk_route store_routes[];

void store_init(struct store *store);

/* The object of a path, or NULL if it never existed. */
struct store_object *store_find(struct store *store, const char *path);

/* Stores a value, or deletes if it is NULL; returns the new version. */
uint64_t store_write(struct store *store, const char *path, GBytes *value);

/* Answers the watches that wait for a path. */
void store_notify(struct store *store, const char *path);

/* Whether a request is within the rate; answers 429 if it is not. */
bool store_check_rate(struct fk_call *call, struct store_rate *rate);

void store_handle_list(struct fk_call *call);
void store_handle_watch(struct fk_call *call);

#endif
