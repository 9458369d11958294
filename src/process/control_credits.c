#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "process/control_credits.h"

#define OWNER_TICK_US (40 * US_PER_MS)

/* VMs of this and other data centres that may hold grants. */
enum { HOLDERS_MAX = 512 };

control_credits_t *control_credits_create(control_t *control)
{
	control_credits_t *credits = mem_calloc(1, sizeof(*credits));

	credits->control = control;
	credits->names = mem_calloc(HOLDERS_MAX, NAME_SIZE_BYTES);
	credits->next_names = mem_calloc(HOLDERS_MAX, NAME_SIZE_BYTES);
	return credits;
}

void control_credits_destroy(control_credits_t *credits)
{
	credit_resource_t *entry, *next;

	if (!credits)
		return;
	entry = credits->entries;
	HASH_CLEAR(hh, credits->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
	free(credits->names);
	free(credits->next_names);
	free(credits);
}

static credit_resource_t *find_entry(const control_credits_t *credits,
				     const resource_t *resource)
{
	char key[KEY_SIZE_BYTES];
	credit_resource_t *entry;

	credit_resource_key(key, resource);
	HASH_FIND_STR(credits->entries, key, entry);
	return entry;
}

static bool is_local(const control_credits_t *credits,
		     const credit_resource_t *entry)
{
	return !strcmp(entry->data_centre,
		       credits->control->settings.data_centre);
}

static void own(control_credits_t *credits, credit_resource_t *entry,
		int64_t now_us)
{
	credit_owner_t *owner = credits->control->owner;

	const server_conf_t *conf =
		document_server(inforce_document(credits->control->inforce),
				entry->resource.name);

	credit_owner_add_resource(owner, &entry->resource, &entry->limit,
				  now_us);
	credit_owner_set_retired(owner, &entry->resource, entry->retired,
				 now_us);
	if (entry->resource.kind == RESOURCE_SERVER && conf)
		control_warmup_add(credits->control->warmup, conf,
				   entry->retired);
	entry->owned = true;
}

static void disown(control_credits_t *credits, credit_resource_t *entry)
{
	credit_owner_remove_resource(credits->control->owner, &entry->resource);
	if (entry->resource.kind == RESOURCE_SERVER)
		control_warmup_remove(credits->control->warmup,
				      entry->resource.name);
	entry->owned = false;
}

/* Finds the owner again and tells both sides of a change. */
static void assign(control_credits_t *credits, credit_resource_t *entry,
		   int64_t now_us)
{
	const control_members_t *members = credits->control->members;
	char owner[NAME_SIZE_BYTES] = "";
	uint64_t incarnation = 0;
	bool self;

	if (control_members_owner(members, entry->data_centre, entry->key,
				  owner))
		incarnation = control_members_incarnation(members, owner);
	if (!strcmp(owner, entry->owner) &&
	    incarnation == entry->owner_incarnation)
		return;
	mem_strlcpy(entry->owner, owner, sizeof(entry->owner));
	entry->owner_incarnation = incarnation;
	self = !strcmp(owner, credits->control->settings.vm_id) &&
	       is_local(credits, entry);
	if (self)
		own(credits, entry, now_us);
	else if (entry->owned)
		disown(credits, entry);
	if (*owner)
		credit_holder_owner_changed(credits->control->holder,
					    &entry->resource, now_us);
}

/* Removal behaves like retirement: grants in use may still be renewed. */
static void drop_entry(control_credits_t *credits, credit_resource_t *entry,
		       int64_t now_us)
{
	credit_owner_t *owner = credits->control->owner;
	credit_amount_t granted = { 0 };

	if (entry->owned) {
		credit_owner_set_retired(owner, &entry->resource, true, now_us);
		granted = credit_owner_granted(owner, &entry->resource);
	}
	if (granted.slots || granted.kv_tokens)
		return;
	if (entry->owned)
		disown(credits, entry);
	HASH_DEL(credits->entries, entry);
	free(entry);
}

void control_credits_configure(control_credits_t *credits, document_t *document)
{
	const credit_amount_t block = {
		.kv_tokens = document_limits(document)->credit_block_tokens,
		.slots = CREDIT_BLOCK_SLOTS,
	};
	int64_t now_us = clock_monotonic_us();
	credit_resource_t *entry, *next;

	for (entry = credits->entries; entry; entry = next) {
		next = entry->hh.next;
		entry->listed = false;
	}
	credit_holder_set_block(credits->control->holder, block);
	credit_resources_list(credits, document);
	for (entry = credits->entries; entry; entry = next) {
		next = entry->hh.next;
		if (!entry->listed) {
			drop_entry(credits, entry, now_us);
			continue;
		}
		if (entry->owned)
			own(credits, entry, now_us);
		assign(credits, entry, now_us);
	}
}

static bool same_view(const credit_view_t *a, const credit_view_t *b)
{
	return a->agreed == b->agreed && a->listed_vms == b->listed_vms &&
	       a->counted_vms == b->counted_vms &&
	       a->member_count == b->member_count &&
	       (!a->member_count || !memcmp(a->members, b->members,
					    a->member_count * NAME_SIZE_BYTES));
}

static void update_view(control_credits_t *credits, int64_t now_us)
{
	char(*names)[NAME_SIZE_BYTES] = credits->next_names;
	credit_view_t view = { 0 };

	memset(names, 0, (size_t)HOLDERS_MAX * NAME_SIZE_BYTES);
	control_members_view(credits->control->members, &view, names,
			     HOLDERS_MAX);
	if (same_view(&view, &credits->view))
		return;
	credits->next_names = credits->names;
	credits->names = names;
	credits->view = view;
	credit_owner_set_view(credits->control->owner, &view, now_us);
}

void control_credits_reassign(control_credits_t *credits)
{
	int64_t now_us = clock_monotonic_us();
	credit_resource_t *entry, *next;

	update_view(credits, now_us);
	for (entry = credits->entries; entry; entry = next) {
		next = entry->hh.next;
		assign(credits, entry, now_us);
	}
}

static bool is_for_holder(credit_msg_type_t type)
{
	return type == CREDIT_GRANT || type == CREDIT_REFUSAL;
}

void control_credits_receive(control_credits_t *credits, credit_msg_t *message)
{
	control_t *control = credits->control;
	int64_t now_us = clock_monotonic_us();
	const credit_resource_t *entry;

	if (!is_for_holder(message->type)) {
		credit_owner_receive(control->owner, message, now_us);
		return;
	}
	/* Until here the message names its sender. */
	entry = find_entry(credits, &message->resource);
	if (!entry || strcmp(entry->owner, message->holder) != 0 ||
	    entry->owner_incarnation != message->holder_incarnation)
		return;
	mem_strlcpy(message->holder, control->settings.vm_id,
		    sizeof(message->holder));
	message->holder_incarnation = control->incarnation;
	credit_holder_receive(control->holder, message, now_us);
	credits->answered = true;
}

static void send_to_owner(control_credits_t *credits,
			  const credit_msg_t *message, int64_t now_us)
{
	control_t *control = credits->control;
	credit_resource_t *entry = find_entry(credits, &message->resource);

	if (!entry || !*entry->owner)
		return;
	if (entry->owned)
		credit_owner_receive(control->owner, message, now_us);
	else
		control_members_send_credit(control->members, entry->owner,
					    message);
}

static void send_to_holder(control_credits_t *credits,
			   const credit_msg_t *message, int64_t now_us)
{
	control_t *control = credits->control;

	if (strcmp(message->holder, control->settings.vm_id) != 0) {
		control_members_send_credit(control->members, message->holder,
					    message);
		return;
	}
	credit_holder_receive(control->holder, message, now_us);
	credits->answered = true;
}

bool control_credits_pump(control_credits_t *credits)
{
	control_t *control = credits->control;
	int64_t now_us = clock_monotonic_us();
	credit_msg_t message;
	bool moved = true, answered;

	while (moved) {
		moved = false;
		while (credit_holder_next(control->holder, &message)) {
			send_to_owner(credits, &message, now_us);
			moved = true;
		}
		while (credit_owner_next(control->owner, &message)) {
			send_to_holder(credits, &message, now_us);
			moved = true;
		}
	}
	answered = credits->answered;
	credits->answered = false;
	return answered;
}

void control_credits_report(control_credits_t *credits,
			    const load_report_t *report)
{
	if (control_credits_owns(credits, report->server))
		credit_owner_apply_report(credits->control->owner, report,
					  report->received_us);
}

static const credit_resource_t *find_server(const control_credits_t *credits,
					    const char *server)
{
	resource_t resource = { .kind = RESOURCE_SERVER };

	mem_strlcpy(resource.name, server, sizeof(resource.name));
	return find_entry(credits, &resource);
}

bool control_credits_owns(const control_credits_t *credits, const char *server)
{
	const credit_resource_t *entry = find_server(credits, server);

	return entry && entry->owned;
}

const char *control_credits_owner(const control_credits_t *credits,
				  const char *server)
{
	const credit_resource_t *entry = find_server(credits, server);

	return entry ? entry->owner : "";
}

static void drop_removed(control_credits_t *credits, int64_t now_us)
{
	credit_resource_t *entry, *next;

	for (entry = credits->entries; entry; entry = next) {
		next = entry->hh.next;
		if (!entry->listed)
			drop_entry(credits, entry, now_us);
	}
}

void control_credits_tick(control_credits_t *credits, int64_t now_us)
{
	credit_holder_tick(credits->control->holder, now_us);
	if (now_us < credits->tick_us)
		return;
	credits->tick_us = now_us + OWNER_TICK_US;
	update_view(credits, now_us);
	drop_removed(credits, now_us);
	credit_owner_tick(credits->control->owner, now_us);
}
