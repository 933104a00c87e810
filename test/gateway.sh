#!/usr/bin/env bash
# Runs three control hosts and two entry hosts of a gateway as real processes,
# with stand-in backend servers, and checks what clients, operators and backend
# servers see: routing, at most one run, rejections of what has not run,
# draining, evacuation, explanation of failures, loss and restart of control
# hosts, and a graceful stop.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
for i in 1 2; do start_entry $i; done
start_servers one two

check "a first configuration is accepted" wait_output 200 20 submit 3
check "entry host 1 becomes ready" wait_output 200 10 status_code "http://127.0.2.1:$((port + 2))/-/ready"
check "entry host 2 becomes ready" wait_output 200 10 status_code "http://127.0.2.2:$((port + 2))/-/ready"
check "the directory lists both entry hosts" wait_output 2 10 bash -c "curl -s 'http://$(control_address 2)/-/resolve?name=h&region=r&zone=a' | grep -o '127.0.2' | wc -l"
check "a request is served" wait_output 200 10 request 1 GET /read/x first
check "its answer is complete" grep -q '^first /read/x 0$' "$work/body"
check "a request with the host in its target is served" test "$(request 1 GET /other/x absolute --request-target 'http://h.example/read/y?z')" = 200
check "its server gets the path alone" grep -q '^absolute /read/y?z 0$' "$work/body"
check "an unknown path gets 404" test "$(request 1 GET /other/x nothing)" = 404
check "a request with a body is served" test "$(request 2 POST /file/x body -d hello)" = 200
check "the body arrives complete" grep -q '^body /file/x 5$' "$work/body"

# Configurations.
check "an invalid configuration is rejected" test "$(status_code -X POST -d '{"version":9}' "http://$(control_address 1)/-/config/put")" = 400
check "a lower version is acknowledged" test "$(submit 2)" = 200
check "a lower version changes nothing" wait_output 3 5 bash -c "curl -s -L http://$(control_address 1)/-/config/get | jq .version"
check "a higher version is accepted" test "$(submit 5)" = 200
check "the higher version is read back" wait_output 5 5 bash -c "curl -s -L http://$(control_address 3)/-/config/get | jq .version"

# Three kinds of failed request, and their causes found by request id.
check "a lost answer: 502" test "$(request 1 POST /file/lost unsafe-lost)" = 502
check "the request with the lost answer ran once" test "$(count_runs unsafe-lost)" = 1
check "a silent server: 504" test "$(request 1 POST /file/silent held)" = 504
check "the request to the silent server ran once" test "$(count_runs held)" = 1
check "full servers: 503" test "$(request 2 POST /file/full refused)" = 503
check "the request to full servers has not run" test "$(count_runs refused)" = 0
for domain in a b; do
	check "an evacuation is accepted" test "$(status_code --post301 -X POST "http://$(control_address 1)/-/evacuations/$domain/start")" = 200
done
check "evacuated domains get no requests" wait_output 503 5 request 1 GET /read/y "evacuated-$RANDOM"
check "a request is rejected although servers are free" test "$(request 1 GET /read/y free-but-rejected)" = 503
check "the rejected request has not run" test "$(count_runs free-but-rejected)" = 0
sleep 0.5
check "the lost answer is explained" explains unsafe-lost "failed, \(closed\|invalid\)"
check "the timeout is explained" explains held "timeout, deadline"
cat > "$work/late.log" <<'END'
{"time":"2026-01-01T00:00:01.000Z","host":"h","module":"request","event":"timeout","request":"late","cause":"deadline","server":"i-one"}
{"time":"2026-01-01T00:00:02.000Z","host":"h","module":"registry","event":"server_avoided","request":"late","server":"i-one"}
END
check "a later line about its server does not hide the end of a request" explains late "timeout, deadline"
check "the rejection is explained" explains free-but-rejected "rejected, no_server"
check "its timeline names the evacuation" grep -q evacuations_in_force <(explain free-but-rejected)
for domain in a b; do
	check "an evacuation ends" test "$(status_code --post301 -X POST "http://$(control_address 2)/-/evacuations/$domain/end")" = 200
done
check "requests are served again" wait_output 200 5 request 1 GET /read/y again

# A delayed host reads requests whose clients have already disconnected.
abandoned_request() { # ID
	exec 8<> "/dev/tcp/127.0.2.1/$((port + 1))" || return 1
	printf 'GET /read/gone HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n' "$1" >&8
	exec 8>&-
}
kill -STOP "${pids[entry-1]}"
for i in 1 2 3; do abandoned_request "left-$i"; done
kill -CONT "${pids[entry-1]}"
check "the host serves again" wait_output 200 5 request 1 GET /read/y after-left
check "a request whose client has disconnected is not forwarded" test "$(grep -c '^left-' "$work/ledger")" = 0
check "its cancellation is logged" wait_output 3 5 grep -c '"event":"cancelled","request":"left-' "$work/entry-1.log"

