#!/usr/bin/env bash
# Settings: each invalid key or value, missing file or port in use is reported
# as one error with file and line, and exit code 2. Also checks the client's
# exit codes and TLS of the entry listener.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/deployment.sh
. test/check.sh
FOLDER=$(mktemp -d)
trap 'deployment_stop_all "$FOLDER"; rm -rf "$FOLDER"' EXIT
DAEMON=$BUILD/src/boragewingd/boragewingd
deployment_make "$FOLDER" kalahari
valid_settings=$FOLDER/hosts/khomas-a-1.yaml

# check_error NAME SED EXPECTED: the settings edited by SED give this error.
check_error() {
	local code=0
	sed "$2" "$valid_settings" >"$FOLDER/case.yaml"
	"$DAEMON" --settings "$FOLDER/case.yaml" --check-settings \
		>/dev/null 2>"$FOLDER/err" || code=$?
	check_equal "$1: exit code" 2 "$code"
	check_equal "$1: error" "boragewingd: $3" \
		"$(sed "s|$FOLDER|FOLDER|g" "$FOLDER/err")"
}

check "valid settings" "$DAEMON" --settings "$valid_settings" --check-settings
check_error "unknown key" 's/^entry:/entri:/' \
	"FOLDER/case.yaml:3: Unexpected key: entri"
check_error "bad address" 's/^fleet: {address: [0-9.]*/fleet: {address: nowhere/' \
	"FOLDER/case.yaml:2: 'nowhere' is not an IPv4 address"
check_error "bad port" "s/^entry: \(.*\)port: $DEPLOYMENT_ENTRY_PORT/entry: \1port: 70000/" \
	"FOLDER/case.yaml:3: Invalid UINT value: '70000'"
check_error "bad log level" 's/level: info/level: loud/' \
	"FOLDER/case.yaml:9: unknown log level 'loud'"
check_error "missing charts" 's|^charts_folder: .*|charts_folder: FOLDER/none|' \
	"FOLDER/case.yaml:6: FOLDER/none: No such file or directory"
check_error "missing key file" 's|^fleet_key_file: .*|fleet_key_file: none|' \
	"FOLDER/case.yaml:7: none: No such file or directory"
check_error "control without data folder" '/^data_folder/d' \
	"FOLDER/case.yaml:1: a control host needs data_folder"
check_error "no control seed" 's/control: true}$/control: false}/' \
	"FOLDER/case.yaml:11: no seed is a control host"
check_code "no settings file" 2 "$DAEMON" --settings "$FOLDER/none.yaml"
check_code "no option" 2 "$DAEMON"
check_code "unknown option" 2 "$DAEMON" --nothing

deployment_start "$FOLDER" khomas-a-1
ready() { ctl "$FOLDER" khomas-a-1 status; }
check "the first daemon runs" wait_until 10 ready
check_code "a second daemon on the same addresses exits with 2" 2 \
	"$DAEMON" --settings "$valid_settings"
check_code "the client exits with 3 when no host is reached" 3 \
	"$BUILD/src/boragewingctl/boragewingctl" --host 127.11.99.9:$DEPLOYMENT_OPERATOR_PORT \
	--token-file "$FOLDER/token" status
check_code "the client rejects unknown commands" 2 \
	"$BUILD/src/boragewingctl/boragewingctl" nothing
check "the client draws a chart" \
	"$BUILD/src/boragewingctl/boragewingctl" chart draw charts/request.yaml
check "the client checks a sheet" \
	"$BUILD/src/boragewingctl/boragewingctl" sheet check \
	examples/karst-armor.yaml

# TLS of the entry listener, with a certificate made for this run.
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=127.11.11.2 \
	-addext subjectAltName=IP:127.11.11.2 -keyout "$FOLDER/entry.key" \
	-out "$FOLDER/entry.pem" 2>/dev/null
echo "tls: {certificate_file: $FOLDER/entry.pem, key_file: $FOLDER/entry.key}" \
	>>"$FOLDER/hosts/khomas-a-2.yaml"
deployment_start "$FOLDER" khomas-a-2
get_healthz_tls() {
	curl -s --max-time 5 --cacert "$FOLDER/entry.pem" \
		"https://127.11.11.2:$DEPLOYMENT_ENTRY_PORT/healthz"
}
check "the entry listener serves TLS" wait_until 10 get_healthz_tls
check_equal "the entry listener with TLS serves no plain HTTP" 000 "$(http_status \
	"http://127.11.11.2:$DEPLOYMENT_ENTRY_PORT/healthz")"
echo "$CHECKS passed, 0 failed"
