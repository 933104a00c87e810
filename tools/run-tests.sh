#!/bin/sh
# Runs all tests but those that KNOWN-RED.txt lists as "test: NAME", which are
# printed. $1: build folder.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
red=
if [ -f KNOWN-RED.txt ]; then
	red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
	echo "Known failures, not run:"
	cat KNOWN-RED.txt
fi
ctest --test-dir "$build" --output-on-failure -j 6 \
	--exclude-regex "^(${red:-none})\$"
