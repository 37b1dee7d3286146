#include <string.h>

#include <wagtailferry/core.h>

#include "daemon/net.h"
#include "edge/prs_private.h"

#define REPORT_INTERVAL_MS 100
#define DEFAULT_REPORT_AGE_MS 300
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
#define MAX_INTERVAL_MS (20 * CLK_SECOND)
/* A peer is removed after this time without a report. Until then a dead one is
 * counted as an instance, which only makes the shared budgets smaller. */
#define PEER_TIMEOUT_MS (60 * CLK_SECOND)
struct datagram {
	uv_udp_send_t request;
	GBytes *bytes;
};

static void peer_free(gpointer data)
{
	struct prs_peer *peer = data;

	g_free(peer->instance);
	g_free(peer->data_center);
	g_free(peer->address);
	g_array_unref(peer->loads);
	g_free(peer);
}

static struct prs_peer *find_in(GPtrArray *list, const char *instance)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		struct prs_peer *peer = list->pdata[i];

		if (!strcmp(peer->instance, instance))
			return peer;
	}
	return NULL;
}

static struct prs_peer *find_peer(struct prs_peers *peers, const char *instance)
{
	struct prs_peer *peer = find_in(peers->local, instance);

	return peer ? peer : find_in(peers->remote, instance);
}

static struct prs_peer *add_peer(struct prs_peers *peers, const char *instance,
				 const char *data_center, const char *address)
{
	struct prs_peer *peer = find_peer(peers, instance);
	bool is_local = !strcmp(data_center, peers->data_center);

	if (!strcmp(instance, peers->instance))
		return NULL;
	if (!peer) {
		peer = g_new0(struct prs_peer, 1);
		peer->instance = g_strdup(instance);
		peer->data_center = g_strdup(data_center);
		peer->loads = g_array_new(FALSE, TRUE, sizeof(struct prs_load));
		peer->received_at = prs_now(peers);
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

static bool is_valid_report(const Wf__LoadReport *report)
{
	return report->n_target == report->n_in_flight &&
	       report->n_target == report->n_on_path &&
	       report->n_target == report->n_kilo_token_layers &&
	       (report->n_target == report->n_prefill_ms ||
		!report->n_prefill_ms) &&
	       (report->n_target == report->n_long_percent ||
		!report->n_long_percent) &&
	       report->n_suspect_part == report->n_suspect_crash &&
	       report->n_suspect_part == report->n_suspect_age_ms &&
	       (report->n_suspect_part == report->n_suspect_flags ||
		!report->n_suspect_flags);
}

/* The peer reports after receiving the report of ours that it echoes, so the
 * echoed time minus the config age is no later than its confirmation. */
static void apply_confirmation(struct prs_peers *peers,
			       const Wf__LoadReport *report)
{
	if (!report->has_config_revision || !report->has_config_age_ms ||
	    !report->has_echo_ms ||
	    report->echo_incarnation != peers->incarnation ||
	    report->echo_ms > prs_now(peers))
		return;
	peers->config.confirm(peers->config.user, report->config_revision,
			      report->echo_ms - (clk_ms)report->config_age_ms);
}

static void merge_evidence(struct prs_peers *peers,
			   const Wf__LoadReport *report)
{
	struct qtn_record records[QTN_MAX_RECORDS];
	size_t n = MIN(report->n_suspect_part, QTN_MAX_RECORDS);
	size_t i;

	if (!peers->config.quarantine)
		return;
	for (i = 0; i < n; i++)
		records[i] = (struct qtn_record){
			report->suspect_part[i], report->suspect_crash[i],
			report->n_suspect_flags ? report->suspect_flags[i] : 0,
			report->suspect_age_ms[i]};
	qtn_merge(peers->config.quarantine, prs_now(peers), records,
		  (unsigned)n);
}

static void add_evidence(const struct prs_peers *peers, Wf__LoadReport *report,
			 struct prs_report_loads *out)
{
	struct qtn_record records[QTN_MAX_RECORDS];
	unsigned n = 0;
	unsigned i;

	if (peers->config.quarantine)
		n = qtn_export(peers->config.quarantine, prs_now(peers),
			       records);
	for (i = 0; i < n; i++) {
		out->suspect_part[i] = records[i].part;
		out->suspect_crash[i] = records[i].crash;
		out->suspect_age_ms[i] = (uint32_t)records[i].age;
		out->suspect_flags[i] = records[i].flags;
	}
	report->n_suspect_part = report->n_suspect_crash = n;
	report->n_suspect_age_ms = report->n_suspect_flags = n;
	report->suspect_part = out->suspect_part;
	report->suspect_crash = out->suspect_crash;
	report->suspect_age_ms = out->suspect_age_ms;
	report->suspect_flags = out->suspect_flags;
}

void prs_receive(struct prs_peers *peers, const uint8_t *bytes, size_t len)
{
	Wf__LoadReport *report = wf__load_report__unpack(NULL, len, bytes);
	struct prs_peer *peer = NULL;

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
		peer->received_at = prs_now(peers);
		peer->peer_sent_ms = report->sent_ms;
		peer->report_interval = (clk_ms)MIN(report->interval_ms,
						    (uint64_t)MAX_INTERVAL_MS);
		if (report->has_instances)
			prs_count_center(peers, peer, report);
		else
			prs_count_peer(peers, peer, report);
		apply_confirmation(peers, report);
		merge_evidence(peers, report);
	}
	if (report)
		wf__load_report__free_unpacked(report, NULL);
}

static void expire_list(struct prs_peers *peers, GPtrArray *list)
{
	clk_ms now = prs_now(peers);
	guint i = list->len;

	while (i-- > 0) {
		struct prs_peer *peer = list->pdata[i];

		if (!prs_is_expired(now, peer->received_at,
				    peer->report_interval))
			continue;
		prs_clear_loads(peers, peer->loads);
		if (now - peer->received_at >= PEER_TIMEOUT_MS)
			g_ptr_array_remove_index(list, i);
	}
}

void prs_expire(struct prs_peers *peers)
{
	expire_list(peers, peers->local);
	expire_list(peers, peers->remote);
	prs_expire_centers(peers);
}

unsigned prs_count_instances(const struct prs_peers *peers)
{
	return 1 + peers->local->len + peers->remote->len;
}

static void add_config(struct prs_peers *peers, Wf__LoadReport *report)
{
	clk_ms confirmed;
	int64_t revision = peers->config.config(peers->config.user, &confirmed);

	if (revision < 0)
		return;
	report->has_config_revision = 1;
	report->config_revision = revision;
	report->has_config_age_ms = 1;
	report->config_age_ms = (uint64_t)MAX(prs_now(peers) - confirmed, 0);
}

static GBytes *pack_report(const Wf__LoadReport *report)
{
	size_t len = wf__load_report__get_packed_size(report);
	uint8_t *bytes = g_malloc(len);

	wf__load_report__pack(report, bytes);
	return g_bytes_new_take(bytes, len);
}

static GBytes *make_report(struct prs_peers *peers, const struct prs_peer *peer)
{
	Wf__LoadReport report = WF__LOAD_REPORT__INIT;
	struct prs_report_loads loads;

	report.instance = peers->instance;
	report.data_center = peers->data_center;
	report.address = peers->address;
	report.incarnation = peers->incarnation;
	report.sequence = ++peers->sequence;
	report.sent_ms = prs_now(peers);
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
			(uint64_t)(prs_now(peers) - peer->last_sent_at);
	}
	prs_fill_report(peers,
			peer && strcmp(peer->data_center, peers->data_center),
			&report, &loads);
	add_evidence(peers, &report, &loads);
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

static void send_to(struct prs_peers *peers, struct prs_peer *peer)
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
	peer->last_sent_at = prs_now(peers);
	peers->send_budget -= (double)(len + HEADER_BYTES);
	ctr_add(peers->config.counters, "wf_peer_report_bytes_total",
		(int64_t)(len + HEADER_BYTES));
	if (uv_udp_send(&datagram->request, &peers->socket, &buffer, 1,
			(const struct sockaddr *)&peer->udp_address, on_sent))
		on_sent(&datagram->request, -1);
}

