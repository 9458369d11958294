/**
 * @file dispatch_state.h
 * State of the dispatcher, shared by its source files only.
 */
#ifndef PROCESS_DISPATCH_STATE_H
#define PROCESS_DISPATCH_STATE_H

#include "process/dispatch.h"
#include "process/gang.h"
#include "process/queue.h"
#include "process/route.h"
#include "process/segment_table.h"
#include "process/servers.h"
#include "request/retry.h"

enum {
	/** Most attempts of one request, even if the retry budget allows more.
	 */
	ATTEMPTS_MAX = 8,
	/** Capacity of the prefix index in blocks, about 6 MB. */
	PREFIX_CAPACITY = 131072,
	/** Most servers that are reserved at the same time. */
	RESERVED_MAX = 16
};

/** A service of the configuration, and the measurements of its requests. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool configured;
	int32_t references; /**< number of requests that point here */
	group_t *groups; /**< nearest data centre first */
	size_t group_count;
	retry_budget_t retries;
	/* Prompt tokens of arrivals, decayed over time. */
	double long_tokens; /**< prompts of the long lane */
	double large_tokens; /**< prompts that need much of a server's memory */
	double all_tokens;
	int64_t decayed_us; /**< time of the last decay */
	/* Moving averages over complete answers. */
	int32_t answers; /**< answers averaged; the count stops once the
			    averages may be used */
	double answer_tokens;
	double us_per_answer_token;
	/* Valid during one scan of the queue. */
	int32_t long_unplaced; /**< long prompts that found no server */
	size_t lane_min; /**< servers of the largest set that a request
			    waits for */
	double ahead_tokens[2]; /**< cost of the requests earlier in the
				   queue; index: request.is_long */
	struct {
		bool active; /**< a request of the lane found no server */
		bool any_size; /**< a short request is due: no request of its
				  lane may pass it */
		int64_t kv_tokens; /**< smallest request that did not fit */
	} blocked[2]; /**< index: request.is_long */
	UT_hash_handle hh;
} service_t;

/** A client account with requests in the dispatcher. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t references; /**< number of requests that point here */
	int32_t in_flight;
	UT_hash_handle hh;
} account_t;

/** A request, either in the queue or in flight. */
typedef struct request {
	uint64_t number;
	submit_msg_t submit; /**< owns a copy of the blocks */
	queue_item_t item;
	service_t *service; /**< NULL: refused before a service was found */
	account_t *account;
	bool is_long; /**< belongs to the long lane */
	bool ran; /**< an attempt may have run on a server */
	bool unplaced; /**< found no server in the last scan of the queue */
	bool account_requested; /**< rate credit of the account is in use or
				   pending */
	bool account_drawn; /**< rate credit of the account was granted */
	uint32_t attempt; /**< number of the last attempt sent; 0: none */
	/* Servers chosen for the next attempt, while credits are drawn. */
	gang_t set; /**< count 0: no servers chosen yet */
	size_t draw_count; /**< draws made; the last draw may be pending */
	int64_t chosen_us; /**< time at which the set was chosen */
	size_t set_size; /**< servers that the prompt needs; 0: one, or unknown
			  */
	int64_t hit_tokens; /**< expected prefix-cache hit on the set */
	/* The attempt in flight. */
	size_t send_count; /**< servers of the attempt; 0: not in flight */
	send_t sends[GANG_SERVERS_MAX];
	int64_t first_token_us; /**< 0: no token yet */
	struct request *next; /**< next in dispatch.ended */
	UT_hash_handle hh;
} entry_t;

/** A decision that dispatch_next() has not fetched yet. */
typedef struct action {
	dispatch_action_t action;
	struct action *next;
} action_t;

struct dispatch {
	dispatch_conf_t conf;
	uint64_t salt; /**< differs between nodes and their incarnations */
	credit_holder_t *holder;
	document_t *document; /**< NULL: no configuration yet */
	servers_t servers;
	prefix_t *prefix;
	segment_table_t *crashes; /**< requests that crash servers */
	queue_t *queue;
	service_t *services;
	account_t *accounts;
	entry_t *requests;
	entry_t *ended; /**< ended requests, freed when no list walk is under
			   way */
	int32_t in_flight;
	size_t reserved_count;
	server_t *reserved[RESERVED_MAX];
	action_t *actions; /**< oldest first */
	action_t *last_action;
};

/* dispatch.c */
/** Appends a decision on a request. @return its message, to be filled in */
task_msg_t *dispatch_add_action(dispatch_t *dispatch, const entry_t *request,
				task_msg_type_t type);

