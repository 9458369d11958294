/**
 * @file lease.h
 * A lease that one node at a time holds, kept in an object of the platform.
 *
 * Clocks of two VMs are not compared. The holder counts the lease from before
 * it sent the write that renewed it, by a clock that never goes back, and stops
 * acting some time before the lease ends. A candidate acquires the lease after
 * it has read the same object version for the whole duration. The object
 * version with which a holder acquired the lease is its fencing token; versions
 * only grow.
 *
 * This module reads no clock and does no I/O: time is an argument, and
 * lease_next() returns the platform calls to make.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include "platform/client.h"

/** Duration of the reconciler's lease, from a renewal. A reconciler that died
 * is replaced within two durations. */
#define LEASE_DURATION_US (10 * US_PER_S)

/** Time between renewals. Two lost renewals don't stop the holder. */
#define LEASE_RENEW_US (LEASE_DURATION_US / 4)

/** The holder stops acting this long before its lease ends: time for the last
 * order to reach its server, and for clock drift. */
#define LEASE_STOP_US (2 * US_PER_S)

typedef struct lease lease_t;

/** Times of a lease. */
typedef struct {
	int64_t duration_us; /**< validity of the lease, from a renewal */
	int64_t renew_us; /**< time between two renewals */
	int64_t stop_us; /**< the holder stops acting this long before the
			    end of the lease */
	int64_t poll_us; /**< time between two reads by a candidate */
	/** After a start, and after the loss of the lease, a node does not
	 * acquire the lease for this time, so that it never acts again shortly
	 * after another node. */
	int64_t abstain_us;
} lease_times_t;

/** Times of the reconciler's lease. */
extern const lease_times_t lease_reconciler_times;

typedef enum {
	LEASE_ACTION_READ, /**< platform_get(name) */
	LEASE_ACTION_CREATE, /**< platform_create_object(name, spec) */
	LEASE_ACTION_PUT /**< platform_put(name, version, spec) */
} lease_action_type_t;

typedef struct {
	lease_action_type_t type;
	int64_t version; /**< LEASE_ACTION_PUT: expected object version */
	/** Object to write; the caller owns this reference. NULL: a read. */
	json_t *spec;
} lease_action_t;

/**
 * Creates a lease that this node does not hold but wants.
 * @param name name of the platform object
 * @param vm_id VM id of this node
 * @param incarnation incarnation of this node
 */
lease_t *lease_create(const char *name, const char *vm_id, uint64_t incarnation,
		      const lease_times_t *times, int64_t now_us);
void lease_destroy(lease_t *lease);

const char *lease_object_name(const lease_t *lease);

/** Sets whether this node wants to hold the lease. A holder that no longer
 * wants the lease releases it with a last write. */
void lease_set_wanted(lease_t *lease, bool wanted);
bool lease_wanted(const lease_t *lease);

/**
 * Gives up what is known of the lease after the store came back from an older
 * copy, and acquires no lease while another node may hold one that the copy
 * lacks.
 */
void lease_store_restored(lease_t *lease, int64_t now_us);

/** Takes the next platform call. @return false if no call is due. */
bool lease_next(lease_t *lease, lease_action_t *action, int64_t now_us);

/**
 * Handles the result of the outstanding platform call.
 * @param object the object as read or written; NULL if the result has none
 */
void lease_result(lease_t *lease, platform_status_t status,
		  const platform_object_t *object, int64_t now_us);

/**
 * Returns the state that a lease holder hands over to the next holder. The
 * state is written with each renewal, so a node that acquires the lease has the
 * state that the previous holder wrote last.
 * @return a borrowed reference; NULL: there is no state
 */
json_t *lease_state(const lease_t *lease);
/** Replaces the state, as the lease holder.
 * @param state the lease becomes the owner of this reference */
void lease_set_state(lease_t *lease, json_t *state);
/** @return true if this holder has written its present state. */
bool lease_state_written(const lease_t *lease);

/** @return true if this node holds the lease and may act now. To be called
 *          right before each act. */
bool lease_held(const lease_t *lease, int64_t now_us);

/** @return true if no node held the lease before this one: it acquired the
 *          lease by creating the object. */
bool lease_is_first(const lease_t *lease);

/** @return the fencing token; valid only while this node holds the lease. */
int64_t lease_token(const lease_t *lease);

#endif
