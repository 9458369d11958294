/**
 * @file orphans.h
 * Finds orphaned streams on backend servers and cancels each of them until the
 * server no longer lists it.
 *
 * A stream is orphaned when the VM of its node runs a process with another
 * incarnation, or when that VM is not in the platform's list and not alive in
 * the membership view. A VM that is only unreachable may still serve its
 * callers, so its streams stay. Pure: time is an argument.
 */
#ifndef PROCESS_ORPHANS_H
#define PROCESS_ORPHANS_H

#include <stdbool.h>
#include <stddef.h>

#include "request/stream_id.h"

/**
 * Time for which an orphaned stream of a known VM must be listed before it is
 * cancelled. The streams of a new process may be listed before its first
 * heartbeat arrives, and that heartbeat may be late by the time after which a
 * member is suspect and then dead.
 */
#define ORPHAN_GRACE_US (5 * US_PER_S)

/**
 * Time for which a stream of a VM that was never seen alive must be listed
 * before it is cancelled. It is longer than ORPHAN_GRACE_US because the
 * platform's VM list lags, and the VM's first heartbeat may not have arrived.
 */
#define ORPHAN_UNKNOWN_GRACE_US (60 * US_PER_S)

/**
 * Time after which the cancellation of a stream is sent again, because it may
 * have been lost. The list of streams is read about as often.
 */
#define ORPHAN_REPEAT_US US_PER_S

/**
 * Upper bound of the orphaned streams that are tracked at once. Further streams
 * are tracked when a later list shows them and there is a free entry.
 */
enum { ORPHAN_STREAMS_MAX = 100000 };

/** The orphaned streams and what is known of the nodes. */
typedef struct orphans orphans_t;

orphans_t *orphans_create(void);
void orphans_destroy(orphans_t *orphans);

/** Sets the incarnation of the process that sends heartbeats from a VM. */
void orphans_node_alive(orphans_t *orphans, const char *vm_id,
			uint64_t incarnation);

/** Records that the membership view has the VM as dead. */
void orphans_node_dead(orphans_t *orphans, const char *vm_id);

/** Replaces the platform's VM list, which has the VMs of all data centres. */
void orphans_set_vms(orphans_t *orphans, const char *const *vm_ids,
		     size_t count);

/**
 * Applies the complete list of streams of a server. Ids that stream_id_parse()
 * does not accept belong to other programs: these streams are never cancelled.
 */
void orphans_apply_list(orphans_t *orphans, const char *server,
			const char *const *ids, size_t count, int64_t now_us);

/**
 * Removes the streams of a server that left the configuration or restarted:
 * these streams no longer exist.
 */
void orphans_remove_server(orphans_t *orphans, const char *server);

/**
 * A stream to cancel. The strings are valid until the next call of a function
 * of this header.
 */
typedef struct {
	const char *server;
	const char *id;
} orphan_cancel_t;

/**
 * Takes the next stream whose cancellation is due.
 * @return false if no cancellation is due at @p now_us
 */
bool orphans_next_cancel(orphans_t *orphans, orphan_cancel_t *cancel,
			 int64_t now_us);

/** @return the number of tracked orphaned streams. */
size_t orphans_count(const orphans_t *orphans);

#endif
