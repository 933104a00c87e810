# Shell functions of the once_*.sh tests: a deployment of kalahari at its full
# size under load, and the comparison of the outcomes that callers received
# with the ledgers of the backend servers. Sourced after deployment.sh and
# check.sh.

ONCE_SEED=${ONCE_SEED:-1}
ONCE_USER=${ONCE_USER:-kalahari}
case $ONCE_USER in
kalahari) ONCE_SERVICES="certdesk defectbook closurehub" ;;
*) ONCE_SERVICES="plan-reader revision-desk rescue-issuer" ;;
esac

# once_begin [OPTION...]: starts ten hosts, the sheet in $ONCE_SHEET and all
# stand-in backend servers with the given options, and waits until they serve.
once_begin() {
	FOLDER=$(mktemp -d)
	trap 'once_end' EXIT
	ONCE_SHEET=${ONCE_SHEET:-examples/$ONCE_USER.yaml}
	deployment_make "$FOLDER" "$ONCE_USER"
	[ "$DEPLOYMENT_PROXY_OFFSET" = 0 ] || deployment_proxy_start "$FOLDER"
	deployment_start "$FOLDER" $(deployment_names "$FOLDER")
	once_prepare "$@"
}

once_prepare() {
	FIRST=$(awk 'NR == 1 { print $1 }' "$FOLDER/table")
	check "a leader is elected" wait_until 30 \
		ctl "$FOLDER" "$FIRST" sheet accepted
	check "the sheet is accepted" \
		ctl "$FOLDER" "$FIRST" sheet submit "$ONCE_SHEET"
	check "it is in force on all ten hosts" \
		wait_until 30 all_in_force "$FOLDER" 1
	deployment_start_backends "$FOLDER" "$ONCE_USER" --service-ms=5 "$@"
	check "every domain serves every service" wait_until 30 once_all_serve
}

once_end() {
	[ -n "${LOAD_PID:-}" ] && kill "$LOAD_PID" 2>/dev/null
	deployment_stop_all "$FOLDER"
	if [ -n "${ONCE_KEEP:-}" ]; then
		echo "# kept: $FOLDER"
	else
		rm -rf "$FOLDER"
	fi
}

once_url() {
	echo "http://$(deployment_address "$FOLDER" "$1"):$DEPLOYMENT_ENTRY_PORT"
}

once_all_serve() {
	local name service
	for name in $(deployment_names "$FOLDER"); do
		for service in $ONCE_SERVICES; do
			[ "$(http_status \
				"$(once_url "$name")/v1/call/$service/warm")" \
				= 200 ] || return 1
		done
	done
}

# Prints a comma-separated list of the addresses of callers of three regions.
# Each caller caches a look-up answer for its time to live, so that reaching all
# domains needs several callers.
once_sources() {
	local net n
	for net in 31 32 33; do
		for n in 1 2 3 4 5 6; do
			printf '%s127.%s.0.%s' "$([ $net$n = 311 ] || echo ', ')" \
				$net $n
		done
	done
}

# once_load_config SECONDS [KIND_LINE...]: writes the configuration of the
# load, with callers of three regions and look-ups at all hosts of the table.
once_load_config() {
	local seconds=$1 kind
	shift
	{
		echo "seed: $ONCE_SEED"
		echo "duration_s: $seconds"
		echo "attempts: ${ONCE_ATTEMPTS:-7}"
		echo "backoff_ms: 100"
		echo "renew_keys: true"
		echo "entry_hosts:"
		awk -v p=$((DEPLOYMENT_ENTRY_PORT + DEPLOYMENT_PROXY_OFFSET)) \
			'{ print "  - {address: " $4 ", port: " p "}" }' \
			"${ONCE_TABLE:-$FOLDER/table}"
		echo "sources: [${ONCE_SOURCES:-$(once_sources)}]"
		echo "kinds:"
		for kind; do echo "  - {$kind}"; done
	} >"$FOLDER/load.yaml"
}

