/**
 * @file credit_grant.h
 * Grants of one resource as their holder sees them, and the messages about
 * them. Internal to the credit holder.
 */
#ifndef PROCESS_CREDIT_GRANT_H
#define PROCESS_CREDIT_GRANT_H

#include <stdbool.h>

#include "process/credit.h"

/** A message without an answer is sent again after this time: a hundred round
 * trips within a data centre, so the message was lost or its receiver is
 * paused. */
#define CREDIT_REPEAT_US (100 * US_PER_MS)

/** Half the lifetime leaves room for three repetitions of a lost renewal. */
#define CREDIT_RENEW_US (CREDIT_LIFETIME_US / 2)

typedef enum {
	GRANT_ASKED,
	GRANT_REFUSED, /**< asked, and refused until retry_us */
	GRANT_HELD,
	GRANT_LAPSED /**< expired while in use */
} grant_state_t;

typedef struct credit_grant {
	grant_state_t state;
	uint64_t id;
	bool reserved; /**< for one use instead of a block */
	bool closed; /**< recalled: what becomes unused is returned */
	uint64_t use; /**< reservations */
	credit_amount_t amount;
	uint64_t server_incarnation; /**< that it is for; 0: unknown */
	credit_amount_t used;
	credit_amount_t minimum; /**< GRANT_ASKED */
	uint64_t ask_sequence; /**< unanswered message, 0: none */
	int64_t ask_sent_us; /**< when it was sent first */
	int64_t repeat_us; /**< when to send it again */
	int64_t retry_us; /**< GRANT_REFUSED: when to ask again */
	int64_t renew_us;
	int64_t expires_us;
	struct credit_grant *next;
} credit_grant_t;

/** Where messages go and what their numbers are. */
typedef struct {
	credit_queue_t queue;
	uint64_t next_id;
	uint64_t next_sequence;
	const char *vm_id;
	uint64_t incarnation;
} credit_sender_t;

/** @return what can be drawn from a grant, expiry aside. */
credit_amount_t grant_unused(const credit_grant_t *grant);

/** Whether the grant can be drawn from now. */
bool grant_usable(const credit_grant_t *grant, int64_t now_us);

/**
 * Sends the request, renewal or presentation that the state calls for, or
 * repeats the unanswered one. An answer extends the grant from the time of
 * the first sending, so a message older than CREDIT_RENEW_US gets a new
 * number.
 */
void grant_ask(credit_grant_t *grant, const resource_t *resource,
	       credit_sender_t *sender, int64_t now_us);

/** Presents a held grant to a new owner. */
void grant_present(credit_grant_t *grant, const resource_t *resource,
		   credit_sender_t *sender, int64_t now_us);

/** Returns all but @p kept of grant @p id, of which @p amount is known. */
void grant_return(uint64_t id, const resource_t *resource,
		  credit_amount_t amount, credit_amount_t kept,
		  credit_sender_t *sender);

/** Returns what is unused; false if the grant is empty afterwards. */
bool grant_shrink(credit_grant_t *grant, const resource_t *resource,
		  credit_sender_t *sender);

/** Ends the list of presented grants of a resource. */
void grant_present_end(const resource_t *resource, credit_amount_t digest,
		       uint64_t sequence, credit_sender_t *sender);

#endif
