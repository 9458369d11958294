/**
 * @file policy.c
 * Runs one mixed load with each routing policy on simulated engines and prints
 * the time to first token (TTFT). Deterministic: an event list, no threads, no
 * clock.
 *
 * The engines compute prefill in chunks, highest priority first, and hold the
 * KV memory until the answer ends. Three nodes choose servers from reports
 * that are taken every 100 ms and arrive 100 ms later. Credits come from one
 * ledger that is always up to date, so only the choice of servers differs.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "bench/model.h"
#include "process/dispatch.h"

enum { NODES = 3, REQUESTS = 12000, LONG_TOKENS = 32000, BANDS = 4 };

#define UTILISATION 0.6 /* load, as a fraction of all servers' prefill rate */
#define TOKEN_TIME_US (20 * US_PER_MS) /* between tokens of an answer */
#define REPORT_INTERVAL_US (100 * US_PER_MS)
#define REPORT_LAG_US (100 * US_PER_MS)
#define TICK_US (10 * US_PER_MS)
#define SHORT_DEADLINE_US (30 * US_PER_S)
#define LONG_DEADLINE_US (600 * US_PER_S)
/* Highest allowed ratio of the TTFT of short prompts in the mixed load to their
 * TTFT in a load without long prompts. */
#define RATIO_TARGET 1.5

typedef struct {
	int64_t arrival_us;
	int64_t prompt_tokens;
	int64_t first_token_us; /* 0: no token yet */
	int64_t end_us; /* 0: not ended, or refused */
	int32_t prefills_left; /* servers that still compute prefill */
	uint32_t attempt;
} job_t;

static job_t jobs[REQUESTS];
static size_t job_count, jobs_open;
static dispatch_t *nodes[NODES];
static credit_holder_t ledgers[NODES];

static int64_t answer_tokens(const job_t *job)
{
	return job->prompt_tokens > LONG_TOKENS ? 1000 : 200;
}

static void apply_decisions(size_t node)
{
	dispatch_action_t action;

	while (dispatch_next(nodes[node], &action)) {
		const dispatch_msg_t *sent = &action.message.as.dispatch;
		job_t *job = &jobs[action.message.request];
		size_t count, i;

		if (action.message.type == TASK_MSG_REFUSE) {
			jobs_open--;
			continue;
		}
		count = sent->peer_count + 1;
		job->attempt = sent->stream_id.attempt;
		job->prefills_left = (int32_t)count;
		add_task(server_index(sent->server), action.message.request,
			 job->prompt_tokens / (int64_t)count, sent->priority);
		for (i = 0; i < sent->peer_count; i++)
			add_task(strtoul(strrchr(sent->peers[i], ':') + 1, NULL,
					 10) -
					 10000,
				 action.message.request,
				 job->prompt_tokens / (int64_t)count,
				 sent->priority);
	}
}

static void arrive(size_t index)
{
	const job_t *job = &jobs[index];
	bool is_long = job->prompt_tokens > LONG_TOKENS;
	submit_msg_t message = { .kind = REQUEST_MODEL,
				 .service = "s",
				 .prompt_tokens = job->prompt_tokens,
				 .max_tokens = answer_tokens(job),
				 .received_us = now_us };

	snprintf(message.account, NAME_SIZE_BYTES, "a%zu", index % 10);
	mem_strlcpy(message.class_name, is_long ? "audit" : "quick",
		    NAME_SIZE_BYTES);
	message.deadline_us =
		now_us + (is_long ? LONG_DEADLINE_US : SHORT_DEADLINE_US);
	dispatch_submit(nodes[index % NODES], index, &message, now_us);
	apply_decisions(index % NODES);
	if (index + 1 < job_count)
		add_event((sim_event_t){ .at_us = jobs[index + 1].arrival_us,
					 .type = EVENT_ARRIVAL,
					 .index = index + 1 });
}

static void first_token(size_t index)
{
	job_t *job = &jobs[index];
	const first_token_msg_t message = { job->attempt, now_us };

	job->first_token_us = now_us;
	dispatch_first_token(nodes[index % NODES], index, &message, now_us);
	add_event((sim_event_t){ .at_us = now_us +
					  answer_tokens(job) * TOKEN_TIME_US,
				 .type = EVENT_END,
				 .index = index });
}

static void end_chunk(size_t server, task_t *task)
{
	task_t **link = &engines[server].waiting;

	engines[server].busy = false;
	if (!task->tokens) {
		while (*link != task)
			link = &(*link)->next;
		*link = task->next;
		if (!--jobs[task->job].prefills_left)
			first_token(task->job);
		free(task);
	}
	start_chunk(server);
}

static void end_answer(size_t index)
{
	job_t *job = &jobs[index];
	const finished_msg_t message = { .attempt = job->attempt,
					 .end = ATTEMPT_COMPLETE,
					 .delivered_tokens =
						 answer_tokens(job) };

	job->end_us = now_us;
	jobs_open--;
	dispatch_finished(nodes[index % NODES], index, &message, now_us);
	apply_decisions(index % NODES);
}

