#!/usr/bin/env bash
# Starts the deployment gulf-berth, shows a session that moves between entry VMs and a failover, and stops
# the deployment.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=gulf-berth
trap 'scripts/down.sh "$deployment"' EXIT
scripts/up.sh "$deployment"
bin/bench demo --callers 127.0.0.1:16410 --callers 127.0.0.1:16420 --callers 127.0.0.1:16430 \
	--admin 127.0.0.1:16413 --database berth-ledger-1 --kind pedestal-start --pids "run/$deployment/pids"
