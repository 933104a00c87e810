#!/usr/bin/env bash
# Clients that misbehave, many at once, on each port of an entry host and of a
# control host. Guards against a process that ends, or uses more memory or
# descriptors than its machine has, and against clients without progress that
# keep ordinary ones out. Usage: gateway_crowds.sh BEHAVIOUR [PORT...]
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

behaviour=$1
ports=(route no_route ready metrics control control_metrics)
[ $# -gt 1 ] && ports=("${@:2}")
memory_mb=64
# 60 connections of clients: 400 descriptors are reserved, and half of the
# others are for backend servers.
max_fds=520
# The platform's own files use these.
reserved_fds=200
mib=1048576
# More clients than any port has connections for, with their reopened ones.
clients=400
reopened=1200
body_bytes=$mib
requests_ahead=20000

# Timeouts so long that no crowd ends by them.
configuration() { # VERSION
	cat <<END
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":3,"sloS":0.5,"priority":1,"service":"s","attempts":2},
"file":{"host":"h.example","pathPrefix":"/file/","kind":"unsafe","timeoutS":3,"sloS":0.5,"priority":0,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":50}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":$mib,"headerTimeoutS":60,"idleTimeoutS":60}}
END
}
eval "lib_$(declare -f write_settings)"
write_settings() { # as in gateway_lib.sh, with fewer descriptors
	lib_write_settings "$@"
	sed -i "s/maxFds: .*}/maxFds: $max_fds}/" "$work/$1.yaml"
}

process_of() { case $1 in control*) echo control-1 ;; *) echo entry-1 ;; esac; }
address_of() { # PORT
	case $1 in
	route | no_route) entry_address 1 ;;
	ready) echo "127.0.2.1:$((port + 2))" ;;
	metrics) echo "127.0.2.1:$((port + 8))" ;;
	control) control_address 1 ;;
	control_metrics) echo "127.0.1.1:$((port + 8))" ;;
	esac
}
path_of() { # PORT
	case $1 in
	route) [ "$behaviour" = slow-reader ] && echo /read/large || echo /file/x ;;
	no_route) echo /none/x ;;
	ready) echo /-/ready ;;
	control) echo /-/config/get ;;
	*) echo /metrics ;;
	esac
}
# ordinary PORT: the status of one request of a client that behaves
ordinary() {
	case $1 in
	route) request 1 POST /file/x "ordinary-$behaviour-$RANDOM$RANDOM" -d "$(printf '%01000d' 0)" ;;
	no_route) request 1 GET /none/x "ordinary-$RANDOM$RANDOM" ;;
	*) status_code "http://$(address_of "$1")$(path_of "$1")" ;;
	esac
}
expected() { [ "$1" = no_route ] && echo 404 || echo 200; }
status_of() { # PROCESS FIELD: a size in kB
	awk -v field="$2:" '$1 == field { print $2 }' "/proc/${pids[$1]}/status" 2>/dev/null
}
count_fds() { find "/proc/${pids[$1]}/fd" -mindepth 1 2>/dev/null | wc -l; } # PROCESS
lives() { kill -0 "${pids[$1]}" 2>/dev/null; } # PROCESS
# watch_fds PROCESS: writes the largest number of open descriptors
watch_fds() {
	local largest=0 count
	while [ -e "$work/watching" ]; do
		count=$(count_fds "$1")
		[ "$count" -gt "$largest" ] && largest=$count && echo "$largest" > "$work/fds"
		sleep 0.1
	done
}

play() { # PORT
	local process crowd_pid watch_pid
	process=$(process_of "$1")
	echo 0 > "$work/fds"
	: > "$work/crowd"
	touch "$work/watching"
	watch_fds "$process" &
	watch_pid=$!
	"$build/tools/bw-crowd" "$(address_of "$1")" "$behaviour" h.example "$(path_of "$1")" \
		$clients $reopened $body_bytes $requests_ahead > "$work/crowd" &
	pids[crowd]=$!
	crowd_pid=$!
	wait_output settled 15 head -1 "$work/crowd" || echo "# $1: the crowd is not settled"
	check "$1: an ordinary request is answered beside the crowd" wait_output "$(expected "$1")" 12 ordinary "$1"
	check "$1: the process lives" lives "$process"
	kill "$crowd_pid"
	wait "$crowd_pid"
	unset 'pids[crowd]'
	rm "$work/watching"
	wait "$watch_pid"
	echo "# $1: peak $(status_of "$process" VmHWM) kB, at most $(cat "$work/fds") descriptors; $(tail -1 "$work/crowd")"
	check "$1: its memory stays under the bound" test "$(status_of "$process" VmHWM)" -lt $((memory_mb * 1024))
	check "$1: its descriptors stay under the bound" test "$(cat "$work/fds")" -lt $((max_fds - reserved_fds))
	check "$1: an ordinary request is answered after the crowd" wait_output "$(expected "$1")" 12 ordinary "$1"
}

start_gateway 1
for name in "${ports[@]}"; do play "$name"; done
rm -f "$work/announcing"