static void refill_budget(struct prs_peers *peers)
{
	clk_ms now = prs_now(peers);
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

/* Mean age of the local peers' reports just before the next ones. */
static clk_ms report_age(const struct prs_peers *peers)
{
	clk_ms sum = 0;
	guint i;

	if (!peers->local->len)
		return DEFAULT_REPORT_AGE_MS;
	for (i = 0; i < peers->local->len; i++) {
		const struct prs_peer *peer = peers->local->pdata[i];

		sum += peer->report_interval ? peer->report_interval
					     : DEFAULT_REPORT_AGE_MS;
	}
	return sum / peers->local->len;
}

static void on_timer(uv_timer_t *timer)
{
	struct prs_peers *peers = timer->data;

	prs_send_round(peers);
	prs_expire(peers);
	flt_set_peers(peers->config.fleet, prs_count_instances(peers),
		      report_age(peers));
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
	struct trn_turns *turns = peers->config.turns;
	enum trn_class before;

	if (n <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	before = trn_switch(turns, TRN_REPORTS, uv_hrtime());
	prs_receive(peers, (const uint8_t *)buffer->base, (size_t)n);
	trn_switch(turns, before, uv_hrtime());
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
	peers->incarnation = (uint64_t)prs_now(peers);
	peers->budget_updated_at = prs_now(peers);
	peers->local = g_ptr_array_new_with_free_func(peer_free);
	peers->remote = g_ptr_array_new_with_free_func(peer_free);
	peers->centers = g_ptr_array_new_with_free_func(prs_center_free);
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
