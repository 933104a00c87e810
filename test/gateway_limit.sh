#!/usr/bin/env bash
# Guards against entry hosts that together send a backend server more requests
# than the limit that it names in its answers.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

start_gateway 2
# send SECONDS NAME: twenty requests a second, over both entry hosts.
send() {
	local end=$((SECONDS + $1)) n=0
	while [ "$SECONDS" -lt "$end" ]; do
		n=$((n + 1))
		request $((n % 2 + 1)) GET /read/limited "$2-$n" > "$work/code-$((n % 20))" &
		sleep 0.05
	done
}
send 4 settle
send 4 limited
kill -9 "${pids[entry-2]}"
wait "${pids[entry-2]}" 2>/dev/null
start_entry 2
send 4 restarted
sleep 1
# The limit is 2 a second: 8 in 4 s, and half as much again and 5 more.
count_group() { grep -c "^$1-" "$work/ledger"; }
echo "# runs in 4 s: $(count_group limited), after a restart of an entry host $(count_group restarted)"
check "the limit is kept" test "$(count_group limited)" -le 17
check "some requests run" test "$(count_group limited)" -ge 2
check "requests without a token are rejected at once" grep -q 503 "$work"/code-*
check "they are rejected by the name of the cause" grep -q '"rejected".*"servers_at_limit"' "$work/entry-1.log"
check "the limit is logged" grep -q '"server_limit_changed"' "$work/entry-1.log"
rm "$work/announcing"
