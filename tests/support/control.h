#ifndef CONTROL_H
#define CONTROL_H

/*
 * control: simulated instances that run membership and rules distribution,
 * and an operator that writes rules directly to the simulated store.
 */

#include <wagtailferry/distribution.h>
#include <wagtailferry/member.h>

#include "support/sim.h"

struct control {
	struct sim *sim;
	struct rul_manifest *manifest; /* the latest published */
};

/* Instances in nine data centres, with latencies between data centres. */
struct control *control_new(unsigned n_instances, uint64_t seed);
void control_free(struct control *control);

void control_advance(struct control *control, clk_ms span);

/* Writes a rules text and its manifest; returns the new revision. */
uint64_t control_publish(struct control *control, const char *text);

/* The distribution module of a live instance. Borrowed. */
struct dst_distribution *control_rules(struct control *control, unsigned i);

/* The number of live instances that have the revision in force. */
unsigned control_count_in_force(struct control *control, uint64_t revision);

/*
 * The time until all live instances have the revision in force, or -1 if the
 * limit is exceeded.
 */
clk_ms control_time_to_revision(struct control *control, uint64_t revision,
				clk_ms limit);

/*
 * Announces from instance 0 that a target is leaving. Returns the time until
 * all other instances know it, or -1 if the limit is exceeded.
 */
clk_ms control_time_to_leaving(struct control *control, clk_ms limit);

/*
 * A rules text with one route per organisation; the rate limit of the route
 * with index edited is one higher. Free with g_free().
 */
char *control_text(unsigned n_orgs, unsigned edited);

#endif
