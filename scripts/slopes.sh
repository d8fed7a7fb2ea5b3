#!/usr/bin/env bash
# Runs the measurements that docs/CAPACITY.md is based on: the memory of idle connections, the CPU time and
# memory of a monitored group, and the calls to the platform's store by the number of entry VMs and during
# certain events. Entry VMs run with GOMAXPROCS=2, as on small VMs: idle Go processes spend more CPU time on
# looking for work the more processors they have.
set -euo pipefail
cd "$(dirname "$0")/.."
run=run/slopes
rm -rf "$run"
mkdir -p "$run"
pids=()
stop() {
	[ ${#pids[@]} -eq 0 ] || { kill "${pids[@]}" 2>/dev/null; wait "${pids[@]}" 2>/dev/null || true; }
	pids=()
}
trap stop EXIT
platform=127.0.0.1:29500

# start NAME COMMAND... runs a process in the background and logs to run/slopes/NAME.log.
start() {
	local name=$1
	shift
	"$@" > "$run/$name.log" 2>&1 < /dev/null &
	pids+=($!)
}

# domain NUMBER prints the failure domain of an entry VM. Those with an even number are in the second one.
domain() { [ $(($1 % 2)) -eq 1 ] && echo near || echo far; }

# settings NUMBER PORT GROUPS prints the settings of an entry VM.
settings() {
	cat <<-INI
		[VM]
		ID = vm-$1
		FailureDomain = $(domain "$1")
		Region = here
		[Listen]
		Callers = 127.0.0.1:$2
		Control = 127.0.0.1:$(($2 + 1))
		Relay = 127.0.0.1:$(($2 + 2))
		Admin = 127.0.0.1:$(($2 + 3))
		[Platform]
		Address = $platform
	INI
	for ((g = 1; g <= $3; g++)); do
		for u in 1 2 3; do
			cat <<-INI
				[Upstream group-$g-$u]
				Group = group-$g
				Address = 127.0.0.1:$((21000 + 3 * g + u))
				FailureDomain = near
				Region = here
				Slots = 3
				Connections = 20
			INI
		done
	done
}

# wait_ready PORT waits up to 10 s until the entry VM whose callers' port is PORT is ready.
wait_ready() {
	for _ in $(seq 100); do curl -fs -o /dev/null "http://127.0.0.1:$(($1 + 3))/readyz" && break; sleep 0.1; done
}

# deploy VMS GROUPS starts the platform, the upstreams and the entry VMs, and sets vms to the process ids of
# the entry VMs. At the end it waits for SETTLE seconds, 5 by default.
deploy() {
	start platform bin/standin platform --listen "$platform"
	for ((g = 1; g <= $2; g++)); do
		start "group-$g-1" bin/standin upstream --listen "127.0.0.1:$((21000 + 3 * g + 1))" --connections 20
		for u in 2 3; do
			start "group-$g-$u" bin/standin upstream --listen "127.0.0.1:$((21000 + 3 * g + u))" --connections 20 \
				--follow "127.0.0.1:$((21000 + 3 * g + 1))"
		done
	done
	sleep 0.5
	vms=()
	for ((i = 1; i <= $1; i++)); do
		port=$((22000 + 10 * i))
		settings "$i" "$port" "$2" > "$run/vm-$i.ini"
		curl -fsS -X PUT -H 'Content-Type: application/json' "http://$platform/v1/vms/vm-$i" \
			-d "{\"FailureDomain\": \"$(domain "$i")\", \"Region\": \"here\", \"Control\": \"127.0.0.1:$((port + 1))\", \"Relay\": \"127.0.0.1:$((port + 2))\"}"
	done
	printf 'Kind,Rank\ndefault,middle\n' > "$run/table.csv"
	bin/snipewall table apply --settings "$run/vm-1.ini" --base 0 --wait 0s "$run/table.csv" > /dev/null
	for ((i = 1; i <= $1; i++)); do
		start "vm-$i" env GOMAXPROCS=2 bin/snipewall serve --settings "$run/vm-$i.ini"
		vms+=("${pids[-1]}")
	done
	for ((i = 1; i <= $1; i++)); do
		wait_ready $((22000 + 10 * i))
	done
	sleep "${SETTLE:-5}"
}

echo "# idle callers' connections at one entry VM"
deploy 1 1
bin/bench seed --address 127.0.0.1:22010 --database group-1
bin/bench idle --address 127.0.0.1:22010 --database group-1 --pid "${vms[0]}" --at 1000 --at 3000 --at 6731
stop

echo "# groups of three upstreams owned and monitored by one entry VM: polled every 100 ms as while"
echo "# requests ask for them, and after 10 s without a request every second"
for groups in 1 4 8 16; do
	SETTLE=3 deploy 1 "$groups"
	bin/bench sample --name "groups $groups, used" --pid "${vms[0]}" --time 5s
	sleep 7
	bin/bench sample --name "groups $groups, quiet" --pid "${vms[0]}" --time 8s
	stop
done

echo "# entry VMs with one group, idle; the store's calls are those of all entry VMs"
for n in 2 8 16; do
	SETTLE=15 deploy "$n" 1
	bin/bench sample --name "entry VMs $n, one that owns nothing or little" --pid "${vms[-1]}" --time 15s --platform "$platform"
	stop
done

echo "# the store's calls of 8 entry VMs in two failure domains at events"
SETTLE=15 deploy 8 1
sample() { bin/bench sample --name "$1" --pid "${vms[0]}" --time 5s --platform "$platform"; }
sample "quiet"
(sleep 1; printf 'Kind,Rank\ndefault,urgent\n' |
	bin/snipewall table apply --settings "$run/vm-1.ini" --base 1 - > "$run/edit.log" 2>&1) &
sample "a table edit within 5 s"
(sleep 1; exec env GOMAXPROCS=2 bin/snipewall serve --settings "$run/vm-9.ini" > "$run/vm-9.log" 2>&1) &
settings 9 22090 1 > "$run/vm-9.ini"
pids+=($!)
sample "an entry VM starts within 5 s"
kill -9 "${vms[1]}" "${vms[3]}" "${vms[5]}" "${vms[7]}"
sample "a failure domain goes, first 5 s"
sample "a failure domain goes, next 5 s"
sample "a failure domain goes, next 5 s"
stop
