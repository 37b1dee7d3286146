#include <math.h>
#include <string.h>

#include "edge/prs_private.h"

/* The load of a peer is dropped after this time without a report, or after
 * this many of its report intervals if that is longer. */
#define LOAD_TIMEOUT_MS 2500
#define LOAD_TIMEOUT_INTERVALS 3
/* A report on a data centre is ignored while a newer one than this covers
 * clearly more instances: its sender may be cut off from its peers. */
#define CENTER_REPORT_MS 1000
#define MIN_CENTER_FRACTION 0.75
#define KILO 1000.0
/* Above the requests of any target; the sum over all peers does not overflow.
 */
#define MAX_REPORTED_REQUESTS 1000000
/* A reported backlog above this is not distinguished. */
#define MAX_PREFILL_MS (10 * CLK_SECOND)
#define PERCENT 100.0
#define MIN_SHARE 0.001
/* Targets without requests are reported from this share on. */
#define MIN_REPORTED_SHARE 0.005
/* Above the share of any target. */
#define MAX_LONG_PERCENT 1000

clk_ms prs_now(const struct prs_peers *peers)
{
	return peers->config.now(peers->config.user);
}

bool prs_is_expired(clk_ms now, clk_ms received_at, clk_ms report_interval)
{
	return now - received_at >=
	       MAX(LOAD_TIMEOUT_MS, LOAD_TIMEOUT_INTERVALS * report_interval);
}

/* Shares are sums of fractions, of which the rounding would remain. */
static double clear_rounding(double share)
{
	return share > MIN_SHARE ? share : 0;
}

static void add_to(struct flt_load *sum, const struct flt_load *load)
{
	sum->in_flight += load->in_flight;
	sum->on_path += load->on_path;
	sum->token_layers += load->token_layers;
	sum->prefill_ms += load->prefill_ms;
	sum->long_share += load->long_share;
}

static void take_from(struct flt_load *sum, const struct flt_load *load)
{
	sum->in_flight -= MIN(sum->in_flight, load->in_flight);
	sum->on_path -= MIN(sum->on_path, load->on_path);
	sum->token_layers -= MIN(sum->token_layers, load->token_layers);
	sum->prefill_ms -= MIN(sum->prefill_ms, load->prefill_ms);
	sum->long_share = clear_rounding(sum->long_share - load->long_share);
}

/* Adds (sign 1) or subtracts (sign -1) load of others at its targets. */
static void adjust_target_loads(struct prs_peers *peers, const GArray *loads,
				int sign)
{
	guint i;

	for (i = 0; i < loads->len; i++) {
		const struct prs_load *entry =
			&g_array_index(loads, struct prs_load, i);
		struct flt_target *target =
			flt_find_by_hash(peers->config.fleet, entry->target);

		if (!target)
			continue;
		if (sign > 0)
			add_to(&target->others, &entry->load);
		else
			take_from(&target->others, &entry->load);
	}
}

void prs_clear_loads(struct prs_peers *peers, GArray *loads)
{
	adjust_target_loads(peers, loads, -1);
	g_array_set_size(loads, 0);
}

void prs_center_free(gpointer data)
{
	struct prs_center *center = data;

	g_free(center->name);
	g_array_unref(center->loads);
	g_free(center);
}

static struct prs_center *get_center(struct prs_peers *peers, const char *name)
{
	struct prs_center *center;
	guint i;

	for (i = 0; i < peers->centers->len; i++) {
		center = peers->centers->pdata[i];
		if (!strcmp(center->name, name))
			return center;
	}
	center = g_new0(struct prs_center, 1);
	center->name = g_strdup(name);
	center->loads = g_array_new(FALSE, TRUE, sizeof(struct prs_load));
	g_ptr_array_add(peers->centers, center);
	return center;
}

static double reported_prefill_ms(const Wf__LoadReport *report, size_t i)
{
	return report->n_prefill_ms ? MIN(report->prefill_ms[i], MAX_PREFILL_MS)
				    : 0;
}

static double reported_long_share(const Wf__LoadReport *report, size_t i)
{
	return report->n_long_percent
		       ? MIN(report->long_percent[i], MAX_LONG_PERCENT) /
				 PERCENT
		       : 0;
}

static void replace_loads(struct prs_peers *peers, GArray *loads,
			  const Wf__LoadReport *report)
{
	size_t i;

	prs_clear_loads(peers, loads);
	for (i = 0; i < report->n_target; i++) {
		struct prs_load entry = {report->target[i],
					 {report->in_flight[i],
					  report->on_path[i],
					  report->kilo_token_layers[i] * KILO,
					  reported_prefill_ms(report, i),
					  reported_long_share(report, i)}};

		g_array_append_val(loads, entry);
	}
	adjust_target_loads(peers, loads, 1);
}

void prs_count_center(struct prs_peers *peers, const struct prs_peer *peer,
		      const Wf__LoadReport *report)
{
	struct prs_center *center = get_center(peers, peer->data_center);
	clk_ms now = prs_now(peers);

	if (report->instances < MIN_CENTER_FRACTION * center->instances &&
	    now - center->received_at < CENTER_REPORT_MS)
		return;
	center->instances = report->instances;
	center->received_at = now;
	center->report_interval = peer->report_interval;
	replace_loads(peers, center->loads, report);
}

