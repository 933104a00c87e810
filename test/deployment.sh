# Shell functions that create and run a local deployment on loopback addresses.
# Sourced by the shell tests and by scripts in tools/.
#
# deployment_make FOLDER kalahari|karst-armor   writes the settings of ten hosts
# deployment_start FOLDER HOST...               starts daemons
# deployment_stop FOLDER HOST...                graceful shutdown, waits
# deployment_kill FOLDER HOST...                kills daemons
# deployment_stop_all FOLDER                    stops all remaining processes
#
# If DEPLOYMENT_PROXY_OFFSET is not 0, hosts advertise their fleet and entry
# ports plus this offset, and bw-fault-proxy forwards these ports:
# deployment_proxy_start FOLDER                 starts the proxy
# deployment_proxy COMMAND...                   cut, heal, delay, ...
#
# BUILD names the build folder. DEPLOYMENT_NET and DEPLOYMENT_BACKEND_NET are
# the second bytes of the addresses of karst-armor, so that two work trees can
# run it at the same time. Only processes that these functions started are
# signalled, by the process ids in FOLDER/pid.

BUILD=${BUILD:-build}
DEPLOYMENT_FLEET_PORT=${DEPLOYMENT_FLEET_PORT:-7100}
DEPLOYMENT_ENTRY_PORT=${DEPLOYMENT_ENTRY_PORT:-7200}
DEPLOYMENT_OPERATOR_PORT=${DEPLOYMENT_OPERATOR_PORT:-7300}
DEPLOYMENT_BACKEND_PORT=${DEPLOYMENT_BACKEND_PORT:-8000}
DEPLOYMENT_PROXY_OFFSET=${DEPLOYMENT_PROXY_OFFSET:-0}

# Prints "name region failure_domain address control" for each host.
deployment_hosts() {
	local net regions region_number domain_number host_number
	local letter region count control
	case "$1" in
	kalahari) net=11 regions="khomas erongo oshana" ;;
	karst-armor) net=${DEPLOYMENT_NET:-12} regions="finistere morbihan ille-vilaine" ;;
	*) echo "unknown deployment $1" >&2; return 1 ;;
	esac
	region_number=0
	for region in $regions; do
		region_number=$((region_number + 1)) domain_number=0
		for letter in a b; do
			domain_number=$((domain_number + 1)) count=2
			[ $region_number = 3 ] && count=1
			for host_number in $(seq $count); do
				control=false
				[ "$host_number" = 1 ] && [ "$region$letter" != \
					"${regions##* }b" ] && control=true
				echo "$region-$letter-$host_number $region" \
					"$region-$letter" \
					"127.$net.$((region_number * 10 + domain_number)).$host_number $control"
			done
		done
	done
}

deployment_make() {
	local folder=$1 name region domain address control seeds
	mkdir -p "$folder"/hosts "$folder"/data "$folder"/log "$folder"/pid
	deployment_hosts "$2" >"$folder/table"
	[ -f "$folder/fleet.key" ] ||
		"$BUILD/src/boragewingctl/boragewingctl" key generate \
			"$folder/fleet.key"
	[ -f "$folder/token" ] ||
		"$BUILD/src/boragewingctl/boragewingctl" key generate \
			"$folder/token"
	seeds=$(while read -r name region domain address control; do
		echo "  - {name: $name, region: $region," \
			"failure_domain: $domain, address: $address," \
			"port: $((DEPLOYMENT_FLEET_PORT + DEPLOYMENT_PROXY_OFFSET))," \
			"control: $control}"
	done <"$folder/table")
	while read -r name region domain address control; do
		deployment_settings "$folder" "$name" "$region" "$domain" \
			"$address" "$control" "$seeds"
	done <"$folder/table"
}

deployment_settings() {
	local folder=$1 name=$2 region=$3 domain=$4 address=$5 control=$6
	local fleet=$DEPLOYMENT_FLEET_PORT entry=$DEPLOYMENT_ENTRY_PORT
	local offset=$DEPLOYMENT_PROXY_OFFSET
	mkdir -p "$folder/data/$name"
	cat >"$folder/hosts/$name.yaml" <<END
host: {name: $name, region: $region, failure_domain: $domain, control: $control}
fleet: {address: $address, port: $fleet, advertise_port: $((fleet + offset))}
entry: {address: $address, port: $entry, advertise_port: $((entry + offset))}
operators: {address: $address, port: $DEPLOYMENT_OPERATOR_PORT}
data_folder: $folder/data/$name
charts_folder: charts
fleet_key_file: $folder/fleet.key
operator_token_file: $folder/token
log: {level: info, file: $folder/log/$name.log}
seeds:
$7
END
}

# The proxy preserves the source address, so that rules can match host pairs.
deployment_proxy_start() {
	local folder=$1 port
	{
		echo "pairs:"
		for port in $DEPLOYMENT_FLEET_PORT $DEPLOYMENT_ENTRY_PORT; do
			awk -v p="$port" -v o="$DEPLOYMENT_PROXY_OFFSET" '{
				print "  - {listen: \"" $4 ":" p + o \
				"\", target: \"" $4 ":" p "\"}" }' \
				"$folder/table"
		done
	} >"$folder/proxy.yaml"
	"$BUILD/tools/bw-fault-proxy" --config="$folder/proxy.yaml" \
		--command-port=$((DEPLOYMENT_OPERATOR_PORT + 1)) \
		>>"$folder/log/proxy.log" 2>&1 </dev/null &
	echo $! >"$folder/pid/proxy"
}

