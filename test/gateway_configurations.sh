#!/usr/bin/env bash
# Guards against valid configurations that are refused because of limits of our
# own.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

for i in 1 2 3; do start_control $i true; done
check "a configuration is accepted" wait_output 200 20 submit 3
# submit_changed VERSION FILTER: submits a configuration that jq has changed.
submit_changed() {
	configuration "$1" | jq -c "$2" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address 1)/-/config/put"
}
check "a split over nine services is accepted" test "$(submit_changed 10 '.routes.read |= (del(.service) | .split = [range(9) | {service: "s", weight: 1}])')" = 200
check "a host name of 200 bytes is accepted" test "$(submit_changed 11 '.routes.read.host = ([range(50)] | map("abc.") | add)')" = 200
check "nine home regions are accepted" test "$(submit_changed 12 '.routes.read.homeRegions = [range(9) | "r\(.)"]')" = 200
