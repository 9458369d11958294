/**
 * @file history_index.h
 * Index of the calls, actions and daemon processes in the records of a run.
 */
#ifndef TESTS_LIB_HISTORY_INDEX_H
#define TESTS_LIB_HISTORY_INDEX_H

#include <uthash.h>

#include "lib/records.h"

/** A call of a test client, with its execution by a backend server. */
typedef struct {
	char id[64];
	/* Records of the call; NULL: none. */
	const record_t *invoke, /**< the client sent the call */
		*response, /**< the call ended */
		*abandoned; /**< the client aborted the call */
	int64_t ran_us; /**< when a server ran the call; 0: none did */
	UT_hash_handle hh;
} call_t;

/** An action, which may run at most once for all calls that request it. */
typedef struct {
	char id[64];
	int64_t executions; /**< times that servers ran the action */
	UT_hash_handle hh;
} action_t;

/** A daemon process. */
typedef struct {
	char id[64]; /**< incarnation of the process */
	char who[64]; /**< name of the node */
	int64_t version; /**< configuration applied last; 0: none */
	int64_t start_us, /**< first configuration applied */
		stop_us; /**< stopped or killed; INT64_MAX: still running */
	UT_hash_handle hh;
} node_t;

typedef struct {
	records_t records;
	call_t *calls;
	action_t *actions;
	node_t *nodes;
	int64_t end_us; /**< time of the last record */
} history_t;

/** Sorts and indexes the records that were read. */
void history_index(history_t *history);
/** Frees the records and their index. */
void history_clear(history_t *history);

/** @return the daemon process of an incarnation, added if not in the index */
node_t *history_node(history_t *history, const char *incarnation);

/**
 * Extends a time limit by pauses, in which processes were stopped or the
 * platform was down. A pause lasts from a record `paused` to a record
 * `resumed`; the full time allowed starts again at the end of a pause.
 * @param from_us when the time allowed starts
 * @param due_us when the time allowed ends without a pause
 * @return when the time allowed ends; INT64_MAX if a pause never ended
 */
int64_t history_extend_due(const history_t *history, int64_t from_us,
			   int64_t due_us);

#endif
