#!/usr/bin/env bash
# A file size limit makes the log writes of one control host fail, as on a full
# disk. Guards against a daemon that exits, a replica that still acknowledges
# entries, a failure that affects the other hosts, and a replica that is lost
# until its restart.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
LIMIT_KB=64

# The limit applies to every file that the process writes; its event log stays
# far below it.
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
		submit_until_known "$(pick "$revision" $ENTRIES)" \
			"$(sheet_make "$revision")" "full-$revision" |
			cut -d ' ' -f 1
	done | grep -c accepted
}

storage_failed() {
	grep -q '"event":"storage_failed"' "$FOLDER/log/$1.log"
}

# run_limited HOST REVISION: the host reports the failure, and the others
# accept sheets from REVISION on.
run_limited() {
	local limited=$1 first_revision=$2 index
	deployment_kill "$FOLDER" "$limited"
	start_limited "$limited"
	check "a leader is elected" wait_until 60 leader_known
	check_equal "sheets are accepted beyond the limit of $limited" 40 \
		"$(submit_revisions "$first_revision" $((first_revision + 39)))"
	check "$limited reports the failure" wait_until 30 \
		storage_failed "$limited"
	check "its process is running" kill -0 "$(cat "$FOLDER/pid/$limited")"
	replica_failed() {
		[ "$(replica_field "$limited" role)" = failed ]
	}
	check "its replica has stopped" wait_until 30 replica_failed
	check "a leader is known" wait_until 60 leader_known
	check_equal "another host leads" 1 "$([ "$LEADER" != "$limited" ] &&
		echo 1)"
	match_index() {
		replica_field "$LEADER" \
			"members[] | select(.host == \"$limited\") | .match_index"
	}
	index=$(match_index)
	check_equal "five more sheets are accepted" 5 \
		"$(submit_revisions $((first_revision + 40)) \
			$((first_revision + 44)))"
	check_equal "it acknowledges no further entries" "$index" \
		"$(match_index)"
	check "the newest sheet is in force on every host" wait_until 60 \
		all_have_sheet "$FOLDER/sheets/$((first_revision + 44))-20" $HOSTS
	check "its replica stops again while there is no space" wait_until 30 replica_failed
	prlimit --pid "$(cat "$FOLDER/pid/$limited")" --fsize=unlimited:
	caught_up() {
		leader_known && [ "$(replica_field "$LEADER" \
			"members[] | select(.host == \"$limited\") | .caught_up")" = true ]
	}
	check "it catches up with space, without a restart" \
		wait_until 60 caught_up
	check_equal "its replica follows" follower \
		"$(replica_field "$limited" role)"
}

control_begin
run_limited "$(echo "$CONTROLS" | grep -vx "$LEADER" | head -1)" 1
check_equal "nothing accepted is lost" 45 "$(accepted_sheet_field)"
echo "$CHECKS passed, 0 failed"
