/**
 * @file credit_sim.h
 * Nodes that share one server by credits, on a simulated network.
 *
 * Time is simulated; each node has a clock with its own offset and drift.
 * Messages may be lost, repeated, delayed and reordered; nodes pause, crash,
 * restart and are partitioned from the others. Every node learns a change of
 * the membership within SIM_SKEW_US of the first node.
 */
#ifndef TESTS_LIB_CREDIT_SIM_H
#define TESTS_LIB_CREDIT_SIM_H

#include "process/credit_holder.h"
#include "process/credit_owner.h"

enum {
	SIM_NODES = 4,
	SIM_USES = 64, /* uses per node */
	SIM_SKEW_US = 200000,
	/* Requirements, 5.2: a node is dead after 2 s of silence. */
	SIM_DETECT_US = 2000000
};

/** One use of the server by a node. */
typedef struct {
	enum { SIM_FREE, SIM_WAITING, SIM_DRAWN } state;
	uint64_t id;
	credit_amount_t amount;
	bool grant_expired; /**< the grant of the use expired once */
} sim_use_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	credit_holder_t *holder;
	credit_owner_t *owner;
	uint64_t incarnation;
	bool up; /**< the process exists */
	bool partitioned; /**< no messages to or from other nodes */
	int64_t paused_until_us;
	int64_t last_active_us; /**< last time working and not partitioned */
	int64_t offset_us;
	int64_t drift_ppm;
	uint32_t view; /**< members of the view, one bit per node */
	bool has_view; /**< a view was applied since the node started */
	bool agreed;
	uint32_t next_view;
	bool next_agreed;
	int64_t next_view_us; /**< when next_view is applied; 0: none */
	int owner_node; /**< index of the node that owns the server */
	sim_use_t uses[SIM_USES];
} sim_node_t;

typedef struct {
	credit_msg_t message;
	int from, to; /**< indexes of nodes */
	int64_t at_us; /**< time of delivery */
} sim_packet_t;

typedef struct {
	resource_t resource;
	credit_limit_t limit;
	int64_t now_us;
	int64_t step_us;
	uint64_t random; /**< state of the random generator */
	uint32_t members; /**< members according to the failure detectors, one
			     bit per node */
	bool lost_confirmed; /**< load reports confirm that lost nodes stopped
			      */
	int32_t loss_percent;
	int32_t repeat_percent;
	int64_t delay_max_us;
	uint64_t next_use;
	int64_t report_lag_us; /**< age of load reports; 0: no load reports */
	load_report_t report; /**< load report on the way to the owner */
	int64_t report_at_us;
	sim_node_t nodes[SIM_NODES];
	sim_packet_t *packets;
	size_t packet_count, packet_capacity;
	int64_t sent_messages; /**< messages sent between nodes */
} credit_sim_t;

void credit_sim_start(credit_sim_t *sim, credit_amount_t limit,
		      credit_amount_t block, uint64_t seed);
void credit_sim_stop(credit_sim_t *sim);

/** Advances the time by one step. */
void credit_sim_step(credit_sim_t *sim);

void credit_sim_crash(credit_sim_t *sim, int node);
void credit_sim_restart(credit_sim_t *sim, int node);
void credit_sim_pause(credit_sim_t *sim, int node, int64_t pause_us);

/** @return true if the process of a node runs and is not paused. */
bool credit_sim_working(const credit_sim_t *sim, int node);

/**
 * Starts a use of the server by a node.
 * @return the index of the use in sim_node_t.uses, or -1 if the node is not
 * working or has SIM_USES uses already
 */
int credit_sim_start_use(credit_sim_t *sim, int node, credit_amount_t amount);

/** Ends a use. @param use result of credit_sim_start_use() */
void credit_sim_end_use(credit_sim_t *sim, int node, int use);

/**
 * @return the amount that holders may use now; uses whose grant expired are
 *         left out
 */
credit_amount_t credit_sim_usable(const credit_sim_t *sim);

/** @return the amount in use on the server. */
credit_amount_t credit_sim_running(const credit_sim_t *sim);

/** @return the sum of the amounts that the owners regard as free. */
credit_amount_t credit_sim_free_amount(const credit_sim_t *sim);

/** @return the time by the clock of a node. */
int64_t credit_sim_clock(const credit_sim_t *sim, const sim_node_t *node);

/** @return a random number below @p below; 0 if @p below is 0. */
uint64_t credit_sim_random(credit_sim_t *sim, uint64_t below);

#endif
