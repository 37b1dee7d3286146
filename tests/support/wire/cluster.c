#include "cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

/* Below the ephemeral port range of the system. */
#define FIRST_PORT 20000
#define N_PORTS 12000

static const char default_rules[] =
	"route org=any model=" CLU_MODEL " deadline=30s # anna\n"
	"route org=any service=booking deadline=10s # anna\n";

static const char *const data_centers[] = {"uppsala", "gavle", "falun"};

static bool is_free(unsigned port)
{
	struct sockaddr_in in = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool free = bind(fd, (struct sockaddr *)&in, sizeof(in)) == 0;

	close(fd);
	return free;
}

static void find_address(char *out, size_t size)
{
	static unsigned next;
	unsigned port;

	if (!next)
		next = (unsigned)getpid() * 37;
	do
		port = FIRST_PORT + next++ % N_PORTS;
	while (!is_free(port));
	g_snprintf(out, (gulong)size, "127.0.0.1:%u", port);
}

void clu_config_init(struct clu_config *config, unsigned n_entries)
{
	unsigned i;

	memset(config, 0, sizeof(*config));
	config->n_entries = n_entries;
	config->n_engines = 3;
	for (i = 0; i < 3; i++) {
		config->ranges[i].first_layer = 20 * i;
		config->ranges[i].last_layer = 20 * i + 19;
	}
}

/* Fakes */

static void start_engine(struct clu_cluster *cluster, unsigned i)
{
	const struct clu_config *config = &cluster->config;
	const struct clu_range *range = &config->ranges[i];
	char *words = g_strdup_printf(
		"--id engine-%u --model %s --n-layers %u --first-layer %u "
		"--last-layer %u --slots 128 --queue-limit 1000 --step-us %u "
		"--kv-blocks 100000 --list %s",
		i + 1, CLU_MODEL, CLU_N_LAYERS, range->first_layer,
		range->last_layer, config->step_us ? config->step_us : 2000,
		cluster->list.address);
	char **args = g_strsplit(words, " ", 0);

	ck_assert(sup_start_fake(&cluster->engines[i], "engine",
				 (const char *const *)args));
	g_strfreev(args);
	g_free(words);
}

static void start_fakes(struct clu_cluster *cluster)
{
	static const char *const service_args[] = {"--status", NULL};
	bool status = !cluster->config.service_has_no_status;
	unsigned i;

	ck_assert(sup_start_fake(&cluster->store, "store", NULL));
	ck_assert(sup_start_fake(&cluster->list, "list", NULL));
	ck_assert(sup_start_fake(&cluster->service, "service",
				 status ? service_args : NULL));
	for (i = 0; i < cluster->config.n_engines; i++)
		start_engine(cluster, i);
}

/* Instance list */

static json_t *instance_json(const char *id, const char *role,
			     const char *address)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "id", id, "role",
			 role, "state", "live", "address", address,
			 "peer_address", "", "data_center", data_centers[0],
			 "incarnation", (json_int_t)1796370000000);
}

static json_t *entry_json(const struct clu_entry *entry, unsigned i)
{
	json_t *json = instance_json(entry->id, "entry", entry->caller);

	json_object_set_new(json, "peer_address", json_string(entry->peer));
	json_object_set_new(json, "data_center",
			    json_string(data_centers[i % 3]));
	return json;
}

static json_t *engine_json(struct clu_cluster *cluster, unsigned i)
{
	const struct clu_range *range = &cluster->config.ranges[i];
	char *id = g_strdup_printf("engine-%u", i + 1);
	json_t *json = instance_json(id, "engine", cluster->engines[i].address);
	json_t *more = json_pack(
		"{s:s,s:i,s:i,s:i,s:i,s:i,s:s,s:b,s:b}", "serves", CLU_MODEL,
		"n_layers", CLU_N_LAYERS, "first_layer",
		(int)range->first_layer, "last_layer", (int)range->last_layer,
		"slots", 128, "step_us",
		(int)(cluster->config.step_us ? cluster->config.step_us : 2000),
		"accelerator", "a100", "checks_fencing", 1, "checks_sender", 0);

	if (cluster->leaving[i])
		json_object_set_new(json, "state", json_string("leaving"));
	json_object_update(json, more);
	json_decref(more);
	g_free(id);
	return json;
}

