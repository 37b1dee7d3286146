#ifndef FORWARD_PATH_PRIVATE_H
#define FORWARD_PATH_PRIVATE_H

/* Construction of paths by the search, from the last stage to the first. */

#include <wagtailferry/fleet.h>

struct pth_path *pth_new(void);

/*
 * Inserts a stage at the front, with a reference to its target. Merges it with
 * the first stage if they are adjacent and on the same engine. Returns false
 * if the path includes the engine otherwise.
 */
bool pth_prepend(struct pth_path *path, struct pth_stage stage);

#endif
