#include "process/dispatch.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/mem.h"
#include "process/servers.h"

enum {
	ATTEMPTS_MAX = 8, /* of one request, whatever the retry budget */
	RETRY_AFTER_MAX_S = 60
};

typedef enum { STATE_WAITING, STATE_IN_FLIGHT } state_t;

typedef struct request {
	uint64_t number;
	submit_msg_t submit; /* without key, hash and blocks */
	state_t state;
	uint32_t attempt; /* last one dispatched */
	bool ran; /* an attempt may have run */
	bool account_asked; /* has a use of the account's rate, or waits */
	bool account_drawn;
	server_t *pending; /* server whose credit was asked for */
	send_t send;
	struct request *prev, *next; /* waiting requests, in order */
	UT_hash_handle hh;
} request_t;

typedef struct action {
	dispatch_action_t action;
	struct action *next;
} action_t;

struct dispatch {
	dispatch_conf_t conf;
	credit_holder_t *holder;
	document_t *document;
	servers_t servers;
	request_t *requests;
	request_t *waiting;
	request_t *ended; /* to be freed */
	int32_t waiting_count;
	int32_t in_flight_count;
	action_t *actions;
	action_t *last_action;
};

dispatch_t *dispatch_create(const dispatch_conf_t *conf,
			    credit_holder_t *holder)
{
	dispatch_t *dispatch = mem_calloc(1, sizeof(*dispatch));

	dispatch->conf = *conf;
	dispatch->holder = holder;
	servers_init(&dispatch->servers, conf->data_centre);
	return dispatch;
}

void dispatch_destroy(dispatch_t *dispatch)
{
	request_t *request, *next;
	dispatch_action_t action;

	if (!dispatch)
		return;
	request = dispatch->requests;
	HASH_CLEAR(hh, dispatch->requests);
	for (; request; request = next) {
		next = request->hh.next;
		free(request);
	}
	while (dispatch_next(dispatch, &action))
		;
	servers_clear(&dispatch->servers);
	document_unref(dispatch->document);
	free(dispatch);
}

