#!/usr/bin/env bash
# A control host loses its data folder and rejoins the group with an empty one;
# as soon as it is a voter again, another control host is lost. Guards against
# the loss of accepted sheets, and against an empty replica that counts towards
# a majority.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
ROUNDS=${ROUNDS:-3}

# member_field HOST FIELD: prints a field of the member as the leader has it.
member_field() {
	replica_field "$LEADER" "members[] | select(.host == \"$1\") | .$2"
}

is_voter() {
	leader_known && [ "$(member_field "$1" kind)" = voter ] &&
		[ "$(member_field "$1" caught_up)" = true ]
}

lose_disk() {
	deployment_kill "$FOLDER" "$1"
	rm -rf "$FOLDER/data/$1"
	mkdir "$FOLDER/data/$1"
}

submit_revisions() {
	local revision
	for revision in $(seq "$1" "$2"); do
		submit_until_known "$(pick "$revision" $ENTRIES)" \
			"$(sheet_make "$revision")" "disk-$revision" |
			cut -d ' ' -f 1
	done | grep -c accepted
}

control_begin
check_equal "twenty sheets are accepted" 20 "$(submit_revisions 1 20)"
newest=20
for round in $(seq "$ROUNDS"); do
	leader_known
	case $round in
	1) emptied=$LEADER ;;
	*) emptied=$(pick "$round" $CONTROLS) ;;
	esac
	lose_disk "$emptied"
	deployment_start "$FOLDER" "$emptied"
	check "$emptied is a voter again after the loss of its disk" \
		wait_until 60 is_voter "$emptied"
	lost=$(echo "$CONTROLS" | grep -vx "$emptied" | head -1)
	[ "$LEADER" = "$emptied" ] || lost=$LEADER
	lose_disk "$lost"
	check "a leader is elected without $lost" wait_until 60 leader_known
	check_equal "the newest sheet is still accepted" $newest \
		"$(accepted_sheet_field)"
	check_equal "a repeated submission gets its first outcome" accepted \
		"$(submit_until_known "$emptied" "$FOLDER/sheets/1-20" disk-1 |
			cut -d ' ' -f 1)"
	check_equal "five more sheets are accepted" 5 \
		"$(submit_revisions $((newest + 1)) $((newest + 5)))"
	newest=$((newest + 5))
	# The lost host restarts with an empty folder for the next round.
	deployment_start "$FOLDER" "$lost"
	check "$lost is a voter again" wait_until 60 is_voter "$lost"
done

# Permanent loss: the group without the lost host tolerates one more loss.
leader_known
gone=$(echo "$CONTROLS" | grep -vx "$LEADER" | tail -1)
lose_disk "$gone"
removed() {
	ctl "$FOLDER" "$(pick 0 $ENTRIES)" group remove "$gone"
	[ -z "$(member_field "$gone" kind)" ]
}
check "the lost host is removed from the group" wait_until 60 removed
leader_known
deployment_kill "$FOLDER" "$LEADER"
check "a leader is elected after another loss" wait_until 60 leader_known
check_equal "nothing accepted is lost" $newest "$(accepted_sheet_field)"
check "the newest sheet is in force on the remaining hosts" \
	wait_until 60 all_have_sheet "$FOLDER/sheets/$newest-20" \
	$(ls "$FOLDER/pid")
echo "$CHECKS passed, 0 failed"
