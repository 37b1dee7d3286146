#include <math.h>

#include "rul_private.h"

static void write_list(char **list, GString *out)
{
	size_t i;

	for (i = 0; list[i]; i++) {
		if (i)
			g_string_append_c(out, ',');
		g_string_append(out, list[i]);
	}
}

static void write_duration(clk_ms span, GString *out)
{
	const char *unit = "ms";

	if (span % CLK_MINUTE == 0) {
		span /= CLK_MINUTE;
		unit = "min";
	} else if (span % CLK_SECOND == 0) {
		span /= CLK_SECOND;
		unit = "s";
	}
	g_string_append_printf(out, "%" G_GINT64_FORMAT "%s", span, unit);
}

/* Rates are exact multiples of 0.001; trailing zeros are omitted. */
static void write_rate(double rate, const char *unit, GString *out)
{
	uint64_t number = (uint64_t)llround(rate * 1000);
	unsigned rest = (unsigned)(number % 1000);

	g_string_append_printf(out, "%" G_GUINT64_FORMAT, number / 1000);
	if (rest) {
		g_string_append_printf(out, ".%03u", rest);
		while (out->str[out->len - 1] == '0')
			g_string_truncate(out, out->len - 1);
	}
	g_string_append(out, unit);
}

static void write_value(const struct rul_line *line, enum rul_attr attr,
			GString *out)
{
	const char *base = rul_attrs[attr].in_line
				   ? (const char *)line
				   : (const char *)line->settings;
	const void *field = base + rul_attrs[attr].offset;
	char **list;

	switch (rul_attrs[attr].type) {
	case RUL_TYPE_ANY_LIST:
	case RUL_TYPE_LIST:
		list = *(char ***)(uintptr_t)field;
		if (list)
			write_list(list, out);
		else
			g_string_append(out, "any");
		return;
	case RUL_TYPE_NAME:
		g_string_append(out, *(char *const *)field);
		return;
	case RUL_TYPE_DURATION:
		write_duration(*(const clk_ms *)field, out);
		return;
	case RUL_TYPE_RATE:
		write_rate(*(const double *)field, "/s", out);
		return;
	case RUL_TYPE_TOKEN_RATE:
		write_rate(*(const double *)field, "tok/s", out);
		return;
	case RUL_TYPE_COUNT:
		g_string_append_printf(out, "%u", *(const unsigned *)field);
		return;
	case RUL_TYPE_FLAG:
		g_string_append(out, *(const bool *)field ? "yes" : "no");
		return;
	}
}

void rul_line_write(const struct rul_line *line, GString *out)
{
	size_t i;

	if (line->kind == RUL_COMMENT) {
		g_string_append_printf(out, "%s\n", line->comment);
		return;
	}
	g_string_append(out, rul_kinds[line->kind].name);
	if (line->subject)
		g_string_append_printf(out, " %s", line->subject);
	for (i = 0; i < RUL_N_ATTRS; i++) {
		if (!(line->attrs & RUL_ATTR_BIT(i)))
			continue;
		g_string_append_printf(out, " %s=", rul_attrs[i].name);
		write_value(line, (enum rul_attr)i, out);
	}
	g_string_append_printf(out, " # %s\n", line->comment);
}

void rul_set_write(const struct rul_set *set, GString *out)
{
	guint i;

	for (i = 0; i < set->lines->len; i++)
		rul_line_write(&g_array_index(set->lines, struct rul_line, i),
			       out);
}
