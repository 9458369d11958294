/**
 * @file credit_owner.h
 * Owner side of the credit protocol: limits and grants of owned resources.
 *
 * At the owner a grant expires CREDIT_LIFETIME_US plus CREDIT_MARGIN_US after
 * the answer was sent. The holder's copy expires earlier, so capacity is
 * granted again only when its last holder can no longer use it.
 *
 * The owner reads no clock and sends nothing: time is an argument, and
 * credit_owner_next() returns the messages to send. The control task sends
 * each message to the holder named in it, also when that is this VM.
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
	/** Limit of a server or of weight loads; unused for accounts. */
	credit_amount_t amount;
	/** Accounts only: requests per second of this data centre. */
	int64_t requests_per_s;
} credit_limit_t;

/** Membership of the data centre as this node sees it. */
typedef struct {
	/** True if the node has a view and all reachable members share it. */
	bool agreed;
	/** Number of VMs of the data centre in the platform's list, >= 1. */
	int32_t listed_vms;
	/**
	 * Number of VMs whose share of the limits the owners of this view may
	 * grant: members of the view, and listed VMs that have certainly
	 * stopped (requirements, 5.3: indirect probes failed and the servers'
	 * load reports show no new stream of these VMs).
	 */
	int32_t counted_vms;
	/** Number of VMs that may hold grants now: members, also suspects. */
	size_t member_count;
	const char (*members)[NAME_SIZE_BYTES]; /**< their VM ids */
} credit_view_t;

/**
 * @param vm_id id of this VM, the only holder that gets new grants while the
 *              members have no agreed view
 */
credit_owner_t *credit_owner_create(const char *vm_id);
void credit_owner_destroy(credit_owner_t *owner);

/**
 * Sets the membership view. Call at every change and before the first
 * credit_owner_add_resource(). Without an agreed view this VM may grant only
 * its static share of each limit: the limit / listed_vms. If the view allows a
 * larger share, the share grows after one grant lifetime plus margin, since
 * other owners may have granted the difference.
 */
void credit_owner_set_view(credit_owner_t *owner, const credit_view_t *view,
			   int64_t now_us);

/**
 * Makes this node the owner of a resource, or changes the limit of an owned
 * resource. A new owner grants nothing (quarantine) for one grant lifetime plus
 * margin, or until every VM that may hold a grant has presented its grants.
 */
void credit_owner_add_resource(credit_owner_t *owner,
			       const resource_t *resource,
			       const credit_limit_t *limit, int64_t now_us);

/**
 * Makes this node stop being the owner: another node owns the resource now, or
 * the resource left the configuration.
 */
void credit_owner_remove_resource(credit_owner_t *owner,
				  const resource_t *resource);

/** @return true if this node owns the resource. */
bool credit_owner_owns(const credit_owner_t *owner, const resource_t *resource);

/**
 * Marks a resource as retired or in service. The owner grants nothing new of a
 * retired resource and recalls what its holders do not use; grants in use stay
 * renewable.
 */
void credit_owner_set_retired(credit_owner_t *owner, const resource_t *resource,
			      bool retired, int64_t now_us);

/**
 * Limits the request slots of a server during its slow start and recalls the
 * grants for another incarnation of the server.
 * @param slots requests that the server may hold now, see warmup_limit()
 * @param incarnation incarnation of the server; 0: not known yet
 */
void credit_owner_set_slow_start(credit_owner_t *owner,
				 const resource_t *resource, int32_t slots,
				 uint64_t incarnation, int64_t now_us);

/** Stores a server's load report: total memory, and memory and slots in use. */
void credit_owner_apply_report(credit_owner_t *owner,
			       const load_report_t *report, int64_t now_us);

/** Handles a message of a holder; its `holder` is the sender's VM id. */
void credit_owner_receive(credit_owner_t *owner, const credit_msg_t *message,
			  int64_t now_us);

/**
 * Takes the numbers of requests that completed and failed on a server since
 * the last call, over all holders, for the slow start of the server. Both are 0
 * if this node does not own the server.
 */
void credit_owner_take_outcomes(credit_owner_t *owner,
				const resource_t *resource, uint64_t *completed,
				uint64_t *failed);

/**
 * Expires grants, refills rates, ends quarantines. Call about every 50 ms: if
 * 1 s passes between calls, the process counts as paused. Another node may have
 * become owner during a pause, so every resource goes into quarantine.
 */
void credit_owner_tick(credit_owner_t *owner, int64_t now_us);

/** Takes the next message to a holder. @return false if none is queued. */
bool credit_owner_next(credit_owner_t *owner, credit_msg_t *message);

/** @return the sum of the grants of a resource that have not expired. */
credit_amount_t credit_owner_granted(const credit_owner_t *owner,
				     const resource_t *resource);

/** @return the amount of a resource that could be granted now. */
credit_amount_t credit_owner_free_amount(const credit_owner_t *owner,
					 const resource_t *resource,
					 int64_t now_us);

#endif
