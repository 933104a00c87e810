#!/usr/bin/env bash
# One failure domain is cut off from the others for 25 s, by a proxy between
# all hosts; callers reach both sides. Guards against a request that runs on
# both sides of a partition, and against a side that stops serving.
set -u
cd "$(dirname "$0")/.." || exit 1
DEPLOYMENT_PROXY_OFFSET=50
. test/deployment.sh
. test/check.sh
. test/once.sh
CUT=127.11.11.0/24
OTHERS="127.11.12.0/24 127.11.21.0/24 127.11.22.0/24 127.11.31.0/24 127.11.32.0/24"

# lookup_key HOST: prints the request key of a look-up at the host.
lookup_key() {
	curl -s --max-time 5 "$(once_url "$1")/v1/lookup?service=closurehub" |
		jq -r .request_key
}

# owned_key HOST: prints a request key that the host itself owns.
owned_key() {
	local key n
	for n in $(seq 200); do
		key=$(lookup_key "$1")
		case $key in "$1".*) echo "$key"; return ;; esac
	done
}

# order HOST KEY PATH: prints the outcome.
order() {
	http_outcome -d order -H "Boragewing-Key: $2" \
		"$(once_url "$1")/v1/call/closurehub/$3"
}

# served_in HOST DOMAIN PATH: a new order at the host is served in the domain.
served_in() {
	local host=$1 domain=$2 path=$3 key
	key=$(lookup_key "$host")
	curl -s -o /dev/null -D - --max-time 10 -d order \
		-H "Boragewing-Key: $key" \
		"$(once_url "$host")/v1/call/closurehub/$path" |
		grep -qi "^boragewing-backend: closurehub-$domain"
}

once_begin
used=$(owned_key khomas-a-1)
check_equal "an order runs before the cut" ran \
	"$(order khomas-a-1 "$used" used)"
unused=$(owned_key khomas-a-1)
foreign=$(lookup_key erongo-a-1)
check "keys of both sides are known" [ -n "$unused$foreign" ]
once_default_load 50
once_load_start
sleep 4
for other in $OTHERS; do
	check "cut $other" deployment_proxy cut $CUT "$other"
	check "cut $other in the other direction" \
		deployment_proxy cut "$other" $CUT
done
echo "# resends of the used key: khomas-b-1 $(order khomas-b-1 "$used" used)," \
	"erongo-a-1 $(order erongo-a-1 "$used" used)"
for host in khomas-b-1 erongo-a-1 oshana-b-1; do
	check "$host does not run a key of the other side" [ "$(order $host \
		"$unused" unused)" != ran ]
done
check "the cut-off side does not run a key of the other side" \
	[ "$(order khomas-a-2 "$foreign" foreign)" != ran ]
check_equal "no key ran on a side that does not own it" 0 \
	$(($(count_runs "$FOLDER" /unused) +
	$(count_runs "$FOLDER" /foreign)))
check_equal "the owner runs its key during the cut" ran \
	"$(order khomas-a-2 "$unused" unused)"
check_equal "the owner on the other side runs its key" ran \
	"$(order oshana-a-1 "$foreign" foreign)"
check "the cut-off side serves orders" \
	wait_until 20 served_in khomas-a-1 khomas-a cut-side
check "the other side serves orders" \
	wait_until 20 served_in erongo-b-1 erongo main-side
sleep 12
lookup_answered() { [ -n "$(lookup_key "$1")" ]; }
for host in $(deployment_names "$FOLDER"); do
	check "$host answers look-ups during the cut" lookup_answered "$host"
done
check "the cut-off side still serves" \
	wait_until 20 served_in khomas-a-2 khomas-a cut-side
check "the cut heals" deployment_proxy heal
all_answered() {
	[ "$(order erongo-a-1 "$unused" unused)" = ran ] &&
		[ "$(order khomas-a-1 "$foreign" foreign)" = ran ] &&
		[ "$(order oshana-b-1 "$used" used)" = ran ]
}
check "resends across the healed cut get the responses" \
	wait_until 30 all_answered
for path in used unused foreign; do
	check_equal "/$path ran once" 1 "$(count_runs "$FOLDER" /$path)"
done
once_load_wait
once_check
echo "$CHECKS passed, 0 failed"
