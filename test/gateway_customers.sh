#!/usr/bin/env bash
# Guards against a key that reaches a server or a log, a server that is told a
# customer that the client made up, an unknown or withdrawn key that is served,
# also after a restart, and a good key that is refused.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

with_customers() { # VERSION CUSTOMERS
	configuration "$1" | sed "s|^\"file\":{|\"file\":{\"public\":true,|; s|^\"services\"|\"tenants\":$2,\"services\"|" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" \
		"http://$(control_address $((RANDOM % 3 + 1)))/-/config/put"
}
with_key() { # KEY ID [OPTION...]
	request 1 GET /read/x "$2" -H "Authorization: Token $1" -D "$work/fields" "${@:3}"
}
echoed() { sed -n 's/^Echo: \(.*\)\r$/\1/p' "$work/fields"; }

for i in 1 2 3; do start_control $i true; done
start_entry 1
start_servers one
check_first_configuration
check "a request is served without customers" wait_output 200 10 request 1 GET /read/x first

check "customers are accepted" wait_output 200 10 with_customers 5 '{"alpha":{"apiKeys":["key-a1","key-a2"]},"beta":{"apiKeys":["key-b"]}}'
check "an unknown key gets 401" wait_output 401 10 with_key key-x unknown-0
check "each key is served" test "$(with_key key-a1 a1)$(with_key key-a2 a2)$(with_key key-b b)" = 200200200
check "no key gets 401" test "$(request 1 GET /read/x none)" = 401
check "two keys get 401" test "$(with_key key-b two -H 'Authorization: Token key-a1')" = 401
check "a public route needs no key" test "$(request 1 POST /file/x public -d b)" = 200
with_key key-a2 name -H 'Echo-Field: Tenant' -H 'Tenant: beta' > /dev/null
check "the server gets the name of the key's customer" test "$(echoed)" = alpha
with_key key-a1 hidden -H 'Echo-Field: Authorization' > /dev/null
check "the server does not get the key" test -z "$(echoed)"
request 1 POST /file/x forged -d b -D "$work/fields" -H 'Echo-Field: Tenant' -H 'Tenant: beta' > /dev/null
check "no name is passed on for a public route" test -z "$(echoed)"
check "two customers with one key are refused" test "$(with_customers 6 '{"alpha":{"apiKeys":["same"]},"beta":{"apiKeys":["same"]}}')" = 400
check "a negative quota is refused" test "$(with_customers 6 '{"alpha":{"apiKeys":["a"],"ratePerS":-1}}')" = 400
check "the customers in force stay" test "$(with_key key-b still)" = 200

check "a version without a key is accepted" wait_output 200 10 with_customers 7 '{"alpha":{"apiKeys":["key-a2"]},"beta":{"apiKeys":[]}}'
check "the withdrawn key gets 401" wait_output 401 10 with_key key-b withdrawn-0
check "the other key is served" test "$(with_key key-a2 kept)" = 200
kill -9 "${pids[entry-1]}"
start_entry 1
check "the restarted host serves" wait_output 200 15 with_key key-a2 again
check "the withdrawn key stays withdrawn" test "$(with_key key-b withdrawn-1)" = 401
check "it never ran" test "$(count_runs withdrawn-1)$(count_runs none)$(count_runs two)" = 000
check "no key is logged" test -z "$(grep -hE 'key-(a1|a2|b|x)' "$work"/*.log)"
rm "$work/announcing"
