#!/usr/bin/env bash
# Checks the promises of a gateway from what clients, backend servers and
# operators saw. Usage: verify.sh FOLDER. Files, one fact a line:
#   ledger   ID SERVER WALL_MS        a server ran a request
#   results  ID KIND CODE BODY_ID     what a client got; KIND safe or unsafe
#   acks     VERSION WALL_MS          an acknowledged configuration
#   reads    VERSION WALL_MS          a read that began at that time
#   drains   SERVER WALL_MS           an acknowledged draining
#   final    VERSION                  read back at the end
# Prints each broken promise and exits with 1 if there is one.
set -uo pipefail
cd "$1" || exit 2
apply_ms=2500
drain_ms=2500
touch ledger results acks reads drains final
bad=$(mktemp)
trap 'rm -f "$bad"' EXIT

# A request that may run once has run twice.
awk 'NR == FNR { if ($2 == "unsafe") unsafe[$1] = 1; next }
	$1 in unsafe { runs[$1]++ }
	END { for (id in runs) if (runs[id] > 1)
		print "doubled: " id " ran " runs[id] " times" }' \
	results ledger >> "$bad"
# A client was told that a request has not run, and it has.
awk 'NR == FNR { ran[$1] = 1; next }
	$2 == "unsafe" && ($3 == 503 || $3 == 429 || $3 == 408 || $3 == 421) &&
	$1 in ran { print "false refusal: " $1 " got " $3 " and has run" }' \
	ledger results >> "$bad"
# A success is cut, belongs to another request, or nothing ran.
awk 'NR == FNR { ran[$1] = 1; next }
	$3 == 200 && $4 != $1 { print "mixed: " $1 " got the answer of " $4 }
	$3 == 200 && !($1 in ran) { print "made up: " $1 " got 200, never ran" }' \
	ledger results >> "$bad"
# A read shows an older configuration than one acknowledged earlier.
awk -v apply="$apply_ms" 'NR == FNR { ack[++n] = $1; at[n] = $2; next }
	{ for (i = 1; i <= n; i++) if (at[i] + apply < $2 && ack[i] > $1) {
		print "old configuration: read " $1 ", " ack[i] " was acknowledged " $2 - at[i] " ms before"; break } }' \
	acks reads >> "$bad"
# What was acknowledged is gone at the end.
awk 'NR == FNR { if ($1 > most) most = $1; next }
	$1 < most { print "lost: " $1 " is read back, " most " was acknowledged" }' \
	acks final >> "$bad"
# A drained server got a request.
awk -v drain="$drain_ms" 'NR == FNR { if (!($1 in at)) at[$1] = $2; next }
	$2 in at && $3 > at[$2] + drain {
		print "drained: " $2 " ran " $1 " " $3 - at[$2] " ms after" }' \
	drains ledger >> "$bad"
cat "$bad"
[ ! -s "$bad" ]
