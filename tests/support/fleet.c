#include <string.h>

#include "support/fleet.h"

static void add_accelerator(struct cat_engine *engine, const char *name,
			    double memory_mb, double pace)
{
	struct cat_accelerator accelerator = {
		.name = g_strdup(name),
		.memory_mb = memory_mb,
		.pace = pace,
		.prefill_factor = pace,
	};

	g_array_append_val(engine->accelerators, accelerator);
}

struct cat_catalog *sup_engine_catalog(void)
{
	struct cat_catalog *catalog = cat_new(1);
	struct cat_engine *engine = cat_engine_new();

	engine->model = g_strdup("m");
	engine->layers = FLT_TEST_LAYERS;
	engine->layer_mb = 1750;
	engine->token_bytes = 590000;
	engine->slots = 192;
	engine->step_ms = 1;
	engine->step_ms_per_request = 0.005;
	engine->step_ms_per_1k_context = 0.006;
	engine->prefill_tokens_per_ms = 160;
	engine->load_time = 14 * CLK_SECOND;
	engine->usual_prompt_tokens = 770;
	engine->usual_answer_tokens = 210;
	add_accelerator(engine, "large", 72000, 2.4);
	add_accelerator(engine, "middle", 14400, 5.3);
	add_accelerator(engine, "small", 21600, 16);
	cat_add_service(catalog, "model", engine);
	cat_add_service(catalog, "plain", NULL);
	return catalog;
}

const struct cat_service *sup_engine_service(const struct cat_catalog *catalog)
{
	return cat_find_service(catalog, "model");
}

void sup_list_engine(struct flt_fleet *fleet, clk_ms now, const char *id,
		     const char *data_center, const char *accelerator,
		     struct flt_range holds)
{
	struct flt_target *target = flt_target_new();

	target->id = g_strdup(id);
	target->service = g_strdup("model");
	target->address = g_strdup_printf("10.0.0.1:%s", id + 1);
	target->data_center = g_strdup(data_center);
	target->accelerator = g_strdup(accelerator);
	target->slots = 192;
	target->started_at = 1;
	target->holds = holds;
	flt_upsert(fleet, now, target);
}

static void list_some(struct flt_fleet *fleet, clk_ms now, unsigned *next,
		      const char *data_center, const char *accelerator,
		      unsigned count)
{
	struct flt_range none = {0, 0};

	while (count--) {
		char *id = g_strdup_printf("e%u", 100 + (*next)++);

		sup_list_engine(fleet, now, id, data_center, accelerator, none);
		g_free(id);
	}
}

void sup_list_fleet(struct flt_fleet *fleet, clk_ms now)
{
	unsigned next = 0;

	list_some(fleet, now, &next, "a", "large", 1);
	list_some(fleet, now, &next, "a", "middle", 6);
	list_some(fleet, now, &next, "a", "small", 6);
	list_some(fleet, now, &next, "b", "large", 1);
	list_some(fleet, now, &next, "b", "middle", 10);
	list_some(fleet, now, &next, "b", "small", 4);
	list_some(fleet, now, &next, "c", "large", 2);
	list_some(fleet, now, &next, "c", "middle", 4);
	list_some(fleet, now, &next, "c", "small", 4);
}

unsigned sup_apply_plans(struct flt_fleet *fleet, clk_ms now,
			 const struct cat_service *service)
{
	unsigned changes = 0;
	unsigned rounds;

	for (rounds = 0; rounds < 10; rounds++) {
		GArray *plan = plc_plan(fleet, now, service);
		guint i;

		for (i = 0; i < plan->len; i++) {
			struct plc_change *change =
				&g_array_index(plan, struct plc_change, i);

			change->target->holds = change->range;
		}
		changes += plan->len;
		i = plan->len;
		g_array_unref(plan);
		if (!i)
			return changes;
	}
	return UINT_MAX;
}

unsigned sup_count_holders(const struct flt_fleet *fleet, clk_ms now,
			   const char *data_center, unsigned layer)
{
	const GPtrArray *targets = flt_targets(fleet);
	unsigned count = 0;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];

		count += target->state == FLT_READY &&
			 now >= target->down_until &&
			 (!data_center ||
			  !strcmp(target->data_center, data_center)) &&
			 target->holds.first <= layer &&
			 layer < target->holds.end;
	}
	return count;
}
