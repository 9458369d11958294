#include "process/member.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "process/member_table.h"

/* Interval of heartbeats to dead members, which detect the end of a network
 * partition. */
#define DEAD_HEARTBEAT_US US_PER_S
/* A dead member that is not in the VM list is removed after this time. */
#define REMOVE_DEAD_US (60 * US_PER_S)

member_table_t *member_create(const char *vm_id, uint64_t incarnation)
{
	member_table_t *table = mem_calloc(1, sizeof(*table));

	mem_strlcpy(table->vm_id, vm_id, sizeof(table->vm_id));
	table->incarnation = incarnation;
	return table;
}

void member_destroy(member_table_t *table)
{
	size_t i;

	if (!table)
		return;
	for (i = 0; i < table->count; i++)
		free(table->entries[i]);
	free(table->entries);
	free(table->actions);
	free(table);
}

member_action_t *member_queue_action(member_table_t *table,
				     member_action_type_t type,
				     const char *vm_id)
{
	member_action_t *action;

	if (table->queued == table->capacity) {
		table->capacity = table->capacity ? 2 * table->capacity : 64;
		table->actions = mem_realloc(table->actions, table->capacity,
					     sizeof(*table->actions));
	}
	action = &table->actions[table->queued++];
	memset(action, 0, sizeof(*action));
	action->type = type;
	mem_strlcpy(action->vm_id, vm_id, sizeof(action->vm_id));
	return action;
}

bool member_next(member_table_t *table, member_action_t *action)
{
	if (table->taken == table->queued) {
		table->taken = table->queued = 0;
		return false;
	}
	*action = table->actions[table->taken++];
	return true;
}

entry_t *member_entry(const member_table_t *table, const char *vm_id)
{
	size_t i;

	/* A data centre has a few dozen members: a linear search is cheap. */
	for (i = 0; i < table->count; i++)
		if (!strcmp(table->entries[i]->public.vm_id, vm_id))
			return table->entries[i];
	return NULL;
}

static void notify_change(member_table_t *table, const entry_t *entry,
			  bool removed)
{
	member_action_t *action = member_queue_action(table, MEMBER_DO_NOTIFY,
						      entry->public.vm_id);

	action->state = entry->public.state;
	action->leaving = entry->public.leaving;
	action->removed = removed;
}

void member_set_state(member_table_t *table, entry_t *entry,
		      member_state_t state, int64_t now_us)
{
	entry->public.state = state;
	entry->public.changed_us = now_us;
	notify_change(table, entry, false);
}

static void connect_to(member_table_t *table, entry_t *entry,
		       const char *address)
{
	member_action_t *action = member_queue_action(table, MEMBER_DO_CONNECT,
						      entry->public.vm_id);

	mem_strlcpy(entry->public.address, address,
		    sizeof(entry->public.address));
	mem_strlcpy(action->address, address, sizeof(action->address));
}

static entry_t *add(member_table_t *table, const char *vm_id,
		    const char *address, int64_t now_us)
{
	entry_t *entry = mem_calloc(1, sizeof(*entry));

	mem_strlcpy(entry->public.vm_id, vm_id, sizeof(entry->public.vm_id));
	entry->public.changed_us = now_us;
	entry->public.unreachable = true;
	if (table->count == table->entry_capacity) {
		table->entry_capacity += ENTRIES_STEP;
		table->entries = mem_realloc(table->entries,
					     table->entry_capacity,
					     sizeof(entry_t *));
	}
	table->entries[table->count++] = entry;
	connect_to(table, entry, address);
	return entry;
}

static void remove_at(member_table_t *table, size_t index)
{
	entry_t *entry = table->entries[index];

	notify_change(table, entry, true);
	member_queue_action(table, MEMBER_DO_DISCONNECT, entry->public.vm_id);
	table->entries[index] = table->entries[--table->count];
	free(entry);
}

void member_seed(member_table_t *table, const member_seed_t *seeds,
		 size_t count, int64_t now_us)
{
	size_t i;

	for (i = 0; i < table->count; i++)
		table->entries[i]->public.listed = false;
	for (i = 0; i < count; i++) {
		entry_t *entry = member_entry(table, seeds[i].vm_id);

		if (!strcmp(seeds[i].vm_id, table->vm_id))
			continue;
		if (!entry)
			entry = add(table, seeds[i].vm_id, seeds[i].address,
				    now_us);
		/* A replaced VM may keep its id but has a new address. The
		 * address that a live member announced is newer than the
		 * list. */
		else if (entry->public.state != MEMBER_ALIVE &&
			 strcmp(entry->public.address, seeds[i].address) != 0)
			connect_to(table, entry, seeds[i].address);
		entry->public.listed = true;
	}
	for (i = table->count; i-- > 0;)
		if (!table->entries[i]->public.listed &&
		    table->entries[i]->public.state == MEMBER_SEEDED)
			remove_at(table, i);
}

static bool is_old(const entry_t *entry, uint64_t incarnation)
{
	/*
	 * Incarnations grow with the wall clock. A lower incarnation is
	 * accepted once the known one is dead, in case the VM restarted with
	 * its clock set back.
	 */
	return incarnation < entry->public.incarnation &&
	       entry->public.state != MEMBER_DEAD;
}

