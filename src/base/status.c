#include "base/status.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "base/mem.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char *published;
static atomic_bool node_ready;

void status_publish(char *json, bool ready)
{
	char *old;

	pthread_mutex_lock(&lock);
	old = published;
	published = json;
	pthread_mutex_unlock(&lock);
	atomic_store(&node_ready, ready);
	free(old);
}

char *status_copy(void)
{
	char *copy;

	pthread_mutex_lock(&lock);
	copy = mem_strdup(published ? published : "{}");
	pthread_mutex_unlock(&lock);
	return copy;
}

bool status_ready(void)
{
	return atomic_load(&node_ready);
}
