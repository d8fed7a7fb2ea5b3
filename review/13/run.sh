#!/usr/bin/env bash
# Needs review/build-3.sh first. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snipewall ] && [ -x target/stand3 ] || { echo "run review/build-3.sh first"; exit 2; }
timeout -k 5 115 target/stand3 late review/13
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
