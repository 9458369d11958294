/**
 * @file credit_grant.h
 * Grants of one resource at the holder, and the messages about them.
 * Internal to the credit holder.
 */
#ifndef PROCESS_CREDIT_GRANT_H
#define PROCESS_CREDIT_GRANT_H

#include <stdbool.h>

#include "process/credit.h"

/** A message without an answer is sent again after this time: a hundred round
 * trips within a data centre, so the message was lost or its receiver is
 * paused. */
#define CREDIT_REPEAT_US (100 * US_PER_MS)

/** Age at which a grant is renewed. Half the lifetime leaves time to repeat a
 * lost renewal at least three times. */
#define CREDIT_RENEW_US (CREDIT_LIFETIME_US / 2)

typedef enum {
	GRANT_REQUESTED, /**< the request has no answer yet */
	GRANT_REFUSED, /**< the owner refused the request; see retry_us */
	GRANT_HELD, /**< granted and not expired */
	GRANT_EXPIRED /**< expired while in use */
} grant_state_t;

typedef struct credit_grant {
	grant_state_t state;
	uint64_t id; /**< chosen by the holder, never 0 */
	bool reserved; /**< reserved for a single use; false: a block for many
			  uses */
	/** No new draws: the amount that becomes unused is returned. */
	bool closed;
	uint64_t use_id; /**< the use that a reserved grant is for; else 0 */
	credit_amount_t amount; /**< requested or granted amount */
	/** Incarnation of the server that the grant is for; 0: unknown. */
	uint64_t server_incarnation;
	credit_amount_t used; /**< amount drawn from the grant */
	credit_amount_t minimum; /**< least amount that a request accepts */
	/** Number of the unanswered request, renewal or presentation; 0: no
	 * message awaits an answer. */
	uint64_t request_sequence;
	int64_t request_sent_us; /**< when the unanswered message was first sent
				  */
	int64_t repeat_us; /**< when to repeat the unanswered message */
	int64_t retry_us; /**< GRANT_REFUSED: when to request again */
	int64_t renew_us; /**< when to renew the grant, or to return the
			     unused amount of a rate */
	int64_t expires_us; /**< when the grant expires */
	struct credit_grant *next;
} credit_grant_t;

/** Queue of outgoing messages, and the numbers last given out. */
typedef struct {
	credit_queue_t queue;
	uint64_t last_id; /**< id of the newest grant */
	uint64_t last_sequence; /**< sequence number of the newest message */
	const char *vm_id; /**< VM id of this node; borrowed */
	uint64_t incarnation; /**< incarnation of this node */
} credit_sender_t;

/** @return the amount not yet drawn from a grant, even an expired one. */
credit_amount_t grant_unused(const credit_grant_t *grant);

/** @return true if the grant is held, not closed and not expired. */
bool grant_usable(const credit_grant_t *grant, int64_t now_us);

/**
 * Sends the message that the state of the grant needs: a request, a renewal
 * or a presentation. An unanswered message is repeated with its number. An
 * answer extends the grant from the time when its message was first sent, so
 * a message older than CREDIT_RENEW_US gets a new number.
 */
void grant_send(credit_grant_t *grant, const resource_t *resource,
		credit_sender_t *sender, int64_t now_us);

/** Presents a grant to the owner, under a new sequence number. */
void grant_present(credit_grant_t *grant, const resource_t *resource,
		   credit_sender_t *sender, int64_t now_us);

/**
 * Returns a grant to the owner except for the amount @p kept.
 * @param id the grant; 0: none, the message only carries the request counts
 * @param amount amount of the grant, as far as the holder knows
 */
void grant_return(uint64_t id, const resource_t *resource,
		  credit_amount_t amount, credit_amount_t kept,
		  credit_sender_t *sender);

/**
 * Returns the unused amount of a grant to the owner.
 * @return false if the grant is empty afterwards
 */
bool grant_return_unused(credit_grant_t *grant, const resource_t *resource,
			 credit_sender_t *sender);

/**
 * Ends the list of presented grants of a resource.
 * @param digest credit_digest() of the list
 * @param sequence number of the owner's request for the list; 0: the owner
 *                 did not request the list
 */
void grant_present_end(const resource_t *resource, credit_amount_t digest,
		       uint64_t sequence, credit_sender_t *sender);

#endif
