#!/bin/bash
# Benchmarks the libraries and deployments on loopback at several sizes; writes
# one result file, a table and plots. $1: build folder.
#
# BENCH_OUT      result folder, default $1/bench
# BENCH_SIZES    numbers of daemons, default "10 50 150"
# BENCH_SKIP_PACKAGES  not empty: keeps the library results of the last run
# BENCH_IDLE_S   length of one measuring window in seconds, default 20
#
# CPU time is that of each process (/proc/PID/stat); wall-clock figures depend
# on the other load of the machine. No result is checked against a bound: the
# exit status only reports whether the run was complete.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
OUT=${BENCH_OUT:-$BUILD/bench}
SIZES=${BENCH_SIZES:-10 50 150}
WINDOW_S=${BENCH_IDLE_S:-20}
. test/deployment.sh

CHANGES_PER_MINUTE=35
TICKS_PER_S=$(getconf CLK_TCK)
PAGE_BYTES=$(getconf PAGESIZE)
BACKENDS_PER_DOMAIN=12
CLIENT_BLOCKS=200

# domain_count COUNT: prints the number of failure domains for COUNT hosts.
domain_count() {
	case $1 in
	10) echo 2 ;;
	50) echo 5 ;;
	*) echo 6 ;;
	esac
}

# make_table FOLDER COUNT: writes "name region domain address control" lines.
make_table() {
	local count=$2 d h domains
	domains=$(domain_count "$count")
	for d in $(seq "$domains"); do
		for h in $(seq $((count / domains))); do
			echo "r$(((d + 1) / 2))-d$d-h$h r$(((d + 1) / 2))" \
				"d$d 127.40.$d.$h $([ "$h" = 1 ] && echo true ||
					echo false)"
		done
	done | awk '{ if ($5 == "true" && ++n > 5) $5 = "false"; print }' \
		>"$1/table"
	# An even number of voters tolerates no more failures than one less.
	awk '$5 == "true" { n++ } END { exit n % 2 }' "$1/table" &&
		awk '!done && $5 == "false" { $5 = "true"; done = 1 }
			{ print }' "$1/table" >"$1/table.new" &&
		mv "$1/table.new" "$1/table"
	return 0
}

make_settings() {
	local folder=$1 name region domain address control seeds
	mkdir -p "$folder"/hosts "$folder"/data "$folder"/log "$folder"/pid
	make_table "$folder" "$2"
	for name in fleet.key token; do
		"$BUILD/src/boragewingctl/boragewingctl" key generate \
			"$folder/$name"
	done
	seeds=$(while read -r name region domain address control; do
		echo "  - {name: $name, region: $region," \
			"failure_domain: $domain, address: $address," \
			"port: $DEPLOYMENT_FLEET_PORT, control: $control}"
	done <"$folder/table")
	while read -r name region domain address control; do
		deployment_settings "$folder" "$name" "$region" "$domain" \
			"$address" "$control" "$seeds"
	done <"$folder/table"
}

# make_sheet FOLDER REVISION
make_sheet() {
	local service region
	echo "revision: $2"
	echo "deployment: bench"
	echo "regions:"
	for region in $(awk '{ print $2 }' "$1/table" | sort -u); do
		echo "  - {name: $region, max_load_percent: 85," \
			"failure_domains: [$(awk -v r="$region" \
				'$2 == r { print $3 }' "$1/table" | sort -u |
				paste -sd,)]}"
	done
	awk '{ print $2 }' "$1/table" | sort -u | awk '
		NR == 2 { print "links:" }
		{ for (i = 0; i < n; i++)
			print "  - {between: [" seen[i] ", " $1 "]," \
				" limit_mbit_per_s: 4000, latency_ms: 20}"
		  seen[n++] = $1 }'
	cat <<-END
	shift: {cap_percent: 20, window_s: 30, answer_ttl_s: 5}
	ranks:
	  - {name: urgent, target_latency_ms: 200, worth: 100, min_share_percent: 20}
	  - {name: lookup, target_latency_ms: 100, worth: 10, min_share_percent: 15}
	services:
	END
	for service in certdesk defectbook closurehub; do
		echo "  - name: $service"
		echo "    mean_answer_kb: 16"
		echo "    placements:"
		awk '{ print $3 }' "$1/table" | sort -u | awk '
			{ print "      - {failure_domain: " $1 ", targets:" \
				" 12, slots_per_target: 7," \
				" connections_per_target: 360}" }'
		echo "    kinds:"
		echo "      - {name: read, method: GET, path: /," \
			"rank: lookup, idempotent: true}"
	done
	echo "client_blocks:"
	seq 0 $((CLIENT_BLOCKS - 1)) | awk -v n="$2" '
		{ print "  - {block: 10." int($1 / 250) "." ($1 + n) % 250 \
			".0/24, region: r1}" }'
}

