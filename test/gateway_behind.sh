#!/usr/bin/env bash
# Guards against an entry host that knows that a newer configuration has changed
# a route, does not have it yet, and goes on with the old route. The host runs
# for a small part of the time and gets a large change.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

APPLY_MS=2500 # within which a change has to be in force

start_gateway 1
routes() { # COUNT
	echo ".routes += ([range($1)] | map({(\"n\(.)\"): {host: \"h.example\", pathPrefix: \"/n\(.)/\", kind: \"safe\", timeoutS: 1, sloS: 0.5, priority: 1, service: \"s\", attempts: 2, sticky: true, homeRegions: []}}) | add)"
}
submit_changed() { # VERSION FILTER
	configuration "$1" | jq -c "$2" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address 1)/-/config/put"
}
slow_down() { # PID: lets a process run for a twelfth of the time
	while kill -STOP "$1" 2> /dev/null; do
		sleep 0.05
		kill -CONT "$1"
		sleep 0.004
	done
}
now_ms() { echo $(($(date +%s%N) / 1000000)); }

check "a change of the route is accepted" test "$(submit_changed 20 '.routes.read.sloS = 0.4')" = 200
check "it comes into force" wait_output 20 5 entry_metric 1 bw_routing_version
slow_down "${pids[entry-1]}" &
slow=$!
check "a large one is accepted" test "$(submit_changed 21 ".routes.read.sloS = 0.3 | $(routes 20000)")" = 200
acknowledged=$(now_ms)
late=()
for n in $(seq 80); do
	[ "$(entry_metric 1 bw_routing_version)" = 21 ] && break
	sent=$(($(now_ms) - acknowledged))
	request 1 GET /read/x "behind-$n" > "$work/code"
	[ "$sent" -gt $APPLY_MS ] && late+=("behind-$n")
done
kill "$slow"
wait "$slow" 2> /dev/null
kill -CONT "${pids[entry-1]}"
check "it comes into force" wait_output 21 10 entry_metric 1 bw_routing_version
sleep 0.5
outdated() { # the late requests that were sent to a server by the old version
	for id in "${late[@]}"; do
		grep -h '"event":"sent"' "$work/entry-1.log" | grep "\"request\":\"$id\"" | grep '"version":20}'
	done
}
rejected=$(grep -c '"cause":"configuration_behind"' "$work/entry-1.log")
echo "# ${#late[@]} requests later than $APPLY_MS ms, $rejected rejected by a host that is behind"
check "no late request is handled by the old version" test -z "$(outdated)"
rm "$work/announcing"
