#!/bin/sh
# Exits with 1 if an upstream runs a request with another body than was sent, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/probe streams target/lagoonmesh review/6/record.txt
