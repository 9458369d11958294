/**
 * Tests of the platform client against a scripted server: statuses, lost, slow
 * and malformed answers, watches, and the request budget.
 */
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/loopback.h"
#include "platform/client.h"
#include "platform/codec.h"

/** What the server does with a connection once a request is complete. */
typedef enum { REPLY, REPLY_AND_CLOSE, CLOSE, SILENT } behaviour_t;

/** Scripted server, the client that calls it, and the result of a call. */
typedef struct {
	struct ev_loop *loop;
	ev_io listener, open[8]; /**< listening socket; accepted connections */
	int connections, requests; /**< accepted, and complete so far */
	behaviour_t behaviour;
	int status; /**< HTTP status of replies */
	const char *era; /**< Store-Era of replies; NULL: none */
	int restored; /**< times that the store came back from a copy */
	const char *body; /**< body of replies */
	char request[4096]; /**< last request */
	size_t size; /**< bytes of an incomplete request; 0: none */
	client_t *client;
	platform_t *platform;
	/* Result of the last call. */
	bool done;
	int done_count; /**< calls of the callback */
	platform_status_t got;
	bool has_object;
	platform_object_t object; /**< object, or last object of a page */
	size_t vm_count;
	platform_vm_t vms[4];
	int64_t revision;
	char next[PLATFORM_NEXT_SIZE_BYTES];
} fake_t;

static bool is_whole(const fake_t *fake)
{
	const char *body = strstr(fake->request, "\r\n\r\n");
	const char *length = strstr(fake->request, "Content-Length: ");

	return body &&
	       (!length || strlen(body + 4) >= strtoul(length + 16, NULL, 10));
}

static void send_reply(const fake_t *fake, int fd)
{
	char reply[4096], era[64] = "";

	if (fake->era)
		snprintf(era, sizeof(era), "Store-Era: %s\r\n", fake->era);
	snprintf(reply, sizeof(reply),
		 "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n%s",
		 fake->status, era, strlen(fake->body), fake->body);
	assert_int_equal(write(fd, reply, strlen(reply)), strlen(reply));
}

static void on_request(struct ev_loop *loop, ev_io *watcher, int events)
{
	fake_t *fake = watcher->data;
	ssize_t size = read(watcher->fd, fake->request + fake->size,
			    sizeof(fake->request) - 1 - fake->size);

	if (size > 0) {
		fake->size += (size_t)size;
		fake->request[fake->size] = '\0';
		if (!is_whole(fake))
			return;
		fake->requests++;
		fake->size = 0;
		if (fake->behaviour == REPLY ||
		    fake->behaviour == REPLY_AND_CLOSE)
			send_reply(fake, watcher->fd);
		if (fake->behaviour == REPLY || fake->behaviour == SILENT)
			return;
	}
	ev_io_stop(loop, watcher);
	close(watcher->fd);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	fake_t *fake = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);
	ev_io *connection = &fake->open[fake->connections++];

	assert_true(fd >= 0);
	assert_true(fake->connections <= (int)COUNT_OF(fake->open));
	fake->size = 0;
	ev_io_init(connection, on_request, fd, EV_READ);
	connection->data = fake;
	ev_io_start(loop, connection);
}

static void on_restored(void *context)
{
	fake_t *fake = context;

	fake->restored++;
}

static void start(fake_t *fake, int32_t calls_per_s)
{
	platform_conf_t conf = { .restored = on_restored,
				 .context = fake,
				 .namespace_name = "ns",
				 .token = "secret",
				 .timeout_ms = 200,
				 .calls_per_s = calls_per_s };
	int port, fd = loopback_listen(&port);

	memset(fake, 0, sizeof(*fake));
	fake->body = "";
	fake->loop = ev_loop_new(EVFLAG_AUTO);
	ev_io_init(&fake->listener, on_accept, fd, EV_READ);
	fake->listener.data = fake;
	ev_io_start(fake->loop, &fake->listener);
	snprintf(conf.url, sizeof(conf.url), "http://127.0.0.1:%d", port);
	fake->client = client_create(fake->loop, NULL);
	fake->platform = platform_create(fake->client, &conf);
}

