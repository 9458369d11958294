/**
 * Load generator: sends a mix of calls with a fixed seed, bounded in number and
 * time, and prints one line of statistics for each kind of call: short and long
 * prompts, lookups, actions. The exit status is 1 if an answer was wrong or,
 * with --all-complete, if a call did not get its whole answer.
 */
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/mem.h"
#include "base/units.h"
#include "lib/client.h"

enum {
	TARGETS_MAX = 16,
	ACTIONS_MAX = 4096,
	/* Wait for calls in flight after their time limit. */
	EXTRA_WAIT_MS = 5000
};

typedef enum { KIND_SHORT, KIND_LONG, KIND_LOOKUP, KIND_ACTION, KINDS } kind_t;

static const char *const kind_names[] = { "short", "long", "lookup", "action" };

/** Statistics of the calls of one kind. */
typedef struct {
	int64_t weight; /**< share of the mix, relative to the other weights */
	int64_t count, /**< calls that ended */
		complete, /**< calls with a correct and whole answer */
		not_run, /**< calls answered with outcome not-run */
		failed, /**< calls that ended in another way */
		unreached, /**< calls without a connection to the target */
		wrong, /**< calls with wrong content, or repeated actions with
			* another answer than the recorded one; also counted
			* in one of the other fields */
		tokens; /**< tokens that all calls received */
	int64_t busy; /**< repeats of an action that is still running */
	/* Latency of each complete call: to the first byte, and in total. */
	int64_t *ttft_us, *total_us;
} statistics_t;

static statistics_t statistics[KINDS];
static char *name, *history, *key, *target_text, *service, *class_name,
	*long_class;
static char *targets[TARGETS_MAX];
static int target_count;
static int64_t calls = 1000000, seconds = 10, concurrency = 8, rate, seed = 1,
	       short_tokens = 1000, long_tokens = 100000, max_tokens = 20,
	       deadline_ms, long_deadline_ms, slow_percent, stop_percent,
	       chat_percent, repeat_percent = 30;
static int all_complete;
/* Hash of the answer to each action; 0: no answer yet. */
static uint64_t answers[ACTIONS_MAX];
static int64_t action_count, call_count;

static uint64_t next_random(uint64_t below)
{
	static uint64_t state;

	state = (state ? state : (uint64_t)seed) * 6364136223846793005U +
		1442695040888963407U;
	return (state >> 33) % below;
}

static kind_t choose_kind(void)
{
	int64_t total = 0, choice;
	int kind;

	for (kind = 0; kind < KINDS; kind++)
		total += statistics[kind].weight;
	choice = (int64_t)next_random((uint64_t)(total ? total : 1));
	for (kind = 0; kind < KINDS - 1; kind++) {
		choice -= statistics[kind].weight;
		if (choice < 0)
			break;
	}
	return kind;
}

static read_mode_t choose_read_mode(void)
{
	int64_t choice = (int64_t)next_random(100);

	if (choice < stop_percent)
		return READ_STALL;
	return choice < stop_percent + slow_percent ? READ_SLOW : READ_ALL;
}

/* Writes the id of an action; repeat_percent of the ids are those of earlier
 * actions, which may still run. */
static void choose_action(char action[64])
{
	int64_t number = action_count;

	if (action_count && (action_count == ACTIONS_MAX ||
			     (int64_t)next_random(100) < repeat_percent))
		number = (int64_t)next_random((uint64_t)action_count);
	else
		action_count++;
	snprintf(action, 64, "%s-a%" PRId64, name, number);
}

static void start_call(caller_t *caller)
{
	kind_t kind = choose_kind();
	call_spec_t spec = {
		.address = targets[next_random((uint64_t)target_count)],
		.key = key,
		.service = service,
		.class_name = class_name,
		.prompt_tokens = short_tokens,
		.max_tokens = max_tokens,
		.deadline_ms = deadline_ms
	};

	snprintf(spec.id, sizeof(spec.id), "%.24s-%" PRId64, name,
		 ++call_count);
	spec.seed = (uint64_t)seed + (uint64_t)call_count;
	if (kind == KIND_LONG) {
		spec.prompt_tokens = long_tokens;
		spec.class_name = long_class;
		spec.deadline_ms = long_deadline_ms;
	}
	if (kind < KIND_LOOKUP) {
		spec.read_mode = choose_read_mode();
		spec.chat = (int64_t)next_random(100) < chat_percent;
		if (spec.read_mode != READ_ALL)
			spec.deadline_ms = 0;
	} else {
		spec.kind = kind == KIND_LOOKUP ? CALL_LOOKUP : CALL_ACTION;
		spec.service = kind == KIND_LOOKUP ? "status" : "orders";
		if (kind == KIND_ACTION)
			choose_action(spec.action);
		spec.class_name = NULL;
	}
	caller_start(caller, &spec);
}

