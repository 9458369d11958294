#include "lib/credit_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

static credit_amount_t block_size;

/* splitmix64: the seed alone determines the sequence. */
uint64_t credit_sim_random(credit_sim_t *sim, uint64_t below)
{
	uint64_t z = sim->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return below ? (z ^ (z >> 31)) % below : 0;
}

int64_t credit_sim_clock(const credit_sim_t *sim, const sim_node_t *node)
{
	return sim->now_us + node->offset_us +
	       sim->now_us / 1000000 * node->drift_ppm;
}

/* Returns the owner by rendezvous hashing, here with a fixed order of nodes:
 * the owner changes only when an owner leaves or returns. */
static int owner_of(uint32_t view)
{
	static const int order[SIM_NODES] = { 2, 0, 3, 1 };
	int i;

	for (i = 0; i < SIM_NODES - 1; i++)
		if (view & 1U << order[i])
			break;
	return order[i];
}

static void apply_view(credit_sim_t *sim, int index)
{
	sim_node_t *node = &sim->nodes[index];
	int64_t now_us = credit_sim_clock(sim, node);
	char members[SIM_NODES][NAME_SIZE_BYTES];
	credit_view_t view = {
		.agreed = node->next_agreed,
		.listed_vms = SIM_NODES,
		.members = (const char(*)[NAME_SIZE_BYTES])members
	};
	int i, owner;

	node->view = node->next_view;
	node->agreed = node->next_agreed;
	node->next_view_us = 0;
	for (i = 0; i < SIM_NODES; i++)
		if (node->view & 1U << i)
			mem_strlcpy(members[view.member_count++],
				    sim->nodes[i].vm_id, NAME_SIZE_BYTES);
	view.counted_vms = (int32_t)view.member_count;
	if (sim->lost_confirmed && node->agreed)
		view.counted_vms = SIM_NODES;
	credit_owner_set_view(node->owner, &view, now_us);
	owner = node->agreed ? owner_of(node->view) : index;
	if (node->has_view && owner == node->owner_node)
		return;
	node->has_view = true;
	node->owner_node = owner;
	if (owner == index)
		credit_owner_add_resource(node->owner, &sim->resource,
					  &sim->limit, now_us);
	else
		credit_owner_remove_resource(node->owner, &sim->resource);
	credit_holder_owner_changed(node->holder, &sim->resource, now_us);
}

/* Lets a node learn a view after a random delay of at most SIM_SKEW_US. A view
 * that the node has not applied yet is applied first. */
static void schedule_view(credit_sim_t *sim, sim_node_t *node, uint32_t view,
			  bool agreed)
{
	uint32_t learned = node->next_view_us ? node->next_view : node->view;
	bool known = node->next_view_us ? node->next_agreed : node->agreed;

	if ((node->has_view || node->next_view_us) && learned == view &&
	    known == agreed)
		return;
	if (node->next_view_us && node->has_view)
		apply_view(sim, (int)(node - sim->nodes));
	node->next_view = view;
	node->next_agreed = agreed;
	node->next_view_us = sim->now_us + sim->step_us +
			     (int64_t)credit_sim_random(sim, SIM_SKEW_US);
}

static bool is_working(const credit_sim_t *sim, const sim_node_t *node)
{
	return node->up && sim->now_us >= node->paused_until_us;
}

/* Updates the members, and the views of the nodes that work. A node is a member
 * until it has been silent for SIM_DETECT_US. */
static void update_members(credit_sim_t *sim)
{
	uint32_t members = 0;
	sim_node_t *node;
	int i;

	for (i = 0; i < SIM_NODES; i++) {
		node = &sim->nodes[i];
		if (is_working(sim, node) && !node->partitioned)
			node->last_active_us = sim->now_us;
		if (sim->now_us - node->last_active_us < SIM_DETECT_US)
			members |= 1U << i;
	}
	sim->members = members;
	for (i = 0; i < SIM_NODES; i++) {
		node = &sim->nodes[i];
		if (!is_working(sim, node))
			continue;
		if (members & 1U << i)
			schedule_view(sim, node, members, true);
		else if (node->partitioned)
			schedule_view(sim, node, 1U << i, false);
	}
}

static void start_node(credit_sim_t *sim, int index)
{
	sim_node_t *node = &sim->nodes[index];
	credit_holder_conf_t conf = { .server_block = block_size };

	snprintf(node->vm_id, sizeof(node->vm_id), "vm%d", index);
	mem_strlcpy(conf.vm_id, node->vm_id, sizeof(conf.vm_id));
	node->incarnation = credit_sim_random(sim, UINT64_MAX);
	conf.incarnation = node->incarnation;
	node->holder = credit_holder_create(&conf);
	node->owner = credit_owner_create(node->vm_id);
	node->up = true;
	node->has_view = false;
	node->view = 0;
	node->next_view_us = 0;
	node->paused_until_us = 0;
	node->owner_node = index;
	node->last_active_us = sim->now_us;
}

