/**
 * @file duty_lease.h
 * The lease of the duties, kept in the platform's store.
 */
#ifndef DUTY_DUTY_LEASE_H
#define DUTY_DUTY_LEASE_H

#include "platform/client.h"
#include "process/lease.h"

typedef struct duty_lease duty_lease_t;

/**
 * @param node        id of this node
 * @param incarnation of this process
 * @param duration_us in which no other node may act after one
 */
duty_lease_t *duty_lease_create(platform_t *platform, const char *node,
				uint64_t incarnation, int64_t duration_us);
/** The calls of the platform client must not come back any more. */
void duty_lease_destroy(duty_lease_t *duty);

/** Asks for the lease, renews it or gives it up. Call it several times a
 * second. */
void duty_lease_step(duty_lease_t *duty, bool wanted);
bool duty_lease_held(const duty_lease_t *duty);
/** @return the lease itself, for its token and its state */
lease_t *duty_lease(const duty_lease_t *duty);
/** @return how long a call may take that starts while the lease is held */
int64_t duty_lease_call_ms(const duty_lease_t *duty);

#endif
