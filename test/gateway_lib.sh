# Shell functions of the gateway tests: settings, processes, requests and
# checks. Sourced from the root of the repository; creates a temporary folder
# in $work and cleans up at exit.
# shellcheck shell=bash
build=${BUILD:-build}
# Base port; each kind of listener uses a fixed offset from it.
port=${DEPLOYMENT_FLEET_PORT:-29000}
work=$(mktemp -d)
trap 'finish; [ "$failed" -eq 0 ] || exit 1' EXIT
declare -A pids
passed=0
failed=0

finish() {
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
	if [ "$failed" -gt 0 ]; then
		echo "logs: $work"
	else
		rm -rf "$work"
	fi
	echo "$passed passed, $failed failed"
}
check() { # NAME CONDITION...
	if "${@:2}"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "failed: $1"
	fi
}

control_address() { echo "127.0.1.$1:$((port + 4))"; }
entry_address() { echo "127.0.2.$1:$((port + 1))"; }

write_settings() { # NAME IP ZONE LISTEN BOOTSTRAP DATA_DIR
	cat > "$work/$1.yaml" <<END
node: "$1"
ip: "$2"
zone: "$3"
region: "r"
zones: {a: "r", b: "r"}
listen: {$4}
innerPorts: [$port, $((port + 9))]
seeds: ["$(control_address 1)", "$(control_address 2)", "$(control_address 3)"]
bootstrap: $5
dataDir: $6
limits: {memoryMb: ${memory_mb:-256}, maxFds: 1024}
beatIntervalS: 0.5
bounds: {graceS: 4, drainS: 2.5}
END
}

# With $preload, a library, processes can be cut off from others.
start() { # NAME
	LD_PRELOAD="${preload:-${LD_PRELOAD:-}}" HOST_CUT_FILE="$work/cut-$1" BORAGEWING_NODE_FILE="$work/$1.yaml" "$build/src/boragewingd/boragewingd" \
		--gateway --metrics-port $((port + 8)) >> "$work/$1.log" 2>&1 &
	pids[$1]=$!
}

start_control() { # NUMBER BOOTSTRAP
	mkdir -p "$work/data-$1"
	write_settings "control-$1" "127.0.1.$1" a "control: \"$(control_address "$1")\"" \
		"$2" "\"$work/data-$1\""
	start "control-$1"
}

start_entry() { # NUMBER
	write_settings "entry-$1" "127.0.2.$1" a "front: \"$(entry_address "$1")\", readinessAddr: \"127.0.2.$1:$((port + 2))\"" true null
	start "entry-$1"
}

build_host_faults() { # sets $preload, see test/host_faults.c
	preload="$work/host_faults.so"
	cc -shared -fPIC -o "$preload" test/host_faults.c -ldl
}
cut_off() { # PROCESS NUMBER...: cuts it off from control hosts
	printf '127.0.1.%s\n' "${@:2}" > "$work/cut-$1"
}
heal() { rm -f "$work/cut-$1"; } # PROCESS

http_get() { curl -s -L --max-time 4 "$@"; }
status_code() { curl -s -L --max-time 6 -o /dev/null -w '%{http_code}' "$@"; }

configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":3,"sloS":0.5,"priority":1,"service":"s","attempts":2,"sticky":true},
"file":{"host":"h.example","pathPrefix":"/file/","kind":"unsafe","timeoutS":1.5,"sloS":0.5,"priority":0,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":5}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
END
}

submit() { # VERSION
	configuration "$1" > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" \
		"http://$(control_address $((RANDOM % 3 + 1)))/-/config/put"
}

wait_output() { # EXPECTED SECONDS COMMAND...
	local end=$((SECONDS + $2))
	while [ "$SECONDS" -lt "$end" ]; do
		[ "$("${@:3}")" = "$1" ] && return 0
		sleep 0.1
	done
	return 1
}

