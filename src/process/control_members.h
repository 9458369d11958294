/**
 * @file control_members.h
 * Membership state of the control task: the members of this data centre, the
 * other data centres, and the messages between nodes. Private to
 * src/process/control_{duties,members,members_status,receive,remote,vms}.c.
 */
#ifndef PROCESS_CONTROL_MEMBERS_H
#define PROCESS_CONTROL_MEMBERS_H

#include "connection/peer.h"
#include "connection/peer_codec.h"
#include "process/control.h"
#include "process/member.h"
#include "process/remote.h"

enum {
	/** Nodes of one data centre; the target is about 32. */
	CANDIDATES_MAX = 256,
	/** Nodes of a data centre that watch the platform's configuration. */
	CONFIG_PUBLISHERS = 2,
	/** Nodes of a data centre that exchange summaries with others. */
	RELAYS = 2,
	/**
	 * While the other data centres have at most this number of members
	 * in total, this node connects to all of these members and sends its
	 * load figures to them too.
	 */
	DIRECT_MEMBERS_MAX = 64
};

struct control_members {
	control_t *control;
	peer_t *peer;
	member_table_t *members; /**< members of this data centre */
	remote_table_t *remote; /**< other data centres */
	bool leaving; /**< this node is shutting down */
	/** This node cannot watch the configuration at the platform. */
	bool platform_cut;
	/** VM ids of this data centre that may own resources, sorted. */
	char (*candidates)[NAME_SIZE_BYTES];
	size_t candidate_count;
	/** Hash of the members that this node sees; sent in heartbeats. */
	uint32_t view_hash;
	/** Members or reachability changed since the last tick. */
	bool changed;
	/** VMs of this data centre in the platform's VM list, at least 1. */
	int32_t listed;
	bool list_pending; /**< a request for the VM list is in progress */
	int64_t next_list_us; /**< time of the next request for the VM list */
	int64_t next_summary_us; /**< time of the next summaries */
	uint64_t summary_rounds; /**< rounds of summaries sent so far */
	/** Earliest time of the next request for a configuration. */
	int64_t next_request_us;
};

/**
 * Sends a message to a member of any data centre; fills in the sender. A member
 * of another data centre is connected first if necessary.
 */
void members_send(control_members_t *members, const char *vm_id,
		  peer_msg_t *message);

/**
 * Sends a message to every live member of this data centre, encoded only once.
 */
void members_broadcast(control_members_t *members, peer_msg_t *message);

/**
 * Callback of peer_create(): decodes and handles a message (control_receive.c).
 * @param context control_members_t
 */
void members_receive(void *context, const void *data, size_t size);

/**
 * Sends the configuration in force to a member; does nothing if this node has
 * no configuration (control_receive.c).
 */
void members_push_config(control_members_t *members, const char *vm_id);

/**
 * Requests the configuration from a member if @p version is newer than the one
 * in force, at most every 200 ms for all members together.
 * @param version version that the member announced
 */
void members_request_config(control_members_t *members, const char *vm_id,
			    int64_t version);

/**
 * Rendezvous hashing assigns each duty to nodes of this data centre.
 * @param duty   name of the duty
 * @param wanted number of nodes that perform the duty
 * @return true if this node performs the duty
 */
bool members_has_duty(const control_members_t *members, const char *duty,
		      size_t wanted);

/**
 * Sends summaries to the other data centres and forwards theirs, when the
 * interval has passed (control_remote.c).
 */
void members_tick_remote(control_members_t *members, int64_t now_us);

/**
 * Handles a summary of another data centre, sent by its relay or forwarded by a
 * relay of this data centre (control_remote.c).
 */
void members_receive_summary(control_members_t *members,
			     const peer_msg_t *message);

/** Requests the platform's VM list every 15 s (control_vms.c). */
void members_tick_vms(control_members_t *members, int64_t now_us);

#endif
