/**
 * @file server_rates.h
 * Rates that servers state in their answers: the requests a second that a
 * server accepts from all nodes together. Does no I/O; time is an argument.
 *
 * A rate is kept by the server's id, also while the server is not listed, and
 * until an answer of the server states none.
 */
#ifndef PROCESS_SERVER_RATES_H
#define PROCESS_SERVER_RATES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct server_rates server_rates_t;

/** What the last answer of a server said. */
typedef struct {
	uint32_t server_hash;
	bool is_limited; /**< the server states a rate */
	double per_s; /**< requests a second, of all nodes together */
	int64_t seen_us; /**< when the answer arrived, at this or another node
			  */
} server_rate_t;

server_rates_t *server_rates_create(void);
void server_rates_destroy(server_rates_t *rates);

/**
 * Records what an answer said.
 * @param sent_us when the request was sent: an answer to a request from before
 *                the last statement does not end it
 * @return true if the server's rate changed
 */
bool server_rates_note(server_rates_t *rates, const server_rate_t *rate,
		       int64_t sent_us);

/** @return the rate of a server; NULL: it states none */
const server_rate_t *server_rates_find(const server_rates_t *rates,
				       uint32_t server_hash);

#endif
