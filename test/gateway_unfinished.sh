#!/usr/bin/env bash
# Guards against attempts of requests that must not run twice that stay open
# without end after their client got 504, and against ending one whose client
# left while its server works on it.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

# An attempt ends at most one second after its deadline; the rest is for the
# dump and a busy host.
attempt_end_s=6

dumped() { # FILTER
	kill -USR1 "${pids[entry-1]}"
	sleep 0.5
	grep state_dump "$work/entry-1.log" | tail -1 | jq -c ".state.$1"
}
requests() { dumped requests; }
in_flight() { dumped services.s.in_flight; }
ended_attempts() {
	curl -s "http://127.0.2.1:$((port + 8))/metrics" |
		grep -F 'bw_stage_seconds_count{stage="upstream"}' | cut -d' ' -f2
}
begin_request() { # PATH ID: its client runs until leave
	curl -s --max-time 6 -o /dev/null -X POST -H 'Host: h.example' \
		-H "Request-Id: $2" -H 'Deadline-Ms: 4000' \
		"http://$(entry_address 1)$1" &
	pids[client]=$!
}
leave() {
	kill "${pids[client]}"
	wait "${pids[client]}" 2>/dev/null
	unset 'pids[client]'
}

for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers one
check_first_configuration
check "a request is served" wait_output 200 10 request 1 GET /read/x first

check "a silent server: 504" test "$(request 1 POST /file/silent held)" = 504
check "its attempt ends" wait_output 0 $attempt_end_s requests
check "its server has no request in flight" wait_output 0 $attempt_end_s in_flight
check "the request ran once" test "$(count_runs held)" = 1

# The client leaves while its server works.
before=$(ended_attempts)
begin_request /file/slow left
check "a slow request runs" wait_output 1 5 count_runs left
leave
check "its attempt continues" wait_output $((before + 1)) $attempt_end_s ended_attempts
check "and ends" wait_output 0 $attempt_end_s requests

# The client leaves, and its server never responds.
begin_request /file/silent left-silent
check "a silent request runs" wait_output 1 5 count_runs left-silent
leave
check "the attempt of a client that left ends" wait_output 0 $attempt_end_s requests

# A server that accepts connections and reads nothing.
head -c 900000 /dev/zero > "$work/large"
kill -STOP "${pids[backend-one]}"
check "a server that does not read: 504" test "$(request 1 POST /file/x unread -H 'Expect:' --data-binary "@$work/large")" = 504
check "a server that does not read: 504 for a request that may be repeated" test "$(request 1 GET /read/x unread-read)" = 504
check "the attempts end" wait_output 0 $attempt_end_s requests
check "no request is in flight" wait_output 0 $attempt_end_s in_flight
kill -CONT "${pids[backend-one]}"
check "requests are served again" wait_output 200 15 request 1 GET /read/x last
rm "$work/announcing"
