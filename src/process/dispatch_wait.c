#include <string.h>

#include "process/dispatch_state.h"

/* Refuses what no server will take, however long it waits. */
bool wait_refuse_hopeless(dispatch_t *dispatch, entry_t *request,
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

/* Draws the account's rate; false if the request waits or was refused. */
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
	request->account_asked = true;
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

static bool is_blocked(const entry_t *request)
{
	const service_t *service = request->service;

	if (request->set.count || !service->blocked[request->is_long].set)
		return false;
	return service->blocked[request->is_long].all ||
	       place_kv_tokens(request) >=
		       service->blocked[request->is_long].kv_tokens;
}

static void try_request(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	if (is_blocked(request) ||
	    wait_refuse_hopeless(dispatch, request, now_us))
		return;
	if (draw_account(dispatch, request, now_us))
		place_request(dispatch, request, now_us);
}

static void start_pass(dispatch_t *dispatch)
{
	const queue_item_t *item;
	service_t *service;
	size_t place;

	reserve_clear(dispatch);
	for (service = dispatch->services; service;
	     service = service->hh.next) {
		service->long_held = 0;
		service->lane_min = 0;
		memset(service->ahead_tokens, 0, sizeof(service->ahead_tokens));
		memset(service->blocked, 0, sizeof(service->blocked));
	}
	for (place = 0; (item = queue_at(dispatch->queue, place)); place++) {
		const entry_t *request = item->owner;

		service = request->service;
		service->long_held += request->is_long && request->held;
		if (request->set_size > service->lane_min)
			service->lane_min = request->set_size;
	}
}

/* Tries every waiting request in order. */
void wait_try_all(dispatch_t *dispatch, int64_t now_us)
{
	queue_item_t *item;
	size_t place = 0;

	if (queue_count(dispatch->queue))
		start_pass(dispatch);
	while ((item = queue_at(dispatch->queue, place))) {
		try_request(dispatch, item->owner, now_us);
		if (queue_at(dispatch->queue, place) == item)
			place++;
	}
	entry_reap(dispatch);
}

/* Refuses waiting requests that cannot finish in time any more. */
void wait_refuse_late(dispatch_t *dispatch, int64_t now_us)
{
	queue_item_t *item;
	size_t place = 0;

	start_pass(dispatch);
	while ((item = queue_at(dispatch->queue, place))) {
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
		place++;
	}
}
