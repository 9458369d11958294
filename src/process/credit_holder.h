/**
 * @file credit_holder.h
 * Holder side of the credit protocol: the grants of this node.
 *
 * A holder draws small amounts from a block that it holds per resource,
 * without a message. For an amount above the block size it requests a grant
 * for that use alone (a reservation). The lifetime of a grant counts from
 * before its request was sent, so a grant expires at the holder before it
 * expires at the owner.
 *
 * The holder reads no clock and sends nothing: time is an argument, and
 * credit_holder_next() returns the messages to send.
 */
#ifndef PROCESS_CREDIT_HOLDER_H
#define PROCESS_CREDIT_HOLDER_H

#include <stdbool.h>
#include <stddef.h>

#include "process/credit.h"

typedef struct credit_holder credit_holder_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES]; /**< VM id of this node */
	uint64_t incarnation; /**< incarnation of this node */
	credit_amount_t server_block; /**< size of a block on a server */
	int32_t account_block; /**< size of an account's block, in requests */
} credit_holder_conf_t;

typedef enum {
	DRAW_OK, /**< the amount is drawn */
	DRAW_PENDING, /**< requested; draw again after the owner's answer */
	/** The owner refused, and the time to request again has not come. */
	DRAW_REFUSED
} draw_result_t;

credit_holder_t *credit_holder_create(const credit_holder_conf_t *conf);
void credit_holder_destroy(credit_holder_t *holder);

/** Sets the size of server blocks requested from now on. Blocks already held
 * keep their size. */
void credit_holder_set_block(credit_holder_t *holder, credit_amount_t block);

/**
 * Draws @p amount of a resource for one use, or requests it from the owner.
 * @param use_id identifies the use (request number and attempt); a second call
 *               with the same id continues the pending draw
 */
draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use_id,
				 credit_amount_t amount, int64_t now_us);

/**
 * @return the incarnation of the server that the request of a drawn use may
 *         be sent to; 0 if the owner knew none, or if the use is not drawn
 */
uint64_t credit_holder_server_incarnation(const credit_holder_t *holder,
					  const resource_t *resource,
					  uint64_t use_id);

/** Ends a pending or drawn use; an unknown use is ignored. */
void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use_id, int64_t now_us);

/**
 * Counts a request that completed or failed on a server. A refused connection,
 * a broken stream and silence are failures. The owner receives the counts with
 * the next message about the resource. A failure is sent at once, and closes
 * the grants held at that time: no new use draws from them.
 */
void credit_holder_request_ended(credit_holder_t *holder,
				 const resource_t *resource, bool completed);

/** @return the amount that can be drawn from blocks without a message. */
credit_amount_t credit_holder_available(const credit_holder_t *holder,
					const resource_t *resource,
					int64_t now_us);

/** @return true if the use is drawn and its grant has not expired. A draw of
 *          an account's rate does not expire. */
bool credit_holder_use_valid(const credit_holder_t *holder,
			     const resource_t *resource, uint64_t use_id,
			     int64_t now_us);

/**
 * Handles a grant or a refusal from the owner. The caller must discard
 * messages from a node that this node does not regard as the owner.
 */
void credit_holder_receive(credit_holder_t *holder, const credit_msg_t *message,
			   int64_t now_us);

/**
 * Presents the grants of a resource to its new owner and requests again what
 * the previous owner has not granted. To be called also when the owner has a
 * new incarnation, and when this node learns the owner of a server or of
 * weight loads for the first time, since a new owner waits for every member.
 */
void credit_holder_owner_changed(credit_holder_t *holder,
				 const resource_t *resource, int64_t now_us);

/** Sends renewals and repetitions that are due, removes expired grants and
 * returns idle blocks and abandoned requests. */
void credit_holder_tick(credit_holder_t *holder, int64_t now_us);

/** Returns all unused amounts and withdraws all requests, for shutdown. */
void credit_holder_return_all(credit_holder_t *holder, int64_t now_us);

/** Takes the next message to the owner. @return false if there is none. */
bool credit_holder_next(credit_holder_t *holder, credit_msg_t *message);

#endif
