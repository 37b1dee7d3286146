#include <math.h>
#include <string.h>

#include <wagtailferry/core.h>
#include <wagtailferry/fleet.h>

#include "forward/path_private.h"

/* Weight of the newest sample in the moving average of the response time. */
#define ANSWER_MS_WEIGHT 0.2
/* How long a target is avoided after a failure; doubled with each further
 * failure, up to MAX_AVOID_DOUBLINGS times. */
#define FAILURE_AVOID_MS 400
#define MAX_AVOID_DOUBLINGS 4
/* How long a target that is known to be down is avoided. The platform's list
 * drops a silent target after about three missed heartbeats. */
#define DOWN_AVOID_MS 5000
/* How long a draining target may still get requests. It finishes those that
 * arrive shortly after it has announced that it is draining, and gets them
 * only if no other target is left. */
#define DRAINING_GRACE_MS 1200
/* How long a removed target is remembered: a worker that said that it is
 * leaving may be listed again until its process ends. */
#define DEPARTED_KEEP_MS (10 * CLK_MINUTE)
/* How long a target that refused a request for lack of capacity is avoided;
 * some of its requests end in this time. */
#define FULL_AVOID_MS 400
#define MAX_FULL_MS 1600
/* Extra cost of a target in another data centre, in ms. */
#define OTHER_DATA_CENTER_MS 3.0
/* Response time assumed for a target that has not responded yet, in ms. */
#define DEFAULT_ANSWER_MS 50.0
#define AVOIDED_COST_MS 1e6
#define DRAINING_COST_MS 1e5

/* Time constant of the share of long prompts: much longer than the reports need
 * to reach all instances. */
#define LONG_SHARE_MS 5000.0

struct flt_fleet {
	GPtrArray *targets;
	GHashTable *by_id;
	GHashTable *by_hash;
	/* Removed targets by id; removed_at is when each was removed. */
	GHashTable *departed;
	uint64_t revision;
	unsigned sync_generation;
	struct lnk_budget links;
	/* Service name to struct uns_load. */
	GHashTable *unseen_loads;
	unsigned instances;
	clk_ms report_age;
};

struct flt_target *flt_target_new(void)
{
	struct flt_target *target = g_new0(struct flt_target, 1);

	target->refs = 1;
	return target;
}

struct flt_target *flt_target_keep(struct flt_target *target)
{
	if (target)
		target->refs++;
	return target;
}

void flt_target_drop(struct flt_target *target)
{
	if (!target || --target->refs)
		return;
	g_free(target->id);
	g_free(target->service);
	g_free(target->address);
	g_free(target->data_center);
	g_free(target->accelerator);
	g_free(target);
}

static void destroy_target(gpointer data)
{
	flt_target_drop(data);
}

struct flt_fleet *flt_new(void)
{
	struct flt_fleet *fleet = g_new0(struct flt_fleet, 1);

	fleet->targets = g_ptr_array_new_with_free_func(destroy_target);
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->by_hash = g_hash_table_new(NULL, NULL);
	fleet->departed = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						destroy_target);
	fleet->unseen_loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lnk_init(&fleet->links, 1, 0);
	return fleet;
}

void flt_drop(struct flt_fleet *fleet)
{
	if (!fleet)
		return;
	g_hash_table_unref(fleet->by_id);
	g_hash_table_unref(fleet->by_hash);
	g_hash_table_unref(fleet->departed);
	g_hash_table_unref(fleet->unseen_loads);
	g_ptr_array_unref(fleet->targets);
	g_free(fleet);
}

static bool ranges_equal(struct flt_range a, struct flt_range b)
{
	return a.first == b.first && a.end == b.end;
}

static void swap_strings(char **text, char **from)
{
	char *old = *text;

	*text = *from;
	*from = old;
}

static void set_leaving(struct flt_target *target, clk_ms now,
			enum flt_state state)
{
	if (target->state == FLT_READY && !target->said_leaving)
		target->leaving_since = now;
	target->state = state;
}

/* Clears the observations of the previous process with the same id. */
static void reset_process_state(struct flt_target *target)
{
	target->answer_ms = 0;
	target->avoid_until = 0;
	target->down_until = 0;
	target->ended_until = 0;
	target->failures = 0;
	target->ordered_until = 0;
	target->slowdown = 0;
	target->state = FLT_READY;
}

/* Forgets what the previous process with the same id said of itself. */
static void update_start(struct flt_target *known, int64_t started_at)
{
	if (started_at <= known->latest_start)
		return;
	known->latest_start = started_at;
	known->said_leaving = false;
	known->closed_until = 0;
}

/* The state of a known target after an entry of the list. */
static enum flt_state merged_state(const struct flt_target *known,
				   const struct flt_target *entry)
{
	if (known->said_leaving && entry->state == FLT_READY)
		return FLT_DRAINING;
	return entry->state;
}

