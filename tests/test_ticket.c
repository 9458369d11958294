/** Leases of engine memory: which order comes next, whatever is answered. */
#include <string.h>

#include "cases.h"
#include "request/ticket.h"

#define LEASE_US (3000 * US_PER_MS)

typedef enum { AT, ANSWER, RELEASE } step_type_t;

/* At a time, the order that is due; an answer to it; or the end of its use. */
typedef struct {
	int64_t at_ms;
	step_type_t type;
	mem_lease_answer_t answer;
	mem_lease_order_t order; /* expected */
	mem_lease_state_t state; /* expected */
} step_t;

#define DUE(at, order, state)                                   \
	{                                                       \
		at, AT, 0, MEM_LEASE_##order, MEM_LEASE_##state \
	}
#define GETS(at, answer, state)                                      \
	{                                                            \
		at, ANSWER, MEM_LEASE_##answer, 0, MEM_LEASE_##state \
	}
#define ENDS(at, state)                              \
	{                                            \
		at, RELEASE, 0, 0, MEM_LEASE_##state \
	}

static void gives_orders(void **state)
{
	static const struct {
		const char *guards_against;
		step_t steps[10];
	} cases[] = {
		{ "a lease that is not asked for",
		  { DUE(0, RESERVE, REQUESTED), DUE(5, NONE, REQUESTED),
		    GETS(9, DONE, HELD) } },
		{ "a lease that expires in use",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    DUE(900, NONE, HELD), DUE(1000, RESERVE, HELD),
		    GETS(1005, LOST, HELD), DUE(1300, RESERVE, HELD) } },
		{ "memory that stays held after its use",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    ENDS(500, RELEASING), DUE(500, RELEASE, RELEASING),
		    GETS(505, DONE, GONE), DUE(2000, NONE, GONE) } },
		{ "a release that is lost",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    ENDS(500, RELEASING), DUE(500, RELEASE, RELEASING),
		    GETS(900, LOST, RELEASING), DUE(1000, NONE, RELEASING),
		    DUE(1200, RELEASE, RELEASING), GETS(1205, DONE, GONE) } },
		{ "an engine that never answers the release",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    ENDS(500, RELEASING), DUE(500, RELEASE, RELEASING),
		    GETS(3100, LOST, GONE) } },
		{ "a lost order that is carried out late",
		  { DUE(0, RESERVE, REQUESTED), GETS(400, LOST, REFUSED),
		    ENDS(400, RELEASING), DUE(400, RELEASE, RELEASING),
		    GETS(405, DENIED, GONE) } },
		{ "a release of what was refused",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DENIED, REFUSED),
		    ENDS(6, GONE), DUE(7, NONE, GONE) } },
		{ "a release that overtakes its order",
		  { DUE(0, RESERVE, REQUESTED), ENDS(2, RELEASING),
		    DUE(3, NONE, RELEASING), GETS(5, DONE, RELEASING),
		    DUE(6, RELEASE, RELEASING), GETS(8, DONE, GONE) } },
		{ "a renewal after the release",
		  { DUE(0, RESERVE, REQUESTED), GETS(5, DONE, HELD),
		    DUE(1000, RESERVE, HELD), ENDS(1001, RELEASING),
		    GETS(1005, DONE, RELEASING), DUE(1005, RELEASE, RELEASING),
		    GETS(1010, DONE, GONE) } },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		mem_lease_t ticket;

		mem_lease_init(&ticket, "t", 1000, LEASE_US, 0);
		for (j = 0; j < COUNT_OF(cases[i].steps); j++) {
			const step_t *step = &cases[i].steps[j];
			int64_t at_us = step->at_ms * US_PER_MS;
			mem_lease_order_t order = step->order;

			if (j && !step->at_ms)
				break;
			if (step->type == AT)
				order = mem_lease_next(&ticket, at_us);
			else if (step->type == ANSWER)
				mem_lease_answered(&ticket, step->answer,
						   at_us);
			else
				mem_lease_release(&ticket, at_us);
			if (order != step->order || ticket.state != step->state)
				fail_msg("case \"%s\" step %zu: order %d, "
					 "state %d",
					 cases[i].guards_against, j, order,
					 ticket.state);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(gives_orders) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
