/**
 * Fuzzes the slow start of a server that restarts, turns cold, and whose load
 * reports arrive late. Checks that the limit stays within the configured
 * limits; that it grows by at most 1 for each request that was sent and
 * completed since the last reset, and to at most twice the concurrency of these
 * requests; and that no request is sent at or above the limit.
 */
#include <stdio.h>
#include <stdlib.h>

#include "process/warmup.h"

static struct {
	warmup_t warmup;
	int32_t cold, max; /**< configured limits */
	int32_t in_flight; /**< stale and newer requests */
	int32_t stale; /**< requests in flight, sent before the last reset */
	int64_t bound; /**< largest limit that completed requests allow */
	load_report_t report;
} model;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool rule, const char *name)
{
	if (rule)
		return;
	fprintf(stderr, "rule broken: %s, limit %d\n", name,
		warmup_limit(&model.warmup));
	abort();
}

static void reset(void)
{
	model.stale = model.in_flight;
	model.bound = model.cold;
}

static void complete(uint8_t value)
{
	int32_t before = warmup_limit(&model.warmup), evidence;
	int32_t count = value % 8 + 1;

	if (count > model.in_flight)
		count = model.in_flight;
	model.in_flight -= count;
	warmup_count_completed(&model.warmup, count, model.in_flight);
	evidence = count > model.stale ? count - model.stale : 0;
	model.stale = count > model.stale ? 0 : model.stale - count;
	model.bound += evidence;
	check(warmup_limit(&model.warmup) <= before + count,
	      "limit grows by at most the completed requests");
	check(warmup_limit(&model.warmup) == before ||
		      warmup_limit(&model.warmup) <=
			      2 * (model.in_flight + count),
	      "limit at most twice the concurrency");
}

/* Bit 0 of @p value: stale report; bit 1: cold; bit 2: new incarnation. */
static void send_report(uint8_t value)
{
	bool first = !model.warmup.reported;
	bool stale = value & 1 && !first;

	model.report.running = model.in_flight;
	model.report.cold = value & 2;
	model.report.taken_us += stale ? -1 : 1;
	if (value & 4)
		model.report.incarnation++;
	if (!stale && (model.report.cold || (value & 4 && !first)))
		reset();
	else if (!stale && first && model.in_flight > model.bound)
		model.bound = model.in_flight;
	warmup_update(&model.warmup, &model.report, model.in_flight);
	if (stale) {
		model.report.taken_us++;
		if (value & 4)
			model.report.incarnation--;
	}
}

static void apply(uint8_t code, uint8_t value)
{
	switch (code % 6) {
	case 0:
	case 1:
		while (value-- &&
		       warmup_may_send(&model.warmup, model.in_flight)) {
			model.in_flight++;
			check(model.in_flight <= warmup_limit(&model.warmup),
			      "no request above the limit");
		}
		break;
	case 2:
	case 3:
		complete(value);
		break;
	case 4:
		if (value % 4)
			break;
		reset();
		warmup_reset(&model.warmup, (warmup_event_t)(value / 4 % 3),
			     model.in_flight);
		break;
	case 5:
		send_report(value);
		break;
	}
	check(warmup_limit(&model.warmup) >= model.cold, "limit >= cold limit");
	check(warmup_limit(&model.warmup) <= model.max, "limit <= maximum");
	check(warmup_limit(&model.warmup) <= model.bound, "limit <= evidence");
}

/* Checks that the limit of a busy server grows to the maximum. */
static void check_grows(void)
{
	int round;

	for (round = 0; round < 2000; round++) {
		model.in_flight = warmup_limit(&model.warmup);
		complete(0);
	}
	check(warmup_limit(&model.warmup) == model.max,
	      "busy server gets warm");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t i;

	if (size < 2 || size > 600)
		return 0;
	model.max = 1 + data[0];
	model.cold = 1 + data[1] % model.max;
	model.in_flight = 0;
	model.report = (load_report_t){ .taken_us = 1 << 20 };
	warmup_start(&model.warmup, model.cold, model.max);
	reset();
	for (i = 2; i + 1 < size; i += 2)
		apply(data[i], data[i + 1]);
	check_grows();
	return 0;
}
