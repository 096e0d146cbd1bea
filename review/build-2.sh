#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are plain modules in review/lib-2 that need no build and no
# package. This checks that they and the cases load, and that the program is built.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do node --check "$file"; done
[ -s target/oathead.mjs ] || { echo "target/oathead.mjs is missing: run the build of the deploy file first"; exit 1; }
