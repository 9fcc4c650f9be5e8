# Entry points for people and CI. `make demo` and `make test` work on a fresh machine.
BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo
JOBS ?= $(shell nproc)
CLANG_FORMAT ?= clang-format-16
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')

.PHONY: bench-control packages configure build test unit format format-check lint clean

packages:
	@scripts/install-packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) >/dev/null

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j $$(( $(JOBS) / 2 ))

format:
	@$(CLANG_FORMAT) -i $(SOURCES)

format-check: packages
	@$(CLANG_FORMAT) --dry-run --Werror $(SOURCES)

lint: configure
	@scripts/lint.sh $(BUILD)

# Control cost of a router: bytes by kind of message, CPU and memory at several sizes.
bench-control: configure
	@cmake --build $(BUILD) -j $(JOBS) --target bench-control >/dev/null
	@$(BUILD)/bin/bench-control

clean:
	@rm -rf $(BUILD)