/* @return false if an action got another answer than an earlier call for the
 * same action: a repeat must get the recorded answer */
static bool is_recorded_answer(const call_spec_t *spec,
			       const call_result_t *result)
{
	int64_t number = strtoll(strrchr(spec->action, '-') + 2, NULL, 10);

	if (!result->complete)
		return true;
	if (!answers[number])
		answers[number] = result->answer_hash;
	return answers[number] == result->answer_hash;
}

static void on_result(void *context, const call_spec_t *spec,
		      const call_result_t *result)
{
	kind_t kind = spec->kind == CALL_LOOKUP		   ? KIND_LOOKUP
		      : spec->kind == CALL_ACTION	   ? KIND_ACTION
		      : spec->prompt_tokens > short_tokens ? KIND_LONG
							   : KIND_SHORT;
	statistics_t *stats = &statistics[kind];

	stats->tokens += result->tokens;
	stats->wrong += result->wrong > 0 ||
			(*spec->action && !is_recorded_answer(spec, result));
	if (result->complete) {
		stats->ttft_us[stats->complete] = result->ttft_us;
		stats->total_us[stats->complete++] = result->total_us;
	} else if (!result->connected) {
		stats->unreached++;
	} else if (!strcmp(result->code, "in_progress")) {
		stats->busy++;
	} else if (!strcmp(result->outcome, "not-run")) {
		stats->not_run++;
	} else {
		stats->failed++;
	}
	stats->count++;
}

/* @return the number of calls that got no answer in time */
static int run_calls(caller_t *caller)
{
	int64_t start_us = clock_monotonic_us(), now_us = start_us;
	int64_t end_us = start_us + seconds * US_PER_S;
	int running = 0;

	while (call_count < calls && now_us < end_us) {
		int64_t due = rate ? (now_us - start_us) * rate / US_PER_S + 1
				   : INT64_MAX;

		while (running < concurrency && call_count < calls &&
		       call_count < due) {
			start_call(caller);
			running++;
		}
		running = caller_run(caller, 1);
		now_us = clock_monotonic_us();
	}
	/* A broken server may never end a call, so the wait is bounded. */
	end_us = now_us + EXTRA_WAIT_MS * US_PER_MS +
		 (deadline_ms > long_deadline_ms ? deadline_ms
						 : long_deadline_ms) *
			 US_PER_MS;
	while (running && clock_monotonic_us() < end_us)
		running = caller_run(caller, 10);
	return running;
}

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static int64_t quantile(int64_t *values, int64_t count, int64_t percent)
{
	qsort(values, (size_t)count, sizeof(*values), compare);
	return count ? values[(count - 1) * percent / 100] : 0;
}

/* @param unanswered number of calls that got no answer in time
 * @return the exit status */
static int print_statistics(int64_t elapsed_us, int unanswered)
{
	int kind, status = all_complete && unanswered ? 1 : 0;

	if (unanswered)
		printf("gone count=%d\n", unanswered);

	for (kind = 0; kind < KINDS; kind++) {
		statistics_t *stats = &statistics[kind];
		int64_t *ttft = stats->ttft_us, *total = stats->total_us;

		if (!stats->weight)
			continue;
		printf("%s count=%" PRId64 " complete=%" PRId64
		       " not_run=%" PRId64 " failed=%" PRId64
		       " unreached=%" PRId64 " wrong=%" PRId64 " busy=%" PRId64
		       " tokens_per_s=%" PRId64,
		       kind_names[kind], stats->count, stats->complete,
		       stats->not_run, stats->failed, stats->unreached,
		       stats->wrong, stats->busy,
		       stats->tokens * US_PER_S / elapsed_us);
		printf(" ttft_p50_us=%" PRId64 " ttft_p95_us=%" PRId64
		       " total_p50_us=%" PRId64 " total_p95_us=%" PRId64 "\n",
		       quantile(ttft, stats->complete, 50),
		       quantile(ttft, stats->complete, 95),
		       quantile(total, stats->complete, 50),
		       quantile(total, stats->complete, 95));
		if (stats->wrong ||
		    (all_complete &&
		     stats->complete + stats->busy < stats->count))
			status = 1;
	}
	return status;
}

