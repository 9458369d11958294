#include "process/dispatch.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/mem.h"
#include "process/dispatch_state.h"

dispatch_t *dispatch_create(const dispatch_conf_t *conf,
			    credit_holder_t *holder)
{
	dispatch_t *dispatch = mem_calloc(1, sizeof(*dispatch));

	dispatch->conf = *conf;
	dispatch->salt =
		XXH64(conf->vm_id, strlen(conf->vm_id), conf->incarnation);
	dispatch->holder = holder;
	dispatch->prefix = prefix_create(PREFIX_CAPACITY);
	dispatch->crashes = segment_table_create();
	dispatch->queue = queue_create(conf->queue_max);
	servers_init(&dispatch->servers, conf->data_centre, dispatch->prefix);
	return dispatch;
}

void dispatch_destroy(dispatch_t *dispatch)
{
	entry_t *request, *next;
	dispatch_action_t action;

	if (!dispatch)
		return;
	request = dispatch->requests;
	HASH_CLEAR(hh, dispatch->requests);
	for (; request; request = next) {
		next = request->hh.next;
		entry_free(request);
	}
	while (dispatch_next(dispatch, &action))
		;
	services_clear(dispatch);
	accounts_clear(dispatch);
	queue_destroy(dispatch->queue);
	servers_clear(&dispatch->servers);
	prefix_destroy(dispatch->prefix);
	segment_table_destroy(dispatch->crashes);
	document_unref(dispatch->document);
	free(dispatch);
}

task_msg_t *dispatch_add_action(dispatch_t *dispatch, const entry_t *request,
				task_msg_type_t type)
{
	action_t *action = mem_calloc(1, sizeof(*action));

	action->action.task = request->submit.task;
	action->action.message.type = type;
	action->action.message.request = request->number;
	if (dispatch->last_action)
		dispatch->last_action->next = action;
	else
		dispatch->actions = action;
	dispatch->last_action = action;
	return &action->action.message;
}

bool dispatch_next(dispatch_t *dispatch, dispatch_action_t *action)
{
	action_t *first = dispatch->actions;

	if (!first)
		return false;
	*action = first->action;
	dispatch->actions = first->next;
	if (!first->next)
		dispatch->last_action = NULL;
	free(first);
	return true;
}

void dispatch_tick(dispatch_t *dispatch, int64_t now_us)
{
	segment_table_expire(dispatch->crashes, now_us);
	wait_refuse_deadline(dispatch, now_us);
	wait_try_all(dispatch, now_us);
}

void dispatch_configure(dispatch_t *dispatch, document_t *document,
			int64_t now_us)
{
	document_t *old = dispatch->document;

	dispatch->document = document_ref(document);
	services_configure(dispatch);
	document_unref(old);
	wait_try_all(dispatch, now_us);
}

void dispatch_submit(dispatch_t *dispatch, uint64_t number,
		     const submit_msg_t *submit, int64_t now_us)
{
	entry_t *request;
	service_t *service;

	if (entry_find(dispatch, number))
		return;
	request = entry_add(dispatch, number, submit);
	service = service_find(dispatch, submit->service);
	if (!service || !service->configured) {
		dispatch_refuse(dispatch, request,
				dispatch->document ? REFUSAL_NOT_FOUND
						   : REFUSAL_NOT_READY,
				dispatch->document ? 0 : 1, now_us);
		entry_reap(dispatch);
		return;
	}
	request->service = service;
	service->references++;
	request->is_long =
		submit->kind == REQUEST_MODEL &&
		submit->prompt_tokens >
			document_limits(dispatch->document)->long_prompt_tokens;
	service_add_arrival(service, request, now_us);
	if (!wait_refuse_unservable(dispatch, request, now_us))
		entry_enqueue(dispatch, request, now_us);
	wait_try_all(dispatch, now_us);
}

void dispatch_first_token(dispatch_t *dispatch, uint64_t number,
			  const first_token_msg_t *message, int64_t now_us)
{
	entry_t *request = entry_find(dispatch, number);
	size_t i;

	if (!request || !request->send_count ||
	    request->attempt != message->attempt || request->first_token_us)
		return;
	request->first_token_us = now_us;
	for (i = 0; i < request->send_count; i++) {
		server_succeeded(request->sends[i].server);
		server_first_token(&request->sends[i]);
	}
}

static bool may_retry(const dispatch_t *dispatch, entry_t *request,
		      int64_t now_us)
{
	return request->submit.kind != REQUEST_ACTION &&
	       request->attempt < ATTEMPTS_MAX &&
	       now_us < request->submit.deadline_us &&
	       request->service->configured &&
	       retry_take(&request->service->retries,
			  document_limits(dispatch->document)->retry_percent,
			  now_us);
}

