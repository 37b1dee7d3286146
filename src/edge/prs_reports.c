#include <math.h>
#include <string.h>

#include <schema/edge.pb-c.h>
#include <wagtailferry/core.h>

#include "daemon/net.h"
#include "edge/prs_reports.h"

#define REPORT_INTERVAL_MS 100
/* One report in REMOTE_REPORT_RATIO goes to another data centre. */
#define REPORTS_PER_INTERVAL 5
#define REMOTE_REPORT_RATIO 5
/* Share of the 22 KB/s limit on control traffic of a node; watches, store calls
 * and engine reports use the rest. */
#define REPORT_BYTES_PER_S 12000
/* Unused send budget accumulates for at most this time. */
#define MAX_BURST_MS 500
/* IPv4 and UDP headers. */
#define HEADER_BYTES 28
/* The load of a peer is dropped after this time without a report, or after
 * this many of its report intervals if that is longer. */
#define LOAD_TIMEOUT_MS 2500
#define LOAD_TIMEOUT_INTERVALS 3
#define MAX_INTERVAL_MS (20 * CLK_SECOND)
/* A peer is removed after this time without a report. Until then a dead one is
 * counted as an instance, which only makes the shared budgets smaller. */
#define PEER_TIMEOUT_MS (60 * CLK_SECOND)
/* A datagram with more targets would be fragmented; those with the least load
 * are left out. */
#define MAX_REPORT_TARGETS 140
/* A report on a data centre is ignored while a newer one than this covers
 * clearly more instances: its sender may be cut off from its peers. */
#define CENTER_REPORT_MS 1000
#define MIN_CENTER_FRACTION 0.75
#define KILO 1000.0
/* Above the requests of any target; the sum over all peers does not overflow.
 */
#define MAX_REPORTED_REQUESTS 1000000

struct peer_load {
	uint32_t target;
	struct flt_load load;
};

/* The load of all instances of another data centre, as any of them reported
 * it last. */
struct center {
	char *name;
	unsigned instances;
	clk_ms received_at;
	clk_ms report_interval;
	/* Elements are struct peer_load, included in the targets' totals. */
	GArray *loads;
};

struct peer {
	char *instance;
	char *data_center;
	char *address;
	struct sockaddr_in udp_address;
	uint64_t incarnation;
	uint64_t sequence;
	clk_ms received_at;
	/* Time of its last report by the peer's clock. */
	clk_ms peer_sent_ms;
	/* Interval stated in its last report. */
	clk_ms report_interval;
	/* When a report was last sent to it; 0 if never. */
	clk_ms last_sent_at;
	/* Elements are struct peer_load, included in the targets' totals; empty
	 * for peers of other data centres. */
	GArray *loads;
};

struct prs_peers {
	struct prs_config config;
	char *instance;
	char *data_center;
	char *address;
	uv_udp_t socket;
	uv_timer_t timer;
	bool is_dropped;
	int refs;
	uint64_t incarnation;
	uint64_t sequence;
	/* Of struct peer: the own data centre's, and those of others. */
	GPtrArray *local;
	GPtrArray *remote;
	/* Of struct center. */
	GPtrArray *centers;
	unsigned next_local;
	unsigned next_remote;
	unsigned send_slot;
	/* Token bucket of bytes, and when it was last refilled. */
	double send_budget;
	clk_ms budget_updated_at;
	char buffer[2048];
};

struct datagram {
	uv_udp_send_t request;
	GBytes *bytes;
};

static clk_ms now_ms(const struct prs_peers *peers)
{
	return peers->config.now(peers->config.user);
}

static void add_to(struct flt_load *sum, const struct flt_load *load)
{
	sum->in_flight += load->in_flight;
	sum->on_path += load->on_path;
	sum->token_layers += load->token_layers;
}

static void take_from(struct flt_load *sum, const struct flt_load *load)
{
	sum->in_flight -= MIN(sum->in_flight, load->in_flight);
	sum->on_path -= MIN(sum->on_path, load->on_path);
	sum->token_layers -= MIN(sum->token_layers, load->token_layers);
}

