#include "version/edit.h"

#include <stdlib.h>
#include <string.h>

#include "version/fields.h"

static json_t *section_array(json_t *root, const char *section)
{
	json_t *array = json_object_get(root, section);

	if (array)
		return array;
	json_object_set_new(root, section, json_array());
	return json_object_get(root, section);
}

static bool find_item(const json_t *array, const char *name, size_t *index)
{
	for (*index = 0; *index < json_array_size(array); (*index)++) {
		const char *found = json_string_value(
			json_object_get(json_array_get(array, *index), "name"));

		if (found && !strcmp(found, name))
			return true;
	}
	return false;
}

const json_t *edit_find(const json_t *root, const char *section,
			const char *name)
{
	const json_t *array = json_object_get(root, section);
	size_t index;

	return find_item(array, name, &index) ? json_array_get(array, index)
					      : NULL;
}

static bool no_item(err_t *err, const char *section, const char *name)
{
	return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_REFERENCE,
		       "%s: no \"%s\"", section, name);
}

bool edit_retire(json_t *root, const char *section, const char *name,
		 bool retired, err_t *err)
{
	json_t *array = section_array(root, section);
	size_t index;

	if (!find_item(array, name, &index))
		return no_item(err, section, name);
	json_object_set_new(json_array_get(array, index), "retired",
			    json_boolean(retired));
	return true;
}

bool edit_set(json_t *root, const char *section, const json_t *item, err_t *err)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	json_t *array = section_array(root, section);
	size_t index;

	if (!name)
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "%s: the item has no name", section);
	if (find_item(array, name, &index))
		json_array_set_new(array, index, json_deep_copy(item));
	else
		json_array_append_new(array, json_deep_copy(item));
	return true;
}

bool edit_remove(json_t *root, const char *section, const char *name,
		 err_t *err)
{
	json_t *array = section_array(root, section);
	size_t index;

	if (!find_item(array, name, &index))
		return no_item(err, section, name);
	json_array_remove(array, index);
	return true;
}

static void append_recent_change(json_t *root)
{
	json_t *previous = json_object_get(root, "change_id");
	json_t *recent = section_array(root, "recent_changes");

	if (!previous)
		return;
	json_array_append(recent, previous);
	while (json_array_size(recent) > EDIT_RECENT_CHANGES_MAX)
		json_array_remove(recent, 0);
}

document_t *edit_finish(json_t *root, int64_t version, const char *change_id,
			err_t *err)
{
	document_t *document;
	char *text;

	append_recent_change(root);
	json_object_set_new(root, "version", json_integer(version));
	json_object_set_new(root, "change_id", json_string(change_id));
	text = json_dumps(root, JSON_COMPACT);
	if (!text) {
		err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SYNTAX,
			"document: cannot be encoded as JSON");
		return NULL;
	}
	document = document_parse(text, strlen(text), err);
	free(text);
	return document;
}

bool edit_contains_change(const json_t *root, const char *change_id)
{
	const char *last =
		json_string_value(json_object_get(root, "change_id"));
	const json_t *recent = json_object_get(root, "recent_changes");
	size_t i;

	if (last && !strcmp(last, change_id))
		return true;
	for (i = 0; i < json_array_size(recent); i++) {
		const char *id = json_string_value(json_array_get(recent, i));

		if (id && !strcmp(id, change_id))
			return true;
	}
	return false;
}
