#include "process/packet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"
#include "process/packet_announced.h"
#include "proto/work.pb-c.h"

enum { ITEMS_MAX = 256, CHANGES_MAX = 64, KILO = 1000 };

/* Times of day from this one on, in the year 5138, count as not stated. */
#define WALL_MS_MAX UINT64_C(100000000000000)

/* Bounds of what other nodes state: sums and differences of such times, and the
 * next window, do not overflow. */
#define AGE_MAX_US (INT64_C(1) << 60)
#define BOOT_MAX_US (INT64_C(1) << 60)

static int64_t within(int64_t value, int64_t min, int64_t max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

static uint32_t to_unit(int64_t value, int64_t unit)
{
	int64_t units = (value + unit - 1) / unit;

	if (units < 0)
		return 0;
	return units < UINT32_MAX ? (uint32_t)units : UINT32_MAX;
}

static size_t pack(const Work__Packet *packet, uint8_t *data, size_t capacity)
{
	if (work__packet__get_packed_size(packet) > capacity)
		return 0;
	return work__packet__pack(packet, data);
}

static void pack_rates(const announcement_t *message, Work__Rate *rates,
		       Work__Rate **pointers)
{
	size_t i;

	for (i = 0; i < message->rate_count; i++) {
		const server_rate_t *rate = &message->rates[i];
		double milli = round(rate->per_s * KILO);

		work__rate__init(&rates[i]);
		rates[i].server = rate->server_hash;
		rates[i].ended = !rate->is_limited;
		rates[i].milli_per_s = milli < UINT32_MAX ? (uint32_t)milli
							  : UINT32_MAX;
		rates[i].age_ms = to_unit(rate->age_us, US_PER_MS);
		pointers[i] = &rates[i];
	}
}

/** One packed segment, with the arrays that it points to. */
typedef struct {
	Work__Segment segment;
	uint32_t servers[ANNOUNCED_CRASHES_MAX], ages_ms[ANNOUNCED_CRASHES_MAX];
} packed_segment_t;

static void pack_segments(const segment_report_t *reports, size_t count,
			  packed_segment_t *packed, Work__Segment **pointers)
{
	size_t i, j;

	for (i = 0; i < count; i++) {
		const segment_report_t *report = &reports[i];
		Work__Segment *segment = &packed[i].segment;

		work__segment__init(segment);
		segment->id = report->id;
		segment->blocked = report->is_blocked;
		segment->trials = to_unit(report->trials, 1);
		segment->seen_age_ms = to_unit(report->seen_age_us, US_PER_MS);
		if (report->harmless_age_us >= 0)
			segment->harmless_age_ms =
				to_unit(report->harmless_age_us, US_PER_MS) + 1;
		for (j = 0; j < report->crash_count; j++) {
			packed[i].servers[j] = report->crashes[j].server;
			packed[i].ages_ms[j] =
				to_unit(report->crashes[j].age_us, US_PER_MS);
		}
		segment->n_servers = segment->n_ages_ms = report->crash_count;
		segment->servers = packed[i].servers;
		segment->ages_ms = packed[i].ages_ms;
		pointers[i] = segment;
	}
}

static size_t encode_load(const announcement_t *message, uint8_t *data,
			  size_t capacity)
{
	Work__Packet packet = WORK__PACKET__INIT;
	Work__Announcement announcement = WORK__ANNOUNCEMENT__INIT;
	Work__Item items[ITEMS_MAX], *pointers[ITEMS_MAX];
	Work__Rate rates[ANNOUNCED_RATES_MAX];
	Work__Rate *rate_pointers[ANNOUNCED_RATES_MAX];
	packed_segment_t segments[ANNOUNCED_SEGMENTS_MAX];
	Work__Segment *segment_pointers[ANNOUNCED_SEGMENTS_MAX];
	packed_segment_t contents[ANNOUNCED_CONTENTS_MAX];
	Work__Segment *content_pointers[ANNOUNCED_CONTENTS_MAX];
	packed_announced_t announced;
	size_t i, size, count = message->item_count;

	if (count > ITEMS_MAX)
		count = ITEMS_MAX;
	for (i = 0; i < count; i++) {
		const load_item_t *item = &message->items[i];

		work__item__init(&items[i]);
		items[i].server = item->server_hash;
		items[i].readers = to_unit(item->prefilling, 1);
		items[i].writers = to_unit(item->decoding, 1);
		items[i].starting = to_unit(item->decode_pending, 1);
		items[i].kv_kilotokens = to_unit(item->kv_tokens, KILO);
		items[i].pending_ms = to_unit(item->backlog_us, US_PER_MS);
		items[i].gap_ms = to_unit(item->gap_us, US_PER_MS);
		items[i].due_ms = to_unit(item->target_us, US_PER_MS);
		items[i].deferred = to_unit(item->deferred, 1);
		pointers[i] = &items[i];
	}
	announcement.node = message->node;
	announcement.incarnation = message->incarnation;
	announcement.sequence = message->sequence;
	announcement.data_centre = (char *)message->data_centre;
	announcement.address = (char *)message->address;
	announcement.sent_boot_us = message->sent_boot_us;
	announcement.sound = message->store_reachable;
	announcement.link_mbps = to_unit(message->link_mbps, 1);
	announcement.wall_ms = (uint64_t)message->wall_ms;
	announcement.duty = (uint32_t)message->duty;
	announcement.usage_closed = message->usage_closed;
	announcement.starts = to_unit((int64_t)message->starts + 1, 1);
	announcement.first = message->is_first;
	announcement.n_shunned = message->failing_count;
	announcement.shunned = (uint32_t *)message->failing;
	announcement.n_cut_off = message->cut_off_count;
	announcement.cut_off = (uint32_t *)message->cut_off;
	announcement.n_known = LOAD_VIEWS;
	announcement.known = (int64_t *)message->known_revisions;
	announcement.items = pointers;
	pack_rates(message, rates, rate_pointers);
	announcement.n_rates = message->rate_count;
	announcement.rates = rate_pointers;
	pack_segments(message->segments, message->segment_count, segments,
		      segment_pointers);
	announcement.n_segments = message->segment_count;
	announcement.segments = segment_pointers;
	pack_segments(message->contents, message->content_count, contents,
		      content_pointers);
	announcement.n_contents = message->content_count;
	announcement.contents = content_pointers;
	packet_pack_announced(message, &announced, &announcement);
	packet.body_case = WORK__PACKET__BODY_ANNOUNCEMENT;
	packet.announcement = &announcement;
	/* Items are left out until the rest fits: a node that announces too
	 * little is better than a silent one. */
	for (announcement.n_items = count;; announcement.n_items--) {
		size = pack(&packet, data, capacity);
		if (size || !announcement.n_items)
			return size;
	}
}

static void pack_view(Work__View *packed, const view_delta_t *view,
		      Work__Change *changes, Work__Change **pointers)
{
	size_t i, count = view->change_count;

	work__view__init(packed);
	packed->kind = view->kind;
	packed->revision = view->revision;
	packed->from = view->from;
	packed->version = view->version;
	packed->age_us = view->age_us;
	for (i = 0; i < count && i < CHANGES_MAX; i++) {
		work__change__init(&changes[i]);
		changes[i].name = view->changes[i].name;
		changes[i].revision = view->changes[i].revision;
		changes[i].deleted = view->changes[i].deleted;
		changes[i].spec = view->changes[i].spec;
		changes[i].keep_ms = to_unit(view->changes[i].grace_ms, 1);
		pointers[i] = &changes[i];
	}
	packed->n_changes = i;
	packed->changes = pointers;
}

static size_t encode_update(const view_update_t *update, uint8_t *data,
			    size_t capacity)
{
	Work__Packet packet = WORK__PACKET__INIT;
	Work__News packed = WORK__NEWS__INIT;
	Work__View views[UPDATE_VIEWS_MAX], *view_pointers[UPDATE_VIEWS_MAX];
	Work__Change changes[UPDATE_VIEWS_MAX][CHANGES_MAX];
	Work__Change *pointers[UPDATE_VIEWS_MAX][CHANGES_MAX];
	size_t i;

	for (i = 0; i < update->view_count; i++) {
		pack_view(&views[i], &update->views[i], changes[i],
			  pointers[i]);
		view_pointers[i] = &views[i];
	}
	packed.node = update->node;
	packed.echo_boot_us = update->echoed_boot_us;
	packed.keep_ms = to_unit(update->grace_ms, 1);
	packed.n_views = update->view_count;
	packed.views = view_pointers;
	packet.body_case = WORK__PACKET__BODY_NEWS;
	packet.news = &packed;
	return pack(&packet, data, capacity);
}

static size_t encode_usage(const usage_message_t *report, uint8_t *data,
			   size_t capacity)
{
	Work__Packet packet = WORK__PACKET__INIT;
	Work__Usage packed = WORK__USAGE__INIT;
	Work__Count counts[USAGE_COUNTS_MAX], *pointers[USAGE_COUNTS_MAX];
	size_t i;

	for (i = 0; i < report->count; i++) {
		work__count__init(&counts[i]);
		counts[i].account = (char *)report->counts[i].account;
		counts[i].requests = report->counts[i].requests;
		pointers[i] = &counts[i];
	}
	packed.node = report->node;
	packed.incarnation = report->incarnation;
	packed.window = report->window;
	packed.final = report->final;
	packed.accounts = report->accounts;
	packed.n_counts = report->count;
	packed.counts = pointers;
	packet.body_case = WORK__PACKET__BODY_USAGE;
	packet.usage = &packed;
	return pack(&packet, data, capacity);
}

size_t packet_encode(const packet_t *packet, uint8_t *data, size_t capacity)
{
	switch (packet->type) {
	case PACKET_LOAD:
		return encode_load(&packet->as.load, data, capacity);
	case PACKET_VIEW_UPDATE:
		return encode_update(&packet->as.update, data, capacity);
	case PACKET_USAGE:
		return encode_usage(&packet->as.usage, data, capacity);
	}
	return 0;
}

static server_rate_t unpack_rate(const Work__Rate *packed)
{
	return (server_rate_t){
		.server_hash = packed->server,
		.is_limited = !packed->ended,
		.per_s = (double)packed->milli_per_s / KILO,
		.age_us = (int64_t)packed->age_ms * US_PER_MS,
	};
}

static segment_report_t unpack_segment(const Work__Segment *packed)
{
	segment_report_t report = {
		.id = packed->id,
		.is_blocked = packed->blocked,
		.trials = (int32_t)within(packed->trials, 0, INT16_MAX),
		.seen_age_us = (int64_t)packed->seen_age_ms * US_PER_MS,
		.harmless_age_us = packed->harmless_age_ms
					   ? ((int64_t)packed->harmless_age_ms -
					      1) * US_PER_MS
					   : -1,
	};
	size_t i;

	for (i = 0; i < packed->n_servers && i < packed->n_ages_ms &&
		    i < ANNOUNCED_CRASHES_MAX;
	     i++) {
		report.crashes[i].server = packed->servers[i];
		report.crashes[i].age_us =
			(int64_t)packed->ages_ms[i] * US_PER_MS;
	}
	report.crash_count = i;
	return report;
}

static void decode_load(const Work__Announcement *announcement,
			announcement_t *message)
{
	size_t i;

	message->node = announcement->node;
	message->incarnation = announcement->incarnation;
	message->sequence = announcement->sequence;
	message->sent_boot_us =
		within(announcement->sent_boot_us, 0, BOOT_MAX_US);
	message->store_reachable = announcement->sound;
	message->link_mbps = (int64_t)announcement->link_mbps;
	message->wall_ms = announcement->wall_ms < WALL_MS_MAX
				   ? (int64_t)announcement->wall_ms
				   : 0;
	message->duty = announcement->duty <= DUTY_STATE_HELD
				? (duty_state_t)announcement->duty
				: DUTY_STATE_NONE;
	message->usage_closed =
		within(announcement->usage_closed, 0, USAGE_WINDOW_MAX);
	message->starts = (int32_t)within((int64_t)announcement->starts - 1, -1,
					  INT16_MAX);
	message->is_first = announcement->first;
	for (i = 0; i < announcement->n_shunned && i < LOAD_FAILING_MAX; i++)
		message->failing[i] = announcement->shunned[i];
	message->failing_count = i;
	for (i = 0; i < announcement->n_cut_off && i < LOAD_CUT_OFF_MAX; i++)
		message->cut_off[i] = announcement->cut_off[i];
	message->cut_off_count = i;
	for (i = 0; i < announcement->n_rates && i < ANNOUNCED_RATES_MAX; i++)
		message->rates[i] = unpack_rate(announcement->rates[i]);
	message->rate_count = i;
	for (i = 0; i < announcement->n_segments && i < ANNOUNCED_SEGMENTS_MAX;
	     i++)
		message->segments[i] =
			unpack_segment(announcement->segments[i]);
	message->segment_count = i;
	for (i = 0; i < announcement->n_contents && i < ANNOUNCED_CONTENTS_MAX;
	     i++)
		message->contents[i] =
			unpack_segment(announcement->contents[i]);
	message->content_count = i;
	packet_unpack_announced(announcement, message);
	mem_strlcpy(message->data_centre, announcement->data_centre,
		    sizeof(message->data_centre));
	mem_strlcpy(message->address, announcement->address,
		    sizeof(message->address));
	for (i = 0; i < announcement->n_known && i < LOAD_VIEWS; i++)
		message->known_revisions[i] = announcement->known[i];
	message->item_count = announcement->n_items;
	message->items =
		mem_calloc(announcement->n_items + 1, sizeof(*message->items));
	for (i = 0; i < announcement->n_items; i++) {
		const Work__Item *item = announcement->items[i];
		int64_t prefilling = within(item->readers, 0, INT16_MAX);

		message->items[i] = (load_item_t){
			.server_hash = item->server,
			.prefilling = (int32_t)prefilling,
			.decoding =
				(int32_t)within(item->writers, 0, INT16_MAX),
			.decode_pending =
				(int32_t)within(item->starting, 0, INT16_MAX),
			.kv_tokens = (int64_t)item->kv_kilotokens * KILO,
			.backlog_us = (int64_t)item->pending_ms * US_PER_MS,
			.gap_us = (int64_t)item->gap_ms * US_PER_MS,
			.target_us = (int64_t)item->due_ms * US_PER_MS,
			.deferred =
				(int32_t)within(item->deferred, 0, prefilling),
		};
	}
}

static void decode_view(const Work__View *packed, view_delta_t *view)
{
	size_t i;

	view->kind = packed->kind;
	view->revision = packed->revision;
	view->from = packed->from;
	view->version = packed->version;
	view->age_us = within(packed->age_us, -AGE_MAX_US, AGE_MAX_US);
	view->change_count = packed->n_changes;
	view->changes =
		mem_calloc(packed->n_changes + 1, sizeof(*view->changes));
	for (i = 0; i < packed->n_changes; i++) {
		const Work__Change *change = packed->changes[i];

		view->changes[i] = (view_change_t){
			.name = mem_strdup(change->name),
			.revision = change->revision,
			.deleted = change->deleted,
			.spec = mem_strdup(change->spec),
			.grace_ms = change->keep_ms,
		};
	}
}

static void decode_update(const Work__News *packed, view_update_t *update)
{
	size_t i;

	update->node = packed->node;
	update->echoed_boot_us = within(packed->echo_boot_us, 0, BOOT_MAX_US);
	update->grace_ms = packed->keep_ms;
	for (i = 0; i < packed->n_views && i < UPDATE_VIEWS_MAX; i++)
		decode_view(packed->views[i], &update->views[i]);
	update->view_count = i;
}

static void decode_usage(const Work__Usage *packed, usage_message_t *report)
{
	size_t i;

	report->node = packed->node;
	report->incarnation = packed->incarnation;
	report->window = within(packed->window, 0, USAGE_WINDOW_MAX);
	report->final = packed->final;
	report->accounts = packed->accounts;
	for (i = 0; i < packed->n_counts && i < USAGE_COUNTS_MAX; i++) {
		usage_count_t *count = &report->counts[i];

		count->account = mem_strdup(packed->counts[i]->account);
		count->requests = packed->counts[i]->requests;
	}
	report->count = i;
}

bool packet_decode(packet_t *packet, const uint8_t *data, size_t size)
{
	Work__Packet *packed = work__packet__unpack(NULL, size, data);
	bool valid = true;

	memset(packet, 0, sizeof(*packet));
	if (!packed)
		return false;
	switch (packed->body_case) {
	case WORK__PACKET__BODY_ANNOUNCEMENT:
		packet->type = PACKET_LOAD;
		decode_load(packed->announcement, &packet->as.load);
		break;
	case WORK__PACKET__BODY_NEWS:
		packet->type = PACKET_VIEW_UPDATE;
		decode_update(packed->news, &packet->as.update);
		break;
	case WORK__PACKET__BODY_USAGE:
		packet->type = PACKET_USAGE;
		decode_usage(packed->usage, &packet->as.usage);
		break;
	default:
		valid = false;
	}
	work__packet__free_unpacked(packed, NULL);
	return valid;
}

void packet_clear(packet_t *packet)
{
	size_t i;

	switch (packet->type) {
	case PACKET_LOAD:
		free(packet->as.load.items);
		break;
	case PACKET_VIEW_UPDATE:
		view_update_clear(&packet->as.update);
		break;
	case PACKET_USAGE:
		for (i = 0; i < packet->as.usage.count; i++)
			free(packet->as.usage.counts[i].account);
		break;
	}
}
