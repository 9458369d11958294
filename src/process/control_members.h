/**
 * @file control_members.h
 * State of the member part of the control task. Private to
 * src/process/control_{members,receive,remote,vms}.c.
 */
#ifndef PROCESS_CONTROL_MEMBERS_H
#define PROCESS_CONTROL_MEMBERS_H

#include "connection/peer.h"
#include "connection/peer_codec.h"
#include "process/control.h"
#include "process/member.h"
#include "process/remote.h"

/* A data centre of the target has about 32 nodes. */
enum {
	CANDIDATES_MAX = 256,
	CONFIG_WATCHERS = 2,
	RELAYS = 2,
	/*
	 * Up to this number of members of other data centres this node links
	 * to all of them, and sends its load figures to them too.
	 */
	DIRECT_MEMBERS_MAX = 64
};

struct control_members {
	control_t *control;
	peer_t *peer;
	member_table_t *members;
	remote_table_t *remote;
	bool leaving;
	bool platform_cut; /* this node cannot watch the configuration */
	/* Candidates for ownership in this data centre, sorted. */
	char (*candidates)[NAME_SIZE_BYTES];
	size_t candidate_count;
	uint32_t view;
	bool changed; /* members or reachability since the last tick */
	int32_t listed; /* VMs of this data centre in the platform's list */
	bool listing;
	int64_t list_us; /* next read of the list */
	int64_t summary_us; /* next summary to other data centres */
	uint64_t summaries;
	int64_t config_request_us; /* no request for the document before */
};

/** Sends a message to a member of any data centre. */
void members_send(control_members_t *members, const char *vm_id,
		  peer_msg_t *message);

/** Encodes once and sends to every live member of this data centre. */
void members_broadcast(control_members_t *members, peer_msg_t *message);

/** Handles one received message (control_receive.c). */
void members_receive(void *context, const void *data, size_t size);

/** Sends the document in force (control_receive.c). */
void members_push_config(control_members_t *members, const char *vm_id);

/** Asks a peer for the document, at most every 200 ms. */
void members_request_config(control_members_t *members, const char *vm_id,
			    int64_t version);

/** Whether this node is among the first @p wanted members for a duty. */
bool members_has_duty(const control_members_t *members, const char *duty,
		      size_t wanted);

/** Sends and forwards summaries that are due (control_remote.c). */
void members_tick_remote(control_members_t *members, int64_t now_us);

/** Handles a summary of or from another data centre (control_remote.c). */
void members_receive_summary(control_members_t *members,
			     const peer_msg_t *message);

/** Reads the VM list when it is due (control_vms.c). */
void members_tick_vms(control_members_t *members, int64_t now_us);

#endif
