#!/usr/bin/env bash
# Large bodies at an entry host with 160 MB. Guards against a body within the
# configured limit that is answered 413, that takes the host's memory, or that is
# not whole at the server, and against a refusal that resets a connection while its client sends.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

memory_mb=160
mib=1048576
configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":30,"sloS":0.5,"priority":1,"service":"s","attempts":2},
"brief":{"host":"h.example","pathPrefix":"/brief/","kind":"unsafe","timeoutS":1.5,"sloS":0.5,"priority":0,"service":"s","attempts":2},
"file":{"host":"h.example","pathPrefix":"/file/","kind":"unsafe","timeoutS":30,"sloS":0.5,"priority":0,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":5}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":$((64 * mib)),"headerTimeoutS":30,"idleTimeoutS":60}}
END
}
body_file() { # BYTES
	[ -e "$work/$1" ] || head -c "$1" /dev/zero > "$work/$1"
	echo "$work/$1"
}
post() { # PATH ID BYTES [OPTION...]: prints the status code
	curl -s --max-time 60 -o "$work/body" -D "$work/head" -w '%{http_code}' \
		-X POST -H 'Host: h.example' -H "Request-Id: $2" -H 'Deadline-Ms: 30000' \
		--data-binary "@$(body_file "$3")" "${@:4}" "http://$(entry_address 1)$1"
}
# post_blind ID BYTES: sends all before it reads; prints the status code.
post_blind() {
	local line
	exec 8<> "/dev/tcp/127.0.2.1/$((port + 1))" || return 1
	printf 'POST /file/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 30000\r\nContent-Length: %d\r\n\r\n' "$1" "$2" >&8
	cat "$(body_file "$2")" >&8 || return 1
	IFS= read -r -t 10 line <&8
	exec 8>&-
	echo "$line" | cut -d' ' -f2
}
peak_kb() { awk '$1 == "VmHWM:" { print $2 }' "/proc/${pids[entry-1]}/status"; }
invalid_count() {
	curl -s "http://127.0.2.1:$((port + 8))/metrics" |
		grep -F "bw_requests_invalid_total{cause=\"$1\",role=\"entry\",status=\"$2\"} " | cut -d' ' -f2
}
# runs_with ID BYTES: runs that got a body of this size.
runs_with() { grep -c "^$1 .* $2\$" "$work/ledger"; }

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers one two
check_first_configuration
check "a request is served" wait_output 200 10 post /file/x small 10

check "a body of 9 MiB is served" test "$(post /file/x nine $((9 * mib)))" = 200
check "it is whole" grep -q "^nine /file/x $((9 * mib))$" "$work/body"
check "one in chunks is served" test "$(post /file/x chunks $((9 * mib)) -H 'Transfer-Encoding: chunked')" = 200
check "it is whole" grep -q "^chunks /file/x $((9 * mib))$" "$work/body"
check "one whose answer is lost fails" test "$(post /read/lost lost $((9 * mib)))" = 502
check "its retry was whole" test "$(runs_with lost $((9 * mib)))" = 2

echo "peak before a body of 60 MiB: $(peak_kb) kB"
check "a body of 60 MiB is served" test "$(post /file/x sixty $((60 * mib)))" = 200
check "it is whole" grep -q "^sixty /file/x $((60 * mib))$" "$work/body"
echo "peak after it: $(peak_kb) kB"
check "it was held once" test "$(peak_kb)" -lt $((75 * 1024))
check "a body of the configured limit is served" test "$(post /file/x limit $((64 * mib)))" = 200
check "a larger one gets 413" test "$(post /file/x above $((64 * mib + 1)))" = 413
check "it has not run" test "$(count_runs above)" = 0

# Servers that are silent, and that do not read.
check "a silent server: 504" test "$(post /brief/silent silent $((60 * mib)))" = 504
check "its body is freed" test "$(post /file/x after-silent $((60 * mib)))" = 200
for name in one two; do kill -STOP "${pids[backend-$name]}"; done
check "a stalled server: 504" test "$(post /brief/x stalled $((60 * mib)))" = 504
for name in one two; do kill -CONT "${pids[backend-$name]}"; done
check "its body is freed" test "$(post /file/x after-stalled $((60 * mib)))" = 200
check "the request has not run" test "$(count_runs stalled)" = 0

# A client holds most of the memory.
exec 9<> "/dev/tcp/127.0.2.1/$((port + 1))"
printf 'POST /file/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: held\r\nDeadline-Ms: 30000\r\nContent-Length: %d\r\n\r\nx' $((60 * mib)) >&9
sleep 0.5
check "another body gets 503" test "$(post /file/x refused $((30 * mib)))" = 503
check "with a time to wait" grep -q '^Retry-After: 0.500' "$work/head"
check "and the end of the connection" grep -q '^Connection: close' "$work/head"
check "one in chunks gets 503" test "$(post /file/x refused-chunks $((30 * mib)) -H 'Transfer-Encoding: chunked')" = 503
check "a client that reads late gets 503" test "$(post_blind blind $((30 * mib)))" = 503
check "a small body is served" test "$(post /file/x between 1000)" = 200
exec 9>&-
check "a body is served again" wait_output 200 5 post /file/x again $((30 * mib))
sleep 0.5
for id in refused refused-chunks blind; do
	check "$id has not run" test "$(count_runs $id)" = 0
	check "$id is logged" grep -q "\"event\":\"invalid\",\"request\":\"$id\",\"status\":503,\"cause\":\"body_memory\"" "$work/entry-1.log"
	check "$id is explained" explains $id "invalid, body_memory"
done
check "they are counted" test "$(invalid_count body_memory 503)" = 3
check "one is counted as too large" test "$(invalid_count body_too_large 413)" = 1
echo "peak: $(peak_kb) kB"
check "the host keeps within its memory" test "$(peak_kb)" -lt $((memory_mb * 1000))
