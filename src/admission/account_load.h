/**
 * @file account_load.h
 * Requests in progress by service and client account, at all nodes, and the
 * fair shares of the accounts. Does no I/O; time is an argument.
 *
 * The load it answers: a few accounts send most of the requests for a service
 * that is short of capacity. The state is this node's own count and what the
 * other nodes announced last. A lost announcement leaves the counts as old as
 * the one before; a node that falls silent is forgotten.
 */
#ifndef ADMISSION_ACCOUNT_LOAD_H
#define ADMISSION_ACCOUNT_LOAD_H

#include "process/load_table.h"

typedef struct account_load account_load_t;

/** Use of a service by one account. */
typedef struct {
	int64_t held; /**< requests in progress at all nodes */
	/** Slots that the account gets if the slots are shared fairly (max-min)
	 * among the accounts with requests in progress, one more of this
	 * account included; INT64_MAX: all get what they ask for, or the
	 * account is alone. */
	int64_t share;
} account_use_t;

account_load_t *account_load_create(void);
/** @param load may be NULL */
void account_load_destroy(account_load_t *load);

/**
 * Counts a request that this node sends to servers.
 * @param service hash of the service's name
 * @param account hash of the account's name
 */
void account_load_begin(account_load_t *load, uint32_t service,
			uint32_t account);
/** Ends a request that account_load_begin() counted. */
void account_load_end(account_load_t *load, uint32_t service, uint32_t account);

/**
 * Replaces what a node announced before.
 * @param message accepted by load_table_receive(), which drops old ones
 */
void account_load_receive(account_load_t *load, const announcement_t *message,
			  int64_t now_us);
/** Forgets nodes that have sent no announcement for 2 s. */
void account_load_expire(account_load_t *load, int64_t now_us);

/**
 * Lists the largest counts of this node.
 * @return entries of @p reports, at most @p max
 */
size_t account_load_list(const account_load_t *load, account_report_t *reports,
			 size_t max);

/** @param slots slots of the servers of the service that are to be shared */
account_use_t account_load_use(const account_load_t *load, uint32_t service,
			       uint32_t account, int64_t slots);

#endif
