#include <string.h>

#include "base/mem.h"
#include "process/dispatch_state.h"

/* Choices of servers for one request in one scan of the queue. Each choice
 * after the first follows a refusal of credits. */
enum { CHOICES_MAX = 8 };

/* Time for which a server is not chosen for the refused amount or more after
 * its credit owner refused; other servers are tried meanwhile. */
#define REFUSED_SKIP_US (20 * US_PER_MS)

/* Longest wait for the grant of one server, and of a set of servers. An owner
 * that is alive answers within a round trip. A set waits longer: its first
 * servers are reserved while the grants of the later ones are pending. */
#define GRANT_WAIT_MAX_US (250 * US_PER_MS)
#define SET_GRANT_WAIT_MAX_US (2 * US_PER_S)

/* Added to the priority that the engine receives, so that a prompt of the short
 * lane goes before any long prompt. It exceeds the highest class priority, 100.
 */
enum { SHORT_LANE_PRIORITY = 1000 };

resource_t place_resource(resource_kind_t kind, const char *name)
{
	resource_t result = { .kind = kind };

	mem_strlcpy(result.name, name, sizeof(result.name));
	return result;
}

uint64_t place_use(const entry_t *request, uint32_t attempt)
{
	return request->number * (ATTEMPTS_MAX + 1) + attempt;
}

int64_t place_kv_tokens(const entry_t *request)
{
	if (request->submit.kind != REQUEST_MODEL)
		return 0;
	return request->submit.prompt_tokens + request->submit.max_tokens;
}

void place_cancel(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	uint64_t use = place_use(request, request->attempt + 1);
	size_t i;

	for (i = 0; i < request->set.count; i++) {
		server_t *server = request->set.servers[i];
		resource_t name = place_resource(RESOURCE_SERVER, server->name);

		if (i < request->draw_count)
			credit_holder_release(dispatch->holder, &name, use,
					      now_us);
		server->references--;
	}
	request->set.count = 0;
	request->draw_count = 0;
}

void place_end(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	uint64_t use = place_use(request, request->attempt);
	size_t i;

	for (i = 0; i < request->send_count; i++) {
		resource_t name = place_resource(
			RESOURCE_SERVER, request->sends[i].server->name);

		credit_holder_release(dispatch->holder, &name, use, now_us);
		server_ended(&request->sends[i]);
	}
	request->send_count = 0;
	request->account->in_flight--;
	dispatch->in_flight--;
}

static void mark_refused(server_t *server, int64_t kv_tokens, int64_t now_us)
{
	if (now_us >= server->refused_until_us ||
	    kv_tokens < server->refused_tokens)
		server->refused_tokens = kv_tokens;
	server->refused_until_us = now_us + REFUSED_SKIP_US;
}

static bool choose_server(dispatch_t *dispatch, entry_t *request,
			  int64_t now_us)
{
	service_t *service = request->service;
	prefix_match_t matches[PREFIX_MATCHES_MAX];
	route_choice_t choice;
	route_query_t query = {
		.policy = dispatch->conf.policy,
		.now_us = now_us,
		.prompt_tokens = request->submit.prompt_tokens,
		.kv_tokens = place_kv_tokens(request),
		.is_long = request->is_long,
		.long_waiting = service->long_unplaced,
		.long_prompt_tokens =
			document_limits(dispatch->document)->long_prompt_tokens,
		.lane_share = service_lane_share(service),
		.pack = service_has_large(service),
		.lane_min = service->lane_min,
		.salt = dispatch->salt ^ place_use(request, request->attempt),
		.matches = matches,
		.block_count = request->submit.block_count
	};

	query.match_count = prefix_match(dispatch->prefix,
					 request->submit.blocks,
					 request->submit.block_count, matches);
	if (!route_choose(service->groups, service->group_count, &query,
			  &choice))
		return false;
	request->set.count = 1;
	request->set.servers[0] = choice.server;
	request->set.kv_tokens = query.kv_tokens;
	request->hit_tokens = choice.hit_tokens;
	return true;
}

static bool choose_set(entry_t *request, int64_t now_us)
{
	service_t *service = request->service;
	gang_result_t result =
		gang_choose(service->groups, service->group_count,
			    place_kv_tokens(request), now_us, &request->set);

	request->set_size = request->set.count;
	request->hit_tokens = 0;
	if (result == GANG_CHOSEN)
		return true;
	request->set.count = 0;
	return false;
}

