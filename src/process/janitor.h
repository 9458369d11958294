/**
 * @file orphans.h
 * Finds streams on servers whose holder is gone, and cancels them until the
 * server no longer lists them.
 *
 * A holder is gone when its VM runs a process with another incarnation, or
 * when the VM is not in the platform's list and not alive in the membership
 * view. A VM that only cannot be reached may still serve its callers. Pure.
 */
#ifndef PROCESS_JANITOR_H
#define PROCESS_JANITOR_H

#include <stdbool.h>
#include <stddef.h>

#include "request/stream_id.h"

/** A new process's streams may be listed before its first heartbeat, and
 * its heartbeat be late by the time after which it is suspect and dead. */
#define JANITOR_GRACE_US (5 * US_PER_S)

/** The platform's list lags, and a VM may not have been heard of yet. */
#define JANITOR_UNKNOWN_GRACE_US (60 * US_PER_S)

/** A cancellation may be lost; the list is read about as often. */
#define JANITOR_REPEAT_US US_PER_S

/** Streams that are watched at once; further ones wait for the next list. */
enum { JANITOR_STREAMS_MAX = 100000 };

typedef struct orphans janitor_t;

janitor_t *janitor_create(void);
void janitor_destroy(janitor_t *orphans);

/** The process of a VM, as its heartbeats say. */
void janitor_holder_seen(janitor_t *orphans, const char *vm_id,
			 uint64_t incarnation);

/** The membership view says that the VM is dead. */
void janitor_holder_dead(janitor_t *orphans, const char *vm_id);

/** The platform's complete list of VMs, over all data centres. */
void janitor_vm_list(janitor_t *orphans, const char *const *vm_ids,
		     size_t count);

/**
 * Takes in the complete list of streams of a server. Ids of another form are
 * not ours and stay.
 */
void janitor_list(janitor_t *orphans, const char *server,
		  const char *const *ids, size_t count, int64_t now_us);

/** The server left the configuration or restarted: its streams are gone. */
void janitor_forget(janitor_t *orphans, const char *server);

/** One stream to cancel; strings are valid until the next call. */
typedef struct {
	const char *server;
	const char *id;
} janitor_cancel_t;

/** Takes the next cancellation; false if there is none now. */
bool janitor_next(janitor_t *orphans, janitor_cancel_t *cancel, int64_t now_us);

/** @return streams whose holder is gone. */
size_t janitor_count(const janitor_t *orphans);

#endif