/* Reports an ended attempt to the credit holder. The credit owner needs the
 * result for the slow start of a server that may be cold. */
static void count_attempt_end(dispatch_t *dispatch, const server_t *server,
			      bool completed)
{
	resource_t name = place_resource(RESOURCE_SERVER, server->name);

	credit_holder_request_ended(dispatch->holder, &name, completed);
}

static void attempt_failed(dispatch_t *dispatch, entry_t *request,
			   attempt_end_t end, int64_t now_us)
{
	bool action = request->submit.kind == REQUEST_ACTION;

	crashes_attempt_ended(dispatch, request, end, now_us);
	request->ran |= end == ATTEMPT_BROKEN || end == ATTEMPT_TIMED_OUT;
	if (end != ATTEMPT_REFUSED)
		count_attempt_end(dispatch, request->sends[0].server, false);
	server_failed(request->sends[0].server, now_us);
	if (!may_retry(dispatch, request, now_us)) {
		dispatch_refuse(
			dispatch, request,
			action && request->ran ? REFUSAL_OUTCOME_NOT_KNOWN
					       : REFUSAL_SERVER_FAILED,
			action && request->ran
				? 0
				: dispatch_retry_after_s(dispatch, request),
			now_us);
		return;
	}
	place_end(dispatch, request, now_us);
	queue_return(dispatch->queue, &request->item, now_us);
}

static void attempt_complete(dispatch_t *dispatch, entry_t *request,
			     int64_t tokens, int64_t now_us)
{
	size_t i;

	crashes_attempt_ended(dispatch, request, ATTEMPT_COMPLETE, now_us);
	for (i = 0; i < request->send_count; i++) {
		server_succeeded(request->sends[i].server);
		count_attempt_end(dispatch, request->sends[i].server, true);
	}
	if (request->first_token_us)
		service_add_answer(request->service, tokens,
				   now_us - request->first_token_us);
	entry_end(dispatch, request, now_us);
}

void dispatch_finished(dispatch_t *dispatch, uint64_t number,
		       const finished_msg_t *message, int64_t now_us)
{
	entry_t *request = entry_find(dispatch, number);
	bool current = request && request->send_count &&
		       request->attempt == message->attempt;

	if (!request)
		return;
	switch (message->end) {
	case ATTEMPT_COMPLETE:
		if (current)
			attempt_complete(dispatch, request,
					 message->delivered_tokens, now_us);
		break;
	case ATTEMPT_CONNECT_FAILED:
	case ATTEMPT_REFUSED:
	case ATTEMPT_BROKEN:
	case ATTEMPT_TIMED_OUT:
		if (current)
			attempt_failed(dispatch, request, message->end, now_us);
		break;
	case ATTEMPT_DEADLINE:
		/* The request task ended the request, even if the message
		 * names an earlier attempt than the current one. */
		request->ran |= request->send_count > 0;
		dispatch_refuse(dispatch, request, REFUSAL_DEADLINE, 0, now_us);
		break;
	case ATTEMPT_CALLER_GONE:
		entry_end(dispatch, request, now_us);
		break;
	}
	wait_try_all(dispatch, now_us);
}

void dispatch_apply_report(dispatch_t *dispatch, const load_report_t *report,
			   int64_t now_us)
{
	server_t *server = servers_find(&dispatch->servers, report->server);

	if (!server)
		return;
	if (server_apply_report(server, report))
		prefix_drop(dispatch->prefix, &server->prefix);
	wait_try_all(dispatch, now_us);
}

void dispatch_set_reachable(dispatch_t *dispatch, const char *data_centre,
			    bool reachable, int64_t now_us)
{
	servers_set_reachable(&dispatch->servers, data_centre, reachable);
	wait_try_all(dispatch, now_us);
}

void dispatch_cache_event(dispatch_t *dispatch, const char *name,
			  uint64_t sequence, bool stored, uint64_t block,
			  int64_t now_us)
{
	server_t *server = servers_find(&dispatch->servers, name);

	if (server)
		prefix_event(dispatch->prefix, &server->prefix, sequence,
			     stored, block);
}

int32_t dispatch_waiting(const dispatch_t *dispatch)
{
	return (int32_t)queue_count(dispatch->queue);
}

int32_t dispatch_in_flight(const dispatch_t *dispatch)
{
	return dispatch->in_flight;
}
