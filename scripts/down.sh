#!/usr/bin/env bash
# Stops the processes whose ids scripts/up.sh recorded. Usage: scripts/down.sh [gulf-berth|hoang-phat]
set -uo pipefail
cd "$(dirname "$0")/.."
run=run/${1:-gulf-berth}
[ -e "$run/pids" ] || exit 0
while read -r pid _; do
	kill -CONT "$pid" 2>/dev/null
	kill -TERM "$pid" 2>/dev/null
done < "$run/pids"
for _ in $(seq 100); do
	left=0
	while read -r pid _; do
		kill -0 "$pid" 2>/dev/null && left=$((left + 1))
	done < "$run/pids"
	[ "$left" -eq 0 ] && break
	sleep 0.1
done
while read -r pid name; do
	kill -KILL "$pid" 2>/dev/null && echo "had to kill $name" >&2
done < "$run/pids"
rm -f "$run/pids"
