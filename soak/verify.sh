#!/usr/bin/env bash
# Checks the guarantees of a gateway from the records of clients, backend
# servers and operators. Usage: verify.sh FOLDER. Files, one record per line:
#   ledger   ID SERVER WALL_MS        a server ran a request
#   results  ID KIND CODE BODY_ID     response to a client; KIND safe or unsafe
#   acks     VERSION WALL_MS          an acknowledged configuration
#   reads    VERSION WALL_MS          a read that began at WALL_MS
#   drains   SERVER WALL_MS           an acknowledged drain
#   final    VERSION                  read back at the end
#   refused_commands  COMMAND         a command that the fault proxy refused
# Prints each violation and exits with 1 if there is one.
set -uo pipefail
cd "$1" || exit 2
apply_ms=2500
drain_ms=2500
touch ledger results acks reads drains final refused_commands
violations=$(mktemp)
trap 'rm -f "$violations"' EXIT

# An unsafe request has run more than once.
awk 'NR == FNR { if ($2 == "unsafe") unsafe[$1] = 1; next }
	$1 in unsafe { runs[$1]++ }
	END { for (id in runs) if (runs[id] > 1)
		print "duplicate run: " id " ran " runs[id] " times" }' \
	results ledger >> "$violations"
# A request was rejected as not run, but has run.
awk 'NR == FNR { ran[$1] = 1; next }
	$2 == "unsafe" && ($3 == 503 || $3 == 429 || $3 == 408 || $3 == 421) &&
	$1 in ran { print "false rejection: " $1 " got " $3 " and has run" }' \
	ledger results >> "$violations"
# A valid request was answered as if it were wrong.
awk '$3 >= 300 && $3 < 500 && $3 != 408 && $3 != 421 && $3 != 429 {
		print "valid request refused: " $1 " got " $3 }' \
	results >> "$violations"
# A successful response is truncated, of another request, or has no run.
awk 'NR == FNR { ran[$1] = 1; next }
	$3 == 200 && $4 != $1 { print "wrong response: " $1 " got the answer of " $4 }
	$3 == 200 && !($1 in ran) { print "response without run: " $1 " got 200, never ran" }' \
	ledger results >> "$violations"
# A read returns an older configuration than one acknowledged earlier.
awk -v apply="$apply_ms" 'NR == FNR { ack[++n] = $1; at[n] = $2; next }
	{ for (i = 1; i <= n; i++) if (at[i] + apply < $2 && ack[i] > $1) {
		print "stale read: " $1 ", " ack[i] " was acknowledged " $2 - at[i] " ms before"; break } }' \
	acks reads >> "$violations"
# An acknowledged configuration is lost at the end.
awk 'NR == FNR { if ($1 > most) most = $1; next }
	$1 < most { print "lost configuration: " $1 " is read back, " most " was acknowledged" }' \
	acks final >> "$violations"
# A drained server ran a request.
awk -v drain="$drain_ms" 'NR == FNR { if (!($1 in at)) at[$1] = $2; next }
	$2 in at && $3 > at[$2] + drain {
		print "run after drain: " $2 " ran " $1 " " $3 - at[$2] " ms after" }' \
	drains ledger >> "$violations"
# A fault was not injected or not lifted.
awk '{ print "command refused: " $0 }' refused_commands >> "$violations"
cat "$violations"
[ ! -s "$violations" ]
