/**
 * @file fake_credit.h
 * Stands in for process/credit_holder in tests: answers every draw of a
 * resource kind with a set result and counts the credits that are out.
 * Include it in one source of a test program only.
 */
#ifndef TESTS_FAKE_CREDIT_H
#define TESTS_FAKE_CREDIT_H

#include <string.h>

#include "process/credit_holder.h"

enum { FAKE_CREDITS_MAX = 4096 };

struct credit_holder {
	draw_result_t server_result;
	draw_result_t account_result;
	char pending_server[NAME_SIZE_BYTES]; /* this one answers pending */
	size_t count; /* draws, pending or drawn */
	struct {
		resource_t resource;
		uint64_t use;
		credit_amount_t amount;
		bool drawn;
	} draws[FAKE_CREDITS_MAX];
};

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

draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use,
				 credit_amount_t amount, int64_t now_us)
{
	draw_result_t result = resource->kind == RESOURCE_SERVER
				       ? holder->server_result
				       : holder->account_result;
	size_t i = fake_find(holder, resource, use);

	if (!strcmp(resource->name, holder->pending_server))
		result = DRAW_PENDING;
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

bool credit_holder_valid(const credit_holder_t *holder,
			 const resource_t *resource, uint64_t use,
			 int64_t now_us)
{
	size_t i = fake_find(holder, resource, use);

	return i < holder->count && holder->draws[i].drawn;
}

void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use, int64_t now_us)
{
	size_t i = fake_find(holder, resource, use);

	if (i < holder->count)
		holder->draws[i] = holder->draws[--holder->count];
}

#endif
