#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "figure.h"

#define USAGE_EXIT 2

const char *fig_parse(struct fig_output *output, int argc, char **argv)
{
	const char *name = "";
	int i;

	for (i = 1; i < argc; i++) {
		if (!strcmp(argv[i], "--json")) {
			output->json = true;
		} else if (!strcmp(argv[i], "--seed") && i + 1 < argc) {
			output->seed = g_ascii_strtoull(argv[++i], NULL, 10);
		} else if (*argv[i] == '-' || *name) {
			fprintf(stderr, "%s: unexpected argument %s\n", argv[0],
				argv[i]);
			exit(USAGE_EXIT);
		} else {
			name = argv[i];
		}
	}
	return name;
}

void fig_add_baseline(GString *baselines, const char *name, double value)
{
	g_string_append_printf(baselines, "%s%s=%.4g",
			       baselines->len ? "," : "", name, value);
}

/* Rounded to four digits as in text output; null if not finite. */
static json_t *rounded(const char *digits)
{
	json_t *number = json_real(g_ascii_strtod(digits, NULL));

	return number ? number : json_null();
}

static json_t *baselines_json(const GString *baselines)
{
	json_t *object = json_object();
	char **entries = g_strsplit(baselines ? baselines->str : "", ",", 0);
	size_t i;

	for (i = 0; entries[i]; i++) {
		char *sign = strchr(entries[i], '=');

		if (!sign)
			continue;
		*sign = '\0';
		json_object_set_new(object, entries[i], rounded(sign + 1));
	}
	g_strfreev(entries);
	return object;
}

static void print_json(const struct fig_output *output, const char *name,
		       const char *digits, const char *unit,
		       const char *objective, const GString *baselines)
{
	json_t *objective_json = strcmp(objective, "-") != 0
					 ? json_string(objective)
					 : json_null();
	json_t *line = json_pack("{s:s,s:o,s:s,s:o,s:o,s:I}", "name", name,
				 "value", rounded(digits), "unit", unit,
				 "objective", objective_json, "baselines",
				 baselines_json(baselines), "seed",
				 (json_int_t)output->seed);

	json_dumpf(line, stdout, JSON_COMPACT | JSON_REAL_PRECISION(4));
	putchar('\n');
	json_decref(line);
}

void fig_print(const struct fig_output *output, const char *name, double value,
	       const char *unit, const char *objective,
	       const GString *baselines)
{
	char digits[32];

	g_snprintf(digits, sizeof(digits), "%.4g", value);
	if (output->json)
		print_json(output, name, digits, unit, objective, baselines);
	else
		printf("%s %s %s objective:%s baselines:%s "
		       "seed:%" G_GUINT64_FORMAT "\n",
		       name, digits, unit, objective,
		       baselines && baselines->len ? baselines->str : "-",
		       output->seed);
	fflush(stdout);
}
