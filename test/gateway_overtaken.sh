#!/usr/bin/env bash
# Guards against a request that waited for a backend server and is then sent
# where the configuration in force no longer sends it.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers one
check_first_configuration
check "a request is served" wait_output 200 10 request 1 GET /read/x first
# occupy ROUND: slow requests for a second, more than the server has slots.
occupy() {
	local i
	for i in 1 2 3 4 5 6; do request 1 GET /read/slow "slow-$1-$i" > /dev/null & done
	sleep 0.1
}
# submit_changed VERSION FILTER: submits a configuration that sed has changed.
submit_changed() {
	configuration "$1" | sed "$2" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address 1)/-/config/put"
}
occupy moved
request 1 GET /read/x waiting > "$work/waiting-code" &
waiting=$!
sleep 0.1
check "a configuration that moves the route is accepted" test "$(submit_changed 4 '/"read"/s/"service":"s"/"service":"t"/; s/"s":{"healthPath"/"t":{},&/')" = 200
check "it comes into force" wait_output 4 2 entry_metric 1 bw_routing_version
wait "$waiting"
check "the request that waited did not run at the old service" test "$(count_runs waiting)" = 0
check "and was rejected as not run" test "$(cat "$work/waiting-code")" = 503
rm "$work/announcing"
