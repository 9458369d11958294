/**
 * @file history_index.h
 * The calls, actions and daemons that the records of a run tell of.
 */
#ifndef TESTS_LIB_HISTORY_INDEX_H
#define TESTS_LIB_HISTORY_INDEX_H

#include <uthash.h>

#include "lib/records.h"

/** A call of a test client, with what the backend servers saw of it. */
typedef struct {
	char id[64];
	const record_t *invoke, *response, *gone;
	int64_t ran_us; /**< a server ran it; 0: none did */
	UT_hash_handle hh;
} call_t;

/** An action: several calls may ask for it, it may run once. */
typedef struct {
	char id[64];
	int64_t executions;
	UT_hash_handle hh;
} action_t;

/** One process of a daemon. */
typedef struct {
	char id[64]; /**< incarnation */
	char who[64];
	int64_t version;
	int64_t start_us, stop_us; /**< stop: INT64_MAX while it runs */
	UT_hash_handle hh;
} node_t;

typedef struct {
	records_t records;
	call_t *calls;
	action_t *actions;
	node_t *nodes;
	int64_t end_us; /**< of the last record */
} history_t;

/** Sorts and indexes the records that were read. */
void history_index(history_t *history);
void history_clear(history_t *history);

/** @return the daemon process of an incarnation, also if it is new. */
node_t *history_node(history_t *history, const char *incarnation);

/**
 * @return the time by which something due at @p due_us has to have happened,
 * when processes were stopped or the platform was down meanwhile: a pause
 * ends with a record `resumed`, and the time allowed starts again there.
 * INT64_MAX if a pause never ended
 */
int64_t history_after_pauses(const history_t *history, int64_t from_us,
			     int64_t due_us);

#endif
