#include <math.h>
#include <string.h>

#include <schema/edge.pb-c.h>
#include <wagtailferry/core.h>

#include "daemon/net.h"
#include "edge/prs.h"

#define REPORT_INTERVAL_MS 100
/* Reports of each interval, and every which one goes to another data centre. */
#define INTERVAL_REPORTS 5
#define FAR_TURN 5
/* Of the 22 KB/s that control may use on a node (letter 1); watches, store
 * calls and reports of engines take the rest. */
#define REPORT_BYTES_PER_S 12000
/* Allowance that is saved up, in ms of it. */
#define MAX_SAVED_MS 500
/* IPv4 and UDP. */
#define HEADER_BYTES 28
/* A peer that was silent for so long uses nothing any more, or for so many of
 * the intervals that it states. */
#define SILENT_MS 2500
#define SILENT_INTERVALS 3
#define MAX_INTERVAL_MS (20 * CLK_SECOND)
/* A peer that never reported, or is silent for so long, is not counted as an
 * instance. Dead ones that count only make budgets smaller. */
#define FORGET_MS (60 * CLK_SECOND)
/* Datagrams above this would be fragmented. */
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
	struct sockaddr_in to;
	uint64_t incarnation;
	uint64_t sequence;
	clk_ms heard_at;
	/* Time at the peer's clock in its last report. */
	clk_ms sent_at;
	/* Between its reports, by its last one. */
	clk_ms interval;
	/* When it was sent a report; 0 before the first. */
	clk_ms told_at;
	/* Of struct peer_load, as counted at the targets. */
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
	/* Of struct peer. */
	GPtrArray *near;
	GPtrArray *far;
	unsigned next_near;
	unsigned next_far;
	unsigned turn;
	/* Bytes that may be sent, and when they were last added to. */
	double allowance;
	clk_ms allowed_at;
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

/* Adds or takes away what a peer uses. */
static void count_loads(struct prs_peers *peers, struct peer *peer, int sign)
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
	struct peer *peer = find_in(peers->near, instance);

	return peer ? peer : find_in(peers->far, instance);
}

static struct peer *add_peer(struct prs_peers *peers, const char *instance,
			     const char *data_center, const char *address)
{
	struct peer *peer = find_peer(peers, instance);
	bool is_near = !strcmp(data_center, peers->data_center);

	if (!strcmp(instance, peers->instance))
		return NULL;
	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->instance = g_strdup(instance);
		peer->data_center = g_strdup(data_center);
		peer->loads =
			g_array_new(FALSE, TRUE, sizeof(struct peer_load));
		peer->heard_at = now_ms(peers);
		g_ptr_array_add(is_near ? peers->near : peers->far, peer);
	}
	if (!peer->address || strcmp(peer->address, address) != 0) {
		g_free(peer->address);
		peer->address = g_strdup(address);
		if (!net_parse_address(address, &peer->to))
			peer->to.sin_port = 0;
	}
	return peer;
}

void prs_add(struct prs_peers *peers, const char *instance,
	     const char *data_center, const char *address)
{
	add_peer(peers, instance, data_center, address);
}

static void take_loads(struct prs_peers *peers, struct peer *peer,
		       const Wf__LoadReport *report)
{
	size_t i;

	count_loads(peers, peer, -1);
	g_array_set_size(peer->loads, 0);
	for (i = 0; i < report->n_targets; i++) {
		const Wf__TargetLoad *load = report->targets[i];
		struct peer_load entry = {load->target,
					  {load->in_flight, load->on_path,
					   load->kilo_token_layers * KILO}};

		g_array_append_val(peer->loads, entry);
	}
	count_loads(peers, peer, 1);
}

/* The peer's confirmation is at least as new as our report that it echoes. */
static void take_confirmation(struct prs_peers *peers,
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
		peer->heard_at = now_ms(peers);
		peer->sent_at = report->sent_ms;
		peer->interval = (clk_ms)MIN(report->interval_ms,
					     (uint64_t)MAX_INTERVAL_MS);
		take_loads(peers, peer, report);
		take_confirmation(peers, report);
	}
	if (report)
		wf__load_report__free_unpacked(report, NULL);
}

