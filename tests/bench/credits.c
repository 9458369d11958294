/**
 * Compares three ways to share one server's memory between nodes, with the
 * same demand and faults from a fixed seed: credits, fixed shares per node,
 * and load reports of the server that lag by 500 ms.
 *
 * Overcommit ("over") is memory in use above the limit: its largest amount in
 * tokens, and its duration in seconds. Loss ("lost") is memory that stays idle
 * while requests wait on a working node, as a fraction of the limit over the
 * whole run. "messages" counts messages between nodes, per node and second.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/credit_sim.h"

enum {
	SEED = 7,
	LIMIT_TOKENS = 200000,
	LIMIT_SLOTS = 64,
	SHARE_TOKENS = LIMIT_TOKENS / SIM_NODES,
	SHARE_SLOTS = LIMIT_SLOTS / SIM_NODES,
	JOBS_MAX = 8000,
	RUN_S = 120
};

#define LAG_US (500 * US_PER_MS)

typedef enum { POLICY_CREDITS, POLICY_SHARES, POLICY_REPORTS } policy_t;

static const char *const policy_names[] = { "credits", "fixed shares",
					    "lagged reports" };

/** One request. */
typedef struct {
	int64_t arrives_us;
	int64_t duration_us;
	credit_amount_t amount;
	int node;
	enum { JOB_SCHEDULED, JOB_WAITING, JOB_RUNNING, JOB_DONE } state;
	int64_t ends_us;
	int use; /**< number of its use in the simulation; -1: none */
} job_t;

static struct {
	policy_t policy;
	credit_sim_t sim;
	job_t jobs[JOBS_MAX];
	int job_count;
	credit_amount_t running;
	credit_amount_t node_running[SIM_NODES];
	credit_amount_t node_started[SIM_NODES]; /**< since the last load
						  * report */
	credit_amount_t report, report_next;
	int64_t report_at_us;
	int64_t overcommit_max, overcommit_us;
	double idle_fraction, used_fraction;
	int completed;
} bench;

/* Prompts have from 1,000 tokens to most of a node's fixed share; one in eight
 * is long. */
static void make_jobs(void)
{
	credit_sim_t random = { .random = SEED };
	int64_t at_us = 4 * US_PER_S;
	job_t *job;

	while (bench.job_count < JOBS_MAX && at_us < RUN_S * US_PER_S) {
		int hot = (int)(at_us / (10 * US_PER_S)) % SIM_NODES;

		job = &bench.jobs[bench.job_count++];
		memset(job, 0, sizeof(*job));
		at_us += 10 * US_PER_MS +
			 (int64_t)credit_sim_random(&random, 90 * US_PER_MS);
		job->arrives_us = at_us;
		job->amount.slots = 1;
		job->amount.kv_tokens =
			1000 + (int64_t)credit_sim_random(&random, 4000);
		if (!credit_sim_random(&random, 8))
			job->amount.kv_tokens += (int64_t)credit_sim_random(
				&random, SHARE_TOKENS - 6000);
		job->duration_us =
			500 * US_PER_MS +
			(int64_t)credit_sim_random(&random, 3 * US_PER_S);
		/* One node receives two thirds of the demand for 10 s, then
		 * the next node. */
		job->node =
			credit_sim_random(&random, 3)
				? hot
				: (int)credit_sim_random(&random, SIM_NODES);
		job->use = -1;
	}
}

static void start_job(job_t *job)
{
	int64_t now_us = bench.sim.now_us;

	job->state = JOB_RUNNING;
	job->ends_us = now_us + job->duration_us;
	bench.running = credit_add(bench.running, job->amount);
	bench.node_running[job->node] =
		credit_add(bench.node_running[job->node], job->amount);
	bench.node_started[job->node] =
		credit_add(bench.node_started[job->node], job->amount);
}

static void stop_job(job_t *job)
{
	bench.running = credit_sub(bench.running, job->amount);
	bench.node_running[job->node] =
		credit_sub(bench.node_running[job->node], job->amount);
	job->state = JOB_DONE;
}

static bool may_start(const job_t *job)
{
	static const credit_amount_t limit = { LIMIT_TOKENS, LIMIT_SLOTS };
	static const credit_amount_t share = { SHARE_TOKENS, SHARE_SLOTS };
	credit_amount_t sum;

	if (bench.policy == POLICY_CREDITS)
		return job->use >= 0 &&
		       bench.sim.nodes[job->node].uses[job->use].state ==
			       SIM_DRAWN;
	if (bench.policy == POLICY_SHARES) {
		sum = credit_add(bench.node_running[job->node], job->amount);
		return credit_fits(sum, share);
	}
	sum = credit_add(bench.report, bench.node_started[job->node]);
	return credit_fits(credit_add(sum, job->amount), limit);
}

static void end_use(job_t *job)
{
	if (job->use >= 0 && credit_sim_working(&bench.sim, job->node)) {
		credit_sim_end_use(&bench.sim, job->node, job->use);
		job->use = -1;
	}
}

