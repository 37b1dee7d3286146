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
/* A datagram with more targets would be fragmented. */
#define MAX_REPORT_TARGETS 60
#define KILO 1000.0

struct peer_load {
	uint64_t target;
	struct flt_load load;
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
	/* Elements are struct peer_load, included in the targets' totals. */
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

/* Adds (sign 1) or subtracts (sign -1) a peer's load at its targets. */
static void adjust_target_loads(struct prs_peers *peers, struct peer *peer,
				int sign)
{
	guint i;

	for (i = 0; i < peer->loads->len; i++) {
		const struct peer_load *entry =
			&g_array_index(peer->loads, struct peer_load, i);
		struct flt_target *target =
			flt_find_by_hash(peers->config.fleet, entry->target);
		struct flt_load *sum;

		if (!target)
			continue;
		sum = &target->others;
		sum->in_flight = (unsigned)MAX(
			0, (int)sum->in_flight +
				   sign * (int)entry->load.in_flight);
		sum->on_path = (unsigned)MAX(
			0, (int)sum->on_path + sign * (int)entry->load.on_path);
		sum->token_layers = MAX(
			0, sum->token_layers + sign * entry->load.token_layers);
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

static void replace_loads(struct prs_peers *peers, struct peer *peer,
			  const Wf__LoadReport *report)
{
	size_t i;

	adjust_target_loads(peers, peer, -1);
	g_array_set_size(peer->loads, 0);
	for (i = 0; i < report->n_targets; i++) {
		const Wf__TargetLoad *load = report->targets[i];
		struct peer_load entry = {load->target,
					  {load->in_flight, load->on_path,
					   load->kilo_token_layers * KILO}};

		g_array_append_val(peer->loads, entry);
	}
	adjust_target_loads(peers, peer, 1);
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

	if (report)
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
		replace_loads(peers, peer, report);
		apply_confirmation(peers, report);
	}
	if (report)
		wf__load_report__free_unpacked(report, NULL);
}

static clk_ms load_timeout(const struct peer *peer)
{
	return MAX(LOAD_TIMEOUT_MS,
		   LOAD_TIMEOUT_INTERVALS * peer->report_interval);
}

static void expire_list(struct prs_peers *peers, GPtrArray *list)
{
	clk_ms now = now_ms(peers);
	guint i = list->len;

	while (i-- > 0) {
		struct peer *peer = list->pdata[i];

		if (now - peer->received_at < load_timeout(peer))
			continue;
		adjust_target_loads(peers, peer, -1);
		g_array_set_size(peer->loads, 0);
		if (now - peer->received_at >= PEER_TIMEOUT_MS)
			g_ptr_array_remove_index(list, i);
	}
}

void prs_expire(struct prs_peers *peers)
{
	expire_list(peers, peers->local);
	expire_list(peers, peers->remote);
}

unsigned prs_count_instances(const struct prs_peers *peers)
{
	return 1 + peers->local->len + peers->remote->len;
}

static bool fill_load(const struct flt_target *target, Wf__TargetLoad *load)
{
	if (!target->on_path && !target->in_flight)
		return false;
	wf__target_load__init(load);
	load->target = target->id_hash;
	load->in_flight = target->in_flight;
	load->on_path = target->on_path;
	load->kilo_token_layers =
		(uint32_t)lround(MAX(target->used_token_layers, 0) / KILO);
	return true;
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
	const GPtrArray *targets = flt_targets(peers->config.fleet);
	Wf__LoadReport report = WF__LOAD_REPORT__INIT;
	Wf__TargetLoad loads[MAX_REPORT_TARGETS];
	Wf__TargetLoad *load_pointers[MAX_REPORT_TARGETS];
	guint i;

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
	for (i = 0; i < targets->len && report.n_targets < MAX_REPORT_TARGETS;
	     i++) {
		Wf__TargetLoad *load = &loads[report.n_targets];

		if (fill_load(targets->pdata[i], load))
			load_pointers[report.n_targets++] = load;
	}
	report.targets = load_pointers;
	return pack_report(&report);
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
