#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own (platform/dist).
# The build of deploy/system.toml has put the program at target/oathead.mjs.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -b
