/**
 * @file gateway_state.h
 * State of the gateway. Private to src/process/gateway*.c,
 * src/request/forward*.c and src/duty/.
 */
#ifndef PROCESS_GATEWAY_STATE_H
#define PROCESS_GATEWAY_STATE_H

#include "admission/account_load.h"
#include "connection/client.h"
#include "connection/datagram.h"
#include "connection/listener.h"
#include "platform/client.h"
#include "duty/duties.h"
#include "health/outage.h"
#include "process/backends.h"
#include "process/gateway.h"
#include "process/view_update.h"
#include "process/packet.h"
#include "process/load_table.h"
#include "process/retry_share.h"
#include "request/retry.h"
#include "version/routing.h"
#include "zone/far_pace.h"

enum {
	KINDS_WATCHED = LOAD_VIEWS,
	SERVICES_MAX = 64,
	/* Nodes that are remembered because a relayed request failed there. */
	RELAY_FAILURES_MAX = 16
};

/** This node's copy of one kind of objects in the platform's store. */
typedef struct {
	gateway_t *gateway;
	platform_kind_t kind;
	ev_timer next; /**< starts the next call outside of callbacks */
	bool calling;
	bool listed; /**< a full listing was read, changes are watched */
	int64_t listed_us; /**< when the listing was complete */
	bool watched; /**< a watch was answered since the process started */
	/** `next` of the last page of a listing; empty: no page was read. */
	char after[PLATFORM_NEXT_SIZE_BYTES];
	bool restored; /**< the next listing is the first one after the store
			  came back from a copy */
	int64_t revision; /**< store revision to which the view is complete */
	int64_t called_boot_us; /**< start of the last call */
	int64_t wait_ms; /**< longest wait of the last watch */
	/** Last time at which the view was complete; 0: never. */
	int64_t confirmed_boot_us;
	int32_t failures; /**< failed calls in a row */
	change_log_t *log; /**< recent changes, for subscribers */
	/** The last check found that view updates replace a watch. */
	bool subscribed;
	/** The last call was the node's first watch as publisher. */
	bool takes_over;
	/** Node (hash of its id) whose view update announced what this node
	 * fetches, and when; 0: none did. */
	uint64_t told_by;
	int64_t told_us;
} view_t;

enum { STORE_PROBES_MAX = 4 };

/** A call that finds out if the store answers. */
typedef struct {
	gateway_t *gateway;
	int64_t sent_boot_us; /**< 0: not in flight */
} store_probe_t;

/** Retry budget of one service. */
typedef struct {
	char *service;
	retry_budget_t budget;
} service_budget_t;

/** Another gateway node of the fleet. */
typedef struct {
	char address[URL_SIZE_BYTES];
	char data_centre[NAME_SIZE_BYTES];
	uint64_t hash; /**< hash of the node's id */
	char relay_address[URL_SIZE_BYTES]; /**< where the node takes requests
					     * of others; empty: nowhere */
	char relay_key[RELAY_KEY_SIZE_BYTES];
	/* For each view: the revision that was last sent, and since when
	 * changes that were sent are not acknowledged. */
	int64_t sent_revisions[KINDS_WATCHED];
	int64_t unacked_since_us[KINDS_WATCHED];
} peer_t;

/** A relayed request that failed. */
typedef struct {
	uint64_t node; /**< hash of the id of the node it was sent to */
	int64_t at_us;
} relay_failure_t;

/** Phase of a graceful stop. */
typedef enum {
	STOP_NONE,
	STOP_NOTICE, /**< the load balancer has not noticed the stop yet */
	STOP_FINISHING, /**< the node accepts no requests that may outlast it */
	STOP_ENDED, /**< all requests were ended; their answers are being sent,
		     * and no request starts */
	STOP_CLOSED /**< the event loop ends */
} stop_phase_t;