/* Adds (sign 1) or subtracts (sign -1) load of others at its targets. */
static void adjust_target_loads(struct prs_peers *peers, const GArray *loads,
				int sign)
{
	guint i;

	for (i = 0; i < loads->len; i++) {
		const struct peer_load *entry =
			&g_array_index(loads, struct peer_load, i);
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

static void peer_free(gpointer data)
{
	struct peer *peer = data;

	g_free(peer->instance);
	g_free(peer->data_center);
	g_free(peer->address);
	g_array_unref(peer->loads);
	g_free(peer);
}

static void center_free(gpointer data)
{
	struct center *center = data;

	g_free(center->name);
	g_array_unref(center->loads);
	g_free(center);
}

static struct center *get_center(struct prs_peers *peers, const char *name)
{
	struct center *center;
	guint i;

	for (i = 0; i < peers->centers->len; i++) {
		center = peers->centers->pdata[i];
		if (!strcmp(center->name, name))
			return center;
	}
	center = g_new0(struct center, 1);
	center->name = g_strdup(name);
	center->loads = g_array_new(FALSE, TRUE, sizeof(struct peer_load));
	g_ptr_array_add(peers->centers, center);
	return center;
}

static struct peer *find_in(GPtrArray *list, const char *instance)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		struct peer *peer = list->pdata[i];

		if (!strcmp(peer->instance, instance))
			return peer;
	}
	return NULL;
}

static struct peer *find_peer(struct prs_peers *peers, const char *instance)
{
	struct peer *peer = find_in(peers->local, instance);

	return peer ? peer : find_in(peers->remote, instance);
}

static struct peer *add_peer(struct prs_peers *peers, const char *instance,
			     const char *data_center, const char *address)
{
	struct peer *peer = find_peer(peers, instance);
	bool is_local = !strcmp(data_center, peers->data_center);

	if (!strcmp(instance, peers->instance))
		return NULL;
	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->instance = g_strdup(instance);
		peer->data_center = g_strdup(data_center);
		peer->loads =
			g_array_new(FALSE, TRUE, sizeof(struct peer_load));
		peer->received_at = now_ms(peers);
		g_ptr_array_add(is_local ? peers->local : peers->remote, peer);
	}
	if (!peer->address || strcmp(peer->address, address) != 0) {
		g_free(peer->address);
		peer->address = g_strdup(address);
		if (!net_parse_address(address, &peer->udp_address))
			peer->udp_address.sin_port = 0;
	}
	return peer;
}

void prs_add_peer(struct prs_peers *peers, const char *instance,
		  const char *data_center, const char *address)
{
	add_peer(peers, instance, data_center, address);
}

static void replace_loads(struct prs_peers *peers, GArray *loads,
			  const Wf__LoadReport *report)
{
	size_t i;

	adjust_target_loads(peers, loads, -1);
	g_array_set_size(loads, 0);
	for (i = 0; i < report->n_target; i++) {
		struct peer_load entry = {
			report->target[i],
			{report->in_flight[i], report->on_path[i],
			 report->kilo_token_layers[i] * KILO}};

		g_array_append_val(loads, entry);
	}
	adjust_target_loads(peers, loads, 1);
}

static void replace_center_loads(struct prs_peers *peers,
				 const struct peer *peer,
				 const Wf__LoadReport *report)
{
	struct center *center = get_center(peers, peer->data_center);
	clk_ms now = now_ms(peers);

	if (report->instances < MIN_CENTER_FRACTION * center->instances &&
	    now - center->received_at < CENTER_REPORT_MS)
		return;
	center->instances = report->instances;
	center->received_at = now;
	center->report_interval = peer->report_interval;
	replace_loads(peers, center->loads, report);
}

static bool is_valid_report(const Wf__LoadReport *report)
{
	return report->n_target == report->n_in_flight &&
	       report->n_target == report->n_on_path &&
	       report->n_target == report->n_kilo_token_layers;
}

/* The peer reports after receiving the report of ours that it echoes, so the
 * echoed time minus the config age is no later than its confirmation. */
static void apply_confirmation(struct prs_peers *peers,
			       const Wf__LoadReport *report)
{
	if (!report->has_config_version || !report->has_config_age_ms ||
	    !report->has_echo_ms ||
	    report->echo_incarnation != peers->incarnation ||
	    report->echo_ms > now_ms(peers))
		return;
	peers->config.confirm(peers->config.user, report->config_version,
			      report->echo_ms - (clk_ms)report->config_age_ms);
}

