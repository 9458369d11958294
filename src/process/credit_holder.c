#include "process/credit_holder_state.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/mem.h"

credit_holder_t *credit_holder_create(const credit_holder_conf_t *conf)
{
	credit_holder_t *holder = mem_calloc(1, sizeof(*holder));

	holder->conf = *conf;
	holder->sender.vm_id = holder->conf.vm_id;
	holder->sender.incarnation = conf->incarnation;
	/* Incarnations are random, so grant ids start at a random number: an
	 * answer to the previous process of this VM then has no grant here. */
	holder->sender.last_id = conf->incarnation;
	return holder;
}

void credit_entry_destroy(credit_holder_t *holder, credit_entry_t *entry)
{
	credit_grant_t *grant, *next_grant;
	credit_use_t *use, *next_use;

	HASH_ITER (hh, entry->uses, use, next_use) {
		HASH_DEL(entry->uses, use);
		free(use);
	}
	LL_FOREACH_SAFE (entry->grants, grant, next_grant)
		free(grant);
	HASH_DEL(holder->entries, entry);
	free(entry);
}

void credit_holder_set_block(credit_holder_t *holder, credit_amount_t block)
{
	holder->conf.server_block = block;
}

void credit_holder_destroy(credit_holder_t *holder)
{
	credit_entry_t *entry, *next;

	if (!holder)
		return;
	HASH_ITER (hh, holder->entries, entry, next)
		credit_entry_destroy(holder, entry);
	credit_queue_clear(&holder->sender.queue);
	free(holder);
}

credit_entry_t *credit_entry_find(const credit_holder_t *holder,
				  const resource_t *resource)
{
	resource_t key;
	credit_entry_t *entry;

	resource_set(&key, resource->kind, resource->name);
	HASH_FIND(hh, holder->entries, &key, sizeof(key), entry);
	return entry;
}

credit_entry_t *credit_entry_get(credit_holder_t *holder,
				 const resource_t *resource)
{
	credit_entry_t *entry = credit_entry_find(holder, resource);

	if (entry)
		return entry;
	entry = mem_calloc(1, sizeof(*entry));
	resource_set(&entry->resource, resource->kind, resource->name);
	HASH_ADD(hh, holder->entries, resource, sizeof(entry->resource), entry);
	return entry;
}

bool credit_entry_is_rate(const credit_entry_t *entry)
{
	return entry->resource.kind == RESOURCE_ACCOUNT;
}

static credit_use_t *find_use(const credit_entry_t *entry, uint64_t id)
{
	credit_use_t *use;

	HASH_FIND(hh, entry->uses, &id, sizeof(id), use);
	return use;
}

static credit_use_t *get_use(credit_entry_t *entry, uint64_t id,
			     credit_amount_t amount)
{
	credit_use_t *use = find_use(entry, id);

	if (use)
		return use;
	use = mem_calloc(1, sizeof(*use));
	use->id = id;
	use->amount = amount;
	HASH_ADD(hh, entry->uses, id, sizeof(use->id), use);
	return use;
}

void credit_entry_remove_use(credit_entry_t *entry, credit_use_t *use)
{
	HASH_DEL(entry->uses, use);
	free(use);
}

static credit_grant_t *create_grant(credit_holder_t *holder,
				    credit_entry_t *entry)
{
	credit_grant_t *grant = mem_calloc(1, sizeof(*grant));

	/* Id 0 is reserved: it ends a list of presented grants. */
	if (!++holder->sender.last_id)
		holder->sender.last_id++;
	grant->id = holder->sender.last_id;
	LL_PREPEND(entry->grants, grant);
	return grant;
}

void credit_entry_remove_grant(credit_entry_t *entry, credit_grant_t *grant)
{
	credit_use_t *use, *next;

	/* Only the use of a reservation that is not drawn, or of a rate, can
	 * still point to the grant. */
	HASH_ITER (hh, entry->uses, use, next)
		if (use->grant == grant)
			use->grant = NULL;
	LL_DELETE(entry->grants, grant);
	free(grant);
}

void credit_entry_return_grant(credit_holder_t *holder, credit_entry_t *entry,
			       credit_grant_t *grant)
{
	credit_amount_t nothing = { 0 };

	grant_return(grant->id, &entry->resource, grant->amount, nothing,
		     &holder->sender);
	credit_entry_remove_grant(entry, grant);
}

void credit_entry_expire(credit_holder_t *holder, credit_entry_t *entry,
			 int64_t now_us)
{
	credit_grant_t *grant, *next;

	LL_FOREACH_SAFE (entry->grants, grant, next) {
		if (grant->state != GRANT_HELD || grant->expires_us > now_us)
			continue;
		if (credit_entry_is_rate(entry) ||
		    credit_is_zero(grant->used)) {
			credit_entry_remove_grant(entry, grant);
			continue;
		}
		grant->state = GRANT_EXPIRED;
		grant->closed = true;
		grant->amount = grant->used;
		grant->request_sequence = 0;
		grant_send(grant, &entry->resource, &holder->sender, now_us);
	}
}

static credit_grant_t *find_usable(const credit_entry_t *entry,
				   credit_amount_t amount, int64_t now_us)
{
	credit_grant_t *grant;

	LL_FOREACH (entry->grants, grant)
		if (!grant->reserved && grant_usable(grant, now_us) &&
		    credit_fits(amount, grant_unused(grant)))
			return grant;
	return NULL;
}

static credit_amount_t block_size(const credit_holder_t *holder,
				  const credit_entry_t *entry)
{
	credit_amount_t block = { 0 };

	if (entry->resource.kind == RESOURCE_SERVER)
		return holder->conf.server_block;
	if (entry->resource.kind == RESOURCE_ACCOUNT)
		block.slots = holder->conf.account_block;
	return block;
}