void credit_sim_start(credit_sim_t *sim, credit_amount_t limit,
		      credit_amount_t block, uint64_t seed)
{
	int i;

	memset(sim, 0, sizeof(*sim));
	block_size = block;
	resource_set(&sim->resource, RESOURCE_SERVER, "s");
	sim->limit.amount = limit;
	sim->random = seed;
	sim->now_us = US_PER_S;
	sim->delay_max_us = 5 * US_PER_MS;
	sim->step_us = 10 * US_PER_MS;
	for (i = 0; i < SIM_NODES; i++) {
		sim->nodes[i].offset_us = i * 1000 * US_PER_S;
		sim->nodes[i].drift_ppm = 200 * (i % 3 - 1);
		start_node(sim, i);
	}
}

void credit_sim_crash(credit_sim_t *sim, int index)
{
	sim_node_t *node = &sim->nodes[index];

	if (!node->up)
		return;
	credit_holder_destroy(node->holder);
	credit_owner_destroy(node->owner);
	node->holder = NULL;
	node->owner = NULL;
	node->up = false;
	memset(node->uses, 0, sizeof(node->uses));
}

void credit_sim_restart(credit_sim_t *sim, int index)
{
	credit_sim_crash(sim, index);
	start_node(sim, index);
}

void credit_sim_pause(credit_sim_t *sim, int node, int64_t pause_us)
{
	sim->nodes[node].paused_until_us = sim->now_us + pause_us;
}

void credit_sim_stop(credit_sim_t *sim)
{
	int i;

	for (i = 0; i < SIM_NODES; i++)
		credit_sim_crash(sim, i);
	free(sim->packets);
	sim->packets = NULL;
}

static void send_message(credit_sim_t *sim, int from, int to,
			 const credit_msg_t *message)
{
	int copies = 1, i;

	sim->sent_messages += from != to;

	if (from != to &&
	    (int32_t)credit_sim_random(sim, 100) < sim->loss_percent)
		copies = 0;
	else if (from != to &&
		 (int32_t)credit_sim_random(sim, 100) < sim->repeat_percent)
		copies = 2;
	for (i = 0; i < copies; i++) {
		if (sim->packet_count == sim->packet_capacity) {
			sim->packet_capacity = 2 * sim->packet_capacity + 64;
			sim->packets = mem_realloc(sim->packets,
						   sim->packet_capacity,
						   sizeof(*sim->packets));
		}
		sim->packets[sim->packet_count++] = (sim_packet_t){
			.message = *message,
			.from = from,
			.to = to,
			.at_us =
				sim->now_us +
				(from == to
					 ? 0
					 : (int64_t)credit_sim_random(
						   sim,
						   (uint64_t)sim->delay_max_us))
		};
	}
}

static void collect_messages(credit_sim_t *sim, int index)
{
	sim_node_t *node = &sim->nodes[index];
	credit_msg_t message;

	while (credit_holder_next(node->holder, &message))
		send_message(sim, index, node->owner_node, &message);
	while (credit_owner_next(node->owner, &message))
		send_message(sim, index, atoi(message.holder + 2), &message);
}

static void deliver_packet(credit_sim_t *sim, const sim_packet_t *packet)
{
	sim_node_t *node = &sim->nodes[packet->to];
	int64_t now_us = credit_sim_clock(sim, node);

	if (!node->up ||
	    (packet->from != packet->to &&
	     (node->partitioned || sim->nodes[packet->from].partitioned)))
		return;
	if (packet->message.type == CREDIT_GRANT ||
	    packet->message.type == CREDIT_REFUSAL) {
		if (packet->from != node->owner_node)
			return;
		credit_holder_receive(node->holder, &packet->message, now_us);
	} else
		credit_owner_receive(node->owner, &packet->message, now_us);
	collect_messages(sim, packet->to);
}

static void deliver(credit_sim_t *sim)
{
	sim_packet_t packet;
	size_t i = 0;

	while (i < sim->packet_count) {
		packet = sim->packets[i];
		if (packet.at_us > sim->now_us ||
		    sim->now_us < sim->nodes[packet.to].paused_until_us) {
			i++;
			continue;
		}
		memmove(&sim->packets[i], &sim->packets[i + 1],
			(--sim->packet_count - i) * sizeof(packet));
		deliver_packet(sim, &packet);
	}
}

static void draw(credit_sim_t *sim, sim_node_t *node, sim_use_t *use)
{
	int64_t now_us = credit_sim_clock(sim, node);

	if (use->state == SIM_WAITING &&
	    credit_holder_draw(node->holder, &sim->resource, use->id,
			       use->amount, now_us) == DRAW_OK)
		use->state = SIM_DRAWN;
	if (use->state == SIM_DRAWN &&
	    !credit_holder_use_valid(node->holder, &sim->resource, use->id,
				     now_us))
		use->grant_expired = true;
}

