#!/usr/bin/env bash
# Guards against attempts at one server that use up the connections of an entry
# host and make it count other servers as unreachable.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

connections_max=4

for i in 1 2 3; do start_control $i true; done
write_settings entry-1 127.0.2.1 a "front: \"$(entry_address 1)\", readinessAddr: \"127.0.2.1:$((port + 2))\"" true null
# 400 descriptors are reserved; one half of the others is for clients.
sed -i "s/maxFds: .*}/maxFds: $((400 + 2 * connections_max))}/" "$work/entry-1.yaml"
start entry-1
start_servers one
start_server two
check_first_configuration
check "a request is served" wait_output 200 10 request 1 GET /read/x first

server_two() {
	kill -USR1 "${pids[entry-1]}"
	sleep 0.5
	grep state_dump "$work/entry-1.log" | tail -1 |
		jq -r '.state.services.s.servers["i-two"] | "\(.failures == 0) \(.ejected)"'
}
count_held() { grep -c "^held-" "$work/ledger"; }

# Its clients leave, but the attempts at the first server remain.
for i in $(seq $connections_max); do
	curl -s --max-time 6 -o /dev/null -X POST -H 'Host: h.example' \
		-H "Request-Id: held-$i" -H 'Deadline-Ms: 4000' \
		"http://$(entry_address 1)/file/silent" &
	pids[client-$i]=$!
done
check "the first server holds all connections" wait_output $connections_max 5 count_held
for i in $(seq $connections_max); do
	kill "${pids[client-$i]}"
	wait "${pids[client-$i]}" 2>/dev/null
	unset "pids[client-$i]"
done
touch "$work/two"
rm "$work/one"
check "the second server is known" wait_output 'true false' 5 server_two
for i in 1 2 3; do
	code=$(request 1 GET /read/x "full-$i")
	echo "# status without a connection: $code"
	check "the request is rejected, or served when a connection is free" grep -qE '^(503|200)$' <<< "$code"
done
check "the second server has no failures" test "$(server_two)" = 'true false'
check "requests are served again" wait_output 200 10 request 1 GET /read/x last
check "the second server still has no failures" test "$(server_two)" = 'true false'
rm "$work/announcing"
