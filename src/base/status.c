#include "base/status.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"

/*
 * 5 ticks of 20 ms of the control task, which publishes the status. The limit
 * is short because status_copy() blocks the telemetry task.
 */
#define PUBLICATION_TIMEOUT_US (100 * US_PER_MS)
#define NS_PER_US 1000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t replaced = PTHREAD_COND_INITIALIZER;
static char *published; /* JSON text; NULL: none yet */
static uint64_t publications; /* calls of status_publish() */
static atomic_bool node_ready, wanted;

void status_publish(char *json, bool ready)
{
	char *old;

	pthread_mutex_lock(&lock);
	old = published;
	published = json;
	publications++;
	atomic_store(&wanted, false);
	pthread_cond_broadcast(&replaced);
	pthread_mutex_unlock(&lock);
	atomic_store(&node_ready, ready);
	free(old);
}

/* Waits for the next status_publish(). The caller holds the lock. */
static void wait_for_publication(void)
{
	int64_t until_us = clock_monotonic_us() + PUBLICATION_TIMEOUT_US;
	const struct timespec until = {
		.tv_sec = until_us / US_PER_S,
		.tv_nsec = until_us % US_PER_S * NS_PER_US,
	};
	uint64_t before = publications;

	atomic_store(&wanted, true);
	while (publications == before &&
	       !pthread_cond_clockwait(&replaced, &lock, CLOCK_MONOTONIC,
				       &until))
		;
}

char *status_copy(void)
{
	char *copy;

	pthread_mutex_lock(&lock);
	wait_for_publication();
	copy = mem_strdup(published ? published : "{}");
	pthread_mutex_unlock(&lock);
	return copy;
}

bool status_wanted(void)
{
	return atomic_load(&wanted);
}

bool status_ready(void)
{
	return atomic_load(&node_ready);
}