static clk_ms longest_silence(const struct peer *peer)
{
	return MAX(SILENT_MS, SILENT_INTERVALS * peer->interval);
}

static void expire_list(struct prs_peers *peers, GPtrArray *list)
{
	clk_ms now = now_ms(peers);
	guint i = list->len;

	while (i-- > 0) {
		struct peer *peer = list->pdata[i];

		if (now - peer->heard_at < longest_silence(peer))
			continue;
		count_loads(peers, peer, -1);
		g_array_set_size(peer->loads, 0);
		if (now - peer->heard_at >= FORGET_MS)
			g_ptr_array_remove_index(list, i);
	}
}

void prs_expire(struct prs_peers *peers)
{
	expire_list(peers, peers->near);
	expire_list(peers, peers->far);
}

unsigned prs_instances(const struct prs_peers *peers)
{
	return 1 + peers->near->len + peers->far->len;
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
	Wf__TargetLoad *pointers[MAX_REPORT_TARGETS];
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
		report.echo_ms = peer->sent_at;
	}
	if (peer && peer->told_at) {
		report.has_interval_ms = 1;
		report.interval_ms = (uint64_t)(now_ms(peers) - peer->told_at);
	}
	for (i = 0; i < targets->len && report.n_targets < MAX_REPORT_TARGETS;
	     i++) {
		Wf__TargetLoad *load = &loads[report.n_targets];

		if (fill_load(targets->pdata[i], load))
			pointers[report.n_targets++] = load;
	}
	report.targets = pointers;
	return pack_report(&report);
}

GBytes *prs_report(struct prs_peers *peers, const char *instance)
{
	return make_report(peers, find_peer(peers, instance));
}

static void on_sent(uv_udp_send_t *request, int status)
{
	struct datagram *datagram = request->data;

	/* A lost report is made up for by the next one. */
	(void)status;
	g_bytes_unref(datagram->bytes);
	g_free(datagram);
}

static void send_to(struct prs_peers *peers, struct peer *peer)
{
	struct datagram *datagram;
	gsize len;
	uv_buf_t buffer;

	if (!peer->to.sin_port)
		return;
	datagram = g_new0(struct datagram, 1);
	datagram->bytes = make_report(peers, peer);
	datagram->request.data = datagram;
	buffer.base = (char *)g_bytes_get_data(datagram->bytes, &len);
	buffer.len = len;
	peer->told_at = now_ms(peers);
	peers->allowance -= (double)(len + HEADER_BYTES);
	ctr_add(peers->config.counters, "wf_peer_report_bytes_total",
		(int64_t)(len + HEADER_BYTES));
	if (uv_udp_send(&datagram->request, &peers->socket, &buffer, 1,
			(const struct sockaddr *)&peer->to, on_sent))
		on_sent(&datagram->request, -1);
}

static void add_allowance(struct prs_peers *peers)
{
	clk_ms now = now_ms(peers);
	double passed = (double)MIN(now - peers->allowed_at, MAX_SAVED_MS);
	double most = REPORT_BYTES_PER_S * MAX_SAVED_MS / (double)CLK_SECOND;

	peers->allowance += REPORT_BYTES_PER_S * passed / (double)CLK_SECOND;
	peers->allowance = MIN(peers->allowance, most);
	peers->allowed_at = now;
}

void prs_send_round(struct prs_peers *peers)
{
	unsigned near = 0;
	unsigned far = 0;
	unsigned i;

	add_allowance(peers);
	for (i = 0; i < INTERVAL_REPORTS && peers->allowance > 0; i++) {
		bool is_far = peers->turn++ % FAR_TURN == 0;

		if (is_far && far < peers->far->len)
			send_to(peers, peers->far->pdata[(peers->next_far++) %
							 peers->far->len]);
		if (!is_far && near < peers->near->len)
			send_to(peers, peers->near->pdata[(peers->next_near++) %
							  peers->near->len]);
		far += is_far;
		near += !is_far;
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
	g_ptr_array_unref(peers->near);
	g_ptr_array_unref(peers->far);
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
	peers->allowed_at = now_ms(peers);
	peers->near = g_ptr_array_new_with_free_func(peer_free);
	peers->far = g_ptr_array_new_with_free_func(peer_free);
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
