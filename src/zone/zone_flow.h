/**
 * @file zone_flow.h
 * Spillover between data centres (zones): the share of the requests for one
 * service that leaves each data centre, and where to. Pure: no clock, no I/O.
 *
 * Load it is meant for: waves of demand, seconds long and out of phase between
 * data centres, and data centres that lose their servers and get them back. A
 * share follows the pressure of a data centre: the requests in progress
 * relative to those that its servers can serve in time. Each node works out the
 * shares of all data centres from the load that it knows, so that it knows
 * which of them spill over and must not receive. A node without state starts
 * with no spillover.
 */
#ifndef ZONE_ZONE_FLOW_H
#define ZONE_ZONE_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Data centres of one service; further ones neither send nor receive. */
enum { ZONES_MAX = 32 };

/** Load of one data centre. */
typedef struct {
	uint32_t zone; /**< hash of the data centre's name */
	/** Requests that its usable servers serve in time, at once; 0: it has
	 * no usable server. */
	double capacity;
	/** Requests in progress, and prefill backlog in the same unit. */
	double used;
} zone_load_t;

typedef struct zone_flow zone_flow_t;

/** @param own hash of the name of this node's data centre */
zone_flow_t *zone_flow_create(uint32_t own);
/** @param flow may be NULL */
void zone_flow_destroy(zone_flow_t *flow);

/**
 * Computes the shares anew.
 * @param zones data centres with servers of the service; one that is missing
 *              has none
 */
void zone_flow_update(zone_flow_t *flow, const zone_load_t *zones, size_t count,
		      int64_t now_us);

/**
 * Decides where a request goes first.
 * @param salt random number of the request
 * @return the data centre; the own one if the request stays
 */
uint32_t zone_flow_choose(const zone_flow_t *flow, uint64_t salt);
/**
 * @param to data centre, also the own one
 * @return true if zone_flow_choose() chooses it
 */
bool zone_flow_may_leave(const zone_flow_t *flow, uint32_t to, uint64_t salt);

/** @return share of a data centre's requests that spills over, 0 to 1. */
double zone_flow_share(const zone_flow_t *flow, uint32_t from);

#endif