member_sender_state_t member_sender_state(const member_table_t *table,
					  const member_sender_t *sender)
{
	const entry_t *entry = member_entry(table, sender->vm_id);

	if (entry && entry->public.incarnation == sender->incarnation)
		return MEMBER_SENDER_CURRENT;
	if (entry && is_old(entry, sender->incarnation))
		return MEMBER_SENDER_OLD;
	return MEMBER_SENDER_UNKNOWN;
}

static void start_incarnation(member_table_t *table, entry_t *entry,
			      uint64_t incarnation, int64_t now_us)
{
	/* The previous process has certainly ended: it is reported dead. */
	if (entry->public.incarnation && entry->public.state != MEMBER_DEAD)
		member_set_state(table, entry, MEMBER_DEAD, now_us);
	entry->public.incarnation = incarnation;
	entry->public.leaving = false;
	entry->sequence = 0;
	entry->nonce = 0;
}

static void mark_alive(member_table_t *table, entry_t *entry, int64_t now_us)
{
	entry->last_received_us = now_us;
	entry->public.unreachable = false;
	if (entry->public.state == MEMBER_ALIVE)
		return;
	/* Ends the longer interval between heartbeats to a dead member. */
	entry->next_heartbeat_us = now_us;
	member_set_state(table, entry, MEMBER_ALIVE, now_us);
}

static void set_leaving(member_table_t *table, entry_t *entry, int64_t now_us)
{
	if (entry->public.leaving)
		return;
	entry->public.leaving = true;
	entry->public.changed_us = now_us;
	notify_change(table, entry, false);
}

bool member_heartbeat(member_table_t *table, const member_sender_t *sender,
		      const member_heartbeat_t *heartbeat, int64_t now_us)
{
	entry_t *entry = member_entry(table, sender->vm_id);
	bool has_address = heartbeat->address && *heartbeat->address;

	if (!sender->incarnation || !strcmp(sender->vm_id, table->vm_id))
		return false;
	if (!entry && !has_address)
		return false;
	if (!entry)
		entry = add(table, sender->vm_id, heartbeat->address, now_us);
	if (is_old(entry, sender->incarnation))
		return false;
	if (entry->public.incarnation != sender->incarnation)
		start_incarnation(table, entry, sender->incarnation, now_us);
	/* A heartbeat that arrives after a newer one is out of date. */
	if (heartbeat->sequence && heartbeat->sequence <= entry->sequence)
		return false;
	if (has_address &&
	    strcmp(entry->public.address, heartbeat->address) != 0)
		connect_to(table, entry, heartbeat->address);
	mark_alive(table, entry, now_us);
	if (!heartbeat->sequence)
		return true;
	entry->sequence = heartbeat->sequence;
	entry->public.config_version = heartbeat->config_version;
	entry->public.view = heartbeat->view;
	entry->public.platform_cut = heartbeat->platform_cut;
	if (heartbeat->leaving)
		set_leaving(table, entry, now_us);
	return true;
}

void member_leaving(member_table_t *table, const member_sender_t *sender,
		    int64_t now_us)
{
	if (member_sender_state(table, sender) == MEMBER_SENDER_CURRENT)
		set_leaving(table, member_entry(table, sender->vm_id), now_us);
}

static void send_heartbeat(member_table_t *table, entry_t *entry,
			   int64_t now_us)
{
	member_action_t *action;
	bool dead = entry->public.state == MEMBER_DEAD;

	if (now_us < entry->next_heartbeat_us)
		return;
	entry->next_heartbeat_us =
		now_us + (dead ? DEAD_HEARTBEAT_US : MEMBER_HEARTBEAT_US);
	action = member_queue_action(table, MEMBER_DO_HEARTBEAT,
				     entry->public.vm_id);
	action->sequence = ++entry->heartbeats_sent;
	action->with_address = entry->public.unreachable;
}

static void update_state(member_table_t *table, entry_t *entry, int64_t now_us)
{
	int64_t last_us = entry->last_received_us > entry->last_confirmed_us
				  ? entry->last_received_us
				  : entry->last_confirmed_us;

	if (now_us - entry->last_received_us >= MEMBER_SUSPECT_US)
		entry->public.unreachable = true;
	if (entry->public.state == MEMBER_ALIVE &&
	    now_us - last_us >= MEMBER_SUSPECT_US)
		member_set_state(table, entry, MEMBER_SUSPECT, now_us);
	else if (entry->public.state == MEMBER_SUSPECT &&
		 now_us - entry->public.changed_us >= MEMBER_DEAD_US)
		member_set_state(table, entry, MEMBER_DEAD, now_us);
	if (entry->public.unreachable &&
	    (entry->public.state == MEMBER_ALIVE ||
	     entry->public.state == MEMBER_SUSPECT))
		member_probe(table, entry, now_us);
}

void member_tick(member_table_t *table, int64_t now_us)
{
	size_t i;

	for (i = table->count; i-- > 0;) {
		entry_t *entry = table->entries[i];

		if (entry->public.state == MEMBER_DEAD &&
		    !entry->public.listed &&
		    now_us - entry->public.changed_us >= REMOVE_DEAD_US) {
			remove_at(table, i);
			continue;
		}
		update_state(table, entry, now_us);
		send_heartbeat(table, entry, now_us);
	}
}
