/*
 * Odd objects of other writers among those of the workers. Guards against an
 * edge that ends, doesn't become ready or stops following the store because one
 * object can't be read, and against one that uses such an entry as a target.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/support/stand_in.h"
#include "support/runner.h"

#define KEY "Authorization: Token key1\r\n"
#define TARGETS "servers"
/* More than the depth that the JSON parser accepts, 2048. */
#define TOO_DEEP 100000
#define LARGE_BYTES 300000

#define USABLE                                                      \
	"\"service\":\"plain\",\"zone\":\"z\",\"state\":\"ready\"," \
	"\"slots\":6"
#define SPEC(members) \
	"{\"metadata\":{\"name\":\"odd\",\"revision\":11},\"spec\":" members "}"
#define ADDRESS(address) SPEC("{" USABLE ",\"address\":\"" address "\"}")
#define WITH(member) SPEC("{" USABLE ",\"address\":\"127.0.0.1:9\"," member "}")

/* Replaced in the text of a case. */
#define DEEP "@deep@"
#define LARGE "@large@"

struct odd_case {
	/* The bytes of the store's object. */
	const char *object;
	/* Its name can't be read, so nothing can be said of an entry that it
	 * replaces. */
	bool has_no_name;
};

static const struct odd_case odd_cases[] = {
	/* Values that the JSON parser refuses. */
	{SPEC(DEEP), false},
	{WITH("\"sequence\":" DEEP), false},
	{WITH("\"sequence\":123456789012345678901234567890"), false},
	{WITH("\"cold-left-ms\":1e400"), false},
	{WITH("\"version\":\"\xff\xfe\""), false},
	{WITH("\"version\":\"\\u0000\""), false},
	{WITH("\"version\":\"\\ud800\""), false},
	{SPEC("no json"), false},
	/* Values of another type or out of range. */
	{ADDRESS("127.0.0.1:99999"), false},
	{ADDRESS("127.0.0.1:0"), false},
	{ADDRESS("127.0.0.1:-1"), false},
	{ADDRESS("127.0.0.1"), false},
	{ADDRESS("0.0.0.0:80"), false},
	{ADDRESS("224.0.0.1:80"), false},
	{ADDRESS("255.255.255.255:80"), false},
	{ADDRESS("[::1]:80"), false},
	{ADDRESS("localhost:80"), false},
	{ADDRESS("127.0.0.1:80\\r\\nA: b"), false},
	{WITH("\"slots\":\"many\""), false},
	{WITH("\"slots\":4294967296"), false},
	{WITH("\"slots\":-1"), false},
	{WITH("\"born\":\"today\""), false},
	{WITH("\"born\":1.5e300"), false},
	{WITH("\"layers\":{\"from\":5,\"to\":4294967299}"), false},
	{WITH("\"state\":\"gone\""), false},
	{SPEC("{" USABLE "}"), false},
	{SPEC("[]"), false},
	{SPEC("null"), false},
	{SPEC("\"" LARGE "\""), false},
	{"{\"metadata\":{\"name\":\"odd\"}}", false},
	/* Objects without a name that can be read. */
	{"{\"metadata\":{\"revision\":11},\"spec\":{}}", true},
	{"{\"metadata\":{\"name\":7},\"spec\":{}}", true},
	{"{\"metadata\":{\"name\":\"\"},\"spec\":{}}", true},
	{"{\"metadata\":{\"name\":\"\\u0000\"},\"spec\":{}}", true},
	{"{\"metadata\":" DEEP ",\"spec\":{}}", true},
	{DEEP, true},
	{"null", true},
	{"1e400", true},
};

static char *replace(const char *text, const char *mark, const char *by)
{
	char **parts = g_strsplit(text, mark, -1);
	char *out = g_strjoinv(by, parts);

	g_strfreev(parts);
	return out;
}

static void put_odd(struct platform_world *world, const char *kind,
		    const char *name, const struct odd_case *one)
{
	char *opening = g_strnfill(TOO_DEEP, '[');
	char *closing = g_strnfill(TOO_DEEP, ']');
	char *deep = g_strconcat(opening, closing, NULL);
	char *large = g_strnfill(LARGE_BYTES, 'x');
	char *object_name = g_strdup_printf("\"name\":\"%s\"", name);
	char *named = replace(one->object, "\"name\":\"odd\"", object_name);
	char *with_deep = replace(named, DEEP, deep);
	char *object = replace(with_deep, LARGE, large);

	world_put_raw(world, kind, name, object);
	g_free(opening);
	g_free(closing);
	g_free(deep);
	g_free(large);
	g_free(object_name);
	g_free(named);
	g_free(with_deep);
	g_free(object);
}

static bool has_target(const struct platform_world *world, const char *id)
{
	return flt_find(edg_fleet(world->edge), id) != NULL;
}

static bool has_second_worker(void *user)
{
	return has_target(user, "p2");
}

static bool lost_first_worker(void *user)
{
	return !has_target(user, "p1");
}

static void expect_answer(struct platform_world *world)
{
	struct wire_client *client =
		world_request(world, "GET", "/once/a", KEY, "");

	wire_client_await(&world->wire, client, "body");
	wire_client_drop(client);
}

