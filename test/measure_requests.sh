#!/usr/bin/env bash
# Measures requests and look-ups of the deployment ONCE_USER (kalahari or
# karst-armor); not part of CI. Prints the latency of requests through the
# daemon and of direct requests to a stand-in, and look-up latency and rate of
# one host.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh
N=${N:-3000}
case $ONCE_USER in
kalahari) LOOKUP=certdesk FILING=defectbook BACKENDS=127.21.11 ;;
*) LOOKUP=plan-reader FILING=revision-desk
	BACKENDS=127.${DEPLOYMENT_BACKEND_NET:-22}.11 ;;
esac

# percentiles FILE: prints count, p50, p99 and p999 in milliseconds.
percentiles() {
	sort -n "$1" | awk '{ t[NR] = $1 * 1000 }
		END { printf "n=%d p50=%.3f p99=%.3f p999=%.3f ms\n", NR,
			t[int(NR * .5) + 1], t[int(NR * .99) + 1],
			t[int(NR * .999) + 1] }'
}

# measure_sequential OUT URL [OPTION...]: N requests in sequence on one
# connection.
measure_sequential() {
	local out=$1 url=$2
	shift 2
	curl -s -o /dev/null -w '%{time_total}\n' "$@" \
		"$url?n=[1-$N]" >"$out" 2>/dev/null
}

# measure_keyed OUT HOST: N filings on one connection, each with the key of a
# look-up of its own.
measure_keyed() {
	local out=$1 host=$2 n key
	for n in $(seq "$N"); do
		echo "url = \"$(once_url "$host")/v1/lookup?service=$FILING\""
		echo 'output = "/dev/stdout"'
	done >"$FOLDER/lookups.conf"
	curl -s -K "$FOLDER/lookups.conf" | jq -r .request_key |
		grep "^$host\." >"$FOLDER/keys"
	while read -r key; do
		echo "url = \"$(once_url "$host")/v1/call/$FILING/measured\""
		echo "header = \"Boragewing-Key: $key\""
		echo "data = \"filing\""
		echo 'output = "/dev/null"'
		echo 'write-out = "%{time_total}\n"'
		echo next
	done <"$FOLDER/keys" | sed '$d' >"$FOLDER/calls.conf"
	curl -s -K "$FOLDER/calls.conf" >"$out"
}

once_begin --service-time=fixed --service-ms=2
host=$FIRST
direct="http://$BACKENDS.1:$DEPLOYMENT_BACKEND_PORT/items"
measure_sequential "$FOLDER/direct" "$direct"
measure_sequential "$FOLDER/through" "$(once_url $host)/v1/call/$LOOKUP/items"
measure_sequential "$FOLDER/direct2" "http://$BACKENDS.2:$DEPLOYMENT_BACKEND_PORT/f" -d x
measure_keyed "$FOLDER/keyed" $host
echo "direct GET:      $(percentiles "$FOLDER/direct")"
echo "through GET:     $(percentiles "$FOLDER/through")"
echo "direct POST:     $(percentiles "$FOLDER/direct2")"
echo "through, keyed:  $(percentiles "$FOLDER/keyed")"
# Look-up rate: 4 connections, each sends the next request after the answer.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$(cat "$FOLDER/pid/$host")/stat"; }
for n in $(seq 20000); do
	echo "url = \"$(once_url $host)/v1/lookup?service=$LOOKUP\""
	echo 'output = "/dev/null"'
	echo 'write-out = "%{time_total}\n"'
done >"$FOLDER/rate.conf"
before=$(cpu_ticks)
begin=$(date +%s%N)
for n in 1 2 3 4; do
	curl -s --no-progress-meter -K "$FOLDER/rate.conf" \
		>"$FOLDER/rate.$n" 2>/dev/null &
	pids="${pids:-} $!"
done
# shellcheck disable=SC2086
wait $pids
elapsed_ns=$(($(date +%s%N) - begin))
echo "look-ups: $(cat "$FOLDER"/rate.? >"$FOLDER/rates"; percentiles "$FOLDER/rates")"
echo "look-up rate: $((80000 * 1000000000 / elapsed_ns)) /s with 4 connections," \
	"$(($(cpu_ticks) - before)) CPU ticks of 10 ms for 80,000"
grep -E 'VmRSS|VmHWM' "/proc/$(cat "$FOLDER/pid/$host")/status" | tr '\n' ' '
echo
