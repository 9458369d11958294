#include "version/parse.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "version/document.h"

_Static_assert(NAME_SIZE_BYTES == 64, "names_t holds names of 64 bytes");
_Static_assert(sizeof(server_kind_t) == sizeof(int), "enums are ints");

static bool schema_error(err_t *err, const char *path, const char *key,
			 const char *problem)
{
	return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
		       "%s.%s: %s", path, key, problem);
}

static bool is_name(const char *text)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-_.";
	size_t length = strlen(text);

	return length && length < NAME_SIZE_BYTES && *text != '.' &&
	       strspn(text, allowed) == length;
}

/* True for http://IPV4:PORT and http://[IPV6]:PORT without a path. */
static bool is_url(const char *text)
{
	char host[64], end;
	unsigned int port;
	uint8_t address[16];

	if (strlen(text) >= URL_SIZE_BYTES)
		return false;
	if (sscanf(text, "http://[%63[0-9a-fA-F:.]]:%5u%c", host, &port,
		   &end) == 2)
		return inet_pton(AF_INET6, host, address) == 1 && port &&
		       port <= UINT16_MAX;
	if (sscanf(text, "http://%63[0-9.]:%5u%c", host, &port, &end) == 2)
		return inet_pton(AF_INET, host, address) == 1 && port &&
		       port <= UINT16_MAX;
	return false;
}

static bool parse_names(const json_t *json, const field_t *field,
			const char *path, names_t *target, err_t *err)
{
	size_t i;

	if (!json_is_array(json))
		return schema_error(err, path, field->key,
				    "expected an array of names");
	target->count = json_array_size(json);
	/* An empty list is not a missing one. */
	target->names = mem_calloc(target->count + 1, NAME_SIZE_BYTES);
	for (i = 0; i < target->count; i++) {
		const char *name = json_string_value(json_array_get(json, i));

		if (!name || !is_name(name))
			return schema_error(err, path, field->key,
					    "expected an array of names");
		mem_strlcpy(target->names[i], name, NAME_SIZE_BYTES);
	}
	return true;
}

static bool parse_enum(const json_t *json, const field_t *field,
		       const char *path, int *target, err_t *err)
{
	const char *text = json_string_value(json);
	char problem[128] = "expected one of";
	size_t length, i;

	for (i = 0; text && field->values[i]; i++) {
		if (!strcmp(field->values[i], text)) {
			*target = (int)i;
			return true;
		}
	}
	for (i = 0; field->values[i]; i++) {
		length = strlen(problem);
		snprintf(problem + length, sizeof(problem) - length, " %s",
			 field->values[i]);
	}
	return schema_error(err, path, field->key, problem);
}

static bool parse_integer(const json_t *json, const field_t *field,
			  const char *path, int64_t *value, err_t *err)
{
	char problem[96];

	*value = json_integer_value(json);
	if (json_is_integer(json) && *value >= field->min &&
	    *value <= field->max)
		return true;
	snprintf(problem, sizeof(problem),
		 "expected an integer from %" PRId64 " to %" PRId64, field->min,
		 field->max);
	return schema_error(err, path, field->key, problem);
}

static bool parse_hash(const json_t *json, const field_t *field,
		       const char *path, uint8_t *target, err_t *err)
{
	const char *text = json_string_value(json);
	size_t size;

	if (!text || strlen(text) != 2 * KEY_HASH_SIZE_BYTES ||
	    sodium_hex2bin(target, KEY_HASH_SIZE_BYTES, text, strlen(text),
			   NULL, &size, NULL) ||
	    size != KEY_HASH_SIZE_BYTES)
		return schema_error(err, path, field->key,
				    "expected 64 hexadecimal digits");
	return true;
}

static bool parse_text(const json_t *json, const field_t *field,
		       const char *path, char *target, err_t *err)
{
	const char *text = json_string_value(json);

	if (field->type == FIELD_URL) {
		if (!text || !is_url(text))
			return schema_error(err, path, field->key,
					    "expected http://ADDRESS:PORT");
		mem_strlcpy(target, text, URL_SIZE_BYTES);
		return true;
	}
	if (!text || !is_name(text))
		return schema_error(err, path, field->key,
				    "expected a name of up to 63 letters, "
				    "digits, '-', '_' and '.'");
	mem_strlcpy(target, text, NAME_SIZE_BYTES);
	return true;
}

static bool parse_field(const json_t *json, const field_t *field,
			const char *path, void *target, err_t *err)
{
	int64_t value;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_URL:
		return parse_text(json, field, path, target, err);
	case FIELD_BOOL:
		if (!json_is_boolean(json))
			return schema_error(err, path, field->key,
					    "expected true or false");
		*(bool *)target = json_is_true(json);
		return true;
	case FIELD_INT32:
		if (!parse_integer(json, field, path, &value, err))
			return false;
		*(int32_t *)target = (int32_t)value;
		return true;
	case FIELD_INT64:
		return parse_integer(json, field, path, target, err);
	case FIELD_ENUM:
		return parse_enum(json, field, path, target, err);
	case FIELD_NAMES:
		return parse_names(json, field, path, target, err);
	case FIELD_HASH:
		return parse_hash(json, field, path, target, err);
	}
	return false;
}

static void set_initial(const field_t *field, void *target)
{
	switch (field->type) {
	case FIELD_BOOL:
		*(bool *)target = field->initial != 0;
		break;
	case FIELD_INT32:
		*(int32_t *)target = (int32_t)field->initial;
		break;
	case FIELD_INT64:
		*(int64_t *)target = field->initial;
		break;
	case FIELD_ENUM:
		*(int *)target = (int)field->initial;
		break;
	case FIELD_NAME:
	case FIELD_URL:
	case FIELD_NAMES:
	case FIELD_HASH:
		break;
	}
}

static bool check_keys(const json_t *json, const section_t *section,
		       const char *path, err_t *err)
{
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach((json_t *)json, key, value)
	{
		for (i = 0; i < section->field_count; i++)
			if (!strcmp(section->fields[i].key, key))
				break;
		if (i == section->field_count)
			return schema_error(err, path, key, "unknown key");
	}
	return true;
}

bool parse_object(const json_t *json, const section_t *section,
		  const char *path, void *target, err_t *err)
{
	size_t i;

	if (!json_is_object(json))
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "%s: expected an object", path);
	if (!check_keys(json, section, path, err))
		return false;
	for (i = 0; i < section->field_count; i++) {
		const field_t *field = &section->fields[i];
		const json_t *value = json_object_get(json, field->key);
		void *member = (char *)target + field->offset_bytes;

		if (!value && field->required)
			return schema_error(err, path, field->key, "missing");
		if (!value)
			set_initial(field, member);
		else if (!parse_field(value, field, path, member, err))
			return false;
	}
	return true;
}

void parse_clear(const section_t *section, void *target)
{
	size_t i;

	for (i = 0; i < section->field_count; i++) {
		const field_t *field = &section->fields[i];

		if (field->type == FIELD_NAMES)
			free(((names_t *)((char *)target + field->offset_bytes))
				     ->names);
	}
}
