#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

/*
 * kit: what the scripts of review/ share. One driver process plays the store,
 * the operator, the servers and the clients of a small deployment on loopback,
 * and starts the edges with the command of the deploy file. It uses only the
 * packages of the deploy file and none of the project's code.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#define KIT_HOST "ficu95.example"
#define KIT_MAX_BODY_BYTES 4194304
#define KIT_IDLE_TIMEOUT_MS 15000

/* Exit codes of a script. */
enum { KIT_HELD = 0, KIT_BROKEN = 1, KIT_NOT_RUN = 2 };

extern uv_loop_t *kit_loop;
/* False with TROUBLE=0: everything but the disruption. */
extern bool kit_trouble;

/* Opens record.txt in the folder argv[1]. Ends all edges after 110 s. */
void kit_open(int argc, char **argv);
/* Ends all edges and the process. */
void kit_finish(int code) __attribute__((noreturn));
/* Milliseconds since the start. */
int64_t kit_now(void);
/* Writes a line to record.txt, with the time. */
void kit_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Calls fn once, after the delay. */
void kit_after(int64_t delay_ms, void (*fn)(void *user), void *user);
void kit_run(void);

/* HTTP */

/* A request or an answer. Names of fields are in lower case. */
struct kit_message {
	char *method;
	char *path;
	int status;
	GHashTable *fields;
	/* All fields in order, "name: value" lines. */
	GString *head;
	GString *body;
	/* An answer that ended before it was whole. */
	bool is_cut;
};

const char *kit_field(const struct kit_message *message, const char *name);

struct kit_server;
struct kit_conn;

typedef void (*kit_request_fn)(struct kit_conn *conn,
			       struct kit_message *request, void *user);

/* Listens on a free port of the address. */
struct kit_server *kit_listen(const char *ip, kit_request_fn fn, void *user);
const char *kit_address(const struct kit_server *server);
/* A silent server reads and sends nothing; its kernel goes on. */
void kit_set_silent(struct kit_server *server, bool is_silent);
bool kit_is_silent(const struct kit_server *server);
void kit_send(struct kit_conn *conn, const char *bytes, size_t len);
void kit_send_text(struct kit_conn *conn, const char *text);
void kit_answer(struct kit_conn *conn, int status, const char *fields,
		const char *body, size_t len);
void kit_answer_json(struct kit_conn *conn, int status, json_t *body);
/* Ends the connection after what was sent. */
void kit_conn_cut(struct kit_conn *conn);
/* Closes the listener and all connections. */
void kit_stop(struct kit_server *server);
/* A reference keeps the memory, not the connection. */
struct kit_conn *kit_conn_keep(struct kit_conn *conn);
void kit_conn_drop(struct kit_conn *conn);
bool kit_conn_is_open(const struct kit_conn *conn);
unsigned kit_conn_number(const struct kit_conn *conn);

/* A client's connection. */
struct kit_client;

/* Called with the whole answer, or with is_cut if the connection ends first. */
typedef void (*kit_answer_fn)(struct kit_client *client,
			      struct kit_message *answer, void *user);

struct kit_client *kit_connect(const char *address);
/* One request at a time. */
void kit_request(struct kit_client *client, const char *bytes, size_t len,
		 kit_answer_fn fn, void *user);
bool kit_client_is_open(const struct kit_client *client);
void kit_client_close(struct kit_client *client);

/* The store and the operator */

void kit_open_store(void);
json_t *kit_object(const char *kind, const char *name);
/* Takes ownership of spec. The return is the acknowledgement. */
void kit_put(const char *kind, const char *name, json_t *spec);
void kit_delete(const char *kind, const char *name);

/* The entry of a worker of a plain service. */
void kit_put_worker(const char *id, const char *service, const char *address);
/* A start time for an entry, in ms since the epoch. */
json_int_t kit_born(void);

/* A route of the type for KIT_HOST; extra is merged into it, or NULL. */
json_t *kit_route(const char *prefix, const char *type, const char *service,
		  int max_attempts, json_t *extra);
/* Takes ownership of all arguments; tenants may be NULL. */
json_t *kit_config(int version, json_t *routes, json_t *services,
		   json_t *tenants);

/* Edges */

struct kit_edge;

/* Starts an edge with the settings that the template yields. */
struct kit_edge *kit_start_edge(const char *name, const char *ip);
const char *kit_front(const struct kit_edge *edge);
const char *kit_ready(const struct kit_edge *edge);
int kit_pid(const struct kit_edge *edge);
bool kit_is_running(const struct kit_edge *edge);
void kit_signal(struct kit_edge *edge, int signal);
/* Starts the process again, with the same settings. */
void kit_restart(struct kit_edge *edge);
/* Memory of the process in KB; 0 if it has ended. */
long kit_memory_kb(const struct kit_edge *edge);
#define KIT_MEMORY_MB 390

/* Asks for readiness until it is given, then calls fn; ends the script with
 * KIT_NOT_RUN after 15 s. */
void kit_await_ready(struct kit_edge *edge, void (*fn)(void *user), void *user);

#endif
