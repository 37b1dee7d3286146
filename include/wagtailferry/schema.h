#ifndef WAGTAILFERRY_SCHEMA_H
#define WAGTAILFERRY_SCHEMA_H

/*
 * sch: schema of the settings. Reads a JSON text into generated protobuf-c
 * structures by means of their descriptors.
 */

#include <protobuf-c/protobuf-c.h>

#include <schema/edge.pb-c.h>
#include <schema/settings.pb-c.h>
#include <wagtailferry/base.h>

/*
 * A restriction on one field that the descriptor does not express. For
 * integers min and max bound the value, for repeated fields the number of
 * entries. check (may be NULL) validates each string; expected completes the
 * error message "expected ...".
 */
struct sch_constraint {
	const ProtobufCMessageDescriptor *message;
	const char *field;
	uint64_t min;
	uint64_t max;
	bool (*check)(const char *text);
	const char *expected;
};

/*
 * Reads a JSON object into a new message of the given type. Rejects unknown
 * and duplicate keys, wrong types, missing required values and values out of
 * range with ERR_BAD_SETTINGS; the error message names the path of the key,
 * such as "curve.peers[2].id". Enumeration values are written in lower case.
 * Free the result with protobuf_c_message_free_unpacked(message, NULL).
 */
ProtobufCMessage *sch_load_json(const ProtobufCMessageDescriptor *descriptor,
				const char *text, size_t len,
				const struct sch_constraint *constraints,
				size_t n_constraints, GError **error);

/*
 * The contents of a file, to be freed with g_free(). Returns NULL and sets
 * ERR_IO if it can't be read.
 */
char *sch_read_file(const char *path, size_t *len, GError **error);

/*
 * Reads and checks the settings of an instance. Returns NULL and sets
 * ERR_BAD_SETTINGS if they are invalid. Free with sch_settings_free().
 */
Wf__Settings *sch_settings_parse(const char *text, size_t len, GError **error);

/*
 * The same for a file. ERR_IO if the file can't be read; the message of each
 * error starts with the file's name.
 */
Wf__Settings *sch_settings_read(const char *path, GError **error);

/* Frees settings; NULL is allowed. */
void sch_settings_free(Wf__Settings *settings);

/*
 * Splits "IP:port" or "[IPv6]:port". host receives the IP address without
 * brackets and has at least INET6_ADDRSTRLEN bytes. Returns false for anything
 * else, such as a host name.
 */
bool sch_split_address(const char *address, char *host, size_t host_size,
		       uint16_t *port);

/* Checks for struct sch_constraint. */
bool sch_is_address(const char *text);
bool sch_is_id(const char *text);

/*
 * The settings of an edge instance, read and checked as above. Free with
 * sch_edge_settings_free().
 */
Wf__EdgeSettings *sch_edge_settings_parse(const char *text, size_t len,
					  GError **error);
Wf__EdgeSettings *sch_edge_settings_read(const char *path, GError **error);
void sch_edge_settings_free(Wf__EdgeSettings *settings);

#endif
