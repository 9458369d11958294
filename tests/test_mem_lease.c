/**
 * Guards against engine memory that stays reserved, or is lost while in use:
 * answers to orders are lost, late or negative, and the next order must be
 * right in each case.
 */
#include <string.h>

#include "cases.h"
#include "request/mem_lease.h"

#define LEASE_US (3000 * US_PER_MS)

typedef enum { DUE_ORDER, ANSWER, RELEASE } step_type_t;

/*
 * One step of a case: checks the order that is due, delivers an answer to the
 * order in flight, or ends the use of the lease.
 */
typedef struct {
	int64_t at_ms;
	step_type_t type;
	mem_lease_answer_t answer;
	mem_lease_order_t order; /* expected order */
	mem_lease_state_t state; /* expected state */
} step_t;

#define DUE(at, order, state)                                          \
	{                                                              \
		at, DUE_ORDER, 0, MEM_LEASE_##order, MEM_LEASE_##state \
	}
#define GETS(at, answer, state)                                      \
	{                                                            \
		at, ANSWER, MEM_LEASE_##answer, 0, MEM_LEASE_##state \
	}
#define ENDS(at, state)                              \
	{                                            \
		at, RELEASE, 0, 0, MEM_LEASE_##state \
	}

static void orders_follow_answers(void **state)
{
	static const struct {
		const char *guards_against;
		step_t steps[10];
	} cases[] = {
		{ "a lease that is never requested",
		  { DUE(0, RESERVE, REQUESTED), DUE(5, NONE, REQUESTED),
		    GETS(9, DONE, HELD) } },
		{ "a lease that expires while it is used",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    DUE(900, NONE, HELD), DUE(1000, RESERVE, HELD),
		    GETS(1005, LOST, HELD), DUE(1300, RESERVE, HELD) } },
		{ "memory that stays reserved after its use",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    ENDS(500, RELEASING), DUE(500, RELEASE, RELEASING),
		    GETS(505, DONE, GONE), DUE(2000, NONE, GONE) } },
		{ "a lost release that is not repeated",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    ENDS(500, RELEASING), DUE(500, RELEASE, RELEASING),
		    GETS(900, LOST, RELEASING), DUE(1000, NONE, RELEASING),
		    DUE(1200, RELEASE, RELEASING), GETS(1205, DONE, GONE) } },
		{ "a release repeated after the lease expired",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    ENDS(500, RELEASING), DUE(500, RELEASE, RELEASING),
		    GETS(3100, LOST, GONE) } },
		{ "no release of a lost order that the engine executes late",
		  { DUE(0, RESERVE, REQUESTED), GETS(400, LOST, REFUSED),
		    ENDS(400, RELEASING), DUE(400, RELEASE, RELEASING),
		    GETS(405, DENIED, GONE) } },
		{ "a release of a lease that was refused",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DENIED, REFUSED),
		    ENDS(6, GONE), DUE(7, NONE, GONE) } },
		{ "a release sent before the reserve order is answered",
		  { DUE(0, RESERVE, REQUESTED), ENDS(2, RELEASING),
		    DUE(3, NONE, RELEASING), GETS(5, DONE, RELEASING),
		    DUE(6, RELEASE, RELEASING), GETS(8, DONE, GONE) } },
		{ "a release sent before a renewal is answered",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    DUE(1000, RESERVE, HELD), ENDS(1001, RELEASING),
		    GETS(1005, DONE, RELEASING), DUE(1005, RELEASE, RELEASING),
		    GETS(1010, DONE, GONE) } },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		mem_lease_t lease;

		mem_lease_init(&lease, "t", 1000, LEASE_US, 0);
		for (j = 0; j < COUNT_OF(cases[i].steps); j++) {
			const step_t *step = &cases[i].steps[j];
			int64_t at_us = step->at_ms * US_PER_MS;
			mem_lease_order_t order = step->order;

			if (j && !step->at_ms)
				break;
			if (step->type == DUE_ORDER)
				order = mem_lease_next(&lease, at_us);
			else if (step->type == ANSWER)
				mem_lease_answered(&lease, step->answer, at_us);
			else
				mem_lease_release(&lease, at_us);
			if (order != step->order || lease.state != step->state)
				fail_msg("case \"%s\" step %zu: order %d, "
					 "state %d",
					 cases[i].guards_against, j, order,
					 lease.state);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(
		orders_follow_answers) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
