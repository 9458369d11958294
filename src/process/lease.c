#include "process/lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/* Time after a platform call without a usable answer until the next call, which
 * is a read if the outcome of a write is unknown. */
#define RETRY_US (250 * US_PER_MS)

/* With two candidates in each of 25 data centres, a read each 2 s makes 25 of
 * the 2,000 reads per second that the platform allows. */
const lease_times_t lease_reconciler_times = {
	.duration_us = LEASE_DURATION_US,
	.renew_us = LEASE_RENEW_US,
	.stop_us = LEASE_STOP_US,
	.poll_us = 2 * US_PER_S,
};

enum { HOLDER_SIZE_BYTES = NAME_SIZE_BYTES + 24 };

struct lease {
	char name[NAME_SIZE_BYTES];
	lease_times_t times;
	char self[HOLDER_SIZE_BYTES]; /**< this node: VM id, incarnation */
	bool wanted; /**< this node wants to hold the lease */

	bool call_outstanding; /**< a platform call is outstanding */
	lease_action_type_t call_type; /**< type of the last platform call */
	int64_t call_sent_us; /**< when the last platform call was made */
	int64_t writes; /**< number of writes made by this node */
	bool releasing; /**< the outstanding call releases the lease */
	int64_t next_us; /**< when to make the next call */
	/** The last write has no answer; a read must show its outcome. */
	bool outcome_unknown;
	/** When the first write without an answer since the last confirmed
	 * write was sent; it may take effect late. 0: no such write. */
	int64_t first_unknown_us;

	/* The object as this node last read or wrote it. */
	int64_t version; /**< 0: not known; -1: the object does not exist */
	char holder[HOLDER_SIZE_BYTES]; /**< empty: the lease was released */
	int64_t version_since_us; /**< when this version was first seen; 0:
				     no version was seen yet */

	bool held; /**< this node acquired the lease and has not lost it */
	int64_t token; /**< fencing token, while the lease is held */
	bool created; /**< acquired by creating the object */
	int64_t expires_us; /**< end of the lease, by this node's clock */
	int64_t abstain_until_us; /**< no attempt to acquire before this */

	json_t *state; /**< state that holders hand over; NULL: none */
	bool state_written; /**< this holder has written the present state */
	bool state_sent; /**< the outstanding write has the present state */
};

lease_t *lease_create(const char *name, const char *vm_id, uint64_t incarnation,
		      const lease_times_t *times, int64_t now_us)
{
	lease_t *lease = mem_calloc(1, sizeof(*lease));

	mem_strlcpy(lease->name, name, sizeof(lease->name));
	snprintf(lease->self, sizeof(lease->self), "%s.%" PRIx64, vm_id,
		 incarnation);
	lease->wanted = true;
	lease->times = *times;
	lease->abstain_until_us = now_us + times->abstain_us;
	return lease;
}

void lease_destroy(lease_t *lease)
{
	if (!lease)
		return;
	json_decref(lease->state);
	free(lease);
}

json_t *lease_state(const lease_t *lease)
{
	return lease->state;
}

void lease_set_state(lease_t *lease, json_t *state)
{
	json_decref(lease->state);
	lease->state = state;
	lease->state_written = lease->state_sent = false;
}

bool lease_state_written(const lease_t *lease)
{
	return lease->state_written;
}

const char *lease_object_name(const lease_t *lease)
{
	return lease->name;
}

void lease_set_wanted(lease_t *lease, bool wanted)
{
	if (lease->held && lease->wanted && !wanted)
		lease->next_us = 0;
	lease->wanted = wanted;
}

bool lease_wanted(const lease_t *lease)
{
	return lease->wanted;
}

bool lease_held(const lease_t *lease, int64_t now_us)
{
	return lease->held && lease->wanted && !lease->releasing &&
	       now_us < lease->expires_us - lease->times.stop_us;
}

bool lease_is_first(const lease_t *lease)
{
	return lease->created;
}

