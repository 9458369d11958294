/**
 * @file packet.h
 * Wire format of datagrams between nodes: load announcements, view updates and
 * usage reports.
 */
#ifndef PROCESS_PACKET_H
#define PROCESS_PACKET_H

#include "duty/usage.h"
#include "process/view_update.h"
#include "process/load_table.h"

enum { PACKET_SIZE_MAX_BYTES = 1400 /**< fits one Ethernet frame */ };

typedef enum { PACKET_LOAD, PACKET_VIEW_UPDATE, PACKET_USAGE } packet_type_t;

typedef struct {
	packet_type_t type;
	union {
		announcement_t load;
		view_update_t update;
		usage_message_t usage;
	} as;
} packet_t;

/**
 * Encodes a datagram. An announcement with more load than fits leaves out the
 * last items.
 * @return the size; 0: the datagram does not fit
 */
size_t packet_encode(const packet_t *packet, uint8_t *data, size_t capacity);

/**
 * Decodes a datagram into @p packet; release it with packet_clear().
 * @return false if the datagram is malformed
 */
bool packet_decode(packet_t *packet, const uint8_t *data, size_t size);
void packet_clear(packet_t *packet);

#endif
