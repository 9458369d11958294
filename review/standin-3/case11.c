/*
 * Case 11: a call of the former holder of a duty reaches the platform after its
 * successor has acted.
 *
 * Usage: case11 RECORD; without TROUBLE=0 in the environment the holder is cut
 * off from the platform for CUT_S, while a usage report is on its way.
 *
 * The link between the holder and the platform's interface is a proxy, which
 * keeps what a cut holds up. As DEPLOY.md says, it is lost if the sender resets
 * the channel. Otherwise it arrives when TCP sends it once more after the cut.
 */
#include "rig.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST "lists.example"
#define KEY "yhks8nbkxxmibw6kpqk8"
#define CUT_AFTER_S 12.0 /* the next report after this meets the cut */
#define CUT_S 5.0
#define THAW_S 0.3 /* thawMs */
#define END_S 34.0
/* TCP sends a segment without an acknowledgement again after this time, and
 * then after twice the last pause (RFC 6298; Linux starts with 0.2 s). */
#define RETRANSMIT_FIRST_S 0.2

enum { NODES = 2 };

typedef struct {
	daemon_node_t daemon;
	store_link_t *store;
	listener_t *cloud; /* the node's path to the platform's interface */
	bool is_cut;
	double cut_s, healed_s;
} machine_t;

static machine_t machines[NODES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static listener_t *cloud;
static int64_t highest_token;
static int calls, broken;
static bool is_calm;
static machine_t *cut_machine;

/* The platform's interface. */
static void on_call(void *context, int fd)
{
	char holder[64] = "", token_text[32] = "";
	message_t call;

	(void)context;
	while (message_read(fd, &call, false)) {
		double at_s = rig_now_s();
		bool excused;
		int64_t token;

		message_header(&call, "X-Duty-Holder", holder, sizeof(holder));
		message_header(&call, "X-Fence-Token", token_text,
			       sizeof(token_text));
		token = atoll(token_text);
		pthread_mutex_lock(&lock);
		excused = cut_machine &&
			  !strcmp(holder, cut_machine->daemon.name) &&
			  at_s < cut_machine->healed_s + THAW_S;
		rig_record("%s from %s arrives, fence %s, %s", call.target,
			   holder, token_text, call.body);
		if (token < highest_token) {
			rig_record("the fence is lower than %lld%s",
				   (long long)highest_token,
				   excused ? ", excused by thawMs" : "");
			broken += !excused;
		}
		if (token > highest_token)
			highest_token = token;
		calls++;
		pthread_mutex_unlock(&lock);
		send_answer(fd, 200, "", "", 0);
		message_clear(&call);
	}
	message_clear(&call);
}

static void begin_cut(machine_t *machine)
{
	pthread_mutex_lock(&lock);
	machine->is_cut = true;
	machine->cut_s = rig_now_s();
	machine->healed_s = machine->cut_s + CUT_S;
	cut_machine = machine;
	pthread_mutex_unlock(&lock);
	store_link_set(machine->store, LINK_SILENT);
	rig_record("%s is cut off for %.1f s", machine->daemon.name, CUT_S);
}

/* Reads until the node ends the channel.
 * @return false if it reset the channel */
static bool wait_for_end(int fd)
{
	char data[4096];
	ssize_t got;

	while ((got = recv(fd, data, sizeof(data), 0)) > 0)
		continue;
	return !got;
}

/* @return when TCP sends again what was sent at @p sent_s, after the cut */
static double retransmitted_s(double sent_s, double healed_s)
{
	double pause_s = RETRANSMIT_FIRST_S, at_s = sent_s + pause_s;

	while (at_s < healed_s) {
		pause_s *= 2;
		at_s += pause_s;
	}
	return at_s;
}

static void deliver(const char *data, size_t size)
{
	message_t answer = { .body = NULL };
	int fd = connect_to(listener_port(cloud));

	if (fd < 0)
		return;
	send_all(fd, data, size);
	message_read(fd, &answer, true);
	message_clear(&answer);
	close(fd);
}

/* Passes a call of a node on. */
static void on_link(void *context, int fd)
{
	machine_t *machine = context;
	message_t call, answer = { .body = NULL };
	double at_s, sent_s;
	char text[HEAD_MAX_BYTES + 4096];
	int size;

	if (machine->is_cut) {
		/* The first packet of the channel is lost. */
		wait_for_end(fd);
		return;
	}
	if (!message_read(fd, &call, false)) {
		message_clear(&call);
		return;
	}
	sent_s = rig_now_s();
	size = snprintf(text, sizeof(text), "%s%s", call.head, call.body);
	if (!is_calm && !cut_machine && sent_s > CUT_AFTER_S) {
		rig_record("%s sends %s, which the cut holds up",
			   machine->daemon.name, call.target);
		begin_cut(machine);
		message_clear(&call);
		if (!wait_for_end(fd)) {
			rig_record("%s has reset the channel: the call is lost",
				   machine->daemon.name);
			return;
		}
		rig_record("%s has closed the channel without a reset",
			   machine->daemon.name);
		at_s = retransmitted_s(sent_s, machine->healed_s);
		rig_sleep_until(at_s);
		deliver(text, (size_t)size);
		return;
	}
	message_clear(&call);
	size = (int)strlen(text);
	{
		int up = connect_to(listener_port(cloud));

		if (up >= 0 && send_all(up, text, (size_t)size) &&
		    message_read(up, &answer, true))
			send_answer(fd, answer.status, "", "", 0);
		message_clear(&answer);
		if (up >= 0)
			close(up);
	}
}

static void write_config(void)
{
	store_put("config", "main",
		  json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}]"
			    ",s:[{s:s,s:s,s:i,s:f,s:f}],s:{s:i,s:i,s:i,s:i},"
			    "s:[{s:s,s:[s]}]}",
			    "version", 1, "routes", "name", "r-1", "host", HOST,
			    "pathPrefix", "/status/", "kind", "idempotent",
			    "timeoutMs", 1000, "targetLatencyMs", 100,
			    "priority", 2, "service", "jobdesk", "attempts", 2,
			    "public", 0, "services", "name", "jobdesk",
			    "healthPath", "/health", "maxConns", 400, "coldS",
			    0.0, "coldPerS", 0.0, "limits", "headerBytes",
			    16384, "bodyBytes", 4194304, "headerTimeoutMs",
			    3000, "idleTimeoutMs", 15000, "tenants", "name",
			    "hule930", "keys", KEY));
}

