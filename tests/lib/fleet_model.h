/**
 * @file fleet_model.h
 * A model of many nodes that place requests on shared engines, each knowing of
 * the others only what they announced. It plays a load through the placement
 * of the daemon and counts what callers get; time is simulated.
 *
 * Engines work in passes (see process/forecast.h). Nodes announce new work
 * after a delay, and everything else at most once in a longer pause.
 */
#ifndef TESTS_LIB_FLEET_MODEL_H
#define TESTS_LIB_FLEET_MODEL_H

#include <stdint.h>

#include "version/routing.h"

enum { FLEET_KINDS_MAX = 4 };

/** One kind of requests. */
typedef struct {
	const char *name;
	double per_s;
	int64_t prompt_least, prompt_most; /**< tokens, even in between */
	int64_t output_tokens;
	int64_t target_ms; /**< of the first event */
	int64_t gap_ms; /**< longest pause between events */
} fleet_kind_t;

typedef struct {
	engine_profile_t engine;
	size_t servers;
	int32_t slots; /**< of a server */
	int32_t nodes;
	int64_t work_known_ms; /**< until others know of new work */
	int64_t announce_ms; /**< pause between other announcements */
	int64_t length_ms;
	uint64_t seed;
	fleet_kind_t kinds[FLEET_KINDS_MAX];
} fleet_load_t;

/** What callers of one kind got. */
typedef struct {
	int32_t asked, refused;
	int32_t late_first; /**< first event after the target */
	int32_t late_gap; /**< else: a pause that was too long */
} fleet_seen_t;

typedef struct {
	fleet_seen_t kinds[FLEET_KINDS_MAX];
} fleet_result_t;

void fleet_play(const fleet_load_t *load, fleet_result_t *result);

#endif