void prs_count_peer(struct prs_peers *peers, struct prs_peer *peer,
		    const Wf__LoadReport *report)
{
	replace_loads(peers, peer->loads, report);
}

void prs_expire_centers(struct prs_peers *peers)
{
	clk_ms now = prs_now(peers);
	guint i;

	for (i = 0; i < peers->centers->len; i++) {
		struct prs_center *center = peers->centers->pdata[i];

		if (!prs_is_expired(now, center->received_at,
				    center->report_interval))
			continue;
		prs_clear_loads(peers, center->loads);
		center->instances = 0;
	}
}

static void add_load(GHashTable *sums, uint32_t target,
		     const struct flt_load *load)
{
	gpointer key = GUINT_TO_POINTER(target);
	struct flt_load *sum = g_hash_table_lookup(sums, key);

	if (!sum) {
		sum = g_new0(struct flt_load, 1);
		g_hash_table_insert(sums, key, sum);
	}
	add_to(sum, load);
}

static void add_own_loads(const struct prs_peers *peers, GHashTable *sums)
{
	const GPtrArray *targets = flt_targets(peers->config.fleet);
	double now = (double)prs_now(peers);
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		struct flt_load load = {target->in_flight, target->on_path,
					MAX(target->used_token_layers, 0),
					MAX(target->prefill_until - now, 0),
					flt_long_share(target, prs_now(peers))};

		if (load.in_flight || load.on_path ||
		    load.long_share > MIN_REPORTED_SHARE)
			add_load(sums, target->id_hash, &load);
	}
}

/* Adds the load of the local peers and returns their number. */
static unsigned add_peer_loads(const struct prs_peers *peers, GHashTable *sums)
{
	clk_ms now = prs_now(peers);
	unsigned count = 0;
	guint i;
	guint j;

	for (i = 0; i < peers->local->len; i++) {
		const struct prs_peer *peer = peers->local->pdata[i];

		if (prs_is_expired(now, peer->received_at,
				   peer->report_interval))
			continue;
		count++;
		for (j = 0; j < peer->loads->len; j++) {
			const struct prs_load *entry =
				&g_array_index(peer->loads, struct prs_load, j);

			add_load(sums, entry->target, &entry->load);
		}
	}
	return count;
}

static int compare_loads(gconstpointer a, gconstpointer b)
{
	const struct prs_load *left = a;
	const struct prs_load *right = b;

	if (left->load.on_path != right->load.on_path)
		return left->load.on_path > right->load.on_path ? -1 : 1;
	return left->target < right->target ? -1 : left->target > right->target;
}

/* Lists the summed loads, the largest first. */
static GArray *list_loads(GHashTable *sums)
{
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct prs_load));
	GHashTableIter iter;
	gpointer key;
	gpointer sum;

	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &key, &sum)) {
		struct prs_load entry = {GPOINTER_TO_UINT(key),
					 *(struct flt_load *)sum};

		g_array_append_val(loads, entry);
	}
	g_array_sort(loads, compare_loads);
	if (loads->len > PRS_MAX_TARGETS)
		g_array_set_size(loads, PRS_MAX_TARGETS);
	return loads;
}

static void add_loads(Wf__LoadReport *report, struct prs_report_loads *out,
		      GHashTable *sums)
{
	GArray *loads = list_loads(sums);
	guint i;

	for (i = 0; i < loads->len; i++) {
		const struct prs_load *entry =
			&g_array_index(loads, struct prs_load, i);

		out->target[i] = entry->target;
		out->in_flight[i] = entry->load.in_flight;
		out->on_path[i] = entry->load.on_path;
		out->kilo_token_layers[i] =
			(uint32_t)lround(entry->load.token_layers / KILO);
		out->prefill_ms[i] = (uint32_t)lround(
			MIN(entry->load.prefill_ms, MAX_PREFILL_MS));
		out->long_percent[i] = (uint32_t)lround(
			PERCENT * MIN(entry->load.long_share,
				      MAX_LONG_PERCENT / PERCENT));
	}
	report->n_target = report->n_in_flight = loads->len;
	report->n_on_path = report->n_kilo_token_layers = loads->len;
	report->n_prefill_ms = loads->len;
	report->prefill_ms = out->prefill_ms;
	report->n_long_percent = loads->len;
	report->long_percent = out->long_percent;
	report->target = out->target;
	report->in_flight = out->in_flight;
	report->on_path = out->on_path;
	report->kilo_token_layers = out->kilo_token_layers;
	g_array_unref(loads);
}

void prs_fill_report(const struct prs_peers *peers, bool for_other_center,
		     Wf__LoadReport *report, struct prs_report_loads *out)
{
	GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);

	add_own_loads(peers, sums);
	if (for_other_center) {
		report->has_instances = 1;
		report->instances = 1 + add_peer_loads(peers, sums);
	}
	add_loads(report, out, sums);
	g_hash_table_unref(sums);
}
