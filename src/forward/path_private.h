#ifndef FORWARD_PATH_PRIVATE_H
#define FORWARD_PATH_PRIVATE_H

/* Construction of paths by the search, from the last stage to the first. */

#include <wagtailferry/fleet.h>

#include "forward/link_budget.h"
#include "forward/unseen_load.h"

struct pth_path *pth_new(void);

/* This instance's share of the links between data centres. */
struct lnk_budget *flt_links(struct flt_fleet *fleet);

/* Age in ms that the load reports of peers have just before the next ones. */
clk_ms flt_report_age(const struct flt_fleet *fleet);

/* What others may have reserved at the engines of a service. */
struct uns_load *flt_unseen_load(struct flt_fleet *fleet, const char *service);

/* Inserts a stage at the front, with a reference to its target, which the path
 * doesn't include yet. */
void pth_prepend(struct pth_path *path, struct pth_stage stage);

#endif