static void merge_entry(struct flt_fleet *fleet, struct flt_target *known,
			clk_ms now, struct flt_target *entry)
{
	bool restarted = known->started_at != entry->started_at;
	enum flt_state state;

	update_start(known, entry->started_at);
	state = merged_state(known, entry);
	if (restarted || !ranges_equal(known->holds, entry->holds) ||
	    known->state != state ||
	    strcmp(known->address, entry->address) != 0)
		fleet->revision++;
	if (restarted)
		reset_process_state(known);
	if (state == FLT_READY)
		known->state = FLT_READY;
	else
		set_leaving(known, now, state);
	swap_strings(&known->service, &entry->service);
	swap_strings(&known->address, &entry->address);
	swap_strings(&known->data_center, &entry->data_center);
	swap_strings(&known->accelerator, &entry->accelerator);
	known->slots = entry->slots;
	known->started_at = entry->started_at;
	known->holds = entry->holds;
	known->seen_generation = fleet->sync_generation;
	known->removed_at = 0;
	if (ranges_equal(known->holds, known->ordered))
		known->ordered_until = 0;
	flt_target_drop(entry);
}

/* Applies what a removed target said of itself to its new entry. */
static void restore_departed(struct flt_fleet *fleet, struct flt_target *entry)
{
	struct flt_target *departed =
		g_hash_table_lookup(fleet->departed, entry->id);

	entry->latest_start = entry->started_at;
	if (!departed)
		return;
	if (entry->started_at <= departed->latest_start) {
		entry->latest_start = departed->latest_start;
		entry->said_leaving = departed->said_leaving;
		entry->leaving_since = departed->leaving_since;
		entry->closed_since = departed->closed_since;
		entry->closed_until = departed->closed_until;
		entry->state = merged_state(entry, entry);
	}
	g_hash_table_remove(fleet->departed, entry->id);
}

void flt_upsert(struct flt_fleet *fleet, clk_ms now, struct flt_target *entry)
{
	struct flt_target *known = flt_find(fleet, entry->id);

	if (known) {
		merge_entry(fleet, known, now, entry);
		return;
	}
	entry->seen_generation = fleet->sync_generation;
	entry->id_hash = (uint32_t)wf_hash(entry->id, strlen(entry->id), 0);
	restore_departed(fleet, entry);
	if (entry->state != FLT_READY && !entry->said_leaving)
		entry->leaving_since = now;
	g_ptr_array_add(fleet->targets, entry);
	g_hash_table_insert(fleet->by_id, entry->id, entry);
	g_hash_table_insert(fleet->by_hash, GUINT_TO_POINTER(entry->id_hash),
			    entry);
	fleet->revision++;
}

static void delete_target(struct flt_fleet *fleet, clk_ms now,
			  struct flt_target *target)
{
	set_leaving(target, now, FLT_REMOVED);
	g_hash_table_remove(fleet->by_id, target->id);
	g_hash_table_remove(fleet->by_hash, GUINT_TO_POINTER(target->id_hash));
	target->removed_at = now;
	g_hash_table_replace(fleet->departed, target->id,
			     flt_target_keep(target));
	g_ptr_array_remove(fleet->targets, target);
	fleet->revision++;
}

void flt_remove(struct flt_fleet *fleet, clk_ms now, const char *id,
		clk_ms keep_until)
{
	struct flt_target *target = flt_find(fleet, id);

	if (!target)
		return;
	if (keep_until <= now || now < target->down_until)
		delete_target(fleet, now, target);
	else if (!target->removed_at)
		target->removed_at = keep_until;
}

void flt_sync_begin(struct flt_fleet *fleet)
{
	fleet->sync_generation++;
}

void flt_sync_end(struct flt_fleet *fleet, clk_ms now, clk_ms keep_until)
{
	guint i = fleet->targets->len;

	while (i-- > 0) {
		struct flt_target *target = fleet->targets->pdata[i];

		if (target->seen_generation != fleet->sync_generation)
			flt_remove(fleet, now, target->id, keep_until);
	}
}

static gboolean is_departed_expired(gpointer id, gpointer target, gpointer now)
{
	(void)id;
	return *(clk_ms *)now - ((struct flt_target *)target)->removed_at >
	       DEPARTED_KEEP_MS;
}

void flt_expire(struct flt_fleet *fleet, clk_ms now)
{
	guint i = fleet->targets->len;

	g_hash_table_foreach_remove(fleet->departed, is_departed_expired, &now);
	while (i-- > 0) {
		struct flt_target *target = fleet->targets->pdata[i];

		if (target->removed_at && target->removed_at <= now)
			delete_target(fleet, now, target);
	}
}

