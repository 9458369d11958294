#include "version/schema.h"

#include "version/document.h"
#include "version/fields.h"

static json_t *name_schema(void)
{
	return json_pack("{s:s,s:s}", "type", "string", "pattern",
			 "^[A-Za-z0-9_-][A-Za-z0-9_.-]{0,62}$");
}

static json_t *integer_schema(const field_t *field)
{
	json_t *schema = json_pack("{s:s,s:I,s:I}", "type", "integer",
				   "minimum", (json_int_t)field->min, "maximum",
				   (json_int_t)field->max);

	if (!field->required)
		json_object_set_new(schema, "default",
				    json_integer(field->initial));
	return schema;
}

static json_t *enum_schema(const field_t *field)
{
	json_t *values = json_array(), *schema;
	size_t i;

	for (i = 0; field->values[i]; i++)
		json_array_append_new(values, json_string(field->values[i]));
	schema = json_pack("{s:o}", "enum", values);
	if (!field->required)
		json_object_set_new(schema, "default",
				    json_string(field->values[field->initial]));
	return schema;
}

static json_t *value_schema(const field_t *field)
{
	switch (field->type) {
	case FIELD_NAME:
		return name_schema();
	case FIELD_URL:
		return json_pack("{s:s,s:s}", "type", "string", "pattern",
				 "^http://[^/]+:[0-9]+$");
	case FIELD_BOOL:
		return json_pack("{s:s,s:b}", "type", "boolean", "default",
				 (int)field->initial);
	case FIELD_INT32:
	case FIELD_INT64:
		return integer_schema(field);
	case FIELD_ENUM:
		return enum_schema(field);
	case FIELD_NAMES:
		return json_pack("{s:s,s:o}", "type", "array", "items",
				 name_schema());
	case FIELD_HASH:
		return json_pack("{s:s,s:s}", "type", "string", "pattern",
				 "^[0-9a-f]{64}$");
	}
	return json_object();
}

static json_t *object_schema(const section_t *section)
{
	json_t *properties = json_object(), *required = json_array();
	size_t i;

	for (i = 0; i < section->field_count; i++) {
		const field_t *field = &section->fields[i];
		json_t *schema = value_schema(field);

		json_object_set_new(schema, "description",
				    json_string(field->description));
		if (field->refers_to)
			json_object_set_new(schema, "x-refers-to",
					    json_string(field->refers_to));
		json_object_set_new(properties, field->key, schema);
		if (field->required)
			json_array_append_new(required,
					      json_string(field->key));
	}
	return json_pack("{s:s,s:b,s:o,s:o}", "type", "object",
			 "additionalProperties", 0, "properties", properties,
			 "required", required);
}

json_t *schema_create(void)
{
	json_t *properties = json_pack(
		"{s:{s:s,s:i},s:{s:s,s:i},s:{s:s,s:{s:s}}}", "version", "type",
		"integer", "minimum", 1, "change_id", "type", "string",
		"maxLength", NAME_SIZE_BYTES - 1, "recent_changes", "type",
		"array", "items", "type", "string");
	int id;

	for (id = 0; id < SECTION_COUNT; id++)
		json_object_set_new(properties, sections[id].key,
				    json_pack("{s:s,s:o}", "type", "array",
					      "items",
					      object_schema(&sections[id])));
	json_object_set_new(properties, limits_section.key,
			    object_schema(&limits_section));
	return json_pack("{s:s,s:s,s:s,s:b,s:[s],s:o}", "$schema",
			 "https://json-schema.org/draft/2020-12/schema",
			 "title", "chivestage configuration", "type", "object",
			 "additionalProperties", 0, "required", "version",
			 "properties", properties);
}
