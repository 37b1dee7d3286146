#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/schema.h>

/* State of one load: the constraints and the path of the current key. */
struct loader {
	const struct sch_constraint *constraints;
	size_t n_constraints;
	GString *path;
	GError **error;
};

static bool refuse(struct loader *loader, const char *problem)
{
	const char *path = loader->path->len ? loader->path->str : "(top)";

	g_set_error(loader->error, ERR_DOMAIN, ERR_BAD_SETTINGS, "%s: %s", path,
		    problem);
	return false;
}

static bool refuse_expected(struct loader *loader, const char *expected)
{
	char *problem = g_strdup_printf("expected %s", expected);

	refuse(loader, problem);
	g_free(problem);
	return false;
}

static const struct sch_constraint *
find_constraint(const struct loader *loader,
		const ProtobufCMessageDescriptor *message,
		const ProtobufCFieldDescriptor *field)
{
	size_t i;

	for (i = 0; i < loader->n_constraints; i++) {
		const struct sch_constraint *constraint =
			&loader->constraints[i];

		if (constraint->message == message &&
		    !strcmp(constraint->field, field->name))
			return constraint;
	}
	return NULL;
}

static bool load_integer(struct loader *loader, json_t *value,
			 const struct sch_constraint *constraint, uint64_t max,
			 uint64_t *out)
{
	uint64_t min = 0;
	char *problem;
	json_int_t number;

	if (!json_is_integer(value))
		return refuse_expected(loader, "an integer");
	if (constraint) {
		min = constraint->min;
		max = MIN(max, constraint->max);
	}
	number = json_integer_value(value);
	*out = (uint64_t)number;
	if (number >= 0 && *out >= min && *out <= max)
		return true;
	problem = g_strdup_printf("%" JSON_INTEGER_FORMAT
				  " is out of range, %" G_GUINT64_FORMAT
				  " to %" G_GUINT64_FORMAT,
				  number, min, max);
	refuse(loader, problem);
	g_free(problem);
	return false;
}

static bool load_number(struct loader *loader, json_t *value, double *out)
{
	if (!json_is_number(value) || json_number_value(value) < 0)
		return refuse_expected(loader, "a number of 0 or more");
	*out = json_number_value(value);
	return true;
}

static bool load_string(struct loader *loader, json_t *value,
			const struct sch_constraint *constraint, char **out)
{
	const char *text;

	if (!json_is_string(value))
		return refuse_expected(loader, "a string");
	text = json_string_value(value);
	if (strlen(text) != json_string_length(value))
		return refuse(loader, "contains a null character");
	if (constraint && constraint->check && !constraint->check(text))
		return refuse_expected(loader, constraint->expected);
	*out = strdup(text);
	return true;
}

static bool load_enum(struct loader *loader, json_t *value,
		      const ProtobufCEnumDescriptor *descriptor, int *out)
{
	const ProtobufCEnumValue *found;
	char *name;

	if (!json_is_string(value))
		return refuse_expected(loader, "a string");
	name = g_ascii_strup(json_string_value(value), -1);
	found = protobuf_c_enum_descriptor_get_value_by_name(descriptor, name);
	g_free(name);
	if (!found)
		return refuse(loader, "unknown value");
	*out = found->value;
	return true;
}

static ProtobufCMessage *
load_message(struct loader *loader,
	     const ProtobufCMessageDescriptor *descriptor, json_t *object);

static bool load_value(struct loader *loader, json_t *value,
		       const ProtobufCFieldDescriptor *field,
		       const struct sch_constraint *constraint, void *out)
{
	ProtobufCMessage *message;
	uint64_t number = 0;

	switch (field->type) {
	case PROTOBUF_C_TYPE_UINT64:
		return load_integer(loader, value, constraint, INT64_MAX, out);
	case PROTOBUF_C_TYPE_UINT32:
		if (!load_integer(loader, value, constraint, UINT32_MAX,
				  &number))
			return false;
		*(uint32_t *)out = (uint32_t)number;
		return true;
	case PROTOBUF_C_TYPE_DOUBLE:
		return load_number(loader, value, out);
	case PROTOBUF_C_TYPE_BOOL:
		if (!json_is_boolean(value))
			return refuse_expected(loader, "true or false");
		*(protobuf_c_boolean *)out = json_is_true(value);
		return true;
	case PROTOBUF_C_TYPE_STRING:
		return load_string(loader, value, constraint, out);
	case PROTOBUF_C_TYPE_ENUM:
		return load_enum(loader, value, field->descriptor, out);
	case PROTOBUF_C_TYPE_MESSAGE:
		message = load_message(loader, field->descriptor, value);
		*(ProtobufCMessage **)out = message;
		return message != NULL;
	default:
		return refuse(loader, "has a type that JSON can't express");
	}
}

static size_t value_size(const ProtobufCFieldDescriptor *field)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_UINT64:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_UINT32:
		return sizeof(uint32_t);
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	case PROTOBUF_C_TYPE_DOUBLE:
		return sizeof(double);
	case PROTOBUF_C_TYPE_ENUM:
		return sizeof(int);
	default:
		return sizeof(void *);
	}
}

