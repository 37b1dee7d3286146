#ifndef MEM_PRIVATE_H
#define MEM_PRIVATE_H

#include <wagtailferry/member.h>

#include "schema/member.pb-c.h"

struct mem_entry {
	char *id;
	char *data_center;
	char *address;
	uint64_t incarnation;
	uint32_t refutation;
	enum wf_life life;
	clk_ms changed; /* time of the last change of life */
	bool listed;	/* in the latest instance list */
};

/* A probe that has not been acknowledged. */
struct mem_probe {
	uint64_t sequence;
	char *subject;
	char *requester;    /* of an indirect probe, else NULL */
	clk_ms indirect_at; /* CLK_NEVER once requested */
	clk_ms deadline;
};

/* An update queued to be piggybacked on messages. */
struct mem_queued_update {
	char *id; /* instance or target */
	bool is_target;
	uint64_t incarnation; /* of a target */
	enum wf_life life;    /* of a target */
	unsigned transmissions_left;
};

/* The newest update received about a target. */
struct mem_target_state {
	uint64_t incarnation;
	enum wf_life life;
	clk_ms received;
};

struct mem_members {
	struct wf_module module;
	struct mem_config config;
	GHashTable *entries;	/* id to struct mem_entry */
	GPtrArray *probe_order; /* ids, borrowed from entries */
	guint probe_cursor;
	struct mem_entry *self;
	GArray *probes;	     /* of struct mem_probe */
	GQueue updates;	     /* of struct mem_queued_update, newest first */
	GHashTable *targets; /* id to struct mem_target_state */
	uint64_t next_sequence;
	clk_ms next_probe;
	clk_ms next_list;
	bool view_changed;
};

/* mem_table.c */
struct mem_entry *mem_find(const struct mem_members *members, const char *id);
struct mem_entry *mem_add(struct wf_ctx *ctx, struct mem_members *members,
			  const char *id);
/* Applies an update; returns whether it was newer than the table. */
bool mem_apply_update(struct wf_ctx *ctx, struct mem_members *members,
		      const Wf__MemberUpdate *update);
void mem_set_life(struct wf_ctx *ctx, struct mem_members *members,
		  struct mem_entry *entry, enum wf_life life);
void mem_apply_list(struct wf_ctx *ctx, struct mem_members *members,
		    const struct wf_instance *list, size_t n);
void mem_expire_entries(struct wf_ctx *ctx, struct mem_members *members);
void mem_publish_view(struct wf_ctx *ctx, struct mem_members *members);

/* mem_gossip.c */
void mem_queue_update(struct mem_members *members, const char *id);
bool mem_apply_target_update(struct wf_ctx *ctx, struct mem_members *members,
			     const char *id, uint64_t incarnation,
			     enum wf_life life);
/* Sends a message that carries as many queued updates as fit. */
void mem_send(struct wf_ctx *ctx, struct mem_members *members, const char *to,
	      enum mem_kind kind, uint64_t sequence, const char *subject);
/* Sends queued updates to random instances without waiting for a probe. */
void mem_send_gossip(struct wf_ctx *ctx, struct mem_members *members);
/* Picks a random instance that is neither dead nor the excluded one. */
struct mem_entry *mem_pick_peer(struct wf_ctx *ctx, struct mem_members *members,
				const char *excluded);
void mem_queued_update_free(struct mem_queued_update *queued);

/* mem_probe.c */
void mem_probe_tick(struct wf_ctx *ctx, struct mem_members *members);
clk_ms mem_probe_wakeup(const struct mem_members *members);
void mem_probe_handle_ack(struct wf_ctx *ctx, struct mem_members *members,
			  uint64_t sequence, const char *from);
void mem_probe_indirect(struct wf_ctx *ctx, struct mem_members *members,
			const char *requester, uint64_t sequence,
			const char *subject);
void mem_probe_clear(struct mem_probe *probe);

#endif
