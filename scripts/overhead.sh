#!/usr/bin/env bash
# Measures the overhead of snipewall compared with a direct connection and with a plain TCP relay to the
# same upstream simulator. Statements are served by the entry VM that owns the upstream, or forwarded to it
# by another one.
set -euo pipefail
cd "$(dirname "$0")/.."
run=run/overhead
rm -rf "$run"
mkdir -p "$run"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null || true' EXIT

# start NAME COMMAND... runs a process in the background and logs to run/overhead/NAME.log.
start() {
	local name=$1
	shift
	"$@" > "$run/$name.log" 2>&1 < /dev/null &
	pids+=($!)
}

settings() { # settings NAME DOMAIN PORT prints the settings of an entry VM
	cat <<-INI
		[VM]
		ID = $1
		FailureDomain = $2
		Region = here
		[Listen]
		Callers = 127.0.0.1:$3
		Control = 127.0.0.1:$(($3 + 1))
		Relay = 127.0.0.1:$(($3 + 2))
		Admin = 127.0.0.1:$(($3 + 3))
		[Platform]
		Address = 127.0.0.1:19500
		[Peers]
		Seeds = 127.0.0.1:19611, 127.0.0.1:19621
		[Upstream bench-1]
		Group = bench
		Address = 127.0.0.1:19401
		FailureDomain = near
		Region = here
		Slots = 64
		Connections = 200
	INI
}

start platform bin/standin platform --listen 127.0.0.1:19500
start upstream bin/standin upstream --listen 127.0.0.1:19401 --slots 64 --connections 200
start tcprelay env GOMAXPROCS=1 bin/bench tcprelay --listen 127.0.0.1:19600 --to 127.0.0.1:19401
relay_pid=${pids[2]}
settings owner near 19610 > "$run/owner.ini"
settings other far 19620 > "$run/other.ini"
sleep 0.3
printf 'Kind,Rank\ndefault,middle\n' > "$run/table.csv"
bin/snipewall table apply --settings "$run/owner.ini" --base 0 --wait 0s "$run/table.csv" > /dev/null
start owner env GOMAXPROCS=1 bin/snipewall serve --settings "$run/owner.ini"
owner_pid=${pids[3]}
start other env GOMAXPROCS=1 bin/snipewall serve --settings "$run/other.ini"
other_pid=${pids[4]}
for port in 19613 19623; do
	for _ in $(seq 100); do curl -fs -o /dev/null "http://127.0.0.1:$port/readyz" && break; sleep 0.1; done
done
sleep 1
bin/bench seed --address 127.0.0.1:19610 --database bench
bin/bench overhead --database bench --json "${1:-$run/overhead.json}" \
	--target direct=127.0.0.1:19401=0 --target "tcp-relay=127.0.0.1:19600=$relay_pid" \
	--target "served-locally=127.0.0.1:19610=$owner_pid" --target "forwarded=127.0.0.1:19620=$other_pid+$owner_pid"