/*
 * The count grows with each entry, so that a partly loaded message can be
 * freed with protobuf_c_message_free_unpacked().
 */
static bool load_repeated(struct loader *loader, json_t *value,
			  const ProtobufCFieldDescriptor *field,
			  const struct sch_constraint *constraint,
			  ProtobufCMessage *out)
{
	char *base = (char *)out;
	size_t *count = (size_t *)(base + field->quantifier_offset);
	size_t size = value_size(field);
	size_t path_len = loader->path->len;
	size_t n = json_array_size(value);
	char *entries;

	if (!json_is_array(value))
		return refuse_expected(loader, "an array");
	if (constraint && (n < constraint->min || n > constraint->max))
		return refuse(loader, "number of entries is out of range");
	if (!n)
		return true;
	entries = calloc(n, size);
	*(void **)(base + field->offset) = entries;
	while (*count < n) {
		json_t *entry = json_array_get(value, *count);

		g_string_append_printf(loader->path, "[%zu]", *count);
		if (!load_value(loader, entry, field, constraint,
				entries + *count * size))
			return false;
		g_string_truncate(loader->path, path_len);
		++*count;
	}
	return true;
}

static bool load_field(struct loader *loader, json_t *value,
		       const ProtobufCFieldDescriptor *field,
		       ProtobufCMessage *out)
{
	const struct sch_constraint *constraint =
		find_constraint(loader, out->descriptor, field);
	char *base = (char *)out;

	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return load_repeated(loader, value, field, constraint, out);
	if (!load_value(loader, value, field, constraint, base + field->offset))
		return false;
	if (field->label == PROTOBUF_C_LABEL_OPTIONAL &&
	    field->quantifier_offset)
		*(protobuf_c_boolean *)(base + field->quantifier_offset) = 1;
	return true;
}

static bool load_members(struct loader *loader, json_t *object,
			 ProtobufCMessage *out)
{
	size_t path_len = loader->path->len;
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		const ProtobufCFieldDescriptor *field;

		g_string_append_printf(loader->path, "%s%s",
				       path_len ? "." : "", key);
		field = protobuf_c_message_descriptor_get_field_by_name(
			out->descriptor, key);
		if (!field)
			return refuse(loader, "unknown key");
		if (!load_field(loader, value, field, out))
			return false;
		g_string_truncate(loader->path, path_len);
	}
	return true;
}

/* A repeated field whose constraint has a minimum is required as well. */
static bool is_required(const struct loader *loader,
			const ProtobufCMessageDescriptor *message,
			const ProtobufCFieldDescriptor *field)
{
	const struct sch_constraint *constraint;

	if (field->label == PROTOBUF_C_LABEL_REQUIRED)
		return true;
	if (field->label != PROTOBUF_C_LABEL_REPEATED)
		return false;
	constraint = find_constraint(loader, message, field);
	return constraint && constraint->min;
}

static bool check_required(struct loader *loader, json_t *object,
			   const ProtobufCMessageDescriptor *descriptor)
{
	unsigned i;

	for (i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		if (!is_required(loader, descriptor, field) ||
		    json_object_get(object, field->name))
			continue;
		g_string_append_printf(loader->path, "%s%s",
				       loader->path->len ? "." : "",
				       field->name);
		return refuse(loader, "missing");
	}
	return true;
}

static ProtobufCMessage *
load_message(struct loader *loader,
	     const ProtobufCMessageDescriptor *descriptor, json_t *object)
{
	ProtobufCMessage *message;

	if (!json_is_object(object)) {
		refuse_expected(loader, "an object");
		return NULL;
	}
	message = calloc(1, descriptor->sizeof_message);
	protobuf_c_message_init(descriptor, message);
	if (load_members(loader, object, message) &&
	    check_required(loader, object, descriptor))
		return message;
	protobuf_c_message_free_unpacked(message, NULL);
	return NULL;
}

ProtobufCMessage *sch_load_json(const ProtobufCMessageDescriptor *descriptor,
				const char *text, size_t len,
				const struct sch_constraint *constraints,
				size_t n_constraints, GError **error)
{
	struct loader loader = {.constraints = constraints,
				.n_constraints = n_constraints,
				.error = error};
	ProtobufCMessage *message;
	json_error_t problem;
	json_t *root;

	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &problem);
	if (!root) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_SETTINGS,
			    "line %d, column %d: %s", problem.line,
			    problem.column, problem.text);
		return NULL;
	}
	loader.path = g_string_new(NULL);
	message = load_message(&loader, descriptor, root);
	g_string_free(loader.path, TRUE);
	json_decref(root);
	return message;
}

char *sch_read_file(const char *path, size_t *len, GError **error)
{
	GError *problem = NULL;
	char *text;

	if (g_file_get_contents(path, &text, len, &problem))
		return text;
	g_set_error(error, ERR_DOMAIN, ERR_IO, "%s", problem->message);
	g_error_free(problem);
	return NULL;
}
