#include "admission/account_load.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/mem.h"

/* As for the load of servers (load_table.c): the requests of a node that is
 * silent for this long have ended. */
#define NODE_SILENT_US (2 * US_PER_S)

enum {
	/* Nodes and pairs of service and account that are counted; further ones
	 * are not, and count as if they had no requests. */
	NODES_MAX = 4096,
	USES_MAX = 16384
};

/** Requests of one account for one service. */
typedef struct {
	uint32_t service, account;
	int32_t own; /**< at this node */
	int64_t others; /**< at the other nodes */
} use_t;

typedef struct node {
	uint64_t id;
	int64_t received_us;
	account_report_t reports[ANNOUNCED_ACCOUNTS_MAX];
	size_t count; /**< entries of reports */
	struct node *next;
} node_t;

struct account_load {
	use_t *uses; /**< sorted by service, then account */
	size_t count, capacity;
	node_t *nodes;
	size_t node_count;
};

account_load_t *account_load_create(void)
{
	return mem_calloc(1, sizeof(account_load_t));
}

void account_load_destroy(account_load_t *load)
{
	node_t *node, *next;

	if (!load)
		return;
	LL_FOREACH_SAFE (load->nodes, node, next)
		free(node);
	free(load->uses);
	free(load);
}

/* @return index of the first entry that is not before the pair */
static size_t position(const account_load_t *load, uint32_t service,
		       uint32_t account)
{
	size_t low = 0, high = load->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		const use_t *use = &load->uses[middle];

		if (use->service < service ||
		    (use->service == service && use->account < account))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool is_at(const account_load_t *load, size_t index, uint32_t service,
		  uint32_t account)
{
	return index < load->count && load->uses[index].service == service &&
	       load->uses[index].account == account;
}

static void insert(account_load_t *load, size_t index, uint32_t service,
		   uint32_t account)
{
	if (load->count == load->capacity) {
		load->capacity = load->capacity ? load->capacity * 2 : 16;
		load->uses =
			mem_realloc(load->uses, load->capacity, sizeof(use_t));
	}
	memmove(&load->uses[index + 1], &load->uses[index],
		(load->count - index) * sizeof(use_t));
	load->uses[index] = (use_t){ .service = service, .account = account };
	load->count++;
}

static void remove_unused(account_load_t *load, size_t index)
{
	use_t *use = &load->uses[index];

	if (use->own > 0 || use->others > 0)
		return;
	load->count--;
	memmove(use, use + 1, (load->count - index) * sizeof(use_t));
}

/* @return NULL: too many pairs have requests */
static use_t *find_or_add_use(account_load_t *load, uint32_t service,
			      uint32_t account)
{
	size_t index = position(load, service, account);

	if (is_at(load, index, service, account))
		return &load->uses[index];
	if (load->count >= USES_MAX)
		return NULL;
	insert(load, index, service, account);
	return &load->uses[index];
}

void account_load_begin(account_load_t *load, uint32_t service,
			uint32_t account)
{
	use_t *use = find_or_add_use(load, service, account);

	if (use)
		use->own++;
}

void account_load_end(account_load_t *load, uint32_t service, uint32_t account)
{
	size_t index = position(load, service, account);

	/* It was not counted if the table was full when it began. */
	if (!is_at(load, index, service, account) || !load->uses[index].own)
		return;
	load->uses[index].own--;
	remove_unused(load, index);
}

/* Takes the reports of a node out of the sums. */
static void subtract(account_load_t *load, node_t *node)
{
	size_t i;

	for (i = 0; i < node->count; i++) {
		const account_report_t *report = &node->reports[i];
		size_t index = position(load, report->service_hash,
					report->account_hash);

		load->uses[index].others -= report->count;
		remove_unused(load, index);
	}
	node->count = 0;
}

/* @return NULL: there are too many nodes */
static node_t *find_or_add_node(account_load_t *load, uint64_t id)
{
	node_t *node;

	LL_FOREACH (load->nodes, node)
		if (node->id == id)
			return node;
	if (load->node_count >= NODES_MAX)
		return NULL;
	node = mem_calloc(1, sizeof(*node));
	node->id = id;
	LL_PREPEND(load->nodes, node);
	load->node_count++;
	return node;
}

void account_load_receive(account_load_t *load, const announcement_t *message,
			  int64_t now_us)
{
	node_t *node = find_or_add_node(load, message->node);
	size_t i;

	if (!node)
		return;
	node->received_us = now_us;
	subtract(load, node);
	for (i = 0; i < message->account_count; i++) {
		const account_report_t *report = &message->accounts[i];
		use_t *use;

		if (report->count <= 0)
			continue;
		use = find_or_add_use(load, report->service_hash,
				      report->account_hash);
		if (!use)
			continue;
		use->others += report->count;
		node->reports[node->count++] = *report;
	}
}

void account_load_expire(account_load_t *load, int64_t now_us)
{
	node_t *node, *next;

	LL_FOREACH_SAFE (load->nodes, node, next) {
		if (now_us - node->received_us <= NODE_SILENT_US)
			continue;
		subtract(load, node);
		LL_DELETE(load->nodes, node);
		load->node_count--;
		free(node);
	}
}

size_t account_load_list(const account_load_t *load, account_report_t *reports,
			 size_t max)
{
	size_t i, at, count = 0;

	for (i = 0; i < load->count; i++) {
		const use_t *use = &load->uses[i];

		if (!use->own ||
		    (count == max && reports[max - 1].count >= use->own))
			continue;
		at = count < max ? count++ : max - 1;
		for (; at > 0 && reports[at - 1].count < use->own; at--)
			reports[at] = reports[at - 1];
		reports[at] = (account_report_t){ use->service, use->account,
						  use->own };
	}
	return count;
}

static int compare_counts(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

/* @return most slots that any account gets if @p slots are shared so that no
 * account could get more without taking from one that has less */
static int64_t max_min_share(int64_t *wanted, size_t count, int64_t slots)
{
	size_t i;

	qsort(wanted, count, sizeof(*wanted), compare_counts);
	for (i = 0; i < count; i++) {
		int64_t equal = slots / (int64_t)(count - i);

		if (wanted[i] > equal)
			return equal;
		slots -= wanted[i];
	}
	return INT64_MAX;
}

account_use_t account_load_use(const account_load_t *load, uint32_t service,
			       uint32_t account, int64_t slots)
{
	size_t first = position(load, service, 0), end, count = 0, i;
	account_use_t result = { 0, INT64_MAX };
	int64_t *wanted;

	for (end = first; end < load->count; end++)
		if (load->uses[end].service != service)
			break;
	wanted = mem_calloc(end - first + 1, sizeof(*wanted));
	for (i = first; i < end; i++) {
		const use_t *use = &load->uses[i];

		if (use->account == account)
			result.held = use->own + use->others;
		else
			wanted[count++] = use->own + use->others;
	}
	if (count) {
		wanted[count++] = result.held + 1;
		result.share = max_min_share(wanted, count, slots);
	}
	free(wanted);
	return result;
}