struct gateway {
	node_settings_t settings;
	struct ev_loop *loop;
	client_t *client;
	platform_t *platform;
	listener_t *callers, *ready, *metrics;
	listener_t *relayed; /**< requests of other nodes; NULL: none */
	char relay_key[RELAY_KEY_SIZE_BYTES]; /**< key of these requests */
	int32_t relayed_count; /**< of them in progress */
	relay_failure_t relay_failures[RELAY_FAILURES_MAX];
	size_t relay_failure_count; /**< all so far; the ring has the last */
	datagram_t *datagram;

	/** Version of the routing configuration that the store has. */
	int64_t stored_version;
	routing_t *routing; /**< NULL: no configuration was read yet */
	int64_t routing_applied_us;
	backends_t *backends;
	load_table_t *load_table;
	account_load_t *accounts; /**< use of services by client accounts */
	segment_table_t *segments; /**< what crashes servers */
	duties_t *duties; /**< NULL: the platform has no duties */
	view_t views[KINDS_WATCHED];

	service_budget_t budgets[SERVICES_MAX];
	size_t budget_count;
	int32_t nodes; /**< nodes of the fleet, which divide the limits among
			  themselves; 0: not known yet */
	/** Nodes that divide the retries: the most that were listed beside this
	 * one, as those that left the list may go on; 0: not known yet. */
	int32_t retry_nodes;
	retry_share_t retry_share; /**< at the last announcement */
	uint64_t random;

	struct forward *forwards; /**< proxied requests in progress */
	size_t forward_count;
	struct reservation *reservations; /**< reservations of engine memory */
	/** Prefix of the ids of memory leases, unique to this process. */
	char mem_lease_prefix[NAME_SIZE_BYTES];
	/** Size of the bodies of all requests in progress. */
	int64_t body_bytes;
	/** Size of the answers that are held until they are complete. */
	int64_t held_bytes;

	peer_t *peers;
	size_t peer_count;
	ev_timer announce, registry;
	bool announce_due; /**< the load changed since the last announcement */
	int64_t announced_us;
	far_pace_t far_pace; /**< announcements to other data centres */
	uint64_t incarnation, sequence;
	int64_t started_us;
	ev_timer update_timer; /**< sends changes to subscribers */
	int64_t last_update_us; /**< when an update last arrived; 0: never */
	/**
	 * End of the grace period in which servers without an entry may return,
	 * by this node's own view of the platform and by the last view update;
	 * 0: none.
	 */
	int64_t grace_until_us, received_grace_until_us;
	outage_t outage; /**< of the store, as this node's calls show it */
	ev_timer store_probe_timer; /**< active while calls to the store fail */
	store_probe_t store_probes[STORE_PROBES_MAX];
	/** Nodes that the list of nodes lacks are kept until then. */
	int64_t keep_peers_until_us;
	bool registered; /**< the list of nodes holds this node's entry */
	bool entry_known; /**< the store said if this node had an entry */
	bool is_first; /**< it had none: the node never ran before */
	int32_t registry_reads;

	stop_phase_t stop;
	int64_t stop_started_us;
	int64_t stop_ms; /**< longest stop, by the settings when it began */
	int64_t stop_closes_us; /**< latest end of STOP_ENDED */
	ev_timer stop_timer;
	ev_timer reach; /**< checks which data centres are silent */
	int64_t reach_checked_us;
	ev_timer expiry; /**< removes servers that did not return in time */
	bool was_ready;
};

/* gateway_apply.c */
/**
 * Applies one object of a view.
 * @param grace_until_us see backends_remove()
 */
void gateway_apply(view_t *view, const platform_object_t *object,
		   int64_t grace_until_us);
/** @return the version of the routing configuration in force; -1: none yet */
int64_t gateway_routing_version(const gateway_t *gateway);

/* gateway_views.c */
void gateway_views_start(gateway_t *gateway);
void gateway_views_stop(gateway_t *gateway);
/** Reads all views again after the store came back from a copy. */
void gateway_views_restored(gateway_t *gateway);
/** @return true if routes and servers are known */
bool gateway_has_views(const gateway_t *gateway);
/** @return true if the keys of accounts were confirmed recently enough */
bool gateway_keys_valid(const gateway_t *gateway);

