/**
 * @file fleet_model.h
 * Simulation of many nodes that place requests on shared engines. Each node
 * knows only the load that the other nodes announced. Requests are placed by
 * the daemon's placement code, and the results for callers are counted. Time is
 * simulated.
 *
 * Engines work in iterations (see process/forecast.h). Nodes announce new load
 * after a delay, and all other changes at most once in a longer interval.
 */
#ifndef TESTS_LIB_FLEET_MODEL_H
#define TESTS_LIB_FLEET_MODEL_H

#include <stdint.h>

#include "version/routing.h"

enum { FLEET_KINDS_MAX = 4 };

/** A kind of request. */
typedef struct {
	const char *name; /**< NULL: unused entry */
	double per_s; /**< arrivals, over all nodes */
	/** Range of prompt lengths in tokens, uniformly distributed. */
	int64_t prompt_min, prompt_max;
	int64_t output_tokens;
	int64_t target_ms; /**< objective for the first event */
	int64_t gap_ms; /**< longest allowed event gap */
} fleet_kind_t;

/** The fleet and the load to simulate. */
typedef struct {
	engine_profile_t engine;
	size_t servers;
	int32_t slots; /**< request slots of each server */
	int32_t nodes;
	int64_t load_known_ms; /**< delay until other nodes know of new load */
	int64_t announce_ms; /**< interval between other announcements */
	int64_t length_ms; /**< simulated time */
	uint64_t seed;
	fleet_kind_t kinds[FLEET_KINDS_MAX];
} fleet_scenario_t;

/** Results of the requests of one kind. */
typedef struct {
	int32_t requested, refused;
	int32_t missed_first; /**< first event after target_ms */
	int32_t missed_gap; /**< otherwise: an event gap above gap_ms */
} fleet_stats_t;

typedef struct {
	fleet_stats_t kinds[FLEET_KINDS_MAX];
} fleet_result_t;

/** Runs the simulation. @param result overwritten */
void fleet_simulate(const fleet_scenario_t *load, fleet_result_t *result);

#endif
