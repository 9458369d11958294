/**
 * @file fake_credit.h
 * Replaces process/credit_holder in tests: answers all draws of a resource
 * kind with the result that the test sets, and records the draws that have not
 * been released. It defines functions, so only one source file of a test
 * program may include it.
 */
#ifndef TESTS_FAKE_CREDIT_H
#define TESTS_FAKE_CREDIT_H

#include <string.h>

#include "process/credit_holder.h"

enum { FAKE_CREDITS_MAX = 4096 };

struct credit_holder {
	draw_result_t server_result;
	draw_result_t account_result;
	const char *pending_server; /* server with pending draws; NULL: none */
	const char *refusing_server; /* refuses all draws; NULL: none */
	/* KV tokens per server; a draw that exceeds them is pending; 0: no
	 * limit */
	int64_t kv_limit;
	uint64_t server_incarnation; /* incarnation in every grant */
	int completed, failed; /* attempts counted as completed, failed */
	size_t count; /* draws not released, pending or drawn */
	struct {
		resource_t resource;
		uint64_t use;
		credit_amount_t amount;
		bool drawn;
	} draws[FAKE_CREDITS_MAX];
};

/* Returns the index of the use's draw; holder->count if there is none. */
static size_t fake_find(const credit_holder_t *holder,
			const resource_t *resource, uint64_t use)
{
	size_t i;

	for (i = 0; i < holder->count; i++)
		if (holder->draws[i].use == use &&
		    holder->draws[i].resource.kind == resource->kind &&
		    !strcmp(holder->draws[i].resource.name, resource->name))
			break;
	return i;
}

/* Returns the KV tokens of a resource that uses other than @p use hold. */
static int64_t fake_drawn_by_others(const credit_holder_t *holder,
				    const resource_t *resource, uint64_t use)
{
	int64_t kv_tokens = 0;
	size_t i;

	for (i = 0; i < holder->count; i++)
		if (holder->draws[i].drawn && holder->draws[i].use != use &&
		    !strcmp(holder->draws[i].resource.name, resource->name))
			kv_tokens += holder->draws[i].amount.kv_tokens;
	return kv_tokens;
}

static bool fake_name_is(const char *name, const resource_t *resource)
{
	return name && !strcmp(resource->name, name);
}

draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use,
				 credit_amount_t amount, int64_t now_us)
{
	draw_result_t result = resource->kind == RESOURCE_SERVER
				       ? holder->server_result
				       : holder->account_result;
	size_t i = fake_find(holder, resource, use);

	if (fake_name_is(holder->pending_server, resource) ||
	    (holder->kv_limit &&
	     fake_drawn_by_others(holder, resource, use) + amount.kv_tokens >
		     holder->kv_limit))
		result = DRAW_PENDING;
	if (fake_name_is(holder->refusing_server, resource))
		result = DRAW_REFUSED;
	if (result == DRAW_REFUSED)
		return result;
	if (i == holder->count)
		holder->count++;
	holder->draws[i].resource = *resource;
	holder->draws[i].use = use;
	holder->draws[i].amount = amount;
	holder->draws[i].drawn = result == DRAW_OK;
	return result;
}

bool credit_holder_use_valid(const credit_holder_t *holder,
			     const resource_t *resource, uint64_t use,
			     int64_t now_us)
{
	size_t i = fake_find(holder, resource, use);

	return i < holder->count && holder->draws[i].drawn;
}

uint64_t credit_holder_server_incarnation(const credit_holder_t *holder,
					  const resource_t *resource,
					  uint64_t use)
{
	return credit_holder_use_valid(holder, resource, use, 0)
		       ? holder->server_incarnation
		       : 0;
}

void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use, int64_t now_us)
{
	size_t i = fake_find(holder, resource, use);

	if (i < holder->count)
		holder->draws[i] = holder->draws[--holder->count];
}

void credit_holder_request_ended(credit_holder_t *holder,
				 const resource_t *resource, bool completed)
{
	holder->completed += completed;
	holder->failed += !completed;
}

#endif
