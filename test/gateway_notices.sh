#!/usr/bin/env bash
# Guards against requests to a backend server that has said in an answer that it
# leaves, or that it wants none for some time.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

start_gateway 2
# send ENTRY SECONDS NAME: ten requests a second.
send() {
	local end=$((SECONDS + $2)) n=0
	while [ "$SECONDS" -lt "$end" ]; do
		n=$((n + 1))
		request "$1" GET /read/x "$3-$n" > "$work/code"
		sleep 0.1
	done
}
arrivals() { grep "^$1-" "$work/ledger" | grep -c " $2 "; } # NAME SERVER
explained() { # REQUEST CAUSE
	for _ in $(seq 30); do
		explains "$@" && return 0
		sleep 0.1
	done
	return 1
}
code=$(request 1 GET /read/paused pause)
check "a request that the only server rejects with a pause gets 503 ($code)" test "$code" = 503
send 1 2 paused
check "the server gets none during its pause" test "$(arrivals paused i-one)" -le 2
sleep 2
check "it serves again after its pause" wait_output 200 3 request 1 GET /read/x after
check "an answer says that the server leaves" test "$(request 1 GET /read/leaving leaving)" = 200
sleep 1.2
for i in 1 2; do
	send $i 2 gone-$i
	check "the server that leaves gets no requests from entry host $i" test "$(arrivals gone-$i i-one)" = 0
done
check "entry host 2 learned it from another host" grep -q '"server_leave_learned"' "$work/entry-2.log"
check "a request that finds only this server gets 503" test "$(request 1 GET /read/x all-leave)" = 503
check "it is explained" explained all-leave "rejected, servers_leaving"
check "both are logged" grep -q '"server_paused"' "$work/entry-1.log"
rm "$work/announcing"