void prs_receive(struct prs_peers *peers, const uint8_t *bytes, size_t len)
{
	Wf__LoadReport *report = wf__load_report__unpack(NULL, len, bytes);
	struct peer *peer = NULL;

	if (report && is_valid_report(report))
		peer = add_peer(peers, report->instance, report->data_center,
				report->address);
	else
		ctr_add(peers->config.counters, "wf_peer_bad_reports_total", 1);
	if (peer && (report->incarnation > peer->incarnation ||
		     (report->incarnation == peer->incarnation &&
		      report->sequence > peer->sequence))) {
		peer->incarnation = report->incarnation;
		peer->sequence = report->sequence;
		peer->received_at = now_ms(peers);
		peer->peer_sent_ms = report->sent_ms;
		peer->report_interval = (clk_ms)MIN(report->interval_ms,
						    (uint64_t)MAX_INTERVAL_MS);
		if (report->has_instances)
			replace_center_loads(peers, peer, report);
		else
			replace_loads(peers, peer->loads, report);
		apply_confirmation(peers, report);
	}
	if (report)
		wf__load_report__free_unpacked(report, NULL);
}

static bool is_expired(clk_ms now, clk_ms received_at, clk_ms report_interval)
{
	return now - received_at >=
	       MAX(LOAD_TIMEOUT_MS, LOAD_TIMEOUT_INTERVALS * report_interval);
}

static void expire_list(struct prs_peers *peers, GPtrArray *list)
{
	clk_ms now = now_ms(peers);
	guint i = list->len;

	while (i-- > 0) {
		struct peer *peer = list->pdata[i];

		if (!is_expired(now, peer->received_at, peer->report_interval))
			continue;
		adjust_target_loads(peers, peer->loads, -1);
		g_array_set_size(peer->loads, 0);
		if (now - peer->received_at >= PEER_TIMEOUT_MS)
			g_ptr_array_remove_index(list, i);
	}
}

static void expire_centers(struct prs_peers *peers)
{
	clk_ms now = now_ms(peers);
	guint i;

	for (i = 0; i < peers->centers->len; i++) {
		struct center *center = peers->centers->pdata[i];

		if (!is_expired(now, center->received_at,
				center->report_interval))
			continue;
		adjust_target_loads(peers, center->loads, -1);
		g_array_set_size(center->loads, 0);
		center->instances = 0;
	}
}

void prs_expire(struct prs_peers *peers)
{
	expire_list(peers, peers->local);
	expire_list(peers, peers->remote);
	expire_centers(peers);
}

unsigned prs_count_instances(const struct prs_peers *peers)
{
	return 1 + peers->local->len + peers->remote->len;
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
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		struct flt_load load = {target->in_flight, target->on_path,
					MAX(target->used_token_layers, 0)};

		if (load.in_flight || load.on_path)
			add_load(sums, target->id_hash, &load);
	}
}

/* Adds the load of the local peers and returns their number. */
static unsigned add_peer_loads(const struct prs_peers *peers, GHashTable *sums)
{
	clk_ms now = now_ms(peers);
	unsigned count = 0;
	guint i;
	guint j;

	for (i = 0; i < peers->local->len; i++) {
		const struct peer *peer = peers->local->pdata[i];

		if (is_expired(now, peer->received_at, peer->report_interval))
			continue;
		count++;
		for (j = 0; j < peer->loads->len; j++) {
			const struct peer_load *entry = &g_array_index(
				peer->loads, struct peer_load, j);

			add_load(sums, entry->target, &entry->load);
		}
	}
	return count;
}

static int compare_loads(gconstpointer a, gconstpointer b)
{
	const struct peer_load *left = a;
	const struct peer_load *right = b;

	if (left->load.on_path != right->load.on_path)
		return left->load.on_path > right->load.on_path ? -1 : 1;
	return left->target < right->target ? -1 : left->target > right->target;
}

/* Lists the summed loads, the largest first. */
static GArray *list_loads(GHashTable *sums)
{
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct peer_load));
	GHashTableIter iter;
	gpointer key;
	gpointer sum;

	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &key, &sum)) {
		struct peer_load entry = {GPOINTER_TO_UINT(key),
					  *(struct flt_load *)sum};

		g_array_append_val(loads, entry);
	}
	g_array_sort(loads, compare_loads);
	if (loads->len > MAX_REPORT_TARGETS)
		g_array_set_size(loads, MAX_REPORT_TARGETS);
	return loads;
}

