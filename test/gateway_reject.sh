#!/usr/bin/env bash
# Requests and calls that get a 4xx status from a host itself. Guards against
# such an answer without a log line, a count, and an explanation of its cause.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
start_entry 1
check_first_configuration

# send_raw ADDRESS TEXT: sends bytes and prints the status code of the answer.
send_raw() {
	local line
	exec 9<> "/dev/tcp/${1%:*}/${1##*:}" || return 1
	printf '%b' "$2" >&9
	IFS= read -r -t 8 line <&9
	exec 9>&-
	echo "$line" | cut -d' ' -f2
}
# logged NAME EVENT ID FILTER: waits for the line, and checks it with jq.
logged() {
	local line
	for _ in $(seq 50); do
		line=$(grep -h "\"event\":\"$2\",\"request\":\"$3\"" "$work/$1.log" | tail -1)
		[ -n "$line" ] && break
		sleep 0.1
	done
	[ -n "$line" ] && echo "$line" | jq -e "$4" > /dev/null
}
metric() { # IP NAME{LABELS}
	curl -s "http://$1:$((port + 8))/metrics" | grep -F "$2 " | cut -d' ' -f2
}
invalid_count() { metric 127.0.2.1 "bw_requests_invalid_total{cause=\"$1\",role=\"entry\",status=\"$2\"}"; }

check "a malformed request gets 400" test "$(send_raw "$(entry_address 1)" 'GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: bad\r\n\x01: x\r\n\r\n')" = 400
check "it is logged" logged entry-1 invalid bad '.status == 400 and .cause == "malformed" and .parser == "HPE_INVALID_HEADER_TOKEN" and .peer == "127.0.0.1" and .version == 3 and .received_bytes > 40'
check "it is counted" test "$(invalid_count malformed 400)" = 1
check "it is explained" explains bad "invalid, malformed"

long=$(printf '%020000d' 0)
check "too large a head gets 431" test "$(request 1 GET /read/x large-head -H "Long: $long")" = 431
check "it is logged" logged entry-1 invalid large-head '.status == 431 and .cause == "head_too_large" and .limit == 16384'
check "it is counted" test "$(invalid_count head_too_large 431)" = 1
check "it is explained" explains large-head "invalid, head_too_large"

# The limit of bytes bounds the number of fields.
fields=()
for i in $(seq 100); do fields+=(-H "Field-$i: x"); done
check "100 fields reach the route, which has no server" test "$(request 1 GET /read/x hundred-fields "${fields[@]}")" = 503
check "they are not invalid" test "$(invalid_count head_too_large 431)" = 1
for i in $(seq 101 1500); do fields+=(-H "Field-$i: x"); done
check "too many fields get 431" test "$(request 1 GET /read/x many-fields "${fields[@]}")" = 431
check "they are logged" logged entry-1 invalid many-fields '.status == 431 and .cause == "head_too_large" and .limit == 16384'
check "they are counted" test "$(invalid_count head_too_large 431)" = 2
check "they are explained" explains many-fields "invalid, head_too_large"

head -c 1100000 /dev/zero > "$work/large"
check "too large a body gets 413" test "$(request 1 POST /file/x large-body -H 'Expect:' --data-binary "@$work/large")" = 413
check "it is logged" logged entry-1 invalid large-body '.status == 413 and .cause == "body_too_large" and .limit == 1000000 and .limit_current == 1000000'
check "it is counted" test "$(invalid_count body_too_large 413)" = 1
check "it is explained" explains large-body "invalid, body_too_large"

check "an incomplete head gets 408" test "$(send_raw "$(entry_address 1)" 'GET /read/x HTTP/1.1\r\nRequest-Id: late\r\n')" = 408
check "it is logged" logged entry-1 invalid late '.status == 408 and .cause == "head_timeout" and .limit == 3000 and .age_ms >= 3000'
check "it is counted" test "$(invalid_count head_timeout 408)" = 1
check "it is explained" explains late "invalid, head_timeout"

# Requests without a route.
check "an unknown path gets 404" test "$(request 1 GET /other/x other-path)" = 404
check "it is logged" logged entry-1 no_route other-path '.status == 404 and .cause == "path_unknown" and .asked_host == "h.example" and .routes == 2 and .version == 3 and .newest_version == 3 and .version_age_ms > 0 and .behind_ms == 0 and (.feed | length > 0)'
check "it is explained" explains other-path "no_route, path_unknown"
check "an unknown host gets 404" test "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: other.example' -H 'Request-Id: other-host' "http://$(entry_address 1)/read/x")" = 404
check "it is logged" logged entry-1 no_route other-host '.status == 404 and .cause == "host_unknown" and .asked_host == "other.example"'
check "it is explained" explains other-host "no_route, host_unknown"
check "a target that is not UTF-8 gets 404" test "$(send_raw "$(entry_address 1)" 'GET /other/\xff HTTP/1.1\r\nHost: h.example\r\nRequest-Id: bytes\r\n\r\n')" = 404
check "its line keeps its fields" logged entry-1 no_route bytes '.status == 404 and .target == "/other/?"'
check "requests without a route are counted" test "$(metric 127.0.2.1 'bw_requests_total{end="no_route"}')" = 3