static void take_report(size_t server)
{
	const engine_t *engine = &engines[server];
	load_report_t *report = mem_calloc(1, sizeof(*report));

	snprintf(report->server, NAME_SIZE_BYTES, "e%zu", server);
	report->incarnation = 1;
	report->kv_total_tokens = KV_TOKENS;
	report->kv_used_tokens = engine->kv_used;
	report->prefill_queued_tokens = engine->backlog_tokens;
	report->prefill_tokens_per_s = PREFILL_TOKENS_PER_S;
	report->shares_kv = true;
	report->model_count = 1;
	mem_strlcpy(report->models[0], "m", NAME_SIZE_BYTES);
	report->taken_us = now_us;
	add_event((sim_event_t){ .at_us = now_us + REPORT_LAG_US,
				 .type = EVENT_REPORT_ARRIVES,
				 .report = report });
	add_event((sim_event_t){ .at_us = now_us + REPORT_INTERVAL_US,
				 .type = EVENT_REPORT,
				 .index = server });
}

static void report_arrives(load_report_t *report)
{
	size_t node;

	report->received_us = now_us;
	for (node = 0; node < NODES; node++) {
		dispatch_apply_report(nodes[node], report, now_us);
		apply_decisions(node);
	}
	free(report);
}

static void tick(void)
{
	size_t node;

	for (node = 0; node < NODES; node++) {
		dispatch_tick(nodes[node], now_us);
		apply_decisions(node);
	}
	add_event(
		(sim_event_t){ .at_us = now_us + TICK_US, .type = EVENT_TICK });
}

static void handle(const sim_event_t *event)
{
	now_us = event->at_us;
	switch (event->type) {
	case EVENT_ARRIVAL:
		arrive(event->index);
		break;
	case EVENT_CHUNK:
		end_chunk(event->index, event->task);
		break;
	case EVENT_END:
		end_answer(event->index);
		break;
	case EVENT_REPORT:
		take_report(event->index);
		break;
	case EVENT_REPORT_ARRIVES:
		report_arrives(event->report);
		break;
	case EVENT_TICK:
		tick();
		break;
	}
}

static document_t *make_document(void)
{
	char text[8192];
	document_t *document;
	int length, i;

	length = snprintf(
		text, sizeof(text),
		"{\"version\":1,\"data_centres\":[{\"name\":\"a\"}],"
		"\"classes\":[{\"name\":\"quick\",\"deadline_ms\":30000},"
		"{\"name\":\"audit\",\"deadline_ms\":600000}],"
		"\"limits\":{\"long_prompt_tokens\":%d},"
		"\"services\":[{\"name\":\"s\",\"kind\":\"model\","
		"\"model\":\"m\",\"class\":\"quick\"}],\"servers\":[",
		LONG_TOKENS);
	for (i = 0; i < SERVERS; i++)
		length += snprintf(
			text + length, sizeof(text) - (size_t)length,
			"%s{\"name\":\"e%d\",\"data_centre\":\"a\",\"model\":"
			"\"m\",\"kind\":\"engine\",\"kv_tokens\":%d,"
			"\"url\":\"http://127.0.0.1:%d\"}",
			i ? "," : "", i, KV_TOKENS, 10000 + i);
	snprintf(text + length, sizeof(text) - (size_t)length, "]}");
	document = document_parse(text, strlen(text), NULL);
	if (!document)
		abort();
	return document;
}

static void start_nodes(route_policy_t policy)
{
	document_t *document = make_document();
	size_t node;

	for (node = 0; node < NODES; node++) {
		dispatch_conf_t conf = { .incarnation = 1,
					 .data_centre = "a",
					 .policy = policy,
					 .queue_max = 2000 };

		snprintf(conf.vm_id, NAME_SIZE_BYTES, "vm%zu", node);
		nodes[node] = dispatch_create(&conf, &ledgers[node]);
		dispatch_configure(nodes[node], document, 0);
	}
	document_unref(document);
}

static void stop_nodes(void)
{
	size_t node;

	for (; event_count; event_count--) {
		free(events[event_count - 1].task);
		free(events[event_count - 1].report);
	}
	for (node = 0; node < NODES; node++) {
		dispatch_destroy(nodes[node]);
		free(ledgers[node].draws);
		ledgers[node] = (credit_holder_t){ 0 };
	}
}

static void simulate(route_policy_t policy)
{
	size_t i;

	memset(engines, 0, sizeof(engines));
	now_us = 0;
	start_nodes(policy);
	jobs_open = job_count;
	add_event((sim_event_t){ .at_us = jobs[0].arrival_us,
				 .type = EVENT_ARRIVAL });
	for (i = 0; i < SERVERS; i++)
		add_event((sim_event_t){ .at_us = (int64_t)i *
						  REPORT_INTERVAL_US / SERVERS,
					 .type = EVENT_REPORT,
					 .index = i });
	add_event((sim_event_t){ .type = EVENT_TICK });
	while (jobs_open) {
		sim_event_t event = take_event();

		handle(&event);
	}
	stop_nodes();
}