static void stop_listening(fake_t *fake)
{
	if (!ev_is_active(&fake->listener))
		return;
	ev_io_stop(fake->loop, &fake->listener);
	close(fake->listener.fd);
}

static void stop(fake_t *fake)
{
	int i;

	platform_destroy(fake->platform);
	client_destroy(fake->client);
	stop_listening(fake);
	for (i = 0; i < fake->connections; i++) {
		if (!ev_is_active(&fake->open[i]))
			continue;
		ev_io_stop(fake->loop, &fake->open[i]);
		close(fake->open[i].fd);
	}
	ev_loop_destroy(fake->loop);
}

static void on_done(void *context, platform_status_t status,
		    const platform_object_t *object)
{
	fake_t *fake = context;

	fake->done = true;
	fake->done_count++;
	fake->got = status;
	fake->has_object = object;
	if (object)
		fake->object = *object;
}

static void on_vms(void *context, platform_status_t status,
		   const platform_vm_t *vms, size_t count)
{
	fake_t *fake = context;

	assert_true(count <= COUNT_OF(fake->vms));
	on_done(context, status, NULL);
	fake->vm_count = count;
	if (count)
		memcpy(fake->vms, vms, count * sizeof(*vms));
}

static void on_page(void *context, platform_status_t status,
		    const platform_page_t *page)
{
	fake_t *fake = context;
	bool any = page && page->count;

	on_done(context, status, any ? &page->objects[page->count - 1] : NULL);
	if (!page)
		return;
	fake->revision = page->revision;
	mem_strlcpy(fake->next, page->next, sizeof(fake->next));
}

/** Runs the loop until the call ends, for @p limit_ms at most. */
static void run(fake_t *fake, int64_t limit_ms)
{
	int64_t end_us = clock_monotonic_us() + limit_ms * US_PER_MS;

	while (!fake->done && clock_monotonic_us() < end_us) {
		ev_run(fake->loop, EVRUN_NOWAIT);
		usleep(500);
	}
}

typedef enum { GET, CREATE, PUT, DELETE, WATCH, WATCH_KIND, LIST, VMS } call_t;

static void call(fake_t *fake, call_t type)
{
	platform_t *platform = fake->platform;

	fake->done = false;
	switch (type) {
	case GET:
		platform_get(platform, PLATFORM_CLAIMS, "a/b", on_done, fake);
		break;
	case CREATE:
		platform_create_object(platform, PLATFORM_CLAIMS, "n",
				       json_pack("{s:i}", "k", 1), on_done,
				       fake);
		break;
	case PUT:
		platform_put(platform, PLATFORM_LEASES, "n", 7,
			     json_pack("{s:i}", "k", 1), on_done, fake);
		break;
	case DELETE:
		platform_delete(platform, PLATFORM_CLAIMS, "n", 7, on_done,
				fake);
		break;
	case WATCH:
		platform_watch(platform, PLATFORM_CONFIGURATIONS, "fleet", 7,
			       1000, on_done, fake);
		break;
	case WATCH_KIND:
		platform_watch_kind(platform, PLATFORM_SERVERS, 7, 1000,
				    on_page, fake);
		break;
	case LIST:
		platform_list(platform, PLATFORM_CLAIMS, "a b", false, on_page,
			      fake);
		break;
	case VMS:
		platform_list_vms(platform, true, on_vms, fake);
		break;
	}
}

#define OBJECT                                       \
	"{\"meta\":{\"name\":\"n\",\"revision\":8}," \
	"\"spec\":{\"k\":1}}"
#define EVENT(name, revision, deleted)                                    \
	"{\"deleted\":" deleted ",\"object\":{\"meta\":{\"name\":\"" name \
	"\",\"revision\":" revision "},\"spec\":{}}}"
#define EVENTS(list) "{\"events\":[" list "],\"storeRevision\":12}"

