#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

/* sup: support of tests. Fleets of engines for paths and placement. */

#include <wagtailferry/fleet.h>

#define FLT_TEST_LAYERS 80

/* An engine service "model" with three accelerators: large, middle, small. */
struct cat_catalog *sup_engine_catalog(void);
const struct cat_service *sup_engine_service(const struct cat_catalog *catalog);

/* Adds an engine as the platform's instance list does. */
void sup_list_engine(struct flt_fleet *fleet, clk_ms now, const char *id,
		     const char *data_center, const char *accelerator,
		     struct flt_range holds);

/* Three data centres with 12 to 15 empty engines of mixed accelerators. */
void sup_list_fleet(struct flt_fleet *fleet, clk_ms now);

/*
 * Applies placement plans until a plan is empty. Returns the number of changes,
 * or UINT_MAX if the tenth plan is not empty.
 */
unsigned sup_apply_plans(struct flt_fleet *fleet, clk_ms now,
			 const struct cat_service *service);

/*
 * The number of ready engines of a data centre (NULL for all) that hold the
 * layer and are not marked down.
 */
unsigned sup_count_holders(const struct flt_fleet *fleet, clk_ms now,
			   const char *data_center, unsigned layer);

#endif
