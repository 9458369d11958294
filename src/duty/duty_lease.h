/**
 * @file duty_lease.h
 * Lease of the node that does the duties, kept in the platform's store.
 */
#ifndef DUTY_DUTY_LEASE_H
#define DUTY_DUTY_LEASE_H

#include "platform/client.h"
#include "process/lease.h"

typedef struct duty_lease duty_lease_t;

/**
 * @param node        id of this node
 * @param incarnation id of this process
 * @param duration_us validity of the lease from each renewal; no other node may
 *                    act in this time
 */
duty_lease_t *duty_lease_create(platform_t *platform, const char *node,
				uint64_t incarnation, int64_t duration_us);
/** To be called only when the platform client makes no more callbacks: the
 * callback of an outstanding call uses @p duty. */
void duty_lease_destroy(duty_lease_t *duty);

/**
 * Requests, renews or releases the lease. Call it several times a second.
 * @param wanted false: this node releases the lease, or does not request it
 */
void duty_lease_step(duty_lease_t *duty, bool wanted);
/** See lease_store_restored(). */
void duty_lease_store_restored(duty_lease_t *duty);
/** @return true if this node may act as the lease holder now. */
bool duty_lease_held(const duty_lease_t *duty);
/** @return the underlying lease, for its fencing token and its state */
lease_t *duty_lease(const duty_lease_t *duty);
/** @return timeout of a call to the platform that starts while the lease is
 * held */
int64_t duty_lease_call_timeout_ms(const duty_lease_t *duty);

#endif
