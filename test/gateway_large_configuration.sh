#!/usr/bin/env bash
# Guards against a large configuration that is refused because of the size of a
# message between control hosts.
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
check "a configuration of 800 kB is accepted" test "$(submit_changed 13 '.routes += ([range(5000)] | map({("n\(.)"): {host: "h.example", pathPrefix: "/n\(.)/", kind: "safe", timeoutS: 1, sloS: 0.5, priority: 1, service: "s", attempts: 2, sticky: true, homeRegions: []}}) | add)')" = 200
