#!/usr/bin/env bash
# Builds the driver of the scripted cases of the third review, with all its stand-ins. The program
# under review is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review3 ./review/driver3
