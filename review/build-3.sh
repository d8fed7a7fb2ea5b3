#!/usr/bin/env bash
# Builds the program as the deploy file says, and the stand-ins of the scripts of cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ .
go build -tags review -o target/stand3 ./review/stand3
