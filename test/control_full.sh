#!/usr/bin/env bash
# The file size limit of one control host stops the writes of its log, as a
# full disk does. Guards against a daemon that dies of it, a replica that still
# acknowledges, and a failure that stops the others.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
LIMIT_KB=64

# The limit holds for every file that the process writes; its log of events
# stays far below.
start_limited() {
	local soft
	soft=$(ulimit -S -f)
	ulimit -S -f $LIMIT_KB
	deployment_start "$FOLDER" "$1"
	ulimit -S -f "$soft"
}

submit_revisions() {
	local revision
	for revision in $(seq "$1" "$2"); do
		submit_until "$(pick "$revision" $ENTRIES)" \
			"$(sheet_make "$revision")" "full-$revision" |
			cut -d ' ' -f 1
	done | grep -c accepted
}

storage_failed() {
	grep -q '"event":"storage_failed"' "$FOLDER/log/$1.log"
}

# run_limited HOST REVISION: the host reports, the others go on.
run_limited() {
	local limited=$1 from=$2 index
	deployment_kill "$FOLDER" "$limited"
	start_limited "$limited"
	check "a leader is elected" wait_until 60 leader_known
	check_equal "sheets are accepted beyond the limit of $limited" 40 \
		"$(submit_revisions "$from" $((from + 39)))"
	check "$limited reports the failure" wait_until 30 \
		storage_failed "$limited"
	check "its process runs on" kill -0 "$(cat "$FOLDER/pid/$limited")"
	check_equal "its replica has stopped" failed \
		"$(replica_field "$limited" role)"
	check "a leader is known" wait_until 60 leader_known
	check_equal "another host leads" 1 "$([ "$LEADER" != "$limited" ] &&
		echo 1)"
	match() {
		replica_field "$LEADER" \
			"members[] | select(.host == \"$limited\") | .match_index"
	}
	index=$(match)
	check_equal "five more sheets are accepted" 5 \
		"$(submit_revisions $((from + 40)) $((from + 44)))"
	check_equal "it acknowledges nothing more" "$index" "$(match)"
	check "the newest sheet is in force on every host" wait_until 60 \
		all_show "$FOLDER/sheets/$((from + 44))-20" $HOSTS
	deployment_kill "$FOLDER" "$limited"
	deployment_start "$FOLDER" "$limited"
	caught_up() {
		leader_known && [ "$(replica_field "$LEADER" \
			"members[] | select(.host == \"$limited\") | .caught_up")" = true ]
	}
	check "it catches up after a restart with space" \
		wait_until 60 caught_up
}

control_begin
run_limited "$(echo "$CONTROLS" | grep -vx "$LEADER" | head -1)" 1
check_equal "nothing accepted is lost" 45 "$(accepted)"
echo "$CHECKS passed, 0 failed"
