#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: the store, the workers and the clients are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/driver2 ./review/driver2
