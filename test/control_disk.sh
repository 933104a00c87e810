#!/usr/bin/env bash
# A control host loses its data folder and is replaced by itself; right after
# the repair another control host is lost for good. Guards against the loss of
# what was accepted, and against an empty disk that counts for a majority.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
ROUNDS=${ROUNDS:-3}

# member_kind HOST: its kind in the group, as the leader sees it.
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
		submit_until "$(pick "$revision" $ENTRIES)" \
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
	check_equal "the newest sheet is still the accepted one" $newest \
		"$(accepted)"
	check_equal "the first answer is remembered" accepted \
		"$(submit_until "$emptied" "$FOLDER/sheets/1-20" disk-1 |
			cut -d ' ' -f 1)"
	check_equal "five more sheets are accepted" 5 \
		"$(submit_revisions $((newest + 1)) $((newest + 5)))"
	newest=$((newest + 5))
	# The lost host comes back empty for the next round.
	deployment_start "$FOLDER" "$lost"
	check "$lost is a voter again" wait_until 60 is_voter "$lost"
done

# For good: the group is made smaller, then still bears a loss.
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
check_equal "nothing accepted is lost" $newest "$(accepted)"
check "the newest sheet is in force on the hosts that are left" \
	wait_until 60 all_show "$FOLDER/sheets/$newest-20" \
	$(ls "$FOLDER/pid")
echo "$CHECKS passed, 0 failed"