static bool choose(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	const service_t *service = request->service;
	bool chosen;
	size_t i;

	if (route_fits(service->groups, service->group_count,
		       place_kv_tokens(request)))
		chosen = choose_server(dispatch, request, now_us);
	else
		chosen = choose_set(request, now_us);
	if (!chosen)
		return false;
	request->chosen_us = now_us;
	for (i = 0; i < request->set.count; i++)
		request->set.servers[i]->references++;
	return true;
}

/* @return true if the credit owner of the last draw has not answered in time.
 */
static bool grant_overdue(const entry_t *request, int64_t now_us)
{
	int64_t most_us = request->set.count > 1 ? SET_GRANT_WAIT_MAX_US
						 : GRANT_WAIT_MAX_US;

	return now_us - request->chosen_us >= most_us;
}

/* @return true if every server chosen earlier may still be used. */
static bool choice_usable(const entry_t *request, int64_t now_us)
{
	size_t i;

	for (i = 0; i < request->set.count; i++) {
		const server_t *server = request->set.servers[i];

		if (!server->in_service || !server->usable ||
		    server->reserved || !server->dc->reachable ||
		    !server_may_try(server, now_us))
			return false;
	}
	return !grant_overdue(request, now_us);
}

/* Cancels an earlier choice of servers that cannot be used any more. A missing
 * answer of a credit owner counts as a refusal. */
static void revalidate_choice(dispatch_t *dispatch, entry_t *request,
			      int64_t now_us)
{
	if (!request->set.count || choice_usable(request, now_us))
		return;
	if (grant_overdue(request, now_us) && request->draw_count)
		mark_refused(request->set.servers[request->draw_count - 1],
			     request->set.kv_tokens, now_us);
	place_cancel(dispatch, request, now_us);
}

static draw_result_t draw(dispatch_t *dispatch, entry_t *request, size_t index,
			  int64_t now_us)
{
	server_t *server = request->set.servers[index];
	resource_t name = place_resource(RESOURCE_SERVER, server->name);
	credit_amount_t amount = { .kv_tokens = request->set.kv_tokens,
				   .slots = 1 };
	draw_result_t result = credit_holder_draw(
		dispatch->holder, &name,
		place_use(request, request->attempt + 1), amount, now_us);

	if (result == DRAW_REFUSED)
		mark_refused(server, amount.kv_tokens, now_us);
	return result;
}

/* Draws credits in ascending order of server names, starting with the first
 * server without a valid grant. */
static draw_result_t draw_all(dispatch_t *dispatch, entry_t *request,
			      int64_t now_us)
{
	uint64_t use = place_use(request, request->attempt + 1);
	size_t i;

	for (i = 0; i < request->set.count; i++) {
		resource_t name = place_resource(RESOURCE_SERVER,
						 request->set.servers[i]->name);
		draw_result_t result;

		if (i + 1 < request->draw_count &&
		    credit_holder_use_valid(dispatch->holder, &name, use,
					    now_us))
			continue;
		if (request->draw_count < i + 1)
			request->draw_count = i + 1;
		result = draw(dispatch, request, i, now_us);
		if (result != DRAW_OK)
			return result;
	}
	return DRAW_OK;
}

static int32_t engine_priority(const dispatch_t *dispatch,
			       const entry_t *request)
{
	if (dispatch->conf.policy != ROUTE_COST_LANES || request->is_long)
		return request->item.priority;
	return request->item.priority + SHORT_LANE_PRIORITY;
}

static void fill_dispatch(const dispatch_t *dispatch, const entry_t *request,
			  dispatch_msg_t *out)
{
	const server_t *server = request->set.servers[0];
	resource_t name = place_resource(RESOURCE_SERVER, server->name);
	size_t i;

	mem_strlcpy(out->stream_id.vm_id, dispatch->conf.vm_id,
		    NAME_SIZE_BYTES);
	out->stream_id.incarnation = dispatch->conf.incarnation;
	out->stream_id.request = request->number;
	out->stream_id.attempt = request->attempt;
	mem_strlcpy(out->server, server->name, NAME_SIZE_BYTES);
	mem_strlcpy(out->url, server->url, URL_SIZE_BYTES);
	out->server_incarnation = credit_holder_server_incarnation(
		dispatch->holder, &name, place_use(request, request->attempt));
	for (i = 1; i < request->set.count; i++)
		mem_strlcpy(out->peers[out->peer_count++],
			    request->set.servers[i]->url, URL_SIZE_BYTES);
	out->priority = engine_priority(dispatch, request);
	out->deadline_us = request->submit.deadline_us;
}

