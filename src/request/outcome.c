#include "request/outcome.h"

static const struct {
	const char *code;
	const char *message;
	int status;
} refusals[] = {
#define REFUSAL(name, code, status, message) { code, message, status },
	REFUSALS(REFUSAL)
#undef REFUSAL
};

const char *outcome_text(outcome_t outcome)
{
	switch (outcome) {
	case OUTCOME_COMPLETE:
		return "complete";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_FAILED:
		return "failed";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

const char *refusal_code(refusal_t refusal)
{
	return refusals[refusal].code;
}

const char *refusal_message(refusal_t refusal)
{
	return refusals[refusal].message;
}

int refusal_status(refusal_t refusal)
{
	return refusals[refusal].status;
}