/* dispatch_request.c */
/** @return NULL if no request has this number. */
entry_t *entry_find(const dispatch_t *dispatch, uint64_t number);
entry_t *entry_add(dispatch_t *dispatch, uint64_t number,
		   const submit_msg_t *submit);
/** Puts a new request into the queue, or refuses it. */
void entry_enqueue(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Ends a request and releases its credits. The memory stays until
 * entry_reap(), so that list walks may go on. */
void entry_end(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Frees the requests that entry_end() ended. */
void entry_reap(dispatch_t *dispatch);
void entry_free(entry_t *request);
/** Refuses a request as its final answer, and ends it. */
void dispatch_refuse(dispatch_t *dispatch, entry_t *request, refusal_t refusal,
		     int32_t retry_after_s, int64_t now_us);
/** @return predicted wait in seconds, from 1, of a new request of the same
 *          service and lane. */
int32_t dispatch_retry_after_s(const dispatch_t *dispatch,
			       const entry_t *request);

/* dispatch_wait.c */
/** Refuses a request that no server will take, however long it waits, or whose
 * deadline has passed. @return true if the request was refused */
bool wait_refuse_unservable(dispatch_t *dispatch, entry_t *request,
			    int64_t now_us);
/** Refuses waiting requests that cannot meet their deadline any more. */
void wait_refuse_deadline(dispatch_t *dispatch, int64_t now_us);
/** Tries to place every waiting request, in the order of the queue. */
void wait_try_all(dispatch_t *dispatch, int64_t now_us);

/* dispatch_place.c */
/** @return KV memory that a request needs: prompt and longest answer; 0 for
 *          requests to plain services. */
int64_t place_kv_tokens(const entry_t *request);
/** Chooses servers, draws their credits, and sends the request once all credits
 * are granted. Otherwise the request waits, or is refused if it is predicted to
 * miss its deadline. */
void place_request(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Cancels the choice of servers for the next attempt and releases the
 * credits drawn for it. */
void place_cancel(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Ends the attempt in flight and releases its credits. */
void place_end(dispatch_t *dispatch, entry_t *request, int64_t now_us);
resource_t place_resource(resource_kind_t kind, const char *name);
/** @return number that identifies a use of credits, unique for each request
 *          and attempt; attempt 0 is the use of the account's rate. */
uint64_t place_use(const entry_t *request, uint32_t attempt);

/* dispatch_crashes.c */
/**
 * Refuses a request under which servers ended, or lets it wait while another
 * one with the same content is tried.
 * @return false if it may be sent
 */
bool crashes_keep_back(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Notes that the request is sent to the chosen servers. */
void crashes_sent(dispatch_t *dispatch, const entry_t *request, int64_t now_us);
/** Notes how the attempt in flight ended. */
void crashes_attempt_ended(dispatch_t *dispatch, const entry_t *request,
			   attempt_end_t end, int64_t now_us);

/* dispatch_reserve.c */
/** Reserves servers: keeps other requests off them until a long prompt that is
 * due fits. */
void reserve_for(dispatch_t *dispatch, const entry_t *request);
/** Ends the reservations of the last scan of the queue. */
void reserve_clear(dispatch_t *dispatch);

/* dispatch_service.c */
service_t *service_find(const dispatch_t *dispatch, const char *name);
void services_configure(dispatch_t *dispatch);
void services_clear(dispatch_t *dispatch);
/** Adds the prompt of a new request to the measured load of its service. */
void service_add_arrival(service_t *service, const entry_t *request,
			 int64_t now_us);
/** Adds a complete answer to the averages of its service.
 * @param time_us from the first token to the end of the answer */
void service_add_answer(service_t *service, int64_t tokens, int64_t time_us);
/** @return expected time from the first token to the end of the answer; 0
 *          while too few answers were measured. */
int64_t service_answer_us(const service_t *service, int64_t max_tokens);
/** @return fraction of the servers, 0 to 1, that the long lane needs. */
double service_lane_share(const service_t *service);
/** @return true if large prompts were a part of the recent load. */
bool service_has_large(const service_t *service);
/** @return account with this name, created if necessary; no reference is taken.
 */
account_t *account_find(dispatch_t *dispatch, const char *name);
/** Drops a reference; frees the account when no reference is left. */
void account_unref(dispatch_t *dispatch, account_t *account);
void accounts_clear(dispatch_t *dispatch);

#endif