static json_t *service_json(struct clu_cluster *cluster)
{
	json_t *json =
		instance_json("booking-1", "service", cluster->service.address);
	json_t *more =
		json_pack("{s:s,s:i,s:b}", "serves", "booking", "slots", 64,
			  "has_status", !cluster->config.service_has_no_status);

	json_object_update(json, more);
	json_decref(more);
	return json;
}

void clu_publish_list(struct clu_cluster *cluster)
{
	json_t *instances = json_array();
	json_t *json = json_pack("{s:o}", "instances", instances);
	char *text;
	unsigned i;

	for (i = 0; i < cluster->config.n_entries; i++)
		json_array_append_new(instances,
				      entry_json(&cluster->entries[i], i));
	for (i = 0; i < cluster->config.n_engines; i++)
		json_array_append_new(instances, engine_json(cluster, i));
	json_array_append_new(instances, service_json(cluster));
	text = json_dumps(json, 0);
	ck_assert_int_eq(
		sup_post(cluster->list.address, "/admin/instances", text), 200);
	free(text);
	json_decref(json);
}

/* Entries */

static json_t *peers_json(struct clu_cluster *cluster, unsigned self)
{
	json_t *peers = json_array();
	unsigned i;

	for (i = 0; i < cluster->config.n_entries; i++) {
		const struct clu_entry *entry = &cluster->entries[i];

		if (i == self)
			continue;
		json_array_append_new(peers, json_pack("{s:s,s:s}", "id",
						       entry->id, "public_key",
						       entry->public_key));
	}
	return peers;
}

static json_t *org_json(const char *org)
{
	char *token = g_strdup_printf("token-%s", org);
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	json_t *json = json_pack("{s:s,s:s}", "id", org, "token_sha256", hash);

	g_free(hash);
	g_free(token);
	return json;
}

static char *write_settings(struct clu_cluster *cluster, unsigned i)
{
	const struct clu_entry *entry = &cluster->entries[i];
	json_t *curve = json_pack(
		"{s:s,s:s,s:o}", "secret_key", entry->secret_key, "public_key",
		entry->public_key, "peers", peers_json(cluster, i));
	json_t *json = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:o,s:[s],s:s,s:[o,o],s:s,s:i}",
		"instance", entry->id, "data_center", data_centers[i % 3],
		"caller_address", entry->caller, "operator_address",
		entry->operator_, "peer_address", entry->peer, "curve", curve,
		"object_api", cluster->store.address, "instance_list",
		cluster->list.address, "organizations", org_json("a"),
		org_json("b"), "log",
		g_getenv("WF_TEST_LOG") ? "STDERR" : "NONE", "seed",
		(int)i + 1);
	char *text = json_dumps(json, 0);
	char *path = clu_write_file(cluster, entry->id, text);

	free(text);
	json_decref(json);
	return path;
}

static void prepare_entry(struct clu_cluster *cluster, unsigned i)
{
	struct clu_entry *entry = &cluster->entries[i];

	g_snprintf(entry->id, sizeof(entry->id), "entry-%u", i + 1);
	find_address(entry->caller, sizeof(entry->caller));
	find_address(entry->operator_, sizeof(entry->operator_));
	find_address(entry->peer, sizeof(entry->peer));
	ck_assert_int_eq(
		zmq_curve_keypair(entry->public_key, entry->secret_key), 0);
}

void clu_start_entry(struct clu_cluster *cluster, unsigned i)
{
	char *program =
		g_build_filename(sup_build_dir(), "wagtailferryd", NULL);
	char *path = write_settings(cluster, i);
	const char *const args[] = {"-s", path, NULL};

	ck_assert(sup_start(&cluster->entries[i].child, program, args));
	g_free(path);
	g_free(program);
}

struct serving_wait {
	struct clu_cluster *cluster;
	unsigned entry;
};

