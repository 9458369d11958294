#include "process/queue.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/mem.h"

/* Part of the time to its deadline after which a request is due: a half for
 * priority 0, a twelfth for priority 100. At a half there is still time to run
 * what was served late. */
enum { PRIORITY_OFFSET = 120, PRIORITY_SCALE = 240 };

/* Deadlines further away are treated alike, so that the longest wait behind
 * more urgent work is five minutes. */
#define DISTANT_US (10 * 60 * US_PER_S)

/* Pace before the first measurement: 100,000 tokens/s. */
#define ASSUMED_US_PER_TOKEN 10.0

/* Weight of a new sample in the averages of the pace. */
#define PACE_GAIN 0.1

/* One interval counts for at most this much more than the average, so that a
 * short outage does not make the predictions useless after it. */
#define INTERVAL_GROWTH 10
#define INTERVAL_FIRST_MAX_US (100.0 * US_PER_MS)

/* Least sum of weights to reckon with. Shares would be unequal if the first
 * account of a burst were charged as if it were alone. */
enum { ACTIVE_WEIGHT_MIN = 8 };

typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t weight;
	int32_t count; /* waiting requests */
	int64_t start_us; /* of the account's next share of service */
	UT_hash_handle hh;
} account_t;

typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t count;
	int64_t last_us; /* served a request, or began to have one waiting */
	double interval_us; /* averages over requests served from the queue */
	double cost_tokens;
	UT_hash_handle hh;
} service_t;

struct queue {
	int32_t max;
	size_t count, capacity;
	queue_item_t **items; /* ascending due time */
	uint64_t arrivals;
	int64_t active_weight; /* of accounts with waiting requests */
	account_t *accounts;
	service_t *services;
};

queue_t *queue_create(int32_t max)
{
	queue_t *queue = mem_calloc(1, sizeof(*queue));

	queue->max = max;
	return queue;
}

static void free_accounts(queue_t *queue)
{
	account_t *account = queue->accounts, *next;

	HASH_CLEAR(hh, queue->accounts);
	for (; account; account = next) {
		next = account->hh.next;
		free(account);
	}
}

void queue_destroy(queue_t *queue)
{
	service_t *service, *next;

	if (!queue)
		return;
	free_accounts(queue);
	service = queue->services;
	HASH_CLEAR(hh, queue->services);
	for (; service; service = next) {
		next = service->hh.next;
		free(service);
	}
	free(queue->items);
	free(queue);
}

static account_t *find_account(queue_t *queue, const char *name)
{
	account_t *account = NULL;

	HASH_FIND_STR(queue->accounts, name, account);
	if (account)
		return account;
	account = mem_calloc(1, sizeof(*account));
	mem_strlcpy(account->name, name, sizeof(account->name));
	HASH_ADD_STR(queue->accounts, name, account);
	return account;
}

static service_t *find_service(queue_t *queue, const char *name)
{
	service_t *service = NULL;

	HASH_FIND_STR(queue->services, name, service);
	if (service)
		return service;
	service = mem_calloc(1, sizeof(*service));
	mem_strlcpy(service->name, name, sizeof(service->name));
	HASH_ADD_STR(queue->services, name, service);
	return service;
}

static bool before(const queue_item_t *a, const queue_item_t *b)
{
	return a->due_us != b->due_us ? a->due_us < b->due_us
				      : a->order < b->order;
}

