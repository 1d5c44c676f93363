#!/bin/sh
# Exits with 1 if requests reach an upstream that has left, after a restore of the store and a kill of its daemon, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/probe drill target/lagoonmesh review/6/record.txt
