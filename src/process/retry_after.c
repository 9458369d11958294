#include "process/retry_after.h"

enum {
	/* The caller's time left is divided by this, so that the retry can
	 * still be served. */
	RETRY_TIME_DIVISOR = 4
};

int64_t no_server_retry_ms(int64_t left_us)
{
	int64_t left_ms = left_us / US_PER_MS / RETRY_TIME_DIVISOR;

	if (left_ms < BUSY_RETRY_MS / RETRY_TIME_DIVISOR)
		left_ms = BUSY_RETRY_MS / RETRY_TIME_DIVISOR;
	return left_ms < NO_SERVER_RETRY_MS ? left_ms : NO_SERVER_RETRY_MS;
}

int64_t retry_after_ms(placement_result_t result, const placement_t *placement,
		       int64_t left_us)
{
	switch (result) {
	case PLACEMENT_CHOSEN:
		break;
	case PLACEMENT_NO_SERVER:
		return no_server_retry_ms(left_us);
	case PLACEMENT_TOO_LONG:
		return NO_SERVER_RETRY_MS;
	case PLACEMENT_BUSY:
		return placement->retry_in_us / US_PER_MS;
	case PLACEMENT_PAST_LIMIT:
		return BUSY_RETRY_MS + placement->retry_in_us / US_PER_MS;
	}
	return 0;
}
