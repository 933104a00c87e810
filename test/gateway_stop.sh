#!/usr/bin/env bash
# An entry host is stopped while requests that are not idempotent run and wait
# at it. Guards against requests that end without a response because the process
# ends, and against a 503 to a request that has run.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
REQUESTS=24

# As in gateway_lib.sh, but the route waits for longer than a host takes to stop.
configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":9,"sloS":3,"priority":1,"service":"s","attempts":2},
"file":{"host":"h.example","pathPrefix":"/file/","kind":"unsafe","timeoutS":9,"sloS":3,"priority":0,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":50}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
END
}
file_report() { # ID
	curl -s --max-time 9 -o /dev/null -w '%{http_code}' -X POST -d report \
		-H 'Host: h.example' -H "Request-Id: $1" -H 'Deadline-Ms: 9000' \
		"http://$(entry_address 1)/file/slow" > "$work/status-$1"
}
count_status() { cat "$work"/status-stop-* | grep -o "$1" | wc -l; }

start_gateway 1
kill -TERM "${pids[entry-1]}"
sleep 1.5
clients=()
for i in $(seq $REQUESTS); do
	file_report "stop-$i" &
	clients+=($!)
done
wait "${clients[@]}"
wait "${pids[entry-1]}" 2>/dev/null
echo "# $(count_status 200) served, $(count_status 503) rejected, $(count_status 502) failed"
check "each request gets a response" \
	test "$(($(count_status 200) + $(count_status 503) + $(count_status 502)))" = $REQUESTS
check "some are served" test "$(count_status 200)" -gt 0
check "some are rejected" test "$(count_status 503)" -gt 0
ran=0
for i in $(seq $REQUESTS); do
	[ "$(cat "$work/status-stop-$i")" = 503 ] &&
		ran=$((ran + $(count_runs "stop-$i")))
done
check "none that was rejected has run" test $ran = 0
rm -f "$work/announcing"
