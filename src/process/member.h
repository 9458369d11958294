/**
 * @file member.h
 * Membership of this node's data centre as this node sees it.
 *
 * Heartbeats are sent every 250 ms. A member that is silent for 1 s is
 * suspect and probed through two other members; without an answer it is dead
 * 1 s later. What a member announces (leaving) and what this node observes
 * are kept apart, and so is the flag that no message arrives directly while
 * others still reach the member. Pure: time is an argument; what has to be
 * sent is collected by member_next().
 */
#ifndef PROCESS_MEMBER_H
#define PROCESS_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

#define MEMBER_HEARTBEAT_US (250 * US_PER_MS)
#define MEMBER_SUSPECT_US US_PER_S
#define MEMBER_DEAD_US US_PER_S

typedef struct member_table member_table_t;

typedef enum {
	MEMBER_SEEDED, /**< in the VM list or announced, not heard from yet */
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD
} member_state_t;

/** One other member. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES]; /**< peer endpoint ADDRESS:PORT */
	uint64_t incarnation; /**< 0: not heard from */
	member_state_t state; /**< as observed */
	bool leaving; /**< as announced */
	bool unreachable; /**< not heard directly for MEMBER_SUSPECT_US */
	bool listed; /**< in the platform's VM list */
	int64_t config_version;
	uint32_t view; /**< hash of the members that it sees */
	bool platform_cut; /**< as announced: it cannot watch */
	int64_t changed_us; /**< last change of state */
} member_t;

/** Sender of a message. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
} member_sender_t;

typedef enum {
	MEMBER_SENDER_CURRENT,
	MEMBER_SENDER_UNKNOWN, /**< not a member, or a new incarnation */
	MEMBER_SENDER_OLD /**< an incarnation that has been replaced */
} member_sender_state_t;

typedef struct {
	uint64_t sequence;
	int64_t config_version;
	bool leaving;
	const char *address; /**< empty if unchanged */
	uint32_t view;
	bool platform_cut;
} member_heartbeat_t;

typedef enum {
	MEMBER_DO_CONNECT, /**< open a link to `vm_id` at `address` */
	MEMBER_DO_DISCONNECT,
	MEMBER_DO_HEARTBEAT, /**< send one, with the address if with_address */
	MEMBER_DO_PROBE, /**< send a probe request to `vm_id` */
	MEMBER_DO_REPLY, /**< send a probe reply to `vm_id` */
	MEMBER_DO_NOTIFY /**< the state of `vm_id` changed */
} member_action_type_t;

typedef struct {
	member_action_type_t type;
	char vm_id[NAME_SIZE_BYTES]; /**< receiver, or the changed member */
	char address[URL_SIZE_BYTES];
	bool with_address;
	uint64_t sequence;
	char target[NAME_SIZE_BYTES]; /**< probes */
	uint64_t nonce;
	bool direct;
	uint64_t target_incarnation; /**< replies */
	member_state_t state; /**< reports */
	bool leaving;
	bool removed; /**< reports: no longer a member */
} member_action_t;

/** One entry of the platform's VM list. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES];
} member_seed_t;

member_table_t *member_create(const char *vm_id, uint64_t incarnation);
void member_destroy(member_table_t *table);

/** Takes in the VM list of the data centre; it decides no member's state. */
void member_seed(member_table_t *table, const member_seed_t *seeds,
		 size_t count, int64_t now_us);

/** Whether a message of this sender may be handled. */
member_sender_state_t member_sender_state(const member_table_t *table,
					  const member_sender_t *sender);

/**
 * Handles a heartbeat, or a Hello as one with sequence 0. An unknown sender
 * becomes a member if it sends its address.
 * @return false if it was dropped as older than what is known
 */
bool member_heartbeat(member_table_t *table, const member_sender_t *sender,
		      const member_heartbeat_t *heartbeat, int64_t now_us);

/** The sender announces that it is leaving. */
void member_leaving(member_table_t *table, const member_sender_t *sender,
		    int64_t now_us);

void member_probe_request(member_table_t *table, const char *sender,
			  const char *target, uint64_t nonce, bool direct,
			  int64_t now_us);
void member_probe_reply(member_table_t *table, const char *target,
			uint64_t nonce, uint64_t target_incarnation,
			int64_t now_us);

/** Sends heartbeats and probes that are due, advances states. */
void member_tick(member_table_t *table, int64_t now_us);

/** Takes the next action; false if there is none. */
bool member_next(member_table_t *table, member_action_t *action);

/** @return the member at an index, NULL behind the last; in no order. */
const member_t *member_at(const member_table_t *table, size_t index);
const member_t *member_find(const member_table_t *table, const char *vm_id);

/**
 * Lists those of @p candidates that can watch the platform, or all of them if
 * none can.
 * @return their number; @p names has room for all candidates
 */
size_t member_watch_candidates(const member_table_t *table, bool self_cut,
			       const char (*candidates)[NAME_SIZE_BYTES],
			       size_t count, char (*names)[NAME_SIZE_BYTES]);

/**
 * Lists the candidates for ownership, sorted by name: this node unless it is
 * leaving, and every member that is alive or suspect and not leaving. When
 * all are leaving, all are candidates.
 * @return their number, at most @p capacity
 */
size_t member_candidates(const member_table_t *table, bool self_leaving,
			 char (*names)[NAME_SIZE_BYTES], size_t capacity);

/** @return hash of the candidates and their incarnations. */
uint32_t member_view(const member_table_t *table, bool self_leaving);

/** Whether every reachable member has the same view as this node. */
bool member_agreed(const member_table_t *table, bool self_leaving);

/**
 * Whether other VMs are known and no message arrives from any of them. Those
 * that announced that they leave are expected to fall silent.
 */
bool member_isolated(const member_table_t *table);

#endif
