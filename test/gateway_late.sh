#!/usr/bin/env bash
# Guards against 431 from a host without a configuration, and against requests
# whose deadline begins only when their slow body is complete.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":1.5,"sloS":0.5,"priority":1,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":5}},
"limits":{"maxHeaderBytes":65536,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
END
}
long_head() { request 1 GET /read/x "$1" -H "Long: $(head -c 30000 /dev/zero | tr '\0' x)"; }
# slow_post ID: a body of six bytes, one a second; prints the status code, or
# "none" when there is none after four seconds.
slow_post() {
	local line i
	exec 8<> "/dev/tcp/127.0.2.1/$((port + 1))" || return 1
	printf 'POST /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nContent-Length: 6\r\n\r\n' "$1" >&8
	for i in 1 2 3 4 5 6; do
		sleep 1
		printf x >&8
	done
	IFS= read -r -t 3 line <&8
	exec 8>&-
	echo "${line:-none}" | cut -d' ' -f2
}

ulimit -n 4096
for i in 1 2 3; do start_control $i true; done
start_entry 1
sleep 2
check "without a configuration, a request gets 503" test "$(request 1 GET /read/x none)" = 503
code=$(long_head long-none)
check "and one with a head of 30 kB too ($code)" test "$code" = 503
start_servers one
check_first_configuration
check "a request is served" wait_output 200 10 request 1 GET /read/x first
check "a head of 30 kB is served" test "$(long_head long)" = 200
code=$(slow_post slow)
check "a request that arrives 5 s after its deadline has not run ($code)" test "$(count_runs slow)" = 0
rm "$work/announcing"