# A host whose standard output is not read keeps serving, and its log is
# complete once it is read.
write_settings entry-3 127.0.2.3 a "front: \"$(entry_address 3)\", readinessAddr: \"127.0.2.3:$((port + 2))\"" true null
mkfifo "$work/stalled"
exec 7<> "$work/stalled"
BORAGEWING_NODE_FILE="$work/entry-3.yaml" "$build/src/boragewingd/boragewingd" --gateway > "$work/stalled" &
pids[entry-3]=$!
check "a host with a stalled log becomes ready" wait_output 200 10 status_code "http://127.0.2.3:$((port + 2))/-/ready"
check "it routes to the servers" wait_output 200 10 request 3 GET /read/x stalled-first
served=0
for i in $(seq 300); do [ "$(request 3 POST "/file/$i" "stalled-$i")" = 200 ] && served=$((served + 1)); done
check "a stalled log delays no request" test "$served" = 300
timeout 3 cat <&7 > "$work/stalled.log"
check "the log begins with the start event" grep -q '"event":"started"' "$work/stalled.log"
check "its lines are complete" test "$(head -n -1 "$work/stalled.log" | jq -c .event 2>/dev/null | wc -l)" = "$(head -n -1 "$work/stalled.log" | wc -l)"
kill -9 "${pids[entry-3]}"
wait "${pids[entry-3]}" 2>/dev/null

# Draining.
rm "$work/one"
sleep 0.5
check "draining is acknowledged" test "$(send_heartbeat i-one a "127.0.3.1:$((port + 6))" draining 100000 1)" = 200
sleep 2.5
: > "$work/ledger"
for i in $(seq 20); do request $((i % 2 + 1)) GET "/read/$i" "drained-$i" > /dev/null; done
check "a draining server gets no requests" test "$(grep -c i-one "$work/ledger")" = 0
check "the other one serves" test "$(grep -c i-two "$work/ledger")" = 20

# Loss of one control host, then of all.
kill -9 "${pids[control-1]}"
wait "${pids[control-1]}" 2>/dev/null
submit_to() { configuration "$1" > "$work/configuration.json"; status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address $((RANDOM % 2 + 2)))/-/config/put"; }
check "two of three accept a configuration" wait_output 200 15 submit_to 8
check "requests are served during the loss" test "$(request 1 GET /read/z during-loss)" = 200
kill -9 "${pids[control-2]}" "${pids[control-3]}"
wait "${pids[control-2]}" "${pids[control-3]}" 2>/dev/null
check "requests are served without control hosts" test "$(request 1 GET /read/z without-control)" = 200
for i in 1 2 3; do start_control $i false; done
check "the newest configuration survives" wait_output 8 20 bash -c "curl -s -L --max-time 2 http://$(control_address 2)/-/config/get | jq .version"

# A control host that lost its disk rejoins the group.
kill -9 "${pids[control-3]}"
wait "${pids[control-3]}" 2>/dev/null
rm -rf "$work/data-3"
: > "$work/control-2.log"
start_control 3 false
# Counts voters only after the host was added as a learner, as the member with
# the old disk is removed first.
voters() {
	grep -h '"member_changed"' "$work/control-2.log" > "$work/members"
	grep -q "$(control_address 3)\":\"learner" "$work/members" || return
	tail -1 "$work/members" | grep -o ':"voter"' | wc -l
}
check "a control host with an empty disk becomes a voter" wait_output 3 20 voters
kill -9 "${pids[control-1]}"
wait "${pids[control-1]}" 2>/dev/null
check "it counts towards a majority" wait_output 200 20 submit_to 11

# Metrics and a graceful stop.
check "metrics include histograms" grep -q 'bw_answer_seconds_bucket' <(curl -s "http://127.0.2.1:$((port + 8))/metrics")
check "metrics include the age of the configuration" grep -Eq '^bw_routing_age_seconds [0-9]+$' <(curl -s "http://127.0.2.1:$((port + 8))/metrics")
request 1 GET /read/slow slow-one > "$work/slow" &
slow_pid=$!
sleep 0.3
kill -TERM "${pids[entry-1]}"
check "a stopping host is not ready" wait_output 503 2 status_code "http://127.0.2.1:$((port + 2))/-/ready"
wait "$slow_pid"
check "a stopping host finishes its requests" test "$(cat "$work/slow")" = 200
check "the directory no longer lists it" wait_output 1 5 bash -c "curl -s 'http://$(control_address 2)/-/resolve?name=h&region=r&zone=a' | grep -o '127.0.2' | wc -l"
wait "${pids[entry-1]}"
check "it exits with 0" test $? = 0
check "its log records the stop" grep -q '"event":"stopped"' "$work/entry-1.log"
