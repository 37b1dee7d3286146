#ifndef FIGURE_H
#define FIGURE_H

/* fig: figures of benchmarks, printed as one line or JSON object each. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct fig_output {
	bool json;
	uint64_t seed;
};

/*
 * Reads --json and --seed N into output and returns the first other argument,
 * "" if there is none. Ends the process with code 2 on an unknown option.
 */
const char *fig_parse(struct fig_output *output, int argc, char **argv);

/* Adds one baseline to "name=value,name=value". */
void fig_add_baseline(GString *baselines, const char *name, double value);

/*
 * Prints name, value, unit, objective ("<=1.2", or "-" for none), baselines
 * (may be NULL) and seed. In JSON, baselines is an object, and the objective
 * is null if there is none.
 */
void fig_print(const struct fig_output *output, const char *name, double value,
	       const char *unit, const char *objective,
	       const GString *baselines);

#endif
