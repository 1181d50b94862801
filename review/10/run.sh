#!/usr/bin/env bash
# Exits with 1 if a guaranteed job does not begin in time, 0 if it does, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec timeout --kill-after=5 115 node target/review-2/review/standins-2/reclaimNearData.js
