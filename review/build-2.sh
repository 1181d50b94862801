#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with those of the project that they use, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p review/tsconfig-2.json
cp -r src/generated target/review-2/src/
