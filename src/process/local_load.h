/**
 * @file local_load.h
 * Load that this node puts on the backend servers. Pure: no clock, no I/O.
 *
 * An attempt counts on each server that takes part in it: as a prefill until
 * the attempt's first event, then as a decode on its first server only.
 */
#ifndef PROCESS_LOCAL_LOAD_H
#define PROCESS_LOCAL_LOAD_H

#include <stdbool.h>

#include "process/forecast.h"

struct backend;

/** Prefill of one attempt on one server: the prompt, or a prompt shard. */
typedef struct local_prefill {
	struct backend *server;
	int64_t kv_tokens;
	int64_t prefill_us; /**< predicted duration of the prefill */
	bool will_decode; /**< true on the server that also decodes the output
			   */
	int64_t gap_us; /**< longest event gap that the stream allows; 0: any */
	int64_t due_at_us; /**< latest time at which the first event meets
			       its objective; 0: no objective */
	bool deferred; /**< the server admits the request after all others */
	struct local_prefill *prev, *next;
} local_prefill_t;

/** Decode of one attempt on its server: a stream past its first event. */
typedef struct local_decode {
	int64_t gap_us; /**< longest event gap that the stream allows; 0: any */
	struct local_decode *prev, *next;
} local_decode_t;

/** Load of this node on one server. */
typedef struct {
	local_prefill_t *prefills; /**< NULL: none */
	local_decode_t *decodes; /**< NULL: none */
	int64_t kv_tokens; /**< KV memory of the prefills and decodes */
} local_load_t;

/**
 * Sums up the load of this node on one server. A prefill counts with its whole
 * predicted duration until the first event of its attempt.
 */
server_load_t local_load_sum(const local_load_t *local, int64_t now_us);

#endif
