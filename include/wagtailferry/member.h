#ifndef WAGTAILFERRY_MEMBER_H
#define WAGTAILFERRY_MEMBER_H

/*
 * mem: membership of the router instances. Failure detection by probes with a
 * suspicion state (SWIM: Das, Gupta, Motivala, 2002), gossip that forwards new
 * updates at once, and the instance list as seed. The cost per
 * instance does not depend on their number.
 */

#include <wagtailferry/core.h>

/* Kinds of the peer messages of membership. */
enum mem_kind {
	MEM_KIND_PING = 1,
	MEM_KIND_ACK,
	MEM_KIND_PING_REQUEST,
	MEM_KIND_INDIRECT_ACK,
	MEM_KIND_GOSSIP,
};

/*
 * Callbacks for the data of other modules that membership messages carry. All
 * may be NULL.
 */
struct mem_hooks {
	/* Returns the rules revision in force. */
	uint64_t (*rules_revision)(void *user);
	/* A peer has reported its rules revision. */
	void (*on_peer_revision)(struct wf_ctx *ctx, void *user,
				 const char *peer, uint64_t revision);
	/* A peer has reported that a target is leaving or dead. */
	void (*on_target_update)(struct wf_ctx *ctx, void *user,
				 const char *target, uint64_t incarnation,
				 enum wf_life life);
	void *user;
};

struct mem_config {
	clk_ms probe_interval;	  /* between two probes by this instance */
	clk_ms probe_timeout;	  /* before indirect probes are requested */
	unsigned indirect_probes; /* peers asked to probe for this one */
	clk_ms suspicion_timeout; /* before a suspect is declared dead */
	clk_ms dead_retention;	  /* before a dead entry is removed */
	clk_ms list_interval;	  /* shortest time between list fetches */
	clk_ms list_interval_per_peer; /* added for each known instance */
	unsigned fanout; /* receivers of an update, in addition to ln(n) */
	struct mem_hooks hooks;
};

/* Defaults for every field; hooks are left empty. */
void mem_config_init(struct mem_config *config);

struct mem_members;

/*
 * A membership table that holds this instance only. address is this
 * instance's peer address. The module takes WF_EV_START, TICK, INSTANCES,
 * PEER (kinds 1-19) and DRAIN.
 */
struct mem_members *mem_new(struct wf_ctx *ctx, const char *address,
			    const struct mem_config *config);

/* The module interface of the table. Borrowed. */
struct wf_module *mem_module(struct mem_members *members);

/*
 * Announces that a target is leaving or dead. The update is sent to random
 * peers at once and repeated on probes.
 */
void mem_announce_target(struct wf_ctx *ctx, struct mem_members *members,
			 const char *target, uint64_t incarnation,
			 enum wf_life life);

/* The number of instances that are in the list, but detected as dead. */
unsigned mem_count_dead_listed(const struct mem_members *members);

/* The state of an instance in the table; WF_LIFE_DEAD if it is unknown. */
enum wf_life mem_get_life(const struct mem_members *members, const char *id);

/* Appends the table as a JSON array. */
void mem_write_status(const struct mem_members *members, GString *out);

#endif
