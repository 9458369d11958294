#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum { DAEMONS_MAX = 16, PORT_FIRST = 14000, PORT_LAST = 30000 };

static pid_t pids[DAEMONS_MAX];
static int pid_count;
static char directory[128];

static bool is_free(int port, int type)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool bound;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bound = !bind(fd, (struct sockaddr *)&address, sizeof(address));
	close(fd);
	return bound;
}

/* @return the first of @p count free ports below those of outgoing
 * connections */
static int free_ports(int count)
{
	static int next;
	int i;

	if (!next)
		next = PORT_FIRST +
		       (int)getpid() * 61 % (PORT_LAST - PORT_FIRST - 1000);
	for (;;) {
		int port = next;

		next += count;
		if (next >= PORT_LAST)
			next = PORT_FIRST;
		for (i = 0; i < count; i++)
			if (!is_free(port + i, SOCK_STREAM) ||
			    !is_free(port + i, SOCK_DGRAM))
				break;
		if (i == count)
			return port;
	}
}

static void write_settings(const daemon_node_t *node, int store_port,
			   const char *extra)
{
	FILE *file = fopen(node->settings, "we");

	if (!file)
		rig_finish(RIG_NOT_RUN);
	fprintf(file,
		"node=%s\nrole=gateway\nmachineClass=front\nserves=front\n"
		"ip=127.0.0.1\nzone=north\nregion=south\nzones.north=south\n"
		"bind.front=127.0.0.1:%d\nbind.ready=127.0.0.1:%d\n"
		"portRange=%d,%d\nbootstrap=true\ninTolerance=false\n"
		"limits.cpuShare=0.25\nlimits.cpuSpeedup=1\n"
		"limits.memoryMb=260\nlimits.maxFds=4100\n"
		"limits.netMbps=1000.0\nlimits.diskMb=0\n"
		"discovery=platform\nentry=virtual_ip\nbeatMs=1200\n"
		"faultTolerance.machines=2\nfaultTolerance.zones=1\n"
		"faultTolerance.regions=0\n"
		"contractParams.seedLagS=3\ncontractParams.addrReuseS=2\n"
		"contractParams.stableWindowMs=3000\n"
		"contractParams.ackMs=4000\ncontractParams.syncS=4\n"
		"contractParams.drainMs=2000\ncontractParams.graceS=8\n"
		"contractParams.lossSlackMs=200\n"
		"contractParams.configApplyMs=2000\n"
		"contractParams.backMs=250\ncontractParams.skewMaxMs=5000\n"
		"contractParams.strictRevoke=true\n"
		"contractParams.revokeMs=5000\n"
		"contractParams.budgetRatio=0.2\n"
		"contractParams.budgetWindowS=10\n"
		"contractParams.retrySlack=100\n"
		"contractParams.coldMultiplier=1.5\n"
		"contractParams.coldSlack=5\n"
		"contractParams.evacuateMs=5000\n"
		"contractParams.recoveryS=12\ncontractParams.passMs=120\n"
		"contractParams.againS=0\ncontractParams.stall_ms=1500\n"
		"contractParams.holdMaxMs=20000\n"
		"contractParams.freeMs=4000\ncontractParams.idleMaxMs=9000\n"
		"platform.address=127.0.0.1:%d\nplatform.form=objects\n"
		"platform.writesPerS=400\nplatform.readsPerS=2000\n"
		"platform.historyS=20\nplatform.valueBytes=1048576\n"
		"platform.ttlMinMs=1000\n%s",
		node->name, node->front_port, node->ready_port,
		node->peer_port, node->peer_port + 15, store_port, extra);
	fclose(file);
}

static void run(const daemon_node_t *node)
{
	int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	/* No daemon outlives the test. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	setenv("CHIVESTAGE_SETTINGS", node->settings, 1);
	execl("target/chivestaged", "target/chivestaged", "--platform", NULL);
	_exit(127);
}

void daemon_start(daemon_node_t *node, const char *name, int store_port,
		  const char *extra)
{
	if (!*directory) {
		snprintf(directory, sizeof(directory),
			 "/tmp/chivestage-review.XXXXXX");
		if (!mkdtemp(directory))
			rig_finish(RIG_NOT_RUN);
	}
	snprintf(node->name, sizeof(node->name), "%s", name);
	snprintf(node->settings, sizeof(node->settings), "%s/%s.conf",
		 directory, name);
	snprintf(node->log, sizeof(node->log), "%s/%s.log", directory, name);
	node->front_port = free_ports(1);
	node->ready_port = free_ports(1);
	node->peer_port = free_ports(16);
	write_settings(node, store_port, extra);
	daemon_restart(node);
}

void daemon_restart(daemon_node_t *node)
{
	node->pid = fork();
	if (node->pid < 0 || pid_count == DAEMONS_MAX)
		rig_finish(RIG_NOT_RUN);
	if (!node->pid)
		run(node);
	pids[pid_count++] = node->pid;
	rig_record("%s started, front at port %d", node->name,
		   node->front_port);
}

void daemon_kill(const daemon_node_t *node)
{
	int i, ended;

	kill(node->pid, SIGKILL);
	waitpid(node->pid, &ended, 0);
	for (i = 0; i < pid_count; i++)
		if (pids[i] == node->pid)
			pids[i] = pids[--pid_count];
	rig_record("%s is killed", node->name);
}

bool daemon_wait_ready(const daemon_node_t *node, double until_s)
{
	while (rig_now_s() < until_s) {
		result_t result = client_get(node->ready_port, "ready",
					     "/ready", "", "", 1000);

		if (result.status == 200) {
			rig_record("%s is ready", node->name);
			return true;
		}
		usleep(100 * 1000);
	}
	rig_record("%s is not ready", node->name);
	return false;
}

static void remove_files(void)
{
	char command[256];

	if (!*directory || getenv("KEEP"))
		return;
	snprintf(command, sizeof(command), "rm -r '%s'", directory);
	if (system(command))
		rig_record("cannot remove the temporary folder");
}

void rig_finish(int status)
{
	int i;

	for (i = 0; i < pid_count; i++) {
		int ended = 0;

		/* A daemon that ended before was not killed by this test. */
		if (waitpid(pids[i], &ended, WNOHANG) == pids[i]) {
			rig_record("a daemon ended by itself: wait status %d",
				   ended);
			continue;
		}
		kill(pids[i], SIGKILL);
		waitpid(pids[i], &ended, 0);
	}
	remove_files();
	rig_record("exit status %d", status);
	_exit(status);
}
