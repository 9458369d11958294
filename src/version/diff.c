#include "version/diff.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "version/fields.h"

typedef struct {
	void (*line)(void *context, const char *text);
	void *context;
	size_t lines;
} output_t;

static void put(output_t *output, char sign, const char *section,
		const char *name, const char *detail)
{
	char text[1024];

	snprintf(text, sizeof(text), "%c %s%s%s%s%s", sign, section,
		 *name ? " " : "", name, *detail ? " " : "", detail);
	output->line(output->context, text);
	output->lines++;
}

/* Items of `distances` have no name and are identified as FROM-TO. */
static void item_name(const json_t *item, char *name, size_t size)
{
	const char *text = json_string_value(json_object_get(item, "name"));
	const char *from = json_string_value(json_object_get(item, "from"));
	const char *to = json_string_value(json_object_get(item, "to"));

	if (text)
		snprintf(name, size, "%s", text);
	else
		snprintf(name, size, "%s-%s", from ? from : "?", to ? to : "?");
}

static const json_t *find_item(const json_t *array, const char *name)
{
	char other[160];
	size_t i;

	for (i = 0; i < json_array_size(array); i++) {
		item_name(json_array_get(array, i), other, sizeof(other));
		if (!strcmp(other, name))
			return json_array_get(array, i);
	}
	return NULL;
}

static char *dump(const json_t *value)
{
	return value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY |
						 JSON_SORT_KEYS)
		     : NULL;
}

static void diff_value(output_t *output, const char *section, const char *name,
		       const char *key, const json_t *from, const json_t *to)
{
	char *before, *after;
	char detail[768];

	if (json_equal(from, to))
		return;
	before = dump(from);
	after = dump(to);
	snprintf(detail, sizeof(detail), "%s: %s -> %s", key,
		 before ? before : "(none)", after ? after : "(none)");
	put(output, '~', section, name, detail);
	free(before);
	free(after);
}

static void diff_object(output_t *output, const char *section, const char *name,
			const json_t *from, const json_t *to)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)to, key, value) diff_value(
		output, section, name, key, json_object_get(from, key), value);
	json_object_foreach((json_t *)from, key,
			    value) if (!json_object_get(to, key))
		diff_value(output, section, name, key, value, NULL);
}

static void diff_section(output_t *output, const char *section,
			 const json_t *from, const json_t *to)
{
	const json_t *item, *other;
	char name[160];
	size_t i;

	for (i = 0; i < json_array_size(from); i++) {
		item = json_array_get(from, i);
		item_name(item, name, sizeof(name));
		if (!find_item(to, name))
			put(output, '-', section, name, "");
	}
	for (i = 0; i < json_array_size(to); i++) {
		item = json_array_get(to, i);
		item_name(item, name, sizeof(name));
		other = find_item(from, name);
		if (other)
			diff_object(output, section, name, other, item);
		else
			put(output, '+', section, name, "");
	}
}

size_t diff_documents(const json_t *from, const json_t *to,
		      void (*line)(void *context, const char *text),
		      void *context)
{
	output_t output = { .line = line, .context = context };
	int id;

	for (id = 0; id < SECTION_COUNT; id++)
		diff_section(&output, sections[id].key,
			     json_object_get(from, sections[id].key),
			     json_object_get(to, sections[id].key));
	diff_object(&output, limits_section.key, "",
		    json_object_get(from, limits_section.key),
		    json_object_get(to, limits_section.key));
	return output.lines;
}
