/**
 * @file gateway_state.h
 * State of the gateway. Private to src/process/gateway*.c and
 * src/request/forward*.c.
 */
#ifndef PROCESS_GATEWAY_STATE_H
#define PROCESS_GATEWAY_STATE_H

#include "connection/client.h"
#include "connection/datagram.h"
#include "connection/listener.h"
#include "platform/client.h"
#include "duty/duties.h"
#include "process/backends.h"
#include "process/gateway.h"
#include "process/news.h"
#include "process/packet.h"
#include "process/work_share.h"
#include "request/retry.h"
#include "version/routing.h"

enum { KINDS_WATCHED = LOAD_VIEWS, SERVICES_MAX = 64 };

/** Follows one kind of objects in the platform's store. */
typedef struct {
	gateway_t *gateway;
	platform_kind_t kind;
	ev_timer next; /**< starts the next call outside of callbacks */
	bool calling;
	bool listed; /**< a full listing was read; now the changes are watched
		      */
	int64_t listed_us; /**< when the listing was complete */
	bool watched; /**< a watch was answered since the start */
	char after[PLATFORM_NEXT_SIZE_BYTES];
	int64_t revision; /**< of the store, to which the view is complete */
	int64_t called_boot_us; /**< start of the last call */
	int64_t wait_ms; /**< of the last watch */
	int64_t confirmed_boot_us; /**< the view was complete then; 0: never */
	int32_t failures; /**< in a row */
	news_log_t *log; /**< recent changes, for the nodes that follow */
	bool following; /**< the last check found no need to watch */
	bool takes_over; /**< the last call was the first for others */
} view_t;

/** Second sends to one service. */
typedef struct {
	char service[NAME_SIZE_BYTES];
	retry_budget_t budget;
} service_budget_t;

/** Another node. */
typedef struct {
	char address[URL_SIZE_BYTES];
	char data_centre[NAME_SIZE_BYTES];
	uint64_t hash;
	/* Revisions of the views that were last sent, and since when some of
	 * what was sent is not acknowledged. */
	int64_t told_revisions[KINDS_WATCHED];
	int64_t told_us[KINDS_WATCHED];
} peer_t;

/** Where a graceful stop stands. */
typedef enum {
	STOP_NONE,
	STOP_NOTICE, /**< the load balancer has not noticed yet */
	STOP_FINISHING /**< no new streams */
} stop_phase_t;

struct gateway {
	node_settings_t settings;
	struct ev_loop *loop;
	client_t *client;
	platform_t *platform;
	listener_t *callers, *ready, *metrics;
	datagram_t *datagram;

	routing_t *routing; /**< NULL: none known yet */
	backends_t *backends;
	load_table_t *share;
	duties_t *duties; /**< NULL: the platform has none */
	view_t views[KINDS_WATCHED];

	service_budget_t budgets[SERVICES_MAX];
	size_t budget_count;
	int32_t nodes; /**< that share the limits */
	uint64_t random;

	struct forward *forwards; /**< requests in progress */
	size_t forward_count;
	struct reservation *reservations; /**< of engine memory */
	char ticket_prefix[NAME_SIZE_BYTES]; /**< unique to this process */
	int64_t body_bytes; /**< of all requests in progress */

	peer_t *peers;
	size_t peer_count;
	ev_timer announce, registry;
	bool announce_due; /**< the work changed since the last announcement */
	int64_t announced_us;
	uint64_t incarnation, sequence;
	ev_timer news; /**< sends changes to the nodes that follow */
	int64_t news_us; /**< when news were last received; 0: never */
	/** Until when servers whose entries are missing may return, by the own
	 * view of the platform and by the last news. */
	int64_t keep_until_us, told_keep_until_us;
	bool registered; /**< the own entry in the list of nodes is there */
	int32_t registry_reads;

	stop_phase_t stop;
	int64_t stop_started_us;
	ev_timer stop_timer;
	ev_timer reach; /**< looks which data centres are silent */
	int64_t reach_checked_us;
	ev_timer expiry; /**< removes servers that did not return */
	bool was_ready;
};

