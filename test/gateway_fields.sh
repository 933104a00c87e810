#!/usr/bin/env bash
# Guards against a Connection field that removes the fields by which a response
# is known as a server's own, or the id and host of a request.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers one
check_first_configuration
check "a request is served" wait_output 200 10 request 1 GET /read/x first

has_field() { grep -qi "^$1: $2"$'\r''$' "$work/fields"; }
check "a response that lists its fields: 200" test "$(request 1 GET /read/listed listed -D "$work/fields")" = 200
check "its signature is forwarded" has_field Response-Stamp i-one
check "its request id is forwarded" has_field Request-Id listed
check "a field of one connection is not forwarded" test -z "$(grep -i '^x:' "$work/fields")"

check "a request that lists its fields: 200" test "$(request 1 POST /file/x sent -D "$work/fields" -d body \
	-H 'Connection: Host, Request-Id, Affinity-Key, Deadline-Ms' -H 'Affinity-Key: a')" = 200
check "it runs with its id" test "$(count_runs sent)" = 1
check "its response has the signature" has_field Response-Stamp i-one
rm "$work/announcing"
