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
	 * recalls what is not in use of a held grant.
	 */
	CREDIT_REFUSAL,
	CREDIT_RENEW, /**< holder extends grant `id` */
	CREDIT_RETURN, /**< holder gives back `amount` of grant `id` */
	/**
	 * Holder tells a new owner what it holds. The message with id 0 ends
	 * the list and carries the sum.
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
	 * renewal, and a repeated partial return from a second one.
	 */
	uint64_t sequence;
	credit_amount_t amount;
	credit_amount_t minimum;
	int64_t lifetime_us; /**< of a grant or renewal */
	int64_t retry_after_us;
	char holder[NAME_SIZE_BYTES]; /**< VM id */
	uint64_t holder_incarnation;
} credit_msg_t;

#define CREDIT_LIFETIME_US (2 * US_PER_S)
#define CREDIT_MARGIN_US (250 * US_PER_MS)

#endif
