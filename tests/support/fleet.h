#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

/* Fleets of engines for tests of paths and placement. */

#include <wagtailferry/fleet.h>

#define FLT_TEST_LAYERS 80

/* An engine service "model" with three accelerators: large, middle, small. */
struct cat_catalog *sup_engine_catalog(void);
const struct cat_service *sup_engine_service(const struct cat_catalog *catalog);

/* Lists an engine as the platform would. */
void sup_list_engine(struct flt_fleet *fleet, clk_ms now, const char *id,
		     const char *data_center, const char *accelerator,
		     struct flt_range holds);

/* Three data centres with 12 to 15 empty engines of mixed accelerators. */
void sup_list_fleet(struct flt_fleet *fleet, clk_ms now);

/* Lists what the plan says as held, until the plan is empty. Returns the
 * number of changes. */
unsigned sup_apply_plans(struct flt_fleet *fleet, clk_ms now,
			 const struct cat_service *service);

/* Engines of a data centre (NULL for all) that hold the layer and are in
 * use. */
unsigned sup_count_holders(const struct flt_fleet *fleet, clk_ms now,
			   const char *data_center, unsigned layer);

#endif
