#!/usr/bin/env bash
# Measures acceptance and distribution of sheets; prints figures and checks
# none. The deployment is CONTROL_USER (karst-armor or kalahari) on loopback.
# Not part of CI.
# Usage: measure_control.sh [latency|kills|restart|bytes]...
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
SUBMISSIONS=${SUBMISSIONS:-200}
KILLS=${KILLS:-20}
CHANGES=${CHANGES:-10 100 500 2000}
BYTES_S=${BYTES_S:-30}
CHANGES_PER_MINUTE=35

now_ms() { date +%s%3N; }

# Reads one number a line; prints count, p50, p99 and maximum.
percentiles() {
	sort -n | awk '{ v[NR] = $1 } END {
		printf "n=%d p50=%s p99=%s max=%s\n", NR, v[int((NR + 1) / 2)],
			v[int(NR * 0.99 + 0.999)], v[NR] }'
}

# submit_timed REVISION: prints the time of the whole request, in ms.
submit_timed() {
	curl -s -o /dev/null -w '%{time_total}\n' --data-binary \
		"@$(sheet_make "$1")" -H "Boragewing-Submission: m-$1" \
		-H "Authorization: Bearer $(cat "$FOLDER/token")" \
		"$(operator_url "$LEADER" /v1/sheet)" |
		awk '{ print $1 * 1000 }'
}

# The time when a revision is in force is what each host reports
# (since_wall_ms); hosts and this script share one clock.
measure_latency() {
	local revision accepted_ms last host
	for revision in $(seq "$SUBMISSIONS"); do
		submit_timed "$revision" >>"$FOLDER/acceptance"
		accepted_ms=$(now_ms)
		wait_until 60 revision_in_force_on "$revision" $HOSTS
		last=$(for host in $HOSTS; do
			status_field "$host" since_wall_ms
		done | sort -n | tail -1)
		echo $((last - accepted_ms)) >>"$FOLDER/distribution"
	done
	echo "acceptance_ms $(percentiles <"$FOLDER/acceptance")"
	echo "in_force_on_all_ms $(percentiles <"$FOLDER/distribution")"
}

measure_kills() {
	local n killed begin revision
	revision=$(accepted_sheet_field)
	for n in $(seq "$KILLS"); do
		wait_until 60 leader_known
		killed=$LEADER
		revision=$((revision + 1))
		begin=$(now_ms)
		deployment_kill "$FOLDER" "$killed"
		submit_until_known "$(pick "$n" $ENTRIES)" \
			"$(sheet_make $revision)" "k-$revision" >/dev/null
		echo $(($(now_ms) - begin)) >>"$FOLDER/unavailable"
		deployment_start "$FOLDER" "$killed"
		wait_until 60 revision_in_force_on "$revision" "$killed"
	done
	echo "unavailable_ms $(percentiles <"$FOLDER/unavailable")"
}

measure_restart() {
	local revision begin count
	revision=$(accepted_sheet_field)
	for count in $CHANGES; do
		while [ "$revision" -lt "$count" ]; do
			revision=$((revision + 1))
			submit_until_known "$LEADER" "$(sheet_make "$revision")" \
				"r-$revision" >/dev/null
		done
		deployment_kill "$FOLDER" $HOSTS
		begin=$(now_ms)
		deployment_start "$FOLDER" $HOSTS
		wait_until 60 leader_known
		echo "restart_ms changes=$revision leader=$(($(now_ms) - begin))"
		wait_until 60 revision_in_force_on "$revision" $HOSTS
		echo "restart_ms changes=$revision all=$(($(now_ms) - begin))"
	done
}

sent_bytes() {
	local host
	for host in $HOSTS; do
		operator_get "$host" /v1/dump | jq .transport.sent_bytes
	done | awk '{ sum += $1 } END { print sum }'
}

# bytes_during NAME COMMAND...: prints the bytes sent per second, as the mean
# over all hosts.
bytes_during() {
	local name=$1 before begin
	shift
	before=$(sent_bytes) begin=$(now_ms)
	"$@"
	echo "$name sent_bytes_per_s_per_host=$((($(sent_bytes) - before) * \
		100 / ($(now_ms) - begin)))"
}

submit_steadily() {
	local end=$((SECONDS + BYTES_S)) revision
	revision=$(accepted_sheet_field)
	while [ $SECONDS -lt $end ]; do
		revision=$((revision + 1))
		submit_until_known "$LEADER" "$(sheet_make "$revision")" \
			"b-$revision" >/dev/null
		sleep "$(awk "BEGIN { print 60 / $CHANGES_PER_MINUTE }")"
	done
}

measure_bytes() {
	sleep 5
	bytes_during idle sleep "$BYTES_S"
	bytes_during changes_35_per_minute submit_steadily
}

[ $# -gt 0 ] || set -- latency kills restart bytes
for measurement; do
	(
		control_begin >/dev/null
		submit_until_known "$LEADER" "$(sheet_make 1)" begin >/dev/null
		measure_"$measurement"
	)
done
