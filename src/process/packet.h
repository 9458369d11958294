/**
 * @file packet.h
 * Datagrams between nodes on the wire: announcements of work, news, and
 * usage.
 */
#ifndef PROCESS_PACKET_H
#define PROCESS_PACKET_H

#include "duty/usage.h"
#include "process/news.h"
#include "process/work_share.h"

enum { PACKET_SIZE_MAX_BYTES = 1400 /**< fits one Ethernet frame */ };

typedef enum { PACKET_WORK, PACKET_NEWS, PACKET_USAGE } packet_type_t;

typedef struct {
	packet_type_t type;
	union {
		announcement_t work;
		news_t news;
		usage_report_t usage;
	} as;
} packet_t;

/**
 * An announcement with more work than fits leaves out the last items.
 * @return the size, or 0 if it does not fit
 */
size_t packet_encode(const packet_t *packet, uint8_t *data, size_t capacity);

/** Fills in @p packet, for packet_clear(). @return false if malformed */
bool packet_decode(packet_t *packet, const uint8_t *data, size_t size);
void packet_clear(packet_t *packet);

#endif