int64_t lease_token(const lease_t *lease)
{
	return lease->token;
}

/* Returns true if no node can act under the lease as this node last saw the
 * object. A lease held by an earlier process of this VM ends like any other
 * lease. */
static bool is_free(const lease_t *lease, int64_t now_us)
{
	return !lease->holder[0] ||
	       now_us - lease->version_since_us >= lease->times.duration_us;
}

static bool build_write(lease_t *lease, lease_action_t *action,
			lease_action_type_t type, bool release)
{
	lease->releasing = release;
	lease->call_type = type;
	action->type = type;
	action->version = lease->version;
	/* The count of writes makes each write change the object: a write
	 * that changes nothing would leave the version as it is. */
	action->spec = json_pack("{s:s, s:I, s:I}", "holder",
				 release ? "" : lease->self, "durationUs",
				 (json_int_t)lease->times.duration_us, "write",
				 (json_int_t)++lease->writes);
	if (lease->state)
		json_object_set(action->spec, "state", lease->state);
	lease->state_sent = true;
	return true;
}

static bool may_acquire(const lease_t *lease, int64_t now_us)
{
	return lease->wanted && now_us >= lease->abstain_until_us;
}

static int64_t acquire_at_us(const lease_t *lease, int64_t now_us)
{
	return lease->abstain_until_us > now_us ? lease->abstain_until_us
						: now_us;
}

/* Ends the holding of a lease that was lost or released. */
static void stop_holding(lease_t *lease, int64_t now_us)
{
	if (lease->held)
		lease->abstain_until_us = now_us + lease->times.abstain_us;
	lease->held = false;
}

void lease_store_restored(lease_t *lease, int64_t now_us)
{
	int64_t ended_us = now_us + lease->times.duration_us;

	stop_holding(lease, now_us);
	if (lease->abstain_until_us < ended_us)
		lease->abstain_until_us = ended_us;
	lease->version = 0;
	lease->version_since_us = 0;
	lease->outcome_unknown = false;
	lease->first_unknown_us = 0;
	lease->next_us = now_us;
}

static bool choose_call(lease_t *lease, lease_action_t *action, int64_t now_us)
{
	if (lease->held && !lease->outcome_unknown)
		return build_write(lease, action, LEASE_ACTION_PUT,
				   !lease->wanted);
	if (may_acquire(lease, now_us) && !lease->outcome_unknown &&
	    lease->version && is_free(lease, now_us))
		return build_write(lease, action, LEASE_ACTION_PUT, false);
	if (!lease->wanted && !lease->outcome_unknown)
		return false;
	lease->call_type = action->type = LEASE_ACTION_READ;
	return true;
}

bool lease_next(lease_t *lease, lease_action_t *action, int64_t now_us)
{
	memset(action, 0, sizeof(*action));
	if (lease->held && now_us >= lease->expires_us) {
		stop_holding(lease, now_us);
		lease->next_us = now_us;
	}
	if (lease->call_outstanding || now_us < lease->next_us)
		return false;
	if (lease->version < 0) { /* the object does not exist */
		lease->version = 0;
		if (may_acquire(lease, now_us))
			build_write(lease, action, LEASE_ACTION_CREATE, false);
		else
			return false;
	} else if (!choose_call(lease, action, now_us)) {
		return false;
	}
	lease->call_outstanding = true;
	lease->call_sent_us = now_us;
	return true;
}

/* Records a write of this node that took effect as the start of a lease. */
static void acquire_or_renew(lease_t *lease, int64_t version,
			     int64_t call_sent_us, int64_t now_us)
{
	if (!lease->held) {
		lease->token = version;
		lease->created = lease->call_type == LEASE_ACTION_CREATE;
	}
	lease->held = true;
	lease->first_unknown_us = 0;
	lease->version = version;
	lease->expires_us = call_sent_us + lease->times.duration_us;
	lease->next_us = call_sent_us + lease->times.renew_us;
	mem_strlcpy(lease->holder, lease->self, sizeof(lease->holder));
	lease->version_since_us = now_us;
	if (now_us >= lease->expires_us)
		stop_holding(lease, now_us);
}

