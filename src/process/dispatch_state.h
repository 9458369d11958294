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
#include "process/servers.h"
#include "request/retry.h"

enum {
	/** Attempts of one request, whatever the retry budget allows. */
	ATTEMPTS_MAX = 8,
	/** Blocks of the prefix index: about 6 MB. */
	PREFIX_CAPACITY = 131072,
	/** Servers reserved at the same time. */
	RESERVED_MAX = 16
};

/** A service of the configuration, and what was measured of it. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool configured;
	int32_t references; /**< requests */
	group_t *groups; /**< nearest first */
	size_t group_count;
	retry_budget_t retries;
	/* prompt tokens, decayed over time: load of the long lane and of all */
	double long_tokens;
	double large_tokens; /**< of prompts that need much of a server */
	double all_tokens;
	int64_t decayed_us;
	/* averages over complete answers */
	int32_t answers;
	double answer_tokens;
	double us_per_answer_token;
	/* valid during one pass over the queue */
	int32_t long_held; /**< long prompts that found no server */
	size_t lane_min; /**< servers of the largest set that waits */
	double ahead_tokens[2]; /**< short, long */
	struct {
		bool set;
		bool all; /**< nothing may pass the request that waits */
		int64_t kv_tokens; /**< what did not fit */
	} blocked[2]; /**< short, long */
	UT_hash_handle hh;
} service_t;

typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t references; /**< requests */
	int32_t in_flight;
	UT_hash_handle hh;
} account_t;

/** A request is either in the queue or in flight. */
typedef struct request {
	uint64_t number;
	submit_msg_t submit; /**< with a copy of the blocks */
	queue_item_t item;
	service_t *service; /**< NULL if it was refused at once */
	account_t *account;
	bool is_long;
	bool ran; /**< an attempt may have run */
	bool held; /**< found no server in the last pass */
	bool account_asked; /**< uses the account's rate, or waits for it */
	bool account_drawn;
	uint32_t attempt; /**< last one dispatched */
	/* servers chosen for the next attempt, while credits are drawn */
	gang_t set;
	size_t asked; /**< draws made; the last one may be pending */
	int64_t chosen_us;
	size_t set_size; /**< servers that it needs; 0: not known to need many
			  */
	int64_t hit_tokens;
	/* the attempt in flight */
	size_t send_count;
	send_t sends[SERVER_SET_MAX];
	int64_t first_token_us; /**< 0: none yet */
	struct request *next; /**< of those to be freed */
	UT_hash_handle hh;
} entry_t;

typedef struct action {
	dispatch_action_t action;
	struct action *next;
} action_t;

struct dispatch {
	dispatch_conf_t conf;
	uint64_t salt; /**< of this node */
	credit_holder_t *holder;
	document_t *document;
	servers_t servers;
	prefix_t *prefix;
	queue_t *queue;
	service_t *services;
	account_t *accounts;
	entry_t *requests;
	entry_t *ended; /**< to be freed after the list walks are over */
	int32_t in_flight;
	size_t reserved_count;
	server_t *reserved[RESERVED_MAX];
	action_t *actions;
	action_t *last_action;
};

/* dispatch.c */
task_msg_t *dispatch_add_action(dispatch_t *dispatch, const entry_t *request,
				task_msg_type_t type);

/* dispatch_request.c */
entry_t *entry_find(const dispatch_t *dispatch, uint64_t number);
entry_t *entry_add(dispatch_t *dispatch, uint64_t number,
		   const submit_msg_t *submit);
/** Puts a new request into the queue, or refuses it. */
void entry_enqueue(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Ends a request and gives its credits back. The memory stays until
 * entry_reap(), so that list walks may go on. */
void entry_end(dispatch_t *dispatch, entry_t *request, int64_t now_us);
void entry_reap(dispatch_t *dispatch);
void entry_free(entry_t *request);
/** Gives the final answer and ends the request. */
void dispatch_refuse(dispatch_t *dispatch, entry_t *request, refusal_t refusal,
		     int32_t retry_after_s, int64_t now_us);
/** @return the predicted wait of another such request in seconds, from 1. */
int32_t dispatch_retry_after_s(const dispatch_t *dispatch,
			       const entry_t *request);

/* dispatch_wait.c */
/** Refuses what no server will take, however long it waits. */
bool wait_refuse_hopeless(dispatch_t *dispatch, entry_t *request,
			  int64_t now_us);
/** Refuses waiting requests that cannot finish in time any more. */
void wait_refuse_late(dispatch_t *dispatch, int64_t now_us);
/** Tries every waiting request in order. */
void wait_try_all(dispatch_t *dispatch, int64_t now_us);

/* dispatch_place.c */
int64_t place_kv_tokens(const entry_t *request);
/** Chooses a server and draws its credits, as far as possible now. */
void place_request(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Gives up the chosen servers and their credits. */
void place_drop(dispatch_t *dispatch, entry_t *request, int64_t now_us);
/** Ends the attempt in flight and gives its credits back. */
void place_end(dispatch_t *dispatch, entry_t *request, int64_t now_us);
resource_t place_resource(resource_kind_t kind, const char *name);
uint64_t place_use(const entry_t *request, uint32_t attempt);

/* dispatch_reserve.c */
/** Keeps servers free of further work until a long prompt that is due fits. */
void reserve_for(dispatch_t *dispatch, const entry_t *request);
/** Ends the reservations of the last pass. */
void reserve_clear(dispatch_t *dispatch);

/* dispatch_service.c */
service_t *service_find(const dispatch_t *dispatch, const char *name);
void services_configure(dispatch_t *dispatch);
void services_clear(dispatch_t *dispatch);
/** Counts the prompt of a new request. */
void service_arrival(service_t *service, const entry_t *request,
		     int64_t now_us);
/** Measures a complete answer. */
void service_answer(service_t *service, int64_t tokens, int64_t time_us);
/** @return expected time from the first token to the end of the answer. */
int64_t service_answer_us(const service_t *service, int64_t max_tokens);
/** @return part of the servers that the long lane needs. */
double service_lane_share(const service_t *service);
/** Whether large prompts were a part of the recent load. */
bool service_packs(const service_t *service);
account_t *account_find(dispatch_t *dispatch, const char *name);
/** Drops a reference; frees the account with the last one. */
void account_unref(dispatch_t *dispatch, account_t *account);
void accounts_clear(dispatch_t *dispatch);

#endif
