#include "process/task_msg.h"

#include <stdlib.h>

#include "base/mem.h"

task_msg_t *task_msg_create(task_msg_type_t type, uint64_t request)
{
	task_msg_t *message = mem_calloc(1, sizeof(*message));

	message->type = type;
	message->request = request;
	return message;
}

void task_msg_destroy(task_msg_t *message)
{
	if (!message)
		return;
	switch (message->type) {
	case TASK_MSG_SUBMIT:
		free(message->as.submit.blocks);
		break;
	case TASK_MSG_FINISHED:
		free(message->as.finished.answer);
		break;
	case TASK_MSG_ANSWER:
		free(message->as.answer.answer);
		break;
	case TASK_MSG_CONFIG:
		document_unref(message->as.config);
		break;
	case TASK_MSG_FIRST_TOKEN:
	case TASK_MSG_IDLE:
	case TASK_MSG_DISPATCH:
	case TASK_MSG_REFUSE:
	case TASK_MSG_NOTICE:
	case TASK_MSG_DRAIN:
	case TASK_MSG_END_ALL:
	case TASK_MSG_STOP:
		break;
	}
	free(message);
}
