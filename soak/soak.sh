#!/usr/bin/env bash
# Randomized soak of a gateway. Real processes run on loopback addresses;
# faults are injected from outside and overlap: processes are stopped, killed,
# terminated and restarted, hosts are cut off from control hosts, and connections
# to backend servers are cut, frozen and delayed by the fault proxy. Usage: soak.sh SEED [SECONDS]. The seed
# determines kinds and times of the faults. Prints violations of guarantees; if
# there are any, keeps the folder with all records and logs.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${1:?use: soak.sh SEED [SECONDS]}
duration_s=${2:-20}
DEPLOYMENT_FLEET_PORT=${DEPLOYMENT_FLEET_PORT:-$((12000 + seed % 500 * 20))}
. test/gateway_lib.sh
servers=4
RANDOM=$seed
trap 'rm -f "$work/running"; for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; done; finish > /dev/null' EXIT

now_ms() { date +%s%3N; }
server_address() { echo "127.0.3.$1:$((port + 6))"; }
announced_address() { echo "127.0.3.$1:$((port + 7))"; } # of the proxy
proxy_command() { # records a command that the proxy does not accept
	curl -s --max-time 2 -d "$*" "http://127.0.0.1:$((port + 9))/" | grep -q '^ok' ||
		echo "$*" >> "$work/refused_commands"
}

announce_server() { # NUMBER: announces one server repeatedly
	local n=1 zone=a
	[ $(($1 % 2)) = 0 ] && zone=b
	while [ -e "$work/running" ]; do
		if [ -e "$work/draining-$1" ]; then
			[ "$(send_heartbeat "i-$1" $zone "$(announced_address "$1")" draining $n $((n % 3 + 1)))" = 200 ] &&
				echo "i-$1 $(now_ms)" >> "$work/drains"
		else
			send_heartbeat "i-$1" $zone "$(announced_address "$1")" ready $n $((n % 3 + 1)) > /dev/null
		fi
		n=$((n + 1))
		sleep 0.3
	done
}

many_fields=()
for i in $(seq 120); do many_fields+=(-H "Field-$i: $i"); done

# Sends batches of ten requests to one entry host after the other. A batch uses
# one connection while its host runs.
client() { # NUMBER
	local batch=0 i id host kind
	while [ -e "$work/running" ]; do
		host=$(entry_address $((batch % 3 + 1)))
		local args=()
		for i in 1 2 3 4 5 6 7 8 9 10; do
			id="c$1-$batch-$i"
			kind=$([ $((i % 2)) = 0 ] && echo safe || echo unsafe)
			case $i in
			1 | 3 | 5) args+=(-X POST -d "body-$id" "http://$host/file/$id") ;;
			2) args+=("${many_fields[@]}" "http://$host/read/$((batch % 7))") ;;
			4) args+=(-X POST -H 'Transfer-Encoding: chunked' -d "body-$id" "http://$host/read/$id") ;;
			7) args+=(-X POST -d x "http://$host/file/full") ;;
			9) args+=(-X POST -d x "http://$host/file/lost") ;;
			10) args+=("http://$host/read/slow") ;;
			*) args+=("http://$host/read/$((batch % 7))") ;;
			esac
			args+=(-s --max-time 4 -H "Host: h.example" -H "Request-Id: $id"
				-H "Deadline-Ms: 3500" -o "$work/body-$1-$i"
				-w "$id $kind %{http_code}\n")
			[ $i -lt 10 ] && args+=(--next)
		done
		rm -f "$work/body-$1-"*
		curl "${args[@]}" 2>/dev/null | while read -r id kind code; do
			i=${id##*-}
			echo "$id $kind $code $(head -c 200 "$work/body-$1-$i" 2>/dev/null | head -1 | cut -d' ' -f1)" >> "$work/results-$1"
		done
		batch=$((batch + 1))
	done
}

operator() {
	local version=10 attempt=0 at code
	while [ -e "$work/running" ]; do
		attempt=$((attempt + 1))
		configuration "$version" > "$work/submission.json"
		code=$(status_code --max-time 2 --post301 -X POST --data-binary "@$work/submission.json" "http://$(control_address $((attempt % 3 + 1)))/-/config/put")
		[ "$code" = 200 ] && { echo "$version $(now_ms)" >> "$work/acks"; version=$((version + 1 + version % 3)); }
		at=$(now_ms)
		read_version "$((attempt % 3 + 1))" "$at"
		sleep 0.4
	done
}

read_version() { # CONTROL TIME
	local version
	version=$(http_get "http://$(control_address "$1")/-/config/get" | jq -r '.version // empty' 2>/dev/null)
	[ -n "$version" ] && echo "$version $2" >> "$work/reads"
}

