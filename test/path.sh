#!/usr/bin/env bash
# End-to-end test of one deployment at its current size: settings, ten hosts, a
# sheet, backend servers, look-ups, requests, operators' views, shutdown.
# Usage: path.sh kalahari|karst-armor
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
DEPLOYMENT=$1
FOLDER=$(mktemp -d)
trap 'deployment_stop_all "$FOLDER"; rm -rf "$FOLDER"' EXIT

case $DEPLOYMENT in
kalahari) lookup_service=certdesk urgent_service=closurehub urgent_path=/orders net=11 ;;
*) lookup_service=plan-reader urgent_service=rescue-issuer urgent_path=/releases net=12 ;;
esac
first=$(deployment_hosts "$DEPLOYMENT" | awk 'NR == 1 { print $1 }')
other=$(deployment_hosts "$DEPLOYMENT" | awk 'NR == 7 { print $1 }')

deployment_make "$FOLDER" "$DEPLOYMENT"
deployment_start "$FOLDER" $(deployment_names "$FOLDER")
entry="http://$(deployment_address "$FOLDER" "$first"):$DEPLOYMENT_ENTRY_PORT"
other_entry="http://$(deployment_address "$FOLDER" "$other"):$DEPLOYMENT_ENTRY_PORT"
leader_known() { ctl "$FOLDER" "$first" sheet accepted; }
check "a leader is elected" wait_until 30 leader_known

check_equal "no look-up before a sheet is in force" 503 \
	"$(http_status "$entry/v1/lookup?service=$lookup_service")"
check "the sheet is accepted" \
	ctl "$FOLDER" "$first" sheet submit "examples/$DEPLOYMENT.yaml"
check "it is in force on all ten hosts" \
	wait_until 30 all_in_force "$FOLDER" 1
check_equal "the same submission gets the first answer" accepted \
	"$(ctl "$FOLDER" "$other" --json sheet submit \
		"examples/$DEPLOYMENT.yaml" | jq -r .outcome)"
sed 's/cap_percent: 20/cap_percent: 30/' "examples/$DEPLOYMENT.yaml" \
	>"$FOLDER/conflicting.yaml"
check_code "another sheet with the same revision is refused" 1 \
	ctl "$FOLDER" "$other" sheet submit "$FOLDER/conflicting.yaml"
sed 's/cap_percent: 20/cap_percent: 120/' "examples/$DEPLOYMENT.yaml" \
	>"$FOLDER/invalid.yaml"
check_code "a sheet that breaks a rule is refused" 1 \
	ctl "$FOLDER" "$other" sheet submit "$FOLDER/invalid.yaml"
ctl "$FOLDER" "$other" sheet show >"$FOLDER/shown.yaml"
check "every host shows the accepted text" \
	cmp "examples/$DEPLOYMENT.yaml" "$FOLDER/shown.yaml"

deployment_start_backends "$FOLDER" "$DEPLOYMENT" --service-ms=2
check "backend servers announce themselves" \
	wait_until 30 backends_known "$FOLDER" "$first" 6
answer=$(curl -s "$entry/v1/lookup?service=$lookup_service")
check_equal "a look-up names entry hosts and a time to live" true \
	"$(echo "$answer" | jq '.ttl_ms > 0 and (.hosts | length) > 1')"
check_equal "an unknown service is refused" 404 \
	"$(http_status "$entry/v1/lookup?service=nothing")"
served() { [ "$(http_status "$entry/v1/call/$lookup_service/items/1")" = 200 ]; }
check "a look-up request is served" wait_until 30 served

key=$(curl -s "$entry/v1/lookup?service=$urgent_service" | jq -r .request_key)
# Guards against answers without a key while the owner's process is unknown.
check_equal "the answer carries a request key" 5 "$(echo "$key" | tr . '\n' |
	wc -l)"
urgent_served() {
	[ "$(http_status -d order "$entry/v1/call/$urgent_service$urgent_path" \
		-H "Boragewing-Key: $key")" = 200 ]
}
check "an urgent request with a key is served" wait_until 30 urgent_served
for i in 1 2 3; do
	check_equal "a resend at any host gets the answer ($i)" 200 \
		"$(http_status -d order \
			"$other_entry/v1/call/$urgent_service$urgent_path" \
			-H "Boragewing-Key: $key")"