# Targets with the host in them.
check "the host in the target overrides Host" test "$(send_raw "$(entry_address 1)" 'GET http://other.example/read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: absolute\r\n\r\n')" = 404
check "it is logged" logged entry-1 no_route absolute '.cause == "host_unknown" and .asked_host == "other.example"'
check "a target with the host of a route has one" test "$(send_raw "$(entry_address 1)" 'GET http://h.example:80/read/x HTTP/1.1\r\nHost: other.example\r\nRequest-Id: routed\r\n\r\n')" = 503
check "it lacks a backend server" logged entry-1 rejected routed '.cause == "no_server" and .route == "read"'

# The limits of a configuration.
limits_logged() {
	grep -h '"event":"routing_in_force"' "$work/entry-1.log" | tail -1 |
		jq -e '.head_max_bytes == 16384 and .body_max_bytes == 1000000 and .head_timeout_ms == 3000 and .idle_timeout_ms == 15000 and .behind_ms >= 0 and .newest_version == 3' > /dev/null
}
check "the limits in force are logged" limits_logged

# Control hosts.
check "a control host rejects a malformed call with 400" test "$(send_raw "$(control_address 1)" 'GET /x HTTP/1.1\r\nRequest-Id: bad-call\r\n\x01: x\r\n\r\n')" = 400
check "it is logged" logged control-1 invalid bad-call '.status == 400 and .cause == "malformed"'
check "it is counted" test "$(metric 127.0.1.1 'bw_requests_invalid_total{cause="malformed",role="control",status="400"}')" = 1
check "an unknown call gets 404" test "$(status_code -H 'Request-Id: no-call' "http://$(control_address 1)/-/nothing")" = 404
check "it is logged" logged control-1 refused no-call '.status == 404 and .call == "unknown" and .cause == "unknown method or path" and .peer == "127.0.0.1" and .target == "/-/nothing"'
check "it is counted" test "$(metric 127.0.1.1 'bw_calls_refused_total{status="404"}')" = 1
check "it is explained" explains no-call "refused, unknown method or path"
check "an unknown failure domain gets 404" test "$(status_code -X POST -H 'Request-Id: no-domain' "http://$(control_address 1)/-/evacuations/nowhere/start")" = 404
check "it is logged" logged control-1 refused no-domain '.status == 404 and .call == "evacuate"'
check "an invalid submission gets 400" test "$(status_code -X POST -d '{}' "http://$(control_address 1)/-/config/put")" = 400
# The leader checks it, which may be any of the three.
refused_count() { # STATUS
	for i in 1 2 3; do metric "127.0.1.$i" "bw_calls_refused_total{status=\"$1\"}"; done | awk '{sum += $1} END {print sum + 0}'
}
check "it is counted" test "$(refused_count 400)" = 1
redirected=$(for i in 1 2 3; do curl -s -o /dev/null -w '%{http_code}\n' -H "Request-Id: read-$i" "http://$(control_address $i)/-/config/get"; done | grep -c 307)
check "two of three control hosts redirect" test "$redirected" = 2
sleep 0.5
check "both redirects are logged" test "$(grep -h '"event":"redirected","request":"read-' "$work"/control-*.log | grep -c '"status":307')" = 2

# Garbage at a high rate: 1000 requests, of which not all get a line.
send_garbage() {
	for _ in $(seq 250); do printf '\x01\n' > "/dev/tcp/127.0.2.1/$((port + 1))"; done
}
garbage_lines() { grep -h '"event":"invalid","request":""' "$work/entry-1.log" | jq -s "$1"; }
senders=()
for _ in 1 2 3 4; do
	send_garbage &
	senders+=($!)
done
wait "${senders[@]}"
check "garbage is counted" wait_output 1001 10 invalid_count malformed 400
sleep 1.2
check "a last one gets 400" test "$(send_raw "$(entry_address 1)" '\x01\r\n\r\n')" = 400
check "each is logged or counted as left out" wait_output 1001 5 garbage_lines 'map(1 + .unlogged) | add'
check "some are left out" test "$(garbage_lines 'map(.unlogged) | add > 100')" = true
# The host's second may begin shortly after that of the line's time.
check "the lines of a second are limited" test "$(garbage_lines 'group_by(.time[:19]) | map(length) | max <= 100')" = true
