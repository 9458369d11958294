/**
 * @file credit.h
 * Types shared by the two sides of the credit protocol.
 *
 * A credit is the right to use an amount of a shared resource for a limited
 * time. Each resource has one owner node in its data centre, which grants
 * credits to holders.
 */
#ifndef PROCESS_CREDIT_H
#define PROCESS_CREDIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

typedef enum {
	RESOURCE_SERVER, /**< KV tokens and request slots of a server */
	RESOURCE_ACCOUNT, /**< requests of a client account per period */
	RESOURCE_WEIGHT_LOAD /**< weight loads in flight of a data centre */
} resource_kind_t;

typedef struct {
	resource_kind_t kind;
	char name[NAME_SIZE_BYTES];
} resource_t;

/** What is granted; resources without KV memory use slots only. */
typedef struct {
	int64_t kv_tokens;
	int32_t slots;
} credit_amount_t;

typedef enum {
	CREDIT_REQUEST, /**< holder asks for `amount`, at least `minimum` */
	/**
	 * Answers a request or a renewal; with retry_after_us above 0 the
	 * holder returns what it does not use and draws nothing new from the
	 * grant until then.
	 */
	CREDIT_GRANT,
	/**
	 * Nothing now; ask again after retry_after_us. With sequence 0 it
	 * recalls what is not in use of a held grant. With id 0 a new owner
	 * asks a holder to present what it holds; the holder ends its list
	 * with this sequence number.
	 */
	CREDIT_REFUSAL,
	CREDIT_RENEW, /**< holder extends grant `id`, uses `minimum` of it */
	/**
	 * Holder gives back `amount` of grant `id` and keeps `minimum`. What
	 * is kept counts, so that a repeated return has no further effect.
	 */
	CREDIT_RETURN,
	/**
	 * Holder tells a new owner what it holds, or an owner what is still
	 * in use (`minimum`) of a grant that expired. Answered like a renewal,
	 * but never refused: it states a fact. The message with id 0 ends the
	 * list of a holder and has no answer. Its `minimum` holds the number of
	 * grants (slots) and the sum of their credit_digest() (kv_tokens).
	 */
	CREDIT_PRESENT
} credit_msg_type_t;

/** One message of the credit protocol. */
typedef struct {
	credit_msg_type_t type;
	resource_t resource;
	uint64_t id; /**< grant; chosen by the holder, unique per VM */
	/**
	 * Grows with every new message of the holder; an answer repeats the
	 * number of the message that it answers, 0 if it answers none. It
	 * tells a late answer to an earlier message from the answer to a
	 * renewal.
	 */
	uint64_t sequence;
	credit_amount_t amount;
	credit_amount_t minimum;
	int64_t lifetime_us; /**< of a grant or renewal */
	int64_t retry_after_us;
	char holder[NAME_SIZE_BYTES]; /**< VM id */
	uint64_t holder_incarnation;
	/**
	 * Requests of this holder that completed and failed on the server
	 * since the holder started: evidence for the ramp that the owner
	 * keeps. Sums, so that lost and repeated messages do not matter.
	 */
	uint64_t completed;
	uint64_t failed;
	/**
	 * Incarnation of the server that the grant is for; 0 if its owner knew
	 * none. A server in another incarnation bears less.
	 */
	uint64_t server_incarnation;
} credit_msg_t;

#define CREDIT_LIFETIME_US (2 * US_PER_S)
#define CREDIT_MARGIN_US (250 * US_PER_MS)

/** Sets a resource; unused bytes are zero, so it can serve as a hash key. */
void resource_set(resource_t *resource, resource_kind_t kind, const char *name);
bool resource_equal(const resource_t *a, const resource_t *b);

credit_amount_t credit_add(credit_amount_t a, credit_amount_t b);

/** Subtracts per component; a component that would be negative is 0. */
credit_amount_t credit_sub(credit_amount_t a, credit_amount_t b);
credit_amount_t credit_min(credit_amount_t a, credit_amount_t b);
credit_amount_t credit_max(credit_amount_t a, credit_amount_t b);
bool credit_is_zero(credit_amount_t amount);

/** Whether no component of @p amount is above that of @p limit. */
bool credit_fits(credit_amount_t amount, credit_amount_t limit);

/** @return the amount with @p id added to a list of presented grants. */
credit_amount_t credit_digest(credit_amount_t list, uint64_t id);

/** Whether a received message has sensible numbers and a name. */
bool credit_msg_valid(const credit_msg_t *message);

/** First-in, first-out queue of messages to send. */
typedef struct {
	credit_msg_t *messages;
	size_t first;
	size_t count;
	size_t capacity;
} credit_queue_t;

/** Adds a copy of @p message and returns it. */
credit_msg_t *credit_queue_add(credit_queue_t *queue,
			       const credit_msg_t *message);
bool credit_queue_take(credit_queue_t *queue, credit_msg_t *message);
void credit_queue_clear(credit_queue_t *queue);

#endif
