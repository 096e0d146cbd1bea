#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -s ../../target/oathead.mjs ] || { echo "run the build of the deploy file first"; exit 2; }
node --check main.mjs && ../build-2.sh || exit 2
exec node main.mjs
