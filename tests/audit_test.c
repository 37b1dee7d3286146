/*
 * The audit trail of orders: every entry is stored exactly once even if writes
 * fail or race, and segments and memory stay bounded.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/audit.h>
#include <wagtailferry/rules.h>

#include "support/runner.h"
#include "support/sim.h"

#define N_INSTANCES 3

static struct wf_module *make_audit(struct wf_ctx *ctx, void *user)
{
	(void)user;
	return aud_module(aud_new(ctx, NULL));
}

static struct sim *audit_sim(uint64_t seed)
{
	struct sim_config config;

	sim_config_init(&config);
	config.seed = seed;
	config.n_instances = N_INSTANCES;
	config.n_targets = 0;
	config.make[0] = make_audit;
	config.n_modules = 1;
	return sim_new(&config);
}

static void record(struct sim *sim, unsigned i, uint64_t fence,
		   const char *detail)
{
	struct sim_instance *instance = &sim->instances[i];
	struct aud_trail *trail = instance->modules->pdata[0];
	struct aud_sink *sink = aud_get_sink(trail);
	struct aud_entry entry = {sim->now,   instance->id, "order",
				  "engine-1", detail,	    fence};

	sink->record(instance->ctx, sink, &entry);
	sim_run_actions(sim, i);
}

/* Counts the stored entries with that fencing number. */
static unsigned count_stored(struct sim *sim, uint64_t fence)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	unsigned n = 0;
	guint i;

	g_hash_table_iter_init(&iter, sim->objects);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct sim_object *object = value;
		struct rul_audit_segment *segment;

		ck_assert(g_str_has_prefix(name, RUL_AUDIT_KIND "/"));
		ck_assert_uint_le(g_bytes_get_size(object->value),
				  RUL_AUDIT_MAX_BYTES);
		segment = rul_audit_decode(object->value, NULL);
		ck_assert_ptr_nonnull(segment);
		for (i = 0; i < segment->entries->len; i++)
			n += g_array_index(segment->entries,
					   struct rul_audit_entry, i)
				     .fence == fence;
		rul_audit_free(segment);
	}
	return n;
}

/* Guards against entries lost or duplicated when writers race or fail. */
START_TEST(every_entry_is_stored_once_under_faults)
{
	struct sim *sim = audit_sim((uint64_t)_i + 1);
	uint64_t fence;

	sim->config.faults.store_unavailable = 0.1;
	sim->config.faults.store_lost_request = 0.1;
	sim->config.faults.store_lost_reply = 0.2;
	for (fence = 1; fence <= 30; fence++) {
		record(sim, (unsigned)(fence % N_INSTANCES), fence, "load m");
		sim_run_until(sim, sim->now + sim_random_span(sim, 800));
	}
	memset(&sim->config.faults, 0, sizeof(sim->config.faults));
	sim_run_until(sim, sim->now + CLK_MINUTE);
	for (fence = 1; fence <= 30; fence++)
		ck_assert_uint_eq(count_stored(sim, fence), 1);
	sim_free(sim);
}
END_TEST

/* Guards against a segment that grows above its size limit. */
START_TEST(full_segment_is_followed_by_a_new_one)
{
	struct sim *sim = audit_sim(1);
	char detail[4096];
	uint64_t fence;

	memset(detail, 'x', sizeof(detail));
	detail[sizeof(detail) - 1] = '\0';
	for (fence = 1; fence <= 150; fence++) {
		record(sim, 0, fence, detail);
		sim_run_until(sim, sim->now + CLK_SECOND);
	}
	sim_run_until(sim, sim->now + CLK_MINUTE);
	ck_assert_uint_ge(g_hash_table_size(sim->objects), 2);
	for (fence = 1; fence <= 150; fence++)
		ck_assert_uint_eq(count_stored(sim, fence), 1);
	sim_free(sim);
}
END_TEST

/* Guards against memory that grows without bound in a long outage. */
START_TEST(outage_keeps_a_bounded_number_of_entries)
{
	struct sim *sim = audit_sim(2);
	struct aud_trail *trail = sim->instances[0].modules->pdata[0];
	uint64_t fence;

	sim_store_outage(sim, CLK_HOUR);
	for (fence = 1; fence <= 1200; fence++)
		record(sim, 0, fence, "load m");
	ck_assert(!aud_is_idle(trail));
	ck_assert_int_eq(
		ctr_get(sim->instances[0].ctx->counters, "wf_audit_lost_total"),
		200);
	sim_run_until(sim, sim->now + CLK_HOUR + CLK_MINUTE);
	ck_assert(aud_is_idle(trail));
	ck_assert_uint_eq(count_stored(sim, 1), 0);
	ck_assert_uint_eq(count_stored(sim, 1200), 1);
	sim_free(sim);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("audit");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, every_entry_is_stored_once_under_faults, 0,
			    50);
	tcase_add_test(tcase, full_segment_is_followed_by_a_new_one);
	tcase_add_test(tcase, outage_keeps_a_bounded_number_of_entries);
	return sup_run_case("audit", tcase);
}
