#include <string.h>

#include "process/dispatch_state.h"

bool wait_refuse_unservable(dispatch_t *dispatch, entry_t *request,
			    int64_t now_us)
{
	const service_t *service = request->service;
	int64_t kv_tokens = place_kv_tokens(request);
	gang_t set;

	if (now_us >= request->submit.deadline_us) {
		dispatch_refuse(dispatch, request, REFUSAL_DEADLINE,
				dispatch_retry_after_s(dispatch, request),
				now_us);
		return true;
	}
	if (!service->configured) {
		dispatch_refuse(dispatch, request, REFUSAL_NOT_FOUND, 0,
				now_us);
		return true;
	}
	if (!route_has_server(service->groups, service->group_count)) {
		dispatch_refuse(dispatch, request, REFUSAL_NO_SERVER, 1,
				now_us);
		return true;
	}
	if (route_fits(service->groups, service->group_count, kv_tokens) ||
	    gang_choose(service->groups, service->group_count, kv_tokens,
			now_us, &set) != GANG_IMPOSSIBLE)
		return false;
	dispatch_refuse(dispatch, request, REFUSAL_PROMPT_TOO_LONG, 0, now_us);
	return true;
}

/* Draws a credit of the account's rate.
 * @return false if the request has to wait for the account, or was refused */
static bool draw_account(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	const account_conf_t *account =
		document_account(dispatch->document, request->submit.account);
	resource_t name =
		place_resource(RESOURCE_ACCOUNT, request->submit.account);
	const credit_amount_t one = { .slots = 1 };

	if (account && account->max_in_flight &&
	    request->account->in_flight >= account->max_in_flight)
		return false;
	if (request->account_drawn || !account || !account->requests_per_s)
		return true;
	request->account_requested = true;
	switch (credit_holder_draw(dispatch->holder, &name,
				   place_use(request, 0), one, now_us)) {
	case DRAW_OK:
		request->account_drawn = true;
		return true;
	case DRAW_PENDING:
		return false;
	case DRAW_REFUSED:
		dispatch_refuse(dispatch, request, REFUSAL_RATE_LIMITED, 1,
				now_us);
		return false;
	}
	return false;
}

/* A request with chosen servers is not blocked: its draws go on. */
static bool is_blocked(const entry_t *request)
{
	const service_t *service = request->service;

	if (request->set.count || !service->blocked[request->is_long].active)
		return false;
	return service->blocked[request->is_long].any_size ||
	       place_kv_tokens(request) >=
		       service->blocked[request->is_long].kv_tokens;
}

static void try_request(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	if (is_blocked(request) ||
	    wait_refuse_unservable(dispatch, request, now_us))
		return;
	if (draw_account(dispatch, request, now_us))
		place_request(dispatch, request, now_us);
}

/* Resets the state of the last scan of the queue. */
static void start_scan(dispatch_t *dispatch)
{
	const queue_item_t *item;
	service_t *service;
	size_t index;

	reserve_clear(dispatch);
	for (service = dispatch->services; service;
	     service = service->hh.next) {
		service->long_unplaced = 0;
		service->lane_min = 0;
		memset(service->ahead_tokens, 0, sizeof(service->ahead_tokens));
		memset(service->blocked, 0, sizeof(service->blocked));
	}
	for (index = 0; (item = queue_at(dispatch->queue, index)); index++) {
		const entry_t *request = item->owner;

		service = request->service;
		service->long_unplaced += request->is_long && request->unplaced;
		if (request->set_size > service->lane_min)
			service->lane_min = request->set_size;
	}
}

void wait_try_all(dispatch_t *dispatch, int64_t now_us)
{
	queue_item_t *item;
	size_t index = 0;

	if (queue_count(dispatch->queue))
		start_scan(dispatch);
	while ((item = queue_at(dispatch->queue, index))) {
		try_request(dispatch, item->owner, now_us);
		if (queue_at(dispatch->queue, index) == item)
			index++;
	}
	entry_reap(dispatch);
}

void wait_refuse_deadline(dispatch_t *dispatch, int64_t now_us)
{
	queue_item_t *item;
	size_t index = 0;

	start_scan(dispatch);
	while ((item = queue_at(dispatch->queue, index))) {
		entry_t *request = item->owner;
		service_t *service = request->service;
		double wait_us = service->ahead_tokens[request->is_long] *
				 queue_us_per_token(dispatch->queue,
						    service->name,
						    request->is_long);

		if (now_us + (int64_t)wait_us +
			    service_answer_us(service,
					      request->submit.max_tokens) >=
		    request->submit.deadline_us) {
			dispatch_refuse(dispatch, request, REFUSAL_DEADLINE,
					dispatch_retry_after_s(dispatch,
							       request),
					now_us);
			continue;
		}
		service->ahead_tokens[request->is_long] +=
			(double)item->cost_tokens;
		index++;
	}
}
