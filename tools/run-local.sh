#!/usr/bin/env bash
# Runs one example deployment on loopback addresses: ten hosts, stand-in
# backend servers and a load caller, until SECONDS are over or it is interrupted.
# Usage: run-local.sh [BUILD [kalahari|karst-armor [SECONDS]]]
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
USER_NAME=${2:-kalahari}
SECONDS_TO_RUN=${3:-60}
. test/deployment.sh
FOLDER=$(mktemp -d)
trap 'deployment_stop_all "$FOLDER"; rm -rf "$FOLDER"; exit 0' EXIT INT TERM

deployment_make "$FOLDER" "$USER_NAME"
# shellcheck disable=SC2046
deployment_start "$FOLDER" $(deployment_names "$FOLDER")
first=$(deployment_names "$FOLDER" | head -1)
submit() { ctl "$FOLDER" "$first" sheet submit "examples/$USER_NAME.yaml"; }
echo "Starting ten hosts of $USER_NAME ..."
if ! wait_until 30 submit || ! wait_until 30 all_in_force "$FOLDER" 1; then
	echo "The sheet did not come into force; see the logs:"
	cat "$FOLDER"/log/*.err "$FOLDER"/log/"$first".log
	exit 1
fi
deployment_start_backends "$FOLDER" "$USER_NAME" --service-ms=5
wait_until 30 backends_known "$FOLDER" "$first" 6

case $USER_NAME in
kalahari) kinds="certdesk GET /items/1 lookup 60 true
defectbook POST /filings filing 20 false
closurehub POST /orders urgent 10 false" ;;
*) kinds="plan-reader GET /sheets/1 lookup 60 true
revision-desk POST /revisions filing 20 false
rescue-issuer POST /releases urgent 10 false" ;;
esac
{
	echo "seed: 1"
	echo "duration_s: $SECONDS_TO_RUN"
	echo "attempts: 3"
	echo "backoff_ms: 200"
	echo "renew_keys: true"
	echo "entry_hosts:"
	awk -v p=$DEPLOYMENT_ENTRY_PORT \
		'{ print "  - {address: " $4 ", port: " p "}" }' \
		"$FOLDER/table"
	echo "sources: [127.31.0.1, 127.31.0.2, 127.32.0.1, 127.32.0.2, 127.33.0.1, 127.33.0.2]"
	echo "kinds:"
	echo "$kinds" | while read -r service method path rank rate idempotent
	do
		echo "  - {name: $service, service: $service, method: $method," \
			"path: $path, rank: $rank, rate_per_s: $rate," \
			"deadline_ms: 10000, idempotent: $idempotent}"
	done
} >"$FOLDER/load.yaml"
"$BUILD/tools/bw-load-caller" --config="$FOLDER/load.yaml" \
	--result="$FOLDER/result.json" >"$FOLDER/log/load.log" 2>&1 &
load=$!
echo $load >"$FOLDER/pid/load"

address=$(deployment_address "$FOLDER" "$first")
cat <<END

Ten hosts, $(wc -l <"$FOLDER/placements") groups of backend servers and a load caller run for $SECONDS_TO_RUN s.
Inspect the deployment from another terminal:
  $BUILD/src/boragewingctl/boragewingctl --host $address:$DEPLOYMENT_OPERATOR_PORT --token-file $FOLDER/token hosts
  ... services | backends | shifts --follow | dump | sheet show
  curl 'http://$address:$DEPLOYMENT_ENTRY_PORT/v1/lookup?service=$(echo "$kinds" | awk 'NR == 1 { print $1 }')'
  curl http://$address:$DEPLOYMENT_ENTRY_PORT/metrics
Logs: $FOLDER/log

END
while kill -0 $load 2>/dev/null; do
	sleep 5
	echo "--- $(date -u +%H:%M:%S)"
	ctl "$FOLDER" "$first" shifts
	ctl "$FOLDER" "$first" regions
done
echo "--- results of the load caller"
jq '{responses, ranks: (.ranks | map_values({started, outcomes, p50_ms,
	p99_ms}))}' "$FOLDER/result.json"
