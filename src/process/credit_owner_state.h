/**
 * @file credit_owner_state.h
 * State of the credit owner. Internal: shared by the part that keeps limits
 * and time (credit_owner.c) and the part that answers holders
 * (credit_owner_messages.c).
 */
#ifndef PROCESS_CREDIT_OWNER_STATE_H
#define PROCESS_CREDIT_OWNER_STATE_H

#include <uthash.h>

#include "process/credit_owner.h"

/** Time after which no grant of an earlier owner can be in use. */
#define QUARANTINE_US (CREDIT_LIFETIME_US + CREDIT_MARGIN_US)

/** A member whose list is missing is asked again after this time. */
#define SOLICIT_US (250 * US_PER_MS)

/** Recalls of one resource are at least this far apart. */
#define RECALL_RETRY_US (100 * US_PER_MS)

/** A grant as its owner sees it. */
typedef struct owner_grant {
	char holder[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t id;
	credit_amount_t amount;
	uint64_t server_incarnation; /**< 0: was not known */
	int64_t granted_us;
	credit_amount_t used; /**< as the holder last said */
	int64_t used_us; /**< when it said so; 0: never */
	int64_t expires_us;
	bool recalled;
	struct owner_grant *prev, *next;
} owner_grant_t;

/** What a holder said it held when the owner changed. */
typedef struct owner_declared {
	char holder[NAME_SIZE_BYTES];
	uint64_t incarnation;
	credit_amount_t digest;
	bool complete; /**< all of it was presented */
	struct owner_declared *next;
} owner_declared_t;

/** Counts of a holder's work as it last gave them. */
typedef struct owner_work {
	char holder[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t completed;
	uint64_t failed;
	struct owner_work *next;
} owner_work_t;

/** The refused request that is served next. */
typedef struct {
	bool set;
	char holder[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t id;
	credit_amount_t minimum;
	int64_t since_us;
	int64_t last_us;
} owner_waiter_t;

/** One owned resource. */
typedef struct {
	resource_t resource;
	credit_limit_t limit;
	bool retired;
	int32_t ramp_slots; /**< INT32_MAX: no ramp */
	uint64_t server_incarnation; /**< that the ramp is for; 0: unknown */

	credit_amount_t granted; /**< sum of the grants */
	owner_grant_t *grants;

	/** What VMs out of sight may use, from the time they were lost. */
	credit_amount_t outside;

	int64_t quarantine_until_us; /**< 0: not in quarantine */
	uint64_t quarantine; /**< number that ends a holder's list */
	int64_t solicit_us; /**< when to ask holders for their lists again */
	owner_declared_t *declared;

	bool reported;
	int64_t report_kv_total;
	credit_amount_t report_used;
	int64_t report_taken_us;
	owner_grant_t *lapsed; /**< expired, perhaps in use */
	int64_t lapsed_us; /**< reports taken after it show lapsed use */
	int64_t unknown_until_us; /**< `outside` may be in use till then */
	int64_t first_report_us; /**< a report is expected by then */

	owner_waiter_t waiter;
	int64_t recall_us; /**< next recall at the earliest */

	owner_work_t *work;
	uint64_t
		completed; /**< not yet taken by credit_owner_take_outcomes() */
	uint64_t failed;

	int64_t rate_tokens_us; /**< requests times 1,000,000 */
	int64_t rate_filled_us;
	UT_hash_handle hh;
} owned_t;

/** A VM that may hold grants. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	int64_t left_us; /**< when it left the view; INT64_MAX: in it */
	bool was_in_view;
	UT_hash_handle hh;
} owner_member_t;

/** Share of the limits that may be granted here: units of listed. */
typedef struct {
	int32_t units;
	int32_t listed;
} owner_share_t;

struct credit_owner {
	char vm_id[NAME_SIZE_BYTES];
	bool agreed;
	owner_share_t share;
	owner_share_t share_before; /**< in force until share_from_us */
	int64_t share_from_us;
	int64_t lost_us; /**< when a member last left the view */
	owner_member_t *members;
	owned_t *owned;
	credit_queue_t queue;
	int64_t last_us; /**< time of the last call */
};

/** Whether VMs that may use the servers are out of sight. */
bool owner_is_partial(const credit_owner_t *owner, int64_t now_us);

/** @return the share in force. */
owner_share_t owner_share_at(const credit_owner_t *owner, int64_t now_us);
bool owner_share_less(owner_share_t a, owner_share_t b);

owned_t *owned_find(const credit_owner_t *owner, const resource_t *resource);

/** @return the limit without shares: memory, slots and ramp. */
credit_amount_t owned_full_limit(const owned_t *owned);

/** Moves an expired grant to the lapsed ones. */
void owned_lapse(owned_t *owned, owner_grant_t *grant, int64_t now_us);
void owned_forget_lapsed(owned_t *owned, int64_t now_us);

/** Asks the holders of lapsed grants what they still use. */
void owned_solicit_lapsed(credit_owner_t *owner, owned_t *owned,
			  int64_t now_us);

/** The holder presented all that it uses: the rest is free. */
void owned_drop_lapsed(owned_t *owned, const char *holder,
		       uint64_t incarnation);

/** The holder says how much of a lapsed grant it still uses. */
void owned_lapsed_kept(owned_t *owned, const credit_msg_t *message,
		       credit_amount_t kept);

/** @return what lapsed and may be in use. */
credit_amount_t owned_lapsed(const credit_owner_t *owner, const owned_t *owned,
			     bool members_only, int64_t now_us);

/** A quarantine ended: all that was not presented may be with VMs out of
 * sight, or running for VMs that are gone. */
void owned_lose_sight(const credit_owner_t *owner, owned_t *owned,
		      int64_t now_us);

/** Whether a message is about this grant. */
bool owner_grant_matches(const owner_grant_t *grant,
			 const credit_msg_t *message);

/**
 * Notes what the holders that are not in the view may use.
 * @param add keep what was noted before
 */
void owned_note_outside(const credit_owner_t *owner, owned_t *owned, bool add);

/** @return the limit in force of a server or of weight loads. */
credit_amount_t owned_limit(const credit_owner_t *owner, const owned_t *owned,
			    int64_t now_us);

/** @return what may be granted now. */
credit_amount_t owned_free(const credit_owner_t *owner, const owned_t *owned,
			   int64_t now_us);

/** Whether more is granted than the limit, or the resource is retired. */
bool owned_over_limit(const credit_owner_t *owner, const owned_t *owned,
		      int64_t now_us);

bool owned_is_rate(const owned_t *owned);

/** @return the requests per second that may be granted here. */
int64_t owned_rate(const credit_owner_t *owner, const owned_t *owned,
		   int64_t now_us);

/** Adds the requests that a rate allows since the last call. */
void owned_refill(const credit_owner_t *owner, owned_t *owned, int64_t now_us);

/**
 * Asks the holders to return what they do not use. Grants of the last
 * RECALL_RETRY_US are spared while the limit is kept.
 */
void owned_recall(credit_owner_t *owner, owned_t *owned, int64_t now_us);

/** Whether a grant is for an incarnation of the server that has ended. */
bool owned_is_outdated(const owned_t *owned, const owner_grant_t *grant);

/** Sets what a grant holds; removes it at zero. */
void owned_set_amount(owned_t *owned, owner_grant_t *grant,
		      credit_amount_t amount);

/** Removes grants that their holders can no longer use. */
void owned_expire(owned_t *owned, int64_t now_us);

/**
 * Notices that this process was paused. Peers may have moved its ownership
 * since, so every resource goes into quarantine.
 */
void owner_check_pause(credit_owner_t *owner, int64_t now_us);

/** Counts the work that a holder's message tells of. */
void owned_count_work(owned_t *owned, const credit_msg_t *message);

/** Forgets the lists of holders. */
void owned_clear_declared(owned_t *owned);

/** Asks a member to present what it holds. */
void owned_solicit(credit_owner_t *owner, const owned_t *owned,
		   const char *vm_id);

/** Ends a quarantine that is over; asks for lists that are missing. */
void owned_check_quarantine(credit_owner_t *owner, owned_t *owned,
			    int64_t now_us);

#endif
