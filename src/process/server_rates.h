/**
 * @file server_rates.h
 * Rates that servers state in their answers: the requests a second that a
 * server accepts from all nodes together. Does no I/O; time is an argument.
 *
 * A rate holds until an answer of the server states none, also over a restart
 * of the server under its id, and while the server is not listed. Nodes
 * announce what their own answers said, so that those that send the server
 * nothing know, too. Each node keeps to its part of the rate (limit_share.h).
 */
#ifndef PROCESS_SERVER_RATES_H
#define PROCESS_SERVER_RATES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/limit_share.h"

/** Most servers whose rates one announcement lists. */
enum { ANNOUNCED_RATES_MAX = 16 };
enum { RATE_TEXT_BYTES = 32 };

typedef struct server_rates server_rates_t;

/** What an answer of a server said. */
typedef struct {
	uint32_t server_hash;
	bool is_limited; /**< the server states a rate */
	double per_s; /**< requests a second, of all nodes together */
	int64_t age_us; /**< time since the answer arrived */
} server_rate_t;

/** Formats requests a second for a log line; "-" without a rate. */
void server_rate_format(const server_rate_t *rate, char text[RATE_TEXT_BYTES]);

server_rates_t *server_rates_create(void);
void server_rates_destroy(server_rates_t *rates);

/**
 * Records what an answer to this node said.
 * @param sent_us when the request was sent: an answer to a request from before
 *                the last statement does not end a rate
 * @return true if the server's rate changed
 */
bool server_rates_note(server_rates_t *rates, const server_rate_t *rate,
		       int64_t sent_us, int64_t now_us);
/**
 * Records what an answer to another node said.
 * @return true if the server's rate changed
 */
bool server_rates_receive(server_rates_t *rates, const server_rate_t *rate,
			  int64_t now_us);
/**
 * Lists what recent answers to this node said, for announcements. If there are
 * more than @p max, lists others each time.
 * @return the number of items
 */
size_t server_rates_list(server_rates_t *rates, server_rate_t *items,
			 size_t max, int64_t now_us);
/** Lists the servers that state a rate. @return the number of items */
size_t server_rates_limited(const server_rates_t *rates, uint32_t *hashes,
			    size_t max);
/** Forgets rates that ended, and those of servers that are long gone. */
void server_rates_expire(server_rates_t *rates, int64_t now_us);
/** @return number of servers that state a rate */
size_t server_rates_count(const server_rates_t *rates);

/** @return the rate of a server; negative: it states none */
double server_rates_per_s(const server_rates_t *rates, uint32_t server_hash);
/** @return true if this node may send the server a request now. */
bool server_rates_allow(server_rates_t *rates, uint32_t server_hash,
			const limit_nodes_t *nodes, int64_t now_us);
/** The same without any effect. */
bool server_rates_would_allow(const server_rates_t *rates, uint32_t server_hash,
			      const limit_nodes_t *nodes, int64_t now_us);
/** Uses a request that server_rates_allow() allowed. */
void server_rates_take(server_rates_t *rates, uint32_t server_hash);
/** When a server accepts the next request; INT64_MAX: not known. */
typedef struct {
	int64_t here_us; /**< of this node */
	int64_t anywhere_us; /**< of any node, on average */
} accept_times_t;

/** @return @p now_us if the server states no rate */
accept_times_t server_rates_next(server_rates_t *rates, uint32_t server_hash,
				 const limit_nodes_t *nodes, int64_t now_us);

#endif
