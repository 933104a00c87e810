#!/usr/bin/env bash
# A failure domain is evacuated and taken back while a control host is missing.
# Guards against servers there that get more than a cold server may, because the
# news that they are cold is known to that control host only.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh
COLD_PER_S=5

configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":3,"sloS":0.5,"priority":1,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":3,"coldPerS":$COLD_PER_S}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
END
}
evacuation() { # VERB
	status_code --post301 -X POST "http://$(control_address 1)/-/evacuations/a/$1"
}
in_force() { # COUNT: of evacuated domains at the entry host
	grep '"event":"evacuations_in_force"' "$work/entry-1.log" | tail -1 |
		grep -q "\"domains\":$1"
}
yes_if() { "$@" && echo yes; }
# burst PREFIX: sends requests for two seconds; prints how many reached server
# one in the second that had most.
burst() {
	local end=$((SECONDS + 3)) n=0
	while [ "$SECONDS" -lt "$end" ]; do
		n=$((n + 1))
		request 1 GET /read/x "$1-$n" > "$work/status" &
		sleep 0.02
	done
	wait $(jobs -rp | grep -vxF "$(printf '%s\n' "${pids[@]}")") 2>/dev/null
	awk -v prefix="^$1-" '$1 ~ prefix && $2 == "i-one" { at[++n] = $3 }
		END { for (i = 1; i <= n; i++) { count = 0
			for (k = 1; k <= n; k++) count += at[k] >= at[i] && at[k] < at[i] + 1000
			if (count > most) most = count }
		print most + 0 }' "$work/ledger"
}

start_gateway 1
start_server two
touch "$work/two"
check "server one is used" wait_output 1 20 uses_one
check "its domain is evacuated" wait_output 200 10 evacuation start
check "the evacuation is in force" wait_output yes 10 yes_if in_force 1
kill -STOP "${pids[control-3]}"
sleep 3
check "the domain is taken back" wait_output 200 10 evacuation end
check "that is in force" wait_output yes 10 yes_if in_force 0
most=$(burst back)
echo "# $most requests in the second that had most, allowed $((COLD_PER_S * 3 / 2 + 5))"
check "it gets some requests" test "$most" -gt 0
check "it gets no more than a cold server may" \
	test "$most" -le $((COLD_PER_S * 3 / 2 + 5))
kill -CONT "${pids[control-3]}"
sleep 1
most=$(burst warm)
echo "# $most when it is warm"
check "it gets more when it is warm" test "$most" -gt $((COLD_PER_S * 3 / 2 + 5))
rm -f "$work/announcing"