/* The parallel arrays of a report. */
struct report_loads {
	uint32_t target[MAX_REPORT_TARGETS];
	uint32_t in_flight[MAX_REPORT_TARGETS];
	uint32_t on_path[MAX_REPORT_TARGETS];
	uint32_t kilo_token_layers[MAX_REPORT_TARGETS];
};

static void add_loads(Wf__LoadReport *report, struct report_loads *out,
		      GHashTable *sums)
{
	GArray *loads = list_loads(sums);
	guint i;

	for (i = 0; i < loads->len; i++) {
		const struct peer_load *entry =
			&g_array_index(loads, struct peer_load, i);

		out->target[i] = entry->target;
		out->in_flight[i] = entry->load.in_flight;
		out->on_path[i] = entry->load.on_path;
		out->kilo_token_layers[i] =
			(uint32_t)lround(entry->load.token_layers / KILO);
	}
	report->n_target = report->n_in_flight = loads->len;
	report->n_on_path = report->n_kilo_token_layers = loads->len;
	report->target = out->target;
	report->in_flight = out->in_flight;
	report->on_path = out->on_path;
	report->kilo_token_layers = out->kilo_token_layers;
	g_array_unref(loads);
}

static void add_config(struct prs_peers *peers, Wf__LoadReport *report)
{
	clk_ms confirmed;
	int64_t version = peers->config.config(peers->config.user, &confirmed);

	if (version < 0)
		return;
	report->has_config_version = 1;
	report->config_version = version;
	report->has_config_age_ms = 1;
	report->config_age_ms = (uint64_t)MAX(now_ms(peers) - confirmed, 0);
}

static GBytes *pack_report(const Wf__LoadReport *report)
{
	size_t len = wf__load_report__get_packed_size(report);
	uint8_t *bytes = g_malloc(len);

	wf__load_report__pack(report, bytes);
	return g_bytes_new_take(bytes, len);
}

static GBytes *make_report(struct prs_peers *peers, const struct peer *peer)
{
	Wf__LoadReport report = WF__LOAD_REPORT__INIT;
	struct report_loads loads;
	GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GBytes *bytes;

	report.instance = peers->instance;
	report.data_center = peers->data_center;
	report.address = peers->address;
	report.incarnation = peers->incarnation;
	report.sequence = ++peers->sequence;
	report.sent_ms = now_ms(peers);
	add_config(peers, &report);
	if (peer && peer->incarnation) {
		report.has_echo_incarnation = 1;
		report.echo_incarnation = peer->incarnation;
		report.has_echo_ms = 1;
		report.echo_ms = peer->peer_sent_ms;
	}
	if (peer && peer->last_sent_at) {
		report.has_interval_ms = 1;
		report.interval_ms =
			(uint64_t)(now_ms(peers) - peer->last_sent_at);
	}
	add_own_loads(peers, sums);
	if (peer && strcmp(peer->data_center, peers->data_center) != 0) {
		report.has_instances = 1;
		report.instances = 1 + add_peer_loads(peers, sums);
	}
	add_loads(&report, &loads, sums);
	bytes = pack_report(&report);
	g_hash_table_unref(sums);
	return bytes;
}

GBytes *prs_make_report(struct prs_peers *peers, const char *instance)
{
	return make_report(peers, find_peer(peers, instance));
}

static void on_sent(uv_udp_send_t *request, int status)
{
	struct datagram *datagram = request->data;

	/* The next report replaces a lost one. */
	(void)status;
	g_bytes_unref(datagram->bytes);
	g_free(datagram);
}

static void send_to(struct prs_peers *peers, struct peer *peer)
{
	struct datagram *datagram;
	gsize len;
	uv_buf_t buffer;

	if (!peer->udp_address.sin_port)
		return;
	datagram = g_new0(struct datagram, 1);
	datagram->bytes = make_report(peers, peer);
	datagram->request.data = datagram;
	buffer.base = (char *)g_bytes_get_data(datagram->bytes, &len);
	buffer.len = len;
	peer->last_sent_at = now_ms(peers);
	peers->send_budget -= (double)(len + HEADER_BYTES);
	ctr_add(peers->config.counters, "wf_peer_report_bytes_total",
		(int64_t)(len + HEADER_BYTES));
	if (uv_udp_send(&datagram->request, &peers->socket, &buffer, 1,
			(const struct sockaddr *)&peer->udp_address, on_sent))
		on_sent(&datagram->request, -1);
}

