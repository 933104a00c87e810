#!/usr/bin/env bash
# The disk of one control host after the other takes no more bytes for a while.
# Guards against control hosts that neither vote nor store anything until their
# restart, so that the majority is gone and a configuration is neither accepted
# nor read back.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

# The limit of the file size stands for a full disk; the log goes through a
# pipe, as the limit must not apply to it.
start() { # NAME
	BORAGEWING_NODE_FILE="$work/$1.yaml" "$build/src/boragewingd/boragewingd" \
		--gateway --metrics-port $((port + 8)) > >(cat >> "$work/$1.log") 2>&1 &
	pids[$1]=$!
}

fill_disk() { prlimit --pid "${pids[control-$1]}" --fsize=1:; }
free_disk() { prlimit --pid "${pids[control-$1]}" --fsize=unlimited:; }
count_events() { grep -c "\"event\":\"$2\"" "$work/control-$1.log"; }
version_at() {
	http_get "http://$(control_address "$1")/-/config/get" |
		grep -o '"version":[0-9]*'
}

start_gateway 1
version=10
for i in 1 2 3; do
	fill_disk $i
	version=$((version + 1))
	check "a configuration is accepted beside full disk $i" \
		wait_output 200 20 submit $version
	check "control host $i reports its full disk" \
		wait_output 1 10 count_events $i storage_failed
	sleep 1
	free_disk $i
	check "control host $i opens its disk again" \
		wait_output 1 10 count_events $i storage_reopened
done
check "a configuration is accepted after the three full disks" \
	wait_output 200 10 submit 20
for i in 1 2 3; do
	check "control host $i answers with it" \
		wait_output '"version":20' 10 version_at $i
done
kill -9 "${pids[control-1]}"
check "the two others are a majority" wait_output 200 20 submit 21
fill_disk 2
fill_disk 3
check "nothing is accepted while both disks are full" \
	test "$(submit 22)" != 200
free_disk 2
free_disk 3
check "the configuration is accepted when there is room" \
	wait_output 200 20 submit 22
check "it is in force" wait_output '"version":22' 10 version_at 2
check "requests are served" test "$(request 1 GET /read/x last)" = 200
rm -f "$work/announcing"
