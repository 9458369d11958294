/**
 * @file attempt_work.h
 * Counts one attempt on the servers that take part in it. Pure.
 */
#ifndef PROCESS_ATTEMPT_WORK_H
#define PROCESS_ATTEMPT_WORK_H

#include "process/backends.h"

typedef enum { WORK_NONE, WORK_READING, WORK_WRITING } work_phase_t;

/** Servers of one attempt; the first of them writes. */
typedef struct {
	work_phase_t phase;
	size_t part_count;
	local_prefill_t parts[PLACEMENT_PARTS_MAX];
	local_decode_t writer;
} attempt_load_t;

/**
 * Counts an attempt that is about to be sent.
 * @param kv_tokens prompt and expected output
 * @param gap_us    longest pause that its stream allows; 0: any
 * @param due_at_us objective of its first event; 0: none
 */
void attempt_load_begin(attempt_load_t *work, const placement_t *placement,
			int64_t kv_tokens, int64_t gap_us, int64_t due_at_us);
/** The first event came: the prompt is read, the first server writes. */
void attempt_load_first_event(attempt_load_t *work);
/** The attempt ended, however. */
void attempt_load_end(attempt_load_t *work);

#endif
