#ifndef WAGTAILFERRY_MEMBER_H
#define WAGTAILFERRY_MEMBER_H

/*
 * Membership of the router instances: probing with suspicion (after SWIM:
 * Das, Gupta, Motivala, 2002), eager forwarding of news and the instance
 * list as seed. The cost for each instance does not depend on their number.
 */

#include <wagtailferry/core.h>

/* Peer message kinds of this area. */
enum mem_kind {
	MEM_KIND_PING = 1,
	MEM_KIND_ACK,
	MEM_KIND_PING_REQUEST,
	MEM_KIND_INDIRECT_ACK,
	MEM_KIND_GOSSIP,
};

/* What membership carries for other modules. All functions may be NULL. */
struct mem_hooks {
	/* The revision of the rules in force. */
	uint64_t (*rules_revision)(void *user);
	/* A peer has stated its rules revision. */
	void (*heard_revision)(struct wf_ctx *ctx, void *user, const char *peer,
			       uint64_t revision);
	/* A peer has stated that a target is leaving or gone. */
	void (*heard_target)(struct wf_ctx *ctx, void *user, const char *target,
			     uint64_t incarnation, enum wf_life life);
	void *user;
};

struct mem_config {
	clk_ms probe_interval;	  /* between two probes of this instance */
	clk_ms probe_timeout;	  /* before indirect probes are asked for */
	unsigned indirect_probes; /* helpers asked for one probe */
	clk_ms suspicion_timeout; /* before a suspect is declared dead */
	clk_ms dead_retention;	  /* how long a dead entry is remembered */
	clk_ms list_interval;	  /* shortest time between list fetches */
	clk_ms list_interval_per_peer; /* added for each known instance */
	unsigned fanout; /* peers told of news at once, beyond ln(n) */
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
 * Spreads the news that a target is leaving or dead; the news is forwarded
 * eagerly and repeated on probes.
 */
void mem_announce_target(struct wf_ctx *ctx, struct mem_members *members,
			 const char *target, uint64_t incarnation,
			 enum wf_life life);

/* Known instances that the list names but that are dead by evidence. */
unsigned mem_count_dead_listed(const struct mem_members *members);

/* What the table says of an instance; WF_LIFE_DEAD if it is unknown. */
enum wf_life mem_get_life(const struct mem_members *members, const char *id);

/* Appends the table as a JSON array. */
void mem_write_status(const struct mem_members *members, GString *out);

#endif