# The default mix: idempotent look-ups, filings and closure orders with keys
# from look-ups, and filings with keys that the callers choose.
once_default_load() {
	local seconds=$1
	shift
	once_load_config "$seconds" \
		"name: certificate, service: certdesk, method: GET, path: /items/1, rank: lookup, rate_per_s: 60, deadline_ms: 15000, idempotent: true" \
		"name: filing, service: defectbook, method: POST, path: /filings, rank: filing, rate_per_s: 40, body_bytes: 600, deadline_ms: 15000, idempotent: false" \
		"name: order, service: closurehub, method: POST, path: /orders, rank: urgent, rate_per_s: 20, body_bytes: 300, deadline_ms: 15000, idempotent: false" \
		"name: own-filing, service: defectbook, method: POST, path: /own, rank: filing, rate_per_s: 10, body_bytes: 600, deadline_ms: 15000, idempotent: false, own_key: true" \
		"$@"
}

once_load_start() {
	"$BUILD/tools/bw-load-caller" --config="$FOLDER/load.yaml" \
		--result="$FOLDER/result.json" \
		--requests="$FOLDER/requests.jsonl" 2>"$FOLDER/log/load.err" &
	LOAD_PID=$!
}

once_load_wait() {
	local code=0
	wait "$LOAD_PID" || code=$?
	LOAD_PID=
	check_equal "the load caller exits with 0" 0 "$code"
}

# once_compare: joins requests and ledgers into $FOLDER/joined and writes the
# counts to $FOLDER/counts.
once_compare() {
	cat "$FOLDER"/ledger/* | jq -c 'select(.event == "start")' |
		jq -s -c 'group_by(.request_id) |
			map({(.[0].request_id): length}) | add // {}' \
		>"$FOLDER/runs.json"
	jq -c --slurpfile runs "$FOLDER/runs.json" \
		'. + {runs: ($runs[0][.id] // 0)}' \
		"$FOLDER/requests.jsonl" >"$FOLDER/joined"
	jq -s '{
		requests: length,
		ran: map(select(.outcome == "ran")) | length,
		not_run: map(select(.outcome == "not_run")) | length,
		may_have_run: map(select(.outcome == "may_have_run")) | length,
		duplicate_runs: map(select((.idempotent | not) and .runs > 1)) |
			length,
		false_not_run: map(select((.outcome == "not_run" or
			.outcome == "unreachable") and .runs > 0)) | length,
		false_ran: map(select(.outcome == "ran" and .runs == 0)) |
			length,
		damaged: map(select(.check != "whole")) | length,
		lost: map(select(.outcome == "timeout" or
			.outcome == "broken" or .outcome == "unreachable" or
			.outcome == "no_outcome")) | length,
		resent: map(select(.attempts > 1)) | length,
		reasons: (map(select(.reason != "")) | group_by(.reason) |
			map({(.[0].reason): length}) | add // {}),
		unanswered: (map(select(.outcome != "ran")) |
			group_by([.kind, .outcome, .reason]) | map({kind:
			.[0].kind, outcome: .[0].outcome, reason: .[0].reason,
			count: length}))
	}' "$FOLDER/joined" >"$FOLDER/counts"
	echo "# counts: $(jq -c . "$FOLDER/counts")"
}

once_count() {
	jq ".$1" "$FOLDER/counts"
}

# once_check: the checks of every test.
once_check() {
	once_compare
	check "requests were made" [ "$(once_count requests)" -gt 0 ]
	check "most requests ran" \
		[ $((2 * $(once_count ran))) -gt "$(once_count requests)" ]
	check_equal "no non-idempotent request ran twice" 0 \
		"$(once_count duplicate_runs)"
	check_equal "no request that ran was answered as not-run" 0 \
		"$(once_count false_not_run)"
	check_equal "no response says ran without a run" 0 "$(once_count false_ran)"
	check_equal "no response is truncated, of another request or damaged" 0 \
		"$(once_count damaged)"
}

# once_check_planned: the checks of a test in which every stop is planned.
once_check_planned() {
	once_check
	check_equal "no request was lost" 0 "$(once_count lost)"
	check_equal "no outcome is unknown" 0 "$(once_count may_have_run)"
}
