#!/usr/bin/env bash
# Backend servers answer late, short, with a wrong length, or reset the
# connection. Guards against truncated responses, responses to another request,
# and a second run of a request that may have run.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh

# restart_faulty FAULT DOMAIN: restarts the domain's servers with faults. Half
# of the answers are too long for one buffer and are forwarded as they arrive.
restart_faulty() {
	local fault=$1 domain=$2 service
	for service in certdesk defectbook closurehub; do
		names="$names backend-$service-$domain"
	done
	# shellcheck disable=SC2086
	deployment_stop "$FOLDER" $names
	names=
	start_faulty "$fault" "$domain"
}

start_faulty() {
	local fault=$1 domain=$2 service_number=0 service targets slots
	for service in certdesk defectbook closurehub; do
		service_number=$((service_number + 1))
		targets=$(awk -v s=$service -v d="$domain" \
			'$1 == s && $2 == d { print $3 }' "$FOLDER/all")
		slots=$(awk -v s=$service -v d="$domain" \
			'$1 == s && $2 == d { print $4 }' "$FOLDER/all")
		# shellcheck disable=SC2046
		"$BUILD/tools/bw-standin-backend" --service="$service" \
			--failure-domain="$domain" --address="127.23.1.$service_number" \
			--id-prefix="$service-$domain" \
			--port-base="$DEPLOYMENT_BACKEND_PORT" \
			$(awk -v d="$domain" -v p="$DEPLOYMENT_ENTRY_PORT" \
				'$3 == d { print "--entry=" $4 ":" p }' \
				"$FOLDER/table") \
			--ledger="$FOLDER/ledger/$service-$domain" \
			--count="$targets" --slots="$slots" --service-ms=5 \
			--fault="$fault" --fault-percent=30 --late-ms=1500 \
			--answer-bytes=$((service_number == 1 ? 200000 : 3000)) \
			>>"$FOLDER/log/backend-$service-$domain.log" 2>&1 &
		echo $! >"$FOLDER/pid/backend-$service-$domain"
	done
}

names=
once_begin --drain-ms=1000
cp "$FOLDER/placements" "$FOLDER/all"
once_default_load 60
once_load_start
sleep 2
for fault in late wrong-length reset short-body; do
	restart_faulty $fault khomas-a
	sleep 9
done
once_load_wait
once_check
check "faulty responses were sent" [ "$(cat "$FOLDER"/ledger/*khomas-a |
	jq -c 'select(.event == "end" and .result == "broken")' | wc -l)" \
	-gt 0 ]
echo "$CHECKS passed, 0 failed"
