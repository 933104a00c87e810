#!/usr/bin/env bash
# Five control hosts of which three are seeds. The newest configuration is only
# on the two non-seeds and on two seeds that lose their disks; all processes
# are killed. Guards against a group that cannot elect a leader after a restart
# because the non-seeds do not have each other's address.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

voters() { grep -h '"member_changed"' "$work"/control-*.log | tail -1 | grep -o ':"voter"' | wc -l; }
submit_at() { # CONTROL VERSION
	configuration "$2" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address "$1")/-/config/put"
}
in_force() { http_get "http://$(control_address "$1")/-/config/get" | jq -r .version 2>/dev/null; }

ulimit -n 4096
for i in 1 2 3 4 5; do start_control $i true; done
check "a first configuration is accepted" wait_output 200 20 submit_at 2 3
check "all five become voters" wait_output 5 20 voters
# One seed is stopped while the four others accept a configuration.
kill -STOP "${pids[control-1]}"
check "four of five accept a configuration" wait_output 200 20 submit_at 4 8
for i in 1 2 3 4 5; do kill -9 "${pids[control-$i]}"; done
for i in 1 2 3 4 5; do wait "${pids[control-$i]}" 2>/dev/null; done
rm -rf "$work/data-2" "$work/data-3"
for i in 1 2 3 4 5; do start_control $i false; done
check "the newest configuration survives" wait_output 8 20 in_force 5
check "a new configuration is accepted" wait_output 200 20 submit_at 1 11