struct flt_target *flt_find(const struct flt_fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

struct flt_target *flt_find_by_address(const struct flt_fleet *fleet,
				       const char *address)
{
	guint i;

	for (i = 0; i < fleet->targets->len; i++) {
		struct flt_target *target = fleet->targets->pdata[i];

		if (!strcmp(target->address, address))
			return target;
	}
	return NULL;
}

struct flt_target *flt_find_by_hash(const struct flt_fleet *fleet,
				    uint32_t hash)
{
	return g_hash_table_lookup(fleet->by_hash, GUINT_TO_POINTER(hash));
}

uint64_t flt_revision(const struct flt_fleet *fleet)
{
	return fleet->revision;
}

const GPtrArray *flt_targets(const struct flt_fleet *fleet)
{
	return fleet->targets;
}

bool flt_is_routable(const struct flt_target *target, clk_ms now)
{
	if (target->state == FLT_READY)
		return true;
	return target->state == FLT_DRAINING &&
	       now - target->leaving_since < DRAINING_GRACE_MS;
}

/* Finds the process, which may have been removed from the list; NULL if it has
 * restarted since. */
static struct flt_target *find_process(struct flt_fleet *fleet, const char *id,
				       int64_t started_at)
{
	struct flt_target *target = flt_find(fleet, id);

	if (!target)
		target = g_hash_table_lookup(fleet->departed, id);
	return target && started_at >= target->latest_start ? target : NULL;
}

bool flt_mark_leaving(struct flt_fleet *fleet, clk_ms now, const char *id,
		      int64_t started_at)
{
	struct flt_target *target = find_process(fleet, id, started_at);

	if (!target || target->said_leaving)
		return false;
	if (target->state == FLT_READY) {
		set_leaving(target, now, FLT_DRAINING);
		fleet->revision++;
	}
	target->said_leaving = true;
	return true;
}

bool flt_is_closed(const struct flt_target *target, clk_ms now)
{
	return now < target->closed_until;
}

bool flt_may_send(const struct flt_target *target, clk_ms now)
{
	return flt_is_routable(target, now) && !flt_is_closed(target, now);
}

bool flt_mark_closed(struct flt_fleet *fleet, clk_ms now, const char *id,
		     int64_t started_at, clk_ms span)
{
	struct flt_target *target = find_process(fleet, id, started_at);
	bool is_new = target && !flt_is_closed(target, now);

	if (!target)
		return false;
	if (is_new)
		target->closed_since = now;
	target->closed_until = MAX(target->closed_until, now + span);
	return is_new;
}

static bool is_any_closed(const struct flt_fleet *fleet, clk_ms now)
{
	guint i;

	for (i = 0; i < fleet->targets->len; i++) {
		if (flt_is_closed(fleet->targets->pdata[i], now))
			return true;
	}
	return false;
}

clk_ms flt_closed_time(const struct flt_fleet *fleet, clk_ms now,
		       const char *service, unsigned layers)
{
	/* A plain target counts as the holder of one layer. */
	unsigned n = MAX(layers, 1);
	clk_ms *opens;
	clk_ms longest = 0;
	unsigned layer;
	guint i;

	if (!is_any_closed(fleet, now))
		return 0;
	opens = g_new(clk_ms, n);
	for (layer = 0; layer < n; layer++)
		opens[layer] = CLK_NEVER;
	for (i = 0; i < fleet->targets->len; i++) {
		const struct flt_target *target = fleet->targets->pdata[i];
		struct flt_range range = {0, 1};

		if (strcmp(target->service, service) != 0 ||
		    !flt_is_routable(target, now))
			continue;
		if (layers)
			range = target->holds;
		for (layer = range.first; layer < MIN(range.end, n); layer++)
			opens[layer] = MIN(opens[layer],
					   MAX(target->closed_until, now));
	}
	for (layer = 0; layer < n; layer++)
		longest = MAX(longest, opens[layer]);
	g_free(opens);
	return longest == CLK_NEVER ? 0 : longest - now;
}

static double long_work(const struct flt_target *target, clk_ms now)
{
	double age = (double)MAX(now - target->long_work_at, 0);

	return target->long_work * exp(-age / LONG_SHARE_MS);
}

void flt_add_long_prefill(struct flt_target *target, clk_ms now, double ms)
{
	target->long_work = long_work(target, now) + ms;
	target->long_work_at = now;
}

double flt_long_share(const struct flt_target *target, clk_ms now)
{
	return long_work(target, now) / LONG_SHARE_MS;
}

void flt_record_response(struct flt_target *target, clk_ms now, clk_ms took)
{
	double sample = (double)took;

	(void)now;
	flt_mark_up(target);
	if (target->answer_ms <= 0)
		target->answer_ms = sample;
	else
		target->answer_ms +=
			ANSWER_MS_WEIGHT * (sample - target->answer_ms);
}

void flt_record_failure(struct flt_target *target, clk_ms now)
{
	unsigned doublings = MIN(target->failures, MAX_AVOID_DOUBLINGS);

	target->failures++;
	target->avoid_until =
		MAX(target->avoid_until, now + (FAILURE_AVOID_MS << doublings));
}

void flt_mark_down(struct flt_target *target, clk_ms now)
{
	target->failures++;
	target->avoid_until = now + DOWN_AVOID_MS;
	target->down_until = now + DOWN_AVOID_MS;
}

void flt_mark_ended(struct flt_target *target, clk_ms now)
{
	flt_mark_down(target, now);
	target->ended_until = target->down_until;
}

bool flt_has_ended(const struct flt_target *target, clk_ms now)
{
	return target->state == FLT_REMOVED || now < target->ended_until;
}

bool flt_was_down_since(const struct flt_target *target, clk_ms now,
			clk_ms since)
{
	return now < target->down_until &&
	       target->down_until - DOWN_AVOID_MS >= since;
}

void flt_mark_up(struct flt_target *target)
{
	target->failures = 0;
	target->avoid_until = 0;
	target->down_until = 0;
	target->ended_until = 0;
}

void flt_mark_full(struct flt_target *target, clk_ms now)
{
	target->avoid_until = MAX(target->avoid_until, now + FULL_AVOID_MS);
}

void flt_mark_no_room(struct flt_target *target, clk_ms now)
{
	flt_mark_full(target, now);
	/* Refusals of sends that were under way together count once. */
	if (now < target->full_until)
		return;
	if (now - target->full_until >= target->full_span)
		target->full_span = FULL_AVOID_MS;
	else
		target->full_span = MIN(2 * target->full_span, MAX_FULL_MS);
	target->full_until = now + target->full_span;
}

void flt_set_peers(struct flt_fleet *fleet, unsigned instances,
		   clk_ms report_age)
{
	GHashTableIter iter;
	gpointer load;

	fleet->instances = instances;
	fleet->report_age = report_age;
	lnk_set_instances(&fleet->links, instances);
	g_hash_table_iter_init(&iter, fleet->unseen_loads);
	while (g_hash_table_iter_next(&iter, NULL, &load))
		uns_set_peers(load, instances, report_age);
}

void flt_set_phase(struct flt_fleet *fleet, double phase)
{
	fleet->links.phase = phase;
}

struct lnk_budget *flt_links(struct flt_fleet *fleet)
{
	return &fleet->links;
}

clk_ms flt_report_age(const struct flt_fleet *fleet)
{
	return fleet->report_age;
}

struct uns_load *flt_unseen_load(struct flt_fleet *fleet, const char *service)
{
	struct uns_load *load =
		g_hash_table_lookup(fleet->unseen_loads, service);

	if (!load) {
		load = g_new(struct uns_load, 1);
		uns_init(load);
		uns_set_peers(load, fleet->instances, fleet->report_age);
		g_hash_table_insert(fleet->unseen_loads, g_strdup(service),
				    load);
	}
	return load;
}

static bool contains_target(const GPtrArray *targets,
			    const struct flt_target *target)
{
	guint i;

	for (i = 0; targets && i < targets->len; i++) {
		if (targets->pdata[i] == target)
			return true;
	}
	return false;
}

static double selection_cost(const struct flt_target *target, clk_ms now,
			     const char *data_center)
{
	double answer =
		target->answer_ms > 0 ? target->answer_ms : DEFAULT_ANSWER_MS;
	double cost =
		answer * (1.0 + target->in_flight + target->others.in_flight);

	if (strcmp(target->data_center, data_center) != 0)
		cost += OTHER_DATA_CENTER_MS;
	if (target->state == FLT_DRAINING)
		cost += DRAINING_COST_MS;
	if (now < target->avoid_until)
		cost += AVOIDED_COST_MS;
	return cost;
}

struct flt_target *flt_select_target(struct flt_fleet *fleet, clk_ms now,
				     const char *service,
				     const char *data_center,
				     const GPtrArray *tried, uint32_t draw)
{
	struct flt_target *best = NULL;
	double best_cost = 0;
	guint n = fleet->targets->len;
	guint i;

	for (i = 0; i < n; i++) {
		/* Starting at a random target breaks ties evenly. */
		struct flt_target *target =
			fleet->targets->pdata[(i + draw) % n];
		double cost;

		if (strcmp(target->service, service) != 0 ||
		    !flt_may_send(target, now) ||
		    contains_target(tried, target))
			continue;
		cost = selection_cost(target, now, data_center);
		if (best && cost >= best_cost)
			continue;
		best = target;
		best_cost = cost;
	}
	return best;
}
