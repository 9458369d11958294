/**
 * @file records.h
 * Reads the history files of a run; see docs/history.md.
 */
#ifndef TESTS_LIB_RECORDS_H
#define TESTS_LIB_RECORDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t t_us;
	const char *who;
	const char *event;
	json_t *fields;
} record_t;

typedef struct {
	record_t *items; /**< by time */
	size_t count;
} records_t;

/** Adds the records of a file; false and a message if it is malformed. */
bool records_read(records_t *records, const char *path);
void records_sort(records_t *records);
void records_clear(records_t *records);

/** @return a field as text; "" if it is missing. Valid until the next four
 * calls, since numbers are written to a buffer of their own. */
const char *record_text(const record_t *record, const char *key);
int64_t record_integer(const record_t *record, const char *key);
bool record_is(const record_t *record, const char *event);

#endif
