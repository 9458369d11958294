/**
 * @file packet_announced.h
 * Encoding of what is in announced.h. Private to src/process/packet*.c.
 */
#ifndef PROCESS_PACKET_ANNOUNCED_H
#define PROCESS_PACKET_ANNOUNCED_H

#include "process/load_table.h"
#include "proto/work.pb-c.h"

/** The packed lists of one announcement, with the arrays of pointers that it
 * needs. */
typedef struct {
	Work__AccountLoad accounts[ANNOUNCED_ACCOUNTS_MAX];
	Work__AccountLoad *account_pointers[ANNOUNCED_ACCOUNTS_MAX];
	Work__Pace paces[ANNOUNCED_PACES_MAX];
	Work__Pace *pace_pointers[ANNOUNCED_PACES_MAX];
} packed_announced_t;

/** Packs the lists of @p message into @p announcement, which points to
 * @p packed afterwards. */
void packet_pack_announced(const announcement_t *message,
			   packed_announced_t *packed,
			   Work__Announcement *announcement);

/** Unpacks and bounds the lists of @p announcement. */
void packet_unpack_announced(const Work__Announcement *announcement,
			     announcement_t *message);

#endif