static void send_attempt(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	const submit_msg_t *submit = &request->submit;
	task_msg_t *message =
		dispatch_add_action(dispatch, request, TASK_MSG_DISPATCH);
	size_t count = request->set.count, i;

	queue_remove(dispatch->queue, &request->item, true, now_us);
	crashes_sent(dispatch, request, now_us);
	request->attempt++;
	request->unplaced = false;
	request->first_token_us = 0;
	fill_dispatch(dispatch, request, &message->as.dispatch);
	for (i = 0; i < count; i++) {
		send_t *send = &request->sends[i];

		send->prefill_tokens =
			(submit->prompt_tokens - request->hit_tokens) /
			(int64_t)count;
		send->is_long = request->is_long;
		request->set.servers[i]->references--;
		server_sent(request->set.servers[i], send, now_us);
	}
	request->send_count = count;
	request->account->in_flight++;
	dispatch->in_flight++;
	if (count == 1 && submit->block_count)
		prefix_observe(dispatch->prefix,
			       &request->set.servers[0]->prefix, submit->blocks,
			       submit->block_count);
	request->set.count = 0;
	request->draw_count = 0;
}

/* @return predicted end of the answer if the request is sent to the chosen
 * servers now. */
static int64_t predicted_end_us(const entry_t *request, int64_t now_us)
{
	int64_t prefill_tokens =
		(request->submit.prompt_tokens - request->hit_tokens) /
		(int64_t)request->set.count;
	int64_t worst_us = 0;
	size_t i;

	for (i = 0; i < request->set.count; i++) {
		int64_t ttft_us = route_ttft_us(request->set.servers[i],
						prefill_tokens, now_us);

		if (ttft_us > worst_us)
			worst_us = ttft_us;
	}
	return now_us + worst_us +
	       service_answer_us(request->service, request->submit.max_tokens);
}

static bool is_due(const entry_t *request, int64_t now_us)
{
	return request->is_long && request->item.due_us <= now_us;
}

static void mark_blocked(entry_t *request, int64_t now_us)
{
	service_t *service = request->service;
	int64_t kv_tokens = place_kv_tokens(request);

	if (request->is_long && !request->unplaced)
		service->long_unplaced++;
	request->unplaced = true;
	if (!service->blocked[request->is_long].active ||
	    kv_tokens < service->blocked[request->is_long].kv_tokens)
		service->blocked[request->is_long].kv_tokens = kv_tokens;
	service->blocked[request->is_long].active = true;
	/* Smaller requests may pass a short one that does not fit, until that
	 * request is due. */
	if (!request->is_long && request->item.due_us <= now_us)
		service->blocked[0].any_size = true;
}

void place_request(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	int choices;

	if (crashes_keep_back(dispatch, request, now_us))
		return;
	for (choices = 0; choices < CHOICES_MAX; choices++) {
		revalidate_choice(dispatch, request, now_us);
		if (!request->set.count && !choose(dispatch, request, now_us))
			break;
		if (predicted_end_us(request, now_us) >
		    request->submit.deadline_us) {
			dispatch_refuse(dispatch, request, REFUSAL_DEADLINE,
					dispatch_retry_after_s(dispatch,
							       request),
					now_us);
			return;
		}
		switch (draw_all(dispatch, request, now_us)) {
		case DRAW_OK:
			send_attempt(dispatch, request, now_us);
			return;
		case DRAW_PENDING:
			if (is_due(request, now_us))
				reserve_for(dispatch, request);
			return;
		case DRAW_REFUSED:
			place_cancel(dispatch, request, now_us);
			break;
		}
	}
	mark_blocked(request, now_us);
	if (is_due(request, now_us))
		reserve_for(dispatch, request);
}
