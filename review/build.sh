#!/usr/bin/env bash
# builds the stand-ins of the scripts: they are plain JavaScript without dependencies, so their syntax is checked
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins/*.js review/*/drive.js; do
    node --check "$file"
done
