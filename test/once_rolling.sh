#!/usr/bin/env bash
# Rolling restart of all ten hosts under load. Guards against requests that a
# planned stop aborts, loses, or leaves with an unknown outcome.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh

once_begin
url=$(once_url "$FIRST")
key=$(curl -s "$url/v1/lookup?service=closurehub" | jq -r .request_key)
check_equal "a request before the restart is served" 200 "$(http_status \
	-d order -H "Boragewing-Key: $key" "$url/v1/call/closurehub/old")"
unused=$(curl -s "$url/v1/lookup?service=closurehub" | jq -r .request_key)
once_default_load 85
once_load_start
sleep 2
for name in $(deployment_names "$FOLDER"); do
	deployment_stop "$FOLDER" "$name"
	deployment_start "$FOLDER" "$name"
	check "$name has the sheet in force again" \
		wait_until 20 revision_in_force "$FOLDER" "$name" 1
done
date +"# restarts done %T"
# A host that has just started has no members of other regions yet.
resent() {
	[ "$(http_status -d order -H "Boragewing-Key: $key" \
		"$(once_url "$1")/v1/call/closurehub/old")" = 200 ]
}
for name in $(deployment_names "$FOLDER"); do
	check "a resend of the old key at $name gets its response" \
		wait_until 15 resent "$name"
done
check_equal "the old request ran once" 1 "$(count_runs "$FOLDER" /old)"
check_equal "an unused key of an ended process is accepted" 200 \
	"$(http_status -d order -H "Boragewing-Key: $unused" \
		"$(once_url oshana-b-1)/v1/call/closurehub/unused")"
check_equal "the request with the unused key ran once" 1 \
	"$(count_runs "$FOLDER" /unused)"
once_load_wait
once_check_planned
check_equal "no drain timeout" 0 \
	"$(cat "$FOLDER"/log/*.log | grep -c drain_timeout)"
echo "$CHECKS passed, 0 failed"
