/**
 * Engine memory for one prompt, without network: servers refuse leases, or
 * their answers are lost. Guards against granted leases that are given up
 * because of a refused one, and against helpers without a lease.
 */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "platform/orders.h"
#include "process/choice.h"
#include "request/reservation.h"

enum { SERVERS = 8, SHARDS = 4, ORDERS_MAX = 32 };

typedef enum { GRANTS, REFUSES, LOSES } answer_t;

/** An order to a server. */
typedef struct {
	char server[NAME_SIZE_BYTES], lease[NAME_SIZE_BYTES];
	mem_lease_order_t order;
	client_done_t done;
	void *context;
} sent_t;

static const service_conf_t service = { .name = "drafting",
					.engine = {
						.present = true,
						.kv_capacity_tokens = 100000,
						.steps_per_iteration = 50,
						.step_us = 1300,
						.prefill_token_us = 6.5,
						.chunk_tokens = 2000,
						.usual_prompt_tokens = 10000,
						.usual_output_tokens = 300 } };
static const placement_query_t query = { .engine = &service.engine,
					 .prompt_tokens = 320000,
					 .output_tokens = 300,
					 .objective_us = 10 * US_PER_S,
					 .target_us = 10 * US_PER_S,
					 .limit_us = 60 * US_PER_S,
					 .nodes = 1,
					 .salt = 7,
					 .controls_load = true };
static backends_t *backends;
static choice_t choice;
static sent_t sent[ORDERS_MAX];
static size_t sent_count;
static int ended; /* 0: not yet; 1: granted; -1: failed */

/* Replace those of platform/orders.c, so that nothing is sent. */
void platform_order(client_t *client, const order_target_t *target,
		    const mem_lease_t *lease, mem_lease_order_t order,
		    client_done_t done, void *context)
{
	sent_t *entry = &sent[sent_count++];

	assert_true(sent_count < ORDERS_MAX);
	*entry = (sent_t){ .order = order, .done = done, .context = context };
	mem_strlcpy(entry->server, target->server_id, sizeof(entry->server));
	mem_strlcpy(entry->lease, lease->id, sizeof(entry->lease));
}

mem_lease_answer_t platform_order_answer(client_end_t end, int status)
{
	if (end != CLIENT_OK)
		return MEM_LEASE_LOST;
	return status == 200 ? MEM_LEASE_DONE : MEM_LEASE_DENIED;
}

static backends_query_t make_wanted(void)
{
	return (backends_query_t){ .service = &service,
				   .now_us = clock_monotonic_us() };
}

/* Does what a request does. */
static backend_t *replace(void *context, backend_t *refused, bool may_replace)
{
	backends_query_t wanted = make_wanted();
	size_t i;

	backend_note_memory_refused(refused, query.prompt_tokens / SHARDS,
				    wanted.now_us);
	for (i = 0; i < choice.placement.count; i++)
		if (choice_server(&choice, i) == refused && may_replace)
			return choice_replace(&choice, i, backends, &wanted,
					      &query);
	return NULL;
}

static void on_done(void *context, bool granted)
{
	ended = granted ? 1 : -1;
}

static void set_up(int servers)
{
	backends_conf_t conf = { .data_centre = "north",
				 .drain_us = US_PER_S,
				 .controls_load = true };
	backends_query_t wanted;
	int i;

	backends = backends_create(&conf);
	for (i = 0; i < servers; i++) {
		backend_entry_t entry = { .service = service.name,
					  .slots = 8,
					  .data_centre = "north" };

		snprintf(entry.id, sizeof(entry.id), "s%d", i);
		snprintf(entry.address, sizeof(entry.address), "10.0.0.%d:80",
			 i);
		backends_update(backends, &entry, clock_monotonic_us());
	}
	wanted = make_wanted();
	assert_int_equal(choice_make(&choice, backends, &wanted, &query),
			 PLACEMENT_CHOSEN);
	assert_int_equal(choice.placement.count, SHARDS);
	sent_count = 0;
	ended = 0;
}

/* Answers the orders to reserve: the first ones by a script, the rest with the
 * last of it. @return number of leases that were asked for */
static size_t answer_orders(struct ev_loop *loop, const answer_t *answers,
			    size_t count)
{
	size_t asked = 0, answered = 0;

	while (!ended && asked < ORDERS_MAX) {
		ev_run(loop, EVRUN_ONCE);
		for (; answered < sent_count; answered++) {
			answer_t answer =
				answers[asked < count ? asked : count - 1];

			assert_int_equal(sent[answered].order,
					 MEM_LEASE_RESERVE);
			asked++;
			sent[answered].done(
				sent[answered].context,
				answer == LOSES ? CLIENT_TIMED_OUT : CLIENT_OK,
				answer == GRANTS ? 200 : 409, "", 0);
		}
	}
	return asked;
}

