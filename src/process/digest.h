/**
 * @file digest.h
 * Chooses which load figures a node sends to the others of its data centre.
 *
 * The owner of a server reads its load and tells the other nodes. At the
 * target (14 owned servers, 31 receivers) sending everything at every read
 * would cost over 100 KB/s, so figures are sent when they changed or grow old,
 * within a budget of bytes. Pure: time is an argument.
 */
#ifndef PROCESS_DIGEST_H
#define PROCESS_DIGEST_H

#include <stdbool.h>
#include <stddef.h>

#include "process/load.h"

enum {
	/* Half of the 8 KB/s of control traffic; the rest is heartbeats. */
	DIGEST_BYTES_PER_S = 3500,
	DIGEST_ENTRY_BYTES = 60, /* one server with a model name */
	DIGEST_HEADER_BYTES = 40 /* envelope of a message */
};

typedef struct digest digest_t;

digest_t *digest_create(void);
void digest_destroy(digest_t *digest);

/** Notes the newest report of an owned server. */
void digest_update(digest_t *digest, const load_report_t *report);

/** Another node owns the server now, or it was removed. */
void digest_drop(digest_t *digest, const char *server);

/** A member joined: every server is due again. */
void digest_resend(digest_t *digest);

/**
 * Takes the reports to send now, the most urgent first.
 * @param receivers nodes that the message goes to
 * @return their number, at most @p capacity
 */
size_t digest_take(digest_t *digest, size_t receivers, int64_t now_us,
		   load_report_t *reports, size_t capacity);

#endif
