#include "lib/records.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/* Adds the record of a line. @return false if the line is not a record */
static bool add(records_t *records, const char *line)
{
	json_t *json = json_loads(line, 0, NULL);
	record_t record = { .fields = json };

	record.t_us = json_integer_value(json_object_get(json, "t_us"));
	record.who = json_string_value(json_object_get(json, "who"));
	record.event = json_string_value(json_object_get(json, "event"));
	if (!record.who || !record.event) {
		json_decref(json);
		return false;
	}
	/* Doubles the capacity when the count reaches a power of two. */
	if (!(records->count & (records->count - 1)))
		records->items = mem_realloc(
			records->items, records->count ? records->count * 2 : 1,
			sizeof(*records->items));
	records->items[records->count++] = record;
	return true;
}

bool records_read(records_t *records, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t capacity = 0, number = 0;
	bool valid = true;

	if (!file) {
		perror(path);
		return false;
	}
	while (valid && getline(&line, &capacity, file) > 0) {
		number++;
		valid = add(records, line);
	}
	if (!valid)
		fprintf(stderr,
			"%s:%zu: not a history record: expected JSON "
			"with who and event\n",
			path, number);
	free(line);
	fclose(file);
	return valid;
}

static int compare(const void *a, const void *b)
{
	const record_t *left = a, *right = b;

	return (left->t_us > right->t_us) - (left->t_us < right->t_us);
}

void records_sort(records_t *records)
{
	if (records->count)
		qsort(records->items, records->count, sizeof(*records->items),
		      compare);
}

void records_clear(records_t *records)
{
	size_t i;

	for (i = 0; i < records->count; i++)
		json_decref(records->items[i].fields);
	free(records->items);
}

const char *record_text(const record_t *record, const char *key)
{
	static char buffers[4][24];
	static unsigned int next;
	const json_t *value = json_object_get(record->fields, key);
	char *buffer = buffers[next++ % 4];

	if (json_is_string(value))
		return json_string_value(value);
	if (!json_is_integer(value))
		return "";
	snprintf(buffer, sizeof(buffers[0]), "%" PRId64,
		 (int64_t)json_integer_value(value));
	return buffer;
}

int64_t record_integer(const record_t *record, const char *key)
{
	return json_integer_value(json_object_get(record->fields, key));
}

bool record_is(const record_t *record, const char *event)
{
	return !strcmp(record->event, event);
}
