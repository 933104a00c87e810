#!/usr/bin/env bash
# Backend servers leave while processes are killed, lose their disk, or are
# stopped. Guards against a server that has left and gets requests again: after
# a restart of all control hosts and a late heartbeat, or because a control host
# that knows only its earlier start acknowledged the leave.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
ADDRESS="127.0.3.1:$((port + 6))"

restart_controls() {
	local i
	for i in 1 2 3; do kill -9 "${pids[control-$i]}"; done
	wait "${pids[control-1]}" "${pids[control-2]}" "${pids[control-3]}" 2>/dev/null
	[ -n "${1:-}" ] && rm -rf "$work/data-$1"
	sleep 0.5
	for i in 1 2 3; do start_control $i false; done
}
restart_entry() {
	kill -9 "${pids[entry-1]}"
	wait "${pids[entry-1]}" 2>/dev/null
	start_entry 1
}
serves() { request 1 GET /read/x "serves-$RANDOM$RANDOM"; }

start_gateway 1
start_server two
touch "$work/two"
check "server one is used" wait_output 1 20 uses_one

rm -f "$work/one"
sleep 1
late=$(($(cat "$work/sequence") + 1))
check "its leave is acknowledged" test "$(leave 1)" = 200
restart_controls
restart_entry
sleep 1.5
send_heartbeat i-one a "$ADDRESS" ready $late 2 > /dev/null
check "the entry host serves after the restart" wait_output 200 20 serves
check "a late heartbeat does not bring the server back" test "$(reached all 40)" = 0

restart_controls 2
restart_entry
check "the entry host serves after the loss of a disk" wait_output 200 20 serves
send_heartbeat i-one a "$ADDRESS" ready $late 2 > /dev/null
sleep 1
check "nor does it at a control host that lost its disk" test "$(reached disk 40)" = 0

# The server starts again under its id.
for i in 1 2 3; do
	send_heartbeat i-one a "$ADDRESS" ready 1 $i 1700000100000 > /dev/null
done
check "its next start is used" wait_output 1 10 uses_one

# A control host is stopped and misses one more start. The leave reaches it
# before the next heartbeat does.
announce_next_start() {
	local n=1
	while [ -e "$work/next" ]; do
		send_heartbeat i-one a "$ADDRESS" ready $n 1 1700000200000 > /dev/null
		n=$((n + 1))
		sleep 0.4
	done
}
kill -STOP "${pids[control-3]}"
sleep 3
touch "$work/next"
announce_next_start &
pids[next]=$!
sleep 2
check "the start that one control host missed is used" wait_output 1 5 uses_one
kill -CONT "${pids[control-3]}"
rm -f "$work/next"
check "its leave is acknowledged by that host" wait_output 200 3 leave 3
sleep 0.3
check "and holds on all hosts" test "$(reached stopped 12)" = 0
rm -f "$work/announcing"
