#ifndef EDGE_PRS_H
#define EDGE_PRS_H

/*
 * Peers: the other instances, and what they use of the targets. Each sends
 * its load to a few peers ten times a second, mostly to those of its own data
 * centre, which use the same engines; less often where that would take more
 * than a fixed number of bytes a second. Peers are known from the platform's
 * store and from their reports. The load is a hint: it decides which path is
 * chosen and never whether a request may run.
 *
 * Reports also carry how long ago the sender knew its configuration to be the
 * newest. A receiver with the same version takes that over, counted from its
 * own last report that the sender has seen, so that neither clocks nor delays
 * make it look newer than it is.
 */

#include <uv.h>

#include <wagtailferry/fleet.h>

struct prs_peers;

struct prs_config {
	uv_loop_t *loop;
	struct flt_fleet *fleet;
	const char *instance;
	const char *data_center;
	/* "IP:port" to send from and to receive at. */
	const char *address;
	clk_ms (*now)(void *user);
	/* The configuration's version, -1 for none, and since when it is not
	 * known to be the newest. */
	int64_t (*config)(void *user, clk_ms *confirmed);
	/* A peer knew at that time that the version was the newest. */
	void (*confirm)(void *user, int64_t version, clk_ms at);
	void *user;
	struct ctr_set *counters;
};

/* Sets ERR_IO if the address can't be bound. */
struct prs_peers *prs_new(const struct prs_config *config, GError **error);
void prs_drop(struct prs_peers *peers);

/* A peer that the store lists; the own entry is ignored. */
void prs_add_peer(struct prs_peers *peers, const char *instance,
		  const char *data_center, const char *address);

/* Instances that are or may be alive, this one included. */
unsigned prs_count_instances(const struct prs_peers *peers);

/* Applies a report as if it had arrived. For the socket and for tests. */
void prs_receive(struct prs_peers *peers, const uint8_t *bytes, size_t len);

/* The report on the present own load, for one peer. To be unreferenced. */
GBytes *prs_make_report(struct prs_peers *peers, const char *instance);

/* Sends the reports of one interval. For the timer and for tests. */
void prs_send_round(struct prs_peers *peers);

/* Forgets the load of peers that are silent. */
void prs_expire(struct prs_peers *peers);

#endif
