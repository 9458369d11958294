#include "process/lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/* A call without a usable answer is settled by a read after this time. */
#define RETRY_US (250 * US_PER_MS)

/* Two candidates in each of 25 data centres that look each 2 s make 25 of the
 * 2,000 reads a second of the platform. */
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
	char self[HOLDER_SIZE_BYTES]; /**< VM id and incarnation */
	bool wanted;

	bool waiting; /**< a platform call is outstanding */
	lease_action_type_t call;
	int64_t sent_us; /**< when it was sent */
	int64_t writes; /**< made by this node */
	bool releasing; /**< the call gives the lease up */
	int64_t next_us; /**< when to make the next call */
	bool unsettled; /**< the last write has no answer */
	/** First write without an answer since one was confirmed; it may take
	 * effect late. 0: none. */
	int64_t pending_us;

	/* The object as it was last seen. */
	int64_t version; /**< 0: none */
	char holder[HOLDER_SIZE_BYTES]; /**< empty: given up */
	int64_t seen_us; /**< since when the version is known */

	bool held;
	int64_t token;
	bool first; /**< acquired by creating the object */
	int64_t until_us; /**< end of the lease, by our clock */
	int64_t abstain_until_us;

	json_t *state; /**< of the holder; NULL: none */
	bool state_written; /**< the present state, by this holder */
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
	       now_us < lease->until_us - lease->times.stop_us;
}

bool lease_is_first(const lease_t *lease)
{
	return lease->first;
}

int64_t lease_token(const lease_t *lease)
{
	return lease->token;
}

/* Whether nobody can act under the lease as it was last seen. A lease of an
 * earlier process of this VM ends like any other. */
static bool is_free(const lease_t *lease, int64_t now_us)
{
	return !lease->holder[0] ||
	       now_us - lease->seen_us >= lease->times.duration_us;
}

static bool write_call(lease_t *lease, lease_action_t *action,
		       lease_action_type_t type, bool release)
{
	lease->releasing = release;
	lease->call = type;
	action->type = type;
	action->version = lease->version;
	/* A write that changes nothing would leave the version as it is. */
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

/* The lease is lost, or was given up. */
static void lose(lease_t *lease, int64_t now_us)
{
	if (lease->held)
		lease->abstain_until_us = now_us + lease->times.abstain_us;
	lease->held = false;
}

static bool choose_call(lease_t *lease, lease_action_t *action, int64_t now_us)
{
	if (lease->held && !lease->unsettled)
		return write_call(lease, action, LEASE_ACTION_PUT,
				  !lease->wanted);
	if (may_acquire(lease, now_us) && !lease->unsettled && lease->version &&
	    is_free(lease, now_us))
		return write_call(lease, action, LEASE_ACTION_PUT, false);
	if (!lease->wanted && !lease->unsettled)
		return false;
	lease->call = action->type = LEASE_ACTION_READ;
	return true;
}

bool lease_next(lease_t *lease, lease_action_t *action, int64_t now_us)
{
	memset(action, 0, sizeof(*action));
	if (lease->held && now_us >= lease->until_us) {
		lose(lease, now_us);
		lease->next_us = now_us;
	}
	if (lease->waiting || now_us < lease->next_us)
		return false;
	if (lease->version < 0) { /* known not to exist */
		lease->version = 0;
		if (may_acquire(lease, now_us))
			write_call(lease, action, LEASE_ACTION_CREATE, false);
		else
			return false;
	} else if (!choose_call(lease, action, now_us)) {
		return false;
	}
	lease->waiting = true;
	lease->sent_us = now_us;
	return true;
}

static void hold(lease_t *lease, int64_t version, int64_t sent_us,
		 int64_t now_us)
{
	if (!lease->held) {
		lease->token = version;
		lease->first = lease->call == LEASE_ACTION_CREATE;
	}
	lease->held = true;
	lease->pending_us = 0;
	lease->version = version;
	lease->until_us = sent_us + lease->times.duration_us;
	lease->next_us = sent_us + lease->times.renew_us;
	mem_strlcpy(lease->holder, lease->self, sizeof(lease->holder));
	lease->seen_us = now_us;
	if (now_us >= lease->until_us)
		lose(lease, now_us);
}

static void wrote(lease_t *lease, platform_status_t status,
		  const platform_object_t *object, int64_t now_us)
{
	bool release = lease->releasing;

	lease->releasing = false;
	lease->next_us = now_us + RETRY_US;
	switch (status) {
	case PLATFORM_OK:
		if (release) {
			lose(lease, now_us);
			lease->pending_us = 0;
			lease->version = 0;
			lease->next_us = now_us + lease->times.poll_us;
		} else if (object) {
			hold(lease, object->version, lease->sent_us, now_us);
			lease->state_written = lease->state_sent;
		}
		break;
	case PLATFORM_UNKNOWN:
		lease->unsettled = true;
		if (!lease->pending_us)
			lease->pending_us = lease->sent_us;
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_EXISTS:
	case PLATFORM_NOT_FOUND:
		/* Somebody else wrote, or an earlier write of this node took
		 * effect late: the object tells. */
		lose(lease, now_us);
		lease->version = 0;
		lease->next_us = now_us;
		break;
	case PLATFORM_REFUSED:
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		break;
	}
}

static void see(lease_t *lease, const platform_object_t *object, int64_t now_us)
{
	const char *holder =
		json_string_value(json_object_get(object->spec, "holder"));

	if (object->version != lease->version || !lease->seen_us) {
		lease->version = object->version;
		lease->seen_us = now_us;
	}
	/* An object without a holder in it is waited for like a held one. */
	mem_strlcpy(lease->holder, holder ? holder : "unknown",
		    sizeof(lease->holder));
}

/* What another holder hands over. */
static void take_state(lease_t *lease, const platform_object_t *object)
{
	json_t *state = json_object_get(object->spec, "state");

	lease_set_state(lease, state ? json_incref(state) : NULL);
}

static void was_read(lease_t *lease, platform_status_t status,
		     const platform_object_t *object, int64_t now_us)
{
	bool same;

	lease->next_us =
		now_us + (lease->held ? RETRY_US : lease->times.poll_us);
	if (status == PLATFORM_NOT_FOUND) {
		lose(lease, now_us);
		lease->unsettled = false;
		lease->version = -1;
		lease->next_us = acquire_at_us(lease, now_us);
		return;
	}
	if (status != PLATFORM_OK || !object) {
		lease->next_us = now_us + RETRY_US;
		return;
	}
	same = object->version == lease->version;
	see(lease, object, now_us);
	lease->unsettled = false;
	if (strcmp(lease->holder, lease->self) != 0) {
		lose(lease, now_us);
		take_state(lease, object);
		if (!same)
			lease->pending_us = 0;
	} else if (lease->pending_us && !same) {
		/* One of the writes without an answer has taken effect; that
		 * it was the first one is the safe assumption. */
		hold(lease, object->version, lease->pending_us, now_us);
	}
	if (!lease->held && is_free(lease, now_us) &&
	    acquire_at_us(lease, now_us) < lease->next_us)
		lease->next_us = acquire_at_us(lease, now_us);
}

void lease_result(lease_t *lease, platform_status_t status,
		  const platform_object_t *object, int64_t now_us)
{
	if (!lease->waiting)
		return;
	lease->waiting = false;
	if (lease->call == LEASE_ACTION_READ)
		was_read(lease, status, object, now_us);
	else
		wrote(lease, status, object, now_us);
}
