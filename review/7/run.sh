#!/bin/sh
# Exits with 1 if a request that crashes upstreams reaches them again after daemons were stopped and started, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/probe poison target/lagoonmesh review/7/record.txt
