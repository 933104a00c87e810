#!/usr/bin/env bash
# Tests verify.sh: correct records pass, and each planted violation is reported
# under its name.
set -uo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

write_correct_records() {
	rm -rf "${work:?}"/*
	printf '%s\n' "a s1 1000" "b s1 2000" "c s2 3000" > "$work/ledger"
	printf '%s\n' "a safe 200 a" "b unsafe 200 b" "c unsafe 502 -" \
		"d unsafe 503 -" > "$work/results"
	printf '%s\n' "5 1000" "7 8000" > "$work/acks"
	printf '%s\n' "5 4000" "5 9000" "7 12000" > "$work/reads"
	printf '%s\n' "s1 1900" > "$work/drains"
	echo 7 > "$work/final"
}

expect_violation() { # NAME FILE LINE: FILE and LINE are empty for none
	write_correct_records
	[ -n "$2" ] && echo "$3" >> "$work/$2"
	out=$(bash verify.sh "$work")
	code=$?
	if [ -z "$2" ] && [ $code = 0 ] || { [ -n "$2" ] && [ $code = 1 ] &&
		grep -q "^$1:" <<< "$out"; }; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "failed: $1: $out"
	fi
}

expect_violation none "" ""
expect_violation "duplicate run" ledger "b s2 2100"
expect_violation "false rejection" ledger "d s2 2100"
expect_violation "valid request refused" results "h safe 431 -"
expect_violation "command refused" refused_commands "clear"
expect_violation "wrong response" results "e safe 200 a"
expect_violation "response without run" results "f safe 200 f"
expect_violation "stale read" reads "5 12000"
expect_violation "lost configuration" final "6"
expect_violation "run after drain" ledger "g s1 4500"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