/* A worker comes, another leaves, and requests are served before and after. */
static void expect_followed_changes(struct platform_world *world)
{
	expect_answer(world);
	world_worker(world, "p2", "plain", 0, 0);
	wire_run_until(&world->wire, has_second_worker, world);
	world_delete(world, TARGETS, "p1");
	wire_run_until(&world->wire, lost_first_worker, world);
	ck_assert(!has_target(world, "odd"));
	expect_answer(world);
}

static void open_world(struct platform_world *world)
{
	world_open(world);
	world_put(world, "config", "main", world_config(1));
	world_worker(world, "p1", "plain", 0, 0);
}

START_TEST(odd_entry_in_the_list_costs_only_itself)
{
	struct platform_world world;

	open_world(&world);
	put_odd(&world, TARGETS, "odd", &odd_cases[_i]);
	world_start_ready_edge(&world);
	expect_followed_changes(&world);
	world_close(&world);
}
END_TEST

START_TEST(odd_entry_in_a_watch_costs_only_itself)
{
	struct platform_world world;

	open_world(&world);
	world_start_ready_edge(&world);
	put_odd(&world, TARGETS, "odd", &odd_cases[_i]);
	expect_followed_changes(&world);
	ck_assert_uint_ge(
		ctr_get(world.counters, "wf_platform_odd_objects_total"), 1);
	world_close(&world);
}
END_TEST

/* Another writer replaced the entry of a worker. */
START_TEST(overwritten_entry_names_no_target)
{
	struct platform_world world;

	if (odd_cases[_i].has_no_name)
		return;
	open_world(&world);
	world_worker(&world, "p2", "plain", 0, 0);
	world_start_ready_edge(&world);
	wire_run_until(&world.wire, has_second_worker, &world);
	put_odd(&world, TARGETS, "p1", &odd_cases[_i]);
	wire_run_until(&world.wire, lost_first_worker, &world);
	ck_assert(has_target(&world, "p2"));
	expect_answer(&world);
	world_close(&world);
}
END_TEST

static bool has_config_2(void *user)
{
	struct platform_world *world = user;

	return ctr_get(world->counters, "wf_edge_config_version") == 2;
}

/* An object beside the configuration or among the instances. */
START_TEST(odd_object_beside_the_configuration_costs_only_itself)
{
	struct platform_world world;

	open_world(&world);
	put_odd(&world, "config", "odd", &odd_cases[_i]);
	put_odd(&world, PTF_INSTANCE_KIND, "odd", &odd_cases[_i]);
	world_start_ready_edge(&world);
	put_odd(&world, "config", "odd", &odd_cases[_i]);
	world_put(&world, "config", "main", world_config(2));
	wire_run_until(&world.wire, has_config_2, &world);
	expect_followed_changes(&world);
	world_close(&world);
}
END_TEST

/* Guards against paging that starts again after a page that ends without a
 * readable name, or after a name that must be escaped. */
START_TEST(paging_goes_on_after_odd_names)
{
	static const struct odd_case nameless = {"null", true};
	struct platform_world world;

	world_open(&world);
	world.page_size = 2;
	world_put(&world, "config", "main", world_config(1));
	world_worker(&world, "p1", "plain", 0, 0);
	put_odd(&world, TARGETS, "odd", &nameless);
	world_put(&world, TARGETS, "odd & name/?#%41", json_object());
	world_worker(&world, "p2", "plain", 0, 0);
	world_start_ready_edge(&world);
	wire_run_until(&world.wire, has_second_worker, &world);
	ck_assert(has_target(&world, "p1"));
	world_close(&world);
}
END_TEST

static bool has_ordered_layers(void *user)
{
	struct platform_world *world = user;
	struct worker *engine = world->workers->pdata[0];

	return engine->orders->len > 0;
}

/* Guards against a division by zero: the record of another holder names an
 * engine of a service whose model has no layers. */
START_TEST(record_for_a_model_without_layers_is_read)
{
	struct platform_world world;
	json_t *config = world_config(1);

	world_open(&world);
	json_array_append_new(
		json_object_get(config, "services"),
		json_pack("{s:s,s:{s:s}}", "name", "bare", "engine", "x", "y"));
	world_put(&world, "config", "main", config);
	world_put(&world, PTF_DUTY_KIND, PTF_DUTY_NAME,
		  json_pack("{s:s,s:i,s:{s:[i,i]}}", "holder", "dead", "fence",
			    5, "assignments", "e2", 0, 4));
	world_worker(&world, "e1", "model", 0, 0);
	world_worker(&world, "e2", "bare", 0, 0);
	world_worker(&world, "e3", "model", 0, 0);
	world_start_edge(&world);
	wire_run_until(&world.wire, has_ordered_layers, &world);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("odd_entries_wire");
	int n = G_N_ELEMENTS(odd_cases);

	tcase_add_loop_test(tcase, odd_entry_in_the_list_costs_only_itself, 0,
			    n);
	tcase_add_loop_test(tcase, odd_entry_in_a_watch_costs_only_itself, 0,
			    n);
	tcase_add_loop_test(tcase, overwritten_entry_names_no_target, 0, n);
	tcase_add_loop_test(
		tcase, odd_object_beside_the_configuration_costs_only_itself, 0,
		n);
	tcase_add_test(tcase, record_for_a_model_without_layers_is_read);
	tcase_add_test(tcase, paging_goes_on_after_odd_names);
	return sup_run_case("odd_entries_wire", tcase);
}
