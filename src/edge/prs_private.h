#ifndef EDGE_PRS_PRIVATE_H
#define EDGE_PRS_PRIVATE_H

/* Internals of the peer reports. */

#include <schema/edge.pb-c.h>

#include "edge/prs_reports.h"

/* A datagram with more targets would be fragmented; those with the least load
 * are left out. */
#define PRS_MAX_TARGETS 140

struct prs_load {
	uint32_t target;
	struct flt_load load;
};

/* The load of all instances of another data centre, as any of them reported
 * it last. */
struct prs_center {
	char *name;
	unsigned instances;
	clk_ms received_at;
	clk_ms report_interval;
	/* Elements are struct prs_load, included in the targets' totals. */
	GArray *loads;
};

struct prs_peer {
	char *instance;
	char *data_center;
	char *address;
	struct sockaddr_in udp_address;
	uint64_t incarnation;
	uint64_t sequence;
	clk_ms received_at;
	/* Time of its last report by the peer's clock. */
	clk_ms peer_sent_ms;
	/* Interval stated in its last report. */
	clk_ms report_interval;
	/* When a report was last sent to it; 0 if never. */
	clk_ms last_sent_at;
	/* Elements are struct prs_load, included in the targets' totals; empty
	 * for peers of other data centres. */
	GArray *loads;
};

struct prs_peers {
	struct prs_config config;
	char *instance;
	char *data_center;
	char *address;
	uv_udp_t socket;
	uv_timer_t timer;
	bool is_dropped;
	int refs;
	uint64_t incarnation;
	uint64_t sequence;
	/* Of struct prs_peer: the own data centre's, and those of others. */
	GPtrArray *local;
	GPtrArray *remote;
	/* Of struct prs_center. */
	GPtrArray *centers;
	unsigned next_local;
	unsigned next_remote;
	unsigned send_slot;
	/* Token bucket of bytes, and when it was last refilled. */
	double send_budget;
	clk_ms budget_updated_at;
	/* Above the longest report. */
	char buffer[3200];
};

/* The parallel arrays of a report. */
struct prs_report_loads {
	uint32_t target[PRS_MAX_TARGETS];
	uint32_t in_flight[PRS_MAX_TARGETS];
	uint32_t on_path[PRS_MAX_TARGETS];
	uint32_t kilo_token_layers[PRS_MAX_TARGETS];
	uint32_t prefill_ms[PRS_MAX_TARGETS];
	uint32_t long_percent[PRS_MAX_TARGETS];
	uint64_t suspect_part[QTN_MAX_RECORDS];
	uint32_t suspect_crash[QTN_MAX_RECORDS];
	uint32_t suspect_age_ms[QTN_MAX_RECORDS];
	uint32_t suspect_flags[QTN_MAX_RECORDS];
};

clk_ms prs_now(const struct prs_peers *peers);

/* Whether the load of a report is too old to count. */
bool prs_is_expired(clk_ms now, clk_ms received_at, clk_ms report_interval);

/* Removes load from the targets' totals and from the array. */
void prs_clear_loads(struct prs_peers *peers, GArray *loads);

/* Counts a report of a peer of the own data centre, or of another one, in
 * place of the last one. */
void prs_count_peer(struct prs_peers *peers, struct prs_peer *peer,
		    const Wf__LoadReport *report);
void prs_count_center(struct prs_peers *peers, const struct prs_peer *peer,
		      const Wf__LoadReport *report);
/* Removes the load of data centres that stopped reporting. */
void prs_expire_centers(struct prs_peers *peers);
void prs_center_free(gpointer center);

/*
 * Fills a report with the own load, and with that of the local peers for a
 * receiver in another data centre. out must live as long as the report.
 */
void prs_fill_report(const struct prs_peers *peers, bool for_other_center,
		     Wf__LoadReport *report, struct prs_report_loads *out);

#endif
