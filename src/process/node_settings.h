/**
 * @file node_settings.h
 * Settings of an entry node that serves routes of the platform.
 *
 * Filled in by platform/settings.c. Bounds are those that the platform states
 * for the deployment; times that this program derives from them are in the
 * modules that use them.
 */
#ifndef PROCESS_NODE_SETTINGS_H
#define PROCESS_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"
#include "process/region.h"

typedef struct {
	char node_id[NAME_SIZE_BYTES];
	char data_centre[NAME_SIZE_BYTES];
	region_t region; /**< with the own data centre */
	char caller_address[URL_SIZE_BYTES]; /**< IP:PORT for callers */
	char ready_address[URL_SIZE_BYTES]; /**< IP:PORT of the readiness probe
					     */
	char peer_address[URL_SIZE_BYTES]; /**< IP:PORT between nodes, UDP */
	char metrics_address[URL_SIZE_BYTES]; /**< IP:PORT; empty: none */
	char platform_url[URL_SIZE_BYTES];

	int64_t memory_limit_bytes; /**< the process is killed above it */
	int32_t descriptors_max;
	double link_mbps; /**< of the VM's network link */

	int64_t stop_ms; /**< from SIGTERM until the process is killed */
	/* Within these times of the store's acknowledgement a change is in
	 * force. */
	int64_t config_apply_ms; /**< the routing configuration */
	int64_t drain_ms; /**< a server that leaves */
	int64_t evacuate_ms; /**< a data centre out of service */
	int64_t key_revoke_ms; /**< until a removed key must be refused */
	bool keys_expire; /**< refuse keys that cannot be confirmed in time */

	double retry_ratio; /**< second sends of a request, of all requests */
	int32_t retry_slack; /**< second sends beyond the ratio, in a window */
	int64_t retry_window_ms;

	/* Duties of one node at a time, such as orders for servers. */
	char duty_url[URL_SIZE_BYTES]; /**< of the platform; empty: none */
	char duties[URL_SIZE_BYTES]; /**< names, joined by commas */
	int64_t duty_lease_ms; /**< in which no other node may act after one */
	int64_t usage_window_ms; /**< of the reports of usage */
	int64_t usage_delay_ms; /**< from its end until one is due */

	double cold_factor; /**< tolerated over the rate of a cold server */
	int32_t cold_slack; /**< requests beyond it, in a second */

	int64_t reservation_max_ms; /**< longest lease of engine memory */
	int64_t reservation_free_ms; /**< until one must be released after use
				      */
} node_settings_t;

#endif