/** @return the end of the grace period of servers without an entry; 0: none */
int64_t gateway_grace_until_us(const gateway_t *gateway);
/** Reads all objects of a view again, after a delay. */
void gateway_relist(view_t *view, int64_t delay_ms);
/** Notes that the view was complete at @p boot_us on CLOCK_BOOTTIME. */
void gateway_confirm(view_t *view, int64_t boot_us);

/** Lets views that failed call the platform soon, since it answers again. */
void gateway_retry_views(gateway_t *gateway);
/** Ends the outage of a view after a view update of another node. */
void gateway_end_outage(view_t *view);
/** Calls the store now for all views but @p except, which may be NULL; calls in
 * flight may never be answered. */
void gateway_call_views(gateway_t *gateway, const view_t *except);

/* gateway_outage.c */
/**
 * Notes a call of a view that the store did not answer.
 * @param is_silent see outage_note_failure()
 */
void gateway_note_store_failure(gateway_t *gateway, int64_t sent_boot_us,
				bool is_silent);
/**
 * Notes a call of a view that the store answered; after an outage, the grace
 * period of servers without an entry begins.
 * @return true if this node was probing the store
 */
bool gateway_note_store_answer(gateway_t *gateway, int64_t sent_boot_us);
/** Ends an outage of this node's calls after a view update of another node. */
void gateway_end_store_outage(gateway_t *gateway);
/** @return true if this node finds out by probes when the store answers; others
 * wait for the view updates of those that do */
bool gateway_probes_store(const gateway_t *gateway);
/** Starts probes, which call the views as soon as the store answers. */
void gateway_start_store_probes(gateway_t *gateway, int64_t delay_ms);
void gateway_stop_store_probes(gateway_t *gateway);

/* gateway_updates.c */
/** @return true if view updates of others replace this node's own watch */
bool gateway_is_subscriber(const view_t *view);
/** @return true if this node watches the store for other nodes */
bool gateway_has_subscribers(const gateway_t *gateway);
/**
 * @return true if more calls of a view failed in a row than a lost answer
 *   explains
 */
bool gateway_in_outage(const view_t *view);
/** @return true if the platform's store answers this node */
bool gateway_reaches_store(const gateway_t *gateway);
/**
 * @return true if the list of nodes names many nodes of this node's region, but
 *   none of them sends it announcements
 */
bool gateway_is_partitioned(const gateway_t *gateway);
/**
 * @return true if a view update arrived recently: the platform answers some
 *   nodes
 */
bool gateway_receives_updates(const gateway_t *gateway);
/**
 * @return true if the store answers this node, and the node is one of the first
 *   in its region by load_table_rank(), or replaces publishers that fell silent
 */
bool gateway_is_publisher(const gateway_t *gateway);
/**
 * @return true if this node calls a failing platform often, to find out for the
 *   rest of its region when it answers again; in a small region each node does
 */
bool gateway_retries_for_others(const gateway_t *gateway);
/** @return the time within which a change of this kind must be in force */
int64_t gateway_bound_us(const view_t *view);
/** Sends view updates to all subscribers now. */
void gateway_send_updates(gateway_t *gateway);
/** Sends view updates to all subscribers soon, together with later changes. */
void gateway_schedule_updates(gateway_t *gateway);
void gateway_receive_update(gateway_t *gateway, const view_update_t *update);
/** Adds an object that a watch returned to the change log, for subscribers. */
void gateway_log_change(view_t *view, const platform_object_t *object,
			int64_t revision, int64_t grace_until_us);

/* gateway_peers.c */
bool gateway_peers_start(gateway_t *gateway, err_t *err);
void gateway_peers_stop(gateway_t *gateway);
/** Writes this node's entry again after the store came back from a copy. */
void gateway_peers_restored(gateway_t *gateway);
/**
 * Schedules an announcement: the load of this node, or other state that it
 * announces, changed.
 * @param urgent the load grew: others must know before they choose servers
 */