static bool is_serving(void *data)
{
	struct serving_wait *wait = data;
	struct sup_answer answer;
	bool served;

	sup_finish(clu_send_model(wait->cluster, wait->entry, "probe", 1),
		   &answer);
	served = answer.status == 200 && answer.complete;
	sup_answer_clear(&answer);
	return served;
}

void clu_await_serving(struct clu_cluster *cluster, unsigned i)
{
	struct serving_wait wait = {cluster, i};

	ck_assert_msg(sup_wait(is_serving, &wait, CLU_BOUND_MS),
		      "entry-%u does not serve", i + 1);
}

void clu_start(struct clu_cluster *cluster, const struct clu_config *config)
{
	unsigned i;

	memset(cluster, 0, sizeof(*cluster));
	cluster->config = *config;
	cluster->folder = g_dir_make_tmp("wagtailferry-XXXXXX", NULL);
	start_fakes(cluster);
	for (i = 0; i < config->n_entries; i++)
		prepare_entry(cluster, i);
	clu_publish_list(cluster);
	for (i = 0; i < config->n_entries; i++)
		clu_start_entry(cluster, i);
	clu_publish_rules(cluster,
			  config->rules ? config->rules : default_rules);
	for (i = 0; i < config->n_entries; i++)
		clu_await_serving(cluster, i);
}

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	rmdir(folder);
}

void clu_stop(struct clu_cluster *cluster)
{
	unsigned i;

	for (i = 0; i < cluster->config.n_entries; i++)
		sup_kill(&cluster->entries[i].child);
	for (i = 0; i < cluster->config.n_engines; i++)
		ck_assert_int_eq(sup_stop(&cluster->engines[i]), 0);
	ck_assert_int_eq(sup_stop(&cluster->service), 0);
	ck_assert_int_eq(sup_stop(&cluster->list), 0);
	ck_assert_int_eq(sup_stop(&cluster->store), 0);
	remove_folder(cluster->folder);
	g_free(cluster->folder);
}

/* Operators' command */

char *clu_write_file(struct clu_cluster *cluster, const char *name,
		     const char *text)
{
	char *path = g_build_filename(cluster->folder, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

GPid clu_start_tool(struct clu_cluster *cluster, const char *words)
{
	char *line =
		g_strdup_printf("%s/wagtailferry %s --store %s",
				sup_build_dir(), words, cluster->store.address);
	char **argv = g_strsplit(line, " ", 0);
	GSpawnFlags flags = G_SPAWN_DO_NOT_REAP_CHILD;
	GPid pid = 0;

	if (!g_getenv("WF_TEST_LOG"))
		flags |=
			G_SPAWN_STDOUT_TO_DEV_NULL | G_SPAWN_STDERR_TO_DEV_NULL;
	ck_assert(
		g_spawn_async(NULL, argv, NULL, flags, NULL, NULL, &pid, NULL));
	g_strfreev(argv);
	g_free(line);
	return pid;
}

struct tool_wait {
	GPid pid;
	int status;
};

static bool tool_ended(void *data)
{
	struct tool_wait *wait = data;

	return waitpid(wait->pid, &wait->status, WNOHANG) == wait->pid;
}

int clu_wait_tool(GPid pid)
{
	struct tool_wait wait = {.pid = pid};

	ck_assert(sup_wait(tool_ended, &wait, CLU_BOUND_MS));
	return WIFEXITED(wait.status) ? WEXITSTATUS(wait.status) : -1;
}

int clu_run_tool(struct clu_cluster *cluster, const char *words)
{
	return clu_wait_tool(clu_start_tool(cluster, words));
}

void clu_publish_rules(struct clu_cluster *cluster, const char *text)
{
	char *path = clu_write_file(cluster, "published", text);
	GString *words = g_string_new(NULL);
	unsigned i;

	g_string_printf(words,
			"rules publish --base latest --author test --wait "
			"--wait-timeout 20 %s",
			path);
	for (i = 0; i < cluster->config.n_entries; i++)
		g_string_append_printf(words, " --instance %s",
				       cluster->entries[i].operator_);
	ck_assert_int_eq(clu_run_tool(cluster, words->str), 0);
	g_string_free(words, TRUE);
	g_free(path);
}
