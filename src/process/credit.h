/**
 * @file credit.h
 * Types of the credit protocol, which the owner and the holders share.
 *
 * A credit is the right to use an amount of a shared resource for a limited
 * time. Each resource has one owner node in its data centre, which grants
 * credits to holders: the nodes that use the resource.
 */
#ifndef PROCESS_CREDIT_H
#define PROCESS_CREDIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

typedef enum {
	RESOURCE_SERVER, /**< KV cache tokens and request slots of a server */
	RESOURCE_ACCOUNT, /**< requests per second of a client account */
	RESOURCE_WEIGHT_LOAD /**< concurrent weight loads of a data centre */
} resource_kind_t;

typedef struct {
	resource_kind_t kind;
	char name[NAME_SIZE_BYTES];
} resource_t;

/** Amount of a resource; a resource without KV memory uses slots only. */
typedef struct {
	int64_t kv_tokens; /**< memory of the KV cache, in tokens */
	int32_t slots; /**< requests, or weight loads */
} credit_amount_t;

typedef enum {
	CREDIT_REQUEST, /**< holder requests `amount`, at least `minimum` */
	/**
	 * The owner grants a request or a renewal. With retry_after_us above
	 * 0 the holder returns the unused amount and draws nothing new from
	 * the grant for that time.
	 */
	CREDIT_GRANT,
	/**
	 * The owner grants nothing now; the holder may repeat the request
	 * after retry_after_us. With sequence 0 the message recalls the unused
	 * amount of a held grant. With id 0 the owner requests the list of the
	 * grants that the holder holds; the message that ends this list has
	 * the sequence number of the request.
	 */
	CREDIT_REFUSAL,
	CREDIT_RENEW, /**< holder renews grant `id` and uses `minimum` */
	/**
	 * Holder returns `amount` of grant `id` and keeps `minimum`. The owner
	 * goes by the amount kept, so that a repeated return has no further
	 * effect.
	 */
	CREDIT_RETURN,
	/**
	 * Holder presents a grant to a new owner, or the amount still in use
	 * (`minimum`) of an expired grant to its owner. The owner answers as
	 * to a renewal but never refuses, since the amount is in use already.
	 * The message with id 0 ends the list of a holder and has no answer;
	 * its `minimum` is the credit_digest() of the list: the number of
	 * grants (slots) and the sum of the hashes of their ids (kv_tokens).
	 */
	CREDIT_PRESENT
} credit_msg_type_t;

/** One message of the credit protocol. */
typedef struct {
	credit_msg_type_t type;
	resource_t resource;
	uint64_t id; /**< id of the grant; set by the holder, unique per VM */
	/**
	 * Number that grows with every new message of the holder. An answer
	 * of the owner repeats the number of the message that it answers; 0:
	 * the message answers none. The number distinguishes a delayed answer
	 * to an earlier message from the answer to a renewal.
	 */
	uint64_t sequence;
	credit_amount_t amount;
	credit_amount_t minimum;
	int64_t lifetime_us; /**< lifetime of a grant or renewal; else 0 */
	int64_t retry_after_us; /**< see credit_msg_type_t; 0: none */
	char holder[NAME_SIZE_BYTES]; /**< VM id of the holder */
	uint64_t holder_incarnation;
	/**
	 * Numbers of requests of this holder that completed and failed on the
	 * server since the holder started. The owner's slow start of the
	 * server depends on them. They are running totals, so that lost and
	 * repeated messages have no effect.
	 */
	uint64_t completed;
	uint64_t failed;
	/**
	 * Incarnation of the server that the grant is for; 0: the owner knew
	 * none. A server in a new incarnation is cold and can take less load.
	 */
	uint64_t server_incarnation;
} credit_msg_t;

/** Time for which a holder may use a grant. */
#define CREDIT_LIFETIME_US (2 * US_PER_S)

/** Time for which the owner counts a grant beyond its lifetime. */
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

/** @return true if no component of @p amount is above that of @p limit. */
bool credit_fits(credit_amount_t amount, credit_amount_t limit);

/**
 * Adds the grant @p id to the digest @p list of presented grants: counts the
 * grant in slots and adds the hash of its id to kv_tokens.
 */
credit_amount_t credit_digest(credit_amount_t list, uint64_t id);

/** @return true if the numbers of a received message are in range and its
 *          resource has a name. */
bool credit_msg_valid(const credit_msg_t *message);

/** First-in, first-out queue of messages to send. */
typedef struct {
	credit_msg_t *messages;
	size_t first;
	size_t count;
	size_t capacity;
} credit_queue_t;

/** Adds a copy of @p message. @return the copy in the queue. */
credit_msg_t *credit_queue_add(credit_queue_t *queue,
			       const credit_msg_t *message);
/** Takes the first message. @return false if the queue is empty. */
bool credit_queue_take(credit_queue_t *queue, credit_msg_t *message);
void credit_queue_clear(credit_queue_t *queue);

#endif
