/**
 * @file credit_owner.h
 * Owner side of the credit protocol: limits and grants of owned resources.
 *
 * A grant expires here one lifetime plus margin after the answer was sent,
 * which is later than the holder's own expiry, so capacity is granted again
 * only when its last holder can no longer use it. Pure: time is an argument,
 * messages are collected by credit_owner_next(). A message belongs to the
 * holder named in it; the caller routes it to that VM, also when that is
 * this VM.
 */
#ifndef PROCESS_CREDIT_OWNER_H
#define PROCESS_CREDIT_OWNER_H

#include <stdbool.h>
#include <stddef.h>

#include "process/credit.h"
#include "process/load.h"

typedef struct credit_owner credit_owner_t;

/** Configured limit of a resource in this data centre. */
typedef struct {
	credit_amount_t amount; /**< servers and weight loads */
	/** Accounts only: requests per second of this data centre. */
	int64_t requests_per_s;
} credit_limit_t;

/** Membership view of this node, for its data centre. */
typedef struct {
	/** Every reachable member has the same view, and there is one. */
	bool agreed;
	/** VMs of the data centre in the platform's list, at least 1. */
	int32_t listed_vms;
	/**
	 * VMs whose share this side may grant: members of the view, and
	 * listed VMs that are gone for certain (5.3: indirect probes failed
	 * and the servers' reports show no new stream of theirs).
	 */
	int32_t counted_vms;
	/** VMs that may hold grants now: members, suspect ones included. */
	size_t member_count;
	const char (*members)[NAME_SIZE_BYTES];
} credit_view_t;

/** @param vm_id this VM; it is the only holder served without agreement */
credit_owner_t *credit_owner_create(const char *vm_id);
void credit_owner_destroy(credit_owner_t *owner);

/**
 * Sets the membership view. Call at every change and before the first
 * credit_owner_add_resource(). Without agreement the limits are this VM's
 * static share; a limit that grows through the view does so after one lifetime
 * plus margin.
 */
void credit_owner_set_view(credit_owner_t *owner, const credit_view_t *view,
			   int64_t now_us);

/**
 * Starts to own a resource, or changes the limit of an owned one. A new
 * owner is in quarantine for one lifetime plus margin, or until every VM
 * that may hold a grant has presented what it holds.
 */
void credit_owner_add_resource(credit_owner_t *owner,
			       const resource_t *resource,
			       const credit_limit_t *limit, int64_t now_us);

/** Another node owns the resource now, or it left the configuration. */
void credit_owner_remove_resource(credit_owner_t *owner,
				  const resource_t *resource);

/** @return whether this node owns the resource. */
bool credit_owner_owns(const credit_owner_t *owner, const resource_t *resource);

/**
 * Grants nothing new of a retired resource and recalls what its holders do
 * not use; grants in use stay renewable.
 */
void credit_owner_set_retired(credit_owner_t *owner, const resource_t *resource,
			      bool retired, int64_t now_us);

/**
 * Limits the request slots of a server by its ramp (warmup_limit()). Grants
 * for another incarnation of the server are recalled.
 * @param incarnation that the ramp is for; 0: not known yet
 */
void credit_owner_set_slow_start(credit_owner_t *owner,
				 const resource_t *resource, int32_t slots,
				 uint64_t incarnation, int64_t now_us);

/** Takes in a server's report: its memory, and what is in use. */
void credit_owner_apply_report(credit_owner_t *owner,
			       const load_report_t *report, int64_t now_us);

/** Handles a message of a holder; `holder` is the sender's VM id. */
void credit_owner_receive(credit_owner_t *owner, const credit_msg_t *message,
			  int64_t now_us);

/**
 * Takes the numbers of requests that completed and failed on a server since
 * the last call, over all holders, for its ramp.
 */
void credit_owner_take_outcomes(credit_owner_t *owner,
				const resource_t *resource, uint64_t *completed,
				uint64_t *failed);

/**
 * Expires grants, refills rates, ends quarantines. Call every 50 ms or so: a
 * gap of 1 s counts as a pause of the process, in which peers may have moved
 * its ownership, and puts every resource into quarantine.
 */
void credit_owner_tick(credit_owner_t *owner, int64_t now_us);

/** Takes the next message to a holder; false if there is none. */
bool credit_owner_next(credit_owner_t *owner, credit_msg_t *message);

/** @return what is granted of a resource and has not expired. */
credit_amount_t credit_owner_granted(const credit_owner_t *owner,
				     const resource_t *resource);

/** @return what could be granted of a resource now. */
credit_amount_t credit_owner_free(const credit_owner_t *owner,
				  const resource_t *resource, int64_t now_us);

#endif