restart() { # NAME SIGNAL DOWNTIME
	kill "-$2" "${pids[$1]}" 2>/dev/null
	wait "${pids[$1]}" 2>/dev/null
	sleep "$3"
	sed -i 's/^bootstrap: true/bootstrap: false/' "$work/$1.yaml"
	start "$1"
}

suspend() { # NAME SECONDS
	local pid=${pids[$1]}
	kill -STOP "$pid" 2>/dev/null
	(sleep "$2"; kill -CONT "$pid" 2>/dev/null) &
}

heal_after() { # SECONDS; the run may have ended then
	sleep "$1"
	[ ! -e "$work/running" ] || proxy_command heal
}
cut_for() { # SECONDS PROCESS NUMBER...
	cut_off "${@:2}"
	(sleep "$1"; heal "$2") &
}
inject_fault() {
	# seconds is 0.1 to 0.9; "1$seconds" is 10 s longer.
	local host=$((RANDOM % 3 + 1)) server=$((RANDOM % servers + 1)) seconds="0.$((RANDOM % 9 + 1))"
	local kind=$((RANDOM % 11))
	echo "$(now_ms) fault $kind host $host server $server for $seconds" >> "$work/faults"
	case $kind in
	0) restart "control-$host" KILL "$seconds" ;;
	1) restart "entry-$host" KILL "$seconds" ;;
	2) restart "entry-$host" TERM "$seconds" ;;
	3) suspend "control-$host" "1$seconds" ;;
	4) suspend "entry-$host" "$seconds" ;;
	5) proxy_command "cut 0.0.0.0/0 127.0.3.$server/32"; heal_after "1$seconds" & ;;
	6) proxy_command "freeze 0.0.0.0/0 127.0.3.$server/32"; heal_after "$seconds" & ;;
	7) proxy_command "delay 0.0.0.0/0 127.0.3.$server/32 200"; heal_after "1$seconds" & ;;
	8) for host in 1 2 3; do kill -KILL "${pids[control-$host]}" 2>/dev/null; done
		for host in 1 2 3; do restart "control-$host" KILL 0.1; done ;;
	9) cut_for "1$seconds" "control-$host" $((host % 3 + 1)) $(((host + 1) % 3 + 1)) ;;
	10) cut_for "$seconds" "entry-$host" 1 2 3 ;;
	esac
}

ulimit -n 4096
build_host_faults || exit 1
touch "$work/running" "$work/ledger"
for i in 1 2 3; do start_control $i true; done
for i in 1 2 3; do start_entry $i; done
echo "pairs:" > "$work/proxy.yaml"
for k in $(seq $servers); do
	echo "  - {listen: \"$(announced_address "$k")\", target: \"$(server_address "$k")\"}" >> "$work/proxy.yaml"
	"$build/tools/bw-gate-backend" "$(server_address "$k")" "i-$k" "$work/ledger" &
	pids[backend-$k]=$!
done
"$build/tools/bw-fault-proxy" --config="$work/proxy.yaml" --command-port=$((port + 9)) > "$work/proxy.log" 2>&1 &
pids[proxy]=$!
wait_output 200 20 submit 3 || { echo "seed $seed: no first configuration"; exit 1; }
for k in $(seq $servers); do announce_server "$k" & pids[announce-$k]=$!; done
sleep 1.5
for c in 1 2 3 4; do client $c & pids[client-$c]=$!; done
operator & pids[operator]=$!
end=$((SECONDS + duration_s))
while [ "$SECONDS" -lt "$end" ]; do
	inject_fault
	sleep "0.$((RANDOM % 9 + 1))"
	[ "$SECONDS" -ge $((end - duration_s / 2)) ] && touch "$work/draining-1"
done
sleep 5
rm "$work/running"
wait "${pids[operator]}" "${pids[client-1]}" "${pids[client-2]}" "${pids[client-3]}" "${pids[client-4]}"
cat "$work"/results-* > "$work/results" 2>/dev/null
wait_output 200 10 status_code "http://$(control_address 1)/-/config/get" > /dev/null
http_get "http://$(control_address 1)/-/config/get" | jq -r .version > "$work/final"
served=$(grep -c ' 200 ' "$work/results")
total=$(wc -l < "$work/results")
if bash soak/verify.sh "$work" > "$work/violations" && [ "$served" -gt 20 ]; then
	echo "seed $seed: $total requests, $served served, $(wc -l < "$work/faults") faults, $(wc -l < "$work/acks") configurations: no violation"
	rm -rf "$work"
	exit 0
fi
cat "$work/violations"
echo "seed $seed: $total requests, $served served: FAILED; records and logs in $work"
failed=1
exit 1