send_heartbeat() { # SERVER ZONE ADDRESS STATE SEQUENCE CONTROL [START IN MS]
	status_code --max-time 1 -X POST -d "{\"address\":\"$3\",\"born\":${7:-1700000000000},\"info\":{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"$2\",\"slots\":4},\"status\":{\"state\":\"$4\",\"seq\":$5,\"coldLeftS\":0}}" \
		"http://$(control_address "$6")/-/instances/$1/heartbeat"
}

announce_servers() { # announces a server while its file "one" or "two" exists
	local n=1
	while [ -e "$work/announcing" ]; do
		for k in 1 2 3; do
			[ -e "$work/one" ] && send_heartbeat i-one a "127.0.3.1:$((port + 6))" ready $n $k > /dev/null
			[ -e "$work/two" ] && send_heartbeat i-two b "127.0.3.2:$((port + 6))" ready $n $k > /dev/null
		done
		n=$((n + 1))
		echo $n > "$work/sequence"
		sleep 0.2
	done
}

start_server() { # NAME: "one" or "two"
	local number=1
	[ "$1" = two ] && number=2
	"$build/tools/bw-gate-backend" "127.0.3.$number:$((port + 6))" "i-$1" "$work/ledger" &
	pids[backend-$1]=$!
}

start_servers() { # NAME...: starts and announces them
	local name
	touch "$work/ledger" "$work/announcing" "${@/#/$work/}"
	for name in "$@"; do start_server "$name"; done
	announce_servers &
	pids[announcing]=$!
}

check_first_configuration() { # submits it and waits for entry host 1
	check "a configuration is accepted" wait_output 200 20 submit 3
	check "the entry host becomes ready" wait_output 200 10 status_code "http://127.0.2.1:$((port + 2))/-/ready"
}

request() { # ENTRY METHOD PATH ID [OPTION...]
	curl -s --max-time 6 -o "$work/body" -w '%{http_code}' -X "$2" \
		-H 'Host: h.example' -H "Request-Id: $4" -H 'Deadline-Ms: 4000' \
		"${@:5}" "http://$(entry_address "$1")$3"
}

# Of server one: lets it leave, and counts requests that reach it.
leave() { # CONTROL
	status_code --max-time 1 -X POST "http://$(control_address "$1")/-/instances/i-one/leave"
}
reached() { # PREFIX COUNT: sends requests; prints how many reach it
	local n
	for n in $(seq "$2"); do
		request 1 GET /read/x "$1-$n" -H "Affinity-Key: $1-$n" > "$work/status"
		sleep 0.05
	done
	grep -c "^$1-[0-9]* i-one " "$work/ledger"
}
uses_one() {
	local id="use-$RANDOM$RANDOM"
	request 1 GET /read/x "$id" -H "Affinity-Key: $id" > /dev/null
	grep -c "^$id i-one " "$work/ledger"
}

# start_gateway ENTRIES: starts three control hosts, entry hosts and server one,
# and checks that each entry host serves.
start_gateway() {
	local i
	ulimit -n 4096
	for i in 1 2 3; do start_control $i true; done
	for i in $(seq "$1"); do start_entry "$i"; done
	start_servers one
	check_first_configuration
	for i in $(seq "$1"); do check "entry host $i serves" wait_output 200 10 request "$i" GET /read/x "first-$i"; done
}

# probe SECONDS: sends requests one after the other; counts in sent and served.
served=0
sent=0
probe_once() {
	sent=$((sent + 1))
	[ "$(request 1 GET /read/x "probe-$sent")" = 200 ] && served=$((served + 1))
}
probe() {
	local end=$((SECONDS + $1))
	while [ "$SECONDS" -lt "$end" ]; do
		probe_once
		sleep 0.05
	done
}

# entry_metric ENTRY NAME: prints the value of a metric without labels.
entry_metric() { http_get "http://127.0.2.$1:$((port + 8))/metrics" | sed -n "s/^$2 //p"; }

count_runs() { grep -c "^$1 " "$work/ledger" 2>/dev/null; }
explain() { "$build/src/boragewingctl/boragewingctl" explain "$1" "$work"/*.log 2>&1; }
explains() { explain "$1" | grep -q "^cause: $2"; }

