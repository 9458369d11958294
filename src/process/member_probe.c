#include <string.h>

#include "base/mem.h"
#include "process/member_table.h"

/* Two rounds of probes fit into the time from suspect to dead. */
#define PROBE_INTERVAL_US (MEMBER_DEAD_US / 2)

static bool can_help(const entry_t *entry, const entry_t *target)
{
	return entry != target && entry->public.state == MEMBER_ALIVE &&
	       !entry->public.unreachable;
}

static void queue_probe(member_table_t *table, const char *receiver,
			const entry_t *target, bool direct)
{
	member_action_t *action =
		member_queue_action(table, MEMBER_DO_PROBE, receiver);

	mem_strlcpy(action->target, target->public.vm_id,
		    sizeof(action->target));
	action->nonce = target->nonce;
	action->direct = direct;
}

void member_probe(member_table_t *table, entry_t *entry, int64_t now_us)
{
	size_t helpers = 0, i;

	if (now_us < entry->next_probe_us)
		return;
	entry->next_probe_us = now_us + PROBE_INTERVAL_US;
	entry->nonce = table->incarnation ^ ++table->next_nonce;
	queue_probe(table, entry->public.vm_id, entry, true);
	/* Each round takes other helpers, since the link of a helper to the
	 * member may be partitioned, too. */
	for (i = 0; i < table->count && helpers < PROBE_HELPERS; i++) {
		size_t index = (table->next_helper + i) % table->count;

		if (!can_help(table->entries[index], entry))
			continue;
		queue_probe(table, table->entries[index]->public.vm_id, entry,
			    false);
		helpers++;
		table->next_helper = index + 1;
	}
}

static void queue_reply(member_table_t *table, const char *receiver,
			const char *target, uint64_t nonce,
			uint64_t incarnation)
{
	member_action_t *action =
		member_queue_action(table, MEMBER_DO_REPLY, receiver);

	mem_strlcpy(action->target, target, sizeof(action->target));
	action->nonce = nonce;
	action->target_incarnation = incarnation;
}

static void relay_probe(member_table_t *table, const char *requester,
			const char *target, uint64_t nonce, int64_t now_us)
{
	relayed_probe_t *entry =
		&table->relayed[table->next_relayed++ % RELAYED_PROBES_MAX];
	member_action_t *action;

	mem_strlcpy(entry->requester, requester, sizeof(entry->requester));
	entry->nonce = nonce;
	entry->expires_us = now_us + RELAYED_PROBE_LIFETIME_US;
	action = member_queue_action(table, MEMBER_DO_PROBE, target);
	mem_strlcpy(action->target, target, sizeof(action->target));
	action->nonce = nonce;
	action->direct = true;
}

void member_probe_request(member_table_t *table, const char *sender,
			  const char *target, uint64_t nonce, bool direct,
			  int64_t now_us)
{
	if (!strcmp(target, table->vm_id))
		queue_reply(table, sender, target, nonce, table->incarnation);
	else if (!direct && member_entry(table, target))
		relay_probe(table, sender, target, nonce, now_us);
}

void member_probe_reply(member_table_t *table, const char *target,
			uint64_t nonce, uint64_t target_incarnation,
			int64_t now_us)
{
	entry_t *entry = member_entry(table, target);
	size_t i;

	if (entry && entry->nonce == nonce && nonce &&
	    entry->public.incarnation == target_incarnation) {
		entry->last_confirmed_us = now_us;
		if (entry->public.state != MEMBER_ALIVE)
			member_set_state(table, entry, MEMBER_ALIVE, now_us);
		return;
	}
	for (i = 0; i < RELAYED_PROBES_MAX; i++) {
		relayed_probe_t *waiting = &table->relayed[i];

		if (!*waiting->requester || waiting->nonce != nonce ||
		    waiting->expires_us < now_us)
			continue;
		queue_reply(table, waiting->requester, target, nonce,
			    target_incarnation);
		*waiting->requester = '\0';
	}
}
