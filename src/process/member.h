/**
 * @file member.h
 * Membership of this node's data centre as this node observes it.
 *
 * Heartbeats are sent every 250 ms. A member that is silent for 1 s is suspect
 * and probed through two other members; without an answer it is dead 1 s later.
 * The state that this node observes is separate from what the member announces
 * (leaving), and from the flag unreachable: no message arrives directly,
 * although other members may still reach the member. Does no I/O: time is an
 * argument, and member_next() returns the messages to send.
 */
#ifndef PROCESS_MEMBER_H
#define PROCESS_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

#define MEMBER_HEARTBEAT_US (250 * US_PER_MS)
#define MEMBER_SUSPECT_US US_PER_S /**< silence until a member is suspect */
#define MEMBER_DEAD_US US_PER_S /**< time from suspect to dead */

typedef struct member_table member_table_t;

typedef enum {
	MEMBER_SEEDED, /**< VM is listed or was announced; no message yet */
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD
} member_state_t;

/** One other member. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES]; /**< peer endpoint ADDRESS:PORT */
	uint64_t incarnation; /**< 0: no message has arrived yet */
	member_state_t state; /**< observed by this node */
	bool leaving; /**< announced by the member */
	bool unreachable; /**< no direct message for MEMBER_SUSPECT_US */
	bool listed; /**< the platform's VM list has the member */
	int64_t config_version; /**< announced by the member */
	uint32_t view; /**< the member's member_view() */
	bool platform_cut; /**< announced: the member cannot reach the platform,
			      so it cannot watch the configuration */
	int64_t changed_us; /**< last change of state */
} member_t;

/** Process that sent a message. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
} member_sender_t;

typedef enum {
	MEMBER_SENDER_CURRENT, /**< the known incarnation of a member */
	MEMBER_SENDER_UNKNOWN, /**< not a member, or a new incarnation */
	MEMBER_SENDER_OLD /**< an incarnation that was replaced */
} member_sender_state_t;

typedef struct {
	uint64_t sequence; /**< grows within an incarnation; 0: a Hello */
	int64_t config_version;
	bool leaving;
	const char *address; /**< new address; NULL or empty: unchanged */
	uint32_t view; /**< the sender's member_view() */
	bool platform_cut; /**< the sender cannot reach the platform */
} member_heartbeat_t;

typedef enum {
	MEMBER_DO_CONNECT, /**< open a link to `vm_id` at `address` */
	MEMBER_DO_DISCONNECT, /**< close the link to `vm_id` */
	MEMBER_DO_HEARTBEAT, /**< send a heartbeat to `vm_id` */
	MEMBER_DO_PROBE, /**< send a probe request to `vm_id` */
	MEMBER_DO_REPLY, /**< send a probe reply to `vm_id` */
	MEMBER_DO_NOTIFY /**< the state of `vm_id` changed */
} member_action_type_t;

typedef struct {
	member_action_type_t type;
	char vm_id[NAME_SIZE_BYTES]; /**< receiver, or the changed member */
	char address[URL_SIZE_BYTES];
	bool with_address; /**< heartbeats: include this node's address */
	uint64_t sequence; /**< heartbeats: number of the heartbeat */
	char target[NAME_SIZE_BYTES]; /**< probes and replies: probed member */
	uint64_t nonce; /**< probes and replies: links them */
	bool direct; /**< probes: the receiver is the target */
	uint64_t target_incarnation; /**< replies: incarnation of `target` */
	member_state_t state; /**< changes of state: the new state */
	bool leaving; /**< changes of state: the member announced this */
	bool removed; /**< changes of state: no longer a member */
} member_action_t;

/** One entry of the platform's VM list. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES];
} member_seed_t;

member_table_t *member_create(const char *vm_id, uint64_t incarnation);
void member_destroy(member_table_t *table);

/**
 * Adds the members in the VM list of the data centre. The list may lag, so it
 * changes no member's state, and removes only members from which no message has
 * arrived.
 */
void member_seed(member_table_t *table, const member_seed_t *seeds,
		 size_t count, int64_t now_us);

/** @return state of a sender, which decides if messages of the sender may be
 * handled. */
member_sender_state_t member_sender_state(const member_table_t *table,
					  const member_sender_t *sender);

/**
 * Handles a heartbeat, or a Hello, which has sequence 0. An unknown sender
 * becomes a member if the heartbeat has its address.
 * @return false if the heartbeat was dropped: older than the last heartbeat, of
 * an old incarnation or of this node, or of an unknown sender without an
 * address
 */
bool member_heartbeat(member_table_t *table, const member_sender_t *sender,
		      const member_heartbeat_t *heartbeat, int64_t now_us);

/** Handles the announcement of a sender that it is leaving. */
void member_leaving(member_table_t *table, const member_sender_t *sender,
		    int64_t now_us);

/**
 * Replies to a probe of this node, or relays a probe to another member.
 * @param direct true: the probe is for this node only, and is not relayed
 */
void member_probe_request(member_table_t *table, const char *sender,
			  const char *target, uint64_t nonce, bool direct,
			  int64_t now_us);
/** Handles the reply to a probe of this node, or to a relayed probe. */
void member_probe_reply(member_table_t *table, const char *target,
			uint64_t nonce, uint64_t target_incarnation,
			int64_t now_us);

/** Updates the states of all members; queues due heartbeats and probes. */
void member_tick(member_table_t *table, int64_t now_us);

/** Takes the next action. @return false if no action is queued. */
bool member_next(member_table_t *table, member_action_t *action);

/** @return the member at an index, in no order; NULL: after the last. */
const member_t *member_at(const member_table_t *table, size_t index);
/** @return a member; NULL: not known. */
const member_t *member_find(const member_table_t *table, const char *vm_id);

/**
 * Lists the candidates that can reach the platform, and so can watch the
 * configuration. If no candidate can, lists all of them.
 * @param self_platform_cut this node cannot reach the platform
 * @param names    array of at least @p count names
 * @return number of names
 */
size_t member_watch_candidates(const member_table_t *table,
			       bool self_platform_cut,
			       const char (*candidates)[NAME_SIZE_BYTES],
			       size_t count, char (*names)[NAME_SIZE_BYTES]);

/**
 * Lists the candidates for ownership of servers, sorted by name: this node
 * unless it is leaving, and every member that is alive or suspect and not
 * leaving. If all are leaving, all are candidates.
 * @return number of candidates, at most @p capacity
 */
size_t member_candidates(const member_table_t *table, bool self_leaving,
			 char (*names)[NAME_SIZE_BYTES], size_t capacity);

/** @return hash of the candidates and their incarnations. */
uint32_t member_view(const member_table_t *table, bool self_leaving);

/** @return true if every reachable member announces this node's view. */
bool member_agreed(const member_table_t *table, bool self_leaving);

/**
 * Detects that this node is partitioned from all other members. Members that
 * announced that they leave are expected to fall silent.
 * @return true if no member can be reached, and one of them is not leaving
 */
bool member_isolated(const member_table_t *table);

#endif
