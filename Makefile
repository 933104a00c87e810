# Targets for common tasks; the build itself uses CMake.
BUILD ?= build
JOBS ?= 6

.PHONY: all deps build test check-format lint format run bench clean

all: build

deps:
	sh tools/install-deps.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	sh tools/run-tests.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs -r clang-format -i

check-format:
	git ls-files '*.c' '*.h' | xargs -r clang-format --dry-run -Werror

lint: build
	sh tools/lint.sh $(BUILD)

run: build
	bash tools/run-local.sh $(BUILD)

bench: build
	sh tools/bench.sh $(BUILD)

clean:
	rm -rf $(BUILD)
