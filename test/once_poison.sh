#!/usr/bin/env bash
# A request that crashes each backend server that runs it is sent repeatedly
# under normal load. Guards against an outage caused by a single caller, and
# against the refusal of other requests.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh
# The crash limit of the sheet is 2; runs in flight at that moment add to it,
# and so do the hosts of other domains, which learn of the crashes a second
# later.
CRASHES_MAX=${CRASHES_MAX:-14}

once_begin --crash-marker=poison-pill --restart-ms=500
once_default_load 30
once_load_start
sleep 3
refused=0 answers=""
for n in $(seq 60); do
	for host in khomas-a-1 erongo-b-2 oshana-a-1; do
		url=$(once_url "$host")
		key=$(curl -s "$url/v1/lookup?service=defectbook" |
			jq -r .request_key)
		status=$(http_status -d "poison-pill" -H "Request-Id: poison" \
			-H "Boragewing-Key: $key" \
			"$url/v1/call/defectbook/poison")
		answers="$answers $status"
		[ "$status" = 422 ] && refused=$((refused + 1))
	done
	sleep 0.2
done
echo "# responses to the poison request: $(echo "$answers" | tr ' ' '\n' |
	sort | uniq -c | tr '\n' ';')"
once_load_wait
crashes=$(count_runs "$FOLDER" /poison)
echo "# crashes: $crashes of 180 requests, refused $refused"
check "the poison request ran at first" [ "$crashes" -ge 1 ]
check "it is refused after a few crashes" [ "$crashes" -le "$CRASHES_MAX" ]
check "most of its resends are refused" [ "$refused" -ge 140 ]
once_check
check "other requests are served" [ $((100 * $(once_count ran))) -ge \
	$((97 * $(once_count requests))) ]
echo "$CHECKS passed, 0 failed"