/* gateway_apply.c */
/** Applies one object of a view. @param keep_until_us see backends_remove() */
void gateway_apply(view_t *view, const platform_object_t *object,
		   int64_t keep_until_us);
/** @return the version in force, -1 if none is known yet. */
int64_t gateway_routing_version(const gateway_t *gateway);

/* gateway_views.c */
void gateway_views_start(gateway_t *gateway);
void gateway_views_stop(gateway_t *gateway);
/** Whether routes and servers are known. */
bool gateway_has_views(const gateway_t *gateway);
/** Whether the keys of accounts were confirmed lately enough. */
bool gateway_keys_valid(const gateway_t *gateway);

/** @return until when a server without an entry is kept; 0: not at all. */
int64_t gateway_keep_until_us(const gateway_t *gateway);
/** Reads the objects of a view anew, after a pause. */
void gateway_relist(view_t *view, int64_t delay_ms);
/** The view was complete at this time. */
void gateway_confirm(view_t *view, int64_t boot_us);

/** The platform can be reached again: views that failed try it soon. */
void gateway_retry_views(gateway_t *gateway);
/** Another node reaches the platform, which this one did not. */
void gateway_end_outage(view_t *view);

/* gateway_follow.c */
/** Whether other nodes of the region watch a kind for this one. */
bool gateway_follows(const view_t *view);
/** Whether this node watches for others. */
bool gateway_is_followed(const gateway_t *gateway);
/** Whether the calls of a view fail for more than a lost answer. */
bool gateway_is_outage(const view_t *view);
/** Whether the platform answers this node. */
bool gateway_reaches_store(const gateway_t *gateway);
/** Whether nodes are listed, but none of them is heard of. */
bool gateway_is_cut_off(const gateway_t *gateway);
/** Whether another node told news lately: the platform answers some nodes. */
bool gateway_hears_news(const gateway_t *gateway);
/** Whether this node is one of the first in its region, and sound. */
bool gateway_is_publisher(const gateway_t *gateway);
/** Whether this node is among those that try a platform that fails. */
bool gateway_asks_for_others(const gateway_t *gateway);
/** Within this time a change of the kind must be in force. */
int64_t gateway_bound_us(const view_t *view);
/** Tells the nodes that follow, now. */
void gateway_send_news(gateway_t *gateway);
/** There are changes to tell, soon. */
void gateway_news_due(gateway_t *gateway);
void gateway_receive_news(gateway_t *gateway, const news_t *news);
/** Notes an object that a watch returned, for the nodes that follow. */
void gateway_log_change(view_t *view, const platform_object_t *object,
			int64_t revision, int64_t keep_until_us);

/* gateway_peers.c */
bool gateway_peers_start(gateway_t *gateway, err_t *err);
void gateway_peers_stop(gateway_t *gateway);
/**
 * The work of this node changed, or it has news.
 * @param urgent others must know before they choose servers: it grew
 */
void gateway_load_changed(gateway_t *gateway, bool urgent);
/** @return the longest pause between two announcements. */
int64_t gateway_announce_pause_us(const gateway_t *gateway);
/** Announces to one node, so that it knows which of its news arrived. */
void gateway_acknowledge(gateway_t *gateway, uint64_t node);

/** Sends a datagram to the nodes that ask for duties, or have them. */
void gateway_send_to_duty_nodes(gateway_t *gateway, const packet_t *packet);

/* gateway_reach.c */
/** Starts to look which data centres can be reached. */
void gateway_reach_start(gateway_t *gateway);
void gateway_reach_stop(gateway_t *gateway);

/* gateway_probes.c */
bool gateway_probes_start(gateway_t *gateway, err_t *err);
void gateway_probes_stop(gateway_t *gateway);
bool gateway_is_ready(gateway_t *gateway);

/* gateway.c */
/** Counts a request to a service. */
void gateway_count_request(gateway_t *gateway, const char *service);
/** Takes one second send to a service; false if the share is used up. */
bool gateway_take_retry(gateway_t *gateway, const char *service);
uint64_t gateway_random(gateway_t *gateway);

#endif