start_backends() {
	local folder=$1 domain d
	mkdir -p "$folder/ledger"
	for domain in $(awk '{ print $3 }' "$folder/table" | sort -u); do
		d=${domain#d}
		# shellcheck disable=SC2046
		"$BUILD/tools/bw-standin-backend" --service=certdesk \
			--failure-domain="$domain" --id-prefix="certdesk-$d" \
			--address="127.41.$d.1" --port-base=8000 \
			$(awk -v d="$domain" -v p=$DEPLOYMENT_ENTRY_PORT \
				'$3 == d && n++ < 3 {
					print "--entry=" $4 ":" p }' \
				"$folder/table") \
			--ledger="$folder/ledger/$domain" \
			--count=$BACKENDS_PER_DOMAIN --slots=7 \
			>"$folder/log/backend-$domain.log" 2>&1 &
		echo $! >"$folder/pid/backend-$domain"
	done
}

submit_sheet() {
	make_sheet "$1" "$2" >"$1/sheet.yaml"
	ctl "$1" "$(awk 'NR == 1 { print $1 }' "$1/table")" \
		sheet submit "$1/sheet.yaml" >"$1/submit.log" 2>&1
}

# emit FOLDER NAME UNIT VALUE SIZES-JSON: appends a result line.
emit() {
	printf '{"name":"%s","unit":"%s","value":%s,"sizes":%s}\n' \
		"$2" "$3" "$4" "$5" >>"$OUT/lines"
	printf '%-36s %-10s %14s  %s\n' "$2" "$3" "$4" "$5"
}

# sample_processes FOLDER FILE: writes "name cpu_ticks rss_pages" of each
# daemon.
sample_processes() {
	local name pid
	while read -r name _; do
		pid=$(cat "$1/pid/$name")
		awk -v name="$name" '{ print name, $14 + $15, $24 }' \
			"/proc/$pid/stat"
	done <"$1/table" >"$2"
}

# sample_traffic FOLDER FILE: writes "name channel sent_bytes" of each daemon,
# and its totals of sent and received bytes and of dropped packets.
sample_traffic() {
	local name address
	while read -r name _ _ address _; do
		curl -s -H "Authorization: Bearer $(cat "$1/token")" \
			"http://$address:$DEPLOYMENT_OPERATOR_PORT/v1/dump" |
			jq -r --arg name "$name" '.transport |
				"\($name) total \(.sent_bytes)",
				"\($name) received \(.received_bytes)",
				"\($name) dropped \(.dropped_packets)",
				(.channels | to_entries[] |
				"\($name) \(.key) \(.value.sent_bytes)")'
	done <"$1/table" >"$2"
}

# count_connections FOLDER: counts the established TCP connections of each
# daemon.
count_connections() {
	local name
	awk '$4 == "01" { print $10 }' /proc/net/tcp >"$1/established"
	while read -r name _; do
		find "/proc/$(cat "$1/pid/$name")/fd" -lname 'socket:*' \
			-printf '%l\n' 2>/dev/null | tr -dc '0-9\n' |
			grep -cxFf "$1/established"
	done <"$1/table" >"$1/connections"
}

# report_window FOLDER COUNT LABEL SECONDS: emits the differences between the
# samples at the start and the end of a window.
report_window() {
	local folder=$1 sizes="{\"hosts\":$2}" label=$3 seconds=$4 channel
	paste "$folder/cpu.0" "$folder/cpu.1" | awk \
		-v s="$seconds" -v t="$TICKS_PER_S" '
		{ c = ($5 - $2) * 100 / t / s; sum += c; if (c > m) m = c }
		END { print sum / NR, m }' >"$folder/result"
	emit "$folder" "daemon.cpu_$label" "% of core" \
		"$(cut -d' ' -f1 "$folder/result")" "$sizes"
	emit "$folder" "daemon.cpu_${label}_max" "% of core" \
		"$(cut -d' ' -f2 "$folder/result")" "$sizes"
	for channel in total received replica member distribute summary \
		credit keys poison plan backend; do
		paste "$folder/bytes.0" "$folder/bytes.1" | awk \
			-v s="$seconds" -v c="$channel" '$2 == c {
				b = ($6 - $3) / s; sum += b; n++
				if (b > m) m = b }
			END { print n ? sum / n : 0, m + 0 }' \
			>"$folder/result"
		emit "$folder" "daemon.${channel}_$label" "B/s" \
			"$(cut -d' ' -f1 "$folder/result")" "$sizes"
		emit "$folder" "daemon.${channel}_${label}_max" "B/s" \
			"$(cut -d' ' -f2 "$folder/result")" "$sizes"
	done
}

