#!/usr/bin/env bash
# Starts the deployment of the first user, shows a session that roams and a failover, and stops
# everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=gulf-berth
trap 'scripts/down.sh "$deployment"' EXIT
scripts/up.sh "$deployment"
bin/bench demo --callers 127.0.0.1:16410 --callers 127.0.0.1:16420 --callers 127.0.0.1:16430 \
	--admin 127.0.0.1:16413 --database berth-ledger-1 --kind pedestal-start --pids "run/$deployment/pids"
