/**
 * Ramp of a server against a server that restarts, turns cold and reports
 * late. Oracle: the limit stays within the configured ones; it grows by no
 * more than what completed since the last reset, within twice the concurrency
 * of that work; nothing is sent at or above the limit.
 */
#include <stdio.h>
#include <stdlib.h>

#include "process/warmup.h"

static struct {
	warmup_t warmup;
	int32_t cold, max;
	int32_t in_flight; /**< sent since the reset and before it */
	int32_t old; /**< of those, sent before the reset */
	int64_t bound; /**< largest limit that evidence allows */
	load_report_t report;
} world;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool rule, const char *name)
{
	if (rule)
		return;
	fprintf(stderr, "broken: %s, limit %d\n", name,
		warmup_limit(&world.warmup));
	abort();
}

static void reset(void)
{
	world.old = world.in_flight;
	world.bound = world.cold;
}

static void complete(uint8_t value)
{
	int32_t before = warmup_limit(&world.warmup), evidence;
	int32_t count = value % 8 + 1;

	if (count > world.in_flight)
		count = world.in_flight;
	world.in_flight -= count;
	warmup_completed(&world.warmup, count, world.in_flight);
	evidence = count > world.old ? count - world.old : 0;
	world.old = count > world.old ? 0 : world.old - count;
	world.bound += evidence;
	check(warmup_limit(&world.warmup) <= before + count, "growth");
	check(warmup_limit(&world.warmup) == before ||
		      warmup_limit(&world.warmup) <=
			      2 * (world.in_flight + count),
	      "growth without concurrency");
}

static void give_report(uint8_t value)
{
	bool first = !world.warmup.reported;
	bool late = value & 1 && !first;

	world.report.running = world.in_flight;
	world.report.cold = value & 2;
	world.report.taken_us += late ? -1 : 1;
	if (value & 4)
		world.report.incarnation++;
	if (!late && (world.report.cold || (value & 4 && !first)))
		reset();
	else if (!late && first && world.in_flight > world.bound)
		world.bound = world.in_flight;
	warmup_report(&world.warmup, &world.report, world.in_flight);
	if (late) {
		world.report.taken_us++;
		if (value & 4)
			world.report.incarnation--;
	}
}

static void apply(uint8_t code, uint8_t value)
{
	switch (code % 6) {
	case 0:
	case 1:
		while (value-- &&
		       warmup_may_send(&world.warmup, world.in_flight)) {
			world.in_flight++;
			check(world.in_flight <= warmup_limit(&world.warmup),
			      "sent above the limit");
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
		warmup_reset(&world.warmup, (warmup_event_t)(value / 4 % 3),
			     world.in_flight);
		break;
	case 5:
		give_report(value);
		break;
	}
	check(warmup_limit(&world.warmup) >= world.cold, "at least cold");
	check(warmup_limit(&world.warmup) <= world.max, "at most max");
	check(warmup_limit(&world.warmup) <= world.bound, "evidence");
}

/* A busy server gets warm in the end. */
static void check_grows(void)
{
	int round;

	for (round = 0; round < 2000; round++) {
		world.in_flight = warmup_limit(&world.warmup);
		complete(0);
	}
	check(warmup_limit(&world.warmup) == world.max, "warm in the end");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t i;

	if (size < 2 || size > 600)
		return 0;
	world.max = 1 + data[0];
	world.cold = 1 + data[1] % world.max;
	world.in_flight = 0;
	world.report = (load_report_t){ .taken_us = 1 << 20 };
	warmup_start(&world.warmup, world.cold, world.max);
	reset();
	for (i = 2; i + 1 < size; i += 2)
		apply(data[i], data[i + 1]);
	check_grows();
	return 0;
}