static void parse_targets(void)
{
	char *rest, *word = strtok_r(target_text, ",", &rest);

	for (; word && target_count < TARGETS_MAX;
	     word = strtok_r(NULL, ",", &rest))
		targets[target_count++] = word;
}

static int parse_options(int argc, const char **argv)
{
#define NUMBER(option, target, help)                               \
	{                                                          \
		option, 0, POPT_ARG_LONGLONG, target, 0, help, "N" \
	}
#define TEXT(option, target, help)                                  \
	{                                                           \
		option, 0, POPT_ARG_STRING, target, 0, help, "TEXT" \
	}
	struct poptOption options[] = {
		TEXT("name", &name, "prefix of the call ids"),
		TEXT("history", &history, "history file"),
		TEXT("key", &key, "bearer key; empty: call an engine directly"),
		TEXT("targets", &target_text, "ADDRESS:PORT,..."),
		TEXT("service", &service, "model service"),
		TEXT("class", &class_name, "class of short prompts"),
		TEXT("long-class", &long_class, "class of long prompts"),
		NUMBER("calls", &calls, "most calls to send"),
		NUMBER("seconds", &seconds,
		       "time in which calls are started, s"),
		NUMBER("concurrency", &concurrency, "most calls in flight"),
		NUMBER("rate", &rate, "calls a second; 0: no limit"),
		NUMBER("seed", &seed, "of the random choices"),
		NUMBER("short", &statistics[KIND_SHORT].weight,
		       "weight in mix"),
		NUMBER("long", &statistics[KIND_LONG].weight, "weight in mix"),
		NUMBER("lookup", &statistics[KIND_LOOKUP].weight,
		       "weight in mix"),
		NUMBER("action", &statistics[KIND_ACTION].weight,
		       "weight in mix"),
		NUMBER("short-tokens", &short_tokens, "prompt length, tokens"),
		NUMBER("long-tokens", &long_tokens, "prompt length, tokens"),
		NUMBER("max-tokens", &max_tokens, "answer length, tokens"),
		NUMBER("deadline-ms", &deadline_ms, "time limit of a call"),
		NUMBER("long-deadline-ms", &long_deadline_ms,
		       "time limit of a long prompt"),
		NUMBER("slow-percent", &slow_percent,
		       "percentage of prompts whose caller reads slowly"),
		NUMBER("stop-percent", &stop_percent,
		       "percentage of prompts whose caller stops reading"),
		NUMBER("chat-percent", &chat_percent,
		       "percentage of prompts sent as chat completions"),
		NUMBER("repeat-percent", &repeat_percent,
		       "percentage of actions that repeat an earlier one"),
		{ "all-complete", 0, POPT_ARG_NONE, &all_complete, 0,
		  "fail unless every call gets its whole answer", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int result = poptGetNextOpt(context);

	if (result < -1 || poptPeekArg(context) || !target_text) {
		fprintf(stderr, "load: %s\n",
			result < -1
				? poptStrerror(result)
				: "--targets is required; arguments are not "
				  "allowed");
		poptFreeContext(context);
		return 2;
	}
	poptFreeContext(context);
	parse_targets();
	if (!name)
		name = mem_strdup("load");
	if (key && !*key) {
		free(key);
		key = NULL;
	}
	if (!service)
		service = mem_strdup("m");
	return 0;
}

int main(int argc, const char **argv)
{
	int status = parse_options(argc, argv), kind, unanswered;
	int64_t start_us = clock_monotonic_us();
	err_t err = { 0 };
	caller_t *caller;

	if (status)
		return status;
	if (!history_open(history, name, &err)) {
		fprintf(stderr, "load: %s\n", err.message);
		return 2;
	}
	for (kind = 0; kind < KINDS; kind++) {
		statistics[kind].ttft_us = mem_calloc((size_t)calls, 8);
		statistics[kind].total_us = mem_calloc((size_t)calls, 8);
	}
	caller = caller_create(on_result, NULL);
	unanswered = run_calls(caller);
	caller_destroy(caller);
	status = print_statistics(clock_monotonic_us() - start_us, unanswered);
	for (kind = 0; kind < KINDS; kind++) {
		free(statistics[kind].ttft_us);
		free(statistics[kind].total_us);
	}
	history_close();
	free(name);
	free(history);
	free(key);
	free(target_text);
	free(service);
	free(class_name);
	free(long_class);
	return status;
}
