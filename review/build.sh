#!/bin/sh
# Builds the driver of the scripted cases, which holds all stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-driver ./review/driver
