/**
 * @file control.h
 * Modules of the control task, which handles a node's configuration, members,
 * credits, dispatching and claims. Private to src/process/control*.c.
 */
#ifndef PROCESS_CONTROL_H
#define PROCESS_CONTROL_H

#include <ev.h>
#include <jansson.h>

#include "base/mailbox.h"
#include "connection/client.h"
#include "connection/peer_codec.h"
#include "platform/client.h"
#include "process/credit_holder.h"
#include "process/credit_owner.h"
#include "process/dispatch.h"
#include "process/drain.h"
#include "process/settings.h"
#include "process/task_msg.h"
#include "version/inforce.h"

typedef struct control_config control_config_t;
typedef struct control_load control_load_t;
typedef struct control_members control_members_t;
typedef struct control_credits control_credits_t;
typedef struct control_actions control_actions_t;
typedef struct control_warmup control_warmup_t;
typedef struct control_inflight control_inflight_t;
typedef struct control_orphans control_orphans_t;
typedef struct control_orders control_orders_t;
typedef struct control_cache control_cache_t;
typedef struct control_sweep control_sweep_t;
typedef struct control_shutdown control_shutdown_t;
typedef struct control_status control_status_t;

/** State of the control task and its modules. */
typedef struct control {
	settings_t settings;
	uint64_t incarnation; /**< incarnation of this process */
	struct ev_loop *loop;
	client_t *client;
	platform_t *platform;
	mailbox_t *mailbox;
	/** Array of settings.request_tasks senders. */
	mailbox_sender_t **request_tasks;
	inforce_t *inforce; /**< the configuration in force */
	credit_holder_t *holder; /**< credits that this node holds */
	credit_owner_t *owner; /**< credits that this node gives out */
	dispatch_t *dispatch;
	control_config_t *config;
	control_load_t *load;
	control_members_t *members;
	control_credits_t *credits;
	control_actions_t *actions;
	control_warmup_t *warmup;
	control_inflight_t *inflight;
	control_orphans_t *orphans;
	control_orders_t *orders;
	control_cache_t *cache;
	control_sweep_t *sweep;
	control_shutdown_t *shutdown;
	control_status_t *status;
	ev_timer tick; /**< calls the tick functions of the modules */
	ev_prepare before_wait; /**< sends new messages before a wait */
	bool closing; /**< received messages are discarded */
} control_t;

/* control_config.c: reads, watches and applies the configuration. */
control_config_t *control_config_create(control_t *control);
void control_config_destroy(control_config_t *config);

/** Starts to read and watch the configuration object. */
void control_config_start(control_config_t *config);

/**
 * Parses a document from the platform or a peer and puts it in force if it is
 * newer than the present one.
 * @param source where the document came from, for the log
 */
void control_config_offer(control_config_t *config, const char *text,
			  size_t size_bytes, const char *source);

/** @return true if the calls for the configuration failed for at least 1 s. */
bool control_config_failing(const control_config_t *config, int64_t now_us);

/**
 * Starts or ends the watch of the configuration after the members changed: only
 * the nodes chosen for it hold the watch.
 */
void control_config_update_watch(control_config_t *config);

/* control_load.c: reads the load reports of backend servers. */
control_load_t *control_load_create(control_t *control);
void control_load_destroy(control_load_t *load);

/** Replaces the list of servers by those of a new configuration. */
void control_load_configure(control_load_t *load, document_t *document);

/** Polls the servers that are due and sends the digest of their load. */
void control_load_tick(control_load_t *load, int64_t now_us);

/** Sends the load of all owned servers again, for a member that joined. */
void control_load_resend(control_load_t *load);

/** @return the servers and their load, for the status; the caller frees it. */
json_t *control_load_status(const control_load_t *load, int64_t now_us);

/** Applies the load of one server from another node's digest. */
void control_load_apply_entry(control_load_t *load, const peer_load_t *entry);

/*
 * control_duties.c, control_members.c, control_members_status.c,
 * control_receive.c, control_remote.c, control_vms.c: members of this data
 * centre, other data centres, messages between nodes.
 */

/** @return NULL with @p err set if the sockets to peers can't be opened. */
control_members_t *control_members_create(control_t *control, void *zmq,
					  err_t *err);
void control_members_destroy(control_members_t *members);
void control_members_tick(control_members_t *members, int64_t now_us);

/** Announces that this node is leaving. */
void control_members_leave(control_members_t *members);

/** @return true if this node is chosen to watch the configuration. */
bool control_members_watches(const control_members_t *members);

/** @return true if this node is chosen to send orders to the engines. */
bool control_members_reconciles(const control_members_t *members);

/** @return true if this node is chosen to remove old claims of all nodes. */
bool control_members_sweeps(const control_members_t *members);

/** @return the number of listed VMs in all data centres, at least 1. */
int32_t control_members_vm_count(const control_members_t *members);

/**
 * Finds the node that owns a resource of @p data_centre.
 * @param owner receives the VM id of the node
 * @return false if no node of the data centre can be reached
 */
