#!/usr/bin/env bash
# Two operators concurrently submit sheets with the same revision and different
# content at two hosts. Guards against two accepted sheets of one revision,
# hosts that differ, and a resend that gets another answer than the first one,
# also after a change of leader and after a restart of all hosts.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
ROUNDS=${ROUNDS:-40}

# resend_all OFFSET: resends every submission to a host chosen by OFFSET;
# prints those whose answer differs from the first one.
resend_all() {
	local offset=$1 revision n id answer
	for revision in $(seq "$ROUNDS"); do
		for n in 1 2; do
			id=race-$revision-$n
			answer=$(submit_until_known \
				"$(pick $((revision + n * offset)) $HOSTS)" \
				"$(sheet_make "$revision" ${n}0)" $id)
			[ "$answer" = "$(cat "$FOLDER/answers/$id")" ] ||
				echo "$id $answer"
		done
	done
}

control_begin
one_winner=0 same_hash=0
for revision in $(seq "$ROUNDS"); do
	first=$(sheet_make "$revision" 10)
	second=$(sheet_make "$revision" 20)
	submit_until_known "$(pick "$revision" $HOSTS)" "$first" \
		"race-$revision-1" >"$FOLDER/answers/race-$revision-1" &
	one=$!
	submit_until_known "$(pick $((revision * 3 + 1)) $HOSTS)" "$second" \
		"race-$revision-2" >"$FOLDER/answers/race-$revision-2" &
	wait $one $!
	outcomes=$(cat "$FOLDER/answers/race-$revision-"* |
		cut -d ' ' -f 1 | sort)
	[ "$outcomes" = "accepted
conflict" ] && one_winner=$((one_winner + 1))
	[ "$(cat "$FOLDER/answers/race-$revision-"* | cut -d ' ' -f 2,3 |
		sort -u | wc -l)" = 1 ] && same_hash=$((same_hash + 1))
done
check_equal "in each round one sheet is accepted, the other gets a conflict" \
	"$ROUNDS" "$one_winner"
check_equal "the conflict names revision and hash of the accepted sheet" \
	"$ROUNDS" "$same_hash"
winner=$FOLDER/sheets/$ROUNDS-10
grep -q ^accepted "$FOLDER/answers/race-$ROUNDS-1" ||
	winner=$FOLDER/sheets/$ROUNDS-20
check "every host shows the accepted text" \
	wait_until 60 all_have_sheet "$winner" $HOSTS
check_equal "each resend gets its first answer" "" "$(resend_all 1)"

leader_known
killed=$LEADER
deployment_kill "$FOLDER" "$killed"
check "another leader is elected" wait_until 60 leader_known
deployment_start "$FOLDER" "$killed"
check_equal "each resend gets its first answer from the new leader" "" \
	"$(resend_all 3)"

deployment_kill "$FOLDER" $HOSTS
deployment_start "$FOLDER" $HOSTS
check "a leader is elected after the restart of all" \
	wait_until 60 leader_known
check_equal "each resend gets its first answer after the restart" "" \
	"$(resend_all 7)"
check "every host shows the accepted text again" \
	wait_until 60 all_have_sheet "$winner" $HOSTS
check_equal "no conflict between hosts was logged" 0 \
	"$(cat "$FOLDER"/log/*.log | grep -c '"event":"conflict"')"
echo "$CHECKS passed, 0 failed"