void gateway_load_changed(gateway_t *gateway, bool urgent);
/** @return the longest pause between two announcements */
int64_t gateway_announce_pause_us(const gateway_t *gateway);
/** Announces to one node, which may not be listed. */
void gateway_announce_to(gateway_t *gateway, const peer_t *peer);
/** Announces to one node, which learns which of its view updates arrived. */
void gateway_acknowledge(gateway_t *gateway, uint64_t node);

/** Sends a datagram to the nodes that request duties or hold them. */
void gateway_send_to_duty_nodes(gateway_t *gateway, const packet_t *packet);

/* gateway_retries.c */
/** @return this node's limits of retries now */
retry_limits_t gateway_retry_limits(const gateway_t *gateway);
/** Logs a change of this node's share of the retries. */
void gateway_check_retry_share(gateway_t *gateway);
/** @return what to announce: starts of processes within the window of retries;
 * -1: this process started within it */
int32_t gateway_announced_starts(const gateway_t *gateway);

/* gateway_receive.c */
/** Handles a datagram of another node; the context is the gateway. */
void gateway_on_datagram(void *context, const uint8_t *data, size_t size);

/* gateway_crashes.c */
/** Does what is due in the table of what crashes servers. */
void gateway_check_crashes(gateway_t *gateway, int64_t now_us);
/**
 * Logs what was found to crash servers since the last call.
 * @param source the request or node that decided it
 */
void gateway_log_blocked(gateway_t *gateway, const char *source);

/* gateway_reach.c */
/** Asks a server for its health, to find out if it is alive. */
void gateway_probe(gateway_t *gateway, backend_t *server);
/** Starts to check which data centres can be reached. */
void gateway_reach_start(gateway_t *gateway);
void gateway_reach_stop(gateway_t *gateway);

/* gateway_relay.c */
/** Opens the listener for requests that other nodes pass on. */
bool gateway_relay_start(gateway_t *gateway, err_t *err);
void gateway_relay_stop(gateway_t *gateway);
/** @return most requests of other nodes at a time */
int32_t gateway_relayed_max(const gateway_t *gateway);
/** @param key may be NULL @return true if @p key is this node's relay key */
bool gateway_relay_key_is(const gateway_t *gateway, const char *key);

typedef struct {
	const char *service; /**< service that the node must reach */
	const uint64_t *except; /**< nodes not to be used */
	size_t except_count;
} relay_query_t;

/**
 * Chooses, at random, another node of the region that takes requests and seems
 * to reach the servers of a service.
 * @return NULL: there is none
 */
const peer_t *gateway_choose_relay(gateway_t *gateway,
				   const relay_query_t *query);
/** Records that a node did not answer a relayed request. */
void gateway_note_relay_failed(gateway_t *gateway, uint64_t node);

/* gateway_probes.c */
bool gateway_probes_start(gateway_t *gateway, err_t *err);
void gateway_probes_stop(gateway_t *gateway);
bool gateway_is_ready(gateway_t *gateway);

/* gateway_explain.c */
/**
 * Answers where a request would be placed now, and why, as JSON: GET
 * /explain?service=NAME or route=HOST/PATH, with prompt=TOKENS, output=TOKENS
 * and account=NAME. Changes nothing.
 */
void gateway_explain(gateway_t *gateway, exchange_t *exchange);

/* gateway.c */
/** Counts a request to a service for its retry budget. */
void gateway_count_request(gateway_t *gateway, const char *service);
/**
 * Takes one retry from the budget of a service.
 * @return false if the budget is used up
 */
bool gateway_take_retry(gateway_t *gateway, const char *service);
uint64_t gateway_random(gateway_t *gateway);

/* gateway_stop.c */
/** @return the name of a phase, for the log. */
const char *gateway_stop_text(stop_phase_t phase);
/** @return when a graceful stop that has begun ends all requests. */
int64_t gateway_stops_at_us(const gateway_t *gateway);

#endif