static void refill_budget(struct prs_peers *peers)
{
	clk_ms now = now_ms(peers);
	double elapsed =
		(double)MIN(now - peers->budget_updated_at, MAX_BURST_MS);
	double max_budget =
		REPORT_BYTES_PER_S * MAX_BURST_MS / (double)CLK_SECOND;

	peers->send_budget += REPORT_BYTES_PER_S * elapsed / (double)CLK_SECOND;
	peers->send_budget = MIN(peers->send_budget, max_budget);
	peers->budget_updated_at = now;
}

void prs_send_round(struct prs_peers *peers)
{
	unsigned local = 0;
	unsigned remote = 0;
	unsigned i;

	refill_budget(peers);
	for (i = 0; i < REPORTS_PER_INTERVAL && peers->send_budget > 0; i++) {
		bool is_remote = peers->send_slot++ % REMOTE_REPORT_RATIO == 0;

		if (is_remote && remote < peers->remote->len)
			send_to(peers,
				peers->remote->pdata[(peers->next_remote++) %
						     peers->remote->len]);
		if (!is_remote && local < peers->local->len)
			send_to(peers,
				peers->local->pdata[(peers->next_local++) %
						    peers->local->len]);
		remote += is_remote;
		local += !is_remote;
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct prs_peers *peers = timer->data;

	prs_send_round(peers);
	prs_expire(peers);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct prs_peers *peers = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(peers->buffer, sizeof(peers->buffer));
}

static void on_datagram(uv_udp_t *socket, ssize_t n, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned flags)
{
	struct prs_peers *peers = socket->data;

	if (n > 0 && from && !(flags & UV_UDP_PARTIAL))
		prs_receive(peers, (const uint8_t *)buffer->base, (size_t)n);
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct prs_peers *peers = handle->data;

	if (--peers->refs)
		return;
	g_ptr_array_unref(peers->local);
	g_ptr_array_unref(peers->remote);
	g_ptr_array_unref(peers->centers);
	g_free(peers->instance);
	g_free(peers->data_center);
	g_free(peers->address);
	ctr_drop(peers->config.counters);
	g_free(peers);
}

struct prs_peers *prs_new(const struct prs_config *config, GError **error)
{
	struct prs_peers *peers = g_new0(struct prs_peers, 1);
	struct sockaddr_in address;
	int code = UV_EINVAL;

	peers->config = *config;
	ctr_keep(config->counters);
	peers->instance = g_strdup(config->instance);
	peers->data_center = g_strdup(config->data_center);
	peers->address = g_strdup(config->address);
	peers->incarnation = (uint64_t)now_ms(peers);
	peers->budget_updated_at = now_ms(peers);
	peers->local = g_ptr_array_new_with_free_func(peer_free);
	peers->remote = g_ptr_array_new_with_free_func(peer_free);
	peers->centers = g_ptr_array_new_with_free_func(center_free);
	peers->refs = 2;
	uv_udp_init(config->loop, &peers->socket);
	uv_timer_init(config->loop, &peers->timer);
	peers->socket.data = peers;
	peers->timer.data = peers;
	if (net_parse_address(config->address, &address))
		code = uv_udp_bind(&peers->socket,
				   (const struct sockaddr *)&address, 0);
	if (!code)
		code = uv_udp_recv_start(&peers->socket, on_alloc, on_datagram);
	if (code) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "can't bind %s: %s",
			    config->address, uv_strerror(code));
		prs_drop(peers);
		return NULL;
	}
	uv_timer_start(&peers->timer, on_timer, REPORT_INTERVAL_MS,
		       REPORT_INTERVAL_MS);
	return peers;
}

void prs_drop(struct prs_peers *peers)
{
	if (!peers || peers->is_dropped)
		return;
	peers->is_dropped = true;
	uv_close((uv_handle_t *)&peers->socket, on_handle_closed);
	uv_close((uv_handle_t *)&peers->timer, on_handle_closed);
}
