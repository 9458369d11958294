/**
 * @file records.h
 * Reads the test history of a run: files with one event a line, as JSON, which
 * daemons, stand-ins and test clients write. docs/history.md lists the events.
 */
#ifndef TESTS_LIB_RECORDS_H
#define TESTS_LIB_RECORDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One event of the test history; @p fields owns the texts. */
typedef struct {
	int64_t t_us; /**< monotonic time of the event */
	const char *who; /**< name of the process that wrote the record */
	const char *event;
	json_t *fields; /**< the whole JSON object */
} record_t;

typedef struct {
	record_t *items; /**< ascending by time after records_sort() */
	size_t count;
} records_t;

/**
 * Adds the records of a file. An error is printed to stderr.
 * @return false if the file cannot be read or a line is malformed
 */
bool records_read(records_t *records, const char *path);
/** Sorts by time. */
void records_sort(records_t *records);
/** Frees the records. */
void records_clear(records_t *records);

/**
 * @return a field as text; "" if the field is missing. Valid until the fourth
 * call after this one, since numbers are written to four buffers in turn.
 */
const char *record_text(const record_t *record, const char *key);
/** @return an integer field; 0 if the field is missing. */
int64_t record_integer(const record_t *record, const char *key);
/** @return true if the record is of @p event. */
bool record_is(const record_t *record, const char *event);

#endif
