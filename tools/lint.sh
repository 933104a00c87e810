#!/bin/sh
# Runs clang-tidy and cppcheck over all sources. $1: build folder.
set -eu
build=${1:-build}
git ls-files 'src/*.c' 'tools/*.c' 'platform/*.c' |
	xargs -r -P 8 -n 4 clang-tidy -p "$build" --quiet
cppcheck --quiet --error-exitcode=1 --std=c11 -j 8 --inline-suppr \
	--enable=warning,portability --suppress=missingIncludeSystem \
	--suppress=normalCheckLevelMaxBranches -I include src platform
