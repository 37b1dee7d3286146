/* Concurrent publishing and instances that miss a change, real processes. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/runner.h"
#include "support/wire/cluster.h"

#define BASE_RULES                                                \
	"route org=any model=" CLU_MODEL " deadline=30s # anna\n" \
	"route org=any service=booking deadline=10s # anna\n"
#define RULES_OF(service) \
	BASE_RULES "route org=any service=" service " deadline=100ms # anna\n"

/* Whether the rules in force at an entry allow calls to a service. */
static bool allows(struct clu_cluster *cluster, unsigned entry,
		   const char *service)
{
	char *key = clu_new_key();
	char *header = g_strdup_printf("Idempotency-Key: %s", key);
	char *path = g_strdup_printf("/v1/services/%s/call", service);
	const struct sup_query query = {
		.address = cluster->entries[entry].caller,
		.path = path,
		.header = "Authorization: Bearer token-a",
		.header2 = header,
		.body = "test",
	};
	struct sup_answer answer;
	char *type;
	bool allowed;

	sup_http(&query, &answer);
	type = sup_answer_error(&answer);
	ck_assert_int_gt(answer.status, 0);
	allowed = strcmp(type, "no_rule") != 0;
	g_free(type);
	sup_answer_clear(&answer);
	g_free(path);
	g_free(header);
	g_free(key);
	return allowed;
}

struct rules_wait {
	struct clu_cluster *cluster;
	unsigned entry;
	const char *service;
};

static bool has_rules(void *data)
{
	struct rules_wait *wait = data;

	return allows(wait->cluster, wait->entry, wait->service);
}

static void await_rules(struct clu_cluster *cluster, unsigned entry,
			const char *service)
{
	struct rules_wait wait = {cluster, entry, service};

	ck_assert_msg(sup_wait(has_rules, &wait, CLU_BOUND_MS),
		      "entry-%u has no rule for %s", entry + 1, service);
}

static GPid start_publish(struct clu_cluster *cluster, const char *path,
			  const char *base, const char *author)
{
	char *arguments = g_strdup_printf(
		"rules publish --base %s --author %s %s", base, author, path);
	GPid pid = clu_start_tool(cluster, arguments);

	g_free(arguments);
	return pid;
}

static void check_file(const char *path, const char *text)
{
	char *found = NULL;

	ck_assert(g_file_get_contents(path, &found, NULL, NULL));
	ck_assert_str_eq(found, text);
	g_free(found);
}

/*
 * Guards against two accepted revisions with the same base, or a modified rules
 * file.
 */
START_TEST(one_of_two_operators_wins)
{
	static const char *const names[] = {"alpha", "beta"};
	static const char *const texts[] = {RULES_OF("alpha"),
					    RULES_OF("beta")};
	struct clu_cluster cluster;
	struct clu_config config;
	char *paths[2];
	GPid pids[2];
	int codes[2];
	unsigned winner;
	unsigned i;

	clu_config_init(&config, 5);
	clu_start(&cluster, &config);
	for (i = 0; i < 2; i++)
		paths[i] = clu_write_file(&cluster, names[i], texts[i]);
	for (i = 0; i < 2; i++)
		pids[i] = start_publish(&cluster, paths[i], "1", names[i]);
	for (i = 0; i < 2; i++)
		codes[i] = clu_wait_tool(pids[i]);
	winner = codes[0] == 0 ? 0 : 1;
	ck_assert_int_eq(codes[winner], 0);
	ck_assert_int_eq(codes[1 - winner], 3);
	for (i = 0; i < config.n_entries; i++) {
		await_rules(&cluster, i, names[winner]);
		ck_assert(!allows(&cluster, i, names[1 - winner]));
	}
	for (i = 0; i < 2; i++) {
		check_file(paths[i], texts[i]);
		g_free(paths[i]);
	}
	clu_stop(&cluster);
}
END_TEST

/* Guards against a publish reported as failed though it is in force. */
static void check_lost_answer(struct clu_cluster *cluster, const char *path)
{
	ck_assert(sup_set_fault(cluster->store.address,
				"{\"path\":\"/v1/objects/rules/manifest\","
				"\"method\":\"PUT\","
				"\"fault\":\"lost_answer\"}"));
	ck_assert_int_eq(
		clu_wait_tool(start_publish(cluster, path, "1", "nils")), 0);
	await_rules(cluster, 0, "alpha");
	await_rules(cluster, 1, "alpha");
}

