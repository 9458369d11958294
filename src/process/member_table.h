/**
 * @file member_table.h
 * State of the member table. Private to src/process/member*.c.
 */
#ifndef PROCESS_MEMBER_TABLE_H
#define PROCESS_MEMBER_TABLE_H

#include "process/member.h"

/* Probes that this node relays for others at one time, and how long. */
enum { RELAYS_MAX = 64, PROBE_HELPERS = 2, ENTRIES_STEP = 16 };
#define RELAY_LIFETIME_US MEMBER_DEAD_US

typedef struct {
	member_t public;
	uint64_t sequence; /* highest heartbeat seen */
	uint64_t sent; /* heartbeats sent to it */
	int64_t heard_us; /* last direct message */
	int64_t confirmed_us; /* last answer to an indirect probe */
	int64_t heartbeat_us; /* next heartbeat to it */
	int64_t probe_us; /* next probe of it */
	uint64_t nonce; /* of the probes since it became silent */
} entry_t;

typedef struct {
	char requester[NAME_SIZE_BYTES];
	uint64_t nonce;
	int64_t expires_us;
} relay_t;

struct member_table {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
	entry_t **entries;
	size_t count, entry_capacity;
	relay_t relays[RELAYS_MAX];
	size_t next_relay;
	uint64_t next_nonce;
	size_t next_helper;
	member_action_t *actions; /* queue from `taken` to `queued` */
	size_t taken, queued, capacity;
};

/** Appends an action; the pointer is valid until the next call. */
member_action_t *member_act(member_table_t *table, member_action_type_t type,
			    const char *vm_id);

entry_t *member_entry(const member_table_t *table, const char *vm_id);

void member_set_state(member_table_t *table, entry_t *entry,
		      member_state_t state, int64_t now_us);

/** Sends the probes of a silent member that are due (member_probe.c). */
void member_probe(member_table_t *table, entry_t *entry, int64_t now_us);

#endif
