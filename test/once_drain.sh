#!/usr/bin/env bash
# Backend servers drain under load: by SIGTERM to their process, and by a sheet
# revision. Guards against new requests on a draining server later than 5 s
# after the drain began, and against requests that a drain aborts.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh
BOUND_MS=5000

# last_start LEDGER [BACKEND]: prints the wall clock time at which the last run
# started, in ms.
last_start() {
	jq -s "map(select(.event == \"start\" and
		(\"${2:-}\" == \"\" or .backend == \"${2:-}\"))) |
		map(.wall_ms) | max // 0" "$FOLDER/ledger/$1"
}

# check_drained NAME DRAIN_MS LAST_START_MS LEDGER: compares the last start of a
# run with the start of the drain.
check_drained() {
	local name=$1 drain_ms=$2 last_start_ms=$3
	echo "# $name: last new request $((last_start_ms - drain_ms)) ms after the drain"
	check "$name: ran requests before the drain" [ "$(jq -s "
		map(select(.event == \"start\" and .request_id != \"\" and
			.wall_ms < $drain_ms)) | length" \
		"$FOLDER/ledger/$4")" -gt 0 ]
	check "$name: no new request after 5 s" \
		[ $((last_start_ms - drain_ms)) -le $BOUND_MS ]
}

once_begin --drain-ms=8000
once_default_load 50
once_load_start
sleep 3
term_ms=$(date +%s%3N)
deployment_signal TERM "$FOLDER" backend-certdesk-khomas-a
deployment_signal TERM "$FOLDER" backend-defectbook-erongo-b
check "the processes exit by themselves" \
	deployment_wait_end "$FOLDER" backend-certdesk-khomas-a \
	backend-defectbook-erongo-b
start=$(date -u -d '+3 seconds' +%Y-%m-%dT%H:%M:%SZ)
stop=$(date -u -d '+300 seconds' +%Y-%m-%dT%H:%M:%SZ)
sed "s/^revision: .*/revision: 2/
	s/^drains: .*/drains:/" examples/kalahari.yaml >"$FOLDER/drains.yaml"
cat >>"$FOLDER/drains.yaml" <<END
  - {backend_server: certdesk-erongo-a-1, start: $start, stop: $stop}
  - {failure_domain: khomas-b, service: closurehub, start: $start, stop: $stop}
END
check "the revision with drains is accepted" \
	ctl "$FOLDER" "$FIRST" sheet submit "$FOLDER/drains.yaml"
check "it is in force on all ten hosts" \
	wait_until 30 all_in_force "$FOLDER" 2
sheet_ms=$(date -d "$start" +%s%3N)
now_ms=$(date +%s%3N)
[ "$now_ms" -gt "$sheet_ms" ] && sheet_ms=$now_ms
once_load_wait
once_check_planned
check_drained "certdesk khomas-a, SIGTERM" "$term_ms" \
	"$(last_start certdesk-khomas-a)" certdesk-khomas-a
check_drained "defectbook erongo-b, SIGTERM" "$term_ms" \
	"$(last_start defectbook-erongo-b)" defectbook-erongo-b
check_drained "certdesk-erongo-a-1, sheet" "$sheet_ms" \
	"$(last_start certdesk-erongo-a certdesk-erongo-a-1)" \
	certdesk-erongo-a
check_drained "closurehub khomas-b, sheet" "$sheet_ms" \
	"$(last_start closurehub-khomas-b)" closurehub-khomas-b
starts_after_drain() {
	jq -s "map(select(.event == \"start\" and .wall_ms > $sheet_ms)) |
		length" "$FOLDER/ledger/$1"
}
check "the other servers of the domain still serve" \
	[ "$(starts_after_drain certdesk-erongo-a)" -gt 0 ]
# Look-ups may be hedged; the slower attempt is cancelled.
check_equal "no run of a non-idempotent request is aborted" 0 \
	"$(cat "$FOLDER"/ledger/* | jq -c 'select(.event == "end" and
		.method == "POST" and .result != "ran")' | wc -l)"
echo "$CHECKS passed, 0 failed"
