#!/usr/bin/env bash
# The leader is killed repeatedly during submissions. Guards against the loss
# of a sheet that was answered as accepted, and against a host that shows a
# lower revision than before, for which all hosts are polled continuously.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh
KILLS=${KILLS:-8}
OPERATORS=3

# operator N: submits revisions N, N + 3, ... one after the other.
operator() {
	local revision=$1 answer
	while [ ! -f "$FOLDER/stop" ]; do
		answer=$(submit_until_known "$(pick "$revision" $ENTRIES)" \
			"$(sheet_make "$revision")" "kill-$revision")
		echo "$revision $answer" >>"$FOLDER/answers/$1"
		revision=$((revision + OPERATORS))
	done
}

answered_accepted() {
	cat "$FOLDER/answers"/* | awk '$2 == "accepted" { print $1 }'
}

control_begin
control_poll_begin
operators=
for n in $(seq $OPERATORS); do
	operator "$n" &
	operators="$operators $!"
done
for n in $(seq "$KILLS"); do
	wait_until 60 leader_known || break
	before=$(answered_accepted 2>/dev/null | wc -l)
	killed=$LEADER
	deployment_kill "$FOLDER" "$killed"
	more_accepted() {
		[ "$(answered_accepted | wc -l)" -ge $((before + 10)) ]
	}
	check "submissions are accepted after kill $n" \
		wait_until 60 more_accepted
	deployment_start "$FOLDER" "$killed"
done
touch "$FOLDER/stop"
wait $operators
check "a leader is elected" wait_until 60 leader_known

check_equal "every submission has a known outcome" 0 \
	"$(cat "$FOLDER/answers"/* | grep -c unknown)"
newest=$(answered_accepted | sort -n | tail -1)
check_equal "the newest sheet answered as accepted is the accepted one" \
	"$newest" "$(accepted_sheet_field)"
check "it is in force on every host" \
	wait_until 60 all_have_sheet "$FOLDER/sheets/$newest-20" $HOSTS
check_equal "all answers name the same hash for a revision" "" \
	"$(cat "$FOLDER/answers"/* | awk '{ print $3, $4 }' | sort -u |
		cut -d ' ' -f 1 | uniq -d)"
lost=
for revision in $(answered_accepted); do
	answer=$(submit_until_known "$(pick "$revision" $HOSTS)" \
		"$FOLDER/sheets/$revision-20" "kill-$revision")
	[ "${answer%% *}" = accepted ] || lost="$lost $revision"
done
check_equal "a repeated submission is answered as accepted again" "" "$lost"
control_poll_end
check "all hosts were polled throughout" polled_enough 500
check_equal "no host ever showed a lower revision" "" "$(polled_regressions)"
echo "# $(answered_accepted | wc -l) accepted," \
	"$(wc -l <"$FOLDER/polled") states seen"
echo "$CHECKS passed, 0 failed"
