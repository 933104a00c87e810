#!/usr/bin/env bash
# A backend server leaves while one control host is cut off from the others and
# an entry host hears no control host for a second. Guards against an entry host
# that is never told of the leave afterwards, and against one that takes it for
# older than the announcements that only the cut off control host had.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
ADDRESS="127.0.3.1:$((port + 6))"

announce_one() { # to the control hosts in the file "hears-one"
	local n=1 k
	while [ -e "$work/hears-one" ]; do
		for k in $(cat "$work/hears-one"); do
			send_heartbeat i-one a "$ADDRESS" ready $n "$k" > /dev/null
		done
		n=$((n + 1))
		sleep 0.2
	done
}

# More servers than one message names; they exist in announcements only.
EXTRA=100
extra() { # COMMAND...: runs it for each of them, several at a time
	seq $EXTRA | xargs -P 8 -I{} "$@"
}
announce_extra() {
	extra curl -s -o "$work/extra" -d '{"address":"127.0.3.9:1","born":1700000000000,"info":{"service":"s","version":"v1","zone":"b","slots":4},"status":{"state":"ready","seq":1,"coldLeftS":0}}' \
		"http://$(control_address 1)/-/instances/i-extra-{}/heartbeat"
}
leave_extra() {
	extra curl -s --max-time 1 -o "$work/extra" -X POST \
		"http://$(control_address 1)/-/instances/i-extra-{}/leave"
}
departed_extra() { # prints how many of them entry host 1 knows to have left
	grep '"server_changed"' "$work/entry-1.log" | grep '"state":"left"' |
		grep -o '"server":"i-extra-[0-9]*"' | sort -u | wc -l
}

ulimit -n 4096
build_host_faults || exit 1
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers two
start_server one
echo 1 2 3 > "$work/hears-one"
announce_one &
pids[announcing-one]=$!
check_first_configuration
check "server one is used" wait_output 1 20 uses_one

echo 3 > "$work/hears-one"
cut_off control-3 1 2
sleep 9
check "server one is used while only the cut off host hears of it" wait_output 1 20 uses_one

announce_extra
check "the entry host knows all servers" wait_output $((EXTRA + 2)) 5 entry_metric 1 bw_servers_known
cut_off entry-1 1 2 3
sleep 0.3
leave_extra
rm -f "$work/hears-one"
check "the leave is acknowledged by a majority" wait_output 200 2 leave 1
sleep 0.3
heal entry-1
sleep 2.5
check "no request reaches it 2.5 s after the entry host is back" \
	test "$(reached late 40)" = 0
check "the entry host learns of all departures" wait_output $EXTRA 2 departed_extra
check "server two serves" test "$(request 1 GET /read/x last)" = 200
rm -f "$work/announcing"