begin_window() {
	sample_traffic "$1" "$1/bytes.0"
	sample_processes "$1" "$1/cpu.0"
	window_start=$(date +%s%N)
}

end_window() {
	local seconds
	sample_processes "$1" "$1/cpu.1"
	seconds=$(awk -v a="$window_start" -v b="$(date +%s%N)" \
		'BEGIN { print (b - a) / 1e9 }')
	sample_traffic "$1" "$1/bytes.1"
	report_window "$1" "$2" "$3" "$seconds"
}

measure_memory() {
	awk -v p="$PAGE_BYTES" '{ b = $3 * p / 1e6; sum += b
		if (b > m) m = b } END { print sum / NR, m }' \
		"$1/cpu.1" >"$1/result"
	emit "$1" daemon.rss MB "$(cut -d' ' -f1 "$1/result")" "{\"hosts\":$2}"
	emit "$1" daemon.rss_max MB "$(cut -d' ' -f2 "$1/result")" \
		"{\"hosts\":$2}"
	count_connections "$1"
	awk '{ sum += $1; if ($1 > m) m = $1 }
		END { print sum / NR, m }' "$1/connections" >"$1/result"
	emit "$1" daemon.connections connections \
		"$(cut -d' ' -f1 "$1/result")" "{\"hosts\":$2}"
	emit "$1" daemon.connections_max connections \
		"$(cut -d' ' -f2 "$1/result")" "{\"hosts\":$2}"
}

measure_changes() {
	local folder=$1 revision=1 end
	begin_window "$folder"
	end=$(($(date +%s) + WINDOW_S))
	while [ "$(date +%s)" -lt "$end" ]; do
		revision=$((revision + 1))
		submit_sheet "$folder" "$revision"
		sleep "$(awk -v n=$CHANGES_PER_MINUTE \
			'BEGIN { print 60 / n - 0.1 }')"
	done
	end_window "$folder" "$2" changes
	wait_until 20 all_in_force "$folder" "$revision" ||
		echo "revision $revision is not in force on all hosts" >&2
	ctl "$folder" "$(awk 'NR == 1 { print $1 }' "$folder/table")" \
		--json hosts >"$folder/hosts.json"
	emit "$folder" daemon.in_force_spread ms "$(jq \
		'[.failure_domains[].hosts[].since_wall_ms] | max - min' \
		"$folder/hosts.json" 2>/dev/null || echo -1)" "{\"hosts\":$2}"
}

# mean_control_ticks FOLDER: prints the mean CPU ticks of the control hosts.
mean_control_ticks() {
	awk '$5 == "true" { print $1 }' "$1/table" | while read -r name; do
		awk '{ print $14 + $15 }' "/proc/$(cat "$1/pid/$name")/stat"
	done | awk '{ sum += $1 } END { print sum / NR }'
}

# hosts_in_force FOLDER REVISION NAME...: each host has the revision in force.
hosts_in_force() {
	local folder=$1 revision=$2 name
	shift 2
	for name; do
		revision_in_force "$folder" "$name" "$revision" || return 1
	done
}

