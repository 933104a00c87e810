#!/usr/bin/env bash
# Guards against a large configuration that is refused because of the size of a
# message between control hosts, that stops the leader while it is checked, or
# that is lost by a restart.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

for i in 1 2 3; do start_control $i true; done
start_entry 1
check_first_configuration
submit_file() { status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address 1)/-/config/put"; }
# submit_changed VERSION FILTER: submits a configuration that jq has changed.
submit_changed() {
	configuration "$1" | jq -c "$2" > "$work/configuration.json"
	submit_file
}
# routes COUNT: a filter that adds routes.
routes() {
	echo ".routes += ([range($1)] | map({(\"n\(.)\"): {host: \"h.example\", pathPrefix: \"/n\(.)/\", kind: \"safe\", timeoutS: 1, sloS: 0.5, priority: 1, service: \"s\", attempts: 2, sticky: true, homeRegions: []}}) | add)"
}
read_back() { http_get "http://$(control_address $((RANDOM % 3 + 1)))/-/config/get" | cmp -s - "$work/accepted.json"; }
wait_for() { # SECONDS COMMAND...
	local end=$((SECONDS + $1))
	while [ "$SECONDS" -lt "$end" ]; do
		"${@:2}" && return 0
		sleep 0.2
	done
	return 1
}
check "a configuration of 800 kB is accepted" test "$(submit_changed 13 "$(routes 5000)")" = 200
check "it comes into force" wait_output 13 10 entry_metric 1 bw_routing_version
check "a configuration of 20,000 routes is accepted" test "$(submit_changed 14 "$(routes 20000)")" = 200
cp "$work/configuration.json" "$work/accepted.json"
echo "# 20,000 routes: $(stat -c %s "$work/accepted.json") bytes"
checked_in_slices() { cat "$work"/control-*.log | grep '"event":"submission_checked","version":14' | jq -es 'length == 1 and .[0].slices > 1' > /dev/null; }
check "it is checked in slices" wait_for 5 checked_in_slices
check "it comes into force" wait_output 14 10 entry_metric 1 bw_routing_version
check "it is read back" wait_for 10 read_back
code=$(submit_changed 15 "$(routes 60000)")
check "a configuration of more than 8 MiB is refused ($code)" test "$code" = 413
# A text that compression can't shorten.
{
	configuration 16 | tr -d '\n' | sed 's/}$//'
	printf ',"note":"%s"}' "$(head -c 900000 /dev/urandom | base64 -w 0)"
} > "$work/configuration.json"
answer=$(curl -s -L --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address 1)/-/config/put")
check "one whose compressed text is too large is refused by the limit's name" grep -q '700 KiB' <<< "$answer"
check "nothing has changed" wait_for 5 read_back
for i in 1 2 3; do
	kill -9 "${pids[control-$i]}"
	wait "${pids[control-$i]}" 2>/dev/null
done
kill -9 "${pids[entry-1]}"
wait "${pids[entry-1]}" 2>/dev/null
for i in 1 2 3; do start_control $i false; done
start_entry 1
check "it is read back after a restart of all hosts" wait_for 20 read_back
check "and comes into force" wait_output 14 10 entry_metric 1 bw_routing_version
