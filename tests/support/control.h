#ifndef CONTROL_H
#define CONTROL_H

/*
 * Instances with membership and rules distribution in the harness, and an
 * operator that publishes rules directly into its store.
 */

#include <wagtailferry/distribution.h>
#include <wagtailferry/member.h>

#include "support/sim.h"

struct control {
	struct sim *sim;
	struct rul_manifest *manifest; /* the newest published */
};

/* Instances in three data centres; the harness's defaults otherwise. */
struct control *control_new(unsigned n_instances, uint64_t seed);
void control_free(struct control *control);

void control_advance(struct control *control, clk_ms span);

/* Puts a text and its manifest into the store; returns the revision. */
uint64_t control_publish(struct control *control, const char *text);

/* The distribution module of a live instance. Borrowed. */
struct dst_distribution *control_rules(struct control *control, unsigned i);

/* Live instances that have the revision in force. */
unsigned control_count_in_force(struct control *control, uint64_t revision);

/*
 * Time until all live instances have the revision in force, -1 if that does
 * not happen within the limit.
 */
clk_ms control_time_to_revision(struct control *control, uint64_t revision,
				clk_ms limit);

/*
 * Has instance 0 spread the news that a target leaves; returns the time until
 * all others have heard it, -1 if that does not happen within the limit.
 */
clk_ms control_time_to_leaving(struct control *control, clk_ms limit);

/* A rules text of one route for each of n organisations. Caller frees. */
char *control_text(unsigned n_orgs, unsigned edited);

#endif