static const struct {
	const char *guards_against;
	call_t type;
	behaviour_t behaviour;
	int status;
	const char *body;
	platform_status_t expected;
	int64_t version; /**< version of the received object; 0: none */
	const char *sent; /**< text that the request must contain */
} cases[] = {
	{ "a name that changes the path", GET, REPLY, 200, OBJECT, PLATFORM_OK,
	  8, "GET /objects/ns-claims/a%2Fb HTTP" },
	{ "a missing token", GET, REPLY, 200, OBJECT, PLATFORM_OK, 8,
	  "Authorization: Bearer secret" },
	{ "a missing object taken for an outage", GET, REPLY, 404, "{}",
	  PLATFORM_NOT_FOUND, 0, "" },
	{ "an error page taken for an object", GET, REPLY, 200, "<html>",
	  PLATFORM_UNKNOWN, 0, "" },
	{ "an object without a revision", GET, REPLY, 200,
	  "{\"meta\":{\"name\":\"n\"},\"spec\":{}}", PLATFORM_UNKNOWN, 0, "" },
	{ "a revision that is no number", GET, REPLY, 200,
	  "{\"meta\":{\"name\":\"n\",\"revision\":\"8x\"},"
	  "\"spec\":{}}",
	  PLATFORM_UNKNOWN, 0, "" },
	{ "a refused call taken for a lost answer", GET, REPLY, 403, "{}",
	  PLATFORM_REFUSED, 0, "" },
	{ "a throttled call taken for a lost answer", PUT, REPLY, 429, "{}",
	  PLATFORM_BUDGET, 0, "" },
	{ "a second owner of a name", CREATE, REPLY, 409, "{}", PLATFORM_EXISTS,
	  0, "\"spec\":{\"k\":1}" },
	{ "a lost update that overwrites", PUT, REPLY, 409, "{}",
	  PLATFORM_CONFLICT, 0, "\"revision\":7" },
	{ "a write that took effect taken for a failed one", PUT, REPLY, 200,
	  OBJECT, PLATFORM_OK, 8, "PUT " },
	{ "a write whose answer is lost taken for a failed one", PUT, CLOSE, 0,
	  "", PLATFORM_UNKNOWN, 0, "PUT " },
	{ "a create whose answer is lost taken for a failed one", CREATE, CLOSE,
	  0, "", PLATFORM_UNKNOWN, 0, "POST /objects/ns-claims " },
	{ "a call that waits without end for a slow answer", CREATE, SILENT, 0,
	  "", PLATFORM_UNKNOWN, 0, "POST " },
	{ "a failing platform taken for one that refused", CREATE, REPLY, 500,
	  "{}", PLATFORM_UNKNOWN, 0, "" },
	{ "a call rejected with 503 taken for a lost answer", CREATE, REPLY,
	  503, "{}", PLATFORM_UNSENT, 0, "" },
	{ "a create whose answer is malformed taken for a failed one", CREATE,
	  REPLY, 201, "{\"meta\":", PLATFORM_UNKNOWN, 0, "" },
	{ "a delete of a version that is not the current one", DELETE, REPLY,
	  409, "{}", PLATFORM_CONFLICT, 0, "/ns-claims/n?revision=7" },
	{ "a delete answered without an object", DELETE, REPLY, 200, "{}",
	  PLATFORM_OK, 0, "DELETE " },
	{ "a change of the watched object that is missed", WATCH, REPLY, 200,
	  EVENTS(EVENT("fleet", "9", "false")), PLATFORM_OK, 9,
	  "/objects/ns-configurations?watch=7&waitMs=" },
	{ "an old change taken for the newest", WATCH, REPLY, 200,
	  EVENTS(EVENT("fleet", "8", "false") "," EVENT("fleet", "9", "false")),
	  PLATFORM_OK, 9, "" },
	{ "a change of another object that is reported", WATCH, REPLY, 200,
	  EVENTS(EVENT("other", "9", "false")), PLATFORM_OK, 0, "" },
	{ "changes that the platform no longer has", WATCH, REPLY, 410, "{}",
	  PLATFORM_CONFLICT, 0, "" },
	{ "a watch without changes taken for an outage", WATCH, REPLY, 200,
	  EVENTS(""), PLATFORM_OK, 0, "" },
	{ "a malformed page that is ignored", WATCH, REPLY, 200,
	  "{\"events\":{}}", PLATFORM_UNKNOWN, 0, "" },
	{ "a deletion that is missed", WATCH, REPLY, 200,
	  EVENTS(EVENT("fleet", "9", "true")), PLATFORM_NOT_FOUND, 0, "" },
	{ "changes of a kind that are missed", WATCH_KIND, REPLY, 200,
	  EVENTS(EVENT("s1", "9", "false") "," EVENT("s2", "10", "true")),
	  PLATFORM_OK, 10, "/objects/servers?watch=7&waitMs=1000 " },
	{ "changes of a kind that the platform no longer has", WATCH_KIND,
	  REPLY, 410, "{}", PLATFORM_CONFLICT, 0, "" },
	{ "objects beyond the first page that are missed", LIST, REPLY, 200,
	  "{\"items\":[" OBJECT "," OBJECT
	  "],\"morePages\":true,\"storeRevision\":9}",
	  PLATFORM_OK, 8, "/objects/ns-claims?after=a%20b " },
	{ "a malformed object that hides the others", LIST, REPLY, 200,
	  "{\"items\":[{},{\"meta\":7}," OBJECT
	  "],\"morePages\":false,\"storeRevision\":9}",
	  PLATFORM_OK, 8, "" },
	{ "an object with bytes outside UTF-8 that hides the others", LIST,
	  REPLY, 200,
	  "{\"items\":[{\"meta\":{\"name\":\"x\"},\"spec\":\"\xff\xfe\"}," OBJECT
	  "],\"morePages\":false,\"storeRevision\":9}",
	  PLATFORM_OK, 8, "" },
	{ "a page that the platform no longer has", LIST, REPLY, 410, "{}",
	  PLATFORM_CONFLICT, 0, "" },
	{ "a malformed VM list that is used", VMS, REPLY, 200,
	  "{\"items\":[{}],\"morePages\":false,\"storeRevision\":9}",
	  PLATFORM_UNKNOWN, 0, "/objects/ns-vms" },
};

