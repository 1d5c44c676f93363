#!/usr/bin/env bash
# Builds the stand-ins that the cases start, from the modules on the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin
