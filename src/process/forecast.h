/**
 * @file forecast.h
 * Time model of a model engine that batches continuously. Pure.
 *
 * An engine works in passes. A pass prefills the prompts that wait, up to one
 * chunk for each of its steps, and, while any request writes, executes a fixed
 * number of decode steps. Each writer gets one event a pass: a long prefill
 * therefore delays the events of every stream on its server.
 */
#ifndef PROCESS_FORECAST_H
#define PROCESS_FORECAST_H

#include <stdint.h>

#include "version/routing.h"

/** What occupies a server, summed over all nodes as far as they are known. */
typedef struct {
	int32_t readers; /**< requests without a first event, and parts */
	int32_t starting; /**< of them: requests that will write here */
	int32_t writers; /**< requests past their first event */
	int64_t gap_us; /**< shortest pause that a stream allows; 0: none */
	int64_t due_us; /**< until the first objective of the readers; 0: none
			 */
	int64_t kv_tokens; /**< prompt and expected output of both */
	int64_t pending_us; /**< prefill that is not done yet */
} server_load_t;

/** Lowers a bound, of which 0 is none. */
void forecast_min_us(int64_t *bound_us, int64_t value_us);

/** @return duration of the decode steps of a pass; 0 without writers. */
double forecast_decode_us(const engine_profile_t *engine, int32_t writers,
			  int64_t context_tokens);

/** @return time to prefill one of @p parts equal parts of a prompt. */
double forecast_read_us(const engine_profile_t *engine, int64_t prompt_tokens,
			int32_t parts);

/** @return the longest prefill that one pass can hold. */
double forecast_pass_read_max_us(const engine_profile_t *engine, double read_us,
				 int64_t tokens);

/** @return time for decode steps before a new prompt's first event. */
double forecast_decode_wait_us(const engine_profile_t *engine,
			       const server_load_t *load);

/** @return time until a prompt of @p read_us has its first event. */
double forecast_first_event_us(const engine_profile_t *engine,
			       const server_load_t *load, double read_us);

/** @return time to write @p output_tokens on a server with this load. */
double forecast_write_us(const engine_profile_t *engine, int64_t output_tokens,
			 const server_load_t *load);

#endif