/* Guards against "accepted" for a write that never took effect. */
static void check_lost_write(struct clu_cluster *cluster, const char *path)
{
	int code;

	ck_assert(sup_set_fault(cluster->store.address,
				"{\"path\":\"/v1/objects/rules/manifest\","
				"\"method\":\"PUT\",\"fault\":\"refused\","
				"\"count\":0}"));
	code = clu_wait_tool(start_publish(cluster, path, "2", "nils"));
	ck_assert_msg(code == 4 || code == 5, "exit code %d", code);
	ck_assert(sup_clear_faults(cluster->store.address));
	ck_assert(!allows(cluster, 0, "beta"));
	ck_assert(!allows(cluster, 1, "beta"));
}

START_TEST(lost_publish_answer_is_resolved)
{
	struct clu_cluster cluster;
	struct clu_config config;
	char *path;

	clu_config_init(&config, 2);
	clu_start(&cluster, &config);
	path = clu_write_file(&cluster, "alpha", RULES_OF("alpha"));
	check_lost_answer(&cluster, path);
	g_free(path);
	path = clu_write_file(&cluster, "beta", RULES_OF("beta"));
	check_lost_write(&cluster, path);
	g_free(path);
	clu_stop(&cluster);
}
END_TEST

/* Membership */

struct liveness_wait {
	struct clu_cluster *cluster;
	unsigned observer;
	const char *id;
	bool live; /* expected */
};

static bool has_liveness(void *data)
{
	struct liveness_wait *wait = data;
	json_t *json = sup_get_json(
		wait->cluster->entries[wait->observer].operator_, "/status");
	const json_t *peers = json_object_get(json, "instances");
	bool live = false;
	size_t i;

	for (i = 0; i < json_array_size(peers); i++) {
		const json_t *peer = json_array_get(peers, i);
		const char *id = json_string_value(json_object_get(peer, "id"));
		const char *state =
			json_string_value(json_object_get(peer, "state"));

		if (id && state && !strcmp(id, wait->id))
			live = !strcmp(state, "live");
	}
	json_decref(json);
	return live == wait->live;
}

static void await_liveness(struct clu_cluster *cluster, unsigned entry,
			   bool live)
{
	struct liveness_wait wait = {cluster, 0, cluster->entries[entry].id,
				     live};
	unsigned i;

	for (i = 0; i < cluster->config.n_entries; i++) {
		wait.observer = i;
		if (i == entry)
			continue;
		ck_assert_msg(sup_wait(has_liveness, &wait, CLU_BOUND_MS),
			      "entry-%u is %slive for entry-%u", entry + 1,
			      live ? "not " : "", i + 1);
	}
}

/*
 * Guards against an instance that stays dead, or keeps old rules, after a
 * pause.
 */
START_TEST(paused_instance_rejoins)
{
	struct clu_cluster cluster;
	struct clu_config config;
	char *path;

	clu_config_init(&config, 5);
	clu_start(&cluster, &config);
	await_liveness(&cluster, 2, true);
	sup_pause(&cluster.entries[2].child);
	await_liveness(&cluster, 2, false);
	path = clu_write_file(&cluster, "rules", RULES_OF("alpha"));
	ck_assert_int_eq(
		clu_wait_tool(start_publish(&cluster, path, "latest", "nils")),
		0);
	await_rules(&cluster, 0, "alpha");
	sup_resume(&cluster.entries[2].child);
	await_rules(&cluster, 2, "alpha");
	await_liveness(&cluster, 2, true);
	clu_check_model(clu_send_model(&cluster, 2, "back", 2), "back", 2);
	g_free(path);
	clu_stop(&cluster);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("system_control");

	tcase_set_timeout(tcase, 90);
	tcase_add_test(tcase, one_of_two_operators_wins);
	tcase_add_test(tcase, lost_publish_answer_is_resolved);
	tcase_add_test(tcase, paused_instance_rejoins);
	return sup_run_case("system_control", tcase);
}
