/**
 * @file attempt_load.h
 * Adds one attempt to the load of its servers and removes it when it ends.
 * Does no I/O; time is an argument.
 */
#ifndef PROCESS_ATTEMPT_LOAD_H
#define PROCESS_ATTEMPT_LOAD_H

#include "process/backends.h"

/** Which load an attempt puts on its servers. */
typedef enum {
	ATTEMPT_IDLE, /**< none: before attempt_load_begin(), or
			 after attempt_load_end() */
	ATTEMPT_PREFILL, /**< prefill on each server */
	ATTEMPT_DECODE /**< decode on the first server */
} attempt_phase_t;

/** Load of one attempt on its servers. */
typedef struct {
	attempt_phase_t phase;
	size_t shard_count; /**< entries of shards */
	/** Prompt shards; the server of the first also decodes. */
	local_prefill_t shards[PLACEMENT_SHARDS_MAX];
	/** Entry among the decoding requests of the first server. */
	local_decode_t decode;
} attempt_load_t;

/**
 * Adds the prefill of an attempt that is about to be sent.
 * @param kv_tokens engine memory: tokens of prompt and expected output
 * @param gap_us    longest event gap that the stream allows; 0: any
 * @param due_at_us time by which the first event should come; 0: no objective
 */
void attempt_load_begin(attempt_load_t *load, const placement_t *placement,
			int64_t kv_tokens, int64_t gap_us, int64_t due_at_us);
/** Replaces prefill by decode on the first server when an event arrives. */
void attempt_load_first_event(attempt_load_t *load);
/** Removes the load of an attempt that completed, failed or was cancelled. */
void attempt_load_end(attempt_load_t *load);

#endif
