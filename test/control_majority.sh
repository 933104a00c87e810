#!/usr/bin/env bash
# Loss of the majority of control hosts, and a control host that is isolated
# for 20 seconds by SIGSTOP. Guards against an acceptance without a majority,
# look-ups that fail or are stale without a mark, answers from stale state, and
# a returning host that ends the leader's term.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/control.sh

lookup_field() {
	curl -s --max-time 5 "http://$(deployment_address "$FOLDER" \
		"$1"):$DEPLOYMENT_ENTRY_PORT/v1/lookup?service=plan-reader" |
		jq -r ".$2"
}

# lookups_stale true|false HOST...
lookups_stale() {
	local expected=$1 host
	shift
	for host; do
		[ "$(lookup_field "$host" stale)" = "$expected" ] || return 1
	done
}

lookups_answered() {
	local host
	for host; do
		[ "$(lookup_field "$host" 'hosts | length > 0')" = true ] ||
			return 1
	done
}

control_begin
first=$(sheet_make 1)
check_equal "a sheet is accepted" accepted \
	"$(submit_until_known "$LEADER" "$first" first | cut -d ' ' -f 1)"
check "it is in force on every host" \
	wait_until 60 all_have_sheet "$first" $HOSTS
deployment_start_backends "$FOLDER" $CONTROL_USER --service-ms=2
check "look-ups are answered and not stale" \
	wait_until 60 lookups_stale false $HOSTS
check "look-ups name hosts" wait_until 60 lookups_answered $HOSTS

# Loss of the majority.
lost_hosts=$(echo "$CONTROLS" | head -3)
remaining_hosts=$(echo "$HOSTS" | grep -vxF "$lost_hosts")
deployment_kill "$FOLDER" $lost_hosts
check "look-ups at the remaining hosts are marked stale" \
	wait_until 60 lookups_stale true $remaining_hosts
check "look-ups at the remaining hosts are answered" \
	lookups_answered $remaining_hosts
second=$(sheet_make 2)
# The queries run in parallel, as each lasts until its timeout of 8 s.
query_accepted() {
	local code=0
	ctl "$FOLDER" "$1" sheet accepted >/dev/null 2>&1 || code=$?
	echo $code >"$FOLDER/answers/code-$1"
}
query_pids=
for host in $(echo "$remaining_hosts" | head -3); do
	submit "$host" "$second" second >"$FOLDER/answers/$host" &
	query_pids="$query_pids $!"
	query_accepted "$host" &
	query_pids="$query_pids $!"
done
wait $query_pids
for host in $(echo "$remaining_hosts" | head -3); do
	check_equal "the outcome of a submission at $host is unknown" unknown \
		"$(cat "$FOLDER/answers/$host")"
	check_equal "$host does not report an accepted sheet" 3 \
		"$(cat "$FOLDER/answers/code-$host")"
done
check "no host has the sheet in force" revision_in_force_on 1 $remaining_hosts
deployment_start "$FOLDER" $lost_hosts
check "a leader is elected" wait_until 60 leader_known
answer=$(submit_until_known "$(pick 0 $remaining_hosts)" "$second" second)
check_equal "the submission is accepted once a majority is back" accepted \
	"${answer%% *}"
check "it is in force on every host" \
	wait_until 60 all_have_sheet "$second" $HOSTS
check "look-ups are not stale" wait_until 60 lookups_stale false $HOSTS

# Isolates a follower, then the leader.
leader_known
for isolated in "$(echo "$CONTROLS" | grep -vx "$LEADER" | head -1)" \
	"$LEADER"; do
	leader_known
	before=$LEADER
	term=$(replica_field "$before" term)
	revision=$(($(accepted_sheet_field) + 1))
	deployment_signal STOP "$FOLDER" "$isolated"
	others=$(echo "$HOSTS" | grep -vx "$isolated")
	stopped_at=$SECONDS
	answer=$(submit_until_known "$(echo "$others" | tail -1)" \
		"$(sheet_make $revision)" "isolated-$revision")
	check_equal "a sheet is accepted while $isolated is isolated" accepted \
		"${answer%% *}"
	check "it is in force on the others" wait_until 60 \
		all_have_sheet "$FOLDER/sheets/$revision-20" $others
	sleep $((20 - (SECONDS - stopped_at) > 0 ? \
		20 - (SECONDS - stopped_at) : 0))
	HOSTS=$others leader_known
	during=$LEADER
	term_during=$(replica_field "$during" term)
	# The request waits in the socket of the stopped process.
	operator_get "$isolated" /v1/accepted >"$FOLDER/stale_answer" &
	query_pid=$!
	sleep 0.2
	deployment_signal CONT "$FOLDER" "$isolated"
	wait $query_pid
	check_equal "it does not answer from stale state" $revision \
		"$(jq ".revision // $revision" "$FOLDER/stale_answer")"
	check "it catches up" wait_until 60 \
		all_have_sheet "$FOLDER/sheets/$revision-20" "$isolated"
	# Longer than several election timeouts of at most 1 s.
	sleep 5
	check_equal "the leader is the same after the host returned" \
		"$during" "$(accepted_sheet_field leader)"
	check_equal "its term is the same" "$term_during" \
		"$(replica_field "$during" term)"
	[ "$isolated" = "$before" ] ||
		check_equal "its term began before the isolation" "$term" \
			"$term_during"
	check_equal "the returned host follows in that term" \
		"follower $term_during" "$(replica_field "$isolated" role) $(
			replica_field "$isolated" term)"
done
echo "$CHECKS passed, 0 failed"
