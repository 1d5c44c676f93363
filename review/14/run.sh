#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/lagoonmesh && test -x target/review-3/rig3 || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
exec target/review-3/rig3 -case queued-zone -record review/14/record.txt
