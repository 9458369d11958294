/**
 * @file credit_sim.h
 * Nodes that share one server by credits, on a simulated network.
 *
 * Time is simulated; each node has a clock with its own offset and drift.
 * Messages may be lost, repeated, delayed and reordered; nodes pause, crash,
 * restart and are cut off. Every node learns a change of the membership
 * within SIM_SKEW_US of the first one.
 */
#ifndef TESTS_LIB_CREDIT_SIM_H
#define TESTS_LIB_CREDIT_SIM_H

#include "process/credit_holder.h"
#include "process/credit_owner.h"

enum {
	SIM_NODES = 4,
	SIM_USES = 64, /* per node */
	SIM_SKEW_US = 200000,
	SIM_DETECT_US = 2000000 /* 5.2: dead after 2 s of silence */
};

/** One use of the server by a node. */
typedef struct {
	enum { SIM_FREE, SIM_WAITING, SIM_DRAWN } state;
	uint64_t id;
	credit_amount_t amount;
	bool lapsed; /**< its grant expired once */
} sim_use_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	credit_holder_t *holder;
	credit_owner_t *owner;
	uint64_t incarnation;
	bool up; /**< the process exists */
	bool cut; /**< no messages to or from other nodes */
	int64_t paused_until_us;
	int64_t silent_us; /**< when it was last seen working */
	int64_t offset_us;
	int64_t drift_ppm;
	uint32_t view; /**< members as bits */
	bool viewed;
	bool agreed;
	uint32_t next_view;
	bool next_agreed;
	int64_t view_at_us; /**< when next_view is learned; 0: none */
	int owner_node;
	sim_use_t uses[SIM_USES];
} sim_node_t;

typedef struct {
	credit_msg_t message;
	int from, to;
	int64_t at_us;
} sim_packet_t;

typedef struct {
	resource_t resource;
	credit_limit_t limit;
	int64_t now_us;
	int64_t step_us;
	uint64_t random;
	uint32_t members; /**< as the failure detectors agree, as bits */
	bool confirm; /**< reports show that lost nodes send nothing */
	int32_t loss_percent;
	int32_t repeat_percent;
	int64_t delay_max_us;
	uint64_t next_use;
	int64_t report_lag_us; /**< 0: no load reports */
	load_report_t report; /**< on the way to the owner */
	int64_t report_at_us;
	sim_node_t nodes[SIM_NODES];
	sim_packet_t *packets;
	size_t packet_count, packet_capacity;
	int64_t posted; /**< messages between nodes */
} credit_sim_t;

void credit_sim_start(credit_sim_t *sim, credit_amount_t limit,
		      credit_amount_t block, uint64_t seed);
void credit_sim_stop(credit_sim_t *sim);

/** Advances the time by one step. */
void credit_sim_step(credit_sim_t *sim);

void credit_sim_crash(credit_sim_t *sim, int node);
void credit_sim_restart(credit_sim_t *sim, int node);
void credit_sim_pause(credit_sim_t *sim, int node, int64_t pause_us);

/** Whether the process of a node runs and is not paused. */
bool credit_sim_working(const credit_sim_t *sim, int node);

/** Starts a use of a node. @return its number, or -1 without room for one. */
int credit_sim_use(credit_sim_t *sim, int node, credit_amount_t amount);

/** Ends a use. */
void credit_sim_end(credit_sim_t *sim, int node, int use);

/** @return what holders may use now, without uses whose grant lapsed. */
credit_amount_t credit_sim_usable(const credit_sim_t *sim);

/** @return what runs on the server. */
credit_amount_t credit_sim_running(const credit_sim_t *sim);

/** @return the owner's free amount, if one node owns the server. */
credit_amount_t credit_sim_free(const credit_sim_t *sim);

int64_t credit_sim_clock(const credit_sim_t *sim, const sim_node_t *node);

uint64_t credit_sim_random(credit_sim_t *sim, uint64_t below);

#endif
