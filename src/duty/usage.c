#include "duty/usage.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "base/mem.h"

enum {
	/* Limit the memory that datagrams of other nodes can occupy. */
	SOURCES_MAX = 4096,
	WINDOWS_MAX = 64,
	ACCOUNTS_MAX = 65536, /* more accounts than a fleet has */
	/* A node that sent nothing for a window and this many windows before
	 * it counts as stopped. */
	WINDOWS_WAITED = 2,
	/* Size of an encoded count without the account's name. */
	COUNT_OVERHEAD_BYTES = 10
};

typedef struct {
	char *name;
	uint32_t requests;
	UT_hash_handle hh;
} account_t;

typedef struct window {
	int64_t number;
	bool final;
	uint32_t expected; /* number of accounts; set if final */
	account_t *accounts;
	uint32_t told; /* accounts whose counts fit a datagram */
	struct window *next;
} window_t;

/* Counts of one process of a node. */
typedef struct source {
	uint64_t node, incarnation;
	window_t *windows;
	struct source *next;
} source_t;

struct usage {
	source_t *sources; /* the first is this process */
	size_t count; /* number of sources */
};

static source_t *add_source(usage_t *usage, uint64_t node, uint64_t incarnation)
{
	source_t *source = mem_calloc(1, sizeof(*source));

	source->node = node;
	source->incarnation = incarnation;
	LL_APPEND(usage->sources, source);
	usage->count++;
	return source;
}

usage_t *usage_create(uint64_t node, uint64_t incarnation)
{
	usage_t *usage = mem_calloc(1, sizeof(*usage));

	add_source(usage, node, incarnation);
	return usage;
}

static void free_window(source_t *source, window_t *window)
{
	account_t *account, *next;

	HASH_ITER (hh, window->accounts, account, next) {
		HASH_DEL(window->accounts, account);
		free(account->name);
		free(account);
	}
	LL_DELETE(source->windows, window);
	free(window);
}

static void free_source(usage_t *usage, source_t *source)
{
	while (source->windows)
		free_window(source, source->windows);
	LL_DELETE(usage->sources, source);
	usage->count--;
	free(source);
}

void usage_destroy(usage_t *usage)
{
	if (!usage)
		return;
	while (usage->sources)
		free_source(usage, usage->sources);
	free(usage);
}

static window_t *find_window(const source_t *source, int64_t number)
{
	window_t *window;

	LL_FOREACH (source->windows, window)
		if (window->number == number)
			return window;
	return NULL;
}

/* Finds or adds a window. Returns NULL if the source has too many windows. */
static window_t *get_window(source_t *source, int64_t number)
{
	window_t *window = find_window(source, number), *other;
	size_t count;

	LL_COUNT(source->windows, other, count);
	if (window || count >= WINDOWS_MAX)
		return window;
	window = mem_calloc(1, sizeof(*window));
	window->number = number;
	LL_PREPEND(source->windows, window);
	return window;
}

/* Size of an encoded count. Other nodes do not get the counts of an account
 * with a name that fits no datagram. */
static size_t encoded_size(const account_t *account)
{
	return strlen(account->name) + COUNT_OVERHEAD_BYTES;
}

/* Finds or adds an account. Returns NULL if the window has too many accounts.
 */
static account_t *get_account(window_t *window, const char *name)
{
	account_t *account;

	HASH_FIND_STR(window->accounts, name, account);
	if (account || HASH_COUNT(window->accounts) >= ACCOUNTS_MAX)
		return account;
	account = mem_calloc(1, sizeof(*account));
	account->name = mem_strdup(name);
	HASH_ADD_KEYPTR(hh, window->accounts, account->name, strlen(name),
			account);
	window->told += encoded_size(account) <= USAGE_COUNTS_SIZE_BYTES;
	return account;
}

void usage_count_request(usage_t *usage, int64_t window, const char *account)
{
	window_t *counted = get_window(usage->sources, window);
	account_t *entry = counted ? get_account(counted, account) : NULL;

	if (entry)
		entry->requests++;
}

void usage_finish(usage_t *usage, int64_t window)
{
	window_t *finished = get_window(usage->sources, window);

	if (!finished)
		return;
	finished->final = true;
	finished->expected = HASH_COUNT(finished->accounts);
}

