#!/usr/bin/env bash
# All hosts are restarted after 500 revisions of the sheet, the first of them
# large, so that control hosts start from a snapshot far behind the log. Guards
# against a restarted control host that puts the outdated sheet of its snapshot
# in force, and against lost revisions. The restart time is printed and not
# checked.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
REVISIONS=${REVISIONS:-500}
LARGE_COUNT=10
LARGE_BYTES=600000

# Pads a sheet with comments.
sheet_make_large() {
	local file
	file=$(sheet_make "$1")
	head -c $LARGE_BYTES /dev/zero | tr '\0' 'x' |
		fold -w 70 | sed 's/^/# /' >>"$file"
	echo "$file"
}

submit_revisions() {
	local revision file
	for revision in $(seq "$REVISIONS"); do
		if [ "$revision" -le $LARGE_COUNT ]; then
			file=$(sheet_make_large "$revision")
		else
			file=$(sheet_make "$revision")
		fi
		submit_until_known "$(pick "$revision" $CONTROLS)" "$file" \
			"restart-$revision"
	done
}

snapshots_written() {
	local host
	for host in $CONTROLS; do
		[ -f "$FOLDER/data/$host/snapshot" ] || return 1
	done
}

control_begin
check_equal "all revisions are accepted" "$REVISIONS" \
	"$(submit_revisions | grep -c ^accepted)"
last=$FOLDER/sheets/$REVISIONS-20
check "the last one is in force on every host" \
	wait_until 60 all_have_sheet "$last" $HOSTS
check "every control host has written a snapshot" \
	wait_until 60 snapshots_written

control_poll_begin
for host in $CONTROLS; do
	deployment_kill "$FOLDER" "$host"
	deployment_start "$FOLDER" "$host"
	check "$host has the last revision again" \
		wait_until 60 all_have_sheet "$last" "$host"
done
check "a leader is elected" wait_until 60 leader_known
for round in 1 2; do
	deployment_kill "$FOLDER" $HOSTS
	begin_ms=$(date +%s%3N)
	deployment_start "$FOLDER" $HOSTS
	check "the last revision is in force after restart $round of all" \
		wait_until 60 revision_in_force_on "$REVISIONS" $HOSTS
	echo "# restart of all, until in force everywhere:" \
		"$(($(date +%s%3N) - begin_ms)) ms"
done
check "every host has its text" all_have_sheet "$last" $HOSTS
check_equal "a repeated submission gets its first outcome" "accepted 1" \
	"$(submit_until_known "$(pick 2 $HOSTS)" "$FOLDER/sheets/1-20" restart-1 |
		cut -d ' ' -f 1,2)"
control_poll_end
check "all hosts were polled throughout" polled_enough 200
check_equal "no host ever showed a lower revision" "" "$(polled_regressions)"

# Without a majority, a control host has no newer state than its snapshot.
deployment_kill "$FOLDER" $HOSTS
alone=$(pick 0 $CONTROLS)
deployment_start "$FOLDER" "$alone"
check "a control host starts alone" wait_until 60 operator_get "$alone" \
	/v1/status
sleep 4
check_equal "it puts no outdated sheet in force" 0 "$(status_field "$alone" revision)"
deployment_start "$FOLDER" $(echo "$HOSTS" | grep -v "^$alone\$")
check "the last revision is in force once a majority is back" \
	wait_until 60 revision_in_force_on "$REVISIONS" $HOSTS
echo "$CHECKS passed, 0 failed"
