/**
 * @file lease.h
 * A lease on an object of the platform.
 *
 * Clocks of two VMs are not compared. The holder counts the lease from before
 * it sent the write that renewed it, by a clock that never goes back, and stops
 * some time before its end. A candidate takes the lease over after it has
 * seen the same object version for the whole duration. The version with which
 * a holder acquired the lease is its fencing token; versions only grow. Pure:
 * lease_next() gives the platform calls to make.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include "platform/client.h"

/** A reconciler that died is replaced within two of these. */
#define LEASE_DURATION_US (10 * US_PER_S)

/** Leaves room for two lost renewals before the holder stops. */
#define LEASE_RENEW_US (LEASE_DURATION_US / 4)

/** Time for the last order to reach its server, and for clock drift. */
#define LEASE_STOP_US (2 * US_PER_S)

typedef struct lease lease_t;

/** Times of a lease. */
typedef struct {
	int64_t duration_us; /**< from a renewal */
	int64_t renew_us; /**< between renewals */
	int64_t stop_us; /**< before its end, in which the holder does nothing
			  */
	int64_t poll_us; /**< between looks of a candidate */
	/** After a start, and after it lost the lease, a node stays away for
	 * so long: nobody sees it act again shortly after another one. */
	int64_t abstain_us;
} lease_times_t;

/** Those of the reconciler. */
extern const lease_times_t lease_reconciler_times;

typedef enum {
	LEASE_ACTION_READ, /**< platform_get(name) */
	LEASE_ACTION_CREATE, /**< platform_create_object(name, spec) */
	LEASE_ACTION_PUT /**< platform_put(name, version, spec) */
} lease_action_type_t;

typedef struct {
	lease_action_type_t type;
	int64_t version;
	json_t *spec; /**< one reference, for the taker */
} lease_action_t;

/** @param name of the platform object */
lease_t *lease_create(const char *name, const char *vm_id, uint64_t incarnation,
		      const lease_times_t *times, int64_t now_us);
void lease_destroy(lease_t *lease);

const char *lease_object_name(const lease_t *lease);

/** Whether this node wants the lease. A holder that no longer wants it gives
 * it up with a last write. */
void lease_set_wanted(lease_t *lease, bool wanted);
bool lease_wanted(const lease_t *lease);

/** Takes the next platform call; false if none is due. */
bool lease_next(lease_t *lease, lease_action_t *action, int64_t now_us);

/** Result of the outstanding platform call. */
void lease_result(lease_t *lease, platform_status_t status,
		  const platform_object_t *object, int64_t now_us);

/**
 * What a holder hands to the next one. It is written with each renewal; a node
 * that acquires the lease finds what the holder before wrote.
 * @return borrowed; NULL: nothing was written
 */
json_t *lease_state(const lease_t *lease);
/** Replaces the state, as holder; takes over @p state. */
void lease_set_state(lease_t *lease, json_t *state);
/** Whether the present state was written under the present lease. */
bool lease_state_written(const lease_t *lease);

/** Whether this node may act now. Check it right before each act. */
bool lease_held(const lease_t *lease, int64_t now_us);

/** Whether there was no holder before this one. */
bool lease_is_first(const lease_t *lease);

/** @return the fencing token; meaningful while the lease is held. */
int64_t lease_token(const lease_t *lease);

#endif
