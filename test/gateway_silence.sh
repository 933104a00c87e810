#!/usr/bin/env bash
# All control hosts are stopped for longer than a backend server may be silent;
# then a server stops announcing itself. Guards against control hosts that take
# servers for lost because they themselves were stopped, and against entry hosts
# that are never told of a server which is lost.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

silent_count() { grep -c '"server_silent"' "$work/entry-1.log"; }
status_of() { request 1 GET /read/x "$RANDOM$RANDOM"; }

start_gateway 1
sleep 3
# No announcement waits for the control hosts when they continue.
rm -f "$work/one"
sleep 0.5
for i in 1 2 3; do kill -STOP "${pids[control-$i]}"; done
probe 6
for i in 1 2 3; do kill -CONT "${pids[control-$i]}"; done
# The server announces again in time, however long the requests take.
(sleep 1.2 && touch "$work/one") &
for _ in $(seq 12); do
	probe_once
	sleep 0.1
done
wait $!
probe 4
echo "# control hosts stopped and continued: $served of $sent requests served"
check "requests are served meanwhile" test "$served" = "$sent"
check "no server counts as silent" test "$(silent_count)" = 0
rm -f "$work/one"
check "a server that stops announcing is named silent" wait_output 1 8 silent_count
check "requests for it are rejected" wait_output 503 3 status_of
touch "$work/one"
check "it is used again once it announces itself" wait_output 200 3 status_of
rm -f "$work/announcing"
