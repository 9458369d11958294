/**
 * @file digest.h
 * Chooses which load figures a node sends to the other nodes.
 *
 * The owner of a server requests its load reports and sends the figures to the
 * other nodes. At the target (14 owned servers, 31 receivers), sending every
 * report would cost over 100 KB/s. A report is therefore sent only if its
 * figures changed or the last report sent is old, within a budget of bytes per
 * second.
 * Pure: time is an argument.
 */
#ifndef PROCESS_DIGEST_H
#define PROCESS_DIGEST_H

#include <stdbool.h>
#include <stddef.h>

#include "process/load.h"

enum {
	/**
	 * A node may send 8 KB/s of control traffic: about half of this is for
	 * load figures, the rest for heartbeats.
	 */
	DIGEST_BYTES_PER_S = 3500,
	/** Size of the entry of one server with one model name. */
	DIGEST_ENTRY_BYTES = 60,
	DIGEST_HEADER_BYTES = 40 /**< envelope of a message */
};

typedef struct digest digest_t;

digest_t *digest_create(void);
void digest_destroy(digest_t *digest);

/** Stores the newest load report of a server that this node owns. */
void digest_update(digest_t *digest, const load_report_t *report);

/** Forgets a server that was removed or that another node owns now. */
void digest_drop(digest_t *digest, const char *server);

/**
 * Makes the report of every server due again. Call when a member joins, since
 * the member has received no report yet.
 */
void digest_resend(digest_t *digest);

/**
 * Takes the reports to send now, the most urgent first.
 * @param receivers number of nodes that the message goes to
 * @param reports filled in
 * @return number of reports, at most @p capacity; 0: nothing to send now
 */
size_t digest_take(digest_t *digest, size_t receivers, int64_t now_us,
		   load_report_t *reports, size_t capacity);

#endif
