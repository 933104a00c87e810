#!/usr/bin/env bash
# Guards against requests to a backend server that has said in an answer that it
# leaves, or that it wants none for some time.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers one
check_first_configuration
check "the entry host serves" wait_output 200 10 request 1 GET /read/x first
# send SECONDS NAME: ten requests a second.
send() {
	local end=$((SECONDS + $1)) n=0
	while [ "$SECONDS" -lt "$end" ]; do
		n=$((n + 1))
		request 1 GET /read/x "$2-$n" > "$work/code"
		sleep 0.1
	done
}
arrivals() { grep "^$1-" "$work/ledger" | grep -c " $2 "; } # NAME SERVER
code=$(request 1 GET /read/paused pause)
check "a request that the only server rejects with a pause gets 503 ($code)" test "$code" = 503
send 2 paused
check "the server gets none during its pause" test "$(arrivals paused i-one)" -le 2
sleep 2
check "it serves again after its pause" wait_output 200 3 request 1 GET /read/x after
check "an answer says that the server leaves" test "$(request 1 GET /read/leaving leaving)" = 200
sleep 0.5
send 2 gone
check "the server that leaves gets no requests" test "$(arrivals gone i-one)" = 0
check "both are logged" grep -q '"server_paused"' "$work/entry-1.log"
rm "$work/announcing"
