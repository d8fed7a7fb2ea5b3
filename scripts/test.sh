#!/usr/bin/env bash
# Runs all tests with the race detector, except those listed in KNOWN-RED.txt, whose names are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -vE '^(#|[[:space:]]*$)' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|' || true)
skip=()
if [ -n "$red" ]; then
	echo "known red, passed over: ${red//|/ }"
	skip=(-skip "^(${red})\$")
fi
exec go test -race -timeout 15m "${skip[@]}" "$@" ./...
