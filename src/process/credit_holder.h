/**
 * @file credit_holder.h
 * Holder side of the credit protocol: the grants of this node.
 *
 * Small amounts are drawn from a block that the node holds per resource,
 * without a message; an amount above the block size is a reservation of its
 * own. The holder counts a lifetime from before it sent its request. Pure:
 * time is an argument, messages are collected by credit_holder_next().
 */
#ifndef PROCESS_CREDIT_HOLDER_H
#define PROCESS_CREDIT_HOLDER_H

#include <stdbool.h>
#include <stddef.h>

#include "process/credit.h"

typedef struct credit_holder credit_holder_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
	credit_amount_t server_block; /**< size of a block on a server */
	int32_t account_block; /**< requests of an account block */
} credit_holder_conf_t;

typedef enum {
	DRAW_OK,
	DRAW_PENDING, /**< asked the owner; draw again after a message */
	DRAW_REFUSED /**< the owner refused a short time ago */
} draw_result_t;

credit_holder_t *credit_holder_create(const credit_holder_conf_t *conf);
void credit_holder_destroy(credit_holder_t *holder);

/** Changes the size of server blocks; blocks that are held keep theirs. */
void credit_holder_set_block(credit_holder_t *holder, credit_amount_t block);

/**
 * Takes @p amount of a resource for one use, or asks the owner for it.
 * @param use identifies the use (request number and attempt); a second call
 *            with the same use continues a pending reservation
 */
draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use,
				 credit_amount_t amount, int64_t now_us);

/**
 * @return the incarnation of the server that a drawn use may be sent to; 0 if
 *         the owner knew none, or without such a use
 */
uint64_t credit_holder_server_incarnation(const credit_holder_t *holder,
					  const resource_t *resource,
					  uint64_t use);

/** Ends a use, pending or drawn; unknown uses are ignored. */
void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use, int64_t now_us);

/**
 * Counts a request that the server completed, or that failed on it: refused
 * connection, broken stream or silence. The owner learns of it with the next
 * message about the resource; of a failure at once, and nothing more is drawn
 * from the grants held until then.
 */
void credit_holder_request_ended(credit_holder_t *holder,
				 const resource_t *resource, bool completed);

/** @return what can be drawn now without a message. */
credit_amount_t credit_holder_available(const credit_holder_t *holder,
					const resource_t *resource,
					int64_t now_us);

/** Whether the use is still backed by a grant that has not expired. */
bool credit_holder_use_valid(const credit_holder_t *holder,
			     const resource_t *resource, uint64_t use,
			     int64_t now_us);

/**
 * Handles a grant or a refusal of the owner. Messages of a node that this
 * node does not regard as the owner must not be passed in.
 */
void credit_holder_receive(credit_holder_t *holder, const credit_msg_t *message,
			   int64_t now_us);

/**
 * The owner of a resource changed: presents the grants to the new one. Call
 * it also when the owner has a new incarnation, and when this node learns
 * the owner of a server or of weight loads for the first time, since a new
 * owner waits for every member.
 */
void credit_holder_owner_changed(credit_holder_t *holder,
				 const resource_t *resource, int64_t now_us);

/** Starts renewals, drops expired grants, returns idle blocks. */
void credit_holder_tick(credit_holder_t *holder, int64_t now_us);

/** Returns every unused grant, for shutdown. */
void credit_holder_return_all(credit_holder_t *holder, int64_t now_us);

/** Takes the next message to the owner; false if there is none. */
bool credit_holder_next(credit_holder_t *holder, credit_msg_t *message);

#endif
