#!/usr/bin/env bash
# Plays the case with the programs that the deploy file and review/build-2.sh build.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/front ] && [ -x target/driver2 ] || { echo "target/front or target/driver2 is missing"; exit 2; }
exec target/driver2 stale review/10
