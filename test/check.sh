# Check functions of the shell tests. Each check prints a result line; the
# first failure ends the test.

CHECKS=0

# check NAME COMMAND...: the command succeeds.
check() {
	local name=$1
	shift
	CHECKS=$((CHECKS + 1))
	if "$@" >/dev/null 2>&1; then
		echo "ok $CHECKS - $name"
	else
		echo "not ok $CHECKS - $name"
		echo "# failed: $*"
		exit 1
	fi
}

# check_equal NAME EXPECTED ACTUAL
check_equal() {
	CHECKS=$((CHECKS + 1))
	if [ "$2" = "$3" ]; then
		echo "ok $CHECKS - $1"
	else
		echo "not ok $CHECKS - $1"
		echo "# expected: $2"
		echo "# got:      $3"
		exit 1
	fi
}

# check_code NAME EXIT_CODE COMMAND...
check_code() {
	local name=$1 expected=$2 code=0
	shift 2
	"$@" >/dev/null 2>&1 || code=$?
	check_equal "$name" "$expected" "$code"
}

# http_status OPTIONS...: prints the status code of a request.
http_status() {
	curl -s -o /dev/null -w '%{http_code}' --max-time 40 "$@"
}

# http_outcome OPTIONS...: prints the header Boragewing-Outcome.
http_outcome() {
	curl -s -o /dev/null -D - --max-time 40 "$@" | tr -d '\r' |
		awk -F': ' 'tolower($1) == "boragewing-outcome" { print $2 }'
}

# count_runs FOLDER PATH: prints how often the path was run, from all ledgers.
count_runs() {
	cat "$1"/ledger/* 2>/dev/null |
		jq -c "select(.event == \"start\" and .path == \"$2\")" | wc -l
}