static void step_job(job_t *job)
{
	int64_t now_us = bench.sim.now_us;

	if (job->state == JOB_SCHEDULED && now_us >= job->arrives_us) {
		while (!bench.sim.nodes[job->node].up)
			job->node = (job->node + 1) % SIM_NODES;
		job->state = JOB_WAITING;
	}
	if (job->state == JOB_WAITING &&
	    credit_sim_working(&bench.sim, job->node)) {
		if (bench.policy == POLICY_CREDITS && job->use < 0)
			job->use = credit_sim_start_use(&bench.sim, job->node,
							job->amount);
		if (may_start(job))
			start_job(job);
	}
	if (job->state == JOB_RUNNING && now_us >= job->ends_us) {
		stop_job(job);
		bench.completed++;
	}
	if (job->state == JOB_DONE)
		end_use(job);
}

/* Ends the streams of the crashed node; its waiting requests arrive again. */
static void crash(int node)
{
	int i;

	credit_sim_crash(&bench.sim, node);
	for (i = 0; i < bench.job_count; i++) {
		job_t *job = &bench.jobs[i];

		if (job->node != node)
			continue;
		if (job->state == JOB_RUNNING)
			stop_job(job);
		else if (job->state == JOB_WAITING)
			job->state = JOB_SCHEDULED;
		job->use = -1;
	}
}

/* The server reports its load every LAG_US; nodes receive each load report
 * LAG_US later. */
static void step_report(void)
{
	if (bench.sim.now_us < bench.report_at_us)
		return;
	bench.report = bench.report_next;
	bench.report_next = bench.running;
	bench.report_at_us = bench.sim.now_us + LAG_US;
	memset(bench.node_started, 0, sizeof(bench.node_started));
}

static void step_faults(credit_sim_t *faults)
{
	int64_t step = bench.sim.now_us / bench.sim.step_us;
	int node = (int)credit_sim_random(faults, SIM_NODES);
	int64_t pause_us = 500 * US_PER_MS +
			   (int64_t)credit_sim_random(faults, 4 * US_PER_S);

	if (step % 700 == 0)
		credit_sim_pause(&bench.sim, node, pause_us);
	bench.sim.loss_percent = step / 1000 % 4 == 3 ? 20 : 2;
	if (step == 3000 || step == 7500)
		crash(bench.sim.nodes[0].owner_node);
	if (step == 3500 || step == 8000)
		for (node = 0; node < SIM_NODES; node++)
			if (!bench.sim.nodes[node].up)
				credit_sim_restart(&bench.sim, node);
}

static void measure(void)
{
	int64_t waiting = 0, idle = LIMIT_TOKENS - bench.running.kv_tokens;
	int i;

	bench.used_fraction += (double)bench.running.kv_tokens / LIMIT_TOKENS *
			       ((double)bench.sim.step_us / US_PER_S) / RUN_S;
	if (idle < 0) {
		bench.overcommit_us += bench.sim.step_us;
		if (-idle > bench.overcommit_max)
			bench.overcommit_max = -idle;
		return;
	}
	for (i = 0; i < bench.job_count; i++)
		if (bench.jobs[i].state == JOB_WAITING &&
		    credit_sim_working(&bench.sim, bench.jobs[i].node))
			waiting += bench.jobs[i].amount.kv_tokens;
	bench.idle_fraction += (double)(waiting < idle ? waiting : idle) /
			       LIMIT_TOKENS *
			       ((double)bench.sim.step_us / US_PER_S) / RUN_S;
}

static void run(policy_t policy)
{
	static const credit_amount_t limit = { LIMIT_TOKENS, LIMIT_SLOTS };
	static const credit_amount_t block = { 5000, 2 };
	credit_sim_t faults = { .random = SEED + 1 };
	int i;

	memset(&bench, 0, sizeof(bench));
	bench.policy = policy;
	credit_sim_start(&bench.sim, limit, block, SEED);
	bench.sim.report_lag_us = LAG_US;
	bench.sim.lost_confirmed = true;
	make_jobs();
	while (bench.sim.now_us < RUN_S * US_PER_S) {
		credit_sim_step(&bench.sim);
		step_report();
		for (i = 0; i < bench.job_count; i++)
			step_job(&bench.jobs[i]);
		step_faults(&faults);
		measure();
	}
	credit_sim_stop(&bench.sim);
	if (policy != POLICY_CREDITS)
		bench.sim.sent_messages = 0;
	printf("%-16s %14lld %12.2f %9.1f%% %9.1f%% %10d %10.1f\n",
	       policy_names[policy], (long long)bench.overcommit_max,
	       (double)bench.overcommit_us / US_PER_S,
	       100 * bench.idle_fraction, 100 * bench.used_fraction,
	       bench.completed,
	       (double)bench.sim.sent_messages / RUN_S / SIM_NODES);
}

int main(void)
{
	printf("%d nodes, %d tokens, %d s, seed %d\n", SIM_NODES, LIMIT_TOKENS,
	       RUN_S, SEED);
	printf("%-16s %14s %12s %10s %10s %10s %10s\n", "", "over (tokens)",
	       "over (s)", "lost", "used", "completed", "messages");
	run(POLICY_CREDITS);
	run(POLICY_SHARES);
	run(POLICY_REPORTS);
	return 0;
}
