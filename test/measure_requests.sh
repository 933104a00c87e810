#!/usr/bin/env bash
# Measures requests and look-ups of the deployment ONCE_USER (kalahari or
# karst-armor); not part of CI.
# Prints latency added by the daemon against direct calls to a stand-in in the
# same run, look-up latency and rate of one host, and drain times.
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

# times FILE: prints count, p50, p99 and p999 in milliseconds.
times() {
	sort -n "$1" | awk '{ t[NR] = $1 * 1000 }
		END { printf "n=%d p50=%.3f p99=%.3f p999=%.3f ms\n", NR,
			t[int(NR * .5) + 1], t[int(NR * .99) + 1],
			t[int(NR * .999) + 1] }'
}

# repeat OUT URL [OPTION...]: N requests one after the other, one connection.
repeat() {
	local out=$1 url=$2
	shift 2
	curl -s -o /dev/null -w '%{time_total}\n' "$@" \
		"$url?n=[1-$N]" >"$out" 2>/dev/null
}

# keyed OUT URL: N filings with keys of their own look-ups, one connection.
keyed() {
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
repeat "$FOLDER/direct" "$direct"
repeat "$FOLDER/through" "$(once_url $host)/v1/call/$LOOKUP/items"
repeat "$FOLDER/direct2" "http://$BACKENDS.2:$DEPLOYMENT_BACKEND_PORT/f" -d x
keyed "$FOLDER/keyed" $host
echo "direct GET:      $(times "$FOLDER/direct")"
echo "through GET:     $(times "$FOLDER/through")"
echo "direct POST:     $(times "$FOLDER/direct2")"
echo "through, keyed:  $(times "$FOLDER/keyed")"
# Look-up rate: 16 connections, each asks again as soon as it has the answer.
ticks() { awk '{ print $14 + $15 }' "/proc/$(cat "$FOLDER/pid/$host")/stat"; }
for n in $(seq 20000); do
	echo "url = \"$(once_url $host)/v1/lookup?service=$LOOKUP\""
	echo 'output = "/dev/null"'
	echo 'write-out = "%{time_total}\n"'
done >"$FOLDER/rate.conf"
before=$(ticks)
begin=$(date +%s%N)
for n in 1 2 3 4; do
	curl -s --no-progress-meter -K "$FOLDER/rate.conf" \
		>"$FOLDER/rate.$n" 2>/dev/null &
	pids="${pids:-} $!"
done
# shellcheck disable=SC2086
wait $pids
spent=$(($(date +%s%N) - begin))
echo "look-ups: $(cat "$FOLDER"/rate.? >"$FOLDER/rates"; times "$FOLDER/rates")"
echo "look-up rate: $((80000 * 1000000000 / spent)) /s with 4 connections," \
	"$(($(ticks) - before)) CPU ticks of 10 ms for 80,000"
grep -E 'VmRSS|VmHWM' "/proc/$(cat "$FOLDER/pid/$host")/status" | tr '\n' ' '
echo