static void handle_write_result(lease_t *lease, platform_status_t status,
				const platform_object_t *object, int64_t now_us)
{
	bool release = lease->releasing;

	lease->releasing = false;
	lease->next_us = now_us + RETRY_US;
	switch (status) {
	case PLATFORM_OK:
		if (release) {
			stop_holding(lease, now_us);
			lease->first_unknown_us = 0;
			lease->version = 0;
			lease->next_us = now_us + lease->times.poll_us;
		} else if (object) {
			acquire_or_renew(lease, object->version,
					 lease->call_sent_us, now_us);
			lease->state_written = lease->state_sent;
		}
		break;
	case PLATFORM_UNKNOWN:
		lease->outcome_unknown = true;
		if (!lease->first_unknown_us)
			lease->first_unknown_us = lease->call_sent_us;
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_EXISTS:
	case PLATFORM_NOT_FOUND:
		/* Another node wrote, or an earlier write of this node took
		 * effect late: a read at once shows which. */
		stop_holding(lease, now_us);
		lease->version = 0;
		lease->next_us = now_us;
		break;
	case PLATFORM_REFUSED:
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		break;
	}
}

static void record_object(lease_t *lease, const platform_object_t *object,
			  int64_t now_us)
{
	const char *holder =
		json_string_value(json_object_get(object->spec, "holder"));

	if (object->version != lease->version || !lease->version_since_us) {
		lease->version = object->version;
		lease->version_since_us = now_us;
	}
	/* An object without the key "holder" counts as held: a candidate
	 * waits for the whole duration. */
	mem_strlcpy(lease->holder, holder ? holder : "unknown",
		    sizeof(lease->holder));
}

/* Replaces the state by the state that another holder wrote. */
static void adopt_state(lease_t *lease, const platform_object_t *object)
{
	json_t *state = json_object_get(object->spec, "state");

	lease_set_state(lease, state ? json_incref(state) : NULL);
}

static void handle_read_result(lease_t *lease, platform_status_t status,
			       const platform_object_t *object, int64_t now_us)
{
	bool same;

	lease->next_us =
		now_us + (lease->held ? RETRY_US : lease->times.poll_us);
	if (status == PLATFORM_NOT_FOUND) {
		stop_holding(lease, now_us);
		lease->outcome_unknown = false;
		lease->version = -1;
		lease->next_us = acquire_at_us(lease, now_us);
		return;
	}
	if (status != PLATFORM_OK || !object) {
		lease->next_us = now_us + RETRY_US;
		return;
	}
	same = object->version == lease->version;
	record_object(lease, object, now_us);
	lease->outcome_unknown = false;
	if (strcmp(lease->holder, lease->self) != 0) {
		stop_holding(lease, now_us);
		adopt_state(lease, object);
		if (!same)
			lease->first_unknown_us = 0;
	} else if (lease->first_unknown_us && !same) {
		/* One of the writes without an answer has taken effect. The
		 * safe assumption is the first write: its lease ends first. */
		acquire_or_renew(lease, object->version,
				 lease->first_unknown_us, now_us);
	}
	if (!lease->held && is_free(lease, now_us) &&
	    acquire_at_us(lease, now_us) < lease->next_us)
		lease->next_us = acquire_at_us(lease, now_us);
}

void lease_result(lease_t *lease, platform_status_t status,
		  const platform_object_t *object, int64_t now_us)
{
	if (!lease->call_outstanding)
		return;
	lease->call_outstanding = false;
	if (lease->call_type == LEASE_ACTION_READ)
		handle_read_result(lease, status, object, now_us);
	else
		handle_write_result(lease, status, object, now_us);
}
