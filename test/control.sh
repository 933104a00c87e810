# shellcheck shell=bash
# Shell functions of the tests of sheet acceptance and of control hosts.
# Sourced after deployment.sh and check.sh by test/control_*.sh and
# test/measure_control.sh; the deployment is karst-armor.

CONTROL_USER=${CONTROL_USER:-karst-armor}

# control_begin: starts all ten hosts and waits for a leader.
control_begin() {
	FOLDER=$(mktemp -d)
	trap 'control_end' EXIT
	deployment_make "$FOLDER" $CONTROL_USER
	HOSTS=$(deployment_names "$FOLDER")
	CONTROLS=$(awk '$5 == "true" { print $1 }' "$FOLDER/table")
	ENTRIES=$(awk '$5 == "false" { print $1 }' "$FOLDER/table")
	mkdir -p "$FOLDER/sheets" "$FOLDER/answers"
	# shellcheck disable=SC2086
	deployment_start "$FOLDER" $HOSTS
	check "all hosts answer" wait_until 60 all_hosts_answer
	check "a leader is elected" wait_until 60 leader_known
}

# Every host serves its operator interface. The group is created only once all
# control hosts are up.
all_hosts_answer() {
	local host
	for host in $HOSTS; do
		[ "$(status_field "$host" host)" = "$host" ] || return 1
	done
}

# Kills the remaining processes; path.sh tests the graceful stop. SIGKILL also
# ends a process that is stopped by SIGSTOP.
control_end() {
	control_poll_end
	# shellcheck disable=SC2046
	deployment_kill "$FOLDER" $(ls "$FOLDER/pid")
	rm -rf "$FOLDER"
}

# Prints the n-th of its further arguments, counted from 0, modulo the count.
pick() {
	local n=$1
	shift
	shift $((n % $#))
	echo "$1"
}

operator_url() {
	echo "http://$(deployment_address "$FOLDER" "$1"):$DEPLOYMENT_OPERATOR_PORT$2"
}

# operator_get HOST PATH
operator_get() {
	curl -s --max-time 12 -H "Authorization: Bearer $(cat "$FOLDER/token")" \
		"$(operator_url "$1" "$2")"
}

# sheet_make REVISION [CAP_PERCENT]: writes a sheet and prints its path.
sheet_make() {
	local file=$FOLDER/sheets/$1-${2:-20}
	sed "s/^revision: .*/revision: $1/
		s/cap_percent: 20/cap_percent: ${2:-20}/" \
		"examples/$CONTROL_USER.yaml" >"$file"
	echo "$file"
}

# submit HOST FILE ID: sends a submission once and prints "outcome revision
# hash", or "unknown" when the host or a majority of the control hosts cannot
# be reached.
submit() {
	local answer
	answer=$(curl -s --max-time 12 --data-binary "@$2" \
		-H "Authorization: Bearer $(cat "$FOLDER/token")" \
		-H "Boragewing-Submission: $3" \
		"$(operator_url "$1" /v1/sheet)" |
		jq -r 'if .outcome then "\(.outcome) \(.revision_in_force) \(.hash)" else "unknown" end')
	echo "${answer:-unknown}"
}

# submit_until_known HOST FILE ID: repeats the submission until its outcome is
# known, for at most two minutes.
submit_until_known() {
	local answer=unknown end=$((SECONDS + 120))
	while [ "$answer" = unknown ] && [ $SECONDS -lt $end ]; do
		answer=$(submit "$@")
		[ "$answer" = unknown ] && sleep 0.2
	done
	echo "$answer"
}

# accepted_sheet_field [FIELD]: prints the revision (or another field) of the
# accepted sheet as the leader reports it, queried through any host that answers.
accepted_sheet_field() {
	local host value
	for host in $HOSTS; do
		[ -f "$FOLDER/pid/$host" ] || continue
		value=$(operator_get "$host" /v1/accepted |
			jq -r ".${1:-revision} // empty")
		[ -n "$value" ] && echo "$value" && return
	done
	return 1
}

leader_known() {
	LEADER=$(accepted_sheet_field leader) && [ -n "$LEADER" ]
}

status_field() {
	operator_get "$1" /v1/status | jq -r ".$2"
}

# replica_field HOST FIELD: prints a field of the replica in the host's state
# dump.
replica_field() {
	operator_get "$1" /v1/dump | jq -r ".control.replica.replica.$2"
}

# all_have_sheet FILE HOST...: the text of the file is in force on the hosts.
all_have_sheet() {
	local file=$1 host
	shift
	for host; do
		operator_get "$host" /v1/sheet | cmp -s - "$file" || return 1
	done
}

# revision_in_force_on REVISION HOST...
revision_in_force_on() {
	local revision=$1 host
	shift
	for host; do
		[ "$(status_field "$host" revision)" = "$revision" ] || return 1
	done
}

# control_poll_begin: polls all hosts continuously, with one curl process per
# round, and records "host uptime revision". The lines of a host are in the
# order of its answers.
control_poll_begin() {
	local host urls
	urls=$(for host in $HOSTS; do operator_url "$host" /v1/status; done)
	: >"$FOLDER/polled"
	(
		trap 'exit 0' TERM
		while :; do
			# shellcheck disable=SC2086
			curl -s --max-time 2 -w '\n' -H \
				"Authorization: Bearer $(cat "$FOLDER/token")" \
				$urls | jq -r \
				'"\(.host) \(.uptime_ms) \(.revision)"' \
				>>"$FOLDER/polled" 2>/dev/null
		done
	) &
	POLL_PID=$!
}

control_poll_end() {
	[ -n "${POLL_PID:-}" ] || return 0
	kill "$POLL_PID" 2>/dev/null
	wait "$POLL_PID" 2>/dev/null
	POLL_PID=
}

# polled_enough COUNT: at least COUNT answers are recorded, from all ten hosts.
polled_enough() {
	[ "$(wc -l <"$FOLDER/polled")" -ge "$1" ] &&
		[ "$(cut -d ' ' -f 1 "$FOLDER/polled" | sort -u | wc -l)" = 10 ]
}

# Prints each answer with a lower revision than the host has shown before. A
# process without a sheet shows 0; only that is allowed, after a restart.
polled_regressions() {
	awk '$2 + 0 < uptime[$1] { restarted[$1] = 1 }
		$3 > 0 { restarted[$1] = 0 }
		$3 + 0 < seen[$1] && !($3 == 0 && restarted[$1])
		$3 + 0 > seen[$1] { seen[$1] = $3 + 0 }
		{ uptime[$1] = $2 + 0 }' "$FOLDER/polled"
}
