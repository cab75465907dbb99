# make          build the programs
# make demo     gateways on loopback, a few faults and an audit, under 30 s
# make check    warnings as errors on both kinds of machine, formatter, linter,
#               all tests
# Packages are listed in .ci/packages*; make deps installs what is missing.

BUILD ?= build
CC = gcc
PKGS = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-glib-1.0 argtable2
CFLAGS ?= -O2 -g
# No function of ours is replaced by another at load time.
PIC = -fPIC -fno-semantic-interposition
# Doubles are rounded alike on machines with and without fused multiplication.
FLOAT = -ffp-contract=off
WARN = -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes \
  -Wmissing-prototypes -Wno-unused-parameter -Werror
CPPFLAGS = -I. $(shell pkg-config --cflags $(PKGS))
LIBS = $(shell pkg-config --libs $(PKGS)) -lnng -lxxhash -lhttp_parser -lm

PROGRAMS = entry dispatch assign gateway
# Every source here but the programs' own.
LIB_SRC = $(filter-out $(PROGRAMS:%=%.c) ctl%.c launcher.c,$(wildcard *.c platform/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
BIN = $(PROGRAMS:%=$(BUILD)/capercrank-%) $(BUILD)/capercrankctl
TEST_SRC = $(wildcard test/test_*.c)
TEST_BIN = $(TEST_SRC:test/%.c=$(BUILD)/test/%)
STAND_INS = platform upstream relay load demo demo_path prove bench bench_path \
  bare_relay bench_assignment soak direct_stand
# They stand in for functions of the library, so only their tests link them.
WORLDS = mirror_world granter_world
# The rest of test/ is shared by them and by the tests.
TEST_LIB = $(filter-out test_% $(WORLDS) $(STAND_INS),$(patsubst test/%.c,%,$(wildcard test/*.c)))
SCENARIO ?= check
SEED ?= 1
STAND_BIN = $(STAND_INS:%=$(BUILD)/test/%)
EXAMPLE_BIN = $(patsubst %.c,$(BUILD)/%,$(wildcard examples/*.c))
DEPLOYMENT ?= hradna

all: $(BIN)

# Objects of other flags can't be linked into shared objects.
$(BUILD)/%.o: %.c Makefile
	@mkdir -p $(@D)
	@echo '  CC $<'
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(PIC) $(FLOAT) $(WARN) -MMD -MP -c $< -o $@

$(BUILD)/libcapercrank.a: $(LIB_OBJ)
	@rm -f $@ && ar rcs $@ $^

# The programs but capercrankctl are shared objects that launcher.c loads.
$(BUILD)/capercrank-%.so: $(BUILD)/%.o $(BUILD)/libcapercrank.a
	@$(CC) $(CFLAGS) -shared -Wl,-Bsymbolic $^ -o $@ $(LIBS)

$(BUILD)/launcher-%.o: launcher.c Makefile
	@mkdir -p $(@D)
	@echo '  CC $< for $*'
	@$(CC) $(CPPFLAGS) -DPROGRAM_OBJECT='"capercrank-$*.so"' $(CFLAGS) $(WARN) -MMD -MP -c $< -o $@

$(BUILD)/capercrank-%: $(BUILD)/launcher-%.o $(BUILD)/start_signals.o $(BUILD)/capercrank-%.so
	@$(CC) $(CFLAGS) $(filter %.o,$^) -o $@ -Wl,-rpath,'$$ORIGIN'

CTL_OBJ = $(patsubst %,$(BUILD)/ctl%.o,_call _config _follow _show _table)

$(BUILD)/capercrankctl: $(BUILD)/ctl.o $(CTL_OBJ) $(BUILD)/libcapercrank.a
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

$(BUILD)/test/libtest.a: $(TEST_LIB:%=$(BUILD)/test/%.o)
	@rm -f $@ && ar rcs $@ $^

$(BUILD)/test/%: $(BUILD)/test/%.o $(BUILD)/test/libtest.a $(BUILD)/libcapercrank.a
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS) -lcmocka

MIRROR_BIN = $(BUILD)/test/test_mirror $(BUILD)/test/test_control_path
$(MIRROR_BIN): $(BUILD)/test/%: $(BUILD)/test/%.o $(BUILD)/test/mirror_world.o \
  $(BUILD)/test/libtest.a $(BUILD)/libcapercrank.a
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS) -lcmocka

GRANTER_BIN = $(patsubst %,$(BUILD)/test/test_%,granter granter_worlds two_holders \
  evacuation_moves silent_upstreams)
$(GRANTER_BIN): $(BUILD)/test/%: $(BUILD)/test/%.o \
  $(BUILD)/test/granter_world.o $(BUILD)/test/libtest.a \
  $(BUILD)/libcapercrank.a
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS) -lcmocka

$(BUILD)/examples/%: $(BUILD)/examples/%.o $(BUILD)/libcapercrank.a
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

# Written by the compiler, not made by any rule.
$(BUILD)/%.d: ;
-include $(wildcard $(BUILD)/*.d $(BUILD)/*/*.d)
.SECONDARY:
bench: $(BUILD)/test/bench
	@$(BUILD)/test/bench $(SEED)

# one entry and one dispatcher, and a gateway, each beside a bare relay by
# libsoup
bench-path: build-all
	@$(BUILD)/test/bench_path

.PHONY: all gateway bench bench-assignment bench-path build-all prove soak soak-seeds callers modules deps demo demo-path check \
  format lint objects other-machine test clean

deps:
	@sh .ci/deps

build-all: $(BIN) $(STAND_BIN) $(TEST_BIN) $(EXAMPLE_BIN)

# make demo KEEP=120: and 120 s more to try it by hand
KEEP ?= 0
demo: deps
	@$(MAKE) -s $(BUILD)/capercrank-gateway $(BUILD)/test/demo
	@$(BUILD)/test/demo --bin $(BUILD) --keep $(KEEP)

# the path of entry, dispatcher and assigner
demo-path: deps
	@$(MAKE) -s build-all
	@$(BUILD)/test/demo_path test/$(DEPLOYMENT).json

# make prove SCENARIO=kill-dispatcher SEED=7; SCENARIO=list names them all
prove: build-all
	@$(BUILD)/test/prove $(SCENARIO) $(SEED)

# make soak SEED=7 SECONDS=20: faults for the real gateways, from outside
SECONDS ?= 20
soak: build-all
	@$(BUILD)/test/soak --bin $(BUILD) --seed $(SEED) --seconds $(SECONDS)

# the seeds that ever showed a fault
soak-seeds: build-all
	@grep -v '^#' test/soak_seeds.txt | while read -r seed seconds cause; do \
	  $(BUILD)/test/soak --bin $(BUILD) --seed $$seed --seconds $$seconds | \
	    grep -a 'BROKEN\|promises' || exit 1; done

# make bench-assignment SEED=7 MOVE_MS=60; MOVE_MS is measured by make prove
MOVE_MS ?= 200
bench-assignment: build-all
	@$(BUILD)/test/bench_assignment $(SEED) $(MOVE_MS)

# every public function and who uses it; fails if nobody does
callers: build-all
	@sh test/callers.sh $(BUILD)

# the picture of which module uses which
modules:
	@sh test/modules.sh > docs/MODULES.md

SOURCES = $(wildcard *.c *.h platform/*.[ch] test/*.c test/*.h examples/*.c)

format:
	@clang-format -i $(SOURCES)

lint:
	@clang-format --dry-run -Werror $(SOURCES)
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P 8 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>/dev/null' tidy

objects: $(patsubst %.c,$(BUILD)/%.o,$(filter %.c,$(SOURCES)))

# What the C library's headers include, and the sign of char, differ between the
# kinds of machine, so all sources are compiled for both.
OTHER_MACHINE = $(if $(filter aarch64,$(shell uname -m)),x86_64,aarch64)-linux-gnu
other-machine:
	@$(MAKE) -s objects BUILD=$(BUILD)/$(OTHER_MACHINE) CC=$(OTHER_MACHINE)-gcc

test: build-all
	@sh test/run_all.sh $(BUILD)

check: build-all other-machine lint test

clean:
	rm -rf $(BUILD)

# the program that runs on the users' platform alone
gateway: $(BUILD)/capercrank-gateway
	@:
