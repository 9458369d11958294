/**
 * @file forecast.h
 * Time model of a model engine with continuous batching. Pure: no clock, no
 * I/O.
 *
 * An engine works in iterations. An iteration prefills the waiting prompts, up
 * to one chunk for each of its steps, and, while any request decodes, executes
 * a fixed number of decode steps. Each decoding request gets one event an
 * iteration: a long prefill therefore delays the events of every stream on its
 * server.
 */
#ifndef PROCESS_FORECAST_H
#define PROCESS_FORECAST_H

#include <stdint.h>

#include "version/routing.h"

/** Load of a server: the sum over all nodes whose load is known. */
typedef struct {
	/** Prompts without a first event, and prompt shards. */
	int32_t prefilling;
	/** Subset of `prefilling`: requests that will decode on this server. */
	int32_t decode_pending;
	int32_t decoding; /**< decoding requests: past their first event */
	/** Shortest event gap that any stream on the server allows; 0: any. */
	int64_t gap_us;
	/** Time left until the earliest latency objective of the prefilling
	 * requests; 0: none. */
	int64_t target_us;
	/** Prompts and expected output of prefilling and decoding requests. */
	int64_t kv_tokens;
	int64_t backlog_us; /**< prefill backlog */
	/** Subset of `prefilling`: requests that the server admits after all
	 * others. */
	int32_t deferred;
} server_load_t;

/**
 * Lowers @p bound_us to @p value_us if that is smaller.
 * @param bound_us 0: no bound yet
 * @param value_us 0 or less: ignored
 */
void forecast_min_us(int64_t *bound_us, int64_t value_us);

/**
 * @param decoding       decoding requests of the server
 * @param context_tokens sum of their context lengths
 * @return time of the decode steps of one iteration; 0 without decoding
 *         requests
 */
double forecast_decode_us(const engine_profile_t *engine, int32_t decoding,
			  int64_t context_tokens);

/** @return time to prefill one of @p shards equal shards of a prompt. */
double forecast_prefill_us(const engine_profile_t *engine,
			   int64_t prompt_tokens, int32_t shards);

/**
 * @param prefill_us prefill of a prompt shard
 * @param tokens     length of the prompt shard
 * @return the longest prefill of the shard that one iteration can execute
 */
double forecast_iteration_prefill_us(const engine_profile_t *engine,
				     double prefill_us, int64_t tokens);

/**
 * @return time of the decode steps that run before the first event of a new
 *         prompt
 */
double forecast_decode_wait_us(const engine_profile_t *engine,
			       const server_load_t *load);

/**
 * @param prefill_us prefill of the new prompt
 * @return time until the first event of the prompt
 */
double forecast_first_event_us(const engine_profile_t *engine,
			       const server_load_t *load, double prefill_us);

/**
 * @return time to generate @p output_tokens on a server with this load, after
 *         the first event
 */
double forecast_output_us(const engine_profile_t *engine, int64_t output_tokens,
			  const server_load_t *load);

#endif