static uint64_t seed;

static double next_fraction(void)
{
	seed = seed * UINT64_C(6364136223846793005) +
	       UINT64_C(1442695040888963407);
	return (double)(seed >> 11) / (double)(UINT64_C(1) << 53);
}

/* Prompt lengths are spread evenly over their logarithm; one prompt in fifty is
 * above 100,000 tokens. Arrivals are random at a constant rate. */
static void make_jobs(bool with_long)
{
	const double mean_tokens =
		0.98 * 99000 / log(100) + 0.02 * 900000 / log(10);
	const double interval_us =
		US_PER_S * mean_tokens /
		(UTILISATION * SERVERS * PREFILL_TOKENS_PER_S);
	double at_us = 0;
	size_t i;

	seed = 1;
	job_count = 0;
	memset(jobs, 0, sizeof(jobs));
	for (i = 0; i < REQUESTS; i++) {
		bool above = next_fraction() < 0.02;
		double length = above ? 100000 * pow(10, next_fraction())
				      : 1000 * pow(100, next_fraction());

		at_us -= interval_us * log(1 - next_fraction());
		if (length > LONG_TOKENS && !with_long)
			continue;
		jobs[job_count].arrival_us = (int64_t)at_us;
		jobs[job_count++].prompt_tokens = (int64_t)length;
	}
}

static int ascending(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* The TTFT of a request without an answer counts as its time limit. */
static double job_ttft_s(const job_t *job)
{
	bool is_long = job->prompt_tokens > LONG_TOKENS;
	int64_t limit_us = is_long ? LONG_DEADLINE_US : SHORT_DEADLINE_US;

	if (!job->first_token_us)
		return (double)limit_us / US_PER_S;
	return (double)(job->first_token_us - job->arrival_us) / US_PER_S;
}

/* @return percentile of the TTFT of prompts with more than @p above and at most
 * @p most tokens, in seconds; 0 if there are no such prompts */
static double ttft_s(double above, double most, int percent)
{
	static double times[REQUESTS];
	size_t count = 0, i;

	for (i = 0; i < job_count; i++)
		if ((double)jobs[i].prompt_tokens > above &&
		    (double)jobs[i].prompt_tokens <= most)
			times[count++] = job_ttft_s(&jobs[i]);
	if (!count)
		return 0;
	qsort(times, count, sizeof(double), ascending);
	return times[count * (size_t)percent / 100];
}

/* @return percentage of a lane's requests that ended before their deadline. */
static double in_time_percent(bool is_long)
{
	int64_t limit_us = is_long ? LONG_DEADLINE_US : SHORT_DEADLINE_US;
	size_t count = 0, in_time = 0, i;

	for (i = 0; i < job_count; i++) {
		if ((jobs[i].prompt_tokens > LONG_TOKENS) != is_long)
			continue;
		count++;
		in_time += jobs[i].end_us &&
			   jobs[i].end_us - jobs[i].arrival_us <= limit_us;
	}
	return count ? 100.0 * (double)in_time / (double)count : 0;
}

/* Runs a policy and prints its line. @return true if it met the target ratio */
static bool run_policy(route_policy_t policy, const char *name)
{
	static const double limits[BANDS + 1] = { 0, 8000, LONG_TOKENS, 100000,
						  1e9 };
	double without_long_s, ratio;
	int b;

	make_jobs(false);
	simulate(policy);
	without_long_s = ttft_s(0, LONG_TOKENS, 95);
	make_jobs(true);
	simulate(policy);
	ratio = ttft_s(0, LONG_TOKENS, 95) / without_long_s;
	printf("%-17s %6.2f", name, ratio);
	for (b = 0; b < BANDS; b++) {
		double p50 = ttft_s(limits[b], limits[b + 1], 50);
		double p95 = ttft_s(limits[b], limits[b + 1], 95);

		printf(" %7.2f %7.2f", p50, p95);
	}
	printf(" %7.2f %7.2f\n", in_time_percent(false), in_time_percent(true));
	return ratio <= RATIO_TARGET;
}

int main(void)
{
	bool met;

	printf("%d servers, %.0f%% of their prefill rate, prompts of 1,000 to "
	       "1,000,000 tokens\nratio: 95th percentile of the TTFT of "
	       "prompts up to %d tokens, with and without longer ones; target "
	       "%.1f\nTTFT in seconds (median, 95th percentile) per band of "
	       "prompt tokens; %% in time\n",
	       SERVERS, 100 * UTILISATION, LONG_TOKENS, RATIO_TARGET);
	printf("%-17s %6s %15s %15s %15s %15s %7s %7s\n", "policy", "ratio",
	       "<=8k", "<=32k", "<=100k", ">100k", "short%", "long%");
	run_policy(ROUTE_ROUND_ROBIN, "round-robin");
	run_policy(ROUTE_LEAST_OUTSTANDING, "least-outstanding");
	run_policy(ROUTE_COST, "cost");
	met = run_policy(ROUTE_COST_LANES, "cost-lanes");
	printf("target %s\n", met ? "met" : "missed");
	return 0;
}
