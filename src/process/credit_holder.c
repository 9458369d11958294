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
	/* Random start: an answer that was meant for the VM's previous
	 * process names no grant of this one. */
	holder->sender.next_id = conf->incarnation;
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

static credit_use_t *use_find(const credit_entry_t *entry, uint64_t id)
{
	credit_use_t *use;

	HASH_FIND(hh, entry->uses, &id, sizeof(id), use);
	return use;
}

static credit_use_t *use_get(credit_entry_t *entry, uint64_t id,
			     credit_amount_t amount)
{
	credit_use_t *use = use_find(entry, id);

	if (use)
		return use;
	use = mem_calloc(1, sizeof(*use));
	use->use = id;
	use->amount = amount;
	HASH_ADD(hh, entry->uses, use, sizeof(use->use), use);
	return use;
}

void credit_entry_drop_use(credit_entry_t *entry, credit_use_t *use)
{
	HASH_DEL(entry->uses, use);
	free(use);
}

static credit_grant_t *grant_create(credit_holder_t *holder,
				    credit_entry_t *entry)
{
	credit_grant_t *grant = mem_calloc(1, sizeof(*grant));

	/* Id 0 ends a list of presented grants. */
	if (!++holder->sender.next_id)
		holder->sender.next_id++;
	grant->id = holder->sender.next_id;
	LL_PREPEND(entry->grants, grant);
	return grant;
}

void credit_entry_drop(credit_entry_t *entry, credit_grant_t *grant)
{
	credit_use_t *use, *next;

	/* Only a reservation without a draw still has its use attached. */
	HASH_ITER (hh, entry->uses, use, next)
		if (use->grant == grant)
			use->grant = NULL;
	LL_DELETE(entry->grants, grant);
	free(grant);
}

void credit_entry_give_up(credit_holder_t *holder, credit_entry_t *entry,
			  credit_grant_t *grant)
{
	credit_amount_t nothing = { 0 };

	grant_return(grant->id, &entry->resource, grant->amount, nothing,
		     &holder->sender);
	credit_entry_drop(entry, grant);
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
			credit_entry_drop(entry, grant);
			continue;
		}
		grant->state = GRANT_LAPSED;
		grant->closed = true;
		grant->amount = grant->used;
		grant->ask_sequence = 0;
		grant_ask(grant, &entry->resource, &holder->sender, now_us);
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

static credit_amount_t block_of(const credit_holder_t *holder,
				const credit_entry_t *entry)
{
	credit_amount_t block = { 0 };

	if (entry->resource.kind == RESOURCE_SERVER)
		return holder->conf.server_block;
	if (entry->resource.kind == RESOURCE_ACCOUNT)
		block.slots = holder->conf.account_block;
	return block;
}

static draw_result_t take(credit_grant_t *grant, credit_use_t *use)
{
	grant->used = credit_add(grant->used, use->amount);
	use->grant = grant;
	use->drawn = true;
	return DRAW_OK;
}

/* Asks again after a refusal; DRAW_REFUSED before the owner wants that. */
static draw_result_t ask_or_wait(credit_holder_t *holder, credit_entry_t *entry,
				 credit_grant_t *grant, int64_t now_us)
{
	if (grant->state == GRANT_REFUSED && now_us < grant->retry_us)
		return DRAW_REFUSED;
	if (grant->state != GRANT_ASKED || !grant->ask_sequence)
		grant_ask(grant, &entry->resource, &holder->sender, now_us);
	return DRAW_PENDING;
}

static draw_result_t draw_reserved(credit_holder_t *holder,
				   credit_entry_t *entry, credit_use_t *use,
				   int64_t now_us)
{
	credit_grant_t *grant = use->grant;

	if (grant && grant_usable(grant, now_us) &&
	    credit_fits(use->amount, grant_unused(grant)))
		return take(grant, use);
	if (grant && grant->state == GRANT_HELD)
		credit_entry_give_up(holder, entry, grant);
	if (!use->grant) {
		use->grant = grant_create(holder, entry);
		use->grant->reserved = true;
		use->grant->use = use->use;
		use->grant->amount = use->amount;
		use->grant->minimum = use->amount;
	}
	return ask_or_wait(holder, entry, use->grant, now_us);
}

/* Sets the size of a request for a block: room for all uses that wait. */
static void size_block(const credit_holder_t *holder,
		       const credit_entry_t *entry, credit_grant_t *grant,
		       credit_amount_t minimum)
{
	credit_amount_t waiting = { 0 };
	credit_use_t *use, *next;

	HASH_ITER (hh, entry->uses, use, next)
		if (!use->drawn && !use->grant)
			waiting = credit_add(waiting, use->amount);
	grant->minimum = minimum;
	grant->amount = credit_max(block_of(holder, entry), waiting);
}

static draw_result_t draw_block(credit_holder_t *holder, credit_entry_t *entry,
				credit_use_t *use, int64_t now_us)
{
	credit_grant_t *grant = find_usable(entry, use->amount, now_us);

	if (grant)
		return take(grant, use);
	LL_FOREACH (entry->grants, grant)
		if (!grant->reserved && (grant->state == GRANT_ASKED ||
					 grant->state == GRANT_REFUSED))
			break;
	if (!grant)
		grant = grant_create(holder, entry);
	if (!grant->ask_sequence)
		size_block(holder, entry, grant, use->amount);
	return ask_or_wait(holder, entry, grant, now_us);
}

draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use_id,
				 credit_amount_t amount, int64_t now_us)
{
	credit_entry_t *entry = credit_entry_get(holder, resource);
	credit_use_t *use = use_get(entry, use_id, amount);

	credit_entry_expire(holder, entry, now_us);
	if (use->drawn)
		return DRAW_OK;
	use->last_us = now_us;
	entry->last_draw_us = now_us;
	if (credit_fits(use->amount, block_of(holder, entry)))
		return draw_block(holder, entry, use, now_us);
	return draw_reserved(holder, entry, use, now_us);
}

void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use_id, int64_t now_us)
{
	credit_entry_t *entry = credit_entry_find(holder, resource);
	credit_use_t *use = entry ? use_find(entry, use_id) : NULL;
	credit_grant_t *grant = use ? use->grant : NULL;

	if (!use)
		return;
	credit_entry_expire(holder, entry, now_us);
	/* The rate of an account is spent by the draw. */
	if (grant && use->drawn && !credit_entry_is_rate(entry))
		grant->used = credit_sub(grant->used, use->amount);
	credit_entry_drop_use(entry, use);
	if (!grant || credit_entry_is_rate(entry))
		return;
	if (grant->reserved)
		credit_entry_give_up(holder, entry, grant);
	else if (grant->closed &&
		 !grant_shrink(grant, &entry->resource, &holder->sender))
		credit_entry_drop(entry, grant);
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
	const credit_use_t *use = entry ? use_find(entry, use_id) : NULL;

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
	const credit_use_t *use = entry ? use_find(entry, use_id) : NULL;

	if (!use || !use->drawn || !use->grant)
		return 0;
	return use->grant->server_incarnation;
}