bool control_members_owner(const control_members_t *members,
			   const char *data_centre, const char *key,
			   char owner[NAME_SIZE_BYTES]);

/** @return the incarnation of a member of any data centre, 0 if unknown. */
uint64_t control_members_incarnation(const control_members_t *members,
				     const char *vm_id);

/**
 * Fills in the VMs that may hold credits and the numbers of VMs by which the
 * credit owner divides its limits.
 * @param names    memory for the member names; must live as long as the view
 * @param capacity number of elements of @p names
 */
void control_members_view(const control_members_t *members, credit_view_t *view,
			  char (*names)[NAME_SIZE_BYTES], size_t capacity);

/** Sends a credit message to a member of any data centre. */
void control_members_send_credit(control_members_t *members, const char *vm_id,
				 const credit_msg_t *credit);

/** @return the number of nodes that the load digest is sent to. */
size_t control_members_receiver_count(const control_members_t *members);

/** Sends a load digest to the nodes of control_members_receiver_count(). */
void control_members_send_digest(control_members_t *members,
				 peer_load_t *servers, size_t count);

/** Sends the configuration in force to members that have an older one. */
void control_members_push_config(control_members_t *members);

/** @return the members of all data centres, for the status. */
json_t *control_members_status(const control_members_t *members);

/** @return the other data centres, for the status. */
json_t *control_members_data_centres(const control_members_t *members);

/*
 * Slots in a block of credits: only a few, so that one node does not hold all
 * the slots of a small server.
 */
enum { CREDIT_BLOCK_SLOTS = 4 };

/* control_credits.c: both sides of the credit protocol. */
control_credits_t *control_credits_create(control_t *control);
void control_credits_destroy(control_credits_t *credits);

/** Applies the resources and limits of a new configuration. */
void control_credits_configure(control_credits_t *credits,
			       document_t *document);

/** Finds the owner of each resource again after the members changed. */
void control_credits_reassign(control_credits_t *credits);

/**
 * Handles a credit message of a peer.
 * @param message its holder and holder_incarnation name the sender
 */
void control_credits_receive(control_credits_t *credits, credit_msg_t *message);

/**
 * Updates the credits of a server from its load report; ignored if this node
 * does not own the server.
 */
void control_credits_apply_report(control_credits_t *credits,
				  const load_report_t *report);

/** @return true if this node owns the credits of the server. */
bool control_credits_owns(const control_credits_t *credits, const char *server);

/** @return the VM id of a server's owner; empty if no owner is reachable. */
const char *control_credits_owner(const control_credits_t *credits,
				  const char *server);

void control_credits_tick(control_credits_t *credits, int64_t now_us);

/**
 * Passes messages between credit holder, credit owner and peers until there are
 * none.
 * @return true if the holder received an answer since the last call, so that
 *         waiting requests can be dispatched again
 */
bool control_credits_pump(control_credits_t *credits);

/* control_warmup.c: slow start of the servers that this node owns. */
control_warmup_t *control_warmup_create(control_t *control);
void control_warmup_destroy(control_warmup_t *warmup);

/** Adds a server that this node now owns, or applies its changed limits. */
void control_warmup_add(control_warmup_t *warmup, const server_conf_t *conf,
			bool retired);

/** Removes a server that this node no longer owns; ignores others. */
void control_warmup_remove(control_warmup_t *warmup, const char *server);

/** Updates the slow start of an owned server from its load report. */
void control_warmup_apply_report(control_warmup_t *warmup,
				 const load_report_t *report);

/** Updates the limits from the requests that completed or failed. */
void control_warmup_tick(control_warmup_t *warmup, int64_t now_us);

/* control_orphans.c: cancels orphaned streams on engines; see
 * orphans.h. */
control_orphans_t *control_orphans_create(control_t *control);
void control_orphans_destroy(control_orphans_t *orphans);

/** Replaces the list of engines by those of a new configuration. */
void control_orphans_configure(control_orphans_t *orphans,
			       document_t *document);

/** Discards what is known of an engine's streams if the engine restarted. */
void control_orphans_apply_report(control_orphans_t *orphans,
				  const load_report_t *report);

/**
 * Requests the stream lists of owned engines that are due and sends the
 * cancellations that are due.
 */
void control_orphans_tick(control_orphans_t *orphans, int64_t now_us);

/**
 * Records what is known of the node on a VM, of any data centre.
 * @param incarnation of the node's process; 0: unknown
 * @param dead        true if the membership view has the node as dead
 */
void control_orphans_set_node(control_orphans_t *orphans, const char *vm_id,
			      uint64_t incarnation, bool dead);

/** Replaces the platform's list of VMs of all data centres. */
void control_orphans_set_vms(control_orphans_t *orphans,
			     const platform_vm_t *vms, size_t count);

/**
 * @param dead_us when the member died
 * @return true if this node owns all engines, listed their streams after the
 *         member's death and found no new stream of the member
 */
