#!/usr/bin/env bash
# Exits with 1 if a task is started again after its end as done, 0 if none is, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec timeout --kill-after=5 115 node target/review-2/review/standins-2/manyEnds.js