/* @return the place of an item, or where it belongs. */
static size_t place_of(const queue_t *queue, const queue_item_t *item)
{
	size_t low = 0, high = queue->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (before(queue->items[middle], item))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void insert(queue_t *queue, queue_item_t *item, account_t *account,
		   service_t *service, int64_t now_us)
{
	size_t place = place_of(queue, item);

	if (queue->count == queue->capacity) {
		queue->capacity = queue->capacity ? 2 * queue->capacity : 64;
		queue->items = mem_realloc(queue->items, queue->capacity,
					   sizeof(queue_item_t *));
	}
	memmove(&queue->items[place + 1], &queue->items[place],
		(queue->count - place) * sizeof(queue_item_t *));
	queue->items[place] = item;
	queue->count++;
	if (!account->count++) {
		account->weight = item->weight;
		queue->active_weight += item->weight;
	}
	if (!service->count++)
		service->last_us = now_us;
	item->account_state = account;
	item->service_state = service;
	item->queued = true;
}

static double pace_of(const service_t *service)
{
	return service->cost_tokens > 0
		       ? service->interval_us / service->cost_tokens
		       : 0;
}

/* Moves the account's next share behind the request. */
static void advance_account(const queue_t *queue, account_t *account,
			    queue_item_t *item, const service_t *service)
{
	double pace = pace_of(service);
	int64_t others = queue->active_weight;

	if (!account->count)
		others += item->weight;
	if (others < ACTIVE_WEIGHT_MIN)
		others = ACTIVE_WEIGHT_MIN;
	if (pace <= 0)
		pace = ASSUMED_US_PER_TOKEN;
	item->share_us = (int64_t)((double)item->cost_tokens * pace *
				   (double)others / item->weight);
	account->start_us += item->share_us;
}

static int64_t patience_us(const queue_item_t *item)
{
	int64_t slack_us = item->deadline_us - item->received_us;

	if (slack_us > DISTANT_US)
		slack_us = DISTANT_US;
	if (slack_us < 0)
		slack_us = 0;
	return slack_us * (PRIORITY_OFFSET - item->priority) / PRIORITY_SCALE;
}

bool queue_push(queue_t *queue, queue_item_t *item, int64_t now_us)
{
	account_t *account;
	service_t *service;

	if ((int64_t)queue->count >= queue->max)
		return false;
	account = find_account(queue, item->account);
	if (account->count &&
	    account->count >= queue->max - (int64_t)queue->count)
		return false;
	service = find_service(queue, item->service);
	if (account->start_us < now_us)
		account->start_us = now_us;
	item->due_us = account->start_us + patience_us(item);
	item->order = queue->arrivals++;
	advance_account(queue, account, item, service);
	insert(queue, item, account, service, now_us);
	return true;
}

void queue_return(queue_t *queue, queue_item_t *item, int64_t now_us)
{
	insert(queue, item, find_account(queue, item->account),
	       find_service(queue, item->service), now_us);
}

static void measure_pace(service_t *service, const queue_item_t *item,
			 int64_t now_us)
{
	double interval_us = (double)(now_us - service->last_us);

	double most_us =
		INTERVAL_GROWTH * service->interval_us + INTERVAL_FIRST_MAX_US;

	service->last_us = now_us;
	if (interval_us > most_us)
		interval_us = most_us;
	if (service->cost_tokens <= 0) {
		service->interval_us = interval_us;
		service->cost_tokens = (double)item->cost_tokens;
		return;
	}
	service->interval_us +=
		PACE_GAIN * (interval_us - service->interval_us);
	service->cost_tokens +=
		PACE_GAIN * ((double)item->cost_tokens - service->cost_tokens);
}

void queue_remove(queue_t *queue, queue_item_t *item, bool served,
		  int64_t now_us)
{
	account_t *account = item->account_state;
	service_t *service = item->service_state;
	size_t place = place_of(queue, item);

	queue->count--;
	memmove(&queue->items[place], &queue->items[place + 1],
		(queue->count - place) * sizeof(queue_item_t *));
	item->queued = false;
	/* A request that did not wait says nothing about the pace. */
	if (served && now_us > item->received_us)
		measure_pace(service, item, now_us);
	/* What was not served does not count against the account. */
	if (!served)
		account->start_us -= item->share_us;
	service->count--;
	if (!--account->count)
		queue->active_weight -= account->weight;
	if (!queue->count)
		free_accounts(queue);
}

size_t queue_count(const queue_t *queue)
{
	return queue->count;
}

queue_item_t *queue_at(const queue_t *queue, size_t place)
{
	return place < queue->count ? queue->items[place] : NULL;
}

double queue_pace(const queue_t *queue, const char *name)
{
	service_t *service = NULL;

	HASH_FIND_STR(queue->services, name, service);
	return service ? pace_of(service) : 0;
}

int64_t queue_wait_us(const queue_t *queue, const char *name, int64_t due_us)
{
	service_t *service = NULL;
	int64_t cost_tokens = 0;
	size_t i;

	HASH_FIND_STR(queue->services, name, service);
	if (!service || !service->count)
		return 0;
	for (i = 0; i < queue->count && queue->items[i]->due_us < due_us; i++)
		if (queue->items[i]->service_state == service)
			cost_tokens += queue->items[i]->cost_tokens;
	return (int64_t)((double)cost_tokens * pace_of(service));
}
