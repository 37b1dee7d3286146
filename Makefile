# make            library, programs and fakes in build/
# make check      all tests
# make SANITIZE=1 the same under AddressSanitizer and UBSan, in build/asan
# make schema     generated code from schema/*.proto

CC ?= gcc
BUILD ?= build
PKGS := glib-2.0 jansson libprotobuf-c libxxhash
# The edge does its networking with libuv and http_parser only.
EDGE_LIBS := $(shell pkg-config --libs libuv glib-2.0 jansson \
	libprotobuf-c libxxhash) -lhttp_parser -lpopt -lm
DAEMON_PKGS := libh2o libuv openssl zlib libzmq libcurl libsodium
CFLAGS_BASE := -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wvla -Wformat=2 \
	-fno-omit-frame-pointer -MMD -MP -Iinclude -Isrc -I. -Itests \
	-DH2O_USE_LIBUV=1
ifdef SANITIZE
BUILD := build/asan
CFLAGS_BASE += -fsanitize=address,undefined -fno-sanitize-recover=all
LDFLAGS += -fsanitize=address,undefined
endif
ifdef GUARD_OFF
# Builds with one named guard removed, to check that a test detects it.
BUILD := build/guard-$(GUARD_OFF)
CFLAGS_BASE += -DWF_GUARD_OFF_$(GUARD_OFF)
endif
ifdef FUZZ
# Builds the targets in tests/fuzz with libFuzzer; needs CC=clang.
BUILD := build/fuzz
CFLAGS_BASE += -fsanitize=fuzzer-no-link,address
LDFLAGS += -fsanitize=fuzzer,address
endif
CFLAGS_BASE += $(shell pkg-config --cflags $(PKGS) libuv)
# These packages may be missing on a machine that builds only the edge.
CFLAGS_BASE += $(shell pkg-config --cflags $(DAEMON_PKGS) 2>/dev/null)
LIBS := $(shell pkg-config --libs $(PKGS)) -lm
DAEMON_LIBS := $(shell pkg-config --libs $(DAEMON_PKGS) 2>/dev/null) \
	-lhttp_parser
CHECK_LIBS := $(shell pkg-config --libs check 2>/dev/null)

LIB_DIRS := base schema rules core state member sched forward
LIB_SRC := $(wildcard $(addsuffix /*.c,$(addprefix src/,$(LIB_DIRS))))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libwagtailferry.a
DAEMON_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/daemon/*.c))
EDGE_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/edge/*.c)) \
	$(BUILD)/src/daemon/drv_clock.o $(BUILD)/src/daemon/net.o
PLATFORM_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
TOOL_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/tool/*.c))
# Daemon parts that the tool and tests use, without the main program.
NET_OBJ := $(sort $(filter-out %/main.o,$(DAEMON_OBJ) $(EDGE_OBJ) \
	$(PLATFORM_OBJ)))
# Servers, clients and a fake core on loopback, for wire tests only.
WIRE_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/support/wire/*.c \
	tests/platform/support/*.c))
SUPPORT_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/support/*.c))
SUPPORT := $(BUILD)/libsupport.a
TEST_SRC := $(wildcard tests/*_test.c tests/platform/*_test.c)
TESTS := $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
WIRE_TESTS := $(filter %_wire_test,$(TESTS))
BENCH_SRC := $(wildcard tests/bench/*.c)
BENCHES := $(BENCH_SRC:tests/bench/%.c=$(BUILD)/bench/%)
FUZZ_SRC := $(wildcard tests/fuzz/*_fuzz.c)
FUZZERS := $(FUZZ_SRC:tests/fuzz/%.c=$(BUILD)/%)
FAKE_SRC := $(wildcard tests/fakes/*_fake.c)
FAKES := $(FAKE_SRC:tests/fakes/%.c=$(BUILD)/fakes/%)
FAKE_OBJ := $(patsubst %.c,$(BUILD)/%.o,\
	$(filter-out $(FAKE_SRC),$(wildcard tests/fakes/*.c)))
SOAK_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))
LOAD_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/load/*.c))
# The daemon's main program needs the core's facade.
PROGRAMS := $(BUILD)/wagtailferry-edge $(if $(wildcard src/core/core.c),$(BUILD)/wagtailferryd) \
	$(if $(TOOL_OBJ),$(BUILD)/wagtailferry)

all: $(LIB) $(PROGRAMS) $(FAKES) $(BUILD)/load_driver $(BUILD)/soak $(BUILD)/curve_keypair \
	$(TESTS) $(BENCHES)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_BASE) $(CFLAGS) -c -o $@ $<

# Generated code is compiled without warnings.
$(BUILD)/src/schema/%.pb-c.o: src/schema/%.pb-c.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_BASE) -Wno-error -w -c -o $@ $<

$(SUPPORT): $(SUPPORT_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/wagtailferryd: $(DAEMON_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS) $(LIBS) -lpopt

$(BUILD)/wagtailferry-edge: $(PLATFORM_OBJ) $(EDGE_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(EDGE_LIBS)

$(BUILD)/wagtailferry: $(TOOL_OBJ) $(NET_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS) $(LIBS) -lpopt

$(BUILD)/fakes/%: $(BUILD)/tests/fakes/%.o $(FAKE_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS) $(LIBS) -lpopt

$(BUILD)/load_driver: $(LOAD_OBJ) $(BUILD)/tests/fakes/http_client.o
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS) $(LIBS) -lpopt

$(BUILD)/soak: $(SOAK_OBJ) $(WIRE_OBJ) $(SUPPORT) $(NET_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(DAEMON_LIBS) $(LIBS) -lpopt

$(BUILD)/curve_keypair: $(BUILD)/tests/tools/curve_keypair.o
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS)

# Static pattern rules, because of two matching implicit rules make picks the
# one whose prerequisites exist.
$(WIRE_TESTS): $(BUILD)/tests/%: $(BUILD)/tests/%.o $(WIRE_OBJ) \
		$(SUPPORT) $(NET_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(DAEMON_LIBS) $(LIBS)

$(filter-out $(WIRE_TESTS),$(TESTS)): $(BUILD)/tests/%: \
		$(BUILD)/tests/%.o $(SUPPORT) $(NET_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(DAEMON_LIBS) $(LIBS)

# Measures the real processes, so it links the wire tests' support code.
$(BUILD)/bench/overhead_bench: $(BUILD)/tests/bench/overhead_bench.o \
		$(WIRE_OBJ) $(SUPPORT) $(NET_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(DAEMON_LIBS) $(LIBS)

$(BUILD)/bench/%: $(BUILD)/tests/bench/%.o $(SUPPORT) $(NET_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(DAEMON_LIBS) $(LIBS)

$(FUZZERS): $(BUILD)/%: $(BUILD)/tests/fuzz/%.o $(NET_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS) $(LIBS)

fuzz: $(FUZZERS)

schema:
	protoc-c --proto_path=schema --c_out=src/schema schema/*.proto

check: all
	scripts/run-tests.sh $(BUILD)

clean:
	rm -rf build

print-sources:
	@git ls-files -co --exclude-standard '*.c' '*.h' | grep -v 'pb-c\.'

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all fuzz check clean schema print-sources
.SECONDARY:
.DELETE_ON_ERROR:
