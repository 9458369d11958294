/**
 * @file duties.h
 * Duties towards the platform that one node at a time does for all nodes:
 * reports of usage, and orders of servers.
 *
 * Nodes with fast links to the platform's store request a lease in the store;
 * the lease holder does the duties. Each node sends its usage counts to all
 * nodes that request or hold the lease, so that a successor has the counts,
 * too.
 */
#ifndef DUTY_DUTIES_H
#define DUTY_DUTIES_H

#include "duty/usage.h"
#include "process/load_table.h"

struct gateway;
typedef struct duties duties_t;

/** @return NULL if the platform has no duties for nodes, by the settings */
duties_t *duties_create(struct gateway *gateway);
void duties_destroy(duties_t *duties);
/** Gives up the lease if this node holds it. */
void duties_stop(duties_t *duties);

/* The functions below accept NULL: the platform has no duties for nodes. */

/** Gives up the lease after the store came back from an older copy. */
void duties_store_restored(duties_t *duties);
/**
 * Counts a request of a client account that began to run.
 * @param began_us when the request began, on the monotonic clock
 */
void duties_count_request(duties_t *duties, const char *account,
			  int64_t began_us);
/** Takes in a datagram with the usage counts of another node. */
void duties_receive_usage(duties_t *duties, const usage_message_t *message);
/** @return duty state that this node announces to the other nodes. */
duty_state_t duties_state(const duties_t *duties);
/**
 * @return number of the last usage window whose counts this node no longer
 * needs; 0: none, or this node does not hold the lease
 */
int64_t duties_usage_closed(const duties_t *duties);

#endif
