#include "base/crash.h"

#include <elf.h>
#include <execinfo.h>
#include <link.h>
#include <signal.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"

enum {
	FRAMES_MAX = 32,
	BUILD_ID_MAX_BYTES = 20,
	LINE_SIZE_BYTES = 1024,
	HEX_DIGIT_BITS = 4,
	HEX_BASE = 16,
	DECIMAL_BASE = 10,
	/* Signals may come while the stack is used up. */
	STACK_SIZE_BYTES = 64 * 1024
};

static uintptr_t base; /* where the program is loaded */
static char build[2 * BUILD_ID_MAX_BYTES + 1] = "unknown";
static char stack[STACK_SIZE_BYTES];

/* The handler may call async-signal-safe functions only: no stdio. */
typedef struct {
	char text[LINE_SIZE_BYTES];
	size_t used;
} line_t;

static void add_text(line_t *line, const char *text)
{
	while (*text && line->used < sizeof(line->text) - 1)
		line->text[line->used++] = *text++;
}

static void add_number(line_t *line, uintptr_t number, unsigned int radix)
{
	char digits[24];
	size_t first = sizeof(digits) - 1;

	digits[first] = '\0';
	do {
		digits[--first] = "0123456789abcdef"[number % radix];
		number /= radix;
	} while (number);
	add_text(line, digits + first);
}

static void on_fatal(int number)
{
	line_t line = { .used = 0 };
	void *frames[FRAMES_MAX];
	int count = backtrace(frames, FRAMES_MAX), i;

	add_text(&line, "level=error event=");
	add_number(&line, EVENT_PROCESS_CRASHED, DECIMAL_BASE);
	add_text(&line, " name=PROCESS_CRASHED signal=");
	add_number(&line, (uintptr_t)number, DECIMAL_BASE);
	add_text(&line, " build=");
	add_text(&line, build);
	add_text(&line, " stack=");
	for (i = 0; i < count; i++) {
		add_text(&line, i ? ",0x" : "0x");
		add_number(&line, (uintptr_t)frames[i] - base, HEX_BASE);
	}
	add_text(&line, "\n");
	if (write(STDOUT_FILENO, line.text, line.used) < 0)
		(void)!write(STDERR_FILENO, line.text, line.used);
	/* The handler was reset: the signal ends the process now. */
	raise(number);
}

static void read_build_id(const char *note, size_t size)
{
	static const char digits[] = "0123456789abcdef";
	const ElfW(Nhdr) *header = (const ElfW(Nhdr) *)note;
	const uint8_t *id;
	size_t i;

	if (size < sizeof(*header) || header->n_type != NT_GNU_BUILD_ID ||
	    header->n_descsz > BUILD_ID_MAX_BYTES)
		return;
	id = (const uint8_t *)note + sizeof(*header) +
	     (header->n_namesz + 3) / 4 * 4;
	for (i = 0; i < header->n_descsz; i++) {
		build[2 * i] = digits[id[i] >> HEX_DIGIT_BITS];
		build[2 * i + 1] = digits[id[i] % HEX_BASE];
	}
	build[2 * i] = '\0';
}

/* The first object is the program. */
static int on_object(struct dl_phdr_info *info, size_t size, void *context)
{
	int i;

	base = info->dlpi_addr;
	for (i = 0; i < info->dlpi_phnum; i++)
		if (info->dlpi_phdr[i].p_type == PT_NOTE)
			read_build_id((const char *)base +
					      info->dlpi_phdr[i].p_vaddr,
				      info->dlpi_phdr[i].p_memsz);
	return 1;
}

void crash_handler_install(void)
{
	static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL,
				       SIGABRT };
	struct sigaction action = { .sa_handler = on_fatal,
				    .sa_flags = SA_RESETHAND | SA_ONSTACK };
	stack_t alternate = { .ss_sp = stack, .ss_size = sizeof(stack) };
	void *frame;
	size_t i;

	dl_iterate_phdr(on_object, NULL);
	/* The first call loads a library, which a handler must not. */
	backtrace(&frame, 1);
	sigaltstack(&alternate, NULL);
	for (i = 0; i < sizeof(signals) / sizeof(signals[0]); i++)
		sigaction(signals[i], &action, NULL);
}
