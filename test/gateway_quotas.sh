#!/usr/bin/env bash
# Guards against a customer that gets more than its quota at all entry hosts
# together (also while one is cut off, after a restart, after the end of the
# granting host and after a lowered quota), a refusal that ran or says no time,
# a quota that is not served, customers without a quota that are limited or cost
# messages, and a key in a log.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

# The users' bounds, in whole requests and seconds.
window_s=5
bound() { echo $(((($1 * window_s + $2) * 11) / 10 + 20)); } # RATE BURST

with_customers() { # VERSION CUSTOMERS
	configuration "$1" | sed "s|^\"services\"|\"tenants\":$2,\"services\"|" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" \
		"http://$(control_address $((RANDOM % 3 + 1)))/-/config/put"
}
with_key() { # ENTRY KEY ID [OPTION...]
	curl -s --max-time 6 -o /dev/null -w '%{http_code}\n' -H 'Host: h.example' \
		-H "Request-Id: $3" -H 'Deadline-Ms: 4000' \
		-H "Authorization: Token $2" "${@:4}" "http://$(entry_address "$1")/read/x"
}
flood() { # ENTRY KEY PREFIX COUNT: prints the status codes
	local n
	for n in $(seq "$4"); do with_key "$1" "$2" "$3-$1-$n" -D "$work/fields-$1"; done > "$work/$3-$1"
}
flood_both() { # KEY PREFIX COUNT: sets $windows that the flood touched
	local began=$SECONDS
	flood 1 "$1" "$2" "$3" &
	local first=$!
	flood 2 "$1" "$2" "$3"
	wait "$first"
	windows=$(((SECONDS - began) / window_s + 1))
}
runs() { grep -c "^$1-" "$work/ledger"; } # PREFIX
within() { [ "$(runs "$1")" -le $((windows * $2)) ]; } # PREFIX BOUND
refused() { cat "$work/$1"-[12] | grep -c 429; } # PREFIX
refused_did_not_run() { # PREFIX
	[ $(($(runs "$1") + $(refused "$1"))) -le "$(cat "$work/$1"-[12] | wc -l)" ]
}

build_host_faults
for i in 1 2 3; do start_control $i true; done
for i in 1 2; do start_entry $i; done
start_servers one
check_first_configuration
check "entry host 2 becomes ready" wait_output 200 10 status_code "http://127.0.2.2:$((port + 2))/-/ready"
check "customers are accepted" wait_output 200 10 with_customers 5 '{"alpha":{"apiKeys":["key-a"],"ratePerS":10,"burst":10},"beta":{"apiKeys":["key-b"]}}'
for i in 1 2; do check "entry host $i knows them" wait_output 200 10 with_key $i key-b "known-$i"; done

flood_both key-b free 40
check "a customer without a quota is not limited" test "$(runs free)" = 80
check "no demand is sent without a quota" test "$(entry_metric 1 bw_quota_demands_total)" = 0

check "a customer with a quota is served" test "$(with_key 1 key-a calm)" = 200
sleep 3
flood_both key-a hot 150
check "a hot customer stays within its quota" within hot "$(bound 10 10)"
check "it is refused with 429" test "$(refused hot)" -gt 0
check "at least half of its quota is served" test "$(runs hot)" -ge 30
check "what is refused does not run" refused_did_not_run hot
check "a refusal says when to return" grep -q '^Retry-After: [0-9.]*' "$work/fields-1" "$work/fields-2"
check "others are not refused" test "$(with_key 1 key-b beside)$(with_key 2 key-b beside)" = 200200
check "refusals are counted" test "$(entry_metric 1 bw_quota_refused_total)" -gt 0
check "refusals are logged with the customer" grep -q '"event": *"refused".*"customer": *"alpha"' "$work/entry-1.log" "$work/entry-2.log"

sleep 6
cut_off entry-2 1 2 3
sleep 7
flood_both key-a cut 150
check "the sum stays within the quota in a cut" within cut "$(bound 10 10)"
check "the host that is cut off serves" grep -q 200 "$work/cut-2"
heal entry-2

sleep 6
flood 1 key-a before 60
kill -9 "${pids[entry-1]}"
wait "${pids[entry-1]}" 2> /dev/null
start_entry 1
check "the restarted host serves" wait_output 200 15 with_key 1 key-b again
flood_both key-a restarted 100
check "the sum stays within the quota after a restart" within restarted "$(bound 10 10)"

leader=$(grep -h '"granting_begun"' "$work"/control-?.log | tail -1 | sed -n 's/.*"host": *"\(control-[0-9]\)".*/\1/p')
check "a leader grants" test -n "$leader"
sleep 6
flood 1 key-a prior 60
kill -9 "${pids[${leader:-control-1}]}"
flood_both key-a changed 150
check "the sum stays within the quota after the leader's end" within changed "$(bound 10 10)"
check "it is served after the leader's end" test "$(runs changed)" -gt 0
for ((i = 0; i < 100; i++)); do
	[ "$(cat "$work"/control-?.log | grep -c '"granting_begun"')" -ge 2 ] && break
	sleep 0.1
done
check "another leader grants" test "$i" -lt 100

check "a lower quota is accepted" wait_output 200 10 with_customers 6 '{"alpha":{"apiKeys":["key-a"],"ratePerS":1,"burst":0},"beta":{"apiKeys":["key-b"]}}'
sleep 8
flood_both key-a lowered 100
check "the lower quota binds" within lowered "$(bound 1 0)"
check "no key is logged" test -z "$(grep -hE 'key-(a|b)' "$work"/*.log)"
rm "$work/announcing"