static void run_node(credit_sim_t *sim, int index)
{
	sim_node_t *node = &sim->nodes[index];
	int64_t now_us = credit_sim_clock(sim, node);
	int i;

	if (node->next_view_us && sim->now_us >= node->next_view_us)
		apply_view(sim, index);
	credit_owner_tick(node->owner, now_us);
	credit_holder_tick(node->holder, now_us);
	collect_messages(sim, index);
	for (i = 0; i < SIM_USES; i++)
		draw(sim, node, &node->uses[i]);
	collect_messages(sim, index);
}

/* Gives the last load report to all working nodes and takes the next one. */
static void update_report(credit_sim_t *sim)
{
	credit_amount_t running = credit_sim_running(sim);
	int i;

	if (!sim->report_lag_us || sim->now_us < sim->report_at_us)
		return;
	for (i = 0; i < SIM_NODES && sim->report_at_us; i++) {
		sim_node_t *node = &sim->nodes[i];

		if (!is_working(sim, node))
			continue;
		sim->report.taken_us =
			credit_sim_clock(sim, node) - sim->report_lag_us;
		credit_owner_apply_report(node->owner, &sim->report,
					  credit_sim_clock(sim, node));
	}
	mem_strlcpy(sim->report.server, sim->resource.name, NAME_SIZE_BYTES);
	sim->report.kv_total_tokens = sim->limit.amount.kv_tokens;
	sim->report.kv_used_tokens = running.kv_tokens;
	sim->report.running = running.slots;
	sim->report_at_us = sim->now_us + sim->report_lag_us;
}

void credit_sim_step(credit_sim_t *sim)
{
	int i;

	sim->now_us += sim->step_us;
	update_members(sim);
	update_report(sim);
	deliver(sim);
	for (i = 0; i < SIM_NODES; i++)
		if (is_working(sim, &sim->nodes[i]))
			run_node(sim, i);
	deliver(sim);
}

bool credit_sim_working(const credit_sim_t *sim, int node)
{
	return is_working(sim, &sim->nodes[node]);
}

int credit_sim_start_use(credit_sim_t *sim, int index, credit_amount_t amount)
{
	sim_node_t *node = &sim->nodes[index];
	int i;

	if (!is_working(sim, node))
		return -1;
	for (i = 0; i < SIM_USES; i++) {
		sim_use_t *use = &node->uses[i];

		if (use->state != SIM_FREE)
			continue;
		memset(use, 0, sizeof(*use));
		use->state = SIM_WAITING;
		use->id = ++sim->next_use;
		use->amount = amount;
		draw(sim, node, use);
		collect_messages(sim, index);
		return i;
	}
	return -1;
}

void credit_sim_end_use(credit_sim_t *sim, int index, int number)
{
	sim_node_t *node = &sim->nodes[index];
	sim_use_t *use = &node->uses[number];

	if (!is_working(sim, node) || use->state == SIM_FREE)
		return;
	credit_holder_release(node->holder, &sim->resource, use->id,
			      credit_sim_clock(sim, node));
	use->state = SIM_FREE;
	collect_messages(sim, index);
}

credit_amount_t credit_sim_usable(const credit_sim_t *sim)
{
	credit_amount_t sum = { 0 };
	int i, j;

	for (i = 0; i < SIM_NODES; i++) {
		const sim_node_t *node = &sim->nodes[i];
		int64_t now_us = credit_sim_clock(sim, node);

		if (!node->up)
			continue;
		sum = credit_add(sum, credit_holder_available(node->holder,
							      &sim->resource,
							      now_us));
		for (j = 0; j < SIM_USES; j++)
			if (node->uses[j].state == SIM_DRAWN &&
			    !node->uses[j].grant_expired &&
			    credit_holder_use_valid(node->holder,
						    &sim->resource,
						    node->uses[j].id, now_us))
				sum = credit_add(sum, node->uses[j].amount);
	}
	return sum;
}

credit_amount_t credit_sim_running(const credit_sim_t *sim)
{
	credit_amount_t sum = { 0 };
	int i, j;

	for (i = 0; i < SIM_NODES; i++)
		for (j = 0; j < SIM_USES; j++)
			if (sim->nodes[i].uses[j].state == SIM_DRAWN)
				sum = credit_add(sum,
						 sim->nodes[i].uses[j].amount);
	return sum;
}

credit_amount_t credit_sim_free_amount(const credit_sim_t *sim)
{
	credit_amount_t sum = { 0 };
	int i;

	for (i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].up)
			sum = credit_add(
				sum,
				credit_owner_free_amount(
					sim->nodes[i].owner, &sim->resource,
					credit_sim_clock(sim, &sim->nodes[i])));
	return sum;
}
