/**
 * @file forecast.h
 * Time model of a model engine that batches continuously. Pure.
 *
 * An engine works in passes. While any request writes, a pass executes a
 * fixed number of decode steps and then prefills at most one chunk; without
 * writers, passes prefill only. A prompt therefore reads several times faster
 * on a server that has no writers.
 */
#ifndef PROCESS_FORECAST_H
#define PROCESS_FORECAST_H

#include <stdint.h>

#include "version/routing.h"

/** What occupies a server, summed over all nodes as far as they are known. */
typedef struct {
	int32_t readers; /**< requests without a first token */
	int32_t writers; /**< requests past their first token */
	int64_t kv_tokens; /**< prompt and expected output of both */
	int64_t busy_until_us; /**< when the prompts ahead will be read */
} server_load_t;

/** @return duration of the decode part of a pass; 0 without writers. */
double forecast_pass_us(const engine_profile_t *engine, int32_t writers,
			int64_t context_tokens);

/**
 * @return time to prefill one part of a prompt.
 * @param prompt_tokens of the whole prompt
 * @param parts         servers that read equal parts of it
 */
double forecast_read_us(const engine_profile_t *engine, int64_t prompt_tokens,
			int32_t parts, const server_load_t *load);

/** @return time from the last prefill step to the first event. */
double forecast_first_event_us(const engine_profile_t *engine,
			       const server_load_t *load);

/** @return time to write @p output_tokens on a server with this load. */
double forecast_write_us(const engine_profile_t *engine, int64_t output_tokens,
			 const server_load_t *load);

#endif
