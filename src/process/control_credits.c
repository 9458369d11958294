#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/mem.h"
#include "process/control.h"

#define OWNER_TICK_US (40 * US_PER_MS)

/* VMs of this and other data centres that may hold grants. */
enum { HOLDERS_MAX = 512 };

/* Kind and name; two kinds may use one name. */
enum { KEY_SIZE_BYTES = NAME_SIZE_BYTES + 4 };

/** A resource of any data centre and who owns it now. */
typedef struct {
	UT_hash_handle hh;
	char key[KEY_SIZE_BYTES];
	resource_t resource;
	char data_centre[NAME_SIZE_BYTES];
	credit_limit_t limit;
	char owner[NAME_SIZE_BYTES]; /* empty: none can be reached */
	uint64_t owner_incarnation;
	bool owned; /* by this node */
	bool retired;
	bool listed; /* during configure: still in the document */
} entry_t;

struct control_credits {
	control_t *control;
	entry_t *entries;
	int64_t tick_us;
	credit_view_t view;
	char (*names)[NAME_SIZE_BYTES], (*next_names)[NAME_SIZE_BYTES];
};

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
	entry_t *entry, *next;

	if (!credits)
		return;
	HASH_ITER (hh, credits->entries, entry, next) {
		HASH_DEL(credits->entries, entry);
		free(entry);
	}
	free(credits->names);
	free(credits->next_names);
	free(credits);
}

static void format_key(char key[KEY_SIZE_BYTES], const resource_t *resource)
{
	snprintf(key, KEY_SIZE_BYTES, "%d %s", resource->kind, resource->name);
}

static entry_t *find_entry(const control_credits_t *credits,
			   const resource_t *resource)
{
	char key[KEY_SIZE_BYTES];
	entry_t *entry;

	format_key(key, resource);
	HASH_FIND_STR(credits->entries, key, entry);
	return entry;
}

static bool is_local(const control_credits_t *credits, const entry_t *entry)
{
	return !strcmp(entry->data_centre,
		       credits->control->settings.data_centre);
}

static void own(control_credits_t *credits, entry_t *entry, int64_t now_us)
{
	credit_owner_t *owner = credits->control->owner;

	credit_owner_own(owner, &entry->resource, &entry->limit, now_us);
	credit_owner_retire(owner, &entry->resource, entry->retired, now_us);
	entry->owned = true;
}

/* Finds the owner again and tells both sides of a change. */
static void assign(control_credits_t *credits, entry_t *entry, int64_t now_us)
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
		credit_owner_disown(credits->control->owner, &entry->resource);
	entry->owned = self;
	if (*owner)
		credit_holder_owner_changed(credits->control->holder,
					    &entry->resource, now_us);
}

static entry_t *list_entry(control_credits_t *credits, resource_kind_t kind,
			   const char *name, const char *data_centre)
{
	resource_t resource = { .kind = kind };
	entry_t *entry;

	mem_strlcpy(resource.name, name, sizeof(resource.name));
	entry = find_entry(credits, &resource);
	if (!entry) {
		entry = mem_calloc(1, sizeof(*entry));
		entry->resource = resource;
		format_key(entry->key, &resource);
		HASH_ADD_STR(credits->entries, key, entry);
	}
	mem_strlcpy(entry->data_centre, data_centre,
		    sizeof(entry->data_centre));
	entry->listed = true;
	return entry;
}

static void list_servers(control_credits_t *credits, document_t *document)
{
	const server_conf_t *conf;
	entry_t *entry;
	size_t i;

	for (i = 0; (conf = document_server_at(document, i)); i++) {
		entry = list_entry(credits, RESOURCE_SERVER, conf->name,
				   conf->data_centre);
		entry->limit.amount.kv_tokens = conf->kv_tokens;
		entry->limit.amount.slots = conf->max_requests;
		entry->retired = !document_server_in_service(document, conf);
	}
}

static int64_t data_centres_in_service(const document_t *document)
{
	const data_centre_conf_t *conf;
	int64_t count = 0;
	size_t i;

	for (i = 0; (conf = document_data_centre_at(document, i)); i++)
		if (!conf->retired)
			count++;
	return count ? count : 1;
}

