#!/usr/bin/env bash
# Clients read large responses slowly. Guards against an entry host that keeps
# more responses than it has memory for, and against responses that are cut off.
# Usage: gateway_slow_readers.sh [CLIENTS]
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
clients=${1:-24}
memory_mb=64
LARGE_BYTES=$((7 * 1024 * 1024))

configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":60,"sloS":30,"priority":1,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":50}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
END
}
read_slowly() { # NUMBER: prints the status and the size of the body
	curl -s --max-time 60 --limit-rate 2M -o /dev/null -w '%{http_code} %{size_download}\n' \
		-H 'Host: h.example' -H "Request-Id: slow-$1" -H 'Deadline-Ms: 60000' \
		"http://$(entry_address 1)/read/large" > "$work/slow-$1"
}
peak_mb() { awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/${pids[entry-1]}/status"; }

start_gateway 1
for i in $(seq "$clients"); do
	read_slowly "$i" &
	readers[i]=$!
done
wait "${readers[@]}"
whole=$(cat "$work"/slow-* | awk -v bytes=$LARGE_BYTES '$1 == 200 && $2 >= bytes' | wc -l)
echo "# $whole of $clients responses whole, peak $(peak_mb) MB of $memory_mb"
check "every response is whole" test "$whole" = "$clients"
check "the entry host stays within its memory" test "$(peak_mb)" -lt $memory_mb
check "the memory is released" wait_output 0 5 entry_metric 1 bw_response_body_bytes
rm -f "$work/announcing"
