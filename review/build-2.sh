#!/bin/sh
# Builds the stand-ins of the cases 6 to 9; the daemon itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/probe ./review/probe