size_t usage_fill(const usage_t *usage, int64_t window, size_t first,
		  usage_message_t *message)
{
	const source_t *self = usage->sources;
	const window_t *found = find_window(self, window);
	size_t index = 0, size = 0;
	const account_t *account;

	*message = (usage_message_t){ .node = self->node,
				      .incarnation = self->incarnation,
				      .window = window };
	if (!found)
		return 0;
	message->final = found->final;
	message->accounts = found->told;
	for (account = found->accounts; account;
	     account = account->hh.next, index++) {
		usage_count_t *count = &message->counts[message->count];

		if (index < first ||
		    encoded_size(account) > USAGE_COUNTS_SIZE_BYTES)
			continue;
		size += encoded_size(account);
		if (size > USAGE_COUNTS_SIZE_BYTES ||
		    message->count == USAGE_COUNTS_MAX)
			return index;
		count->account = account->name;
		count->requests = account->requests;
		message->count++;
	}
	return 0;
}

static source_t *find_source(const usage_t *usage, uint64_t node,
			     uint64_t incarnation)
{
	source_t *source;

	LL_FOREACH (usage->sources, source)
		if (source->node == node && source->incarnation == incarnation)
			return source;
	return NULL;
}

void usage_receive(usage_t *usage, const usage_message_t *message)
{
	source_t *source =
		find_source(usage, message->node, message->incarnation);
	window_t *window;
	size_t i;

	if (source == usage->sources ||
	    (!source && usage->count >= SOURCES_MAX))
		return;
	if (!source)
		source = add_source(usage, message->node, message->incarnation);
	window = get_window(source, message->window);
	if (!window)
		return;
	if (message->final) {
		window->final = true;
		window->expected = message->accounts;
	}
	for (i = 0; i < message->count; i++) {
		account_t *account =
			get_account(window, message->counts[i].account);

		/* Datagrams may overtake each other. Counts only grow, so the
		 * highest count is the newest. */
		if (account && account->requests < message->counts[i].requests)
			account->requests = message->counts[i].requests;
	}
}

void usage_expire(usage_t *usage, int64_t window)
{
	source_t *source, *next;
	window_t *expired, *next_window;

	LL_FOREACH_SAFE (usage->sources, source, next) {
		LL_FOREACH_SAFE (source->windows, expired, next_window)
			if (expired->number < window)
				free_window(source, expired);
		if (!source->windows && source != usage->sources)
			free_source(usage, source);
	}
}

/* Returns true if a newer process of the same node is known. */
static bool is_replaced(const usage_t *usage, const source_t *source)
{
	const source_t *other;

	LL_FOREACH (usage->sources, other)
		if (other->node == source->node &&
		    other->incarnation > source->incarnation)
			return true;
	return false;
}

static bool is_expected(const source_t *source, int64_t window)
{
	const window_t *found;

	LL_FOREACH (source->windows, found)
		if (found->number <= window &&
		    found->number >= window - WINDOWS_WAITED)
			return true;
	return false;
}

bool usage_complete(const usage_t *usage, int64_t window)
{
	const source_t *source;

	LL_FOREACH (usage->sources, source) {
		const window_t *found = find_window(source, window);

		if (found && found->final &&
		    HASH_COUNT(found->accounts) >= found->expected)
			continue;
		if (is_expected(source, window) && !is_replaced(usage, source))
			return false;
	}
	return true;
}

int64_t usage_first_window(const usage_t *usage)
{
	int64_t first = INT64_MAX;
	const source_t *source;
	const window_t *window;

	LL_FOREACH (usage->sources, source)
		LL_FOREACH (source->windows, window)
			if (window->accounts && window->number < first)
				first = window->number;
	return first;
}

size_t usage_sum(const usage_t *usage, int64_t window, usage_count_t **counts)
{
	window_t sum = { .number = window };
	const source_t *source;
	account_t *account, *next;
	size_t count = 0;

	LL_FOREACH (usage->sources, source) {
		const window_t *found = find_window(source, window);

		for (account = found ? found->accounts : NULL; account;
		     account = account->hh.next)
			get_account(&sum, account->name)->requests +=
				account->requests;
	}
	*counts = mem_calloc(HASH_COUNT(sum.accounts) + 1, sizeof(**counts));
	HASH_ITER (hh, sum.accounts, account, next) {
		usage_count_t *result = &(*counts)[count++];

		result->account = account->name;
		result->requests = account->requests;
		HASH_DEL(sum.accounts, account);
		free(account);
	}
	return count;
}

void usage_free_counts(usage_count_t *counts, size_t count)
{
	while (count)
		free(counts[--count].account);
	free(counts);
}
