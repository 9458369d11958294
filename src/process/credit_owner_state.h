/**
 * @file credit_owner_state.h
 * State of the credit owner. Internal to credit_owner*.c: credit_owner.c keeps
 * resources, members and quarantines, credit_owner_limits.c limits and rates,
 * credit_owner_expired.c expired grants that may still be in use, and
 * credit_owner_messages.c answers holders.
 */
#ifndef PROCESS_CREDIT_OWNER_STATE_H
#define PROCESS_CREDIT_OWNER_STATE_H

#include <uthash.h>

#include "process/credit_owner.h"

/** Time after which no grant of an earlier owner can be in use. */
#define QUARANTINE_US (CREDIT_LIFETIME_US + CREDIT_MARGIN_US)

/** Time after which the owner requests a missing list of grants again. */
#define LIST_RETRY_US (250 * US_PER_MS)

/** Shortest time between two recalls of one resource. */
#define RECALL_RETRY_US (100 * US_PER_MS)

/** A grant as the owner counts it. */
typedef struct owner_grant {
	char holder[NAME_SIZE_BYTES]; /**< VM id of the holder */
	uint64_t incarnation; /**< incarnation of the holder */
	uint64_t id;
	credit_amount_t amount;
	/** Incarnation of the server at the time of the grant; 0: unknown. */
	uint64_t server_incarnation;
	int64_t granted_us;
	credit_amount_t used; /**< amount in use, according to the holder's
				 last message */
	int64_t used_us; /**< when that message was received; 0: never */
	/**
	 * When the grant expires; for an expired grant, when the owner stops
	 * counting the grant as in use.
	 */
	int64_t expires_us;
	bool recalled; /**< the owner requested the unused amount */
	struct owner_grant *prev, *next;
} owner_grant_t;

/** End of the list of grants that a holder presented when the owner changed. */
typedef struct owner_declaration {
	char holder[NAME_SIZE_BYTES]; /**< VM id of the holder */
	uint64_t incarnation; /**< incarnation of the holder */
	credit_amount_t digest; /**< credit_digest() of the list */
	bool complete; /**< all grants of the list were received */
	struct owner_declaration *next;
} owner_declaration_t;

/** Running totals of a holder's requests, from the holder's last message. */
typedef struct owner_outcomes {
	char holder[NAME_SIZE_BYTES]; /**< VM id of the holder */
	uint64_t incarnation; /**< incarnation of the holder */
	uint64_t completed;
	uint64_t failed;
	struct owner_outcomes *next;
} owner_outcomes_t;

/** The refused request that is served next. */
typedef struct {
	bool set; /**< false: no request waits, other fields are unset */
	char holder[NAME_SIZE_BYTES]; /**< VM id of the holder */
	uint64_t incarnation; /**< incarnation of the holder */
	uint64_t id; /**< id of the grant that the holder requests */
	credit_amount_t minimum;
	int64_t since_us; /**< start of the wait */
	int64_t last_request_us;
} owner_waiter_t;

/** One resource that this node owns. */
typedef struct {
	resource_t resource;
	credit_limit_t limit;
	bool retired;
	/** Limit of a server's slots in slow start; INT32_MAX: none. */
	int32_t slow_start_slots;
	/** Incarnation of the server that slow_start_slots applies to; 0:
	 * unknown. */
	uint64_t server_incarnation;

	credit_amount_t granted; /**< sum of the grants */
	owner_grant_t *grants;

	/** Amount that unreachable VMs may use, as of when they were lost. */
	credit_amount_t unreachable;

	int64_t quarantine_until_us; /**< 0: not in quarantine */
	uint64_t list_number; /**< sequence that ends a requested list */
	int64_t list_request_us; /**< time of the next request for lists */
	owner_declaration_t *declarations;

	bool reported; /**< a load report of the server was received */
	int64_t report_kv_total; /**< KV tokens of the server; 0: unknown */
	credit_amount_t report_used;
	int64_t report_taken_us;
	owner_grant_t *expired; /**< expired, not returned, perhaps in use */
	/** When a grant last expired; only a load report taken later shows the
	 * use of expired grants. */
	int64_t last_expiry_us;
	int64_t unreachable_until_us; /**< `unreachable` counts as in use until
					 this time */
	int64_t first_report_us; /**< a load report is due by this time */

	owner_waiter_t waiter;
	int64_t recall_us; /**< earliest time of the next recall */

	owner_outcomes_t *outcomes;
	/** Requests that credit_owner_take_outcomes() has not taken yet. */
	uint64_t completed;
	uint64_t failed;

	int64_t rate_tokens_us; /**< requests that may be granted now, times
				   1,000,000 */
	int64_t rate_filled_us; /**< time of the last owned_refill() */
	UT_hash_handle hh;
} owned_resource_t;

/** A VM that may hold grants. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	int64_t left_us; /**< when the VM left the view; INT64_MAX: in view */
	bool was_in_view; /**< the VM was in the previous view */
	UT_hash_handle hh;
} owner_member_t;

/** Share of the limits that this node may grant: counted / listed VMs. */
typedef struct {
	int32_t counted;
	int32_t listed;
} limit_share_t;

