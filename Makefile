# Targets for common tasks; the build itself uses CMake.
BUILD ?= build
JOBS ?= 6

.PHONY: all deps build test sanitize check-format lint format run bench clean

all: build

deps:
	sh tools/install-deps.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	sh tools/run-tests.sh $(BUILD)

# Runs the tests without processes with address and undefined sanitizers.
sanitize:
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DBW_SANITIZE=ON \
		-DCMAKE_BUILD_TYPE=Debug >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j $(JOBS) \
		--exclude-regex "^run_"

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
