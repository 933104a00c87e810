#!/usr/bin/env bash
# The control host that sends an entry host the details of backend servers is
# killed and restarted several times. Guards against an entry host that
# considers all backend servers lost because the new process has no heartbeats
# of them yet, and against one that finds no other source while the process is
# down.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
start_entry 1
touch "$work/ledger" "$work/announcing"
start_server one

# Announcements come late, every 2.6 intervals of the settings; a server counts
# as silent after three, and control hosts delay a heartbeat by up to a second.
announce_late() {
	local n=1
	while [ -e "$work/announcing" ]; do
		for k in 1 2 3; do
			[ "$(send_heartbeat i-one a "127.0.3.1:$((port + 6))" ready $n $k)" = 200 ] && break
		done
		n=$((n + 1))
		sleep 1.3
	done
}
announce_late &
pids[announcing]=$!

check "a configuration is accepted" wait_output 200 20 submit 3
check "the entry host serves" wait_output 200 15 request 1 GET /read/x first

# source_number: prints the number of the control host that now sends details.
source_number() {
	grep -h '"detail_source_changed"' "$work/entry-1.log" | tail -1 |
		grep -o '127\.0\.1\.[0-9]*' | tail -1 | cut -d. -f4
}
# The log is flushed with a delay, so the line may appear a little later.
has_source() {
	for _ in $(seq 50); do
		[ -n "$(source_number)" ] && return 0
		sleep 0.1
	done
	return 1
}
check "the entry host has a source" has_source
for round in 1 2 3; do
	number=$(source_number)
	kill -9 "${pids[control-$number]}"
	wait "${pids[control-$number]}" 2>/dev/null
	start_control "$number" false
	probe 4
done
echo "# restarts of the source: $served of $sent requests served"
check "requests are served while the source restarts" test "$served" = "$sent"

number=$(source_number)
kill -9 "${pids[control-$number]}"
wait "${pids[control-$number]}" 2>/dev/null
probe 6
echo "# loss of the source: $served of $sent requests served"
check "requests are served without the source" test "$served" = "$sent"
check "another source was chosen" test "$(source_number)" != "$number"
rm -f "$work/announcing"
