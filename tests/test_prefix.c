/** Prefix index: which blocks a server is known to have in its cache, when the
 * index forgets them, and limits of its size. */
#include <string.h>

#include "cases.h"
#include "process/prefix.h"

enum { BLOCKS = 1000 };

static void fill(uint64_t *blocks, uint64_t salt, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		blocks[i] = salt * 1000003 + i * 7919 + 1;
}

/* @return leading blocks that the index finds for @p server; 0: no match. */
static size_t matched_blocks(const prefix_t *prefix,
			     const prefix_server_t *server,
			     const uint64_t *blocks, size_t count)
{
	prefix_match_t matches[PREFIX_MATCHES_MAX];
	size_t found = prefix_match(prefix, blocks, count, matches), i;

	for (i = 0; i < found; i++)
		if (matches[i].server == server)
			return matches[i].blocks;
	return 0;
}

/* Guards against a cached prefix that is not found, and against a match for a
 * prompt that the server was never sent. */
static void finds_the_longest_known_prefix(void **state)
{
	static const size_t sent[] = { 1, 2, 3, 100, 511, 512, 700, 1000 };
	uint64_t blocks[BLOCKS], other[BLOCKS];
	size_t i;

	fill(blocks, 1, BLOCKS);
	fill(other, 2, BLOCKS);
	for (i = 0; i < COUNT_OF(sent); i++) {
		prefix_t *prefix = prefix_create(4096);
		prefix_server_t a = { 0 }, b = { 0 };
		size_t found;

		prefix_observe(prefix, &a, blocks, sent[i]);
		prefix_observe(prefix, &b, blocks, 1);
		found = matched_blocks(prefix, &a, blocks, BLOCKS);
		assert_true(found <= sent[i] && found * 8 >= sent[i] * 7);
		assert_int_equal(matched_blocks(prefix, &b, blocks, BLOCKS), 1);
		assert_int_equal(matched_blocks(prefix, &a, other, BLOCKS), 0);
		prefix_destroy(prefix);
	}
}

/* Guards against routing by an incomplete state: after a missing cache event,
 * blocks may have been evicted without this node knowing. */
static void drops_a_server_after_a_missing_event(void **state)
{
	static const struct {
		uint64_t sequence;
		bool stored;
		uint64_t block;
		bool known; /* block 10 is in the index after the event */
	} events[] = {
		{ 5, true, 10, true },	{ 6, true, 11, true },
		{ 6, false, 10, true }, /* repeated event */
		{ 8, true, 12, false }, /* event 7 is missing */
		{ 9, true, 10, true },	{ 10, false, 10, false },
	};
	const uint64_t block = 10;
	prefix_t *prefix = prefix_create(16);
	prefix_server_t server = { 0 }, restarted = { 0 };
	size_t i;

	for (i = 0; i < COUNT_OF(events); i++) {
		prefix_event(prefix, &server, events[i].sequence,
			     events[i].stored, events[i].block);
		assert_int_equal(matched_blocks(prefix, &server, &block, 1),
				 events[i].known);
	}
	prefix_observe(prefix, &restarted, &block, 1);
	prefix_drop(prefix, &restarted);
	assert_int_equal(matched_blocks(prefix, &restarted, &block, 1), 0);
	/* After a drop, the sequence may start again from any number. */
	prefix_event(prefix, &restarted, 1, true, 10);
	assert_int_equal(matched_blocks(prefix, &restarted, &block, 1), 1);
	prefix_destroy(prefix);
}

/* Guards against memory that grows with the number of prompts, and against
 * slots of the index that are used up by servers which restart. */
static void stays_bounded(void **state)
{
	prefix_t *prefix = prefix_create(64);
	prefix_server_t servers[20] = { 0 }, restarting = { 0 };
	uint64_t blocks[BLOCKS];
	int i;

	fill(blocks, 3, BLOCKS);
	for (i = 0; i < 20; i++)
		prefix_observe(prefix, &servers[i], blocks, BLOCKS);
	assert_int_equal(prefix_count(prefix), 64);
	/* The first blocks of a prompt are evicted last. */
	assert_true(matched_blocks(prefix, &servers[19], blocks, BLOCKS) >= 56);
	for (i = 0; i < 200000; i++) {
		prefix_observe(prefix, &restarting, blocks, 1);
		assert_int_equal(matched_blocks(prefix, &restarting, blocks, 1),
				 1);
		prefix_drop(prefix, &restarting);
	}
	prefix_destroy(prefix);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(finds_the_longest_known_prefix),
		cmocka_unit_test(drops_a_server_after_a_missing_event),
		cmocka_unit_test(stays_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
