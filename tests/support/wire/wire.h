#ifndef WAGTAILFERRY_TESTS_WIRE_H
#define WAGTAILFERRY_TESTS_WIRE_H

/*
 * wire: loopback sockets for tests. A loop that runs until a condition holds, a
 * scripted TCP server, a raw TCP client and a fake core.
 */

#include <uv.h>

#include <wagtailferry/core.h>

#include "daemon/driver.h"

/* Loop */

struct wire_loop {
	uv_loop_t loop;
	uv_timer_t watchdog;
	uv_prepare_t check; /* of the condition, before the loop waits */
	bool (*condition)(void *user);
	void *user;
	bool expired;
	GArray *reserved; /* int: bound sockets */
};

void wire_open(struct wire_loop *wire);

/*
 * Reserves an address on which nothing listens; connections are refused. Until
 * wire_close() a server can listen on it with SO_REUSEADDR, and the system
 * gives its port to no other socket. Free with g_free().
 */
char *wire_reserve_address(struct wire_loop *wire);

/* Runs the loop until the condition holds; fails the test after 10 s. */
void wire_run_until(struct wire_loop *wire, bool (*condition)(void *user),
		    void *user);

/* Runs the loop for a time that does not depend on the loop's other timers. */
void wire_run_for(struct wire_loop *wire, clk_ms span);

/* Runs until all closed handles are gone; fails the test if some remain. */
void wire_close(struct wire_loop *wire);

/* Server */

struct wire_server;

struct wire_conn;

/* Called with each complete request: head, and body by Content-Length. */
typedef void (*wire_handler)(struct wire_conn *conn, const char *request,
			     void *user);

struct wire_server *wire_server_new(struct wire_loop *wire,
				    wire_handler handler, void *user);
/* Sets a handler for parts of a request: called with what has been received of
 * an incomplete one, after each read. */
void wire_server_on_part(struct wire_server *server, wire_handler handler);
const char *wire_server_address(const struct wire_server *server);
unsigned wire_server_requests(const struct wire_server *server);
unsigned wire_server_connections(const struct wire_server *server);
/* Closes all connections and the listener; wire_close() completes it. */
void wire_server_drop(struct wire_server *server);

/* The value of a request's header line, to be freed, or NULL. */
char *wire_header(const char *request, const char *name);

void wire_send(struct wire_conn *conn, const char *text);
void wire_send_bytes(struct wire_conn *conn, const char *bytes, size_t len);
/* Sends an answer with Content-Length. extra: header lines or "". */
void wire_answer(struct wire_conn *conn, int status, const char *extra,
		 const char *body);
/* The connection's number, unique in its server. */
uint64_t wire_serial(const struct wire_conn *conn);
/* Whether the connection is still open; conn may have been freed. */
bool wire_is_open(const struct wire_server *server,
		  const struct wire_conn *conn, uint64_t serial);
/* Closes the connection after the pending output. */
void wire_hang_up(struct wire_conn *conn);

/* Sends FIN, but goes on reading. */
void wire_end_output(struct wire_conn *conn);

/* Resets the connection (RST). */
void wire_reset(struct wire_conn *conn);
/* Sends last bytes, FIN and RST before the peer can read on. */
void wire_end_and_reset(struct wire_conn *conn, const char *last_bytes);

/* Client */

struct wire_client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	GString *received;
	char buffer[65536];
	bool connected;
	bool closed; /* by the other side */
	bool close_requested;
	const char *awaited; /* of wire_client_await() */
};

struct wire_client *wire_client_new(struct wire_loop *wire,
				    const char *address);
void wire_client_send(struct wire_client *client, const char *text);
void wire_client_send_bytes(struct wire_client *client, const void *data,
			    size_t len);
/* Stops and resumes reading. */
void wire_client_pause(struct wire_client *client);
void wire_client_resume(struct wire_client *client);
/* Runs the loop until the text has been received. */
void wire_client_await(struct wire_loop *wire, struct wire_client *client,
		       const char *text);
void wire_client_await_close(struct wire_loop *wire,
			     struct wire_client *client);
/* Closes; wire_close() releases it. */
void wire_client_drop(struct wire_client *client);

/* Fake core */

struct fake_core;

/* Handles an event by emitting actions with fake_core_emit(). */
typedef void (*fake_core_script)(struct fake_core *core,
				 const struct wf_event *event);

struct fake_core {
	struct drv_core base;
	GQueue *actions;
	fake_core_script script;
	void *user;
	unsigned events[WF_EV_DRAIN + 1]; /* number of each type */
	uint64_t last_call;		  /* id of the newest call */
	clk_ms wakeup;
	clk_ms now;
	bool ready;
};

struct fake_core *fake_core_new(fake_core_script script, void *user);
void fake_core_drop(struct fake_core *core);
/* Queues an action; takes over what it owns. */
void fake_core_emit(struct fake_core *core, struct wf_action *action);

#endif
