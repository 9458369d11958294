/**
 * @file route.c
 * Measures the time of one routing decision, with the prefix index filled:
 * the match of the prompt's blocks and the comparison of the servers. The
 * update of the index with the blocks of the prompt follows the decision and
 * is printed on its own.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/mem.h"
#include "process/dispatch_state.h"
#include "process/route.h"

enum {
	SERVERS_MAX = 440,
	DECISIONS = 20000,
	BLOCK_TOKENS = 256,
	FAMILIES = 2000, /* prompts that share their first blocks */
	LONG_TOKENS = 32000,
	TARGET_NS = 20000
};

static uint64_t seed = 1;

static uint64_t next_random(void)
{
	seed ^= seed << 13;
	seed ^= seed >> 7;
	seed ^= seed << 17;
	return seed;
}

static int64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

/* 1,000 to 1,000,000 tokens, one in fifty above 100,000. */
static int64_t next_prompt_tokens(void)
{
	if (next_random() % 50 == 0)
		return 100000 + (int64_t)(next_random() % 900000);
	return 1000 + (int64_t)(next_random() % 15000);
}

static size_t next_blocks(uint64_t *blocks, int64_t prompt_tokens)
{
	size_t count = (size_t)(prompt_tokens / BLOCK_TOKENS);
	size_t shared = count / 2, i;
	uint64_t family = next_random() % FAMILIES;
	uint64_t own = next_random();

	for (i = 0; i < count; i++)
		blocks[i] = (i < shared ? family << 40 : own) + i + 1;
	return count;
}

static void build(server_t *servers, server_t **list, group_t *group, dc_t *dc,
		  size_t count)
{
	size_t i;

	*dc = (dc_t){ .local = true, .reachable = true };
	*group = (group_t){ .dc = dc, .count = count, .servers = list };
	for (i = 0; i < count; i++) {
		memset(&servers[i], 0, sizeof(servers[i]));
		servers[i].dc = dc;
		servers[i].in_service = servers[i].usable = true;
		servers[i].kv_tokens = 2000000;
		servers[i].us_per_token = 50;
		servers[i].backlog_tokens = (int64_t)(next_random() % 50000);
		servers[i].lane_rank = (uint32_t)(i * 9973);
		list[i] = &servers[i];
	}
}

static int ascending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double percentile_us(int64_t *times_ns, size_t count, int percent)
{
	qsort(times_ns, count, sizeof(*times_ns), ascending);
	size_t place = count * (size_t)percent / 100;

	return (double)times_ns[place] / 1000;
}

static void fill_index(prefix_t *prefix, server_t *servers, size_t count,
		       uint64_t *blocks)
{
	int i;

	for (i = 0; i < 20000; i++)
		prefix_observe(prefix, &servers[next_random() % count].prefix,
			       blocks,
			       next_blocks(blocks, next_prompt_tokens()));
}

static bool measure(size_t count)
{
	static server_t servers[SERVERS_MAX];
	static server_t *list[SERVERS_MAX];
	static int64_t decision_ns[DECISIONS], update_ns[DECISIONS];
	static uint64_t blocks[BLOCK_HASHES_MAX];
	prefix_t *prefix = prefix_create(PREFIX_CAPACITY);
	size_t hits = 0, i;
	double p50, p99, update_p99;
	group_t group;
	dc_t dc;

	build(servers, list, &group, &dc, count);
	fill_index(prefix, servers, count, blocks);
	for (i = 0; i < DECISIONS; i++) {
		int64_t tokens = next_prompt_tokens(), start, chosen;
		size_t block_count = next_blocks(blocks, tokens);
		prefix_match_t matches[PREFIX_MATCHES_MAX];
		route_choice_t choice = { 0 };
		route_query_t query = { .policy = ROUTE_COST_LANES,
					.prompt_tokens = tokens,
					.kv_tokens = tokens,
					.is_long = tokens > LONG_TOKENS,
					.long_prompt_tokens = LONG_TOKENS,
					.lane_share = 0.4,
					.salt = i,
					.matches = matches,
					.block_count = block_count };

		start = now_ns();
		query.match_count =
			prefix_match(prefix, blocks, block_count, matches);
		route_choose(&group, 1, &query, &choice);
		chosen = now_ns();
		prefix_observe(prefix, &choice.server->prefix, blocks,
			       block_count);
		update_ns[i] = now_ns() - chosen;
		decision_ns[i] = chosen - start;
		hits += choice.hit_tokens > 0;
	}
	p50 = percentile_us(decision_ns, DECISIONS, 50);
	p99 = percentile_us(decision_ns, DECISIONS, 99);
	update_p99 = percentile_us(update_ns, DECISIONS, 99);
	printf("%7zu %10.2f %10.2f %14.2f %9u %6.1f\n", count, p50, p99,
	       update_p99, prefix_count(prefix),
	       100.0 * (double)hits / DECISIONS);
	prefix_destroy(prefix);
	return p99 * 1000 <= TARGET_NS;
}

int main(void)
{
	static const size_t counts[] = { 55, 110, 220, 440 };
	bool met = true;
	size_t i;

	printf("Time of one routing decision in microseconds; target: 99th "
	       "percentile at most %d at 440 servers\n",
	       TARGET_NS / 1000);
	printf("%7s %10s %10s %14s %9s %6s\n", "servers", "p50", "p99",
	       "index update", "blocks", "hits%");
	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++)
		met = measure(counts[i]);
	printf("target %s\n", met ? "met" : "missed");
	return 0;
}
