#ifndef WAGTAILFERRY_AUDIT_H
#define WAGTAILFERRY_AUDIT_H

/*
 * aud: the part of the audit trail that instances write: the orders given to
 * targets. Entries wait in memory until they are appended to the newest
 * segment in the store. Publishing adds an entry for each rules revision.
 */

#include <wagtailferry/core.h>
#include <wagtailferry/state.h>

struct aud_config {
	clk_ms flush_delay; /* entries of this span share one write */
	clk_ms store_timeout;
	clk_ms retry_delay;   /* after a failure, plus as much at random */
	unsigned max_waiting; /* entries in memory; else drops the oldest */
};

/* Defaults for every field. */
void aud_config_init(struct aud_config *config);

struct aud_trail;

/* A NULL config means the defaults. */
struct aud_trail *aud_new(struct wf_ctx *ctx, const struct aud_config *config);

/* The module; takes TICK and STORE_REPLY. */
struct wf_module *aud_module(struct aud_trail *trail);

/* The sink in which duties record their orders. Borrowed. */
struct aud_sink *aud_get_sink(struct aud_trail *trail);

/* Whether no entry waits to be stored. */
bool aud_is_idle(const struct aud_trail *trail);

#endif
