/**
 * @file duties.h
 * The duties that one node at a time has towards the platform: reports of
 * usage, and orders for servers.
 *
 * Nodes with fast links ask for a lease in the platform's store; its holder
 * does the duties. What the holder needs of the others, they tell all nodes
 * that ask for the lease, so that a successor has it, too.
 */
#ifndef DUTY_DUTIES_H
#define DUTY_DUTIES_H

#include "duty/usage.h"
#include "process/work_share.h"

struct gateway;
typedef struct duties duties_t;

/** @return NULL if the platform has no duties for nodes */
duties_t *duties_create(struct gateway *gateway);
void duties_destroy(duties_t *duties);
/** Gives the lease up. */
void duties_stop(duties_t *duties);

/* These take NULL where the platform has no duties. */

/**
 * A request of an account began to run.
 * @param began_us by the monotonic clock
 */
void duties_count_request(duties_t *duties, const char *account,
			  int64_t began_us);
void duties_receive_usage(duties_t *duties, const usage_message_t *report);
/** @return what this node announces of the duties. */
duty_state_t duties_state(const duties_t *duties);
/** @return the last window of usage of which this node needs no reports. */
int64_t duties_usage_closed(const duties_t *duties);

#endif
