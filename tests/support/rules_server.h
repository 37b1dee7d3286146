#ifndef RULES_SERVER_H
#define RULES_SERVER_H

/*
 * An object API over the store of rules_store.h on a loopback port, and the
 * status page of an instance, for tests of the operators' command.
 */

#include "rules_store.h"

struct rsv_server;

/* Starts on a free port. The store is used under a lock. */
struct rsv_server *rsv_new(struct rst_store *store);
void rsv_drop(struct rsv_server *server);

/* "127.0.0.1:PORT"; borrowed. */
const char *rsv_address(const struct rsv_server *server);

/* Applies a fault to the next n puts of an object with that prefix. */
void rsv_fault_puts(struct rsv_server *server, const char *prefix,
		    enum rst_fault fault, unsigned n);

/* From the next put of an object with the prefix on, answers nothing. */
void rsv_silence_after(struct rsv_server *server, const char *prefix);

/* The status page reports the revision before the latest for n requests. */
void rsv_lag_status(struct rsv_server *server, unsigned n);

/* Waits until a watch request has arrived. */
void rsv_await_watch(struct rsv_server *server);

/* Runs a function on the store before the next put of the manifest. */
void rsv_before_manifest(struct rsv_server *server,
			 void (*run)(struct rst_store *store));

/* Runs a function on the store now and wakes the watches. */
void rsv_run(struct rsv_server *server, void (*run)(struct rst_store *store));

#endif
