#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

enum {
	/* Ports below the range that the kernel uses for outgoing
	 * connections. */
	PORTS_FROM = 12000,
	PORTS_TO = 30000,
	PORTS_STEP = 97, /* distance between the first ports of soak tests
			    with successive process ids, which may run at the
			    same time */
	PROBE_MS = 1000, /* interval between readiness probes */
	FAILED_PROBES_MAX = 2 /* failed probes in a row after which a node
				  gets no requests */
};
#define RESTART_S 0.3 /* delay from the end of a daemon to its restart */

static bool is_free(int port, int type)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool bound;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	bound = !bind(fd, (struct sockaddr *)&address, sizeof(address));
	close(fd);
	return bound;
}

/* @return the first of two ports that are free */
static int free_port(void)
{
	static int port;

	if (!port)
		port = PORTS_FROM +
		       (int)getpid() * PORTS_STEP % (PORTS_TO - PORTS_FROM);
	do {
		port += 2;
		if (port >= PORTS_TO)
			port = PORTS_FROM;
	} while (!is_free(port, SOCK_STREAM) || !is_free(port, SOCK_DGRAM) ||
		 !is_free(port + 1, SOCK_STREAM));
	return port;
}

static void write_settings(node_t *node)
{
	FILE *file = fopen(node->settings, "we");
	char duties[256];

	if (!file)
		abort();
	duties_settings(node, duties, sizeof(duties));
	fprintf(file,
		"node=%s\nrole=gateway\nip=127.0.0.1\nzone=a\n"
		"bind.front=127.0.0.1:%d\nbind.ready=127.0.0.1:%d\n"
		"portRange=%d,%d\nplatform.address=127.0.0.1:%d\n"
		"limits.memoryMb=260\nlimits.maxFds=1024\n"
		"contractParams.graceS=%d\ncontractParams.revokeMs=%d\n"
		"contractParams.strictRevoke=true\n"
		"contractParams.budgetRatio=%.1f\n"
		"contractParams.retrySlack=%d\n%s%s",
		node->name, node->port, node->ready_port, node->peer_port,
		node->peer_port + 1, proxy_port(node->store_link),
		STOP_MS / (int)MS_PER_S, REVOKE_MS, budget_ratio(node->soak),
		budget_slack(node->soak),
		node->soak->overload ? "contracts=base,engine,stream\n" : "",
		duties);
	fclose(file);
}

static void run_daemon(const node_t *node)
{
	char program[256], log[256];
	int fd;

	snprintf(program, sizeof(program), "%s/chivestaged",
		 node->is_other_build ? node->soak->other_build
				      : node->soak->build);
	snprintf(log, sizeof(log), "%s/%s.log", node->soak->directory,
		 node->name);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	setenv("CHIVESTAGE_SETTINGS", node->settings, 1);
	execl(program, program, "--platform", NULL);
	_exit(127);
}

static void on_daemon_exit(struct ev_loop *loop, ev_child *watcher, int events)
{
	node_t *node = watcher->data;

	ev_child_stop(loop, watcher);
	/* Only SIGTERM and SIGKILL of the soak test may end a daemon. */
	if (!node->stopping)
		soak_violation(node->soak,
			       "FAULT %s ended without a signal from the test: "
			       "wait status %d",
			       node->name, watcher->rstatus);
	else if (WIFEXITED(watcher->rstatus) && WEXITSTATUS(watcher->rstatus))
		soak_violation(node->soak,
			       "FAULT %s stopped with exit status %d",
			       node->name, WEXITSTATUS(watcher->rstatus));
	node->pid = 0;
	node->ready = node->paused = false;
	ev_timer_start(loop, &node->restart);
}

static void start(node_t *node)
{
	struct ev_loop *loop = node->soak->loop;

	node->stopping = false;
	node->started_us = node->disturbed_us = clock_monotonic_us();
	node->pid = fork();
	if (node->pid < 0)
		abort();
	if (!node->pid)
		run_daemon(node);
	ev_child_init(&node->child, on_daemon_exit, node->pid, 0);
	node->child.data = node;
	ev_child_start(loop, &node->child);
}

static void on_restart(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_timer_stop(loop, timer);
	start(timer->data);
}

void node_signal(node_t *node, int number)
{
	if (!node->pid)
		return;
	node->disturbed_us = clock_monotonic_us();
	if (number == SIGTERM && !node->stopping)
		node->stop_us = clock_monotonic_us();
	if (number == SIGTERM || number == SIGKILL)
		node->stopping = true;
	if (number == SIGSTOP)
		node->paused = true;
	if (number == SIGCONT)
		node->paused = false;
	kill(node->pid, number);
}

bool node_undisturbed(const node_t *node)
{
	return node->pid && !node->paused && !node->stopping &&
	       clock_monotonic_us() - node->disturbed_us >
		       UNDISTURBED_MS * US_PER_MS;
}

/* Acts like the load balancer of the platform: two failed probes in a row take
 * a node out, one success puts it back. */
static void on_probed(void *context, client_end_t end, int status,
		      const char *body, size_t size)
{
	node_t *node = context;

	node->failed_probes =
		end == CLIENT_OK && status == 200 ? 0 : node->failed_probes + 1;
	if (!node->failed_probes)
		node->ready = true;
	if (node->failed_probes >= FAILED_PROBES_MAX)
		node->ready = false;
}

static void on_probe(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	char url[64];
	client_request_t request = { .method = "GET",
				     .url = url,
				     .connect_timeout_ms = PROBE_MS / 2,
				     .total_timeout_ms = PROBE_MS / 2,
				     .at_most_once = true };
	int i;

	for (i = 0; i < soak->node_count; i++) {
		snprintf(url, sizeof(url), "http://127.0.0.1:%d/ready",
			 soak->nodes[i].ready_port);
		client_fetch(soak->client, &request, 1024, on_probed,
			     &soak->nodes[i]);
	}
}

void nodes_start(soak_t *soak)
{
	char path[256];
	int i;

	for (i = 0; i < soak->node_count; i++) {
		node_t *node = &soak->nodes[i];

		node->soak = soak;
		node->is_other_build = soak->other_build && i % 2;
		snprintf(node->name, sizeof(node->name), "n%d", i);
		node->port = free_port();
		node->ready_port = free_port();
		node->peer_port = free_port();
		node->store_link = proxy_create(soak->loop, store_port(i));
		cuts_link_node(node);
		snprintf(path, sizeof(path), "%s/%s.conf", soak->directory,
			 node->name);
		mem_strlcpy(node->settings, path, sizeof(node->settings));
		write_settings(node);
		ev_timer_init(&node->restart, on_restart, RESTART_S, RESTART_S);
		node->restart.data = node;
		start(node);
	}
	ev_timer_init(&soak->probe_timer, on_probe, (double)PROBE_MS / MS_PER_S,
		      (double)PROBE_MS / MS_PER_S);
	soak->probe_timer.data = soak;
	ev_timer_start(soak->loop, &soak->probe_timer);
}

void nodes_stop(soak_t *soak)
{
	int i;

	ev_timer_stop(soak->loop, &soak->probe_timer);
	for (i = 0; i < soak->node_count; i++) {
		node_t *node = &soak->nodes[i];

		ev_timer_stop(soak->loop, &node->restart);
		ev_child_stop(soak->loop, &node->child);
		if (node->pid) {
			kill(node->pid, SIGCONT);
			kill(node->pid, SIGKILL);
			waitpid(node->pid, NULL, 0);
		}
		proxy_destroy(node->store_link);
		cuts_unlink_node(node);
	}
}
