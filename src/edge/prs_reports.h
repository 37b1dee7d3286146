#ifndef EDGE_PRS_REPORTS_H
#define EDGE_PRS_REPORTS_H

/*
 * prs: peer reports, the exchange of target load between instances. Each
 * instance sends its load over UDP to a few peers ten times a second, mostly to
 * those in its own data centre, which use the same engines, and within a byte
 * rate limit. To another data centre it sends the summed load of its own one,
 * so that a few reports tell the load of all its instances. Peers are known
 * from the platform's store and from their reports. The load is a hint: it
 * affects the choice of a path, never whether a request may run.
 *
 * A report also carries the time since its sender confirmed that it has the
 * newest configuration. A receiver with the same version adopts that
 * confirmation, subtracting this age from the time of its own report that the
 * sender echoes, so that clock differences and delays can't make a
 * configuration look newer than it is.
 *
 * A report also carries evidence on prompt parts that crash engines, own and
 * learned, so that it reaches all instances.
 */

#include <uv.h>

#include <wagtailferry/fleet.h>
#include <wagtailferry/quarantine.h>

#include "edge/trn_turns.h"

struct prs_peers;

struct prs_config {
	uv_loop_t *loop;
	struct flt_fleet *fleet;
	const char *instance;
	const char *data_center;
	/* IP:port of the UDP socket. */
	const char *address;
	clk_ms (*now)(void *user);
	/* Returns the revision of the configuration's object in the store, or
	 * -1 for none, and sets the time at which it was last confirmed to be
	 * the newest. A version can be written twice, a revision can't. */
	int64_t (*config)(void *user, clk_ms *confirmed);
	/* A peer has confirmed that the revision was the newest at that
	 * time. */
	void (*confirm)(void *user, int64_t revision, clk_ms at);
	/* Evidence on prompt parts to be sent, and that of peers is added to
	 * it; may be NULL. */
	struct qtn_quarantine *quarantine;
	/* To which the time for received reports is added; may be NULL. */
	struct trn_turns *turns;
	void *user;
	struct ctr_set *counters;
};

/* Sets ERR_IO if the address is invalid or can't be bound. */
struct prs_peers *prs_new(const struct prs_config *config, GError **error);
void prs_drop(struct prs_peers *peers);

/* Adds or updates a peer from the store; ignores this instance's entry. */
void prs_add_peer(struct prs_peers *peers, const char *instance,
		  const char *data_center, const char *address);

/* Counts the instances not known to be dead, including this one. */
unsigned prs_count_instances(const struct prs_peers *peers);

/* Processes a received report. Called by the socket and by tests. */
void prs_receive(struct prs_peers *peers, const uint8_t *bytes, size_t len);

/* Builds a report of the current load for a peer; to be unreferenced. */
GBytes *prs_make_report(struct prs_peers *peers, const char *instance);

/* Sends the reports of one interval. Called by the timer and by tests. */
void prs_send_round(struct prs_peers *peers);

/* Removes the load of peers that stopped reporting, later the peers too. */
void prs_expire(struct prs_peers *peers);

#endif
