#!/usr/bin/env bash
# A request that crashes each backend server that runs it is sent repeatedly
# with new ids through both entry hosts of a gateway: it must be rejected after
# a few crashes at every host, and other requests must be served. Guards
# against a single request that makes a service unavailable.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
trap 'rm -f "$work/announcing"; finish; [ "$failed" -eq 0 ] || exit 1' EXIT

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
for i in 1 2; do start_entry $i; done
touch "$work/ledger" "$work/announcing"

# A supervisor restarts a crashed server, as a platform does, and the new
# process announces its new start time.
supervise() { # NUMBER NAME
	while [ -e "$work/announcing" ]; do
		date +%s%3N > "$work/start-ms-$2"
		"$build/tools/bw-gate-backend" "127.0.3.$1:$((port + 6))" "i-$2" "$work/ledger" &
		echo $! > "$work/backend-$2"
		wait $!
		sleep 0.7
	done
}
supervise 1 one &
pids[supervise-one]=$!
supervise 2 two &
pids[supervise-two]=$!
announce() { # SERVER NUMBER ZONE SEQUENCE CONTROL
	send_heartbeat "i-$1" "$3" "127.0.3.$2:$((port + 6))" ready "$4" "$5" \
		"$(cat "$work/start-ms-$1")" > /dev/null
}
announce_all() {
	local n=1
	while [ -e "$work/announcing" ]; do
		announce one 1 a $n $((n % 3 + 1))
		announce two 2 b $n $((n % 3 + 1))
		n=$((n + 1))
		sleep 0.2
	done
}
announce_all &
pids[announcing]=$!

check "a configuration is accepted" wait_output 200 20 submit 3
for i in 1 2; do
	check "entry host $i serves" wait_output 200 15 request $i GET /read/x "first-$i"
done

# Ten clients send the same request. Other requests in between let the hosts
# detect that a server is gone.
send_crashing_request() { request "$1" POST /file/crash "$2" -d same; }
other_served=0
for i in $(seq 10); do
	last_status=$(send_crashing_request $((i % 2 + 1)) "crash-$i")
	for k in 1 2 3 4 5 6; do
		request $((k % 2 + 1)) GET "/read/$k" "other-$i-$k" > /dev/null
	done
	wait_output 200 5 request $((i % 2 + 1)) GET /read/y "again-$i" && other_served=$((other_served + 1))
	sleep 0.5
done
runs=$(grep -c '^crash-' "$work/ledger")
echo "# the request ran $runs times"
check "the request crashes only a few servers" test "$runs" -ge 2 -a "$runs" -le 6
check "the request is rejected after that" test "$last_status" = 503
check "it is rejected at both entry hosts" test "$(send_crashing_request 1 last-1) $(send_crashing_request 2 last-2)" = "503 503"
check "other requests are served" test "$other_served" = 10
check "another body on the same path may run" test "$(request 1 POST /file/other-path good -d same)" = 200
sleep 0.5
check "the rejection is explained" explains last-1 "rejected, crashes_servers"
rm -f "$work/announcing"
for name in one two; do kill -9 "$(cat "$work/backend-$name")" 2>/dev/null; done