# Kills all hosts of one domain but its control hosts and restarts them at once.
measure_restart() {
	local folder=$1 names count before start revision
	names=$(awk '$3 == "d2" && $5 == "false" { print $1 }' "$1/table")
	count=$(echo "$names" | wc -l)
	revision=$(awk '{ print $2; exit }' "$folder/sheet.yaml")
	# shellcheck disable=SC2086
	deployment_kill "$folder" $names
	before=$(mean_control_ticks "$folder")
	start=$(date +%s%N)
	# shellcheck disable=SC2086
	deployment_start "$folder" $names
	# shellcheck disable=SC2086
	wait_until 60 hosts_in_force "$folder" "$revision" $names ||
		echo "revision $revision is not in force on all restarted hosts" \
			>&2
	emit "$folder" daemon.restart_time ms $((($(date +%s%N) - start) / \
		1000000)) "{\"hosts\":$2,\"restarted\":$count}"
	emit "$folder" daemon.restart_control_cpu ms "$(awk -v a="$before" \
		-v b="$(mean_control_ticks "$folder")" -v t="$TICKS_PER_S" \
		'BEGIN { print (b - a) * 1000 / t }')" \
		"{\"hosts\":$2,\"restarted\":$count}"
}

# Sends open-loop look-ups to one host: latency and CPU time per look-up.
measure_lookups() {
	local folder=$1 rate pid before after address
	pid=$(cat "$folder/pid/$(awk 'NR == 2 { print $1 }' "$folder/table")")
	address=$(awk 'NR == 2 { print $4 }' "$folder/table")
	for rate in 500 1000 2000; do
		before=$(awk '{ print $14 + $15 }' "/proc/$pid/stat")
		"$BUILD/tools/bw-bench" --rate=$rate --seconds=5 --load \
			"http://$address:$DEPLOYMENT_ENTRY_PORT/v1/lookup?service=certdesk" \
			>"$folder/load.json"
		after=$(awk '{ print $14 + $15 }' "/proc/$pid/stat")
		emit "$folder" http.lookup_cpu us "$(jq ".done | if . > 0 then
			($after - $before) * 1e6 / $TICKS_PER_S / . else -1 end" \
			"$folder/load.json")" "{\"rate\":$rate}"
		for name in done failed dropped p50_ms p99_ms; do
			emit "$folder" "http.lookup_$name" \
				"$(case $name in *_ms) echo ms ;;
				*) echo requests ;; esac)" \
				"$(jq ".$name" "$folder/load.json")" \
				"{\"rate\":$rate}"
		done
	done
}

measure_deployment() {
	local count=$1 folder
	folder=$(realpath "$OUT")/run-$count
	rm -rf "$folder"
	mkdir -p "$folder"
	trap 'deployment_stop_all "$folder"; rm -rf "$folder"' EXIT
	make_settings "$folder" "$count"
	# shellcheck disable=SC2046
	deployment_start "$folder" $(deployment_names "$folder")
	wait_until 30 submit_sheet "$folder" 1 ||
		{ cat "$folder/submit.log" >&2; return 1; }
	start_backends "$folder"
	wait_until 30 all_in_force "$folder" 1 ||
		echo "revision 1 is not in force on all hosts" >&2
	sleep 10
	begin_window "$folder"
	sleep "$WINDOW_S"
	end_window "$folder" "$count" idle
	measure_memory "$folder" "$count"
	measure_changes "$folder" "$count"
	[ "$count" != 10 ] || measure_lookups "$folder"
	[ "$count" = 10 ] || measure_restart "$folder" "$count"
	deployment_stop_all "$folder"
	rm -rf "$folder"
	trap - EXIT
}

mkdir -p "$OUT"
rm -f "$OUT/lines"
status=0
[ -n "${BENCH_SKIP_PACKAGES:-}" ] ||
	"$BUILD/tools/bw-bench" --out "$OUT/results.json" || exit 1
for count in $SIZES; do
	measure_deployment "$count" || status=1
done
[ ! -f "$OUT/lines" ] ||
	"$BUILD/tools/bw-bench" --merge "$OUT/lines" "$OUT/results.json"
"$BUILD/tools/bw-bench" --plot "$OUT/plots" "$OUT/results.json" >"$OUT/table.txt"
if [ -f docs/capacity-results.json ]; then
	"$BUILD/tools/bw-bench" --compare docs/capacity-results.json \
		"$OUT/results.json" >"$OUT/compare.txt"
fi
echo "results in $OUT"
exit $status
