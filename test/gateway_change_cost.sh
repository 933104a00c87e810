#!/usr/bin/env bash
# Guards against a change that costs an entry host as many bytes as the whole
# configuration.
set -uo pipefail
cd "$(dirname "$0")/.."
. test/gateway_lib.sh

for i in 1 2 3; do start_control $i true; done
start_entry 1
check_first_configuration

# routes_json FIRST LAST: routes with names and prefixes as operators choose.
routes_json() {
	awk -v first="$1" -v last="$2" 'BEGIN {
		for (i = first; i <= last; i++) {
			srand(i); a = int(rand() * 1e9); b = int(rand() * 1e9)
			printf "%s\"r-%x%x\":{\"host\":\"host%d.example\",\"pathPrefix\":\"/p%x/%x/\",\"kind\":\"safe\",\"timeoutS\":1.2,\"sloS\":0.3,\"priority\":1,\"service\":\"s\",\"attempts\":2,\"sticky\":true,\"homeRegions\":[]}", (i > first ? "," : ""), a, b, a % 40, b, a
		}
	}'
}
# submit_routes VERSION COUNT PRIORITY: PRIORITY is that of the first route.
submit_routes() {
	{
		printf '{"version":%d,"routes":{"first":{"host":"h.example","pathPrefix":"/read/","kind":"safe","timeoutS":3,"sloS":0.5,"priority":%d,"service":"s","attempts":2,"sticky":true},' "$1" "$3"
		routes_json 1 "$2"
		printf '},"services":{"s":{"healthPath":"/health","maxConns":100,"coldStartS":1,"coldPerS":5}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}'
	} > "$work/configuration.json"
	status_code --post301 -X POST --data-binary "@$work/configuration.json" "http://$(control_address 1)/-/config/put"
}
# change NAME LIMIT VERSION COUNT PRIORITY: submits it and checks its cost.
change() {
	local before
	before=$(entry_metric 1 bw_routing_received_bytes_total)
	check "$1 is accepted" wait_output 200 10 submit_routes "${@:3}"
	check "$1 comes into force" wait_output "$3" 10 entry_metric 1 bw_routing_version
	cost=$(($(entry_metric 1 bw_routing_received_bytes_total) - before))
	echo "# $1: $cost bytes"
	check "$1 costs less than $2 bytes" test "$cost" -lt "$2"
}
change "a configuration of 21 routes" 100000 10 20 1
change "a change of 1,400 routes" 100000 11 1420 1
change "another change of 1,400 routes" 100000 12 2820 1
change "a change of one field" 5000 13 2820 2
