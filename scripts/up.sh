#!/usr/bin/env bash
# Starts a deployment from examples/ on loopback, with one process for each entry VM and for each simulator
# of the platform and the upstreams. Writes process ids and logs to run/DEPLOYMENT. UPSTREAM_FLAGS holds
# extra flags for the upstream simulators. Usage: scripts/up.sh [gulf-berth|hoang-phat]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-gulf-berth}
examples=examples/$deployment
run=run/$deployment
[ -d "$examples" ] || { echo "no deployment $examples" >&2; exit 2; }
if [ -e "$run/pids" ]; then
	echo "$run/pids exists: run make down first" >&2
	exit 1
fi
mkdir -p "$run"
: > "$run/pids"

# start NAME COMMAND... runs a process in the background and appends its id and name to the pids file.
start() {
	local name=$1
	shift
	"$@" > "$run/$name.log" 2>&1 < /dev/null &
	echo "$! $name" >> "$run/pids"
}

# value FILE SECTION KEY prints the value of a key in an INI file.
value() {
	awk -v section="[$2]" -v key="$3" '$0 == section {on=1; next} /^\[/ {on=0} on && $1 == key {print $3}' "$1"
}

# wait_http URL waits until a GET of the URL succeeds.
wait_http() {
	for _ in $(seq 100); do
		curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null && return 0
		sleep 0.1
	done
	echo "no answer from $1" >&2
	return 1
}

first=$(ls "$examples"/*.ini | head -1)
platform=$(value "$first" Platform Address)
flags=$(cat "$examples/simulators.flags")
start platform bin/standin platform --listen "$platform"
scripts/upstreams.sh "$first" | while read -r id _ address slots connections connect _ primary; do
	start "$id" bin/standin upstream --listen "$address" --slots "$slots" --connections "$connections" \
		--connect-time "$connect" ${primary:+--follow "$primary"} $flags ${UPSTREAM_FLAGS:-}
done
wait_http "http://$platform/v1/vms"
for file in "$examples"/*.ini; do
	id=$(value "$file" VM ID)
	curl -fsS -X PUT -H 'Content-Type: application/json' "http://$platform/v1/vms/$id" -d "{
		\"ID\": \"$id\", \"FailureDomain\": \"$(value "$file" VM FailureDomain)\", \"Region\": \"$(value "$file" VM Region)\",
		\"Control\": \"$(value "$file" Listen Control)\", \"Relay\": \"$(value "$file" Listen Relay)\"}" > /dev/null
done
bin/snipewall table apply --settings "$first" --base 0 --wait 0s "$examples/table.csv" > "$run/table.log" 2>&1 ||
	{ cat "$run/table.log" >&2; exit 1; }
for file in "$examples"/*.ini; do
	start "$(value "$file" VM ID)" bin/snipewall serve --settings "$file"
done
echo "callers:"
for file in "$examples"/*.ini; do
	wait_http "http://$(value "$file" Listen Admin)/readyz"
	echo "  $(value "$file" VM ID)	$(value "$file" Listen Callers)"
done
echo "databases: $(sed -n 's/^Group = //p' "$first" | sort -u | paste -sd' ')"
echo "logs and process ids: $run"
