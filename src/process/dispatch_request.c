#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/mem.h"
#include "process/dispatch_state.h"

enum { RETRY_AFTER_MAX_S = 60 };

void entry_free(entry_t *request)
{
	free(request->submit.blocks);
	free(request);
}

void entry_end(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	resource_t account =
		place_resource(RESOURCE_ACCOUNT, request->submit.account);

	place_cancel(dispatch, request, now_us);
	if (request->send_count)
		place_end(dispatch, request, now_us);
	if (request->item.queued)
		queue_remove(dispatch->queue, &request->item, false, now_us);
	if (request->account_requested)
		credit_holder_release(dispatch->holder, &account,
				      place_use(request, 0), now_us);
	if (request->service)
		request->service->references--;
	if (request->account)
		account_unref(dispatch, request->account);
	HASH_DEL(dispatch->requests, request);
	LL_PREPEND(dispatch->ended, request);
}

void entry_reap(dispatch_t *dispatch)
{
	entry_t *request = dispatch->ended, *next;

	dispatch->ended = NULL;
	for (; request; request = next) {
		next = request->next;
		entry_free(request);
	}
}

static outcome_t outcome_of(const entry_t *request)
{
	if (!request->ran)
		return OUTCOME_NOT_RUN;
	return request->submit.kind == REQUEST_ACTION ? OUTCOME_UNKNOWN
						      : OUTCOME_FAILED;
}

void dispatch_refuse(dispatch_t *dispatch, entry_t *request, refusal_t refusal,
		     int32_t retry_after_s, int64_t now_us)
{
	task_msg_t *message =
		dispatch_add_action(dispatch, request, TASK_MSG_REFUSE);

	message->as.refuse.refusal = refusal;
	message->as.refuse.outcome = outcome_of(request);
	message->as.refuse.retry_after_s = retry_after_s;
	entry_end(dispatch, request, now_us);
}

int32_t dispatch_retry_after_s(const dispatch_t *dispatch,
			       const entry_t *request)
{
	int64_t wait_us = queue_wait_us(dispatch->queue,
					request->submit.service,
					request->is_long, INT64_MAX);
	int64_t wait_s = (wait_us + US_PER_S - 1) / US_PER_S;

	if (wait_s < 1)
		return 1;
	return wait_s < RETRY_AFTER_MAX_S ? (int32_t)wait_s : RETRY_AFTER_MAX_S;
}

entry_t *entry_find(const dispatch_t *dispatch, uint64_t number)
{
	entry_t *request = NULL;

	HASH_FIND(hh, dispatch->requests, &number, sizeof(number), request);
	return request;
}

entry_t *entry_add(dispatch_t *dispatch, uint64_t number,
		   const submit_msg_t *submit)
{
	entry_t *request = mem_calloc(1, sizeof(*request));

	request->number = number;
	request->submit = *submit;
	request->submit.blocks = NULL;
	if (submit->block_count) {
		request->submit.blocks =
			mem_calloc(submit->block_count, sizeof(uint64_t));
		memcpy(request->submit.blocks, submit->blocks,
		       submit->block_count * sizeof(uint64_t));
	}
	request->account = account_find(dispatch, submit->account);
	request->account->references++;
	HASH_ADD(hh, dispatch->requests, number, sizeof(number), request);
	return request;
}

static void fill_item(const dispatch_t *dispatch, entry_t *request)
{
	const submit_msg_t *submit = &request->submit;
	const account_conf_t *account =
		document_account(dispatch->document, submit->account);
	const class_conf_t *class =
		document_class(dispatch->document, submit->class_name);
	queue_item_t *item = &request->item;

	mem_strlcpy(item->account, submit->account, NAME_SIZE_BYTES);
	mem_strlcpy(item->service, submit->service, NAME_SIZE_BYTES);
	item->is_long = request->is_long;
	item->weight = account ? account->weight : 1;
	item->priority = class ? class->priority : 0;
	item->cost_tokens = place_kv_tokens(request) + 1;
	item->received_us = submit->received_us;
	item->deadline_us = submit->deadline_us;
	item->owner = request;
}

/* @return true if the request is predicted to end before its deadline, after
 * the wait behind the requests that are due earlier. */
static bool ends_in_time(const dispatch_t *dispatch, const entry_t *request,
			 int64_t now_us)
{
	int64_t wait_us = queue_wait_us(dispatch->queue, request->item.service,
					request->is_long, request->item.due_us);

	return now_us + wait_us +
		       service_answer_us(request->service,
					 request->submit.max_tokens) <
	       request->submit.deadline_us;
}

void entry_enqueue(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	fill_item(dispatch, request);
	if (!queue_push(dispatch->queue, &request->item, now_us)) {
		dispatch_refuse(dispatch, request, REFUSAL_OVERLOADED,
				dispatch_retry_after_s(dispatch, request),
				now_us);
		return;
	}
	if (!ends_in_time(dispatch, request, now_us))
		dispatch_refuse(dispatch, request, REFUSAL_DEADLINE,
				dispatch_retry_after_s(dispatch, request),
				now_us);
}
