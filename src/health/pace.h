/**
 * @file pace.h
 * Paces of servers: by which factor a server is slower than its stated time
 * model. Pure: no clock, no I/O.
 *
 * Meant for a fleet in which single servers, or a third of them, become several
 * times slower while many nodes use them. A node sees few answers of a server,
 * and its predictions miss load that other nodes have not announced. Nodes
 * therefore announce what they measured, and apply a pace that several nodes
 * agree on. Measurements fade; a slow server that is not used is tried again
 * with one request of a node at a time.
 */
#ifndef HEALTH_PACE_H
#define HEALTH_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/announced.h"

typedef struct pace_table pace_table_t;

/** Least slowdown factor that is applied. */
#define PACE_SLOW_MIN 1.3
/** Greatest slowdown factor that is measured, believed and applied. */
#define PACE_MAX 6.0

pace_table_t *pace_create(void);
/** @param table may be NULL */
void pace_destroy(pace_table_t *table);

/**
 * Sets the fleet, over which trials of slow servers are spread.
 * @param own   hash of this node's id
 * @param nodes number of nodes
 */
void pace_set_nodes(pace_table_t *table, uint64_t own, size_t nodes);

/**
 * Records a first event.
 * @param server       hash of the server and its start, as in pace_report_t
 * @param actual_us    time from sending the request to its first event
 * @param predicted_us the same, predicted for a server of the stated speed, at
 *                     which all load was known
 */
void pace_note_first_event(pace_table_t *table, uint32_t server,
			   double actual_us, double predicted_us,
			   int64_t now_us);
/**
 * Records the time between two events of a stream.
 * @param expected_us gap by the time model
 */
void pace_note_gap(pace_table_t *table, uint32_t server, double actual_us,
		   double expected_us, int64_t now_us);
/** Records that a request was sent: a slow server gets one for a trial. */
void pace_note_sent(pace_table_t *table, uint32_t server, int64_t now_us);
/** Discards what was measured before a restart. */
void pace_restart(pace_table_t *table, uint32_t server, int64_t now_us);

/**
 * Records what another node announced. Values out of bounds are cut off.
 * @param node hash of the node's id
 */
void pace_receive(pace_table_t *table, uint64_t node,
		  const pace_report_t *report, int64_t now_us);
/**
 * Lists measurements of this node for an announcement, in turn: those of
 * servers that any node finds slow, or found slow recently.
 * @return number of entries
 */
size_t pace_list(pace_table_t *table, pace_report_t *reports, size_t max,
		 int64_t now_us);

/** @return slowdown factor to apply, 1 to PACE_MAX. */
double pace_slowdown(pace_table_t *table, uint32_t server, int64_t now_us);

/** Receives that a server turned slow, or no longer counts as slow. */
typedef void (*pace_changed_t)(void *context, uint32_t server, double slowdown);
/**
 * Removes what has faded, and reports what changed since the last call; of many
 * changes, some at later calls.
 * @return number of servers that count as slow
 */
size_t pace_check(pace_table_t *table, pace_changed_t changed, void *context,
		  int64_t now_us);

#endif
