#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into build-review-2/, with the C
# compiler alone. The daemon comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
for name in target operator pipeline load hold; do
	cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o "$out/$name" \
		"review/rig-2/$name.c" review/rig-2/net.c -pthread
done
