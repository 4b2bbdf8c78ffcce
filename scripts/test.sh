#!/usr/bin/env bash
# Sets up a fresh machine, checks format, layers and lint, builds, and runs all
# tests. Known failures are listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/check_format.sh
scripts/check_layers.sh
scripts/build.sh
scripts/lint.sh
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
[ -z "$known_red" ] || echo "passed over, see KNOWN-RED.txt: $known_red"
ctest --test-dir build --output-on-failure -j "$(nproc)" ${known_red:+-E "^($known_red)\$"}
