#include "fault.h"

#include <string.h>

struct fk_faults {
	GPtrArray *all; /* of struct fk_fault */
	uint64_t last_id;
};

static const char *const fault_names[FK_N_FAULTS] = {
	[FK_FAULT_NONE] = "none",
	[FK_FAULT_REFUSED] = "refused",
	[FK_FAULT_SLOW] = "slow",
	[FK_FAULT_SILENT] = "silent",
	[FK_FAULT_CUT] = "cut",
	[FK_FAULT_HALF_OPEN] = "half_open",
	[FK_FAULT_WRONG_LENGTH] = "wrong_length",
	[FK_FAULT_LATE] = "late",
	[FK_FAULT_TWICE] = "twice",
	[FK_FAULT_OUT_OF_ORDER] = "out_of_order",
	[FK_FAULT_STALE_VERSION] = "stale_version",
	[FK_FAULT_LOST_ANSWER] = "lost_answer",
	[FK_FAULT_OUTAGE] = "outage",
	[FK_FAULT_PAUSE] = "pause",
	[FK_FAULT_GAP] = "gap",
};

static void fault_free(void *data)
{
	struct fk_fault *fault = data;

	g_free(fault->path);
	g_free(fault->method);
	g_free(fault);
}

struct fk_faults *fk_faults_new(void)
{
	struct fk_faults *faults = g_new0(struct fk_faults, 1);

	faults->all = g_ptr_array_new_with_free_func(fault_free);
	return faults;
}

void fk_faults_drop(struct fk_faults *faults)
{
	g_ptr_array_unref(faults->all);
	g_free(faults);
}

static enum fk_fault_kind kind_of(const char *name)
{
	int kind;

	for (kind = FK_FAULT_NONE + 1; kind < FK_N_FAULTS; kind++)
		if (name && !strcmp(name, fault_names[kind]))
			return kind;
	return FK_FAULT_NONE;
}

static int64_t json_int_or(const json_t *json, const char *name,
			   int64_t fallback)
{
	const json_t *value = json_object_get(json, name);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

uint64_t fk_faults_add(struct fk_faults *faults, const json_t *json,
		       const char **message)
{
	enum fk_fault_kind kind =
		kind_of(json_string_value(json_object_get(json, "fault")));
	int64_t count =
		json_int_or(json, "count", kind == FK_FAULT_OUTAGE ? 0 : 1);
	struct fk_fault *fault;

	*message = NULL;
	if (kind == FK_FAULT_NONE)
		*message = "unknown fault";
	else if (count < 0 || json_int_or(json, "ms", 0) < 0)
		*message = "negative count or ms";
	if (*message)
		return 0;
	fault = g_new0(struct fk_fault, 1);
	fault->id = ++faults->last_id;
	fault->kind = kind;
	fault->path =
		g_strdup(json_string_value(json_object_get(json, "path")));
	fault->method =
		g_strdup(json_string_value(json_object_get(json, "method")));
	fault->count = (unsigned)count;
	fault->forever = count == 0;
	fault->skip = (unsigned)json_int_or(json, "skip", 0);
	fault->ms = json_int_or(json, "ms", 100);
	fault->after = json_int_or(json, "after", 1);
	fault->position = json_int_or(json, "position", 0);
	fault->delta = json_int_or(json, "delta", 7);
	g_ptr_array_add(faults->all, fault);
	return fault->id;
}

void fk_faults_clear(struct fk_faults *faults, uint64_t id)
{
	unsigned i = faults->all->len;

	while (i > 0) {
		const struct fk_fault *fault = faults->all->pdata[--i];

		if (!id || fault->id == id)
			g_ptr_array_remove_index(faults->all, i);
	}
}

bool fk_faults_has(const struct fk_faults *faults, uint64_t id)
{
	unsigned i;

	for (i = 0; i < faults->all->len; i++) {
		const struct fk_fault *fault = faults->all->pdata[i];

		if (fault->id == id)
			return true;
	}
	return false;
}

static bool matches(const struct fk_fault *fault, const char *method,
		    const char *path)
{
	if (!fault->forever && !fault->count)
		return false;
	if (fault->method && strcmp(fault->method, method) != 0)
		return false;
	return !fault->path || g_str_has_prefix(path, fault->path);
}

void fk_faults_take(struct fk_faults *faults, const char *method,
		    const char *path, struct fk_fault *out)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	if (g_str_has_prefix(path, "/admin/"))
		return;
	for (i = 0; i < faults->all->len; i++) {
		struct fk_fault *fault = faults->all->pdata[i];

		if (!matches(fault, method, path))
			continue;
		if (fault->skip > 0) {
			fault->skip--;
			continue;
		}
		fault->hits++;
		if (!fault->forever)
			fault->count--;
		*out = *fault;
		out->path = NULL;
		out->method = NULL;
		return;
	}
}

json_t *fk_faults_json(const struct fk_faults *faults)
{
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < faults->all->len; i++) {
		const struct fk_fault *fault = faults->all->pdata[i];

		json_array_append_new(
			list,
			json_pack("{s:I,s:s,s:s*,s:s*,s:i,s:b,s:i}", "id",
				  (json_int_t)fault->id, "fault",
				  fault_names[fault->kind], "path", fault->path,
				  "method", fault->method, "count",
				  (int)fault->count, "forever", fault->forever,
				  "hits", (int)fault->hits));
	}
	return list;
}
