/**
 * @file member_table.h
 * State of the member table. Private to src/process/member*.c.
 */
#ifndef PROCESS_MEMBER_TABLE_H
#define PROCESS_MEMBER_TABLE_H

#include "process/member.h"

enum {
	/* Most probes that this node relays for other members at one time. */
	RELAYED_PROBES_MAX = 64,
	PROBE_HELPERS = 2, /* members that relay a probe, in each round */
	ENTRIES_STEP = 16 /* growth of the array of entries */
};
/* Time in which a relayed probe can be answered. */
#define RELAYED_PROBE_LIFETIME_US MEMBER_DEAD_US

typedef struct {
	member_t public;
	uint64_t sequence; /* highest sequence of a received heartbeat */
	uint64_t heartbeats_sent; /* number of heartbeats sent to the member */
	int64_t last_received_us; /* last heartbeat or Hello */
	int64_t last_confirmed_us; /* last answer to a probe */
	int64_t next_heartbeat_us; /* when to send the member a heartbeat */
	int64_t next_probe_us; /* no probe of the member before this */
	uint64_t nonce; /* identifies the last round of probes; 0: none */
} entry_t;

typedef struct {
	/* Member that requested the probe; empty: answered, or unused. */
	char requester[NAME_SIZE_BYTES];
	uint64_t nonce;
	int64_t expires_us;
} relayed_probe_t;

struct member_table {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
	entry_t **entries;
	size_t count, entry_capacity;
	relayed_probe_t relayed[RELAYED_PROBES_MAX];
	size_t next_relayed; /* index of the next entry, modulo the size */
	uint64_t next_nonce;
	size_t next_helper; /* index in entries where the search begins */
	member_action_t *actions; /* queue; those before `taken` are done */
	size_t taken, queued, capacity; /* numbers of actions */
};

/** Queues an action; the pointer is valid until the next call. */
member_action_t *member_queue_action(member_table_t *table,
				     member_action_type_t type,
				     const char *vm_id);

/** @return entry of a member; NULL: not known */
entry_t *member_entry(const member_table_t *table, const char *vm_id);

/** Sets the state of a member, and queues a MEMBER_DO_NOTIFY action. */
void member_set_state(member_table_t *table, entry_t *entry,
		      member_state_t state, int64_t now_us);

/** Queues the due probes of a silent member (member_probe.c). */
void member_probe(member_table_t *table, entry_t *entry, int64_t now_us);

#endif
