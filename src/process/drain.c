#include "process/drain.h"

#include "base/units.h"

/* Time for the peer sockets to send the messages that return the credits. */
#define RETURN_US (100 * US_PER_MS)
/* Longest time for sending the answers that ended requests at the limit: a
 * caller may read late, or not at all. */
#define ANSWER_MAX_US US_PER_S

void drain_init(drain_t *drain, const drain_conf_t *conf)
{
	*drain = (drain_t){ .conf = *conf };
}

void drain_signal(drain_t *drain, int64_t now_us)
{
	if (drain->phase != DRAIN_RUNNING)
		return;
	drain->phase = DRAIN_NOTICE;
	drain->signalled_us = now_us;
	drain->since_us = now_us;
}

void drain_idle(drain_t *drain, uint32_t task)
{
	if ((drain->phase == DRAIN_FINISHING ||
	     drain->phase == DRAIN_RETURNING) &&
	    task < 64)
		drain->idle_tasks |= UINT64_C(1) << task;
}

static bool is_done(const drain_t *drain, int32_t pending)
{
	return !pending &&
	       __builtin_popcountll(drain->idle_tasks) >= drain->conf.tasks;
}

static drain_phase_t next_phase(drain_t *drain, int32_t pending, int64_t now_us)
{
	int64_t passed_us = now_us - drain->since_us;

	switch (drain->phase) {
	case DRAIN_NOTICE:
		if (passed_us >= drain->conf.notice_us)
			return DRAIN_FINISHING;
		break;
	case DRAIN_FINISHING:
		if (is_done(drain, pending))
			return DRAIN_RETURNING;
		if (now_us - drain->signalled_us >= drain->conf.limit_us) {
			drain->timed_out = true;
			return DRAIN_RETURNING;
		}
		break;
	case DRAIN_RETURNING:
		if (passed_us >= ANSWER_MAX_US ||
		    (passed_us >= RETURN_US && is_done(drain, pending)))
			return DRAIN_STOPPED;
		break;
	case DRAIN_RUNNING:
	case DRAIN_STOPPED:
		break;
	}
	return drain->phase;
}

bool drain_tick(drain_t *drain, int32_t pending, int64_t now_us)
{
	drain_phase_t phase = next_phase(drain, pending, now_us);

	if (phase == drain->phase)
		return false;
	drain->phase = phase;
	drain->since_us = now_us;
	return true;
}

int64_t drain_ends_us(const drain_t *drain)
{
	const drain_conf_t *conf = &drain->conf;

	return drain->signalled_us + (conf->limit_us > conf->notice_us
					      ? conf->limit_us
					      : conf->notice_us);
}

const char *drain_phase_text(drain_phase_t phase)
{
	switch (phase) {
	case DRAIN_RUNNING:
		return "running";
	case DRAIN_NOTICE:
		return "notice";
	case DRAIN_FINISHING:
		return "finishing";
	case DRAIN_RETURNING:
		return "returning";
	case DRAIN_STOPPED:
		break;
	}
	return "stopped";
}
