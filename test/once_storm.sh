#!/usr/bin/env bash
# Resend storm: requests with the same key are sent to all hosts at once, with
# keys from look-ups and keys that callers choose. Guards against a request
# that runs at two hosts when its attempts overlap, and against responses of
# other keys.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
. test/once.sh
KEYS=${KEYS:-30}

# storm NAME HEADER: sends one request to every host at once, three times.
storm() {
	local name=$1 header=$2 host i
	{
		for i in 1 2 3; do
			for host in $(deployment_names "$FOLDER"); do
				echo "next"
				echo "url = \"$(once_url "$host")/v1/call/defectbook/storm/$name\""
				echo "header = \"$header\""
				echo "header = \"Request-Id: $name\""
				echo "data = \"filing $name\""
				echo "output = \"$FOLDER/storm/$name-$host-$i\""
				echo 'write-out = "%{http_code} %header{boragewing-outcome}\n"'
			done
		done
	} | sed 1d | curl -s --no-progress-meter --parallel --parallel-immediate \
		--parallel-max 30 --max-time 30 -K - \
		>"$FOLDER/storm/$name.outcomes" 2>/dev/null
}

once_begin
mkdir -p "$FOLDER/storm"
for n in $(seq "$KEYS"); do
	key=$(curl -s "$(once_url "$FIRST")/v1/lookup?service=defectbook" |
		jq -r .request_key)
	storm "minted-$n" "Boragewing-Key: $key" &
	storm "own-$n" "Idempotency-Key: caller-$n" &
	wait $!
done
storms_done() {
	[ "$(cat "$FOLDER"/storm/*.outcomes | wc -l)" = $((KEYS * 60)) ]
}
check "every attempt got a response" wait_until 40 storms_done
cat "$FOLDER"/storm/*.outcomes | sort | uniq -c | sed 's/^/# /'
ran=0
for n in $(seq "$KEYS"); do
	for name in minted-$n own-$n; do
		runs=$(count_runs "$FOLDER" "/storm/$name")
		[ "$runs" = 1 ] ||
			check_equal "$name ran once" 1 "$runs"
		ran=$((ran + runs))
	done
done
check_equal "every key ran once" $((KEYS * 2)) $ran
check_equal "no attempt was answered as not-run" 0 \
	"$(cat "$FOLDER"/storm/*.outcomes | grep -c not-run)"
foreign=0
for file in "$FOLDER"/storm/minted-*-* "$FOLDER"/storm/own-*-*; do
	case $file in *.outcomes) continue ;; esac
	name=$(basename "$file" | sed -E 's/^((minted|own)-[0-9]+)-.*/\1/')
	head -n 1 "$file" | grep -q "^$name \|\"error\"" ||
		foreign=$((foreign + 1))
done
check_equal "no response belongs to another request" 0 $foreign
check "most attempts got the response" [ \
	$((2 * $(cat "$FOLDER"/storm/*.outcomes | grep -c '^200 ran'))) -gt \
	$((KEYS * 60)) ]
echo "$CHECKS passed, 0 failed"
