#ifndef FORWARD_PATH_PRIVATE_H
#define FORWARD_PATH_PRIVATE_H

/* Construction of paths by the search, from the last stage to the first. */

#include <wagtailferry/fleet.h>

struct pth_path *pth_new(void);

/* Inserts a stage at the front, with a reference to its target, which the path
 * doesn't include yet. */
void pth_prepend(struct pth_path *path, struct pth_stage stage);

#endif
