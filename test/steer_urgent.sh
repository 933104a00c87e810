#!/usr/bin/env bash
# Under a flood of urgent requests look-ups keep their minimum share of runs.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/steer_begin.sh

run_load urgent 10 release:rescue-issuer:POST:urgent:900 \
	status:rescue-issuer:GET:lookup:100
echo "# urgent: $(result urgent '.ranks | map_values({started, ran: .outcomes.ran}) | tojson')"
check "flood of urgent requests: look-ups keep their minimum" \
	has_run_share urgent lookup 15
echo "$CHECKS passed, 0 failed"