bool control_orphans_node_idle(const control_orphans_t *orphans,
			       const char *vm_id, int64_t dead_us);

/** @return the number of orphaned streams to be cancelled. */
size_t control_orphans_count(const control_orphans_t *orphans);

/* control_orders.c: holds the reconciler's lease and sends its orders. */
control_orders_t *control_orders_create(control_t *control);
void control_orders_destroy(control_orders_t *orders);

/** Applies a new configuration. */
void control_orders_configure(control_orders_t *orders, document_t *document);

/** Updates the state of a server from its load report. */
void control_orders_apply_report(control_orders_t *orders,
				 const load_report_t *report);

/** Gives up the lease after the platform came back from an older copy. */
void control_orders_store_restored(control_orders_t *orders);
/** Acquires or renews the lease and sends the orders that are due. */
void control_orders_tick(control_orders_t *orders, int64_t now_us);

/** @return true if this node holds the reconciler's lease. */
bool control_orders_held(const control_orders_t *orders);

/* control_inflight.c: the server that each request in flight is on. */
control_inflight_t *control_inflight_create(control_t *control);
void control_inflight_destroy(control_inflight_t *inflight);

/** Records the server of a request's newest attempt. */
void control_inflight_dispatched(control_inflight_t *inflight, uint64_t request,
				 const char *server);

/**
 * Removes a request and counts its result for the server, if the end of its
 * attempt shows whether the server works.
 */
void control_inflight_finished(control_inflight_t *inflight, uint64_t request,
			       attempt_end_t end);

/* control_cache.c: reads the cache events of engines. */
control_cache_t *control_cache_create(control_t *control);
void control_cache_destroy(control_cache_t *cache);

/** Replaces the list of engines by those of a new configuration. */
void control_cache_configure(control_cache_t *cache, document_t *document);

/** Reads the events of the next engine that is due. */
void control_cache_tick(control_cache_t *cache, int64_t now_us);

/* control_sweep.c: removes claims 24 h after their end. */
control_sweep_t *control_sweep_create(control_t *control);
void control_sweep_destroy(control_sweep_t *sweep);
void control_sweep_tick(control_sweep_t *sweep, int64_t now_us);

/* control_actions.c: claims of calls that run at most once. */
control_actions_t *control_actions_create(control_t *control);
void control_actions_destroy(control_actions_t *actions);

/**
 * Starts the claim of an action. The action is refused at once if the platform
 * is unavailable or a bound on actions or claims is reached.
 */
void control_actions_submit(control_actions_t *actions, uint64_t request,
			    const submit_msg_t *submit);

/** Carries out the next steps of all claims. */
void control_actions_pump(control_actions_t *actions);

/**
 * Records that the dispatcher sends the request to its request task.
 * @return false if the request is no action
 */
bool control_actions_dispatched(control_actions_t *actions, uint64_t request);

/**
 * Ends the claim of a request that the dispatcher refused.
 * @return false if the request is no action
 */
bool control_actions_refused(control_actions_t *actions, uint64_t request,
			     const refuse_msg_t *message);

/** Ends the attempt of an action; ignores requests that are no action. */
void control_actions_finished(control_actions_t *actions, uint64_t request,
			      const finished_msg_t *message);

/** @return the number of actions whose claims are not settled. */
int32_t control_actions_count(const control_actions_t *actions);

/** Sets the count of claims at the platform after a complete sweep. */
void control_actions_swept(control_actions_t *actions, int64_t claims);

/* control_shutdown.c: carries out the phases of drain.h. */
control_shutdown_t *control_shutdown_create(control_t *control, void *zmq,
					    err_t *err);
void control_shutdown_destroy(control_shutdown_t *shutdown);

/** Begins the shutdown; does nothing if the shutdown has begun already. */
void control_shutdown_start(control_shutdown_t *shutdown);

/** Records that a request task has no request left. */
void control_shutdown_task_idle(control_shutdown_t *shutdown, uint32_t task);

/** Begins the next phase when its condition holds or its time is over. */
void control_shutdown_tick(control_shutdown_t *shutdown, int64_t now_us);
drain_phase_t control_shutdown_phase(const control_shutdown_t *shutdown);

/* control_status.c: publishes the status for operators. */
control_status_t *control_status_create(control_t *control);
void control_status_destroy(control_status_t *status);

/** Publishes the status at once. */
void control_status_publish(control_status_t *status, int64_t now_us);

/**
 * Publishes the status every 10 s, and at once when the status was requested or
 * the readiness changed.
 */
void control_status_tick(control_status_t *status, int64_t now_us);

/* control_task.c: the event loop and the messages of the task. */

/** Updates the modules after a change of members or reachability. */
void control_members_changed(control_t *control);

/**
 * Sends a message to a request task.
 * @param task    index of the request task, from 0
 * @param message owned by the callee, which frees it
 */
void control_send(control_t *control, uint32_t task, task_msg_t *message);

#endif
