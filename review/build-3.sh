#!/bin/sh
# Checks the stand-ins of the cases 11 to 15; they are plain JavaScript modules and need no build.
set -e
cd "$(dirname "$0")"
for module in standins-3/*.mjs 1[1-5]/*.mjs; do
    [ ! -e "$module" ] || node --check "$module"
done