static task_msg_t *add_action(dispatch_t *dispatch, const request_t *request,
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

static uint64_t credit_use(const request_t *request, uint32_t attempt)
{
	return request->number * (ATTEMPTS_MAX + 1) + attempt;
}

static resource_t resource(resource_kind_t kind, const char *name)
{
	resource_t result = { .kind = kind };

	mem_strlcpy(result.name, name, sizeof(result.name));
	return result;
}

static void release_pending(dispatch_t *dispatch, request_t *request,
			    int64_t now_us)
{
	resource_t server;

	if (!request->pending)
		return;
	server = resource(RESOURCE_SERVER, request->pending->name);
	credit_holder_release(dispatch->holder, &server,
			      credit_use(request, request->attempt + 1),
			      now_us);
	request->pending->references--;
	request->pending = NULL;
}

/* Leaves the state the request is in and gives its server credit back. */
static void leave_state(dispatch_t *dispatch, request_t *request,
			int64_t now_us)
{
	resource_t server;

	release_pending(dispatch, request, now_us);
	if (request->state == STATE_WAITING) {
		DL_DELETE(dispatch->waiting, request);
		dispatch->waiting_count--;
		return;
	}
	server = resource(RESOURCE_SERVER, request->send.server->name);
	credit_holder_release(dispatch->holder, &server,
			      credit_use(request, request->attempt), now_us);
	server_ended(&request->send);
	dispatch->in_flight_count--;
}

/* The memory is freed by reap(), after every list walk is over. */
static void end_request(dispatch_t *dispatch, request_t *request,
			int64_t now_us)
{
	resource_t account =
		resource(RESOURCE_ACCOUNT, request->submit.account);

	leave_state(dispatch, request, now_us);
	if (request->account_asked)
		credit_holder_release(dispatch->holder, &account,
				      credit_use(request, 0), now_us);
	HASH_DEL(dispatch->requests, request);
	LL_PREPEND(dispatch->ended, request);
}

static void reap(dispatch_t *dispatch)
{
	request_t *request = dispatch->ended, *next;

	dispatch->ended = NULL;
	for (; request; request = next) {
		next = request->next;
		free(request);
	}
}

static outcome_t outcome_of(const request_t *request)
{
	if (!request->ran)
		return OUTCOME_NOT_RUN;
	return request->submit.kind == REQUEST_ACTION ? OUTCOME_UNKNOWN
						      : OUTCOME_FAILED;
}

static void refuse(dispatch_t *dispatch, request_t *request, refusal_t refusal,
		   int32_t retry_after_s, int64_t now_us)
{
	task_msg_t *message = add_action(dispatch, request, TASK_MSG_REFUSE);

	message->as.refuse.refusal = refusal;
	message->as.refuse.outcome = outcome_of(request);
	message->as.refuse.retry_after_s = retry_after_s;
	end_request(dispatch, request, now_us);
}

static bool serves(const document_t *document, const service_conf_t *service,
		   const server_t *server)
{
	size_t i;

	if (service->kind == SERVICE_MODEL)
		return server->kind == SERVER_ENGINE &&
		       !strcmp(server->model, service->model);
	for (i = 0; i < service->server_count; i++)
		if (!strcmp(service->servers[i], server->name))
			return true;
	return false;
}

static bool can_take(const server_t *server, const request_t *request,
		     int64_t now_us)
{
	return server->in_service && server->site->reachable &&
	       server->usable && server_may_try(server, now_us) &&
	       now_us >= server->refused_until_us &&
	       (server->kind == SERVER_PLAIN ||
		server->kv_tokens >= request->submit.prompt_tokens +
					     request->submit.max_tokens);
}

static server_t *choose(dispatch_t *dispatch, const request_t *request,
			const service_conf_t *service, int64_t now_us)
{
	server_t *server, *best = NULL;

	for (server = dispatch->servers.servers; server;
	     server = server->hh.next) {
		if (!serves(dispatch->document, service, server) ||
		    !can_take(server, request, now_us))
			continue;
		if (!best || server->site->rtt_us < best->site->rtt_us ||
		    (server->site->rtt_us == best->site->rtt_us &&
		     server->in_flight < best->in_flight))
			best = server;
	}
	return best;
}

static void send_attempt(dispatch_t *dispatch, request_t *request,
			 server_t *server, int64_t now_us)
{
	task_msg_t *message = add_action(dispatch, request, TASK_MSG_DISPATCH);
	dispatch_msg_t *out = &message->as.dispatch;

	request->attempt++;
	request->state = STATE_IN_FLIGHT;
	request->send.prefill_tokens = request->submit.prompt_tokens;
	DL_DELETE(dispatch->waiting, request);
	dispatch->waiting_count--;
	dispatch->in_flight_count++;
	server_sent(server, &request->send, now_us);
	mem_strlcpy(out->stream_id.vm_id, dispatch->conf.vm_id,
		    NAME_SIZE_BYTES);
	out->stream_id.incarnation = dispatch->conf.incarnation;
	out->stream_id.request = request->number;
	out->stream_id.attempt = request->attempt;
	mem_strlcpy(out->server, server->name, NAME_SIZE_BYTES);
	mem_strlcpy(out->url, server->url, URL_SIZE_BYTES);
	out->deadline_us = request->submit.deadline_us;
}

/* Draws the account's rate; false if the request must wait or was refused. */
static bool draw_account(dispatch_t *dispatch, request_t *request,
			 int64_t now_us)
{
	const account_conf_t *account =
		document_account(dispatch->document, request->submit.account);
	resource_t name = resource(RESOURCE_ACCOUNT, request->submit.account);
	const credit_amount_t one = { .slots = 1 };

	if (request->account_drawn || !account || !account->requests_per_s)
		return true;
	request->account_asked = true;
	switch (credit_holder_draw(dispatch->holder, &name,
				   credit_use(request, 0), one, now_us)) {
	case DRAW_OK:
		request->account_drawn = true;
		return true;
	case DRAW_PENDING:
		return false;
	case DRAW_REFUSED:
		refuse(dispatch, request, REFUSAL_RATE_LIMITED, 1, now_us);
		return false;
	}
	return false;
}

static void draw_server(dispatch_t *dispatch, request_t *request,
			server_t *server, int64_t now_us)
{
	resource_t name = resource(RESOURCE_SERVER, server->name);
	credit_amount_t amount = { .slots = 1 };

	if (server->kind == SERVER_ENGINE)
		amount.kv_tokens = request->submit.prompt_tokens +
				   request->submit.max_tokens;
	if (request->pending != server) {
		release_pending(dispatch, request, now_us);
		request->pending = server;
		server->references++;
	}
	switch (credit_holder_draw(dispatch->holder, &name,
				   credit_use(request, request->attempt + 1),
				   amount, now_us)) {
	case DRAW_OK:
		request->pending = NULL;
		server->references--;
		send_attempt(dispatch, request, server, now_us);
		break;
	case DRAW_PENDING:
		break;
	case DRAW_REFUSED:
		release_pending(dispatch, request, now_us);
		server->refused_until_us = now_us + 50 * US_PER_MS;
		break;
	}
}

static bool any_in_service(const dispatch_t *dispatch,
			   const service_conf_t *service)
{
	const server_t *server;

	for (server = dispatch->servers.servers; server;
	     server = server->hh.next)
		if (server->in_service && server->site->reachable &&
		    serves(dispatch->document, service, server))
			return true;
	return false;
}

static void try_request(dispatch_t *dispatch, request_t *request,
			int64_t now_us)
{
	const service_conf_t *service;
	server_t *server;

	if (now_us >= request->submit.deadline_us) {
		refuse(dispatch, request, REFUSAL_DEADLINE, 1, now_us);
		return;
	}
	if (!dispatch->document) {
		refuse(dispatch, request, REFUSAL_NOT_READY, 1, now_us);
		return;
	}
	service = document_service(dispatch->document, request->submit.service);
	if (!service) {
		refuse(dispatch, request, REFUSAL_NOT_FOUND, 0, now_us);
		return;
	}
	if (!any_in_service(dispatch, service)) {
		refuse(dispatch, request, REFUSAL_NO_SERVER, 1, now_us);
		return;
	}
	if (!draw_account(dispatch, request, now_us))
		return;
	server = choose(dispatch, request, service, now_us);
	if (server)
		draw_server(dispatch, request, server, now_us);
}

void dispatch_tick(dispatch_t *dispatch, int64_t now_us)
{
	request_t *request, *next;

	for (request = dispatch->waiting; request; request = next) {
		next = request->next;
		try_request(dispatch, request, now_us);
	}
	reap(dispatch);
}

void dispatch_configure(dispatch_t *dispatch, document_t *document,
			int64_t now_us)
{
	document_t *old = dispatch->document;

	dispatch->document = document_ref(document);
	servers_configure(&dispatch->servers, document);
	document_unref(old);
	dispatch_tick(dispatch, now_us);
}

void dispatch_submit(dispatch_t *dispatch, uint64_t number,
		     const submit_msg_t *submit, int64_t now_us)
{
	request_t *request = NULL;

	HASH_FIND(hh, dispatch->requests, &number, sizeof(number), request);
	if (request)
		return;
	request = mem_calloc(1, sizeof(*request));
	request->number = number;
	request->submit = *submit;
	request->submit.blocks = NULL;
	HASH_ADD(hh, dispatch->requests, number, sizeof(number), request);
	DL_APPEND(dispatch->waiting, request);
	dispatch->waiting_count++;
	if (dispatch->waiting_count > dispatch->conf.queue_max) {
		refuse(dispatch, request, REFUSAL_OVERLOADED, 1, now_us);
		reap(dispatch);
		return;
	}
	try_request(dispatch, request, now_us);
	reap(dispatch);
}

void dispatch_first_token(dispatch_t *dispatch, uint64_t number,
			  const first_token_msg_t *message, int64_t now_us)
{
	request_t *request = NULL;

	HASH_FIND(hh, dispatch->requests, &number, sizeof(number), request);
	if (!request || request->state != STATE_IN_FLIGHT ||
	    request->attempt != message->attempt)
		return;
	server_succeeded(request->send.server);
	server_first_token(&request->send);
}

static bool may_retry(const request_t *request, int64_t now_us)
{
	return request->submit.kind != REQUEST_ACTION &&
	       request->attempt < ATTEMPTS_MAX &&
	       now_us < request->submit.deadline_us;
}

static void retry_or_refuse(dispatch_t *dispatch, request_t *request,
			    int64_t now_us)
{
	if (!may_retry(request, now_us)) {
		refuse(dispatch, request,
		       request->submit.kind == REQUEST_ACTION && request->ran
			       ? REFUSAL_OUTCOME_NOT_KNOWN
			       : REFUSAL_SERVER_FAILED,
		       request->ran ? 0 : 1, now_us);
		return;
	}
	leave_state(dispatch, request, now_us);
	request->state = STATE_WAITING;
	DL_PREPEND(dispatch->waiting, request);
	dispatch->waiting_count++;
	try_request(dispatch, request, now_us);
}

/* The caller is gone or its time is up: the request task has ended it. */
static void request_over(dispatch_t *dispatch, request_t *request,
			 attempt_end_t end, int64_t now_us)
{
	if (request->state == STATE_IN_FLIGHT)
		request->ran = true;
	if (end == ATTEMPT_DEADLINE)
		refuse(dispatch, request, REFUSAL_DEADLINE, 0, now_us);
	else
		end_request(dispatch, request, now_us);
}

void dispatch_finished(dispatch_t *dispatch, uint64_t number,
		       const finished_msg_t *message, int64_t now_us)
{
	request_t *request = NULL;

	HASH_FIND(hh, dispatch->requests, &number, sizeof(number), request);
	if (!request)
		return;
	if (message->end == ATTEMPT_CALLER_GONE ||
	    message->end == ATTEMPT_DEADLINE) {
		request_over(dispatch, request, message->end, now_us);
		dispatch_tick(dispatch, now_us);
		return;
	}
	if (request->state != STATE_IN_FLIGHT ||
	    request->attempt != message->attempt)
		return;
	switch (message->end) {
	case ATTEMPT_COMPLETE:
		server_succeeded(request->send.server);
		end_request(dispatch, request, now_us);
		break;
	case ATTEMPT_BROKEN:
	case ATTEMPT_TIMED_OUT:
		request->ran = true;
		server_failed(request->send.server, now_us);
		retry_or_refuse(dispatch, request, now_us);
		break;
	case ATTEMPT_CONNECT_FAILED:
	case ATTEMPT_REFUSED:
		server_failed(request->send.server, now_us);
		retry_or_refuse(dispatch, request, now_us);
		break;
	case ATTEMPT_DEADLINE:
	case ATTEMPT_CALLER_GONE:
		break;
	}
	dispatch_tick(dispatch, now_us);
}

void dispatch_load(dispatch_t *dispatch, const load_report_t *report,
		   int64_t now_us)
{
	server_t *server = servers_find(&dispatch->servers, report->server);

	if (server)
		server_report(server, report);
}

void dispatch_reachable(dispatch_t *dispatch, const char *data_centre,
			bool reachable, int64_t now_us)
{
	servers_reachable(&dispatch->servers, data_centre, reachable);
	dispatch_tick(dispatch, now_us);
}

void dispatch_cache_event(dispatch_t *dispatch, const char *server,
			  uint64_t sequence, bool stored, uint64_t block,
			  int64_t now_us)
{
}

int32_t dispatch_waiting(const dispatch_t *dispatch)
{
	return dispatch->waiting_count;
}

int32_t dispatch_in_flight(const dispatch_t *dispatch)
{
	return dispatch->in_flight_count;
}