deployment_proxy() {
	curl -s --max-time 5 -d "$*" \
		"http://127.0.0.1:$((DEPLOYMENT_OPERATOR_PORT + 1))/" |
		grep -q '^ok'
}

deployment_start() {
	local folder=$1 name
	shift
	for name; do
		"$BUILD/src/boragewingd/boragewingd" \
			--settings "$folder/hosts/$name.yaml" \
			2>>"$folder/log/$name.err" &
		echo $! >"$folder/pid/$name"
	done
}

deployment_signal() {
	local signal=$1 folder=$2 name
	shift 2
	for name; do
		[ -f "$folder/pid/$name" ] || continue
		kill -"$signal" "$(cat "$folder/pid/$name")" 2>/dev/null
	done
}

# Waits until the processes of the given names have ended.
deployment_wait_end() {
	local folder=$1 name pid
	shift
	for name; do
		[ -f "$folder/pid/$name" ] || continue
		pid=$(cat "$folder/pid/$name")
		wait "$pid" 2>/dev/null
		while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
		rm -f "$folder/pid/$name"
	done
}

deployment_stop() {
	local folder=$1
	shift
	deployment_signal TERM "$folder" "$@"
	deployment_wait_end "$folder" "$@"
}

deployment_kill() {
	local folder=$1
	shift
	deployment_signal KILL "$folder" "$@"
	deployment_wait_end "$folder" "$@"
}

deployment_stop_all() {
	local folder=$1 names
	names=$(ls "$folder/pid" 2>/dev/null)
	# shellcheck disable=SC2086
	deployment_signal TERM "$folder" $names
	# A second SIGTERM stops a daemon without a drain.
	# shellcheck disable=SC2086
	deployment_signal TERM "$folder" $names
	# shellcheck disable=SC2086
	deployment_wait_end "$folder" $names
}

deployment_address() {
	awk -v name="$2" '$1 == name { print $4 }' "$1/table"
}

deployment_names() {
	awk '{ print $1 }' "$1/table"
}

# ctl FOLDER HOST COMMAND...: runs the operators' client against a host.
ctl() {
	local folder=$1 host=$2
	shift 2
	"$BUILD/src/boragewingctl/boragewingctl" --token-file "$folder/token" \
		--host "$(deployment_address "$folder" "$host"):$DEPLOYMENT_OPERATOR_PORT" "$@"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds or the
# time, which includes that of the command, is over.
wait_until() {
	local end=$((SECONDS + $1))
	shift
	while ! "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.1
	done
}

# revision_in_force FOLDER HOST REVISION
revision_in_force() {
	[ "$(ctl "$1" "$2" --json status | jq .revision)" = "$3" ]
}

# all_in_force FOLDER REVISION: the revision is in force on every host.
all_in_force() {
	local name
	for name in $(deployment_names "$1"); do
		revision_in_force "$1" "$name" "$2" || return 1
	done
}

# deployment_start_backends FOLDER kalahari|karst-armor [OPTION...]
# Starts one stand-in process for each service and failure domain, with the
# numbers of targets and slots in the sheet of examples/.
deployment_start_backends() {
	local folder=$1 deployment=$2 net domain_number service_number
	local domain service targets slots entry name
	shift 2
	[ "$deployment" = kalahari ] && net=21 ||
		net=${DEPLOYMENT_BACKEND_NET:-22}
	mkdir -p "$folder/ledger"
	awk '/- name:/ && !/kinds/ { name = $3 }
	     /failure_domain:/ && /targets/ {
		gsub(/[{},]/, "")
		print name, $3, $5, $7
	     }' "examples/$deployment.yaml" >"$folder/placements"
	while read -r service domain targets slots; do
		domain_number=$(awk -v d="$domain" '$3 == d { split($4, a, "."); print a[3]; exit }' \
			"$folder/table")
		service_number=$(awk -v s="$service" '!seen[$1]++ { n++ }
			$1 == s { print n; exit }' "$folder/placements")
		name=backend-$service-$domain
		# shellcheck disable=SC2046
		"$BUILD/tools/bw-standin-backend" --service="$service" \
			--failure-domain="$domain" \
			--id-prefix="$service-$domain" \
			--address="127.$net.$domain_number.$service_number" --port-base=$DEPLOYMENT_BACKEND_PORT \
			$(awk -v d="$domain" -v p=$DEPLOYMENT_ENTRY_PORT \
				'$3 == d { print "--entry=" $4 ":" p }' \
				"$folder/table") \
			--ledger="$folder/ledger/$service-$domain" \
			--count="$targets" --slots="$slots" "$@" \
			>>"$folder/log/$name.log" 2>&1 &
		echo $! >"$folder/pid/$name"
	done <"$folder/placements"
}

# backends_known FOLDER HOST COUNT: the host lists COUNT servers or more.
backends_known() {
	[ "$(ctl "$1" "$2" --json backends | jq '.backend_servers | length')" \
		-ge "$3" ]
}
