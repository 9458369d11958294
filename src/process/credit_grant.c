#include "process/credit_grant.h"

#include "base/mem.h"

credit_amount_t grant_unused(const credit_grant_t *grant)
{
	return credit_sub(grant->amount, grant->used);
}

bool grant_usable(const credit_grant_t *grant, int64_t now_us)
{
	return grant->state == GRANT_HELD && !grant->closed &&
	       grant->expires_us > now_us;
}

static credit_msg_t *add_message(credit_sender_t *sender,
				 credit_msg_type_t type,
				 const resource_t *resource, uint64_t id)
{
	credit_msg_t message = { .type = type,
				 .resource = *resource,
				 .id = id,
				 .lifetime_us = CREDIT_LIFETIME_US,
				 .holder_incarnation = sender->incarnation };
	credit_msg_t *added = credit_queue_add(&sender->queue, &message);

	mem_strlcpy(added->holder, sender->vm_id, sizeof(added->holder));
	return added;
}

static void send_message(credit_grant_t *grant, credit_msg_type_t type,
			 const resource_t *resource, credit_sender_t *sender,
			 int64_t now_us)
{
	credit_msg_t *message = add_message(sender, type, resource, grant->id);

	message->amount = grant->amount;
	message->minimum = type == CREDIT_REQUEST ? grant->minimum
						  : grant->used;
	message->sequence = grant->request_sequence;
	message->server_incarnation = grant->server_incarnation;
	grant->repeat_us = now_us + CREDIT_REPEAT_US;
}

static void assign_sequence(credit_grant_t *grant, credit_sender_t *sender,
			    int64_t now_us)
{
	grant->request_sequence = ++sender->last_sequence;
	grant->request_sent_us = now_us;
}

void grant_send(credit_grant_t *grant, const resource_t *resource,
		credit_sender_t *sender, int64_t now_us)
{
	credit_msg_type_t type = CREDIT_REQUEST;

	if (grant->state == GRANT_REFUSED)
		grant->state = GRANT_REQUESTED;
	else if (grant->state == GRANT_HELD)
		type = CREDIT_RENEW;
	else if (grant->state == GRANT_EXPIRED)
		type = CREDIT_PRESENT;
	if (!grant->request_sequence ||
	    now_us - grant->request_sent_us >= CREDIT_RENEW_US)
		assign_sequence(grant, sender, now_us);
	send_message(grant, type, resource, sender, now_us);
}

void grant_present(credit_grant_t *grant, const resource_t *resource,
		   credit_sender_t *sender, int64_t now_us)
{
	assign_sequence(grant, sender, now_us);
	send_message(grant, CREDIT_PRESENT, resource, sender, now_us);
}

void grant_return(uint64_t id, const resource_t *resource,
		  credit_amount_t amount, credit_amount_t kept,
		  credit_sender_t *sender)
{
	credit_msg_t *message =
		add_message(sender, CREDIT_RETURN, resource, id);

	message->amount = credit_sub(amount, kept);
	message->minimum = kept;
	message->sequence = ++sender->last_sequence;
}

bool grant_return_unused(credit_grant_t *grant, const resource_t *resource,
			 credit_sender_t *sender)
{
	if (credit_is_zero(grant_unused(grant)))
		return !credit_is_zero(grant->amount);
	grant_return(grant->id, resource, grant->amount, grant->used, sender);
	grant->amount = grant->used;
	return !credit_is_zero(grant->amount);
}

void grant_present_end(const resource_t *resource, credit_amount_t digest,
		       uint64_t sequence, credit_sender_t *sender)
{
	credit_msg_t *message =
		add_message(sender, CREDIT_PRESENT, resource, 0);

	message->minimum = digest;
	message->sequence = sequence;
}