/*
 * Guards against an end of a call that is reported with the wrong status, which
 * hides whether a write took effect.
 */
static void maps_answers(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		fake_t fake;

		start(&fake, 100);
		fake.behaviour = cases[i].behaviour;
		fake.status = cases[i].status;
		fake.body = cases[i].body;
		call(&fake, cases[i].type);
		run(&fake, 3000);
		if (!fake.done || fake.got != cases[i].expected ||
		    (fake.has_object ? fake.object.version : 0) !=
			    cases[i].version ||
		    !strstr(fake.request, cases[i].sent))
			fail_msg("case \"%s\": done %d status %d version %d, "
				 "sent %s",
				 cases[i].guards_against, fake.done, fake.got,
				 (int)fake.object.version, fake.request);
		assert_int_equal(fake.done_count, 1);
		stop(&fake);
	}
}

/*
 * Guards against a list that stops before the last page, and against a watch
 * that starts after a revision it has not read, and so misses changes.
 */
static void reads_next_page_and_revision(void **state)
{
	static const struct {
		const char *body;
		const char *next;
		int64_t revision;
	} pages[] = {
		{ "{\"items\":[" OBJECT "],\"morePages\":true,"
		  "\"storeRevision\":9}",
		  "n", 9 },
		{ "{\"items\":[" OBJECT "],\"morePages\":false,"
		  "\"storeRevision\":9}",
		  "", 9 },
		{ EVENTS(EVENT("s1", "9", "false")), "", 12 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(pages); i++) {
		fake_t fake;

		start(&fake, 100);
		fake.status = 200;
		fake.body = pages[i].body;
		call(&fake, LIST);
		run(&fake, 3000);
		assert_int_equal(fake.got, PLATFORM_OK);
		assert_string_equal(fake.next, pages[i].next);
		assert_int_equal(fake.revision, pages[i].revision);
		stop(&fake);
	}
}

/*
 * Guards against a write that executes twice: libcurl repeats a request by
 * itself when a reused connection turns out to be closed.
 */
static void sends_writes_once(void **state)
{
	static const call_t writes[] = { CREATE, PUT, DELETE };
	size_t i;

	for (i = 0; i < COUNT_OF(writes); i++) {
		fake_t fake;

		start(&fake, 100);
		fake.behaviour = REPLY;
		fake.status = 200;
		fake.body = OBJECT;
		call(&fake, GET);
		run(&fake, 3000);
		assert_int_equal(fake.got, PLATFORM_OK);
		fake.behaviour = CLOSE;
		call(&fake, writes[i]);
		run(&fake, 3000);
		assert_int_equal(fake.got, PLATFORM_UNKNOWN);
		assert_int_equal(fake.requests, 2);
		assert_int_equal(fake.connections, 2);
		stop(&fake);
	}
}

/* Guards against fields of a VM that are lost or misread. */
static void parses_vm_list(void **state)
{
	fake_t fake;

	start(&fake, 100);
	fake.status = 200;
	fake.body =
		"{\"items\":[{\"meta\":{\"name\":\"a1\",\"revision\":1},"
		"\"spec\":{\"data_centre\":\"a\",\"address\":"
		"\"10.0.0.1:1\",\"leaving\":true}}],\"morePages\":false,\"storeRevision\":1}";
	call(&fake, VMS);
	run(&fake, 3000);
	assert_int_equal(fake.got, PLATFORM_OK);
	assert_int_equal(fake.vm_count, 1);
	assert_string_equal(fake.vms[0].id, "a1");
	assert_string_equal(fake.vms[0].data_centre, "a");
	assert_true(fake.vms[0].leaving);
	stop(&fake);
}

/*
 * Guards against a node that floods the platform when a fault makes the node
 * repeat its calls.
 */
static void enforces_request_budget(void **state)
{
	fake_t fake;
	int i, refused = 0;

	start(&fake, 5);
	fake.status = 404;
	for (i = 0; i < 10; i++) {
		call(&fake, GET);
		if (fake.done && fake.got == PLATFORM_BUDGET)
			refused++;
		run(&fake, 3000);
	}
	assert_in_range(refused, 4, 5);
	stop(&fake);
}

/*
 * Guards against a call that reached the platform being reported as not
 * executed: only a call without a connection counts as unsent.
 */
static void distinguishes_unsent_from_unknown(void **state)
{
	fake_t fake;

	start(&fake, 100);
	assert_true(platform_available(fake.platform));
	stop_listening(&fake);
	call(&fake, CREATE);
	run(&fake, 3000);
	assert_int_equal(fake.got, PLATFORM_UNSENT);
	assert_false(platform_available(fake.platform));
	stop(&fake);
}

/* Guards against callbacks into freed memory after platform_destroy(). */
static void destroys_with_open_calls(void **state)
{
	fake_t fake;

	start(&fake, 100);
	fake.behaviour = SILENT;
	call(&fake, GET);
	call(&fake, WATCH);
	run(&fake, 50);
	stop(&fake);
	assert_int_equal(fake.done_count, 0);
}

/* A client that knows era 1 makes a call for version 7; the store, at era 2,
 * has given out the number again. */
static void revision_of_an_older_copy_is_used(void **state)
{
	static const struct {
		const char *guards_against;
		call_t type;
		bool is_told; /* the client knows of era 2 before the call */
		const char *era, *body; /* of the answer */
		platform_status_t expected;
		int sent; /* requests that reach the store */
	} plays[] = {
		{ "a watch that skips changes", WATCH_KIND, false, "2",
		  EVENTS(""), PLATFORM_CONFLICT, 1 },
		{ "a watch of one object that skips changes", WATCH, false, "2",
		  EVENTS(""), PLATFORM_CONFLICT, 1 },
		{ "a watch that is sent", WATCH_KIND, true, "2", EVENTS(""),
		  PLATFORM_CONFLICT, 0 },
		{ "another object that is overwritten", PUT, true, "2", OBJECT,
		  PLATFORM_CONFLICT, 0 },
		{ "another object that is deleted", DELETE, true, "2", OBJECT,
		  PLATFORM_CONFLICT, 0 },
		{ "a write of another object taken for its own", PUT, false,
		  "2", OBJECT, PLATFORM_UNKNOWN, 1 },
		{ "pages of two copies", LIST, false, "2",
		  "{\"items\":[],\"morePages\":false,\"storeRevision\":9}",
		  PLATFORM_CONFLICT, 1 },
		{ "an answer that comes late", GET, true, "1", OBJECT,
		  PLATFORM_UNKNOWN, 1 },
		{ "a read that fails without reason", GET, false, "2", OBJECT,
		  PLATFORM_OK, 1 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(plays); i++) {
		fake_t fake;
		int before;

		start(&fake, 100);
		fake.behaviour = REPLY;
		fake.status = 200;
		fake.body = OBJECT;
		fake.era = "1";
		call(&fake, GET);
		run(&fake, 1000);
		assert_int_equal(fake.object.version, 8);
		if (plays[i].is_told) {
			fake.era = "2";
			call(&fake, GET);
			run(&fake, 1000);
			assert_true(fake.object.version > INT32_MAX);
		}
		before = fake.requests;
		fake.era = plays[i].era;
		fake.body = plays[i].body;
		call(&fake, plays[i].type);
		run(&fake, 1000);
		if (!fake.done || fake.got != plays[i].expected ||
		    fake.requests - before != plays[i].sent ||
		    fake.restored != 1)
			fail_msg("case \"%s\": status %d, %d sent, %d restored",
				 plays[i].guards_against, fake.got,
				 fake.requests - before, fake.restored);
		stop(&fake);
	}
}

/* Guards against revisions that overflow once the number of the copy is above
 * them. */
static void revision_overflows_in_a_later_copy(void **state)
{
	static const struct {
		const char *revision;
		bool valid;
	} revisions[] = {
		{ "0", true },
		{ "1780000000000000", true },
		{ "4611686018427387905", false },
		{ "9223372036854775807", false },
		{ "-1", false },
		{ "-9223372036854775808", false },
	};
	int64_t offset = platform_era_offset(INT64_MAX);
	size_t i;

	for (i = 0; i < COUNT_OF(revisions); i++) {
		platform_parsed_page_t parsed;
		platform_object_t object;
		char text[200];
		json_t *root;
		err_t err;
		bool valid;

		snprintf(text, sizeof(text),
			 "{\"meta\":{\"name\":\"n\",\"revision\":%s},"
			 "\"spec\":{}}",
			 revisions[i].revision);
		root = platform_parse_object(text, strlen(text), offset,
					     &object, &err);
		assert_int_equal(root != NULL, revisions[i].valid);
		json_decref(root);
		snprintf(
			text, sizeof(text),
			"{\"items\":[],\"morePages\":false,\"storeRevision\":%s}",
			revisions[i].revision);
		valid = platform_parse_page(text, strlen(text), offset, &parsed,
					    &err);
		assert_int_equal(valid, revisions[i].valid);
		if (valid)
			platform_page_clear(&parsed);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(maps_answers),
		cmocka_unit_test(revision_of_an_older_copy_is_used),
		cmocka_unit_test(revision_overflows_in_a_later_copy),
		cmocka_unit_test(reads_next_page_and_revision),
		cmocka_unit_test(sends_writes_once),
		cmocka_unit_test(parses_vm_list),
		cmocka_unit_test(enforces_request_budget),
		cmocka_unit_test(distinguishes_unsent_from_unknown),
		cmocka_unit_test(destroys_with_open_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
