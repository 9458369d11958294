/**
 * @file server_work.h
 * Counts the work of one attempt on the servers that take part in it. Pure.
 */
#ifndef PROCESS_SERVER_WORK_H
#define PROCESS_SERVER_WORK_H

#include "process/backends.h"

typedef enum { WORK_NONE, WORK_READING, WORK_WRITING } work_phase_t;

/** Servers of one attempt; the first of them writes. */
typedef struct {
	work_phase_t phase;
	size_t part_count;
	backend_t *parts[PLACEMENT_PARTS_MAX]; /**< one reference each */
	int64_t kv_tokens[PLACEMENT_PARTS_MAX];
} server_work_t;

/**
 * Counts an attempt that is about to be sent.
 * @param kv_tokens prompt and expected output
 */
void server_work_begin(server_work_t *work, const placement_t *placement,
		       int64_t kv_tokens, int64_t now_us);
/** The first event came: the prompt is read, the first server writes. */
void server_work_first_event(server_work_t *work, int64_t now_us);
/** The attempt ended, however. */
void server_work_end(server_work_t *work, int64_t now_us);

#endif
