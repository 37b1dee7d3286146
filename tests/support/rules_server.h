#ifndef RULES_SERVER_H
#define RULES_SERVER_H

/*
 * rsv: rules server. Serves the store of rules_store.h over the object API on
 * a loopback port, and an instance's status page, for tests of the operators'
 * command.
 */

#include "rules_store.h"

struct rsv_server;

/* Starts on a free port. The server's threads lock the store. */
struct rsv_server *rsv_new(struct rst_store *store);
void rsv_drop(struct rsv_server *server);

/* "127.0.0.1:PORT"; borrowed. */
const char *rsv_address(const struct rsv_server *server);

/* Applies a fault to the next n puts of an object with that prefix. */
void rsv_fault_puts(struct rsv_server *server, const char *prefix,
		    enum rst_fault fault, unsigned n);

/* Answers nothing from the next put of an object with the prefix on. */
void rsv_silence_after(struct rsv_server *server, const char *prefix);

/* Answers each request with the same bytes, from that put on. */
void rsv_break_after(struct rsv_server *server, const char *prefix,
		     const char *answer);

/* The next n status pages report the revision before the latest. */
void rsv_lag_status(struct rsv_server *server, unsigned n);

/* Waits until a watch request has arrived. */
void rsv_await_watch(struct rsv_server *server);

/* Runs a function on the store before the next put of the manifest. */
void rsv_before_manifest(struct rsv_server *server,
			 void (*run)(struct rst_store *store));

/* Runs a function on the store now and wakes the watches. */
void rsv_run(struct rsv_server *server, void (*run)(struct rst_store *store));

#endif
