/**
 * @file control.h
 * Parts of the control task. Private to src/process/control*.c.
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

typedef struct control {
	settings_t settings;
	uint64_t incarnation;
	struct ev_loop *loop;
	client_t *client;
	platform_t *platform;
	mailbox_t *mailbox;
	mailbox_sender_t **request_tasks; /* settings.request_tasks of them */
	inforce_t *inforce;
	credit_holder_t *holder;
	credit_owner_t *owner;
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
	ev_timer tick;
	ev_prepare before_wait;
	bool closing; /* messages are discarded */
} control_t;

/* control_config.c: reads, watches and applies the configuration. */
control_config_t *control_config_create(control_t *control);
void control_config_destroy(control_config_t *config);

/** Starts to read and watch the configuration object. */
void control_config_start(control_config_t *config);

/** Offers a document from the platform or a peer. */
void control_config_offer(control_config_t *config, const char *text,
			  size_t size_bytes, const char *source);

/** Whether the calls for the configuration have failed for over 1 s. */
bool control_config_failing(const control_config_t *config, int64_t now_us);

/** Starts or ends the watch when the members change. */
void control_config_update_watch(control_config_t *config);

/* control_load.c: reads the load reports of backend servers. */
control_load_t *control_load_create(control_t *control);
void control_load_destroy(control_load_t *load);

/** Follows the servers of a new configuration. */
void control_load_configure(control_load_t *load, document_t *document);

/** Sends the polls that are due. */
void control_load_tick(control_load_t *load, int64_t now_us);

/** A member joined: it needs every figure. */
void control_load_resend(control_load_t *load);

/** @return the servers and their load, for the status. */
json_t *control_load_status(const control_load_t *load, int64_t now_us);

/** Takes in one entry of another node's digest. */
void control_load_apply_entry(control_load_t *load, const peer_load_t *entry);

/*
 * control_members.c, control_receive.c, control_remote.c, control_vms.c:
 * members of this data centre, other data centres, messages between nodes.
 */
control_members_t *control_members_create(control_t *control, void *zmq,
					  err_t *err);
void control_members_destroy(control_members_t *members);
void control_members_tick(control_members_t *members, int64_t now_us);

/** Announces that this node is leaving. */
void control_members_leave(control_members_t *members);

/** Whether this node holds the watch of the configuration. */
bool control_members_watches(const control_members_t *members);

/** Whether this node should give orders to the engines. */
bool control_members_reconciles(const control_members_t *members);

/** Whether this node removes old claims for the fleet. */
bool control_members_sweeps(const control_members_t *members);

/** @return VMs that are listed in all data centres, at least this one. */
int32_t control_members_vm_count(const control_members_t *members);

/** Finds the node that owns a resource; false if none can be reached. */
bool control_members_owner(const control_members_t *members,
			   const char *data_centre, const char *key,
			   char owner[NAME_SIZE_BYTES]);

/** @return the incarnation of a member of any data centre, 0 if unknown. */
uint64_t control_members_incarnation(const control_members_t *members,
				     const char *vm_id);

/**
 * Fills in the view for the credit owner.
 * @param names memory for the member names, valid as long as the view
 */
void control_members_view(const control_members_t *members, credit_view_t *view,
			  char (*names)[NAME_SIZE_BYTES], size_t capacity);

void control_members_send_credit(control_members_t *members, const char *vm_id,
				 const credit_msg_t *credit);

/** @return the number of nodes that load figures are sent to. */
size_t control_members_receiver_count(const control_members_t *members);

/** Sends load figures to those nodes. */
void control_members_send_digest(control_members_t *members,
				 peer_load_t *servers, size_t count);

/** Sends the document in force to members that have an older one. */
void control_members_push_config(control_members_t *members);

/** @return the members of all data centres, for the status. */
json_t *control_members_status(const control_members_t *members);

/** @return the other data centres, for the status. */
json_t *control_members_data_centres(const control_members_t *members);

/* Requests of a block: a few, so that one node does not hold a small server. */
enum { CREDIT_BLOCK_SLOTS = 4 };

/* control_credits.c: both sides of the credit protocol. */
control_credits_t *control_credits_create(control_t *control);
void control_credits_destroy(control_credits_t *credits);

/** Follows the resources and limits of a new configuration. */
void control_credits_configure(control_credits_t *credits,
			       document_t *document);

/** Finds the owners again after a change of members. */
void control_credits_reassign(control_credits_t *credits);

/** Handles a credit message of a peer; the sender is named in it. */
void control_credits_receive(control_credits_t *credits, credit_msg_t *message);

/** Takes in a load report of a server that this node owns. */
void control_credits_report(control_credits_t *credits,
			    const load_report_t *report);

/** Whether this node owns the credits of a server. */
bool control_credits_owns(const control_credits_t *credits, const char *server);

/** @return the VM id of a server's owner; empty if none can be reached. */
const char *control_credits_owner(const control_credits_t *credits,
				  const char *server);

void control_credits_tick(control_credits_t *credits, int64_t now_us);

/**
 * Carries messages between holder, owner and peers until there are none.
 * @return whether the holder got an answer since the last call, so that
 *         waiting requests may be tried again
 */
