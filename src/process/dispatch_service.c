#include <math.h>
#include <stdlib.h>

#include "base/mem.h"
#include "process/dispatch_state.h"

/* Time constant of the load measurement for the lanes. One in fifty prompts is
 * long: a node with one request per second sees two long prompts in this time.
 */
#define LANE_DECAY_US (120.0 * US_PER_S)

/* Below this fraction of the load, no memory is kept free for large prompts. */
#define LARGE_SHARE_MIN 0.01

/* Answers to measure before their average is used to refuse requests. */
enum { ANSWERS_MIN = 20 };
#define ANSWER_GAIN 0.05 /* weight of a new answer in the averages */

service_t *service_find(const dispatch_t *dispatch, const char *name)
{
	service_t *service = NULL;

	HASH_FIND_STR(dispatch->services, name, service);
	return service;
}

static void configure_service(dispatch_t *dispatch, const service_conf_t *conf)
{
	service_t *service = service_find(dispatch, conf->name);

	if (!service) {
		service = mem_calloc(1, sizeof(*service));
		mem_strlcpy(service->name, conf->name, NAME_SIZE_BYTES);
		HASH_ADD_STR(dispatch->services, name, service);
	}
	service->configured = true;
	service->group_count = servers_group(
		&dispatch->servers, dispatch->document, conf, &service->groups);
}

static void remove_if_unused(dispatch_t *dispatch, service_t *service)
{
	if (service->configured || service->references)
		return;
	HASH_DEL(dispatch->services, service);
	free(service);
}

void services_configure(dispatch_t *dispatch)
{
	service_t *service, *next;
	size_t i;

	reserve_clear(dispatch);
	for (service = dispatch->services; service;
	     service = service->hh.next) {
		groups_free(service->groups, service->group_count);
		service->groups = NULL;
		service->group_count = 0;
		service->configured = false;
	}
	servers_configure(&dispatch->servers, dispatch->document);
	for (i = 0; i < document_service_count(dispatch->document); i++)
		configure_service(dispatch,
				  document_service_at(dispatch->document, i));
	for (service = dispatch->services; service; service = next) {
		next = service->hh.next;
		remove_if_unused(dispatch, service);
	}
}

void services_clear(dispatch_t *dispatch)
{
	service_t *service = dispatch->services, *next;

	HASH_CLEAR(hh, dispatch->services);
	for (; service; service = next) {
		next = service->hh.next;
		groups_free(service->groups, service->group_count);
		free(service);
	}
}

void service_add_arrival(service_t *service, const entry_t *request,
			 int64_t now_us)
{
	double tokens = (double)request->submit.prompt_tokens;
	double decay =
		exp((double)(service->decayed_us - now_us) / LANE_DECAY_US);

	retry_count_request(&service->retries, now_us);
	service->decayed_us = now_us;
	service->long_tokens *= decay;
	service->large_tokens *= decay;
	service->all_tokens = service->all_tokens * decay + tokens;
	if (request->is_long)
		service->long_tokens += tokens;
	if (request->is_long && service->group_count &&
	    route_is_large(service->groups[0].servers[0],
			   place_kv_tokens(request)))
		service->large_tokens += tokens;
}

bool service_has_large(const service_t *service)
{
	return service->large_tokens > LARGE_SHARE_MIN * service->all_tokens;
}

double service_lane_share(const service_t *service)
{
	return service->all_tokens > 0
		       ? service->long_tokens / service->all_tokens
		       : 0;
}

void service_add_answer(service_t *service, int64_t tokens, int64_t time_us)
{
	double gain = service->answers ? ANSWER_GAIN : 1;

	if (tokens <= 0 || time_us <= 0)
		return;
	if (service->answers < ANSWERS_MIN)
		service->answers++;
	service->answer_tokens +=
		gain * ((double)tokens - service->answer_tokens);
	service->us_per_answer_token +=
		gain * ((double)time_us / (double)tokens -
			service->us_per_answer_token);
}

int64_t service_answer_us(const service_t *service, int64_t max_tokens)
{
	double tokens = service->answer_tokens;

	if (service->answers < ANSWERS_MIN)
		return 0;
	if (tokens > (double)max_tokens)
		tokens = (double)max_tokens;
	return (int64_t)(tokens * service->us_per_answer_token);
}

account_t *account_find(dispatch_t *dispatch, const char *name)
{
	account_t *account = NULL;

	HASH_FIND_STR(dispatch->accounts, name, account);
	if (account)
		return account;
	account = mem_calloc(1, sizeof(*account));
	mem_strlcpy(account->name, name, NAME_SIZE_BYTES);
	HASH_ADD_STR(dispatch->accounts, name, account);
	return account;
}

void account_unref(dispatch_t *dispatch, account_t *account)
{
	if (--account->references)
		return;
	HASH_DEL(dispatch->accounts, account);
	free(account);
}

void accounts_clear(dispatch_t *dispatch)
{
	account_t *account = dispatch->accounts, *next;

	HASH_CLEAR(hh, dispatch->accounts);
	for (; account; account = next) {
		next = account->hh.next;
		free(account);
	}
}
