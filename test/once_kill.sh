#!/usr/bin/env bash
# Entry hosts are killed one after the other under load and restarted. Guards
# against a request that runs at its owner and again at another host, and
# against "not-run" for a request whose owner was killed while it ran.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh

# Runs of 50 ms: some are in progress at each kill.
once_begin --service-ms=50
once_default_load 40
once_load_start
sleep 3
for name in $(deployment_names "$FOLDER"); do
	deployment_kill "$FOLDER" "$name"
	sleep 1
	deployment_start "$FOLDER" "$name"
	check "$name has the sheet in force again" \
		wait_until 20 revision_in_force "$FOLDER" "$name" 1
done
once_load_wait
once_check
check "requests were resent" [ "$(once_count resent)" -gt 0 ]
echo "$CHECKS passed, 0 failed"
