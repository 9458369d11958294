/**
 * @file server_work.h
 * The work of this node on the backend servers. Pure.
 *
 * An attempt counts on each server that takes part in it: as a reader until
 * its first event, then as a writer on the first server.
 */
#ifndef PROCESS_SERVER_WORK_H
#define PROCESS_SERVER_WORK_H

#include <stdbool.h>

#include "process/forecast.h"

struct backend;

/** One part of an attempt on one server. */
typedef struct work_part {
	struct backend *server;
	int64_t kv_tokens;
	int64_t read_us; /**< prefill by prediction */
	bool writes; /**< the stream is written here, too */
	int64_t gap_us; /**< longest pause that it allows; 0: any */
	int64_t due_at_us; /**< objective of its first event; 0: none */
	struct work_part *prev, *next;
} local_prefill_t;

/** A stream that writes. */
typedef struct work_writer {
	int64_t gap_us; /**< longest pause that it allows; 0: any */
	struct work_writer *prev, *next;
} local_decode_t;

/** What this node has on one server. */
typedef struct {
	local_prefill_t *parts;
	local_decode_t *writers;
	int64_t kv_tokens;
} local_load_t;

/** Sums up the work on a server; all prefill without a first event counts. */
server_load_t local_load_sum(const local_load_t *work, int64_t now_us);

#endif