static draw_result_t draw_from_grant(credit_grant_t *grant, credit_use_t *use)
{
	grant->used = credit_add(grant->used, use->amount);
	use->grant = grant;
	use->drawn = true;
	return DRAW_OK;
}

/* Sends a request that is new or due again after a refusal. Returns
 * DRAW_REFUSED before the time that the owner set for the next request. */
static draw_result_t request_or_wait(credit_holder_t *holder,
				     credit_entry_t *entry,
				     credit_grant_t *grant, int64_t now_us)
{
	if (grant->state == GRANT_REFUSED && now_us < grant->retry_us)
		return DRAW_REFUSED;
	if (grant->state != GRANT_REQUESTED || !grant->request_sequence)
		grant_send(grant, &entry->resource, &holder->sender, now_us);
	return DRAW_PENDING;
}

static draw_result_t draw_reserved(credit_holder_t *holder,
				   credit_entry_t *entry, credit_use_t *use,
				   int64_t now_us)
{
	credit_grant_t *grant = use->grant;

	if (grant && grant_usable(grant, now_us) &&
	    credit_fits(use->amount, grant_unused(grant)))
		return draw_from_grant(grant, use);
	if (grant && grant->state == GRANT_HELD)
		credit_entry_return_grant(holder, entry, grant);
	if (!use->grant) {
		use->grant = create_grant(holder, entry);
		use->grant->reserved = true;
		use->grant->use_id = use->id;
		use->grant->amount = use->amount;
		use->grant->minimum = use->amount;
	}
	return request_or_wait(holder, entry, use->grant, now_us);
}

/* Sets the amount of a request for a block: the block size, or the sum of all
 * waiting uses if larger. */
static void set_request_size(const credit_holder_t *holder,
			     const credit_entry_t *entry, credit_grant_t *grant,
			     credit_amount_t minimum)
{
	credit_amount_t waiting = { 0 };
	credit_use_t *use, *next;

	HASH_ITER (hh, entry->uses, use, next)
		if (!use->drawn && !use->grant)
			waiting = credit_add(waiting, use->amount);
	grant->minimum = minimum;
	grant->amount = credit_max(block_size(holder, entry), waiting);
}

static draw_result_t draw_block(credit_holder_t *holder, credit_entry_t *entry,
				credit_use_t *use, int64_t now_us)
{
	credit_grant_t *grant = find_usable(entry, use->amount, now_us);

	if (grant)
		return draw_from_grant(grant, use);
	LL_FOREACH (entry->grants, grant)
		if (!grant->reserved && (grant->state == GRANT_REQUESTED ||
					 grant->state == GRANT_REFUSED))
			break;
	if (!grant)
		grant = create_grant(holder, entry);
	if (!grant->request_sequence)
		set_request_size(holder, entry, grant, use->amount);
	return request_or_wait(holder, entry, grant, now_us);
}

draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use_id,
				 credit_amount_t amount, int64_t now_us)
{
	credit_entry_t *entry = credit_entry_get(holder, resource);
	credit_use_t *use = get_use(entry, use_id, amount);

	credit_entry_expire(holder, entry, now_us);
	if (use->drawn)
		return DRAW_OK;
	use->last_us = now_us;
	entry->last_draw_us = now_us;
	if (credit_fits(use->amount, block_size(holder, entry)))
		return draw_block(holder, entry, use, now_us);
	return draw_reserved(holder, entry, use, now_us);
}

void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use_id, int64_t now_us)
{
	credit_entry_t *entry = credit_entry_find(holder, resource);
	credit_use_t *use = entry ? find_use(entry, use_id) : NULL;
	credit_grant_t *grant = use ? use->grant : NULL;

	if (!use)
		return;
	credit_entry_expire(holder, entry, now_us);
	/* An account's rate is spent by the draw and is not given back. */
	if (grant && use->drawn && !credit_entry_is_rate(entry))
		grant->used = credit_sub(grant->used, use->amount);
	credit_entry_remove_use(entry, use);
	if (!grant || credit_entry_is_rate(entry))
		return;
	if (grant->reserved)
		credit_entry_return_grant(holder, entry, grant);
	else if (grant->closed &&
		 !grant_return_unused(grant, &entry->resource, &holder->sender))
		credit_entry_remove_grant(entry, grant);
}

credit_amount_t credit_holder_available(const credit_holder_t *holder,
					const resource_t *resource,
					int64_t now_us)
{
	const credit_entry_t *entry = credit_entry_find(holder, resource);
	credit_amount_t sum = { 0 };
	const credit_grant_t *grant;

	if (!entry)
		return sum;
	LL_FOREACH (entry->grants, grant)
		if (!grant->reserved && grant_usable(grant, now_us))
			sum = credit_add(sum, grant_unused(grant));
	return sum;
}

bool credit_holder_use_valid(const credit_holder_t *holder,
			     const resource_t *resource, uint64_t use_id,
			     int64_t now_us)
{
	const credit_entry_t *entry = credit_entry_find(holder, resource);
	const credit_use_t *use = entry ? find_use(entry, use_id) : NULL;

	if (!use || !use->drawn)
		return false;
	if (credit_entry_is_rate(entry))
		return true;
	return use->grant && use->grant->state == GRANT_HELD &&
	       use->grant->expires_us > now_us;
}

uint64_t credit_holder_server_incarnation(const credit_holder_t *holder,
					  const resource_t *resource,
					  uint64_t use_id)
{
	const credit_entry_t *entry = credit_entry_find(holder, resource);
	const credit_use_t *use = entry ? find_use(entry, use_id) : NULL;

	if (!use || !use->drawn || !use->grant)
		return 0;
	return use->grant->server_incarnation;
}