/* Each data centre in service may use an equal part of an account's rate. */
static void list_accounts(control_credits_t *credits, document_t *document)
{
	int64_t parts = data_centres_in_service(document);
	const account_conf_t *conf;
	entry_t *entry;
	size_t i;

	for (i = 0; (conf = document_account_at(document, i)); i++) {
		if (!conf->requests_per_s)
			continue;
		entry = list_entry(credits, RESOURCE_ACCOUNT, conf->name,
				   credits->control->settings.data_centre);
		entry->limit.requests_per_s =
			(conf->requests_per_s + parts - 1) / parts;
	}
}

static void list_weight_loads(control_credits_t *credits, document_t *document)
{
	const char *local = credits->control->settings.data_centre;
	entry_t *entry =
		list_entry(credits, RESOURCE_WEIGHT_LOAD, local, local);

	entry->limit.amount.slots = document_limits(document)->weight_loads_max;
}

/* Removal behaves like retirement: grants in use may still be renewed. */
static void drop_entry(control_credits_t *credits, entry_t *entry,
		       int64_t now_us)
{
	credit_owner_t *owner = credits->control->owner;
	credit_amount_t granted = { 0 };

	if (entry->owned) {
		credit_owner_retire(owner, &entry->resource, true, now_us);
		granted = credit_owner_granted(owner, &entry->resource);
	}
	if (granted.slots || granted.kv_tokens)
		return;
	if (entry->owned)
		credit_owner_disown(owner, &entry->resource);
	HASH_DEL(credits->entries, entry);
	free(entry);
}

void control_credits_configure(control_credits_t *credits, document_t *document)
{
	int64_t now_us = clock_monotonic_us();
	entry_t *entry, *next;

	HASH_ITER (hh, credits->entries, entry, next)
		entry->listed = false;
	list_servers(credits, document);
	list_accounts(credits, document);
	list_weight_loads(credits, document);
	HASH_ITER (hh, credits->entries, entry, next) {
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
	credit_owner_view(credits->control->owner, &view, now_us);
}

void control_credits_members(control_credits_t *credits)
{
	int64_t now_us = clock_monotonic_us();
	entry_t *entry, *next;

	update_view(credits, now_us);
	HASH_ITER (hh, credits->entries, entry, next)
		assign(credits, entry, now_us);
}

static bool is_for_owner(credit_msg_type_t type)
{
	switch (type) {
	case CREDIT_REQUEST:
	case CREDIT_RENEW:
	case CREDIT_RETURN:
	case CREDIT_PRESENT:
		return true;
	case CREDIT_GRANT:
	case CREDIT_REFUSAL:
		break;
	}
	return false;
}

void control_credits_receive(control_credits_t *credits, credit_msg_t *message)
{
	control_t *control = credits->control;
	int64_t now_us = clock_monotonic_us();
	const entry_t *entry;

	if (is_for_owner(message->type)) {
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
}

static void send_to_owner(control_credits_t *credits,
			  const credit_msg_t *message, int64_t now_us)
{
	control_t *control = credits->control;
	entry_t *entry = find_entry(credits, &message->resource);

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

	if (!strcmp(message->holder, control->settings.vm_id))
		credit_holder_receive(control->holder, message, now_us);
	else
		control_members_send_credit(control->members, message->holder,
					    message);
}

void control_credits_pump(control_credits_t *credits)
{
	control_t *control = credits->control;
	int64_t now_us = clock_monotonic_us();
	credit_msg_t message;
	bool moved = true;

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
}

void control_credits_report(control_credits_t *credits,
			    const load_report_t *report)
{
	if (control_credits_owns(credits, report->server))
		credit_owner_report(credits->control->owner, report,
				    report->received_us);
}

bool control_credits_owns(const control_credits_t *credits, const char *server)
{
	resource_t resource = { .kind = RESOURCE_SERVER };
	const entry_t *entry;

	mem_strlcpy(resource.name, server, sizeof(resource.name));
	entry = find_entry(credits, &resource);
	return entry && entry->owned;
}

static void drop_removed(control_credits_t *credits, int64_t now_us)
{
	entry_t *entry, *next;

	HASH_ITER (hh, credits->entries, entry, next)
		if (!entry->listed)
			drop_entry(credits, entry, now_us);
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
