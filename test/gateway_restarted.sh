#!/usr/bin/env bash
# A backend server starts again under its id while requests for it arrive at an
# entry host that is behind. Guards against the use of the record of the earlier
# start after it was freed: the entry host runs under valgrind.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
ROUNDS=6
REQUESTS=12

start_entry() { # NUMBER
	write_settings "entry-$1" "127.0.2.$1" a "front: \"$(entry_address "$1")\", readinessAddr: \"127.0.2.$1:$((port + 2))\"" true null
	BORAGEWING_NODE_FILE="$work/entry-$1.yaml" valgrind -q --error-exitcode=99 \
		--log-file="$work/valgrind.log" "$build/src/boragewingd/boragewingd" \
		--gateway --metrics-port $((port + 8)) >> "$work/entry-$1.log" 2>&1 &
	pids[entry-$1]=$!
}
announce_one() { # SEQUENCE START
	send_heartbeat i-one a "127.0.3.1:$((port + 6))" ready "$1" 1 "$2" > /dev/null
}

start_gateway 1
rm -f "$work/one"
for round in $(seq $ROUNDS); do
	kill -STOP "${pids[entry-1]}"
	clients=()
	for i in $(seq $REQUESTS); do
		request 1 GET /read/x "round-$round-$i" > /dev/null &
		clients+=($!)
	done
	sleep 0.3
	announce_one 1 $((1700000000000 + round * 1000))
	sleep 0.3
	kill -CONT "${pids[entry-1]}"
	wait "${clients[@]}"
done
announce_one 2 $((1700000000000 + ROUNDS * 1000))
check "the entry host serves" wait_output 200 10 request 1 GET /read/x last
check "some requests were dispatched to the earlier start" \
	grep -q '"event":"reconsidered".*"cause":"server_left"' "$work/entry-1.log"
check "no freed memory was used" test ! -s "$work/valgrind.log"
[ -s "$work/valgrind.log" ] && head -20 "$work/valgrind.log"
rm -f "$work/announcing"
