#!/usr/bin/env bash
# The wall clock of an entry host is stepped. Guards against timers on the wall
# clock: after a step back the host sends no hellos until its old time is
# reached, is not told of new versions and answers 404 on their routes.
# Usage: gateway_clock.sh [STEP_MS]
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

step_ms=${1:--15000}
configuration() { # VERSION: version N adds /new-N/
	cat <<CONFIGURATION
{"version":$1,"routes":{
"read":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":3,"sloS":0.5,"priority":1,"service":"s","attempts":2},
"new-$1":{"host":"h.example","pathPrefix":"/new-$1/","kind":"safe","timeoutS":1,"sloS":0.5,"priority":0,"service":"s","attempts":2}},
"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":5}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}
CONFIGURATION
}
status_of() { request 1 GET "$1" "$RANDOM$RANDOM"; }
not_404() { [ "$(status_of "$1")" != 404 ]; }
ready() { status_code "http://127.0.2.1:$((port + 2))/-/ready"; }
listed() { http_get "http://$(control_address 1)/-/resolve?name=h.example&region=r&zone=a" | grep -c "$(entry_address 1)"; }

ulimit -n 4096
cc -shared -fPIC -o "$work/host_faults.so" test/host_faults.c -ldl || exit 1
for i in 1 2 3; do start_control $i true; done
check "a first configuration is accepted" wait_output 200 20 submit 1
export LD_PRELOAD="$work/host_faults.so" HOST_CLOCK_STEP_FILE="$work/step"
start_entry 1
unset LD_PRELOAD HOST_CLOCK_STEP_FILE
check "the entry host is ready" wait_output 200 20 ready
sleep 3
check "the route of version 1 is known" not_404 /new-1/x
echo "$step_ms" > "$work/step"
stepped=$SECONDS
sleep 5
echo "before the directory: $((SECONDS - stepped)) s"
check "the host is in the directory 5 s after the step" wait_output 1 1 listed
check "version 2 is accepted" wait_output 200 5 submit 2
echo "version 2 accepted: $((SECONDS - stepped)) s"
sleep 2.5
check "the route of version 2 is known 2.5 s after its acknowledgement" not_404 /new-2/x
until not_404 /new-2/x || [ $((SECONDS - stepped)) -ge 40 ]; do sleep 0.2; done
echo "known $((SECONDS - stepped)) s after the step"