done
check_equal "the urgent request ran once" 1 \
	"$(count_runs "$FOLDER" "$urgent_path")"
check_equal "a reused key with another body is refused" not-run \
	"$(http_outcome -d other "$entry/v1/call/$urgent_service$urgent_path" \
		-H "Boragewing-Key: $key")"
check_equal "a request without a key is refused as not run" not-run \
	"$(http_outcome -d order "$entry/v1/call/$urgent_service$urgent_path")"
case $key in
*0) forged=${key%?}1 ;;
*) forged=${key%?}0 ;;
esac
check_equal "a forged key is refused" 403 \
	"$(http_status -d order "$entry/v1/call/$urgent_service$urgent_path" \
		-H "Boragewing-Key: $forged")"
send_own_key() {
	http_status -d order "$1/v1/call/$urgent_service$urgent_path/own" \
		-H "Idempotency-Key: caller-7"
}
check_equal "a key chosen by the caller is accepted" 200 \
	"$(send_own_key "$entry")"
check_equal "a resend with it at another host is answered" 200 \
	"$(send_own_key "$other_entry")"
check_equal "the request with it ran once" 1 \
	"$(count_runs "$FOLDER" "$urgent_path/own")"

for view in status hosts regions links services backends drains shifts dump; do
	check "operators' view $view" ctl "$FOLDER" "$other" --json $view
done
check_equal "a wrong token is refused" 401 "$(http_status \
	"http://$(deployment_address "$FOLDER" "$first"):$DEPLOYMENT_OPERATOR_PORT/v1/status" \
	-H 'Authorization: Bearer wrong')"
curl -s "$entry/metrics" >"$FOLDER/metrics"
check "metrics include latency by rank" \
	grep -q 'boragewing_request_seconds_bucket{rank="0",le=' \
	"$FOLDER/metrics"
deployment_signal USR1 "$FOLDER" "$first"
dumped() { grep -q '"event":"dump"' "$FOLDER/log/$first.log"; }
check "a signal writes the state dump to the log" wait_until 10 dumped
check "each log line is JSON with the required fields" jq -e -s \
	'all(.time and .level and .host and .module and .event)' \
	"$FOLDER/log/$first.log"

# A host with another fleet key must not become a member.
mkdir -p "$FOLDER/foreign/data"
sed "1s/name: $first,/name: intruder,/; 1s/control: true/control: false/
	2,4s/127\.$net\.11\.1,/127.$net.99.1,/
	s|fleet_key_file: .*|fleet_key_file: $FOLDER/foreign/key|
	s|$FOLDER/data|$FOLDER/foreign/data|; s|$FOLDER/log|$FOLDER/foreign|" \
	"$FOLDER/hosts/$first.yaml" >"$FOLDER/hosts/intruder.yaml"
mkdir -p "$FOLDER/foreign/data/$first"
"$BUILD/src/boragewingctl/boragewingctl" key generate "$FOLDER/foreign/key"
deployment_start "$FOLDER" intruder
rejected() {
	[ "$(ctl "$FOLDER" "$1" dump | jq .transport.rejected_peers)" -gt 0 ]
}
check "a process with another key is rejected" \
	wait_until 20 rejected "$first"
check_equal "a process with another key is no member" 0 \
	"$(ctl "$FOLDER" "$first" dump |
		jq '[.member | .. | strings | select(. == "intruder")] | length')"
deployment_kill "$FOLDER" intruder

deployment_stop "$FOLDER" $(deployment_names "$FOLDER")
check_equal "every host shuts down by itself" 10 "$(grep -l \
	'"event":"stopped"' $(deployment_names "$FOLDER" |
		sed "s|.*|$FOLDER/log/&.log|") | wc -l)"
check_equal "no drain timeout" 0 \
	"$(cat "$FOLDER"/log/*.log | grep -c drain_timeout)"
check_equal "no error was logged" 0 \
	"$(cat "$FOLDER"/log/*.log | grep -c '"level":"error"')"
echo "$CHECKS passed, 0 failed"