/* Asserts that each helper of the prompt has a granted lease of its own. */
static void check_helpers(const reservation_t *reservation)
{
	size_t i, j;

	for (i = 1; i < choice.placement.count; i++) {
		const backend_t *server = choice_server(&choice, i);
		const char *lease = reservation_lease_id(reservation, server);

		assert_non_null(lease);
		for (j = 0; j < i; j++)
			assert_ptr_not_equal(choice_server(&choice, j), server);
		for (j = sent_count; strcmp(sent[--j].lease, lease) != 0;)
			assert_true(j > 0);
		assert_string_equal(sent[j].server, backend_entry(server)->id);
	}
}

static void replaces_only_the_refused_lease(void **state)
{
	static const struct {
		const char *guards_against;
		int servers;
		answer_t answers[8];
		size_t count;
		size_t asked; /* leases that are asked for */
		int ended;
		size_t released;
	} cases[] = {
		{ "a lease that is asked for twice",
		  8,
		  { GRANTS },
		  1,
		  3,
		  1,
		  3 },
		{ "a refused lease that ends the granted ones",
		  8,
		  { REFUSES, GRANTS },
		  2,
		  4,
		  1,
		  3 },
		{ "a second refusal that ends them",
		  8,
		  { GRANTS, REFUSES, GRANTS, REFUSES, GRANTS },
		  5,
		  5,
		  1,
		  3 },
		{ "replacements without end",
		  8,
		  { GRANTS, GRANTS, REFUSES },
		  3,
		  6,
		  -1,
		  2 },
		{ "a lease on a server of the set",
		  4,
		  { GRANTS, REFUSES, GRANTS },
		  3,
		  3,
		  -1,
		  2 },
		{ "memory that stays reserved after a lost answer",
		  8,
		  { GRANTS, LOSES, GRANTS },
		  3,
		  3,
		  -1,
		  3 },
		{ "refusals by all servers", 8, { REFUSES }, 1, 6, -1, 0 },
	};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		reservation_t *list = NULL, *reservation;
		reservation_conf_t conf = { .loop = loop,
					    .id_prefix = "p",
					    .tokens = 80064,
					    .lease_us = 3 * US_PER_S,
					    .list = &list,
					    .replace = replace };
		backend_t *helpers[SHARDS];
		size_t j, asked, released = 0;

		set_up(cases[i].servers);
		for (j = 1; j < choice.placement.count; j++)
			helpers[j - 1] = choice_server(&choice, j);
		reservation = reservation_create(&conf, helpers, SHARDS - 1,
						 on_done, NULL);
		asked = answer_orders(loop, cases[i].answers, cases[i].count);
		if (ended > 0)
			check_helpers(reservation);
		j = sent_count;
		reservation_release(reservation);
		ev_run(loop, EVRUN_ONCE);
		for (; j < sent_count; j++) {
			released += sent[j].order == MEM_LEASE_RELEASE;
			sent[j].done(sent[j].context, CLIENT_OK, 200, "", 0);
		}
		if (asked != cases[i].asked || ended != cases[i].ended ||
		    released != cases[i].released)
			fail_msg("%s: %zu asked, ended %d, %zu released",
				 cases[i].guards_against, asked, ended,
				 released);
		reservations_destroy(&list);
		choice_clear(&choice);
		backends_destroy(backends);
	}
	ev_loop_destroy(loop);
}

/* Guards against a server that just refused memory and is asked again, and one
 * that is avoided for ever. The prompt needs all four servers. */
static void remembers_refused_memory(void **state)
{
	static const int64_t after_ms[] = { 0, 199, 200 };
	size_t i;

	set_up(SHARDS);
	for (i = 0; i < COUNT_OF(after_ms); i++) {
		backends_query_t wanted = make_wanted();

		backend_note_memory_refused(backends_find(backends, "s0"),
					    query.prompt_tokens / SHARDS,
					    wanted.now_us);
		wanted.now_us += after_ms[i] * US_PER_MS;
		assert_int_equal(choice_make(&choice, backends, &wanted,
					     &query),
				 after_ms[i] < 200 ? PLACEMENT_NO_SERVER
						   : PLACEMENT_CHOSEN);
	}
	choice_clear(&choice);
	backends_destroy(backends);
}

/* Guards against a server that answers after the caller's time limit, and
 * against a choice that changes though no server was found. */
static void replaces_within_the_time_limit(void **state)
{
	backends_query_t wanted;
	placement_query_t late = query;
	placement_t before;

	set_up(SERVERS);
	wanted = make_wanted();
	before = choice.placement;
	late.limit_us = before.first_event_us / 2;
	assert_null(choice_replace(&choice, 1, backends, &wanted, &late));
	assert_memory_equal(&choice.placement, &before, sizeof(before));
	assert_non_null(choice_replace(&choice, 1, backends, &wanted, &query));
	choice_clear(&choice);
	backends_destroy(backends);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(replaces_only_the_refused_lease),
		cmocka_unit_test(remembers_refused_memory),
		cmocka_unit_test(replaces_within_the_time_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
