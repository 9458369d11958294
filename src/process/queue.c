#include "process/queue.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/mem.h"

/* A request is due after the fraction (PRIORITY_OFFSET - priority) /
 * PRIORITY_SCALE of the time to its deadline: a half for priority 0, a twelfth
 * for priority 100. A half leaves time to run a request that is served after
 * its due time. */
enum { PRIORITY_OFFSET = 120, PRIORITY_SCALE = 240 };

/* Deadlines that are further away count as this time, so that the longest wait
 * behind more urgent requests is five minutes. */
#define DEADLINE_MAX_US (10 * 60 * US_PER_S)

/* Service rate until it is first measured: 100,000 tokens/s. */
#define ASSUMED_US_PER_TOKEN 10.0

/* Weight of a new sample in the moving averages of the service rate. */
#define AVERAGE_GAIN 0.1

/* The time between two served requests counts as at most this multiple of the
 * average plus INTERVAL_FIRST_MAX_US, so that a short outage does not spoil the
 * predictions that follow it. */
#define INTERVAL_GROWTH 10
#define INTERVAL_FIRST_MAX_US (100.0 * US_PER_MS)

/* Least sum of account weights used for charging. Without it, the first account
 * of a burst would be charged as if it were alone, and the accounts would get
 * unequal shares. */
enum { ACTIVE_WEIGHT_MIN = 8 };

typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t weight;
	int32_t count; /* waiting requests */
	int64_t start_us; /* when the account may be served next */
	UT_hash_handle hh;
} account_t;

/* One lane of a service. Long and short prompts wait for different servers, so
 * the wait in one lane does not predict the wait in the other. */
typedef struct {
	int32_t count;
	/* Time when the lane last served a request, or when a request began to
	 * wait in the empty lane. */
	int64_t last_us;
	/* Moving averages over requests served after a wait: */
	double interval_us; /* time between two served requests */
	double cost_tokens; /* cost of a request; 0: nothing measured yet */
} lane_t;

typedef struct {
	char name[NAME_SIZE_BYTES];
	lane_t lanes[2]; /* short, long */
	UT_hash_handle hh;
} service_t;

struct queue {
	int32_t max;
	size_t count, capacity;
	queue_item_t **items; /* ascending due time */
	uint64_t arrivals;
	int64_t active_weight; /* sum over accounts with waiting requests */
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

static lane_t *find_lane(queue_t *queue, const queue_item_t *item)
{
	return &find_service(queue, item->service)->lanes[item->is_long];
}

static bool is_due_before(const queue_item_t *a, const queue_item_t *b)
{
	return a->due_us != b->due_us ? a->due_us < b->due_us
				      : a->order < b->order;
}

/* @return index of an item, or the index at which to insert it. */
static size_t place_of(const queue_t *queue, const queue_item_t *item)
{
	size_t low = 0, high = queue->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (is_due_before(queue->items[middle], item))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void insert(queue_t *queue, queue_item_t *item, account_t *account,
		   lane_t *lane, int64_t now_us)
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
	if (!lane->count++)
		lane->last_us = now_us;
	item->account_state = account;
	item->lane_state = lane;
	item->queued = true;
}

/* @return service rate of a lane in us per token; 0 if unknown. */
static double us_per_token(const lane_t *lane)
{
	return lane->cost_tokens > 0 ? lane->interval_us / lane->cost_tokens
				     : 0;
}

/* Charges the account for the request: delays its next requests in proportion
 * to the cost of this request. */
static void charge_account(const queue_t *queue, account_t *account,
			   queue_item_t *item, const lane_t *lane)
{
	double token_us = us_per_token(lane);
	int64_t weight_sum = queue->active_weight;

	if (!account->count)
		weight_sum += item->weight;
	if (weight_sum < ACTIVE_WEIGHT_MIN)
		weight_sum = ACTIVE_WEIGHT_MIN;
	if (token_us <= 0)
		token_us = ASSUMED_US_PER_TOKEN;
	item->charged_us = (int64_t)((double)item->cost_tokens * token_us *
				     (double)weight_sum / item->weight);
	account->start_us += item->charged_us;
}

/* @return time from the account's start until the request is due. */
static int64_t priority_delay_us(const queue_item_t *item)
{
	int64_t slack_us = item->deadline_us - item->received_us;

	if (slack_us > DEADLINE_MAX_US)
		slack_us = DEADLINE_MAX_US;
	if (slack_us < 0)
		slack_us = 0;
	return slack_us * (PRIORITY_OFFSET - item->priority) / PRIORITY_SCALE;
}

bool queue_push(queue_t *queue, queue_item_t *item, int64_t now_us)
{
	account_t *account;
	lane_t *lane;

	if ((int64_t)queue->count >= queue->max)
		return false;
	account = find_account(queue, item->account);
	if (account->count &&
	    account->count >= queue->max - (int64_t)queue->count)
		return false;
	lane = find_lane(queue, item);
	if (account->start_us < now_us)
		account->start_us = now_us;
	item->due_us = account->start_us + priority_delay_us(item);
	item->order = queue->arrivals++;
	charge_account(queue, account, item, lane);
	insert(queue, item, account, lane, now_us);
	return true;
}

void queue_return(queue_t *queue, queue_item_t *item, int64_t now_us)
{
	insert(queue, item, find_account(queue, item->account),
	       find_lane(queue, item), now_us);
}

static void update_service_rate(lane_t *lane, const queue_item_t *item,
				int64_t now_us)
{
	double interval_us = (double)(now_us - lane->last_us);

	double max_us =
		INTERVAL_GROWTH * lane->interval_us + INTERVAL_FIRST_MAX_US;

	lane->last_us = now_us;
	if (interval_us > max_us)
		interval_us = max_us;
	if (lane->cost_tokens <= 0) {
		lane->interval_us = interval_us;
		lane->cost_tokens = (double)item->cost_tokens;
		return;
	}
	lane->interval_us += AVERAGE_GAIN * (interval_us - lane->interval_us);
	lane->cost_tokens +=
		AVERAGE_GAIN * ((double)item->cost_tokens - lane->cost_tokens);
}

void queue_remove(queue_t *queue, queue_item_t *item, bool served,
		  int64_t now_us)
{
	account_t *account = item->account_state;
	lane_t *lane = item->lane_state;
	size_t place = place_of(queue, item);

	queue->count--;
	memmove(&queue->items[place], &queue->items[place + 1],
		(queue->count - place) * sizeof(queue_item_t *));
	item->queued = false;
	/* Only requests that waited are samples of the service rate. */
	if (served && now_us > item->received_us)
		update_service_rate(lane, item, now_us);
	/* The account is not charged for requests that were not served. */
	if (!served)
		account->start_us -= item->charged_us;
	lane->count--;
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

double queue_us_per_token(const queue_t *queue, const char *name, bool is_long)
{
	service_t *service = NULL;

	HASH_FIND_STR(queue->services, name, service);
	return service ? us_per_token(&service->lanes[is_long]) : 0;
}

int64_t queue_wait_us(const queue_t *queue, const char *name, bool is_long,
		      int64_t due_us)
{
	service_t *service = NULL;
	const lane_t *lane;
	int64_t cost_tokens = 0;
	size_t i;

	HASH_FIND_STR(queue->services, name, service);
	if (!service)
		return 0;
	lane = &service->lanes[is_long];
	if (!lane->count)
		return 0;
	for (i = 0; i < queue->count && queue->items[i]->due_us < due_us; i++)
		if (queue->items[i]->lane_state == lane)
			cost_tokens += queue->items[i]->cost_tokens;
	return (int64_t)((double)cost_tokens * us_per_token(lane));
}
