#include "process/credit.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/mem.h"

/* Bounds of received amounts, so that sums of grants cannot overflow. */
#define KV_TOKENS_MAX (INT64_C(1) << 48)
#define SLOTS_MAX (INT32_C(1) << 24)

void resource_set(resource_t *resource, resource_kind_t kind, const char *name)
{
	memset(resource, 0, sizeof(*resource));
	resource->kind = kind;
	mem_strlcpy(resource->name, name, sizeof(resource->name));
}

bool resource_equal(const resource_t *a, const resource_t *b)
{
	return a->kind == b->kind && !strcmp(a->name, b->name);
}

credit_amount_t credit_add(credit_amount_t a, credit_amount_t b)
{
	a.kv_tokens += b.kv_tokens;
	a.slots += b.slots;
	return a;
}

credit_amount_t credit_sub(credit_amount_t a, credit_amount_t b)
{
	a.kv_tokens = a.kv_tokens > b.kv_tokens ? a.kv_tokens - b.kv_tokens : 0;
	a.slots = a.slots > b.slots ? a.slots - b.slots : 0;
	return a;
}

credit_amount_t credit_min(credit_amount_t a, credit_amount_t b)
{
	a.kv_tokens = a.kv_tokens < b.kv_tokens ? a.kv_tokens : b.kv_tokens;
	a.slots = a.slots < b.slots ? a.slots : b.slots;
	return a;
}

credit_amount_t credit_max(credit_amount_t a, credit_amount_t b)
{
	a.kv_tokens = a.kv_tokens > b.kv_tokens ? a.kv_tokens : b.kv_tokens;
	a.slots = a.slots > b.slots ? a.slots : b.slots;
	return a;
}

bool credit_is_zero(credit_amount_t amount)
{
	return !amount.kv_tokens && !amount.slots;
}

bool credit_fits(credit_amount_t amount, credit_amount_t limit)
{
	return amount.kv_tokens <= limit.kv_tokens &&
	       amount.slots <= limit.slots;
}

credit_amount_t credit_digest(credit_amount_t list, uint64_t id)
{
	uint64_t hash = XXH3_64bits(&id, sizeof(id));

	list.slots++;
	list.kv_tokens = (list.kv_tokens + (int64_t)(hash >> 17)) &
			 (KV_TOKENS_MAX - 1);
	return list;
}

static bool amount_valid(credit_amount_t amount)
{
	return amount.kv_tokens >= 0 && amount.kv_tokens <= KV_TOKENS_MAX &&
	       amount.slots >= 0 && amount.slots <= SLOTS_MAX;
}

bool credit_msg_valid(const credit_msg_t *message)
{
	return message->resource.kind <= RESOURCE_WEIGHT_LOAD &&
	       message->resource.name[0] && amount_valid(message->amount) &&
	       amount_valid(message->minimum) && message->lifetime_us >= 0 &&
	       message->lifetime_us <= TIME_MAX_US &&
	       message->retry_after_us >= 0 &&
	       message->retry_after_us <= TIME_MAX_US;
}

credit_msg_t *credit_queue_add(credit_queue_t *queue,
			       const credit_msg_t *message)
{
	if (queue->first && queue->first + queue->count == queue->capacity) {
		memmove(queue->messages, queue->messages + queue->first,
			queue->count * sizeof(*queue->messages));
		queue->first = 0;
	}
	if (queue->count == queue->capacity) {
		queue->capacity = queue->capacity ? 2 * queue->capacity : 16;
		queue->messages = mem_realloc(queue->messages, queue->capacity,
					      sizeof(*queue->messages));
	}
	queue->messages[queue->first + queue->count] = *message;
	return &queue->messages[queue->first + queue->count++];
}

bool credit_queue_take(credit_queue_t *queue, credit_msg_t *message)
{
	if (!queue->count)
		return false;
	*message = queue->messages[queue->first++];
	if (!--queue->count)
		queue->first = 0;
	return true;
}

void credit_queue_clear(credit_queue_t *queue)
{
	free(queue->messages);
	memset(queue, 0, sizeof(*queue));
}
