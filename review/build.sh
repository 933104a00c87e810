#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts in target/review/, after the
# build of the deploy file. Needs a C compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.c; do
	[ -e "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	cc -std=gnu11 -O1 -Wall -Wextra -Wno-format-truncation -Wno-restrict -o "target/review/case-$number" \
		-Ireview/rig "$case" review/rig/rig.c -pthread
done