struct credit_owner {
	char vm_id[NAME_SIZE_BYTES]; /**< id of this VM */
	bool agreed; /**< see credit_view_t */
	limit_share_t share;
	/** Share in force until share_change_us. */
	limit_share_t previous_share;
	int64_t share_change_us; /**< time of the change; 0: none pending */
	int64_t last_left_us; /**< when a member last left the view */
	owner_member_t *members;
	owned_resource_t *resources;
	credit_queue_t queue; /**< messages to holders */
	int64_t last_call_us; /**< 0: no call yet */
};

/** @return true if VMs that may use the servers are unreachable. */
bool owner_has_unreachable(const credit_owner_t *owner, int64_t now_us);

/** @return the share of the limits that is in force. */
limit_share_t owner_limit_share(const credit_owner_t *owner, int64_t now_us);

/** @return true if share @p a is smaller than share @p b. */
bool limit_share_less(limit_share_t a, limit_share_t b);

/** @return the owned resource, or NULL if this node does not own it. */
owned_resource_t *owned_find(const credit_owner_t *owner,
			     const resource_t *resource);

/**
 * @return the limit over all shares: the configured limit, reported memory and
 *         slow start
 */
credit_amount_t owned_full_limit(const owned_resource_t *owned);

/** Moves a grant to the list of expired grants. Frees a grant of a rate. */
void owned_expire_grant(owned_resource_t *owned, owner_grant_t *grant,
			int64_t now_us);

/** Drops the expired grants that no longer count as in use: their holders have
 * not presented them for EXPIRED_USE_MAX_US. */
void owned_age_out_expired(owned_resource_t *owned, int64_t now_us);

/** Requests lists from the holders of expired grants, to learn their use. */
void owned_request_expired(credit_owner_t *owner, owned_resource_t *owned,
			   int64_t now_us);

/**
 * Drops the expired grants of a holder that has presented all that it uses:
 * the rest is free.
 */
void owned_drop_expired(owned_resource_t *owned, const char *holder,
			uint64_t incarnation);

/**
 * Reduces the expired grant that @p message names to the amount that its
 * holder still uses, and drops the grant at zero.
 */
void owned_reduce_expired(owned_resource_t *owned, const credit_msg_t *message,
			  credit_amount_t kept);

/**
 * @param members_only leaves out VMs that are not in the view
 * @return the amount that no grant covers and that may be in use
 */
credit_amount_t owned_expired_use(const credit_owner_t *owner,
				  const owned_resource_t *owned,
				  bool members_only, int64_t now_us);

/**
 * At the end of a quarantine, counts everything that was not presented as held
 * by unreachable VMs, or as in use by streams of VMs that have stopped.
 */
void owned_assume_unreachable(const credit_owner_t *owner,
			      owned_resource_t *owned, int64_t now_us);

/** @return true if the message is about this grant. */
bool owner_grant_matches(const owner_grant_t *grant,
			 const credit_msg_t *message);

/**
 * Counts the amount that holders outside the view may use.
 * @param keep_larger true: an earlier count stays if larger, per component
 */
void owned_count_unreachable(const credit_owner_t *owner,
			     owned_resource_t *owned, bool keep_larger);

/** @return the limit in force of a server or of weight loads. */
credit_amount_t owned_limit(const credit_owner_t *owner,
			    const owned_resource_t *owned, int64_t now_us);

/** @return the amount that may be granted now. */
credit_amount_t owned_free_amount(const credit_owner_t *owner,
				  const owned_resource_t *owned,
				  int64_t now_us);

/**
 * @return true if the grants exceed the limit or the resource is retired;
 *         always false for a rate
 */
bool owned_over_limit(const credit_owner_t *owner,
		      const owned_resource_t *owned, int64_t now_us);

/** @return true for a resource limited by a rate: a client account. */
bool owned_is_rate(const owned_resource_t *owned);

/** @return the requests per second that this node may grant. */
int64_t owned_rate(const credit_owner_t *owner, const owned_resource_t *owned,
		   int64_t now_us);

/** Adds the requests that a rate allows since the last call. */
void owned_refill(const credit_owner_t *owner, owned_resource_t *owned,
		  int64_t now_us);

/**
 * Recalls from the holders what they do not use. While the grants are within
 * the limit, grants of the last RECALL_RETRY_US are not recalled.
 */
void owned_recall(credit_owner_t *owner, owned_resource_t *owned,
		  int64_t now_us);

/** @return true if the grant is for another incarnation of the server. */
bool owned_is_outdated(const owned_resource_t *owned,
		       const owner_grant_t *grant);

/** Sets the amount of a grant; removes the grant at zero. */
void owned_set_amount(owned_resource_t *owned, owner_grant_t *grant,
		      credit_amount_t amount);

/** Expires grants that their holders can no longer use. */
void owned_expire_grants(owned_resource_t *owned, int64_t now_us);

/**
 * Detects that this process was paused. Another node may have become owner
 * since, so every resource goes into quarantine.
 */
void owner_check_pause(credit_owner_t *owner, int64_t now_us);

/** Counts the completed and failed requests in a holder's message. */
void owned_count_outcomes(owned_resource_t *owned, const credit_msg_t *message);

/** Removes the declarations of all holders. */
void owned_clear_declarations(owned_resource_t *owned);

/** Requests the list of grants that a member holds. */
void owned_request_list(credit_owner_t *owner, const owned_resource_t *owned,
			const char *vm_id);

/** Ends a quarantine that is over; requests lists that are missing. */
void owned_check_quarantine(credit_owner_t *owner, owned_resource_t *owned,
			    int64_t now_us);

#endif