bool control_credits_pump(control_credits_t *credits);

/* control_warmup.c: ramps of the servers that this node owns. */
control_warmup_t *control_warmup_create(control_t *control);
void control_warmup_destroy(control_warmup_t *warmup);

/** This node owns a server, newly or with changed limits. */
void control_warmup_add(control_warmup_t *warmup, const server_conf_t *conf,
			bool retired);
void control_warmup_remove(control_warmup_t *warmup, const char *server);
void control_warmup_apply_report(control_warmup_t *warmup,
				 const load_report_t *report);

/** Takes in what became of requests on the servers. */
void control_warmup_tick(control_warmup_t *warmup, int64_t now_us);

/* control_orphans.c: streams on engines whose holder is gone. */
control_orphans_t *control_orphans_create(control_t *control);
void control_orphans_destroy(control_orphans_t *orphans);
void control_orphans_configure(control_orphans_t *orphans,
			       document_t *document);
void control_orphans_apply_report(control_orphans_t *orphans,
				  const load_report_t *report);
void control_orphans_tick(control_orphans_t *orphans, int64_t now_us);

/** What is known of the process of a VM. */
void control_orphans_set_node(control_orphans_t *orphans, const char *vm_id,
			      uint64_t incarnation, bool dead);
void control_orphans_set_vms(control_orphans_t *orphans,
			     const platform_vm_t *vms, size_t count);

/** Whether no engine got a new stream of a member since it died. */
bool control_orphans_node_idle(const control_orphans_t *orphans,
			       const char *vm_id, int64_t dead_us);

/** @return streams whose holder is gone and that are being cancelled. */
size_t control_orphans_count(const control_orphans_t *orphans);

/* control_orders.c: the lease of the reconciler, and its orders. */
control_orders_t *control_orders_create(control_t *control);
void control_orders_destroy(control_orders_t *orders);
void control_orders_configure(control_orders_t *orders, document_t *document);
void control_orders_report(control_orders_t *orders,
			   const load_report_t *report);
void control_orders_tick(control_orders_t *orders, int64_t now_us);

/** Whether this node holds the lease. */
bool control_orders_held(const control_orders_t *orders);

/* control_inflight.c: which server each request is on. */
control_inflight_t *control_inflight_create(control_t *control);
void control_inflight_destroy(control_inflight_t *inflight);
void control_inflight_dispatched(control_inflight_t *inflight, uint64_t request,
				 const char *server);
void control_inflight_finished(control_inflight_t *inflight, uint64_t request,
			       attempt_end_t end);

/* control_cache.c: reads the cache events of engines. */
control_cache_t *control_cache_create(control_t *control);
void control_cache_destroy(control_cache_t *cache);
void control_cache_configure(control_cache_t *cache, document_t *document);
void control_cache_tick(control_cache_t *cache, int64_t now_us);

/* control_sweep.c: removes claims 24 h after their end. */
control_sweep_t *control_sweep_create(control_t *control);
void control_sweep_destroy(control_sweep_t *sweep);
void control_sweep_tick(control_sweep_t *sweep, int64_t now_us);

/* control_actions.c: claims of calls that run at most once. */
control_actions_t *control_actions_create(control_t *control);
void control_actions_destroy(control_actions_t *actions);

/** Claims an action; refuses it at once without the platform. */
void control_actions_submit(control_actions_t *actions, uint64_t request,
			    const submit_msg_t *submit);

/** Carries out what the claims want now. */
void control_actions_pump(control_actions_t *actions);

/** A decision of the dispatcher; false if the request is no action. */
bool control_actions_dispatched(control_actions_t *actions, uint64_t request);
bool control_actions_refused(control_actions_t *actions, uint64_t request,
			     const refuse_msg_t *message);

void control_actions_finished(control_actions_t *actions, uint64_t request,
			      const finished_msg_t *message);

/** @return the actions whose claims are not settled. */
int32_t control_actions_count(const control_actions_t *actions);

/** A sweep is complete: the platform holds @p claims claims. */
void control_actions_swept(control_actions_t *actions, int64_t claims);

/* control_shutdown.c: carries out the phases of drain.h. */
control_shutdown_t *control_shutdown_create(control_t *control, void *zmq,
					    err_t *err);
void control_shutdown_destroy(control_shutdown_t *shutdown);
void control_shutdown_start(control_shutdown_t *shutdown);
void control_shutdown_task_idle(control_shutdown_t *shutdown, uint32_t task);
void control_shutdown_tick(control_shutdown_t *shutdown, int64_t now_us);
drain_phase_t control_shutdown_phase(const control_shutdown_t *shutdown);

/* control_status.c: publishes the status for operators once a second. */
control_status_t *control_status_create(control_t *control);
void control_status_destroy(control_status_t *status);
void control_status_publish(control_status_t *status, int64_t now_us);
void control_status_tick(control_status_t *status, int64_t now_us);

/* control_task.c */

/** The members or the reachability of a data centre changed. */
void control_members_changed(control_t *control);

/** Sends a message to a request task; takes over @p message. */
void control_send(control_t *control, uint32_t task, task_msg_t *message);

#endif
