#ifndef FORWARD_PTH_PRIVATE_H
#define FORWARD_PTH_PRIVATE_H

/* Private to paths: how the search builds them, from the end. */

#include <wagtailferry/fleet.h>

struct pth_path *pth_new(void);

/*
 * Adds a stage in front and keeps its target; joins it with the first one
 * where that is at the same engine. False if the engine appears elsewhere.
 */
bool pth_prepend(struct pth_path *path, struct pth_stage stage);

#endif
