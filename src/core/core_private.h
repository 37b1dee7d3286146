#ifndef CORE_PRIVATE_H
#define CORE_PRIVATE_H

/* core: connects the decision modules of one instance. */

#include <wagtailferry/audit.h>
#include <wagtailferry/core.h>
#include <wagtailferry/distribution.h>
#include <wagtailferry/limits.h>
#include <wagtailferry/member.h>
#include <wagtailferry/rules.h>
#include <wagtailferry/sched.h>
#include <wagtailferry/state.h>

/* A call from its arrival to its last reply. */
struct core_call {
	struct wf_call call; /* owned copy */
	uint64_t *prefix;
	unsigned tokens; /* delivered */
	clk_ms deadline;
	bool dispatched;
};

enum core_phase {
	CORE_STARTING,
	CORE_READY,
	CORE_LEAVING, /* not ready, but calls are still accepted */
	CORE_DRAINING,
	CORE_DONE,
};

struct wf_core {
	struct wf_ctx *ctx;
	struct wf_core_config config;
	struct mem_members *members;
	struct dst_distribution *distribution;
	struct lim_limits *limits;
	struct clm_claims *claims;
	struct tgt_table *targets;
	struct run_runs *runs;
	struct aud_trail *audit;
	struct dut_duties *duties;
	GPtrArray *modules; /* of struct wf_module, in order of delivery */
	GHashTable *calls;  /* id to struct core_call */
	GArray *instances;  /* latest list, of struct wf_instance, owned */
	GHashTable *target_lives; /* id to struct core_target_life */
	uint64_t list_revision;
	uint64_t applied_revision; /* rules applied to duties and list */
	bool list_changed;	   /* since its last delivery */
	enum core_phase phase;
	clk_ms grace_ends;
	clk_ms drain_ends;
};

/* Newest life state stated by the target or a peer; overrides the list. */
struct core_target_life {
	uint64_t incarnation;
	enum wf_life life;
};

/* core_calls.c */
void core_call_free(gpointer data);
void core_handle_call(struct wf_core *core, struct wf_call *call);
void core_handle_caller_gone(struct wf_core *core, uint64_t call_id);
/* Called for each action that leaves the core; ends calls at last replies. */
void core_observe_action(struct wf_core *core, const struct wf_action *action);
/* Callback of the limits module for a pending call. */
void core_handle_limit_decision(struct wf_ctx *ctx, void *user,
				uint64_t call_id, bool admitted,
				clk_ms retry_after);

/* core_targets.c */
void core_instances_free(GArray *instances);
void core_set_instances(struct wf_core *core, const struct wf_instance *list,
			size_t n, uint64_t revision);
/* Delivers a changed list, with the overrides by life states and rules. */
void core_deliver_instances(struct wf_core *core);
void core_handle_target_life(struct wf_ctx *ctx, void *user, const char *target,
			     uint64_t incarnation, enum wf_life life);
/* A target states in its load report that it is leaving. */
void core_handle_target_leaving(struct wf_core *core, const char *target);

/* core_duties.c */
/* Applies a new revision's lines about targets and orders. */
void core_apply_rules(struct wf_core *core);

/* core.c */
void core_broadcast(struct wf_core *core, const struct wf_event *event);
void core_deliver(struct wf_core *core, enum wf_module_id id,
		  const struct wf_event *event);

#endif