/* Heals the cut when it is over, and sends some requests to count. */
static void play(void)
{
	char id[32];
	int sent = 0;

	while (rig_now_s() < END_S) {
		machine_t *to = &machines[sent % NODES];

		snprintf(id, sizeof(id), "r%08d", sent++);
		client_get(to->daemon.front_port, HOST, "/status/x", id,
			   "Authorization: Bearer " KEY "\r\n", 1000);
		if (cut_machine && cut_machine->is_cut &&
		    rig_now_s() >= cut_machine->healed_s) {
			store_link_set(cut_machine->store, LINK_UP);
			cut_machine->is_cut = false;
			rig_record("the cut of %s is over",
				   cut_machine->daemon.name);
		}
		usleep(50 * 1000);
	}
}

int main(int argc, char **argv)
{
	static server_t server = { .id = "i-1", .service = "jobdesk",
				   .work_ms = 5, .slots = 6 };
	const char *trouble = getenv("TROUBLE");
	char extra[1024], name[16];
	int i;

	if (argc != 2)
		return RIG_NOT_RUN;
	is_calm = trouble && !strcmp(trouble, "0");
	rig_start(argv[1]);
	server_up(&server, 0);
	server_report(&server);
	write_config();
	cloud = listener_open(0, on_call, NULL);
	for (i = 0; i < NODES; i++) {
		machine_t *machine = &machines[i];

		machine->store = store_link_open();
		machine->cloud = listener_open(0, on_link, machine);
		snprintf(name, sizeof(name), "front-%d", i + 1);
		snprintf(extra, sizeof(extra),
			 "contracts=base,drain,config,cost,retry,recover,"
			 "health,pool,engine,stream,tenants,places,pressure,"
			 "leader,platform,spans\n"
			 "contractParams.requireFence=false\n"
			 "contractParams.leaseMs=3000\n"
			 "contractParams.thawMs=300\n"
			 "contractParams.windowS=5\n"
			 "contractParams.usageTolerance=0.05\n"
			 "contractParams.usageDelayS=10\n"
			 "cloudApi.address=127.0.0.1:%d\n"
			 "cloudApi.ratePerS=50.0\ncloudApi.duties=usage\n"
			 "cloudApi.dutyPerS=50.0\n",
			 listener_port(machine->cloud));
		daemon_start(&machine->daemon, name,
			     store_link_port(machine->store), extra);
	}
	for (i = 0; i < NODES; i++)
		if (!daemon_wait_ready(&machines[i].daemon, 5))
			rig_finish(RIG_NOT_RUN);
	play();
	rig_record("%d calls arrived, %d with a lower fence", calls, broken);
	if (!calls || (!is_calm && !cut_machine))
		rig_finish(RIG_NOT_RUN);
	rig_finish(broken ? RIG_BROKEN : RIG_HELD);
}
