#include "version/assign.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "version/document.h"

static bool assign_error(err_t *err, const section_t *section, const char *text,
			 const char *problem)
{
	return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
		       "%s: %s: %s", section->key, text, problem);
}

static json_t *list_value(const char *value)
{
	json_t *list = json_array();
	size_t length;

	while (*value) {
		length = strcspn(value, ",");
		json_array_append_new(list, json_stringn(value, length));
		value += length + (value[length] == ',');
	}
	return list;
}

static json_t *integer_value(const char *value)
{
	char *end;
	long long number;

	errno = 0;
	number = strtoll(value, &end, 10);
	return errno || *end || end == value ? NULL : json_integer(number);
}

static json_t *bool_value(const char *value)
{
	if (!strcmp(value, "true"))
		return json_true();
	return strcmp(value, "false") ? NULL : json_false();
}

static json_t *field_value(const field_t *field, const char *value)
{
	switch (field->type) {
	case FIELD_BOOL:
		return bool_value(value);
	case FIELD_INT32:
	case FIELD_INT64:
		return integer_value(value);
	case FIELD_NAMES:
		return list_value(value);
	case FIELD_NAME:
	case FIELD_URL:
	case FIELD_ENUM:
	case FIELD_HASH:
		return json_string(value);
	}
	return NULL;
}

static void set_key_hash(json_t *item, const char *secret)
{
	uint8_t hash[KEY_HASH_SIZE_BYTES];
	char text[2 * KEY_HASH_SIZE_BYTES + 1];

	document_hash_key(secret, hash);
	sodium_bin2hex(text, sizeof(text), hash, sizeof(hash));
	json_object_set_new(item, "key_hash", json_string(text));
}

static const field_t *find_field(const section_t *section, const char *key,
				 size_t length)
{
	size_t i;

	for (i = 0; i < section->field_count; i++)
		if (strlen(section->fields[i].key) == length &&
		    !strncmp(section->fields[i].key, key, length))
			return &section->fields[i];
	return NULL;
}

bool assign_value(json_t *item, const section_t *section, const char *text,
		  err_t *err)
{
	const char *equals = strchr(text, '=');
	const field_t *field;
	json_t *value;

	if (!equals)
		return assign_error(err, section, text, "expected KEY=VALUE");
	if (section == &sections[SECTION_ACCOUNTS] &&
	    !strncmp(text, "key=", 4)) {
		if (!equals[1])
			return assign_error(err, section, "key",
					    "the secret is empty");
		set_key_hash(item, equals + 1);
		return true;
	}
	field = find_field(section, text, (size_t)(equals - text));
	if (!field || !strcmp(field->key, "name"))
		return assign_error(err, section, text, "unknown key");
	if (!equals[1]) {
		json_object_del(item, field->key);
		return true;
	}
	value = field_value(field, equals + 1);
	if (!value)
		return assign_error(err, section, text,
				    field->type == FIELD_BOOL
					    ? "expected true or false"
					    : "expected an integer");
	json_object_set_new(item, field->key, value);
	return true;
}
