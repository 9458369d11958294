#include "process/prefill_clock.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"
#include "base/units.h"

/* If prefill is predicted to be done but has led to no first event yet, this
 * share of its time is still expected to remain. */
#define OVERDUE_SHARE 0.15
/* Bound on the predicted wait, whatever load a datagram announces. */
#define DONE_AFTER_MAX_US (60 * US_PER_S)
/* The entry of a server without prefill for this long is removed. */
#define EXPIRE_US (30 * US_PER_S)

/* Prefill that was sent to one server. */
typedef struct {
	uint32_t server_hash;
	int64_t done_at_us; /* predicted end of all prefill sent so far */
	UT_hash_handle hh;
} server_t;

struct prefill_clock {
	server_t *servers;
};

prefill_clock_t *prefill_clock_create(void)
{
	return mem_calloc(1, sizeof(prefill_clock_t));
}

void prefill_clock_destroy(prefill_clock_t *clock)
{
	server_t *server, *next;

	if (!clock)
		return;
	HASH_ITER (hh, clock->servers, server, next) {
		HASH_DEL(clock->servers, server);
		free(server);
	}
	free(clock);
}

static server_t *find(const prefill_clock_t *clock, uint32_t server_hash)
{
	server_t *server;

	HASH_FIND(hh, clock->servers, &server_hash, sizeof(server_hash),
		  server);
	return server;
}

void prefill_clock_add(prefill_clock_t *clock, uint32_t server_hash,
		       int64_t prefill_us, int64_t now_us)
{
	server_t *server = find(clock, server_hash);

	if (!server) {
		server = mem_calloc(1, sizeof(*server));
		server->server_hash = server_hash;
		HASH_ADD(hh, clock->servers, server_hash,
			 sizeof(server->server_hash), server);
	}
	if (server->done_at_us < now_us)
		server->done_at_us = now_us;
	server->done_at_us += prefill_us;
	if (server->done_at_us > now_us + DONE_AFTER_MAX_US)
		server->done_at_us = now_us + DONE_AFTER_MAX_US;
}

int64_t prefill_clock_backlog_us(const prefill_clock_t *clock,
				 uint32_t server_hash, int64_t open_us,
				 int64_t wait_us, int64_t now_us)
{
	const server_t *server = find(clock, server_hash);
	int64_t left_us = server ? server->done_at_us + wait_us - now_us
				 : open_us;
	int64_t min_us = (int64_t)((double)open_us * OVERDUE_SHARE);

	if (left_us < min_us)
		return min_us;
	return left_us < open_us ? left_us : open_us;
}

void prefill_clock_expire(prefill_clock_t *clock, int64_t now_us)
{
	server_t *server, *next;

	HASH_ITER (hh, clock->servers, server, next) {
		if (now_us - server->done_at_us < EXPIRE_US)
			continue;
		HASH_DEL(clock->servers, server);
		free(server);
	}
}
