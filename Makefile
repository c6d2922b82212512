# Entry points. `make check` and `make demo` install missing packages first.

BUILD ?= build
SEED ?= 1
JOBS ?= $(shell nproc)

.PHONY: all install build format format-check lint test model check demo soak \
	fault-soak bench fuzz clean

all: build

install:
	sh tools/install.sh

build:
	@mkdir -p $(BUILD)
	@cmake -S . -B $(BUILD) > $(BUILD)/cmake.log 2>&1 || \
		{ cat $(BUILD)/cmake.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory \
		> $(BUILD)/build.log 2>&1 || { cat $(BUILD)/build.log; exit 1; }

format:
	sh tools/format.sh -i

format-check:
	sh tools/format.sh --dry-run --Werror

lint: build
	sh tools/lint.sh $(BUILD) $(JOBS)

model:
	sh tools/model.sh $(BUILD)

test: build
	sh tools/test.sh $(BUILD)

check: install format-check build lint model
	sh tools/test.sh $(BUILD)

demo: install build
	sh tools/demo.sh $(BUILD)

soak: build
	$(BUILD)/soak/soak --seed $(SEED)

fault-soak: build
	sh soak/fault_soak.sh $(BUILD) $(SEED)

bench: build
	sh tools/bench.sh $(BUILD) $(bench)

fuzz:
	sh fuzz/run.sh $(BUILD) 20

clean:
	rm -rf $(BUILD)
