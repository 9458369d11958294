# Targets: all, demo, check, lint, format, fuzzers, fuzz, measure, clean.
# SANITIZE=1 builds with AddressSanitizer and UndefinedBehaviorSanitizer.

MAKEFLAGS += --no-print-directory
SANITIZE ?= 0
CC = gcc
VARIANT = $(if $(filter 1,$(SANITIZE)),sanitize,release)
BUILD = build/$(VARIANT)

LIBS = -lev -lzmq -lmicrohttpd -lcurl -lpopt -llog4c -lyaml -ljansson \
	-lxxhash -lsodium -lprotobuf-c -lpthread -lm
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-unused-parameter
CPPFLAGS = -I. -Isrc -Itests -D_GNU_SOURCE
CFLAGS = -std=c11 -O2 -g $(WARNINGS)
ifeq ($(SANITIZE),1)
CFLAGS += -fsanitize=address,undefined,float-cast-overflow \
	-fno-sanitize-recover=all -fno-omit-frame-pointer
endif

# The library consists of all of src and platform except the two programs.
MAINS = src/process/main.c $(wildcard src/ctl/*.c)
LIB_SRC = $(filter-out $(MAINS),$(wildcard src/*/*.c platform/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
TEST_SRC = $(wildcard tests/test_*.c)
TESTS = $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
TEST_LIB_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/lib/*.c))
STANDIN_SRC = $(wildcard tests/standin/*.c)
STANDIN_LIB = $(filter tests/standin/lib_%.c,$(STANDIN_SRC))
STANDINS = $(patsubst %.c,$(BUILD)/%,$(filter-out $(STANDIN_LIB),$(STANDIN_SRC)))
PROGRAMS = $(if $(wildcard src/process/main.c),$(BUILD)/chivestaged) \
	$(if $(wildcard src/ctl/main.c),$(BUILD)/chivestage)
BENCHES = $(patsubst %.c,$(BUILD)/%,$(wildcard tests/bench/*.c))
SOAK_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))
FUZZ_SRC = $(wildcard tests/fuzz/fuzz_*.c)
FUZZERS = $(FUZZ_SRC:tests/fuzz/%.c=build/fuzz/%)

SOURCES = $(filter-out %.pb-c.c,$(wildcard src/*/*.c platform/*.c \
	tests/*.c tests/*/*.c))
HEADERS = $(filter-out %.pb-c.h,$(wildcard src/*/*.h platform/*.h \
	tests/*.h tests/*/*.h))

.SECONDARY:
.PHONY: all demo check lint format fuzz measure clean
all: $(PROGRAMS) $(STANDINS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/src/proto/%.o: CFLAGS += -Wno-error

$(BUILD)/libchivestage.a: $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

# An archive, so that each program links only the objects that it uses.
$(BUILD)/libtests.a: $(TEST_LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/chivestaged: $(BUILD)/src/process/main.o $(BUILD)/libchivestage.a
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/chivestage: $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/ctl/*.c)) \
		$(BUILD)/libchivestage.a
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(BUILD)/libtests.a \
		$(BUILD)/libchivestage.a
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS) -lcmocka

# test_gateway_explain runs the command.
$(BUILD)/tests/test_gateway_explain: | $(BUILD)/chivestage

# test_dispatch defines a fake credit holder, which the linker takes instead of
# the one in the library.
$(BUILD)/tests/test_dispatch: CFLAGS += -Wl,-z,muldefs

$(BUILD)/tests/bench/%: $(BUILD)/tests/bench/%.o $(BUILD)/libtests.a \
		$(BUILD)/libchivestage.a
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS) -lcmocka

$(BUILD)/tests/standin/%: $(BUILD)/tests/standin/%.o \
		$(STANDIN_LIB:%.c=$(BUILD)/%.o) $(BUILD)/libchivestage.a
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/tests/soak/soak: $(SOAK_OBJ) $(BUILD)/libchivestage.a
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

FUZZ_LIB = tests/lib/credit_sim.c
# The fuzzers link a library of their own, which is built with clang.
FUZZ_CFLAGS = -std=c11 -O1 -g -w \
	-fsanitize=address,undefined,float-cast-overflow \
	-fno-sanitize-recover=all
FUZZ_LIB_OBJ = $(patsubst %.c,build/fuzz/%.o,$(LIB_SRC) \
	$(wildcard tests/lib/*.c))

build/fuzz/%.o: %.c
	@mkdir -p $(@D)
	@echo CLANG $<
	@clang $(CPPFLAGS) $(FUZZ_CFLAGS) -fsanitize=fuzzer-no-link -MMD -MP \
		-c -o $@ $<

build/fuzz/libchivestage.a: $(FUZZ_LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

build/fuzz/%: build/fuzz/tests/fuzz/%.o build/fuzz/libchivestage.a
	@clang $(FUZZ_CFLAGS) -fsanitize=fuzzer -o $@ $^ $(LIBS)

demo:
	tools/deps
	$(MAKE) all
	tests/demo $(BUILD)

check:
	tools/deps
	$(MAKE) SANITIZE=1 check-built

.PHONY: check-built fuzzers
check-built: all $(TESTS) $(BENCHES) $(BUILD)/tests/soak/soak $(FUZZERS)
	tests/run $(BUILD)

fuzzers: $(FUZZERS)

fuzz: fuzzers
	tests/fuzz/run build/fuzz 60

measure:
	tools/deps
	$(MAKE) all $(BENCHES)
	tests/measure $(BUILD)

format:
	@clang-format -i $(SOURCES) $(HEADERS)

lint:
	@echo clang-format, cppcheck, clang-tidy: $(words $(SOURCES)) sources
	@clang-format --dry-run -Werror $(SOURCES) $(HEADERS)
	@cppcheck --quiet --std=c11 --error-exitcode=1 -I. -Isrc -Itests \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem --inline-suppr \
		--library=tools/cppcheck.cfg \
		-j 8 $(SOURCES)
	@printf '%s\n' $(SOURCES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=c11 2>/dev/null' sh

clean:
	rm -rf build

-include $(shell find $(BUILD) build/fuzz -name '*.d' 2>/dev/null)
