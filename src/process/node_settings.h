/**
 * @file node_settings.h
 * Settings of a node that serves routes of the platform.
 *
 * Filled in by platform/settings.c. The bounds are those that the platform
 * states for the deployment. Times that are derived from a bound are defined in
 * the module that uses them.
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
	region_t region; /**< nearby data centres, including that of this
			    node */
	char caller_address[URL_SIZE_BYTES]; /**< IP:PORT for callers */
	char ready_address[URL_SIZE_BYTES]; /**< IP:PORT of the readiness probe
					     */
	char peer_address[URL_SIZE_BYTES]; /**< IP:PORT between nodes, UDP */
	char metrics_address[URL_SIZE_BYTES]; /**< IP:PORT; empty: no metrics
					       */
	char relay_address[URL_SIZE_BYTES]; /**< IP:PORT for requests that other
					     * nodes pass on; empty: none */
	char platform_url[URL_SIZE_BYTES];

	int64_t memory_limit_bytes; /**< the process is killed above this */
	int32_t descriptors_max; /**< open file descriptors of the process */
	double link_mbps; /**< bandwidth of the VM's network link */

	int64_t stop_ms; /**< time from SIGTERM until the process is killed */
	/* Longest times from the store's acknowledgement of a change until the
	 * change is in force. */
	int64_t config_apply_ms; /**< a new routing configuration */
	int64_t drain_ms; /**< a server leaves the service */
	int64_t settle_ms; /**< after an outage, until these times hold again */
	int64_t evacuate_ms; /**< a data centre goes out of service */
	int64_t key_revoke_ms; /**< a removed key is refused */
	bool keys_expire; /**< refuse keys that cannot be confirmed in time */

	/** The servers do not state the rate of requests that they accept: the
	 * nodes themselves keep the load within the room. */
	bool controls_load;
	/** Delay accepted to keep a megabyte within its data centre. */
	int64_t traffic_price_us_per_mb;

	double retry_ratio; /**< retries allowed per request */
	int32_t retry_slack; /**< retries allowed above the ratio in a window */
	int64_t retry_window_ms; /**< time over which the retries are counted */

	/* Duties: tasks that one node at a time does at the platform for all
	 * nodes, such as ordering servers. */
	char duty_url[URL_SIZE_BYTES]; /**< platform's API; empty: no duties */
	char duties[URL_SIZE_BYTES]; /**< names of duties, joined by commas */
	int64_t duty_lease_ms; /**< after a node's action at the platform, no
				  other node may act for this time */
	int64_t usage_window_ms; /**< time that one usage report covers */
	int64_t usage_delay_ms; /**< time from the end of a usage window until
				   its report is due */

	double cold_factor; /**< tolerated multiple of a cold server's rate */
	int32_t cold_slack; /**< requests a second allowed above that rate */

	int64_t reservation_max_ms; /**< longest lease of engine memory */
	int64_t reservation_free_ms; /**< time from the end of the use of a
					memory lease until the lease must be
					released */
} node_settings_t;

#endif
