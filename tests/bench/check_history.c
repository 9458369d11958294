/**
 * Checks the history files of one run against the invariants of docs/design.md,
 * section 1.2.
 * usage: check_history [--may-cut] [--min-complete N] FILE...
 * Prints one line for each violation, `violation RULE: ...`. The exit status is
 * 0 without violations, 1 with violations, 2 if a file cannot be read.
 */
#include <inttypes.h>
#include <popt.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/units.h"
#include "lib/history_index.h"

/* From the acceptance of a configuration until a node must have applied it
 * (invariant 10). */
#define CONFIG_LIMIT_US (4 * US_PER_S)
/* From the removal of a server until the server may get no new request
 * (invariants 4 and 8). */
#define RETIRE_LIMIT_US (3 * US_PER_S)
/* Added to time limits, since other processes load the VM. */
#define SCHEDULING_SLACK_US (1 * US_PER_S)

static history_t history;
static int64_t violations, complete_count;
static int may_cut; /* 1: answers may end early; 0: they may not */

static void violation(const char *rule, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void violation(const char *rule, const char *format, ...)
{
	va_list args;

	printf("violation %s: ", rule);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
	violations++;
}

static void check_at_most_once(void)
{
	const action_t *action;

	for (action = history.actions; action; action = action->hh.next)
		if (action->executions > 1)
			violation("at-most-once",
				  "action %s ran %" PRId64
				  " times instead of once",
				  action->id, action->executions);
}

/* @return true if the answer promised that the call was not run */
static bool is_not_run(const call_t *call)
{
	return call->response &&
	       !strcmp(record_text(call->response, "outcome"), "not-run");
}

/* @return true if a call for @p action was sent before @p t_us and its answer,
 * if any, did not promise that the call was not run */
static bool is_admitted(const char *action, int64_t t_us)
{
	const call_t *call;

	for (call = history.calls; call; call = call->hh.next)
		if (call->invoke && call->invoke->t_us <= t_us &&
		    !strcmp(record_text(call->invoke, "action"), action) &&
		    !is_not_run(call))
			return true;
	return false;
}

static void check_not_run(void)
{
	const call_t *call;
	size_t i;

	for (call = history.calls; call; call = call->hh.next)
		if (is_not_run(call) && call->ran_us)
			violation(
				"not-run",
				"call %s was answered not-run, but ran at %" PRId64,
				call->id, call->ran_us);
	for (i = 0; i < history.records.count; i++) {
		const record_t *record = &history.records.items[i];
		const char *action = record_text(record, "action");

		if (record_is(record, "execute") && *action &&
		    !is_admitted(action, record->t_us))
			violation("not-run",
				  "action %s ran at %" PRId64
				  ", but each call for it was answered not-run",
				  action, record->t_us);
	}
}

/* Checks that an answer is correct, and whole if the answer claims so. */
static void check_answer(const call_t *call)
{
	const record_t *response = call->response;
	const char *end = record_text(response, "end");
	bool complete = record_integer(response, "complete");

	complete_count += complete;
	if (record_integer(response, "wrong"))
		violation("answer", "call %s got an answer with wrong content",
			  call->id);
	if (!complete && record_integer(response, "status") == 200 &&
	    !strcmp(end, "done"))
		violation("answer",
			  "call %s ended without an error, but its answer is "
			  "incomplete",
			  call->id);
	if (!strcmp(end, "cut") && record_integer(response, "connected") &&
	    !may_cut)
		violation("cut", "call %s got a truncated answer", call->id);
}

static void check_deadline(const call_t *call)
{
	int64_t limit_ms = record_integer(call->invoke, "deadline_ms");
	int64_t due_us =
		call->invoke->t_us + limit_ms * US_PER_MS + SCHEDULING_SLACK_US;
	int64_t done_us = call->response ? call->response->t_us
					 : history.end_us;

	if (!limit_ms || done_us <= due_us ||
	    done_us <= history_extend_due(&history, call->invoke->t_us, due_us))
		return;
	violation("deadline", "call %s %s %" PRId64 " ms after its start",
		  call->id, call->response ? "ended" : "has no answer",
		  (done_us - call->invoke->t_us) / US_PER_MS);
}

static void check_calls(void)
{
	const call_t *call;

	for (call = history.calls; call; call = call->hh.next) {
		if (!call->invoke)
			continue;
		if (call->response)
			check_answer(call);
		check_deadline(call);
	}
}

static void check_config_order(void)
{
	size_t i;

	for (i = 0; i < history.records.count; i++) {
		const record_t *record = &history.records.items[i];
		int64_t version = record_integer(record, "version");
		node_t *node;

		if (!record_is(record, "config"))
			continue;
		node = history_node(&history,
				    record_text(record, "incarnation"));
		if (version <= node->version)
			violation("config-order",
				  "%s applied version %" PRId64
				  " after %" PRId64,
				  record->who, version, node->version);
		node->version = version;
	}
}

/* @return when a node applied @p version or a later one; INT64_MAX: never */
static int64_t applied_us(const node_t *node, int64_t version)
{
	size_t i;

	for (i = 0; i < history.records.count; i++) {
		const record_t *record = &history.records.items[i];

		if (record_is(record, "config") &&
		    record_integer(record, "version") >= version &&
		    !strcmp(record_text(record, "incarnation"), node->id))
			return record->t_us;
	}
	return INT64_MAX;
}

static void check_config_time(const record_t *accepted)
{
	int64_t version = record_integer(accepted, "version");
	int64_t due_us = history_extend_due(&history, accepted->t_us,
					    accepted->t_us + CONFIG_LIMIT_US);
	const node_t *node;

	for (node = history.nodes; node; node = node->hh.next)
		if (node->start_us <= accepted->t_us &&
		    node->stop_us > due_us && history.end_us > due_us &&
		    applied_us(node, version) > due_us)
			violation("config-time",
				  "%s had not applied version %" PRId64
				  " 4 s after the store accepted it",
				  node->who, version);
}

static void check_server_bounds(const record_t *record)
{
	const char *reason = record_text(record, "reason");

	if (record_is(record, "incarnation") && !strcmp(reason, "cold_limit"))
		violation("cold",
			  "%s restarted because it got too many "
			  "requests while cold",
			  record->who);
	if (record_is(record, "submit") && record_integer(record, "cold") &&
	    record_integer(record, "running") > record_integer(record, "limit"))
		violation("cold",
			  "%s ran %" PRId64
			  " requests while cold, more than its limit",
			  record->who, record_integer(record, "running"));
	if ((record_is(record, "incarnation") &&
	     !strcmp(reason, "kv_overflow")) ||
	    (record_is(record, "kv") &&
	     record_integer(record, "used") > record_integer(record, "total")))
		violation("memory",
			  "requests needed more KV memory than %s has",
			  record->who);
}

/* Reports a request that reached a server more than 3 s after the server left
 * its service.
 * @param at index of the record of the request */
static void check_retired(size_t at)
{
	const record_t *run = &history.records.items[at];
	const record_t *since = NULL; /* first version without the server */
	char name[80];

	snprintf(name, sizeof(name), ",%.64s,", run->who);
	if (!record_is(run, "submit") && !record_is(run, "execute"))
		return;
	while (at-- > 0) {
		const record_t *record = &history.records.items[at];

		if (!record_is(record, "accepted") ||
		    !*record_text(record, "in_service"))
			continue;
		if (strstr(record_text(record, "in_service"), name))
			break;
		since = record;
	}
	if (since && run->t_us - since->t_us > RETIRE_LIMIT_US)
		violation("retired",
			  "%s got a new request %" PRId64
			  " ms after version %s removed it",
			  run->who, (run->t_us - since->t_us) / US_PER_MS,
			  record_text(since, "version"));
}

static void check_leaks(void)
{
	size_t i;

	for (i = 0; i < history.records.count; i++) {
		const record_t *record = &history.records.items[i];

		if (record_is(record, "stop") &&
		    record_integer(record, "kv_used"))
			violation("leak",
				  "%s still held %s KV tokens at the end",
				  record->who, record_text(record, "kv_used"));
	}
}

static void check_all(int64_t min_complete)
{
	size_t i;

	history_index(&history);
	check_at_most_once();
	check_not_run();
	check_calls();
	check_config_order();
	for (i = 0; i < history.records.count; i++) {
		if (record_is(&history.records.items[i], "accepted"))
			check_config_time(&history.records.items[i]);
		check_server_bounds(&history.records.items[i]);
		check_retired(i);
	}
	check_leaks();
	if (complete_count < min_complete)
		violation("too-few",
			  "%" PRId64 " calls complete, expected %" PRId64,
			  complete_count, min_complete);
}

int main(int argc, const char **argv)
{
	long long min_complete = 1;
	struct poptOption options[] = {
		{ "may-cut", 0, POPT_ARG_NONE, &may_cut, 0,
		  "answers may end early, since a process was killed", NULL },
		{ "min-complete", 0, POPT_ARG_LONGLONG, &min_complete, 0,
		  "at least N calls must be complete", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	const char *path;
	bool valid = poptGetNextOpt(context) == -1 && poptPeekArg(context);

	while (valid && (path = poptGetArg(context)))
		valid = records_read(&history.records, path);
	poptFreeContext(context);
	if (!valid)
		return 2;
	records_sort(&history.records);
	check_all(min_complete);
	printf("%zu records, %u calls, %" PRId64
	       " complete, %u actions run, %u daemons, %" PRId64
	       " violations\n",
	       history.records.count, HASH_COUNT(history.calls), complete_count,
	       HASH_COUNT(history.actions), HASH_COUNT(history.nodes),
	       violations);
	history_clear(&history);
	return violations ? 1 : 0;
}
