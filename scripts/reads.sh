#!/usr/bin/env bash
# Measures the fraction of reads served by replicas at replication lags of 0, 50 and 500 ms, each with callers
# that carry their session's position to the next connection and with callers that don't. Fails on a stale
# read.
set -euo pipefail
cd "$(dirname "$0")/.."
trap 'scripts/down.sh gulf-berth' EXIT
callers=() admin=()
for port in 16410 16420 16430 16440 16450 16460; do
	callers+=(--callers "127.0.0.1:$port")
	admin+=(--admin "127.0.0.1:$((port + 3))")
done
for lag in 0 50 500; do
	UPSTREAM_FLAGS="--apply-lag ${lag}ms" scripts/up.sh gulf-berth > /dev/null
	sleep 1
	bin/bench reads "${callers[@]}" "${admin[@]}" --database berth-ledger-1 --label "lag ${lag} ms, no position"
	bin/bench reads "${callers[@]}" "${admin[@]}" --database berth-ledger-1 --carry --label "lag ${lag} ms, position carried"
	scripts/down.sh gulf-berth
done
