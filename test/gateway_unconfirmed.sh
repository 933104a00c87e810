#!/usr/bin/env bash
# An entry host starts while it reaches only a control host that missed the
# newest version; another one is stopped while a version comes into force.
# Guards against a 404 from a host that cannot know that its version is current,
# and against hosts that never answer 404.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

configuration() { # VERSION: version N adds /new-N/
	cat <<CONFIGURATION
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":3,"sloS":0.5,"priority":1,"service":"s","attempts":2},
"new-$1":{"host":"h.example","pathPrefix":"/new-$1/","kind":"safe","timeoutS":1,"sloS":0.5,"priority":0,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":5}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
CONFIGURATION
}
submit_at() { # CONTROL VERSION
	configuration "$2" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address "$1")/-/config/put"
}
status_of() { request "$1" GET "$2" "$RANDOM$RANDOM"; }
is_current() { grep -c '"state_current"' "$work/control-3.log"; }
version() { grep -o '"routing_in_force","version":[0-9]*' "$work/entry-$1.log" | tail -1 | grep -o '[0-9]*$'; }
# logged ID FILTER: waits for the line of a request without a route, and checks
# it with jq.
logged() {
	local line
	for _ in $(seq 50); do
		line=$(grep -h "\"event\":\"no_route\",\"request\":\"$1\"" "$work"/entry-*.log | tail -1)
		[ -n "$line" ] && break
		sleep 0.1
	done
	[ -n "$line" ] && echo "$line" | jq -e "$2" > /dev/null
}
unconfirmed_count() { curl -s "http://127.0.2.1:$((port + 8))/metrics" | sed -n 's/^bw_no_route_unconfirmed_total //p'; }

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
check "a first configuration is accepted" wait_output 200 20 submit_at 1 1
check "control host 3 is current" wait_output 1 20 is_current
sleep 2
kill -STOP "${pids[control-3]}"
check "version 2 is accepted without control host 3" wait_output 200 20 submit_at 1 2
for i in 1 2; do kill -STOP "${pids[control-$i]}"; done
sleep 2
kill -CONT "${pids[control-3]}"
start_entry 1
check "an entry host gets version 1" wait_output 1 10 version 1
check "a route of version 2 gets 503" test "$(request 1 GET /new-2/x early)" = 503
sleep 3
check "it gets 503 later too" test "$(request 1 GET /new-2/x late -D "$work/head")" = 503
check "it may be sent again soon" grep -q '^Retry-After: 0.500' "$work/head"
check "it is logged" logged late '.status == 503 and .cause == "unconfirmed" and .version == 1 and .confirmed_by < 2 and .controls == 3'
check "it is explained" explains late "no_route, unconfirmed"
check "it is counted" test "$(unconfirmed_count)" = 2
for i in 1 2; do kill -CONT "${pids[control-$i]}"; done
check "version 2 comes into force" wait_output 2 20 version 1
check "a path that never existed gets 404" wait_output 404 20 status_of 1 /never/x

start_entry 2
check "a second entry host gets version 2" wait_output 2 20 version 2
check "it answers 404 for an unknown path" wait_output 404 20 status_of 2 /never/x
kill -STOP "${pids[entry-2]}"
check "version 3 is accepted" wait_output 200 20 submit_at 1 3
sleep 2
status_of 2 /new-3/x > "$work/thawed" &
request_pid=$!
sleep 0.5
kill -CONT "${pids[entry-2]}"
wait "$request_pid"
check "a stopped host gives no 404 for a route of version 3 ($(cat "$work/thawed"))" test "$(cat "$work/thawed")" = 503
check "version 3 comes into force" wait_output 3 20 version 2
check "a path that never existed gets 404 again" wait_output 404 20 status_of 2 /never/x
