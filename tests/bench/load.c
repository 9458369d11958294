/**
 * Sends a mix of calls with a fixed seed, bounded in number and time, and
 * prints one line of figures for each kind: short and long prompts, lookups,
 * actions. The status is 1 if an answer was wrong or, with --all-complete, if
 * a call did not get its whole answer.
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

enum { TARGETS_MAX = 16, ACTIONS_MAX = 4096, EXTRA_WAIT_MS = 5000 };

typedef enum { KIND_SHORT, KIND_LONG, KIND_LOOKUP, KIND_ACTION, KINDS } kind_t;

static const char *const kind_names[] = { "short", "long", "lookup", "action" };

/** Figures of the calls of one kind. */
typedef struct {
	int64_t weight;
	int64_t count, complete, not_run, failed, unreached, wrong, tokens;
	int64_t busy; /**< repeats of an action that is still running */
	int64_t *ttft_us, *total_us;
} figures_t;

static figures_t figures[KINDS];
static char *name, *history, *key, *target_text, *service, *class_name,
	*long_class;
static char *targets[TARGETS_MAX];
static int target_count;
static int64_t calls = 1000000, seconds = 10, concurrency = 8, rate, seed = 1,
	       short_tokens = 1000, long_tokens = 100000, max_tokens = 20,
	       deadline_ms, long_deadline_ms, slow_percent, stop_percent,
	       chat_percent, repeat_percent = 30;
static int all_complete;
static uint64_t answers[ACTIONS_MAX]; /* of actions, 0: not known */
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
		total += figures[kind].weight;
	choice = (int64_t)next_random((uint64_t)(total ? total : 1));
	for (kind = 0; kind < KINDS - 1; kind++) {
		choice -= figures[kind].weight;
		if (choice < 0)
			break;
	}
	return kind;
}

static read_mode_t choose_read_mode(void)
{
	int64_t choice = (int64_t)next_random(100);

	if (choice < stop_percent)
		return READ_NOTHING;
	return choice < stop_percent + slow_percent ? READ_SLOWLY : READ_ALL;
}

/* Some actions repeat an earlier one, finished or not. */
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

/* A repeated action has to get the answer that was recorded. */
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
	figures_t *sum = &figures[kind];

	sum->tokens += result->tokens;
	sum->wrong += result->wrong > 0 ||
		      (*spec->action && !is_recorded_answer(spec, result));
	if (result->complete) {
		sum->ttft_us[sum->complete] = result->ttft_us;
		sum->total_us[sum->complete++] = result->total_us;
	} else if (!result->connected) {
		sum->unreached++;
	} else if (!strcmp(result->code, "in_progress")) {
		sum->busy++;
	} else if (!strcmp(result->outcome, "not-run")) {
		sum->not_run++;
	} else {
		sum->failed++;
	}
	sum->count++;
}

/* @return calls that are given up */
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
	/* Calls that a broken server never ends are given up. */
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

/* @param gone calls that were given up without an answer */
static int print_figures(int64_t took_us, int gone)
{
	int kind, status = all_complete && gone ? 1 : 0;

	if (gone)
		printf("gone count=%d\n", gone);

	for (kind = 0; kind < KINDS; kind++) {
		figures_t *sum = &figures[kind];
		int64_t *ttft = sum->ttft_us, *total = sum->total_us;

		if (!sum->weight)
			continue;
		printf("%s count=%" PRId64 " complete=%" PRId64
		       " not_run=%" PRId64 " failed=%" PRId64
		       " unreached=%" PRId64 " wrong=%" PRId64 " busy=%" PRId64
		       " tokens_per_s=%" PRId64,
		       kind_names[kind], sum->count, sum->complete,
		       sum->not_run, sum->failed, sum->unreached, sum->wrong,
		       sum->busy, sum->tokens * US_PER_S / took_us);
		printf(" ttft_p50_us=%" PRId64 " ttft_p95_us=%" PRId64
		       " total_p50_us=%" PRId64 " total_p95_us=%" PRId64 "\n",
		       quantile(ttft, sum->complete, 50),
		       quantile(ttft, sum->complete, 95),
		       quantile(total, sum->complete, 50),
		       quantile(total, sum->complete, 95));
		if (sum->wrong ||
		    (all_complete && sum->complete + sum->busy < sum->count))
			status = 1;
	}
	return status;
}

static void parse_targets(void)
{
	char *place, *word = strtok_r(target_text, ",", &place);

	for (; word && target_count < TARGETS_MAX;
	     word = strtok_r(NULL, ",", &place))
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
		TEXT("name", &name, "prefix of the call numbers"),
		TEXT("history", &history, "history file"),
		TEXT("key", &key, "bearer key; none: to an engine directly"),
		TEXT("targets", &target_text, "ADDRESS:PORT,..."),
		TEXT("service", &service, "model service"),
		TEXT("class", &class_name, "class of short prompts"),
		TEXT("long-class", &long_class, "class of long prompts"),
		NUMBER("calls", &calls, "at most so many calls"),
		NUMBER("seconds", &seconds, "starts calls for this time"),
		NUMBER("concurrency", &concurrency, "calls in flight"),
		NUMBER("rate", &rate, "calls a second; 0: as fast as answered"),
		NUMBER("seed", &seed, "of the choices"),
		NUMBER("short", &figures[KIND_SHORT].weight, "weight in mix"),
		NUMBER("long", &figures[KIND_LONG].weight, "weight in mix"),
		NUMBER("lookup", &figures[KIND_LOOKUP].weight, "weight in mix"),
		NUMBER("action", &figures[KIND_ACTION].weight, "weight in mix"),
		NUMBER("short-tokens", &short_tokens, "prompt length"),
		NUMBER("long-tokens", &long_tokens, "prompt length"),
		NUMBER("max-tokens", &max_tokens, "answer length"),
		NUMBER("deadline-ms", &deadline_ms, "time limit of a call"),
		NUMBER("long-deadline-ms", &long_deadline_ms,
		       "time limit of a long prompt"),
		NUMBER("slow-percent", &slow_percent,
		       "callers that read slowly"),
		NUMBER("stop-percent", &stop_percent,
		       "callers that stop reading"),
		NUMBER("chat-percent", &chat_percent, "chat completions"),
		NUMBER("repeat-percent", &repeat_percent, "repeated actions"),
		{ "all-complete", 0, POPT_ARG_NONE, &all_complete, 0,
		  "fail unless every call gets its whole answer", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int result = poptGetNextOpt(context);

	if (result < -1 || poptPeekArg(context) || !target_text) {
		fprintf(stderr, "load: %s\n",
			result < -1 ? poptStrerror(result)
				    : "need --targets and no arguments");
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
	int status = parse_options(argc, argv), kind, gone;
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
		figures[kind].ttft_us = mem_calloc((size_t)calls, 8);
		figures[kind].total_us = mem_calloc((size_t)calls, 8);
	}
	caller = caller_create(on_result, NULL);
	gone = run_calls(caller);
	caller_destroy(caller);
	status = print_figures(clock_monotonic_us() - start_us, gone);
	for (kind = 0; kind < KINDS; kind++) {
		free(figures[kind].ttft_us);
		free(figures[kind].total_us);
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
